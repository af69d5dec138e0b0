/* Workers by when the owner wants to attend to them next: a binary heap.
 *
 * An owner is called after every answer that it gets.  Walking all workers
 * then took more than a tenth of its processor time at 400 workers, and grows
 * with their number times that of the answers.
 */
#ifndef CURLEWCART_OWNER_DUE_H
#define CURLEWCART_OWNER_DUE_H

#include <time.h>
#include <glib.h>

struct owner_due;

/* Embed one in what is kept in the heap; zeroed at first. */
struct owner_due_entry {
    struct timespec at;
    guint position; /* in the heap, from 1; 0: not in it */
};

struct owner_due *owner_due_create(void);
void owner_due_free(struct owner_due *due);

/* Takes all entries out. */
void owner_due_clear(struct owner_due *due);

/* The entry is due at `at`, or earlier if it is already. */
void owner_due_schedule(struct owner_due *due, struct owner_due_entry *entry,
                        struct timespec at);

/* Takes out the entry that is due first, if it is due now; else NULL. */
struct owner_due_entry *
owner_due_pop(struct owner_due *due, struct timespec now);

/* When the first entry is due; far away if there is none. */
struct timespec owner_due_next(const struct owner_due *due);

#endif
