"""Scenarios for clusters of real processes: cluster size, and timed actions of staff and faults.

A scenario is an INI file. This module does no I/O except for reading the shipped scenarios.

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

A step consists of a time, a verb of `StepVerb` and its operands. The operand `leader` stands for the
leader at that time, `follower` for the first ingress that is not the leader, and `all` for all
ingresses. The faults that `[faults]` draws depend only on the seed.
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
MIN_DURATION_MS = 1_000  # Minimum duration of a scenario.
MAX_DURATION_MS = 600_000  # Maximum duration of a scenario.
MIN_FAULT_INTERVAL_MS = 200  # At shorter intervals faults would overlap.
# Minimum and maximum duration of a drawn fault, as a fraction of the fault interval.
FAULT_DURATION_FRACTIONS = (0.4, 0.9)
FAULT_DELAYS_MS = (20, 50, 200)  # Link delays from which a delay fault draws.


class OperandKind(StrEnum):
    """The kind of a step's operands; the values appear in error texts."""

    TARGETS = "targets"
    INGRESSES = "ingresses"
    BACKENDS = "machines"
    DELAY_MS = "ms"
    NOTHING = ""


class StepVerb(StrEnum):
    """The action of a step; the values are the verbs in the scenario file."""

    REQUEST = "ask"
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
    RECOVER = "mend"
    TERMINATE = "end"


OPERAND_KINDS: dict[str, OperandKind] = {
    StepVerb.REQUEST: OperandKind.TARGETS,
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
    StepVerb.RECOVER: OperandKind.BACKENDS,
    StepVerb.TERMINATE: OperandKind.INGRESSES,
}
# The verb that ends each fault that `[faults]` may draw.
END_VERBS: dict[str, StepVerb] = {
    StepVerb.KILL: StepVerb.START,
    StepVerb.STOP: StepVerb.CONTINUE,
    StepVerb.CUT: StepVerb.HEAL,
    StepVerb.CUT_FROM: StepVerb.HEAL,
    StepVerb.DELAY: StepVerb.HEAL,
    StepVerb.FAIL: StepVerb.RECOVER,
}


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a scenario.

    Attributes:
        at_ms: Time of the step, counted from the first election of a leader.
        verb: The action.
        operands: Targets, ingresses or backends, or a delay in milliseconds.
    """

    at_ms: float
    verb: StepVerb
    operands: tuple[str, ...]


class ScenarioSection(Section, frozen=True, kw_only=True):
    """The section `[scenario]`; the field names are its keys.

    Attributes:
        about: One-line description for the list of scenarios.
        ingresses: Number of ingresses.
        machines: Number of backends.
        zones: Number of zones over which the backends are spread.
        lasts: Time for which requests are sent.
        load: Requests per second to each ingress.
        work: Time for which staff work at a backend.
        most_out: Maximum number of unavailable backends in a zone.
        steps: The steps, one per line.
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
        """Yield a problem for each key with an invalid value."""
        if self.ingresses not in CLUSTER_SIZES:
            yield KeyProblem("ingresses", f"is {self.ingresses}", "write 1, 3, 5 or 7")
        if not 1 <= self.zones <= self.machines <= MAX_BACKENDS:
            reason = f"is {self.machines} in {self.zones} zones"
            yield KeyProblem(
                "machines", reason, "write 1 to 32 machines, and no more zones than machines"
            )
        if not MIN_DURATION_MS <= self.lasts <= MAX_DURATION_MS:
            yield KeyProblem(
                "lasts", "is not from 1s to 10min", "write the duration of the scenario"
            )
        for text in _nonempty_lines(self.steps):
            problem = step_problem(text, self.machines)
            if problem:
                yield KeyProblem(
                    "steps",
                    f"{text!r} {problem}",
                    "write TIME, a verb and its operands; verbs are " + ", ".join(OPERAND_KINDS),
                )


class FaultsSection(Section, frozen=True, kw_only=True):
    """The section `[faults]`: faults drawn from the seed; the field names are its keys.

    Attributes:
        kinds: Verbs of the faults that may be drawn.
        every: Time between the starts of two faults.
        until: Time after which no fault starts.
    """

    kinds: tuple[str, ...] = ()
    every: Duration = Duration(3_000.0)
    until: Duration = Duration(10_000.0)

    def problems(self) -> Iterable[KeyProblem]:
        """Yield a problem for each key with an invalid value."""
        for kind in self.kinds:
            if kind not in END_VERBS:
                yield KeyProblem(
                    "kinds", f"{kind!r} is not a fault", "write some of " + ", ".join(END_VERBS)
                )
        if self.every < MIN_FAULT_INTERVAL_MS:
            yield KeyProblem(
                "every", "is under 200ms", "write 200ms or more, so that faults do not overlap"
            )


@dataclass(frozen=True, slots=True)
class PlannedScenario:
    """A scenario with the faults that one seed draws.

    Attributes:
        name: Name or file of the scenario.
        settings: The section `[scenario]`.
        ingresses: Number of ingresses.
        steps: All steps, including those of the drawn faults, ordered by time.
    """

    name: str
    settings: ScenarioSection
    ingresses: int
    steps: tuple[Step, ...]


class ScenarioError(DockthreadError):
    """A scenario is invalid; the message has one line for each problem."""


def step_problem(text: str, backend_count: int) -> str:
    """Return a description of the problem with a step, or "" if the step is valid."""
    time, verb, *operands = _split_step(text)
    try:
        Duration.parse(time)
    except ValueError as error:
        return f"{time!r} {error}"
    kind = OPERAND_KINDS.get(verb)
    if kind is None:
        return f"has the unknown verb {verb!r}"
    if kind is OperandKind.DELAY_MS:
        is_number = len(operands) == 1 and operands[0].isdigit()
        return "" if is_number else "takes one number of milliseconds"
    if bool(operands) != bool(kind):
        return f"takes {kind or 'nothing'}"
    known = _known_operands(kind, backend_count)
    unknown = next((operand for operand in operands if operand not in known), None)
    return f"takes {kind}, but {unknown!r} is unknown" if unknown is not None else ""


def _split_step(text: str) -> list[str]:
    """Return time, verb and operands; a missing time or verb is ""."""
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
    """Parse a scenario and draw its faults.

    Args:
        text: The scenario in INI format.
        name: The scenario's name or file, for error messages.
        ingresses: Number of ingresses; 0 uses the number in the scenario.
        seed: The seed from which faults are drawn.

    Raises:
        ScenarioError: The scenario is invalid; the message names the file, the key, the problem and
            valid values.
    """
    sections = read_sections(
        text, name, {"scenario": SectionKind(ScenarioSection), "faults": SectionKind(FaultsSection)}
    )
    if sections.errors:
        raise ScenarioError("\n".join(str(problem) for problem in sections.errors))
    settings: ScenarioSection = sections.section("scenario")
    size = ingresses or settings.ingresses
    if size not in CLUSTER_SIZES:
        raise ScenarioError(
            f"{name}: {size} is not a valid number of ingresses; write 1, 3, 5 or 7"
        )
    steps = [_parse_step(line) for line in _nonempty_lines(settings.steps)]
    fault_steps = _draw_fault_steps(
        sections.section("faults"), random.Random(seed), size, settings.machines
    )
    ordered_steps = sorted([*steps, *fault_steps], key=lambda step: step.at_ms)
    return PlannedScenario(name, settings, size, tuple(ordered_steps))


def _nonempty_lines(text: str) -> list[str]:
    return [line.strip() for line in text.split("\n") if line.strip()]


def _parse_step(text: str) -> Step:
    time, verb, *operands = text.split()
    return Step(float(Duration.parse(time)), StepVerb(verb), tuple(operands))


def _draw_fault_steps(
    faults: FaultsSection, rng: random.Random, size: int, backend_count: int
) -> Iterator[Step]:
    at_ms = float(faults.every)
    while faults.kinds and at_ms < faults.until:
        kind = StepVerb(rng.choice(faults.kinds))
        ends_at_ms = at_ms + float(faults.every) * rng.uniform(*FAULT_DURATION_FRACTIONS)
        ingress = f"n{rng.randrange(size)}"
        delay_ms = str(rng.choice(FAULT_DELAYS_MS))
        backend = f"m{rng.randrange(backend_count)}"
        operand_by_kind = {StepVerb.DELAY: delay_ms, StepVerb.FAIL: backend}
        operands = (operand_by_kind.get(kind, ingress),)
        end_verb = END_VERBS[kind]
        yield Step(at_ms, kind, operands)
        yield Step(ends_at_ms, end_verb, () if end_verb is StepVerb.HEAL else operands)
        at_ms += float(faults.every)


def shipped_scenarios() -> dict[str, str]:
    """Return the texts of the scenarios that are shipped with the program, by name."""
    folder = resources.files("dockthread.lab.maintenance") / "scenarios"
    files = sorted(
        (file for file in folder.iterdir() if file.name.endswith(".ini")),
        key=lambda file: file.name,
    )
    return {file.name.removesuffix(".ini"): file.read_text() for file in files}
