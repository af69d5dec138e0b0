/* Stretch of urgent jobs; see the header. */
#include "emulator/stretch.h"

/* Callers of urgent work accept this many times its length. */
#define STRETCH_ACCEPTED 1.5

/* Duration of the job's steps in sequence, each as long as its longest
 * task. */
static int64_t
job_length_ms(struct checker *checker, const struct checker_job *job)
{
    struct cw_task_name name = {.job = job->id};
    int64_t length_ms = 0;

    for (; name.step < job->spec->steps.steps_len; name.step++) {
        unsigned longest_ms = 0;

        for (name.index = 0;
             name.index < job->spec->steps.steps_val[name.step].tasks;
             name.index++)
        {
            struct task_plan plan = {0};

            (void)checker_task_plan(checker, &name, &plan);
            longest_ms = MAX(longest_ms, plan.work_ms);
        }
        length_ms += longest_ms;
    }
    return length_ms;
}

static bool
is_counted(const struct checker_job *job)
{
    return job->spec->priority == 0 && job->accepted && job->done_ms > 0 &&
           job->plan_fails == 0 && job->plan_crashing_task < 0;
}

void
stretch_figures_collect(struct stretch_figures *figures,
                        struct checker *checker)
{
    const GPtrArray *jobs = checker_jobs(checker);

    for (guint i = 0; i < jobs->len; i++) {
        const struct checker_job *job = jobs->pdata[i];

        if (is_counted(job)) {
            double stretch = (double)(job->done_ms - job->accepted_ms) /
                             (double)MAX(1, job_length_ms(checker, job));

            figures->jobs++;
            figures->over_limit += stretch > STRETCH_ACCEPTED;
            figures->total += stretch;
        }
    }
}

void
stretch_figures_add(struct stretch_figures *figures,
                    const struct stretch_figures *other)
{
    figures->jobs += other->jobs;
    figures->over_limit += other->over_limit;
    figures->total += other->total;
}
