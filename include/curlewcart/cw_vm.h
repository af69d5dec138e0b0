/* The daemon of a VM.
 *
 * Everything that decides runs under one lock, the engine's: the HTTP
 * client's thread takes it for answers and ticks, the listeners' threads for
 * calls.  Nothing blocks while it is held.
 */
#ifndef CURLEWCART_CW_VM_H
#define CURLEWCART_CW_VM_H

#include "curlewcart/cw_settings.h"

/* Runs until SIGTERM or SIGINT; SIGHUP reads the settings at `path` again.
 * Takes `settings` and `secrets` (NULL without our own interface) over.
 * Returns the program's exit status. */
int cw_vm_run(struct cw_settings *settings,
              struct cw_settings_secrets *secrets, const char *path);

#endif
