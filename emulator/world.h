/* Simulates a deployment in one process under one virtual clock: models of the
 * store and of the workers, VMs that run the scheduler's own code, and a
 * network between them with delays, losses and partitions.  A day is one run
 * of the simulation; the same seed gives the same day. */
#ifndef CURLEWCART_EMULATOR_WORLD_H
#define CURLEWCART_EMULATOR_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "emulator/checker.h"
#include "emulator/stretch.h"

struct world_options {
    uint32_t seed;
    unsigned vms;
    unsigned strong_vms; /* number of VMs with four times the processor of the
                        others; 0: all VMs have the same */
    unsigned workers;
    unsigned jobs;     /* submitted over the day */
    unsigned day_ms;   /* time in which jobs are submitted and faults occur */
    unsigned quiet_ms; /* time after day_ms in which all jobs have to end */
    unsigned faults;   /* maximum number */
    unsigned crashing_percent; /* percentage of jobs that crash workers */
    unsigned tail_percent;     /* percentage of tasks that are long */
    unsigned
        scheduled_percent; /* percentage of jobs that are due many times */
    bool long_texts; /* checkpoints of some jobs are thousands of bytes long,
                        or longer than a record of the store */
    unsigned slow_percent; /* percentage of workers that become slow at once,
                              and recover */
    bool uneven;           /* workers have unequal lasting speeds */
    bool without_slow;     /* the workers that would become slow are absent all
                              day instead */
    unsigned shrinks; /* number of times that a worker's capacity shrinks for a
                         while */
    unsigned restarts; /* number of times that workers crash and restart under
                          their ids */
    unsigned leaving;  /* number of times that workers drain, shut down and are
                          replaced at their addresses */
    bool members_fail; /* several members of a gang may fail in one run */
    unsigned clock_step_percent; /* percentage of restarts under an id before
                                    which the worker's wall clock is set, often
                                    back */
    bool ignores_capacity; /* workers start tasks that exceed their capacity */
    unsigned late_episodes; /* times that some workers answer late, or reset
                               connections, as overloaded machines do */
    bool reads_commands; /* VMs read operator commands, also if there are none;
                            otherwise only with cordons, so that the days of
                            existing seeds do not change */
    unsigned cordons; /* number of times that an operator closes a data centre
                         to new work for a while */
    unsigned owner_kills; /* number of times that workers crash and the VM that
                             owns the jobs is killed soon after */
    unsigned owner_losses; /* as owner_kills, but the VM stays down for long */
    unsigned owner_cuts;   /* number of times that the VM that owns the jobs is
                              disconnected, with some workers that only it
                              reaches then */
    unsigned voter_restarts; /* as owner_cuts, but all VMs reach each other,
                                and those that decide nothing start again */
    unsigned store_returns;  /* number of times that the store is unavailable,
                                the VM that owns the jobs is disconnected, and
                                other VMs restart as the store returns */
    unsigned store_lapses;   /* number of times that the store is unavailable
                                and entries of workers that are up expire */
    unsigned long_cuts; /* number of times that VMs are cut off for longer than
                           ended jobs are retained, and history is dropped */
    unsigned topic_outages; /* number of times that one topic of the store is
                               unavailable to all VMs for a while */
    unsigned silences; /* number of times that some workers do not answer for
                          9 s, while their runs go on; also after day_ms */
    unsigned owner_freezes; /* as silences, and the VM that owns the jobs
                               freezes soon after, for as long */
    bool unheard_ends; /* a step that waits for ends that nobody has heard is a
                          violation if the best possible owner starts it in
                          time */
    unsigned outages;  /* as silences, but the workers crash, and restart after
                          9 s */
    unsigned late_reports; /* number of times that reports of some workers are
                              stored seconds late: of workers that crash and
                              restart, or whose reports stop to arrive */
    unsigned held_orders;  /* number of times that orders of some workers are
                              held up for seconds, beside refused starts */
    unsigned slow_vms; /* number of times that the VM that owns the jobs, the
                          others, or all compute slowly for a while */
    bool links_hold;   /* some of these orders are held up by links, and may
                          reach the next incarnation of their worker */
    bool lasting;      /* jobs of many steps or of long tasks, which go on
                          after day_ms */
    bool restricted;   /* steps have limits of tasks per worker and require
                          labels; workers are of two kinds */
    bool near; /* a start is a violation while an earlier run of its task is at
                  work or may still begin */
    bool wide; /* jobs and gangs larger than a rack, and many tasks in a
                  job */
    bool busy; /* racks of twelve workers, kept busy by urgent work, and gangs
                  of lower priority that ask for one rack */
    unsigned link_ms; /* delay between data centres, one way, besides the usual
                         delays; within one, a quarter of it */
    unsigned check_ms; /* time between two checks for jobs that could run; 0:
                          the usual one, 500 ms or 100 ms */
    bool trace;        /* print faults, starts and answers with their times */
    bool far_store;    /* the store is tens of milliseconds away */
};

struct world_result {
    char *violation; /* or NULL; owned by the caller */
    char *faults;    /* the faults that occurred; owned by the caller */
    struct checker_counts counts;
    struct stretch_figures stretch; /* of urgent jobs */
    unsigned urgent_starts_on_slow; /* some time after workers became slow */
    unsigned takeovers;
    double busiest_vm_cpu_s; /* processor time of the scheduler's code in the
                                busiest VM */
    double all_vms_cpu_s;    /* total of all VMs */
};

/* The standard day of a seed: small, so that faults coincide.  On one of four
 * standard days, VMs have unequal processors. */
struct world_options world_standard_day(uint32_t seed);

/* Adds wide jobs, enough workers for them, and enough jobs to keep the service
 * full for much of the day. */
void world_widen(struct world_options *day);

/* Makes the day busy: larger racks, and enough urgent jobs to use most of
 * them, beside gangs of lower priority. */
void world_make_busy(struct world_options *day);

/* Lengthens the day for its long cuts, and adds jobs. */
void world_make_room_for_long_cuts(struct world_options *day);

/* Adds lasting jobs, workers for them, and time for them to end. */
void world_lengthen(struct world_options *day);

/* Simulates a day. */
void
world_run(const struct world_options *options, struct world_result *result);

#endif
