/* The plan of guarantees: how many accelerators of each rack are reserved
 * for which account.
 *
 * The plan depends on the bundle only, so that every VM computes the same
 * one.  Blocks that must stay in one rack are placed first, largest first,
 * into the rack with the least free capacity that holds them (best fit
 * decreasing); the remainders are spread over the capacity that is left.  As
 * long as work that can't be stopped uses only its own account's share of a
 * rack and capacity that is in no share, every planned share can be reclaimed
 * by stopping preemptible work only.
 */
#include "curlewcart/cw_bundle.h"

#include <stdlib.h>
#include <string.h>

struct rack {
    const char *name;
    unsigned free_accelerators;
    unsigned max_per_worker; /* accelerators of its largest worker */
};

/* `size` accelerators guaranteed to one account, to be assigned to racks. */
struct block {
    const char *account;
    unsigned size;
};

static struct rack *
find_or_add_rack(GArray *racks, const char *name)
{
    struct rack added = {.name = name};

    for (guint i = 0; i < racks->len; i++) {
        struct rack *rack = &g_array_index(racks, struct rack, i);

        if (strcmp(rack->name, name) == 0) {
            return rack;
        }
    }
    g_array_append_val(racks, added);
    return &g_array_index(racks, struct rack, racks->len - 1);
}

static GArray *
collect_racks(const struct cw_bundle *bundle, const char *dc)
{
    GArray *racks = g_array_new(FALSE, TRUE, sizeof(struct rack));
    unsigned spare_workers = bundle->doc->policy.spare_workers;

    for (unsigned i = 0; i < bundle->doc->workers_count; i++) {
        const struct cw_worker_def *worker = &bundle->doc->workers[i];
        struct rack *rack;

        if (strcmp(worker->dc, dc) != 0) {
            continue;
        }
        rack = find_or_add_rack(racks, worker->rack);
        rack->free_accelerators += worker->accelerators;
        rack->max_per_worker = MAX(rack->max_per_worker, worker->accelerators);
    }
    for (guint i = 0; i < racks->len; i++) {
        struct rack *rack = &g_array_index(racks, struct rack, i);
        unsigned spare_accelerators = spare_workers * rack->max_per_worker;

        rack->free_accelerators =
            rack->free_accelerators > spare_accelerators
                ? rack->free_accelerators - spare_accelerators
                : 0;
    }
    return racks;
}

static int
compare_larger_first(const void *a, const void *b)
{
    const struct block *x = a;
    const struct block *y = b;

    if (x->size != y->size) {
        return x->size < y->size ? 1 : -1;
    }
    return strcmp(x->account, y->account);
}

static void
collect_blocks(const struct cw_bundle *bundle, const char *dc,
               GArray *rack_blocks, GArray *remainders)
{
    for (unsigned i = 0; i < bundle->doc->accounts_count; i++) {
        const struct cw_account_def *account = &bundle->doc->accounts[i];

        for (unsigned k = 0; k < account->guarantees_count; k++) {
            const struct cw_guarantee_def *g = &account->guarantees[k];
            struct block block = {account->name, g->rack_block};
            unsigned left = g->accelerators;

            if (strcmp(g->dc, dc) != 0) {
                continue;
            }
            for (; g->rack_block > 0 && left >= g->rack_block;
                 left -= g->rack_block) {
                g_array_append_val(rack_blocks, block);
            }
            block.size = left;
            if (left > 0) {
                g_array_append_val(remainders, block);
            }
        }
    }
    g_array_sort(rack_blocks, compare_larger_first);
    g_array_sort(remainders, compare_larger_first);
}

static void
add_share(GArray *plan, struct rack *rack, const char *account,
          unsigned accelerators)
{
    struct cw_plan_share share = {rack->name, account, accelerators};

    rack->free_accelerators -= accelerators;
    for (guint i = 0; i < plan->len; i++) {
        struct cw_plan_share *existing =
            &g_array_index(plan, struct cw_plan_share, i);

        if (existing->rack == rack->name &&
            strcmp(existing->account, account) == 0) {
            existing->accelerators += accelerators;
            return;
        }
    }
    g_array_append_val(plan, share);
}

static bool
place_in_one_rack(GArray *plan, GArray *racks, const struct block *block)
{
    struct rack *best = NULL;

    for (guint i = 0; i < racks->len; i++) {
        struct rack *rack = &g_array_index(racks, struct rack, i);

        if (rack->free_accelerators >= block->size &&
            (best == NULL ||
             rack->free_accelerators < best->free_accelerators))
        {
            best = rack;
        }
    }
    if (best == NULL) {
        return false;
    }
    add_share(plan, best, block->account, block->size);
    return true;
}

static bool
spread_over_racks(GArray *plan, GArray *racks, const struct block *block)
{
    unsigned left = block->size;

    for (guint i = 0; i < racks->len && left > 0; i++) {
        struct rack *rack = &g_array_index(racks, struct rack, i);
        unsigned accelerators = MIN(left, rack->free_accelerators);

        if (accelerators > 0) {
            add_share(plan, rack, block->account, accelerators);
            left -= accelerators;
        }
    }
    return left == 0;
}

GArray *
cw_bundle_plan_guarantees(const struct cw_bundle *bundle, const char *dc,
                          GString *problems)
{
    GArray *plan = g_array_new(FALSE, TRUE, sizeof(struct cw_plan_share));
    GArray *racks = collect_racks(bundle, dc);
    GArray *rack_blocks = g_array_new(FALSE, TRUE, sizeof(struct block));
    GArray *remainders = g_array_new(FALSE, TRUE, sizeof(struct block));
    const struct block *failed = NULL;

    collect_blocks(bundle, dc, rack_blocks, remainders);
    for (guint i = 0; i < rack_blocks->len && failed == NULL; i++) {
        const struct block *block =
            &g_array_index(rack_blocks, struct block, i);

        failed = place_in_one_rack(plan, racks, block) ? NULL : block;
    }
    for (guint i = 0; i < remainders->len && failed == NULL; i++) {
        const struct block *block =
            &g_array_index(remainders, struct block, i);

        failed = spread_over_racks(plan, racks, block) ? NULL : block;
    }
    if (failed != NULL) {
        if (problems != NULL) {
            g_string_append_printf(
                problems,
                "accounts \"%s\".guarantees: %u accelerators in \"%s\" cannot "
                "be held beside the other guarantees\n",
                failed->account, failed->size, dc);
        }
        g_array_unref(plan);
        plan = NULL;
    }
    g_array_unref(racks);
    g_array_unref(rack_blocks);
    g_array_unref(remainders);
    return plan;
}
