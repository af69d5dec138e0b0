/* Stretch of urgent jobs: the time from their acceptance to their end, against
 * their length on a typical worker. */
#ifndef CURLEWCART_EMULATOR_STRETCH_H
#define CURLEWCART_EMULATOR_STRETCH_H

#include "emulator/checker.h"

struct stretch_figures {
    unsigned jobs;
    unsigned over_limit; /* those above the stretch that callers accept */
    double total;        /* sum of the jobs' stretches */
};

/* Adds the urgent jobs that are done.  Jobs whose plan is to fail or to crash
 * workers are left out: their stretch depends on retries. */
void stretch_figures_collect(struct stretch_figures *figures,
                             struct checker *checker);

/* Adds the figures of another day. */
void stretch_figures_add(struct stretch_figures *figures,
                         const struct stretch_figures *other);

#endif
