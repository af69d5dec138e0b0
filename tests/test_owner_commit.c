/* States of jobs in several batches: a start is released, and an end is
 * confirmed, with the batch that makes it durable and with no earlier one. */
#include "test_main.h"

#include "owner_fixture.h"

enum { BATCHES_MAX = 4, INTERVAL_MS = 20 };

/* Appends of states that have reached the store, without an answer. */
static struct cw_store_append unanswered_appends[BATCHES_MAX];
static struct cw_store_append_result results[BATCHES_MAX];
static unsigned batches;

static void
withhold_states(struct cw_store *store, const struct cw_store_append *call)
{
    if (strcmp(call->topic, CW_STATE_TOPIC) != 0) {
        fake_store_append(store, call);
        return;
    }
    CU_ASSERT_FATAL(batches < BATCHES_MAX);
    unanswered_appends[batches] = *call;
    results[batches++] = store_model_append(current->store.model, call);
}

static void
answer_append(unsigned n)
{
    const struct cw_store_append *call = &unanswered_appends[n];

    call->done(call->context, &results[n]);
}

/* An owner with a job and its worker, whose states are withheld from now on.
 */
static void
begin(struct fixture *fixture)
{
    static struct cw_store_ops ops;

    fixture_begin(fixture);
    put_spec(fixture);
    take_over(fixture);
    CU_ASSERT_EQUAL_FATAL(fixture->owner->state, OWNER_ACTIVE);
    (void)owner_target_get(fixture->owner, "w");
    ops = *fixture->store.base.ops;
    ops.append = withhold_states;
    fixture->store.base.ops = &ops;
    batches = 0;
}

static void
commit(struct fixture *fixture)
{
    fixture->clock.now = cw_time_add_ms(fixture->clock.now, INTERVAL_MS);
    owner_commit_tick(fixture->owner, fixture->clock.now);
}

static struct owner_run *
place_task(struct fixture *fixture, unsigned index)
{
    struct owner_task *task = &step_of(the_job(fixture))->tasks[index];
    struct owner_run *run = owner_run_create(fixture->owner, task,
                                             the_worker(fixture), RUN_NEW, 1);

    owner_job_mark_dirty(fixture->owner, the_job(fixture));
    return run;
}

/* Guards against a start that is sent before its placement is durable, as an
 * earlier batch with the same job is stored. */
static void
test_a_start_waits_for_the_batch_with_its_placement(void)
{
    struct fixture fixture;
    const struct owner_run *first;
    const struct owner_run *second;

    begin(&fixture);
    first = place_task(&fixture, 0);
    commit(&fixture);
    second = place_task(&fixture, 1);
    commit(&fixture);
    CU_ASSERT_EQUAL_FATAL(batches, 2);
    answer_append(0);
    CU_ASSERT_EQUAL(first->phase, RUN_READY);
    CU_ASSERT_EQUAL(second->phase, RUN_COMMITTING);
    answer_append(1);
    CU_ASSERT_EQUAL(second->phase, RUN_READY);
    fixture_end(&fixture);
}

static void
test_a_later_answer_releases_all_starts_before_it(void)
{
    struct fixture fixture;
    const struct owner_run *first;
    const struct owner_run *second;

    begin(&fixture);
    first = place_task(&fixture, 0);
    commit(&fixture);
    second = place_task(&fixture, 1);
    commit(&fixture);
    CU_ASSERT_EQUAL_FATAL(batches, 2);
    answer_append(1);
    CU_ASSERT_EQUAL(first->phase, RUN_READY);
    CU_ASSERT_EQUAL(second->phase, RUN_READY);
    answer_append(0);
    fixture_end(&fixture);
}

static void
apply_end(struct fixture *fixture, uint64_t number)
{
    struct owner_target *target = the_worker(fixture);

    target->incarnation.ends_applied = number;
    owner_target_ends_applied(target);
}

/* Guards against an end that is confirmed to its worker, and forgotten there,
 * while its effect is in a batch that is not stored. */
static void
test_an_end_waits_for_the_batch_with_its_effect(void)
{
    struct fixture fixture;

    begin(&fixture);
    apply_end(&fixture, 1);
    owner_job_mark_dirty(fixture.owner, the_job(&fixture));
    commit(&fixture);
    apply_end(&fixture, 2);
    owner_job_mark_dirty(fixture.owner, the_job(&fixture));
    commit(&fixture);
    CU_ASSERT_EQUAL_FATAL(batches, 2);
    answer_append(0);
    CU_ASSERT_EQUAL(the_worker(&fixture)->incarnation.ends_durable, 1);
    commit(&fixture);
    CU_ASSERT_EQUAL(the_worker(&fixture)->incarnation.ends_durable, 1);
    answer_append(1);
    commit(&fixture);
    CU_ASSERT_EQUAL(the_worker(&fixture)->incarnation.ends_durable, 2);
    fixture_end(&fixture);
}

/* Guards against the numbers of a former incarnation's ends being confirmed to
 * the next one. */
static void
test_ends_of_a_former_incarnation_are_not_confirmed(void)
{
    struct fixture fixture;

    begin(&fixture);
    apply_end(&fixture, 7);
    owner_job_mark_dirty(fixture.owner, the_job(&fixture));
    commit(&fixture);
    CU_ASSERT_EQUAL_FATAL(batches, 1);
    the_worker(&fixture)->incarnation = owner_incarnation_new(2);
    answer_append(0);
    commit(&fixture);
    CU_ASSERT_EQUAL(the_worker(&fixture)->incarnation.ends_durable, 0);
    fixture_end(&fixture);
}

static void
test_an_owner_that_is_replaced_releases_nothing(void)
{
    struct fixture fixture;

    begin(&fixture);
    (void)place_task(&fixture, 0);
    commit(&fixture);
    (void)place_task(&fixture, 1);
    commit(&fixture);
    CU_ASSERT_EQUAL_FATAL(batches, 2);
    owner_drop_ownership(fixture.owner, "test");
    answer_append(1);
    answer_append(0);
    CU_ASSERT_EQUAL(fixture.owner->state_batches_stored, 0);
    CU_ASSERT_EQUAL(fixture.owner->order_window.outstanding, 0);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"start", test_a_start_waits_for_the_batch_with_its_placement},
    {"later answer", test_a_later_answer_releases_all_starts_before_it},
    {"end", test_an_end_waits_for_the_batch_with_its_effect},
    {"incarnation", test_ends_of_a_former_incarnation_are_not_confirmed},
    {"replaced", test_an_owner_that_is_replaced_releases_nothing},
};

TEST_MAIN("owner_commit", tests)
