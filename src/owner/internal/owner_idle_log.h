/* Log lines about idle jobs. */
#ifndef CURLEWCART_OWNER_IDLE_LOG_H
#define CURLEWCART_OWNER_IDLE_LOG_H

#include "owner/internal/owner_private.h"
#include "owner/internal/owner_spare.h"

/* An unblocked step, of a job that has no run, or with an endless task that
 * has none. */
struct owner_waiting {
    struct owner_step *step;
    int64_t waited_ms;
    bool too_long;
};

/* Workers of a service, their capacity, and the part of it that runs use as
 * reported. */
struct owner_service_load {
    struct cw_resources capacity;
    struct cw_resources used;
    unsigned workers;
    unsigned silent;
    unsigned draining;
};

/* Logs a job that could run according to the workers' confirmations. */
void
owner_idle_log_waits(struct cw_owner *owner,
                     const struct owner_waiting *waiting,
                     const struct owner_spare_fit *fit, struct timespec now);

/* Logs a job for which the workers' confirmations show no free capacity.
 * `jobs`: how many there are of these now. */
void owner_idle_log_full(struct cw_owner *owner,
                         const struct owner_waiting *waiting,
                         const struct owner_spare_fit *fit,
                         const struct owner_service_load *load, unsigned jobs,
                         struct timespec now);

/* Logs a job of which nothing has run since the takeover, and its inherited
 * runs, whose workers have not answered this owner. */
void
owner_idle_log_inherited(struct cw_owner *owner, const struct owner_job *job,
                         const GPtrArray *inherited, struct timespec now);

/* Logs an urgent job that has not begun. */
void owner_idle_log_urgent(const struct cw_owner *owner,
                           const struct owner_waiting *waiting,
                           struct timespec now);

/* Logs a job whose idle time of more than 3 s ends now. */
void owner_idle_log_resumed(const struct owner_job *job, struct timespec now);

#endif
