/* Encoding and decoding through XDR memory streams. */
#include "curlewcart/cw_xdr.h"

GByteArray *
cw_xdr_encode(xdrproc_t codec, const void *value)
{
    GByteArray *out;
    XDR stream;
    unsigned long size = xdr_sizeof(codec, (void *)value);

    if (size == 0 || size > G_MAXUINT) {
        return NULL;
    }
    out = g_byte_array_sized_new((guint)size);
    g_byte_array_set_size(out, (guint)size);
    xdrmem_create(&stream, (char *)out->data, (u_int)size, XDR_ENCODE);
    if (!codec(&stream, (void *)value)) {
        g_byte_array_unref(out);
        out = NULL;
    }
    xdr_destroy(&stream);
    return out;
}

bool
cw_xdr_decode(xdrproc_t codec, void *value, const void *bytes, size_t length)
{
    XDR stream;
    bool ok;

    if (length > G_MAXUINT) {
        return false;
    }
    xdrmem_create(&stream, (char *)bytes, (u_int)length, XDR_DECODE);
    ok = codec(&stream, value) && xdr_getpos(&stream) == length;
    xdr_destroy(&stream);
    if (!ok) {
        xdr_free(codec, value);
    }
    return ok;
}
