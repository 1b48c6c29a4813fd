"""Load reports: how answers carry them, how they affect decisions, and that an invalid report has the same effect as
none.
"""

from __future__ import annotations

import copy
import json

from pepperusher import terms
from pepperusher.settings import SettingsError, read_settings, parse_load_report
from pepperusher.net import load_reports
from pepperusher.net.bootstrap import BootstrapError
from pepperusher.terms import DONE, Backend

from tests.scene import SECOND, SETTINGS, TraceTestCase, BalancerTestCase, ProxyTestCase

ORCA_ANSWER = "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT active={}\r\nContent-Length: 2\r\n\r\nok"
INVALID_VALUES = ("nan", "inf", "-5", "many", "", "1e400")


class Read(TraceTestCase):
    def test_what_a_header_tells(self) -> None:
        self.lines = []
        for text in (
            "TEXT active=3,cpu=0.5",
            "TEXT named_metrics.active=3, named_metrics.waiting=2",
            "TEXT active=nan,waiting=-1",
            "TEXT queue_of_ours=3",
            "TEXT active",
            'JSON {"named_metrics": {"active": 3}, "waiting": 2, "cpu_utilization": 0.5}',
            'JSON {"active": true, "waiting": [1]}',
            'JSON {"active": 1e400}',
            "JSON [",
            "BIN AAAA",
            "active=3",
            "",
        ):
            metrics = parse_load_report(load_reports.reported_metrics([(b"Endpoint-Load-Metrics", text.encode())]))
            self.lines.append(
                f"{text or 'nothing'} -> held {metrics.get(terms.LOAD_ACTIVE)}, waiting {metrics.get(terms.LOAD_WAITING)}"
            )
        self.compare_trace("reports_read")

    def test_settings_that_cannot_be_worked_by_are_named(self) -> None:
        self.lines = []
        for changes in (
            {"discovery": "shout"},
            {"discovery": 3},
            {"discovery": "push"},
            {"family": 5},
            {"family": "mesh"},
            {"reporting": []},
            {"reporting": {"how": "often"}},
            {"reporting": {"how": None}},
            {"reporting": {"how": "piggyback", "names": ["active", "cpu", "active"]}},
            {"reporting": {"how": "piggyback", "names": [1]}},
            {"reporting": {"names": ["active"]}},
            {"reporting": {"how": "piggyback", "names": ["active", "one_of_theirs"]}},
            {"reporting": {}},
        ):
            try:
                policy_settings = read_settings(json.loads(json.dumps({**copy.deepcopy(SETTINGS), **changes})), 5)
                result = f"asked {policy_settings.polls_list}, beside its client {policy_settings.is_sidecar}, reported by {policy_settings.reported_by}"
            except SettingsError as error:
                result = f"turned down: {error}"
            self.lines.append(f"{json.dumps(changes)}: {result}")
        self.compare_trace("reports_settings")


class Decided(BalancerTestCase):
    def count_choices(self, reports_of: dict[str, str], age_s: float = 0.1, **changes: object) -> str:
        """Sends forty tickets of 0.1 s each, one every 0.1 s, with a load report of each backend before each ticket.
        Returns the counts per backend.
        """
        self.open("a1", "b1", "c1", "d1", **changes)
        counts = dict.fromkeys(self.backends, 0)
        refused_count = 0
        for _ in range(40):
            for name, text in reports_of.items():
                self.balancer.record_load_report(
                    self.backends[name], parse_load_report([("active", text)]), self.now - int(age_s * SECOND)
                )
            ticket = self.ticket()
            choice = self.choose_backend(ticket, True)
            if isinstance(choice, Backend):
                counts[choice.address] += 1
                self.end_attempt(ticket, DONE, 0.1, quiet=True)
            else:
                refused_count += 1
        return ", ".join(f"{name} {count}" for name, count in counts.items()) + f", refused {refused_count}"

    def test_a_crowded_backend_is_passed_over_and_an_old_or_spoilt_report_is_none(self) -> None:
        lines = [f"no report: {self.count_choices({})}"]
        without_report = lines[0].partition(": ")[2]
        lines.append(f"a1 holds 30, the others 1: {self.count_choices({'a1': '30', 'b1': '1', 'c1': '1', 'd1': '1'})}")
        with_old_report = self.count_choices({"a1": "30", "b1": "1", "c1": "1", "d1": "1"}, age_s=2.5)
        lines.append(f"the same, told 2.5 s ago: {with_old_report}")
        self.assertEqual(with_old_report, without_report)
        for text in INVALID_VALUES:
            with_invalid_report = self.count_choices({"a1": text})
            lines.append(f"a1 tells {text!r}: {with_invalid_report}")
            self.assertEqual(with_invalid_report, without_report)
        lines.append(f"a1 alone tells, of 1e8: {self.count_choices({'a1': '1e8'})}")
        self.lines = lines
        self.compare_trace("reports_decided")

    def test_one_backend_that_lies_shuts_nobody_out(self) -> None:
        """The floor of the prediction uses the median: with the mean, one figure of 1e8 removed the floor from all
        backends.
        """
        reports = {"a1": "1e8", "b1": "1", "c1": "1", "d1": "1"}
        self.assertTrue(self.count_choices(reports).endswith("refused 0"))


class OnSockets(ProxyTestCase):
    async def test_answers_tell_and_their_header_goes_no_further(self) -> None:
        settings = {**SETTINGS, "reporting": {"how": "piggyback", "names": ["active", "cpu"]}}
        await self.open("a1", "b1", settings=settings)
        self.fake_backends["a1"].behaviors = [ORCA_ANSWER.format(9)] * 8
        self.fake_backends["b1"].behaviors = [ORCA_ANSWER.format(0)] * 8
        reader, writer = await self.connect()
        heads = []
        for number in range(8):
            writer.write(self.request("look", number))
            heads.append((await reader.readuntil(b"\r\n\r\n")).lower())
            await reader.readexactly(2)
        writer.close()
        reported = {one.address: one.reported_load for one in self.proxy._facade._backends.values()}
        self.assertEqual(reported, {"a1": 9.0, "b1": 0.0})
        self.assertFalse([head for head in heads if b"load-metrics" in head])

    async def test_new_settings_turn_reports_on_and_off_and_a_file_cut_short_is_turned_down(self) -> None:
        def write_configuration(reporting: dict[str, object] | None) -> None:
            settings = {**SETTINGS, "family": "mesh", "reporting": reporting}
            if reporting is None:
                del settings["reporting"]
            self.given = json.dumps({**json.loads(self.given), "settings": settings})

        await self.open("a1")
        write_configuration({"how": "piggyback", "names": ["active"]})
        with_reports = self.reload_configuration()
        facade = self.proxy._facade
        reported = []
        facade.reconfigure(with_reports.policy_settings, SECOND)
        facade.record_load_report("a1", {terms.LOAD_ACTIVE: 7.0}, SECOND)
        reported.append(facade._backends["a1"].reported_load)
        write_configuration({"how": "silent", "names": []})
        facade.reconfigure(self.reload_configuration(with_reports).policy_settings, SECOND)
        facade.record_load_report("a1", {terms.LOAD_ACTIVE: 3.0}, SECOND)
        reported.append(facade._backends["a1"].reported_load)
        self.assertEqual(reported, [7.0, 7.0])
        for reporting, message in (
            (None, "settings: reporting: missing"),
            ({"how": "silent"}, "settings: reporting: names: missing"),
            ({"how": "loud", "names": []}, "settings: reporting: how: 'loud' is not one of"),
        ):
            write_configuration(reporting)
            with self.assertRaisesRegex(BootstrapError, message):
                self.reload_configuration(with_reports)

    async def test_a_spoilt_report_ends_no_ticket_and_an_unasked_one_counts_for_nothing(self) -> None:
        await self.open("a1")
        self.fake_backends["a1"].behaviors = [ORCA_ANSWER.format(text) for text in INVALID_VALUES] + [
            ORCA_ANSWER.format(4)
        ]
        reader, writer = await self.connect()
        for number in range(len(INVALID_VALUES) + 1):
            writer.write(self.request("look", number))
            self.assertEqual(await self.read_response(reader), "200 'ok'")
        writer.close()
        self.assertEqual([one.reported_load for one in self.proxy._facade._backends.values()], [0.0])
