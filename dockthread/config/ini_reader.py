"""Reads INI text into typed sections and reports all problems in it.

`configparser` splits the text into sections of keys and values. A heading is a kind, such as
`telemetry`, or a kind and a name, such as `graphite main`. Each kind has a `msgspec.Struct` type:
its fields are the keys, their types decide how a value is parsed, and their defaults apply to
missing keys. Reading does not stop at the first problem, because `dockthread check` shows all of
them.

`section_registry.py` finds the problems that involve several sections.
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

# Limits the file size, so that a mistaken path, such as that of a log file, cannot fill the memory.
MAX_FILE_BYTES = 4 * 1024 * 1024

# The least similarity, as difflib's ratio, at which a known name is suggested for an unknown one.
MIN_SIMILARITY = 0.6

# Characters of an invalid value that a problem shows, so that it stays one line.
MAX_SHOWN_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class ConfigProblem:
    """A problem in a file; `str` returns it as a single line.

    Attributes:
        file: The file's name.
        section: The heading of the section; empty if the problem concerns the whole file.
        key: The key; empty if the problem concerns the whole section.
        reason: Why the file is invalid.
        remedy: A valid value, or how to solve the problem.
        is_warning: Whether the file can be used despite the problem.
    """

    file: str
    section: str
    key: str
    reason: str
    remedy: str = ""
    is_warning: bool = False

    def __str__(self) -> str:
        location = (
            f"{self.file}: "
            + (self.section and f"[{self.section}] ")
            + (self.key and f"{self.key}: ")
        )
        text = location + self.reason + (f"; {self.remedy}" if self.remedy else "")
        return " ".join(text.split())


@dataclass(frozen=True, slots=True)
class KeyProblem:
    """A problem with one key of a section.

    Attributes:
        key: The key; empty if the problem concerns the whole section.
        reason: Why the value is invalid.
        remedy: A valid value, or how to solve the problem.
    """

    key: str
    reason: str
    remedy: str


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all sections; the fields are the keys."""

    def problems(self) -> Iterable[KeyProblem]:
        """Yield the problems of single values of this section and of combinations of them."""
        return ()


@dataclass(frozen=True, slots=True)
class SectionKind:
    """The type and the heading of the sections of one kind.

    Attributes:
        struct: The type of the sections.
        has_name: Whether the headings have a name; only then can a file have several such sections.
    """

    struct: type[Section]
    has_name: bool = False


@dataclass(slots=True)
class OperatorConfig:
    """The parsed sections of a file, and its problems.

    Attributes:
        file: The file's name.
        sections: The sections by kind, then by name; the name is empty for kinds without names.
        explicit_keys: The keys that the file sets, by kind and name of the section.
        problems: All problems in the file, including warnings.
    """

    file: str
    sections: dict[str, dict[str, Section]] = field(default_factory=dict)
    explicit_keys: dict[tuple[str, str], set[str]] = field(default_factory=dict)
    problems: list[ConfigProblem] = field(default_factory=list)

    def section(self, kind: str) -> Any:
        """Return the only section of a kind without names."""
        return self.sections[kind][""]

    def named_sections(self, kind: str) -> dict[str, Any]:
        """Return the sections of a kind by name; empty if the file has none."""
        return self.sections.get(kind, {})

    @property
    def errors(self) -> list[ConfigProblem]:
        """The problems because of which the file is rejected."""
        return [problem for problem in self.problems if not problem.is_warning]


def read_sections(text: str, file: str, kinds: Mapping[str, SectionKind]) -> OperatorConfig:
    """Parse the text of a file.

    If the text has no section of a kind without names, that section has its defaults. `file` is
    only the file name that problems show.
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
        if not section_kind.has_name and kind not in config.sections:
            config.sections[kind] = {"": section_kind.struct()}
    return config


def _new_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        inline_comment_prefixes=("#", ";"),
        default_section="\0",  # cannot be a heading, so no section provides defaults for others
        strict=True,
    )
    # Keys keep their case, so that messages show them as they are written.
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def _syntax_problem(file: str, error: configparser.Error) -> ConfigProblem:
    if isinstance(error, configparser.DuplicateSectionError):
        reason = f"is defined twice (line {error.lineno})"
        return ConfigProblem(file, error.section, "", reason, "merge them, or rename one")
    if isinstance(error, configparser.DuplicateOptionError):
        reason = f"is set twice (line {error.lineno})"
        return ConfigProblem(file, error.section, error.option, reason, "remove one")
    if isinstance(error, configparser.MissingSectionHeaderError):
        reason = f"line {error.lineno} is outside any section"
        return ConfigProblem(file, "", "", reason, "begin with a heading such as [telemetry]")
    lines = [str(number) for number, _ in getattr(error, "errors", [])]
    reason = f"line {', '.join(lines)} cannot be parsed" if lines else str(error)
    return ConfigProblem(file, "", "", reason, "write KEY = VALUE")


def _read_section(
    config: OperatorConfig,
    kinds: Mapping[str, SectionKind],
    heading: str,
    raw_values: dict[str, str],
) -> None:
    """Parse a section and add it, or its problems, to `config`."""
    kind, _, name = heading.strip().partition(" ")
    name = name.strip()
    problem = _heading_problem(config, kinds, heading, kind, name)
    if problem is not None:
        config.problems.append(problem)
        return
    section = _parse_section(config, heading, kinds[kind].struct, raw_values)
    if section is not None:
        config.sections.setdefault(kind, {})[name] = section
        config.explicit_keys[kind, name] = set(raw_values)


def _heading_problem(
    config: OperatorConfig, kinds: Mapping[str, SectionKind], heading: str, kind: str, name: str
) -> ConfigProblem | None:
    if kind not in kinds:
        remedy = _suggestion(kind, kinds) or _known_names(kinds)
        return ConfigProblem(config.file, heading, "", "is not a section", remedy)
    if kinds[kind].has_name and not name:
        return ConfigProblem(config.file, heading, "", "needs a name", f"such as [{kind} main]")
    if name and not kinds[kind].has_name:
        return ConfigProblem(config.file, heading, "", "takes no name", f"write [{kind}]")
    if name in config.sections.get(kind, {}):
        remedy = "give one of them another name"
        return ConfigProblem(config.file, heading, "", "is defined twice", remedy)
    return None


def _parse_section(
    config: OperatorConfig, heading: str, struct: type[Section], raw_values: dict[str, str]
) -> Section | None:
    """Return the section, or None if it has problems, which are added to `config`."""
    fields = {info.encode_name: info for info in msgspec.structs.fields(struct)}
    values: dict[str, Any] = {}
    bad_keys: set[str] = set()

    def report(key: str, reason: str, remedy: str = "") -> None:
        bad_keys.add(key)
        config.problems.append(ConfigProblem(config.file, heading, key, reason, remedy))

    for key, text in raw_values.items():
        if key not in fields:
            remedy = _suggestion(key, fields) or _known_names(fields)
            report(key, "is not a key of this section", remedy)
            continue
        try:
            values[fields[key].name] = parse_value(text, fields[key].type)
        except (ValueError, msgspec.ValidationError) as error:
            report(key, f"{text[:MAX_SHOWN_CHARACTERS]!r} {error}")
    for key, field_info in fields.items():
        if field_info.required and key not in raw_values:
            report(key, "is missing", f"write {key} = ...")
    if any(field_info.required and field_info.name not in values for field_info in fields.values()):
        return None
    # Invalid keys keep their defaults here, so that the other keys are still checked.
    section = struct(**values)
    for problem in section.problems():
        if problem.key not in bad_keys:
            report(problem.key, problem.reason, problem.remedy)
    return None if bad_keys else section


def parse_value(text: str, field_type: Any) -> Any:
    """Parse the value of a key as its field's type.

    Args:
        text: The value as written in the file.
        field_type: The annotation of the field; `X | None` is treated as `X`.

    Raises:
        ValueError: The text is not a value of that type.
        msgspec.ValidationError: Like ValueError.
    """
    member_types = [member for member in typing.get_args(field_type) if member is not type(None)]
    if typing.get_origin(field_type) in (types.UnionType, Union) and len(member_types) == 1:
        field_type = member_types[0]
    if field_type in (Duration, Share, Size):
        return field_type.parse(text)
    if field_type is bool:
        return parse_bool(text)
    if typing.get_origin(field_type) in (tuple, list):
        parts = [part.strip() for part in text.split(",") if part.strip()]
        return tuple(parse_value(part, typing.get_args(field_type)[0]) for part in parts)
    if typing.get_origin(field_type) is typing.Literal:
        return _parse_literal(text, typing.get_args(field_type))
    try:
        return msgspec.convert(text, field_type, strict=False)
    except msgspec.ValidationError as error:
        raise ValueError(f"is not valid: {str(error)[0].lower()}{str(error)[1:]}") from error


def _parse_literal(text: str, choices: tuple[str, ...]) -> str:
    if text not in choices:
        suggestion = _suggestion(text, choices)
        ending = f": {suggestion}" if suggestion else ""
        raise ValueError(f"is not one of {', '.join(choices)}{ending}")
    return text


def _suggestion(unknown_name: str, known: Iterable[str]) -> str:
    """Return a question that proposes the known name most similar to `unknown_name`.

    The question is empty if no name is similar enough.
    """
    close = difflib.get_close_matches(unknown_name, list(known), 1, MIN_SIMILARITY)
    return f"did you mean {close[0]}?" if close else ""


def _known_names(known: Iterable[str]) -> str:
    return f"known: {', '.join(sorted(known))}"
