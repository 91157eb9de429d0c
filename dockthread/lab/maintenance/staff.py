"""Simulated staff: they request maintenance, switch backends off and on, and say that work is done.

Staff ask at any member, and look at any for what became of their own request, which they know by
their comment on it. A call that is not answered is made again under the same identifier.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from dockthread.lab.maintenance.checker import SwitchOff
from dockthread.lab.maintenance.environment import SimulationEnvironment
from dockthread.maintenance.commands import (
    CommandAction,
    MaintenanceCommand,
    MaintenanceRequest,
    TargetKind,
)
from dockthread.maintenance.transitions import UNAVAILABLE_STATES

if TYPE_CHECKING:
    from dockthread.lab.raft.cluster import SimulatedMember

STAFF_INTERVAL_MS = 350.0  # mean time between looks of staff
RETRY_MS = 2_500.0  # after which staff make a call again
MAX_OPEN_TASKS = 4  # tasks of staff at once
INGRESS_FRACTION = 0.2  # of the tasks that may be about an ingress
REGRET_FRACTION = 0.15  # of the tasks that staff withdraw as soon as they are known
URGENCIES = 3  # urgencies 0, 1, ...
DURATIONS_MS = (0.0, 1_000.0)  # that staff say; the work itself takes as long as it does
WORK_MS = (300.0, 2_500.0)  # least and most time of the work at a backend
NEVER_MS = -1e18  # a time before any other


class StaffStep(Enum):
    """What staff do next about a target."""

    REQUEST = auto()
    WATCH = auto()  # an ingress restarts and comes back by itself
    WORK = auto()
    COMPLETE = auto()
    FINISHED = auto()


@dataclass(slots=True)
class StaffTask:
    """What one of staff wants: a target out of service, work done there, and back.

    Attributes:
        comment: Staff's words, by which they know their request.
        target: The backend or ingress.
        command: The request.
        step: What comes next.
        called_at: When staff last made a call about it.
        is_regretted: Staff withdraw it as soon as it is known.
    """

    comment: str
    target: str
    command: MaintenanceCommand
    step: StaffStep = StaffStep.REQUEST
    called_at: float = NEVER_MS
    is_regretted: bool = False


class Staff:
    """All staff of a simulation.

    Args:
        simulation: Where they work.
        zone_of: Zone of each backend.
        warm_up_ms: How long a backend warms up after the work.
        until_ms: When staff stop to request more.
    """

    def __init__(
        self,
        simulation: SimulationEnvironment,
        zone_of: dict[str, str],
        warm_up_ms: float,
        until_ms: float,
    ) -> None:
        self._simulation = simulation
        self._zone_of = zone_of
        self._warm_up_ms = warm_up_ms
        self._until_ms = until_ms
        self._tasks: list[StaffTask] = []

    def unfinished_targets(self) -> list[str]:
        """Return the targets of the tasks that are not finished."""
        return [task.target for task in self._unfinished()]

    def _unfinished(self) -> list[StaffTask]:
        return [task for task in self._tasks if task.step is not StaffStep.FINISHED]

    def look(self) -> None:
        """Go on with every task, and now and then begin another."""
        simulation = self._simulation
        simulation.schedule(simulation.rng.uniform(0.5, 1.5) * STAFF_INTERVAL_MS, self.look)
        unfinished = self._unfinished()
        if simulation.now < self._until_ms and len(unfinished) < MAX_OPEN_TASKS:
            self._tasks.append(self._new_task({task.target for task in unfinished}))
        for task in unfinished:
            self._go_on_with(task)

    def _new_task(self, busy: set[str]) -> StaffTask:
        rng = self._simulation.rng
        free = sorted({*self._zone_of, *self._simulation.voters} - busy)
        may_be_ingress = rng.random() < INGRESS_FRACTION
        backends = [target for target in free if target in self._zone_of]
        target = rng.choice(free if may_be_ingress else backends or free)
        comment = f"w{len(self._tasks) + 1}"
        is_backend = target in self._zone_of
        command = MaintenanceCommand(
            CommandAction.REQUEST,
            target,
            self._zone_of.get(target, ""),
            comment,
            "staff",
            rng.randrange(URGENCIES),
            command_id=comment,
            kind=TargetKind.BACKEND if is_backend else TargetKind.INGRESS,
            duration_ms=rng.choice(DURATIONS_MS),
            warm_up_ms=self._warm_up_ms if is_backend else 0.0,
        )
        return StaffTask(comment, target, command, is_regretted=rng.random() < REGRET_FRACTION)

    def _go_on_with(self, task: StaffTask) -> None:
        member = self._simulation.random_member()
        if member is None:
            return
        scheduler = self._simulation.scheduler_of(member)
        if any(request.comment == task.comment for request in scheduler.finished):
            task.step = StaffStep.FINISHED
            return
        requests = (
            request for request in scheduler.requests.values() if request.comment == task.comment
        )
        request = next(requests, None)
        if task.step is StaffStep.REQUEST:
            if request is None:
                self._call(member, task, task.command)
            else:
                self._follow(member, task, request)
        elif task.step is StaffStep.COMPLETE:
            self._call(member, task, _about(task, CommandAction.COMPLETE, "done"))

    def _call(self, member: SimulatedMember, task: StaffTask, command: MaintenanceCommand) -> None:
        """Make a call, unless it was made a short time ago."""
        now = self._simulation.now
        if now - task.called_at >= RETRY_MS:
            task.called_at = now
            self._simulation.propose_to_leader(member, command)

    def _follow(
        self, member: SimulatedMember, task: StaffTask, request: MaintenanceRequest
    ) -> None:
        if task.is_regretted:
            withdrawal = _about(task, CommandAction.WITHDRAW, "withdraw")
            self._simulation.propose_to_leader(member, withdrawal)
        elif task.target not in self._zone_of:
            task.step = StaffStep.WATCH
        elif request.state in UNAVAILABLE_STATES:
            self._switch_off(task, request)

    def _switch_off(self, task: StaffTask, request: MaintenanceRequest) -> None:
        simulation = self._simulation
        simulation.maintenance_checker.on_switched_off(
            SwitchOff(
                at_ms=simulation.now,
                backend=task.target,
                drained_by=request.drained_by,
                members=simulation.voters,
                in_flight=simulation.in_flight_at(task.target),
                unreachable_ms=simulation.unreachable_ms(),
            )
        )
        simulation.record_event(f"{task.target} is pulled, held by {request.drained_by}")
        task.step = StaffStep.WORK
        simulation.schedule(simulation.rng.uniform(*WORK_MS), self._switch_on, task)

    def _switch_on(self, task: StaffTask) -> None:
        simulation = self._simulation
        simulation.maintenance_checker.on_switched_on(simulation.now, task.target)
        simulation.record_event(f"{task.target} is back")
        task.step = StaffStep.COMPLETE
        task.called_at = NEVER_MS


def _about(task: StaffTask, action: CommandAction, suffix: str) -> MaintenanceCommand:
    return MaintenanceCommand(action, task.target, command_id=f"{task.comment}/{suffix}")
