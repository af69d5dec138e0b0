/* Decodes the platform's records that the scheduler reads from the store. */
#ifndef CURLEWCART_CW_CODEC_H
#define CURLEWCART_CW_CODEC_H

#include <stdbool.h>
#include <stddef.h>

#include "curlewcart/cw_routing.h"
#include "curlewcart/cw_target.h"

struct cw_codec {
    const char *routing_topic; /* keyed; written by operators */
    const char *routing_key;   /* key of the configuration */
    const char *targets_topic; /* keyed; written by workers */

    /* Returns the data centre that a record of the routing topic cordons,
     * taken from the record's key; NULL if the record is of another kind.
     * Borrowed from `key`. */
    const char *(*cordoned_dc)(const char *key);

    /* Decodes a configuration, which the caller then owns.  NULL if `text` is
     * not a configuration; `problem` then has the reason. */
    struct cw_routing *(*decode_routing)(const void *text, size_t length,
                                         char *problem, size_t size);

    /* Decodes a worker's report and passes it to `take`, which borrows it.
     * Returns false if `text` is not a report. */
    bool (*decode_target)(const char *id, const void *text, size_t length,
                          void (*take)(void *context,
                                       const struct cw_target_report *report),
                          void *context);
};

#endif
