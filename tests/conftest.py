"""Pytest hooks for all tests: a test that times out prints the stacks of its asyncio tasks, and every process that a test
leaves running is killed.

The time limits are set in pyproject.toml, and by a mark on each test that needs a longer one.
"""

from __future__ import annotations

import asyncio
import ctypes
import fcntl
import gc
import os
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import FrameType

import pytest

# Interval at which the time-out is raised again. A test can survive the first one: the event loop may attribute the
# exception to a task and continue to run.
TIMEOUT_REPEAT_S = 10.0
# Number of innermost frames printed for a task. The stack of the running task also holds pytest's frames, further out.
STACK_FRAMES = 6
PR_SET_CHILD_SUBREAPER = 36


def format_task_stacks() -> str:
    """Returns the stacks of all tasks of the running event loop, with a count of tasks for each distinct stack.

    They are needed because the stack of the thread shows only that the event loop waits in select.
    """
    try:
        tasks = asyncio.all_tasks()
    except RuntimeError:
        return "  none: no event loop is running"
    stacks = Counter(
        "".join(
            f"\n    {frame.f_code.co_filename}:{frame.f_lineno} {frame.f_code.co_name}"
            for frame in task.get_stack()[-STACK_FRAMES:]
        )
        for task in tasks
    )
    return "\n".join(f"  {count} at{stack}" for stack, count in stacks.most_common())


@pytest.hookimpl(wrapper=True, optionalhook=True)
def pytest_timeout_set_timer(item: pytest.Item, settings: object) -> Iterator[None]:
    """Makes the SIGALRM handler of pytest-timeout print the task stacks first, and run again if the test continues."""
    result = yield
    raise_timeout = signal.getsignal(signal.SIGALRM)
    if callable(raise_timeout):

        def on_timeout(signal_number: int, frame: FrameType | None) -> None:
            print(f"{item.nodeid}: timed out; stacks of its tasks:\n{format_task_stacks()}", file=sys.stderr)
            signal.setitimer(signal.ITIMER_REAL, TIMEOUT_REPEAT_S)
            raise_timeout(signal_number, frame)

        signal.signal(signal.SIGALRM, on_timeout)
    return result


# --- reports ---------------------------------------------------------------------------------------------


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(item: pytest.Item, call: pytest.CallInfo[None]) -> Iterator[pytest.TestReport]:
    """Reports a failure without garbage collections in between: CPython 3.11 fails to parse a source file, as the report
    does, where a collection runs finalizers of stream writers whose event loop is closed.
    """
    if call.excinfo is None:
        return (yield)
    gc.collect()
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()


# --- processes ----------------------------------------------------------------------------------------


def descendants(pid: int) -> set[int]:
    """Returns the current children of a process, adopted ones included, and all their descendants, read from /proc."""
    found: set[int] = set()
    for path in Path(f"/proc/{pid}/task").glob("*/children"):
        try:
            children = {int(child) for child in path.read_text().split()}
        except OSError:
            continue  # the process has ended in the meantime
        found |= children.union(*map(descendants, children))
    return found


def kill_all(pids: set[int]) -> None:
    for pid in pids:
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            pass


@pytest.hookimpl(tryfirst=True)
def pytest_configure(config: pytest.Config) -> None:
    """Makes this process adopt orphaned descendants, so that it can kill them.

    This includes the processes of a worker that was killed at its time limit. Proxies left running would hold the output
    pipe of the run open, and a program that reads this output would wait for ever.
    """
    ctypes.CDLL(None).prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)


@contextmanager
def exclusive_turn(item: pytest.Item) -> Iterator[None]:
    """Lets one test marked `one_at_a_time` run on this machine at a time."""
    if item.get_closest_marker("one_at_a_time") is None:
        yield
        return
    with open(f"{tempfile.gettempdir()}/pepperusher-one-at-a-time.{os.getuid()}", "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_protocol(item: pytest.Item) -> Iterator[object]:
    """Kills the processes that a test started and left running. The wait for its turn is no part of a test's time, which is
    that of the test alone.
    """
    with exclusive_turn(item):
        before = descendants(os.getpid())
        try:
            return (yield)
        finally:
            kill_all(descendants(os.getpid()) - before)


@pytest.hookimpl(trylast=True)
def pytest_unconfigure(config: pytest.Config) -> None:
    """Kills the remaining descendants. The pytest-xdist workers have already ended when this hook runs last."""
    kill_all(descendants(os.getpid()))
