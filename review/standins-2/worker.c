/* Stand-in for one worker of the platform, as PROTOCOL.md describes it.
 *
 * usage: worker ID SERVICE STORE [NAME=NUMBER ...]     (STORE: HOST:PORT)
 *
 * It registers itself in the store, takes /run-start, /run-stop and /hold, and
 * prints what it receives, answers and runs, one event a line, with the
 * milliseconds of the wall clock.  Commands come on standard input, a line
 * each:
 *   hang MS    answer and carry out nothing for so long
 *   drain MS   report "draining", with remaining_ms
 *   leave      leave: what runs ends, the entry is removed
 *   mute MS    write no reports for so long
 * Options: work=MS of each task (1000), room=N tasks at a time (1), label=TEXT,
 * hang_on_start=MS (from the first start that is received on), drain_on_start=MS
 * (so long after that start), remaining=MS, stop=MS that a stop takes (100), port=N to listen at (any),
 * fail=N: the first N runs end as failed.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
    TASKS_MAX = 4096,
    TEXT_MAX = 64 * 1024,
    TICK_MS = 5,
    REPORT_INTERVAL_MS = 1500,
    LISTED_MAX = 500,
    LEASE_MAX_MS = 6000,
};

enum phase { RUNS, STOPPING, ENDED };

struct task {
    char name[96];
    long run;
    enum phase phase;
    int64_t begun;
    int64_t stop_at;
    long number; /* of its end */
    const char *how;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct task tasks[TASKS_MAX];
static int task_count;
static long last_number;
static long acked;
static long fence;
static int64_t until_ms; /* the lease, on the worker's clock */
static const char *id;
static const char *service;
static struct sockaddr_in store;
static int port;
static long sequence;
static bool draining;
static bool started_once;
static int64_t hang_until;
static int64_t drain_at;
static int64_t mute_until;
static long work_ms = 1000, room = 1, hang_on_start, drain_on_start = -1,
            remaining_ms = 4000, stop_ms = 100,
            listen_port, fail_count;
static const char *label = "a";

static int64_t
now_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_BOOTTIME, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t
wall_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_REALTIME, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* The worker's own clock. */
static int64_t
clock_ms(void)
{
    return now_ms() + 100000;
}

static void
say(const char *event, const char *format, ...)
{
    char text[1024];
    __builtin_va_list arguments;

    __builtin_va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    __builtin_va_end(arguments);
    printf("%lld worker=%s %s %s\n", (long long)wall_ms(), id, event, text);
    fflush(stdout);
}

/* ---- the store ---- */

static bool
send_all(int fd, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);

        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        length -= (size_t)sent;
    }
    return true;
}

/* Appends the worker's entry, or removes it; true if the store has taken it. */
static bool
write_entry(bool remove)
{
    char value[1024] = "";
    char record[2048];
    char request[4096];
    char answer[256] = "";
    size_t key = strlen(id);
    size_t length;
    int head;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct timeval limit = {.tv_sec = 2};

    pthread_mutex_lock(&lock);
    if (!remove) {
        char left[64] = "";

        if (draining) {
            snprintf(left, sizeof(left), "\"remaining_ms\":%ld,",
                     remaining_ms);
        }
        snprintf(value, sizeof(value),
                 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":"
                 "\"z\",\"version\":\"1\",\"slots\":8,\"state\":\"%s\",%s"
                 "\"seq\":%ld,\"clock_ms\":%lld,\"capacity\":{\"cpu\":32000,"
                 "\"mem_mb\":131072,\"gpus\":8},\"labels\":[\"%s\",\"z-r1\"]}",
                 service, port, draining ? "draining" : "ready", left,
                 ++sequence, (long long)clock_ms(), label);
    }
    pthread_mutex_unlock(&lock);
    length = 1 + key + strlen(value);
    record[0] = (char)(length >> 24);
    record[1] = (char)(length >> 16);
    record[2] = (char)(length >> 8);
    record[3] = (char)length;
    record[4] = (char)key;
    memcpy(record + 5, id, key);
    memcpy(record + 5 + key, value, strlen(value));
    length += 4;
    head = snprintf(request, sizeof(request),
                    "POST /log-append?topic=keyed.servers&part=0 HTTP/1.1\r\n"
                    "Host: store\r\nConnection: close\r\n"
                    "Content-Type: application/octet-stream\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    length);
    memcpy(request + head, record, length);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&store, sizeof(store)) == 0 &&
        send_all(fd, request, (size_t)head + length))
    {
        (void)!recv(fd, answer, sizeof(answer) - 1, 0);
    }
    close(fd);
    return strstr(answer, " 200 ") != NULL;
}

/* ---- runs; with the lock held ---- */

static struct task *
find(const char *name, long run)
{
    for (int i = 0; i < task_count; i++) {
        if (tasks[i].run == run && strcmp(tasks[i].name, name) == 0) {
            return &tasks[i];
        }
    }
    return NULL;
}

static long
highest_run(const char *name)
{
    long highest = 0;

    for (int i = 0; i < task_count; i++) {
        if (strcmp(tasks[i].name, name) == 0 && tasks[i].run > highest) {
            highest = tasks[i].run;
        }
    }
    return highest;
}

static int
running_count(void)
{
    int count = 0;

    for (int i = 0; i < task_count; i++) {
        count += tasks[i].phase != ENDED;
    }
    return count;
}

static void
end_run(struct task *task, const char *how)
{
    task->phase = ENDED;
    task->how = how;
    task->number = ++last_number;
    say("ended", "task=%s run=%ld how=%s number=%ld", task->name, task->run,
        how, task->number);
}

static void
advance(void)
{
    int64_t now = now_ms();
    bool lapsed = clock_ms() >= until_ms;

    for (int i = 0; i < task_count; i++) {
        struct task *task = &tasks[i];

        if (task->phase == ENDED) {
            continue;
        }
        if (lapsed) {
            end_run(task, "lapsed");
        }
        else if (task->phase == STOPPING && now >= task->stop_at) {
            end_run(task, "stopped");
        }
        else if (task->phase == RUNS && now >= task->begun + work_ms) {
            end_run(task, fail_count > 0 ? "failed" : "done");
            fail_count -= fail_count > 0;
        }
    }
}

static void
extend(long to)
{
    int64_t most = clock_ms() + LEASE_MAX_MS;

    if (to > most) {
        to = (long)most;
    }
    if (to > until_ms) {
        until_ms = to;
    }
}

/* ---- requests ---- */

static long
number_of(const char *body, const char *name)
{
    char key[64];
    const char *at;

    snprintf(key, sizeof(key), "\"%s\":", name);
    at = strstr(body, key);
    return at != NULL ? strtol(at + strlen(key), NULL, 10) : 0;
}

static void
text_of(const char *body, const char *name, char *out, size_t size)
{
    char key[64];
    const char *at;
    size_t i = 0;

    snprintf(key, sizeof(key), "\"%s\":\"", name);
    at = strstr(body, key);
    if (at != NULL) {
        for (at += strlen(key); *at != '"' && *at != '\0' && i + 1 < size;) {
            out[i++] = *at++;
        }
    }
    out[i] = '\0';
}

static int
refuse(char *out, const char *reason)
{
    sprintf(out, "{\"clock_ms\":%lld,\"reason\":\"%s\"}",
            (long long)clock_ms(), reason);
    return 409;
}

static int
run_start(const char *body, char *out)
{
    char name[96];
    long run = number_of(body, "run");
    struct task *task;

    text_of(body, "task", name, sizeof(name));
    if (number_of(body, "fence_token") < fence) {
        return refuse(out, "fence");
    }
    fence = number_of(body, "fence_token");
    task = find(name, run);
    if (task == NULL || task->phase == ENDED) {
        if (run <= highest_run(name)) {
            extend(number_of(body, "until_ms"));
            return refuse(out, "old");
        }
        if (number_of(body, "until_ms") <= clock_ms() &&
            until_ms <= clock_ms()) {
            return refuse(out, "late");
        }
        extend(number_of(body, "until_ms"));
        if (running_count() >= room || task_count == TASKS_MAX) {
            return refuse(out, "room");
        }
        task = &tasks[task_count++];
        snprintf(task->name, sizeof(task->name), "%s", name);
        task->run = run;
        task->phase = RUNS;
        task->begun = now_ms();
        say("started", "task=%s run=%ld fence=%ld", name, run, fence);
    }
    sprintf(out, "{\"clock_ms\":%lld}", (long long)clock_ms());
    return 200;
}

static int
run_stop(const char *body, char *out)
{
    char name[96];
    long run = number_of(body, "run");
    struct task *task;

    text_of(body, "task", name, sizeof(name));
    if (number_of(body, "fence_token") < fence) {
        return refuse(out, "fence");
    }
    fence = number_of(body, "fence_token");
    task = find(name, run);
    if (task != NULL && task->phase == RUNS) {
        task->phase = STOPPING;
        task->stop_at = now_ms() + stop_ms;
    }
    else if (task == NULL && task_count < TASKS_MAX) {
        /* A run that is not there yet is rejected from now on. */
        task = &tasks[task_count++];
        snprintf(task->name, sizeof(task->name), "%s", name);
        task->run = run;
        task->phase = ENDED;
        task->number = 0; /* never listed */
    }
    sprintf(out, "{\"clock_ms\":%lld}", (long long)clock_ms());
    return 200;
}

/* True if there is an end that was not acknowledged. */
static int
list(char *out)
{
    char *at = out;
    int ends = 0;

    at += sprintf(at, "{\"clock_ms\":%lld,\"running\":[",
                  (long long)clock_ms());
    for (int i = 0, n = 0; i < task_count; i++) {
        if (tasks[i].phase != ENDED) {
            at += sprintf(at, "%s[\"%s\",%ld,\"\",%lld,0]", n++ ? "," : "",
                          tasks[i].name, tasks[i].run,
                          (long long)((now_ms() - tasks[i].begun) * 100 /
                                      (work_ms + 1)));
        }
    }
    at += sprintf(at, "],\"ended\":[");
    for (long number = acked + 1;
         number <= last_number && ends < LISTED_MAX; number++) {
        for (int i = 0; i < task_count; i++) {
            if (tasks[i].phase == ENDED && tasks[i].number == number) {
                at += sprintf(at, "%s[%ld,\"%s\",%ld,\"%s\",\"\"]",
                              ends++ ? "," : "", number, tasks[i].name,
                              tasks[i].run, tasks[i].how);
            }
        }
    }
    sprintf(at, "]}");
    return ends;
}

static int
hold(const char *body, char *out)
{
    int64_t deadline = now_ms() + number_of(body, "wait_ms");

    if (number_of(body, "fence_token") < fence) {
        return refuse(out, "fence");
    }
    fence = number_of(body, "fence_token");
    advance();
    extend(number_of(body, "until_ms"));
    if (number_of(body, "acked_offset") > acked) {
        acked = number_of(body, "acked_offset");
        say("acked", "up_to=%ld", acked);
    }
    while (list(out) == 0 && now_ms() < deadline && now_ms() >= hang_until) {
        pthread_mutex_unlock(&lock);
        usleep(TICK_MS * 1000);
        pthread_mutex_lock(&lock);
        advance();
    }
    return 200;
}

static void
first_start(void)
{
    if (!started_once) {
        started_once = true;
        if (hang_on_start > 0) {
            hang_until = now_ms() + hang_on_start;
            say("hangs", "for_ms=%ld", hang_on_start);
        }
        if (drain_on_start >= 0) {
            drain_at = now_ms() + drain_on_start;
        }
    }
}

/* Waits, without the lock, until the worker hangs no more; false if it did. */
static bool
is_awake(void)
{
    bool hung = false;

    while (now_ms() < hang_until) {
        hung = true;
        pthread_mutex_unlock(&lock);
        usleep(TICK_MS * 1000);
        pthread_mutex_lock(&lock);
    }
    return !hung;
}

/* Handles one request; false if the connection has to be closed. */
static bool
handle(int fd, char *request, size_t head, size_t length)
{
    static const char instance[] = "X-Expect-Instance: ";
    char *body = request + head;
    char *out = malloc(TEXT_MAX * 4);
    char line[160];
    char task[96];
    char expected[256] = "";
    const char *at = strcasestr(request, instance);
    int status = 404;
    bool ok;

    body[length] = '\0';
    if (at != NULL && at < body) {
        sscanf(at + strlen(instance), "%255[^\r\n]", expected);
    }
    text_of(body, "task", task, sizeof(task));
    strcpy(out, "{}");
    pthread_mutex_lock(&lock);
    if (strncmp(request, "POST /run-start", 15) == 0) {
        say("got", "start task=%s run=%ld fence=%ld", task,
            number_of(body, "run"), number_of(body, "fence_token"));
        first_start();
    }
    if (!is_awake()) {
        pthread_mutex_unlock(&lock);
        free(out);
        return false; /* neither answered nor carried out */
    }
    advance();
    if (expected[0] != '\0' && strcmp(expected, id) != 0) {
        status = 421;
    }
    else if (strncmp(request, "POST /run-start", 15) == 0) {
        status = run_start(body, out);
        say("answered", "start task=%s run=%ld status=%d %s", task,
            number_of(body, "run"), status, out);
    }
    else if (strncmp(request, "POST /run-stop", 14) == 0) {
        status = run_stop(body, out);
        say("answered", "stop task=%s run=%ld status=%d", task,
            number_of(body, "run"), status);
    }
    else if (strncmp(request, "POST /hold", 10) == 0) {
        status = hold(body, out);
        if (!is_awake()) { /* it began to hang while the call waited */
            pthread_mutex_unlock(&lock);
            free(out);
            return false;
        }
    }
    else if (strncmp(request, "GET ", 4) == 0) {
        status = 200;
    }
    pthread_mutex_unlock(&lock);
    snprintf(line, sizeof(line),
             "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n",
             status, strlen(out));
    ok = send_all(fd, line, strlen(line)) && send_all(fd, out, strlen(out));
    free(out);
    return ok;
}

static void *
serve(void *argument)
{
    int fd = (int)(intptr_t)argument;
    char *text = malloc(TEXT_MAX + 1);
    size_t used = 0;

    for (;;) {
        char *end;
        const char *at;
        size_t head;
        size_t length;
        ssize_t got;

        text[used] = '\0';
        end = strstr(text, "\r\n\r\n");
        at = end != NULL ? strcasestr(text, "Content-Length:") : NULL;
        head = end != NULL ? (size_t)(end - text) + 4 : 0;
        length = at != NULL && at < end ? strtoul(at + 15, NULL, 10) : 0;
        if (end != NULL && used >= head + length) {
            char *copy = malloc(head + length + 1);
            bool ok;

            memcpy(copy, text, head + length);
            memmove(text, text + head + length, used - head - length);
            used -= head + length;
            ok = handle(fd, copy, head, length);
            free(copy);
            if (!ok) {
                break;
            }
            continue;
        }
        if (used == TEXT_MAX) {
            break;
        }
        got = recv(fd, text + used, TEXT_MAX - used, 0);
        if (got <= 0) {
            break;
        }
        used += (size_t)got;
    }
    free(text);
    close(fd);
    return NULL;
}

static void *
listen_forever(void *argument)
{
    int listener = (int)(intptr_t)argument;

    for (;;) {
        int fd = accept(listener, NULL, NULL);
        pthread_t thread;

        if (fd >= 0 &&
            pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd) == 0) {
            pthread_detach(thread);
        }
    }
    return NULL;
}

static void
leave(void)
{
    pthread_mutex_lock(&lock);
    for (int i = 0; i < task_count; i++) {
        if (tasks[i].phase != ENDED) {
            say("lost", "task=%s run=%ld: it leaves", tasks[i].name,
                tasks[i].run);
        }
    }
    pthread_mutex_unlock(&lock);
    say("left", "removed=%d", write_entry(true));
    exit(0);
}

static void
command(char *line)
{
    char word[32] = "";
    long number = 0;

    sscanf(line, "%31s %ld", word, &number);
    if (strcmp(word, "hang") == 0) {
        hang_until = now_ms() + number;
        say("hangs", "for_ms=%ld", number);
    }
    else if (strcmp(word, "drain") == 0) {
        remaining_ms = number;
        drain_at = now_ms();
    }
    else if (strcmp(word, "mute") == 0) {
        mute_until = now_ms() + number;
    }
    else if (strcmp(word, "leave") == 0) {
        leave();
    }
}

static void
options(int argc, char **argv)
{
    for (int i = 4; i < argc; i++) {
        const char *value = strchr(argv[i], '=') + 1;
        long number = strtol(value, NULL, 10);

        if (strncmp(argv[i], "work=", 5) == 0) {
            work_ms = number;
        }
        else if (strncmp(argv[i], "room=", 5) == 0) {
            room = number;
        }
        else if (strncmp(argv[i], "label=", 6) == 0) {
            label = value;
        }
        else if (strncmp(argv[i], "hang_on_start=", 14) == 0) {
            hang_on_start = number;
        }
        else if (strncmp(argv[i], "drain_on_start=", 15) == 0) {
            drain_on_start = number;
        }
        else if (strncmp(argv[i], "remaining=", 10) == 0) {
            remaining_ms = number;
        }
        else if (strncmp(argv[i], "stop=", 5) == 0) {
            stop_ms = number;
        }
        else if (strncmp(argv[i], "fail=", 5) == 0) {
            fail_count = number;
        }
        else if (strncmp(argv[i], "port=", 5) == 0) {
            listen_port = number;
        }
    }
}

int
main(int argc, char **argv)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    char host[64];
    char line[256];
    int64_t report_due = 0;
    int64_t leave_at = 0;
    pthread_t thread;

    if (argc < 4) {
        return 2;
    }
    id = argv[1];
    service = argv[2];
    sscanf(argv[3], "%63[^:]:%d", host, &port);
    store.sin_family = AF_INET;
    store.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &store.sin_addr);
    options(argc, argv);
    signal(SIGPIPE, SIG_IGN);
    (void)setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &(int){1},
                     sizeof(int));
    address.sin_port = htons((uint16_t)listen_port);
    if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(listener, 64) != 0 ||
        getsockname(listener, (struct sockaddr *)&address, &size) != 0)
    {
        return 2;
    }
    port = ntohs(address.sin_port);
    say("listens", "port=%d", port);
    pthread_create(&thread, NULL, listen_forever,
                   (void *)(intptr_t)listener);
    for (;;) {
        struct pollfd input = {.fd = STDIN_FILENO, .events = POLLIN};
        int64_t now = now_ms();

        if (drain_at > 0 && now >= drain_at && !draining) {
            draining = true;
            report_due = 0;
        }
        if (now >= report_due && now >= mute_until) {
            bool first = draining && leave_at == 0;
            bool ok = write_entry(false);

            report_due = now + REPORT_INTERVAL_MS;
            if (first && ok) {
                say("draining", "acknowledged by the store, remaining_ms=%ld",
                    remaining_ms);
                leave_at = now_ms() + remaining_ms;
            }
        }
        if (leave_at > 0 && now >= leave_at) {
            leave();
        }
        pthread_mutex_lock(&lock);
        advance();
        pthread_mutex_unlock(&lock);
        if (poll(&input, 1, TICK_MS) > 0) {
            if (fgets(line, sizeof(line), stdin) == NULL) {
                usleep(TICK_MS * 1000);
            }
            else {
                command(line);
            }
        }
    }
}
