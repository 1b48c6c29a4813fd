import subprocess
import sys
import unittest

from tests.scene import TRACES, BalancerTestCase


def host(lines: str) -> subprocess.CompletedProcess[str]:
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
        said = host((TRACES / "exchange_in.tsv").read_text())
        self.assertEqual(said.stderr, "")
        self.lines = said.stdout.splitlines()
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
            said = host(lines)
            self.lines.append(f"{said.returncode} {said.stderr.rstrip()}")
        self.compare_trace("bad_input")


if __name__ == "__main__":
    unittest.main()
