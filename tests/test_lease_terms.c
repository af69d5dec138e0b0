/* The support that an owner needs to renew leases, the terms that it records,
 * and how long the next owner waits for workers that do not answer it. */
#include "test_main.h"

#include "curlewcart/cw_voter.h"
#include "owner_fixture.h"

enum {
    PEERS = 5,
    GRANTED_MS = 5500,
    /* Leases by this VM's clock: with drift and slack. */
    LONG_MAX_MS = GRANTED_MS + GRANTED_MS / 50 + 200,
    SHORT_MAX_MS = OWNER_SHORT_LEASE_MS + OWNER_SHORT_LEASE_MS / 50 + 200,
    /* The longest lease where workers may restart under their ids. */
    WHOLE_LEASE_MAX_MS = LEASE_MS + LEASE_MS / 50 + 500,
    OPEN_BOUND_MS = 6000 + GRANTED_MS + GRANTED_MS / 50 + 500,
    OPEN_SHORT_BOUND_MS =
        6000 + OWNER_SHORT_LEASE_MS + OWNER_SHORT_LEASE_MS / 50 + 500,
    EARLY_EPOCH = 5,
    OTHER_EPOCH = 4,
    LATER_GENERATION = 2, /* epochs above these */
    ENDED_AGO_MS = 500,
    LONGER_LEFT_MS = 4000,
    TOLERANCE_MS = 250
};

/* Other VMs "a" to "e". */
struct fake_peers {
    struct cw_peers base;
    bool answers[PEERS];
    bool refuse; /* they support a higher epoch */
    int64_t lower_left_ms;
    unsigned requests;
};

static const char *const names[PEERS] = {"a", "b", "c", "d", "e"};

static void
answer_support(struct cw_peers *base, const struct cw_peers_support *call)
{
    struct fake_peers *peers = (struct fake_peers *)base;
    struct cw_peers_answer answer = {.lower_left_ms = peers->lower_left_ms};
    unsigned index = (unsigned)(call->address[0] - 'a');

    peers->requests++;
    answer.supported = peers->answers[index] && !peers->refuse;
    call->done(call->context, &answer);
}

static void
list_all(struct cw_peers *base, GPtrArray *out)
{
    (void)base;
    for (unsigned i = 0; i < PEERS; i++) {
        g_ptr_array_add(out, (gpointer)names[i]);
    }
}

static void
set_answering(struct fake_peers *peers, unsigned count)
{
    for (unsigned i = 0; i < PEERS; i++) {
        peers->answers[i] = i < count;
    }
}

static void
begin(struct fixture *fixture, struct fake_peers *peers, unsigned answering)
{
    static const struct cw_peers_ops ops = {.support = answer_support,
                                            .addresses = list_all};

    *peers = (struct fake_peers){.base = {.ops = &ops},
                                 .lower_left_ms = -ENDED_AGO_MS};
    set_answering(peers, answering);
    fixture_begin_with_state(fixture, LATER_GENERATION);
    fixture->owner->options.peers = &peers->base;
}

static void
put_epoch(struct fixture *fixture)
{
    struct cw_epoch_record value = {
        .epoch = EARLY_EPOCH, .settled_below = 1, .lease_ms = GRANTED_MS};

    put_record(fixture, "oother", (xdrproc_t)xdr_cw_epoch_record, &value);
}

/* Records the terms of the earlier owner, with the first VMs as its
 * electorate. */
static void
put_terms(struct fixture *fixture, uint64_t epoch, unsigned voters,
          unsigned lease_ms, unsigned longer_left_ms)
{
    struct cw_lease_terms_record value = {
        .epoch = epoch,
        .lease_ms = lease_ms,
        .longer_left_ms = longer_left_ms,
        .voters = {.voters_len = voters, .voters_val = (cw_name *)names}};

    put_record(fixture, "tother", (xdrproc_t)xdr_cw_lease_terms_record,
               &value);
}

static void
put_former_owner(struct fixture *fixture, uint64_t terms_epoch,
                 unsigned voters, unsigned lease_ms, unsigned longer_left_ms)
{
    put_epoch(fixture);
    put_terms(fixture, terms_epoch, voters, lease_ms, longer_left_ms);
}

/* Records that the earlier owner's leases count from its support. */
static void
put_lease_start(struct fixture *fixture, uint64_t epoch)
{
    struct cw_lease_start_record value = {.epoch = epoch};

    put_record(fixture, "lother", (xdrproc_t)xdr_cw_lease_start_record,
               &value);
}

/* Takes over; returns how long after that the worker, which does not answer,
 * is waited for. */
static int64_t
bound_after_takeover(struct fixture *fixture)
{
    struct timespec began = fixture->clock.now;

    take_over(fixture);
    CU_ASSERT_TRUE_FATAL(cw_owner_active(fixture->owner));
    return cw_time_diff_ms(began, the_worker(fixture)->lease_end);
}

static bool
is_about(int64_t ms, int64_t expected_ms)
{
    return ms <= expected_ms + TOLERANCE_MS &&
           ms >= expected_ms - TOLERANCE_MS;
}

static const struct cw_replica_lease_terms *
own_terms(const struct fixture *fixture)
{
    return cw_replica_epoch_terms(
        g_hash_table_lookup(cw_replica_epochs(fixture->replica), fixture->vm));
}

/* ---- the next owner ---- */

/* Guards against LOST: a new owner that waits for 6 s in which a former owner
 * that nobody supports may have renewed leases. */
static void
test_support_ends_the_wait(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, 2);
    put_former_owner(&fixture, EARLY_EPOCH, 3, GRANTED_MS, 0);
    CU_ASSERT_TRUE(
        is_about(bound_after_takeover(&fixture), LONG_MAX_MS - ENDED_AGO_MS));
    fixture_end(&fixture);
}

/* Guards against TWICE: a minority of the electorate, which need not have a VM
 * in common with the majority that supported the former owner. */
static void
test_minority_proves_nothing(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, 2);
    put_former_owner(&fixture, EARLY_EPOCH, 5, GRANTED_MS, 0);
    CU_ASSERT_TRUE(is_about(bound_after_takeover(&fixture), OPEN_BOUND_MS));
    set_answering(&peers, 3);
    run(&fixture, 200);
    CU_ASSERT_TRUE(is_about(
        cw_time_diff_ms(fixture.clock.now, the_worker(&fixture)->lease_end),
        LONG_MAX_MS - ENDED_AGO_MS));
    fixture_end(&fixture);
}

/* Guards against TWICE: answers of VMs that support a higher epoch. */
static void
test_refusal_proves_nothing(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    peers.refuse = true;
    put_epoch(&fixture);
    put_terms(&fixture, EARLY_EPOCH, 3, GRANTED_MS, 0);
    CU_ASSERT_TRUE(is_about(bound_after_takeover(&fixture), OPEN_BOUND_MS));
    fixture_end(&fixture);
}

/* Guards against TWICE: terms of an epoch before the last one. */
static void
test_terms_of_another_epoch_do_not_count(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    put_former_owner(&fixture, OTHER_EPOCH, 3, OWNER_SHORT_LEASE_MS, 0);
    CU_ASSERT_TRUE(is_about(bound_after_takeover(&fixture), OPEN_BOUND_MS));
    fixture_end(&fixture);
}

/* Guards against LOST: a new owner that waits for the longest lease although
 * the former one granted shorter ones, with and without support. */
static void
test_recorded_lease_length_counts(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    put_former_owner(&fixture, EARLY_EPOCH, 3, OWNER_SHORT_LEASE_MS, 0);
    CU_ASSERT_TRUE(
        is_about(bound_after_takeover(&fixture), SHORT_MAX_MS - ENDED_AGO_MS));
    fixture_end(&fixture);
    begin(&fixture, &peers, PEERS);
    put_former_owner(&fixture, EARLY_EPOCH, 0, OWNER_SHORT_LEASE_MS, 0);
    CU_ASSERT_TRUE(
        is_about(bound_after_takeover(&fixture), OPEN_SHORT_BOUND_MS));
    fixture_end(&fixture);
}

/* Guards against LOST: a new owner that adds the time for which the former one
 * was supported to a lease that began before, which is more than the 3 s in
 * which nothing of a job may run. */
static void
test_leases_from_support_end_the_wait_sooner(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    put_epoch(&fixture);
    put_lease_start(&fixture, EARLY_EPOCH);
    put_terms(&fixture, EARLY_EPOCH, 3, OWNER_SHORT_LEASE_MS, 0);
    CU_ASSERT_TRUE(is_about(bound_after_takeover(&fixture),
                            SHORT_MAX_MS - ENDED_AGO_MS - CW_SUPPORT_MS));
    fixture_end(&fixture);
}

/* Guards against TWICE: an owner of an older build, whose leases count from
 * its orders, after one of this build on the same VM. */
static void
test_lease_start_of_another_epoch_does_not_count(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    put_lease_start(&fixture, OTHER_EPOCH);
    put_epoch(&fixture);
    put_terms(&fixture, EARLY_EPOCH, 3, OWNER_SHORT_LEASE_MS, 0);
    CU_ASSERT_TRUE(
        is_about(bound_after_takeover(&fixture), SHORT_MAX_MS - ENDED_AGO_MS));
    fixture_end(&fixture);
}

/* Records the epoch of an earlier process of this VM, and its terms. */
static void
put_former_process(struct fixture *fixture, unsigned lease_ms,
                   unsigned longer_left_ms)
{
    struct cw_epoch_record epoch = {
        .epoch = EARLY_EPOCH, .settled_below = 1, .lease_ms = GRANTED_MS};
    struct cw_lease_terms_record terms = {.epoch = EARLY_EPOCH,
                                          .lease_ms = lease_ms,
                                          .longer_left_ms = longer_left_ms};

    put_record(fixture, "othis", (xdrproc_t)xdr_cw_epoch_record, &epoch);
    put_record(fixture, "tthis", (xdrproc_t)xdr_cw_lease_terms_record, &terms);
}

/* Guards against LOST: a VM that is killed and takes over again, and waits for
 * the longest lease although its former process granted shorter ones; and
 * against TWICE: longer leases of that process, which last on. */
static void
test_terms_of_a_former_process_count(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    put_former_process(&fixture, OWNER_SHORT_LEASE_MS, 0);
    CU_ASSERT_TRUE(
        is_about(bound_after_takeover(&fixture), SHORT_MAX_MS + 300));
    fixture_end(&fixture);
    begin(&fixture, &peers, PEERS);
    put_former_process(&fixture, OWNER_SHORT_LEASE_MS, LONGER_LEFT_MS);
    CU_ASSERT_TRUE(is_about(bound_after_takeover(&fixture), LONGER_LEFT_MS));
    fixture_end(&fixture);
}

/* Returns how long after its start this VM tells others that leases of its
 * former process last. */
static int64_t
told_of_former_process(struct fixture *fixture)
{
    const struct cw_replica_epoch *own;

    fixture->owner->join_in_flight = true;
    run(fixture, 1000);
    own =
        g_hash_table_lookup(cw_replica_epochs(fixture->replica), fixture->vm);
    CU_ASSERT_EQUAL_FATAL(own->end_epoch, EARLY_EPOCH);
    return cw_time_diff_ms(cw_time_from_ms(START_MS), own->end_read_at) +
           (int64_t)own->left_ms;
}

/* Guards against TWICE: a former process whose terms were widened after it
 * had recorded its epoch, as workers that report when they booted were listed
 * later; by what this VM assumes, and by what it tells others. */
static void
test_wider_terms_of_a_former_process_count(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    put_former_process(&fixture, LEASE_MS, 0);
    CU_ASSERT_TRUE(bound_after_takeover(&fixture) >= WHOLE_LEASE_MAX_MS);
    fixture_end(&fixture);
    begin(&fixture, &peers, PEERS);
    put_former_process(&fixture, LEASE_MS, 0);
    CU_ASSERT_TRUE(told_of_former_process(&fixture) >= WHOLE_LEASE_MAX_MS);
    fixture_end(&fixture);
}

/* Guards against LOST: other VMs that wait for the longest lease after a VM
 * that was killed is back; and against TWICE: longer leases that last on. */
static void
test_others_are_told_the_terms_of_a_former_process(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    put_former_process(&fixture, OWNER_SHORT_LEASE_MS, 0);
    CU_ASSERT_TRUE(
        is_about(told_of_former_process(&fixture), SHORT_MAX_MS + 300));
    fixture_end(&fixture);
    begin(&fixture, &peers, PEERS);
    put_former_process(&fixture, OWNER_SHORT_LEASE_MS, LONGER_LEFT_MS);
    CU_ASSERT_TRUE(told_of_former_process(&fixture) >= LONGER_LEFT_MS);
    fixture_end(&fixture);
}

/* Guards against TWICE: leases that were granted before the terms were
 * narrowed. */
static void
test_longer_leases_from_before_count(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    put_former_owner(&fixture, EARLY_EPOCH, 3, OWNER_SHORT_LEASE_MS,
                     LONGER_LEFT_MS);
    CU_ASSERT_TRUE(is_about(bound_after_takeover(&fixture), LONGER_LEFT_MS));
    fixture_end(&fixture);
}

/* ---- the owner ---- */

/* Lets time pass with a worker that answers, and does not tell when it
 * booted. */
static void
run_answering(struct fixture *fixture, unsigned ms)
{
    struct cw_running running[TASKS] = {0};
    struct cw_target_answer answer = {
        .status = CW_TARGET_OK, .running = running, .running_count = TASKS};

    for (unsigned i = 0; i < TASKS; i++) {
        running[i].task.job = ID;
        running[i].task.index = i;
        running[i].run = RUN;
        running[i].saved = "";
    }
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        run(fixture, STEP_MS);
        answer.clock_ms =
            cw_time_diff_ms(cw_time_from_ms(0), fixture->clock.now);
        while (unanswered != NULL && unanswered->len > 0) {
            struct cw_target_order order =
                g_array_index(unanswered, struct cw_target_order, 0);

            g_array_remove_index(unanswered, 0);
            order.done(order.context, &answer);
        }
    }
}

static bool
may_grant(const struct fixture *fixture)
{
    return owner_lease_may_be_granted(the_worker(fixture), fixture->clock.now);
}

/* Guards against TWICE: leases that are renewed while too few VMs support the
 * owner.  The worker is polled all the same. */
static void
test_no_lease_is_renewed_without_a_majority(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    take_over(&fixture);
    CU_ASSERT_EQUAL(own_terms(&fixture)->voters->len, PEERS);
    make_worker_reachable(&fixture);
    run_answering(&fixture, 3000);
    CU_ASSERT_TRUE(may_grant(&fixture));
    fixture.store.answer_status = CW_STORE_UNKNOWN;
    set_answering(&peers, 2);
    run_answering(&fixture, CW_SUPPORT_MS / 2);
    CU_ASSERT_TRUE(may_grant(&fixture));
    run_answering(&fixture, CW_SUPPORT_MS / 2);
    CU_ASSERT_FALSE(may_grant(&fixture));
    run_answering(&fixture, 1000);
    CU_ASSERT_FALSE(may_grant(&fixture));
    CU_ASSERT_TRUE(cw_time_diff_ms(the_worker(&fixture)->poll_sent_at,
                                   fixture.clock.now) < 1000);
    set_answering(&peers, 3);
    run_answering(&fixture, 300);
    CU_ASSERT_TRUE(may_grant(&fixture));
    fixture_end(&fixture);
}

/* Guards against TWICE: leases that count from a later time than the next
 * owner assumes. */
static void
test_lease_counts_from_the_request_for_support(void)
{
    struct fixture fixture;
    struct fake_peers peers;
    int64_t last_request_ms;

    begin(&fixture, &peers, PEERS);
    take_over_with_worker(&fixture);
    run_answering(&fixture, 3000);
    last_request_ms = cw_time_diff_ms(cw_time_from_ms(0), fixture.clock.now);
    set_answering(&peers, 2);
    run_answering(&fixture, CW_SUPPORT_MS / 2);
    CU_ASSERT_TRUE(may_grant(&fixture));
    CU_ASSERT_TRUE(the_worker(&fixture)->incarnation.lease_sent_ms <=
                   last_request_ms + OWNER_SHORT_LEASE_MS);
    fixture_end(&fixture);
}

/* The latest time at which the lease that was sent may end. */
static struct timespec
sent_lease_end(const struct fixture *fixture)
{
    struct timespec now = fixture->clock.now;

    return cw_time_add_ms(
        now,
        owner_with_drift_ms(the_worker(fixture)->incarnation.lease_sent_ms -
                            cw_time_diff_ms(cw_time_from_ms(0), now)));
}

/* Guards against LOST: a worker that answers before the support of earlier
 * owners is known, and is waited for as long as if it stayed unknown; and
 * against TWICE: a bound below the lease that this owner has granted. */
static void
test_support_known_after_an_answer_ends_the_wait(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, 0);
    put_former_owner(&fixture, EARLY_EPOCH, 3, OWNER_SHORT_LEASE_MS, 0);
    take_over_with_worker(&fixture);
    run_answering(&fixture, 200);
    CU_ASSERT_TRUE_FATAL(the_worker(&fixture)->answered);
    CU_ASSERT_TRUE(lease_left_ms(&fixture) > LEASE_MS - 500);
    set_answering(&peers, PEERS);
    run_answering(&fixture, 1000);
    CU_ASSERT_TRUE(may_grant(&fixture));
    CU_ASSERT_TRUE(lease_left_ms(&fixture) <= SHORT_MAX_MS);
    CU_ASSERT_FALSE(cw_time_before(the_worker(&fixture)->lease_end,
                                   sent_lease_end(&fixture)));
    fixture_end(&fixture);
}

/* Guards against TWICE: leases that count from the support of the electorate
 * before, whose VMs the next owner does not ask. */
static void
test_record_names_leases_of_another_electorate(void)
{
    struct fixture fixture;
    struct fake_peers peers;
    struct timespec granted_until = cw_time_from_ms(0);

    begin(&fixture, &peers, PEERS);
    take_over_with_worker(&fixture);
    run_answering(&fixture, 3000);
    CU_ASSERT_EQUAL(own_terms(&fixture)->longer_left_ms, 0);
    set_answering(&peers, 1);
    for (unsigned i = 0; i < 200 && own_terms(&fixture)->voters->len > 1; i++)
    {
        if (!may_grant(&fixture)) {
            granted_until = sent_lease_end(&fixture);
        }
        run_answering(&fixture, STEP_MS);
    }
    CU_ASSERT_EQUAL(own_terms(&fixture)->voters->len, 1);
    CU_ASSERT_TRUE(cw_time_before(fixture.clock.now, granted_until));
    CU_ASSERT_FALSE(cw_time_before(
        cw_time_add_ms(own_terms(&fixture)->read_at,
                       (int64_t)own_terms(&fixture)->longer_left_ms),
        granted_until));
    run_answering(&fixture, SHORT_MAX_MS + 500);
    CU_ASSERT_EQUAL(own_terms(&fixture)->longer_left_ms, 0);
    fixture_end(&fixture);
}

/* Guards against work that ends with its leases because VMs are lost while the
 * store answers: the owner records that it needs no support. */
static void
test_owner_does_without_support_once_that_is_stored(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    take_over_with_worker(&fixture);
    run_answering(&fixture, 3000);
    set_answering(&peers, 0);
    run_answering(&fixture, 1500);
    CU_ASSERT_EQUAL(own_terms(&fixture)->voters->len, 0);
    CU_ASSERT_TRUE(may_grant(&fixture));
    set_answering(&peers, PEERS);
    run_answering(&fixture, 2000);
    CU_ASSERT_EQUAL(own_terms(&fixture)->voters->len, PEERS);
    CU_ASSERT_TRUE(may_grant(&fixture));
    fixture_end(&fixture);
}

/* Guards against TWICE: a smaller electorate that counts before its record is
 * stored, while the next owner reads the larger one. */
static void
test_both_electorates_count_until_the_record_is_stored(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    take_over_with_worker(&fixture);
    run_answering(&fixture, 3000);
    fixture.store.answer_status = CW_STORE_UNKNOWN;
    set_answering(&peers, 1);
    run_answering(&fixture, 2 * CW_SUPPORT_MS);
    CU_ASSERT_EQUAL(own_terms(&fixture)->voters->len, PEERS);
    CU_ASSERT_FALSE(may_grant(&fixture));
    fixture.store.answer_status = CW_STORE_OK;
    run_answering(&fixture, 1500);
    CU_ASSERT_EQUAL(own_terms(&fixture)->voters->len, 1);
    CU_ASSERT_TRUE(may_grant(&fixture));
    fixture_end(&fixture);
}

/* Guards against TWICE: VMs that start again, and support the former owner
 * although their former processes supported the next one, which counts on
 * that. */
static void
test_voters_that_start_again_wait_for_the_store(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    take_over_with_worker(&fixture);
    run_answering(&fixture, 3000);
    CU_ASSERT_TRUE(may_grant(&fixture));
    fixture.store.answer_status = CW_STORE_UNKNOWN;
    fixture.joins_unanswered = true;
    run_answering(&fixture, 500);
    CU_ASSERT_TRUE(may_grant(&fixture));
    set_answering(&peers, 0);
    run_answering(&fixture, 1000);
    CU_ASSERT_FALSE(may_grant(&fixture));
    peers.lower_left_ms = CW_SUPPORT_MS; /* they have just started */
    set_answering(&peers, PEERS);
    run_answering(&fixture, 300);
    CU_ASSERT_FALSE(may_grant(&fixture));
    peers.lower_left_ms = -ENDED_AGO_MS;
    fixture.store.answer_status = CW_STORE_OK;
    fixture.joins_unanswered = false;
    run_answering(&fixture, 1000);
    CU_ASSERT_TRUE(may_grant(&fixture));
    fixture_end(&fixture);
}

/* Guards against starts that carry no lease. */
static void
test_starts_wait_for_support(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    peers.refuse = true;
    take_over_with_worker(&fixture);
    run_answering(&fixture, 200);
    CU_ASSERT_FALSE(
        owner_lease_may_be_granted(the_worker(&fixture), fixture.clock.now));
    peers.refuse = false;
    run_answering(&fixture, 300);
    CU_ASSERT_TRUE(may_grant(&fixture));
    fixture_end(&fixture);
}

/* Guards against leases longer than those that are recorded. */
static void
test_no_long_lease_before_it_is_recorded(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    take_over(&fixture);
    CU_ASSERT_EQUAL(own_terms(&fixture)->lease_ms, OWNER_SHORT_LEASE_MS);
    CU_ASSERT_FALSE(owner_lease_terms_allow_long(fixture.owner));
    make_worker_reachable(&fixture);
    fixture.store.answer_status = CW_STORE_UNKNOWN;
    (void)run_answering_polls(&fixture, 500); /* reports when it booted */
    CU_ASSERT_FALSE(owner_lease_terms_allow_long(fixture.owner));
    CU_ASSERT_FALSE(
        owner_lease_may_be_granted(the_worker(&fixture), fixture.clock.now));
    fixture.store.answer_status = CW_STORE_OK;
    (void)run_answering_polls(&fixture, 1500);
    CU_ASSERT_TRUE(owner_lease_terms_allow_long(fixture.owner));
    CU_ASSERT_EQUAL(own_terms(&fixture)->lease_ms, LEASE_MS);
    fixture_end(&fixture);
}

/* Guards against TWICE: leases that a VM granted under an earlier epoch, whose
 * records those of its present epoch replace. */
static void
test_record_names_leases_of_earlier_epochs(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    take_over(&fixture);
    CU_ASSERT_EQUAL(own_terms(&fixture)->longer_left_ms, 0);
    owner_drop_ownership(fixture.owner, "test");
    fixture.generation++;
    take_over(&fixture);
    CU_ASSERT_EQUAL(own_terms(&fixture)->epoch, fixture.owner->epoch);
    CU_ASSERT_EQUAL(own_terms(&fixture)->lease_ms, OWNER_SHORT_LEASE_MS);
    CU_ASSERT_TRUE(own_terms(&fixture)->longer_left_ms >=
                   GRANTED_MS + GRANTED_MS / 50);
    run(&fixture, LONG_MAX_MS + 1000);
    CU_ASSERT_EQUAL(own_terms(&fixture)->longer_left_ms, 0);
    fixture_end(&fixture);
}

/* Guards against TWICE: a start that is held up and reaches the next
 * incarnation of a worker, after a wait that only regards leases. */
static void
test_no_electorate_where_workers_report_boot_times(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    take_over(&fixture);
    CU_ASSERT_EQUAL(own_terms(&fixture)->voters->len, PEERS);
    make_worker_reachable(&fixture);
    (void)run_answering_polls(&fixture, 1000); /* reports when it booted */
    CU_ASSERT_EQUAL(own_terms(&fixture)->voters->len, 0);
    CU_ASSERT_EQUAL(own_terms(&fixture)->lease_ms, LEASE_MS);
    fixture_end(&fixture);
}

/* Guards against TWICE: leases from before the terms were narrowed that the
 * record does not name. */
static void
test_record_names_longer_leases_from_before(void)
{
    struct fixture fixture;
    struct fake_peers peers;

    begin(&fixture, &peers, PEERS);
    take_over_with_worker(&fixture);
    (void)run_answering_polls(&fixture, 1000);
    CU_ASSERT_EQUAL(own_terms(&fixture)->lease_ms, LEASE_MS);
    owner_lease_terms_granted(
        fixture.owner, cw_time_add_ms(fixture.clock.now, LONGER_LEFT_MS));
    the_worker(&fixture)->incarnation.boot_ms = 0; /* it needs no long ones */
    run(&fixture, 200);
    CU_ASSERT_EQUAL(own_terms(&fixture)->lease_ms, OWNER_SHORT_LEASE_MS);
    CU_ASSERT_TRUE(own_terms(&fixture)->longer_left_ms >=
                   LONGER_LEFT_MS + LONGER_LEFT_MS / 50 - 200);
    run_answering(&fixture, LONGER_LEFT_MS + 1000);
    CU_ASSERT_EQUAL(own_terms(&fixture)->longer_left_ms, 0);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"support", test_support_ends_the_wait},
    {"minority", test_minority_proves_nothing},
    {"refusal", test_refusal_proves_nothing},
    {"other epoch", test_terms_of_another_epoch_do_not_count},
    {"lease length", test_recorded_lease_length_counts},
    {"leases from support", test_leases_from_support_end_the_wait_sooner},
    {"lease start of another epoch",
     test_lease_start_of_another_epoch_does_not_count},
    {"former process", test_terms_of_a_former_process_count},
    {"wider terms of a former process",
     test_wider_terms_of_a_former_process_count},
    {"end of a former process",
     test_others_are_told_the_terms_of_a_former_process},
    {"longer leases", test_longer_leases_from_before_count},
    {"majority", test_no_lease_is_renewed_without_a_majority},
    {"no support", test_owner_does_without_support_once_that_is_stored},
    {"lease start", test_lease_counts_from_the_request_for_support},
    {"support known after an answer",
     test_support_known_after_an_answer_ends_the_wait},
    {"leases of another electorate",
     test_record_names_leases_of_another_electorate},
    {"two electorates",
     test_both_electorates_count_until_the_record_is_stored},
    {"voters that start again",
     test_voters_that_start_again_wait_for_the_store},
    {"starts", test_starts_wait_for_support},
    {"record of longer leases", test_record_names_longer_leases_from_before},
    {"earlier epochs", test_record_names_leases_of_earlier_epochs},
    {"boot times", test_no_electorate_where_workers_report_boot_times},
    {"long lease", test_no_long_lease_before_it_is_recorded},
};

TEST_MAIN("lease terms", tests)
