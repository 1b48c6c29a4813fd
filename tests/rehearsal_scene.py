"""Small rehearsal scripts and helpers shared by the tests of rehearsals."""

from __future__ import annotations

import copy
import os
from pathlib import Path
from typing import Any
from unittest import mock

from pepperusher.rehearsal import run_controller, script
from pepperusher.rehearsal.results import Result
from pepperusher.rehearsal.script import Script

WRONG = Path(__file__).parent / "wrong"
SMALL: dict[str, Any] = {
    "title": "small",
    "seed": 5,
    "span": "4s",
    "window": "1s",
    "use_cases": [
        {
            "name": "look",
            "share": 2,
            "work": {"mean": "5ms", "spread": "fixed"},
            "promised": "500ms",
            "outer": "2s",
        },
        {
            "name": "book",
            "repeat": "referenced",
            "remembered": "5s",
            "work": {"mean": "5ms", "spread": "fixed"},
            "promised": "500ms",
            "outer": "2s",
            "body": 20,
        },
        {
            "name": "pay",
            "repeat": "single-use",
            "work": {"mean": "5ms", "spread": "fixed"},
            "promised": "500ms",
            "outer": "2s",
        },
    ],
    "customers": [{"name": "north"}, {"name": "south"}],
    "tiers": [{"name": "desk", "cell": 2, "kinds": [{"name": "std", "count": 4}]}],
    "discovery": {"notice": "100ms"},
    "load": {"phases": [{"span": "4s", "rate": 60, "arrivals": "even"}]},
}


def raw(**changes: Any) -> dict[str, Any]:
    """SMALL with some top-level values replaced; a table is merged into the table in SMALL."""
    merged = copy.deepcopy(SMALL)
    for key, value in changes.items():
        merged[key] = {**merged.get(key, {}), **value} if isinstance(value, dict) else value
    return merged


def small(**changes: Any) -> Script:
    """The script of `raw`, validated and built."""
    return script.build_script(raw(**changes))


def played(wrong: str | None = None, **changes: Any) -> Result:
    """Runs a rehearsal with the real proxy, or with the test proxy in the mode `wrong` ("": without faults)."""
    if wrong is None:
        return run_controller.rehearse(small(**changes))
    with mock.patch.dict(os.environ, {"WRONG": wrong}):
        return run_controller.rehearse(small(**changes), WRONG)
