/* Calls of VMs in flight: a copy of the request, a reference count, and
 * exactly one answer. */
#include "emulator/internal/world_private.h"

void
world_call_unref(struct call *call)
{
    if (--call->refs > 0) {
        return;
    }
    if (call->has_page) {
        store_model_page_clear(&call->page);
    }
    g_array_unref(call->records);
    g_array_unref(call->running);
    g_array_unref(call->ended_rows);
    g_ptr_array_unref(call->bytes);
    g_free(call->topic);
    g_free(call->writer);
    g_free(call->text);
    g_free(call->address);
    g_free(call->job);
    g_free(call->payload);
    g_free(call->saved);
    g_free(call);
}

struct call *
world_call_new(struct vm *vm, enum call_kind kind, unsigned timeout_ms)
{
    struct call *call = g_new0(struct call, 1);

    call->vm = vm;
    call->kind = kind;
    call->refs = 1;
    call->timeout_at_ms = vm->world->now_ms + timeout_ms;
    call->records = g_array_new(FALSE, TRUE, sizeof(struct cw_store_record));
    call->running = g_array_new(FALSE, TRUE, sizeof(struct cw_running));
    call->ended_rows = g_array_new(FALSE, TRUE, sizeof(struct cw_ended));
    call->bytes = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(vm->calls, call);
    return call;
}

void
world_call_answer(struct call *call, enum cw_store_status status)
{
    struct cw_store_append_result appended = {.status = status};
    struct cw_store_page page = {.status = status};
    struct cw_store_join_result joined = {.status = status};
    struct cw_target_answer answer = {.status = CW_TARGET_UNKNOWN};
    struct cw_peers_answer unsupported = {0};
    bool ok = status == CW_STORE_OK;
    double started_s;

    if (call->ended) {
        return;
    }
    started_s = world_processor_s();
    call->ended = true;
    g_ptr_array_remove_fast(call->vm->calls, call);
    switch (call->kind) {
    case CALL_APPEND:
        call->append.done(call->append.context,
                          ok ? &call->appended : &appended);
        break;
    case CALL_READ:
        call->read.done(call->read.context, ok ? &call->page.page : &page);
        break;
    case CALL_NEWEST:
        call->newest.done(call->newest.context, ok ? &call->page.page : &page);
        break;
    case CALL_JOIN:
        call->join.done(call->join.context, ok ? &call->joined : &joined);
        break;
    case CALL_LEAVE:
        call->leave.done(call->leave.context, status);
        break;
    case CALL_SUPPORT:
        call->support.done(call->support.context,
                           ok ? &call->supported : &unsupported);
        break;
    case CALL_ORDER:
        call->order.done(call->order.context, ok ? &call->answer : &answer);
        break;
    }
    call->vm->cpu_s += world_processor_s() - started_s;
    world_vm_compute_answer(call->vm);
    call->vm->due_ms = call->vm->world->now_ms;
    world_call_unref(call);
}

void
world_call_ref(struct call *call)
{
    call->refs++;
}
