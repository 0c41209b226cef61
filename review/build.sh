#!/bin/sh
# Builds the stand-ins of the review: the small ones in the folder of each case, and the
# project's own, which the build of the deploy file has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/boragespring/platform/emulator ]; then
    sh deploy/build
fi
python3 -m compileall -q review
