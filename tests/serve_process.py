"""A `serve` process with a configuration file and a state folder, controlled with ctl, for tests that kill and start it."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from click.testing import CliRunner

from pepperusher.__main__ import main
from pepperusher.control import client

from tests.scene import configuration, own_address


class ServeProcessTestCase(unittest.TestCase):
    """A `serve` process whose changes are confirmed by hand; `self.at` is its folder, `self.own` its configuration file."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.at = Path(folder.name)
        self.own = self.at / "own.toml"
        self.socket = str(self.at / "control")
        self.first = f'[control]\nsocket = "{self.socket}"\n[changes]\nstate = "{self.at}/state"\nconfirm = "by hand"\nwatch = "1h"\n'
        self.own.write_text(self.first)
        (self.at / "p.json").write_text(json.dumps(configuration(listen=own_address())))
        self.process: subprocess.Popen[str] | None = None
        self.addCleanup(self.kill)

    def command(self, *more: str) -> list[str]:
        """The command line of `serve` on this scene's files, with further arguments."""
        arguments = ["--config", str(self.at / "p.json"), "--own", str(self.own), *more]
        return [sys.executable, "-m", "pepperusher", "serve", *arguments]

    def start(self, *more: str) -> None:
        self.process = subprocess.Popen(
            self.command(*more),
            stderr=subprocess.PIPE,
            text=True,
        )
        until = time.monotonic() + 60  # a start took over 10 s at a load of 300
        while True:
            try:
                client.ask(self.socket, "status")
                return
            except client.RefusedError:
                if self.process.poll() is not None or time.monotonic() > until:
                    ended = self.process.poll()
                    self.fail(f"its socket is not up, ended with {ended}: {self.kill()[-1000:]}")
                time.sleep(0.02)

    def kill(self) -> str:
        if self.process is None:
            return ""
        self.process.send_signal(signal.SIGKILL)
        _, output = self.process.communicate()
        self.process = None
        return output

    def ctl(self, *words: str, exit_code: int = 0) -> str:
        result = CliRunner().invoke(main, ["ctl", "--socket", self.socket, *words])
        self.assertEqual(result.exit_code, exit_code, result.output)
        return result.output
