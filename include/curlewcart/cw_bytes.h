/* Numbers in byte strings, most significant byte first. */
#ifndef CURLEWCART_CW_BYTES_H
#define CURLEWCART_CW_BYTES_H

#include <stdint.h>

/* The number that `count` bytes hold, 8 at the most. */
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
