/* Tests of the lookup of queues and accounts. */
#include "test_main.h"

#include "curlewcart/cw_routing.h"

static void
add_queue(struct cw_routing *routing, const char *name, const char *host,
          const char *prefix)
{
    struct cw_queue *queue = cw_routing_add_queue(routing);

    queue->name = g_strdup(name);
    queue->host = g_strdup(host);
    queue->prefix = g_strdup(prefix);
    queue->service = g_strdup("s");
}

static struct cw_routing *
new_example(void)
{
    struct cw_routing *routing = cw_routing_new();
    struct cw_account *account = cw_routing_add_account(routing);

    account->name = g_strdup("desk");
    g_ptr_array_add(account->keys, g_strdup("k1"));
    g_ptr_array_add(account->keys, g_strdup("k2"));
    add_queue(routing, "short", "a.example", "/jobs/");
    add_queue(routing, "long", "a.example", "/jobs/urgent/");
    add_queue(routing, "other", "b.example", "/jobs/");
    cw_routing_finish(routing);
    return routing;
}

static const char *
name_of(const struct cw_queue *queue)
{
    return queue != NULL ? queue->name : "none";
}

static void
test_the_longest_matching_prefix_is_chosen(void)
{
    struct cw_routing *routing = new_example();

    CU_ASSERT_STRING_EQUAL(
        name_of(cw_routing_find_queue(routing, "a.example", "/jobs/x")),
        "short");
    CU_ASSERT_STRING_EQUAL(
        name_of(cw_routing_find_queue(routing, "a.example", "/jobs/urgent/x")),
        "long");
    CU_ASSERT_STRING_EQUAL(name_of(cw_routing_find_queue(
                               routing, "b.example:8080", "/jobs/urgent/")),
                           "other");
    CU_ASSERT_PTR_NULL(cw_routing_find_queue(routing, "a.example", "/job"));
    CU_ASSERT_PTR_NULL(
        cw_routing_find_queue(routing, "a.example.org", "/jobs/x"));
    CU_ASSERT_PTR_NULL(cw_routing_find_queue(routing, "", "/jobs/x"));
    cw_routing_unref(routing);
}

static void
test_every_key_finds_its_account(void)
{
    struct cw_routing *routing = new_example();
    const struct cw_account *account =
        cw_routing_account_by_key(routing, "k2");

    CU_ASSERT_PTR_EQUAL(account, cw_routing_account_by_key(routing, "k1"));
    CU_ASSERT_PTR_EQUAL(account, cw_routing_account_by_name(routing, "desk"));
    CU_ASSERT_PTR_NULL(cw_routing_account_by_key(routing, "k3"));
    cw_routing_unref(routing);
}

static const struct test tests[] = {
    {"longest prefix", test_the_longest_matching_prefix_is_chosen},
    {"keys", test_every_key_finds_its_account},
};

TEST_MAIN("routing", tests)
