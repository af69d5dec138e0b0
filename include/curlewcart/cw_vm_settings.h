/* Settings of a VM that runs on a platform with a store (see cw_vm.h). */
#ifndef CURLEWCART_CW_VM_SETTINGS_H
#define CURLEWCART_CW_VM_SETTINGS_H

#include <glib.h>

struct cw_vm_settings_listen {
    char *callers; /* HOST:PORT */
    char *ready;   /* HOST:PORT; answers whether callers are wanted */
    char *inner;   /* HOST:PORT, UDP; for the other VMs */
    char *metrics; /* HOST:PORT, or NULL */
};

/* Bounds that the platform states; all in the unit of their name. */
struct cw_vm_settings_bounds {
    unsigned lease_ms;      /* longest lease that workers grant */
    unsigned grace_s;       /* from SIGTERM to SIGKILL */
    unsigned retain_s;      /* ended jobs can be asked for so long */
    unsigned member_ttl_ms; /* least time to live of a group's member */
};

struct cw_vm_settings {
    char *vm;
    char *dc;
    struct cw_vm_settings_listen listen;
    char *store; /* HOST:PORT */
    struct cw_vm_settings_bounds bounds;
    char *log_level; /* error, warning, info or debug */
};

/* Loads and checks a file.  Every problem found becomes a line of
 * `problems`; NULL if there is any. */
struct cw_vm_settings *
cw_vm_settings_load(const char *path, GString *problems);
void cw_vm_settings_free(struct cw_vm_settings *settings);

#endif
