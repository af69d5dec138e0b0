/* Encodes the state of a job: an uncompressed head, then XDR, which is
 * deflated if that is shorter.
 *
 * The head is the beginning of the XDR form: phase, started and time of the
 * end.  The first byte of the phase, always zero in XDR, holds the encoding of
 * the rest. */
#include "curlewcart/cw_record.h"

#include <string.h>
#include <zlib.h>

#include "curlewcart/cw_bytes.h"
#include "curlewcart/cw_work.h"
#include "curlewcart/cw_xdr.h"

enum {
    HEAD_BYTES = 16,
    SIZE_BYTES = 4, /* size of the rest before it was deflated */
    /* For shorter records, deflating costs more than it saves. */
    DEFLATE_MIN_BYTES = 160,
    /* Limit of the inflated size. */
    INFLATED_BYTES_MAX = 16 * 1024 * 1024,
    /* Size of an empty list in XDR, and the number of lists at the end of a
     * record that are left out if they are empty. */
    EMPTY_LIST_BYTES = 4,
    OPTIONAL_LISTS = 2,
    PLAIN = 0,
    DEFLATED = 1
};

static void
put_size(guint8 *out, size_t size)
{
    for (unsigned i = SIZE_BYTES; i > 0; i--) {
        out[i - 1] = (guint8)size;
        size >>= 8;
    }
}

/* Returns the record with its rest deflated, or NULL if that is not shorter.
 */
static GByteArray *
deflate_rest(const GByteArray *plain)
{
    uLong rest = plain->len - HEAD_BYTES;
    uLongf size = compressBound(rest);
    GByteArray *out = g_byte_array_new();

    g_byte_array_set_size(out, (guint)(HEAD_BYTES + SIZE_BYTES + size));
    memcpy(out->data, plain->data, HEAD_BYTES);
    out->data[0] = DEFLATED;
    put_size(out->data + HEAD_BYTES, rest);
    if (compress2(out->data + HEAD_BYTES + SIZE_BYTES, &size,
                  plain->data + HEAD_BYTES, rest, Z_BEST_SPEED) != Z_OK ||
        HEAD_BYTES + SIZE_BYTES + size >= plain->len)
    {
        g_byte_array_unref(out);
        return NULL;
    }
    g_byte_array_set_size(out, (guint)(HEAD_BYTES + SIZE_BYTES + size));
    return out;
}

/* Number of empty lists at the record's end.  They are left out, so that a
 * record without them has the format and size of earlier versions. */
static unsigned
count_empty_at_end(const struct cw_work_record *record)
{
    if (record->lives.lives_len > 0) {
        return 0;
    }
    return record->crashes.crashes_len > 0 ? 1 : OPTIONAL_LISTS;
}

GByteArray *
cw_record_encode(const struct cw_work_record *record)
{
    GByteArray *plain = cw_xdr_encode((xdrproc_t)xdr_cw_work_record, record);
    GByteArray *packed;

    if (plain == NULL) {
        return NULL;
    }
    if (plain->len > INFLATED_BYTES_MAX) {
        g_byte_array_unref(plain);
        return NULL;
    }
    g_byte_array_set_size(plain, plain->len - count_empty_at_end(record) *
                                                  EMPTY_LIST_BYTES);
    if (plain->len < DEFLATE_MIN_BYTES) {
        return plain;
    }
    packed = deflate_rest(plain);
    if (packed == NULL) {
        return plain;
    }
    g_byte_array_unref(plain);
    return packed;
}

bool
cw_record_read_head(const void *bytes, size_t length,
                    struct cw_record_head *head)
{
    const guint8 *at = bytes;

    if (length < HEAD_BYTES) {
        return false;
    }
    head->phase = at[3];
    if (head->phase > CW_WORK_REFUSED) {
        return false;
    }
    head->started = at[7] != 0;
    head->ended_ms = (int64_t)cw_bytes_read_be(at + 8, 8);
    return true;
}

/* Returns the XDR form of a deflated record, owned by the caller, or NULL if
 * the record is not valid. */
static GByteArray *
inflate_rest(const guint8 *bytes, size_t length)
{
    GByteArray *plain;
    uLongf rest;

    if (length < HEAD_BYTES + SIZE_BYTES) {
        return NULL;
    }
    rest = cw_bytes_read_be(bytes + HEAD_BYTES, SIZE_BYTES);
    if (rest > INFLATED_BYTES_MAX) {
        return NULL;
    }
    plain = g_byte_array_new();
    g_byte_array_set_size(plain, (guint)(HEAD_BYTES + rest));
    memcpy(plain->data, bytes, HEAD_BYTES);
    plain->data[0] = PLAIN;
    if (uncompress(plain->data + HEAD_BYTES, &rest,
                   bytes + HEAD_BYTES + SIZE_BYTES,
                   length - HEAD_BYTES - SIZE_BYTES) != Z_OK ||
        HEAD_BYTES + rest != plain->len)
    {
        g_byte_array_unref(plain);
        return NULL;
    }
    return plain;
}

/* Decodes the XDR form with or without the optional lists at its end. */
static bool
decode_xdr(GByteArray *plain, struct cw_work_record *record)
{
    static const guint8 empty_list[EMPTY_LIST_BYTES];

    for (unsigned added = 0; added <= OPTIONAL_LISTS; added++) {
        memset(record, 0, sizeof(*record));
        if (cw_xdr_decode((xdrproc_t)xdr_cw_work_record, record, plain->data,
                          plain->len))
        {
            return true;
        }
        g_byte_array_append(plain, empty_list, EMPTY_LIST_BYTES);
    }
    return false;
}

bool
cw_record_decode(const void *bytes, size_t length,
                 struct cw_work_record *record)
{
    const guint8 *at = bytes;
    GByteArray *plain;
    bool ok;

    if (length >= HEAD_BYTES && at[0] == DEFLATED) {
        plain = inflate_rest(at, length);
    }
    else {
        plain = g_byte_array_new();
        g_byte_array_append(plain, at, (guint)length);
    }
    if (plain == NULL) {
        return false;
    }
    ok = decode_xdr(plain, record);
    g_byte_array_unref(plain);
    return ok;
}
