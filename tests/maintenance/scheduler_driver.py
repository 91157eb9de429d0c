"""Drives a scheduler by commands, one after another, as tests word them."""

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
    """A scheduler, and the log that it applies.

    Attributes:
        scheduler: The scheduler.
        index: Index of the latest command.
        command: The latest command, encoded.
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
        """Apply a leader's report, in which all is well unless said otherwise."""
        known = {
            "zones": (ZoneStatus("a", 6), ZoneStatus("b", 6)),
            "listed_targets": tuple(self.scheduler.requests),
            "grant_timeout_ms": 30_000.0,
            "failure_timeout_ms": 5_000.0,
            **fields,
        }
        number = self.scheduler.report_count + 1
        report = LeaderReport(number, elapsed_ms, MEMBERS, reachable, **known)
        self.apply(REPORT, report=report)

    def request(self, target: str) -> MaintenanceRequest:
        """Return an unfinished request."""
        return self.scheduler.requests[target]

    def state(self, target: str) -> str:
        """Return the state of a request, finished or not; empty where none is known."""
        request = self.scheduler.requests.get(target)
        if request is not None:
            return request.state
        finished = reversed(self.scheduler.finished)
        return next((one.state for one in finished if one.target == target), "")

    def reason(self, target: str) -> str:
        """Return why a request waits, as staff read it."""
        return explain(self.request(target), self.scheduler)

    def confirm(
        self, action: CommandAction, target: str, members: tuple[str, ...] = MEMBERS
    ) -> str:
        """Have members confirm a step under the present epoch, and return the state."""
        for member in members:
            self.apply(action, target, sender=member, epoch=self.request(target).epoch)
        return self.state(target)
