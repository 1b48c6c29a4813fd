"""A soak: short scenario runs of a small fleet, each under trouble that is drawn from its seed alone.

What each run has: drains beside trouble at discovery, new configurations in series, planned restarts in series with
clients that use open connections until the kill, and faults of backends and of the proxies' processes. Some have a crowd
at the proxies, fewer descriptors than it wants, or a second tier.
"""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from pepperusher.rehearsal.run_controller import rehearse
from pepperusher.rehearsal.results import Result
from pepperusher.rehearsal.script import Script, build_script

Fault = dict[str, Any]

# Seconds: trouble begins after the first figure, and none begins in the last so many of a run.
QUIET_START, QUIET_END = 2.0, 7.0
# Seconds after the first at which new configurations of a row come.
ROW = (0.0, 0.3, 0.7, 1.6)
EPISODES = (2, 4)
PROXIES = (2, 4)
BACKENDS = (6, 10)
RATE = (50.0, 100.0)
CROWD_SHARE, TWO_TIERS_SHARE, QUICK_SHARE = 0.35, 0.2, 0.3
# From SIGTERM to the next process, beyond the latest kill: 3 s at most, and 0.7 s.
RESTARTED_AFTER = 4.2


def _seconds(value: float) -> str:
    return f"{max(1, round(value * 1000))}ms"


class _Draw:
    """One run's trouble. All chance is of its seed."""

    def __init__(self, seed: int, span: float) -> None:
        self.chance = Random(f"soak:{seed}")
        self.span = span
        self.proxies = self.chance.randint(*PROXIES)
        self.backends = self.chance.randint(*BACKENDS)
        self.faults: list[Fault] = []
        self._restarted: set[str] = set()  # proxies: each ends and starts once, or two processes would take one place

    def between(self, least: float, most: float) -> float:
        return self.chance.uniform(least, most)

    def add(self, what: str, at: float, span: float = 0.0, **more: Any) -> None:
        """Nothing begins after the last moment for it."""
        if not 0.0 < at < self.span - 1.0:
            return
        fault: Fault = {"what": what, "at": _seconds(at), **more}
        if span:
            fault["span"] = _seconds(span)
        self.faults.append(fault)

    def backend(self) -> list[str]:
        return [f"desk-{self.chance.randint(1, self.backends)}"]

    def proxy(self) -> list[str]:
        return [f"p{self.chance.randint(1, self.proxies)}"]

    def restart(self, what: str, at: float, name: str, back: float) -> None:
        if name not in self._restarted:
            self._restarted.add(name)
            self.add(what, at, names=[name], back=_seconds(back))

    def drain(self, near: float) -> None:
        """One backend drains or is replaced within a second of `near`."""
        at = max(0.5, near + self.between(-1.0, 1.0))
        if self.chance.random() < 0.5:
            self.add("drain", at, names=self.backend())
        else:
            self.add("restart", at, self.between(0.6, 2.0), names=self.backend(), back=_seconds(self.between(0.5, 3.0)))


def _discovery_away(draw: _Draw, at: float) -> None:
    """Drains in and around an outage; some are followed by new configurations."""
    what = draw.chance.choice(("discovery-down", "discovery-full", "discovery-silent", "discovery-late"))
    lasts = draw.between(0.5, 7.0)
    draw.add(what, at, lasts)
    draw.drain(at)
    draw.drain(at + lasts)
    if draw.chance.random() < 0.4:
        _moved(draw, at + draw.between(0.0, lasts))


def _moved(draw: _Draw, at: float) -> None:
    """New configurations in a row, each with another address, and a drain just before."""
    for later in ROW[: draw.chance.randint(1, len(ROW))]:
        draw.add("discovery-moved", at + later)
    draw.drain(at)


def _full_while_it_moves(draw: _Draw, at: float) -> None:
    """Watches end in place of telling a drain, and the queue is full until past the term of the new configurations."""
    cut = draw.between(0.1, 0.6)
    draw.add("drain", at - cut - 0.2, names=draw.backend())
    draw.add("discovery-down", at - cut - 0.1, cut)
    draw.add("discovery-full", at - 0.1, draw.between(4.0, 9.0))
    _moved(draw, at)


def _full_while_silent(draw: _Draw, at: float) -> None:
    """Watches fall silent, and what they miss is told late, or not before the queue is worked through."""
    draw.add("watches-silent", at)
    draw.add("drain", at + draw.between(0.05, 1.5), names=draw.backend())
    if draw.chance.random() < 0.7:
        draw.add("discovery-full", at + draw.between(0.0, 2.0), draw.between(2.0, 8.0))
    if draw.chance.random() < 0.3:
        _moved(draw, at + draw.between(0.0, 5.0))


def _same_address(draw: _Draw, at: float) -> None:
    draw.add(
        "proxy-hup", at, names=draw.proxy(), times=draw.chance.randint(1, 4), every=_seconds(draw.between(0.1, 0.6))
    )
    if draw.chance.random() < 0.5:
        draw.add("discovery-down", at + 0.1, draw.between(0.3, 2.0))
    draw.drain(at)


def _restarts(draw: _Draw, at: float) -> None:
    """Planned restarts close behind each other, some with a new configuration before or after SIGTERM, some while backends hang."""
    apart = draw.between(0.2, 1.0)
    for number in range(draw.chance.randint(1, draw.proxies)):
        begins = at + number * apart
        name = f"p{number + 1}"
        draw.restart("proxy-term", begins, name, RESTARTED_AFTER)
        if draw.chance.random() < 0.4:
            draw.add("proxy-hup", begins + draw.between(-0.5, 1.5), names=[name])
    if draw.chance.random() < 0.6:
        draw.add("freeze", at + draw.between(-0.3, 0.5), draw.between(1.0, 5.0), names=draw.backend())
    draw.drain(at)


def _killed(draw: _Draw, at: float) -> None:
    draw.restart("proxy-kill", at, draw.proxy()[0], draw.between(0.5, 2.0))
    draw.drain(at)


def _held_up(draw: _Draw, at: float) -> None:
    """A proxy's process stands still, or is starved, beside a drain."""
    if draw.chance.random() < 0.6:
        draw.add("proxy-stop", at, draw.between(0.1, 1.5), names=draw.proxy())
    else:
        draw.add("proxy-starve", at, draw.between(1.0, 3.0), names=draw.proxy(), by=draw.between(0.3, 0.8))
    draw.drain(at)


def _bad_backends(draw: _Draw, at: float) -> None:
    for _ in range(draw.chance.randint(1, 2)):
        what = draw.chance.choice(
            ("freeze", "silent", "slow", "errors", "reset", "garble", "lost", "half-answer", "refuse")
        )
        more = {"by": draw.between(0.3, 1.0)} if what in ("errors", "reset", "garble", "lost", "half-answer") else {}
        draw.add(what, at + draw.between(0.0, 1.0), draw.between(0.5, 4.0), names=draw.backend(), **more)
    if draw.chance.random() < 0.3:
        draw.add("kill", at, names=draw.backend(), back=_seconds(draw.between(0.5, 3.0)))


Episode = Callable[[_Draw, float], None]
EPISODE_KINDS: tuple[Episode, ...] = (
    _discovery_away, _moved, _full_while_it_moves, _full_while_silent, _same_address, _restarts, _killed, _held_up, _bad_backends,
)  # fmt: skip


def _use_cases(quick: bool) -> list[dict[str, Any]]:
    outer = "700ms" if quick else "2s"
    promised = "300ms" if quick else "500ms"
    work = {"mean": "15ms"}
    return [
        {"name": "look", "share": 3, "work": work, "promised": promised, "outer": outer},
        {"name": "book", "share": 2, "repeat": "referenced", "remembered": "5s", "work": work,
         "promised": promised, "outer": outer, "body": 200},
        {"name": "pay", "share": 1, "repeat": "single-use", "work": work, "promised": promised, "outer": outer, "body": 40},
    ]  # fmt: skip


def _tiers(draw: _Draw, two: bool) -> list[dict[str, Any]]:
    kind = {"name": "std", "cores": 2, "slots": 16, "queue": 20, "cold_from": 0.4, "warm_for": "4s"}
    desk = {"name": "desk", "cell": 4, "proxies": draw.proxies, "kinds": [{**kind, "count": draw.backends}]}
    if not two:
        return [desk]
    return [
        {**desk, "work": 0.5, "calls": 1.0},
        {"name": "ledger", "cell": 4, "work": 0.5, "kinds": [{**kind, "count": 6}]},
    ]


def script_of(seed: int, span: int) -> Script:
    """The run of a seed; `span` is in us."""
    seconds = span / 1e6
    draw = _Draw(seed, seconds)
    two = draw.chance.random() < TWO_TIERS_SHARE
    crowd = draw.chance.random() < CROWD_SHARE
    quick = draw.chance.random() < QUICK_SHARE
    for _ in range(draw.chance.randint(*EPISODES)):
        at = draw.between(QUIET_START, max(QUIET_START + 0.5, seconds - QUIET_END))
        draw.chance.choice(EPISODE_KINDS)(draw, at)
    load: dict[str, Any] = {
        "phases": [{"span": _seconds(seconds), "rate": draw.between(*RATE)}],
        "retries": 2, "honours": 0.5, "backoff": "50ms", "leave": draw.chance.choice((0.0, 0.05, 0.1)),
        "stays": draw.chance.choice((0.3, 0.7)),
    }  # fmt: skip
    proxies: dict[str, Any] = {}
    if crowd:
        begins = draw.between(QUIET_START, seconds - QUIET_END)
        load["surges"] = [
            {"at": _seconds(begins), "span": _seconds(draw.between(1.0, 4.0)), "times": draw.between(2.0, 5.0)}
        ]
        proxies["sockets"] = draw.chance.choice((64, 96, 1024))
    return build_script({
        "title": f"soak {seed}", "seed": seed, "span": _seconds(seconds), "window": "5s",
        "use_cases": _use_cases(quick), "customers": [{"name": "north"}, {"name": "south"}],
        "tiers": _tiers(draw, two), "discovery": {"notice": "100ms", "silent": "2s"},
        "proxies": proxies, "load": load, "faults": draw.faults,
    })  # fmt: skip


def run(seed: int, span: int, kept_in: Path | None = None, build: Path | None = None) -> Result:
    """One run. Logs and records stay in a folder of `kept_in` where a rule was broken. Raises as `director.rehearse`."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        result = rehearse(script_of(seed, span), build, folder)
        if kept_in is not None and not result.kept:
            kept_in.mkdir(parents=True, exist_ok=True)
            shutil.copytree(folder, kept_in / f"seed-{seed}", dirs_exist_ok=True)
        return result
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def line(result: Result) -> str:
    """One run in a line, and one more for each of its first entries against a rule."""
    figures = result.figures
    broken = ", ".join(f"{rule}: {count}" for rule, count in result.rules.items() if count) or "rules kept"
    stalls = f", the generator stood still {len(figures.stalls)} times" if figures.stalls else ""
    head = (
        f"seed {result.seed}: {broken}; {figures.wishes} wanted, {figures.in_time} in time,"
        f" {', '.join(f'{how} {count}' for how, count in figures.ends.items())}{stalls}"
    )
    entries = [
        f"  {one.rule}: {one.ticket} at {one.at / 1e6:.3f} s {one.backend}: {one.what}" for one in result.entries[:5]
    ]
    return "\n".join([head, *entries])
