/* The platform's store as a pure state machine: topics of partitions with
 * offsets, newest records by key, fenced writers, and groups.  No I/O, no
 * clock of its own; the transport around it adds delay and loss. */
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

/* What an append leads to; nothing is changed unless it is CW_STORE_OK. */
struct cw_store_append_result
store_model_append(struct store_model *model,
                   const struct cw_store_append *call);

/* Records from an offset on, or of each key the newest one.  The records are
 * copies: free the array, then its texts, with store_model_page_clear. */
struct store_model_page {
    struct cw_store_page page;
    GArray *records;  /* struct cw_store_record */
    GPtrArray *bytes; /* what they point to */
};
void store_model_read(struct store_model *model, const char *topic,
                      uint64_t from, struct store_model_page *out);
void store_model_newest(struct store_model *model, const char *topic,
                        const char *after, struct store_model_page *out);
void store_model_page_clear(struct store_model_page *page);

/* End of a topic's partition 0. */
uint64_t store_model_end(struct store_model *model, const char *topic);

/* Drops the history of a topic; newest records stay. */
void store_model_compact(struct store_model *model, const char *topic);

/* Joins a group; returns the generation, and in `held` whether partition 0
 * belongs to the member. */
uint64_t store_model_join(struct store_model *model, const char *member,
                          unsigned ttl_ms, struct timespec now, bool *held);
void store_model_leave(struct store_model *model, const char *member,
                       struct timespec now);

/* Deals partition 0 anew without being asked. */
void store_model_deal(struct store_model *model, unsigned choice,
                      struct timespec now);

#endif
