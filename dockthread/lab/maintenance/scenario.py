"""Scenarios of real processes, as INI: who there is, what staff and faults do at which second. Read
and proved, no I/O.

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

A step is a time and words of `VERBS`. `leader` is whoever leads then, `follower` the first that
does not, `all` each. What is drawn by `[faults]` comes of the seed alone.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from importlib import resources

from dockthread.config.ini_reader import Kind, Section, read
from dockthread.config.quantities import Duration

INGRESSES = (1, 3, 5, 7)
VERBS = {  # what each word takes: machines, ingresses, a number of ms, or nothing
    "ask": "targets", "withdraw": "targets", "kill": "ingresses", "start": "ingresses", "stop": "ingresses",
    "continue": "ingresses", "cut": "ingresses", "cut-from": "ingresses", "heal": "", "delay": "ms",
    "fail": "machines", "mend": "machines", "end": "ingresses",
}  # fmt: skip
DRAWN = ("kill", "stop", "cut", "cut-from", "delay", "fail")
HEALS = {
    "kill": "start",
    "stop": "continue",
    "cut": "heal",
    "cut-from": "heal",
    "delay": "heal",
    "fail": "mend",
}


@dataclass(frozen=True, slots=True)
class Step:
    at: float  # ms from when a leader stands
    verb: str
    words: tuple[str, ...]


class ScenarioSection(Section, frozen=True, kw_only=True):
    """`load`: requests a second to each ingress; `work`: how long staff work at a machine;
    `most_out`: of a zone.
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

    def faults(self) -> Iterable[tuple[str, str, str]]:
        if self.ingresses not in INGRESSES:
            yield "ingresses", f"is {self.ingresses}", "write 1, 3, 5 or 7"
        if not 1 <= self.zones <= self.machines <= 32:
            yield (
                "machines",
                f"is {self.machines} in {self.zones} zones",
                "write 1 to 32, and no more zones",
            )
        if not 1_000 <= self.lasts <= 600_000:
            yield "lasts", "is not from 1s to 10min", "write for how long it is played"
        for text in self.steps.split("\n"):
            if text.strip() and (wrong := step_fault(text, self.machines)):
                yield "steps", f"{text.strip()!r} {wrong}", "write TIME and " + ", ".join(VERBS)


class FaultsSection(Section, frozen=True, kw_only=True):
    kinds: tuple[str, ...] = ()
    every: Duration = Duration(3_000.0)
    until: Duration = Duration(10_000.0)

    def faults(self) -> Iterable[tuple[str, str, str]]:
        for kind in self.kinds:
            if kind not in DRAWN:
                yield "kinds", f"{kind!r} is none", "write some of " + ", ".join(DRAWN)
        if self.every < 200:
            yield "every", "is under 200ms", "faults would stand on each other"


@dataclass(frozen=True, slots=True)
class PlannedScenario:
    """A scenario as it is to be played with one seed."""

    name: str
    settings: ScenarioSection
    ingresses: int
    steps: tuple[Step, ...]


class ScenarioError(Exception):
    """What is wrong with a scenario, one line for each fault."""


def step_fault(text: str, machines: int) -> str:
    time, verb, *words = [*text.split(), "", ""][:2] + text.split()[2:]
    try:
        Duration.parse(time)
    except ValueError as error:
        return f"{time!r} {error}"
    takes = VERBS.get(verb)
    if takes is None:
        return f"has no word {verb!r}"
    known = {"machines": {f"m{i}" for i in range(machines)}}
    known["ingresses"] = {"leader", "follower", "all", *(f"n{i}" for i in range(max(INGRESSES)))}
    known["targets"] = known["machines"] | known["ingresses"]
    if takes == "ms":
        return "" if len(words) == 1 and words[0].isdigit() else "takes a number of ms"
    if bool(words) != bool(takes):
        return f"takes {takes or 'nothing'}"
    odd = [word for word in words if word not in known.get(takes, set())]
    return f"takes {takes}, and {odd[0]!r} is none" if odd else ""


def parse_scenario(text: str, name: str, ingresses: int = 0, seed: int = 0) -> PlannedScenario:
    """Raises ScenarioError, naming the file, the key, what is wrong and what would do."""
    found = read(text, name, {"scenario": Kind(ScenarioSection), "faults": Kind(FaultsSection)})
    if found.errors:
        raise ScenarioError("\n".join(str(problem) for problem in found.errors))
    settings: ScenarioSection = found.one("scenario")
    size = ingresses or settings.ingresses
    if size not in INGRESSES:
        raise ScenarioError(f"{name}: {size} ingresses; write 1, 3, 5 or 7")
    steps = [_step(line) for line in settings.steps.split("\n") if line.strip()]
    drawn = _drawn(found.one("faults"), random.Random(seed), size, settings.machines)
    return PlannedScenario(
        name, settings, size, tuple(sorted([*steps, *drawn], key=lambda s: s.at))
    )


def _step(text: str) -> Step:
    time, verb, *words = text.split()
    return Step(float(Duration.parse(time)), verb, tuple(words))


def _drawn(faults: FaultsSection, rng: random.Random, size: int, machines: int) -> Iterable[Step]:
    at = float(faults.every)
    while faults.kinds and at < faults.until:
        kind, ends = rng.choice(faults.kinds), at + float(faults.every) * rng.uniform(0.4, 0.9)
        name = f"n{rng.randrange(size)}"
        delay, machine = (str(rng.choice((20, 50, 200))),), (f"m{rng.randrange(machines)}",)
        words = {"delay": delay, "fail": machine}.get(kind, (name,))
        yield Step(at, kind, words)
        yield Step(ends, HEALS[kind], () if HEALS[kind] == "heal" else words)
        at += float(faults.every)


def shipped_scenarios() -> dict[str, str]:
    """The texts of the scenarios that come with the program, by name."""
    folder = resources.files("dockthread.lab.maintenance") / "scenarios"
    files = sorted((f for f in folder.iterdir() if f.name.endswith(".ini")), key=lambda f: f.name)
    return {f.name.removesuffix(".ini"): f.read_text() for f in files}
