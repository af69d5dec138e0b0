/* Resources that this process uses. */
#ifndef CURLEWCART_CW_PROCESS_H
#define CURLEWCART_CW_PROCESS_H

/* Resident memory in bytes; 0 if it is unknown. */
double cw_process_resident_bytes(void);

#endif
