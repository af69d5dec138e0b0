/* Interface to the platform's store: partitioned logs with offsets, reads of
 * the newest record of each key, fenced writers, and groups that assign
 * partitions to their members.
 *
 * Calls never block.  Each leads to exactly one callback, made with the
 * engine's lock held (see cw_vm.h).  The arguments of a callback are borrowed.
 */
#ifndef CURLEWCART_CW_STORE_H
#define CURLEWCART_CW_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Limit of a record in a partition, in bytes, where the settings name none. */
#define CW_STORE_RECORD_BYTES_DEFAULT (256 * 1024)

/* Limit of a key in bytes: a record holds the key's length in one byte. */
#define CW_STORE_KEY_BYTES_MAX 255

enum cw_store_status {
    CW_STORE_OK,
    CW_STORE_NOT_EXECUTED, /* not executed: busy, rate limit, unreachable */
    CW_STORE_UNKNOWN, /* no answer: may or may not be executed, now or later */
    CW_STORE_CONFLICT, /* the partition does not end at `expected_end` */
    CW_STORE_FENCED,   /* a writer with a higher epoch has appended */
    CW_STORE_OUT_OF_SEQUENCE, /* not the writer's next sequence number */
    CW_STORE_EXPIRED, /* the requested records are no longer retained */
    CW_STORE_INVALID  /* the answer could not be decoded */
};

/* Name of a status, for logs.  Borrowed, static. */
const char *cw_store_status_name(enum cw_store_status status);

/* Limit of a value, with any key, in records of at most `record_bytes`; 0: of
 * CW_STORE_RECORD_BYTES_DEFAULT. */
static inline size_t
cw_store_value_bytes_max(size_t record_bytes)
{
    size_t overhead = 1 + CW_STORE_KEY_BYTES_MAX;

    if (record_bytes == 0) {
        record_bytes = CW_STORE_RECORD_BYTES_DEFAULT;
    }
    return record_bytes > overhead ? record_bytes - overhead : 0;
}

/* One keyed record.  A NULL `value` deletes the key.  In a page, a record
 * whose key is not a text has the key "", and is to be ignored. */
struct cw_store_record {
    const char *key;
    const void *value;
    size_t length;
    uint64_t offset; /* not used when appending */
};

/* Result of an append. */
struct cw_store_append_result {
    enum cw_store_status status;
    uint64_t first; /* offset of the first record; with CW_STORE_OK */
    uint64_t end;   /* next offset of the partition */
    uint64_t expected_sequence; /* with CW_STORE_OUT_OF_SEQUENCE */
};

/* Appends records to a partition. */
struct cw_store_append {
    const char *topic;
    unsigned partition;
    const struct cw_store_record *records; /* copied */
    size_t count;                          /* 0: only sets the epoch */
    const char *writer;                    /* NULL: without fencing */
    uint64_t epoch;
    uint64_t sequence;
    bool conditional; /* append only if the partition ends at `expected_end` */
    uint64_t expected_end;
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_store_append_result *result);
    void *context;
};

/* Result of a read. */
struct cw_store_page {
    enum cw_store_status status;
    uint64_t end;   /* next offset of the partition */
    uint64_t first; /* oldest offset retained */
    const struct cw_store_record *records;
    size_t count;
    bool more; /* with cw_store_read_newest: there are keys after the last one
                */
};

/* Reads the records of a partition from an offset on. */
struct cw_store_read {
    const char *topic;
    unsigned partition;
    uint64_t from;
    unsigned wait_ms; /* the store waits up to this long for a record */
    unsigned most_kb; /* limit of the records in the answer; 0: the store's */
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_store_page *page);
    void *context;
};

/* Reads the newest record of each key of a partition, page by page. */
struct cw_store_read_newest {
    const char *topic;
    unsigned partition;
    const char *after; /* key, or NULL for the first page */
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_store_page *page);
    void *context;
};

/* Result of a join. */
struct cw_store_join_result {
    enum cw_store_status status;
    uint64_t generation;
    const unsigned *partitions; /* of the topic, assigned to this member */
    size_t count;
};

/* Joins a group, or renews the membership. */
struct cw_store_join {
    const char *group;
    const char *member;
    const char *topic;
    unsigned ttl_ms;
    uint64_t generation; /* last generation received; 0 at first */
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_store_join_result *result);
    void *context;
};

/* Leaves a group. */
struct cw_store_leave {
    const char *group;
    const char *member;
    unsigned timeout_ms;
    void (*done)(void *context, enum cw_store_status status);
    void *context;
};

/* Members that the partitions of a group are assigned to. */
struct cw_store_member_list {
    enum cw_store_status status;
    const char *const *members; /* a member may occur several times */
    size_t count;
};

/* Lists the members of a group. */
struct cw_store_list_members {
    const char *group;
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_store_member_list *result);
    void *context;
};

struct cw_store;

/* Operations of a store. */
struct cw_store_ops {
    void (*append)(struct cw_store *store, const struct cw_store_append *call);
    void (*read)(struct cw_store *store, const struct cw_store_read *call);
    void (*newest)(struct cw_store *store,
                   const struct cw_store_read_newest *call);
    void (*join)(struct cw_store *store, const struct cw_store_join *call);
    void (*leave)(struct cw_store *store, const struct cw_store_leave *call);
    void (*members)(struct cw_store *store,
                    const struct cw_store_list_members *call);
};

/* A store; an implementation embeds it as its first member. */
struct cw_store {
    const struct cw_store_ops *ops;
};

#endif
