"""Answers the admin endpoint's calls for planned maintenance.

The calls are status, listing, request, done and withdraw.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from collections.abc import Mapping
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import msgspec

from dockthread.admin.commands import Command, Operation, Response
from dockthread.errors import DockthreadError
from dockthread.maintenance.commands import (
    CommandAction,
    MaintenanceCommand,
    MaintenanceRequest,
    TargetKind,
)
from dockthread.maintenance.reasons import MS_PER_S, explain

if TYPE_CHECKING:
    from dockthread.maintenance.scheduler import MaintenanceScheduler
    from dockthread.net.ingress import Ingress
    from dockthread.raft.options import FleetOptions
    from dockthread.raft.server import RaftServer

JSON = b"application/json"
ACTION_BY_OPERATION = {
    Operation.REQUEST_MAINTENANCE: CommandAction.REQUEST,
    Operation.FINISH_MAINTENANCE: CommandAction.COMPLETE,
    Operation.WITHDRAW_MAINTENANCE: CommandAction.WITHDRAW,
}
EVALUATION_TIMEOUT_S = 2.0  # maximum time that a call waits for its request to be evaluated
EVALUATION_POLL_S = 0.01  # poll interval while a call waits for the evaluation
INGRESS_WARM_UP_TIMEOUTS = 2.0  # warm-up time of a restarted ingress in election timeouts
MAX_DURATION_S = 1e8  # upper bound of the announced duration of maintenance
COMMAND_ID_BYTES = 8  # number of random bytes in a command's identifier


class CallError(DockthreadError):
    """A call that cannot be carried out.

    Attributes:
        answer: The error response to the caller.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.answer = Response(status, f"{text}\n".encode())


def listing(scheduler: MaintenanceScheduler) -> dict[str, object]:
    """Return the requests as the admin endpoint lists them, oldest first."""
    requests = sorted(scheduler.requests.values(), key=lambda request: request.requested_index)
    return {
        "work": [_listing_entry(request, scheduler) for request in requests],
        "over": [_listing_entry(request, scheduler) for request in scheduler.finished],
    }


def _listing_entry(
    request: MaintenanceRequest, scheduler: MaintenanceScheduler
) -> dict[str, object]:
    fields = {
        field.encode_name: getattr(request, field.name) for field in msgspec.structs.fields(request)
    }
    return {**fields, "reason": explain(request, scheduler)}


class MaintenanceAdmin:
    """Answers the maintenance calls that one ingress receives.

    Args:
        ingress: The ingress; its endpoint list and settings are used to check a request.
        options: The fleet's settings.
        member: The ingress's member of the fleet, which proposes the commands.
        scheduler: The replicated state machine.
    """

    def __init__(
        self,
        ingress: Ingress,
        options: FleetOptions,
        member: RaftServer,
        scheduler: MaintenanceScheduler,
    ) -> None:
        self._ingress = ingress
        self._options = options
        self._member = member
        self._scheduler = scheduler

    async def answer(self, call: Command) -> Response:
        """Carry out a call and return its response."""
        if call.operation is Operation.FLEET_STATUS:
            return _json_answer(self._status())
        if call.operation is Operation.MAINTENANCE_STATUS:
            return _json_answer(listing(self._scheduler))
        try:
            return await self._propose(self._command(call))
        except CallError as error:
            return error.answer

    def _status(self) -> dict[str, object]:
        unreachable_ms = self._scheduler.unreachable_ms.items()
        silent = {member: duration_ms for member, duration_ms in unreachable_ms if duration_ms}
        return {**self._member.status(), "silent": silent}

    async def _propose(self, command: MaintenanceCommand) -> Response:
        """Propose a command, and return the state of its target once the command is applied.

        Raises:
            CallError: The command was not committed in time.
        """
        index = await self._member.propose(msgspec.msgpack.encode(command))
        if not index:
            raise CallError(
                503, "no majority has agreed in time: ask again, the same request is not made twice"
            )
        if command.action is CommandAction.REQUEST:
            await self._wait_for_evaluation(command.target)
        request = self._scheduler.requests.get(command.target)
        if request is not None:
            state: str = request.state
            reason = explain(request, self._scheduler)
        else:
            state = self._final_state(command.target)
            reason = ""
        return _json_answer(
            {"target": command.target, "state": state, "reason": reason, "at": index}
        )

    def _final_state(self, target: str) -> str:
        finished = (
            request.state
            for request in reversed(self._scheduler.finished)
            if request.target == target
        )
        return next(finished, "unknown")

    def _command(self, call: Command) -> MaintenanceCommand:
        """Return the command for a call.

        Raises:
            CallError: The target is unknown, or the duration is not a valid number of seconds.
        """
        action = ACTION_BY_OPERATION[call.operation]
        zone = self._ingress.endpoints.zone_of(call.target)
        if action is CommandAction.REQUEST:
            if zone is None and call.target not in self._member.members:
                raise CallError(404, f"no backend {call.target} here, and no ingress of this name")
        elif call.target not in self._scheduler.requests:
            raise CallError(404, f"no work on {call.target} is asked for")
        is_backend = zone is not None
        return MaintenanceCommand(
            action=action,
            target=call.target,
            zone=zone or "",
            comment=str(call.body_fields.get("why", "")),
            sender=self._ingress.config.name,
            urgency=_urgency(call.body_fields),
            max_unavailable=self._options.max_unavailable,
            command_id=secrets.token_hex(COMMAND_ID_BYTES),
            kind=TargetKind.BACKEND if is_backend else TargetKind.INGRESS,
            duration_ms=_duration_ms(call.body_fields),
            warm_up_ms=self._warm_up_ms(is_backend),
        )

    def _warm_up_ms(self, is_backend: bool) -> float:
        if is_backend:
            return self._ingress.config.policy_settings.safety.warm_up_time * MS_PER_S
        return INGRESS_WARM_UP_TIMEOUTS * self._options.election_timeout

    async def _wait_for_evaluation(self, target: str) -> None:
        """Wait until a leader's report has evaluated a request, for at most 2 s."""
        with suppress(TimeoutError):
            async with asyncio.timeout(EVALUATION_TIMEOUT_S):
                # The replicated state offers no event to wait for.
                while not self._is_evaluated(target):  # noqa: ASYNC110
                    await asyncio.sleep(EVALUATION_POLL_S)

    def _is_evaluated(self, target: str) -> bool:
        request = self._scheduler.requests.get(target)
        return request is None or request.is_evaluated


def _urgency(body: Mapping[str, Any]) -> int:
    urgency = body.get("urgency")
    return urgency if isinstance(urgency, int) else 0


def _duration_ms(body: Mapping[str, Any]) -> float:
    duration_s = body.get("for", 0)
    if not isinstance(duration_s, int | float) or not 0 <= duration_s < MAX_DURATION_S:
        raise CallError(400, '"for" is no number of seconds')
    return duration_s * MS_PER_S


def _json_answer(content: dict[str, object]) -> Response:
    return Response(200, json.dumps(content).encode() + b"\n", JSON)
