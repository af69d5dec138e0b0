/* A store in the same process that answers at once, counts, and refuses when
 * told to. */
#ifndef TEST_STORE_PORT_H
#define TEST_STORE_PORT_H

#include "emulator/store_model.h"

struct fake_store {
    struct cw_store base;
    struct store_model *model;
    enum cw_store_status answer_status; /* CW_STORE_OK: it serves */
    const char *member;                 /* of another VM */
    unsigned appends;
    unsigned loads;
    unsigned reads;
    unsigned last_wait_ms;         /* asked for by the last read */
    unsigned most_kb;              /* the same */
    unsigned last_load_timeout_ms; /* of the last load */
    unsigned page_records_max;     /* records that an answer holds; 0: all */
    bool withhold_answers;         /* reads and joins stay without an answer */
    struct cw_store_read pending_read; /* the last that did; by its `done` */
    struct cw_store_join pending_join;
};

static void
fake_store_append(struct cw_store *store, const struct cw_store_append *call)
{
    struct fake_store *port = (struct fake_store *)store;
    struct cw_store_append_result result = {.status = port->answer_status};

    port->appends++;
    if (port->answer_status == CW_STORE_OK) {
        result = store_model_append(port->model, call);
    }
    call->done(call->context, &result);
}

/* An answer may hold less than there is. */
static void
fake_store_truncate_page(const struct fake_store *port,
                         struct cw_store_page *page)
{
    if (port->page_records_max > 0 && page->count > port->page_records_max) {
        page->count = port->page_records_max;
        page->more = true;
    }
}

static void
fake_store_newest(struct cw_store *store,
                  const struct cw_store_read_newest *call)
{
    struct fake_store *port = (struct fake_store *)store;
    struct cw_store_page refused = {.status = port->answer_status};
    struct store_model_page page;

    port->loads++;
    port->last_load_timeout_ms = call->timeout_ms;
    if (port->answer_status != CW_STORE_OK) {
        call->done(call->context, &refused);
        return;
    }
    store_model_newest(port->model, call->topic, call->after, &page);
    fake_store_truncate_page(port, &page.page);
    call->done(call->context, &page.page);
    store_model_page_clear(&page);
}

static void
fake_store_read(struct cw_store *store, const struct cw_store_read *call)
{
    struct fake_store *port = (struct fake_store *)store;
    struct cw_store_page refused = {.status = port->answer_status};
    struct store_model_page page;

    port->reads++;
    port->last_wait_ms = call->wait_ms;
    port->most_kb = call->most_kb;
    if (port->withhold_answers) {
        port->pending_read = *call;
        return;
    }
    if (port->answer_status != CW_STORE_OK) {
        call->done(call->context, &refused);
        return;
    }
    store_model_read(port->model, call->topic, call->from, &page);
    fake_store_truncate_page(port, &page.page);
    call->done(call->context, &page.page);
    store_model_page_clear(&page);
}

static void
fake_store_join(struct cw_store *store, const struct cw_store_join *call)
{
    struct fake_store *port = (struct fake_store *)store;
    struct cw_store_join_result result = {.status = port->answer_status};

    if (port->withhold_answers) {
        port->pending_join = *call;
        return;
    }
    call->done(call->context, &result);
}

/* Calls that have stayed without an answer end so. */
static inline void
fake_store_time_out(struct fake_store *port)
{
    const struct cw_store_page page = {.status = CW_STORE_UNKNOWN};
    const struct cw_store_join_result joined = {.status = CW_STORE_UNKNOWN};

    if (port->pending_read.done != NULL) {
        port->pending_read.done(port->pending_read.context, &page);
    }
    if (port->pending_join.done != NULL) {
        port->pending_join.done(port->pending_join.context, &joined);
    }
    memset(&port->pending_read, 0, sizeof(port->pending_read));
    memset(&port->pending_join, 0, sizeof(port->pending_join));
}

static void
fake_store_members(struct cw_store *store,
                   const struct cw_store_list_members *call)
{
    struct fake_store *port = (struct fake_store *)store;
    struct cw_store_member_list result = {
        .status = port->answer_status, .members = &port->member, .count = 1};

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
