"""Plans offline in which order a list of backends would be granted maintenance.

The plan runs the real scheduler with healthy zones, without I/O. Each line of a list names a
backend, its zone and optionally its urgency as a number. `#` starts a comment.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from dockthread.errors import DockthreadError
from dockthread.maintenance.commands import (
    CommandAction,
    LeaderReport,
    MaintenanceCommand,
    ZoneStatus,
)
from dockthread.maintenance.reasons import explain
from dockthread.maintenance.scheduler import MaintenanceScheduler

PLANNING_MEMBER = "staff"  # name of the only member of the simulated fleet
PLANNING_INTERVAL_MS = 500.0  # interval of the simulated reports
MAX_URGENCY = 100  # maximum urgency; the minimum is -100
MAX_FIELDS_PER_LINE = 3  # maximum number of fields in a line: name, zone, urgency


class PlanSyntaxError(DockthreadError, ValueError):
    """A line of a list is invalid; the message has the file, the line and the expected format."""


class PlannedBackend(NamedTuple):
    """One line of a list."""

    name: str
    zone: str
    urgency: int


class WaitingBackend(NamedTuple):
    """A backend that is not granted in a round, and the reason."""

    name: str
    reason: str


class MaintenanceRound(NamedTuple):
    """Backends that are granted at the same time, and the backends that wait during that time."""

    granted: tuple[str, ...]
    waiting: tuple[WaitingBackend, ...]


def read_plan(text: str, file: str) -> list[PlannedBackend]:
    """Read a list of backends.

    Args:
        text: Content of the list.
        file: Name of the list's file, for error messages.

    Raises:
        PlanSyntaxError: A line is invalid, or lists a backend a second time.
    """
    backend_by_name: dict[str, PlannedBackend] = {}
    for number, line in enumerate(text.splitlines(), 1):
        fields = line.partition("#")[0].split()
        if not fields:
            continue
        location = f"{file}: line {number}"
        backend = _read_line(fields, f"{location}: {line.strip()!r}")
        if backend.name in backend_by_name:
            raise PlanSyntaxError(f"{location}: {backend.name} is listed twice; remove one line")
        backend_by_name[backend.name] = backend
    return list(backend_by_name.values())


def _read_line(fields: list[str], location: str) -> PlannedBackend:
    try:
        urgency = int(fields[2]) if len(fields) >= MAX_FIELDS_PER_LINE else 0
        backend = PlannedBackend(fields[0], fields[1], urgency)
    except (IndexError, ValueError) as error:
        raise PlanSyntaxError(f"{location}; write MACHINE ZONE [URGENCY]") from error
    if len(fields) > MAX_FIELDS_PER_LINE or not -MAX_URGENCY <= urgency <= MAX_URGENCY:
        raise PlanSyntaxError(f"{location}; write MACHINE ZONE [URGENCY], urgency from -100 to 100")
    return backend


def plan_rounds(backends: list[PlannedBackend], max_unavailable: int) -> list[MaintenanceRound]:
    """Return the rounds in which all backends are granted.

    Args:
        backends: Backends to plan.
        max_unavailable: Maximum number of backends of one zone that may be unavailable at once.
    """
    return _Planner(backends, max_unavailable).plan()


class _Planner:
    """A scheduler of a simulated fleet with one member and healthy zones."""

    def __init__(self, backends: list[PlannedBackend], max_unavailable: int) -> None:
        self._backends = backends
        self._max_unavailable = max_unavailable
        self._scheduler = MaintenanceScheduler()
        self._index = 0

    def plan(self) -> list[MaintenanceRound]:
        """Return the rounds in which all backends are granted."""
        for name, zone, urgency in self._backends:
            self._apply(
                MaintenanceCommand(
                    CommandAction.REQUEST,
                    name,
                    zone,
                    urgency=urgency,
                    max_unavailable=self._max_unavailable,
                )
            )
        rounds: list[MaintenanceRound] = []
        while self._scheduler.requests:
            self._apply(MaintenanceCommand(CommandAction.REPORT, report=self._report()))
            drained = self._scheduler.drained_backends()
            if drained:  # the last report only finishes requests whose targets have returned
                rounds.append(MaintenanceRound(tuple(drained), self._waiting_backends(drained)))
            self._complete_maintenance(drained)
        return rounds

    def _apply(self, command: MaintenanceCommand) -> None:
        self._index += 1
        self._scheduler.apply(self._index, msgspec.msgpack.encode(command))

    def _report(self) -> LeaderReport:
        zones = sorted({backend.zone for backend in self._backends})
        return LeaderReport(
            number=self._scheduler.report_count + 1,
            elapsed_ms=PLANNING_INTERVAL_MS,
            members=(PLANNING_MEMBER,),
            reachable=(PLANNING_MEMBER,),
            zones=tuple(ZoneStatus(zone, len(self._backends)) for zone in zones),
            listed_targets=tuple(backend.name for backend in self._backends),
        )

    def _waiting_backends(self, drained: dict[str, int]) -> tuple[WaitingBackend, ...]:
        return tuple(
            WaitingBackend(request.target, explain(request, self._scheduler))
            for request in self._scheduler.requests.values()
            if request.target not in drained
        )

    def _complete_maintenance(self, drained: dict[str, int]) -> None:
        for name, epoch in drained.items():
            self._apply(_confirmation_command(CommandAction.DRAINED, name, epoch))
        for name, epoch in drained.items():
            self._apply(MaintenanceCommand(CommandAction.COMPLETE, name))
            self._apply(_confirmation_command(CommandAction.RELEASED, name, epoch))


def _confirmation_command(action: CommandAction, name: str, epoch: int) -> MaintenanceCommand:
    return MaintenanceCommand(action, name, sender=PLANNING_MEMBER, epoch=epoch)
