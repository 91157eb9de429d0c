"""The one place that joins the sections: which kinds there are, and where the file lies.

A new subsystem adds its section's type here, and nothing else about it.
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
    "graphite": SectionKind(GraphiteOptions, named=True),
    "collectd": SectionKind(CollectdOptions, named=True),
    "route": SectionKind(RouteOptions, named=True),
    "fleet": SectionKind(FleetOptions),
    "control": SectionKind(ControlOptions),
}
VARIABLE = "DOCKTHREAD_CONFIG"


def operator_file_path(environ: Mapping[str, str], option: str | None) -> str | None:
    """The operator's file: `--config` before `DOCKTHREAD_CONFIG`; None where there is none."""
    return option or environ.get(VARIABLE) or None


def parse_operator_file(
    text: str, file: str, settings: PolicySettings | None = None, names: Names | None = None
) -> OperatorConfig:
    """With the platform's settings, routes are proved against them; without, only against each
    other.
    """
    found = read_sections(text, file, SECTION_KINDS)
    found.problems += check(file, found.named_sections("route"), settings, names)
    for name in shared_names(found.named_sections("graphite"), found.named_sections("collectd")):
        found.problems.append(
            ConfigProblem(
                file, f"collectd {name}", "", "has the name of a graphite receiver", "rename one"
            )
        )
    found.problems += _control_problems(file, found)
    return found


def _control_problems(file: str, found: OperatorConfig) -> list[ConfigProblem]:
    """What `[control]` and `[fleet]` say against each other; nothing where either could not be
    read.
    """
    if "control" not in found.sections or "fleet" not in found.sections:
        return []
    control, fleet = found.section("control"), found.section("fleet")
    if control.role != "voter":
        return []
    if not fleet.listen:
        return [
            ConfigProblem(
                file,
                "control",
                "role",
                "is voter, and there is no [fleet]",
                "write [fleet] with all voters",
            )
        ]
    if control.name not in fleet.addresses():
        wrong = f"{control.name!r} is not among the members of [fleet]"
        return [
            ConfigProblem(file, "control", "name", wrong, f"one of {', '.join(fleet.addresses())}")
        ]
    return []


def read_operator_file(
    path: str, settings: PolicySettings | None = None, names: Names | None = None
) -> OperatorConfig:
    """All of a file, with all that is wrong with it. A file that cannot be read is one problem."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            return _nothing(path, f"is larger than {MAX_FILE_BYTES} bytes", "name an INI file")
        return parse_operator_file(data.decode(), path, settings, names)
    except OSError as error:
        return _nothing(path, f"cannot be read: {error.strerror}", "name a file that can")
    except UnicodeDecodeError:
        return _nothing(path, "is not UTF-8 text", "name an INI file")


def load_operator_file(
    path: str, settings: PolicySettings | None = None, names: Names | None = None
) -> OperatorConfig:
    """A file without a fault. Raises SettingsError with its first fault, and how many more there
    are.
    """
    found = read_operator_file(path, settings, names)
    if errors := found.errors:
        more = f" (and {len(errors) - 1} more: dockthread check {path})" if len(errors) > 1 else ""
        raise SettingsError(f"{errors[0]}{more}")
    return found


def _nothing(path: str, wrong: str, would_do: str) -> OperatorConfig:
    return OperatorConfig(path, problems=[ConfigProblem(path, "", "", wrong, would_do)])
