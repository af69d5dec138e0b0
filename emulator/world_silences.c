/* Workers that nobody hears for seconds, also after the end of submissions:
 * they are cut off and their runs go on, or they have crashed.  The VM that
 * owns the jobs may freeze beside them. */
#include "emulator/internal/world_private.h"

enum {
    SILENCE_MS = 9000,
    FREEZE_DELAY_MAX_MS = 500,
    /* A silence affects one of this many workers. */
    SILENT_ONE_IN = 10,
    /* Attempts to find a worker that still answers. */
    ATTEMPTS_MAX = 20
};

/* A random worker that is up and not cut off; NULL if none was found. */
static struct worker_model *
random_answering_worker(struct world *world)
{
    for (unsigned i = 0; i < ATTEMPTS_MAX; i++) {
        struct worker_model *worker = world_random_worker(world);

        if (!worker_model_is_down(worker) &&
            !world_worker_is_cut(world, worker_model_id(worker)))
        {
            return worker;
        }
    }
    return NULL;
}

static void
silence(struct world *world, struct worker_model *worker)
{
    const char *id = worker_model_id(worker);

    world_record_fault(world, "silent %s", id);
    g_hash_table_insert(world->cut_workers, (gpointer)id,
                        GINT_TO_POINTER((gint)(world->now_ms + SILENCE_MS)));
}

static void
take_down(struct world *world, struct worker_model *worker)
{
    world_record_fault(world, "down %s", worker_model_id(worker));
    worker_model_crash(worker);
    world_schedule(world, SILENCE_MS,
                   world->options.restarts > 0 ? world_restart_worker
                                               : world_restart_with_new_id,
                   worker);
}

/* Applies the fault to a share of the workers. */
static void
apply_to_some(struct world *world,
              void (*fault)(struct world *, struct worker_model *))
{
    world_disturb(world, SILENCE_MS, 0);
    for (unsigned i = MAX(1, world->options.workers / SILENT_ONE_IN); i > 0;
         i--) {
        struct worker_model *worker = random_answering_worker(world);

        if (worker != NULL) {
            fault(world, worker);
        }
    }
}

void
world_silence_workers(struct world *world, void *unused)
{
    (void)unused;
    apply_to_some(world, silence);
}

static void
freeze_owner(struct world *world, void *unused)
{
    struct vm *vm = world_owner_vm(world);

    (void)unused;
    if (vm != NULL) {
        world_record_fault(world, "freeze owner vm-%u", vm->index);
        world_disturb(world, SILENCE_MS, 0);
        vm->frozen_until_ms = world->now_ms + SILENCE_MS;
    }
}

void
world_silence_workers_and_owner(struct world *world, void *unused)
{
    world_silence_workers(world, unused);
    world_schedule(world, world_random_below(world, FREEZE_DELAY_MAX_MS),
                   freeze_owner, NULL);
}

void
world_take_workers_down(struct world *world, void *unused)
{
    (void)unused;
    apply_to_some(world, take_down);
}
