#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start.
# They are Python: those of the project are part of the package, which the build
# of the deploy file puts under target/deps; the others stand in review/.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/boragespring || sh deploy/build
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -c "import boragespring.platform.emulator"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").glob("rig_3*.py")) + sorted(
    pathlib.Path("review").glob("1[1-5]/case.py")
):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
