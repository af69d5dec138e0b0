/* Parsing of addresses. */
#include "curlewcart/cw_address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

bool
cw_address_parse(const char *text, struct sockaddr_in *out)
{
    const char *colon = strrchr(text, ':');
    char host[INET_ADDRSTRLEN];

    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}
