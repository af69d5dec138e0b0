/* curlewcart-emulator: simulates days of a deployment from seeds. */
#include <argp.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <ck_pr.h>

#include "curlewcart/cw_log.h"
#include "curlewcart/cw_process.h"
#include "curlewcart/cw_time.h"
#include "emulator/world.h"

enum {
    DEFAULT_DAYS = 1000,
    DEFAULT_THREADS = 8,
    PROGRESS_INTERVAL_DAYS = 100,
    /* Default size of the deployment: the size that the emulator is required
     * to simulate. */
    DEFAULT_VMS = 30,
    DEFAULT_WORKERS = 350,
    DEFAULT_JOBS = 1000,
    PERCENT = 100,
    EXIT_VIOLATION = 1,
    EXIT_USAGE = 2,
    /* Long enough for two long steps in sequence, each of which fails once. */
    LONG_TASK_QUIET_FACTOR = 3,
    SLOW_WORKER_QUIET_FACTOR = 2,
    /* Longest time from one outage of a series to the next. */
    LAPSE_MS = 19000,
    /* Time by which a day is longer for each time that workers leave. */
    LEAVING_MS = 5000
};

struct arguments {
    const char *command;
    unsigned seed;
    unsigned days;
    unsigned threads;
    bool stop_at_first; /* stop at the first violation */
    unsigned vms;
    unsigned workers;
    unsigned jobs;
    unsigned crashing_percent;  /* of the jobs */
    unsigned tail_percent;      /* of the tasks */
    unsigned scheduled_percent; /* of the jobs */
    bool long_texts;
    unsigned slow_percent; /* of the workers */
    bool uneven;
    bool without_slow;
    unsigned shrinks;
    unsigned restarts;
    unsigned leaving;
    bool members_fail;
    unsigned clock_step_percent; /* of the restarts */
    bool ignores_capacity;
    unsigned late_episodes;
    unsigned cordons;
    unsigned owner_kills;
    unsigned owner_losses;
    unsigned owner_cuts;
    unsigned voter_restarts;
    unsigned store_returns;
    unsigned store_lapses;
    unsigned long_cuts;
    unsigned topic_outages;
    unsigned silences;
    unsigned owner_freezes;
    bool unheard_ends;
    unsigned outages;
    unsigned late_reports;
    unsigned held_orders;
    unsigned slow_vms;
    bool links_hold;
    bool calm;
    bool wide;
    bool restricted;
    bool near;
    bool busy;
    unsigned link_ms;
    unsigned check_ms;
    bool far_store;
};

static const struct argp_option options[] = {
    {"seed", 's', "N", 0, "First seed (or the one to replay)", 0},
    {"days", 'd', "N", 0, "Number of days to simulate", 0},
    {"first", 'f', NULL, 0, "Stop at the first violation", 0},
    {"jobs", 'j', "N", 0, "Days simulated in parallel", 0},
    {"vms", 'v', "N", 0, "VMs (size only)", 0},
    {"workers", 'w', "N", 0, "Workers (size only)", 0},
    {"work", 'n', "N", 0, "Jobs submitted (size only)", 0},
    {"crashing", 'c', "PERCENT", 0, "Jobs that crash workers", 0},
    {"tails", 't', "PERCENT", 0,
     "Tasks that take several times as long as others", 0},
    {"scheduled", 'D', "PERCENT", 0, "Jobs that are due many times", 0},
    {"long-texts", 'T', NULL, 0,
     "Checkpoints of up to 300,000 bytes, more than a record of the store", 0},
    {"slow-workers", 'S', "PERCENT", 0,
     "Workers that take three times as long for part of the day, at once", 0},
    {"uneven", 'E', NULL, 0, "Workers have lasting speeds of 0.6, 1.0 and 1.6",
     0},
    {"without-slow", 'W', NULL, 0,
     "The workers of --slow-workers are absent all day instead", 0},
    {"shrinks", 'r', "N", 0,
     "Times that a worker's capacity shrinks for a while", 0},
    {"restarts", 'a', "N", 0,
     "Times that workers crash and restart under their ids", 0},
    {"leaving", 'N', "N", 0,
     "Times that workers drain, shut down and are replaced at their "
     "addresses, "
     "while the VM that owns the jobs may be killed",
     0},
    {"members-fail", 'M', NULL, 0,
     "Several members of a gang may fail in one run", 0},
    {"clock-steps", 'z', "PERCENT", 0,
     "Restarts of workers under their ids before which their wall clocks are "
     "set, often back",
     0},
    {"unguarded", 'u', NULL, 0,
     "Workers start tasks that exceed their capacity", 0},
    {"late", 'l', "N", 0,
     "Times that some workers answer late or reset connections", 0},
    {"cordons", 'o', "N", 0,
     "Times that a data centre is closed to new work for a while", 0},
    {"owner-kills", 'k', "N", 0,
     "Times that workers crash and the VM that owns the jobs is killed soon "
     "after",
     0},
    {"owner-losses", 'x', "N", 0,
     "Like --owner-kills, but the VM stays down for long", 0},
    {"owner-cuts", 'm', "N", 0,
     "Times that the VM that owns the jobs is disconnected, together with "
     "workers that only it reaches then",
     0},
    {"voter-restarts", 'V', "N", 0,
     "Like --owner-cuts, but the VMs reach each other, and all but the former "
     "and the next owner start again",
     0},
    {"store-returns", 'R', "N", 0,
     "Times that the store is unavailable, the VM that owns the jobs is "
     "disconnected, and other VMs restart as the store returns",
     0},
    {"store-lapses", 'A', "N", 0,
     "Times that the store is unavailable, mostly for longer than a lease, "
     "and "
     "entries of workers that work on expire",
     0},
    {"long-cuts", 'O', "N", 0,
     "Times that VMs are cut off for longer than ended jobs are retained, "
     "while the store drops its history",
     0},
    {"topic-outages", 'p', "N", 0,
     "Times that one topic of the store is unavailable to all VMs", 0},
    {"silences", 'i', "N", 0,
     "Times that some workers do not answer for 9 s, also after the end of "
     "submissions, on days of lasting jobs",
     0},
    {"owner-freezes", 'F', "N", 0,
     "Like --silences, and the VM that owns the jobs freezes soon after, for "
     "as long",
     0},
    {"unheard-ends", 'U', NULL, 0,
     "Reports steps that wait at the end of the day for ends that nobody has "
     "heard, if the best possible owner starts them in time",
     0},
    {"outages", 'e', "N", 0,
     "Like --silences, but the workers crash and stay down for 9 s", 0},
    {"late-reports", 'y', "N", 0,
     "Times that workers' reports are stored seconds late, after a crash or "
     "after newer ones, or do not arrive",
     0},
    {"held-orders", 'G', "N", 0,
     "Times that orders of some workers are held up for seconds while they "
     "refuse other starts, are cut off or restart",
     0},
    {"slow-vms", 'P', "N", 0,
     "Times that the VM that owns the jobs, the others, or all compute "
     "slowly, so that answers wait to be read",
     0},
    {"held-links", 'L', NULL, 0,
     "Some held orders may reach the next incarnation of their worker", 0},
    {"calm", 'q', NULL, 0, "No random faults", 0},
    {"wide", 'b', NULL, 0,
     "Jobs and gangs larger than a rack, and more of them", 0},
    {"busy", 'B', NULL, 0,
     "Racks of twelve workers, kept busy by urgent work, and gangs of lower "
     "priority that ask for one rack",
     0},
    {"link-ms", 'K', "N", 0,
     "Delay between data centres, one way, besides the usual delays; within "
     "one, a quarter of it",
     0},
    {"check-ms", 'C', "N", 0,
     "Time between two checks for jobs that could run and do not; usually 500 "
     "ms, and 100 ms on days with silences",
     0},
    {"restricted", 'g', NULL, 0,
     "Steps have limits of tasks per worker and require kinds or racks of "
     "workers",
     0},
    {"near", 'h', NULL, 0,
     "Reports a start that is sent while an earlier run of its task is at "
     "work or may still begin",
     0},
    {"far-store", 'Y', NULL, 0,
     "The store is 1 to 80 ms away, so that appends overtake each other", 0},
    {0},
};

/* Sets the number or percentage of the faults that the key names; returns
 * false if it names none. */
static bool
parse_faults(int key, unsigned number, struct arguments *arguments)
{
    switch (key) {
    case 'r':
        arguments->shrinks = number;
        break;
    case 'a':
        arguments->restarts = number;
        break;
    case 'z':
        arguments->clock_step_percent = number;
        break;
    case 'l':
        arguments->late_episodes = number;
        break;
    case 'o':
        arguments->cordons = number;
        break;
    case 'k':
        arguments->owner_kills = number;
        break;
    case 'x':
        arguments->owner_losses = number;
        break;
    case 'm':
        arguments->owner_cuts = number;
        break;
    case 'V':
        arguments->voter_restarts = number;
        break;
    case 'R':
        arguments->store_returns = number;
        break;
    case 'A':
        arguments->store_lapses = number;
        break;
    case 'O':
        arguments->long_cuts = number;
        break;
    case 'p':
        arguments->topic_outages = number;
        break;
    case 'i':
        arguments->silences = number;
        break;
    case 'F':
        arguments->owner_freezes = number;
        break;
    case 'e':
        arguments->outages = number;
        break;
    case 'y':
        arguments->late_reports = number;
        break;
    case 'G':
        arguments->held_orders = number;
        break;
    case 'P':
        arguments->slow_vms = number;
        break;
    case 'N':
        arguments->leaving = number;
        break;
    default:
        return false;
    }
    return true;
}

/* Sets the property of the days that the key names; returns false if it names
 * none. */
static bool
parse_flag(int key, struct arguments *arguments)
{
    switch (key) {
    case 'f':
        arguments->stop_at_first = true;
        break;
    case 'E':
        arguments->uneven = true;
        break;
    case 'W':
        arguments->without_slow = true;
        break;
    case 'u':
        arguments->ignores_capacity = true;
        break;
    case 'q':
        arguments->calm = true;
        break;
    case 'b':
        arguments->wide = true;
        break;
    case 'B':
        arguments->busy = true;
        break;
    case 'g':
        arguments->restricted = true;
        break;
    case 'U':
        arguments->unheard_ends = true;
        break;
    case 'L':
        arguments->links_hold = true;
        break;
    case 'h':
        arguments->near = true;
        break;
    case 'Y':
        arguments->far_store = true;
        break;
    case 'T':
        arguments->long_texts = true;
        break;
    case 'M':
        arguments->members_fail = true;
        break;
    default:
        return false;
    }
    return true;
}

static error_t
parse(int key, char *value, struct argp_state *state)
{
    struct arguments *arguments = state->input;
    unsigned number = value != NULL ? (unsigned)strtoul(value, NULL, 10) : 0;

    switch (key) {
    case 's':
        arguments->seed = number;
        break;
    case 'd':
        arguments->days = number;
        break;
    case 'j':
        arguments->threads = number;
        break;
    case 'v':
        arguments->vms = number;
        break;
    case 'w':
        arguments->workers = number;
        break;
    case 'n':
        arguments->jobs = number;
        break;
    case 'c':
        arguments->crashing_percent = number;
        break;
    case 't':
        arguments->tail_percent = number;
        break;
    case 'D':
        arguments->scheduled_percent = MIN(number, PERCENT);
        break;
    case 'S':
        arguments->slow_percent = MIN(number, PERCENT);
        break;
    case 'K':
        arguments->link_ms = number;
        break;
    case 'C':
        arguments->check_ms = number;
        break;
    case ARGP_KEY_ARG:
        if (arguments->command != NULL) {
            argp_usage(state);
        }
        arguments->command = value;
        break;
    case ARGP_KEY_END:
        if (arguments->command == NULL) {
            argp_usage(state);
        }
        break;
    default:
        return parse_faults(key, number, arguments) ||
                       parse_flag(key, arguments)
                   ? 0
                   : ARGP_ERR_UNKNOWN;
    }
    return 0;
}

/* The standard day of a seed, with the changes that the command line
 * requests. */
static struct world_options
options_for_seed(const struct arguments *arguments, unsigned seed)
{
    struct world_options day = world_standard_day(seed);

    day.crashing_percent = arguments->crashing_percent;
    day.tail_percent = arguments->tail_percent;
    day.scheduled_percent = arguments->scheduled_percent;
    day.long_texts = arguments->long_texts;
    if (day.tail_percent > 0) {
        day.quiet_ms *= LONG_TASK_QUIET_FACTOR;
    }
    day.slow_percent = arguments->slow_percent;
    day.uneven = arguments->uneven;
    day.without_slow = arguments->without_slow;
    if (day.slow_percent > 0 || day.uneven) {
        day.quiet_ms *= SLOW_WORKER_QUIET_FACTOR;
    }
    day.shrinks = arguments->shrinks;
    day.restarts = arguments->restarts;
    day.leaving = arguments->leaving;
    day.members_fail = arguments->members_fail;
    day.clock_step_percent = arguments->clock_step_percent;
    day.ignores_capacity = arguments->ignores_capacity;
    day.late_episodes = arguments->late_episodes;
    day.cordons = arguments->cordons;
    day.owner_kills = arguments->owner_kills;
    day.owner_losses = arguments->owner_losses;
    day.owner_cuts = arguments->owner_cuts;
    day.voter_restarts = arguments->voter_restarts;
    day.store_returns = arguments->store_returns;
    day.store_lapses = arguments->store_lapses;
    day.long_cuts = arguments->long_cuts;
    day.topic_outages = arguments->topic_outages;
    day.silences = arguments->silences;
    day.owner_freezes = arguments->owner_freezes;
    day.unheard_ends = arguments->unheard_ends;
    day.outages = arguments->outages;
    day.late_reports = arguments->late_reports;
    day.held_orders = arguments->held_orders;
    day.slow_vms = arguments->slow_vms;
    day.links_hold = arguments->links_hold;
    day.restricted = arguments->restricted;
    day.near = arguments->near;
    day.link_ms = arguments->link_ms;
    day.check_ms = arguments->check_ms;
    day.far_store = arguments->far_store;
    if (day.silences + day.outages + day.owner_cuts + day.owner_freezes +
            day.voter_restarts + day.store_lapses + day.leaving >
        0)
    {
        world_lengthen(&day);
    }
    if (day.store_lapses > 0) {
        day.day_ms += day.store_lapses * LAPSE_MS;
    }
    day.day_ms += day.leaving * LEAVING_MS;
    world_make_room_for_long_cuts(&day);
    if (arguments->calm) {
        day.faults = 0;
    }
    if (arguments->wide) {
        world_widen(&day);
    }
    if (arguments->busy) {
        world_make_busy(&day);
    }
    return day;
}

/* Shared by the threads of a fuzz command. */
struct fuzz_state {
    const struct arguments *arguments;
    unsigned next_day; /* next day to simulate; atomic */
    unsigned violations;
    struct checker_counts counts;
    struct stretch_figures stretch;
    unsigned urgent_starts_on_slow;
    unsigned takeovers;
    pthread_mutex_t lock;
};

static void
add_counts(struct fuzz_state *state, const struct world_result *result)
{
    state->counts.jobs += result->counts.jobs;
    state->counts.accepted += result->counts.accepted;
    state->counts.completed += result->counts.completed;
    state->counts.failed += result->counts.failed;
    state->counts.cancelled += result->counts.cancelled;
    state->counts.lost += result->counts.lost;
    state->counts.refused += result->counts.refused;
    state->counts.crashes += result->counts.crashes;
    state->counts.wrongly_failed += result->counts.wrongly_failed;
    state->counts.starts += result->counts.starts;
    state->counts.long_waits += result->counts.long_waits;
    state->counts.longest_wait_ms =
        MAX(state->counts.longest_wait_ms, result->counts.longest_wait_ms);
    state->counts.unheard_waits += result->counts.unheard_waits;
    state->counts.avoidable_unheard_waits +=
        result->counts.avoidable_unheard_waits;
    stretch_figures_add(&state->stretch, &result->stretch);
    state->urgent_starts_on_slow += result->urgent_starts_on_slow;
    state->takeovers += result->takeovers;
}

static void *
fuzz_thread(void *argument)
{
    struct fuzz_state *state = argument;
    bool show_progress = isatty(STDERR_FILENO) != 0;

    for (;;) {
        unsigned day = ck_pr_faa_uint(&state->next_day, 1);
        struct world_options world =
            options_for_seed(state->arguments, state->arguments->seed + day);
        struct world_result result;

        if (day >= state->arguments->days ||
            (state->arguments->stop_at_first &&
             ck_pr_load_uint(&state->violations) > 0))
        {
            return NULL;
        }
        world_run(&world, &result);
        pthread_mutex_lock(&state->lock);
        add_counts(state, &result);
        if (result.violation != NULL) {
            ck_pr_inc_uint(&state->violations);
            printf("seed %u: %s\n  faults: %s\n", world.seed, result.violation,
                   result.faults);
            fflush(stdout);
        }
        if (show_progress && day % PROGRESS_INTERVAL_DAYS == 0) {
            fprintf(stderr, "\r%u days", day);
        }
        pthread_mutex_unlock(&state->lock);
        g_free(result.violation);
        g_free(result.faults);
    }
}

static int
fuzz(const struct arguments *arguments)
{
    struct fuzz_state state = {.arguments = arguments,
                               .lock = PTHREAD_MUTEX_INITIALIZER};
    pthread_t *threads = g_new0(pthread_t, arguments->threads);

    for (unsigned i = 0; i < arguments->threads; i++) {
        if (pthread_create(&threads[i], NULL, fuzz_thread, &state) != 0) {
            fprintf(stderr, "curlewcart-emulator: cannot create a thread\n");
            exit(EXIT_USAGE);
        }
    }
    for (unsigned i = 0; i < arguments->threads; i++) {
        pthread_join(threads[i], NULL);
    }
    g_free(threads);
    printf(
        "%u days from seed %u: %u violations; %u jobs, %u accepted, %u "
        "completed, %u failed, %u cancelled, %u lost, %u refused, %u starts, "
        "%u takeovers, %u crashes, %u innocent jobs given up, %u waits of 1 s "
        "or more beside free capacity, the longest %u ms; %u of 3 s for ends "
        "that nobody heard, %u of them avoidable; %u urgent jobs done, mean "
        "stretch %.3f, %.1f%% over 1.5, %u urgent tasks started on slow "
        "workers from 5 s on\n",
        arguments->days, arguments->seed, state.violations, state.counts.jobs,
        state.counts.accepted, state.counts.completed, state.counts.failed,
        state.counts.cancelled, state.counts.lost, state.counts.refused,
        state.counts.starts, state.takeovers, state.counts.crashes,
        state.counts.wrongly_failed, state.counts.long_waits,
        state.counts.longest_wait_ms, state.counts.unheard_waits,
        state.counts.avoidable_unheard_waits, state.stretch.jobs,
        state.stretch.total / MAX(1, state.stretch.jobs),
        (double)state.stretch.over_limit * PERCENT /
            MAX(1, state.stretch.jobs),
        state.urgent_starts_on_slow);
    return state.violations > 0 ? EXIT_VIOLATION : 0;
}

static int
replay(const struct arguments *arguments)
{
    struct world_options world = options_for_seed(arguments, arguments->seed);
    struct world_result result;
    int status = 0;

    world.trace = true;
    setvbuf(stdout, NULL, _IOLBF, 0); /* in order with the log */
    cw_log_set_level("info");
    world_run(&world, &result);
    printf("seed %u: %s\n", world.seed,
           result.violation != NULL ? result.violation : "no violation");
    status = result.violation != NULL ? EXIT_VIOLATION : 0;
    g_free(result.violation);
    g_free(result.faults);
    return status;
}

static double
wall_s(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / CW_NS_PER_S;
}

/* Simulates one day of any size without faults and prints the processor time
 * that the scheduler's code uses. */
static int
run_size(const struct arguments *arguments)
{
    struct world_options world = world_standard_day(arguments->seed);
    struct world_result result;
    double started_s = wall_s();
    double day_s;
    double took_s;
    int status;

    world.faults = 0;
    world.vms = arguments->vms;
    world.workers = arguments->workers;
    world.jobs = arguments->jobs;
    world_run(&world, &result);
    took_s = wall_s() - started_s;
    day_s = (double)(world.day_ms + world.quiet_ms) / CW_MS_PER_S;
    printf("vms=%u workers=%u jobs=%u completed=%u starts=%u "
           "busiest_percent=%.2f others_percent=%.3f times_its_clock=%.1f "
           "resident_mb=%.0f violation=%s\n",
           world.vms, world.workers, world.jobs, result.counts.completed,
           result.counts.starts, result.busiest_vm_cpu_s * PERCENT / day_s,
           (result.all_vms_cpu_s - result.busiest_vm_cpu_s) * PERCENT / day_s /
               MAX(1, world.vms - 1),
           day_s / took_s, cw_process_resident_bytes() / 1e6,
           result.violation != NULL ? result.violation : "none");
    status = result.violation != NULL ? EXIT_VIOLATION : 0;
    g_free(result.violation);
    g_free(result.faults);
    return status;
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {options,
                                     parse,
                                     "fuzz|replay|size",
                                     "Simulates days of a deployment under "
                                     "faults and checks its guarantees.",
                                     NULL,
                                     NULL,
                                     NULL};
    struct arguments arguments = {
        .seed = 1,
        .days = DEFAULT_DAYS,
        .threads = DEFAULT_THREADS,
        .vms = DEFAULT_VMS,
        .workers = DEFAULT_WORKERS,
        .jobs = DEFAULT_JOBS,
    };

    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    cw_log_setup("error", "emulator");
    if (strcmp(arguments.command, "fuzz") == 0) {
        return fuzz(&arguments);
    }
    if (strcmp(arguments.command, "replay") == 0) {
        return replay(&arguments);
    }
    if (strcmp(arguments.command, "size") == 0) {
        return run_size(&arguments);
    }
    fprintf(stderr, "curlewcart-emulator: unknown command \"%s\"\n",
            arguments.command);
    return EXIT_USAGE;
}
