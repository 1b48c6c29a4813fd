"""The scene of a group at scale: hollow proxies that are its members, what is done to them, and what must
hold."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

from pepperusher.group.membership import MAX_MEMBERS
from pepperusher.group.wire import MAX_DATAGRAM_BYTES
from pepperusher.net.proxy import ACCEPT_AFTER_SIGTERM_S
from pepperusher.rehearsal import hollow_group_statistics
from pepperusher.rehearsal.hollow_statistics import Propagation, Row
from pepperusher.rehearsal.hollow_group import ALL_THERE
from pepperusher.rehearsal.hollow_group_statistics import QUIET_MOST
from pepperusher.rehearsal.hollow_group_run import PERIOD, WITHIN, HollowGroupRun
from pepperusher.rehearsal.hollow_plan import ZONES, plan
from pepperusher.rehearsal.loopback_networks import reserve_network
from pepperusher.rehearsal.wire import clock

# The roll takes so many names beside a member's own (group/membership.py).
LARGEST = MAX_MEMBERS + 1
# A small stand has fewer zones: up to so many members, so many.
ZONES_AT = ((60, 3), (300, 5))
# What a step waits for comes within this, or its check does not hold.
PATIENCE = 150.0
QUICK_PATIENCE = 40.0
LOOK_EVERY = 0.2
LOST = 0.3
# Spans without anything, and with links that lose (s), quick and not.
QUIET = 2.0, 20.0
LOSING = 2.0, 30.0
BANNED = "s0-0"
# Sums over all members that may be a little more at one look than at another.
GROWTH = 1.01
FEW = 2


class GroupScenarioEnvironment:
    """One stand, and the checks of a scene on it."""

    def __init__(
        self, play: HollowGroupRun, period: int, quick: bool, say: Callable[[str], None], slack: float
    ) -> None:
        self.play, self.quick, self.say = play, quick, say
        self.size = play.size
        self.period = period
        self.slack = slack
        self.silence = slack * hollow_group_statistics.detection_time_limit(self.size, period)
        self.news = slack * hollow_group_statistics.propagation_time_limit(period)
        self.checks: list[dict[str, Any]] = []
        self.rows: list[Row] = []

    def check(self, what: str, holds: bool, detail: Any) -> None:
        self.checks.append({"what": what, "holds": bool(holds), "seen": detail})
        if not holds:
            self.say(f"  DOES NOT HOLD: {what}: {detail}")

    def everyone(self, without: Iterable[int] = ()) -> set[int]:
        return {place.number for place in self.play.plan.places} - set(without)

    @staticmethod
    def name(number: int) -> str:
        return f"p{number}"

    async def read(self) -> list[Row]:
        self.rows = await self.play.books()
        return self.rows

    def within(self, label: str, told: Propagation, bound: float) -> dict[str, Any]:
        self.check(
            f"{label}: at all {told.of} within {bound:.1f} s",
            told.all is not None and told.all <= bound,
            told.row(),
        )
        return told.row()

    def had(self, what: str, at: int, meant: set[int], version: int = 1) -> Propagation:
        return self.play.reached_resource(self.rows, what, version, at, meant)

    def lost_only(self, label: str, those: Iterable[int]) -> None:
        """Nobody is found lost but them."""
        meant = {self.name(one) for one in those}
        wrong = {
            of: by
            for of, by in hollow_group_statistics.count_observations(self.rows, "lost").items()
            if of not in meant
        }
        self.check(f"{label}: nobody else is lost", not wrong, dict(list(wrong.items())[:5]))

    async def shares(self, label: str, of: int, by: Iterable[int] | None = None) -> Counter[str]:
        """Each is one of so many."""
        told = await self.play.there(by)
        self.check(f"{label}: each is one of {of}", told[f"share of {of}"] == told["of"] > 0, dict(told))
        return told

    async def costs(self) -> dict[str, Any]:
        """Of one member a second, since this was last asked for, by its own count; and the machine's."""
        seconds = time.monotonic() - self._asked
        traffic, longest, counts = await self.play.group_traffic()
        self._asked = time.monotonic()
        use = self.play.use()
        cores = use.get("proxies", {})
        each = max(0.001, seconds) * self.size
        return {
            "seconds": round(seconds, 1),
            "datagrams_out_a_second": round(traffic["datagrams out"] / each, 2),
            "datagrams_in_a_second": round(traffic["datagrams in"] / each, 2),
            "bytes_out_a_second": round(traffic["bytes out"] / each, 1),
            "bytes_in_a_second": round(traffic["bytes in"] / each, 1),
            "streams": traffic["streams"],
            "longest_datagram": longest,
            "member_cores": round(cores.get("cores_mean", 0.0) / self.size, 6),
            "member_cores_worst_second": round(cores.get("cores_worst_s", 0.0) / self.size, 6),
            "member_memory_mb": round(cores.get("memory_mb", 0.0) / self.size, 3),
            "links_cores": use.get("ways", {}).get("cores_mean"),
            "counts": {what: many for what, many in sorted(counts.items())},
        }

    async def begin(self) -> None:
        await self.play.stand()
        self.play.use()
        self._asked = time.monotonic()

    async def settled(self) -> float | None:
        """Until nothing is passed on any more, seconds; None where it never was so."""
        began = time.monotonic()
        while time.monotonic() - began < PATIENCE:
            if not (await self.play.kinds())[1]["rumours"]:
                return round(time.monotonic() - began, 1)
            await asyncio.sleep(LOOK_EVERY)
        return None


async def join(ground: GroupScenarioEnvironment) -> dict[str, Any]:
    """All at once, until each knows all."""
    at = clock()
    await ground.play.begin_all()
    begun = round((clock() - at) / 1e6, 2)
    had = await ground.play.all_there(PATIENCE)
    ground.check("join: each finds all others", had, dict(await ground.play.there()))
    await ground.read()
    made = ground.had(ALL_THERE, at, ground.everyone())
    told = await ground.shares("join", ground.size)
    ground.check("join: each reaches a majority", told["reaches majority"] == ground.size, dict(told))
    ground.lost_only("join", ())
    costs = await ground.costs()
    longest = costs["longest_datagram"]
    ground.check("join: no datagram over its size", longest <= MAX_DATAGRAM_BYTES, longest)
    return {"started_s": begun, "each_knows_all": made.row(), **costs}


async def quiet(ground: GroupScenarioEnvironment) -> dict[str, Any]:
    """Nothing happens, once the news of the joining are with all."""
    settled = await ground.settled()
    ground.check("quiet: news of the joining end", settled is not None, settled)
    await ground.read()
    after = await ground.costs()
    await asyncio.sleep(QUIET[not ground.quick])
    costs = await ground.costs()
    rows = await ground.read()
    each = costs["datagrams_out_a_second"] * ground.period / 1e6
    ground.check(f"quiet: {QUIET_MOST:g} datagrams a period at the most", each <= QUIET_MOST, round(each, 2))
    ground.lost_only("quiet", ())
    return {
        "news_end_after_s": settled,
        "until_then": after,
        "datagrams_a_period": round(each, 2),
        "suspicions": hollow_group_statistics.count_observations(rows, "suspected").total(),
        **costs,
    }


async def killed(ground: GroupScenarioEnvironment) -> dict[str, Any]:
    """One is killed: silent, and its part stays its own. It comes back under its name."""
    victim = ground.size - 1
    others = ground.everyone({victim})
    at = clock()
    await ground.play.ask_all("kill", indices=[victim])
    await ground.play.found([ground.name(victim)], "lost", PATIENCE)
    await ground.read()
    name = ground.name(victim)
    made = ground.within("killed: it is lost", ground.had(f"lost {name}", at, others), ground.silence)
    ground.lost_only("killed", {victim})
    await ground.shares("killed", ground.size)
    costs = await ground.costs()
    at = clock()
    await ground.play.ask_all("again", indices=[victim])
    ground.check("started again: each finds all", await ground.play.all_there(PATIENCE), None)
    await ground.read()
    back = ground.within(
        "started again: all others know the new life",
        ground.had(f"a new life {name}", at, others),
        ground.silence,
    )
    return {"lost": made, "found_again": back, **costs}


async def left(ground: GroupScenarioEnvironment) -> dict[str, Any]:
    """One leaves and says so: its part is free. It comes back, and takes it again."""
    leaver = ground.size - 2
    others = ground.everyone({leaver})
    at = clock()
    await ground.play.group("leave", indices=[leaver])
    await ground.play.found([ground.name(leaver)], "gone", PATIENCE, others)
    await ground.read()
    # It says so once it has stopped, as a whole one does, a while after it was told to.
    known = ground.had(f"left {ground.name(leaver)}", at, others)
    made = ground.within("left: all know", known, ACCEPT_AFTER_SIGTERM_S + ground.news)
    ground.lost_only("left", ())
    await ground.shares("left", ground.size - 1)
    await ground.play.ask_all("again", indices=[leaver])
    ground.check("back: each finds all", await ground.play.all_there(PATIENCE), None)
    await ground.shares("back", ground.size)
    return {"gone": made, **await ground.costs()}


async def ban(ground: GroupScenarioEnvironment) -> dict[str, Any]:
    """Told to one, held by all, and lifted by another."""
    made: dict[str, Any] = {}
    for number, on in ((0, True), (ground.size // 2, False)):
        await ground.read()
        began = clock()
        at = await ground.play.ban(number, BANNED, on)
        await ground.play.until("holds", PATIENCE, "holds", backend=BANNED, at=at, on=on)
        await ground.read()
        word = "ban" if on else "ban lifted"
        made[word] = ground.within(
            f"{word}: held", ground.had(f"order {BANNED}", began, ground.everyone(), at), ground.news
        )
    return {**made, **await ground.costs()}


async def stopped(ground: GroupScenarioEnvironment) -> dict[str, Any]:
    """A tenth stands still until all others find it lost, and goes on."""
    play = ground.play
    frozen: set[int] = set()
    away: set[int] = set()
    for worker in reversed(range(len(play.workers))):
        if len(away) < ground.size / 10:
            frozen.add(worker)
            away |= {place.number for place in play.plan.places if place.worker == worker}
    others = ground.everyone(away)
    names = [ground.name(one) for one in sorted(away)]
    await ground.read()
    at = clock()
    play.freeze(frozen, True)
    found = await play.found(names, "lost", PATIENCE, others)
    stood = round((clock() - at) / 1e6, 2)
    ground.check(f"a tenth stopped: {len(away)} are lost at all others", found, stood)
    await ground.read()
    slowest = [ground.had(f"lost {name}", at, others) for name in names]
    worst = max(slowest, key=lambda one: one.all if one.all is not None else PATIENCE)
    made = ground.within("a tenth stopped: the last of them is lost", worst, ground.silence)
    ground.lost_only("a tenth stopped", away)
    await ground.shares("a tenth stopped", ground.size, others)
    at = clock()
    play.freeze(frozen, False)
    ground.check("a tenth goes on: each finds all", await play.all_there(PATIENCE), None)
    rows = await ground.read()
    back = ground.within(
        "a tenth goes on: each finds all",
        hollow_group_statistics.last_occurrence_times(rows, ALL_THERE, at, ground.everyone()),
        ground.silence,
    )
    own = hollow_group_statistics.count_observations([row for row in rows if row[0] in away], "lost")
    ground.check("a tenth goes on: those that stood still lose nobody", not own, dict(list(own.items())[:5]))
    await ground.shares("a tenth goes on", ground.size)
    return {
        "stopped": len(away),
        "stood_s": stood,
        "last_lost": made,
        "found_again": back,
        **await ground.costs(),
    }


async def zone(ground: GroupScenarioEnvironment) -> dict[str, Any]:
    """A zone is cut off and healed; a ban is called outside."""
    play = ground.play
    cut = len(play.ways) - 1
    inner = {place.number for place in play.plan.places if place.zone == cut}
    outer = ground.everyone(inner)
    names = [ground.name(one) for one in sorted(inner)]
    await ground.read()
    at = clock()
    await play.part({cut})
    ground.check(
        f"a zone cut off: all outside find its {len(inner)} lost",
        await play.found(names, "lost", PATIENCE, outer),
        None,
    )
    until = time.monotonic() + (QUICK_PATIENCE if ground.quick else PATIENCE)
    while (inside := await play.there(inner))["reaches majority"] and time.monotonic() < until:
        await asyncio.sleep(LOOK_EVERY)
    rows = await ground.read()
    slowest = [ground.had(f"lost {name}", at, outer) for name in names]
    worst = max(slowest, key=lambda one: one.all if one.all is not None else PATIENCE)
    made = ground.within("a zone cut off: the last of it is lost outside", worst, ground.silence)
    no_majority = ground.had("reaches part", at, inner)
    ground.within("a zone cut off: its own know that they reach a part", no_majority, ground.silence)
    outside = await ground.shares("a zone cut off, outside", ground.size, outer)
    reaching = outside["reaches majority"]
    ground.check("a zone cut off: all outside reach a majority", reaching == len(outer), reaching)
    await ground.shares("a zone cut off, inside", ground.size, inner)
    ordered = clock()
    order = await play.ban(min(outer), BANNED, True)
    await play.until("holds", PATIENCE, "holds", backend=BANNED, at=order, on=True, by=sorted(outer))
    await ground.read()
    held = ground.had(f"order {BANNED}", ordered, outer, order)
    ground.within("a zone cut off: a ban outside", held, ground.news)
    leaked = ground.had(f"order {BANNED}", ordered, inner, order).had
    ground.check("a zone cut off: the ban does not pass the cut", leaked == 0, leaked)
    costs = await ground.costs()
    healed = clock()
    await play.heal_ways()
    ground.check("a zone healed: each finds all", await play.all_there(PATIENCE), None)
    by_all = await play.until("holds", PATIENCE, "holds", backend=BANNED, at=order, on=True)
    ground.check("a zone healed: all hold the ban", by_all, None)
    rows = await ground.read()
    back = ground.within(
        "a zone healed: each finds all",
        hollow_group_statistics.last_occurrence_times(rows, ALL_THERE, healed, ground.everyone()),
        ground.silence,
    )
    taken = ground.within(
        "a zone healed: the ban is in it", ground.had(f"order {BANNED}", healed, inner, order), ground.silence
    )
    await ground.shares("a zone healed", ground.size)
    await play.ban(min(outer), BANNED, False)
    return {
        "cut_off": len(inner),
        "last_lost_outside": made,
        "no_majority_inside": no_majority.row(),
        "no_majority_inside_periods": None
        if no_majority.all is None
        else round(no_majority.all * 1e6 / ground.period, 1),
        "reach_inside": dict(inside),
        "found_again": back,
        "ban_inside": taken,
        "cut": costs,
        "healing": await ground.costs(),
    }


async def losing(ground: GroupScenarioEnvironment) -> dict[str, Any]:
    """Every link loses three datagrams in ten for a while."""
    await ground.read()
    await ground.costs()
    await ground.play.shape_ways(LOST)
    await asyncio.sleep(LOSING[not ground.quick])
    during = await ground.play.there()
    costs = await ground.costs()
    lost_by_links = (await ground.play.ways_counts())["lost"]
    ground.check("links lose: they do", lost_by_links > 0, lost_by_links)
    await ground.shares("links lose", ground.size)
    at = clock()
    await ground.play.shape_ways()
    there = await ground.play.all_there(PATIENCE)
    ground.check("links healed: each finds all, nobody is lost for good", there, None)
    rows = await ground.read()
    back = ground.within(
        "links healed: each finds all",
        hollow_group_statistics.last_occurrence_times(rows, ALL_THERE, at, ground.everyone()),
        ground.silence,
    )
    return {
        "suspicions": hollow_group_statistics.count_observations(rows, "suspected").total(),
        "losses": hollow_group_statistics.count_observations(rows, "lost").total(),
        "lost_at_its_end": during["lost"],
        "found_again": back,
        **costs,
    }


STEPS = (join, quiet, killed, left, ban, stopped, zone, losing)
# For sizes at which news of the joining go round for many minutes.
SHORT = (join, killed, ban)
Step = Callable[[GroupScenarioEnvironment], Awaitable[dict[str, Any]]]


async def run_scenario(
    size: int,
    seed: int,
    quick: bool,
    work: Path,
    say: Callable[[str], None],
    each: Callable[[dict[str, Any]], None] = lambda told: None,
    period: int = PERIOD,
    within: int = WITHIN,
    steps: Sequence[Step] = STEPS,
    slack: float = 1.0,
) -> list[dict[str, Any]]:
    """The steps in turn on one stand, and whether anything has grown since the quiet one; `each` has every
    one as it ends. `slack` stretches what is allowed in time, for a machine that others keep busy; nothing
    else.
    """
    zones = next((many for most, many in ZONES_AT if size <= most), ZONES)
    # A tenth that stands still is a process or two.
    laid = plan(size, seed, 1 if zones == ZONES and size <= 1000 else 2, zones)
    made: list[dict[str, Any]] = []

    def ended(name: str, began: float, figures: dict[str, Any]) -> None:
        holds = all(one["holds"] for one in ground.checks)
        made.append(
            {
                "scene": f"group: {name}",
                "verdict": "passed" if holds else "failed",
                "seconds": round(time.monotonic() - began, 1),
                "checks": ground.checks,
                "figures": figures,
            }
        )
        each(made[-1])

    with reserve_network() as net:
        play = HollowGroupRun(laid, seed, work, say, net, period, within)
        ground = GroupScenarioEnvironment(play, period, quick, say, slack)
        before: dict[str, int] = {}
        try:
            await ground.begin()
            for step in steps:
                say(f"group of {size}: {step.__name__}")
                ground.checks = []
                began = time.monotonic()
                ended(step.__name__, began, await step(ground))
                if step is quiet:
                    before = await _state(ground)
            if not before:
                return made
            ground.checks = []
            began = time.monotonic()
            await ground.settled()
            after = await _state(ground)
            # A ban that was lifted is remembered for an hour, so that whoever was cut off hears of it; a try
            # that is under way, and an answer that is waited for, are there at one look and not at another.
            for kind, more in {
                "members": 0,
                "rumours": 0,
                "relays": size,
                "doubted": 0,
                "owing": 0,
                "orders": size,
                "awaited": size,
                "packed words": size * size,
                "tasks": FEW,
                "descriptors": FEW,
            }.items():
                ground.check(
                    f"after all that: {kind} do not grow",
                    after[kind] <= before[kind] * GROWTH + more,
                    [before[kind], after[kind]],
                )
            ended("state", began, {"before": before, "after": after, "memory_mb_all": play.memory()})
        finally:
            await play.end()
    return made


async def _state(ground: GroupScenarioEnvironment) -> dict[str, int]:
    """What all members hold, and the processes beside."""
    _, kept = await ground.play.kinds()
    state = await ground.play.state()
    return {**kept, **{kind: state[kind] for kind in ("running", "tasks", "descriptors", "objects")}}
