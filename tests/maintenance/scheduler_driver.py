"""Applies commands to a scheduler for tests."""

from __future__ import annotations

from typing import Any

import msgspec

from dockthread.maintenance.commands import (
    CommandAction,
    LeaderReport,
    MaintenanceCommand,
    MaintenanceRequest,
    ZoneStatus,
)
from dockthread.maintenance.reasons import explain
from dockthread.maintenance.scheduler import MaintenanceScheduler

MEMBERS = ("n0", "n1", "n2")
REQUEST = CommandAction.REQUEST
WITHDRAW = CommandAction.WITHDRAW
COMPLETE = CommandAction.COMPLETE
DRAINED = CommandAction.DRAINED
RELEASED = CommandAction.RELEASED
RESTARTED = CommandAction.RESTARTED
REPORT = CommandAction.REPORT


class SchedulerDriver:
    """Encodes commands and applies them to a scheduler.

    Attributes:
        scheduler: The scheduler.
        index: Log index of the last command.
        command: The last command, encoded.
    """

    def __init__(self) -> None:
        self.scheduler = MaintenanceScheduler()
        self.index = 0
        self.command = b""

    def apply(self, action: CommandAction, target: str = "", zone: str = "a", **fields: Any) -> str:
        """Apply a command and return the state of its target."""
        self.index += 1
        self.command = msgspec.msgpack.encode(MaintenanceCommand(action, target, zone, **fields))
        self.scheduler.apply(self.index, self.command)
        return self.state(target)

    def report(
        self, elapsed_ms: float = 500.0, reachable: tuple[str, ...] = MEMBERS, **fields: Any
    ) -> None:
        """Apply a leader's report of healthy zones; `fields` override its fields."""
        report_fields = {
            "zones": (ZoneStatus("a", 6), ZoneStatus("b", 6)),
            "listed_targets": tuple(self.scheduler.requests),
            "grant_timeout_ms": 30_000.0,
            "failure_timeout_ms": 5_000.0,
            **fields,
        }
        number = self.scheduler.report_count + 1
        report = LeaderReport(number, elapsed_ms, MEMBERS, reachable, **report_fields)
        self.apply(REPORT, report=report)

    def request(self, target: str) -> MaintenanceRequest:
        """Return the unfinished request for a target."""
        return self.scheduler.requests[target]

    def state(self, target: str) -> str:
        """Return the state of a target's request, finished or not; empty if there is none."""
        request = self.scheduler.requests.get(target)
        if request is not None:
            return request.state
        finished = reversed(self.scheduler.finished)
        return next((request.state for request in finished if request.target == target), "")

    def reason(self, target: str) -> str:
        """Return the text that tells operators why a request waits."""
        return explain(self.request(target), self.scheduler)

    def confirm(
        self, action: CommandAction, target: str, members: tuple[str, ...] = MEMBERS
    ) -> str:
        """Apply a confirmation from each member in the current epoch, and return the state."""
        for member in members:
            self.apply(action, target, sender=member, epoch=self.request(target).epoch)
        return self.state(target)
