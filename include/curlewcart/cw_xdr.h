/* Encoding and decoding of the types of cw_proto.x. */
#ifndef CURLEWCART_CW_XDR_H
#define CURLEWCART_CW_XDR_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "proto/cw_proto.h"

/* Encodes `value` with `codec` (an xdr_cw_* function).  Returns a new
 * array owned by the caller, or NULL if the value exceeds a bound. */
GByteArray *cw_xdr_encode(xdrproc_t codec, const void *value);

/* Decodes `length` bytes into `value`, which must be zeroed.  False if the
 * bytes are not exactly one value.  On failure `value` is released and its
 * contents are undefined; on success release it with xdr_free(codec, value).
 */
bool
cw_xdr_decode(xdrproc_t codec, void *value, const void *bytes, size_t length);

#endif
