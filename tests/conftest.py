"""What holds for every test: when its time is up it says where it stood, and nothing that it started outlives it.

The limits themselves are in pyproject.toml, and beside the tests that need more.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from types import FrameType

import pytest

# A test that goes on after its time was up, as where its loop took the error for a task's, is told again so much later.
AGAIN = 10.0
# So much of a stack tells where it stands; what runs has pytest's own below.
DEEP = 6
PR_SET_CHILD_SUBREAPER = 36


def where_tasks_stand() -> str:
    """The stacks of all tasks of the loop that runs here: the thread's own tells of the loop's select alone."""
    try:
        tasks = asyncio.all_tasks()
    except RuntimeError:
        return "  none: no loop runs"
    stand = Counter(
        "".join(
            f"\n    {frame.f_code.co_filename}:{frame.f_lineno} {frame.f_code.co_name}"
            for frame in task.get_stack()[-DEEP:]
        )
        for task in tasks
    )
    return "\n".join(f"  {count} at{where}" for where, count in stand.most_common())


@pytest.hookimpl(wrapper=True, optionalhook=True)
def pytest_timeout_set_timer(item: pytest.Item, settings: object) -> Iterator[None]:
    made = yield
    raises = signal.getsignal(signal.SIGALRM)
    if callable(raises):

        def up(number: int, frame: FrameType | None) -> None:
            print(f"{item.nodeid}: its time is up; its tasks stand at\n{where_tasks_stand()}", file=sys.stderr)
            signal.setitimer(signal.ITIMER_REAL, AGAIN)
            raises(number, frame)

        signal.signal(signal.SIGALRM, up)
    return made


# --- processes ----------------------------------------------------------------------------------------


def descendants(of: int) -> set[int]:
    """Processes that `of` started or adopted, and what these started, as the kernel has it now."""
    found: set[int] = set()
    for path in Path(f"/proc/{of}/task").glob("*/children"):
        try:
            children = {int(one) for one in path.read_text().split()}
        except OSError:
            continue  # it has ended meanwhile
        found |= children.union(*map(descendants, children))
    return found


def end(processes: set[int]) -> None:
    for one in processes:
        try:
            os.kill(one, signal.SIGKILL)
        except ProcessLookupError:
            pass


@pytest.hookimpl(tryfirst=True)
def pytest_configure(config: pytest.Config) -> None:
    """What loses its parent becomes ours, also what a worker leaves that its limit ended: proxies that nobody ends would hold
    the run's output open, and so whoever reads it."""
    ctypes.CDLL(None).prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_protocol(item: pytest.Item) -> Iterator[object]:
    before = descendants(os.getpid())
    try:
        return (yield)
    finally:
        end(descendants(os.getpid()) - before)


@pytest.hookimpl(trylast=True)
def pytest_unconfigure(config: pytest.Config) -> None:
    """The workers have ended by now."""
    end(descendants(os.getpid()))
