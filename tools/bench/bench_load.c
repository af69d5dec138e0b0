/* Load from many concurrent callers, each of which must get a complete answer
 * to its own request. */
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>
#include <jansson.h>

#include "bench.h"

enum {
    JOB_WAIT_MS = 30000,
    TIMEOUT_MARGIN_MS = 5000,
    THREADS_MAX = 1024,
    STACK_BYTES = 256 * 1024
};

struct load {
    const struct bench_options *options;
    pthread_mutex_t lock;  /* guards the members below */
    unsigned next_request; /* index of the next request */
    unsigned completed;
    unsigned other_outcome; /* complete answers with another outcome */
    unsigned misdirected;   /* answers to another request */
    unsigned errors;        /* connected, but no complete answer */
    unsigned unsent;        /* requests without a connection */
    GArray *latency_ms;     /* double, of completed requests */
};

static size_t
append_body(char *data, size_t size, size_t n, void *context)
{
    g_string_append_len(context, data, (gssize)(size * n));
    return size * n;
}

static bool
take_index(struct load *load, unsigned *index)
{
    bool more;

    pthread_mutex_lock(&load->lock);
    *index = load->next_request;
    more = load->next_request < load->options->requests;
    load->next_request += more;
    pthread_mutex_unlock(&load->lock);
    return more;
}

/* Counts the answer by its kind.  The answer must name this request's id and,
 * if the job is completed, contain this request's echo. */
static void
count_answer(struct load *load, const char *text, unsigned index, double ms)
{
    json_t *answer = json_loads(text, 0, NULL);
    const char *id = json_string_value(json_object_get(answer, "id"));
    const char *outcome =
        json_string_value(json_object_get(answer, "outcome"));
    const char *result = json_string_value(json_object_get(answer, "result"));
    char *expected_id =
        g_strdup_printf("load-%u-%u", load->options->seed, index);
    const char *job = json_string_value(json_object_get(answer, "job"));
    char *expected_result =
        g_strdup_printf("%s:%u", job != NULL ? job : "", index);

    pthread_mutex_lock(&load->lock);
    if (answer == NULL || id == NULL || outcome == NULL) {
        load->errors++;
    }
    else if (strcmp(id, expected_id) != 0 ||
             (strcmp(outcome, "completed") == 0 &&
              (result == NULL || strcmp(result, expected_result) != 0)))
    {
        load->misdirected++;
    }
    else if (strcmp(outcome, "completed") == 0) {
        load->completed++;
        g_array_append_val(load->latency_ms, ms);
    }
    else {
        load->other_outcome++;
    }
    pthread_mutex_unlock(&load->lock);
    g_free(expected_id);
    g_free(expected_result);
    json_decref(answer);
}

static void
send_one(struct load *load, CURL *easy, unsigned index)
{
    char *body = g_strdup_printf(
        "{\"id\":\"load-%u-%u\",\"gang\":1,\"repeatable\":true,"
        "\"declared_ms\":10,\"payload\":\"run_ms=1 echo=%u\"}",
        load->options->seed, index, index);
    GString *answer = g_string_new(NULL);
    double started_us = bench_now_us();

    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
    if (curl_easy_perform(easy) == CURLE_COULDNT_CONNECT) {
        pthread_mutex_lock(&load->lock);
        load->unsent++;
        pthread_mutex_unlock(&load->lock);
    }
    else {
        count_answer(load, answer->str, index,
                     (bench_now_us() - started_us) / 1000);
    }
    g_string_free(answer, TRUE);
    g_free(body);
}

static void *
caller_main(void *argument)
{
    struct load *load = argument;
    CURL *easy = curl_easy_init();
    struct curl_slist *headers = NULL;
    char *line;
    char *url = g_strdup_printf("%s/v1/jobs?wait_ms=%d", load->options->url,
                                JOB_WAIT_MS);
    unsigned index;

    line = g_strdup_printf("X-Curlewcart-Account: %s", load->options->account);
    headers = curl_slist_append(headers, line);
    g_free(line);
    line = g_strdup_printf("Authorization: Bearer %s", load->options->token);
    headers = curl_slist_append(headers, line);
    g_free(line);
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     (long)JOB_WAIT_MS + TIMEOUT_MARGIN_MS);
    while (take_index(load, &index)) {
        send_one(load, easy, index);
    }
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
    g_free(url);
    return NULL;
}

int
bench_load(const struct bench_options *options)
{
    struct load load = {.options = options};
    unsigned callers = CLAMP(options->callers, 1, THREADS_MAX);
    pthread_t *threads = g_new(pthread_t, callers);
    pthread_attr_t attributes;
    double started_us = bench_now_us();
    double seconds;

    curl_global_init(CURL_GLOBAL_DEFAULT);
    pthread_mutex_init(&load.lock, NULL);
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, STACK_BYTES);
    load.latency_ms = g_array_new(FALSE, FALSE, sizeof(double));
    for (unsigned i = 0; i < callers; i++) {
        if (pthread_create(&threads[i], &attributes, caller_main, &load) != 0)
        {
            callers = i;
        }
    }
    for (unsigned i = 0; i < callers; i++) {
        pthread_join(threads[i], NULL);
    }
    seconds = (bench_now_us() - started_us) / 1e6;
    printf("bench=load callers=%u requests=%u completed=%u other=%u "
           "errors=%u unsent=%u crossed=%u per_second=%.0f p50_ms=%.1f "
           "p99_ms=%.1f\n",
           callers, options->requests, load.completed, load.other_outcome,
           load.errors, load.unsent, load.misdirected,
           options->requests / seconds, bench_percentile(load.latency_ms, 0.5),
           bench_percentile(load.latency_ms, 0.99));
    g_array_unref(load.latency_ms);
    pthread_mutex_destroy(&load.lock);
    g_free(threads);
    return load.misdirected == 0 && load.errors == 0 ? 0 : 2;
}
