/* Logs: bounded, never waiting, one line an event; and histograms. */
#include "test_main.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "curlewcart/cw_count.h"
#include "curlewcart/cw_log.h"

enum { LINES = 20000 };

/* Standard output goes into a pipe meanwhile; what is in it at the end is
 * returned. */
static GString *
capture(void (*run)(void))
{
    GString *out = g_string_new(NULL);
    char buffer[4096];
    int ends[2];
    int saved = dup(STDOUT_FILENO);
    ssize_t length;

    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    fflush(stdout);
    dup2(ends[1], STDOUT_FILENO);
    cw_log_never_wait();
    run();
    for (int turns = 0; turns < LINES; turns++) {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        length = read(ends[0], buffer, sizeof(buffer));
        if (length > 0) {
            g_string_append_len(out, buffer, length);
        }
        cw_log_flush();
        if (length <= 0 && cw_log_held_bytes() == 0) {
            break;
        }
    }
    dup2(saved, STDOUT_FILENO);
    close(saved);
    close(ends[0]);
    close(ends[1]);
    return out;
}

static void
write_one(void)
{
    cw_log_info("submit", "id=%s text=%s", "a1", "two\nlines");
}

static void
flood(void)
{
    /* Nobody reads the pipe: it fills, then the ring, and nothing waits. */
    for (int i = 0; i < LINES; i++) {
        cw_log_info("start", "id=%d text=%0200d", i, 0);
    }
}

static void
test_an_event_is_one_line(void)
{
    GString *out;

    cw_log_setup("info", "v1");
    out = capture(write_one);
    CU_ASSERT_PTR_NOT_NULL(strstr(out->str, "level=info vm=v1 event=submit "
                                            "id=a1 text=two?lines\n"));
    g_string_free(out, TRUE);
}

static void
test_a_reader_that_stops_costs_lines_and_no_time(void)
{
    GString *out;

    cw_log_setup("info", "v1");
    out = capture(flood);
    CU_ASSERT_EQUAL(cw_log_held_bytes(), 0);
    CU_ASSERT_TRUE(out->len < LINES * 200);
    g_string_free(out, TRUE);
    out = capture(write_one); /* the next line says what is missing */
    CU_ASSERT_PTR_NOT_NULL(strstr(out->str, "event=log_dropped lines="));
    g_string_free(out, TRUE);
}

static void
test_a_histogram_counts_up_to_each_bound(void)
{
    struct cw_counters *counters = g_new0(struct cw_counters, 1);
    GString *out = g_string_new(NULL);

    cw_count_latency(counters, CW_LATENCY_COMMIT, 5);
    cw_count_latency(counters, CW_LATENCY_COMMIT, 6);
    cw_count_latency(counters, CW_LATENCY_COMMIT, 99999);
    cw_count_latency(counters, CW_LATENCY_COMMIT, -1);
    cw_count_print(counters, out);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(out->str, "curlewcart_commit_ms_bucket{le=\"5\"} 2\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(out->str, "curlewcart_commit_ms_bucket{le=\"10\"} 3\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(out->str, "curlewcart_commit_ms_bucket{le=\"+Inf\"} 4\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(out->str, "curlewcart_commit_ms_count 4\n"));
    g_string_free(out, TRUE);
    g_free(counters);
}

static const struct test tests[] = {
    {"one line", test_an_event_is_one_line},
    {"reader stops", test_a_reader_that_stops_costs_lines_and_no_time},
    {"histogram", test_a_histogram_counts_up_to_each_bound},
};

TEST_MAIN("log", tests)
