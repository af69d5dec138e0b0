/* The epochs under which VMs were the owner, and which of these VMs have
 * recorded that they no longer extend leases. */
#include "replica/internal/replica_epochs.h"

#include <inttypes.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_xdr.h"

static void
epoch_free(gpointer data)
{
    struct cw_replica_epoch *epoch = data;

    g_hash_table_unref(epoch->sooner);
    g_ptr_array_unref(epoch->terms.voters);
    g_free(epoch);
}

GHashTable *
replica_epochs_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, epoch_free);
}

static struct cw_replica_epoch *
find_or_add(GHashTable *epochs, const char *vm)
{
    struct cw_replica_epoch *epoch = g_hash_table_lookup(epochs, vm);

    if (epoch == NULL) {
        epoch = g_new0(struct cw_replica_epoch, 1);
        epoch->sooner =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        epoch->terms.voters = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(epochs, g_strdup(vm), epoch);
    }
    return epoch;
}

static void
log_invalid(const char *vm, const char *kind, uint64_t offset)
{
    cw_log_error("record_invalid", "vm=%s kind=%s offset=%" PRIu64, vm, kind,
                 offset);
}

struct cw_replica_epoch *
replica_epochs_apply_begin(GHashTable *epochs,
                           const struct cw_store_record *record)
{
    const char *vm = record->key + 1;
    struct cw_replica_epoch *epoch = find_or_add(epochs, vm);
    struct cw_epoch_record value = {0};

    if (epoch->epoch > 0 && record->offset <= epoch->offset) {
        return NULL;
    }
    if (!cw_xdr_decode((xdrproc_t)xdr_cw_epoch_record, &value, record->value,
                       record->length))
    {
        log_invalid(vm, "epoch", record->offset);
        return NULL;
    }
    epoch->offset = record->offset;
    epoch->epoch = value.epoch;
    epoch->lease_ms = value.lease_ms;
    epoch->settled_below = value.settled_below;
    return epoch;
}

struct cw_replica_epoch *
replica_epochs_apply_end(GHashTable *epochs,
                         const struct cw_store_record *record,
                         struct timespec now)
{
    const char *vm = record->key + 1;
    struct cw_replica_epoch *epoch = find_or_add(epochs, vm);
    struct cw_epoch_end_record value = {0};

    if (epoch->end_epoch > 0 && record->offset <= epoch->end_offset) {
        return NULL;
    }
    if (!cw_xdr_decode((xdrproc_t)xdr_cw_epoch_end_record, &value,
                       record->value, record->length))
    {
        log_invalid(vm, "epoch_end", record->offset);
        return NULL;
    }
    epoch->end_offset = record->offset;
    epoch->end_epoch = value.epoch;
    epoch->end_read_at = now;
    epoch->left_ms = value.left_ms;
    g_hash_table_remove_all(epoch->sooner);
    for (u_int i = 0; i < value.sooner.sooner_len; i++) {
        const struct cw_lease_left *row = &value.sooner.sooner_val[i];

        g_hash_table_insert(epoch->sooner, g_strdup(row->worker),
                            GUINT_TO_POINTER(row->left_ms));
    }
    xdr_free((xdrproc_t)xdr_cw_epoch_end_record, (char *)&value);
    return epoch;
}

void
replica_epochs_apply_terms(GHashTable *epochs,
                           const struct cw_store_record *record,
                           struct timespec now)
{
    const char *vm = record->key + 1;
    struct cw_replica_lease_terms *terms = &find_or_add(epochs, vm)->terms;
    struct cw_lease_terms_record value = {0};

    if (terms->epoch > 0 && record->offset <= terms->offset) {
        return;
    }
    if (!cw_xdr_decode((xdrproc_t)xdr_cw_lease_terms_record, &value,
                       record->value, record->length))
    {
        log_invalid(vm, "lease_terms", record->offset);
        return;
    }
    terms->offset = record->offset;
    terms->epoch = value.epoch;
    terms->lease_ms = value.lease_ms;
    terms->longer_left_ms = value.longer_left_ms;
    terms->read_at = now;
    g_ptr_array_set_size(terms->voters, 0);
    for (u_int i = 0; i < value.voters.voters_len; i++) {
        g_ptr_array_add(terms->voters, g_strdup(value.voters.voters_val[i]));
    }
    xdr_free((xdrproc_t)xdr_cw_lease_terms_record, (char *)&value);
}

void
replica_epochs_apply_lease_start(GHashTable *epochs,
                                 const struct cw_store_record *record)
{
    const char *vm = record->key + 1;
    struct cw_replica_epoch *epoch = find_or_add(epochs, vm);
    struct cw_lease_start_record value = {0};

    if (epoch->leases_from_support > 0 &&
        record->offset <= epoch->lease_start_offset)
    {
        return;
    }
    if (!cw_xdr_decode((xdrproc_t)xdr_cw_lease_start_record, &value,
                       record->value, record->length))
    {
        log_invalid(vm, "lease_start", record->offset);
        return;
    }
    epoch->leases_from_support = value.epoch;
    epoch->lease_start_offset = record->offset;
}

void
replica_epochs_apply_drop(GHashTable *epochs,
                          const struct cw_store_record *record)
{
    const char *vm = record->key + 1;
    const struct cw_replica_epoch *epoch = g_hash_table_lookup(epochs, vm);

    if (epoch != NULL && epoch->offset < record->offset) {
        g_hash_table_remove(epochs, vm);
    }
}

bool
cw_replica_epoch_has_ended(const struct cw_replica_epoch *epoch)
{
    return epoch->end_epoch >= epoch->epoch;
}

int64_t
cw_replica_epoch_lease_left_ms(const struct cw_replica_epoch *epoch,
                               const char *worker)
{
    gpointer left_ms;

    if (worker != NULL &&
        g_hash_table_lookup_extended(epoch->sooner, worker, NULL, &left_ms))
    {
        return GPOINTER_TO_UINT(left_ms);
    }
    return epoch->left_ms;
}

const struct cw_replica_lease_terms *
cw_replica_epoch_terms(const struct cw_replica_epoch *epoch)
{
    return epoch->terms.epoch == epoch->epoch ? &epoch->terms : NULL;
}

bool
cw_replica_epoch_leases_from_support(const struct cw_replica_epoch *epoch)
{
    return epoch->leases_from_support == epoch->epoch;
}
