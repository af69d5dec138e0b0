/*
 * Curlewcart's internal protocol: records in the store, and messages between
 * daemons.
 *
 * cw_proto.h and cw_proto_xdr.c are generated from this file by rpcgen
 * (make proto) and committed, so that a build needs no generator.
 * Strings are owned by the structure that holds them (xdr_free).
 */

#ifdef RPC_HDR
%#include <stdint.h>
#endif

const CW_NAME_MAX = 64;             /* of names in the project's own interface */
const CW_TEXT_MAX = 16777216;       /* of any text or name in a record */
const CW_KEY_MAX = 200;
const CW_PAYLOAD_MAX = 65536;
const CW_DCS_MAX = 64;
const CW_HASH_BYTES = 32;
const CW_MAC_BYTES = 32;
const CW_BLOB_MAX = 16777216;

typedef string cw_name<CW_TEXT_MAX>;

/* ---- bundle stream ---- */

struct cw_signature {
    cw_name operator_name;
    opaque bytes[64];
};

/* One published configuration, as a delta to its parent: the first `prefix`
 * and the last `suffix` bytes of the parent with `middle` between them.  A
 * complete configuration has prefix = suffix = 0.  `seal` proves that a daemon
 * that had verified the chain accepted the record; only records that daemons
 * store have a seal. */
struct cw_bundle_rec {
    unsigned int format;
    unsigned int parent;         /* the version that the delta applies to */
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

/* ---- records of jobs in the platform's store ---- */

const CW_STEPS_MAX = 65536;
const CW_TASKS_MAX = 262144;         /* of all steps of a job */
const CW_VOTERS_MAX = 16;
const CW_OCCURRENCES_MAX = 65536; /* open at the same time */

/* One step of a job: `tasks` identical tasks that may start once the steps in
 * `after` are done. */
struct cw_step_spec {
    unsigned int tasks;
    unsigned int cpu_milli;          /* per task, thousandths of a core */
    unsigned int memory_mb;          /* per task */
    unsigned int accelerators;       /* per task */
    unsigned int estimate_ms;        /* rough duration; 0: unknown */
    unsigned int after<CW_STEPS_MAX>;
    bool gang;                       /* its tasks run all at once or not at
                                        all */
    unsigned int same_rack;          /* enum cw_same_rack; earlier versions
                                        have a bool, with the same encoding */
    bool checkpoints;
    bool duplicates_allowed;
    bool endless;                    /* runs until its job is cancelled */
    bool fills;                      /* runs on otherwise unused capacity */
    unsigned int most_per_worker;    /* limit of tasks on a worker; 0: none */
    unsigned int tail_target_ms;     /* tail latency target; 0: none */
    unsigned int may_miss;           /* tasks that may be missing at a time;
                                        0: not limited */
    cw_name label;                   /* required of the worker; "": none */
    cw_name data_rack;               /* its tasks are faster there; "": none */
    cw_name image;
};

/* A job as its caller submitted it.  Immutable once stored. */
struct cw_work_spec {
    cw_name id;
    cw_name queue;
    cw_name account;
    cw_name service;                 /* pool of workers that runs the job */
    unsigned int priority;           /* 0 is the most urgent */
    unsigned int max_attempts;
    unsigned int stretch_milli;      /* latency objective: stretch x critical
                                        path ... */
    unsigned int target_latency_ms;  /* ... plus this */
    hyper accepted_ms;               /* wall-clock time */
    unsigned hyper body_hash;
    string payload<CW_PAYLOAD_MAX>;
    cw_step_spec steps<CW_STEPS_MAX>;
    unsigned int repeats;            /* number of occurrences; 0: one, now */
    hyper first_due_ms;              /* wall-clock time */
    hyper interval_ms;
    bool advised;                    /* a policy service names its workers */
    string request<CW_KEY_MAX>;      /* "account/id" of a request of the
                                        project's own interface; else "" */
    cw_name dcs<CW_DCS_MAX>;         /* the only data centres to run in; empty:
                                        all that its account may use */
    bool once;                       /* must not be started a second time */
    unsigned int deadline_ms;        /* given up if not started within this
                                        time after acceptance; 0: none */
};

/* The state of a task that a new owner needs to continue. */
struct cw_task_record {
    unsigned int worker;             /* 1 + index into the record's `workers`;
                                        0: no run can be in progress */
    unsigned int run;                /* highest run number used */
    unsigned int failures;           /* of a gang's task: number of a run that
                                        is over and whose end was not heard;
                                        0: none */
    bool done;
    string saved<CW_TEXT_MAX>;
};

struct cw_step_record {
    bool done;
    unsigned int failures;           /* of the step as a gang */
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

/* No index of a task: earlier versions ignore a row with it. */
const CW_CRASH_TASK_GANG = 4294967295;

/* Suspicion that a task causes crashes of workers.  With CW_CRASH_TASK_GANG,
 * the number of a run of the step's gang that is counted in its `failures`,
 * while ends of members in that run are outstanding. */
struct cw_crash_record {
    unsigned int occurrence;
    unsigned int step;
    unsigned int task;
    unsigned int suspicion;
};

/* A run that was lost with its worker, while it is not known whether the
 * worker has crashed. */
struct cw_unresolved_record {
    unsigned int occurrence;
    unsigned int step;
    unsigned int task;
    unsigned int run;
    cw_name worker;
    cw_name address;                 /* "": not known */
    hyper boot_ms;                   /* of the worker's incarnation; 0:
                                        unknown */
    unsigned int weight;             /* suspicion that a crash adds */
    unsigned int added_in_advance;   /* part of it that was added already */
    bool no_progress;
    hyper unresponsive_at_ms;        /* wall-clock time */
};

/* What a job's state tells of workers beyond their ids. */
struct cw_work_extension {
    cw_name addresses<CW_TASKS_MAX>; /* of `workers`, or empty */
    cw_unresolved_record unresolved<CW_TASKS_MAX>;
};

/* The state of a job.  `phase` and `started` come first, as every VM reads
 * them.  Only the next owner reads the whole record; the record for all VMs
 * has neither `next_occurrence` nor the members after `result`.  What is empty
 * at its end is left out of the stored form, see cw_record.h. */
struct cw_work_record {
    unsigned int phase;              /* enum cw_work_phase */
    bool started;                    /* a task of the job has been started */
    hyper ended_ms;                  /* wall-clock time of its end; 0: none */
    unsigned int next_occurrence;    /* all lower occurrences have begun */
    bool begun;                      /* a worker has confirmed a start */
    unsigned int reason;             /* enum cw_result: why the job ended */
    unsigned hyper config;           /* configuration version in force at its
                                        first start */
    cw_place_record places<CW_TASKS_MAX>; /* workers that it has run on */
    string result<CW_TEXT_MAX>;      /* text of the last end that had a text */
    cw_name workers<CW_TASKS_MAX>;
    cw_occurrence_record open<CW_OCCURRENCES_MAX>;
    cw_crash_record crashes<CW_TASKS_MAX>;
    hyper lives<CW_TASKS_MAX>;       /* boot times of `workers`, or empty */
    cw_work_extension extension;
};

/* Request to cancel a job that its writer has not found.  It applies to a job
 * with the id in its key, of that queue and account, whether that was stored
 * before or is stored later. */
struct cw_cancel_record {
    cw_name queue;
    bool any_account;
    cw_name account;                 /* "" if any_account is set */
};

/* A VM's report of itself in the shard's log. */
struct cw_vm_record {
    unsigned int capacity_milli;     /* processor, thousandths of a core */
};

/* Heartbeat of an owner that has nothing else to write. */
struct cw_beat_record {
    cw_name vm;
    unsigned hyper epoch;
};

/* Lease note of a worker whose lease the owner no longer renews until the key
 * is dropped: the lease is over `left_ms` after the record was written. */
struct cw_note_record {
    unsigned int left_ms;
};

/* The VM is the owner in this epoch and may renew leases of workers. */
struct cw_epoch_record {
    unsigned hyper epoch;
    unsigned hyper settled_below;    /* all leases granted in lower epochs are
                                        over; 0: unknown */
    unsigned int lease_ms;           /* longest lease granted in this epoch */
};

/* Terms on which the owner grants leases in this epoch, from this record on.
 * Leases that this VM granted before on other terms, also in earlier epochs, are
 * over `longer_left_ms` after it was written. */
struct cw_lease_terms_record {
    unsigned hyper epoch;
    unsigned int lease_ms;           /* longest lease granted */
    unsigned int longer_left_ms;
    cw_name voters<CW_VOTERS_MAX>;   /* addresses of VMs; leases are renewed only
                                        while most of them support the owner;
                                        none: while the store has confirmed it
                                        recently */
};

/* Each lease that the owner grants in this epoch with the support of other VMs
 * counts from the request for that support, or from an earlier time. */
struct cw_lease_start_record {
    unsigned hyper epoch;
};

/* Remaining lease of a worker whose lease ends before the others. */
struct cw_lease_left {
    cw_name worker;
    unsigned int left_ms;
};

/* The VM no longer renews leases that it granted in this epoch or an earlier
 * one.  The last of them is over `left_ms` after the record was written. */
struct cw_epoch_end_record {
    unsigned hyper epoch;
    unsigned int left_ms;
    cw_lease_left sooner<CW_TASKS_MAX>; /* workers whose leases end at another time */
};

/* The end of a run, as a worker listed it. */
struct cw_hint_end {
    cw_name worker;
    unsigned int occurrence;
    unsigned int step;
    unsigned int index;
    unsigned int run;
    unsigned int how;                /* enum cw_end_kind */
    string saved<CW_TEXT_MAX>;
};

/* Ends of a job's runs that a VM received while it was the owner and could
 * not store. */
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
    CW_RELAY_PING = 5,            /* checks that the VM answers */
    CW_RELAY_SUPPORT = 6          /* requests the VM's support for the owner of
                                     `epoch`.  If it is granted, support for
                                     lower epochs ends in `first` ms; it ended
                                     `end` ms ago if that is not 0 */
};

struct cw_relay_record {
    string key<255>;
    opaque value<CW_RELAY_BYTES_MAX>; /* empty: the key is dropped */
    unsigned hyper offset;
};

/* A call as in cw_store.h; members that its kind does not use are empty. */
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
    unsigned int most_kb;         /* limit of the records in the answer;
                                     0: none */
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

/* A request or an answer, authenticated with the key kept in the store. */
struct cw_relay_sealed {
    opaque body<CW_RELAY_BYTES_MAX>;
    opaque mac[CW_MAC_BYTES];
};

program CW_RELAY_PROGRAM {
    version CW_RELAY_V1 {
        cw_relay_sealed CW_RELAY_CALL(cw_relay_sealed) = 1;
    } = 1;
} = 0x20C0CA48;
