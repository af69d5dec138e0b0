/* Numbered result codes, shared by the API, the logs and the counters.
 *
 * A code never changes its number or meaning once released.  Ranges:
 *   0        success
 *   1-99     errors of a call inside the program or of its settings
 *   100-199  refusals: the request did not run and will not run, or (see
 *            cw_refusal_is_final) this VM cannot accept it now
 *   200-299  reasons for a retry inside the system
 *   300-399  input that was dropped and counted, without effect
 *   400-499  reasons for the outcome of a request that was accepted
 * docs/RESULT_CODES.md lists the codes for operators.
 */
#ifndef CURLEWCART_CW_RESULT_H
#define CURLEWCART_CW_RESULT_H

#include <stdbool.h>
#include <stddef.h>

/* X(symbol, number, short name, text for people) */
#define CW_RESULT_TABLE(X)                                                    \
    X(OK, 0, "ok", "done")                                                    \
    X(E_MEMORY, 1, "no_memory", "out of memory")                              \
    X(E_IO, 2, "io_error", "input or output failed")                          \
    X(E_SETTINGS, 3, "bad_settings", "the settings are not valid")            \
    X(E_NOT_FOUND, 4, "not_found", "there is no such thing")                  \
    X(E_DECODE, 5, "undecodable", "the bytes could not be decoded")           \
    X(E_FULL, 6, "full", "a bounded queue or table is full")                  \
    X(E_DENIED, 7, "denied", "the identity may not do this")                  \
    X(E_BUSY, 8, "in_progress", "it has begun and is not done yet")           \
    X(REF_MALFORMED, 100, "malformed", "the request is not valid")            \
    X(REF_TOO_LARGE, 101, "too_large", "the request is too large")            \
    X(REF_ACCOUNT, 102, "unknown_account", "no such client account")          \
    X(REF_TOKEN, 103, "bad_token", "the token is not the account's")          \
    X(REF_ID_REUSED, 104, "id_reused", "the id was used for another request") \
    X(REF_GANG, 105, "gang_never_fits",                                       \
      "no permitted data centre has that many accelerators")                  \
    X(REF_WORKER, 106, "worker_never_fits",                                   \
      "no worker has the cores, memory or accelerators asked for")            \
    X(REF_RACK, 107, "rack_never_fits", "no rack has that many accelerators") \
    X(REF_NO_DC, 108, "no_permitted_dc",                                      \
      "the account's data may not live in any centre that was named")         \
    X(REF_DEADLINE, 109, "deadline", "the deadline cannot be met")            \
    X(REF_QUEUE, 110, "queue_full", "too much work is waiting")               \
    X(REF_ACCOUNT_LIMIT, 111, "account_limit",                                \
      "the account has as much waiting work as it may")                       \
    X(REF_LOG_AWAY, 112, "log_away",                                          \
      "the store does not take it now; nothing was done")                     \
    X(REF_NO_BUNDLE, 114, "no_bundle", "no configuration is in force yet")    \
    X(REF_LEAVING, 115, "leaving", "this VM is leaving")                      \
    X(REF_NOT_PERMITTED, 116, "not_permitted_now",                            \
      "a newer configuration forbids the place")                              \
    X(REF_NO_LEDGER, 117, "no_ledger",                                        \
      "this VM does not know yet what has run")                               \
    X(REF_GATE, 120, "gate_full", "this VM holds as many requests as it may") \
    X(REF_UNSURE, 121, "unsure",                                              \
      "the store gave no answer: it may be taken; send it again")             \
    X(RETRY_REFUSED, 200, "worker_refused", "a worker refused a reservation") \
    X(RETRY_SILENT, 202, "worker_silent", "a worker stopped answering")       \
    X(RETRY_FAILED, 203, "task_failed", "the task failed")                    \
    X(RETRY_APPEND, 207, "append_again", "an append was sent again")          \
    X(RETRY_MOVED, 209, "moved", "the configuration moved the work")          \
    X(RETRY_CORDONED, 210, "cordoned", "its data centre takes no new work")   \
    X(DROP_ATTEMPT, 301, "old_attempt", "an answer of an old attempt")        \
    X(DROP_BUNDLE, 308, "bundle_rejected", "a bundle record was not valid")   \
    X(DROP_CONFLICT, 309, "bundle_conflict",                                  \
      "another bundle with that number came first")                           \
    X(DROP_REPORT, 310, "report_invalid", "an entry that names no worker")    \
    X(END_DONE, 400, "done", "it ran to its end")                             \
    X(END_FAILED, 401, "failed", "it ran and failed")                         \
    X(END_RETRIES, 402, "retries_spent", "every attempt failed")              \
    X(END_CANCELLED, 403, "cancelled", "its caller cancelled it")             \
    X(END_WORKER_LOST, 404, "worker_lost",                                    \
      "its worker vanished; it may have run")                                 \
    X(END_PARTIAL, 405, "gang_broken",                                        \
      "a member vanished while the gang started or ran; all were stopped")    \
    X(END_MOVED, 406, "stopped_by_configuration",                             \
      "a newer configuration forbids the place; it was stopped")              \
    X(END_CRASHES, 407, "workers_crashed",                                    \
      "one worker after the other crashed under a task of it")                \
    X(END_TOO_LARGE, 408, "state_too_large",                                  \
      "its state does not fit into a record of the store")

enum cw_result {
#define CW_RESULT_SYMBOL(symbol, number, name, text) CW_##symbol = (number),
    CW_RESULT_TABLE(CW_RESULT_SYMBOL)
#undef CW_RESULT_SYMBOL
};

/* A row of the table. */
struct cw_result_info {
    enum cw_result code;
    const char *name;
    const char *text;
};

/* Number of rows in the table. */
size_t cw_result_count(void);

/* Row at `index`, 0 <= index < cw_result_count().  Borrowed, static. */
const struct cw_result_info *cw_result_at(size_t index);

/* Index of `code` in the table, or -1 if there is no such code. */
int cw_result_index(unsigned code);

/* Short name of `code`; "unknown" if there is none.  Borrowed, static. */
const char *cw_result_name(unsigned code);

/* True if a refusal with this code means that the request did not run and will
 * not run.  Other refusals mean only that this VM did not accept the request
 * now: another VM may have a copy of it. */
bool cw_refusal_is_final(unsigned code);

/* Text of `code` for people; "unknown code" if there is none.  Borrowed,
 * static. */
const char *cw_result_text(unsigned code);

#endif
