/* Counters: one for each result code, named ones, and latency histograms.
 *
 * Safe from any thread.  A counter never decreases while its process runs.
 */
#ifndef CURLEWCART_CW_COUNT_H
#define CURLEWCART_CW_COUNT_H

#include <stdint.h>
#include <glib.h>

#include "curlewcart/cw_histogram.h"
#include "curlewcart/cw_result.h"

/* X(symbol, name, what it counts) */
#define CW_COUNTER_TABLE(X)                                                   \
    X(SUBMITTED, "submitted", "requests taken from callers")                  \
    X(ANSWERED, "answered", "outcomes given to callers")                      \
    X(STARTS, "starts", "starts ordered")                                     \
    X(TAKEOVERS, "takeovers", "times this VM began to decide")                \
    X(YIELDS, "yields", "times this VM stopped deciding")                     \
    X(APPENDS, "appends", "batches sent to the store")                        \
    X(RECORDS, "records", "records sent to the store")                        \
    X(PREEMPTIONS, "preemptions", "gangs told to give way")                   \
    X(RELAYED, "relayed", "calls to the store through another VM")            \
    X(CRASHES, "worker_crashes", "workers that crashed with runs on them")    \
    X(RESTARTS, "worker_restarts",                                            \
      "workers that started again under their id")                            \
    X(ENDS_MISSING, "ends_missing",                                           \
      "ends of runs that workers forgot before they were seen")               \
    X(PROGRESS_INVALID, "progress_invalid",                                   \
      "reports of progress that cannot be right")

/* X(symbol, name with its unit, what it measures) */
#define CW_LATENCY_TABLE(X)                                                   \
    X(STORED, "stored_ms", "from a caller's change to the store's word")      \
    X(BEGUN, "begun_ms", "from taking a job to its first confirmed start")    \
    X(COMMIT, "commit_ms", "from sending a batch to its being durable")       \
    X(ORDER, "order_ms", "from sending an order to a worker to its answer")   \
    X(TAKEOVER, "takeover_ms", "from gaining a shard to deciding")            \
    X(INPUT, "input_ms", "for which answers may have lain unread")            \
    X(PLACEMENT, "placement_ms", "that a placement pass took")

enum cw_latency {
#define CW_LATENCY_SYMBOL(symbol, name, help) CW_LATENCY_##symbol,
    CW_LATENCY_TABLE(CW_LATENCY_SYMBOL)
#undef CW_LATENCY_SYMBOL
        CW_LATENCY_TOTAL
};

enum cw_counter {
#define CW_COUNTER_SYMBOL(symbol, name, help) CW_COUNT_##symbol,
    CW_COUNTER_TABLE(CW_COUNTER_SYMBOL)
#undef CW_COUNTER_SYMBOL
        CW_COUNT_TOTAL
};

enum { CW_COUNT_CODES_MAX = 96 };

/* Counters of one VM.  Zero-initialise. */
struct cw_counters {
    uint64_t named[CW_COUNT_TOTAL];
    uint64_t by_code[CW_COUNT_CODES_MAX];
    struct cw_histogram latency[CW_LATENCY_TOTAL];
};

/* Adds `n` to the named counter `which`. */
void
cw_count_add(struct cw_counters *counters, enum cw_counter which, uint64_t n);

/* Increments the counter of a result code. */
void cw_count_code(struct cw_counters *counters, enum cw_result code);

/* Adds a measured latency to the histogram `which`. */
void cw_count_latency(struct cw_counters *counters, enum cw_latency which,
                      int64_t ms);

/* Value of a result code's counter. */
uint64_t
cw_count_get_code(const struct cw_counters *counters, enum cw_result code);

/* Appends all counters to `out` in the text format that scrapers read. */
void cw_count_print(const struct cw_counters *counters, GString *out);

#endif
