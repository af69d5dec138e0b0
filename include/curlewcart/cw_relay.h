/* A store that goes through other VMs when this one is turned away.
 *
 * The platform's store may serve some VMs and not others.  A relay is a
 * store itself: calls go straight to the platform's while that works, and
 * otherwise through a VM that still reaches it, by ONC RPC over UDP (program
 * CW_RELAY_PROGRAM of cw_proto.x).  A call keeps its meaning: what may have
 * been done anywhere along the way is reported as such.
 *
 * Messages are sealed with a key that the VMs keep in the store: whoever can
 * reach a VM's inner port but not the store can neither read nor write.
 *
 * All functions are called with the engine's lock held, but for
 * cw_relay_receive, which takes it.
 */
#ifndef CURLEWCART_CW_RELAY_H
#define CURLEWCART_CW_RELAY_H

#include <pthread.h>
#include <stdbool.h>
#include <time.h>

#include "curlewcart/cw_count.h"
#include "curlewcart/cw_store.h"
#include "curlewcart/cw_time.h"

struct cw_relay_options {
    struct cw_store *direct; /* the platform's; borrowed */
    struct cw_clock *clock;
    struct cw_counters *counters;
    pthread_mutex_t *engine_lock;
    const char *address; /* HOST:PORT to listen on */
    const char *group;   /* whose members are the VMs */
};

struct cw_relay;

/* NULL if the address cannot be listened on. */
struct cw_relay *cw_relay_create(const struct cw_relay_options *options);
void cw_relay_free(struct cw_relay *relay);

/* The store to use. */
struct cw_store *cw_relay_store(struct cw_relay *relay);

/* HOST:PORT that it listens on; a port given as 0 was chosen by the kernel.
 * Borrowed. */
const char *cw_relay_address(const struct cw_relay *relay);

/* Descriptor that becomes readable when messages have come. */
int cw_relay_descriptor(const struct cw_relay *relay);

/* Takes what has come. */
void cw_relay_receive(struct cw_relay *relay);

/* Does what is due; returns when it wants to be called next. */
struct timespec cw_relay_tick(struct cw_relay *relay, struct timespec now);

/* Name of a member of the group that tells where its VM listens.  Owned by
 * the caller. */
char *cw_relay_member_name(const char *vm, const char *address, uint64_t life);

/* True if neither the store nor another VM has answered lately. */
bool cw_relay_is_isolated(const struct cw_relay *relay);

#endif
