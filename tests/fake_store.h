/* A fake store for tests: answers calls at once from a store model, counts
 * them, and on request fails calls or withholds answers. */
#ifndef TEST_FAKE_STORE_H
#define TEST_FAKE_STORE_H

#include "emulator/store_model.h"

struct fake_store {
    struct cw_store base;
    struct store_model *model;
    enum cw_store_status answer_status; /* if not CW_STORE_OK, calls fail */
    const char *member;                 /* the group's only member */
    unsigned appends;
    unsigned loads;
    unsigned reads;
    unsigned last_wait_ms;         /* wait_ms of the last read */
    unsigned most_kb;              /* most_kb of the last read */
    unsigned last_load_timeout_ms; /* timeout of the last load */
    unsigned page_records_max;     /* limit of records in an answer; 0: none */
    bool limit_hides_all;          /* a read with most_kb returns no record */
    bool withhold_answers;         /* reads and joins get no answer */
    struct cw_store_read pending_read; /* the last read without an answer */
    struct cw_store_join pending_join; /* the last join without an answer */
};

static void
fake_store_append(struct cw_store *store, const struct cw_store_append *call)
{
    struct fake_store *fake = (struct fake_store *)store;
    struct cw_store_append_result result = {.status = fake->answer_status};

    fake->appends++;
    if (fake->answer_status == CW_STORE_OK) {
        result = store_model_append(fake->model, call);
    }
    call->done(call->context, &result);
}

/* Limits the number of records in an answer. */
static void
fake_store_truncate_page(const struct fake_store *fake,
                         struct cw_store_page *page)
{
    if (fake->page_records_max > 0 && page->count > fake->page_records_max) {
        page->count = fake->page_records_max;
        page->more = true;
    }
}

static void
fake_store_newest(struct cw_store *store,
                  const struct cw_store_read_newest *call)
{
    struct fake_store *fake = (struct fake_store *)store;
    struct cw_store_page failure = {.status = fake->answer_status};
    struct store_model_page page;

    fake->loads++;
    fake->last_load_timeout_ms = call->timeout_ms;
    if (fake->answer_status != CW_STORE_OK) {
        call->done(call->context, &failure);
        return;
    }
    store_model_newest(fake->model, call->topic, call->after, &page);
    fake_store_truncate_page(fake, &page.page);
    call->done(call->context, &page.page);
    store_model_page_clear(&page);
}

static void
fake_store_read(struct cw_store *store, const struct cw_store_read *call)
{
    struct fake_store *fake = (struct fake_store *)store;
    struct cw_store_page failure = {.status = fake->answer_status};
    struct store_model_page page;

    fake->reads++;
    fake->last_wait_ms = call->wait_ms;
    fake->most_kb = call->most_kb;
    if (fake->withhold_answers) {
        fake->pending_read = *call;
        return;
    }
    if (fake->answer_status != CW_STORE_OK) {
        call->done(call->context, &failure);
        return;
    }
    store_model_read(fake->model, call->topic, call->from, &page);
    fake_store_truncate_page(fake, &page.page);
    if (fake->limit_hides_all && call->most_kb > 0) {
        page.page.count = 0;
    }
    call->done(call->context, &page.page);
    store_model_page_clear(&page);
}

static void
fake_store_join(struct cw_store *store, const struct cw_store_join *call)
{
    struct fake_store *fake = (struct fake_store *)store;
    struct cw_store_join_result result = {.status = fake->answer_status};

    if (fake->withhold_answers) {
        fake->pending_join = *call;
        return;
    }
    call->done(call->context, &result);
}

/* Ends the pending read and the pending join with CW_STORE_UNKNOWN, as after a
 * timeout. */
static inline void
fake_store_time_out(struct fake_store *fake)
{
    const struct cw_store_page page = {.status = CW_STORE_UNKNOWN};
    const struct cw_store_join_result joined = {.status = CW_STORE_UNKNOWN};

    if (fake->pending_read.done != NULL) {
        fake->pending_read.done(fake->pending_read.context, &page);
    }
    if (fake->pending_join.done != NULL) {
        fake->pending_join.done(fake->pending_join.context, &joined);
    }
    memset(&fake->pending_read, 0, sizeof(fake->pending_read));
    memset(&fake->pending_join, 0, sizeof(fake->pending_join));
}

static void
fake_store_members(struct cw_store *store,
                   const struct cw_store_list_members *call)
{
    struct fake_store *fake = (struct fake_store *)store;
    struct cw_store_member_list result = {
        .status = fake->answer_status, .members = &fake->member, .count = 1};

    call->done(call->context, &result);
}

static const struct cw_store_ops fake_store_ops = {
    .append = fake_store_append,
    .newest = fake_store_newest,
    .read = fake_store_read,
    .join = fake_store_join,
    .members = fake_store_members,
};

#endif
