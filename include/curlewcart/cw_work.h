/* A job: its phases, the keys of its records in the store, and the checks of
 * its specification. */
#ifndef CURLEWCART_CW_WORK_H
#define CURLEWCART_CW_WORK_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "proto/cw_proto.h"
#include "curlewcart/cw_result.h"

/* State of a job. */
enum cw_work_phase {
    CW_WORK_WAITING = 0,
    CW_WORK_RUNNING = 1,
    CW_WORK_COMPLETED = 2,
    CW_WORK_FAILED = 3,
    CW_WORK_CANCELLED = 4,
    /* Only jobs of the project's own interface end in the following phases. */
    CW_WORK_LOST = 5,    /* may have run; must not be started again */
    CW_WORK_STOPPED = 6, /* ran in part; the configuration forbids the rest */
    CW_WORK_REFUSED = 7  /* never started, and never will be */
};

/* Whether the tasks of a step belong into one rack. */
enum cw_same_rack {
    CW_SAME_RACK_ANY = 0,
    CW_SAME_RACK_FASTER = 1,  /* they take longer across racks */
    CW_SAME_RACK_REQUIRED = 2 /* they do not run across racks */
};

/* True if the phase is final. */
static inline bool
cw_work_is_over(unsigned phase)
{
    return phase >= CW_WORK_COMPLETED;
}

/* Name of a phase.  Borrowed, static. */
const char *cw_work_phase_name(unsigned phase);

/* Ids of heartbeats: of an owner that goes on, and of one that leaves, so that
 * another VM is to take over at once. */
#define CW_WORK_BEAT_OWNER "owner"
#define CW_WORK_BEAT_LEAVES "leaves"

/* Kind of a record in the store; the first byte of its key.  The rest of the
 * key is the id of the job, or the name of the VM or the worker. */
enum cw_work_key {
    CW_WORK_KEY_SPEC = 's',        /* struct cw_work_spec, by any VM */
    CW_WORK_KEY_CANCEL = 'c',      /* request to cancel, by any VM; the id is
                                      followed by "." and a name of the
                                      attempt */
    CW_WORK_KEY_UNKNOWN = 'x',     /* the same, of a job that the VM has not
                                      found: struct cw_cancel_record */
    CW_WORK_KEY_RECORD = 'r',      /* struct cw_work_record, by the owner */
    CW_WORK_KEY_VM = 'v',          /* struct cw_vm_record, by that VM */
    CW_WORK_KEY_HEARTBEAT = 'b',   /* struct cw_beat_record, by the owner */
    CW_WORK_KEY_LEASE_NOTE = 'n',  /* struct cw_note_record, by the owner */
    CW_WORK_KEY_EPOCH = 'o',       /* struct cw_epoch_record, by that VM while
                                      it is the owner */
    CW_WORK_KEY_EPOCH_END = 'e',   /* struct cw_epoch_end_record, by that VM */
    CW_WORK_KEY_LEASE_TERMS = 't', /* struct cw_lease_terms_record, by that VM
                                      while it is the owner */
    CW_WORK_KEY_LEASE_START = 'l', /* struct cw_lease_start_record, by that VM
                                      while it is the owner */
    CW_WORK_KEY_HINT = 'h'         /* struct cw_hint_record, by a former owner;
                                      the id is followed by "." and a name of
                                      the record */
};

/* Key of a record, by its kind and the rest of the key.  Owned by the caller.
 */
char *cw_work_key(enum cw_work_key kind, const char *id);

/* True if `id` has the form of a job's id: 16 hexadecimal digits. */
bool cw_work_id_valid(const char *id);

/* Checks a submitted specification.  Returns CW_OK, or the reason why the job
 * can never run, with the faulty part named in `detail`. */
enum cw_result
cw_work_check(const struct cw_work_spec *spec, char *detail, size_t size);

/* Length of the critical path through the steps, that is, the largest sum of
 * their declared estimates along a chain of dependencies; INT32_MAX if it is
 * longer.  The specification must have passed cw_work_check. */
unsigned cw_work_critical_path_ms(const struct cw_work_spec *spec);

#endif
