/* Delays of the links between data centres, besides the usual delays.  The
 * VMs are spread over the data centres; the store is in the first one. */
#include "emulator/internal/world_private.h"

#include <stdlib.h>
#include <string.h>

/* Share of the delay that remains within a data centre. */
enum { LINK_WITHIN_DIVISOR = 4 };

static void
dc_of_vm(const struct vm *vm, char *dc, size_t size)
{
    struct worker_fleet *fleet = vm->world->fleet;
    const struct worker_model *last =
        worker_fleet_at(fleet, vm->world->options.workers - 1);
    unsigned racks =
        1 + (unsigned)strtoul(worker_model_rack(last) + 1, NULL, 10);

    g_snprintf(dc, size, "d%u", vm->index % racks);
}

static unsigned
one_way_ms(const struct vm *vm, const char *other_dc)
{
    char dc[32];

    dc_of_vm(vm, dc, sizeof(dc));
    return strcmp(dc, other_dc) == 0
               ? vm->world->options.link_ms / LINK_WITHIN_DIVISOR
               : vm->world->options.link_ms;
}

unsigned
world_link_to_store_ms(const struct vm *vm)
{
    return one_way_ms(vm, "d0");
}

unsigned
world_link_to_vm_ms(const struct vm *vm, const struct vm *other)
{
    char dc[32];

    dc_of_vm(other, dc, sizeof(dc));
    return one_way_ms(vm, dc);
}

unsigned
world_link_to_worker_ms(const struct vm *vm, const char *worker)
{
    const struct worker_model *model =
        worker_fleet_find(vm->world->fleet, worker);
    char dc[32];

    if (model == NULL) {
        return vm->world->options.link_ms;
    }
    world_dc_of_rack(worker_model_rack(model), dc, sizeof(dc));
    return one_way_ms(vm, dc);
}
