/* Records of the epochs under which VMs granted leases, and how long a new
 * owner waits for workers that do not answer it. */
#include "test_main.h"

#include "emulator/worker_model.h"
#include "owner_fixture.h"

enum {
    /* The longest lease that owners grant, without and with clock drift and
     * the delay of an order. */
    GRANTED_MS = 5500,
    GRANTED_MAX_MS = GRANTED_MS + GRANTED_MS / 50 + 500,
    /* The same where workers may restart under their ids. */
    WHOLE_LEASE_MAX_MS = LEASE_MS + LEASE_MS / 50 + 500,
    /* The bound for a VM whose epoch has no end: 6 s in which it may still
     * grant a lease, and that lease. */
    OPEN_BOUND_MS = 6000 + GRANTED_MAX_MS,
    /* Epochs of two earlier owners, and one that is later than this VM's. */
    EARLY_EPOCH = 5,
    LATE_EPOCH = 7,
    HIGH_EPOCH = 100000,
    LATER_GENERATION = 2, /* epochs above EARLY_EPOCH and LATE_EPOCH */
    LEFT_MS = 3000,
    NOTE_AGE_MAX_MS = 3000, /* and the time of a takeover */
    ROW_MS = 1000,
    READ_MS =
        300, /* from the writing of a record until all VMs have read it */
    TOLERANCE_MS = 300 /* clock drift, reads and steps of the clock */
};

/* ---- records ---- */

static void
put_epoch(struct fixture *fixture, const char *key, uint64_t epoch,
          uint64_t settled)
{
    struct cw_epoch_record value = {
        .epoch = epoch, .settled_below = settled, .lease_ms = GRANTED_MS};

    put_record(fixture, key, (xdrproc_t)xdr_cw_epoch_record, &value);
}

/* An end of an epoch, with a row for a worker; NULL: none. */
static GByteArray *
encode_end(uint64_t epoch, unsigned left_ms, const char *worker)
{
    struct cw_lease_left row = {.worker = (char *)worker, .left_ms = ROW_MS};
    struct cw_epoch_end_record value = {.epoch = epoch, .left_ms = left_ms};

    value.sooner.sooner_len = worker != NULL;
    value.sooner.sooner_val = &row;
    return cw_xdr_encode((xdrproc_t)xdr_cw_epoch_end_record, &value);
}

static void
put_end(struct fixture *fixture, const char *key, uint64_t epoch,
        unsigned left_ms, const char *worker)
{
    GByteArray *bytes = encode_end(epoch, left_ms, worker);

    put(fixture, CW_JOBS_TOPIC, key, bytes);
    g_byte_array_unref(bytes);
}

static void
put_drop(struct fixture *fixture, const char *key)
{
    GByteArray *nothing = g_byte_array_new();

    put(fixture, CW_JOBS_TOPIC, key, nothing);
    g_byte_array_unref(nothing);
}

static const struct cw_replica_epoch *
epoch_of(const struct fixture *fixture, const char *vm)
{
    return g_hash_table_lookup(cw_replica_epochs(fixture->replica), vm);
}

/* ---- records applied by the replica ---- */

struct record_fixture {
    struct cw_clock_manual clock;
    struct cw_replica *replica;
};

static void
record_fixture_begin(struct record_fixture *records)
{
    struct cw_replica_options options = {.clock = &records->clock.base};

    cw_log_setup("off", "test");
    cw_clock_manual_init(&records->clock);
    records->clock.now = cw_time_from_ms(START_MS);
    records->replica = cw_replica_create(&options);
}

static void
apply_bytes(struct record_fixture *records, uint64_t offset, const char *key,
            GByteArray *bytes)
{
    struct cw_store_record record = {
        .key = key,
        .offset = offset,
        .value = bytes != NULL ? bytes->data : NULL,
        .length = bytes != NULL ? bytes->len : 0,
    };

    cw_replica_apply(records->replica, &record);
    if (bytes != NULL) {
        g_byte_array_unref(bytes);
    }
}

static void
apply_epoch(struct record_fixture *records, uint64_t offset, uint64_t epoch)
{
    struct cw_epoch_record value = {.epoch = epoch, .settled_below = epoch};

    apply_bytes(records, offset, "oa",
                cw_xdr_encode((xdrproc_t)xdr_cw_epoch_record, &value));
}

static void
apply_end(struct record_fixture *records, uint64_t offset, uint64_t epoch,
          unsigned left_ms)
{
    apply_bytes(records, offset, "ea", encode_end(epoch, left_ms, "w"));
}

static const struct cw_replica_epoch *
applied_epoch(const struct record_fixture *records)
{
    return g_hash_table_lookup(cw_replica_epochs(records->replica), "a");
}

/* Guards against a bound that starts anew each time a record is read. */
static void
test_records_read_again_change_nothing(void)
{
    struct record_fixture records;

    record_fixture_begin(&records);
    apply_epoch(&records, 1, EARLY_EPOCH);
    apply_end(&records, 2, EARLY_EPOCH, LEFT_MS);
    records.clock.now = cw_time_add_ms(records.clock.now, 500);
    apply_epoch(&records, 1, EARLY_EPOCH);
    apply_end(&records, 2, EARLY_EPOCH, LEFT_MS);
    CU_ASSERT_EQUAL(cw_time_diff_ms(applied_epoch(&records)->end_read_at,
                                    records.clock.now),
                    500);
    CU_ASSERT_EQUAL(
        cw_replica_epoch_lease_left_ms(applied_epoch(&records), "w"), ROW_MS);
    CU_ASSERT_EQUAL(
        cw_replica_epoch_lease_left_ms(applied_epoch(&records), "v"), LEFT_MS);
    CU_ASSERT_EQUAL(
        cw_replica_epoch_lease_left_ms(applied_epoch(&records), NULL),
        LEFT_MS);
    cw_replica_free(records.replica);
}

/* Guards against a later epoch that is replaced by an earlier one. */
static void
test_older_records_change_nothing(void)
{
    struct record_fixture records;

    record_fixture_begin(&records);
    apply_epoch(&records, 5, LATE_EPOCH);
    apply_epoch(&records, 4, EARLY_EPOCH);
    CU_ASSERT_EQUAL(applied_epoch(&records)->epoch, LATE_EPOCH);
    CU_ASSERT_EQUAL(applied_epoch(&records)->settled_below, LATE_EPOCH);
    apply_end(&records, 7, LATE_EPOCH, LEFT_MS);
    apply_end(&records, 6, EARLY_EPOCH, 1);
    CU_ASSERT_EQUAL(applied_epoch(&records)->end_epoch, LATE_EPOCH);
    CU_ASSERT_EQUAL(applied_epoch(&records)->left_ms, LEFT_MS);
    cw_replica_free(records.replica);
}

/* Guards against an end of an earlier epoch that hides that the VM is the
 * owner again. */
static void
test_a_late_end_does_not_end_a_newer_epoch(void)
{
    struct record_fixture records;

    record_fixture_begin(&records);
    apply_epoch(&records, 1, EARLY_EPOCH);
    apply_epoch(&records, 2, LATE_EPOCH);
    apply_end(&records, 3, EARLY_EPOCH, 0);
    CU_ASSERT_FALSE(cw_replica_epoch_has_ended(applied_epoch(&records)));
    apply_end(&records, 4, LATE_EPOCH, LEFT_MS);
    CU_ASSERT_TRUE(cw_replica_epoch_has_ended(applied_epoch(&records)));
    apply_epoch(&records, 5, HIGH_EPOCH);
    CU_ASSERT_FALSE(cw_replica_epoch_has_ended(applied_epoch(&records)));
    cw_replica_free(records.replica);
}

/* Guards against a drop that removes a later epoch, and against one that
 * creates an epoch 0. */
static void
test_a_drop_removes_what_was_before_it(void)
{
    struct record_fixture records;

    record_fixture_begin(&records);
    apply_epoch(&records, 2, LATE_EPOCH);
    apply_bytes(&records, 1, "oa", NULL);
    CU_ASSERT_PTR_NOT_NULL(applied_epoch(&records));
    apply_bytes(&records, 3, "oa", NULL);
    apply_bytes(&records, 4, "ea", NULL);
    CU_ASSERT_PTR_NULL(applied_epoch(&records));
    apply_end(&records, 5, LATE_EPOCH, LEFT_MS);
    CU_ASSERT_EQUAL(applied_epoch(&records)->epoch, 0);
    apply_epoch(&records, 6, HIGH_EPOCH);
    CU_ASSERT_FALSE(cw_replica_epoch_has_ended(applied_epoch(&records)));
    cw_replica_free(records.replica);
}

/* Guards against a record that is applied in part although it cannot be
 * decoded. */
static void
test_unreadable_records_change_nothing(void)
{
    struct record_fixture records;
    GByteArray *junk;

    record_fixture_begin(&records);
    apply_epoch(&records, 1, EARLY_EPOCH);
    for (unsigned i = 0; i < 2; i++) {
        junk = g_byte_array_new();
        g_byte_array_append(junk, (const guint8 *)"?", 1);
        apply_bytes(&records, 2 + i, i == 0 ? "oa" : "ea", junk);
    }
    CU_ASSERT_EQUAL(applied_epoch(&records)->epoch, EARLY_EPOCH);
    CU_ASSERT_FALSE(cw_replica_epoch_has_ended(applied_epoch(&records)));
    apply_end(&records, 4, EARLY_EPOCH, LEFT_MS);
    CU_ASSERT_TRUE(cw_replica_epoch_has_ended(applied_epoch(&records)));
    cw_replica_free(records.replica);
}

/* ---- takeover ---- */

/* What the store answers to appends of an epoch's record. */
static enum cw_store_status answer_to_epochs;

static void
append_except_epochs(struct cw_store *store,
                     const struct cw_store_append *call)
{
    const struct cw_store_append_result result = {.status = answer_to_epochs};
    bool names_epoch =
        call->count > 0 && call->records[0].key[0] == CW_WORK_KEY_EPOCH;

    if (names_epoch && answer_to_epochs != CW_STORE_OK) {
        call->done(call->context, &result);
        return;
    }
    fake_store_append(store, call);
}

static void
refuse_epochs(struct fixture *fixture, enum cw_store_status status)
{
    static struct cw_store_ops ops;

    ops = *fixture->store.base.ops;
    ops.append = append_except_epochs;
    fixture->store.base.ops = &ops;
    answer_to_epochs = status;
}

static bool
is_about(int64_t ms, int64_t expected_ms)
{
    return ms <= expected_ms + TOLERANCE_MS &&
           ms >= expected_ms - TOLERANCE_MS;
}

/* Guards against leases that the next owner does not consider, because the
 * append of the epoch under which they were granted was refused or had no
 * answer. */
static void
test_no_owner_is_active_before_its_epoch_is_stored(void)
{
    static const enum cw_store_status statuses[] = {CW_STORE_NOT_EXECUTED,
                                                    CW_STORE_UNKNOWN};

    for (unsigned i = 0; i < G_N_ELEMENTS(statuses); i++) {
        struct fixture fixture;

        fixture_begin_with_state(&fixture, LATER_GENERATION);
        refuse_epochs(&fixture, statuses[i]);
        take_over(&fixture);
        run(&fixture, 2000);
        CU_ASSERT_FALSE(cw_owner_active(fixture.owner));
        CU_ASSERT_PTR_NULL(epoch_of(&fixture, "this"));
        CU_ASSERT_TRUE(unanswered == NULL || unanswered->len == 0);
        answer_to_epochs = CW_STORE_OK;
        run(&fixture, 1000);
        CU_ASSERT_TRUE(cw_owner_active(fixture.owner));
        CU_ASSERT_PTR_NOT_NULL(epoch_of(&fixture, "this"));
        fixture_end(&fixture);
    }
}

/* Guards against an end of a former process's epoch that is written again and
 * again, or never. */
static void
test_the_end_of_a_former_process_is_written_once(void)
{
    struct fixture fixture;
    uint64_t offset;

    fixture_begin(&fixture);
    put_epoch(&fixture, "othis", EARLY_EPOCH, 0);
    fixture.owner->join_in_flight = true;
    run(&fixture, 1000);
    CU_ASSERT_EQUAL_FATAL(epoch_of(&fixture, "this")->end_epoch, EARLY_EPOCH);
    CU_ASSERT_TRUE(epoch_of(&fixture, "this")->left_ms <= GRANTED_MAX_MS);
    offset = epoch_of(&fixture, "this")->end_offset;
    run(&fixture, 5000);
    CU_ASSERT_EQUAL(epoch_of(&fixture, "this")->end_offset, offset);
    fixture_end(&fixture);
}

/* Guards against the same where the first append has no answer. */
static void
test_an_end_without_an_answer_is_written_again(void)
{
    struct fixture fixture;
    uint64_t offset;

    fixture_begin(&fixture);
    put_epoch(&fixture, "othis", EARLY_EPOCH, 0);
    fixture.owner->join_in_flight = true;
    while (epoch_of(&fixture, "this") == NULL) {
        cw_follower_tick(cw_replica_follower(fixture.replica),
                         fixture.clock.now);
        fixture.clock.now = cw_time_add_ms(fixture.clock.now, STEP_MS);
    }
    fixture.store.answer_status = CW_STORE_UNKNOWN;
    run(&fixture, 1000);
    CU_ASSERT_EQUAL(epoch_of(&fixture, "this")->end_epoch, 0);
    fixture.store.answer_status = CW_STORE_OK;
    run(&fixture, 1500);
    CU_ASSERT_EQUAL(epoch_of(&fixture, "this")->end_epoch, EARLY_EPOCH);
    /* The time left was reduced by the time that has passed. */
    CU_ASSERT_TRUE(epoch_of(&fixture, "this")->left_ms <=
                   GRANTED_MAX_MS - 1000);
    offset = epoch_of(&fixture, "this")->end_offset;
    run(&fixture, 2000);
    CU_ASSERT_EQUAL(epoch_of(&fixture, "this")->end_offset, offset);
    fixture_end(&fixture);
}

/* Guards against a former owner that writes the same end of lease for all
 * workers: the lease of an unresponsive one expires earlier. */
static void
test_an_unresponsive_worker_has_its_own_row(void)
{
    struct fixture fixture;
    const struct cw_replica_epoch *written_end;
    int64_t left_ms;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    take_over_with_worker(&fixture);
    (void)run_answering_polls(&fixture, 1000);
    run(&fixture, 3000); /* without answers */
    the_worker(&fixture)->unanswered_polls = 2;
    left_ms = lease_left_ms(&fixture);
    CU_ASSERT_TRUE_FATAL(left_ms < LEASE_MS - 1000);
    owner_drop_ownership(fixture.owner, "test");
    fixture.owner->join_in_flight = true;
    run(&fixture, 1000);
    written_end = epoch_of(&fixture, "this");
    CU_ASSERT_TRUE_FATAL(cw_replica_epoch_has_ended(written_end));
    CU_ASSERT_TRUE(
        is_about(cw_replica_epoch_lease_left_ms(written_end, "w"), left_ms));
    CU_ASSERT_TRUE(cw_replica_epoch_lease_left_ms(written_end, "w") >=
                   left_ms - 100);
    CU_ASSERT_TRUE(is_about(cw_replica_epoch_lease_left_ms(written_end, "v"),
                            WHOLE_LEASE_MAX_MS));
    fixture_end(&fixture);
}

/* Guards against waiting for a worker that fails together with its owner as if
 * it had received a lease at that moment: it received its last one before. */
static void
test_a_worker_that_is_not_unresponsive_yet_has_a_row(void)
{
    struct fixture fixture;
    const struct cw_replica_epoch *written_end;
    int64_t left_ms;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    take_over_with_worker(&fixture);
    (void)run_answering_polls(&fixture, 1000);
    run(&fixture, 800); /* a poll is not answered */
    left_ms = lease_left_ms(&fixture);
    CU_ASSERT_EQUAL_FATAL(the_worker(&fixture)->unanswered_polls, 0);
    CU_ASSERT_TRUE_FATAL(left_ms < LEASE_MS - 200);
    owner_drop_ownership(fixture.owner, "test");
    fixture.owner->join_in_flight = true;
    run(&fixture, 1000);
    written_end = epoch_of(&fixture, "this");
    CU_ASSERT_TRUE_FATAL(cw_replica_epoch_has_ended(written_end));
    CU_ASSERT_TRUE(cw_replica_epoch_lease_left_ms(written_end, "w") <=
                   left_ms + 500);
    CU_ASSERT_TRUE(cw_replica_epoch_lease_left_ms(written_end, "w") >=
                   left_ms);
    CU_ASSERT_TRUE(is_about(cw_replica_epoch_lease_left_ms(written_end, "v"),
                            WHOLE_LEASE_MAX_MS));
    fixture_end(&fixture);
}

/* Guards against a task that runs twice after a takeover: a start without an
 * answer may be held up on its way to the worker's next incarnation, which the
 * former owner knew of.  The lease note of the worker tells it, and the new
 * owner waits for less. */
static void
test_a_new_owner_awaits_a_start_that_may_be_held_up(void)
{
    struct fixture fixture;
    struct owner_target *worker;
    struct owner_run *start;
    int64_t left_ms;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    take_over_with_worker(&fixture);
    (void)run_answering_polls(&fixture, 1000);
    worker = the_worker(&fixture);
    CU_ASSERT_TRUE_FATAL(worker->runs->len > 0);
    start = worker->runs->pdata[0];
    start->phase = RUN_STARTING;
    start->unanswered = 1;
    start->sent_at = fixture.clock.now;
    worker->incarnation.boot_ms = 1;
    start->boot_ms = 1;
    worker->unanswered_polls = 2;
    owner_incarnation_reported(worker, 2);
    run(&fixture, 1000); /* the worker's lease note is written */
    left_ms = lease_left_ms(&fixture);
    CU_ASSERT_TRUE_FATAL(left_ms > 2 * LEASE_MS);
    owner_drop_ownership(fixture.owner, "test");
    fixture.generation++;
    take_over(&fixture);
    CU_ASSERT_TRUE_FATAL(cw_owner_active(fixture.owner));
    CU_ASSERT_TRUE(lease_left_ms(&fixture) >= left_ms - NOTE_AGE_MAX_MS);
    fixture_end(&fixture);
}

/* Guards against the same for a worker whose last run has ended, while the
 * next owner has not received the end, because it was not stored. */
static void
test_a_worker_without_runs_has_a_row(void)
{
    const struct cw_target_answer idle = {
        .status = CW_TARGET_OK, .clock_ms = WORKER_CLOCK_MS, .boot_ms = 1};
    struct fixture fixture;
    int64_t left_ms;

    fixture_begin(&fixture);
    take_over(&fixture);
    (void)owner_target_get(fixture.owner, "w");
    make_worker_reachable(&fixture);
    run(&fixture, STEP_MS);
    CU_ASSERT_EQUAL_FATAL(unanswered->len, 1);
    g_array_set_size(unanswered, 0);
    last_order.done(last_order.context, &idle);
    run(&fixture, 1500);
    left_ms = lease_left_ms(&fixture);
    CU_ASSERT_TRUE_FATAL(left_ms < LEASE_MS - 1000);
    owner_drop_ownership(fixture.owner, "test");
    fixture.owner->join_in_flight = true;
    run(&fixture, 1000);
    CU_ASSERT_TRUE(cw_replica_epoch_lease_left_ms(epoch_of(&fixture, "this"),
                                                  "w") <= left_ms + 500);
    CU_ASSERT_TRUE(cw_replica_epoch_lease_left_ms(epoch_of(&fixture, "this"),
                                                  "w") >= left_ms);
    fixture_end(&fixture);
}

/* Guards against an end with too short a bound, written by a VM that gained
 * the shard and lost it again before it was active: the leases that it granted
 * under its epoch before that still hold. */
static void
test_an_epoch_without_activity_ends_with_the_one_before(void)
{
    struct fixture fixture;
    uint64_t epoch;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    take_over(&fixture);
    epoch = fixture.owner->epoch;
    owner_drop_ownership(fixture.owner, "test");
    fixture.generation++;
    refuse_epochs(&fixture, CW_STORE_UNKNOWN);
    take_over(&fixture);
    CU_ASSERT_FALSE(cw_owner_active(fixture.owner));
    CU_ASSERT_TRUE(fixture.owner->epoch > epoch);
    epoch = fixture.owner->epoch;
    owner_drop_ownership(fixture.owner, "test");
    fixture.owner->join_in_flight = true;
    run(&fixture, 1000);
    CU_ASSERT_EQUAL(epoch_of(&fixture, "this")->end_epoch, epoch);
    CU_ASSERT_TRUE(epoch_of(&fixture, "this")->left_ms >
                   GRANTED_MAX_MS - 1000);
    fixture_end(&fixture);
}

/* Guards against two owners that both extend leases: the earlier one detects
 * the later one when it reads the later epoch, before its next append. */
static void
test_an_owner_that_reads_a_later_epoch_drops_ownership(void)
{
    struct fixture fixture;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    take_over(&fixture);
    put_epoch(&fixture, "oother", EARLY_EPOCH,
              0); /* an earlier one changes nothing */
    run(&fixture, READ_MS);
    CU_ASSERT_TRUE(cw_owner_active(fixture.owner));
    fixture.owner->join_in_flight = true;
    put_epoch(&fixture, "oother", HIGH_EPOCH, 0);
    run(&fixture, READ_MS);
    CU_ASSERT_FALSE(cw_owner_active(fixture.owner));
    fixture_end(&fixture);
}

/* Guards against two processes that use one VM's name: the one that starts
 * writes that the epoch of the other has ended, so that no leases are expected
 * from it. */
static void
test_an_owner_whose_name_is_in_use_drops_ownership(void)
{
    struct fixture fixture;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    take_over(&fixture);
    fixture.owner->join_in_flight = true;
    put_end(&fixture, "ethis", fixture.owner->epoch - 1, LEFT_MS, NULL);
    run(&fixture, READ_MS);
    CU_ASSERT_TRUE(cw_owner_active(fixture.owner));
    put_end(&fixture, "ethis", fixture.owner->epoch, LEFT_MS, NULL);
    run(&fixture, READ_MS);
    CU_ASSERT_FALSE(cw_owner_active(fixture.owner));
    fixture_end(&fixture);
}

/* Guards against an owner that was replaced without noticing, and is assigned
 * the shard again: its membership does not confirm that it was the owner in
 * between. */
static void
test_membership_does_not_renew_an_old_confirmation(void)
{
    struct fixture fixture;
    struct timespec proof;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    take_over(&fixture);
    run(&fixture, 1000);
    CU_ASSERT_TRUE(owner_may_order(fixture.owner, fixture.clock.now));
    proof = cw_time_add_ms(fixture.clock.now, -3000);
    fixture.owner->ownership_confirmed_at = proof;
    fixture.store.answer_status =
        CW_STORE_UNKNOWN; /* appends have no answer */
    run(&fixture, 1000);
    CU_ASSERT_FALSE(owner_may_order(fixture.owner, fixture.clock.now));
    CU_ASSERT_EQUAL(
        cw_time_diff_ms(proof, fixture.owner->ownership_confirmed_at), 0);
    fixture.store.answer_status = CW_STORE_OK;
    run(&fixture, 1500);
    CU_ASSERT_TRUE(owner_may_order(fixture.owner, fixture.clock.now));
    fixture_end(&fixture);
}

/* ---- bounds of earlier leases ---- */

/* Guards against a worker that is given up while a VM whose epoch has no end
 * extends its lease, also where another VM takes over in between. */
static void
test_a_vm_without_an_end_keeps_the_whole_bound(void)
{
    struct fixture fixture;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    put_epoch(&fixture, "oother", EARLY_EPOCH, 1);
    take_over(&fixture);
    CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), OPEN_BOUND_MS));
    replace_owner(&fixture, "third");
    CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), OPEN_BOUND_MS));
    replace_owner(&fixture, "third");
    CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), OPEN_BOUND_MS));
    run(&fixture, OPEN_BOUND_MS - 1000);
    CU_ASSERT_EQUAL(the_job(&fixture)->runs, TASKS);
    fixture_end(&fixture);
}

/* Guards against one former owner's end that is taken for another's. */
static void
test_one_of_two_former_owners_has_written_its_end(void)
{
    struct fixture fixture;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    put_epoch(&fixture, "oa", EARLY_EPOCH, 1);
    put_epoch(&fixture, "ob", LATE_EPOCH, 1);
    put_end(&fixture, "eb", LATE_EPOCH, LEFT_MS, "w");
    take_over(&fixture);
    CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), OPEN_BOUND_MS));
    fixture_end(&fixture);
}

/* Guards against the bound of one worker that is applied to others. */
static void
test_ends_bound_each_worker_by_its_own_row(void)
{
    struct fixture fixture;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    run(&fixture,
        GRANTED_MAX_MS); /* leases of a former process have expired */
    put_epoch(&fixture, "oa", EARLY_EPOCH, 1);
    put_epoch(&fixture, "ob", LATE_EPOCH, 1);
    put_end(&fixture, "ea", EARLY_EPOCH, 2 * ROW_MS, NULL);
    put_end(&fixture, "eb", LATE_EPOCH, LEFT_MS, "w");
    take_over(&fixture);
    CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), 2 * ROW_MS));
    fixture_end(&fixture);
    fixture_begin_with_state(&fixture, LATER_GENERATION);
    run(&fixture, GRANTED_MAX_MS);
    put_epoch(&fixture, "ob", LATE_EPOCH, 1);
    put_end(&fixture, "eb", LATE_EPOCH, LEFT_MS, "v");
    take_over(&fixture);
    CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), LEFT_MS));
    fixture_end(&fixture);
}

/* Guards against an end that lowers the bound of a lease that this owner
 * granted itself, or does not lower that of a worker that has not answered it.
 */
static void
test_a_late_end_lowers_the_bound_of_unanswered_workers_only(void)
{
    struct fixture fixture;
    struct timespec end;

    for (unsigned answered = 0; answered < 2; answered++) {
        fixture_begin_with_state(&fixture, LATER_GENERATION);
        run(&fixture, GRANTED_MAX_MS);
        put_epoch(&fixture, "oa", EARLY_EPOCH, 1);
        take_over(&fixture);
        CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), OPEN_BOUND_MS));
        if (answered) {
            make_worker_reachable(&fixture);
            (void)run_answering_polls(&fixture, 500);
            run(&fixture, 100); /* the next poll is not answered */
        }
        put_end(&fixture, "ea", EARLY_EPOCH, ROW_MS, NULL);
        end = the_worker(&fixture)->lease_end;
        run(&fixture, READ_MS);
        if (answered) {
            CU_ASSERT_FALSE(
                cw_time_before(the_worker(&fixture)->lease_end, end));
        }
        else {
            CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), ROW_MS));
            run(&fixture, ROW_MS + TOLERANCE_MS);
            CU_ASSERT_EQUAL(the_job(&fixture)->runs, 0);
        }
        fixture_end(&fixture);
    }
}

/* Guards against an end that hides that there are no records of owners before
 * that epoch. */
static void
test_without_a_settled_epoch_an_end_is_not_enough(void)
{
    struct fixture fixture;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    put_epoch(&fixture, "oa", EARLY_EPOCH, 0);
    put_end(&fixture, "ea", EARLY_EPOCH, ROW_MS, NULL);
    take_over(&fixture);
    CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), FIRST_BOUND_MS));
    fixture_end(&fixture);
}

/* Guards against later owners that stop considering an earlier one too soon,
 * or never. */
static void
test_settled_is_written_when_earlier_leases_have_expired(void)
{
    struct fixture fixture;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    put_epoch(&fixture, "oa", EARLY_EPOCH, 1);
    put_epoch(&fixture, "ob", LATE_EPOCH, 1);
    put_end(&fixture, "eb", LATE_EPOCH, LEFT_MS, NULL);
    take_over(&fixture);
    run(&fixture, OPEN_BOUND_MS - 1000);
    CU_ASSERT_EQUAL(epoch_of(&fixture, "this")->settled_below, 1);
    CU_ASSERT_PTR_NOT_NULL(epoch_of(&fixture, "a"));
    run(&fixture, 2000);
    CU_ASSERT_EQUAL(epoch_of(&fixture, "this")->settled_below,
                    fixture.owner->epoch);
    CU_ASSERT_PTR_NULL(epoch_of(&fixture, "a"));
    CU_ASSERT_PTR_NULL(epoch_of(&fixture, "b"));
    /* An end that arrives after that belongs to no known epoch. */
    put_end(&fixture, "ea", EARLY_EPOCH, LEFT_MS, NULL);
    run(&fixture, READ_MS);
    CU_ASSERT_TRUE(cw_owner_active(fixture.owner));
    fixture_end(&fixture);
}

/* Guards against TWICE: leases of an owner that are forgotten by the next but
 * one, because the next one had no runs that depended on them. */
static void
test_leases_are_not_settled_early_without_runs(void)
{
    struct fixture fixture;

    fixture_begin(&fixture);
    put_epoch(&fixture, "oa", EARLY_EPOCH, 1);
    fixture.generation = LATER_GENERATION;
    take_over(&fixture);
    run(&fixture, OPEN_BOUND_MS - 1000);
    CU_ASSERT_EQUAL(epoch_of(&fixture, "this")->settled_below, 1);
    run(&fixture, 2000);
    CU_ASSERT_EQUAL(epoch_of(&fixture, "this")->settled_below,
                    fixture.owner->epoch);
    fixture_end(&fixture);
}

/* Guards against a settled epoch that the next owner's record does not carry
 * on. */
static void
test_a_settled_epoch_holds_for_later_owners(void)
{
    struct fixture fixture;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    put_epoch(&fixture, "oa", EARLY_EPOCH, EARLY_EPOCH);
    put_end(&fixture, "ea", EARLY_EPOCH, LEFT_MS, NULL);
    take_over(&fixture);
    CU_ASSERT_EQUAL(epoch_of(&fixture, "this")->settled_below, EARLY_EPOCH);
    put_drop(&fixture, "oa");
    replace_owner(&fixture, "this");
    CU_ASSERT_TRUE(lease_left_ms(&fixture) <= GRANTED_MAX_MS);
    fixture_end(&fixture);
}

/* Guards against TWICE: a start that may be held up for longer than an owner
 * without an end is waited for. */
static void
test_a_later_row_of_an_end_holds(void)
{
    struct cw_lease_left row = {.worker = (char *)"w",
                                .left_ms = OPEN_BOUND_MS + LEFT_MS};
    struct cw_epoch_end_record value = {
        .epoch = EARLY_EPOCH,
        .left_ms = LEFT_MS,
        .sooner = {.sooner_len = 1, .sooner_val = &row}};
    struct fixture fixture;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    put_epoch(&fixture, "oa", EARLY_EPOCH, 1);
    put_record(&fixture, "ea", (xdrproc_t)xdr_cw_epoch_end_record, &value);
    take_over(&fixture);
    CU_ASSERT_TRUE(lease_left_ms(&fixture) >=
                   OPEN_BOUND_MS + LEFT_MS - TOLERANCE_MS);
    fixture_end(&fixture);
}

/* Guards against a VM that has just started and waits for leases that it has
 * not granted, or that are known to be over. */
static void
test_own_epochs_that_are_settled_are_not_waited_for(void)
{
    for (unsigned was_owner = 0; was_owner <= 1; was_owner++) {
        struct fixture fixture;

        fixture_begin_with_state(&fixture, LATER_GENERATION);
        if (was_owner == 1) {
            put_epoch(&fixture, "othis", EARLY_EPOCH, 1);
        }
        put_epoch(&fixture, "oa", LATE_EPOCH, LATE_EPOCH);
        put_end(&fixture, "ea", LATE_EPOCH, LEFT_MS, NULL);
        take_over(&fixture);
        CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), LEFT_MS));
        fixture_end(&fixture);
    }
}

/* Guards against TWICE: leases of a former process of this VM whose epoch is
 * not settled, also if it has written its end. */
static void
test_own_epochs_that_are_not_settled_are_waited_for(void)
{
    for (unsigned has_ended = 0; has_ended <= 1; has_ended++) {
        struct fixture fixture;

        fixture_begin_with_state(&fixture, LATER_GENERATION);
        put_epoch(&fixture, "oa", EARLY_EPOCH, EARLY_EPOCH);
        put_end(&fixture, "ea", EARLY_EPOCH, 0, NULL);
        put_epoch(&fixture, "othis", LATE_EPOCH, EARLY_EPOCH);
        if (has_ended == 1) {
            put_end(&fixture, "ethis", LATE_EPOCH, LEFT_MS, NULL);
        }
        take_over(&fixture);
        CU_ASSERT_TRUE(lease_left_ms(&fixture) >=
                       GRANTED_MAX_MS - TOLERANCE_MS);
        fixture_end(&fixture);
    }
}

/* Guards against using the later of a lease note and an end: both hold, so
 * that the earlier one bounds the lease. */
static void
test_the_earlier_of_a_note_and_an_end_holds(void)
{
    static const unsigned lefts_ms[][2] = {{700, LEFT_MS}, {LEFT_MS, 700}};

    for (unsigned i = 0; i < G_N_ELEMENTS(lefts_ms); i++) {
        struct cw_note_record note = {.left_ms = lefts_ms[i][0]};
        struct fixture fixture;

        fixture_begin_with_state(&fixture, LATER_GENERATION);
        run(&fixture, GRANTED_MAX_MS);
        put_epoch(&fixture, "oa", EARLY_EPOCH, 1);
        put_record(&fixture, "nw", (xdrproc_t)xdr_cw_note_record, &note);
        put_end(&fixture, "ea", EARLY_EPOCH, lefts_ms[i][1], NULL);
        take_over(&fixture);
        CU_ASSERT_TRUE(is_about(lease_left_ms(&fixture), 700));
        fixture_end(&fixture);
    }
}

/* Guards against a task that runs twice.  An earlier owner granted a full
 * lease to a worker whose work then ended; a start sent by the next owner
 * grants a short one, which does not shorten the other. */
static void
test_a_start_does_not_shorten_an_earlier_lease(void)
{
    const struct cw_target_answer idle = {
        .status = CW_TARGET_OK,
        .clock_ms = WORKER_CLOCK_MS,
    };
    struct fixture fixture;
    struct owner_target *target;
    struct timespec answered;

    fixture_begin(&fixture);
    put_epoch(&fixture, "oa", EARLY_EPOCH, 1);
    fixture.generation = LATER_GENERATION;
    take_over(&fixture);
    target = owner_target_get(fixture.owner, "w");
    make_worker_reachable(&fixture);
    run(&fixture, STEP_MS);
    CU_ASSERT_EQUAL_FATAL(unanswered->len, 1);
    answer_last(CW_TARGET_UNKNOWN);
    run(&fixture, 400);
    CU_ASSERT_EQUAL_FATAL(unanswered->len, 1);
    /* "a" has extended the lease just before the worker received the later
     * token.
     */
    answered = fixture.clock.now;
    g_array_set_size(unanswered, 0);
    last_order.done(last_order.context, &idle);
    (void)owner_lease_grant(target, CW_ORDER_START, fixture.clock.now);
    CU_ASSERT_TRUE(cw_time_diff_ms(answered, target->lease_end) >=
                   LEASE_MS + LEASE_MS / 50);
    fixture_end(&fixture);
}

/* Guards against LOST: a worker whose first answer sets a bound of the longest
 * lease, although all leases of earlier owners are known to end sooner. */
static void
test_a_first_answer_sets_no_bound_beyond_earlier_leases(void)
{
    const struct cw_target_answer idle = {
        .status = CW_TARGET_OK,
        .clock_ms = WORKER_CLOCK_MS,
    };
    struct fixture fixture;
    struct timespec began;

    fixture_begin(&fixture);
    put_epoch(&fixture, "oa", EARLY_EPOCH, 1);
    put_end(&fixture, "ea", EARLY_EPOCH, ROW_MS, NULL);
    fixture.generation = LATER_GENERATION;
    began = fixture.clock.now;
    take_over(&fixture);
    (void)owner_target_get(fixture.owner, "w");
    make_worker_reachable(&fixture);
    run(&fixture, STEP_MS);
    CU_ASSERT_EQUAL_FATAL(unanswered->len, 1);
    g_array_set_size(unanswered, 0);
    last_order.done(last_order.context, &idle);
    CU_ASSERT_TRUE(cw_time_diff_ms(began, the_worker(&fixture)->lease_end) <=
                   ROW_MS + TOLERANCE_MS);
    fixture_end(&fixture);
}

/* Fails the polls in flight. */
static void
fail_polls(void)
{
    const struct cw_target_answer none = {.status = CW_TARGET_UNKNOWN};

    for (guint i = 0; i < unanswered->len;) {
        struct cw_target_order order =
            g_array_index(unanswered, struct cw_target_order, i);

        if (order.kind == CW_ORDER_POLL) {
            g_array_remove_index(unanswered, i);
            order.done(order.context, &none);
        }
        else {
            i++;
        }
    }
}

/* Guards against waiting 0.5 s twice: the bound includes them for orders that
 * earlier owners sent, and a stop sent by this owner grants no lease. */
static void
test_a_stop_to_an_unresponsive_worker_does_not_raise_its_bound(void)
{
    struct fixture fixture;
    struct owner_target *target;
    struct cw_task_name name = {.job = ID};
    struct timespec end;

    fixture_begin_with_state(&fixture, LATER_GENERATION);
    take_over_with_worker(&fixture);
    target = the_worker(&fixture);
    end = target->lease_end;
    owner_order_queue(fixture.owner, target, CW_ORDER_STOP, &name, RUN);
    run(&fixture, 100);
    CU_ASSERT_TRUE_FATAL(target->poll_in_flight);
    CU_ASSERT_TRUE_FATAL(target->orders_in_flight > 0);
    fail_polls();
    CU_ASSERT_EQUAL(target->unanswered_polls, 1);
    CU_ASSERT_EQUAL(cw_time_diff_ms(end, target->lease_end), 0);
    fixture_end(&fixture);
}

/* ---- emulated workers ---- */

struct emulation {
    struct fixture fixture;
    struct worker_fleet *fleet;
    bool resets; /* "w" resets connections from its first start on */
    unsigned running[TASKS];
    unsigned starts;
    unsigned twice;
};

static bool
plan_long_work(void *context, const struct cw_task_name *task,
               struct task_plan *out)
{
    (void)context;
    (void)task;
    out->work_ms = 30000;
    out->need.accelerators = 1;
    return true;
}

static void
count_start(void *context, const char *worker, const struct cw_task_name *task,
            unsigned number)
{
    struct emulation *emulation = context;

    (void)number;
    emulation->resets = emulation->resets || strcmp(worker, "w") == 0;
    emulation->starts++;
    emulation->twice += emulation->running[task->index]++ > 0;
}

static void
count_end(void *context, const char *worker, const struct cw_task_name *task,
          unsigned number, enum cw_end_kind how)
{
    struct emulation *emulation = context;

    (void)worker;
    (void)number;
    (void)how;
    emulation->running[task->index]--;
}

static void
ignore_confirmed(void *context, const char *worker,
                 const struct cw_task_name *task, unsigned number,
                 enum cw_end_kind how, bool lapsed)
{
    (void)context;
    (void)worker;
    (void)task;
    (void)number;
    (void)how;
    (void)lapsed;
}

static int64_t
fleet_ms(const struct emulation *emulation)
{
    return cw_time_diff_ms(cw_time_from_ms(START_MS),
                           emulation->fixture.clock.now);
}

static void
execute_order(struct emulation *emulation, const struct cw_target_order *order)
{
    GArray *running = g_array_new(FALSE, FALSE, sizeof(struct cw_running));
    GArray *ended = g_array_new(FALSE, FALSE, sizeof(struct cw_ended));
    GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
    struct cw_target_answer answer = {.status = CW_TARGET_UNKNOWN};

    if (!emulation->resets || strcmp(order->id, "w") != 0) {
        worker_model_order(worker_fleet_find(emulation->fleet, order->id),
                           order, fleet_ms(emulation), &answer, running, ended,
                           texts);
    }
    answer.boot_ms = 0; /* each incarnation has its own id */
    if (order->done != NULL) {
        order->done(order->context, &answer);
    }
    g_array_unref(running);
    g_array_unref(ended);
    g_ptr_array_unref(texts);
}

static void
run_emulation(struct emulation *emulation, unsigned ms)
{
    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        run(&emulation->fixture, STEP_MS);
        worker_fleet_advance(emulation->fleet, fleet_ms(emulation));
        while (unanswered != NULL && unanswered->len > 0) {
            struct cw_target_order order =
                g_array_index(unanswered, struct cw_target_order, 0);

            g_array_remove_index(unanswered, 0);
            execute_order(emulation, &order);
        }
    }
}

static void
make_reachable(struct emulation *emulation, const char *id)
{
    struct owner_target *target =
        owner_target_get(emulation->fixture.owner, id);

    g_free(target->address);
    target->address = g_strdup(id);
    target->service = g_intern_string("s");
    target->capacity =
        *worker_model_capacity(worker_fleet_find(emulation->fleet, id));
    owner_target_set_rack(target, "r0");
    target->listed = true;
    owner_target_wake(target);
}

/* Guards against the same with emulated workers: one resets all connections
 * once it has started the first task. */
static void
test_no_task_runs_twice_under_an_earlier_lease(void)
{
    const struct cw_resources capacity = {
        .accelerators = TASKS, .cpu_milli = 64000, .memory_mb = 65536};
    struct cw_target_order earlier = {.kind = CW_ORDER_POLL,
                                      .id = "w",
                                      .fence = EARLY_EPOCH,
                                      .lease_until_ms = LEASE_MS};
    struct emulation emulation = {0};
    struct worker_listener listener = {.plan = plan_long_work,
                                       .started = count_start,
                                       .ended = count_end,
                                       .confirmed = ignore_confirmed,
                                       .context = &emulation};

    fixture_begin(&emulation.fixture);
    emulation.fixture.generation = LATER_GENERATION;
    emulation.fleet = worker_fleet_create(&listener);
    worker_fleet_add(emulation.fleet, "w", "r0", &capacity, 0);
    worker_fleet_add(emulation.fleet, "v", "r0", &capacity, 0);
    put_epoch(&emulation.fixture, "oa", EARLY_EPOCH, 1);
    put_spec(&emulation.fixture);
    execute_order(&emulation, &earlier);
    take_over(&emulation.fixture);
    make_reachable(&emulation, "w");
    run_emulation(&emulation, 200);
    CU_ASSERT_TRUE(emulation.starts > 0);
    make_reachable(&emulation, "v");
    run_emulation(&emulation, FIRST_BOUND_MS);
    CU_ASSERT_TRUE(emulation.starts > TASKS);
    CU_ASSERT_EQUAL(emulation.twice, 0);
    worker_fleet_free(emulation.fleet);
    fixture_end(&emulation.fixture);
}

/* Guards against a gang that waits for 17 s from each takeover for an end that
 * an earlier owner has not heard: the end counts only until the leases of
 * earlier owners are over. */
static void
test_unheard_end_waits_for_earlier_leases(void)
{
    struct fixture fixture;
    struct owner_occurrence *occurrence;
    struct owner_task *task;

    fixture_begin(&fixture);
    put_spec(&fixture);
    put_state(&fixture, CW_STATE_TOPIC, CW_WORK_RUNNING);
    take_over(&fixture);
    occurrence = the_job(&fixture)->open->pdata[0];
    task = &occurrence->steps[0].tasks[0];
    ((struct cw_step_spec *)occurrence->steps[0].spec)->gang = true;
    owner_gang_ends_restore(fixture.owner, task, RUN);
    run(&fixture, FIRST_BOUND_MS - 1000);
    CU_ASSERT_EQUAL(task->unheard_run, RUN);
    run(&fixture, 1500);
    CU_ASSERT_EQUAL(task->unheard_run, 0);
    fixture_end(&fixture);
}

static const struct test tests[] = {
    {"again", test_records_read_again_change_nothing},
    {"older", test_older_records_change_nothing},
    {"late end", test_a_late_end_does_not_end_a_newer_epoch},
    {"drop", test_a_drop_removes_what_was_before_it},
    {"unreadable", test_unreadable_records_change_nothing},
    {"recorded first", test_no_owner_is_active_before_its_epoch_is_stored},
    {"former process", test_the_end_of_a_former_process_is_written_once},
    {"no answer", test_an_end_without_an_answer_is_written_again},
    {"rows", test_an_unresponsive_worker_has_its_own_row},
    {"rows of responsive workers",
     test_a_worker_that_is_not_unresponsive_yet_has_a_row},
    {"a new owner awaits a start that may be held up",
     test_a_new_owner_awaits_a_start_that_may_be_held_up},
    {"rows of idle workers", test_a_worker_without_runs_has_a_row},
    {"not active", test_an_epoch_without_activity_ends_with_the_one_before},
    {"later epoch", test_an_owner_that_reads_a_later_epoch_drops_ownership},
    {"no end", test_a_vm_without_an_end_keeps_the_whole_bound},
    {"one of two", test_one_of_two_former_owners_has_written_its_end},
    {"own row", test_ends_bound_each_worker_by_its_own_row},
    {"unanswered",
     test_a_late_end_lowers_the_bound_of_unanswered_workers_only},
    {"unsettled", test_without_a_settled_epoch_an_end_is_not_enough},
    {"name", test_an_owner_whose_name_is_in_use_drops_ownership},
    {"membership", test_membership_does_not_renew_an_old_confirmation},
    {"settle", test_settled_is_written_when_earlier_leases_have_expired},
    {"settle without runs", test_leases_are_not_settled_early_without_runs},
    {"settled", test_a_settled_epoch_holds_for_later_owners},
    {"later row", test_a_later_row_of_an_end_holds},
    {"own settled", test_own_epochs_that_are_settled_are_not_waited_for},
    {"own not settled", test_own_epochs_that_are_not_settled_are_waited_for},
    {"lease notes", test_the_earlier_of_a_note_and_an_end_holds},
    {"stop", test_a_stop_to_an_unresponsive_worker_does_not_raise_its_bound},
    {"twice", test_no_task_runs_twice_under_an_earlier_lease},
    {"start", test_a_start_does_not_shorten_an_earlier_lease},
    {"first answer", test_a_first_answer_sets_no_bound_beyond_earlier_leases},
    {"unheard end", test_unheard_end_waits_for_earlier_leases},
};

TEST_MAIN("epochs", tests)
