/* Annotations that tell ThreadSanitizer about memory ordering.
 *
 * Concurrency Kit's operations are inline assembly, so the sanitizer cannot
 * detect that a write before a push happens before the read after the pop. */
#ifndef CURLEWCART_CW_SANITIZE_H
#define CURLEWCART_CW_SANITIZE_H

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define CW_TSAN_RELEASE(address) __tsan_release(address)
#define CW_TSAN_ACQUIRE(address) __tsan_acquire(address)
#else
#define CW_TSAN_RELEASE(address) ((void)(address))
#define CW_TSAN_ACQUIRE(address) ((void)(address))
#endif

#endif
