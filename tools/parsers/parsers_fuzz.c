/* A libFuzzer target for every parser of external input: the first byte
 * selects the parser.  Built with clang by `make parsers`. */
#include <string.h>
#include <sodium.h>

#include "curlewcart/cw_bundle.h"
#include "curlewcart/cw_chain.h"
#include "curlewcart/cw_record.h"
#include "curlewcart/cw_request.h"
#include "curlewcart/cw_xdr.h"
#include "platform/platform.h"

/* libFuzzer requires this name. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
parse_request(const char *text, size_t size)
{
    struct cw_work_spec *spec = NULL;
    char detail[128];

    cw_request_from_json(text, size, "account", &spec, detail, sizeof(detail));
    cw_request_free(spec);
}

static void
parse_bundle(const char *text, size_t size)
{
    cw_bundle_unref(cw_bundle_parse(text, size, NULL));
}

static void
parse_work_record(const char *text, size_t size)
{
    struct cw_work_record record;

    memset(&record, 0, sizeof(record));
    if (cw_record_decode(text, size, &record)) {
        xdr_free((xdrproc_t)xdr_cw_work_record, (char *)&record);
    }
}

static void
parse_relay_request(const char *text, size_t size)
{
    struct cw_relay_request request;

    memset(&request, 0, sizeof(request));
    if (cw_xdr_decode((xdrproc_t)xdr_cw_relay_request, &request, text, size)) {
        xdr_free((xdrproc_t)xdr_cw_relay_request, (char *)&request);
    }
}

/* ---- bodies of the platform, as its adapter parses them ---- */

static void
parse_platform_job(const char *text, size_t size)
{
    struct cw_work_spec *spec = g_new0(struct cw_work_spec, 1);
    char problem[128];

    platform_decode_job(text, size, spec, problem, sizeof(problem));
    cw_request_free(spec);
}

static void
parse_platform_config(const char *text, size_t size)
{
    char problem[128];

    cw_routing_unref(platform_codec()->decode_routing(text, size, problem,
                                                      sizeof(problem)));
}

static void
ignore_report(void *context, const struct cw_target_report *report)
{
    (void)context;
    (void)report;
}

static void
parse_platform_report(const char *text, size_t size)
{
    platform_codec()->decode_target("id", text, size, ignore_report, NULL);
}

static void
parse_bundle_record(const char *text, size_t size)
{
    struct cw_chain_options options = {0};
    struct cw_chain *chain = cw_chain_create(&options);
    struct cw_bundle_rec record;
    GBytes *content;

    memset(&record, 0, sizeof(record));
    if (cw_xdr_decode((xdrproc_t)xdr_cw_bundle_rec, &record, text, size)) {
        cw_chain_apply(chain, &record, NULL);
        content = cw_chain_decode_content(&record, NULL);
        if (content != NULL) {
            g_bytes_unref(content);
        }
        xdr_free((xdrproc_t)xdr_cw_bundle_rec, &record);
    }
    cw_chain_free(chain);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) /* NOLINT */
{
    static void (*const parsers[])(const char *, size_t) = {
        parse_request,         parse_bundle,          parse_bundle_record,
        parse_work_record,     parse_relay_request,   parse_platform_job,
        parse_platform_config, parse_platform_report,
    };

    if (size > 0) {
        parsers[data[0] % G_N_ELEMENTS(parsers)]((const char *)data + 1,
                                                 size - 1);
    }
    return 0;
}
