"""The operator's file: its path, its sections, and the checks that span several sections.

To add a section, a new subsystem adds the section's type to `SECTION_KINDS`.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from dockthread.config.ingress_config import Names
from dockthread.config.ini_reader import (
    MAX_FILE_BYTES,
    ConfigProblem,
    OperatorConfig,
    SectionKind,
    read_sections,
)
from dockthread.control_plane.options import ControlOptions
from dockthread.errors import SettingsError
from dockthread.logs.options import LogOptions
from dockthread.policy import PolicySettings
from dockthread.raft.options import FleetOptions
from dockthread.routes.check import check
from dockthread.routes.options import RouteOptions
from dockthread.telemetry.options import (
    CollectdOptions,
    GraphiteOptions,
    TelemetryOptions,
    shared_names,
)

SECTION_KINDS = {
    "log": SectionKind(LogOptions),
    "telemetry": SectionKind(TelemetryOptions),
    "graphite": SectionKind(GraphiteOptions, has_name=True),
    "collectd": SectionKind(CollectdOptions, has_name=True),
    "route": SectionKind(RouteOptions, has_name=True),
    "fleet": SectionKind(FleetOptions),
    "control": SectionKind(ControlOptions),
}
PATH_VARIABLE = "DOCKTHREAD_CONFIG"


def operator_file_path(environ: Mapping[str, str], option: str | None) -> str | None:
    """Return the path of the operator's file; None if no file is configured.

    `option` is the value of the command-line option `--config`, which takes precedence over the
    environment variable `DOCKTHREAD_CONFIG`.
    """
    return option or environ.get(PATH_VARIABLE) or None


def parse_operator_file(
    text: str, file: str, settings: PolicySettings | None = None, names: Names | None = None
) -> OperatorConfig:
    """Parse the text of an operator's file; the result includes all problems found.

    If the platform's `settings` and `names` are given, routes are checked against them; otherwise
    only against each other. `file` is the file name shown in problems.
    """
    config = read_sections(text, file, SECTION_KINDS)
    findings = check(config.named_sections("route"), settings, names)
    config.problems += [finding.problem(file) for finding in findings]
    config.problems += _receiver_problems(file, config)
    config.problems += _control_problems(file, config)
    return config


def _receiver_problems(file: str, config: OperatorConfig) -> list[ConfigProblem]:
    shared = shared_names(config.named_sections("graphite"), config.named_sections("collectd"))
    reason = "has the name of a graphite receiver"
    return [ConfigProblem(file, f"collectd {name}", "", reason, "rename one") for name in shared]


def _control_problems(file: str, config: OperatorConfig) -> list[ConfigProblem]:
    """Check `[control]` against `[fleet]`; return no problems unless both could be read."""
    if "control" not in config.sections or "fleet" not in config.sections:
        return []
    control = config.section("control")
    fleet = config.section("fleet")
    if control.role != "voter":
        return []
    if not fleet.listen:
        reason = "is voter, and there is no [fleet]"
        return [ConfigProblem(file, "control", "role", reason, "write [fleet] with all voters")]
    if control.name not in fleet.addresses():
        reason = f"{control.name!r} is not among the members of [fleet]"
        remedy = f"one of {', '.join(fleet.addresses())}"
        return [ConfigProblem(file, "control", "name", reason, remedy)]
    return []


def read_operator_file(
    path: str, settings: PolicySettings | None = None, names: Names | None = None
) -> OperatorConfig:
    """Read an operator's file; the result includes all problems found.

    A file that cannot be read at all has exactly one problem. For `settings` and `names` see
    `parse_operator_file`.
    """
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            return _unreadable_file(
                path, f"is larger than {MAX_FILE_BYTES} bytes", "name an INI file"
            )
        return parse_operator_file(data.decode(), path, settings, names)
    except OSError as error:
        return _unreadable_file(path, f"cannot be read: {error.strerror}", "name a readable file")
    except UnicodeDecodeError:
        return _unreadable_file(path, "is not UTF-8 text", "name an INI file")


def load_operator_file(
    path: str, settings: PolicySettings | None = None, names: Names | None = None
) -> OperatorConfig:
    """Read an operator's file that must not have errors; warnings are ignored.

    For `settings` and `names` see `parse_operator_file`.

    Raises:
        SettingsError: The file has errors. The text shows the first error and the number of others.
    """
    config = read_operator_file(path, settings, names)
    if errors := config.errors:
        first = errors[0]
        other_count = len(errors) - 1
        other_errors_text = (
            f" (and {other_count} more: dockthread check {path})" if other_count else ""
        )
        raise SettingsError(
            first.reason,
            file=first.file,
            section=first.section,
            key=first.key,
            remedy=first.remedy,
            text=f"{first}{other_errors_text}",
        )
    return config


def _unreadable_file(path: str, reason: str, remedy: str) -> OperatorConfig:
    return OperatorConfig(path, problems=[ConfigProblem(path, "", "", reason, remedy)])
