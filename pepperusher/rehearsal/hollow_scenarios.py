"""The scenes of a scale test: what is done to machines, links and proxies, and what must hold after."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

from pepperusher.distribution import operator_client
from pepperusher.rehearsal import hollow_statistics
from pepperusher.rehearsal.hollow_statistics import Propagation, Row
from pepperusher.rehearsal.hollow_control import ORIGIN, Controls
from pepperusher.rehearsal.hollow_plan import TEAMS, ZONES, list_of, names_of, plan, row
from pepperusher.rehearsal.hollow_run import CONTROL, DISCOVERY, OWN, HollowRun, endpoint_list_body
from pepperusher.rehearsal.wire import clock

# In force everywhere that can be reached within this, and so long after a healing.
IN_FORCE_WITHIN = 12.0
# Then a scene goes on without.
PATIENCE = 40.0
START_WITHIN = 120.0
# Of a proxy for control: bytes a second in the mean, and a part of a core.
BYTES_A_SECOND = 21_000
CORES = 0.014
# Of an ordinary day.
CHANGES_A_DAY, RESTARTS_A_DAY = 2400, 1500
# Every so many lack a use case that a refused change names.
LACKS_EVERY = 5
REFUSED = '\n[[routes]]\nname = "book"\nuse_case = "book"\nmatch = {path = "/book/{any*}"}\n'
# A slow one has its loop for a fifth of the time.
SLOW_PART, SLOW_FOR = 0.2, 10.0
SMALL, SMALL_ZONES = 300, 5
LOOK_EVERY = 0.1


class ScenarioEnvironment:
    """One stand of everything, for scenes in turn. `quick` shortens spans and eases no check."""

    def __init__(
        self, size: int, controls: int, seed: int, quick: bool, work: Path, say: Callable[[str], None]
    ) -> None:
        workers = 2 if size > 1000 else 1
        # A small stand has fewer zones, each two processes, but every region.
        zones = ZONES if size > SMALL or controls > SMALL_ZONES else SMALL_ZONES
        self.size, self.seed, self.quick, self.say = size, seed, quick, say
        self.play = HollowRun(plan(size, seed, workers, zones), seed, work, say, controls=controls, keeps=True)
        self.play.lacking = {place.number for place in self.play.plan.places if place.number % LACKS_EVERY == 0}
        self.chance = Random(seed)
        self.text = OWN
        self._number = 0
        self.checks: list[dict[str, Any]] = []
        self.figures: dict[str, Any] = {}

    @property
    def controls(self) -> Controls:
        assert self.play.controls is not None
        return self.play.controls

    def check(self, what: str, holds: bool, detail: Any) -> None:
        self.checks.append({"what": what, "holds": holds, "seen": detail})
        if not holds:
            self.say(f"  DOES NOT HOLD: {what}: {detail}")

    def everyone(self, without: set[int] | None = None) -> set[int]:
        return {place.number for place in self.play.plan.places} - (without or set())

    async def publish(self, name: str = "common", more: str = "") -> tuple[str, int, int]:
        """A change of configuration: its resource, its version, and when it was handed in."""
        self._number += 1
        # Each leaves another file behind, of the same length.
        text = (
            self.text if name == "common" else ""
        ) + f'\n[[backends]]\nid = "c{self._number:06}-{name}"\nweight = 0.5\n'
        at = clock()
        version = await self.controls.publish("config", name, (text + more).encode())
        return f"config/{name}", version, at

    def subscribers(self, what: str) -> set[int]:
        kind, _, name = what.partition("/")
        return {
            place.number
            for place in self.play.plan.places
            if [kind, name] in names_of(place, self.play.plan, self.play.parts)
        }

    async def taken(
        self,
        change: tuple[str, int, int],
        label: str,
        meant: set[int] | None = None,
        rows: list[Row] | None = None,
        within: float = IN_FORCE_WITHIN,
    ) -> dict[str, Any]:
        """Waits for it, unless the books are given, and checks that all that are meant had it in time."""
        what, version, at = change
        if rows is None:
            await self.play.until_resources({what: version}, PATIENCE)
            rows = await self.play.books()
        meant = self.subscribers(what) if meant is None else meant & self.subscribers(what)
        told = self.play.reached_resource(rows, what, version, at, meant)
        self.check(
            f"{label}: in force at all {told.of} within {within:g} s",
            told.all is not None and told.all <= within,
            told.row(),
        )
        self.check(
            f"{label}: nothing older after something newer",
            hollow_statistics.count_version_regressions(rows) == 0,
            len(rows),
        )
        return told.row()

    async def rested(self) -> dict[str, int]:
        """The state once nothing is under way any more."""
        until = time.monotonic() + PATIENCE
        state = await self.play.state()
        while time.monotonic() < until:
            last, state = state, await self.play.state()
            if state["tasks"] == last["tasks"] <= 2 * len(self.play.workers):
                break
            await asyncio.sleep(LOOK_EVERY)
        return state

    async def costs(self) -> dict[str, Any]:
        """Since this was last asked for."""
        traffic, use = await self.play.traffic(), self.play.use()
        seconds = max(1, traffic["seconds"])
        proxies = use.get("proxies", {})
        return {
            "proxy_bytes_a_second": round(
                (traffic.get("bytes in", 0) + traffic.get("bytes out", 0)) / seconds / self.size, 1
            ),
            "proxy_bytes_worst_second_mean": round(traffic["worst second bytes"] / self.size, 1),
            "proxy_bytes_worst_second_of_one": traffic["worst second of one bytes"],
            "proxy_cores": round(proxies.get("cores_mean", 0.0) / self.size, 6),
            "proxy_cores_worst_second": round(proxies.get("cores_worst_s", 0.0) / self.size, 6),
            "proxy_memory_mb": round(proxies.get("memory_mb", 0.0) / self.size, 3),
            "control_cores_each": round(use.get("control", {}).get("cores_mean", 0.0) / max(1, self.controls.count), 4),
            "control_cores_worst_second_all": use.get("control", {}).get("cores_worst_s"),
            "control_memory_mb_all": use.get("control", {}).get("memory_mb"),
            "connects": traffic.get("connects", 0),
            "connects_worst_second": traffic["worst second connects"],
            "snapshots": traffic.get("snapshots", 0),
            "deltas": traffic.get("deltas", 0),
            "wants": traffic.get("wants", 0),
            "messages_in": traffic.get("messages in", 0),
            "messages_out": traffic.get("messages out", 0),
            "seconds": seconds,
            "memory_mb_all": self.play.memory(),
        }

    async def begin(self) -> None:
        """Every proxy started at once, which is a scene by itself."""
        self.checks, self.figures = [], {}
        await self.play.stand()
        await self.play.publish_all()
        await self.controls.settled(PATIENCE)
        self.play.use()
        at = clock()
        self.say(f"{self.size} proxies start at once")
        await self.play.begin(self.play.plan.places, CONTROL)
        had = await self.play.until_resources(dict(self.controls.versions), START_WITHIN)
        rows = await self.play.books()
        self.figures = {
            "common": self.play.reached_resource(
                rows, "config/common", self.controls.versions["config/common"], at, self.everyone()
            ).row(),
            **await self.costs(),
        }
        self.check("start: everyone has all it uses", had, self.figures["common"])
        self.check(
            "start: two connections a proxy and few over",
            self.figures["connects"] <= 3 * self.size,
            self.figures["connects"],
        )


# --- the scenes --------------------------------------------------------------------------------------


async def change(ground: ScenarioEnvironment) -> dict[str, Any]:
    """One change of configuration reaches all."""
    made = await ground.publish()
    told = await ground.taken(made, "one change")
    costs = await ground.costs()
    ground.check(
        "one change: each was sent it once",
        costs["deltas"] + costs["snapshots"] == ground.size,
        [costs["deltas"], costs["snapshots"]],
    )
    return {"change": told, **costs}


async def day(ground: ScenarioEnvironment) -> dict[str, Any]:
    """An ordinary day's changes and restarts, pressed."""
    factor = 72.0
    span = 10.0 if ground.quick else 60.0
    before = await ground.rested()
    changes: list[tuple[str, int, int]] = []
    restarted: set[int] = set()
    restarts = 0
    began = time.monotonic()
    done = 0
    while (passed := time.monotonic() - began) < span:
        for _ in range(int(passed * factor * CHANGES_A_DAY / 86400) - len(changes)):
            # One in twenty is for all, the others for a team.
            name = "common" if ground.chance.random() < 0.05 else f"t{ground.chance.randrange(min(TEAMS, ground.size))}"
            changes.append(await ground.publish(name))
        for _ in range(int(passed * factor * RESTARTS_A_DAY / 86400) - restarts):
            those = [ground.chance.randrange(ground.size)]
            await ground.play.ask_all("kill", indices=those)
            await ground.play.ask_all("again", indices=those)
            restarted.update(those)
            restarts += 1
        await asyncio.sleep(LOOK_EVERY)
        done += 1
    last = {what: version for what, version, _ in changes}
    had = await ground.play.until_resources(last, PATIENCE)
    ground.check("day: everyone has the last of each", had, len(last))
    rows = await ground.play.books()
    slowest = []
    for one in changes:
        slowest.append(
            ground.play.reached_resource(rows, one[0], one[1], one[2], ground.subscribers(one[0]) - restarted)
        )
    late = [told.row() for told in slowest if told.all is None or told.all > IN_FORCE_WITHIN]
    ground.check(
        f"day: each of {len(changes)} changes in force at all that ran on within {IN_FORCE_WITHIN:g} s",
        not late,
        late[:3],
    )
    costs = await ground.costs()
    ground.check(
        "day: bytes of a proxy a second",
        costs["proxy_bytes_a_second"] <= BYTES_A_SECOND,
        costs["proxy_bytes_a_second"],
    )
    ground.check("day: processor of a proxy", costs["proxy_cores"] <= CORES, costs["proxy_cores"])
    after = await ground.rested()
    for kind in ("running", "told", "backends", "versions", "subscribed", "tasks"):
        ground.check(f"day: {kind} does not grow", after[kind] <= before[kind] * 1.01 + 2, [before[kind], after[kind]])
    ends = [told.all for told in slowest if told.all is not None]
    mosts = [told.most for told in slowest if told.most is not None]
    return {
        "factor": factor,
        "changes": len(changes),
        "restarts": restarts,
        "slowest_all_s": max(ends, default=None),
        "slowest_99%_s": max(mosts, default=None),
        "state_before": before,
        "state_after": after,
        **costs,
    }


async def control_lost(ground: ScenarioEnvironment) -> dict[str, Any]:
    """A control machine is killed, a change goes out, it is back; then all are restarted at once."""
    made: dict[str, Any] = {}
    victim = ground.controls.count - 1
    await ground.controls.kill(victim)
    made["change_after_a_kill"] = await ground.taken(await ground.publish(), "a control machine killed")
    await ground.play.start_control(victim)
    # What follows is of machines that have the change. One that dies again before it had it is another case: it has
    # no base for what its proxies hold (`Plays.test_all_killed_as_one_of_them_is_behind`).
    kept = await ground.controls.kept("config/common", IN_FORCE_WITHIN)
    ground.check(f"a control machine back: on every disk within {IN_FORCE_WITHIN:g} s", kept, kept)
    made["one_lost"] = await ground.costs()
    ground.say("all control machines are killed and started")
    await asyncio.gather(*(ground.controls.kill(number) for number in range(ground.controls.count)))
    running = (await ground.play.state())["running"]
    ground.check("all control machines away: all proxies go on", running == ground.size, running)
    began = clock()
    await asyncio.gather(*(ground.play.start_control(number) for number in range(ground.controls.count)))
    await ground.controls.can_write()
    made["writes_again_s"] = round((clock() - began) / 1e6, 2)
    change_ = await ground.publish()
    await ground.play.until_resources({change_[0]: change_[1]}, PATIENCE)
    rows = await ground.play.books()
    made["from_the_start_to_in_force"] = await ground.taken(
        (change_[0], change_[1], began), "all control machines restarted", None, rows, 2 * IN_FORCE_WITHIN
    )
    made["all_restarted"] = await ground.costs()
    storm = made["all_restarted"]
    ground.check(
        "all restarted: resumed without snapshots",
        storm["snapshots"] <= 0.02 * 7 * ground.size,
        storm["snapshots"],
    )
    ground.check("all restarted: calls of the storm", storm["connects"] <= 12 * ground.size, storm["connects"])
    return made


async def region(ground: ScenarioEnvironment) -> dict[str, Any]:
    """A region without a way out for a while, a change on both sides, healed."""
    return await _apart(ground, 8.0 if ground.quick else 60.0, 1)


async def apart(ground: ScenarioEnvironment) -> dict[str, Any]:
    """The same for five minutes, with changes on both sides all the while."""
    return await _apart(ground, 30.0 if ground.quick else 300.0, 3 if ground.quick else 15)


async def _apart(ground: ScenarioEnvironment, span: float, rounds: int) -> dict[str, Any]:
    cut = ground.play.parts - 1
    inside = {place.number for place in ground.play.plan.places if place.region == cut}
    owned = next(service for service in range(len(ground.play.plan.services)) if service % ground.play.parts == cut)
    name = list_of(owned, ground.play.parts)
    rows_ = list(ground.play.plan.services[owned])
    await ground.play.cut({cut}, True)
    began = time.monotonic()
    both: list[tuple[Propagation, Propagation]] = []
    leaked = 0
    for number in range(rounds):
        outer = await ground.publish()
        rows_ = [row(owned, 7000 + number, cut), *rows_]
        at = clock()
        inner = f"endpoints/{name}", await ground.controls.publish("endpoints", name, endpoint_list_body(rows_)), at
        until = time.monotonic() + PATIENCE
        rows: list[Row] = []
        while True:
            rows = joined(rows, await ground.play.books())
            outside_has = ground.play.reached_resource(rows, *outer, ground.everyone(inside))
            inside_has = ground.play.reached_resource(rows, *inner, ground.subscribers(inner[0]) & inside)
            over = time.monotonic() - began >= span * (number + 1) / rounds
            had = outside_has.all is not None and inside_has.all is not None
            if over and (had or time.monotonic() >= until):
                break
            await asyncio.sleep(LOOK_EVERY * 5)
        both.append((outside_has, inside_has))
        leaked += ground.play.reached_resource(rows, *outer, inside).had
    slowest = [max(those, key=lambda one: PATIENCE if one.all is None else one.all) for those in zip(*both)]
    for label, told in zip(("outside has configuration", "inside has its own list"), slowest):
        ground.check(
            f"region cut off: {label} within {IN_FORCE_WITHIN:g} s",
            told.all is not None and told.all <= IN_FORCE_WITHIN,
            told.row(),
        )
    ground.check("region cut off: the change did not pass the cut", leaked == 0, leaked)
    during = await ground.costs()
    healed = clock()
    await ground.play.cut({cut}, False)
    had = await ground.play.until_resources({outer[0]: outer[1], inner[0]: inner[1]}, PATIENCE)
    ground.check("region healed: all have both", had, None)
    rows = await ground.play.books()
    made: dict[str, Any] = {
        "cut_s": round(time.monotonic() - began, 1),
        "changes_on_each_side": rounds,
        "outside": slowest[0].row(),
        "inside": slowest[1].row(),
        "during": during,
    }
    for label, change_, meant in (
        ("configuration inside", outer, inside),
        ("list outside", inner, ground.subscribers(inner[0]) - inside),
    ):
        told = ground.play.reached_resource(rows, change_[0], change_[1], healed, meant)
        ground.check(
            f"region healed: {label} within {IN_FORCE_WITHIN:g} s of the healing",
            told.all is not None and told.all <= IN_FORCE_WITHIN,
            told.row(),
        )
        made[f"healed, {label}"] = told.row()
    made["healing"] = await ground.costs()
    return made


def joined(rows: list[Row], more: list[Row]) -> list[Row]:
    """Books that follow one another, as one."""
    known = {index: (index, view, list(books)) for index, view, books in rows}
    for index, view, books in more:
        known.setdefault(index, (index, view, []))[2].extend(books)
    return list(known.values())


async def release(ground: ScenarioEnvironment) -> dict[str, Any]:
    """The largest service is replaced whole, a part of it at a time, through its list."""
    service, name = 0, list_of(0, ground.play.parts)
    rows_ = {one["id"]: one for one in ground.play.plan.services[service]}
    old = list(rows_)
    step = max(1, len(old) // (6 if ground.quick else 24))
    changes: list[tuple[str, int, int]] = []
    began = time.monotonic()
    for start in range(0, len(old), step):
        for number, id in enumerate(old[start : start + step], start):
            gone = rows_.pop(id)
            fresh = row(service, number, int(gone["zone"][1:]), "ready", 1)
            rows_[fresh["id"]] = fresh
        at = clock()
        version = await ground.controls.publish("endpoints", name, endpoint_list_body(list(rows_.values())))
        changes.append((f"endpoints/{name}", version, at))
        await asyncio.sleep(LOOK_EVERY * 5)
    told = await ground.taken(changes[-1], "release: the last step")
    costs = await ground.costs()
    ground.check(
        "release: bytes of a proxy a second",
        costs["proxy_bytes_a_second"] <= BYTES_A_SECOND,
        costs["proxy_bytes_a_second"],
    )
    return {
        "replaced": len(old),
        "steps": len(changes),
        "seconds": round(time.monotonic() - began, 1),
        "subscribers": len(ground.subscribers(f"endpoints/{name}")),
        "last_step": told,
        **costs,
    }


async def slow(ground: ScenarioEnvironment) -> dict[str, Any]:
    """A control machine stands still and goes on; then a tenth of the proxies does, and a tenth is slow."""
    made: dict[str, Any] = {}
    span = 8.0 if ground.quick else 30.0
    victim = ground.controls.count - 1
    ground.controls.freeze(victim, True)
    began = time.monotonic()
    made["control_stopped"] = await ground.taken(await ground.publish(), "a control machine stands still")
    await asyncio.sleep(max(0.0, span - (time.monotonic() - began)))
    ground.controls.freeze(victim, False)
    made["control_goes_on"] = await ground.taken(await ground.publish(), "the control machine goes on")
    workers = len(ground.play.workers)
    frozen = set(range(0, workers, 10))
    away = {place.number for place in ground.play.plan.places if place.worker in frozen}
    ground.play.freeze(frozen, True)
    change_ = await ground.publish()
    made["a_tenth_frozen"] = await ground.taken(change_, "a tenth frozen: the others", ground.everyone(away))
    ground.play.freeze(frozen, False)
    went_on = clock()
    await ground.play.until_resources({change_[0]: change_[1]}, PATIENCE)
    made["thawed"] = await ground.taken(
        (change_[0], change_[1], went_on),
        "those that were frozen, once they go on",
        away,
        await ground.play.books(),
    )
    made["frozen"] = len(away)
    made.update(await ground.costs())
    return made


async def troubled(ground: ScenarioEnvironment) -> dict[str, Any]:
    """A control machine that hears nobody and is heard; one whose disk is full; a tenth of the proxies slow."""
    made: dict[str, Any] = {}
    victim = ground.controls.count - 1
    await ground.play.cut_control(victim, "out")
    made["hears_nobody"] = await ground.taken(await ground.publish(), "a control machine hears nobody")
    await ground.play.heal()
    ground.controls.full_disk(victim, True)
    made["disk_full"] = await ground.taken(await ground.publish(), "a control machine's disk is full")
    ground.controls.full_disk(victim, False)
    slow_ones = range(0, len(ground.play.workers), 10)
    await ground.play.slow(slow_ones, SLOW_PART, SLOW_FOR)
    made["a_tenth_slow"] = await ground.taken(await ground.publish(), "a tenth slow: all, those too")
    made.update(await ground.costs())
    return made


async def origin(ground: ScenarioEnvironment) -> dict[str, Any]:
    """The origin's disk is full and free again; then it is killed and comes back with one from before a change."""
    made: dict[str, Any] = {}
    controls = ground.controls
    controls.full_disk(ORIGIN, True)
    why = ""
    try:
        await ground.publish()
    except operator_client.NoAnswerError as error:
        why = str(error)
    controls.full_disk(ORIGIN, False)
    ground.check("the origin's disk is full: a change is refused, with why", "can't be written" in why, why)
    made["disk_free"] = await ground.taken(await ground.publish(), "the origin's disk is free again")
    controls.keep_disk(ORIGIN)
    last = await ground.publish()
    made["change_after_the_copy"] = await ground.taken(last, "a change that the copy of its disk lacks")
    await controls.kill(ORIGIN)
    controls.old_disk(ORIGIN)
    began = clock()
    await ground.play.start_control(ORIGIN)
    change_ = await _written(ground)
    made["writes_again_s"] = round((clock() - began) / 1e6, 2)
    ground.check("an old disk: no version is given twice", change_[1] > last[1], [last[1], change_[1]])
    made["old_disk"] = await ground.taken(change_, "the origin is back with an old disk")
    made.update(await ground.costs())
    return made


async def _written(ground: ScenarioEnvironment) -> tuple[str, int, int]:
    """A change, once the origin has compared with the others and fetched what it lacks. Raises operate.NoAnswer."""
    until = time.monotonic() + PATIENCE
    while True:
        try:
            return await ground.publish()
        except operator_client.NoAnswerError as error:
            if time.monotonic() >= until or not any(one in str(error) for one in ("begins to write", "fetched")):
                raise
        await asyncio.sleep(LOOK_EVERY)


async def refused(ground: ScenarioEnvironment) -> dict[str, Any]:
    """A change that a fifth of the proxies refuse stops, and the next one goes on from what stands."""
    what, version, at = await ground.publish(more=REFUSED)
    until = time.monotonic() + PATIENCE
    rollout = await ground.controls.rollout("config", "common")
    while not rollout.halted and time.monotonic() < until:
        await asyncio.sleep(LOOK_EVERY)
        rollout = await ground.controls.rollout("config", "common")
    stopped_after = round((clock() - at) / 1e6, 2)
    # It is halted everywhere once every control machine says so.
    while time.monotonic() < until and not all(one.get("halted") == 1 for one in await ground.controls.figures()):
        await asyncio.sleep(LOOK_EVERY)
    rows = await ground.play.books()
    told = ground.play.reached_resource(rows, what, version, at, ground.everyone())
    ground.check("refused by a fifth: it stops", bool(rollout.halted), rollout.halted)
    ground.check("refused by a fifth: less than half have it", told.had < ground.size / 2, told.had)
    ground.check(
        "refused by a fifth: whoever refused is named, with why",
        bool(rollout.refused) and all("book" in why for why in rollout.refused.values()),
        dict(list(rollout.refused.items())[:2]),
    )
    lacking = {f"p{number}" for number in ground.play.lacking}
    ground.check("refused by a fifth: nobody else refused", set(rollout.refused) <= lacking, len(rollout.refused))
    after = await ground.taken(await ground.publish(), "the change after a refused one")
    return {
        "stopped_after_s": stopped_after,
        "had_it": told.had,
        "refused_it": len(rollout.refused),
        "after": after,
        **await ground.costs(),
    }


async def zone(ground: ScenarioEnvironment) -> dict[str, Any]:
    """A rack, then a zone with its control machine and its proxies, lost and back."""
    made: dict[str, Any] = {}
    places = ground.play.plan.places
    lost_zone = 1
    rack = [place.number for place in places if place.zone == 2][: max(2, ground.size // 125)]
    whole = [place.number for place in places if place.zone == lost_zone]
    for label, gone, control in (("rack", rack, None), ("zone", whole, lost_zone)):
        ground.say(f"a {label} is lost: {len(gone)} proxies")
        await ground.play.ask_all("kill", indices=gone)
        if control is not None and control < ground.controls.count and control != ORIGIN:
            await ground.controls.kill(control)
        others = ground.everyone(set(gone))
        made[f"{label}_lost"] = await ground.taken(await ground.publish(), f"{label} lost: the others", others)
        back = clock()
        if control is not None and control < ground.controls.count and control != ORIGIN:
            await ground.play.start_control(control)
        await ground.play.ask_all("again", indices=gone)
        last = {"config/common": ground.controls.versions["config/common"]}
        await ground.play.until_resources(last, PATIENCE)
        made[f"{label}_back"] = await ground.taken(
            ("config/common", last["config/common"], back),
            f"{label} back",
            set(gone),
            await ground.play.books(),
        )
        made[f"{label}_costs"] = await ground.costs()
    return made


Scene = Callable[[ScenarioEnvironment], Awaitable[dict[str, Any]]]
SCENES: dict[str, Scene] = {
    "change": change,
    "day": day,
    "control-lost": control_lost,
    "region": region,
    "apart": apart,
    "release": release,
    "slow": slow,
    "troubled": troubled,
    "origin": origin,
    "refused": refused,
    "zone": zone,
}


def _verdict(name: str, ground: ScenarioEnvironment, figures: dict[str, Any], seconds: float) -> dict[str, Any]:
    holds = all(one["holds"] for one in ground.checks)
    return {
        "scene": name,
        "verdict": "passed" if holds else "failed",
        "seconds": round(seconds, 1),
        "checks": ground.checks,
        "figures": figures,
    }


async def run_scenarios(
    names: list[str],
    size: int,
    controls: int,
    seed: int,
    quick: bool,
    work: Path,
    say: Callable[[str], None],
    each: Callable[[dict[str, Any]], None] = lambda told: None,
) -> list[dict[str, Any]]:
    """The start of all, and then these scenes in turn on the same stand; `each` has every one as it ends."""
    made: list[dict[str, Any]] = []
    ground = ScenarioEnvironment(size, controls, seed, quick, work, say)
    try:
        began = time.monotonic()
        await ground.begin()
        made.append(_verdict("start", ground, ground.figures, time.monotonic() - began))
        each(made[-1])
        for name in names:
            say(f"scene {name}")
            ground.checks = []
            began = time.monotonic()
            await ground.costs()
            figures = await SCENES[name](ground)
            made.append(_verdict(name, ground, figures, time.monotonic() - began))
            each(made[-1])
    finally:
        await ground.play.end()
    return made


async def before(
    size: int,
    seed: int,
    work: Path,
    say: Callable[[str], None],
    each: Callable[[dict[str, Any]], None] = lambda told: None,
) -> list[dict[str, Any]]:
    """One discovery that all proxies watch, and nothing else: the start of all, one change, and the largest
    service replaced. Without checks: these are the figures that control machines are held against.
    """
    workers = 2 if size > 1000 else 1
    play = HollowRun(plan(size, seed, workers), seed, work, say)
    made: list[dict[str, Any]] = []

    async def costs(seconds: float) -> dict[str, Any]:
        use, counts = play.use(), await play.counts()
        return {
            "discovery": counts,
            "discovery_cores": use.get("discovery"),
            "proxies": use.get("proxies"),
            "proxy_bytes_a_second": round(counts.get("bytes out", 0) / size / max(0.1, seconds), 1),
            "memory_mb_all": play.memory(),
        }

    def told_of(one: dict[str, Any]) -> None:
        made.append(one)
        each(one)

    try:
        await play.stand()
        play.use()
        at, began = clock(), time.monotonic()
        await play.begin(play.plan.places, DISCOVERY)
        versions = await play.versions()
        had = await play.until_in_force(versions, START_WITHIN)
        told = play.reached(await play.books(), versions, at)
        told_of(
            {
                "scene": "before: start",
                "verdict": "passed" if had else "failed",
                "in_force": told.row(),
                **await costs(time.monotonic() - began),
            }
        )
        began = time.monotonic()
        at, versions = await play.change([{**play.plan.services[0][1], "state": "draining"}])
        had = await play.until_in_force(versions, PATIENCE)
        told = play.reached(await play.books(), versions, at)
        told_of(
            {
                "scene": "before: one change",
                "verdict": "passed" if had else "failed",
                "in_force": told.row(),
                **await costs(time.monotonic() - began),
            }
        )
        began = time.monotonic()
        views = [number for number, services in enumerate(play.plan.views) if 0 in services]
        for number, one in enumerate(play.plan.services[0]):
            fresh = row(0, number, int(one["zone"][1:]), "ready", 1)
            at, versions = await play.change([{**one, "state": "gone"}, {**fresh, "new_in": views}])
        had = await play.until_in_force(versions, PATIENCE)
        told = play.reached(await play.books(), versions, at)
        told_of(
            {
                "scene": "before: release",
                "verdict": "passed" if had else "failed",
                "in_force": told.row(),
                "replaced": len(play.plan.services[0]),
                **await costs(time.monotonic() - began),
            }
        )
    finally:
        await play.end()
    return made
