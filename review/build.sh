#!/bin/sh
# Builds what the cases start beside the proxy. The stand-ins are Python files that run in the .venv of deploy/build, with
# nothing beyond the standard library; they are parsed once, so that a file that can't be run is noticed here.
# Cases with the proxy's own file need the packages that requirements-rehearsal.txt pins for it (as `make all` installs
# them); where they can't be had, those cases exit with 2.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || sh deploy/build
if ! .venv/bin/python -c 'import crc32c, msgspec, structlog' 2> /dev/null; then
    .venv/bin/python -m pip -q install -r requirements-rehearsal.txt ||
        echo "review/build.sh: the own file's packages can't be had; cases that need them exit with 2" >&2
fi
.venv/bin/python - <<'END'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
