/* Names of phases, keys of records and checks of specifications. */
#include "curlewcart/cw_work.h"

#include <inttypes.h>
#include <string.h>

enum { ID_LENGTH = 16 };

const char *
cw_work_phase_name(unsigned phase)
{
    static const char *const names[] = {
        [CW_WORK_WAITING] = "waiting",     [CW_WORK_RUNNING] = "running",
        [CW_WORK_COMPLETED] = "completed", [CW_WORK_FAILED] = "failed",
        [CW_WORK_CANCELLED] = "cancelled", [CW_WORK_LOST] = "lost",
        [CW_WORK_STOPPED] = "stopped",     [CW_WORK_REFUSED] = "refused",
    };

    return phase < G_N_ELEMENTS(names) ? names[phase] : "unknown";
}

char *
cw_work_key(enum cw_work_key kind, const char *id)
{
    return g_strdup_printf("%c%s", (char)kind, id);
}

bool
cw_work_id_valid(const char *id)
{
    size_t length = 0;

    while (g_ascii_isxdigit(id[length])) {
        length++;
    }
    return length == ID_LENGTH && id[length] == '\0';
}

static enum cw_result
check_step(const struct cw_step_spec *step, unsigned number, char *detail,
           size_t size)
{
    if (step->tasks == 0) {
        g_snprintf(detail, size, "step %u has no tasks", number);
        return CW_REF_MALFORMED;
    }
    for (u_int i = 0; i < step->after.after_len; i++) {
        if (step->after.after_val[i] >= number) {
            g_snprintf(detail, size, "step %u waits for a later step", number);
            return CW_REF_MALFORMED;
        }
    }
    return CW_OK;
}

/* Checks the number of tasks of all steps. */
static enum cw_result
check_size(const struct cw_work_spec *spec, char *detail, size_t size)
{
    uint64_t tasks = 0;

    for (u_int i = 0; i < spec->steps.steps_len; i++) {
        tasks += spec->steps.steps_val[i].tasks;
    }
    if (tasks > CW_TASKS_MAX) {
        g_snprintf(detail, size, "%" PRIu64 " tasks, at most %d", tasks,
                   CW_TASKS_MAX);
        return CW_REF_TOO_LARGE;
    }
    return CW_OK;
}

enum cw_result
cw_work_check(const struct cw_work_spec *spec, char *detail, size_t size)
{
    enum cw_result result;

    if (spec->steps.steps_len == 0) {
        g_snprintf(detail, size, "no steps");
        return CW_REF_MALFORMED;
    }
    result = check_size(spec, detail, size);
    for (u_int i = 0; i < spec->steps.steps_len && result == CW_OK; i++) {
        result = check_step(&spec->steps.steps_val[i], i, detail, size);
    }
    return result;
}

unsigned
cw_work_critical_path_ms(const struct cw_work_spec *spec)
{
    uint64_t *finish = g_new0(uint64_t, spec->steps.steps_len);
    uint64_t longest = 0;

    for (u_int i = 0; i < spec->steps.steps_len; i++) {
        const struct cw_step_spec *step = &spec->steps.steps_val[i];
        uint64_t begin = 0;

        for (u_int k = 0; k < step->after.after_len; k++) {
            begin = MAX(begin, finish[step->after.after_val[k]]);
        }
        finish[i] = begin + step->estimate_ms;
        longest = MAX(longest, finish[i]);
    }
    g_free(finish);
    return (unsigned)MIN(longest, G_MAXINT32);
}
