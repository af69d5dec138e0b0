#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2: the project's
# (the platform's store with its workers) and a single worker of our own.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target/review-2 target/review-2/curlewcart-platform
gcc -std=gnu11 -O2 -g -Wall -Wextra -pthread -o target/review-2/worker \
    review/standins-2/worker.c
