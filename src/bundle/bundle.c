/* Configuration bundles: parsing, lookups, the check whether a job can ever
 * run, and routing data. */
#include "curlewcart/cw_bundle.h"

#include <string.h>
#include <sodium.h>

#include "bundle/internal/bundle_check.h"
#include "bundle/internal/bundle_schema.h"
#include "curlewcart/cw_request.h"
#include "curlewcart/cw_work.h"
#include "curlewcart/cw_yaml.h"

enum {
    DEFAULT_SIGNATURES_REQUIRED = 1,
    DEFAULT_MAX_WAITING = 20000,
    DEFAULT_MAX_ATTEMPTS = 4,
    MILLI_PER_CORE = 1000
};

static unsigned
value_or_default(unsigned value, unsigned fallback)
{
    return value != 0 ? value : fallback;
}

struct cw_policy_def
cw_bundle_policy(const struct cw_bundle *bundle)
{
    struct cw_policy_def policy = bundle->doc->policy;

    policy.signatures =
        value_or_default(policy.signatures, DEFAULT_SIGNATURES_REQUIRED);
    policy.max_waiting =
        value_or_default(policy.max_waiting, DEFAULT_MAX_WAITING);
    policy.max_attempts =
        value_or_default(policy.max_attempts, DEFAULT_MAX_ATTEMPTS);
    return policy;
}

static void
index_names(struct cw_bundle *bundle)
{
    struct cw_bundle_doc *doc = bundle->doc;

    for (unsigned i = 0; i < doc->accounts_count; i++) {
        g_hash_table_insert(bundle->accounts, doc->accounts[i].name,
                            &doc->accounts[i]);
    }
    for (unsigned i = 0; i < doc->workers_count; i++) {
        g_hash_table_insert(bundle->workers, doc->workers[i].name,
                            &doc->workers[i]);
    }
    for (unsigned i = 0; i < doc->dcs_count; i++) {
        g_hash_table_insert(bundle->dcs, doc->dcs[i].name, &doc->dcs[i]);
    }
}

struct cw_bundle *
cw_bundle_parse(const void *text, size_t length, GString *problems)
{
    GString *found = g_string_new(NULL);
    struct cw_bundle *bundle = g_new0(struct cw_bundle, 1);
    void *doc = NULL;

    bundle->references = 1;
    bundle->content = g_bytes_new(text, length);
    bundle->accounts = g_hash_table_new(g_str_hash, g_str_equal);
    bundle->workers = g_hash_table_new(g_str_hash, g_str_equal);
    bundle->dcs = g_hash_table_new(g_str_hash, g_str_equal);
    crypto_generichash(bundle->hash, CW_HASH_BYTES, text, length, NULL, 0);
    if (cw_yaml_load(text, length, &cw_bundle_schema, &doc, found) != CYAML_OK)
    {
        goto error;
    }
    bundle->doc = doc;
    index_names(bundle);
    if (!cw_bundle_check(bundle, found)) {
        goto error;
    }
    g_string_free(found, TRUE);
    return bundle;

error:
    if (problems != NULL) {
        g_string_append(problems, found->str);
    }
    g_string_free(found, TRUE);
    cw_bundle_unref(bundle);
    return NULL;
}

struct cw_bundle *
cw_bundle_ref(struct cw_bundle *bundle)
{
    g_atomic_int_inc(&bundle->references);
    return bundle;
}

void
cw_bundle_unref(struct cw_bundle *bundle)
{
    if (bundle == NULL || !g_atomic_int_dec_and_test(&bundle->references)) {
        return;
    }
    g_hash_table_unref(bundle->accounts);
    g_hash_table_unref(bundle->workers);
    g_hash_table_unref(bundle->dcs);
    g_bytes_unref(bundle->content);
    cw_yaml_free(&cw_bundle_schema, bundle->doc);
    g_free(bundle);
}

const struct cw_account_def *
cw_bundle_account_by_name(const struct cw_bundle *bundle, const char *name)
{
    return g_hash_table_lookup(bundle->accounts, name);
}

bool
cw_bundle_account_permits_dc(const struct cw_account_def *account,
                             const char *dc)
{
    for (unsigned i = 0; i < account->dcs_count; i++) {
        if (strcmp(account->dcs[i], dc) == 0) {
            return true;
        }
    }
    return false;
}

unsigned
cw_bundle_account_guarantee(const struct cw_account_def *account,
                            const char *dc)
{
    for (unsigned i = 0; i < account->guarantees_count; i++) {
        if (strcmp(account->guarantees[i].dc, dc) == 0) {
            return account->guarantees[i].accelerators;
        }
    }
    return 0;
}

/* ---- jobs that can never run ---- */

static bool
spec_allows_dc(const struct cw_work_spec *spec, const char *dc)
{
    if (spec->dcs.dcs_len == 0) {
        return true;
    }
    for (unsigned i = 0; i < spec->dcs.dcs_len; i++) {
        if (strcmp(spec->dcs.dcs_val[i], dc) == 0) {
            return true;
        }
    }
    return false;
}

static bool
dc_is_usable(const struct cw_bundle *bundle,
             const struct cw_account_def *account,
             const struct cw_work_spec *spec, const char *dc)
{
    const struct cw_dc_def *def = g_hash_table_lookup(bundle->dcs, dc);

    return def != NULL && !def->out_of_service &&
           cw_bundle_account_permits_dc(account, dc) &&
           spec_allows_dc(spec, dc);
}

/* Number of the step's tasks that fit on the worker when it is idle. */
static unsigned
tasks_per_worker(const struct cw_worker_def *worker,
                 const struct cw_step_spec *step)
{
    unsigned tasks = worker->slots;

    if (step->accelerators > 0) {
        tasks = MIN(tasks, worker->accelerators / step->accelerators);
    }
    if (step->cpu_milli > 0) {
        tasks = MIN(tasks, worker->cores * MILLI_PER_CORE / step->cpu_milli);
    }
    if (step->memory_mb > 0) {
        tasks = MIN(tasks, worker->memory_mb / step->memory_mb);
    }
    return tasks;
}

/* Number of a step's tasks that fit on the workers when all are idle. */
struct step_capacity {
    unsigned max_per_worker;
    unsigned max_per_rack;
    unsigned total;
};

static struct step_capacity
step_capacity(const struct cw_bundle *bundle,
              const struct cw_account_def *account,
              const struct cw_work_spec *spec, const struct cw_step_spec *step)
{
    GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
    struct step_capacity capacity = {0};

    for (unsigned i = 0; i < bundle->doc->workers_count; i++) {
        const struct cw_worker_def *worker = &bundle->doc->workers[i];
        unsigned worker_tasks;
        unsigned rack_tasks;

        if (!dc_is_usable(bundle, account, spec, worker->dc)) {
            continue;
        }
        worker_tasks = tasks_per_worker(worker, step);
        rack_tasks =
            GPOINTER_TO_UINT(g_hash_table_lookup(racks, worker->rack));
        rack_tasks += worker_tasks;
        g_hash_table_insert(racks, worker->rack, GUINT_TO_POINTER(rack_tasks));
        capacity.max_per_worker = MAX(capacity.max_per_worker, worker_tasks);
        capacity.max_per_rack = MAX(capacity.max_per_rack, rack_tasks);
        capacity.total += worker_tasks;
    }
    g_hash_table_unref(racks);
    return capacity;
}

static enum cw_result
check_step_fit(const struct cw_step_spec *step,
               const struct step_capacity *capacity)
{
    if (capacity->max_per_worker == 0) {
        return CW_REF_WORKER;
    }
    if (step->gang && step->same_rack == CW_SAME_RACK_REQUIRED &&
        step->tasks > capacity->max_per_rack)
    {
        return CW_REF_RACK;
    }
    return step->gang && step->tasks > capacity->total ? CW_REF_GANG : CW_OK;
}

static bool
any_dc_is_usable(const struct cw_bundle *bundle,
                 const struct cw_account_def *account,
                 const struct cw_work_spec *spec)
{
    for (unsigned i = 0; i < bundle->doc->dcs_count; i++) {
        if (dc_is_usable(bundle, account, spec, bundle->doc->dcs[i].name)) {
            return true;
        }
    }
    return false;
}

enum cw_result
cw_bundle_check_fit(const struct cw_bundle *bundle,
                    const struct cw_work_spec *spec)
{
    const struct cw_account_def *account =
        cw_bundle_account_by_name(bundle, spec->account);
    enum cw_result result = CW_OK;

    if (account == NULL) {
        return CW_REF_ACCOUNT;
    }
    if (!any_dc_is_usable(bundle, account, spec)) {
        return CW_REF_NO_DC;
    }
    for (u_int i = 0; i < spec->steps.steps_len && result == CW_OK; i++) {
        const struct cw_step_spec *step = &spec->steps.steps_val[i];
        struct step_capacity capacity =
            step_capacity(bundle, account, spec, step);

        result = check_step_fit(step, &capacity);
    }
    return result;
}

/* ---- routing data for the scheduler ---- */

static void
add_account(struct cw_routing *routing, const struct cw_account_def *def)
{
    struct cw_account *account = cw_routing_add_account(routing);

    account->name = g_strdup(def->name);
    for (unsigned i = 0; i < def->dcs_count; i++) {
        g_ptr_array_add(account->dcs, g_strdup(def->dcs[i]));
    }
    for (unsigned i = 0; i < def->guarantees_count; i++) {
        account->guaranteed_accelerators += def->guarantees[i].accelerators;
    }
}

struct cw_routing *
cw_bundle_routing(const struct cw_bundle *bundle, const char *service)
{
    struct cw_routing *routing = cw_routing_new();
    struct cw_queue *queue = cw_routing_add_queue(routing);
    struct cw_service *worker_service = cw_routing_add_service(routing);

    routing->version = bundle->number;
    routing->enforces_residency = true;
    queue->name = g_strdup(CW_REQUEST_QUEUE);
    queue->host = g_strdup("");
    queue->prefix = g_strdup("");
    queue->service = g_strdup(service);
    queue->max_attempts = cw_bundle_policy(bundle).max_attempts;
    worker_service->name = g_strdup(service);
    worker_service->enforces_capacity = true;
    for (unsigned i = 0; i < bundle->doc->dcs_count; i++) {
        const struct cw_dc_def *dc = &bundle->doc->dcs[i];

        if (dc->out_of_service) {
            g_ptr_array_add(routing->closed_dcs, g_strdup(dc->name));
        }
    }
    for (unsigned i = 0; i < bundle->doc->accounts_count; i++) {
        add_account(routing, &bundle->doc->accounts[i]);
    }
    cw_routing_finish(routing);
    return routing;
}

bool
cw_bundle_token_ok(const struct cw_account_def *account, const char *token)
{
    unsigned char stored[CW_HASH_BYTES];
    unsigned char presented[CW_HASH_BYTES];
    size_t length = 0;

    if (sodium_hex2bin(stored, sizeof(stored), account->token_hash,
                       strlen(account->token_hash), NULL, &length,
                       NULL) != 0 ||
        length != sizeof(stored))
    {
        return false;
    }
    crypto_generichash(presented, sizeof(presented),
                       (const unsigned char *)token, strlen(token), NULL, 0);
    return sodium_memcmp(stored, presented, sizeof(presented)) == 0;
}
