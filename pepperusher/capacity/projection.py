"""From measured slopes and assumptions to what each role needs at the target, held against budgets; free of
I/O. What control machines carry and what differs at a front proxy stand in modules of their own.
"""

from __future__ import annotations

from collections.abc import Iterator

from pepperusher.capacity import control_rows, front_rows
from pepperusher.capacity.control_rows import Before
from pepperusher.capacity.measures import Book, Measured
from pepperusher.capacity.target import HARSH, MB, MILD, MISSING, Assumed, Budget, Row, Target, total, product

SECOND = 1_000_000.0
SWITCH_US = 5_000.0  # sys.getswitchinterval, which nothing here changes


class Projection:
    """`book` has the slopes."""

    def __init__(self, book: Book, target: Target = Target(), mild: Assumed = MILD, harsh: Assumed = HARSH) -> None:
        self._book = book
        self.target, self.mild, self.harsh = target, mild, harsh

    def _at(self, name: str, size: float) -> float | None:
        found: Measured | None = self._book.of(name)
        return None if found is None or found.spoilt(self._book.cores) else found.value(size)

    def _level(self, name: str, size: float) -> float | None:
        """For what can't fall as its size grows: where noise has it fall, the mean of what was measured."""
        value, found = self._at(name, size), self._book.of(name)
        if value is None or found is None or found.fit().slope > 0.0:
            return value
        values = [one for _, one in (*found.points, found.held_out)]
        return sum(values) / len(values)

    def _single(self, name: str) -> float | None:
        found = self._book.single(name)
        return None if found is None or found.spoilt(self._book.cores) else found.value

    def rows(self) -> list[Row]:
        """The worst first; those without a budget last."""
        return sorted(
            [
                *self._beside(), *front_rows.rows(self._at, self.target, self.mild, self.harsh),
                *control_rows.machine(self._at, self.target, self.mild, self.harsh),
                *control_rows.proxy_rows(self._at, self.target, self.mild, self.harsh),
                *self._discovery(), *self._backend(), *self._operator(), *self._chain(),
            ],
            key=lambda one: -one.worst,
        )  # fmt: skip

    def over(self) -> list[Row]:
        return [one for one in self.rows() if one.worst > 1.0]

    def first_missing(self) -> Row | None:
        """The row that is furthest over its budget and that no mechanism carries."""
        return next((one for one in self.over() if one.missing), None)

    # --- by role ------------------------------------------------------------------------------------

    def _beside(self) -> Iterator[Row]:
        t, mild, harsh = self.target, self.mild, self.harsh
        role = "proxy beside a backend"
        added = Budget(t.added_us, "target: 1.3 ms added to a call")
        cpu = Budget(t.proxy_cpu_us, "target: 1.4% of a core for control")
        wire = Budget(t.proxy_wire, "target: 21 KB a second for control")
        memory = Budget(t.proxy_bytes, "target: 256 MB")

        def decision(of: Assumed) -> float | None:
            return self._at("decision.group1" if of.group == 1 else "decision.group1000", of.listed)

        yield Row(
            role,
            "always",
            "a decision (take, pick, report)",
            "us",
            decision(mild),
            decision(harsh),
            added,
            "arcs of the list (`policy.py` MIN_BACKENDS_PER_PROXY, PROXIES_PER_BACKEND), which the settings' group size turns off at 1",
            ("decision.group1", "decision.group1000"),
            "linear in the list only where the group size is small against PROXIES_PER_BACKEND x the list",
        )
        yield Row(
            role,
            "always",
            "memory of an idle process",
            "bytes",
            self._at("process.memory", mild.listed),
            self._at("process.memory", harsh.listed),
            memory,
            "the list as it is sent, all of it kept",
            ("process.memory",),
        )
        yield Row(
            role,
            "ordinary day",
            "processor time a second: process and membership at rest",
            "us/s",
            total(self._at("process.idle", mild.listed), self._at("group.cpu", mild.members)),
            total(self._at("process.idle", harsh.listed), self._at("group.cpu", harsh.members)),
            cpu,
            "`group/swim.py`, `net/discovery.py`",
            ("process.idle", "group.cpu"),
        )
        yield Row(
            role,
            "ordinary day",
            "bytes a second out for membership, at rest",
            "bytes/s",
            self._at("group.bytes", mild.members),
            self._at("group.bytes", harsh.members),
            wire,
            "`group/swim.py`",
            ("group.bytes",),
        )
        yield Row(
            role,
            "ordinary day",
            "messages a second out for membership, at rest",
            "messages/s",
            self._at("group.messages", mild.members),
            self._at("group.messages", harsh.members),
            None,
            "`group/swim.py`",
            ("group.messages",),
        )
        yield Row(
            role,
            "always",
            "state: its list, as the watch and the decisions hold it",
            "bytes",
            self._at("list.memory", mild.listed),
            self._at("list.memory", harsh.listed),
            memory,
            "`net/discovery.py`, `policy.py`",
            ("list.memory",),
        )
        yield Row(
            role,
            "always",
            "state: the members of its group",
            "bytes",
            self._at("group.state", mild.members),
            self._at("group.state", harsh.members),
            memory,
            "`group/membership.py`",
            ("group.state",),
            "the roll itself ends at its bound",
        )
        day = 3 * t.restarts_a_day / 86_400  # a restart drains, goes and comes
        each = self._at("discovery.change_bytes", 1)
        for when, changes in (
            ("ordinary day", (day, day)),
            ("release", (3 * mild.released / mild.release_s, 3 * harsh.released / harsh.release_s)),
        ):
            yield Row(
                role,
                when,
                "bytes a second in for changes of its list",
                "bytes/s",
                product(changes[0] * mild.listed / t.proxies, each),
                product(changes[1], each),
                wire,
                "`net/discovery.py`",
                ("discovery.change_bytes",),
            )
        for when, lost in (
            ("a rack lost", 40),
            ("a zone lost", t.proxies // t.zones),
            ("a region lost", t.proxies * 4 // t.zones),
        ):
            yield Row(
                role,
                when,
                f"bytes in for {lost:,} changes of the list, of 12 s",
                "bytes",
                product(lost * mild.listed / t.proxies, each),
                product(lost, each),
                Budget(t.proxy_wire * t.in_force_s, "target: 21 KB a second, over 12 s"),
                "`net/discovery.py`",
                ("discovery.change_bytes",),
            )
        most = self._single("roll.most")
        yield Row(
            role,
            "always",
            "members of one group, each proxy one",
            "members",
            float(mild.members),
            float(harsh.members),
            None if most is None else Budget(most, "the code: `group/membership.py` MOST"),
            f"{MISSING}: groups by region (one flat group)",
            ("roll.most",),
        )
        marks = self._single("notices.most")
        yield Row(
            role,
            "a region lost",
            "backends banned or drained by hand at once",
            "notices",
            float(mild.marked),
            float(harsh.marked),
            None if marks is None else Budget(marks, "the code: `group/broadcasts.py` MOST"),
            f"{MISSING}: marks by zone or region in place of one a backend",
            ("notices.most",),
        )

        def words(of: Assumed) -> float:
            return 4 * of.released / of.release_s  # leaving, left, starting, serving

        yield Row(
            role,
            "release",
            "bytes a second out for membership",
            "bytes/s",
            total(
                self._at("group.bytes", mild.members),
                product(words(mild), self._at("group.change_bytes", mild.members)),
            ),
            total(
                self._at("group.bytes", harsh.members),
                product(words(harsh), self._at("group.change_bytes", harsh.members)),
            ),
            wire,
            "`group/gossip_queue.py`: each word told 4 log n times, by each",
            ("group.bytes", "group.change_bytes"),
            "words that share a packet cost less than one by one, so this is a bound from above",
        )
        yield Row(
            role,
            "every proxy started",
            "bytes that a newcomer is sent by its group, of 12 s",
            "bytes",
            self._at("group.sync", mild.members),
            self._at("group.sync", harsh.members),
            Budget(t.proxy_wire * t.in_force_s, "target: 21 KB a second, over 12 s"),
            "`group/swim.py` whole()",
            ("group.sync",),
        )
        yield Row(
            role,
            "every proxy started",
            "bytes of its list, of 12 s",
            "bytes",
            self._at("list.bytes", mild.listed),
            self._at("list.bytes", harsh.listed),
            Budget(t.proxy_wire * t.in_force_s, "target: 21 KB a second, over 12 s"),
            f"{MISSING}: a subscription by name (every proxy is sent the whole list)",
            ("list.bytes",),
        )

        def change_rate(of: Assumed) -> float:
            return 3 * of.released / of.release_s  # drains, goes, comes

        yield Row(
            role,
            "release",
            "processor time a second with the list's changes",
            "us/s",
            total(
                self._at("process.idle", mild.listed), product(change_rate(mild), self._at("list.change", mild.listed))
            ),
            total(
                self._at("process.idle", harsh.listed),
                product(change_rate(harsh), self._at("list.change", harsh.listed)),
            ),
            cpu,
            "`facade.listed`, which lays every ring anew for each change",
            ("process.idle", "list.change"),
        )

        def stall(name: str, size: int, rate: float) -> float | None:
            """How long the loop stands, if that befalls more than 1 call in 100; else it is not in the
            99th.
            """
            one = self._at(name, size)
            return None if one is None else one if one * rate > SECOND / 100 else 0.0

        yield Row(
            role,
            "release",
            "how long one change of the list holds the loop, where over 1 call in 100 meets it",
            "us",
            stall("list.change", mild.listed, change_rate(mild)),
            stall("list.change", harsh.listed, change_rate(harsh)),
            added,
            "`facade.listed` on the loop that carries calls",
            ("list.change",),
            f"the harsh release changes the list {change_rate(harsh):.1f} times a second",
        )
        yield Row(
            role,
            "every proxy started",
            "how long a whole list holds the loop",
            "us",
            total(self._at("list.parse", mild.listed), self._at("list.take", mild.listed)),
            total(self._at("list.parse", harsh.listed), self._at("list.take", harsh.listed)),
            None,
            "`net/discovery.py`, at once on the loop",
            ("list.parse", "list.take"),
            "too rare for the 99th of 100, so no budget binds",
        )

        def checks(of: Assumed) -> float:
            return of.concerned * t.changes_a_day / 86_400

        # Checked in a thread, which yields the interpreter to the loop after so long each time.
        waits = [
            None if one is None else min(one, SWITCH_US)
            for one in (stall("config.check", of.routes, checks(of)) for of in (mild, harsh))
        ]
        yield Row(
            role,
            "ordinary day",
            "how long the loop waits for the interpreter while an own file is checked,"
            " where over 1 call in 100 meets it",
            "us",
            waits[0],
            waits[1],
            added,
            "`configuration/loader.py` and `configuration/validation.py`, in a thread (`net/configuration_manager.py`) beside the loop that carries calls",
            ("config.check",),
            "each time that the loop wakes, by Python's switch interval of 5 ms; the harsh day brings a"
            f" proxy all {t.changes_a_day} changes",
        )
        yield Row(
            role,
            "ordinary day",
            "processor time a second for checking changes of configuration",
            "us/s",
            product(checks(mild), self._at("config.check", mild.routes)),
            product(checks(harsh), self._at("config.check", harsh.routes)),
            cpu,
            "`configuration/loader.py`, `changes/`",
            ("config.check",),
        )
        yield Row(
            role,
            "always",
            "time added at the 99th of 100 by one proxy",
            "us",
            self._single("chain.1.250.at72.added99"),
            self._single("chain.1.5000.at72.group1.added99"),
            added,
            "the whole proxy",
            ("chain.1.250.at72.added99", "chain.1.5000.at72.group1.added99"),
            "72 calls a second; mild: 250 listed, harsh: 5,000 at group size 1",
        )
        for name, said in (("alone.p50", "the middle"), ("alone.p99", "the 99th of 100")):
            yield Row(
                role,
                "always",
                f"processor time of a call alone in one proxy, {said}: the least that it adds",
                "us",
                self._level(name, mild.listed),
                self._level(name, harsh.listed),
                added,
                "the whole proxy",
                (name,),
                "group size 1,000, 400 calls some 10 ms apart, load beside the slope; neither its wait for a"
                " processor nor for the loop behind other calls",
            )
        yield Row(
            role,
            "always",
            f"processor time of a call along {t.depth} proxies in a row: the least that they add",
            "us",
            product(self._level("alone.p50", mild.listed), float(t.depth)),
            product(self._level("alone.p50", harsh.listed), float(t.depth)),
            Budget(t.added_us * t.depth, "target: 1.3 ms, read as for each level"),
            "the whole proxy",
            ("alone.p50",),
            f"{t.depth} times the middle, one after another",
        )
        yield Row(
            role,
            "always",
            "processor time of a call through one proxy, the least that it adds",
            "us",
            self._at("added.calm.cpu", mild.listed),
            self._at("added.group1.cpu" if harsh.group == 1 else "added.calm.cpu", harsh.listed),
            added,
            "the whole proxy",
            ("added.calm.cpu", "added.group1.cpu"),
            "72 calls a second, load beside the slope; some 0.29 ms where calls follow each other on a quiet"
            " machine (docs/results.md)",
        )
        yield Row(
            role,
            "release",
            "time added at the 99th of 100 by one proxy",
            "us",
            self._single("chain.1.250.release.at72.added99"),
            self._single("chain.1.5000.release.at72.added99"),
            added,
            "the whole proxy",
            ("chain.1.250.release.at72.added99", "chain.1.5000.release.at72.added99"),
            "72 calls and 6.7 changes of the list a second in both; mild: 250 listed, harsh: 5,000",
        )

    def _discovery(self) -> Iterator[Row]:
        t, mild, harsh = self.target, self.mild, self.harsh
        role = "discovery"
        line = Budget(
            125 * MB * t.told_s, "own choice: one line of 1 Gbit/s, for the 6 s within which all are to be told"
        )
        # What stands is told as what it is: these rows are of proxies that all watch discovery themselves.
        missing = (
            f"{MISSING} at this size: relays (`distribution/relay.py`, `endpoint_source.py`) are there, one owner a"
            " region, and not measured at it; the whole list goes to everybody"
        )
        relayed = (
            "simulated; by 4 relays the last is told after 0.8 to 2.5 s and 1,674 to 6,121 calls (10 seeds,"
            " `tests/test_relay_return.py`)"
        )
        yield Row(
            role,
            "every proxy started",
            "bytes out",
            "bytes",
            product(t.proxies, self._at("list.bytes", mild.listed)),
            product(t.proxies, self._at("list.bytes", harsh.listed)),
            line,
            missing,
            ("list.bytes",),
        )
        each = self._at("discovery.change_bytes", t.proxies)
        for when, lost in (
            ("a rack lost", 40),
            ("a zone lost", t.proxies // t.zones),
            ("a region lost", t.proxies * 4 // t.zones),
        ):
            yield Row(
                role,
                when,
                f"bytes out for {lost:,} changes, told to every proxy",
                "bytes",
                product(lost * mild.listed / t.proxies, each),
                product(lost, each),
                line,
                missing,
                ("discovery.change_bytes",),
                "mild: a proxy hears of its own list alone",
            )
        yield Row(
            role,
            "release",
            "bytes a second out for changes",
            "bytes/s",
            product(3 * mild.released / mild.release_s * mild.listed / t.proxies, each),
            product(3 * harsh.released / harsh.release_s, each),
            Budget(125 * MB, "own choice: one line of 1 Gbit/s"),
            missing,
            ("discovery.change_bytes",),
        )
        starts = self._at("discovery.start_calls", t.proxies)
        yield Row(
            role,
            "every proxy started",
            "calls, 4 ms a call, 64 waiting",
            "calls",
            starts,
            starts,
            Budget(2.0 * t.proxies, "own choice: two for each proxy"),
            "doubled waits, up to half of the drain's grace where the list is pushed (`policy.py`"
            " list_failed, `facade.py`)",
            ("discovery.start_calls",),
            "simulated; every watch asks again until its turn comes",
        )
        yield Row(
            role,
            "return after an outage of 3 s",
            "seconds until all proxies are told again, 4 ms a call, 64 waiting",
            "s",
            self._at("discovery.return_seconds", t.proxies),
            self._at("discovery.return_seconds", t.proxies),
            Budget(t.told_s, "term in force: told 6 s after discovery could be reached"),
            missing,
            ("discovery.return_seconds",),
            relayed,
        )
        yield Row(
            role,
            "return after an outage of 3 s",
            "calls, 4 ms a call, 64 waiting",
            "calls",
            self._at("discovery.return_calls", t.proxies),
            self._at("discovery.return_calls", t.proxies),
            Budget(2.0 * t.proxies, "own choice: two for each proxy"),
            f"doubled waits up to half of ask-within (`policy.py` list_failed); {missing}",
            ("discovery.return_calls",),
            relayed,
        )

    def _backend(self) -> Iterator[Row]:
        mild, harsh = self.mild, self.harsh
        names = "callers.zone", "callers.zones"
        yield Row(
            "backend and its callers",
            "always",
            "proxies that keep connections to one of 24 backends",
            "connections",
            self._at(names[mild.zoned], mild.callers),
            self._at(names[harsh.zoned], harsh.callers),
            Budget(1_024, "own choice: the descriptors of a process that nobody has raised"),
            "arcs (`policy.py` MIN_BACKENDS_PER_PROXY, PROXIES_PER_BACKEND), laid by zone: with 13 zones a zone's part is under REACH, so"
            " all connect to all",
            names,
        )

    def _operator(self) -> Iterator[Row]:
        """A row counts as carried by control machines once what they take was measured."""
        t = self.target
        spent = self._at("operator.change", t.proxies)
        day = None if spent is None else spent * t.changes_a_day
        in_force = "seconds until a change of configuration is in force at every proxy"
        whole_day = f"seconds of one operator for {t.changes_a_day} changes a day, each everywhere"
        within = Budget(t.in_force_s, "target: in force everywhere within 12 s")
        publish = self._at("operator.publish", t.proxies)
        if publish is None:
            yield Row(
                "operator",
                "ordinary day",
                in_force,
                "s",
                spent,
                spent,
                within,
                f"{MISSING}: distribution (one `ctl propose` after another, on each proxy's own machine, and"
                f" no proof that all have it)",
                ("operator.change",),
                "the processor time of `ctl` alone: neither remote shells nor the wait"
                " by the clock, 0.5 to 2.6 s a proxy on a"
                " busy machine; eight operators at once take an eighth",
            )
            yield Row(
                "operator",
                "ordinary day",
                whole_day,
                "s",
                None if day is None else day / t.services,
                day,
                Budget(86_400.0, "a day"),
                f"{MISSING}: distribution",
                ("operator.change",),
                "mild: each change concerns one service",
            )
            return
        yield from control_rows.operator(
            self._at, t, self.mild, self.harsh, publish, Before(in_force, whole_day, spent, day), within
        )

    def _chain(self) -> Iterator[Row]:
        slowed_depths = (5, 6, 7, 8, 10, 20, 30)
        t, mild, harsh = self.target, self.mild, self.harsh
        sends = Budget(
            1.2 * t.depth, "own choice: RETRY_BUDGET_RATIO (0.2) read as the chain's whole excess over one send a level"
        )

        def key(of: Assumed, which: str) -> str:
            return f"attempts.error.{round(of.share * 100)}.{of.failing}.{which}"

        for which, what, when in (
            ("first", "sends for one call along 30 levels, just after", "a service lost"),
            ("after", "sends for one call along 30 levels, later", "a service lost"),
            ("most", "sends for the worst call along 30 levels", "a service lost"),
        ):
            yield Row(
                "proxy beside a backend",
                when,
                what,
                "sends",
                self._single(key(mild, which)),
                self._single(key(harsh, which)),
                sends,
                "RETRY_BUDGET_RATIO and RETRY_BUDGET_MAX at each proxy, and the client's wait; nothing is carried down the chain",
                (key(mild, which), key(harsh, which)),
                "mild: the last level fails 3 in 10 calls; harsh: all. Without a bound it were 3^30",
            )
        reached = [depth for depth in (4, 8, 12, 16, 20, 30) if (self._single(f"cold.{depth}.done") or 0.0) >= 0.99]
        levels = None if self._single("cold.30.done") is None else t.depth / max(reached, default=1)
        yield Row(
            "proxy beside a backend",
            "every proxy started",
            "levels of a chain over those that get a call through while no proxy knows a time",
            "",
            None if levels is None else 1.0,
            levels,
            Budget(1.0, "the target's 30 levels"),
            "`policy.py` _attempt_timeout: half of what is left for each level while nothing is known of the times below",
            ("cold.12.done", "cold.16.done", "cold.30.done"),
            "clients that wait 2 s, services that take 1 ms; mild: the chain is warm",
        )
        for most in (3, 1):
            stands = [depth for depth in slowed_depths if (self._single(f"slowed.{most}.{depth}.2") or 0.0) >= 0.99]
            there = self._single(f"slowed.{most}.{t.depth}.2")
            least = None if there is None else t.depth / max(stands, default=1)
            yield Row(
                "proxy beside a backend",
                "always",
                "levels of a chain over those that get a call through while services take twice as long as"
                f" before, {most} attempt{'s' * (most > 1)} each",
                "",
                None if there is None else 1.0,
                least,
                Budget(1.0, "the target's 30 levels"),
                "`policy.py` _attempt_timeout: half of what is left for each level, until little more is left than"
                " what was usual; lost answers in a row with nothing heard are learnt from (_count)"
                if most > 1
                else "one attempt has all that is left",
                tuple(f"slowed.{most}.{depth}.2" for depth in slowed_depths),
                "simulated: clients that wait 2 s, services of 1 ms that take 2; mild: nothing is slower",
            )
        short, long = (self._single(f"chain.{t.depth}.{listed}.added99") for listed in (24, 1000))
        for levels_of, said in ((t.depth, "for each level"), (1, "for the whole chain")):
            yield Row(
                "proxy beside a backend",
                "always",
                "time added at the 99th of 100 by 30 proxies in a row",
                "us",
                short,
                long,
                Budget(t.added_us * levels_of, f"target: 1.3 ms, read as {said}"),
                "the whole proxy",
                ("chain.30.24.added99", "chain.30.1000.added99"),
                "mild: 24 listed, harsh: 1,000",
            )
