"""Scenarios of real processes, as INI: who takes part, and what staff and faults do when.

The only I/O is reading the scenarios that come with the program.

    [scenario]
    about = the leader dies between grant and drain
    ingresses = 3
    machines = 4
    zones = 2
    lasts = 20s
    load = 20
    steps =
        1s ask m0 m2
        1200ms kill leader
        6s start all

    [faults]
    kinds = kill, stop, cut
    every = 3s
    until = 15s

A step is a time, a word of `StepVerb` and its operands. `leader` is whoever leads then, `follower`
the first that does not, `all` each. What `[faults]` draws is decided by the seed alone.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from importlib import resources

from dockthread.config.ini_reader import KeyProblem, Section, SectionKind, read_sections
from dockthread.config.quantities import Duration
from dockthread.errors import DockthreadError

CLUSTER_SIZES = (1, 3, 5, 7)
MAX_BACKENDS = 32
MIN_DURATION_MS = 1_000  # of a scenario
MAX_DURATION_MS = 600_000
MIN_FAULT_INTERVAL_MS = 200  # shorter, faults would overlap
FAULT_LENGTHS = (0.4, 0.9)  # least and most length of a drawn fault, in intervals
DRAWN_DELAYS_MS = (20, 50, 200)


class OperandKind(StrEnum):
    """What a step's operands name; the values are words of error texts."""

    TARGETS = "targets"
    INGRESSES = "ingresses"
    BACKENDS = "machines"
    DELAY_MS = "ms"
    NOTHING = ""


class StepVerb(StrEnum):
    """What happens in a step; the values are the words of the scenario's file."""

    ASK = "ask"
    WITHDRAW = "withdraw"
    KILL = "kill"
    START = "start"
    STOP = "stop"
    CONTINUE = "continue"
    CUT = "cut"
    CUT_FROM = "cut-from"
    HEAL = "heal"
    DELAY = "delay"
    FAIL = "fail"
    MEND = "mend"
    END = "end"


OPERANDS: dict[str, OperandKind] = {
    StepVerb.ASK: OperandKind.TARGETS,
    StepVerb.WITHDRAW: OperandKind.TARGETS,
    StepVerb.KILL: OperandKind.INGRESSES,
    StepVerb.START: OperandKind.INGRESSES,
    StepVerb.STOP: OperandKind.INGRESSES,
    StepVerb.CONTINUE: OperandKind.INGRESSES,
    StepVerb.CUT: OperandKind.INGRESSES,
    StepVerb.CUT_FROM: OperandKind.INGRESSES,
    StepVerb.HEAL: OperandKind.NOTHING,
    StepVerb.DELAY: OperandKind.DELAY_MS,
    StepVerb.FAIL: OperandKind.BACKENDS,
    StepVerb.MEND: OperandKind.BACKENDS,
    StepVerb.END: OperandKind.INGRESSES,
}
# Faults that `[faults]` may draw, each with the step that ends it.
ENDED_BY: dict[str, StepVerb] = {
    StepVerb.KILL: StepVerb.START,
    StepVerb.STOP: StepVerb.CONTINUE,
    StepVerb.CUT: StepVerb.HEAL,
    StepVerb.CUT_FROM: StepVerb.HEAL,
    StepVerb.DELAY: StepVerb.HEAL,
    StepVerb.FAIL: StepVerb.MEND,
}


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a scenario.

    Attributes:
        at_ms: When, from when a leader is elected.
        verb: What happens.
        operands: Targets, ingresses or backends, or a delay in milliseconds.
    """

    at_ms: float
    verb: StepVerb
    operands: tuple[str, ...]


class ScenarioSection(Section, frozen=True, kw_only=True):
    """The section `[scenario]`; the names of the fields are its keys.

    Attributes:
        about: One line for the list of scenarios.
        ingresses: Number of ingresses.
        machines: Number of backends.
        zones: Number of zones among which the backends are spread.
        lasts: For how long requests are sent.
        load: Requests a second to each ingress.
        work: For how long staff work at a backend.
        most_out: Backends of one zone that may be unavailable at once.
        steps: One step a line.
    """

    about: str = ""
    ingresses: int = 3
    machines: int = 4
    zones: int = 1
    lasts: Duration = Duration(20_000.0)
    load: int = 20
    work: Duration = Duration(500.0)
    most_out: int = 1
    steps: str = ""

    def problems(self) -> Iterable[KeyProblem]:
        """Yield the key, what is wrong and what would do, for each fault."""
        if self.ingresses not in CLUSTER_SIZES:
            yield KeyProblem("ingresses", f"is {self.ingresses}", "write 1, 3, 5 or 7")
        if not 1 <= self.zones <= self.machines <= MAX_BACKENDS:
            found = f"is {self.machines} in {self.zones} zones"
            yield KeyProblem("machines", found, "write 1 to 32, and no more zones")
        if not MIN_DURATION_MS <= self.lasts <= MAX_DURATION_MS:
            yield KeyProblem("lasts", "is not from 1s to 10min", "write for how long it is played")
        for text in _lines(self.steps):
            fault = step_fault(text, self.machines)
            if fault:
                yield KeyProblem(
                    "steps", f"{text!r} {fault}", "write TIME and " + ", ".join(OPERANDS)
                )


class FaultsSection(Section, frozen=True, kw_only=True):
    """The section `[faults]`: faults drawn by the seed; the names of the fields are its keys.

    Attributes:
        kinds: Which faults.
        every: Time between two faults.
        until: After which no fault begins.
    """

    kinds: tuple[str, ...] = ()
    every: Duration = Duration(3_000.0)
    until: Duration = Duration(10_000.0)

    def problems(self) -> Iterable[KeyProblem]:
        """Yield the key, what is wrong and what would do, for each fault."""
        for kind in self.kinds:
            if kind not in ENDED_BY:
                yield KeyProblem(
                    "kinds", f"{kind!r} is none", "write some of " + ", ".join(ENDED_BY)
                )
        if self.every < MIN_FAULT_INTERVAL_MS:
            yield KeyProblem("every", "is under 200ms", "faults would stand on each other")


@dataclass(frozen=True, slots=True)
class PlannedScenario:
    """A scenario as it is to be played with one seed.

    Attributes:
        name: Name of the scenario, or its file.
        settings: Its section `[scenario]`.
        ingresses: Number of ingresses.
        steps: All steps, those of the drawn faults too, in the order of time.
    """

    name: str
    settings: ScenarioSection
    ingresses: int
    steps: tuple[Step, ...]


class ScenarioError(DockthreadError):
    """What is wrong with a scenario, one line for each fault."""


def step_fault(text: str, backend_count: int) -> str:
    """Return what is wrong with a step; empty where nothing is."""
    time, verb, *operands = _split_step(text)
    try:
        Duration.parse(time)
    except ValueError as error:
        return f"{time!r} {error}"
    kind = OPERANDS.get(verb)
    if kind is None:
        return f"has no word {verb!r}"
    if kind is OperandKind.DELAY_MS:
        is_number = len(operands) == 1 and operands[0].isdigit()
        return "" if is_number else "takes a number of ms"
    if bool(operands) != bool(kind):
        return f"takes {kind or 'nothing'}"
    known = _known_operands(kind, backend_count)
    unknown = next((operand for operand in operands if operand not in known), None)
    return f"takes {kind}, and {unknown!r} is none" if unknown is not None else ""


def _split_step(text: str) -> list[str]:
    """Return time, verb and operands; a missing time or verb is empty."""
    words = text.split()
    return [*words, "", ""][:2] + words[2:]


def _known_operands(kind: OperandKind, backend_count: int) -> set[str]:
    backends = {f"m{number}" for number in range(backend_count)}
    names = {f"n{number}" for number in range(max(CLUSTER_SIZES))}
    ingresses = {"leader", "follower", "all", *names}
    match kind:
        case OperandKind.BACKENDS:
            return backends
        case OperandKind.INGRESSES:
            return ingresses
        case OperandKind.TARGETS:
            return backends | ingresses
        case _:
            return set()


def parse_scenario(text: str, name: str, ingresses: int = 0, seed: int = 0) -> PlannedScenario:
    """Read a scenario and draw its faults.

    Args:
        text: The scenario in INI.
        name: Its name or file, for errors.
        ingresses: Number of ingresses, in place of the scenario's own; 0 for that.
        seed: Decides the drawn faults.

    Raises:
        ScenarioError: The scenario is wrong; names the file, the key, what is wrong and what would
            do.
    """
    found = read_sections(
        text, name, {"scenario": SectionKind(ScenarioSection), "faults": SectionKind(FaultsSection)}
    )
    if found.errors:
        raise ScenarioError("\n".join(str(problem) for problem in found.errors))
    settings: ScenarioSection = found.section("scenario")
    size = ingresses or settings.ingresses
    if size not in CLUSTER_SIZES:
        raise ScenarioError(f"{name}: {size} ingresses; write 1, 3, 5 or 7")
    steps = [_parse_step(line) for line in _lines(settings.steps)]
    drawn = _drawn_steps(found.section("faults"), random.Random(seed), size, settings.machines)
    ordered = sorted([*steps, *drawn], key=lambda step: step.at_ms)
    return PlannedScenario(name, settings, size, tuple(ordered))


def _lines(text: str) -> list[str]:
    return [line.strip() for line in text.split("\n") if line.strip()]


def _parse_step(text: str) -> Step:
    time, verb, *operands = text.split()
    return Step(float(Duration.parse(time)), StepVerb(verb), tuple(operands))


def _drawn_steps(
    faults: FaultsSection, rng: random.Random, size: int, backend_count: int
) -> Iterator[Step]:
    at_ms = float(faults.every)
    while faults.kinds and at_ms < faults.until:
        kind = StepVerb(rng.choice(faults.kinds))
        ends_at_ms = at_ms + float(faults.every) * rng.uniform(*FAULT_LENGTHS)
        ingress = f"n{rng.randrange(size)}"
        delay_ms = str(rng.choice(DRAWN_DELAYS_MS))
        backend = f"m{rng.randrange(backend_count)}"
        by_kind = {StepVerb.DELAY: delay_ms, StepVerb.FAIL: backend}
        operands = (by_kind.get(kind, ingress),)
        end = ENDED_BY[kind]
        yield Step(at_ms, kind, operands)
        yield Step(ends_at_ms, end, () if end is StepVerb.HEAL else operands)
        at_ms += float(faults.every)


def shipped_scenarios() -> dict[str, str]:
    """Return the texts of the scenarios that come with the program, by name."""
    folder = resources.files("dockthread.lab.maintenance") / "scenarios"
    files = sorted(
        (file for file in folder.iterdir() if file.name.endswith(".ini")),
        key=lambda file: file.name,
    )
    return {file.name.removesuffix(".ini"): file.read_text() for file in files}
