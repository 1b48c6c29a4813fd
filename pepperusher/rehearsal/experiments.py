"""Experiments: a file names rehearsals over parameters, seeds and builds; they are played in turn and
compared."""

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

MOST = 1000


class Arm(Table, kw_only=True):
    """One of those compared: another build, other values in the script, or both."""

    name: str
    build: str | None = None
    set: dict[str, Any] = {}


class Experiment(Table, kw_only=True):
    """`vary` gives each key of the script its values, all of them with all others; keys are written as
    "load.phases.0.rate". The first arm is what the others are compared with."""

    title: str
    rehearsals: list[str]
    seeds: list[int]
    arms: list[Arm]
    vary: dict[str, list[Any]] = {}
    measures: list[str] = msgspec.field(default_factory=lambda: ["goodput", "worst window", "p50", "p99", "tries"])
    order_seed: int = 1
    folder: str = "."


class PlannedRun(NamedTuple):
    """One rehearsal to play; those of the same `pair` differ in their arm alone."""

    arm: Arm
    pair: str
    script: Script
    parameters: dict[str, Any]


def read(path: Path) -> Experiment:
    """Raises ScriptError in one line."""
    raw = scripts.load_toml(path)
    try:
        experiment: Experiment = scripts.convert(raw, Experiment)
        experiment.folder = str(path.resolve().parent)
        _check(experiment)
    except ScriptError as error:
        raise ScriptError(f"{path}: {error}") from None
    return experiment


def _check(experiment: Experiment) -> None:
    for key, given in (
        ("rehearsals", experiment.rehearsals),
        ("seeds", experiment.seeds),
        ("arms", experiment.arms),
    ):
        if not given:
            raise ScriptError(f"{key}: there is none")
    names = [arm.name for arm in experiment.arms]
    for number, arm in enumerate(experiment.arms):
        if names.count(arm.name) > 1:
            raise ScriptError(f"arms[{number}].name: {arm.name} stands twice")
        if arm.build is not None and not (Path(experiment.folder) / arm.build / "pepperusher").is_dir():
            raise ScriptError(f"arms[{number}].build: {arm.build} is no checkout: it has no folder pepperusher")
    for key in experiment.vary:
        if not experiment.vary[key]:
            raise ScriptError(f"vary.{key}: has no values")
    for number, measure in enumerate(experiment.measures):
        if measure not in MEASURES:
            raise ScriptError(f"measures[{number}]: {measure} is none of {', '.join(MEASURES)}")


def _put(raw: dict[str, Any], key: str, value: Any, said: str) -> None:
    """Sets one value deep in a script; a place that the script does not have names the key."""
    at: Any = raw
    *way, last = key.split(".")
    for step in way:
        if isinstance(at, list) and step.isdecimal() and int(step) < len(at):
            at = at[int(step)]
        elif isinstance(at, dict) and (step in at or step == way[-1]):
            at = at.setdefault(step, {})
        else:
            raise ScriptError(f"{said}: the script has no {step} in {key}")
    if isinstance(at, list) and last.isdecimal() and int(last) < len(at):
        at[int(last)] = value
    elif isinstance(at, dict):
        at[last] = value
    else:
        raise ScriptError(f"{said}: the script has no {last} in {key}")


def planned(experiment: Experiment) -> list[PlannedRun]:
    """Every play, interleaved: pairs in an order drawn from the seed, the arms of each one after another, and
    which comes first drawn too, so that a machine that slows over time strikes all arms alike. Raises
    ScriptError."""
    plays: list[list[PlannedRun]] = []
    keys = list(experiment.vary)
    for name in experiment.rehearsals:
        path = Path(experiment.folder) / name
        raw = scripts.load_with_bases(path)
        for values in product(*(experiment.vary[key] for key in keys)):
            for seed in experiment.seeds:
                pair = []
                for number, arm in enumerate(experiment.arms):
                    of = copy.deepcopy(raw)
                    for key, value in zip(keys, values):
                        _put(of, key, value, f"vary.{key}")
                    for key, value in arm.set.items():
                        _put(of, key, value, f"arms[{number}].set")
                    of["seed"] = seed
                    try:
                        script = scripts.build_script(of)
                    except ScriptError as error:
                        raise ScriptError(f"{name}, arm {arm.name}: {error}") from None
                    script.folder = str(path.resolve().parent)
                    parameters = {"rehearsal": name, "seed": seed, **dict(zip(keys, values))}
                    pair.append(PlannedRun(arm, json.dumps(parameters, sort_keys=True), script, parameters))
                plays.append(pair)
    if sum(map(len, plays)) > MOST:
        raise ScriptError(f"seeds: {sum(map(len, plays))} rehearsals are over {MOST}")
    chance = Random(f"{experiment.order_seed}:order")
    chance.shuffle(plays)
    for pair in plays:
        chance.shuffle(pair)
    return [play for pair in plays for play in pair]


def _file(play: PlannedRun) -> str:
    """A name that changes with anything that is asked."""
    asked = scripts.encode(play.script) + f"{play.arm.name}\0{play.arm.build}\0{play.pair}".encode()
    return f"{play.arm.name}-{hashlib.sha256(asked).hexdigest()[:12]}{results.SUFFIX}"


def play(experiment: Experiment, out: Path, say: Callable[[str], None]) -> list[tuple[PlannedRun, Result]]:
    """Plays what `out` does not hold yet, so one that was stopped goes on. Raises ScriptError and
    RehearsalError."""
    plays = planned(experiment)
    out.mkdir(parents=True, exist_ok=True)
    played = []
    for number, one in enumerate(plays, 1):
        path = out / _file(one)
        result = _kept(path)
        word = "kept"
        if result is None:
            build = (Path(experiment.folder) / one.arm.build).resolve() if one.arm.build else None
            result = run_controller.rehearse(one.script, build)
            result.parameters = {**one.parameters, "arm": one.arm.name}
            result.build = one.arm.name
            results.write(path, result)
            word = "played"
        rules = "" if result.kept else ", A RULE BROKEN"
        say(f"{number} of {len(plays)} {word}: {one.arm.name}, {one.pair}: goodput {result.figures.goodput:.4f}{rules}")
        played.append((one, result))
    return played


def _kept(path: Path) -> Result | None:
    try:
        return results.read(path) if path.exists() else None
    except ResultError:
        return None


class ArmComparison(NamedTuple):
    """`other` against `base` where `where` was varied so; all seeds of it are its pairs."""

    base: str
    other: str
    where: str
    differences: list[Difference]


def compare_arms(experiment: Experiment, played: list[tuple[PlannedRun, Result]]) -> list[ArmComparison]:
    """Each arm after the first, for each rehearsal and each set of varied values on its own: a difference at
    one rate is no difference at another."""
    base = experiment.arms[0].name
    by: dict[str, dict[str, dict[str, Result]]] = {}
    for one, result in played:
        where = ", ".join(f"{key} {value}" for key, value in one.parameters.items() if key != "seed")
        by.setdefault(where, {}).setdefault(one.pair, {})[one.arm.name] = result
    made = []
    for where in sorted(by):
        for arm in experiment.arms[1:]:
            pairs = [
                (those[base].figures, those[arm.name].figures)
                for _, those in sorted(by[where].items())
                if base in those and arm.name in those
            ]
            if pairs:
                made.append(
                    ArmComparison(
                        base,
                        arm.name,
                        where,
                        [compare.difference(measure, pairs) for measure in experiment.measures],
                    )
                )
    return made


def spoken(experiment: Experiment, played: list[tuple[PlannedRun, Result]]) -> str:
    lines = [experiment.title]
    for made in compare_arms(experiment, played):
        pairs = made.differences[0].pairs if made.differences else 0
        lines.append(f"  {made.other} against {made.base}, {pairs} pairs, {made.where}:")
        for one in made.differences:
            lines.append(
                f"    {one.measure:<16} {one.base:10.4f} {one.other:10.4f}  {one.mean:+10.4f}"
                f"  [{one.low:+.4f}, {one.high:+.4f}]  {one.verdict}"
            )
    broken = sum(1 for _, result in played if not result.kept)
    marked = sum(1 for _, result in played if result.figures.marked)
    lines.append(
        f"  {len(played)} rehearsals, {broken} with a rule broken, {marked} in which the generator stood still"
    )
    return "\n".join(lines)
