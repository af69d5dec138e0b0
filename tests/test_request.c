/* Tests of the decoding of requests: valid ones are accepted, invalid ones are
 * refused with the code that names the error. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_request.h"
#include "curlewcart/cw_work.h"

static enum cw_result
read_text(const char *text, struct cw_work_spec **spec, char *detail)
{
    return cw_request_from_json(text, strlen(text), "acme", spec, detail, 256);
}

static void
test_accepts_a_complete_request(void)
{
    struct cw_work_spec *spec = NULL;
    char detail[256] = "";

    CU_ASSERT_EQUAL(
        read_text("{\"id\":\"r1\",\"gang\":16,\"adjacency\":\"rack\","
                  "\"dcs\":[\"d0\"],\"urgent\":true,\"repeatable\":true,"
                  "\"payload\":\"x\"}",
                  &spec, detail),
        CW_OK);
    CU_ASSERT_PTR_NOT_NULL_FATAL(spec);
    CU_ASSERT_STRING_EQUAL(spec->request, "acme/r1");
    CU_ASSERT_TRUE(cw_work_id_valid(spec->id));
    CU_ASSERT_EQUAL(spec->steps.steps_len, 1);
    CU_ASSERT_EQUAL(spec->steps.steps_val[0].tasks, 16);
    CU_ASSERT_EQUAL(spec->steps.steps_val[0].accelerators, 1);
    CU_ASSERT_TRUE(spec->steps.steps_val[0].gang);
    CU_ASSERT_EQUAL(spec->steps.steps_val[0].same_rack, CW_SAME_RACK_REQUIRED);
    CU_ASSERT_EQUAL(spec->dcs.dcs_len, 1);
    CU_ASSERT_EQUAL(spec->priority, 0);
    CU_ASSERT_EQUAL(cw_work_check(spec, detail, sizeof(detail)), CW_OK);
    cw_request_free(spec);
}

static void
test_at_most_once_is_the_default(void)
{
    struct cw_work_spec *spec = NULL;
    char detail[256];

    CU_ASSERT_EQUAL(read_text("{\"id\":\"r1\"}", &spec, detail), CW_OK);
    CU_ASSERT_TRUE(spec->once);
    CU_ASSERT_EQUAL(spec->max_attempts, 1);
    cw_request_free(spec);
}

static void
test_same_request_same_hash(void)
{
    struct cw_work_spec *a = NULL;
    struct cw_work_spec *b = NULL;
    struct cw_work_spec *c = NULL;
    char detail[256];

    read_text("{\"id\":\"r\",\"gang\":2}", &a, detail);
    read_text("{ \"gang\": 2, \"id\": \"r\" }", &b, detail);
    read_text("{\"id\":\"r\",\"gang\":3}", &c, detail);
    CU_ASSERT_EQUAL(a->body_hash, b->body_hash);
    CU_ASSERT_NOT_EQUAL(a->body_hash, c->body_hash);
    CU_ASSERT_STRING_EQUAL(a->id, c->id);
    cw_request_free(a);
    cw_request_free(b);
    cw_request_free(c);
}

static void
test_refuses_invalid_requests(void)
{
    static const char *const bad[] = {
        "",
        "[]",
        "{",
        "{\"gang\":1}",
        "{\"id\":\"\"}",
        "{\"id\":\"a/b\"}",
        "{\"id\":\"a\",\"gang\":0}",
        "{\"id\":\"a\",\"gang\":257}",
        "{\"id\":\"a\",\"gang\":\"2\"}",
        "{\"id\":\"a\",\"adjacency\":\"row\"}",
        "{\"id\":\"a\",\"urgent\":1}",
        "{\"id\":\"a\",\"dcs\":\"d0\"}",
        "{\"id\":\"a\",\"colour\":\"red\"}",
        "{\"id\":\"a\",\"id\":\"b\"}",
        "{\"id\":\"a\",\"payload\":7}",
        "{\"id\":\"a\",\"home\":\"d1\",\"dcs\":[\"d0\"]}",
        "{\"id\":\"a\",\"steps\":[]}",
        "{\"id\":\"a\",\"steps\":[7]}",
        "{\"id\":\"a\",\"gang\":2,\"steps\":[{}]}",
        "{\"id\":\"a\",\"steps\":[{\"after\":[0]}]}",
        "{\"id\":\"a\",\"steps\":[{\"colour\":1}]}",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        struct cw_work_spec *spec = NULL;
        char detail[256] = "";

        CU_ASSERT_EQUAL(read_text(bad[i], &spec, detail), CW_REF_MALFORMED);
        CU_ASSERT_PTR_NULL(spec);
        CU_ASSERT_NOT_EQUAL(*detail, '\0');
    }
}

static void
test_refuses_a_payload_that_is_too_large(void)
{
    GString *text = g_string_new("{\"id\":\"a\",\"payload\":\"");
    struct cw_work_spec *spec = NULL;
    char detail[256];

    for (int i = 0; i <= CW_PAYLOAD_MAX; i++) {
        g_string_append_c(text, 'x');
    }
    g_string_append(text, "\"}");
    CU_ASSERT_EQUAL(read_text(text->str, &spec, detail), CW_REF_TOO_LARGE);
    g_string_free(text, TRUE);
}

static void
test_accepts_steps_in_order(void)
{
    struct cw_work_spec *spec = NULL;
    char detail[256] = "";

    CU_ASSERT_EQUAL(
        read_text("{\"id\":\"r\",\"repeatable\":true,\"steps\":[{\"tasks\":3,"
                  "\"accelerators\":0},{\"tasks\":2,\"gang\":true,"
                  "\"after\":[0]}]}",
                  &spec, detail),
        CW_OK);
    CU_ASSERT_PTR_NOT_NULL_FATAL(spec);
    CU_ASSERT_EQUAL(spec->steps.steps_len, 2);
    CU_ASSERT_EQUAL(spec->steps.steps_val[0].tasks, 3);
    CU_ASSERT_EQUAL(spec->steps.steps_val[1].after.after_len, 1);
    CU_ASSERT_TRUE(spec->steps.steps_val[1].gang);
    CU_ASSERT_EQUAL(cw_work_check(spec, detail, sizeof(detail)), CW_OK);
    cw_request_free(spec);
}

static void
test_a_gang_adjacent_on_a_worker_becomes_one_task(void)
{
    struct cw_work_spec *spec = NULL;
    char detail[256] = "";

    read_text("{\"id\":\"r\",\"gang\":4,\"adjacency\":\"worker\","
              "\"cores\":2,\"memory_mb\":10}",
              &spec, detail);
    CU_ASSERT_PTR_NOT_NULL_FATAL(spec);
    CU_ASSERT_EQUAL(spec->steps.steps_val[0].tasks, 1);
    CU_ASSERT_EQUAL(spec->steps.steps_val[0].accelerators, 4);
    CU_ASSERT_EQUAL(spec->steps.steps_val[0].cpu_milli, 8000);
    CU_ASSERT_EQUAL(spec->steps.steps_val[0].memory_mb, 40);
    cw_request_free(spec);
}

static const struct test tests[] = {
    {"accepts steps in order", test_accepts_steps_in_order},
    {"a gang adjacent on a worker becomes one task",
     test_a_gang_adjacent_on_a_worker_becomes_one_task},
    {"accepts a complete request", test_accepts_a_complete_request},
    {"at most once is the default", test_at_most_once_is_the_default},
    {"same request, same hash", test_same_request_same_hash},
    {"refuses invalid requests", test_refuses_invalid_requests},
    {"refuses too large", test_refuses_a_payload_that_is_too_large},
};

TEST_MAIN("request", tests)
