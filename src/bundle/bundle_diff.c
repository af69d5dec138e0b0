/* What changes from one bundle to another, in words. */
#include "curlewcart/cw_bundle.h"

#include <string.h>

static void
diff_number(GString *out, const char *what, const char *name,
            const char *field, unsigned before, unsigned after)
{
    if (before != after) {
        g_string_append_printf(out, "%s %s: %s %u -> %u\n", what, name, field,
                               before, after);
    }
}

static void
diff_text(GString *out, const char *what, const char *name, const char *field,
          const char *before, const char *after)
{
    if (strcmp(before, after) != 0) {
        g_string_append_printf(out, "%s %s: %s changes\n", what, name, field);
    }
}

static void
diff_account_places(GString *out, const struct cw_account_def *before,
                    const struct cw_account_def *after)
{
    for (unsigned i = 0; i < before->dcs_count; i++) {
        if (!cw_bundle_permits(after, before->dcs[i])) {
            g_string_append_printf(
                out,
                "account %s: %s no longer permitted; its work there "
                "stops or moves\n",
                after->name, before->dcs[i]);
        }
        diff_number(out, "account", after->name, before->dcs[i],
                    cw_bundle_guarantee(before, before->dcs[i]),
                    cw_bundle_guarantee(after, before->dcs[i]));
    }
    for (unsigned i = 0; i < after->dcs_count; i++) {
        if (!cw_bundle_permits(before, after->dcs[i])) {
            g_string_append_printf(out, "account %s: %s newly permitted\n",
                                   after->name, after->dcs[i]);
            diff_number(out, "account", after->name, after->dcs[i], 0,
                        cw_bundle_guarantee(after, after->dcs[i]));
        }
    }
}

static void
diff_accounts(const struct cw_bundle *before, const struct cw_bundle *after,
              GString *out)
{
    for (unsigned i = 0; i < after->doc->accounts_count; i++) {
        const struct cw_account_def *now = &after->doc->accounts[i];
        const struct cw_account_def *was =
            cw_bundle_account(before, now->name);

        if (was == NULL) {
            g_string_append_printf(out, "account %s: added\n", now->name);
            continue;
        }
        diff_number(out, "account", now->name, "weight", was->weight,
                    now->weight);
        diff_number(out, "account", now->name, "max_waiting", was->max_waiting,
                    now->max_waiting);
        diff_text(out, "account", now->name, "token", was->token_hash,
                  now->token_hash);
        diff_account_places(out, was, now);
    }
    for (unsigned i = 0; i < before->doc->accounts_count; i++) {
        const char *name = before->doc->accounts[i].name;

        if (cw_bundle_account(after, name) == NULL) {
            g_string_append_printf(out, "account %s: removed\n", name);
        }
    }
}

static void
diff_workers(const struct cw_bundle *before, const struct cw_bundle *after,
             GString *out)
{
    for (unsigned i = 0; i < after->doc->workers_count; i++) {
        const struct cw_worker_def *now = &after->doc->workers[i];
        const struct cw_worker_def *was =
            g_hash_table_lookup(before->workers, now->name);

        if (was == NULL) {
            g_string_append_printf(out, "worker %s: added in %s %s\n",
                                   now->name, now->dc, now->rack);
            continue;
        }
        diff_number(out, "worker", now->name, "accelerators",
                    was->accelerators, now->accelerators);
        diff_number(out, "worker", now->name, "slots", was->slots, now->slots);
        diff_text(out, "worker", now->name, "rack", was->rack, now->rack);
        diff_text(out, "worker", now->name, "address", was->address,
                  now->address);
    }
    for (unsigned i = 0; i < before->doc->workers_count; i++) {
        const char *name = before->doc->workers[i].name;

        if (!g_hash_table_contains(after->workers, name)) {
            g_string_append_printf(out, "worker %s: removed\n", name);
        }
    }
}

static const struct cw_operator_def *
find_operator(const struct cw_bundle *bundle, const char *name)
{
    for (unsigned i = 0; i < bundle->doc->operators_count; i++) {
        if (strcmp(bundle->doc->operators[i].name, name) == 0) {
            return &bundle->doc->operators[i];
        }
    }
    return NULL;
}

static void
diff_operators(const struct cw_bundle *before, const struct cw_bundle *after,
               GString *out)
{
    for (unsigned i = 0; i < after->doc->operators_count; i++) {
        const struct cw_operator_def *now = &after->doc->operators[i];
        const struct cw_operator_def *was = find_operator(before, now->name);

        if (was == NULL) {
            g_string_append_printf(out, "operator %s: added\n", now->name);
        }
        else if (was->revoked != now->revoked) {
            g_string_append_printf(out, "operator %s: %s\n", now->name,
                                   now->revoked ? "revoked" : "restored");
        }
        else {
            diff_text(out, "operator", now->name, "key", was->public_key,
                      now->public_key);
        }
    }
    for (unsigned i = 0; i < before->doc->operators_count; i++) {
        const char *name = before->doc->operators[i].name;

        if (find_operator(after, name) == NULL) {
            g_string_append_printf(out, "operator %s: removed\n", name);
        }
    }
}

static void
diff_policy(const struct cw_bundle *before, const struct cw_bundle *after,
            GString *out)
{
    struct cw_policy_def was = cw_bundle_policy(before);
    struct cw_policy_def now = cw_bundle_policy(after);

#define DIFF_POLICY(field)                                                    \
    diff_number(out, "policy", "", #field, was.field, now.field)
    DIFF_POLICY(signatures);
    DIFF_POLICY(spare_workers);
    DIFF_POLICY(max_waiting);
    DIFF_POLICY(max_attempts);
#undef DIFF_POLICY
}

void
cw_bundle_diff(const struct cw_bundle *before, const struct cw_bundle *after,
               GString *out)
{
    diff_policy(before, after, out);
    diff_workers(before, after, out);
    diff_accounts(before, after, out);
    diff_operators(before, after, out);
}
