/* Resources that this process uses. */
#include "curlewcart/cw_process.h"

#include <stdio.h>
#include <unistd.h>

double
cw_process_resident_bytes(void)
{
    long pages = 0;
    FILE *file = fopen("/proc/self/statm", "r");

    if (file != NULL) {
        if (fscanf(file, "%*s %ld", &pages) != 1) {
            pages = 0;
        }
        fclose(file);
    }
    return (double)pages * (double)sysconf(_SC_PAGESIZE);
}
