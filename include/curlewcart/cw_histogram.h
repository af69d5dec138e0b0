/* Latency histograms with fixed buckets.  Safe from any thread.
 *
 * The package registry has no histogram library for C.  Scrapers expect bounds
 * in steps of 1, 2 and 5. */
#ifndef CURLEWCART_CW_HISTOGRAM_H
#define CURLEWCART_CW_HISTOGRAM_H

#include <stdint.h>
#include <glib.h>

enum { CW_HISTOGRAM_BUCKETS = 15 };

/* Zero-initialise. */
struct cw_histogram {
    uint64_t buckets[CW_HISTOGRAM_BUCKETS]; /* the last has no upper bound */
    uint64_t sum_ms;
};

/* Adds a latency; a negative one counts as 0. */
void cw_histogram_add(struct cw_histogram *histogram, int64_t ms);

/* Appends the histogram to `out` as curlewcart_`name`, in the text format that
 * scrapers read. */
void cw_histogram_print(const struct cw_histogram *histogram, const char *name,
                        const char *help, GString *out);

#endif
