#!/bin/sh
# Builds what the scripts review/6/run.sh to review/10/run.sh start beside the gateway,
# after the build of the deploy file: the project's stand-ins, which that build puts under
# target/deps, and those of this review. Needs no network.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/boragespring/platform/emulator || {
    echo "run the build of the deploy file first: sh deploy/build" >&2
    exit 1
}
python3 -m compileall -q target/deps/boragespring/platform/emulator review/rig_2.py
for folder in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$folder/case.py" ]; then
        python3 -m compileall -q "$folder/case.py"
    fi
done
