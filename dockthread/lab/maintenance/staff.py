"""Simulates staff who request maintenance, switch backends off and on, and report completed work.

Staff make each call at a random member and poll random members for the state of their requests,
which they identify by their comment. A call without effect is retried with the same command id.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from dockthread.lab.maintenance.checker import SwitchOffEvent
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

STAFF_POLL_INTERVAL_MS = 350.0  # Mean poll interval of staff.
RETRY_INTERVAL_MS = 2_500.0  # Minimum time before staff retry a call.
MAX_OPEN_TASKS = 4  # Maximum number of unfinished tasks.
INGRESS_PROBABILITY = 0.2  # Probability that the target of a task may be an ingress.
# Probability that staff withdraw a request as soon as members know it.
WITHDRAWAL_PROBABILITY = 0.15
URGENCY_COUNT = 3  # Number of urgency levels, counted from 0.
# Durations that staff may announce; the actual duration of the work does not depend on them.
ANNOUNCED_DURATIONS_MS = (0.0, 1_000.0)
WORK_DURATION_MS = (300.0, 2_500.0)  # Minimum and maximum duration of the work at a backend.
NEVER_MS = -1e18  # Earlier than any simulated time.


class StaffStep(Enum):
    """The next step of a task."""

    REQUEST = auto()
    AWAIT_RESTART = auto()  # Wait until the ingress has restarted by itself.
    WORK = auto()
    COMPLETE = auto()
    FINISHED = auto()


@dataclass(slots=True)
class StaffTask:
    """A task of staff: take a target out of service, work at it and return it to service.

    Attributes:
        comment: Comment by which staff identify their request.
        target: The backend or ingress.
        command: The command that requests the maintenance.
        step: The next step.
        called_at: Time of the last call for this task.
        will_withdraw: Whether staff withdraw the request as soon as members know it.
    """

    comment: str
    target: str
    command: MaintenanceCommand
    step: StaffStep = StaffStep.REQUEST
    called_at: float = NEVER_MS
    will_withdraw: bool = False


class Staff:
    """The staff of a simulation.

    Args:
        simulation: The simulation.
        zone_of: Zone of each backend.
        warm_up_ms: Warm-up time of a backend after the work.
        until_ms: Time after which staff create no more tasks.
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

    def poll(self) -> None:
        """Advance every unfinished task, and add a task if fewer than `MAX_OPEN_TASKS` are open."""
        simulation = self._simulation
        simulation.schedule(simulation.rng.uniform(0.5, 1.5) * STAFF_POLL_INTERVAL_MS, self.poll)
        unfinished = self._unfinished()
        if simulation.now < self._until_ms and len(unfinished) < MAX_OPEN_TASKS:
            self._tasks.append(self._new_task({task.target for task in unfinished}))
        for task in unfinished:
            self._advance_task(task)

    def _new_task(self, busy_targets: set[str]) -> StaffTask:
        rng = self._simulation.rng
        free_targets = sorted({*self._zone_of, *self._simulation.voters} - busy_targets)
        may_be_ingress = rng.random() < INGRESS_PROBABILITY
        backends = [target for target in free_targets if target in self._zone_of]
        target = rng.choice(free_targets if may_be_ingress else backends or free_targets)
        comment = f"w{len(self._tasks) + 1}"
        is_backend = target in self._zone_of
        command = MaintenanceCommand(
            CommandAction.REQUEST,
            target,
            self._zone_of.get(target, ""),
            comment,
            "staff",
            rng.randrange(URGENCY_COUNT),
            command_id=comment,
            kind=TargetKind.BACKEND if is_backend else TargetKind.INGRESS,
            duration_ms=rng.choice(ANNOUNCED_DURATIONS_MS),
            warm_up_ms=self._warm_up_ms if is_backend else 0.0,
        )
        return StaffTask(
            comment, target, command, will_withdraw=rng.random() < WITHDRAWAL_PROBABILITY
        )

    def _advance_task(self, task: StaffTask) -> None:
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
                self._handle_request(member, task, request)
        elif task.step is StaffStep.COMPLETE:
            self._call(member, task, _command_for(task, CommandAction.COMPLETE, "done"))

    def _call(self, member: SimulatedMember, task: StaffTask, command: MaintenanceCommand) -> None:
        """Make a call for a task, unless the last call was less than `RETRY_INTERVAL_MS` ago."""
        now = self._simulation.now
        if now - task.called_at >= RETRY_INTERVAL_MS:
            task.called_at = now
            self._simulation.propose_to_leader(member, command)

    def _handle_request(
        self, member: SimulatedMember, task: StaffTask, request: MaintenanceRequest
    ) -> None:
        if task.will_withdraw:
            withdrawal = _command_for(task, CommandAction.WITHDRAW, "withdraw")
            self._simulation.propose_to_leader(member, withdrawal)
        elif task.target not in self._zone_of:
            task.step = StaffStep.AWAIT_RESTART
        elif request.state in UNAVAILABLE_STATES:
            self._switch_off(task, request)

    def _switch_off(self, task: StaffTask, request: MaintenanceRequest) -> None:
        simulation = self._simulation
        simulation.maintenance_checker.on_switched_off(
            SwitchOffEvent(
                at_ms=simulation.now,
                backend=task.target,
                drained_by=request.drained_by,
                members=simulation.voters,
                in_flight=simulation.in_flight_at(task.target),
                unreachable_ms=simulation.unreachable_ms(),
            )
        )
        simulation.record_event(f"{task.target} is switched off, drained by {request.drained_by}")
        task.step = StaffStep.WORK
        simulation.schedule(simulation.rng.uniform(*WORK_DURATION_MS), self._switch_on, task)

    def _switch_on(self, task: StaffTask) -> None:
        simulation = self._simulation
        simulation.maintenance_checker.on_switched_on(simulation.now, task.target)
        simulation.record_event(f"{task.target} is switched on")
        task.step = StaffStep.COMPLETE
        task.called_at = NEVER_MS


def _command_for(task: StaffTask, action: CommandAction, suffix: str) -> MaintenanceCommand:
    return MaintenanceCommand(action, task.target, command_id=f"{task.comment}/{suffix}")
