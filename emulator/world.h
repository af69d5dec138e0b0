/* Simulates a deployment in one process under one virtual clock: models of the
 * store and of the workers, VMs that run the product's own code, and a network
 * between them with delays, losses and partitions.  The same seed gives the
 * same day. */
#ifndef CURLEWCART_EMULATOR_WORLD_H
#define CURLEWCART_EMULATOR_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "emulator/checker.h"

struct world_options {
    uint32_t seed;
    unsigned vms;
    unsigned strong; /* VMs with four times the processor of the others; 0: all
                        alike */
    unsigned workers;
    unsigned jobs;             /* submitted over the day */
    unsigned day_ms;           /* in which jobs come and faults occur */
    unsigned quiet_ms;         /* after it, in which all jobs have to end */
    unsigned faults;           /* at most */
    unsigned crashing_percent; /* jobs that crash workers */
    unsigned tail_percent;     /* tasks that are long */
    unsigned shrinks;  /* times that a worker's capacity shrinks for a while */
    unsigned restarts; /* times that workers crash and restart under their
                          ids */
    bool ignores_capacity;  /* workers start what exceeds their capacity */
    unsigned late_episodes; /* times that some workers answer late, or reset
                               connections, as overloaded machines do */
    bool reads_commands; /* VMs read operator commands, also if there are none;
                            else only with cordons, so that the days of
                            existing seeds stay as they are */
    unsigned cordons;    /* times that an operator closes a data centre to new
                            work for a while */
    unsigned owner_kills;  /* times that workers crash and the VM that owns the
                              jobs is killed soon after */
    unsigned owner_losses; /* the same, with a VM that stays down for long */
    bool wide;  /* jobs and gangs larger than a rack, and many tasks in a
                   job */
    bool trace; /* prints faults, starts and answers with their time */
};

struct world_result {
    char *violation; /* or NULL; owned by the caller */
    char *faults;    /* the faults that occurred; owned by the caller */
    struct checker_counts counts;
    unsigned takeovers;
    double busiest_vm_cpu_s; /* processor time of the product's code in the
                                busiest VM */
    double all_vms_cpu_s;    /* ... in all VMs */
};

/* The standard day: small, so that faults coincide.  In one of four, VMs have
 * unequal processors. */
struct world_options world_standard_day(uint32_t seed);

/* Adds wide jobs, enough workers for them, and so many jobs that the service
 * is full for much of the day. */
void world_widen(struct world_options *day);

/* Simulates a day. */
void
world_run(const struct world_options *options, struct world_result *result);

#endif
