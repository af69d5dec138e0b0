/* Reports of workers that are stored late.
 *
 * A worker's report may reach the store seconds after it was sent, when the
 * worker has crashed and its next incarnation, under a new id, is at work at
 * the same address.  So the list of workers does not tell which incarnation
 * is the later one. */
#include "test_main.h"

#include "owner/internal/owner_crashes.h"
#include "owner_cluster.h"
#include "platform/platform.h"

#define FORMER "i-former"
#define LATER "i-later"
#define ADDRESS "10.0.0.9:80"

static const struct cw_step_spec one = {.tasks = 1, .accelerators = 4};

static void
put_report(struct cluster *cluster, const char *id, const char *address)
{
    char *text =
        g_strdup_printf("{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
                        "\"state\":\"ready\",\"capacity\":{\"gpus\":8}}",
                        address);
    struct cw_store_record record = {
        .key = id, .value = text, .length = strlen(text), .offset = 1};

    owner_target_apply_record(cluster->owner, &record);
    g_free(text);
}

static void
remove_report(struct cluster *cluster, const char *id)
{
    struct cw_store_record record = {.key = id, .offset = 1};

    owner_target_apply_record(cluster->owner, &record);
}

static void
begin(struct cluster *cluster)
{
    cluster_begin(cluster);
    cluster->owner->options.codec = platform_codec();
}

/* Gives the worker a run of a new job that it has confirmed. */
static struct owner_job *
run_on(struct cluster *cluster, struct owner_target *target)
{
    struct owner_job *job = add_job(cluster, 0, &one);

    owner_run_create(cluster->owner, &step_of(job)->tasks[0], target, RUN_NEW,
                     1);
    confirm_starts(cluster, job);
    return job;
}

/* Polls the worker and answers. */
static void
answer_poll(struct cluster *cluster, struct owner_target *target,
            enum cw_target_status status)
{
    const struct cw_target_answer answer = {.status = status, .clock_ms = 1};

    target->poll_due = cw_time_from_ms(0);
    cluster->owner->ownership_confirmed_at = cluster->clock.now;
    owner_poll_tick(cluster->owner, target, cluster->clock.now);
    CU_ASSERT_TRUE_FATAL(target->poll_in_flight);
    answer_last_with(&answer);
}

/* The former incarnation is known to be over, and the later one, which has
 * answered, executes a run. */
static struct owner_job *
start_on_later_incarnation(struct cluster *cluster)
{
    struct owner_target *former;

    put_report(cluster, FORMER, ADDRESS);
    former = owner_target_get(cluster->owner, FORMER);
    run_on(cluster, former);
    answer_poll(cluster, former, CW_TARGET_OTHER_INCARNATION);
    CU_ASSERT_EQUAL(former->runs->len, 0);
    remove_report(cluster, FORMER);
    put_report(cluster, LATER, ADDRESS);
    return run_on(cluster, owner_target_get(cluster->owner, LATER));
}

/* Guards against a task that runs twice: the report of the worker that
 * executes it expires while a late report of the former incarnation at its
 * address is listed. */
static void
test_late_report_of_former_incarnation_ends_no_run(void)
{
    struct cluster cluster;
    struct owner_job *job;

    begin(&cluster);
    job = start_on_later_incarnation(&cluster);
    put_report(&cluster, FORMER, ADDRESS);
    CU_ASSERT_EQUAL(placed(job), 1);
    remove_report(&cluster, LATER);
    CU_ASSERT_EQUAL(placed(job), 1);
    remove_report(&cluster, FORMER);
    put_report(&cluster, LATER, ADDRESS);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_FALSE(owner_target_get(cluster.owner, LATER)->superseded);
    cluster_end(&cluster);
}

/* Guards against the same if the late report is stored after the other one has
 * expired. */
static void
test_late_report_after_expiry_ends_no_run(void)
{
    struct cluster cluster;
    struct owner_job *job;

    begin(&cluster);
    job = start_on_later_incarnation(&cluster);
    remove_report(&cluster, LATER);
    put_report(&cluster, FORMER, ADDRESS);
    CU_ASSERT_EQUAL(placed(job), 1);
    CU_ASSERT_FALSE(owner_target_get(cluster.owner, LATER)->superseded);
    cluster_end(&cluster);
}

/* Guards against the same for an owner that has never seen the former
 * incarnation answer, as it has loaded both reports. */
static void
test_list_that_is_loaded_ends_no_run(void)
{
    struct cluster cluster;
    struct owner_job *job;

    begin(&cluster);
    put_report(&cluster, LATER, ADDRESS);
    put_report(&cluster, FORMER, ADDRESS);
    job = run_on(&cluster, owner_target_get(cluster.owner, LATER));
    owner_targets_reset(cluster.owner);
    put_report(&cluster, FORMER, ADDRESS);
    owner_targets_loaded(cluster.owner);
    CU_ASSERT_EQUAL(placed(job), 1);
    cluster_end(&cluster);
}

/* Another worker that is listed at the address of one with runs is a reason to
 * ask the address at once: the refusal ends the wait for the lease. */
static void
test_other_worker_at_address_is_asked_at_once(void)
{
    struct cluster cluster;
    struct owner_target *former;
    struct owner_job *job;

    begin(&cluster);
    put_report(&cluster, FORMER, ADDRESS);
    former = owner_target_get(cluster.owner, FORMER);
    job = run_on(&cluster, former);
    answer_poll(&cluster, former, CW_TARGET_UNREACHABLE);
    owner_poll_tick(cluster.owner, former, cluster.clock.now);
    CU_ASSERT_FALSE(former->poll_in_flight);
    put_report(&cluster, LATER, ADDRESS);
    owner_poll_tick(cluster.owner, former, cluster.clock.now);
    CU_ASSERT_TRUE_FATAL(former->poll_in_flight);
    CU_ASSERT_STRING_EQUAL(last_order.address, ADDRESS);
    CU_ASSERT_STRING_EQUAL(last_order.id, FORMER);
    answer_last(CW_TARGET_OTHER_INCARNATION);
    CU_ASSERT_EQUAL(placed(job), 0);
    cluster_end(&cluster);
}

static const struct test tests[] = {
    {"late report of a former incarnation ends no run",
     test_late_report_of_former_incarnation_ends_no_run},
    {"late report after expiry ends no run",
     test_late_report_after_expiry_ends_no_run},
    {"list that is loaded ends no run", test_list_that_is_loaded_ends_no_run},
    {"other worker at the address is asked at once",
     test_other_worker_at_address_is_asked_at_once},
};

TEST_MAIN("late_reports", tests)
