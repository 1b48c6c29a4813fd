"""Projects from measured slopes and assumptions what each role needs at the target size and compares it with
budgets. This module does no I/O. The rows of control machines are in `control_rows`, those of front proxies in
`front_rows`.
"""

from __future__ import annotations

from collections.abc import Iterator

from pepperusher.capacity import control_rows, front_rows
from pepperusher.capacity.control_rows import OneByOneCosts
from pepperusher.capacity.measures import Book, Measured
from pepperusher.capacity.target import HARSH, MB, MILD, MISSING, Assumed, Budget, Row, Target, total, product

US_PER_SECOND = 1_000_000.0
SWITCH_INTERVAL_US = 5_000.0  # sys.getswitchinterval(), whose default this program keeps


class Projection:
    """The rows of the capacity page: the measurements in `book` extrapolated to `target`, once with the `mild`
    and once with the `harsh` assumptions.
    """

    def __init__(self, book: Book, target: Target = Target(), mild: Assumed = MILD, harsh: Assumed = HARSH) -> None:
        self._book = book
        self.target, self.mild, self.harsh = target, mild, harsh

    def _value_at(self, name: str, size: float) -> float | None:
        """Returns the value of a measurement at a size, or None if there is no reliable measurement."""
        measured: Measured | None = self._book.find_measured(name)
        return None if measured is None or measured.unreliable(self._book.cores) else measured.value(size)

    def _non_decreasing_value(self, name: str, size: float) -> float | None:
        """Returns the value of a quantity that cannot decrease as its size grows. Where noise gives a negative
        slope, this is the mean of all measured values.
        """
        value, measured = self._value_at(name, size), self._book.find_measured(name)
        if value is None or measured is None or measured.fit().slope > 0.0:
            return value
        values = [point_value for _, point_value in (*measured.points, measured.held_out)]
        return sum(values) / len(values)

    def _single_value(self, name: str) -> float | None:
        """Returns a single value, or None if there is no reliable one."""
        single = self._book.single(name)
        return None if single is None or single.unreliable(self._book.cores) else single.value

    def rows(self) -> list[Row]:
        """Returns all rows, the highest ratio to its budget first; rows without a budget come last."""
        return sorted(
            [
                *self._backend_proxy_rows(), *front_rows.rows(self._value_at, self.target, self.mild, self.harsh),
                *control_rows.machine_rows(self._value_at, self.target, self.mild, self.harsh),
                *control_rows.proxy_rows(self._value_at, self.target, self.mild, self.harsh),
                *self._discovery_rows(), *self._backend_rows(), *self._operator_rows(), *self._chain_rows(),
            ],
            key=lambda row: -row.worst,
        )  # fmt: skip

    def over(self) -> list[Row]:
        """Returns the rows that exceed their budget."""
        return [row for row in self.rows() if row.worst > 1.0]

    def first_missing(self) -> Row | None:
        """Returns the row that exceeds its budget most among those that no existing mechanism addresses."""
        return next((row for row in self.over() if row.missing), None)

    # --- by role ------------------------------------------------------------------------------------

    def _backend_proxy_rows(self) -> Iterator[Row]:
        """Yields the rows of a proxy beside a backend."""
        target, mild, harsh = self.target, self.mild, self.harsh
        role = "proxy beside a backend"
        latency_budget = Budget(target.added_us, "target: 1.3 ms added to a call")
        cpu_budget = Budget(target.proxy_cpu_us, "target: 1.4% of a core for control")
        bandwidth_budget = Budget(target.proxy_wire, "target: 21 KB a second for control")
        memory_budget = Budget(target.proxy_bytes, "target: 256 MB")

        def decision_cost(assumed: Assumed) -> float | None:
            return self._value_at("decision.group1" if assumed.group == 1 else "decision.group1000", assumed.listed)

        yield Row(
            role,
            "always",
            "a decision (take, pick, report)",
            "us",
            decision_cost(mild),
            decision_cost(harsh),
            latency_budget,
            "subsets of the list (`policy.py` MIN_BACKENDS_PER_PROXY, PROXIES_PER_BACKEND); a group size of 1 in the settings turns them off",
            ("decision.group1", "decision.group1000"),
            "linear in the list only where the group size is small against PROXIES_PER_BACKEND x the list",
        )
        yield Row(
            role,
            "always",
            "memory of an idle process",
            "bytes",
            self._value_at("process.memory", mild.listed),
            self._value_at("process.memory", harsh.listed),
            memory_budget,
            "the proxy keeps the whole list that it is sent",
            ("process.memory",),
        )
        yield Row(
            role,
            "ordinary day",
            "processor time a second: process and membership at rest",
            "us/s",
            total(self._value_at("process.idle", mild.listed), self._value_at("group.cpu", mild.members)),
            total(self._value_at("process.idle", harsh.listed), self._value_at("group.cpu", harsh.members)),
            cpu_budget,
            "`group/swim.py`, `net/discovery.py`",
            ("process.idle", "group.cpu"),
        )
        yield Row(
            role,
            "ordinary day",
            "bytes a second out for membership, at rest",
            "bytes/s",
            self._value_at("group.bytes", mild.members),
            self._value_at("group.bytes", harsh.members),
            bandwidth_budget,
            "`group/swim.py`",
            ("group.bytes",),
        )
        yield Row(
            role,
            "ordinary day",
            "messages a second out for membership, at rest",
            "messages/s",
            self._value_at("group.messages", mild.members),
            self._value_at("group.messages", harsh.members),
            None,
            "`group/swim.py`",
            ("group.messages",),
        )
        yield Row(
            role,
            "always",
            "state: its list, as the watch and the decisions hold it",
            "bytes",
            self._value_at("list.memory", mild.listed),
            self._value_at("list.memory", harsh.listed),
            memory_budget,
            "`net/discovery.py`, `policy.py`",
            ("list.memory",),
        )
        yield Row(
            role,
            "always",
            "state: the members of its group",
            "bytes",
            self._value_at("group.state", mild.members),
            self._value_at("group.state", harsh.members),
            memory_budget,
            "`group/membership.py`",
            ("group.state",),
            "the roll itself ends at its bound",
        )
        # A restart changes the list three times: draining, removed, added.
        changes_a_second_by_restarts = 3 * target.restarts_a_day / 86_400
        bytes_a_change = self._value_at("discovery.change_bytes", 1)
        for occasion, change_rates in (
            ("ordinary day", (changes_a_second_by_restarts, changes_a_second_by_restarts)),
            ("release", (3 * mild.released / mild.release_s, 3 * harsh.released / harsh.release_s)),
        ):
            yield Row(
                role,
                occasion,
                "bytes a second in for changes of its list",
                "bytes/s",
                product(change_rates[0] * mild.listed / target.proxies, bytes_a_change),
                product(change_rates[1], bytes_a_change),
                bandwidth_budget,
                "`net/discovery.py`",
                ("discovery.change_bytes",),
            )
        for occasion, lost_backends in (
            ("a rack lost", 40),
            ("a zone lost", target.proxies // target.zones),
            ("a region lost", target.proxies * 4 // target.zones),
        ):
            yield Row(
                role,
                occasion,
                f"bytes in for {lost_backends:,} changes of the list, over 12 s",
                "bytes",
                product(lost_backends * mild.listed / target.proxies, bytes_a_change),
                product(lost_backends, bytes_a_change),
                Budget(target.proxy_wire * target.in_force_s, "target: 21 KB a second, over 12 s"),
                "`net/discovery.py`",
                ("discovery.change_bytes",),
            )
        max_members = self._single_value("roll.most")
        yield Row(
            role,
            "always",
            "proxies that are members of one group",
            "members",
            float(mild.members),
            float(harsh.members),
            None if max_members is None else Budget(max_members, "the code: `group/membership.py` MOST"),
            f"{MISSING}: groups by region (one flat group)",
            ("roll.most",),
        )
        max_notices = self._single_value("notices.most")
        yield Row(
            role,
            "a region lost",
            "backends banned or drained by an operator at the same time",
            "notices",
            float(mild.marked),
            float(harsh.marked),
            None if max_notices is None else Budget(max_notices, "the code: `group/broadcasts.py` MOST"),
            f"{MISSING}: bans and drains by zone or region instead of by backend",
            ("notices.most",),
        )

        def membership_changes_a_second(assumed: Assumed) -> float:
            # A replacement announces four states: leaving, left, starting, serving.
            return 4 * assumed.released / assumed.release_s

        yield Row(
            role,
            "release",
            "bytes a second out for membership",
            "bytes/s",
            total(
                self._value_at("group.bytes", mild.members),
                product(membership_changes_a_second(mild), self._value_at("group.change_bytes", mild.members)),
            ),
            total(
                self._value_at("group.bytes", harsh.members),
                product(membership_changes_a_second(harsh), self._value_at("group.change_bytes", harsh.members)),
            ),
            bandwidth_budget,
            "`group/gossip_queue.py`: each member sends each change 4 log n times",
            ("group.bytes", "group.change_bytes"),
            "an upper bound, since changes that share a packet cost less",
        )
        yield Row(
            role,
            "every proxy started",
            "bytes that a joining proxy is sent by its group, over 12 s",
            "bytes",
            self._value_at("group.sync", mild.members),
            self._value_at("group.sync", harsh.members),
            Budget(target.proxy_wire * target.in_force_s, "target: 21 KB a second, over 12 s"),
            "`group/swim.py` whole()",
            ("group.sync",),
        )
        yield Row(
            role,
            "every proxy started",
            "bytes of its list, over 12 s",
            "bytes",
            self._value_at("list.bytes", mild.listed),
            self._value_at("list.bytes", harsh.listed),
            Budget(target.proxy_wire * target.in_force_s, "target: 21 KB a second, over 12 s"),
            f"{MISSING}: a subscription by name (every proxy is sent the whole list)",
            ("list.bytes",),
        )

        def list_changes_a_second(assumed: Assumed) -> float:
            # A replacement changes the list three times: draining, removed, added.
            return 3 * assumed.released / assumed.release_s

        yield Row(
            role,
            "release",
            "processor time a second for changes of the list",
            "us/s",
            total(
                self._value_at("process.idle", mild.listed),
                product(list_changes_a_second(mild), self._value_at("list.change", mild.listed)),
            ),
            total(
                self._value_at("process.idle", harsh.listed),
                product(list_changes_a_second(harsh), self._value_at("list.change", harsh.listed)),
            ),
            cpu_budget,
            "`facade.update_endpoints`, which rebuilds every ring for each change",
            ("process.idle", "list.change"),
        )

        def frequent_block_time(name: str, size: int, rate: float) -> float | None:
            """Returns how long the event loop is blocked each time, or 0 where at most 1 call in 100 meets it, since
            it does not affect the 99th percentile then.
            """
            duration = self._value_at(name, size)
            return None if duration is None else duration if duration * rate > US_PER_SECOND / 100 else 0.0

        yield Row(
            role,
            "release",
            "how long one change of the list blocks the event loop, if that affects more than 1 call in 100",
            "us",
            frequent_block_time("list.change", mild.listed, list_changes_a_second(mild)),
            frequent_block_time("list.change", harsh.listed, list_changes_a_second(harsh)),
            latency_budget,
            "`facade.update_endpoints`, on the event loop that handles calls",
            ("list.change",),
            f"the harsh release changes the list {list_changes_a_second(harsh):.1f} times a second",
        )
        yield Row(
            role,
            "every proxy started",
            "how long a whole list blocks the event loop",
            "us",
            total(self._value_at("list.parse", mild.listed), self._value_at("list.take", mild.listed)),
            total(self._value_at("list.parse", harsh.listed), self._value_at("list.take", harsh.listed)),
            None,
            "`net/discovery.py`, in one step on the event loop",
            ("list.parse", "list.take"),
            "too rare to affect the 99th percentile, so there is no budget",
        )

        def checks_a_second(assumed: Assumed) -> float:
            return assumed.concerned * target.changes_a_day / 86_400

        # The check runs in a thread, which gives the interpreter lock back to the event loop after one switch interval.
        interpreter_waits = [
            None if duration is None else min(duration, SWITCH_INTERVAL_US)
            for duration in (
                frequent_block_time("config.check", assumed.routes, checks_a_second(assumed))
                for assumed in (mild, harsh)
            )
        ]
        yield Row(
            role,
            "ordinary day",
            "how long the event loop waits for the interpreter lock while a configuration file is validated,"
            " if that affects more than 1 call in 100",
            "us",
            interpreter_waits[0],
            interpreter_waits[1],
            latency_budget,
            "`configuration/loader.py` and `configuration/validation.py`, in a thread (`net/configuration_manager.py`) beside the event loop that handles calls",
            ("config.check",),
            "each time that the event loop wakes, at most Python's switch interval of 5 ms; harsh: all"
            f" {target.changes_a_day} changes apply to each proxy",
        )
        yield Row(
            role,
            "ordinary day",
            "processor time a second for validating configuration changes",
            "us/s",
            product(checks_a_second(mild), self._value_at("config.check", mild.routes)),
            product(checks_a_second(harsh), self._value_at("config.check", harsh.routes)),
            cpu_budget,
            "`configuration/loader.py`, `changes/`",
            ("config.check",),
        )
        yield Row(
            role,
            "always",
            "latency added at the 99th percentile by one proxy",
            "us",
            self._single_value("chain.1.250.at72.added99"),
            self._single_value("chain.1.5000.at72.group1.added99"),
            latency_budget,
            "the whole proxy",
            ("chain.1.250.at72.added99", "chain.1.5000.at72.group1.added99"),
            "72 calls a second; mild: 250 listed, harsh: 5,000 at group size 1",
        )
        for name, percentile_text in (("alone.p50", "median"), ("alone.p99", "99th percentile")):
            yield Row(
                role,
                "always",
                f"processor time of a single call in one proxy, {percentile_text}: a lower bound of the added latency",
                "us",
                self._non_decreasing_value(name, mild.listed),
                self._non_decreasing_value(name, harsh.listed),
                latency_budget,
                "the whole proxy",
                (name,),
                "group size 1,000, 400 calls about 10 ms apart, load given with the slope; without the wait for a"
                " processor and behind other calls",
            )
        yield Row(
            role,
            "always",
            f"processor time of a call along {target.depth} proxies in a row: a lower bound of the added latency",
            "us",
            product(self._non_decreasing_value("alone.p50", mild.listed), float(target.depth)),
            product(self._non_decreasing_value("alone.p50", harsh.listed), float(target.depth)),
            Budget(target.added_us * target.depth, "target: 1.3 ms, taken for each level"),
            "the whole proxy",
            ("alone.p50",),
            f"{target.depth} times the median for one proxy",
        )
        yield Row(
            role,
            "always",
            "processor time of a call through one proxy, a lower bound of the added latency",
            "us",
            self._value_at("added.calm.cpu", mild.listed),
            self._value_at("added.group1.cpu" if harsh.group == 1 else "added.calm.cpu", harsh.listed),
            latency_budget,
            "the whole proxy",
            ("added.calm.cpu", "added.group1.cpu"),
            "72 calls a second, load given with the slope; about 0.29 ms for back-to-back calls on an idle"
            " machine (docs/results.md)",
        )
        yield Row(
            role,
            "release",
            "latency added at the 99th percentile by one proxy",
            "us",
            self._single_value("chain.1.250.release.at72.added99"),
            self._single_value("chain.1.5000.release.at72.added99"),
            latency_budget,
            "the whole proxy",
            ("chain.1.250.release.at72.added99", "chain.1.5000.release.at72.added99"),
            "72 calls and 6.7 changes of the list a second in both; mild: 250 listed, harsh: 5,000",
        )

    def _discovery_rows(self) -> Iterator[Row]:
        """Yields the rows of discovery."""
        target, mild, harsh = self.target, self.mild, self.harsh
        role = "discovery"
        link_budget = Budget(
            125 * MB * target.told_s,
            "own choice: one 1 Gbit/s link, over the 6 s within which all proxies must be updated",
        )
        # Relays exist, but these rows were measured without them: every proxy watches discovery directly.
        mechanism = (
            f"{MISSING} at this size: relays (`distribution/relay.py`, `endpoint_source.py`) exist, one owner a"
            " region, but were not measured at this size; every proxy is sent the whole list"
        )
        relay_note = (
            "simulated; with 4 relays the last proxy is updated after 0.8 to 2.5 s and 1,674 to 6,121 calls (10 seeds,"
            " `tests/test_relay_return.py`)"
        )
        yield Row(
            role,
            "every proxy started",
            "bytes out",
            "bytes",
            product(target.proxies, self._value_at("list.bytes", mild.listed)),
            product(target.proxies, self._value_at("list.bytes", harsh.listed)),
            link_budget,
            mechanism,
            ("list.bytes",),
        )
        bytes_a_change = self._value_at("discovery.change_bytes", target.proxies)
        for occasion, lost_backends in (
            ("a rack lost", 40),
            ("a zone lost", target.proxies // target.zones),
            ("a region lost", target.proxies * 4 // target.zones),
        ):
            yield Row(
                role,
                occasion,
                f"bytes out for {lost_backends:,} changes, sent to every proxy",
                "bytes",
                product(lost_backends * mild.listed / target.proxies, bytes_a_change),
                product(lost_backends, bytes_a_change),
                link_budget,
                mechanism,
                ("discovery.change_bytes",),
                "mild: a proxy is sent only the changes of its own list",
            )
        yield Row(
            role,
            "release",
            "bytes a second out for changes",
            "bytes/s",
            product(3 * mild.released / mild.release_s * mild.listed / target.proxies, bytes_a_change),
            product(3 * harsh.released / harsh.release_s, bytes_a_change),
            Budget(125 * MB, "own choice: one 1 Gbit/s link"),
            mechanism,
            ("discovery.change_bytes",),
        )
        start_calls = self._value_at("discovery.start_calls", target.proxies)
        yield Row(
            role,
            "every proxy started",
            "calls, at 4 ms a call and with a queue of 64",
            "calls",
            start_calls,
            start_calls,
            Budget(2.0 * target.proxies, "own choice: two for each proxy"),
            "exponential backoff, up to half of the drain period if the list is pushed (`policy.py`"
            " endpoint_request_failed, `facade.py`)",
            ("discovery.start_calls",),
            "simulated; every watch retries until it is served",
        )
        yield Row(
            role,
            "return after an outage of 3 s",
            "seconds until all proxies are updated again, at 4 ms a call and with a queue of 64",
            "s",
            self._value_at("discovery.return_seconds", target.proxies),
            self._value_at("discovery.return_seconds", target.proxies),
            Budget(target.told_s, "requirement: updated 6 s after discovery is reachable again"),
            mechanism,
            ("discovery.return_seconds",),
            relay_note,
        )
        yield Row(
            role,
            "return after an outage of 3 s",
            "calls, at 4 ms a call and with a queue of 64",
            "calls",
            self._value_at("discovery.return_calls", target.proxies),
            self._value_at("discovery.return_calls", target.proxies),
            Budget(2.0 * target.proxies, "own choice: two for each proxy"),
            f"exponential backoff up to half of `ask-within` (`policy.py` endpoint_request_failed); {mechanism}",
            ("discovery.return_calls",),
            relay_note,
        )

    def _backend_rows(self) -> Iterator[Row]:
        """Yields the rows of a backend and its callers."""
        mild, harsh = self.mild, self.harsh
        measure_names = "callers.zone", "callers.zones"
        yield Row(
            "backend and its callers",
            "always",
            "proxies that keep connections to one of 24 backends",
            "connections",
            self._value_at(measure_names[mild.zoned], mild.callers),
            self._value_at(measure_names[harsh.zoned], harsh.callers),
            Budget(1_024, "own choice: the default descriptor limit of a process"),
            "subsets (`policy.py` MIN_BACKENDS_PER_PROXY, PROXIES_PER_BACKEND), chosen by zone: with 13 zones a zone has fewer backends than the minimum, so"
            " every proxy connects to all",
            measure_names,
        )

    def _operator_rows(self) -> Iterator[Row]:
        """Yields the operator's rows: with control machines if `operator.publish` was measured, else with one
        `ctl propose` for each proxy.
        """
        target = self.target
        seconds_a_change = self._value_at("operator.change", target.proxies)
        seconds_a_day = None if seconds_a_change is None else seconds_a_change * target.changes_a_day
        in_force_text = "seconds until a change of configuration is in force at every proxy"
        whole_day_text = f"seconds of one operator for {target.changes_a_day} changes a day, each everywhere"
        in_force_budget = Budget(target.in_force_s, "target: in force everywhere within 12 s")
        publish_us = self._value_at("operator.publish", target.proxies)
        if publish_us is None:
            yield Row(
                "operator",
                "ordinary day",
                in_force_text,
                "s",
                seconds_a_change,
                seconds_a_change,
                in_force_budget,
                f"{MISSING}: distribution (`ctl propose` on the machine of each proxy, one after another,"
                f" without confirmation that all have the change)",
                ("operator.change",),
                "only the processor time of `ctl`, without remote shells and without the"
                " elapsed time, 0.5 to 2.6 s a proxy on a"
                " busy machine; eight operators in parallel take an eighth",
            )
            yield Row(
                "operator",
                "ordinary day",
                whole_day_text,
                "s",
                None if seconds_a_day is None else seconds_a_day / target.services,
                seconds_a_day,
                Budget(86_400.0, "a day"),
                f"{MISSING}: distribution",
                ("operator.change",),
                "mild: each change concerns one service",
            )
            return
        yield from control_rows.operator_rows(
            self._value_at,
            target,
            self.mild,
            self.harsh,
            publish_us,
            OneByOneCosts(in_force_text, whole_day_text, seconds_a_change, seconds_a_day),
            in_force_budget,
        )

    def _chain_rows(self) -> Iterator[Row]:
        """Yields the rows of a call along a chain of services."""
        slowed_depths = (5, 6, 7, 8, 10, 20, 30)
        target, mild, harsh = self.target, self.mild, self.harsh
        sends_budget = Budget(
            1.2 * target.depth,
            "own choice: RETRY_BUDGET_RATIO (0.2) taken for the whole chain, beyond one send a level",
        )

        def single_name(assumed: Assumed, figure: str) -> str:
            return f"attempts.error.{round(assumed.share * 100)}.{assumed.failing}.{figure}"

        for figure, what, occasion in (
            ("first", "sends for one call along 30 levels, just after the failure", "a service lost"),
            ("after", "sends for one call along 30 levels, later", "a service lost"),
            ("most", "sends for the worst call along 30 levels", "a service lost"),
        ):
            yield Row(
                "proxy beside a backend",
                occasion,
                what,
                "sends",
                self._single_value(single_name(mild, figure)),
                self._single_value(single_name(harsh, figure)),
                sends_budget,
                "RETRY_BUDGET_RATIO and RETRY_BUDGET_MAX at each proxy, and the client's timeout; no budget is passed along the chain",
                (single_name(mild, figure), single_name(harsh, figure)),
                "mild: the last level fails 3 in 10 calls; harsh: all. Without a limit there would be 3^30 sends",
            )
        passing_cold_depths = [
            depth for depth in (4, 8, 12, 16, 20, 30) if (self._single_value(f"cold.{depth}.done") or 0.0) >= 0.99
        ]
        cold_depth_ratio = (
            None if self._single_value("cold.30.done") is None else target.depth / max(passing_cold_depths, default=1)
        )
        yield Row(
            "proxy beside a backend",
            "every proxy started",
            "levels of the chain divided by the longest chain that completes calls while no proxy knows call durations",
            "",
            None if cold_depth_ratio is None else 1.0,
            cold_depth_ratio,
            Budget(1.0, "the target's 30 levels"),
            "`policy.py`: each level gives the next one half of the remaining time while the durations below are unknown",
            ("cold.12.done", "cold.16.done", "cold.30.done"),
            "client timeout 2 s, services take 1 ms; mild: the proxies know the durations",
        )
        for max_attempts in (3, 1):
            passing_slowed_depths = [
                depth
                for depth in slowed_depths
                if (self._single_value(f"slowed.{max_attempts}.{depth}.2") or 0.0) >= 0.99
            ]
            done_at_target = self._single_value(f"slowed.{max_attempts}.{target.depth}.2")
            slowed_depth_ratio = (
                None if done_at_target is None else target.depth / max(passing_slowed_depths, default=1)
            )
            yield Row(
                "proxy beside a backend",
                "always",
                "levels of the chain divided by the longest chain that completes calls while services take twice as long as"
                f" before, {max_attempts} attempt{'s' * (max_attempts > 1)} each",
                "",
                None if done_at_target is None else 1.0,
                slowed_depth_ratio,
                Budget(1.0, "the target's 30 levels"),
                "`policy.py`: each level gives the next one half of the remaining time, until little more remains than"
                " the usual duration; repeated time-outs without any answer raise the usual duration"
                if max_attempts > 1
                else "a single attempt gets all the remaining time",
                tuple(f"slowed.{max_attempts}.{depth}.2" for depth in slowed_depths),
                "simulated: client timeout 2 s, services take 2 ms instead of 1; mild: nothing is slower",
            )
        short_list_added, long_list_added = (
            self._single_value(f"chain.{target.depth}.{listed}.added99") for listed in (24, 1000)
        )
        for budgeted_levels, reading in ((target.depth, "for each level"), (1, "for the whole chain")):
            yield Row(
                "proxy beside a backend",
                "always",
                "latency added at the 99th percentile by 30 proxies in a row",
                "us",
                short_list_added,
                long_list_added,
                Budget(target.added_us * budgeted_levels, f"target: 1.3 ms, taken {reading}"),
                "the whole proxy",
                ("chain.30.24.added99", "chain.30.1000.added99"),
                "mild: 24 listed, harsh: 1,000",
            )
