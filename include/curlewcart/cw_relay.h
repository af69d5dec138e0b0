/* A store whose calls go through other VMs while this VM cannot reach the
 * platform's store.
 *
 * The platform's store may serve some VMs and not others.  A relay implements
 * struct cw_store: it sends calls directly to the platform's store while that
 * works, and otherwise through a VM that can reach the store, by ONC RPC over
 * UDP (program CW_RELAY_PROGRAM of cw_proto.x).  CW_STORE_NOT_EXECUTED has the
 * same meaning as from the platform's store: a call that may have been carried
 * out, directly or by any VM that it was sent through, never ends with it.
 *
 * Messages are authenticated with a key that the VMs store in the platform's
 * store.  Anyone who can reach a VM's relay port (the setting listen.inner),
 * but not the store, can neither read from the store nor write to it through
 * that VM.
 *
 * All functions are called with the engine's lock held, except for
 * cw_relay_receive, which takes it.
 */
#ifndef CURLEWCART_CW_RELAY_H
#define CURLEWCART_CW_RELAY_H

#include <pthread.h>
#include <stdbool.h>
#include <time.h>

#include "curlewcart/cw_count.h"
#include "curlewcart/cw_peers.h"
#include "curlewcart/cw_store.h"
#include "curlewcart/cw_time.h"

struct cw_relay_options {
    struct cw_store *direct; /* the platform's; borrowed */
    struct cw_clock *clock;
    struct cw_counters *counters;
    pthread_mutex_t *engine_lock;
    const char *address; /* HOST:PORT to listen on */
    const char *group;   /* the group whose members are the VMs */
};

struct cw_relay;

/* Creates a relay; returns NULL if the address cannot be listened on. */
struct cw_relay *cw_relay_create(const struct cw_relay_options *options);
void cw_relay_free(struct cw_relay *relay);

/* The relay as a store.  Borrowed. */
struct cw_store *cw_relay_store(struct cw_relay *relay);

/* The relay as the other VMs.  Borrowed. */
struct cw_peers *cw_relay_peers(struct cw_relay *relay);

/* HOST:PORT that the relay listens on; if the given port was 0, with the port
 * that the kernel chose.  Borrowed. */
const char *cw_relay_address(const struct cw_relay *relay);

/* Descriptor that is readable when messages have arrived. */
int cw_relay_descriptor(const struct cw_relay *relay);

/* Receives and processes the messages that have arrived. */
void cw_relay_receive(struct cw_relay *relay);

/* Sends and times out requests as they become due; returns the time of the
 * next call. */
struct timespec cw_relay_tick(struct cw_relay *relay, struct timespec now);

/* Name of a VM as a member of the group; the name contains the address that
 * the VM's relay listens on.  Owned by the caller. */
char *cw_relay_member_name(const char *vm, const char *address,
                           uint64_t incarnation);

/* True if the store does not answer and fewer than half of the other VMs that
 * were pinged have answered within the last 500 ms. */
bool cw_relay_is_isolated(const struct cw_relay *relay);

#endif
