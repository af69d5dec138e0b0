/* The daemon of a VM.
 *
 * The engine (all components that make decisions) is protected by one lock.
 * The HTTP client's thread acquires it for answers and ticks, the listeners'
 * threads for calls.  No thread blocks while it holds the lock.
 */
#ifndef CURLEWCART_CW_VM_H
#define CURLEWCART_CW_VM_H

#include "curlewcart/cw_settings.h"

/* Runs the daemon until SIGTERM or SIGINT; SIGHUP reloads the settings from
 * `path`.  Takes ownership of `settings` and `secrets` (NULL with the
 * platform's interface).  Returns the program's exit status. */
int cw_vm_run(struct cw_settings *settings,
              struct cw_settings_secrets *secrets, const char *path);

#endif
