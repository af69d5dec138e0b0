#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start besides the daemon:
# the project's stand-in for the platform.  Run after the build of the deploy
# file, from anywhere.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/curlewcart-platform target/curlewcart-proxy
