/* Model of the platform's store as a pure state machine: topics with offsets,
 * newest records by key, fenced writers, and a group.  It does no I/O and has
 * no clock; its caller adds delay and loss. */
#ifndef CURLEWCART_EMULATOR_STORE_MODEL_H
#define CURLEWCART_EMULATOR_STORE_MODEL_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>

#include "curlewcart/cw_store.h"

struct store_model;

struct store_model *store_model_create(unsigned partitions);
void store_model_free(struct store_model *model);

/* Appends records; the state changes only if the status is CW_STORE_OK.
 * CW_STORE_INVALID: a record exceeds CW_STORE_RECORD_BYTES_DEFAULT. */
struct cw_store_append_result
store_model_append(struct store_model *model,
                   const struct cw_store_append *call);

/* Copies of records; free them with store_model_page_clear. */
struct store_model_page {
    struct cw_store_page page;
    GArray *records;  /* struct cw_store_record */
    GPtrArray *bytes; /* keys and values of the records */
};

/* Reads the records from offset `from` on. */
void store_model_read(struct store_model *model, const char *topic,
                      uint64_t from, struct store_model_page *out);

/* Reads the newest record of each key that sorts after `after` (NULL: of
 * every key), up to a page's limit. */
void store_model_newest(struct store_model *model, const char *topic,
                        const char *after, struct store_model_page *out);

/* Frees the records and the data that they refer to. */
void store_model_page_clear(struct store_model_page *page);

/* End offset of a topic's partition 0. */
uint64_t store_model_end(struct store_model *model, const char *topic);

/* Drops the history of a topic; the newest record of each key stays. */
void store_model_compact(struct store_model *model, const char *topic);

/* Joins the group, or renews the membership.  Returns the generation, and sets
 * `assigned` to whether partition 0 belongs to the member. */
uint64_t
store_model_join(struct store_model *model, const char *member,
                 unsigned ttl_ms, struct timespec now, bool *assigned);

/* Ends the membership at once. */
void store_model_leave(struct store_model *model, const char *member,
                       struct timespec now);

/* Adds the names of the present members.  Borrowed. */
void store_model_members(struct store_model *model, struct timespec now,
                         GPtrArray *out);

/* Reassigns partition 0 to a member that `choice` selects, although no member
 * joined or left. */
void store_model_reassign(struct store_model *model, unsigned choice,
                          struct timespec now);

#endif
