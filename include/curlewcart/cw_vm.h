/* The daemon of a VM on a platform with a store.
 *
 * Everything that decides runs under one lock, the engine's: the HTTP
 * client's thread takes it for answers and ticks, the listeners' threads for
 * calls.  Nothing blocks while it is held.
 */
#ifndef CURLEWCART_CW_VM_H
#define CURLEWCART_CW_VM_H

#include "curlewcart/cw_vm_settings.h"

/* Runs until SIGTERM or SIGINT; SIGHUP reads the settings at `path` again.
 * Takes `settings` over.  Returns the program's exit status. */
int cw_vm_run(struct cw_vm_settings *settings, const char *path);

#endif
