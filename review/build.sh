#!/bin/sh
# Builds what the cases start beside the proxy. The stand-ins are Python files that run in the .venv of deploy/build, with
# nothing beyond the standard library; this compiles them once, so that a file that can't be run is noticed here.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || sh deploy/build
.venv/bin/python - <<'END'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
