"""The target size, the assumptions for what it leaves open, and a row of the projection. This module does no
I/O.
"""

from __future__ import annotations

from typing import NamedTuple

MISSING = "missing"
US_PER_SECOND = 1_000_000.0
MB = 1_000_000.0


class Target(NamedTuple):
    """The size of the deployment to plan for, as specified. Times are in seconds, except `added_us`."""

    proxies: int = 5_000
    services: int = 210
    calls: float = 360_000.0
    depth: int = 30
    added_us: float = 1_300.0
    regions: int = 4
    zones: int = 13
    changes_a_day: int = 2_400
    in_force_s: float = 12.0
    proxy_cpu_us: float = 14_000.0  # a second, for control traffic: 1.4% of a core
    proxy_bytes: float = 256 * MB
    proxy_wire: float = 21_000.0  # bytes a second of control traffic
    control_machines: int = 9
    failures_a_day: int = 11
    restarts_a_day: int = 1_500
    told_s: float = 6.0  # until every proxy has a change, from when discovery has it


class Assumed(NamedTuple):
    """Assumptions for what the target leaves open. `listed` is the number of backends on a proxy's list, `group`
    the group size in its settings.
    """

    name: str
    largest: int  # backends of the largest service; the mean over all services is proxies / services
    called: int  # services that one proxy calls
    listed: int
    group: int
    callers: int  # proxies that call the service with the most callers
    zoned: bool  # whether a proxy's settings name all zones
    released: int  # backends that one release replaces
    release_s: float
    members: int  # proxies in one membership group
    routes: int  # in the configuration of one proxy
    concerned: float  # fraction of the configuration changes that apply to one proxy
    marked: int  # backends banned or drained by an operator at the same time
    failing: int  # levels of a call chain that fail at the same time
    share: float  # fraction of calls that such a level fails
    fronts: int  # front proxies
    entering: float  # fraction of all calls that enter through front proxies
    front_listed: int  # backends on the list of a front proxy
    apart_s: float  # how long a network partition separates the regions


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
    """The upper bound for the value of a row."""

    value: float
    of: str  # where the bound comes from: the target, the code or a choice of this project


class Row(NamedTuple):
    """One cost at the target size. A value is None where its slope was not measured. `from_` names the
    measurements that it is computed from. `before` has the mild and the harsh value without the mechanism that
    now addresses the cost.
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
        """Returns the ratio of a value to the budget, or None without a value or a budget."""
        return None if value is None or self.budget is None else value / self.budget.value

    @property
    def worst(self) -> float:
        """The higher of the mild and the harsh ratio to the budget; -1 where there is neither."""
        ratios = [ratio for ratio in (self.ratio(self.mild), self.ratio(self.harsh)) if ratio is not None]
        return max(ratios, default=-1.0)

    @property
    def missing(self) -> bool:
        """Returns whether no existing mechanism addresses the cost."""
        return self.mechanism.startswith(MISSING)


def product(*parts: float | None) -> float | None:
    """Returns the product, or None if a factor was not measured."""
    result = 1.0
    for part in parts:
        if part is None:
            return None
        result *= part
    return result


def total(*parts: float | None) -> float | None:
    """Returns the sum, or None if a summand was not measured."""
    known = [part for part in parts if part is not None]
    return sum(known) if len(known) == len(parts) else None
