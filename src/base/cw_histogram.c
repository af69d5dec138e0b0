/* Latency histograms. */
#include "curlewcart/cw_histogram.h"

#include <ck_pr.h>

static const int64_t bounds_ms[CW_HISTOGRAM_BUCKETS - 1] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000};

void
cw_histogram_add(struct cw_histogram *histogram, int64_t ms)
{
    unsigned bucket = 0;

    ms = MAX(0, ms);
    while (bucket < CW_HISTOGRAM_BUCKETS - 1 && ms > bounds_ms[bucket]) {
        bucket++;
    }
    ck_pr_inc_64(&histogram->buckets[bucket]);
    ck_pr_add_64(&histogram->sum_ms, (uint64_t)ms);
}

void
cw_histogram_print(const struct cw_histogram *histogram, const char *name,
                   const char *help, GString *out)
{
    uint64_t count = 0;

    g_string_append_printf(out,
                           "# HELP curlewcart_%s %s\n"
                           "# TYPE curlewcart_%s histogram\n",
                           name, help, name);
    for (unsigned i = 0; i < CW_HISTOGRAM_BUCKETS - 1; i++) {
        count += ck_pr_load_64(&histogram->buckets[i]);
        g_string_append_printf(out,
                               "curlewcart_%s_bucket{le=\"%" G_GINT64_FORMAT
                               "\"} %" G_GUINT64_FORMAT "\n",
                               name, bounds_ms[i], count);
    }
    count += ck_pr_load_64(&histogram->buckets[CW_HISTOGRAM_BUCKETS - 1]);
    g_string_append_printf(
        out,
        "curlewcart_%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
        "curlewcart_%s_sum %" G_GUINT64_FORMAT "\n"
        "curlewcart_%s_count %" G_GUINT64_FORMAT "\n",
        name, count, name, ck_pr_load_64(&histogram->sum_ms), name, count);
}
