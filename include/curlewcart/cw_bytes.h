/* Big-endian integers in byte strings. */
#ifndef CURLEWCART_CW_BYTES_H
#define CURLEWCART_CW_BYTES_H

#include <stdint.h>

/* Reads a big-endian integer of `count` bytes, at most 8. */
static inline uint64_t
cw_bytes_read_be(const uint8_t *bytes, unsigned count)
{
    uint64_t value = 0;

    for (unsigned i = 0; i < count; i++) {
        value = value << 8 | bytes[i];
    }
    return value;
}

#endif
