"""The target, what it leaves open, and what a row of the projection is; free of I/O."""

from __future__ import annotations

from typing import NamedTuple

MISSING = "missing"
SECOND = 1_000_000.0
MB = 1_000_000.0


class Target(NamedTuple):
    """The size that is coming, as it is given. Times in seconds but `added_us`."""

    proxies: int = 5_000
    services: int = 210
    calls: float = 360_000.0
    depth: int = 30
    added_us: float = 1_300.0
    regions: int = 4
    zones: int = 13
    changes_a_day: int = 2_400
    in_force_s: float = 12.0
    proxy_cpu_us: float = 14_000.0  # a second: 1.4% of a core
    proxy_bytes: float = 256 * MB
    proxy_wire: float = 21_000.0  # bytes a second for control
    control_machines: int = 9
    failures_a_day: int = 11
    restarts_a_day: int = 1_500
    told_s: float = 6.0  # after discovery had it


class Assumed(NamedTuple):
    """What the target leaves open. `listed` is the list that a proxy holds, `group` what its settings call
    the group's size.
    """

    name: str
    largest: int  # backends of the largest service; the mean is proxies / services
    called: int  # services that one proxy calls
    listed: int
    group: int
    callers: int  # proxies that call the service that most call
    zoned: bool  # whether a proxy's settings name all zones
    released: int  # backends replaced in a release
    release_s: float
    members: int  # of one group
    routes: int  # in an own file
    concerned: float  # part of the changes of configuration that concern one proxy
    marked: int  # backends banned or drained by hand at once
    failing: int  # levels of a chain that fail at once, and the part of their calls
    share: float
    fronts: int  # front proxies
    entering: float  # part of all calls that come by way of them
    front_listed: int  # backends on the list of a front proxy
    apart_s: float  # how long regions lose each other


MILD = Assumed(
    "mild",
    largest=150,
    called=3,
    listed=72,
    group=1_000,
    callers=1_000,
    zoned=False,
    released=24,
    release_s=600.0,
    members=150,
    routes=20,
    concerned=4 / 210,
    marked=40,
    failing=1,
    share=0.3,
    fronts=200,
    entering=1 / 30,
    front_listed=288,
    apart_s=60.0,
)
HARSH = Assumed(
    "harsh",
    largest=400,
    called=12,
    listed=5_000,
    group=1,
    callers=5_000,
    zoned=True,
    released=400,
    release_s=180.0,
    members=5_000,
    routes=200,
    concerned=1.0,
    marked=1_538,
    failing=1,
    share=1.0,
    fronts=50,
    entering=1 / 6,
    front_listed=5_000,
    apart_s=300.0,
)


class Budget(NamedTuple):
    value: float
    of: str  # where it comes from: the target, or our own choice


class Row(NamedTuple):
    """One cost at the target. A value is None where its slope was not measured. `from_` names the slopes.
    `before` has both values as they were before the mechanism that carries the row was there.
    """

    role: str
    when: str
    what: str
    unit: str
    mild: float | None
    harsh: float | None
    budget: Budget | None
    mechanism: str
    from_: tuple[str, ...]
    note: str = ""
    before: tuple[float | None, float | None] | None = None

    def ratio(self, value: float | None) -> float | None:
        return None if value is None or self.budget is None else value / self.budget.value

    @property
    def worst(self) -> float:
        """The greater of both ratios; -1 where there is none."""
        found = [one for one in (self.ratio(self.mild), self.ratio(self.harsh)) if one is not None]
        return max(found, default=-1.0)

    @property
    def missing(self) -> bool:
        return self.mechanism.startswith(MISSING)


def product(*parts: float | None) -> float | None:
    made = 1.0
    for one in parts:
        if one is None:
            return None
        made *= one
    return made


def total(*parts: float | None) -> float | None:
    known = [one for one in parts if one is not None]
    return sum(known) if len(known) == len(parts) else None
