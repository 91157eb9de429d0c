"""From the text of an operator's file to typed sections, and all that is wrong with it.

How it goes. `configparser` splits the text into sections of keys and texts. A section's head is a
kind, such as `telemetry`, or a kind and a name, such as `graphite main`. Each kind has a
`msgspec.Struct`; its fields are the keys, their types decide how a text is read, their defaults
hold where a key is left out. Nothing stops at the first fault: `check` is to show them all. What a
section cannot see alone is checked by the place that joins the sections
(`dockthread/config/section_registry.py`).
"""

from __future__ import annotations

import configparser
import difflib
import types
import typing
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Union

import msgspec

from dockthread.config.quantities import Duration, Share, Size, parse_bool

# of a file: a wrong path, such as one to a log, must not fill the memory
MAX_FILE_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ConfigProblem:
    """What is wrong with a file, in one plain line: where, what, and what would do."""

    file: str
    section: str
    key: str
    reason: str
    remedy: str = ""
    is_warning: bool = False

    def __str__(self) -> str:
        where = (
            f"{self.file}: "
            + (self.section and f"[{self.section}] ")
            + (self.key and f"{self.key}: ")
        )
        text = where + self.reason + (f"; {self.remedy}" if self.remedy else "")
        return " ".join(text.split())


@dataclass(frozen=True, slots=True)
class KeyProblem:
    """What a section finds wrong with one of its keys.

    Attributes:
        key: The key; empty where the section as a whole is wrong.
        reason: What is wrong.
        remedy: What would do instead.
    """

    key: str
    reason: str
    remedy: str


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all sections: the fields are the keys, their defaults those of the file."""

    def problems(self) -> Iterable[KeyProblem]:
        """Yield what is wrong with this section's keys, alone and against each other."""
        return ()


@dataclass(frozen=True, slots=True)
class SectionKind:
    """How sections of one kind are read. Those `named` may stand several times, with unlike
    names.
    """

    struct: type[Section]
    named: bool = False


@dataclass(slots=True)
class OperatorConfig:
    """A file as read: sections by kind and name ('' where the kind has none), and the keys it set
    itself.
    """

    file: str
    sections: dict[str, dict[str, Section]] = field(default_factory=dict)
    explicit_keys: dict[tuple[str, str], set[str]] = field(default_factory=dict)
    problems: list[ConfigProblem] = field(default_factory=list)

    def section(self, kind: str) -> Any:
        return self.sections[kind][""]

    def named_sections(self, kind: str) -> dict[str, Any]:
        return self.sections.get(kind, {})

    @property
    def errors(self) -> list[ConfigProblem]:
        return [problem for problem in self.problems if not problem.is_warning]


def read_sections(text: str, file: str, kinds: Mapping[str, SectionKind]) -> OperatorConfig:
    """Read a file's text; `file` is only its name in problems. Unnamed kinds always have a
    section.
    """
    found = OperatorConfig(file)
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        inline_comment_prefixes=("#", ";"),
        default_section="\0",
        strict=True,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]  # keys as written, for near misses
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        found.problems.append(_unreadable(file, error))
        return found
    for head in parser.sections():
        kind, _, name = head.strip().partition(" ")
        name = name.strip()
        if kind not in kinds:
            near = _near(kind, kinds)
            found.problems.append(
                ConfigProblem(file, head, "", "is no section", near or f"known: {_all(kinds)}")
            )
        elif kinds[kind].named and not name:
            found.problems.append(
                ConfigProblem(file, head, "", "needs a name", f"such as [{kind} main]")
            )
        elif name and not kinds[kind].named:
            found.problems.append(ConfigProblem(file, head, "", "takes no name", f"write [{kind}]"))
        elif name in found.sections.get(kind, {}):
            found.problems.append(
                ConfigProblem(file, head, "", "stands twice", "give one of them another name")
            )
        else:
            section = _section(found, head, kinds[kind].struct, dict(parser.items(head)))
            if section is not None:
                found.sections.setdefault(kind, {})[name] = section
                found.explicit_keys[kind, name] = set(parser.options(head))
    for kind, how in kinds.items():
        if not how.named and kind not in found.sections:
            found.sections[kind] = {"": how.struct()}
    return found


def _unreadable(file: str, error: configparser.Error) -> ConfigProblem:
    if isinstance(error, configparser.DuplicateSectionError):
        wrong = f"stands twice (line {error.lineno})"
        return ConfigProblem(file, error.section, "", wrong, "join the two, or rename one")
    if isinstance(error, configparser.DuplicateOptionError):
        return ConfigProblem(
            file, error.section, error.option, f"stands twice (line {error.lineno})", "leave one"
        )
    if isinstance(error, configparser.MissingSectionHeaderError):
        wrong = f"line {error.lineno} stands before any section"
        return ConfigProblem(file, "", "", wrong, "begin with a head such as [telemetry]")
    lines = [str(number) for number, _ in getattr(error, "errors", [])]
    wrong = f"line {', '.join(lines)} cannot be read" if lines else str(error)
    return ConfigProblem(file, "", "", wrong, "write KEY = VALUE")


def _section(
    found: OperatorConfig, head: str, struct: type[Section], texts: dict[str, str]
) -> Section | None:
    known = {f.encode_name: f for f in msgspec.structs.fields(struct)}
    values: dict[str, Any] = {}
    bad: set[str] = set()

    def wrong(key: str, text: str, would_do: str = "") -> None:
        bad.add(key)
        found.problems.append(ConfigProblem(found.file, head, key, text, would_do))

    for key, text in texts.items():
        if key not in known:
            wrong(key, "is no key of this section", _near(key, known) or f"known: {_all(known)}")
            continue
        try:
            values[known[key].name] = parse_value(text, known[key].type)
        except (ValueError, msgspec.ValidationError) as error:
            wrong(key, f"{text[:80]!r} {error}")
    for name, wanted in known.items():
        if wanted.required and name not in texts:
            wrong(name, "is missing", f"write {name} = ...")
    if any(wanted.required and wanted.name not in values for wanted in known.values()):
        return None
    # defaults in place of bad keys, so that the rest is looked at all the same
    section = struct(**values)
    for problem in section.problems():
        if problem.key not in bad:
            wrong(problem.key, problem.reason, problem.remedy)
    return None if bad else section


def parse_value(text: str, wanted: Any) -> Any:
    """One key's text as its field's type has it. Raises ValueError or msgspec's ValidationError."""
    options = [t for t in typing.get_args(wanted) if t is not type(None)]
    if typing.get_origin(wanted) in (types.UnionType, Union) and len(options) == 1:
        wanted = options[0]
    if wanted in (Duration, Share, Size):
        return wanted.parse(text)
    if wanted is bool:
        return parse_bool(text)
    if typing.get_origin(wanted) in (tuple, list):
        parts = [part.strip() for part in text.split(",") if part.strip()]
        return tuple(parse_value(part, typing.get_args(wanted)[0]) for part in parts)
    if typing.get_origin(wanted) is typing.Literal:
        if text not in typing.get_args(wanted):
            words = typing.get_args(wanted)
            raise ValueError(f"is not one of {', '.join(words)}{_near(text, words, ': ')}")
        return text
    try:
        return msgspec.convert(text, wanted, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(f"is not right: {str(error)[0].lower()}{str(error)[1:]}") from error


def _near(word: str, known: Iterable[str], before: str = "") -> str:
    close = difflib.get_close_matches(word, list(known), 1, 0.6)
    return f"{before}did you mean {close[0]}?" if close else ""


def _all(known: Iterable[str]) -> str:
    return ", ".join(sorted(known))
