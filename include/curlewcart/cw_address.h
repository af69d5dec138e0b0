/* IPv4 addresses with a port, as text. */
#ifndef CURLEWCART_CW_ADDRESS_H
#define CURLEWCART_CW_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/* Parses "IP:PORT" with an IPv4 address; false if `text` has no such form.
 * Does not check the port. */
bool cw_address_parse(const char *text, struct sockaddr_in *out);

#endif
