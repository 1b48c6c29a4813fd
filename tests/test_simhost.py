import subprocess
import sys
import unittest

from tests.scene import TRACES, BalancerTestCase


def run_simhost(lines: str) -> subprocess.CompletedProcess[str]:
    """Runs the adapter as a process with these lines as its input."""
    return subprocess.run(
        [sys.executable, "-m", "pepperusher.simhost"],
        input=lines,
        text=True,
        capture_output=True,
        timeout=60,
        check=False,
    )


class SimHost(BalancerTestCase):
    def test_an_exchange_on_standard_input_and_output(self) -> None:
        result = run_simhost((TRACES / "exchange_in.tsv").read_text())
        self.assertEqual(result.stderr, "")
        self.lines = result.stdout.splitlines()
        self.compare_trace("exchange")

    def test_bad_input_ends_with_one_plain_line(self) -> None:
        self.lines = []
        begin = "begin_batch\tts=1.0\n"
        for lines in (
            "hello\n",
            begin + "to\twho=proxy_1\nnews\n",
            begin + "to\twho\n",
            begin + "to\twho=p\nspawn\tseed=1\n",
            begin + "to\twho=p\nspawn\tseed=1\tparams={\n",
            begin + "to\twho=p\nspawn\tseed=x\tparams={}\n",
            begin + "inventory\tbank=0\telements=1\neob\n",
            "begin_batch\tts=soon\n",
            begin,
        ):
            result = run_simhost(lines)
            self.lines.append(f"{result.returncode} {result.stderr.rstrip()}")
        self.compare_trace("bad_input")


if __name__ == "__main__":
    unittest.main()
