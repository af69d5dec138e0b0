#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into review/bin: the project's own
# stand-in for the platform, and a proxy in front of its store.  Needs the
# packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=review/bin review/bin/curlewcart-platform
gcc -std=gnu11 -O2 -Wall -Wextra -Werror -pthread \
    -o review/bin/store-proxy review/standins/store_proxy.c
