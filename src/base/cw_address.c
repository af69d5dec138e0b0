/* Parsing of addresses. */
#include "curlewcart/cw_address.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

enum { PORT_DIGITS_MAX = 5 };

bool
cw_address_parse(const char *text, struct sockaddr_in *out)
{
    const char *colon = strrchr(text, ':');
    char host[INET_ADDRSTRLEN];
    unsigned long port;

    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    if (strspn(colon + 1, "0123456789") != strlen(colon + 1) ||
        colon[1] == '\0' || strlen(colon + 1) > PORT_DIGITS_MAX)
    {
        return false;
    }
    port = strtoul(colon + 1, NULL, 10);
    if (port > UINT16_MAX) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}
