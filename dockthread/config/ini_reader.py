"""Reads INI text into typed sections, and reports everything that is wrong with it.

`configparser` splits the text into sections of keys and texts. A heading is a kind, such as
`telemetry`, or a kind and a name, such as `graphite main`. Each kind has a `msgspec.Struct`: its
fields are the keys, their types decide how a text is read, and their defaults hold where a key is
left out. Reading does not stop at the first problem, because `dockthread check` shows all of them.

Problems between sections are found where the sections are joined (`section_registry.py`).
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

# A wrong path, such as that of a log, must not fill the memory.
MAX_FILE_BYTES = 4 * 1024 * 1024

# How alike two words have to be for one to be suggested in place of the other (difflib's ratio).
MIN_SIMILARITY = 0.6

# How much of a bad value is shown, so that a problem stays one line.
MAX_SHOWN_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class ConfigProblem:
    """What is wrong with a file; the text is one plain line.

    Attributes:
        file: The file's name.
        section: The heading of the section; empty where the file as a whole is wrong.
        key: The key; empty where the section as a whole is wrong.
        reason: What is wrong.
        remedy: What would do instead.
        is_warning: Whether the file can be used all the same.
    """

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
    """Base class of all sections: the fields are the keys."""

    def problems(self) -> Iterable[KeyProblem]:
        """Yield what is wrong with this section's values, alone and against each other."""
        return ()


@dataclass(frozen=True, slots=True)
class SectionKind:
    """How the sections of one kind are read.

    Attributes:
        struct: The type of the section.
        named: Whether its headings carry a name; only then may a file have several.
    """

    struct: type[Section]
    named: bool = False


@dataclass(slots=True)
class OperatorConfig:
    """A file as it was read.

    Attributes:
        file: The file's name.
        sections: The sections by kind, then by name; the name is empty where the kind has none.
        explicit_keys: The keys that the file sets itself, by kind and name of the section.
        problems: Everything that is wrong with the file, warnings included.
    """

    file: str
    sections: dict[str, dict[str, Section]] = field(default_factory=dict)
    explicit_keys: dict[tuple[str, str], set[str]] = field(default_factory=dict)
    problems: list[ConfigProblem] = field(default_factory=list)

    def section(self, kind: str) -> Any:
        """Return the one section of a kind without names."""
        return self.sections[kind][""]

    def named_sections(self, kind: str) -> dict[str, Any]:
        """Return the sections of a kind by name; none where the file has none."""
        return self.sections.get(kind, {})

    @property
    def errors(self) -> list[ConfigProblem]:
        """The problems for which the file is rejected."""
        return [problem for problem in self.problems if not problem.is_warning]


def read_sections(text: str, file: str, kinds: Mapping[str, SectionKind]) -> OperatorConfig:
    """Read a file's text.

    A kind without names that the text leaves out has a section of defaults. `file` is only the
    name that problems show.
    """
    config = OperatorConfig(file)
    parser = _new_parser()
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        config.problems.append(_syntax_problem(file, error))
        return config
    for heading in parser.sections():
        _read_section(config, kinds, heading, dict(parser.items(heading)))
    for kind, section_kind in kinds.items():
        if not section_kind.named and kind not in config.sections:
            config.sections[kind] = {"": section_kind.struct()}
    return config


def _new_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        inline_comment_prefixes=("#", ";"),
        default_section="\0",  # no heading can name it, so no section lends values to the others
        strict=True,
    )
    # Keys stay as they are written, so that a near miss can be shown.
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def _syntax_problem(file: str, error: configparser.Error) -> ConfigProblem:
    if isinstance(error, configparser.DuplicateSectionError):
        reason = f"stands twice (line {error.lineno})"
        return ConfigProblem(file, error.section, "", reason, "join the two, or rename one")
    if isinstance(error, configparser.DuplicateOptionError):
        reason = f"stands twice (line {error.lineno})"
        return ConfigProblem(file, error.section, error.option, reason, "leave one")
    if isinstance(error, configparser.MissingSectionHeaderError):
        reason = f"line {error.lineno} stands before any section"
        return ConfigProblem(file, "", "", reason, "begin with a head such as [telemetry]")
    lines = [str(number) for number, _ in getattr(error, "errors", [])]
    reason = f"line {', '.join(lines)} cannot be read" if lines else str(error)
    return ConfigProblem(file, "", "", reason, "write KEY = VALUE")


def _read_section(
    config: OperatorConfig, kinds: Mapping[str, SectionKind], heading: str, texts: dict[str, str]
) -> None:
    """Add a section to `config`, or its problems."""
    kind, _, name = heading.strip().partition(" ")
    name = name.strip()
    problem = _heading_problem(config, kinds, heading, kind, name)
    if problem is not None:
        config.problems.append(problem)
        return
    section = _parse_section(config, heading, kinds[kind].struct, texts)
    if section is not None:
        config.sections.setdefault(kind, {})[name] = section
        config.explicit_keys[kind, name] = set(texts)


def _heading_problem(
    config: OperatorConfig, kinds: Mapping[str, SectionKind], heading: str, kind: str, name: str
) -> ConfigProblem | None:
    if kind not in kinds:
        remedy = _suggestion(kind, kinds) or _known_words(kinds)
        return ConfigProblem(config.file, heading, "", "is no section", remedy)
    if kinds[kind].named and not name:
        return ConfigProblem(config.file, heading, "", "needs a name", f"such as [{kind} main]")
    if name and not kinds[kind].named:
        return ConfigProblem(config.file, heading, "", "takes no name", f"write [{kind}]")
    if name in config.sections.get(kind, {}):
        remedy = "give one of them another name"
        return ConfigProblem(config.file, heading, "", "stands twice", remedy)
    return None


def _parse_section(
    config: OperatorConfig, heading: str, struct: type[Section], texts: dict[str, str]
) -> Section | None:
    """Return the section; None where it has a problem, which is added to `config`."""
    fields = {each.encode_name: each for each in msgspec.structs.fields(struct)}
    values: dict[str, Any] = {}
    bad_keys: set[str] = set()

    def report(key: str, reason: str, remedy: str = "") -> None:
        bad_keys.add(key)
        config.problems.append(ConfigProblem(config.file, heading, key, reason, remedy))

    for key, text in texts.items():
        if key not in fields:
            remedy = _suggestion(key, fields) or _known_words(fields)
            report(key, "is no key of this section", remedy)
            continue
        try:
            values[fields[key].name] = parse_value(text, fields[key].type)
        except (ValueError, msgspec.ValidationError) as error:
            report(key, f"{text[:MAX_SHOWN_CHARACTERS]!r} {error}")
    for key, wanted in fields.items():
        if wanted.required and key not in texts:
            report(key, "is missing", f"write {key} = ...")
    if any(wanted.required and wanted.name not in values for wanted in fields.values()):
        return None
    # Bad keys have their defaults here, so that the other keys are checked all the same.
    section = struct(**values)
    for problem in section.problems():
        if problem.key not in bad_keys:
            report(problem.key, problem.reason, problem.remedy)
    return None if bad_keys else section


def parse_value(text: str, wanted: Any) -> Any:
    """Read one key's text as a value of its field's type.

    Args:
        text: The text as the file has it.
        wanted: The annotation of the field; `X | None` is read as `X`.

    Raises:
        ValueError: The text is no such value.
        msgspec.ValidationError: As ValueError.
    """
    alternatives = [each for each in typing.get_args(wanted) if each is not type(None)]
    if typing.get_origin(wanted) in (types.UnionType, Union) and len(alternatives) == 1:
        wanted = alternatives[0]
    if wanted in (Duration, Share, Size):
        return wanted.parse(text)
    if wanted is bool:
        return parse_bool(text)
    if typing.get_origin(wanted) in (tuple, list):
        parts = [part.strip() for part in text.split(",") if part.strip()]
        return tuple(parse_value(part, typing.get_args(wanted)[0]) for part in parts)
    if typing.get_origin(wanted) is typing.Literal:
        return _parse_literal(text, typing.get_args(wanted))
    try:
        return msgspec.convert(text, wanted, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(f"is not right: {str(error)[0].lower()}{str(error)[1:]}") from error


def _parse_literal(text: str, choices: tuple[str, ...]) -> str:
    if text not in choices:
        suggestion = _suggestion(text, choices)
        ending = f": {suggestion}" if suggestion else ""
        raise ValueError(f"is not one of {', '.join(choices)}{ending}")
    return text


def _suggestion(word: str, known: Iterable[str]) -> str:
    """Return a question that names the known word most like `word`; empty where none is alike."""
    close = difflib.get_close_matches(word, list(known), 1, MIN_SIMILARITY)
    return f"did you mean {close[0]}?" if close else ""


def _known_words(known: Iterable[str]) -> str:
    return f"known: {', '.join(sorted(known))}"
