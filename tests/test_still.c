/* scripts/still, which finds idle jobs from the workers' trace. */
#include "test_main.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <unistd.h>

#define THREE_RACKS "worker=a-r1-w1 -\nworker=a-r2-w1 -\nworker=b-r1-w1 -\n"
#define ENDS_LATE "started task=g.0.0.0 run=1 worker=a-r1-w1 at_ms=5500\n"

static void
write_file(char *name, const char *text)
{
    close(g_mkstemp(name));
    g_file_set_contents(name, text, -1, NULL);
}

/* Returns what the script prints, with a limit of 3 s.  Owned by the caller.
 */
static char *
find_idle(const char *trace, const char *accepted)
{
    char trace_file[] = "/tmp/test-still-XXXXXX";
    char accepted_file[] = "/tmp/test-still-XXXXXX";
    char *command;
    char *out = NULL;

    write_file(trace_file, trace);
    write_file(accepted_file, accepted);
    command =
        g_strdup_printf("scripts/still %s %s 3000", trace_file, accepted_file);
    CU_ASSERT_TRUE(g_spawn_command_line_sync(command, &out, NULL, NULL, NULL));
    g_free(command);
    g_unlink(trace_file);
    g_unlink(accepted_file);
    return out;
}

/* Guards against gangs that ask for one rack and stand idle beside capacity
 * across racks. */
static void
test_capacity_counts_in_whatever_racks(void)
{
    char *out = find_idle(THREE_RACKS ENDS_LATE, "2000 accepted g 12 1 1\n");

    CU_ASSERT_STRING_EQUAL(out, "still job=g together=12 accelerators=1 "
                                "rack=1 ms=3500 until=5.500\n"
                                "jobs=1 still=1 longest_ms=3500\n");
    g_free(out);
}

static void
test_capacity_for_less_than_twice_the_gang_does_not_count(void)
{
    char *out = find_idle(
        THREE_RACKS
        "started task=f.0.0.0 run=1 worker=b-r1-w1 at_ms=1000\n" ENDS_LATE,
        "1000 accepted f 1 1 0\n2000 accepted g 12 1 1\n");

    CU_ASSERT_STRING_EQUAL(out, "jobs=2 still=0 longest_ms=0\n");
    g_free(out);
}

static const struct test tests[] = {
    {"whatever racks", test_capacity_counts_in_whatever_racks},
    {"less than twice",
     test_capacity_for_less_than_twice_the_gang_does_not_count},
};

TEST_MAIN("still", tests)
