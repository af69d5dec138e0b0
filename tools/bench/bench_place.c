/* Cost of placement: a pass over waiting tasks on busy workers, beside a
 * plain first-fit scan over the same workers and tasks in the same run. */
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "curlewcart/cw_process.h"
#include "owner_site.h"

enum {
    DEFAULT_WORKERS = 350,
    DEFAULT_WAITING = 10000,
    TASKS_PER_JOB = 10,
    PASSES = 200,
    RACK_SIZE = 8
};

static void
fill_workers(struct site *site, unsigned workers)
{
    g_hash_table_remove_all(site->owner->targets);
    for (unsigned i = 0; i < workers; i++) {
        char name[16];
        struct owner_target *target;

        add_worker(site, i);
        g_snprintf(name, sizeof(name), "w%02u", i);
        target = owner_target_get(site->owner, name);
        set_rack(target, i / RACK_SIZE);
    }
}

/* What a pass would cost if each waiting job's tasks simply took the first
 * workers with room. */
static double
first_fit_us(const struct site *site, unsigned jobs)
{
    double began = bench_now_us();
    volatile unsigned found = 0;

    for (unsigned j = 0; j < jobs; j++) {
        const struct cw_resources need = {.accelerators = 1};
        GHashTableIter iterator;
        gpointer value;

        g_hash_table_iter_init(&iterator, site->owner->targets);
        while (g_hash_table_iter_next(&iterator, NULL, &value)) {
            const struct owner_target *target = value;

            if (target->capacity.accelerators - target->used.accelerators >=
                need.accelerators)
            {
                found++;
                break;
            }
        }
    }
    return bench_now_us() - began;
}

int
bench_place(const struct bench_options *options)
{
    unsigned workers =
        options->workers > 0 ? options->workers : DEFAULT_WORKERS;
    unsigned waiting =
        options->waiting > 0 ? options->waiting : DEFAULT_WAITING;
    unsigned jobs = waiting / TASKS_PER_JOB;
    const struct cw_step_spec like = {.tasks = TASKS_PER_JOB,
                                      .accelerators = 1};
    GArray *passes = g_array_new(FALSE, FALSE, sizeof(double));
    struct site site;
    double plain;

    site_begin(&site);
    fill_workers(&site, workers);
    for (unsigned i = 0; i < workers * ACCELERATORS / TASKS_PER_JOB; i++) {
        add_job(&site, 1, &like); /* these fill what lower work may take */
    }
    pass(&site, 10);
    for (unsigned i = 0; i < jobs; i++) {
        add_job(&site, 1, &like);
    }
    for (unsigned i = 0; i < PASSES; i++) {
        double began;
        double took;

        site.owner->capacity_version++; /* as if something had come free */
        began = bench_now_us();
        pass(&site, 10);
        took = bench_now_us() - began;
        g_array_append_val(passes, took);
    }
    plain = first_fit_us(&site, jobs);
    printf("mode=place workers=%u waiting=%u p50_us=%.0f p99_us=%.0f "
           "first_fit_us=%.0f p50_ratio=%.1f resident_mb=%.1f\n",
           workers, waiting, bench_percentile(passes, 0.5),
           bench_percentile(passes, 0.99), plain,
           bench_percentile(passes, 0.5) / MAX(plain, 1.0),
           cw_process_resident_bytes() / 1e6);
    g_array_unref(passes);
    site_end(&site);
    return 0;
}
