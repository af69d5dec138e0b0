/* Settings of a VM, loaded from a YAML file (see cw_vm.h). */
#ifndef CURLEWCART_CW_SETTINGS_H
#define CURLEWCART_CW_SETTINGS_H

#include <glib.h>

#include "curlewcart/cw_chain.h"

/* Addresses to listen on.  Exactly one of `callers` and `api` is set. */
struct cw_settings_listen {
    char *callers; /* HOST:PORT for the platform's callers, or NULL */
    char *api;     /* HOST:PORT for the project's own interface, or NULL */
    char *ready;   /* HOST:PORT for readiness checks, or NULL */
    char *inner;   /* HOST:PORT, UDP, for the other VMs */
    char *metrics; /* HOST:PORT, or NULL */
};

/* The project's own interface; only with listen.api. */
struct cw_settings_api {
    char *service;             /* pool of workers that runs the jobs */
    char *operator_token_hash; /* hex BLAKE2b-256 */
    char *seal_key_file;       /* 64 hex digits, mode 0600 */
    struct cw_trusted_key *trusted_operators;
    unsigned trusted_operators_count;
    char *certificate_file; /* PEM, or NULL: plain HTTP */
    char *key_file;         /* PEM, or NULL */
    unsigned threads;       /* 0: the default */
    unsigned connections;   /* 0: the default */
};

/* Times and sizes that the platform prescribes. */
struct cw_settings_bounds {
    unsigned lease_ms;      /* longest lease that workers grant */
    unsigned grace_s;       /* from SIGTERM to SIGKILL */
    unsigned retain_s;      /* ended jobs can be queried for this long */
    unsigned member_ttl_ms; /* shortest time to live of a group member */
    unsigned report_ms;     /* interval of workers' reports; 0: the default */
    unsigned record_bytes;  /* limit of a record in the store; 0: the default
                             */
    unsigned cordon_ms;     /* longest time from a data centre's cordon to a
                               start there; 0: no limit */
    unsigned cancel_ms;     /* longest time from a cancellation's being stored
                               to a start of its job; 0: no limit */
};

/* The processor capacity of the VM: the product of both members. */
struct cw_settings_processor {
    double share; /* of one core; 0: unknown */
    double cores; /* speed of that core, in usual cores; 0: one */
};

/* All settings.  Members have the names of the file's keys. */
struct cw_settings {
    char *vm; /* at most 128 bytes: the end of a longer one is a hash */
    char *dc;
    struct cw_settings_listen listen;
    char *store; /* HOST:PORT */
    struct cw_settings_bounds bounds;
    struct cw_settings_processor processor;
    unsigned descriptors;        /* limit on open descriptors; 0: unknown */
    struct cw_settings_api *api; /* or NULL */
    char **contracts;            /* in force at the platform; or NULL */
    unsigned contracts_count;
    char *log_level;  /* error, warning, info or debug */
    char *ports_file; /* file to write the listeners' ports to, or NULL */
};

/* Contents of the files that the `api` section names, and its token hash as
 * bytes. */
struct cw_settings_secrets {
    unsigned char seal_key[CW_MAC_BYTES];
    unsigned char operator_token_hash[CW_HASH_BYTES];
    char *certificate; /* PEM, or NULL */
    char *private_key;
};

/* Loads and checks a settings file.  Each problem is appended to `problems` as
 * a line; returns NULL if there is any.  Release with cw_settings_free. */
struct cw_settings *cw_settings_load(const char *path, GString *problems);

/* Reads the files that the `api` section names.  Each problem is appended to
 * `problems` as a line; returns NULL if there is any, or if there is no `api`
 * section.  The result is never freed. */
struct cw_settings_secrets *
cw_settings_secrets(const struct cw_settings *settings, GString *problems);

/* Frees settings; NULL is allowed. */
void cw_settings_free(struct cw_settings *settings);

#endif
