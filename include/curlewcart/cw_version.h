/* The program's version. */
#ifndef CURLEWCART_CW_VERSION_H
#define CURLEWCART_CW_VERSION_H

#define CW_VERSION "0.1.0"

#endif
