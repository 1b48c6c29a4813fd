"""Tests that a hanging test is ended at its time limit and reported by name, and that its child processes are killed."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

REPOSITORY = Path(__file__).parent.parent
SAMPLE = """
import asyncio, signal, subprocess, time, unittest

class Hangs(unittest.IsolatedAsyncioTestCase):
    def start_child(self):
        subprocess.Popen(["sleep", "{seconds}"], start_new_session=True)

    async def asyncTearDown(self):
        if "end" in self._testMethodName:
            await asyncio.sleep(600)

    async def test_waits(self):
        self.start_child()
        await asyncio.Event().wait()

    async def test_busy_in_a_task(self):
        async def spin():
            while True:
                time.sleep(0.01)
                await asyncio.sleep(0)
        task = asyncio.create_task(spin())
        await asyncio.Event().wait()

    async def test_end(self):
        pass

    async def test_deaf(self):
        self.start_child()
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGALRM])
        time.sleep(600)

    async def test_good(self):
        self.start_child()
"""


class Limits(unittest.TestCase):
    def test_each_hanging_test_is_named_and_nothing_outlives_it(self) -> None:
        # The child processes are recognized by this unique sleep duration in their command lines.
        seconds = f"{600 + time.time_ns() % 10**9 / 1e9:.9f}"
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "conftest.py").write_text(
                (REPOSITORY / "tests" / "conftest.py")
                .read_text()
                .replace("TIMEOUT_REPEAT_S = 10.0", "TIMEOUT_REPEAT_S = 1.0")
            )
            Path(folder, "pytest.ini").write_text(
                "[pytest]\ntimeout = 2\ntimeout_method = signal\nfaulthandler_timeout = 15\nfaulthandler_exit_on_timeout = true\n"
            )
            Path(folder, "test_sample.py").write_text(SAMPLE.replace("{seconds}", seconds))
            # run() waits for the end of the output, which a surviving child process would hold open.
            process = subprocess.run(
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
        self.assertEqual(1, process.returncode, process.stdout)
        self.assertIn("test_waits: timed out; stacks of its tasks:", process.stdout)
        self.assertRegex(process.stdout, r"test_sample.py:\d+ test_waits")
        for name in ("waits", "busy_in_a_task", "end", "deaf"):
            self.assertRegex(process.stdout, f"(FAILED|ERROR) .*::test_{name} ")
        self.assertNotRegex(process.stdout, "(FAILED|ERROR) .*::test_good ")
        self.assertEqual(
            [], [path for path in Path("/proc").glob("[0-9]*/cmdline") if seconds in self.read_if_present(path)]
        )

    @staticmethod
    def read_if_present(path: Path) -> str:
        try:
            return path.read_text()
        except OSError:
            return ""


if __name__ == "__main__":
    unittest.main()
