/* Description of the changes between two bundles, one line each. */
#include "curlewcart/cw_bundle.h"

#include <string.h>

static void
diff_number(GString *out, const char *kind, const char *name,
            const char *field, unsigned before, unsigned after)
{
    if (before != after) {
        g_string_append_printf(out, "%s %s: %s %u -> %u\n", kind, name, field,
                               before, after);
    }
}

static void
diff_text(GString *out, const char *kind, const char *name, const char *field,
          const char *before, const char *after)
{
    if (strcmp(before, after) != 0) {
        g_string_append_printf(out, "%s %s: %s changes\n", kind, name, field);
    }
}

static void
diff_account_dcs(GString *out, const struct cw_account_def *before,
                 const struct cw_account_def *after)
{
    for (unsigned i = 0; i < before->dcs_count; i++) {
        if (!cw_bundle_account_permits_dc(after, before->dcs[i])) {
            g_string_append_printf(
                out,
                "account %s: %s no longer permitted; its work there "
                "stops or moves\n",
                after->name, before->dcs[i]);
        }
        diff_number(out, "account", after->name, before->dcs[i],
                    cw_bundle_account_guarantee(before, before->dcs[i]),
                    cw_bundle_account_guarantee(after, before->dcs[i]));
    }
    for (unsigned i = 0; i < after->dcs_count; i++) {
        if (!cw_bundle_account_permits_dc(before, after->dcs[i])) {
            g_string_append_printf(out, "account %s: %s newly permitted\n",
                                   after->name, after->dcs[i]);
            diff_number(out, "account", after->name, after->dcs[i], 0,
                        cw_bundle_account_guarantee(after, after->dcs[i]));
        }
    }
}

static void
diff_accounts(const struct cw_bundle *before, const struct cw_bundle *after,
              GString *out)
{
    for (unsigned i = 0; i < after->doc->accounts_count; i++) {
        const struct cw_account_def *new_def = &after->doc->accounts[i];
        const struct cw_account_def *old_def =
            cw_bundle_account_by_name(before, new_def->name);

        if (old_def == NULL) {
            g_string_append_printf(out, "account %s: added\n", new_def->name);
            continue;
        }
        diff_number(out, "account", new_def->name, "weight", old_def->weight,
                    new_def->weight);
        diff_number(out, "account", new_def->name, "max_waiting",
                    old_def->max_waiting, new_def->max_waiting);
        diff_text(out, "account", new_def->name, "token", old_def->token_hash,
                  new_def->token_hash);
        diff_account_dcs(out, old_def, new_def);
    }
    for (unsigned i = 0; i < before->doc->accounts_count; i++) {
        const char *name = before->doc->accounts[i].name;

        if (cw_bundle_account_by_name(after, name) == NULL) {
            g_string_append_printf(out, "account %s: removed\n", name);
        }
    }
}

static void
diff_workers(const struct cw_bundle *before, const struct cw_bundle *after,
             GString *out)
{
    for (unsigned i = 0; i < after->doc->workers_count; i++) {
        const struct cw_worker_def *new_def = &after->doc->workers[i];
        const struct cw_worker_def *old_def =
            g_hash_table_lookup(before->workers, new_def->name);

        if (old_def == NULL) {
            g_string_append_printf(out, "worker %s: added in %s %s\n",
                                   new_def->name, new_def->dc, new_def->rack);
            continue;
        }
        diff_number(out, "worker", new_def->name, "accelerators",
                    old_def->accelerators, new_def->accelerators);
        diff_number(out, "worker", new_def->name, "slots", old_def->slots,
                    new_def->slots);
        diff_text(out, "worker", new_def->name, "rack", old_def->rack,
                  new_def->rack);
        diff_text(out, "worker", new_def->name, "address", old_def->address,
                  new_def->address);
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
        const struct cw_operator_def *new_def = &after->doc->operators[i];
        const struct cw_operator_def *old_def =
            find_operator(before, new_def->name);

        if (old_def == NULL) {
            g_string_append_printf(out, "operator %s: added\n", new_def->name);
        }
        else if (old_def->revoked != new_def->revoked) {
            g_string_append_printf(out, "operator %s: %s\n", new_def->name,
                                   new_def->revoked ? "revoked" : "restored");
        }
        else {
            diff_text(out, "operator", new_def->name, "key",
                      old_def->public_key, new_def->public_key);
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
    struct cw_policy_def old_def = cw_bundle_policy(before);
    struct cw_policy_def new_def = cw_bundle_policy(after);

#define DIFF_POLICY(field)                                                    \
    diff_number(out, "policy", "", #field, old_def.field, new_def.field)
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
