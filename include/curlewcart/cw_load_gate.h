/* Delays the first read of the log of jobs on a VM that starts.
 *
 * VMs that start together all read the configuration and the log at once (a
 * thundering herd) and share the store's bandwidth for reads.  With hundreds
 * of VMs the reads take seconds, and the few VMs that are strong enough to
 * own the shard wait in the same queue.  The time in which the configuration
 * arrived is an estimate of the queue's length.  A VM with less than a full
 * core delays its reads by up to twice that time, which is milliseconds if
 * few VMs start.  If many start, a VM that is too weak to own the shard
 * delays its reads by about the duration of a takeover.
 *
 * Pure: no I/O and no clock of its own.
 */
#ifndef CURLEWCART_CW_LOAD_GATE_H
#define CURLEWCART_CW_LOAD_GATE_H

#include <stdbool.h>
#include <time.h>

/* State of one VM; initialise with cw_load_gate_init. */
struct cw_load_gate {
    struct timespec started_at;
    struct timespec due; /* when the first read is allowed; an arriving
                            configuration may change it */
    unsigned capacity_milli;
    bool config_arrived;
    bool open;
};

/* `capacity_milli` is the VM's processor in thousandths of a core; 0 means
 * unknown and counts as a full core. */
void cw_load_gate_init(struct cw_load_gate *gate, unsigned capacity_milli,
                       struct timespec now);

/* True if the log may be read; stays true.  `configured` is true once a
 * configuration has arrived. */
bool cw_load_gate_is_open(struct cw_load_gate *gate, bool configured,
                          struct timespec now);

/* When to call cw_load_gate_is_open again; earlier if a configuration
 * arrives. */
struct timespec cw_load_gate_due(const struct cw_load_gate *gate);

#endif
