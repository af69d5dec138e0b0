/* Measures the duration of a placement pass over waiting tasks with busy
 * workers and, for comparison, of a first-fit scan over the same workers and
 * tasks in the same run. */
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "curlewcart/cw_process.h"
#include "owner_cluster.h"

enum {
    DEFAULT_WORKERS = 350,
    DEFAULT_WAITING = 10000,
    TASKS_PER_JOB = 10,
    PASSES = 200,
    WORKERS_PER_RACK = 8
};

/* Adds workers to those that the cluster begins with. */
static void
fill_workers(struct cluster *cluster, unsigned workers)
{
    for (unsigned i = 0; i < workers; i++) {
        char name[16];
        struct owner_target *target;

        add_worker(cluster, i);
        g_snprintf(name, sizeof(name), "w%02u", i);
        target = owner_target_get(cluster->owner, name);
        set_rack(target, i / WORKERS_PER_RACK);
    }
}

/* Measures the duration of a pass that only finds, for each waiting job, the
 * first worker with a free accelerator. */
static double
measure_first_fit_us(const struct cluster *cluster, unsigned jobs)
{
    double started_us = bench_now_us();
    volatile unsigned found = 0;

    for (unsigned j = 0; j < jobs; j++) {
        const struct cw_resources need = {.accelerators = 1};
        GHashTableIter iterator;
        gpointer value;

        g_hash_table_iter_init(&iterator, cluster->owner->targets);
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
    return bench_now_us() - started_us;
}

int
bench_place(const struct bench_options *options)
{
    unsigned workers =
        options->workers > 0 ? options->workers : DEFAULT_WORKERS;
    unsigned waiting =
        options->waiting > 0 ? options->waiting : DEFAULT_WAITING;
    unsigned jobs = waiting / TASKS_PER_JOB;
    const struct cw_step_spec step = {.tasks = TASKS_PER_JOB,
                                      .accelerators = 1};
    GArray *pass_durations_us = g_array_new(FALSE, FALSE, sizeof(double));
    struct cluster cluster;
    double first_fit_duration_us;

    cluster_begin(&cluster);
    fill_workers(&cluster, workers);
    for (unsigned i = 0; i < workers * ACCELERATORS / TASKS_PER_JOB; i++) {
        add_job(&cluster, 1,
                &step); /* fill what lower-priority work may use */
    }
    pass(&cluster, 10);
    for (unsigned i = 0; i < jobs; i++) {
        add_job(&cluster, 1, &step);
    }
    for (unsigned i = 0; i < PASSES; i++) {
        double started_us;
        double elapsed_us;

        cluster.owner->capacity_version++; /* as if capacity had been freed */
        started_us = bench_now_us();
        pass(&cluster, 10);
        elapsed_us = bench_now_us() - started_us;
        g_array_append_val(pass_durations_us, elapsed_us);
    }
    first_fit_duration_us = measure_first_fit_us(&cluster, jobs);
    printf("mode=place workers=%u waiting=%u p50_us=%.0f p99_us=%.0f "
           "first_fit_us=%.0f p50_ratio=%.1f resident_mb=%.1f\n",
           workers, waiting, bench_percentile(pass_durations_us, 0.5),
           bench_percentile(pass_durations_us, 0.99), first_fit_duration_us,
           bench_percentile(pass_durations_us, 0.5) /
               MAX(first_fit_duration_us, 1.0),
           cw_process_resident_bytes() / 1e6);
    g_array_unref(pass_durations_us);
    cluster_end(&cluster);
    return 0;
}
