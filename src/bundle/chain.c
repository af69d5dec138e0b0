/* Accepts bundles in log order: signatures, seals and content of records. */
#include "curlewcart/cw_chain.h"

#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include <zlib.h>

#include "curlewcart/cw_xdr.h"

enum { RECORD_FORMAT = 1, CONTENT_MAX_BYTES = CW_BLOB_MAX };

struct cw_chain {
    struct cw_chain_options options;
    struct cw_bundle *current;
};

/* The bytes that operators sign and daemons seal.  They identify the change:
 * its number, its parent's hash and its content's hash. */
struct signed_fields {
    unsigned char label[16];
    unsigned char number[4];
    unsigned char parent_hash[CW_HASH_BYTES];
    unsigned char content_hash[CW_HASH_BYTES];
};

static struct signed_fields
make_signed_fields(const struct cw_bundle_rec *record, const char *label)
{
    struct signed_fields fields;
    unsigned number = record->number;

    memset(&fields, 0, sizeof(fields));
    g_strlcpy((char *)fields.label, label, sizeof(fields.label));
    for (int i = 0; i < 4; i++) {
        fields.number[i] = (unsigned char)(number >> (8 * i));
    }
    memcpy(fields.parent_hash, record->parent_hash, CW_HASH_BYTES);
    memcpy(fields.content_hash, record->content_hash, CW_HASH_BYTES);
    return fields;
}

#define SIGN_LABEL "cw-bundle-sign1"
#define SEAL_LABEL "cw-bundle-seal1"

struct cw_chain *
cw_chain_create(const struct cw_chain_options *options)
{
    struct cw_chain *chain = g_new0(struct cw_chain, 1);

    chain->options = *options;
    return chain;
}

void
cw_chain_free(struct cw_chain *chain)
{
    if (chain != NULL) {
        cw_bundle_unref(chain->current);
        g_free(chain);
    }
}

struct cw_bundle *
cw_chain_current(const struct cw_chain *chain)
{
    return chain->current;
}

unsigned
cw_chain_current_number(const struct cw_chain *chain)
{
    return chain->current != NULL ? chain->current->number : 0;
}

/* Inflates the bytes that differ from the parent's content; NULL unless there
 * are exactly middle_size of them. */
static unsigned char *
inflate_middle(const struct cw_bundle_rec *record)
{
    uLongf size = record->middle_size;
    unsigned char *middle = g_malloc(size + 1);

    if (uncompress(middle, &size, (const Bytef *)record->middle.middle_val,
                   record->middle.middle_len) != Z_OK ||
        size != record->middle_size)
    {
        g_free(middle);
        return NULL;
    }
    return middle;
}

GBytes *
cw_chain_decode_content(const struct cw_bundle_rec *record,
                        const struct cw_bundle *parent)
{
    unsigned char hash[CW_HASH_BYTES];
    const unsigned char *base = NULL;
    unsigned char *middle;
    GByteArray *content;
    gsize base_size = 0;

    if (parent != NULL) {
        base = g_bytes_get_data(parent->content, &base_size);
    }
    if (record->middle_size > CONTENT_MAX_BYTES ||
        record->prefix > base_size ||
        record->suffix > base_size - record->prefix)
    {
        return NULL;
    }
    middle = inflate_middle(record);
    if (middle == NULL) {
        return NULL;
    }
    content = g_byte_array_new();
    g_byte_array_append(content, base, record->prefix);
    g_byte_array_append(content, middle, record->middle_size);
    g_byte_array_append(content, base + base_size - record->suffix,
                        record->suffix);
    g_free(middle);
    crypto_generichash(hash, sizeof(hash), content->data, content->len, NULL,
                       0);
    if (memcmp(hash, record->content_hash, sizeof(hash)) != 0) {
        g_byte_array_unref(content);
        return NULL;
    }
    return g_byte_array_free_to_bytes(content);
}

/* Hex public key of an operator: from the bundle in force, which the record
 * changes, or from the settings if there is none yet.  NULL if the operator
 * is not listed in that source or is revoked. */
static const char *
signer_key(const struct cw_chain *chain, const char *name)
{
    if (chain->current == NULL) {
        for (unsigned i = 0; i < chain->options.trusted_count; i++) {
            if (strcmp(chain->options.trusted[i].name, name) == 0) {
                return chain->options.trusted[i].public_key;
            }
        }
        return NULL;
    }
    for (unsigned i = 0; i < chain->current->doc->operators_count; i++) {
        const struct cw_operator_def *op = &chain->current->doc->operators[i];

        if (strcmp(op->name, name) == 0 && !op->revoked) {
            return op->public_key;
        }
    }
    return NULL;
}

static bool
signature_is_valid(const struct cw_chain *chain,
                   const struct cw_bundle_rec *record,
                   const struct cw_signature *signature)
{
    struct signed_fields fields = make_signed_fields(record, SIGN_LABEL);
    const char *hex = signer_key(chain, signature->operator_name);
    unsigned char key[crypto_sign_PUBLICKEYBYTES];
    size_t length = 0;

    return hex != NULL &&
           sodium_hex2bin(key, sizeof(key), hex, strlen(hex), NULL, &length,
                          NULL) == 0 &&
           length == sizeof(key) &&
           crypto_sign_verify_detached((const unsigned char *)signature->bytes,
                                       (const unsigned char *)&fields,
                                       sizeof(fields), key) == 0;
}

static bool
has_earlier_signature(const struct cw_bundle_rec *record, unsigned index)
{
    const struct cw_signature *all = record->signatures.signatures_val;

    for (unsigned i = 0; i < index; i++) {
        if (strcmp(all[i].operator_name, all[index].operator_name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
signatures_suffice(const struct cw_chain *chain,
                   const struct cw_bundle_rec *record)
{
    unsigned required = 1;
    unsigned valid = 0;

    if (chain->current != NULL) {
        required = cw_bundle_policy(chain->current).signatures;
    }
    for (unsigned i = 0; i < record->signatures.signatures_len; i++) {
        if (!has_earlier_signature(record, i) &&
            signature_is_valid(chain, record,
                               &record->signatures.signatures_val[i]))
        {
            valid++;
        }
    }
    return valid >= required;
}

static bool
seal_is_valid(const struct cw_chain *chain, const struct cw_bundle_rec *record)
{
    struct signed_fields fields = make_signed_fields(record, SEAL_LABEL);

    return record->sealed && chain->options.seal_key != NULL &&
           crypto_auth_verify((const unsigned char *)record->seal,
                              (const unsigned char *)&fields, sizeof(fields),
                              chain->options.seal_key) == 0;
}

static bool
follows_current(const struct cw_chain *chain,
                const struct cw_bundle_rec *record)
{
    static const unsigned char no_parent[CW_HASH_BYTES];
    const unsigned char *hash =
        chain->current != NULL ? chain->current->hash : no_parent;

    return record->parent == cw_chain_current_number(chain) &&
           record->number == record->parent + 1 &&
           memcmp(record->parent_hash, hash, CW_HASH_BYTES) == 0;
}

static void
add_problem(GString *problems, const char *text)
{
    if (problems != NULL) {
        g_string_append(problems, text);
        g_string_append_c(problems, '\n');
    }
}

enum cw_result
cw_chain_apply(struct cw_chain *chain, const struct cw_bundle_rec *record,
               GString *problems)
{
    struct cw_bundle *next;
    GBytes *content;
    gsize size;
    const void *text;

    if (record->format != RECORD_FORMAT) {
        add_problem(problems, "unknown format of the record");
        return CW_DROP_BUNDLE;
    }
    if (record->number <= cw_chain_current_number(chain)) {
        return CW_DROP_CONFLICT;
    }
    if (!(follows_current(chain, record) &&
          signatures_suffice(chain, record)) &&
        !seal_is_valid(chain, record))
    {
        add_problem(problems,
                    "it does not follow the version in force, or lacks "
                    "signatures of operators listed there");
        return CW_DROP_BUNDLE;
    }
    content = cw_chain_decode_content(record, chain->current);
    if (content == NULL) {
        add_problem(problems, "its content does not decode");
        return CW_DROP_BUNDLE;
    }
    text = g_bytes_get_data(content, &size);
    next = cw_bundle_parse(text, size, problems);
    g_bytes_unref(content);
    if (next == NULL) {
        return CW_DROP_BUNDLE;
    }
    next->number = record->number;
    cw_bundle_unref(chain->current);
    chain->current = next;
    return CW_OK;
}

static void
find_common_ends(const unsigned char *a, size_t a_size, const unsigned char *b,
                 size_t b_size, unsigned *prefix, unsigned *suffix)
{
    size_t shorter = MIN(a_size, b_size);
    size_t head = 0;
    size_t tail = 0;

    while (head < shorter && a[head] == b[head]) {
        head++;
    }
    while (tail < shorter - head &&
           a[a_size - 1 - tail] == b[b_size - 1 - tail]) {
        tail++;
    }
    *prefix = (unsigned)head;
    *suffix = (unsigned)tail;
}

static void
deflate_middle(struct cw_bundle_rec *record, const unsigned char *middle)
{
    uLongf size = compressBound(record->middle_size);
    unsigned char *packed = malloc(size);

    g_assert(packed != NULL);
    if (compress2(packed, &size, middle, record->middle_size,
                  Z_BEST_COMPRESSION) != Z_OK)
    {
        g_assert_not_reached();
    }
    record->middle.middle_val = (char *)packed;
    record->middle.middle_len = (u_int)size;
}

bool
cw_chain_propose(const struct cw_bundle *parent, const void *content,
                 size_t length, struct cw_bundle_rec *record)
{
    const unsigned char *base = NULL;
    gsize base_size = 0;

    memset(record, 0, sizeof(*record));
    if (length > CONTENT_MAX_BYTES) {
        return false;
    }
    record->format = RECORD_FORMAT;
    record->number = 1;
    if (parent != NULL) {
        base = g_bytes_get_data(parent->content, &base_size);
        record->parent = parent->number;
        record->number = parent->number + 1;
        memcpy(record->parent_hash, parent->hash, CW_HASH_BYTES);
    }
    crypto_generichash((unsigned char *)record->content_hash, CW_HASH_BYTES,
                       content, length, NULL, 0);
    find_common_ends(base, base_size, content, length, &record->prefix,
                     &record->suffix);
    record->middle_size = (unsigned)(length - record->prefix - record->suffix);
    deflate_middle(record, (const unsigned char *)content + record->prefix);
    return true;
}

bool
cw_chain_sign(struct cw_bundle_rec *record, const char *operator_name,
              const unsigned char *secret_key)
{
    struct signed_fields fields = make_signed_fields(record, SIGN_LABEL);
    unsigned n = record->signatures.signatures_len;
    struct cw_signature *all;

    all = realloc(record->signatures.signatures_val, (n + 1) * sizeof(*all));
    if (all == NULL) {
        return false;
    }
    record->signatures.signatures_val = all;
    all[n].operator_name = strdup(operator_name);
    crypto_sign_detached((unsigned char *)all[n].bytes, NULL,
                         (const unsigned char *)&fields, sizeof(fields),
                         secret_key);
    record->signatures.signatures_len = n + 1;
    return true;
}

bool
cw_chain_export(const struct cw_chain *chain, struct cw_bundle_rec *record)
{
    struct signed_fields fields;
    const void *content;
    gsize size;

    if (chain->current == NULL || chain->options.seal_key == NULL) {
        return false;
    }
    content = g_bytes_get_data(chain->current->content, &size);
    if (!cw_chain_propose(NULL, content, size, record)) {
        return false;
    }
    record->number = chain->current->number;
    record->parent = chain->current->number - 1;
    fields = make_signed_fields(record, SEAL_LABEL);
    record->sealed = TRUE;
    crypto_auth((unsigned char *)record->seal, (const unsigned char *)&fields,
                sizeof(fields), chain->options.seal_key);
    return true;
}
