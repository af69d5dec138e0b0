/* Encodes the state of a job: an uncompressed head, then XDR, which is
 * deflated if that is shorter.
 *
 * The head is the beginning of the XDR form: phase, started and time of the
 * end.  The first byte of the phase, always zero in XDR, holds the encoding of
 * the rest.  The XDR form of the extension follows in a deflated part of its
 * own; the rest before it is then always deflated. */
#include "curlewcart/cw_record.h"

#include <string.h>
#include <zlib.h>

#include "curlewcart/cw_bytes.h"
#include "curlewcart/cw_work.h"
#include "curlewcart/cw_xdr.h"

enum {
    HEAD_BYTES = 16,
    SIZE_BYTES = 4, /* size of a part before it was deflated */
    /* For shorter records, deflating costs more than it saves. */
    DEFLATE_MIN_BYTES = 160,
    /* Limit of the inflated size. */
    INFLATED_BYTES_MAX = 16 * 1024 * 1024,
    /* Size of an empty list in XDR, and the number of lists at the end of a
     * record that are left out if they are empty. */
    EMPTY_LIST_BYTES = 4,
    OPTIONAL_LISTS = 2,
    EMPTY_EXTENSION_BYTES = 2 * EMPTY_LIST_BYTES,
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

/* Appends the size of a part and its deflated form. */
static bool
append_deflated(GByteArray *out, const guint8 *part, uLong size)
{
    uLongf deflated = compressBound(size);
    guint at = out->len;

    g_byte_array_set_size(out, (guint)(at + SIZE_BYTES + deflated));
    put_size(out->data + at, size);
    if (compress2(out->data + at + SIZE_BYTES, &deflated, part, size,
                  Z_BEST_SPEED) != Z_OK)
    {
        return false;
    }
    g_byte_array_set_size(out, (guint)(at + SIZE_BYTES + deflated));
    return true;
}

/* Returns the record with its rest deflated, or NULL if that fails. */
static GByteArray *
deflate_rest(const guint8 *plain, size_t length)
{
    GByteArray *out = g_byte_array_new();

    g_byte_array_append(out, plain, HEAD_BYTES);
    out->data[0] = DEFLATED;
    if (!append_deflated(out, plain + HEAD_BYTES, length - HEAD_BYTES)) {
        g_byte_array_unref(out);
        return NULL;
    }
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

/* Encodes the first `length` bytes of the XDR form, and the extension, which
 * is not empty. */
static GByteArray *
encode_extended(const GByteArray *plain, size_t length, size_t extension_bytes)
{
    GByteArray *out = deflate_rest(plain->data, length);

    if (out != NULL &&
        !append_deflated(out, plain->data + plain->len - extension_bytes,
                         extension_bytes))
    {
        g_byte_array_unref(out);
        return NULL;
    }
    return out;
}

GByteArray *
cw_record_encode(const struct cw_work_record *record)
{
    GByteArray *plain = cw_xdr_encode((xdrproc_t)xdr_cw_work_record, record);
    size_t extension_bytes = xdr_sizeof((xdrproc_t)xdr_cw_work_extension,
                                        (void *)&record->extension);
    GByteArray *packed = NULL;
    size_t length;

    if (plain == NULL) {
        return NULL;
    }
    if (plain->len > INFLATED_BYTES_MAX) {
        g_byte_array_unref(plain);
        return NULL;
    }
    length = plain->len - extension_bytes;
    if (extension_bytes > EMPTY_EXTENSION_BYTES) {
        packed = encode_extended(plain, length, extension_bytes);
        g_byte_array_unref(plain);
        return packed;
    }
    length -= count_empty_at_end(record) * EMPTY_LIST_BYTES;
    g_byte_array_set_size(plain, (guint)length);
    if (length >= DEFLATE_MIN_BYTES) {
        packed = deflate_rest(plain->data, length);
    }
    if (packed != NULL && packed->len < plain->len) {
        g_byte_array_unref(plain);
        return packed;
    }
    if (packed != NULL) {
        g_byte_array_unref(packed);
    }
    return plain;
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

/* Appends the inflated form of a part to `out`, and sets `length` to the bytes
 * that the part takes.  Returns false if the part is not valid. */
static bool
append_inflated(GByteArray *out, const guint8 *part, size_t *length)
{
    uLong deflated;
    uLongf size;
    guint at = out->len;

    if (*length < SIZE_BYTES) {
        return false;
    }
    deflated = *length - SIZE_BYTES;
    size = cw_bytes_read_be(part, SIZE_BYTES);
    if (size > INFLATED_BYTES_MAX) {
        return false;
    }
    g_byte_array_set_size(out, (guint)(at + size));
    if (uncompress2(out->data + at, &size, part + SIZE_BYTES, &deflated) !=
            Z_OK ||
        at + size != out->len)
    {
        return false;
    }
    *length = SIZE_BYTES + deflated;
    return true;
}

/* The XDR form of a record, in two parts. */
struct plain_record {
    GByteArray *main;
    GByteArray *extension;
};

/* Inflates a record.  Returns false if it is not valid. */
static bool
inflate_parts(const guint8 *bytes, size_t length, struct plain_record *out)
{
    size_t main_bytes = length - HEAD_BYTES;
    size_t extension_bytes;

    g_byte_array_append(out->main, bytes, HEAD_BYTES);
    out->main->data[0] = PLAIN;
    if (!append_inflated(out->main, bytes + HEAD_BYTES, &main_bytes)) {
        return false;
    }
    extension_bytes = length - HEAD_BYTES - main_bytes;
    return extension_bytes == 0 ||
           (append_inflated(out->extension, bytes + HEAD_BYTES + main_bytes,
                            &extension_bytes) &&
            HEAD_BYTES + main_bytes + extension_bytes == length);
}

static bool
decode_xdr(const GByteArray *xdr, struct cw_work_record *record)
{
    memset(record, 0, sizeof(*record));
    return cw_xdr_decode((xdrproc_t)xdr_cw_work_record, record, xdr->data,
                         xdr->len);
}

/* Decodes a record without an extension, with or without the optional lists at
 * its end. */
static bool
decode_main(GByteArray *xdr, struct cw_work_record *record)
{
    static const guint8 empty[EMPTY_EXTENSION_BYTES];

    g_byte_array_append(xdr, empty, EMPTY_EXTENSION_BYTES);
    for (unsigned added = 0; added <= OPTIONAL_LISTS; added++) {
        if (decode_xdr(xdr, record)) {
            return true;
        }
        g_byte_array_append(xdr, empty, EMPTY_LIST_BYTES);
    }
    return false;
}

bool
cw_record_decode(const void *bytes, size_t length,
                 struct cw_work_record *record)
{
    const guint8 *at = bytes;
    struct plain_record plain = {.main = g_byte_array_new(),
                                 .extension = g_byte_array_new()};
    bool ok = true;

    if (length >= HEAD_BYTES && at[0] == DEFLATED) {
        ok = inflate_parts(at, length, &plain);
    }
    else {
        g_byte_array_append(plain.main, at, (guint)length);
    }
    if (ok && plain.extension->len > 0) {
        g_byte_array_append(plain.main, plain.extension->data,
                            plain.extension->len);
        ok = decode_xdr(plain.main, record);
    }
    else {
        ok = ok && decode_main(plain.main, record);
    }
    g_byte_array_unref(plain.main);
    g_byte_array_unref(plain.extension);
    return ok;
}
