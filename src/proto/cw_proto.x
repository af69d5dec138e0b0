/*
 * Curlewcart's inner protocol: records of the store, and messages between
 * daemons.
 *
 * cw_proto.h and cw_proto_xdr.c are generated from this file by rpcgen
 * (make proto) and committed, so that a build needs no generator.
 * Strings are owned by the structure that holds them (xdr_free).
 */

#ifdef RPC_HDR
%#include <stdint.h>
#endif

const CW_NAME_MAX = 64;
const CW_KEY_MAX = 200;
const CW_PAYLOAD_MAX = 65536;
const CW_DCS_MAX = 64;
const CW_HASH_BYTES = 32;
const CW_MAC_BYTES = 32;
const CW_BLOB_MAX = 16777216;

typedef string cw_name<CW_NAME_MAX>;

/* ---- bundle stream ---- */

struct cw_signature {
    cw_name operator_name;
    opaque bytes[64];
};

/* One published configuration, as a change of its parent: the parent's
 * first `prefix` and last `suffix` bytes with `middle` between them.  A
 * whole one has prefix = suffix = 0.  `seal` proves that a daemon which
 * knew the chain accepted it; only carried and synced records have it. */
struct cw_bundle_rec {
    unsigned int format;
    unsigned int parent;         /* the version it is based on */
    unsigned int number;         /* parent + 1 */
    opaque parent_hash[CW_HASH_BYTES];
    opaque content_hash[CW_HASH_BYTES];
    unsigned int prefix;
    unsigned int suffix;
    unsigned int middle_size;    /* bytes after inflating */
    opaque middle<CW_BLOB_MAX>;  /* zlib-deflated YAML */
    cw_signature signatures<16>;
    bool sealed;
    opaque seal[CW_MAC_BYTES];
};

/* ---- jobs of steps: what is kept in the platform's store ---- */

const CW_STEPS_MAX = 64;
const CW_TASKS_MAX = 4096;
const CW_OCCURRENCES_MAX = 4096;
const CW_SAVED_MAX = 1024;

/* One step of a job: `tasks` equal tasks that may start once the steps in
 * `after` are done. */
struct cw_step_spec {
    unsigned int tasks;
    unsigned int cpu_milli;          /* per task, thousandths of a core */
    unsigned int memory_mb;          /* per task */
    unsigned int accelerators;       /* per task */
    unsigned int estimate_ms;        /* rough; 0 unknown */
    unsigned int after<CW_STEPS_MAX>;
    bool gang;                       /* all tasks run together or not at all */
    bool same_rack;                  /* slower across racks */
    bool checkpoints;
    bool duplicates_allowed;
    bool endless;                    /* runs until its job is cancelled */
    bool fills;                      /* runs on what others leave unused */
    unsigned int most_per_worker;    /* 0: any number */
    unsigned int tail_target_ms;     /* 0: none */
    unsigned int may_miss;           /* 0: no such promise */
    cw_name label;                   /* the worker must have it; "" any */
    cw_name data_rack;               /* faster there; "" none */
    cw_name image;
};

/* A job as its caller handed it in.  Immutable once stored. */
struct cw_work_spec {
    cw_name id;
    cw_name queue;
    cw_name account;
    cw_name service;                 /* pool of workers that runs it */
    unsigned int priority;           /* 0 is the most urgent */
    unsigned int max_attempts;
    unsigned int stretch_milli;      /* objective: stretch x longest chain */
    unsigned int target_latency_ms;  /* ... plus this */
    hyper accepted_ms;               /* wall time */
    unsigned hyper body_hash;
    string payload<CW_PAYLOAD_MAX>;
    cw_step_spec steps<CW_STEPS_MAX>;
    unsigned int repeats;            /* 0: once, now */
    hyper first_due_ms;              /* wall time */
    hyper interval_ms;
    bool advised;                    /* a policy service names its workers */
    string request<CW_KEY_MAX>;      /* "account/id" of a caller of our own
                                        interface; "" elsewhere */
    cw_name dcs<CW_DCS_MAX>;         /* runs there only; none: wherever its
                                        account may */
    bool once;                       /* must not be begun a second time */
    unsigned int deadline_ms;        /* not started so long after acceptance:
                                        given up; 0 none */
};

/* A task: what a new owner has to know to go on. */
struct cw_task_record {
    unsigned int worker;             /* 1 + index into the record's names;
                                        0: no run may be under way */
    unsigned int run;                /* highest run number used */
    unsigned int failures;
    bool done;
    string saved<CW_SAVED_MAX>;
};

struct cw_step_record {
    bool done;
    unsigned int failures;           /* of the gang */
    cw_task_record tasks<CW_TASKS_MAX>;
};

struct cw_occurrence_record {
    unsigned int number;
    cw_step_record steps<CW_STEPS_MAX>;
};

/* A worker that confirmed runs of a job. */
struct cw_place_record {
    cw_name worker;
    cw_name dc;
    unsigned int runs;
};

/* Crashes of workers that count against a task. */
struct cw_crash_record {
    unsigned int occurrence;
    unsigned int step;
    unsigned int task;
    unsigned int suspicion;
};

/* The state of a job.  `phase` and `started` come first: every VM reads
 * them.  Only the next owner reads the record whole; what all VMs read has
 * neither `next_occurrence` nor what follows `result`.  `crashes` is left out
 * of the stored form while it is empty, see cw_record.h. */
struct cw_work_record {
    unsigned int phase;              /* enum cw_work_phase */
    bool started;                    /* a task of it has been started */
    hyper ended_ms;                  /* wall time of its end; 0 */
    unsigned int next_occurrence;    /* occurrences below it have begun */
    bool begun;                      /* a worker has confirmed a start */
    unsigned int reason;             /* enum cw_result: why it ended */
    unsigned hyper config;           /* version in force at its first start */
    cw_place_record places<CW_TASKS_MAX>; /* where it has run */
    string result<CW_SAVED_MAX>;     /* text of the last end that had one */
    cw_name workers<CW_TASKS_MAX>;
    cw_occurrence_record open<CW_OCCURRENCES_MAX>;
    cw_crash_record crashes<CW_TASKS_MAX>;
    hyper lives<CW_TASKS_MAX>;       /* of `workers`, when they began; or none */
};

/* What a VM tells of itself, in the shard's log. */
struct cw_vm_record {
    unsigned int capacity_milli;     /* processor, thousandths of a core */
};

/* An owner that has nothing else to write shows that it is there. */
struct cw_beat_record {
    cw_name vm;
    unsigned hyper epoch;
};

/* A worker whose lease the owner extends no more, until the key is dropped:
 * so long after the record was written it is over. */
struct cw_note_record {
    unsigned int left_ms;
};

/* A VM decides under an epoch, and may extend leases of workers. */
struct cw_epoch_record {
    unsigned hyper epoch;
    unsigned hyper settled_below;    /* all leases that were given under an
                                        epoch below it are over; 0: unknown */
    unsigned int lease_ms;           /* the longest that is given under it */
};

/* Of a worker whose lease ended before those of others. */
struct cw_lease_left {
    cw_name worker;
    unsigned int left_ms;
};

/* A VM extends no leases any more that it gave under this epoch or an earlier
 * one: so long after the record was written the last of them is over. */
struct cw_epoch_end_record {
    unsigned hyper epoch;
    unsigned int left_ms;
    cw_lease_left sooner<CW_TASKS_MAX>; /* workers whose leases end before */
};

/* An end that a worker has listed. */
struct cw_hint_end {
    cw_name worker;
    unsigned int occurrence;
    unsigned int step;
    unsigned int index;
    unsigned int run;
    unsigned int how;                /* enum cw_end_kind */
    string saved<CW_SAVED_MAX>;
};

/* Ends of a job that a VM saw as its owner and could not store. */
struct cw_hint_record {
    cw_hint_end ends<CW_TASKS_MAX>;
};

/* ---- calls to the store through another VM ---- */

const CW_RELAY_BYTES_MAX = 60000;
const CW_RELAY_RECORDS_MAX = 4096;

enum cw_relay_kind {
    CW_RELAY_APPEND = 1,
    CW_RELAY_READ = 2,
    CW_RELAY_NEWEST = 3,
    CW_RELAY_JOIN = 4,
    CW_RELAY_PING = 5             /* is anybody there? */
};

struct cw_relay_record {
    string key<255>;
    opaque value<CW_RELAY_BYTES_MAX>; /* empty: the key is dropped */
    unsigned hyper offset;
};

/* A call as in cw_store.h; what its kind does not need is empty. */
struct cw_relay_request {
    cw_relay_kind kind;
    cw_name topic;
    unsigned int partition;
    cw_relay_record records<CW_RELAY_RECORDS_MAX>;
    cw_name writer;
    unsigned hyper epoch;
    unsigned hyper sequence;
    bool conditional;
    unsigned hyper expected_end;
    unsigned hyper from;
    unsigned int wait_ms;
    unsigned int most_kb;         /* of records in the answer; 0: any */
    string after<255>;
    cw_name group;
    string member<255>;
    unsigned int ttl_ms;
    unsigned hyper generation;
};

struct cw_relay_answer {
    unsigned int status;          /* enum cw_store_status */
    unsigned hyper first;
    unsigned hyper end;
    unsigned hyper expected_sequence;
    bool more;
    cw_relay_record records<CW_RELAY_RECORDS_MAX>;
    unsigned hyper generation;
    unsigned int partitions<1024>;
};

/* A request or an answer, sealed with the key that the store keeps. */
struct cw_relay_sealed {
    opaque body<CW_RELAY_BYTES_MAX>;
    opaque mac[CW_MAC_BYTES];
};

program CW_RELAY_PROGRAM {
    version CW_RELAY_V1 {
        cw_relay_sealed CW_RELAY_CALL(cw_relay_sealed) = 1;
    } = 1;
} = 0x20C0CA48;
