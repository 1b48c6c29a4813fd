"""Imports asyncio without the ssl module, which takes 1.5 MB of memory: the proxy speaks no TLS.

asyncio supports interpreters that were built without ssl. Import this module before any other that imports asyncio. The ssl
module itself can still be imported afterwards.
"""

from __future__ import annotations

import sys

if "asyncio" not in sys.modules and "ssl" not in sys.modules:
    sys.modules["ssl"] = None  # type: ignore[assignment]
    try:
        import asyncio  # noqa: F401
    finally:
        del sys.modules["ssl"]
