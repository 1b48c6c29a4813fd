"""Experiments: a file lists rehearsals, parameters, seeds and builds; all combinations are run in turn and compared."""

from __future__ import annotations

import copy
import hashlib
import json
from collections.abc import Callable
from itertools import product
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec

from pepperusher.rehearsal import compare, run_controller, results, script as scripts
from pepperusher.rehearsal.compare import MEASURES, Difference
from pepperusher.rehearsal.results import Result, ResultError
from pepperusher.rehearsal.script import Script, ScriptError, Table

MAX_RUNS = 1000


class Arm(Table, kw_only=True):
    """One of the variants that are compared: another build, other values in the script, or both."""

    name: str
    build: str | None = None
    set: dict[str, Any] = {}


class Experiment(Table, kw_only=True):
    """An experiment. `vary` maps keys of the script, such as "load.phases.0.rate", to lists of values; all combinations of
    the values are run. The first arm is the baseline of the comparison."""

    title: str
    rehearsals: list[str]
    seeds: list[int]
    arms: list[Arm]
    vary: dict[str, list[Any]] = {}
    measures: list[str] = msgspec.field(default_factory=lambda: ["goodput", "worst window", "p50", "p99", "tries"])
    order_seed: int = 1
    folder: str = "."


class PlannedRun(NamedTuple):
    """One rehearsal to run; runs with the same `pair` differ only in their arm."""

    arm: Arm
    pair: str
    script: Script
    parameters: dict[str, Any]


def read(path: Path) -> Experiment:
    """Reads and validates an experiment file. Raises ScriptError, whose text is one line."""
    raw = scripts.load_toml(path)
    try:
        experiment: Experiment = scripts.convert(raw, Experiment)
        experiment.folder = str(path.resolve().parent)
        _check(experiment)
    except ScriptError as error:
        raise ScriptError(f"{path}: {error}") from None
    return experiment


def _check(experiment: Experiment) -> None:
    """Validates what the types cannot express. Raises ScriptError naming the key."""
    for key, value in (
        ("rehearsals", experiment.rehearsals),
        ("seeds", experiment.seeds),
        ("arms", experiment.arms),
    ):
        if not value:
            raise ScriptError(f"{key}: is empty")
    names = [arm.name for arm in experiment.arms]
    for number, arm in enumerate(experiment.arms):
        if names.count(arm.name) > 1:
            raise ScriptError(f"arms[{number}].name: {arm.name} is listed twice")
        if arm.build is not None and not (Path(experiment.folder) / arm.build / "pepperusher").is_dir():
            raise ScriptError(f"arms[{number}].build: {arm.build} is not a checkout: it has no directory pepperusher")
    for key in experiment.vary:
        if not experiment.vary[key]:
            raise ScriptError(f"vary.{key}: has no values")
    for number, measure in enumerate(experiment.measures):
        if measure not in MEASURES:
            raise ScriptError(f"measures[{number}]: {measure} is not one of {', '.join(MEASURES)}")


def _set_value(document: dict[str, Any], key: str, value: Any, setting: str) -> None:
    """Sets one value deep in a script. Raises ScriptError that names `setting` if the script has no such place."""
    container: Any = document
    *path, last_key = key.split(".")
    for part in path:
        if isinstance(container, list) and part.isdecimal() and int(part) < len(container):
            container = container[int(part)]
        elif isinstance(container, dict) and (part in container or part == path[-1]):
            container = container.setdefault(part, {})
        else:
            raise ScriptError(f"{setting}: the script has no {part} in {key}")
    if isinstance(container, list) and last_key.isdecimal() and int(last_key) < len(container):
        container[int(last_key)] = value
    elif isinstance(container, dict):
        container[last_key] = value
    else:
        raise ScriptError(f"{setting}: the script has no {last_key} in {key}")


def plan_runs(experiment: Experiment) -> list[PlannedRun]:
    """Returns all runs of an experiment in random order drawn from `order_seed`. Raises ScriptError.

    The pairs are shuffled, and so are the arms within each pair, which run one after another. A machine that becomes slower
    over time thus affects all arms alike.
    """
    pairs: list[list[PlannedRun]] = []
    keys = list(experiment.vary)
    for name in experiment.rehearsals:
        path = Path(experiment.folder) / name
        base_document = scripts.load_with_bases(path)
        for values in product(*(experiment.vary[key] for key in keys)):
            for seed in experiment.seeds:
                pair = []
                for number, arm in enumerate(experiment.arms):
                    document = copy.deepcopy(base_document)
                    for key, value in zip(keys, values):
                        _set_value(document, key, value, f"vary.{key}")
                    for key, value in arm.set.items():
                        _set_value(document, key, value, f"arms[{number}].set")
                    document["seed"] = seed
                    try:
                        script = scripts.build_script(document)
                    except ScriptError as error:
                        raise ScriptError(f"{name}, arm {arm.name}: {error}") from None
                    script.folder = str(path.resolve().parent)
                    parameters = {"rehearsal": name, "seed": seed, **dict(zip(keys, values))}
                    pair.append(PlannedRun(arm, json.dumps(parameters, sort_keys=True), script, parameters))
                pairs.append(pair)
    if sum(map(len, pairs)) > MAX_RUNS:
        raise ScriptError(f"seeds: {sum(map(len, pairs))} rehearsals are over {MAX_RUNS}")
    order = Random(f"{experiment.order_seed}:order")
    order.shuffle(pairs)
    for pair in pairs:
        order.shuffle(pair)
    return [run for pair in pairs for run in pair]


def _result_file_name(run: PlannedRun) -> str:
    """Returns a file name with a hash of all inputs of the run."""
    identity = scripts.encode(run.script) + f"{run.arm.name}\0{run.arm.build}\0{run.pair}".encode()
    return f"{run.arm.name}-{hashlib.sha256(identity).hexdigest()[:12]}{results.SUFFIX}"


def run_experiment(experiment: Experiment, out: Path, report: Callable[[str], None]) -> list[tuple[PlannedRun, Result]]:
    """Runs the rehearsals that have no result in `out` yet, so that an interrupted experiment can be continued.

    Raises ScriptError and RehearsalError.
    """
    runs = plan_runs(experiment)
    out.mkdir(parents=True, exist_ok=True)
    runs_with_results = []
    for number, run in enumerate(runs, 1):
        path = out / _result_file_name(run)
        result = _read_result(path)
        status = "kept"
        if result is None:
            build = (Path(experiment.folder) / run.arm.build).resolve() if run.arm.build else None
            result = run_controller.rehearse(run.script, build)
            result.parameters = {**run.parameters, "arm": run.arm.name}
            result.build = run.arm.name
            results.write(path, result)
            status = "played"
        rules = "" if result.kept else ", A RULE BROKEN"
        report(
            f"{number} of {len(runs)} {status}: {run.arm.name}, {run.pair}: goodput {result.figures.goodput:.4f}{rules}"
        )
        runs_with_results.append((run, result))
    return runs_with_results


def _read_result(path: Path) -> Result | None:
    try:
        return results.read(path) if path.exists() else None
    except ResultError:
        return None


class ArmComparison(NamedTuple):
    """The comparison of arm `other` with arm `base` under the same conditions, with one pair of runs per seed."""

    base: str
    other: str
    conditions: str
    differences: list[Difference]


def compare_arms(experiment: Experiment, runs_with_results: list[tuple[PlannedRun, Result]]) -> list[ArmComparison]:
    """Compares each arm with the first one, separately for each rehearsal and combination of varied values.

    They are not pooled, since a difference at one rate says nothing about another rate.
    """
    base = experiment.arms[0].name
    results_by_conditions: dict[str, dict[str, dict[str, Result]]] = {}
    for run, result in runs_with_results:
        conditions = ", ".join(f"{key} {value}" for key, value in run.parameters.items() if key != "seed")
        results_by_conditions.setdefault(conditions, {}).setdefault(run.pair, {})[run.arm.name] = result
    comparisons = []
    for conditions in sorted(results_by_conditions):
        for arm in experiment.arms[1:]:
            pairs = [
                (results_by_arm[base].figures, results_by_arm[arm.name].figures)
                for _, results_by_arm in sorted(results_by_conditions[conditions].items())
                if base in results_by_arm and arm.name in results_by_arm
            ]
            if pairs:
                comparisons.append(
                    ArmComparison(
                        base,
                        arm.name,
                        conditions,
                        [compare.difference(measure, pairs) for measure in experiment.measures],
                    )
                )
    return comparisons


def format_comparison(experiment: Experiment, runs_with_results: list[tuple[PlannedRun, Result]]) -> str:
    """Formats the comparison of the arms as text for a terminal."""
    lines = [experiment.title]
    for comparison in compare_arms(experiment, runs_with_results):
        pairs = comparison.differences[0].pairs if comparison.differences else 0
        lines.append(f"  {comparison.other} against {comparison.base}, {pairs} pairs, {comparison.conditions}:")
        for difference in comparison.differences:
            lines.append(
                f"    {difference.measure:<16} {difference.base:10.4f} {difference.other:10.4f}  {difference.mean:+10.4f}"
                f"  [{difference.low:+.4f}, {difference.high:+.4f}]  {difference.verdict}"
            )
    broken = sum(1 for _, result in runs_with_results if not result.kept)
    marked = sum(1 for _, result in runs_with_results if result.figures.marked)
    lines.append(
        f"  {len(runs_with_results)} rehearsals, {broken} with a rule broken, {marked} with a stall of the generator"
    )
    return "\n".join(lines)
