/* IP addresses with a port, as text. */
#ifndef CURLEWCART_CW_ADDRESS_H
#define CURLEWCART_CW_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/* Reads "IP:PORT" of IPv4; false if `text` is none. */
bool cw_address_parse(const char *text, struct sockaddr_in *out);

#endif
