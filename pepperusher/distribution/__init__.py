"""Distributes configuration and facts from a few control machines to the proxies that subscribe to them.

Loaded only by the control command and where a proxy's own file names control machines. `publish` and `rollout` are
defined in `distribution.operator_client`.
"""

from __future__ import annotations

from pepperusher.distribution.operator_client import publish, rollout

__all__ = ["publish", "rollout"]
