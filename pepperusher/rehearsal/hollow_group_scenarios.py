"""The scenario of a group of hollow proxies at scale: its steps, the faults in them and the checks that follow."""

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
from pepperusher.rehearsal.hollow_group import ALL_ALIVE
from pepperusher.rehearsal.hollow_group_statistics import MAX_IDLE_DATAGRAMS
from pepperusher.rehearsal.hollow_group_run import PERIOD, ANSWER_TIMEOUT, HollowGroupRun
from pepperusher.rehearsal.hollow_plan import ZONES, plan
from pepperusher.rehearsal.loopback_networks import reserve_network
from pepperusher.rehearsal.wire import clock

# The member list holds at most MOST other members (group/membership.py).
LARGEST = MAX_MEMBERS + 1
# (largest number of members, zones): small groups have fewer zones.
ZONE_COUNTS = ((60, 3), (300, 5))
# Time-out of the wait in a step; after it the check of the step fails.
WAIT_TIMEOUT_S = 150.0
QUICK_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.2
LOSS_RATE = 0.3
# Seconds of the idle step and of the step with packet loss: in a quick run, in a full run.
IDLE_SPANS_S = 2.0, 20.0
LOSS_SPANS_S = 2.0, 30.0
BANNED_BACKEND = "s0-0"
# Sums over all members vary a little between two queries, so small differences are no growth.
GROWTH_TOLERANCE = 1.01
SMALL_DIFFERENCE = 2


class GroupScenarioEnvironment:
    """The run that all steps share, and the checks of the current step."""

    def __init__(self, run: HollowGroupRun, period: int, quick: bool, say: Callable[[str], None], slack: float) -> None:
        self.run, self.quick, self.say = run, quick, say
        self.size = run.size
        self.period = period
        self.slack = slack
        self.detection_limit = slack * hollow_group_statistics.detection_time_limit(self.size, period)
        self.propagation_limit = slack * hollow_group_statistics.propagation_time_limit(period)
        self.checks: list[dict[str, Any]] = []
        self.rows: list[Row] = []

    def check(self, description: str, holds: bool, detail: Any) -> None:
        self.checks.append({"what": description, "holds": bool(holds), "seen": detail})
        if not holds:
            self.say(f"  DOES NOT HOLD: {description}: {detail}")

    def member_numbers(self, excluded: Iterable[int] = ()) -> set[int]:
        return {place.number for place in self.run.plan.places} - set(excluded)

    @staticmethod
    def member_name(number: int) -> str:
        return f"p{number}"

    async def read_records(self) -> list[Row]:
        self.rows = await self.run.activations()
        return self.rows

    def check_time(self, label: str, propagation: Propagation, limit: float) -> dict[str, Any]:
        self.check(
            f"{label}: at all {propagation.of} within {limit:.1f} s",
            propagation.all is not None and propagation.all <= limit,
            propagation.row(),
        )
        return propagation.row()

    def propagation(self, observation: str, event_at: int, expected: set[int], version: int = 1) -> Propagation:
        return self.run.resource_propagation(self.rows, observation, version, event_at, expected)

    def check_only_lost(self, label: str, lost: Iterable[int]) -> None:
        """Checks that no other member was found lost."""
        expected = {self.member_name(number) for number in lost}
        unexpected = {
            member: observers
            for member, observers in hollow_group_statistics.count_observations(self.rows, "lost").items()
            if member not in expected
        }
        self.check(f"{label}: no other member found lost", not unexpected, dict(list(unexpected.items())[:5]))

    async def check_sharers(self, label: str, size: int, by: Iterable[int] | None = None) -> Counter[str]:
        """Checks that every member shares the limits with the expected number of members."""
        counts = await self.run.count_alive_views(by)
        self.check(
            f"{label}: each member is one of {size} sharers",
            counts[f"share of {size}"] == counts["of"] > 0,
            dict(counts),
        )
        return counts

    async def costs(self) -> dict[str, Any]:
        """Traffic per member and second since the last call, as the members count it, and processor and memory use."""
        seconds = time.monotonic() - self._last_costs_at
        traffic, longest, counts = await self.run.group_traffic()
        self._last_costs_at = time.monotonic()
        usage = self.run.usage()
        cores = usage.get("proxies", {})
        member_seconds = max(0.001, seconds) * self.size
        return {
            "seconds": round(seconds, 1),
            "datagrams_out_a_second": round(traffic["datagrams out"] / member_seconds, 2),
            "datagrams_in_a_second": round(traffic["datagrams in"] / member_seconds, 2),
            "bytes_out_a_second": round(traffic["bytes out"] / member_seconds, 1),
            "bytes_in_a_second": round(traffic["bytes in"] / member_seconds, 1),
            "streams": traffic["streams"],
            "longest_datagram": longest,
            "member_cores": round(cores.get("cores_mean", 0.0) / self.size, 6),
            "member_cores_worst_second": round(cores.get("cores_worst_s", 0.0) / self.size, 6),
            "member_memory_mb": round(cores.get("memory_mb", 0.0) / self.size, 3),
            "links_cores": usage.get("ways", {}).get("cores_mean"),
            "counts": {counter: count for counter, count in sorted(counts.items())},
        }

    async def start_processes(self) -> None:
        await self.run.start_processes()
        self.run.usage()
        self._last_costs_at = time.monotonic()

    async def wait_until_quiet(self) -> float | None:
        """Waits until no member has updates left to gossip. Returns the seconds that took, or None on time-out."""
        began = time.monotonic()
        while time.monotonic() - began < WAIT_TIMEOUT_S:
            if not (await self.run.views_and_state())[1]["rumours"]:
                return round(time.monotonic() - began, 1)
            await asyncio.sleep(POLL_INTERVAL_S)
        return None


async def join(environment: GroupScenarioEnvironment) -> dict[str, Any]:
    """All members start at once, until each finds all others alive."""
    started_at = clock()
    await environment.run.start_all()
    start_duration_s = round((clock() - started_at) / 1e6, 2)
    complete = await environment.run.wait_until_all_alive(WAIT_TIMEOUT_S)
    environment.check(
        "join: each member finds all others alive", complete, dict(await environment.run.count_alive_views())
    )
    await environment.read_records()
    propagation = environment.propagation(ALL_ALIVE, started_at, environment.member_numbers())
    counts = await environment.check_sharers("join", environment.size)
    environment.check(
        "join: each member reaches a majority", counts["reaches majority"] == environment.size, dict(counts)
    )
    environment.check_only_lost("join", ())
    costs = await environment.costs()
    longest = costs["longest_datagram"]
    environment.check("join: no datagram over the size limit", longest <= MAX_DATAGRAM_BYTES, longest)
    return {"started_s": start_duration_s, "each_knows_all": propagation.row(), **costs}


async def quiet(environment: GroupScenarioEnvironment) -> dict[str, Any]:
    """An idle span, after the updates about the joined members have reached all."""
    settled_after_s = await environment.wait_until_quiet()
    environment.check("quiet: no more updates about joined members", settled_after_s is not None, settled_after_s)
    await environment.read_records()
    costs_before = await environment.costs()
    await asyncio.sleep(IDLE_SPANS_S[not environment.quick])
    costs = await environment.costs()
    rows = await environment.read_records()
    datagrams_per_period = costs["datagrams_out_a_second"] * environment.period / 1e6
    environment.check(
        f"quiet: {MAX_IDLE_DATAGRAMS:g} datagrams per period at most",
        datagrams_per_period <= MAX_IDLE_DATAGRAMS,
        round(datagrams_per_period, 2),
    )
    environment.check_only_lost("quiet", ())
    return {
        "news_end_after_s": settled_after_s,
        "until_then": costs_before,
        "datagrams_a_period": round(datagrams_per_period, 2),
        "suspicions": hollow_group_statistics.count_observations(rows, "suspected").total(),
        **costs,
    }


async def killed(environment: GroupScenarioEnvironment) -> dict[str, Any]:
    """A member is killed: the others find it lost and keep its share of the limits. It restarts under its name."""
    victim = environment.size - 1
    others = environment.member_numbers({victim})
    fault_at = clock()
    await environment.run.ask_all("kill", indices=[victim])
    await environment.run.wait_until_found([environment.member_name(victim)], "lost", WAIT_TIMEOUT_S)
    await environment.read_records()
    name = environment.member_name(victim)
    found_lost = environment.check_time(
        "killed: found lost", environment.propagation(f"lost {name}", fault_at, others), environment.detection_limit
    )
    environment.check_only_lost("killed", {victim})
    await environment.check_sharers("killed", environment.size)
    costs = await environment.costs()
    fault_at = clock()
    await environment.run.ask_all("again", indices=[victim])
    environment.check(
        "restarted: each member finds all others alive",
        await environment.run.wait_until_all_alive(WAIT_TIMEOUT_S),
        None,
    )
    await environment.read_records()
    found_again = environment.check_time(
        "restarted: all others know the new incarnation",
        environment.propagation(f"a new life {name}", fault_at, others),
        environment.detection_limit,
    )
    return {"lost": found_lost, "found_again": found_again, **costs}


async def left(environment: GroupScenarioEnvironment) -> dict[str, Any]:
    """A member leaves with a notice: its share of the limits goes to the others. It then restarts and rejoins."""
    leaver = environment.size - 2
    others = environment.member_numbers({leaver})
    ordered_at = clock()
    await environment.run.query_group("leave", indices=[leaver])
    await environment.run.wait_until_found([environment.member_name(leaver)], "gone", WAIT_TIMEOUT_S, others)
    await environment.read_records()
    # Like a complete proxy, it sends the notice when its drain time is over, some time after the order to stop.
    propagation = environment.propagation(f"left {environment.member_name(leaver)}", ordered_at, others)
    found_gone = environment.check_time(
        "left: notice received", propagation, ACCEPT_AFTER_SIGTERM_S + environment.propagation_limit
    )
    environment.check_only_lost("left", ())
    await environment.check_sharers("left", environment.size - 1)
    await environment.run.ask_all("again", indices=[leaver])
    environment.check(
        "rejoined: each member finds all others alive", await environment.run.wait_until_all_alive(WAIT_TIMEOUT_S), None
    )
    await environment.check_sharers("rejoined", environment.size)
    return {"gone": found_gone, **await environment.costs()}


async def ban(environment: GroupScenarioEnvironment) -> dict[str, Any]:
    """A ban is set at one member, reaches all, and is lifted at another member."""
    figures: dict[str, Any] = {}
    for number, on in ((0, True), (environment.size // 2, False)):
        await environment.read_records()
        began = clock()
        ordered_at = await environment.run.ban(number, BANNED_BACKEND, on)
        await environment.run.wait_for_all(
            "holds", WAIT_TIMEOUT_S, "holds", backend=BANNED_BACKEND, at=ordered_at, on=on
        )
        await environment.read_records()
        action = "ban" if on else "ban lifted"
        figures[action] = environment.check_time(
            f"{action}: received",
            environment.propagation(f"order {BANNED_BACKEND}", began, environment.member_numbers(), ordered_at),
            environment.propagation_limit,
        )
    return {**figures, **await environment.costs()}


async def stopped(environment: GroupScenarioEnvironment) -> dict[str, Any]:
    """A tenth of the members is suspended until all others find it lost, and then resumed."""
    run = environment.run
    workers: set[int] = set()
    suspended: set[int] = set()
    for worker in reversed(range(len(run.workers))):
        if len(suspended) < environment.size / 10:
            workers.add(worker)
            suspended |= {place.number for place in run.plan.places if place.worker == worker}
    others = environment.member_numbers(suspended)
    names = [environment.member_name(number) for number in sorted(suspended)]
    await environment.read_records()
    fault_at = clock()
    run.freeze(workers, True)
    found = await run.wait_until_found(names, "lost", WAIT_TIMEOUT_S, others)
    suspended_s = round((clock() - fault_at) / 1e6, 2)
    environment.check(f"a tenth suspended: all others find the {len(suspended)} members lost", found, suspended_s)
    await environment.read_records()
    propagations = [environment.propagation(f"lost {name}", fault_at, others) for name in names]
    last_propagation = max(
        propagations, key=lambda propagation: propagation.all if propagation.all is not None else WAIT_TIMEOUT_S
    )
    last_lost = environment.check_time(
        "a tenth suspended: last one found lost", last_propagation, environment.detection_limit
    )
    environment.check_only_lost("a tenth suspended", suspended)
    await environment.check_sharers("a tenth suspended", environment.size, others)
    fault_at = clock()
    run.freeze(workers, False)
    environment.check(
        "a tenth resumed: each member finds all others alive", await run.wait_until_all_alive(WAIT_TIMEOUT_S), None
    )
    rows = await environment.read_records()
    found_again = environment.check_time(
        "a tenth resumed: each member finds all others alive",
        hollow_group_statistics.last_occurrence_times(rows, ALL_ALIVE, fault_at, environment.member_numbers()),
        environment.detection_limit,
    )
    losses = hollow_group_statistics.count_observations([row for row in rows if row[0] in suspended], "lost")
    environment.check(
        "a tenth resumed: resumed members found no other lost", not losses, dict(list(losses.items())[:5])
    )
    await environment.check_sharers("a tenth resumed", environment.size)
    return {
        "stopped": len(suspended),
        "stood_s": suspended_s,
        "last_lost": last_lost,
        "found_again": found_again,
        **await environment.costs(),
    }


async def zone(environment: GroupScenarioEnvironment) -> dict[str, Any]:
    """A zone is cut off, a ban is set outside of it, and the partition heals."""
    run = environment.run
    cut_zone = len(run.relays) - 1
    members_inside = {place.number for place in run.plan.places if place.zone == cut_zone}
    members_outside = environment.member_numbers(members_inside)
    names = [environment.member_name(number) for number in sorted(members_inside)]
    await environment.read_records()
    cut_at = clock()
    await run.cut_off_zones({cut_zone})
    environment.check(
        f"zone cut off: all outside find its {len(members_inside)} members lost",
        await run.wait_until_found(names, "lost", WAIT_TIMEOUT_S, members_outside),
        None,
    )
    deadline = time.monotonic() + (QUICK_TIMEOUT_S if environment.quick else WAIT_TIMEOUT_S)
    while (counts_inside := await run.count_alive_views(members_inside))[
        "reaches majority"
    ] and time.monotonic() < deadline:
        await asyncio.sleep(POLL_INTERVAL_S)
    rows = await environment.read_records()
    propagations = [environment.propagation(f"lost {name}", cut_at, members_outside) for name in names]
    last_propagation = max(
        propagations, key=lambda propagation: propagation.all if propagation.all is not None else WAIT_TIMEOUT_S
    )
    last_lost = environment.check_time(
        "zone cut off: last member found lost outside", last_propagation, environment.detection_limit
    )
    no_majority = environment.propagation("reaches part", cut_at, members_inside)
    environment.check_time("zone cut off: members inside detect the minority", no_majority, environment.detection_limit)
    counts_outside = await environment.check_sharers("zone cut off, outside", environment.size, members_outside)
    majority_count = counts_outside["reaches majority"]
    environment.check(
        "zone cut off: all outside reach a majority", majority_count == len(members_outside), majority_count
    )
    await environment.check_sharers("zone cut off, inside", environment.size, members_inside)
    published_at = clock()
    order_time = await run.ban(min(members_outside), BANNED_BACKEND, True)
    await run.wait_for_all(
        "holds", WAIT_TIMEOUT_S, "holds", backend=BANNED_BACKEND, at=order_time, on=True, by=sorted(members_outside)
    )
    await environment.read_records()
    propagation_outside = environment.propagation(f"order {BANNED_BACKEND}", published_at, members_outside, order_time)
    environment.check_time("zone cut off: ban received outside", propagation_outside, environment.propagation_limit)
    leak_count = environment.propagation(f"order {BANNED_BACKEND}", published_at, members_inside, order_time).had
    environment.check("zone cut off: ban not received inside", leak_count == 0, leak_count)
    costs = await environment.costs()
    healed_at = clock()
    await run.heal_relays()
    environment.check(
        "zone healed: each member finds all others alive", await run.wait_until_all_alive(WAIT_TIMEOUT_S), None
    )
    complete = await run.wait_for_all("holds", WAIT_TIMEOUT_S, "holds", backend=BANNED_BACKEND, at=order_time, on=True)
    environment.check("zone healed: all members have the ban", complete, None)
    rows = await environment.read_records()
    found_again = environment.check_time(
        "zone healed: each member finds all others alive",
        hollow_group_statistics.last_occurrence_times(rows, ALL_ALIVE, healed_at, environment.member_numbers()),
        environment.detection_limit,
    )
    ban_inside = environment.check_time(
        "zone healed: ban received inside",
        environment.propagation(f"order {BANNED_BACKEND}", healed_at, members_inside, order_time),
        environment.detection_limit,
    )
    await environment.check_sharers("zone healed", environment.size)
    await run.ban(min(members_outside), BANNED_BACKEND, False)
    return {
        "cut_off": len(members_inside),
        "last_lost_outside": last_lost,
        "no_majority_inside": no_majority.row(),
        "no_majority_inside_periods": None
        if no_majority.all is None
        else round(no_majority.all * 1e6 / environment.period, 1),
        "reach_inside": dict(counts_inside),
        "found_again": found_again,
        "ban_inside": ban_inside,
        "cut": costs,
        "healing": await environment.costs(),
    }


async def losing(environment: GroupScenarioEnvironment) -> dict[str, Any]:
    """Every link loses 30% of its datagrams for a while."""
    await environment.read_records()
    await environment.costs()
    await environment.run.shape_relays(LOSS_RATE)
    await asyncio.sleep(LOSS_SPANS_S[not environment.quick])
    counts_during = await environment.run.count_alive_views()
    costs = await environment.costs()
    lost_by_links = (await environment.run.relay_counts())["lost"]
    environment.check("packet loss: datagrams were lost", lost_by_links > 0, lost_by_links)
    await environment.check_sharers("packet loss", environment.size)
    healed_at = clock()
    await environment.run.shape_relays()
    complete = await environment.run.wait_until_all_alive(WAIT_TIMEOUT_S)
    environment.check("links healed: each member finds all others alive", complete, None)
    rows = await environment.read_records()
    found_again = environment.check_time(
        "links healed: each member finds all others alive",
        hollow_group_statistics.last_occurrence_times(rows, ALL_ALIVE, healed_at, environment.member_numbers()),
        environment.detection_limit,
    )
    return {
        "suspicions": hollow_group_statistics.count_observations(rows, "suspected").total(),
        "losses": hollow_group_statistics.count_observations(rows, "lost").total(),
        "lost_at_its_end": counts_during["lost"],
        "found_again": found_again,
        **costs,
    }


STEPS = (join, quiet, killed, left, ban, stopped, zone, losing)
# The steps for large groups, in which the updates about joined members circulate for many minutes.
SHORT = (join, killed, ban)
Step = Callable[[GroupScenarioEnvironment], Awaitable[dict[str, Any]]]


async def run_scenario(
    size: int,
    seed: int,
    quick: bool,
    work: Path,
    say: Callable[[str], None],
    on_result: Callable[[dict[str, Any]], None] = lambda result: None,
    period: int = PERIOD,
    within: int = ANSWER_TIMEOUT,
    steps: Sequence[Step] = STEPS,
    slack: float = 1.0,
) -> list[dict[str, Any]]:
    """Runs the steps one after another on the same processes, then checks that no state has grown since the idle step.
    `on_result` receives every result as soon as its step ends. `slack` multiplies the time limits alone, for a machine
    with other load.
    """
    zones = next((zone_count for largest, zone_count in ZONE_COUNTS if size <= largest), ZONES)
    # The processes are small enough that one or two of them hold the tenth of the members to suspend.
    layout = plan(size, seed, 1 if zones == ZONES and size <= 1000 else 2, zones)
    results: list[dict[str, Any]] = []

    def add_result(name: str, began: float, figures: dict[str, Any]) -> None:
        passed = all(check["holds"] for check in environment.checks)
        results.append(
            {
                "scene": f"group: {name}",
                "verdict": "passed" if passed else "failed",
                "seconds": round(time.monotonic() - began, 1),
                "checks": environment.checks,
                "figures": figures,
            }
        )
        on_result(results[-1])

    with reserve_network() as net:
        run = HollowGroupRun(layout, seed, work, say, net, period, within)
        environment = GroupScenarioEnvironment(run, period, quick, say, slack)
        state_before: dict[str, int] = {}
        try:
            await environment.start_processes()
            for step in steps:
                say(f"group of {size}: {step.__name__}")
                environment.checks = []
                began = time.monotonic()
                add_result(step.__name__, began, await step(environment))
                if step is quiet:
                    state_before = await _state(environment)
            if not state_before:
                return results
            environment.checks = []
            began = time.monotonic()
            await environment.wait_until_quiet()
            state_after = await _state(environment)
            # Members keep a lifted ban for an hour, so that members that were cut off learn of it. Probes in
            # flight and awaited answers vary between two queries.
            for kind, allowance in {
                "members": 0,
                "rumours": 0,
                "relays": size,
                "doubted": 0,
                "owing": 0,
                "orders": size,
                "awaited": size,
                "packed words": size * size,
                "tasks": SMALL_DIFFERENCE,
                "descriptors": SMALL_DIFFERENCE,
            }.items():
                environment.check(
                    f"after all steps: {kind} do not grow",
                    state_after[kind] <= state_before[kind] * GROWTH_TOLERANCE + allowance,
                    [state_before[kind], state_after[kind]],
                )
            add_result("state", began, {"before": state_before, "after": state_after, "memory_mb_all": run.memory()})
        finally:
            await run.end()
    return results


async def _state(environment: GroupScenarioEnvironment) -> dict[str, int]:
    """Sums of the membership state of all members and of the state of their processes."""
    _, member_state = await environment.run.views_and_state()
    state = await environment.run.proxy_state()
    return {**member_state, **{kind: state[kind] for kind in ("running", "tasks", "descriptors", "objects")}}
