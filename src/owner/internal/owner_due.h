/* Binary heap of the workers by the time when the owner has to process them
 * next.
 *
 * The owner is called after every answer that it receives.  Walking all
 * workers each time took more than a tenth of its processor time at 400
 * workers; the cost grows with the number of workers times that of answers.
 */
#ifndef CURLEWCART_OWNER_DUE_H
#define CURLEWCART_OWNER_DUE_H

#include <time.h>
#include <glib.h>

struct owner_due;

/* Embed in each element of the heap, initialised to zero. */
struct owner_due_entry {
    struct timespec at;
    guint position; /* in the heap, from 1; 0: not in the heap */
};

/* Creates an empty heap. */
struct owner_due *owner_due_create(void);

/* Frees the heap; the entries belong to the caller. */
void owner_due_free(struct owner_due *due);

/* Removes all entries. */
void owner_due_clear(struct owner_due *due);

/* Inserts the entry with time `at`, or moves it forward to `at`; an entry that
 * is due earlier stays as it is. */
void owner_due_schedule(struct owner_due *due, struct owner_due_entry *entry,
                        struct timespec at);

/* Removes and returns the entry that is due first if it is due at `now`; else
 * returns NULL. */
struct owner_due_entry *
owner_due_pop(struct owner_due *due, struct timespec now);

/* Time when the first entry is due; far in the future if there is none. */
struct timespec owner_due_next(const struct owner_due *due);

#endif
