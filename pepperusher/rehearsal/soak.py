"""Soak tests: short rehearsals of a small fleet, each with random faults that depend only on its seed.

The faults are drains during outages of discovery, series of reconfigurations, series of planned restarts with clients that
use open connections until the process is killed, and faults of backends and of proxy processes. Some runs have a load surge
with a low limit on file descriptors, or a second tier.
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

# No episode of faults begins within these times of the start and of the end of a run.
FAULT_FREE_START_S, FAULT_FREE_END_S = 2.0, 7.0
# When the reconfigurations of a series follow, after the first one.
RECONFIGURATION_OFFSETS_S = (0.0, 0.3, 0.7, 1.6)
EPISODE_COUNT = (2, 4)
PROXY_COUNT = (2, 4)
BACKEND_COUNT = (6, 10)
RATE_PER_S = (50.0, 100.0)
SURGE_SHARE, TWO_TIERS_SHARE, SHORT_DEADLINE_SHARE = 0.35, 0.2, 0.3
# From SIGTERM to the start of the next process. It is longer than the latest kill, which comes 3 s plus 0.7 s after SIGTERM.
RESTART_AFTER_SIGTERM_S = 4.2


def _format_duration(value: float) -> str:
    return f"{max(1, round(value * 1000))}ms"


class _RandomFaults:
    """The random faults of one run; all randomness comes from its seed."""

    def __init__(self, seed: int, span: float) -> None:
        self.rng = Random(f"soak:{seed}")
        self.span = span
        self.proxies = self.rng.randint(*PROXY_COUNT)
        self.backends = self.rng.randint(*BACKEND_COUNT)
        self.faults: list[Fault] = []
        self._restarted_proxies: set[str] = set()  # at most one restart each, or two processes could run under one name

    def uniform(self, minimum: float, maximum: float) -> float:
        return self.rng.uniform(minimum, maximum)

    def add_fault(self, what: str, at: float, span: float = 0.0, **options: Any) -> None:
        """Adds a fault, unless it would begin before the run or within its last second."""
        if not 0.0 < at < self.span - 1.0:
            return
        fault: Fault = {"what": what, "at": _format_duration(at), **options}
        if span:
            fault["span"] = _format_duration(span)
        self.faults.append(fault)

    def random_backend(self) -> list[str]:
        return [f"desk-{self.rng.randint(1, self.backends)}"]

    def random_proxy(self) -> list[str]:
        return [f"p{self.rng.randint(1, self.proxies)}"]

    def add_restart(self, what: str, at: float, proxy: str, back: float) -> None:
        if proxy not in self._restarted_proxies:
            self._restarted_proxies.add(proxy)
            self.add_fault(what, at, names=[proxy], back=_format_duration(back))

    def add_drain(self, near: float) -> None:
        """Drains or replaces one backend within a second of `near`."""
        at = max(0.5, near + self.uniform(-1.0, 1.0))
        if self.rng.random() < 0.5:
            self.add_fault("drain", at, names=self.random_backend())
        else:
            self.add_fault(
                "restart",
                at,
                self.uniform(0.6, 2.0),
                names=self.random_backend(),
                back=_format_duration(self.uniform(0.5, 3.0)),
            )


def _discovery_outage(faults: _RandomFaults, at: float) -> None:
    """Drains at the start and the end of an outage of discovery, sometimes with reconfigurations during it."""
    what = faults.rng.choice(("discovery-down", "discovery-full", "discovery-silent", "discovery-late"))
    duration = faults.uniform(0.5, 7.0)
    faults.add_fault(what, at, duration)
    faults.add_drain(at)
    faults.add_drain(at + duration)
    if faults.rng.random() < 0.4:
        _reconfigurations(faults, at + faults.uniform(0.0, duration))


def _reconfigurations(faults: _RandomFaults, at: float) -> None:
    """A series of reconfigurations, each with another address of discovery, and a drain close to its start."""
    for offset in RECONFIGURATION_OFFSETS_S[: faults.rng.randint(1, len(RECONFIGURATION_OFFSETS_S))]:
        faults.add_fault("discovery-moved", at + offset)
    faults.add_drain(at)


def _full_queue_while_reconfigured(faults: _RandomFaults, at: float) -> None:
    """Watches end before they report a drain, and discovery's queue is full for longer than the term after a reconfiguration."""
    outage = faults.uniform(0.1, 0.6)
    faults.add_fault("drain", at - outage - 0.2, names=faults.random_backend())
    faults.add_fault("discovery-down", at - outage - 0.1, outage)
    faults.add_fault("discovery-full", at - 0.1, faults.uniform(4.0, 9.0))
    _reconfigurations(faults, at)


def _full_queue_with_silent_watches(faults: _RandomFaults, at: float) -> None:
    """Watches become silent and miss a drain, which proxies learn late or only when discovery's queue is no longer full."""
    faults.add_fault("watches-silent", at)
    faults.add_fault("drain", at + faults.uniform(0.05, 1.5), names=faults.random_backend())
    if faults.rng.random() < 0.7:
        faults.add_fault("discovery-full", at + faults.uniform(0.0, 2.0), faults.uniform(2.0, 8.0))
    if faults.rng.random() < 0.3:
        _reconfigurations(faults, at + faults.uniform(0.0, 5.0))


def _reloads_without_change(faults: _RandomFaults, at: float) -> None:
    faults.add_fault(
        "proxy-hup",
        at,
        names=faults.random_proxy(),
        times=faults.rng.randint(1, 4),
        every=_format_duration(faults.uniform(0.1, 0.6)),
    )
    if faults.rng.random() < 0.5:
        faults.add_fault("discovery-down", at + 0.1, faults.uniform(0.3, 2.0))
    faults.add_drain(at)


def _planned_restarts(faults: _RandomFaults, at: float) -> None:
    """Planned restarts in close succession, some with a reload before or after SIGTERM, some while a backend is frozen."""
    interval = faults.uniform(0.2, 1.0)
    for number in range(faults.rng.randint(1, faults.proxies)):
        start = at + number * interval
        proxy = f"p{number + 1}"
        faults.add_restart("proxy-term", start, proxy, RESTART_AFTER_SIGTERM_S)
        if faults.rng.random() < 0.4:
            faults.add_fault("proxy-hup", start + faults.uniform(-0.5, 1.5), names=[proxy])
    if faults.rng.random() < 0.6:
        faults.add_fault(
            "freeze", at + faults.uniform(-0.3, 0.5), faults.uniform(1.0, 5.0), names=faults.random_backend()
        )
    faults.add_drain(at)


def _killed_proxy(faults: _RandomFaults, at: float) -> None:
    faults.add_restart("proxy-kill", at, faults.random_proxy()[0], faults.uniform(0.5, 2.0))
    faults.add_drain(at)


def _paused_proxy(faults: _RandomFaults, at: float) -> None:
    """A proxy's process is paused or starved of CPU during a drain."""
    if faults.rng.random() < 0.6:
        faults.add_fault("proxy-stop", at, faults.uniform(0.1, 1.5), names=faults.random_proxy())
    else:
        faults.add_fault(
            "proxy-starve", at, faults.uniform(1.0, 3.0), names=faults.random_proxy(), by=faults.uniform(0.3, 0.8)
        )
    faults.add_drain(at)


def _backend_faults(faults: _RandomFaults, at: float) -> None:
    for _ in range(faults.rng.randint(1, 2)):
        what = faults.rng.choice(
            ("freeze", "silent", "slow", "errors", "reset", "garble", "lost", "half-answer", "refuse")
        )
        options = (
            {"by": faults.uniform(0.3, 1.0)} if what in ("errors", "reset", "garble", "lost", "half-answer") else {}
        )
        faults.add_fault(
            what, at + faults.uniform(0.0, 1.0), faults.uniform(0.5, 4.0), names=faults.random_backend(), **options
        )
    if faults.rng.random() < 0.3:
        faults.add_fault("kill", at, names=faults.random_backend(), back=_format_duration(faults.uniform(0.5, 3.0)))


Episode = Callable[[_RandomFaults, float], None]
EPISODES: tuple[Episode, ...] = (
    _discovery_outage, _reconfigurations, _full_queue_while_reconfigured, _full_queue_with_silent_watches, _reloads_without_change, _planned_restarts, _killed_proxy, _paused_proxy, _backend_faults,
)  # fmt: skip


def _use_cases(short_deadlines: bool) -> list[dict[str, Any]]:
    outer = "700ms" if short_deadlines else "2s"
    promised = "300ms" if short_deadlines else "500ms"
    work = {"mean": "15ms"}
    return [
        {"name": "look", "share": 3, "work": work, "promised": promised, "outer": outer},
        {"name": "book", "share": 2, "repeat": "referenced", "remembered": "5s", "work": work,
         "promised": promised, "outer": outer, "body": 200},
        {"name": "pay", "share": 1, "repeat": "single-use", "work": work, "promised": promised, "outer": outer, "body": 40},
    ]  # fmt: skip


def _tiers(faults: _RandomFaults, has_second_tier: bool) -> list[dict[str, Any]]:
    kind = {"name": "std", "cores": 2, "slots": 16, "queue": 20, "cold_from": 0.4, "warm_for": "4s"}
    first_tier = {"name": "desk", "cell": 4, "proxies": faults.proxies, "kinds": [{**kind, "count": faults.backends}]}
    if not has_second_tier:
        return [first_tier]
    return [
        {**first_tier, "work": 0.5, "calls": 1.0},
        {"name": "ledger", "cell": 4, "work": 0.5, "kinds": [{**kind, "count": 6}]},
    ]


def script_of(seed: int, span: int) -> Script:
    """Returns the script of a seed; `span` is in us."""
    seconds = span / 1e6
    faults = _RandomFaults(seed, seconds)
    has_second_tier = faults.rng.random() < TWO_TIERS_SHARE
    has_surge = faults.rng.random() < SURGE_SHARE
    short_deadlines = faults.rng.random() < SHORT_DEADLINE_SHARE
    for _ in range(faults.rng.randint(*EPISODE_COUNT)):
        at = faults.uniform(FAULT_FREE_START_S, max(FAULT_FREE_START_S + 0.5, seconds - FAULT_FREE_END_S))
        faults.rng.choice(EPISODES)(faults, at)
    load: dict[str, Any] = {
        "phases": [{"span": _format_duration(seconds), "rate": faults.uniform(*RATE_PER_S)}],
        "retries": 2, "honours": 0.5, "backoff": "50ms", "leave": faults.rng.choice((0.0, 0.05, 0.1)),
        "stays": faults.rng.choice((0.3, 0.7)),
    }  # fmt: skip
    proxies: dict[str, Any] = {}
    if has_surge:
        surge_start = faults.uniform(FAULT_FREE_START_S, seconds - FAULT_FREE_END_S)
        load["surges"] = [
            {
                "at": _format_duration(surge_start),
                "span": _format_duration(faults.uniform(1.0, 4.0)),
                "times": faults.uniform(2.0, 5.0),
            }
        ]
        proxies["sockets"] = faults.rng.choice((64, 96, 1024))
    return build_script({
        "title": f"soak {seed}", "seed": seed, "span": _format_duration(seconds), "window": "5s",
        "use_cases": _use_cases(short_deadlines), "customers": [{"name": "north"}, {"name": "south"}],
        "tiers": _tiers(faults, has_second_tier), "discovery": {"notice": "100ms", "silent": "2s"},
        "proxies": proxies, "load": load, "faults": faults.faults,
    })  # fmt: skip


def run(seed: int, span: int, keep_in: Path | None = None, build: Path | None = None) -> Result:
    """Runs one seed. If a rule was broken, the logs and records are kept in `keep_in`. Raises as `run_controller.rehearse` does."""
    work = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        result = rehearse(script_of(seed, span), build, work)
        if keep_in is not None and not result.kept:
            keep_in.mkdir(parents=True, exist_ok=True)
            shutil.copytree(work, keep_in / f"seed-{seed}", dirs_exist_ok=True)
        return result
    finally:
        shutil.rmtree(work, ignore_errors=True)


def line(result: Result) -> str:
    """Formats a result as one line, with a further line for each of the first five violations."""
    figures = result.figures
    broken = ", ".join(f"{rule}: {count}" for rule, count in result.rules.items() if count) or "rules kept"
    stalls = f", the generator stalled {len(figures.stalls)} times" if figures.stalls else ""
    heading = (
        f"seed {result.seed}: {broken}; {figures.wishes} requests, {figures.in_time} in time,"
        f" {', '.join(f'{outcome} {count}' for outcome, count in figures.ends.items())}{stalls}"
    )
    entries = [
        f"  {entry.rule}: {entry.ticket} at {entry.at / 1e6:.3f} s {entry.backend}: {entry.what}"
        for entry in result.entries[:5]
    ]
    return "\n".join([heading, *entries])
