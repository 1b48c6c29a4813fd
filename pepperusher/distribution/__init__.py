"""Configuration, and facts, from a few control machines to every proxy that uses them.

Loaded only by the control command and where a proxy's own file names it. `publish` and `rollout` are in
`distribution.operator_client`.
"""

from __future__ import annotations

from pepperusher.distribution.operator_client import publish, rollout

__all__ = ["publish", "rollout"]
