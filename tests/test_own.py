"""Tests of the proxy's own configuration file: how it is read, and each fault that is reported with its line, key and
rule."""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from random import Random
from unittest import mock

import msgspec

from pepperusher import table_conversion
from pepperusher.configuration import loader, validation
from pepperusher.configuration.key_locations import KeyLocations
from pepperusher.configuration.loader import ConfigurationError
from pepperusher.routes import match
from pepperusher.routes.match import Routes, TemplateError, pattern

from tests.scene import TraceTestCase, policy_settings

ROUTE = '[[routes]]\nname = "r"\n'
LOOK_ROUTE, BOOK_ROUTE, PAY_ROUTE = (f'{ROUTE}use_case = "{name}"\n' for name in ("look", "book", "pay"))
TWO_ROUTES = '[[routes]]\nname = "a"\nmatch = {%s}\n[[routes]]\nname = "b"\nmatch = {%s}\n'
GROUP = '[group]\nkey = "sixteen or more characters"\n'
SAMPLE_FILE = Path(__file__).parent.parent / "deploy" / "own.toml"


class Files(TraceTestCase):
    """Use cases in these tests: look is replayable with a client time-out of 2 s; book is referenced, with 4 s and a
    deduplication window of 1 s; pay is single-use."""

    # (violated rule, file); the trace own_broken.txt holds the line, key and text of each fault.
    BROKEN = (
        ("form", "a = "),
        ("form", "[routes]\nname = 'r'\n"),
        ("form", "routes = 3\n"),
        ("form", "[[routes]]\n"),
        ("form", "[[routes]]\nname = 7\n"),
        ("form", "[[routes]]\nname = ''\n"),
        ("form", f"{ROUTE}time_out = 250\n"),
        ("form", f'{ROUTE}time_out = "soon"\n'),
        ("form", f'{ROUTE}time_out = "1e3s"\n'),
        ("form", f'{ROUTE}time_out = "-1s"\n'),
        ("form", f"{ROUTE}attempts = 2.5\n"),
        ("form", f'{ROUTE}attempts = "2"\n'),
        ("form", f'{ROUTE}retry_on = "error"\n'),
        ("form", f'{ROUTE}retry_on = ["errors"]\n'),
        ("form", f'{ROUTE}match = "x"\n'),
        ("form", f'{ROUTE}match = {{ path = "orders" }}\n'),
        ("form", f'{ROUTE}match = {{ path = "/a/{{b" }}\n'),
        ("form", f'{ROUTE}match = {{ path = "/{{x}}/{{x}}" }}\n'),
        ("form", f'{ROUTE}match = {{ path = "/{{x*}}/b" }}\n'),
        ("form", f'{ROUTE}match = {{ path = "/a//b" }}\n'),
        ("form", f'{ROUTE}match = {{ method = "get" }}\n'),
        ("form", f'{ROUTE}match = {{ host = "Api.Local" }}\n'),
        ("form", f'{ROUTE}match = {{ host = "*" }}\n'),
        ("form", f'{ROUTE}match = {{ headers = {{ "X Y" = "1" }} }}\n'),
        ("form", f"{ROUTE}match = {{ headers = {{ x = 1 }} }}\n"),
        ("form", f"{ROUTE}concurrency = 5\n"),
        ("form", f"{ROUTE}concurrency = {{}}\n"),
        ("form", f"{ROUTE}rate = {{ burst = 5 }}\n"),
        ("form", '[said]\nform = "xml"\n'),
        ("form", "[changes]\nconfirm = true\n"),
        ("form", "[[backends]]\nweight = 1\n"),
        ("form", "[weights]\nnorth = 'much'\n"),
        ("known key", f"{ROUTE}atempts = 2\n"),
        ("known key", "[chnages]\n"),
        ("known key", f"{ROUTE}match = {{ pth = '/' }}\n"),
        ("known key", f"{ROUTE}[routes.concurrency]\nmost = 3\nadaptve = true\n"),
        ("known key", "[[backends]]\nid = 'x'\ndrained = true\n"),
        ("known use case", f'{ROUTE}use_case = "loock"\n'),
        ("three attempts", f"{ROUTE}attempts = 4\n"),
        ("three attempts", f"{ROUTE}attempts = 0\n"),
        ("three attempts", f"{ROUTE}attempts = -1\n"),
        ("one at a time", f"{ROUTE}second_copy = true\n"),
        ("single-use once", f"{PAY_ROUTE}attempts = 2\n"),
        ("single-use once", f'{PAY_ROUTE}attempts = 3\nretry_on = ["error"]\n'),
        ("single-use once", f'{PAY_ROUTE}retry_on = ["timed out"]\n'),
        ("single-use once", f'{PAY_ROUTE}attempts = 2\nretry_on = ["full", "reset"]\n'),
        ("within memory", f'{BOOK_ROUTE}time_out = "1s"\n'),
        ("within memory", f'{BOOK_ROUTE}time_out = "3s"\nattempts = 2\nretry_on = ["timed out"]\n'),
        ("within the client's wait", f'{LOOK_ROUTE}time_out = "2s"\n'),
        ("within the client's wait", f'{LOOK_ROUTE}time_out = "5s"\n'),
        ("within the client's wait", f'{PAY_ROUTE}time_out = "1m"\n'),
        ("within the client's wait", f'{LOOK_ROUTE}time_out = "1s"\nouter = "1s"\n'),
        ("within the client's wait", f'{LOOK_ROUTE}time_out = "1s"\npatience = "900ms"\n'),
        ("within the client's wait", f'{ROUTE}time_out = "2500ms"\n'),
        ("within the client's wait", f'{LOOK_ROUTE}outer = "1500ms"\npatience = "1s"\n'),
        ("within the settings", f'{LOOK_ROUTE}outer = "3s"\n'),
        ("within the settings", f'{ROUTE}outer = "2100ms"\n'),
        ("no conflict", TWO_ROUTES % ('path = "/a/{x}"', 'path = "/{y}/b"')),
        ("no conflict", TWO_ROUTES % ('path = "/a"', 'path = "/a"')),
        ("no conflict", TWO_ROUTES % ('path = "/a", method = "GET"', 'path = "/a", host = "h"')),
        ("no conflict", TWO_ROUTES % ('path = "/a", headers = { x = "1" }', 'path = "/a", headers = { y = "1" }')),
        ("no conflict", TWO_ROUTES % ('path = "/{x*}", host = "*.local"', 'path = "/a/{x}"')),
        ("sound limits", f'{ROUTE}time_out = "10us"\n'),
        ("sound limits", f"{ROUTE}priority = 10\n"),
        ("sound limits", f"{ROUTE}concurrency = {{ most = 0 }}\n"),
        ("sound limits", f"{ROUTE}concurrency = {{ most = 5, queue = -1 }}\n"),
        ("sound limits", f"{ROUTE}concurrency = {{ most = 5, adaptive = true }}\n"),
        ("sound limits", f"{ROUTE}concurrency = {{ most = 50, adaptive = true, tolerance = 0.5 }}\n"),
        ("sound limits", f"{ROUTE}rate = {{ per_customer = 0 }}\n"),
        ("sound limits", f"{ROUTE}rate = {{ per_customer = 5, burst = 0.5 }}\n"),
        ("sound limits", f"{ROUTE}retry_budget = {{ share = 3 }}\n"),
        ("sound limits", f'{ROUTE}retry_budget = {{ span = "10ms" }}\n'),
        ("sound limits", "[[backends]]\nid = 'x'\nweight = 0\n"),
        ("sound limits", "[weights]\nnorth = -1\n"),
        ("sound limits", "[control]\nconnections = 0\n"),
        ("sound limits", f"[control]\nsocket = '{'x' * 108}'\n"),
        ("sound limits", "[changes]\nhistory = 0\n"),
        ("sound group", '[group]\nkey = "sixteen or more characters"\n'),
        ("sound group", f'{GROUP}listen = "7100"\n'),
        ("sound group", f'{GROUP}listen = "0.0.0.0:7100"\n'),
        ("sound group", f'{GROUP}listen = "127.0.0.1:0"\nadvertise = "127.0.0.1:0"\n'),
        ("sound group", f'{GROUP}listen = "127.0.0.1:0"\nseeds = ["127.0.0.1:1", ":2"]\n'),
        ("sound group", f'{GROUP}listen = "127.0.0.1:0"\nperiod = "200ms"\n'),
        ("sound group", '[group]\nlisten = "127.0.0.1:0"\nkey = "short"\n'),
        ("sound distribution", '[distribution]\nconfig = "shop"\n'),
        ("sound distribution", '[distribution]\nmachines = ["127.0.0.1:7300"]\nconfig = "shop"\n'),
        ("sound distribution", '[distribution]\nmachines = ["127.0.0.1:7300"]\nkey_file = "k"\n'),
        ("sound distribution", '[distribution]\nmachines = ["127.0.0.1:0"]\nkey_file = "k"\nconfig = "shop"\n'),
        ("sound distribution", '[distribution]\nmachines = ["7300"]\nkey_file = "k"\nconfig = "shop"\n'),
        (
            "sound distribution",
            '[distribution]\nmachines = ["127.0.0.1:7300"]\nkey_file = "k"\nconfig = "shop"\nnear = ["127.0.0.1:7300"]\n',
        ),
        (
            "sound distribution",
            '[distribution]\nmachines = ["127.0.0.1:7300"]\nkey_file = "k"\nconfig = "shop"\nregion = "east"\nnear = ["127.0.0.1:7301"]\n',
        ),
        ("sound watch", '[changes]\nwatch = "100ms"\n'),
        ("sound watch", '[changes]\nwatch = "2h"\n'),
        ("sound watch", "[changes]\nerrors = 0\n"),
        ("sound watch", "[changes]\nlatency = 1\n"),
        ("sound watch", "[changes]\nleast = 0\n"),
        ("one of a name", f"{ROUTE}[[routes]]\nname = 'r'\nmatch = {{ path = '/b' }}\n"),
        ("one of a name", "[[backends]]\nid='x'\n[[backends]]\nid='x'\n"),
    )

    def test_each_broken_file_is_refused_with_the_rule_that_it_breaks(self) -> None:
        self.assertGreaterEqual(len(self.BROKEN), 60)
        self.lines = []
        for rule, text in self.BROKEN:
            with self.subTest(text=text):
                with self.assertRaises(ConfigurationError) as caught:
                    loader.parse(text, "own.toml", policy_settings(most_attempts=3))
                self.assertEqual([fault.rule for fault in caught.exception.faults], [rule])
                self.lines.append(str(caught.exception.faults[0]))
        self.assertEqual({rule for rule, _ in self.BROKEN}, set(validation.RULES))
        self.compare_trace("own_broken")

    def test_all_that_is_wrong_is_said_at_once(self) -> None:
        with self.assertRaises(ConfigurationError) as caught:
            loader.parse(
                f"{ROUTE}attempts = 9\nsecond_copy = true\n\n[changes]\nleast = 0\n",
                "own.toml",
                policy_settings(),
            )
        self.assertEqual(
            [(fault.line, fault.key) for fault in caught.exception.faults],
            [(3, "routes[0].attempts"), (4, "routes[0].second_copy"), (7, "changes.least")],
        )

    def test_settings_that_allow_less_hold(self) -> None:
        with self.assertRaisesRegex(ConfigurationError, "within the settings"):
            loader.parse(f"{ROUTE}attempts = 3\n", policy_settings=policy_settings(most_attempts=2))

    def test_what_is_sound_is_taken(self) -> None:
        for text in (
            "",
            ROUTE,
            f'{LOOK_ROUTE}time_out = "1900ms"\nattempts = 2\n',
            f'{PAY_ROUTE}attempts = 2\nretry_on = ["unreached", "full"]\n',
            f'{BOOK_ROUTE}time_out = "2s"\nretry_on = ["error"]\n',
            f'{BOOK_ROUTE}time_out = "900ms"\n',
            TWO_ROUTES % ('path = "/a/{x}"', 'path = "/a/b"'),
            TWO_ROUTES % ('path = "/a", host = "*.local"', 'path = "/a", host = "x.local"'),
            TWO_ROUTES % ('path = "/a", method = "GET"', 'path = "/a", method = "POST"'),
            TWO_ROUTES % ('path = "/{x*}"', 'path = "/{x}"'),
        ):
            with self.subTest(text=text):
                loader.parse(text, policy_settings=policy_settings())

    def test_a_key_under_its_former_name_is_read_and_shown_under_the_one_of_today(self) -> None:
        read = loader.parse(f"{LOOK_ROUTE}transmissions = 2\n", policy_settings=policy_settings())
        self.assertEqual(2, read.own.routes[0].attempts)
        self.assertIn(("routes[0].attempts", "2", "file"), loader.effective(read))
        self.assertNotIn("transmissions", json.dumps(loader.schema()))
        with self.assertRaisesRegex(ConfigurationError, "attempts: 4 is not from 1 to 3"):
            loader.parse(f"{LOOK_ROUTE}transmissions = 4\n", policy_settings=policy_settings())
        with self.assertRaisesRegex(ConfigurationError, "transmissions: not known here"):
            loader.parse(f"{LOOK_ROUTE}transmissions = 2\nattempts = 2\n", policy_settings=policy_settings())

    def test_layers_and_where_each_value_came_from(self) -> None:
        read = loader.parse(
            '[changes]\nwatch = "20s"\nleast = 40\nerrors = 0.2\n',
            environment=loader.from_environment({"PEPPERUSHER_CHANGES__LEAST": "50", "OTHER": "1"}),
            command_line=loader.from_command_line(["changes.errors=0.3", "said.form = json"]),
        )
        rows = {key: (value, origin) for key, value, origin in loader.effective(read)}
        self.assertEqual(
            [
                rows[key]
                for key in (
                    "changes.watch",
                    "changes.least",
                    "changes.errors",
                    "said.form",
                    "changes.bounces",
                )
            ],
            [
                ('"20s"', "file"),
                ("50", "environment"),
                ("0.3", "command line"),
                ('"json"', "command line"),
                ("0.1", "default"),
            ],
        )
        with self.assertRaisesRegex(ConfigurationError, r"^environment: changes.least: expected `int`"):
            loader.parse("", environment={"changes.least": "x"})
        with self.assertRaisesRegex(ConfigurationError, "command line: routes: is not a list"):
            loader.parse("", command_line={"routes.0.name": "x"})
        with self.assertRaisesRegex(ConfigurationError, "is not key=value"):
            loader.from_command_line(["changes"])

    def test_lines_of_keys(self) -> None:
        locations = KeyLocations(
            '# a\na = 1\n[t]\n"b c" = { d = 1, e = [1,\n  { f = "]" } ] }\n[[u.v]]\nx.y = """\nz = 1\n"""\n[[u.v]]\nw = 2\n[u.v.k]\nn = 0\n'
        )
        self.assertEqual(
            [
                locations.at(key)
                for key in (
                    "a",
                    "t",
                    "t.b c",
                    "t.b c.e",
                    "t.b c.e[1].f",
                    "u.v[0].x.y",
                    "u.v[1].w",
                    "u.v[1].k.n",
                    "u.v[1].none",
                    "none",
                )
            ],
            [2, 3, 4, 4, 5, 7, 11, 13, 10, 0],
        )

    def test_every_key_is_explained_and_in_the_schema(self) -> None:
        all_keys = loader.keys()
        self.assertGreater(len(all_keys), 40)
        for key in all_keys:
            self.assertRegex(loader.explain(key), rf"^{key}: \S")
        with self.assertRaisesRegex(KeyError, "did you mean routes.time_out"):
            loader.explain("routes.timeout")
        schema_file = Path(__file__).parent.parent / "docs" / "own.schema.json"
        self.assertEqual(json.loads(schema_file.read_text()), loader.schema())

    def test_the_sample_file_is_sound(self) -> None:
        read = loader.read(SAMPLE_FILE)
        self.assertGreater(len(read.own.routes), 1)


class Cost(unittest.TestCase):
    def test_the_fields_of_a_kind_of_table_are_worked_out_once_however_many_tables_there_are(self) -> None:
        """Without the cache, msgspec computed the fields twice for each of about a thousand tables, which took most
        of the time of loading a file with 200 routes."""
        text = "".join(
            f'[[routes]]\nname = "r{number}"\nmatch = {{ path = "/r{number}/{{any*}}" }}\n'
            "concurrency = { most = 5 }\n"
            for number in range(200)
        )
        table_conversion._fields.cache_clear()
        with mock.patch("msgspec.structs.fields", wraps=msgspec.structs.fields) as fields_mock:
            read = loader.parse(text, "own.toml", policy_settings())
        self.assertEqual(200, len(read.own.routes))
        table_classes = [call.args[0] for call in fields_mock.call_args_list]
        self.assertEqual(len(set(table_classes)), len(table_classes))


class Matching(unittest.TestCase):
    PATHS = (
        "/",
        "/a",
        "/a/b",
        "/{x}",
        "/{x*}",
        "/a/{x}",
        "/a/{x*}",
        "/{x}/b",
        "/a/b/{x*}",
        "/a/{x}/c",
        "/{x}/{y}",
    )
    HOSTS = ("", "*.local", "x.local", "*.x.local")
    TARGETS = ("/", "/a", "/b", "/a/", "/a/b", "/a/b?c=/d", "/a/b/c", "/a/x/c", "/a/b/c/d")

    def patterns(self, random: Random, count: int) -> list[match.Pattern]:
        return [
            pattern(
                random.choice(("", "GET", "POST")),
                random.choice(self.PATHS),
                random.choice(self.HOSTS),
                {name: random.choice("12") for name in "uv" if random.random() < 0.3},
            )
            for _ in range(count)
        ]

    def tickets(self) -> list[tuple[str, str, str, dict[str, str]]]:
        return [
            (method, target, host, headers)
            for method in ("GET", "POST")
            for target in self.TARGETS
            for host in ("local", "x.local", "y.x.local")
            for headers in ({}, {"u": "1"}, {"u": "1", "v": "2"})
        ]

    def test_subsets_conflicts_and_the_choice_agree_with_trying_all_tickets(self) -> None:
        """Checks the relation of each pair of patterns, computed from the templates, against the tickets that they
        match."""
        random = Random(3)
        tickets = self.tickets()
        patterns = self.patterns(random, 60)
        matched_tickets = [
            frozenset(number for number, ticket in enumerate(tickets) if Routes([candidate]).find(*ticket) == 0)
            for candidate in patterns
        ]
        for a, hits_a in zip(patterns, matched_tickets):
            for b, hits_b in zip(patterns, matched_tickets):
                if hits_a & hits_b:
                    self.assertTrue(match.overlap(a, b), (a, b))
                if match.is_contained(a, b):
                    self.assertLessEqual(hits_a, hits_b, (a, b))
                    if not match.is_contained(b, a):
                        self.assertGreater(a.specificity, b.specificity, (a, b))
        accepted: list[match.Pattern] = []
        for candidate in patterns:
            if not match.conflicts([*accepted, candidate]):
                accepted.append(candidate)
        self.assertGreater(len(accepted), 8)
        routes = Routes(accepted)
        for number, ticket in enumerate(tickets):
            matching_indices = [
                index for index, candidate in enumerate(accepted) if Routes([candidate]).find(*ticket) == 0
            ]
            found = routes.find(*ticket)
            self.assertEqual(
                found, -1 if not matching_indices else found if found in matching_indices else None, ticket
            )
            for matching_index in matching_indices:
                self.assertTrue(match.is_contained(accepted[found], accepted[matching_index]))

    def test_conflicts_are_those_of_all_pairs(self) -> None:
        for seed in range(20):
            patterns = self.patterns(Random(seed), 25)
            pairs = [
                (a, b)
                for a in range(25)
                for b in range(a)
                if match.overlap(patterns[a], patterns[b])
                and match.is_contained(patterns[a], patterns[b]) == match.is_contained(patterns[b], patterns[a])
            ]
            self.assertEqual(match.conflicts(patterns), sorted(pairs))

    def test_what_is_no_pattern(self) -> None:
        for arguments in (
            ("", "a", "", {}),
            ("", "/" + "a/" * 40, "", {}),
            ("FETCH", "/", "", {}),
            ("", "/", "h:80", {}),
            ("", "/", "", {"X": "1"}),
        ):
            with self.assertRaises(TemplateError):
                pattern(*arguments)


if __name__ == "__main__":
    unittest.main()
