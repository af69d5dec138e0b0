/* A libFuzzer target for every parser of external input: the first byte
 * selects the parser.  Built with clang by `make parsers`. */
#include <stdlib.h>
#include <string.h>
#include <sodium.h>

#include "curlewcart/cw_bundle.h"
#include "curlewcart/cw_chain.h"
#include "curlewcart/cw_record.h"
#include "curlewcart/cw_request.h"
#include "curlewcart/cw_work.h"
#include "curlewcart/cw_xdr.h"
#include "platform/platform.h"

/* libFuzzer requires this name. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Whatever a parser and the check of specifications accept can be stored and
 * read again. */
static void
check_accepted(const struct cw_work_spec *spec)
{
    GByteArray *bytes = cw_xdr_encode((xdrproc_t)xdr_cw_work_spec, spec);
    struct cw_work_spec stored;
    GByteArray *again;

    g_assert(bytes != NULL);
    memset(&stored, 0, sizeof(stored));
    g_assert(cw_xdr_decode((xdrproc_t)xdr_cw_work_spec, &stored, bytes->data,
                           bytes->len));
    again = cw_xdr_encode((xdrproc_t)xdr_cw_work_spec, &stored);
    g_assert(again != NULL && again->len == bytes->len &&
             memcmp(again->data, bytes->data, bytes->len) == 0);
    g_assert(cw_work_critical_path_ms(&stored) <= G_MAXINT32);
    xdr_free((xdrproc_t)xdr_cw_work_spec, (char *)&stored);
    g_byte_array_unref(bytes);
    g_byte_array_unref(again);
}

static void
parse_request(const char *text, size_t size)
{
    struct cw_work_spec *spec = NULL;
    char detail[128];

    if (cw_request_from_json(text, size, "account", &spec, detail,
                             sizeof(detail)) == CW_OK &&
        cw_work_check(spec, detail, sizeof(detail)) == CW_OK)
    {
        check_accepted(spec);
    }
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
    struct cw_record_head head;
    GByteArray *bytes;

    if (cw_record_read_head(text, size, &head)) {
        g_assert(strcmp(cw_work_phase_name(head.phase), "unknown") != 0);
    }
    if (cw_record_decode(text, size, &record)) {
        bytes = cw_record_encode(&record);
        g_assert(bytes != NULL);
        g_byte_array_unref(bytes);
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

    if (platform_decode_job(text, size, spec, problem, sizeof(problem)) ==
            CW_OK &&
        cw_work_check(spec, problem, sizeof(problem)) == CW_OK)
    {
        spec->id = strdup("5c0e7a21d94b36f8");
        spec->queue = strdup("q");
        spec->account = strdup("a");
        spec->service = strdup("s");
        spec->request = strdup("");
        check_accepted(spec);
    }
    cw_request_free(spec);
}

static void
parse_platform_config(const char *text, size_t size)
{
    char problem[128];

    cw_routing_unref(platform_codec()->decode_routing(text, size, problem,
                                                      sizeof(problem)));
}

/* Thousands of a report's quantities can be added without an overflow. */
static void
check_report(void *context, const struct cw_target_report *report)
{
    (void)context;
    g_assert(report->capacity.cpu_milli >= 0 &&
             report->capacity.cpu_milli <= G_MAXINT32);
    g_assert(report->capacity.memory_mb >= 0 &&
             report->capacity.memory_mb <= G_MAXINT32);
    g_assert(report->capacity.accelerators >= 0 &&
             report->capacity.accelerators <= G_MAXINT32);
    g_assert(report->remaining_ms >= 0 && report->remaining_ms <= G_MAXINT32);
    g_assert(report->clock_ms >= 0 && report->boot_ms >= 0);
}

static void
parse_platform_report(const char *text, size_t size)
{
    platform_codec()->decode_target("id", text, size, check_report, NULL);
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
