/* Calls to other VMs, by the address at which each serves them. */
#ifndef CURLEWCART_CW_PEERS_H
#define CURLEWCART_CW_PEERS_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

struct cw_peers;

/* Answer to a request for support; see cw_voter.h. */
struct cw_peers_answer {
    bool supported; /* false: refused, or no answer */
    /* Time from the answer until the VM's support for lower epochs ends, by
     * its clock; negative: it has ended. */
    int64_t lower_left_ms;
};

/* Requests a VM's support for the owner of a shard. */
struct cw_peers_support {
    const char *address;
    unsigned partition; /* the shard */
    uint64_t epoch;
    unsigned timeout_ms;
    void (*done)(void *context, const struct cw_peers_answer *answer);
    void *context;
};

struct cw_peers_ops {
    /* `done` is called exactly once, perhaps before this returns. */
    void (*support)(struct cw_peers *peers,
                    const struct cw_peers_support *call);
    /* Adds the addresses of the other VMs that may become owners, as known at
     * present.  Borrowed until the next call to any operation. */
    void (*addresses)(struct cw_peers *peers, GPtrArray *out);
};

/* Embed as the first member of an implementation. */
struct cw_peers {
    const struct cw_peers_ops *ops;
};

#endif
