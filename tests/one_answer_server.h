/* A server that gives one answer, which need not be complete. */
#ifndef CURLEWCART_TESTS_ONE_ANSWER_SERVER_H
#define CURLEWCART_TESTS_ONE_ANSWER_SERVER_H

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Gives one answer, which says "Connection: close", and waits until the client
 * has closed the connection. */
struct one_answer_server {
    int listener;
    char address[32];
    const char *answer; /* as sent */
    size_t length;
    pthread_t thread;
};

static inline void *
one_answer_server_main(void *argument)
{
    struct one_answer_server *server = argument;
    char request[4096];
    int connection = accept(server->listener, NULL, NULL);

    (void)recv(connection, request, sizeof(request), 0);
    (void)send(connection, server->answer, server->length, MSG_NOSIGNAL);
    shutdown(connection, SHUT_WR);
    /* Closing a connection with unread data would reset it. */
    while (recv(connection, request, sizeof(request), 0) > 0) {
    }
    close(connection);
    return NULL;
}

static inline void
one_answer_server_start_bytes(struct one_answer_server *server,
                              const void *answer, size_t answer_length)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr = {htonl(INADDR_LOOPBACK)}};
    socklen_t length = sizeof(address);

    server->answer = answer;
    server->length = answer_length;
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert(bind(server->listener, (struct sockaddr *)&address,
                  sizeof(address)) == 0);
    g_assert(listen(server->listener, 1) == 0);
    getsockname(server->listener, (struct sockaddr *)&address, &length);
    g_snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
               ntohs(address.sin_port));
    g_assert(pthread_create(&server->thread, NULL, one_answer_server_main,
                            server) == 0);
}

static inline void
one_answer_server_start(struct one_answer_server *server, const char *answer)
{
    one_answer_server_start_bytes(server, answer, strlen(answer));
}

static inline void
one_answer_server_stop(struct one_answer_server *server)
{
    pthread_join(server->thread, NULL);
    close(server->listener);
}

#endif
