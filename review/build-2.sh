#!/bin/sh
# Builds what the cases 6 to 10 start: the proxy by the command of the deploy file, and the packages that it needs with
# its own file. The stand-ins are Python files that need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build
if ! .venv/bin/python -c "import msgspec, crc32c, structlog" 2> /dev/null; then
    .venv/bin/pip -q install -r requirements-rehearsal.txt
fi
