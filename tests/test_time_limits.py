"""A test that hangs ends by its limit, with its name, and what it started ends with it."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

HERE = Path(__file__).parent.parent
SAMPLE = """
import asyncio, signal, subprocess, time, unittest

class Hangs(unittest.IsolatedAsyncioTestCase):
    def child(self):
        subprocess.Popen(["sleep", "{seconds}"], start_new_session=True)

    async def asyncTearDown(self):
        if "end" in self._testMethodName:
            await asyncio.sleep(600)

    async def test_waits(self):
        self.child()
        await asyncio.Event().wait()

    async def test_busy_in_a_task(self):
        async def spins():
            while True:
                time.sleep(0.01)
                await asyncio.sleep(0)
        kept = asyncio.create_task(spins())
        await asyncio.Event().wait()

    async def test_end(self):
        pass

    async def test_deaf(self):
        self.child()
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGALRM])
        time.sleep(600)

    async def test_good(self):
        self.child()
"""


class Limits(unittest.TestCase):
    def test_each_hanging_test_is_named_and_nothing_outlives_it(self) -> None:
        # Told by the time it sleeps, which no other process of this machine does.
        seconds = f"{600 + time.time_ns() % 10**9 / 1e9:.9f}"
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "conftest.py").write_text(
                (HERE / "tests" / "conftest.py").read_text().replace("AGAIN = 10.0", "AGAIN = 1.0")
            )
            Path(folder, "pytest.ini").write_text(
                "[pytest]\ntimeout = 2\ntimeout_method = signal\nfaulthandler_timeout = 15\nfaulthandler_exit_on_timeout = true\n"
            )
            Path(folder, "test_sample.py").write_text(SAMPLE.replace("{seconds}", seconds))
            # Its output's end is waited for, which a child that lives would hold back.
            done = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "pytest",
                    "-q",
                    "-n",
                    "2",
                    "-p",
                    "no:cacheprovider",
                    "--rootdir",
                    folder,
                    "-c",
                    f"{folder}/pytest.ini",
                    folder,
                ],
                capture_output=True,
                text=True,
                timeout=100,
            )
        self.assertEqual(1, done.returncode, done.stdout)
        self.assertIn("test_waits: its time is up; its tasks stand at", done.stdout)
        self.assertRegex(done.stdout, r"test_sample.py:\d+ test_waits")
        for name in ("waits", "busy_in_a_task", "end", "deaf"):
            self.assertRegex(done.stdout, f"(FAILED|ERROR) .*::test_{name} ")
        self.assertNotRegex(done.stdout, "(FAILED|ERROR) .*::test_good ")
        self.assertEqual([], [path for path in Path("/proc").glob("[0-9]*/cmdline") if seconds in self.text_of(path)])

    @staticmethod
    def text_of(path: Path) -> str:
        try:
            return path.read_text()
        except OSError:
            return ""


if __name__ == "__main__":
    unittest.main()
