"""Writes a self-contained HTML report of scale test scenarios: verdicts, checks, propagation times and costs."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping
from html import escape
from pathlib import Path
from typing import Any, NamedTuple

from pepperusher.rehearsal.page import STYLE, table
from pepperusher.rehearsal.plots import bars

# The keys that mark a group of figures as propagation times.
PROPAGATION_KEYS = "50%_s", "99%_s", "all_s"
# Figures per proxy or group member and second.
COST_KEYS = "bytes_out_a_second", "bytes_in_a_second", "proxy_bytes_a_second"


class Spread(NamedTuple):
    """Propagation times in seconds to 50%, 99% and all of the proxies, or None if that many were never reached."""

    name: str
    times: tuple[float | None, float | None, float | None]
    had: int
    of: int


def spreads(figures: Mapping[str, Any], name: str = "") -> Iterator[Spread]:
    """Finds the propagation times in nested figures; the name of each is the path of its keys."""
    if all(key in figures for key in PROPAGATION_KEYS):
        half, p99, all_proxies = (figures[key] for key in PROPAGATION_KEYS)
        yield Spread(name, (half, p99, all_proxies), int(figures["had"]), int(figures["of"]))
        return
    for key, value in figures.items():
        if isinstance(value, Mapping):
            yield from spreads(value, f"{name}: {key}" if name else key)


def _scene(result: Mapping[str, Any]) -> str:
    css_class = "kept" if result["verdict"] == "passed" else "broken"
    sections = [
        f'<h2>{escape(result["scene"])}: <span class="{css_class}">{escape(result["verdict"])}</span></h2>',
        f"<p>{result.get('size', '')} proxies, seed {result.get('seed', '')}, {result.get('seconds', '')} s.</p>",
    ]
    if checks := result.get("checks"):
        rows = [
            (check["what"], "holds" if check["holds"] else "DOES NOT HOLD", json.dumps(check["seen"])[:300])
            for check in checks
        ]
        sections.append(table(("what must hold", "", "seen"), rows))
    propagations = list(spreads(result.get("figures") or {}))
    if propagations:
        propagation_rows = [(check.name, *check.times, f"{check.had} of {check.of}") for check in propagations]
        sections.append(table(("time to reach", "half, s", "99%, s", "all, s", "had it"), propagation_rows))
        labels = [part.removesuffix("_s") for part in PROPAGATION_KEYS]
        sections.append(bars("Time to reach", "s", labels, [(check.name, check.times) for check in propagations]))
    sections.append(f"<pre>{escape(json.dumps(result.get('figures'), indent=1))}</pre>")
    return "\n".join(sections)


def html(scenes: Iterable[Mapping[str, Any]]) -> str:
    results = list(scenes)
    costs = [
        (result["scene"], tuple(result["figures"].get(kind) for kind in COST_KEYS))
        for result in results
        if any(kind in (result.get("figures") or {}) for kind in COST_KEYS)
    ]
    body = ["<h1>Scenes at scale</h1>"]
    if costs:
        labels = [kind.replace("_", " ") for kind in COST_KEYS]
        body.append(bars("Bytes per second of one proxy, by scene", "bytes/s", labels, costs))
    body += map(_scene, results)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8"><title>Scenes at scale</title>'
        f"<style>{STYLE}</style></head>\n<body>\n" + "\n".join(body) + "\n</body></html>\n"
    )


def write(path: Path, scenes: Iterable[Mapping[str, Any]]) -> None:
    """Raises OSError."""
    path.write_text(html(scenes), encoding="utf-8")
