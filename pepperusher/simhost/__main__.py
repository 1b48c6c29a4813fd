"""Speaks the simulator's line protocol on standard input and output."""

from __future__ import annotations

import sys

from pepperusher.simhost.host import Host
from pepperusher.simhost.wire import WireError


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    try:
        for reply in Host().replies(iter(sys.stdin)):
            sys.stdout.write(reply)
            sys.stdout.flush()
    except (WireError, UnicodeDecodeError) as error:
        print(f"pepperusher: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
