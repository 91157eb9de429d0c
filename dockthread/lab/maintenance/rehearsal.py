"""Runs a scenario on real processes, with faulty links and staff who switch backends off.

Simulated staff request maintenance at one member and poll any member that responds for the state of
their request, which they identify by their comment. They switch a backend off when it is
unavailable, report completion after the work, and retry every call that was not answered. Meanwhile
each ingress receives a light load. An ingress that exits by itself is restarted, as by a process
supervisor. The rules, by name:

- `zone`: no more backends of a zone than allowed are switched off;
- `used`: if every running member has confirmed that it drained a backend, the backend receives no
  request while it is switched off;
- `ingresses`: at most one ingress at a time is down for its own restart;
- `lost`: at an ingress that the scenario has never killed or signalled, no request fails, is lost
  or exceeds its deadline; none is unsent either, unless the ingress has exited by itself;
- `alike`: at the end all members report the same maintenance requests;
- `progress`: at the end every maintenance request is finished.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from dockthread.errors import DockthreadError
from dockthread.lab.arrivals import Arrival
from dockthread.lab.load import LoadGenerator, LoadTarget
from dockthread.lab.load_result import LoadResult, RequestOutcome
from dockthread.lab.maintenance.process_cluster import HOST, OK, ProcessCluster
from dockthread.lab.maintenance.scenario import PlannedScenario, Step, StepVerb
from dockthread.lab.maintenance.stand_in import StandInBackend
from dockthread.lab.raft.checker import RuleViolation
from dockthread.lab.site_settings import site_settings
from dockthread.maintenance.transitions import FINAL_STATES, UNAVAILABLE_STATES

SETTINGS: Mapping[str, Any] = site_settings(
    classes=[{"Name": "status", "Aim": 1_500_000, "HardLimit": 4_000_000, "Effect": "pure"}],
    plans=[{"Name": "gross", "Refill": 100_000.0, "PeakUnits": 100_000.0}],
)
TIMEOUTS_INI = "dead = 1500ms\nlapse = 15s\n"  # Additional lines of the section `[fleet]`.
MS_PER_S = 1000.0
ELECTION_TIMEOUT_S = 30.0  # Maximum time until every member knows a leader.
READY_TIMEOUT_S = 15.0  # Maximum time from then until every ingress serves.
COMPLETION_TIMEOUT_S = 30.0  # Maximum time from the last step until every request is finished.
POLL_INTERVAL_S = 0.1  # Poll interval of staff and of the supervisor.
RETRY_INTERVAL_S = 2.0  # Minimum time before staff retry a call.
REQUEST_TIMEOUT_S = 4.0  # Deadline of the load's requests.
CUSTOMER_COUNT = 7  # Number of customers in the load.
# Number of low bits of a request id that count the requests to one ingress.
REQUEST_ID_BITS = 40
MAX_DETAIL_LENGTH = 600  # Maximum length of a violation's detail, in characters.
SIGNALS = {
    StepVerb.STOP: signal.SIGSTOP,
    StepVerb.CONTINUE: signal.SIGCONT,
    StepVerb.TERMINATE: signal.SIGTERM,
}


class VoidRunError(DockthreadError):
    """The run is not a valid test, because the cluster elected no leader."""


@dataclass
class RehearsalResult:
    """The result of a run.

    Attributes:
        violations: The rule violations.
        record: The events, one per line, each with its time in milliseconds.
        served: Number of served requests of the load.
        sent: Number of sent requests of the load.
    """

    violations: list[RuleViolation] = field(default_factory=list)
    record: list[str] = field(default_factory=list)
    served: int = 0
    sent: int = 0


class Rehearsal:
    """One run of a scenario.

    Args:
        folder: Directory in which each process has its own subdirectory.
        scenario: The scenario to run.
    """

    def __init__(self, folder: Path, scenario: PlannedScenario) -> None:
        self._settings = scenario.settings
        self._scenario = scenario
        self._result = RehearsalResult()
        self._started_at = time.monotonic()
        self._folder = folder
        self._zones = [f"hall-{chr(ord('a') + number)}" for number in range(self._settings.zones)]
        self._backends = {
            f"m{number}": StandInBackend(f"m{number}", self._zones[number % len(self._zones)])
            for number in range(self._settings.machines)
        }
        self._cluster: ProcessCluster
        self._tasks: list[asyncio.Task[Any]] = []
        # Ingresses that the scenario has ever killed or sent a signal.
        self._faulted: set[str] = set()
        # Ingresses that have ever exited by themselves.
        self._restarted: set[str] = set()
        # Ingresses that the scenario killed and has not started again.
        self._killed: set[str] = set()
        # Ingresses that exited by themselves and are not yet ready again.
        self._restarting: set[str] = set()

    async def run(self) -> RehearsalResult:
        """Run the scenario to its end.

        Raises:
            VoidRunError: The cluster elected no leader.
        """
        for backend in self._backends.values():
            await backend.open()
        self._cluster = ProcessCluster(
            self._folder,
            self._scenario.ingresses,
            {**SETTINGS, "Azs": self._zones},
            [backend.endpoint_entry() for backend in self._backends.values()],
            self._settings.most_out,
            TIMEOUTS_INI,
        )
        try:
            await self._cluster.open()
            await self._run_steps()
            return self._result
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self._cluster.close()
            for backend in self._backends.values():
                backend.close()

    async def _run_steps(self) -> None:
        try:
            await asyncio.wait_for(self._wait_for_leader(), ELECTION_TIMEOUT_S)
            await asyncio.wait_for(self._wait_until_ready(), READY_TIMEOUT_S)
        except TimeoutError as error:
            raise VoidRunError(
                f"the cluster has no leader after {ELECTION_TIMEOUT_S:.0f} s, or does not serve"
            ) from error
        self._started_at = time.monotonic()
        self._record_event("a leader is elected")
        names = self._cluster.names if self._settings.load else []
        loads = [asyncio.create_task(self._send_load(name)) for name in names]
        supervisor = asyncio.create_task(self._supervise())
        steps = [asyncio.create_task(self._run_step(step)) for step in self._scenario.steps]
        self._tasks = [supervisor, *loads, *steps]
        await asyncio.gather(*steps)
        await asyncio.gather(*loads)
        await self._check_end()

    async def _wait_for_leader(self) -> None:
        while True:
            states = [await self._cluster.get_json(name, "/_fleet") for name in self._cluster.names]
            if all(state and state["leader"] for state in states):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_until_ready(self) -> None:
        """Wait until every ingress serves; it listens once it has caught up with the leader."""
        for name in self._cluster.names:
            while (await self._cluster.call(name, "GET", "/_ready"))[0] != OK:  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def _now_ms(self) -> float:
        return (time.monotonic() - self._started_at) * MS_PER_S

    def _record_event(self, text: str) -> None:
        self._result.record.append(f"{self._now_ms:8.0f} {text}")

    def _report_violation(self, rule: str, detail: str) -> None:
        self._record_event(f"BROKEN {rule}: {detail}")
        self._result.violations.append(RuleViolation(rule, self._now_ms, detail))

    # Steps

    async def _run_step(self, step: Step) -> None:  # noqa: C901  one branch for each verb
        await asyncio.sleep(max(0.0, step.at_ms - self._now_ms) / MS_PER_S)
        names = [name for operand in step.operands for name in await self._resolve_operand(operand)]
        self._record_event(" ".join((step.verb, *names)))
        match step.verb:
            case StepVerb.REQUEST:
                await asyncio.gather(*(self._request_maintenance(name) for name in names))
            case StepVerb.WITHDRAW:
                for name in names:
                    await self._call(StepVerb.WITHDRAW, name, "")
            case StepVerb.HEAL:
                self._cluster.heal()
            case StepVerb.CUT | StepVerb.CUT_FROM:
                self._cluster.cut(set(names), both=step.verb is StepVerb.CUT)
            case StepVerb.DELAY:
                self._cluster.delay(float(step.operands[0]))
            case StepVerb.FAIL | StepVerb.RECOVER:
                for name in names:
                    self._backends[name].is_failing = step.verb is StepVerb.FAIL
            case StepVerb.START:
                for name in names:
                    self._start(name)
            case _:
                for name in names:
                    self._kill_or_signal(step.verb, name)

    async def _resolve_operand(self, operand: str) -> list[str]:
        """Return the targets that an operand stands for at present."""
        if operand == "all":
            return list(self._cluster.names)
        if operand not in ("leader", "follower"):
            return [operand]
        leader = await self._cluster.leader()
        if operand == "leader" and leader:
            return [leader]
        return [name for name in self._cluster.processes if name != leader][:1]

    def _start(self, name: str) -> None:
        if name in self._killed:
            self._killed.discard(name)
            self._cluster.start(name)

    def _kill_or_signal(self, verb: StepVerb, name: str) -> None:
        """Kill a running ingress, or send it a signal."""
        if name not in self._cluster.processes or name in self._killed:
            return
        self._faulted.add(name)
        if verb is StepVerb.KILL:
            self._killed.add(name)
            self._cluster.kill(name)
        else:
            self._cluster.signal(name, SIGNALS[verb])

    async def _supervise(self) -> None:
        """Restart each ingress that exits by itself, and poll it until it is ready."""
        while True:
            for name, process in list(self._cluster.processes.items()):
                if name not in self._killed and process.poll() is not None:
                    self._restart(name, process.returncode)
            for name in list(self._restarting):
                status, _ = await self._cluster.call(name, "GET", "/_ready", time_limit_s=0.5)
                if status == OK:
                    self._restarting.discard(name)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _restart(self, name: str, exit_code: int) -> None:
        self._restarted.add(name)
        self._restarting.add(name)
        self._record_event(f"{name} has exited with code {exit_code}")
        if len(self._restarting) > 1:
            names = ", ".join(sorted(self._restarting))
            self._report_violation("ingresses", f"{names} restart at the same time")
        self._cluster.start(name)

    # Staff

    async def _call(self, call: str, target: str, comment: str) -> bool:
        """Call one member after another until one accepts the call; return whether one did."""
        body = {"target": target, "why": comment}
        for name in list(self._cluster.processes):
            status, _ = await self._cluster.call(name, "POST", f"/_work/{call}", body)
            if status == OK:
                return True
        return False

    async def _find_request(self, comment: str) -> Mapping[str, Any] | None:
        """Return the request with this comment from the first member that knows it, or None."""
        for name in list(self._cluster.processes):
            listing = await self._cluster.get_json(name, "/_work")
            for request in [*listing["work"], *listing["over"]] if listing else []:
                if request["why"] == comment:
                    return dict(request)
        return None

    async def _request_maintenance(self, target: str) -> None:
        """Act as staff who request maintenance of a target, until their request is finished."""
        comment = f"{target}/{len(self._result.record)}"
        called_at: float | None = None
        has_started_work = False
        while True:
            request = await self._find_request(comment)
            state = request["state"] if request is not None else ""
            may_call = called_at is None or time.monotonic() - called_at > RETRY_INTERVAL_S
            is_unavailable = state in UNAVAILABLE_STATES
            if state in FINAL_STATES:
                self._record_event(f"{target} is {state}")
                return
            if request is None and may_call:
                called_at = time.monotonic()
                await self._call("ask", target, comment)
            elif request is not None and is_unavailable and not has_started_work:
                if target in self._backends:
                    has_started_work = True
                    await self._work_at_backend(target, request["held"])
            elif is_unavailable and has_started_work and may_call:
                called_at = time.monotonic()
                await self._call("done", target, comment)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _work_at_backend(self, target: str, drained_by: Sequence[str]) -> None:
        """Switch a backend off for the time of the work; check the rules `zone` and `used`."""
        backend = self._backends[target]
        backends_off = [
            other.uid
            for other in self._backends.values()
            if other.is_switched_off and other.zone == backend.zone
        ]
        if len(backends_off) >= self._settings.most_out:
            self._report_violation(
                "zone",
                f"{target} in {backend.zone} is switched off together with {', '.join(backends_off)}",
            )
        backend.switch_off()
        uses_before = backend.used_while_off_count
        running = set(self._cluster.processes) - self._killed
        self._record_event(f"{target} is switched off, drained by {', '.join(drained_by)}")
        await asyncio.sleep(float(self._settings.work) / MS_PER_S)
        use_count = backend.used_while_off_count - uses_before
        if use_count > 0 and running <= set(drained_by):
            self._report_violation(
                "used",
                f"{use_count} connections or requests reached {target},"
                " although all members had drained it",
            )
        backend.switch_on()

    # Load and final checks

    async def _send_load(self, name: str) -> None:
        rate = self._settings.load
        count = int(float(self._settings.lasts) / MS_PER_S * rate)
        arrivals = (
            Arrival(number / rate, "status", "gross", 1 + number % CUSTOMER_COUNT, 1, 1, 0)
            for number in range(count)
        )
        port = self._cluster.client_addresses[name].port
        target = LoadTarget(HOST, port, {"status": REQUEST_TIMEOUT_S}, frozenset())
        request_id_base = 1 + (self._cluster.names.index(name) << REQUEST_ID_BITS)
        self._check_load(name, await LoadGenerator(target, request_id_base).run(arrivals))

    def _check_load(self, name: str, result: LoadResult) -> None:
        self._result.sent += result.request_count
        self._result.served += result.total(RequestOutcome.SERVED)
        totals = {
            outcome: result.total(outcome) for outcome in RequestOutcome if result.total(outcome)
        }
        counts = ", ".join(f"{count} {outcome}" for outcome, count in totals.items())
        self._record_event(f"requests to {name}: {counts}")
        checked_outcomes = [RequestOutcome.FAILED, RequestOutcome.LOST, RequestOutcome.LATE]
        # An ingress that restarts accepts no new connections for a while, but it still answers the
        # requests that it has accepted.
        if name not in self._restarted:
            checked_outcomes.append(RequestOutcome.UNSENT)
        failures = {outcome: totals[outcome] for outcome in checked_outcomes if outcome in totals}
        if failures and name not in self._faulted:
            self._report_violation(
                "lost", f"of {result.request_count} requests to {name}: {json.dumps(failures)}"
            )

    async def _check_end(self) -> None:
        """End all faults, and check the rules `alike` and `progress`."""
        self._cluster.heal()
        for name in list(self._cluster.processes):
            if name not in self._killed:
                self._cluster.signal(name, signal.SIGCONT)
        for name in list(self._killed):
            self._start(name)
        are_equal = False
        listings: list[Any] = []
        deadline = time.monotonic() + COMPLETION_TIMEOUT_S
        while time.monotonic() < deadline:
            listings = [
                await self._cluster.get_json(name, "/_work") for name in self._cluster.names
            ]
            are_equal = None not in listings and len(set(map(json.dumps, listings))) == 1
            if are_equal and not listings[0]["work"]:
                self._record_event("all requests are finished, and all members report the same")
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        names_and_listings = zip(self._cluster.names, listings, strict=True)
        detail = "; ".join(f"{name}: {listing}" for name, listing in names_and_listings)
        self._report_violation("progress" if are_equal else "alike", detail[:MAX_DETAIL_LENGTH])
