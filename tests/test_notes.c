/* Workers whose leases are extended no more, as the log of jobs tells all
 * VMs. */
#include "test_main.h"

#include "owner_bed.h"

#define WORKER "w"

enum {
    FIRST_MS = 5000, /* for how long the first owner decides */
    ANSWERED_MS = 300,
    TURNS = 2,
    OTHER_EPOCH = 500,
    LATER = 2, /* generation: its epochs are higher than the other's */
    TURN_MS = 4000,
    RENEWED_MS = 2500 /* a note may be so old, and its reading late */
};

static const struct cw_replica_note *
note_of(const struct bed *bed)
{
    return g_hash_table_lookup(cw_replica_notes(bed->replica), WORKER);
}

/* An owner with TASKS runs on a worker that has left the store's list. */
static void
bed_with_runs(struct bed *bed)
{
    bed_begin(bed);
    put_spec(bed);
    put_state(bed, CW_STATE_TOPIC, CW_WORK_RUNNING);
    take_over(bed);
    CU_ASSERT_TRUE(cw_owner_active(bed->owner));
    CU_ASSERT_EQUAL(the_job(bed)->runs, TASKS);
}

static void
change_owner(struct bed *bed)
{
    bed->generation++;
    vm_end(bed);
    vm_begin(bed);
}

/* Goes on for so long; returns how often a note was written. */
static unsigned
notes_written(struct bed *bed, unsigned ms)
{
    unsigned count = 0;

    for (unsigned passed = 0; passed < ms; passed += STEP_MS) {
        uint64_t offset = note_of(bed)->offset;

        run(bed, STEP_MS);
        count += note_of(bed)->offset != offset;
    }
    return count;
}

/* Written again as time passes, and not more often: some 40 bytes each 2 s for
 * a silent worker. */
static void
test_a_silent_worker_is_noted_at_a_pace(void)
{
    struct bed bed;
    uint64_t offset;

    bed_with_runs(&bed);
    run(&bed, 100);
    CU_ASSERT_PTR_NOT_NULL_FATAL(note_of(&bed));
    CU_ASSERT_TRUE(note_of(&bed)->left_ms <= FIRST_BOUND_MS);
    CU_ASSERT_TRUE(note_of(&bed)->left_ms > FIRST_BOUND_MS - 300);
    offset = note_of(&bed)->offset;
    run(&bed, 1800);
    CU_ASSERT_EQUAL(note_of(&bed)->offset, offset);
    CU_ASSERT_EQUAL(notes_written(&bed, FIRST_MS - 1800), 2);
    CU_ASSERT_TRUE(note_of(&bed)->left_ms <= FIRST_BOUND_MS - 4000);
    owner_depose(bed.owner, "test");
    take_over(&bed);
    CU_ASSERT_TRUE(notes_written(&bed, FIRST_MS) <= 3);
    CU_ASSERT_TRUE(note_of(&bed)->left_ms <= FIRST_BOUND_MS - 8000);
    bed_end(&bed);
}

/* A worker that can be asked is noted after a second without an answer. */
static void
test_a_short_silence_is_not_noted(void)
{
    struct bed bed;
    struct owner_target *target;

    bed_with_runs(&bed);
    list_worker(&bed);
    run_all_answered(&bed, 500);
    target = the_worker(&bed);
    CU_ASSERT_EQUAL_FATAL(target->note, OWNER_NOTE_NONE);
    CU_ASSERT_EQUAL(target->silent, 0);
    target->silent = 1;
    target->silent_since = bed.clock.now;
    run(&bed, 900);
    CU_ASSERT_EQUAL(target->note, OWNER_NOTE_NONE);
    run(&bed, 300);
    CU_ASSERT_EQUAL(target->note, OWNER_NOTE_WRITTEN);
    bed_end(&bed);
}

static void
test_an_owner_that_may_not_order_notes_nothing(void)
{
    struct bed bed;
    struct owner_target *target;

    bed_with_runs(&bed);
    list_worker(&bed);
    run_all_answered(&bed, 500);
    target = the_worker(&bed);
    bed.owner->join_in_flight = true; /* joins prove nothing any more */
    bed.store.refuses = CW_STORE_REFUSED;
    run(&bed, 1500);
    CU_ASSERT_FALSE(owner_may_order(bed.owner, bed.clock.now));
    target->silent = 3;
    target->silent_since = cw_time_add_ms(bed.clock.now, -1500);
    run(&bed, 500);
    CU_ASSERT_EQUAL(target->note, OWNER_NOTE_NONE);
    bed_end(&bed);
}

/* Whether the note is stored is not known: it may be read by then. */
static void
test_a_note_without_an_answer_ends_the_lease(void)
{
    struct bed bed;
    struct timespec end;

    bed_begin(&bed);
    put_spec(&bed);
    put_state(&bed, CW_STATE_TOPIC, CW_WORK_RUNNING);
    bed.owner->generation = EPOCH;
    bed.owner->holds_partition = true;
    owner_begin(bed.owner, bed.clock.now);
    while (!cw_owner_active(bed.owner)) {
        run(&bed, STEP_MS);
    }
    bed.store.refuses = CW_STORE_UNKNOWN;
    run(&bed, 200);
    CU_ASSERT_EQUAL(the_worker(&bed)->note, OWNER_NOTE_WRITTEN);
    CU_ASSERT_PTR_NULL(note_of(&bed));
    list_worker(&bed);
    CU_ASSERT_EQUAL(run_all_answered(&bed, ANSWERED_MS), 0);
    end = the_worker(&bed)->lease_end;
    CU_ASSERT_TRUE(cw_time_diff_ms(bed.clock.now, end) <=
                   owner_lease_most_ms(bed.owner));
    CU_ASSERT_EQUAL(run_all_answered(&bed, 3000 - ANSWERED_MS), 0);
    CU_ASSERT_EQUAL(the_worker(&bed)->silent, 0);
    CU_ASSERT_TRUE(the_worker(&bed)->answered);
    CU_ASSERT_FALSE(owner_target_reachable(the_worker(&bed), bed.clock.now));
    CU_ASSERT_EQUAL(cw_time_diff_ms(end, the_worker(&bed)->lease_end), 0);
    bed.store.refuses = CW_STORE_OK;
    CU_ASSERT_TRUE(run_all_answered(&bed, 1500) > WORKER_CLOCK_MS);
    CU_ASSERT_EQUAL(the_worker(&bed)->note, OWNER_NOTE_NONE);
    CU_ASSERT_PTR_NULL(note_of(&bed));
    CU_ASSERT_EQUAL(the_job(&bed)->runs, TASKS);
    bed_end(&bed);
}

static void
test_a_worker_that_is_heard_waits_until_its_note_is_dropped(void)
{
    struct bed bed;

    bed_with_runs(&bed);
    run(&bed, 500);
    CU_ASSERT_PTR_NOT_NULL(note_of(&bed));
    bed.store.refuses = CW_STORE_UNKNOWN;
    list_worker(&bed);
    CU_ASSERT_EQUAL(run_all_answered(&bed, 3000), 0);
    CU_ASSERT_EQUAL(the_worker(&bed)->note, OWNER_NOTE_DROPPED);
    CU_ASSERT_FALSE(owner_target_reachable(the_worker(&bed), bed.clock.now));
    bed.store.refuses = CW_STORE_OK;
    CU_ASSERT_TRUE(run_all_answered(&bed, 1500) > WORKER_CLOCK_MS);
    CU_ASSERT_PTR_NULL(note_of(&bed));
    bed_end(&bed);
}

/* The new owner did not write the note, and keeps to it as well. */
static void
test_a_new_owner_extends_no_lease_that_is_noted(void)
{
    struct bed bed;

    bed_with_runs(&bed);
    run(&bed, 500);
    change_owner(&bed);
    take_over(&bed);
    CU_ASSERT_EQUAL(the_worker(&bed)->note, OWNER_NOTE_WRITTEN);
    bed.store.refuses = CW_STORE_UNKNOWN;
    list_worker(&bed);
    CU_ASSERT_EQUAL(run_all_answered(&bed, 3000), 0);
    bed.store.refuses = CW_STORE_OK;
    CU_ASSERT_TRUE(run_all_answered(&bed, 1500) > WORKER_CLOCK_MS);
    CU_ASSERT_EQUAL(the_worker(&bed)->note, OWNER_NOTE_NONE);
    bed_end(&bed);
}

/* Nor one of a worker that it has no runs on. */
static void
test_a_noted_worker_without_runs_gets_no_work_until_it_is_dropped(void)
{
    struct bed bed;
    struct cw_note_record value = {.left_ms = 700};
    GByteArray *bytes = cw_xdr_encode((xdrproc_t)xdr_cw_note_record, &value);

    bed_begin(&bed);
    put(&bed, CW_WORK_TOPIC, "n" WORKER, bytes);
    bed.owner->generation = EPOCH;
    bed.owner->holds_partition = true;
    owner_begin(bed.owner, bed.clock.now);
    while (!cw_owner_active(bed.owner)) {
        run(&bed, STEP_MS);
    }
    bed.store.refuses = CW_STORE_UNKNOWN;
    CU_ASSERT_PTR_NOT_NULL_FATAL(the_worker(&bed));
    list_worker(&bed);
    CU_ASSERT_EQUAL(run_all_answered(&bed, 1000), 0);
    CU_ASSERT_NOT_EQUAL(the_worker(&bed)->note, OWNER_NOTE_NONE);
    CU_ASSERT_FALSE(owner_target_reachable(the_worker(&bed), bed.clock.now));
    bed.store.refuses = CW_STORE_OK;
    run(&bed, 1500); /* the VM reads again after 0.8 s at the most */
    CU_ASSERT_EQUAL(the_worker(&bed)->note, OWNER_NOTE_NONE);
    CU_ASSERT_PTR_NULL(note_of(&bed));
    g_byte_array_unref(bytes);
    bed_end(&bed);
}

/* A VM that starts later counts from when it has read the note. */
static void
test_a_vm_that_reads_the_note_late_waits_longer(void)
{
    struct bed bed;
    unsigned left_ms;

    bed_with_runs(&bed);
    run(&bed, FIRST_MS);
    left_ms = note_of(&bed)->left_ms;
    change_owner(&bed);
    take_over(&bed);
    CU_ASSERT_EQUAL(note_of(&bed)->left_ms, left_ms);
    run(&bed, left_ms - 200);
    CU_ASSERT_EQUAL(the_job(&bed)->runs, TASKS);
    run(&bed, left_ms / 50 + 500);
    CU_ASSERT_EQUAL(the_job(&bed)->runs, 0);
    bed_end(&bed);
}

/* Seen: a job with nothing running for 18.7 s, until its callers gave up.  The
 * VM that decided was cut off together with the worker; another one noted the
 * worker for 16.1 s, and the first, back 4 s later, counted 16.0 s anew.
 * Cause: a note stood as it was first written, whenever it was read.
 * Proof: here each of three VMs in turn, 4 s apart, waited the whole bound. */
static void
test_vms_that_decide_in_turn_do_not_count_anew(void)
{
    struct bed bed;

    bed_with_runs(&bed);
    for (unsigned i = 0; i < TURNS; i++) {
        run(&bed, TURN_MS);
        CU_ASSERT_EQUAL(the_job(&bed)->runs, TASKS);
        change_owner(&bed);
        take_over(&bed);
    }
    run(&bed, FIRST_BOUND_MS - TURNS * TURN_MS + TURNS * RENEWED_MS);
    CU_ASSERT_EQUAL(the_job(&bed)->runs, 0);
    bed_end(&bed);
}

/* What an owner writes about is over, whoever decides. */
static void
test_a_note_goes_with_the_runs(void)
{
    struct bed bed;

    bed_with_runs(&bed);
    run(&bed, 500);
    CU_ASSERT_PTR_NOT_NULL(note_of(&bed));
    run(&bed, FIRST_BOUND_MS);
    CU_ASSERT_EQUAL(the_job(&bed)->runs, 0);
    CU_ASSERT_PTR_NULL(note_of(&bed));
    CU_ASSERT_EQUAL(the_worker(&bed)->note, OWNER_NOTE_NONE);
    bed_end(&bed);
}

/* The worker was heard, and its lease extended, by another owner after this VM
 * had read the note: it has to read that first. */
static void
test_a_vm_that_lacks_the_taking_back_does_not_decide(void)
{
    struct bed bed;
    GByteArray *nothing = g_byte_array_new();
    struct cw_epoch_record value = {.epoch = OTHER_EPOCH};
    GByteArray *epoch = cw_xdr_encode((xdrproc_t)xdr_cw_epoch_record, &value);

    bed_with_runs(&bed);
    run(&bed, FIRST_MS);
    owner_depose(bed.owner, "test");
    CU_ASSERT_PTR_NOT_NULL(note_of(&bed));
    bed.deaf = true;
    put(&bed, CW_WORK_TOPIC, "oother", epoch);
    put(&bed, CW_WORK_TOPIC, "n" WORKER, nothing);
    run(&bed, FIRST_BOUND_MS); /* the noted bound is over */
    bed.generation = LATER;
    take_over(&bed);
    run(&bed, 5000);
    CU_ASSERT_PTR_NOT_NULL(note_of(&bed));
    CU_ASSERT_FALSE(cw_owner_active(bed.owner));
    bed.deaf = false;
    run(&bed, 2000);
    CU_ASSERT_TRUE(cw_owner_active(bed.owner));
    run(&bed, FIRST_BOUND_MS - 2500);
    CU_ASSERT_EQUAL(the_job(&bed)->runs, TASKS);
    g_byte_array_unref(epoch);
    g_byte_array_unref(nothing);
    bed_end(&bed);
}

/* What a VM did not read because history was dropped may have been the record
 * that took a note back. */
static void
test_notes_are_forgotten_where_history_is_dropped(void)
{
    struct bed bed;
    GByteArray *nothing = g_byte_array_new();

    bed_with_runs(&bed);
    run(&bed, 500);
    owner_depose(bed.owner, "test");
    CU_ASSERT_PTR_NOT_NULL(note_of(&bed));
    bed.deaf = true;
    put(&bed, CW_WORK_TOPIC, "n" WORKER, nothing);
    store_model_compact(bed.store.model, CW_WORK_TOPIC);
    run(&bed, 1000);
    CU_ASSERT_PTR_NOT_NULL(note_of(&bed));
    bed.deaf = false;
    run(&bed, 1000);
    CU_ASSERT_PTR_NULL(note_of(&bed));
    g_byte_array_unref(nothing);
    bed_end(&bed);
}

/* A record may be given more than once, and an older one after a newer. */
static void
test_a_note_that_is_given_again_keeps_its_time(void)
{
    struct bed bed;
    struct cw_note_record value = {.left_ms = 700};
    GByteArray *bytes;
    struct cw_store_record record = {.key = "n" WORKER, .offset = 9};
    struct timespec first;

    bed_begin(&bed);
    bytes = cw_xdr_encode((xdrproc_t)xdr_cw_note_record, &value);
    record.value = bytes->data;
    record.length = bytes->len;
    first = bed.clock.now;
    cw_replica_apply(bed.replica, &record);
    bed.clock.now = cw_time_add_ms(first, 400);
    cw_replica_apply(bed.replica, &record);
    CU_ASSERT_PTR_NOT_NULL_FATAL(note_of(&bed));
    CU_ASSERT_EQUAL(cw_time_diff_ms(first, note_of(&bed)->read_at), 0);
    CU_ASSERT_EQUAL(note_of(&bed)->left_ms, 700);
    record.offset = 12; /* dropped in between, and written again */
    cw_replica_apply(bed.replica, &record);
    CU_ASSERT_EQUAL(cw_time_diff_ms(first, note_of(&bed)->read_at), 400);
    record.length = 0;
    record.offset = 11;
    cw_replica_apply(bed.replica, &record);
    CU_ASSERT_PTR_NOT_NULL(note_of(&bed));
    record.offset = 13;
    cw_replica_apply(bed.replica, &record);
    CU_ASSERT_PTR_NULL(note_of(&bed));
    g_byte_array_unref(bytes);
    bed_end(&bed);
}

static char
newest_kind(struct bed *bed)
{
    struct store_model_page page;
    char kind = '\0';

    store_model_read(bed->store.model, CW_WORK_TOPIC,
                     store_model_end(bed->store.model, CW_WORK_TOPIC) - 1,
                     &page);
    if (page.page.count > 0) {
        kind = page.page.records[0].key[0];
    }
    store_model_page_clear(&page);
    return kind;
}

/* Where hundreds of workers are silent a note is due whenever the log is idle:
 * outcomes that callers wait for must not wait until none is. */
static void
test_notes_and_outcomes_take_turns(void)
{
    struct bed bed;
    struct owner_job *job;
    char kinds[4];

    bed_with_runs(&bed);
    run(&bed, 500);
    job = the_job(&bed);
    for (unsigned i = 0; i < G_N_ELEMENTS(kinds); i++) {
        bed.clock.now = cw_time_add_ms(bed.clock.now, 50);
        the_worker(&bed)->noted_at = cw_time_add_ms(bed.clock.now, -5000);
        (void)owner_note_tick(bed.owner, the_worker(&bed), bed.clock.now);
        job->told_started = !job->started;
        owner_job_tell(bed.owner, job);
        (void)owner_commit_tick(bed.owner, bed.clock.now);
        kinds[i] = newest_kind(&bed);
    }
    CU_ASSERT_NOT_EQUAL(kinds[0], kinds[1]);
    CU_ASSERT_EQUAL(kinds[0], kinds[2]);
    CU_ASSERT_EQUAL(kinds[1], kinds[3]);
    bed_end(&bed);
}

/* A start extends the lease too. */
static void
test_starts_wait_until_the_note_is_dropped(void)
{
    const struct cw_step_spec step = {.tasks = 1, .accelerators = 1};
    struct site site;
    struct owner_job *job;
    struct owner_run *placed_run;
    struct owner_target *target;
    struct cw_task_name name;

    site_begin(&site);
    site.owner->proof_at = site.clock.now;
    job = add_job(&site, 0, &step);
    pass(&site, 10);
    CU_ASSERT_EQUAL_FATAL(placed(job), 1);
    placed_run = step_of(job)->tasks[0].run;
    target = placed_run->target;
    name = owner_task_name(placed_run->task);
    placed_run->phase = RUN_READY;
    owner_order_queue(site.owner, target, CW_ORDER_START, &name,
                      placed_run->number);
    for (unsigned note = OWNER_NOTE_WRITTEN; note <= OWNER_NOTE_DROPPED;
         note++) {
        target->note = note;
        owner_orders_send(site.owner, target, site.clock.now);
        CU_ASSERT_EQUAL(placed_run->phase, RUN_READY);
        CU_ASSERT_EQUAL(target->orders_in_flight, 0);
        CU_ASSERT_EQUAL(
            owner_target_lease(target, CW_ORDER_START, site.clock.now), 0);
        CU_ASSERT_FALSE(owner_target_reachable(target, site.clock.now));
    }
    target->note = OWNER_NOTE_NONE;
    owner_orders_send(site.owner, target, site.clock.now);
    CU_ASSERT_EQUAL(placed_run->phase, RUN_STARTING);
    CU_ASSERT_EQUAL(target->orders_in_flight, 1);
    CU_ASSERT_TRUE(last_order.lease_until_ms > 0);
    site_end(&site);
}

static const struct test tests[] = {
    {"at a pace", test_a_silent_worker_is_noted_at_a_pace},
    {"short silence", test_a_short_silence_is_not_noted},
    {"may not order", test_an_owner_that_may_not_order_notes_nothing},
    {"no answer", test_a_note_without_an_answer_ends_the_lease},
    {"heard again",
     test_a_worker_that_is_heard_waits_until_its_note_is_dropped},
    {"new owner", test_a_new_owner_extends_no_lease_that_is_noted},
    {"no runs",
     test_a_noted_worker_without_runs_gets_no_work_until_it_is_dropped},
    {"read late", test_a_vm_that_reads_the_note_late_waits_longer},
    {"goes with the runs", test_a_note_goes_with_the_runs},
    {"in turn", test_vms_that_decide_in_turn_do_not_count_anew},
    {"taking back", test_a_vm_that_lacks_the_taking_back_does_not_decide},
    {"history", test_notes_are_forgotten_where_history_is_dropped},
    {"given again", test_a_note_that_is_given_again_keeps_its_time},
    {"turns", test_notes_and_outcomes_take_turns},
    {"starts", test_starts_wait_until_the_note_is_dropped},
};

TEST_MAIN("notes", tests)
