/* The table of result codes. */
#include "curlewcart/cw_result.h"

static const struct cw_result_info result_table[] = {
#define CW_RESULT_ROW(symbol, number, name, text) {CW_##symbol, name, text},
    CW_RESULT_TABLE(CW_RESULT_ROW)
#undef CW_RESULT_ROW
};

size_t
cw_result_count(void)
{
    return sizeof(result_table) / sizeof(result_table[0]);
}

const struct cw_result_info *
cw_result_at(size_t index)
{
    return &result_table[index];
}

int
cw_result_index(unsigned code)
{
    for (size_t i = 0; i < cw_result_count(); i++) {
        if ((unsigned)result_table[i].code == code) {
            return (int)i;
        }
    }
    return -1;
}

const char *
cw_result_name(unsigned code)
{
    int index = cw_result_index(code);

    return index < 0 ? "unknown" : result_table[index].name;
}

const char *
cw_result_text(unsigned code)
{
    int index = cw_result_index(code);

    return index < 0 ? "unknown code" : result_table[index].text;
}

bool
cw_refusal_is_final(unsigned code)
{
    switch (code) {
    case CW_REF_LOG_AWAY:
    case CW_REF_NO_BUNDLE:
    case CW_REF_LEAVING:
    case CW_REF_NO_LEDGER:
    case CW_REF_GATE:
    case CW_REF_QUEUE:
    case CW_REF_ACCOUNT_LIMIT:
    case CW_REF_UNSURE:
        return false;
    default:
        return code >= CW_REF_MALFORMED && code < CW_RETRY_REFUSED;
    }
}
