/* Logs: one line for each event, bounded memory, and no blocking if the reader
 * of standard output stops reading.  Also latency histograms. */
#include "test_main.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "curlewcart/cw_count.h"
#include "curlewcart/cw_log.h"

enum { FLOOD_LINES = 20000 };

/* Runs `write_lines` with standard output redirected into a pipe that is read
 * only afterwards.  Returns everything that was written. */
static GString *
capture(void (*write_lines)(void))
{
    GString *out = g_string_new(NULL);
    char buffer[4096];
    int pipe_fds[2];
    int saved_stdout = dup(STDOUT_FILENO);
    ssize_t length;

    CU_ASSERT_EQUAL_FATAL(pipe(pipe_fds), 0);
    fflush(stdout);
    dup2(pipe_fds[1], STDOUT_FILENO);
    cw_log_set_nonblocking();
    write_lines();
    for (int reads = 0; reads < FLOOD_LINES; reads++) {
        fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
        length = read(pipe_fds[0], buffer, sizeof(buffer));
        if (length > 0) {
            g_string_append_len(out, buffer, length);
        }
        cw_log_flush();
        if (length <= 0 && cw_log_buffered_bytes() == 0) {
            break;
        }
    }
    dup2(saved_stdout, STDOUT_FILENO);
    close(saved_stdout);
    close(pipe_fds[0]);
    close(pipe_fds[1]);
    return out;
}

static void
log_one_line(void)
{
    cw_log_info("submit", "id=%s text=%s", "a1", "two\nlines");
}

static void
log_flood(void)
{
    /* Nothing reads the pipe: first the pipe fills, then the ring, and no call
     * blocks. */
    for (int i = 0; i < FLOOD_LINES; i++) {
        cw_log_info("start", "id=%d text=%0200d", i, 0);
    }
}

static void
test_event_is_one_line(void)
{
    GString *out;

    cw_log_setup("info", "v1");
    out = capture(log_one_line);
    CU_ASSERT_PTR_NOT_NULL(strstr(out->str, "level=info vm=v1 event=submit "
                                            "id=a1 text=two?lines\n"));
    g_string_free(out, TRUE);
}

static void
test_stopped_reader_loses_lines_without_blocking(void)
{
    GString *out;

    cw_log_setup("info", "v1");
    out = capture(log_flood);
    CU_ASSERT_EQUAL(cw_log_buffered_bytes(), 0);
    CU_ASSERT_TRUE(out->len < FLOOD_LINES * 200);
    g_string_free(out, TRUE);
    out = capture(log_one_line); /* log_dropped comes before the next line */
    CU_ASSERT_PTR_NOT_NULL(strstr(out->str, "event=log_dropped lines="));
    g_string_free(out, TRUE);
}

static void
test_histogram_buckets_are_cumulative(void)
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
    {"one line", test_event_is_one_line},
    {"stopped reader", test_stopped_reader_loses_lines_without_blocking},
    {"histogram", test_histogram_buckets_are_cumulative},
};

TEST_MAIN("log", tests)
