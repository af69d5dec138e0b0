/* Checks of a bundle that its YAML schema can't express. */
#include "bundle/internal/bundle_check.h"

#include <string.h>
#include <sodium.h>

static void
add_problem(GString *problems, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void
add_problem(GString *problems, const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    g_string_append_vprintf(problems, format, arguments);
    va_end(arguments);
    g_string_append_c(problems, '\n');
}

static bool
is_hex(const char *text)
{
    return strspn(text, "0123456789abcdefABCDEF") == strlen(text);
}

/* Letters, digits and "-_." only: names are parts of keys, log lines, URLs. */
static bool
is_plain_name(const char *name)
{
    for (; *name != '\0'; name++) {
        if (!g_ascii_isalnum(*name) && strchr("-_.", *name) == NULL) {
            return false;
        }
    }
    return true;
}

static void
check_dcs(const struct cw_bundle *bundle, GString *problems)
{
    const struct cw_bundle_doc *doc = bundle->doc;

    if (g_hash_table_size(bundle->dcs) != doc->dcs_count) {
        add_problem(problems, "dcs: a name stands twice");
    }
    for (unsigned i = 0; i < doc->dcs_count; i++) {
        if (!is_plain_name(doc->dcs[i].name)) {
            add_problem(problems, "dcs[%u].name: not a plain name", i);
        }
    }
}

static void
check_workers(const struct cw_bundle *bundle, GString *problems)
{
    const struct cw_bundle_doc *doc = bundle->doc;

    if (g_hash_table_size(bundle->workers) != doc->workers_count) {
        add_problem(problems, "workers: a name stands twice");
    }
    for (unsigned i = 0; i < doc->workers_count; i++) {
        const struct cw_worker_def *worker = &doc->workers[i];

        if (!g_hash_table_contains(bundle->dcs, worker->dc)) {
            add_problem(problems, "workers[%u].dc: no data centre \"%s\"", i,
                        worker->dc);
        }
        if (!is_plain_name(worker->name) || !is_plain_name(worker->rack)) {
            add_problem(problems, "workers[%u]: name or rack is not plain", i);
        }
        if (worker->accelerators == 0 || worker->slots == 0) {
            add_problem(problems,
                        "workers[%u]: expected accelerators and slots", i);
        }
    }
}

static void
check_account_dcs(const struct cw_bundle *bundle,
                  const struct cw_account_def *account, GString *problems)
{
    if (account->dcs_count == 0) {
        add_problem(problems, "accounts \"%s\".dcs: no data centre permitted",
                    account->name);
    }
    for (unsigned i = 0; i < account->dcs_count; i++) {
        if (!g_hash_table_contains(bundle->dcs, account->dcs[i])) {
            add_problem(problems, "accounts \"%s\".dcs: no data centre \"%s\"",
                        account->name, account->dcs[i]);
        }
    }
    for (unsigned i = 0; i < account->guarantees_count; i++) {
        const struct cw_guarantee_def *g = &account->guarantees[i];

        if (!cw_bundle_account_permits_dc(account, g->dc)) {
            add_problem(
                problems,
                "accounts \"%s\".guarantees: \"%s\" is not among its dcs",
                account->name, g->dc);
        }
        if (g->rack_block > g->accelerators) {
            add_problem(problems,
                        "accounts \"%s\".guarantees: rack_block %u exceeds "
                        "accelerators %u",
                        account->name, g->rack_block, g->accelerators);
        }
        for (unsigned k = 0; k < i; k++) {
            if (strcmp(account->guarantees[k].dc, g->dc) == 0) {
                add_problem(problems,
                            "accounts \"%s\".guarantees: \"%s\" twice",
                            account->name, g->dc);
            }
        }
    }
}

static void
check_accounts(const struct cw_bundle *bundle, GString *problems)
{
    const struct cw_bundle_doc *doc = bundle->doc;

    if (g_hash_table_size(bundle->accounts) != doc->accounts_count) {
        add_problem(problems, "accounts: a name stands twice");
    }
    for (unsigned i = 0; i < doc->accounts_count; i++) {
        const struct cw_account_def *account = &doc->accounts[i];

        if (!is_plain_name(account->name)) {
            add_problem(problems, "accounts[%u].name: not a plain name", i);
        }
        if (!is_hex(account->token_hash)) {
            add_problem(problems, "accounts \"%s\".token_hash: expected hex",
                        account->name);
        }
        check_account_dcs(bundle, account, problems);
    }
}

static void
check_operators(const struct cw_bundle *bundle, GString *problems)
{
    const struct cw_bundle_doc *doc = bundle->doc;
    unsigned signers = 0;

    for (unsigned i = 0; i < doc->operators_count; i++) {
        const struct cw_operator_def *op = &doc->operators[i];

        if (!is_hex(op->public_key)) {
            add_problem(problems, "operators \"%s\".public_key: expected hex",
                        op->name);
        }
        for (unsigned k = 0; k < i; k++) {
            if (strcmp(doc->operators[k].name, op->name) == 0) {
                add_problem(problems, "operators: \"%s\" stands twice",
                            op->name);
            }
        }
        signers += op->revoked ? 0 : 1;
    }
    if (signers < cw_bundle_policy(bundle).signatures) {
        add_problem(
            problems,
            "policy.signatures: %u needed but only %u operators can sign",
            cw_bundle_policy(bundle).signatures, signers);
    }
}

bool
cw_bundle_check(const struct cw_bundle *bundle, GString *problems)
{
    size_t problems_before = problems->len;

    check_dcs(bundle, problems);
    check_workers(bundle, problems);
    check_accounts(bundle, problems);
    check_operators(bundle, problems);
    for (unsigned i = 0;
         problems->len == problems_before && i < bundle->doc->dcs_count; i++)
    {
        GArray *plan = cw_bundle_plan_guarantees(
            bundle, bundle->doc->dcs[i].name, problems);

        if (plan != NULL) {
            g_array_unref(plan);
        }
    }
    return problems->len == problems_before;
}
