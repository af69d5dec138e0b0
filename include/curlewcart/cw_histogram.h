/* Latency histograms of fixed buckets.  Safe from any thread.
 *
 * No histogram library for C is in the registry; buckets in steps of 1, 2 and
 * 5 are what scrapers read. */
#ifndef CURLEWCART_CW_HISTOGRAM_H
#define CURLEWCART_CW_HISTOGRAM_H

#include <stdint.h>
#include <glib.h>

enum { CW_HISTOGRAM_BUCKETS = 15 };

/* Zero-initialise. */
struct cw_histogram {
    uint64_t buckets[CW_HISTOGRAM_BUCKETS]; /* the last one: above all */
    uint64_t sum_ms;
};

void cw_histogram_add(struct cw_histogram *histogram, int64_t ms);

/* Appends it in the text form that scrapers read. */
void cw_histogram_print(const struct cw_histogram *histogram, const char *name,
                        const char *help, GString *out);

#endif
