"""A page of scenes at scale that needs nothing beside it: verdicts, checks, how long each thing took to reach
whom, and what it cost."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping
from html import escape
from pathlib import Path
from typing import Any, NamedTuple

from pepperusher.rehearsal.page import STYLE, table
from pepperusher.rehearsal.plots import bars

# Of a figure that tells until when something had reached how many.
PARTS = "50%_s", "99%_s", "all_s"
# Of a member or proxy a second.
COSTS = "bytes_out_a_second", "bytes_in_a_second", "proxy_bytes_a_second"


class Spread(NamedTuple):
    """Seconds until something had reached half, 99 of 100 and all; None where it never did."""

    name: str
    times: tuple[float | None, float | None, float | None]
    had: int
    of: int


def spreads(figures: Mapping[str, Any], name: str = "") -> Iterator[Spread]:
    """Every figure that is one, however deep, by its keys."""
    if all(part in figures for part in PARTS):
        half, most, everyone = (figures[part] for part in PARTS)
        yield Spread(name, (half, most, everyone), int(figures["had"]), int(figures["of"]))
        return
    for key, value in figures.items():
        if isinstance(value, Mapping):
            yield from spreads(value, f"{name}: {key}" if name else key)


def _scene(told: Mapping[str, Any]) -> str:
    word = "kept" if told["verdict"] == "passed" else "broken"
    parts = [
        f'<h2>{escape(told["scene"])}: <span class="{word}">{escape(told["verdict"])}</span></h2>',
        f"<p>{told.get('size', '')} proxies, seed {told.get('seed', '')}, {told.get('seconds', '')} s.</p>",
    ]
    if checks := told.get("checks"):
        rows = [
            (one["what"], "holds" if one["holds"] else "DOES NOT HOLD", json.dumps(one["seen"])[:300]) for one in checks
        ]
        parts.append(table(("what must hold", "", "seen"), rows))
    found = list(spreads(told.get("figures") or {}))
    if found:
        rows_ = [(one.name, *one.times, f"{one.had} of {one.of}") for one in found]
        parts.append(table(("until it had reached", "half, s", "99%, s", "all, s", "had it"), rows_))
        labels = [part.removesuffix("_s") for part in PARTS]
        parts.append(bars("Until it had reached", "s", labels, [(one.name, one.times) for one in found]))
    parts.append(f"<pre>{escape(json.dumps(told.get('figures'), indent=1))}</pre>")
    return "\n".join(parts)


def html(scenes: Iterable[Mapping[str, Any]]) -> str:
    told = list(scenes)
    costs = [
        (one["scene"], tuple(one["figures"].get(kind) for kind in COSTS))
        for one in told
        if any(kind in (one.get("figures") or {}) for kind in COSTS)
    ]
    body = ["<h1>Scenes at scale</h1>"]
    if costs:
        labels = [kind.replace("_", " ") for kind in COSTS]
        body.append(bars("Bytes of one proxy a second, by scene", "bytes/s", labels, costs))
    body += map(_scene, told)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8"><title>Scenes at scale</title>'
        f"<style>{STYLE}</style></head>\n<body>\n" + "\n".join(body) + "\n</body></html>\n"
    )


def write(path: Path, scenes: Iterable[Mapping[str, Any]]) -> None:
    """Raises OSError."""
    path.write_text(html(scenes), encoding="utf-8")
