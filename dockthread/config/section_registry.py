"""The one place that joins the sections: which kinds there are, and where the file lies.

A new subsystem adds its section's type here, and nothing else about it.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from dockthread.config.ingress_config import Names
from dockthread.config.ini_reader import MOST_BYTES, Kind, Problem, Read, read
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

KINDS = {
    "log": Kind(LogOptions),
    "telemetry": Kind(TelemetryOptions),
    "graphite": Kind(GraphiteOptions, named=True),
    "collectd": Kind(CollectdOptions, named=True),
    "route": Kind(RouteOptions, named=True),
    "fleet": Kind(FleetOptions),
    "control": Kind(ControlOptions),
}
VARIABLE = "DOCKTHREAD_CONFIG"


def where(environ: Mapping[str, str], option: str | None) -> str | None:
    """The operator's file: `--config` before `DOCKTHREAD_CONFIG`; None where there is none."""
    return option or environ.get(VARIABLE) or None


def read_text(
    text: str, file: str, settings: PolicySettings | None = None, names: Names | None = None
) -> Read:
    """With the platform's settings, routes are proved against them; without, only against each
    other.
    """
    found = read(text, file, KINDS)
    found.problems += check(file, found.named("route"), settings, names)
    for name in shared_names(found.named("graphite"), found.named("collectd")):
        found.problems.append(
            Problem(
                file, f"collectd {name}", "", "has the name of a graphite receiver", "rename one"
            )
        )
    found.problems += _control_problems(file, found)
    return found


def _control_problems(file: str, found: Read) -> list[Problem]:
    """What `[control]` and `[fleet]` say against each other; nothing where either could not be
    read.
    """
    if "control" not in found.sections or "fleet" not in found.sections:
        return []
    control, fleet = found.one("control"), found.one("fleet")
    if control.role != "voter":
        return []
    if not fleet.listen:
        return [
            Problem(
                file,
                "control",
                "role",
                "is voter, and there is no [fleet]",
                "write [fleet] with all voters",
            )
        ]
    if control.name not in fleet.addresses():
        wrong = f"{control.name!r} is not among the members of [fleet]"
        return [Problem(file, "control", "name", wrong, f"one of {', '.join(fleet.addresses())}")]
    return []


def read_file(
    path: str, settings: PolicySettings | None = None, names: Names | None = None
) -> Read:
    """All of a file, with all that is wrong with it. A file that cannot be read is one problem."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MOST_BYTES + 1)
        if len(data) > MOST_BYTES:
            return _nothing(path, f"is larger than {MOST_BYTES} bytes", "name an INI file")
        return read_text(data.decode(), path, settings, names)
    except OSError as error:
        return _nothing(path, f"cannot be read: {error.strerror}", "name a file that can")
    except UnicodeDecodeError:
        return _nothing(path, "is not UTF-8 text", "name an INI file")


def load(path: str, settings: PolicySettings | None = None, names: Names | None = None) -> Read:
    """A file without a fault. Raises SettingsError with its first fault, and how many more there
    are.
    """
    found = read_file(path, settings, names)
    if errors := found.errors:
        more = f" (and {len(errors) - 1} more: dockthread check {path})" if len(errors) > 1 else ""
        raise SettingsError(f"{errors[0]}{more}")
    return found


def _nothing(path: str, wrong: str, would_do: str) -> Read:
    return Read(path, problems=[Problem(path, "", "", wrong, would_do)])
