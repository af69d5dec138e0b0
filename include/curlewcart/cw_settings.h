/* Settings of a VM, from a YAML file (see cw_vm.h). */
#ifndef CURLEWCART_CW_SETTINGS_H
#define CURLEWCART_CW_SETTINGS_H

#include <glib.h>

#include "curlewcart/cw_chain.h"

struct cw_settings_listen {
    char *callers; /* HOST:PORT for the platform's callers, or NULL */
    char *api;     /* HOST:PORT for our own interface, or NULL; one of both */
    char *ready;   /* HOST:PORT; answers whether callers are wanted; or NULL */
    char *inner;   /* HOST:PORT, UDP; for the other VMs */
    char *metrics; /* HOST:PORT, or NULL */
};

/* Our own interface; only with listen.api. */
struct cw_settings_api {
    char *service;             /* pool of workers that runs its jobs */
    char *operator_token_hash; /* hex BLAKE2b-256 */
    char *seal_key_file;       /* 64 hex digits, mode 0600 */
    struct cw_trusted_key *trusted_operators;
    unsigned trusted_operators_count;
    char *certificate_file; /* PEM, or NULL: plain HTTP */
    char *key_file;         /* PEM, or NULL */
    unsigned threads;       /* 0: the default */
    unsigned connections;   /* 0: the default */
};

/* Bounds that the platform states; all in the unit of their name. */
struct cw_settings_bounds {
    unsigned lease_ms;      /* longest lease that workers grant */
    unsigned grace_s;       /* from SIGTERM to SIGKILL */
    unsigned retain_s;      /* ended jobs can be asked for so long */
    unsigned member_ttl_ms; /* least time to live of a group's member */
    unsigned report_ms;     /* workers report so often; 0: the default */
    unsigned cordon_ms;     /* nothing is started in a data centre later than
                               so long after its cordon; 0: no bound */
};

/* How much of a processor the VM has. */
struct cw_settings_processor {
    double share; /* of a core; 0 unknown */
    double cores; /* speed of one, against the usual; 0 as the usual */
};

struct cw_settings {
    char *vm;
    char *dc;
    struct cw_settings_listen listen;
    char *store; /* HOST:PORT */
    struct cw_settings_bounds bounds;
    struct cw_settings_processor processor;
    unsigned descriptors;        /* that the VM may open; 0 unknown */
    struct cw_settings_api *api; /* or NULL */
    char **contracts;            /* of the platform, in force; or NULL */
    unsigned contracts_count;
    char *log_level;  /* error, warning, info or debug */
    char *ports_file; /* where to write the ports listened on */
};

/* What the files named in the settings hold. */
struct cw_settings_secrets {
    unsigned char seal_key[CW_MAC_BYTES];
    unsigned char operator_token_hash[CW_HASH_BYTES];
    char *certificate; /* PEM, or NULL */
    char *private_key;
};

/* Loads and checks a file.  Every problem found becomes a line of
 * `problems`; NULL if there is any. */
struct cw_settings *cw_settings_load(const char *path, GString *problems);

/* Reads the files of the `api` section; problems as above.  NULL if there is
 * any, or no such section.  Lives as long as the process. */
struct cw_settings_secrets *
cw_settings_secrets(const struct cw_settings *settings, GString *problems);

void cw_settings_free(struct cw_settings *settings);

#endif
