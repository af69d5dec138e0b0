/* The platform's store as the product sees it: logs with offsets, the newest
 * record of each key, fenced writers, and groups that share out partitions.
 *
 * Calls never block.  Each leads to exactly one callback, made with the
 * engine's lock held (see cw_vm.h).  What a callback is given is borrowed.
 */
#ifndef CURLEWCART_CW_STORE_H
#define CURLEWCART_CW_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum cw_store_status {
    CW_STORE_OK,
    CW_STORE_REFUSED,  /* nothing was done: busy, over a rate, unreachable */
    CW_STORE_UNKNOWN,  /* no answer: may have been done, or be done later */
    CW_STORE_CONFLICT, /* the partition does not end where expected */
    CW_STORE_FENCED,   /* a writer with a higher epoch was seen */
    CW_STORE_OUT_OF_SEQUENCE, /* the writer's sequence number does not follow
                               */
    CW_STORE_EXPIRED, /* the records asked for are no longer retained */
    CW_STORE_INVALID  /* the answer could not be understood */
};

/* Name of a status, for logs.  Borrowed, static. */
const char *cw_store_status_name(enum cw_store_status status);

/* One keyed record.  `value` NULL: the key is dropped. */
struct cw_store_record {
    const char *key;
    const void *value;
    size_t length;
    uint64_t offset; /* not used when appending */
};

struct cw_store_append_result {
    enum cw_store_status status;
    uint64_t first; /* offset of the first record; with CW_STORE_OK */
    uint64_t end;   /* next offset of the partition */
    uint64_t expected_sequence; /* with CW_STORE_OUT_OF_SEQUENCE */
};

struct cw_store_append {
    const char *topic;
    unsigned partition;
    const struct cw_store_record *records; /* copied */
    size_t count;                          /* 0: only sets the epoch */
    const char *writer;                    /* NULL: not fenced */
    uint64_t epoch;
    uint64_t sequence;
    bool conditional; /* only if the partition ends at `expected_end` */
    uint64_t expected_end;
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_store_append_result *result);
    void *context;
};

struct cw_store_page {
    enum cw_store_status status;
    uint64_t end;   /* next offset of the partition */
    uint64_t first; /* oldest offset retained */
    const struct cw_store_record *records;
    size_t count;
    bool more; /* of cw_store_read_newest: continue after the last key */
};

struct cw_store_read {
    const char *topic;
    unsigned partition;
    uint64_t from;
    unsigned wait_ms; /* the answer waits so long for a record */
    unsigned most_kb; /* of records in the answer; 0: the store decides */
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_store_page *page);
    void *context;
};

struct cw_store_read_newest {
    const char *topic;
    unsigned partition;
    const char *after; /* key, or NULL for the first page */
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_store_page *page);
    void *context;
};

struct cw_store_join_result {
    enum cw_store_status status;
    uint64_t generation;
    const unsigned *partitions; /* of the topic, held by this member */
    size_t count;
};

struct cw_store_join {
    const char *group;
    const char *member;
    const char *topic;
    unsigned ttl_ms;
    uint64_t generation; /* last one received; 0 at first */
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_store_join_result *result);
    void *context;
};

struct cw_store_leave {
    const char *group;
    const char *member;
    unsigned timeout_ms;
    void (*done)(void *context, enum cw_store_status status);
    void *context;
};

/* Who holds the partitions of a group. */
struct cw_store_member_list {
    enum cw_store_status status;
    const char *const *members; /* may repeat */
    size_t count;
};

struct cw_store_list_members {
    const char *group;
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_store_member_list *result);
    void *context;
};

struct cw_store;
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

/* A store.  Embed as the first member of an implementation. */
struct cw_store {
    const struct cw_store_ops *ops;
};

#endif
