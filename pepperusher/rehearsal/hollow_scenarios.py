"""The scenarios of a scale test: faults of machines, links and proxies, and the checks that follow."""

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

# A change has to be in force at every reachable proxy within this time after it or after the end of a fault.
IN_FORCE_LIMIT_S = 12.0
# After this time a scenario stops waiting and continues; its checks then fail.
WAIT_TIMEOUT_S = 40.0
START_TIMEOUT_S = 120.0
# Limits of the control-plane cost of one proxy: mean bytes per second, and share of a core.
MAX_BYTES_PER_SECOND = 21_000
MAX_CORES = 0.014
# Configuration changes and proxy restarts of an ordinary day.
CHANGES_PER_DAY, RESTARTS_PER_DAY = 2400, 1500
# One proxy in this many lacks the use case that the refused change names.
LACKING_INTERVAL = 5
REFUSED_ROUTE = '\n[[routes]]\nname = "book"\nuse_case = "book"\nmatch = {path = "/book/{any*}"}\n'
# The event loop of a slow process runs for a fifth of the time.
SLOW_LOOP_SHARE, SLOW_DURATION_S = 0.2, 10.0
SMALL_SIZE, SMALL_ZONES = 300, 5
POLL_INTERVAL_S = 0.1


class ScenarioEnvironment:
    """The processes and the state that successive scenarios share. `quick` shortens time spans but keeps every
    check as strict.
    """

    def __init__(
        self, size: int, controls: int, seed: int, quick: bool, work: Path, say: Callable[[str], None]
    ) -> None:
        workers = 2 if size > 1000 else 1
        # A small test has fewer zones, since each needs two processes, but it has every region.
        zones = ZONES if size > SMALL_SIZE or controls > SMALL_ZONES else SMALL_ZONES
        self.size, self.seed, self.quick, self.say = size, seed, quick, say
        self.run = HollowRun(plan(size, seed, workers, zones), seed, work, say, controls=controls, keeps=True)
        self.run.lacking_proxies = {
            place.number for place in self.run.plan.places if place.number % LACKING_INTERVAL == 0
        }
        self.chance = Random(seed)
        self.text = OWN
        self._number = 0
        self.checks: list[dict[str, Any]] = []
        self.figures: dict[str, Any] = {}

    @property
    def controls(self) -> Controls:
        assert self.run.controls is not None
        return self.run.controls

    def check(self, description: str, holds: bool, detail: Any) -> None:
        self.checks.append({"what": description, "holds": holds, "seen": detail})
        if not holds:
            self.say(f"  DOES NOT HOLD: {description}: {detail}")

    def proxy_numbers(self, excluded: set[int] | None = None) -> set[int]:
        return {place.number for place in self.run.plan.places} - (excluded or set())

    async def publish(self, name: str = "common", extra_text: str = "") -> tuple[str, int, int]:
        """Publishes a change of configuration. Returns its resource, its version and the time just before."""
        self._number += 1
        # Each change makes a different file of the same length.
        text = (
            self.text if name == "common" else ""
        ) + f'\n[[backends]]\nid = "c{self._number:06}-{name}"\nweight = 0.5\n'
        published_at = clock()
        version = await self.controls.publish("config", name, (text + extra_text).encode())
        return f"config/{name}", version, published_at

    def subscribers(self, resource: str) -> set[int]:
        kind, _, name = resource.partition("/")
        return {
            place.number
            for place in self.run.plan.places
            if [kind, name] in names_of(place, self.run.plan, self.run.owner_regions)
        }

    async def check_change(
        self,
        change: tuple[str, int, int],
        label: str,
        expected: set[int] | None = None,
        rows: list[Row] | None = None,
        limit: float = IN_FORCE_LIMIT_S,
    ) -> dict[str, Any]:
        """Checks that the change was in force in time at the expected proxies. Without `rows` it first waits for the
        change and collects the activation records.
        """
        resource, version, published_at = change
        if rows is None:
            await self.run.wait_until_resources({resource: version}, WAIT_TIMEOUT_S)
            rows = await self.run.activations()
        expected = self.subscribers(resource) if expected is None else expected & self.subscribers(resource)
        propagation = self.run.resource_propagation(rows, resource, version, published_at, expected)
        self.check(
            f"{label}: in force at all {propagation.of} within {limit:g} s",
            propagation.all is not None and propagation.all <= limit,
            propagation.row(),
        )
        self.check(
            f"{label}: no older version in force after a newer one",
            hollow_statistics.count_version_regressions(rows) == 0,
            len(rows),
        )
        return propagation.row()

    async def wait_until_idle(self) -> dict[str, int]:
        """Waits until the number of tasks is stable and low, and returns the state of the proxies."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        state = await self.run.proxy_state()
        while time.monotonic() < deadline:
            previous, state = state, await self.run.proxy_state()
            if state["tasks"] == previous["tasks"] <= 2 * len(self.run.workers):
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return state

    async def costs(self) -> dict[str, Any]:
        """Traffic, processor and memory use since the last call, mostly for each proxy."""
        traffic, usage = await self.run.traffic(), self.run.usage()
        seconds = max(1, traffic["seconds"])
        proxies = usage.get("proxies", {})
        return {
            "proxy_bytes_a_second": round(
                (traffic.get("bytes in", 0) + traffic.get("bytes out", 0)) / seconds / self.size, 1
            ),
            "proxy_bytes_worst_second_mean": round(traffic["worst second bytes"] / self.size, 1),
            "proxy_bytes_worst_second_of_one": traffic["worst second of one bytes"],
            "proxy_cores": round(proxies.get("cores_mean", 0.0) / self.size, 6),
            "proxy_cores_worst_second": round(proxies.get("cores_worst_s", 0.0) / self.size, 6),
            "proxy_memory_mb": round(proxies.get("memory_mb", 0.0) / self.size, 3),
            "control_cores_each": round(
                usage.get("control", {}).get("cores_mean", 0.0) / max(1, self.controls.count), 4
            ),
            "control_cores_worst_second_all": usage.get("control", {}).get("cores_worst_s"),
            "control_memory_mb_all": usage.get("control", {}).get("memory_mb"),
            "connects": traffic.get("connects", 0),
            "connects_worst_second": traffic["worst second connects"],
            "snapshots": traffic.get("snapshots", 0),
            "deltas": traffic.get("deltas", 0),
            "wants": traffic.get("wants", 0),
            "messages_in": traffic.get("messages in", 0),
            "messages_out": traffic.get("messages out", 0),
            "seconds": seconds,
            "memory_mb_all": self.run.memory(),
        }

    async def start_all(self) -> None:
        """Starts every proxy at once, which is a scenario by itself."""
        self.checks, self.figures = [], {}
        await self.run.start_processes()
        await self.run.publish_all()
        await self.controls.wait_until_settled(WAIT_TIMEOUT_S)
        self.run.usage()
        started_at = clock()
        self.say(f"{self.size} proxies start at once")
        await self.run.start_proxies(self.run.plan.places, CONTROL)
        complete = await self.run.wait_until_resources(dict(self.controls.versions), START_TIMEOUT_S)
        rows = await self.run.activations()
        self.figures = {
            "common": self.run.resource_propagation(
                rows, "config/common", self.controls.versions["config/common"], started_at, self.proxy_numbers()
            ).row(),
            **await self.costs(),
        }
        self.check("start: every proxy has all resources it subscribes to", complete, self.figures["common"])
        self.check(
            "start: at most three connections per proxy",
            self.figures["connects"] <= 3 * self.size,
            self.figures["connects"],
        )


# --- the scenarios --------------------------------------------------------------------------------------


async def change(environment: ScenarioEnvironment) -> dict[str, Any]:
    """One configuration change reaches every proxy."""
    published = await environment.publish()
    propagation = await environment.check_change(published, "one change")
    costs = await environment.costs()
    environment.check(
        "one change: sent once to each proxy",
        costs["deltas"] + costs["snapshots"] == environment.size,
        [costs["deltas"], costs["snapshots"]],
    )
    return {"change": propagation, **costs}


async def day(environment: ScenarioEnvironment) -> dict[str, Any]:
    """The changes and restarts of an ordinary day at 72 times their usual rate."""
    factor = 72.0
    span = 10.0 if environment.quick else 60.0
    before = await environment.wait_until_idle()
    changes: list[tuple[str, int, int]] = []
    restarted: set[int] = set()
    restarts = 0
    began = time.monotonic()
    done = 0
    while (elapsed := time.monotonic() - began) < span:
        for _ in range(int(elapsed * factor * CHANGES_PER_DAY / 86400) - len(changes)):
            # One change in twenty is for every proxy, the others are for one team.
            name = (
                "common"
                if environment.chance.random() < 0.05
                else f"t{environment.chance.randrange(min(TEAMS, environment.size))}"
            )
            changes.append(await environment.publish(name))
        for _ in range(int(elapsed * factor * RESTARTS_PER_DAY / 86400) - restarts):
            indices = [environment.chance.randrange(environment.size)]
            await environment.run.ask_all("kill", indices=indices)
            await environment.run.ask_all("again", indices=indices)
            restarted.update(indices)
            restarts += 1
        await asyncio.sleep(POLL_INTERVAL_S)
        done += 1
    last_versions = {resource: version for resource, version, _ in changes}
    complete = await environment.run.wait_until_resources(last_versions, WAIT_TIMEOUT_S)
    environment.check("day: every proxy has the last version of each resource", complete, len(last_versions))
    rows = await environment.run.activations()
    propagations = []
    for published in changes:
        propagations.append(
            environment.run.resource_propagation(
                rows, published[0], published[1], published[2], environment.subscribers(published[0]) - restarted
            )
        )
    late = [
        propagation.row()
        for propagation in propagations
        if propagation.all is None or propagation.all > IN_FORCE_LIMIT_S
    ]
    environment.check(
        f"day: each of {len(changes)} changes in force within {IN_FORCE_LIMIT_S:g} s at all proxies that did not restart",
        not late,
        late[:3],
    )
    costs = await environment.costs()
    environment.check(
        "day: bytes per second of a proxy",
        costs["proxy_bytes_a_second"] <= MAX_BYTES_PER_SECOND,
        costs["proxy_bytes_a_second"],
    )
    environment.check("day: processor use of a proxy", costs["proxy_cores"] <= MAX_CORES, costs["proxy_cores"])
    after = await environment.wait_until_idle()
    for kind in ("running", "told", "backends", "versions", "subscribed", "tasks"):
        environment.check(
            f"day: {kind} does not grow", after[kind] <= before[kind] * 1.01 + 2, [before[kind], after[kind]]
        )
    times_to_all = [propagation.all for propagation in propagations if propagation.all is not None]
    times_to_99 = [propagation.most for propagation in propagations if propagation.most is not None]
    return {
        "factor": factor,
        "changes": len(changes),
        "restarts": restarts,
        "slowest_all_s": max(times_to_all, default=None),
        "slowest_99%_s": max(times_to_99, default=None),
        "state_before": before,
        "state_after": after,
        **costs,
    }


async def control_lost(environment: ScenarioEnvironment) -> dict[str, Any]:
    """A control machine is killed, a change is published and the machine restarts; then all machines are killed and
    restarted at once.
    """
    figures: dict[str, Any] = {}
    victim = environment.controls.count - 1
    await environment.controls.kill(victim)
    figures["change_after_a_kill"] = await environment.check_change(
        await environment.publish(), "a control machine killed"
    )
    await environment.run.start_control(victim)
    # The next step requires that every machine has the change on disk. A machine that is killed again before that
    # has no base version for the resources of its proxies; `Plays.test_all_killed_as_one_of_them_is_behind` covers
    # that case.
    on_disk = await environment.controls.wait_until_on_disk("config/common", IN_FORCE_LIMIT_S)
    environment.check(
        f"control machine restarted: change on every disk within {IN_FORCE_LIMIT_S:g} s",
        on_disk,
        on_disk or await environment.controls.describe_disks("config/common"),
    )
    figures["one_lost"] = await environment.costs()
    environment.say("all control machines are killed and started")
    await asyncio.gather(*(environment.controls.kill(number) for number in range(environment.controls.count)))
    running = (await environment.run.proxy_state())["running"]
    environment.check("all control machines down: all proxies keep running", running == environment.size, running)
    began = clock()
    await asyncio.gather(*(environment.run.start_control(number) for number in range(environment.controls.count)))
    await environment.controls.can_write()
    figures["writes_again_s"] = round((clock() - began) / 1e6, 2)
    published = await environment.publish()
    await environment.run.wait_until_resources({published[0]: published[1]}, WAIT_TIMEOUT_S)
    rows = await environment.run.activations()
    figures["from_the_start_to_in_force"] = await environment.check_change(
        (published[0], published[1], began), "all control machines restarted", None, rows, 2 * IN_FORCE_LIMIT_S
    )
    figures["all_restarted"] = await environment.costs()
    costs = figures["all_restarted"]
    environment.check(
        "all restarted: resumed without snapshots",
        costs["snapshots"] <= 0.02 * 7 * environment.size,
        costs["snapshots"],
    )
    environment.check(
        "all restarted: number of connects", costs["connects"] <= 12 * environment.size, costs["connects"]
    )
    return figures


async def region(environment: ScenarioEnvironment) -> dict[str, Any]:
    """A network partition cuts off a region for a while, with one change on each side, and then heals."""
    return await _run_partition(environment, 8.0 if environment.quick else 60.0, 1)


async def apart(environment: ScenarioEnvironment) -> dict[str, Any]:
    """Like `region`, but the partition lasts five minutes, with changes on both sides throughout."""
    return await _run_partition(environment, 30.0 if environment.quick else 300.0, 3 if environment.quick else 15)


async def _run_partition(environment: ScenarioEnvironment, span: float, rounds: int) -> dict[str, Any]:
    cut_region = environment.run.owner_regions - 1
    inside = {place.number for place in environment.run.plan.places if place.region == cut_region}
    owned = next(
        service
        for service in range(len(environment.run.plan.services))
        if service % environment.run.owner_regions == cut_region
    )
    name = list_of(owned, environment.run.owner_regions)
    endpoints = list(environment.run.plan.services[owned])
    await environment.run.cut({cut_region}, True)
    began = time.monotonic()
    propagations: list[tuple[Propagation, Propagation]] = []
    leak_count = 0
    for number in range(rounds):
        outside_change = await environment.publish()
        endpoints = [row(owned, 7000 + number, cut_region), *endpoints]
        published_at = clock()
        inside_change = (
            f"endpoints/{name}",
            await environment.controls.publish("endpoints", name, endpoint_list_body(endpoints)),
            published_at,
        )
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        rows: list[Row] = []
        while True:
            rows = merge_records(rows, await environment.run.activations())
            outside_has = environment.run.resource_propagation(rows, *outside_change, environment.proxy_numbers(inside))
            inside_has = environment.run.resource_propagation(
                rows, *inside_change, environment.subscribers(inside_change[0]) & inside
            )
            span_elapsed = time.monotonic() - began >= span * (number + 1) / rounds
            complete = outside_has.all is not None and inside_has.all is not None
            if span_elapsed and (complete or time.monotonic() >= deadline):
                break
            await asyncio.sleep(POLL_INTERVAL_S * 5)
        propagations.append((outside_has, inside_has))
        leak_count += environment.run.resource_propagation(rows, *outside_change, inside).had
    slowest = [
        max(results, key=lambda result: WAIT_TIMEOUT_S if result.all is None else result.all)
        for results in zip(*propagations)
    ]
    for label, propagation in zip(("outside has configuration", "inside has its own list"), slowest):
        environment.check(
            f"region cut off: {label} within {IN_FORCE_LIMIT_S:g} s",
            propagation.all is not None and propagation.all <= IN_FORCE_LIMIT_S,
            propagation.row(),
        )
    environment.check("region cut off: the change did not reach the region", leak_count == 0, leak_count)
    during = await environment.costs()
    healed_at = clock()
    await environment.run.cut({cut_region}, False)
    complete = await environment.run.wait_until_resources(
        {outside_change[0]: outside_change[1], inside_change[0]: inside_change[1]}, WAIT_TIMEOUT_S
    )
    environment.check("region healed: all have both", complete, None)
    rows = await environment.run.activations()
    figures: dict[str, Any] = {
        "cut_s": round(time.monotonic() - began, 1),
        "changes_on_each_side": rounds,
        "outside": slowest[0].row(),
        "inside": slowest[1].row(),
        "during": during,
    }
    for label, published, expected in (
        ("configuration inside", outside_change, inside),
        ("list outside", inside_change, environment.subscribers(inside_change[0]) - inside),
    ):
        propagation = environment.run.resource_propagation(rows, published[0], published[1], healed_at, expected)
        environment.check(
            f"region healed: {label} within {IN_FORCE_LIMIT_S:g} s of the healing",
            propagation.all is not None and propagation.all <= IN_FORCE_LIMIT_S,
            propagation.row(),
        )
        figures[f"healed, {label}"] = propagation.row()
    figures["healing"] = await environment.costs()
    return figures


def merge_records(rows: list[Row], later: list[Row]) -> list[Row]:
    """Appends later activation records to earlier ones, by proxy."""
    by_index = {index: (index, view, list(records)) for index, view, records in rows}
    for index, view, records in later:
        by_index.setdefault(index, (index, view, []))[2].extend(records)
    return list(by_index.values())


async def release(environment: ScenarioEnvironment) -> dict[str, Any]:
    """Every backend of the largest service is replaced in steps through its endpoint list."""
    service, name = 0, list_of(0, environment.run.owner_regions)
    endpoints = {endpoint["id"]: endpoint for endpoint in environment.run.plan.services[service]}
    old = list(endpoints)
    step = max(1, len(old) // (6 if environment.quick else 24))
    changes: list[tuple[str, int, int]] = []
    began = time.monotonic()
    for start in range(0, len(old), step):
        for number, id in enumerate(old[start : start + step], start):
            removed = endpoints.pop(id)
            replacement = row(service, number, int(removed["zone"][1:]), "ready", 1)
            endpoints[replacement["id"]] = replacement
        published_at = clock()
        version = await environment.controls.publish("endpoints", name, endpoint_list_body(list(endpoints.values())))
        changes.append((f"endpoints/{name}", version, published_at))
        await asyncio.sleep(POLL_INTERVAL_S * 5)
    propagation = await environment.check_change(changes[-1], "release: the last step")
    costs = await environment.costs()
    environment.check(
        "release: bytes per second of a proxy",
        costs["proxy_bytes_a_second"] <= MAX_BYTES_PER_SECOND,
        costs["proxy_bytes_a_second"],
    )
    return {
        "replaced": len(old),
        "steps": len(changes),
        "seconds": round(time.monotonic() - began, 1),
        "subscribers": len(environment.subscribers(f"endpoints/{name}")),
        "last_step": propagation,
        **costs,
    }


async def slow(environment: ScenarioEnvironment) -> dict[str, Any]:
    """A control machine is suspended and resumed; then a tenth of the proxies is suspended and resumed."""
    figures: dict[str, Any] = {}
    span = 8.0 if environment.quick else 30.0
    victim = environment.controls.count - 1
    environment.controls.freeze(victim, True)
    began = time.monotonic()
    figures["control_stopped"] = await environment.check_change(
        await environment.publish(), "control machine suspended"
    )
    await asyncio.sleep(max(0.0, span - (time.monotonic() - began)))
    environment.controls.freeze(victim, False)
    figures["control_goes_on"] = await environment.check_change(await environment.publish(), "control machine resumed")
    workers = len(environment.run.workers)
    frozen_workers = set(range(0, workers, 10))
    suspended = {place.number for place in environment.run.plan.places if place.worker in frozen_workers}
    environment.run.freeze(frozen_workers, True)
    published = await environment.publish()
    figures["a_tenth_frozen"] = await environment.check_change(
        published, "a tenth suspended: the other proxies", environment.proxy_numbers(suspended)
    )
    environment.run.freeze(frozen_workers, False)
    resumed_at = clock()
    await environment.run.wait_until_resources({published[0]: published[1]}, WAIT_TIMEOUT_S)
    figures["thawed"] = await environment.check_change(
        (published[0], published[1], resumed_at),
        "suspended proxies after they resume",
        suspended,
        await environment.run.activations(),
    )
    figures["frozen"] = len(suspended)
    figures.update(await environment.costs())
    return figures


async def troubled(environment: ScenarioEnvironment) -> dict[str, Any]:
    """A control machine receives no traffic but can send; its disk is full; then a tenth of the proxies is slow."""
    figures: dict[str, Any] = {}
    victim = environment.controls.count - 1
    await environment.run.cut_control(victim, "out")
    figures["hears_nobody"] = await environment.check_change(
        await environment.publish(), "control machine receives no traffic"
    )
    await environment.run.heal()
    environment.controls.limit_disk(victim, True)
    figures["disk_full"] = await environment.check_change(
        await environment.publish(), "a control machine's disk is full"
    )
    environment.controls.limit_disk(victim, False)
    slow_workers = range(0, len(environment.run.workers), 10)
    await environment.run.slow_down(slow_workers, SLOW_LOOP_SHARE, SLOW_DURATION_S)
    figures["a_tenth_slow"] = await environment.check_change(await environment.publish(), "a tenth slow: all proxies")
    figures.update(await environment.costs())
    return figures


async def origin(environment: ScenarioEnvironment) -> dict[str, Any]:
    """The disk of the origin is full and then free again; then the origin is killed and restarts from a copy of its
    disk that lacks the last change.
    """
    figures: dict[str, Any] = {}
    controls = environment.controls
    controls.limit_disk(ORIGIN, True)
    reason = ""
    try:
        await environment.publish()
    except operator_client.NoAnswerError as error:
        reason = str(error)
    controls.limit_disk(ORIGIN, False)
    environment.check(
        "the origin's disk is full: a change is refused with the reason", "can't be written" in reason, reason
    )
    figures["disk_free"] = await environment.check_change(
        await environment.publish(), "the origin's disk is free again"
    )
    controls.copy_disk(ORIGIN)
    last_change = await environment.publish()
    figures["change_after_the_copy"] = await environment.check_change(
        last_change, "change that the copy of the origin's disk lacks"
    )
    await controls.kill(ORIGIN)
    controls.restore_disk(ORIGIN)
    began = clock()
    await environment.run.start_control(ORIGIN)
    published = await _publish_when_writable(environment)
    figures["writes_again_s"] = round((clock() - began) / 1e6, 2)
    environment.check(
        "old disk: no version number is reused", published[1] > last_change[1], [last_change[1], published[1]]
    )
    figures["old_disk"] = await environment.check_change(published, "origin restarted with an old disk")
    figures.update(await environment.costs())
    return figures


async def _publish_when_writable(environment: ScenarioEnvironment) -> tuple[str, int, int]:
    """Publishes a change, retrying until the origin has compared its state with the other machines and fetched the
    missing versions. Raises operator_client.NoAnswerError.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while True:
        try:
            return await environment.publish()
        except operator_client.NoAnswerError as error:
            if time.monotonic() >= deadline or not any(text in str(error) for text in ("begins to write", "fetched")):
                raise
        await asyncio.sleep(POLL_INTERVAL_S)


async def refused(environment: ScenarioEnvironment) -> dict[str, Any]:
    """The rollout of a change that a fifth of the proxies refuse halts; the next change succeeds."""
    resource, version, published_at = await environment.publish(extra_text=REFUSED_ROUTE)
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    rollout = await environment.controls.rollout("config", "common")
    while not rollout.halted and time.monotonic() < deadline:
        await asyncio.sleep(POLL_INTERVAL_S)
        rollout = await environment.controls.rollout("config", "common")
    halted_after_s = round((clock() - published_at) / 1e6, 2)
    # The rollout has halted everywhere once every control machine reports it.
    while time.monotonic() < deadline and not all(
        counters.get("halted") == 1 for counters in await environment.controls.counters()
    ):
        await asyncio.sleep(POLL_INTERVAL_S)
    rows = await environment.run.activations()
    propagation = environment.run.resource_propagation(
        rows, resource, version, published_at, environment.proxy_numbers()
    )
    environment.check("refused by a fifth: the rollout halts", bool(rollout.halted), rollout.halted)
    environment.check(
        "refused by a fifth: less than half have it", propagation.had < environment.size / 2, propagation.had
    )
    environment.check(
        "refused by a fifth: each refusing proxy is listed with its reason",
        bool(rollout.refused) and all("book" in reason for reason in rollout.refused.values()),
        dict(list(rollout.refused.items())[:2]),
    )
    lacking = {f"p{number}" for number in environment.run.lacking_proxies}
    environment.check(
        "refused by a fifth: no other proxy refused", set(rollout.refused) <= lacking, len(rollout.refused)
    )
    after = await environment.check_change(await environment.publish(), "change after a refused change")
    return {
        "stopped_after_s": halted_after_s,
        "had_it": propagation.had,
        "refused_it": len(rollout.refused),
        "after": after,
        **await environment.costs(),
    }


async def zone(environment: ScenarioEnvironment) -> dict[str, Any]:
    """A rack is lost and restored, then a zone with its proxies and its control machine."""
    figures: dict[str, Any] = {}
    places = environment.run.plan.places
    lost_zone = 1
    rack = [place.number for place in places if place.zone == 2][: max(2, environment.size // 125)]
    zone_places = [place.number for place in places if place.zone == lost_zone]
    for label, lost, control in (("rack", rack, None), ("zone", zone_places, lost_zone)):
        environment.say(f"a {label} is lost: {len(lost)} proxies")
        await environment.run.ask_all("kill", indices=lost)
        if control is not None and control < environment.controls.count and control != ORIGIN:
            await environment.controls.kill(control)
        remaining = environment.proxy_numbers(set(lost))
        figures[f"{label}_lost"] = await environment.check_change(
            await environment.publish(), f"{label} lost: the other proxies", remaining
        )
        restarted_at = clock()
        if control is not None and control < environment.controls.count and control != ORIGIN:
            await environment.run.start_control(control)
        await environment.run.ask_all("again", indices=lost)
        last_version = {"config/common": environment.controls.versions["config/common"]}
        await environment.run.wait_until_resources(last_version, WAIT_TIMEOUT_S)
        figures[f"{label}_back"] = await environment.check_change(
            ("config/common", last_version["config/common"], restarted_at),
            f"{label} restored",
            set(lost),
            await environment.run.activations(),
        )
        figures[f"{label}_costs"] = await environment.costs()
    return figures


Scenario = Callable[[ScenarioEnvironment], Awaitable[dict[str, Any]]]
SCENES: dict[str, Scenario] = {
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


def _result(name: str, environment: ScenarioEnvironment, figures: dict[str, Any], seconds: float) -> dict[str, Any]:
    passed = all(check["holds"] for check in environment.checks)
    return {
        "scene": name,
        "verdict": "passed" if passed else "failed",
        "seconds": round(seconds, 1),
        "checks": environment.checks,
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
    on_result: Callable[[dict[str, Any]], None] = lambda result: None,
) -> list[dict[str, Any]]:
    """Starts every proxy, then runs these scenarios one after another on the same processes. `on_result` receives every
    result as soon as its scenario ends.
    """
    results: list[dict[str, Any]] = []
    environment = ScenarioEnvironment(size, controls, seed, quick, work, say)
    try:
        began = time.monotonic()
        await environment.start_all()
        results.append(_result("start", environment, environment.figures, time.monotonic() - began))
        on_result(results[-1])
        for name in names:
            say(f"scene {name}")
            environment.checks = []
            began = time.monotonic()
            await environment.costs()
            figures = await SCENES[name](environment)
            results.append(_result(name, environment, figures, time.monotonic() - began))
            on_result(results[-1])
    finally:
        await environment.run.end()
    return results


async def before(
    size: int,
    seed: int,
    work: Path,
    say: Callable[[str], None],
    on_result: Callable[[dict[str, Any]], None] = lambda propagation: None,
) -> list[dict[str, Any]]:
    """Measures the design without control machines: every proxy watches one discovery process. The steps are the
    start of all proxies, one change, and the replacement of the largest service. They have no limits to check:
    their figures are the baseline for the control machines.
    """
    workers = 2 if size > 1000 else 1
    run = HollowRun(plan(size, seed, workers), seed, work, say)
    results: list[dict[str, Any]] = []

    async def costs(seconds: float) -> dict[str, Any]:
        usage, counts = run.usage(), await run.discovery_counts()
        return {
            "discovery": counts,
            "discovery_cores": usage.get("discovery"),
            "proxies": usage.get("proxies"),
            "proxy_bytes_a_second": round(counts.get("bytes out", 0) / size / max(0.1, seconds), 1),
            "memory_mb_all": run.memory(),
        }

    def add_result(result: dict[str, Any]) -> None:
        results.append(result)
        on_result(result)

    try:
        await run.start_processes()
        run.usage()
        changed_at, began = clock(), time.monotonic()
        await run.start_proxies(run.plan.places, DISCOVERY)
        versions = await run.versions()
        complete = await run.wait_until_versions(versions, START_TIMEOUT_S)
        propagation = run.list_propagation(await run.activations(), versions, changed_at)
        add_result(
            {
                "scene": "before: start",
                "verdict": "passed" if complete else "failed",
                "in_force": propagation.row(),
                **await costs(time.monotonic() - began),
            }
        )
        began = time.monotonic()
        changed_at, versions = await run.change_backends([{**run.plan.services[0][1], "state": "draining"}])
        complete = await run.wait_until_versions(versions, WAIT_TIMEOUT_S)
        propagation = run.list_propagation(await run.activations(), versions, changed_at)
        add_result(
            {
                "scene": "before: one change",
                "verdict": "passed" if complete else "failed",
                "in_force": propagation.row(),
                **await costs(time.monotonic() - began),
            }
        )
        began = time.monotonic()
        views = [number for number, services in enumerate(run.plan.views) if 0 in services]
        for number, endpoint in enumerate(run.plan.services[0]):
            replacement = row(0, number, int(endpoint["zone"][1:]), "ready", 1)
            changed_at, versions = await run.change_backends(
                [{**endpoint, "state": "gone"}, {**replacement, "new_in": views}]
            )
        complete = await run.wait_until_versions(versions, WAIT_TIMEOUT_S)
        propagation = run.list_propagation(await run.activations(), versions, changed_at)
        add_result(
            {
                "scene": "before: release",
                "verdict": "passed" if complete else "failed",
                "in_force": propagation.row(),
                "replaced": len(run.plan.services[0]),
                **await costs(time.monotonic() - began),
            }
        )
    finally:
        await run.end()
    return results
