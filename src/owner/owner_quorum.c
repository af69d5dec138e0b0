/* The majority of VMs whose support an owner needs to renew leases.
 *
 * An owner records the addresses of some VMs, its electorate, in the log of
 * jobs.  From then on it renews leases only while a majority of them supports
 * its epoch (cw_voter.h).  A VM that takes over reads that record, as the
 * owner has no say once it is fenced, and requests support from the same VMs.
 * Two majorities have a VM in common, and that VM tells until when it
 * supported lower epochs.  So the new owner knows how long the earlier one may
 * have renewed leases, however that one ended.  A lease counts from the
 * request for the support that allows it, not from the order that grants it:
 * so an owner that ends grants nothing that counts from a later time, although
 * its support lasts on.
 *
 * - Until a record of another electorate is known to be stored, majorities of
 *   both electorates are needed: a VM that takes over reads one or the other.
 * - If too few VMs answer, the owner records that it needs no support.  It
 *   then renews leases while the store has confirmed it recently, and a VM
 *   that takes over waits longer (owner_epochs.c).
 * - So it does where workers report when they booted: a start may be held up
 *   for seconds and reach a worker's next incarnation, whatever is known of
 *   the owner that sent it.
 * - A VM that starts again has forgotten which epochs its former process has
 *   supported, and the next owner may count on that.  The next owner asks only
 *   after it has fenced this one, so the VM's support counts once the store
 *   has confirmed this owner after that start.
 */
#include "owner/internal/owner_private.h"

#include <inttypes.h>
#include <string.h>

#include "curlewcart/cw_voter.h"

enum {
    REQUEST_INTERVAL_MS = 200,
    REQUEST_TIMEOUT_MS = 600,
    /* An odd number of voters: one more would need one more answer. */
    VOTERS_MAX = 7,
    /* A VM that has left requests unanswered for this long is not chosen. */
    UNRESPONSIVE_MS = 600,
    /* Time for the first answers. */
    FIRST_ANSWERS_MS = 400,
    /* Minimum time between changes of an electorate that still supports the
     * owner, and to the first one after it had none. */
    CHANGE_INTERVAL_MS = 1000,
    PERCENT = 100
};

/* What is known of another VM; times are 0 if there is none. */
struct voter_state {
    struct timespec unanswered_since; /* first request since the last answer */
    struct timespec supported_at;     /* the last request that it has supported
                                         was sent */
    /* A later one, which does not count yet: the voter may have started again
     * at `restarted_by`, and the store has not confirmed this owner since. */
    struct timespec unproven_at;
    struct timespec restarted_by;
    struct timespec lower_until; /* end of its support for lower epochs */
    struct timespec lower_asked; /* when it was asked for that support last */
    bool answered;
};

/* A request in flight; it may outlive the owner. */
struct call {
    struct cw_owner *owner; /* NULL once the owner is gone */
    uint64_t epoch;
    char *address;
    struct timespec sent;
};

struct owner_quorum {
    GHashTable *voters;    /* address -> struct voter_state, of this epoch */
    GPtrArray *electorate; /* addresses, as stored; empty: no support needed */
    GPtrArray *unstored;   /* those of a record in flight, or NULL */
    GPtrArray *wanted;     /* those of the next record, or NULL */
    const char *reason;    /* for that record */
    GPtrArray *calls;      /* struct call */
    struct timespec begun_at;
    struct timespec changed_at;
    struct timespec request_due;
    bool supported; /* at the last request */
    guint earlier_known;
    guint next_other; /* the first VM to ask besides those that are chosen */
};

static GPtrArray *
address_list_new(void)
{
    return g_ptr_array_new_with_free_func(g_free);
}

static void
drop_list(GPtrArray **list)
{
    if (*list != NULL) {
        g_ptr_array_unref(*list);
        *list = NULL;
    }
}

struct owner_quorum *
owner_quorum_create(void)
{
    struct owner_quorum *quorum = g_new0(struct owner_quorum, 1);

    quorum->voters =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    quorum->electorate = address_list_new();
    quorum->calls = g_ptr_array_new();
    return quorum;
}

void
owner_quorum_free(struct owner_quorum *quorum)
{
    for (guint i = 0; i < quorum->calls->len; i++) {
        ((struct call *)quorum->calls->pdata[i])->owner = NULL;
    }
    g_ptr_array_unref(quorum->calls);
    g_hash_table_unref(quorum->voters);
    g_ptr_array_unref(quorum->electorate);
    drop_list(&quorum->unstored);
    drop_list(&quorum->wanted);
    g_free(quorum);
}

/* ---- majorities ---- */

static guint
majority_of(const GPtrArray *electorate)
{
    return electorate->len / 2 + 1;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    const struct timespec *left = a;
    const struct timespec *right = b;

    return cw_time_before(*left, *right)   ? -1
           : cw_time_before(*right, *left) ? 1
                                           : 0;
}

/* Returns the latest time such that a majority of the VMs has supported
 * requests that were sent then or later; 0: there is none. */
static struct timespec
supported_at(const struct owner_quorum *quorum, const GPtrArray *electorate)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(struct timespec));
    struct timespec at;

    for (guint i = 0; i < electorate->len; i++) {
        const struct voter_state *voter =
            g_hash_table_lookup(quorum->voters, electorate->pdata[i]);
        struct timespec time =
            voter != NULL ? voter->supported_at : cw_time_from_ms(0);

        g_array_append_val(times, time);
    }
    g_array_sort(times, compare_times);
    at = g_array_index(times, struct timespec,
                       electorate->len - majority_of(electorate));
    g_array_unref(times);
    return at;
}

/* Returns how long the support for a request that was sent at `sent` lasts at
 * least. */
static struct timespec
support_end(struct timespec sent)
{
    /* Both clocks may deviate. */
    return cw_time_add_ms(sent, CW_SUPPORT_MS - CW_SUPPORT_MS * 2 *
                                                    OWNER_CLOCK_DRIFT_PERCENT /
                                                    PERCENT);
}

static bool
is_supported_by(const struct owner_quorum *quorum, const GPtrArray *electorate,
                struct timespec now)
{
    return electorate->len == 0 ||
           cw_time_before(now, support_end(supported_at(quorum, electorate)));
}

bool
owner_quorum_allows(const struct cw_owner *owner, struct timespec now)
{
    const struct owner_quorum *quorum = owner->quorum;

    return is_supported_by(quorum, quorum->electorate, now) &&
           (quorum->unstored == NULL ||
            is_supported_by(quorum, quorum->unstored, now));
}

struct timespec
owner_quorum_lease_start(const struct cw_owner *owner, struct timespec now)
{
    const struct owner_quorum *quorum = owner->quorum;
    struct timespec start = now;

    if (quorum->electorate->len > 0) {
        cw_time_set_earlier(&start, supported_at(quorum, quorum->electorate));
    }
    if (quorum->unstored != NULL && quorum->unstored->len > 0) {
        cw_time_set_earlier(&start, supported_at(quorum, quorum->unstored));
    }
    return start;
}

/* The electorate of the owner of an earlier epoch; NULL if it needed no
 * support. */
static const GPtrArray *
electorate_of(const struct cw_replica_epoch *epoch)
{
    const struct cw_replica_lease_terms *terms = cw_replica_epoch_terms(epoch);

    return terms != NULL && terms->voters->len > 0 ? terms->voters : NULL;
}

bool
owner_quorum_earlier_start(const struct cw_owner *owner,
                           const struct cw_replica_epoch *epoch,
                           struct timespec *start)
{
    const GPtrArray *electorate = electorate_of(epoch);
    bool from_support = cw_replica_epoch_leases_from_support(epoch);
    GArray *times;
    bool known;

    if (electorate == NULL) {
        return false;
    }
    times = g_array_new(FALSE, FALSE, sizeof(struct timespec));
    for (guint i = 0; i < electorate->len; i++) {
        const struct voter_state *voter =
            g_hash_table_lookup(owner->quorum->voters, electorate->pdata[i]);

        if (voter != NULL && voter->answered) {
            struct timespec time =
                from_support ? voter->lower_asked : voter->lower_until;

            g_array_append_val(times, time);
        }
    }
    known = times->len >= majority_of(electorate);
    if (known) {
        g_array_sort(times, compare_times);
        *start =
            g_array_index(times, struct timespec, majority_of(electorate) - 1);
    }
    g_array_unref(times);
    return known;
}

/* Number of earlier epochs of which it is known how long they were
 * supported. */
static guint
count_earlier_known(const struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;
    struct timespec start;
    guint count = 0;

    g_hash_table_iter_init(&iterator,
                           cw_replica_epochs(owner->options.replica));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        count += owner_quorum_earlier_start(owner, value, &start);
    }
    return count;
}

/* ---- requests ---- */

static struct voter_state *
voter_of(struct owner_quorum *quorum, const char *address)
{
    struct voter_state *voter = g_hash_table_lookup(quorum->voters, address);

    if (voter == NULL) {
        voter = g_new0(struct voter_state, 1);
        g_hash_table_insert(quorum->voters, g_strdup(address), voter);
    }
    return voter;
}

/* Returns the latest time by this VM's clock at which `left_ms` have passed
 * since the answer by another VM's. */
static struct timespec
end_by_other_clock(struct timespec answered_at, int64_t left_ms)
{
    return left_ms > 0
               ? owner_lease_end_from_record(answered_at, left_ms)
               : cw_time_add_ms(
                     answered_at,
                     left_ms - left_ms * OWNER_CLOCK_DRIFT_PERCENT / PERCENT +
                         1);
}

/* Records whether this owner has the support that it needs. */
static void
update_support(struct cw_owner *owner, struct timespec now)
{
    struct owner_quorum *quorum = owner->quorum;
    bool supported = owner_quorum_allows(owner, now);

    if (supported == quorum->supported) {
        return;
    }
    quorum->supported = supported;
    cw_log_info("owner_support", "shard=%u epoch=%" PRIu64 " now=%d voters=%u",
                owner->options.partition, owner->epoch, supported,
                quorum->electorate->len);
    if (supported) {
        owner_targets_wake_all(owner); /* their starts have waited */
    }
}

/* Counts the voter's last support, if no later owner can count on a former
 * process of it. */
static void
count_proven(const struct cw_owner *owner, struct voter_state *voter)
{
    if (!cw_time_before(owner->ownership_confirmed_at, voter->restarted_by)) {
        cw_time_set_later(&voter->supported_at, voter->unproven_at);
    }
}

void
owner_quorum_ownership_confirmed(struct cw_owner *owner)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, owner->quorum->voters);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        count_proven(owner, value);
    }
    if (owner->state == OWNER_ACTIVE) {
        update_support(owner, owner_now(owner));
    }
}

static void
support_granted(struct cw_owner *owner, const struct call *call,
                const struct cw_peers_answer *answer)
{
    struct owner_quorum *quorum = owner->quorum;
    struct voter_state *voter = voter_of(quorum, call->address);
    struct timespec now = owner_now(owner);
    struct timespec lower = end_by_other_clock(now, answer->lower_left_ms);
    struct timespec asked =
        end_by_other_clock(now, answer->lower_left_ms - CW_SUPPORT_MS);
    bool first = !voter->answered;
    guint known;

    voter->unanswered_since = cw_time_from_ms(0);
    if (cw_time_before(voter->unproven_at, call->sent)) {
        voter->unproven_at = call->sent;
        /* A process that starts again tells its start, or a later time. */
        voter->restarted_by = asked;
    }
    count_proven(owner, voter);
    if (first || cw_time_before(lower, voter->lower_until)) {
        voter->lower_until = lower;
    }
    if (first || cw_time_before(asked, voter->lower_asked)) {
        voter->lower_asked = asked;
    }
    voter->answered = true;
    update_support(owner, now);
    known = first ? count_earlier_known(owner) : quorum->earlier_known;
    if (known != quorum->earlier_known) {
        quorum->earlier_known = known;
        owner_epochs_on_earlier_known(owner);
    }
}

static void
on_answer(void *context, const struct cw_peers_answer *answer)
{
    struct call *call = context;
    struct cw_owner *owner = call->owner;

    if (owner != NULL) {
        g_ptr_array_remove_fast(owner->quorum->calls, call);
        if (answer->supported && call->epoch == owner->epoch &&
            owner->state != OWNER_IDLE)
        {
            support_granted(owner, call, answer);
        }
    }
    g_free(call->address);
    g_free(call);
}

static void
request_support(struct cw_owner *owner, const char *address,
                struct timespec now)
{
    struct call *call = g_new0(struct call, 1);
    struct voter_state *voter = voter_of(owner->quorum, address);
    struct cw_peers_support request = {.address = address,
                                       .partition = owner->options.partition,
                                       .epoch = owner->epoch,
                                       .timeout_ms = REQUEST_TIMEOUT_MS,
                                       .done = on_answer,
                                       .context = call};

    if (voter->unanswered_since.tv_sec == 0) {
        voter->unanswered_since = now;
    }
    call->owner = owner;
    call->epoch = owner->epoch;
    call->address = g_strdup(address);
    call->sent = now;
    g_ptr_array_add(owner->quorum->calls, call);
    owner->options.peers->ops->support(owner->options.peers, &request);
}

/* ---- electorates ---- */

static gint
compare_addresses(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static bool
is_responsive(const struct owner_quorum *quorum, const char *address,
              struct timespec now)
{
    const struct voter_state *voter =
        g_hash_table_lookup(quorum->voters, address);

    return voter == NULL || voter->unanswered_since.tv_sec == 0 ||
           cw_time_diff_ms(voter->unanswered_since, now) < UNRESPONSIVE_MS;
}

/* Returns the addresses of the other VMs that may be in an electorate: none
 * where workers report when they booted.  Borrowed texts. */
static GPtrArray *
list_candidates(struct cw_owner *owner)
{
    struct cw_peers *peers = owner->options.peers;
    GPtrArray *all = g_ptr_array_new();

    if (!owner_epochs_any_worker_reports_boot(owner)) {
        peers->ops->addresses(peers, all);
    }
    return all;
}

/* Chooses an electorate from the other VMs that are not unresponsive and, with
 * `supporting`, support this owner.  Sorted addresses tend to be grouped by
 * data centre; the choice is spread over them. */
static GPtrArray *
choose_electorate(struct cw_owner *owner, bool supporting, struct timespec now)
{
    GPtrArray *all = list_candidates(owner);
    GPtrArray *eligible = g_ptr_array_new();
    GPtrArray *chosen = address_list_new();
    guint count;

    for (guint i = 0; i < all->len; i++) {
        const struct voter_state *voter =
            g_hash_table_lookup(owner->quorum->voters, all->pdata[i]);

        if (is_responsive(owner->quorum, all->pdata[i], now) &&
            (!supporting ||
             (voter != NULL &&
              cw_time_before(now, support_end(voter->supported_at)))))
        {
            g_ptr_array_add(eligible, all->pdata[i]);
        }
    }
    g_ptr_array_sort(eligible, compare_addresses);
    count = MIN(eligible->len, (guint)VOTERS_MAX);
    count -= count > 0 && count % 2 == 0;
    for (guint i = 0; i < count; i++) {
        g_ptr_array_add(chosen,
                        g_strdup(eligible->pdata[i * eligible->len / count]));
    }
    g_ptr_array_unref(all);
    g_ptr_array_unref(eligible);
    return chosen;
}

void
owner_quorum_begin(struct cw_owner *owner)
{
    struct owner_quorum *quorum = owner->quorum;
    struct timespec now = owner_now(owner);

    owner_quorum_end(owner);
    if (owner->options.peers == NULL) {
        return;
    }
    quorum->begun_at = now;
    quorum->request_due = now;
    quorum->wanted = choose_electorate(owner, false, now);
    quorum->reason = "begin";
}

void
owner_quorum_end(struct cw_owner *owner)
{
    struct owner_quorum *quorum = owner->quorum;

    g_hash_table_remove_all(quorum->voters);
    g_ptr_array_set_size(quorum->electorate, 0);
    drop_list(&quorum->unstored);
    drop_list(&quorum->wanted);
    quorum->supported = false;
    quorum->earlier_known = 0;
}

/* ---- changes of the electorate ---- */

static bool
contains_unresponsive(const struct owner_quorum *quorum,
                      const GPtrArray *electorate, struct timespec now)
{
    for (guint i = 0; i < electorate->len; i++) {
        if (!is_responsive(quorum, electorate->pdata[i], now)) {
            return true;
        }
    }
    return false;
}

/* Returns why the electorate has to be replaced by `other`, or NULL. */
static const char *
reason_to_change(const struct cw_owner *owner, const GPtrArray *other,
                 struct timespec now)
{
    const struct owner_quorum *quorum = owner->quorum;

    if (quorum->electorate->len > 0 &&
        owner_epochs_any_worker_reports_boot(owner)) {
        return "boot_times";
    }
    if (!is_supported_by(quorum, quorum->electorate, now)) {
        return cw_time_diff_ms(quorum->begun_at, now) >= FIRST_ANSWERS_MS
                   ? "unsupported"
                   : NULL;
    }
    if (cw_time_diff_ms(quorum->changed_at, now) < CHANGE_INTERVAL_MS) {
        return NULL;
    }
    if (other->len > quorum->electorate->len) {
        return "larger";
    }
    return other->len == quorum->electorate->len &&
                   contains_unresponsive(quorum, quorum->electorate, now)
               ? "replaced"
               : NULL;
}

/* Decides whether another electorate is needed. */
static void
review_electorate(struct cw_owner *owner, struct timespec now)
{
    struct owner_quorum *quorum = owner->quorum;
    GPtrArray *other;
    const char *reason;

    drop_list(&quorum->wanted);
    if (owner->state != OWNER_ACTIVE || quorum->unstored != NULL) {
        return;
    }
    other = choose_electorate(owner, true, now);
    reason = reason_to_change(owner, other, now);
    if (reason != NULL) {
        quorum->wanted = other;
        quorum->reason = reason;
    }
    else {
        g_ptr_array_unref(other);
    }
}

bool
owner_quorum_change_wanted(const struct cw_owner *owner)
{
    return owner->quorum->wanted != NULL;
}

static void
log_unstored(const struct cw_owner *owner)
{
    const struct owner_quorum *quorum = owner->quorum;
    const GPtrArray *electorate = quorum->unstored;
    GString *addresses = g_string_new(NULL);

    for (guint i = 0; i < electorate->len; i++) {
        g_string_append_printf(addresses, "%s%s", i > 0 ? "," : "",
                               (const char *)electorate->pdata[i]);
    }
    cw_log_info("electorate",
                "shard=%u epoch=%" PRIu64
                " reason=%s voters=%u before=%u addresses=%s",
                owner->options.partition, owner->epoch, quorum->reason,
                electorate->len, quorum->electorate->len, addresses->str);
    g_string_free(addresses, TRUE);
}

const GPtrArray *
owner_quorum_recorded(struct cw_owner *owner)
{
    struct owner_quorum *quorum = owner->quorum;

    if (quorum->wanted != NULL) {
        quorum->unstored = quorum->wanted;
        quorum->wanted = NULL;
        quorum->changed_at = owner_now(owner);
        log_unstored(owner);
        return quorum->unstored;
    }
    return quorum->electorate;
}

void
owner_quorum_stored(struct cw_owner *owner)
{
    struct owner_quorum *quorum = owner->quorum;

    if (quorum->unstored != NULL) {
        g_ptr_array_unref(quorum->electorate);
        quorum->electorate = quorum->unstored;
        quorum->unstored = NULL;
    }
}

/* ---- ticking ---- */

/* Adds an address that is not in the list yet. */
static void
add_address(GPtrArray *list, const char *address)
{
    if (!g_ptr_array_find_with_equal_func(list, address, g_str_equal, NULL)) {
        g_ptr_array_add(list, g_strdup(address));
    }
}

static void
add_addresses(GPtrArray *list, const GPtrArray *more)
{
    for (guint i = 0; more != NULL && i < more->len; i++) {
        add_address(list, more->pdata[i]);
    }
}

/* Adds VMs that were not chosen, until there are enough to choose from: those
 * that were unresponsive may answer again. */
static void
add_others(struct cw_owner *owner, GPtrArray *list)
{
    struct owner_quorum *quorum = owner->quorum;
    GPtrArray *all = list_candidates(owner);

    for (guint i = 0; i < all->len && list->len < VOTERS_MAX; i++) {
        add_address(list, all->pdata[(quorum->next_other + i) % all->len]);
    }
    quorum->next_other++;
    g_ptr_array_unref(all);
}

/* Adds the electorates of earlier owners that have not answered yet. */
static void
add_earlier_electorates(const struct cw_owner *owner, GPtrArray *list)
{
    GHashTableIter iterator;
    gpointer value;
    struct timespec start;

    g_hash_table_iter_init(&iterator,
                           cw_replica_epochs(owner->options.replica));
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct cw_replica_epoch *epoch = value;

        if (epoch->epoch < owner->epoch &&
            !owner_quorum_earlier_start(owner, epoch, &start))
        {
            add_addresses(list, electorate_of(epoch));
        }
    }
}

struct timespec
owner_quorum_tick(struct cw_owner *owner, struct timespec now)
{
    struct owner_quorum *quorum = owner->quorum;
    GPtrArray *asked;
    GPtrArray *candidates;

    if (owner->options.peers == NULL ||
        (owner->state != OWNER_CATCHING_UP && owner->state != OWNER_ACTIVE))
    {
        return cw_time_from_ms(INT32_MAX);
    }
    if (cw_time_before(now, quorum->request_due)) {
        return quorum->request_due;
    }
    quorum->request_due = cw_time_add_ms(now, REQUEST_INTERVAL_MS);
    update_support(owner, now);
    review_electorate(owner, now);
    asked = address_list_new();
    candidates = choose_electorate(owner, false, now);
    add_addresses(asked, quorum->electorate);
    add_addresses(asked, quorum->unstored);
    add_addresses(asked, candidates);
    add_others(owner, asked);
    add_earlier_electorates(owner, asked);
    for (guint i = 0; i < asked->len; i++) {
        request_support(owner, asked->pdata[i], now);
    }
    g_ptr_array_unref(candidates);
    g_ptr_array_unref(asked);
    return quorum->request_due;
}
