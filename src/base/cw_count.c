/* Counters by name and by result code. */
#include "curlewcart/cw_count.h"

#include <ck_pr.h>

static const struct {
    const char *name;
    const char *help;
} counter_table[] = {
#define CW_COUNTER_ROW(symbol, name, help) {name, help},
    CW_COUNTER_TABLE(CW_COUNTER_ROW)
#undef CW_COUNTER_ROW
};

static const struct {
    const char *name;
    const char *help;
} latency_table[] = {
#define CW_LATENCY_ROW(symbol, name, help) {name, help},
    CW_LATENCY_TABLE(CW_LATENCY_ROW)
#undef CW_LATENCY_ROW
};

void
cw_count_latency(struct cw_counters *counters, enum cw_latency which,
                 int64_t ms)
{
    cw_histogram_add(&counters->latency[which], ms);
}

void
cw_count_add(struct cw_counters *counters, enum cw_counter which, uint64_t n)
{
    ck_pr_add_64(&counters->named[which], n);
}

void
cw_count_code(struct cw_counters *counters, enum cw_result code)
{
    int index = cw_result_index(code);

    g_assert(index >= 0 && index < CW_COUNT_CODES_MAX);
    ck_pr_inc_64(&counters->by_code[index]);
}

uint64_t
cw_count_get_code(const struct cw_counters *counters, enum cw_result code)
{
    int index = cw_result_index(code);

    g_assert(index >= 0 && index < CW_COUNT_CODES_MAX);
    return ck_pr_load_64(&counters->by_code[index]);
}

void
cw_count_print(const struct cw_counters *counters, GString *out)
{
    for (size_t i = 0; i < CW_COUNT_TOTAL; i++) {
        g_string_append_printf(
            out,
            "# HELP curlewcart_%s %s\n# TYPE curlewcart_%s counter\n"
            "curlewcart_%s %" G_GUINT64_FORMAT "\n",
            counter_table[i].name, counter_table[i].help,
            counter_table[i].name, counter_table[i].name,
            ck_pr_load_64(&counters->named[i]));
    }
    for (size_t i = 0; i < CW_LATENCY_TOTAL; i++) {
        cw_histogram_print(&counters->latency[i], latency_table[i].name,
                           latency_table[i].help, out);
    }
    g_string_append(out, "# HELP curlewcart_reason_total events by result "
                         "code\n# TYPE curlewcart_reason_total counter\n");
    for (size_t i = 0; i < cw_result_count(); i++) {
        const struct cw_result_info *info = cw_result_at(i);

        g_string_append_printf(
            out,
            "curlewcart_reason_total{code=\"%d\",reason=\"%s\"} "
            "%" G_GUINT64_FORMAT "\n",
            (int)info->code, info->name, ck_pr_load_64(&counters->by_code[i]));
    }
}
