/* What this process takes of the machine. */
#ifndef CURLEWCART_CW_PROCESS_H
#define CURLEWCART_CW_PROCESS_H

/* Resident memory in bytes; 0 if it cannot be told. */
double cw_process_resident_bytes(void);

#endif
