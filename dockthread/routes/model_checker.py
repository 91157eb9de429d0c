"""A model checker for one request under a route: tries every order of events to a given depth.

It drives the real policy engine and the real route table, and simulates the network and the clock.
It is stateless: each path is replayed from the start. The invariants are checked after each step.
At the end of a path every attempt in flight times out and every timer fires, so that the request
must end. The possible steps are:

- an attempt in flight ends with any of the possible outcomes;
- the next timer fires;
- the table is replaced by the next of `tables`;
- the class becomes unsafe;
- the client disconnects.

The invariants are:

- the request never takes effect twice;
- no attempt is sent after the request has ended or after the deadline;
- no more attempts are sent than the strictest table since the request's arrival allows;
- there is exactly one answer, and it is in time;
- no budget is below zero.

Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from dockthread.config.ingress_config import Names
from dockthread.errors import DockthreadError
from dockthread.policy import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    BackendState,
    CancelAttempt,
    ClientDisconnected,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    Fail,
    Outcome,
    Plan,
    PolicyEngine,
    PolicySettings,
    Reject,
    RequestArrived,
    RequestClass,
    SendAttempt,
    SetTimer,
    TimerFired,
)
from dockthread.routes.bounds import Bounds
from dockthread.routes.options import RouteOptions
from dockthread.routes.rules import RequestAttributes
from dockthread.routes.table import RouteTable

OUTCOMES = (
    Outcome.OK,
    Outcome.ERROR,
    Outcome.AT_CAPACITY,
    Outcome.TIMEOUT,
    Outcome.RESET,
    Outcome.UNREACHABLE,
)
NAMES = Names(("class",), ("plan",), ("hall",), ("kind",))
REQUEST_NUMBER = 1  # the number of the only request
CUSTOMER_NUMBER = 9
BACKEND_COUNT = 3
MAX_ATTEMPTS = 4
TABLE_SEED = 7
START = 100.0  # s; clock time at the request's arrival
DEADLINE = 4.0  # s after the request's arrival
ANSWER_SLACK = 0.05  # s after the deadline during which an answer still counts as in time
DRAIN_TIME = 1.0  # s after the deadline during which timers still fire at the end of a path
ATTEMPT_DURATION = 0.01  # s
MAX_PATHS = 1_000_000

EngineFactory = Callable[[PolicySettings], PolicyEngine]
RoutesByName = Mapping[str, RouteOptions]


class StepKind(Enum):
    """The kinds of steps; the values are shown when a path is printed."""

    ATTEMPT_ENDS = "end"
    TIMER_FIRES = "timer"
    TABLE_IS_REPLACED = "reload"
    CLASS_BECOMES_UNSAFE = "unsafe"
    CLIENT_DISCONNECTS = "gone"


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a path.

    Attributes:
        kind: The kind of step.
        target: The number of the attempt that ends or of the new table; 0 for other kinds.
        outcome: The outcome of the attempt that ends; None for other kinds.
    """

    kind: StepKind
    target: int = 0
    outcome: Outcome | None = None

    def __str__(self) -> str:
        shown = self.kind.value
        if self.outcome is not None:
            shown = f"{shown} {self.outcome.value} of"
        return f"{shown} {self.target}"


class InvariantError(DockthreadError):
    """An invariant does not hold.

    Attributes:
        invariant: The violation.
        path: The steps that led to the violation.
    """

    def __init__(self, invariant: str, path: Sequence[Step]) -> None:
        super().__init__(f"{invariant}: {', '.join(str(step) for step in path)}")
        self.invariant = invariant
        self.path = tuple(path)


@dataclass
class SentAttempt:
    """An attempt that the engine sent.

    Attributes:
        is_in_flight: Whether the attempt has not ended.
        may_have_run: Whether a backend may have run the request in this attempt.
    """

    is_in_flight: bool = True
    may_have_run: bool = True


class RequestSimulation:
    """Simulates one path: the engine, one request, and its attempts, timers and answers.

    Attributes:
        engine: The policy engine under test.
        table: The route table that provides the request's bounds.
    """

    def __init__(
        self, effect: Effect, tables: Sequence[RoutesByName], make_engine: EngineFactory
    ) -> None:
        self._tables = tables
        self._now = START
        self._path: list[Step] = []
        self._attempts: list[SentAttempt] = []
        self._timers: list[SetTimer] = []
        self._answer_count = 0
        self._is_disconnected = False
        self._table_number = 0
        self._is_unsafe = effect is Effect.UNSAFE
        self.table = RouteTable(NAMES, 0, TABLE_SEED)
        self.table.replace(tables[0], self._now)
        self.engine = make_engine(_settings(effect))
        endpoints = tuple(
            Endpoint(number, BackendState.READY) for number in range(1, BACKEND_COUNT + 1)
        )
        self._notify(EndpointsListed(EndpointListKind.FULL, endpoints))
        self._bounds = self._bounds_at_arrival()
        self._max_attempts = self._allowed_attempts()
        self._notify(
            RequestArrived(REQUEST_NUMBER, 0, 0, CUSTOMER_NUMBER, DEADLINE, route=self._bounds)
        )

    @property
    def has_ended(self) -> bool:
        """Whether the client has its answer or has disconnected."""
        return bool(self._answer_count) or self._is_disconnected

    def possible_steps(self) -> Iterator[Step]:
        """Yield the possible next steps."""
        for number, attempt in enumerate(self._attempts):
            if attempt.is_in_flight:
                for outcome in OUTCOMES:
                    yield Step(StepKind.ATTEMPT_ENDS, number, outcome)
        if self._has_timer_before(START + DEADLINE + ANSWER_SLACK):
            yield Step(StepKind.TIMER_FIRES)
        if self.has_ended:
            return
        if self._table_number + 1 < len(self._tables):
            yield Step(StepKind.TABLE_IS_REPLACED, self._table_number + 1)
        if not self._is_unsafe:
            yield Step(StepKind.CLASS_BECOMES_UNSAFE)
        yield Step(StepKind.CLIENT_DISCONNECTS)

    def execute(self, step: Step) -> None:
        """Execute a step.

        Raises:
            InvariantError: An invariant does not hold.
        """
        self._path.append(step)
        if step.kind is StepKind.ATTEMPT_ENDS and step.outcome is not None:
            self._now += ATTEMPT_DURATION
            self._end_attempt(step.target, step.outcome)
        elif step.kind is StepKind.TIMER_FIRES:
            self._fire_next_timer()
        elif step.kind is StepKind.TABLE_IS_REPLACED:
            self._replace_table(step.target)
        elif step.kind is StepKind.CLASS_BECOMES_UNSAFE:
            self._make_class_unsafe()
        else:
            self._is_disconnected = True
            self._notify(ClientDisconnected(REQUEST_NUMBER))
        self._check_budgets()

    def finish(self) -> None:
        """End all attempts and fire all timers.

        Raises:
            InvariantError: An invariant does not hold.
        """
        while self._has_timer_before(START + DEADLINE + DRAIN_TIME):
            self._fire_next_timer()
            for number, attempt in enumerate(self._attempts):
                if attempt.is_in_flight and self._now >= START + DEADLINE:
                    self._end_attempt(number, Outcome.TIMEOUT)
        if not self.has_ended:
            raise InvariantError("no answer", self._path)
        has_open = any(usage.open for usage in self.table.usage_by_route.values())
        if self._bounds is not None and has_open:
            raise InvariantError("a route that counts a finished request as open", self._path)

    def _request_attributes(self) -> RequestAttributes:
        return RequestAttributes(
            request_class=0,
            plan=0,
            is_write=self._is_unsafe,
            customer=CUSTOMER_NUMBER,
            units=1,
            is_retry=False,
        )

    def _bounds_at_arrival(self) -> Bounds | None:
        request = self._request_attributes()
        matcher = self.table.find(request)
        if matcher is None:
            return None
        return Bounds(
            self.table, request, matcher.rules, self.table.usage_by_route[matcher.rules.name]
        )

    def _allowed_attempts(self) -> int:
        return self.table.rules_for(self._request_attributes()).attempts or MAX_ATTEMPTS

    def _has_timer_before(self, end: float) -> bool:
        return any(timer.at < end for timer in self._timers)

    def _fire_next_timer(self) -> None:
        self._timers.sort(key=lambda timer: (timer.at, timer.token))
        timer = self._timers.pop(0)
        self._now = max(self._now, timer.at)
        self._notify(TimerFired(timer.token))

    def _replace_table(self, number: int) -> None:
        self._table_number = number
        self.table.replace(self._tables[number], self._now)
        self._max_attempts = min(self._max_attempts, self._allowed_attempts())

    def _make_class_unsafe(self) -> None:
        self._is_unsafe = True
        settings = self.engine.settings
        classes = tuple(replace(known, effect=Effect.UNSAFE) for known in settings.classes)
        self.engine.context.settings = replace(settings, classes=classes)

    def _end_attempt(self, number: int, outcome: Outcome) -> None:
        attempt = self._attempts[number]
        attempt.is_in_flight = False
        attempt.may_have_run = outcome not in NEVER_RAN
        if outcome is Outcome.OK and not self.has_ended:
            self._answer()
        is_finished = self.has_ended
        backend = 1 + number % BACKEND_COUNT
        self._notify(
            AttemptEnded(REQUEST_NUMBER, number, backend, outcome, is_finished, ATTEMPT_DURATION)
        )

    def _notify(self, event: Event) -> None:
        for action in self.engine.handle(self._now, event):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._timers.append(action)
        elif isinstance(action, SendAttempt):
            self._send()
        elif isinstance(action, Reject):
            if self._is_unsafe and self._may_have_run():
                raise InvariantError("a rejection of a request that may have run", self._path)
            self._answer()
        elif isinstance(action, Fail):
            self._answer()
        elif isinstance(action, CancelAttempt) and self._attempts[action.attempt].is_in_flight:
            self._end_attempt(action.attempt, Outcome.CANCELLED)

    def _send(self) -> None:
        if self.has_ended:
            raise InvariantError("an attempt sent after the end", self._path)
        if self._now > START + DEADLINE:
            raise InvariantError("an attempt sent after the deadline", self._path)
        if self._is_unsafe and self._may_have_run():
            raise InvariantError("a second effect", self._path)
        self._attempts.append(SentAttempt())
        sent = len(self._attempts)
        if sent > self._max_attempts:
            raise InvariantError(f"attempt {sent} of {self._max_attempts}", self._path)

    def _answer(self) -> None:
        self._answer_count += 1
        if self._answer_count > 1:
            raise InvariantError("a second answer", self._path)
        if self._now > START + DEADLINE + ANSWER_SLACK:
            raise InvariantError("an answer after the deadline", self._path)

    def _may_have_run(self) -> bool:
        return any(attempt.may_have_run for attempt in self._attempts)

    def _check_budgets(self) -> None:
        for usage in self.table.usage_by_route.values():
            if usage.budget is not None and usage.budget.tokens < 0:
                raise InvariantError("a budget below zero", self._path)


def explore(
    effect: Effect,
    tables: Sequence[RoutesByName],
    depth: int,
    make_engine: EngineFactory = lambda settings: PolicyEngine(settings, 1, START),
    max_paths: int = MAX_PATHS,
) -> int:
    """Simulate all paths of at most `depth` steps and return their number.

    Raises:
        InvariantError: An invariant does not hold; the error has the first path found.
        OverflowError: There are more than `max_paths` paths.
    """
    paths = 0
    pending_paths: list[tuple[Step, ...]] = [()]
    while pending_paths:
        path = pending_paths.pop()
        simulation = RequestSimulation(effect, tables, make_engine)
        for step in path:
            simulation.execute(step)
        next_steps = list(simulation.possible_steps()) if len(path) < depth else []
        simulation.finish()
        paths += 1
        if paths > max_paths:
            raise OverflowError(f"more than {max_paths} paths")
        pending_paths += [(*path, step) for step in next_steps]
    return paths


def _settings(effect: Effect) -> PolicySettings:
    return PolicySettings(
        ingress_number=0,
        ingress_count=1,
        classes=(RequestClass(latency_objective=1.5, deadline=DEADLINE, effect=effect),),
        plans=(Plan(),),
        max_attempts=MAX_ATTEMPTS,
        may_hedge=True,
        may_cancel=True,
    )
