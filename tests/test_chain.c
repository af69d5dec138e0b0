/* The chain of bundles: signatures, concurrent changes, seals, and that an
 * old record never replaces a newer version. */
#include "test_main.h"

#include <string.h>

#include "curlewcart/cw_chain.h"

static const unsigned char seal_key[CW_MAC_BYTES] = "seal";

struct fixture {
    unsigned char secret[2][crypto_sign_SECRETKEYBYTES];
    char public_hex[2][65];
    struct cw_trusted_key trusted;
    struct cw_chain *chain;
};

static char *
bundle_text(const struct fixture *f, unsigned weight, unsigned signatures)
{
    return g_strdup_printf(
        "policy: {signatures: %u}\ndcs:\n  - {name: d0}\nworkers: "
        "[]\naccounts:\n  - {name: a, token_hash: \"%064d\", weight: %u, "
        "dcs: [d0]}\noperators:\n  - {name: op, public_key: \"%s\"}\n  - "
        "{name: two, public_key: \"%s\"}\n",
        signatures, 0, weight, f->public_hex[0], f->public_hex[1]);
}

static struct cw_chain *
new_chain(struct fixture *f)
{
    struct cw_chain_options options = {
        .trusted = &f->trusted, .trusted_count = 1, .seal_key = seal_key};

    return cw_chain_create(&options);
}

static void
setup(struct fixture *f)
{
    for (int i = 0; i < 2; i++) {
        unsigned char seed[crypto_sign_SEEDBYTES] = {(unsigned char)(i + 1)};
        unsigned char public_key[crypto_sign_PUBLICKEYBYTES];

        crypto_sign_seed_keypair(public_key, f->secret[i], seed);
        sodium_bin2hex(f->public_hex[i], 65, public_key, sizeof(public_key));
    }
    f->trusted.name = (char *)"op";
    f->trusted.public_key = f->public_hex[0];
    f->chain = new_chain(f);
}

static struct cw_bundle_rec
propose(struct fixture *f, unsigned weight, unsigned signatures)
{
    struct cw_bundle_rec record;
    char *text = bundle_text(f, weight, signatures);

    cw_chain_propose(cw_chain_current(f->chain), text, strlen(text), &record);
    g_free(text);
    return record;
}

static enum cw_result
apply_and_free(struct fixture *f, struct cw_bundle_rec *record)
{
    enum cw_result result = cw_chain_apply(f->chain, record, NULL);

    xdr_free((xdrproc_t)xdr_cw_bundle_rec, record);
    return result;
}

static void
accept_change(struct fixture *f, unsigned weight, unsigned signatures)
{
    struct cw_bundle_rec record = propose(f, weight, signatures);

    cw_chain_sign(&record, "op", f->secret[0]);
    CU_ASSERT_EQUAL(apply_and_free(f, &record), CW_OK);
}

static void
test_signed_changes_are_accepted_in_order(void)
{
    struct fixture f;

    setup(&f);
    accept_change(&f, 1, 1);
    accept_change(&f, 2, 1);
    CU_ASSERT_EQUAL(cw_chain_current_number(f.chain), 2);
    cw_chain_free(f.chain);
}

static void
test_unsigned_and_forged_are_rejected(void)
{
    struct fixture f;
    struct cw_bundle_rec record;

    setup(&f);
    record = propose(&f, 1, 1);
    CU_ASSERT_EQUAL(apply_and_free(&f, &record), CW_DROP_BUNDLE);
    record = propose(&f, 1, 1);
    cw_chain_sign(&record, "op", f.secret[1]); /* another operator's key */
    CU_ASSERT_EQUAL(apply_and_free(&f, &record), CW_DROP_BUNDLE);
    record = propose(&f, 1, 1);
    cw_chain_sign(&record, "op", f.secret[0]);
    record.number = 2; /* differs from the signed number */
    CU_ASSERT_EQUAL(apply_and_free(&f, &record), CW_DROP_BUNDLE);
    CU_ASSERT_EQUAL(cw_chain_current_number(f.chain), 0);
    cw_chain_free(f.chain);
}

static void
test_first_of_two_concurrent_changes_wins(void)
{
    struct fixture f;
    struct cw_bundle_rec one;
    struct cw_bundle_rec two;

    setup(&f);
    accept_change(&f, 1, 1);
    one = propose(&f, 5, 1);
    two = propose(&f, 6, 1);
    cw_chain_sign(&one, "op", f.secret[0]);
    cw_chain_sign(&two, "op", f.secret[0]);
    CU_ASSERT_EQUAL(apply_and_free(&f, &one), CW_OK);
    CU_ASSERT_EQUAL(apply_and_free(&f, &two), CW_DROP_CONFLICT);
    CU_ASSERT_EQUAL(cw_chain_current(f.chain)->doc->accounts[0].weight, 5);
    cw_chain_free(f.chain);
}

static void
test_a_replayed_record_changes_nothing(void)
{
    struct fixture f;
    struct cw_bundle_rec record;

    setup(&f);
    record = propose(&f, 1, 1);
    cw_chain_sign(&record, "op", f.secret[0]);
    CU_ASSERT_EQUAL(cw_chain_apply(f.chain, &record, NULL), CW_OK);
    accept_change(&f, 2, 1);
    CU_ASSERT_EQUAL(cw_chain_apply(f.chain, &record, NULL), CW_DROP_CONFLICT);
    CU_ASSERT_EQUAL(cw_chain_current_number(f.chain), 2);
    xdr_free((xdrproc_t)xdr_cw_bundle_rec, &record);
    cw_chain_free(f.chain);
}

static void
test_two_signatures_if_two_are_required(void)
{
    struct fixture f;
    struct cw_bundle_rec record;

    setup(&f);
    accept_change(&f, 1, 2);
    record = propose(&f, 2, 2);
    cw_chain_sign(&record, "op", f.secret[0]);
    cw_chain_sign(&record, "op", f.secret[0]); /* counts once */
    CU_ASSERT_EQUAL(apply_and_free(&f, &record), CW_DROP_BUNDLE);
    record = propose(&f, 2, 2);
    cw_chain_sign(&record, "op", f.secret[0]);
    cw_chain_sign(&record, "two", f.secret[1]);
    CU_ASSERT_EQUAL(apply_and_free(&f, &record), CW_OK);
    cw_chain_free(f.chain);
}

static void
test_an_empty_chain_accepts_only_a_valid_seal(void)
{
    struct fixture f;
    struct cw_bundle_rec record;
    struct cw_chain *empty_chain;

    setup(&f);
    accept_change(&f, 1, 1);
    accept_change(&f, 2, 1);
    CU_ASSERT_TRUE(cw_chain_export(f.chain, &record));
    empty_chain = new_chain(&f);
    CU_ASSERT_EQUAL(cw_chain_apply(empty_chain, &record, NULL), CW_OK);
    CU_ASSERT_EQUAL(cw_chain_current_number(empty_chain), 2);
    cw_chain_free(empty_chain);
    empty_chain = new_chain(&f);
    record.seal[0] ^= 1;
    CU_ASSERT_EQUAL(cw_chain_apply(empty_chain, &record, NULL),
                    CW_DROP_BUNDLE);
    cw_chain_free(empty_chain);
    xdr_free((xdrproc_t)xdr_cw_bundle_rec, &record);
    cw_chain_free(f.chain);
}

static void
test_damaged_content_is_rejected(void)
{
    struct fixture f;
    struct cw_bundle_rec record;

    setup(&f);
    record = propose(&f, 1, 1);
    cw_chain_sign(&record, "op", f.secret[0]);
    record.middle.middle_val[record.middle.middle_len / 2] ^= 0x20;
    CU_ASSERT_EQUAL(apply_and_free(&f, &record), CW_DROP_BUNDLE);
    cw_chain_free(f.chain);
}

static const struct test tests[] = {
    {"signed changes in order", test_signed_changes_are_accepted_in_order},
    {"unsigned and forged", test_unsigned_and_forged_are_rejected},
    {"first of two concurrent changes wins",
     test_first_of_two_concurrent_changes_wins},
    {"a replayed record changes nothing",
     test_a_replayed_record_changes_nothing},
    {"two signatures", test_two_signatures_if_two_are_required},
    {"an empty chain accepts a sealed copy",
     test_an_empty_chain_accepts_only_a_valid_seal},
    {"damaged content", test_damaged_content_is_rejected},
};

TEST_MAIN("chain", tests)
