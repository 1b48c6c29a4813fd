"""Sections of control machines that meet changes of the operators, in one process."""

from __future__ import annotations

import asyncio
import threading
from unittest import mock

from pepperusher.changes import shared_section
from pepperusher.changes.transaction_log import TransactionError
from pepperusher.configuration import loader
from pepperusher.net.configuration_manager import ConfigurationManager
from tests.scene import ProxyTestCase

OWN = '[changes]\nwatch = "1m"\nleast = 100000\n'
MORE_TO_A1 = '[[backends]]\nid = "a1"\nweight = 5.0\n'
PARSE_TIMEOUT_S = 10.0


class ChangesMeanwhile(ProxyTestCase):
    # Guards against an undone change that comes back with a shared section, which was appended to its text.
    async def test_a_change_undone_while_a_section_is_parsed_stays_undone(self) -> None:
        await self.open("a1", own=OWN)
        manager = self.proxy._gate
        assert isinstance(manager, ConfigurationManager)
        change = await manager.propose_text(OWN + MORE_TO_A1, "ops", "more to a1")
        parsing, may_end, parse = threading.Event(), threading.Event(), loader.parse

        def slow_parse(*arguments: object) -> loader.Read:
            read = parse(*arguments)  # type: ignore[arg-type]
            parsing.set()
            may_end.wait(PARSE_TIMEOUT_S)
            return read

        section = shared_section.block("1", "[weights]\nsouth = 3.0\n")
        with mock.patch.object(loader, "parse", slow_parse):
            proposing = asyncio.create_task(manager.propose_shared(section, "a control machine", ""))
            await self.wait_until(parsing.is_set)
            await manager.undo(change.number, "ops", "it does harm")
            may_end.set()
            with self.assertRaises(TransactionError):
                await proposing
        self.assertNotIn(MORE_TO_A1, manager.active_configuration.version.read.text)
        await manager.propose_shared(section, "a control machine", "")
        self.assertEqual({"south": 3.0}, manager.own.weights)
        self.assertNotIn(MORE_TO_A1, manager.active_configuration.version.read.text)
