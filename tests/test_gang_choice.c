/* Where gangs and tasks go when workers differ in speed. */
#include "test_main.h"

#include <string.h>

#include "worker_speeds.h"

#include "curlewcart/cw_gang_choice.h"

enum {
    SERVICE_WORKERS = 48,
    SERVICE_RACKS = 8,
    SERVICE_DCS = 2,
    SLOW_MS = 60000
};

/* A service of workers that each hold one member; even racks are in the first
 * data centre. */
struct service {
    struct cw_gang_offer offers[SERVICE_WORKERS];
    struct cw_gang_shape shape;
    unsigned members[SERVICE_WORKERS];
};

static const struct cw_speed_view typical = {.speed = 1, .proved = true};
static const struct cw_speed_view slow = {.speed = 1 / 3.0, .slow = true};

static void
service_begin(struct service *service, unsigned members)
{
    memset(service, 0, sizeof(*service));
    service->shape = (struct cw_gang_shape){.members = members,
                                            .racks = SERVICE_RACKS,
                                            .dcs = SERVICE_DCS,
                                            .urgent = true};
    for (unsigned i = 0; i < SERVICE_WORKERS; i++) {
        unsigned rack = i * SERVICE_RACKS / SERVICE_WORKERS;

        service->offers[i] =
            (struct cw_gang_offer){.rack = rack,
                                   .dc = rack % SERVICE_DCS,
                                   .fits = 1,
                                   .rank = cw_speed_rank(&typical),
                                   .idle = true};
    }
}

static void
set_speed(struct service *service, unsigned worker,
          const struct cw_speed_view *view)
{
    service->offers[worker].rank = cw_speed_rank(view);
}

static gint
by_rank(gconstpointer a, gconstpointer b)
{
    const struct cw_gang_offer *x = a;
    const struct cw_gang_offer *y = b;

    return y->rank - x->rank;
}

static struct cw_gang_choice
choose(struct service *service)
{
    GArray *offers = g_array_new(FALSE, FALSE, sizeof(struct cw_gang_offer));

    g_array_append_vals(offers, service->offers, SERVICE_WORKERS);
    g_array_sort(offers, by_rank);
    memcpy(service->offers, offers->data, sizeof(service->offers));
    g_array_unref(offers);
    return cw_gang_choose(&service->shape, service->offers, SERVICE_WORKERS,
                          service->members);
}

/* Guards against a gang in a rack with slow workers, while others are free. */
static void
test_a_third_slow_at_once(void)
{
    struct service service;

    service_begin(&service, 6);
    for (unsigned i = 0; i < SERVICE_WORKERS; i += 3) {
        set_speed(&service, i, &slow);
    }
    CU_ASSERT_EQUAL(choose(&service).slow, 0);
}

static void
test_one_in_twenty_slow(void)
{
    struct service service;
    struct cw_gang_choice choice;

    service_begin(&service, 6);
    set_speed(&service, 0, &slow);
    set_speed(&service, 20, &slow);
    choice = choose(&service);
    CU_ASSERT_EQUAL(choice.slow, 0);
    CU_ASSERT_EQUAL(choice.scope, CW_GANG_IN_RACK);
}

/* Guards against work that waits, as every worker is shut out. */
static void
test_all_slow(void)
{
    struct service service;
    struct cw_gang_choice choice;

    service_begin(&service, 6);
    for (unsigned i = 0; i < SERVICE_WORKERS; i++) {
        set_speed(&service, i, &slow);
    }
    choice = choose(&service);
    CU_ASSERT_EQUAL(choice.slow, 6);
    CU_ASSERT_EQUAL(choice.scope, CW_GANG_IN_RACK);
}

static void
test_slow_by_rack(void)
{
    struct service service;
    struct cw_gang_choice choice;

    service_begin(&service, 6);
    for (unsigned i = 0; i < SERVICE_WORKERS - 6; i++) {
        set_speed(&service, i, &slow);
    }
    service.shape.needs_rack = true;
    choice = choose(&service);
    CU_ASSERT_EQUAL(choice.slow, 0);
    CU_ASSERT_EQUAL(choice.rack, SERVICE_RACKS - 1);
}

static void
test_slow_by_data_centre(void)
{
    struct service service;
    struct cw_gang_choice choice;

    service_begin(&service, 10); /* more than a rack holds */
    for (unsigned i = 0; i < SERVICE_WORKERS; i++) {
        if (service.offers[i].dc == 0) {
            set_speed(&service, i, &slow);
        }
    }
    choice = choose(&service);
    CU_ASSERT_EQUAL(choice.slow, 0);
    CU_ASSERT_EQUAL(choice.scope, CW_GANG_IN_DC);
}

/* Guards against a gang that needs a rack and leaves it because of slow
 * workers, as its work takes as long across racks. */
static void
test_a_gang_that_needs_a_rack_takes_slow_workers(void)
{
    struct service service;
    struct cw_gang_choice choice;

    service_begin(&service, 6);
    for (unsigned i = 0; i < SERVICE_WORKERS; i += 6) {
        set_speed(&service, i, &slow);
    }
    service.shape.needs_rack = true;
    choice = choose(&service);
    CU_ASSERT_EQUAL(choice.scope, CW_GANG_IN_RACK);
    CU_ASSERT_EQUAL(choice.slow, 1);
}

static void
test_measured_workers_come_before_others(void)
{
    const struct cw_speed_view unproved = {.speed = 1};

    CU_ASSERT_TRUE(cw_speed_rank(&typical) > cw_speed_rank(&unproved));
    CU_ASSERT_TRUE(cw_speed_rank(&unproved) > cw_speed_rank(&slow));
}

/* Runs are stopped only where the free place is too slow for callers, and the
 * wait is shorter than what the slow members cost. */
static void
test_preemption_has_to_end_sooner(void)
{
    struct cw_gang_wait wait = {.length_ms = 2000,
                                .speed = 1 / 3.0,
                                .speed_after = 1,
                                .wait_max_ms = 1500};

    CU_ASSERT_TRUE(cw_gang_should_preempt(&wait));
    wait.length_ms = 700;
    CU_ASSERT_FALSE(cw_gang_should_preempt(&wait));
    wait.length_ms = 20000;
    wait.speed = 0.7;
    CU_ASSERT_FALSE(cw_gang_should_preempt(&wait));
}

static void
show_racks_slow(struct cluster *cluster, unsigned first, unsigned last)
{
    for (unsigned i = first * PER_RACK; i < last * PER_RACK; i++) {
        char name[16];

        g_snprintf(name, sizeof(name), "w%02u", i);
        show_slow(cluster, name);
    }
}

/* Guards against low-priority tasks on normal workers while slow ones are
 * free, and urgent ones on slow workers. */
static void
test_slow_workers_get_lower_priority_tasks_first(void)
{
    static const struct cw_step_spec small = {.tasks = 1, .accelerators = 1};
    struct cluster cluster;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    show_slow(&cluster, "w06");
    CU_ASSERT_STRING_EQUAL(worker_of(run_job(&cluster, 1, &small), 0)->id,
                           "w06");
    CU_ASSERT_STRING_NOT_EQUAL(worker_of(run_job(&cluster, 0, &small), 0)->id,
                               "w06");
    cluster_end(&cluster);
}

/* Guards against an urgent gang on slow workers while lower-priority runs
 * occupy the others. */
static void
test_an_urgent_gang_preempts_rather_than_be_slow(void)
{
    static const struct cw_step_spec wide = {.tasks = 8,
                                             .accelerators = ACCELERATORS};
    static const struct cw_step_spec gang = {
        .tasks = 3, .accelerators = ACCELERATORS, .gang = true};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_job *lower;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    lower = run_job(&cluster, 2, &wide);
    for (unsigned i = 0; i < RACKS * PER_RACK; i++) {
        char name[16];

        g_snprintf(name, sizeof(name), "w%02u", i);
        if (owner_target_get(cluster.owner, name)->runs->len == 0) {
            show_slow(&cluster, name);
        }
    }
    job = add_job(&cluster, 0, &gang);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL(placed(job), 3);
    for (unsigned i = 0; i < placed(job); i++) {
        CU_ASSERT_FALSE(
            owner_target_is_slow(worker_of(job, i), cluster.clock.now));
    }
    CU_ASSERT_TRUE(placed(lower) > 0);
    cluster_end(&cluster);
}

/* Guards against a gang that needs a rack and is spread over several, with
 * lower-priority runs stopped for it, to avoid one slow worker. */
static void
test_a_gang_that_needs_a_rack_preempts_for_speed_only_in_one(void)
{
    static const struct cw_step_spec wide = {.tasks = 8,
                                             .accelerators = ACCELERATORS};
    static const struct cw_step_spec gang = {.tasks = PER_RACK,
                                             .accelerators = ACCELERATORS,
                                             .gang = true,
                                             .same_rack = CW_SAME_RACK_FASTER};
    struct cluster cluster;
    struct owner_job *job;
    struct owner_job *lower;

    cluster_begin(&cluster);
    set_guarantee(&cluster, 0);
    lower = run_job(&cluster, 2, &wide);
    CU_ASSERT_EQUAL(placed(lower), 8);
    show_slow(&cluster, "w00");
    show_slow(&cluster, "w04");
    show_slow(&cluster, "w08");
    job = add_job(&cluster, 0, &gang);
    pass(&cluster, 10);
    CU_ASSERT_EQUAL_FATAL(placed(job), PER_RACK);
    for (unsigned i = 1; i < PER_RACK; i++) {
        CU_ASSERT_STRING_EQUAL(worker_of(job, i)->rack,
                               worker_of(job, 0)->rack);
    }
    cluster_end(&cluster);
}

/* Guards against an urgent gang that waits, as the owner knows that the only
 * free workers are slow and nothing can be stopped. */
static void
test_slow_workers_are_used_if_nothing_else_is_free(void)
{
    static const struct cw_step_spec gang = {
        .tasks = 12, .accelerators = ACCELERATORS, .gang = true};

    for (unsigned priority = 0; priority < 2; priority++) {
        struct cluster cluster;
        struct owner_job *job;

        cluster_begin(&cluster);
        set_guarantee(&cluster, 0);
        show_racks_slow(&cluster, 0, RACKS);
        job = add_job(&cluster, priority, &gang);
        pass(&cluster, 10);
        CU_ASSERT_EQUAL(placed(job), 12);
        cluster_end(&cluster);
    }
}

static const struct test tests[] = {
    {"a third", test_a_third_slow_at_once},
    {"one in twenty", test_one_in_twenty_slow},
    {"all", test_all_slow},
    {"by rack", test_slow_by_rack},
    {"by data centre", test_slow_by_data_centre},
    {"needs a rack", test_a_gang_that_needs_a_rack_takes_slow_workers},
    {"measured", test_measured_workers_come_before_others},
    {"sooner", test_preemption_has_to_end_sooner},
    {"tasks", test_slow_workers_get_lower_priority_tasks_first},
    {"preempts in a rack",
     test_a_gang_that_needs_a_rack_preempts_for_speed_only_in_one},
    {"preempts", test_an_urgent_gang_preempts_rather_than_be_slow},
    {"nothing else", test_slow_workers_are_used_if_nothing_else_is_free},
};

TEST_MAIN("gang choice", tests)
