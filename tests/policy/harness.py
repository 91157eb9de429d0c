"""Shared test helpers: settings, and policy engines that run under a manual clock."""

from __future__ import annotations

import random
from dataclasses import replace

from dockthread.policy import (
    Action,
    AddToCounter,
    AttemptEnded,
    BackendState,
    CancelAttempt,
    CounterReplied,
    DeduplicationScope,
    Effect,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    Fail,
    GossipReceived,
    Outcome,
    Plan,
    PolicyEngine,
    PolicySettings,
    Reject,
    RequestArrived,
    RequestClass,
    SafetyLimits,
    SendAttempt,
    SendGossip,
    SetTimer,
    TimerFired,
    gossip_codec,
)

SAFE, KEYED, UNSAFE = 0, 1, 2
CLASSES = (
    RequestClass(1.0, 4.0, priority_weight=1, effect=Effect.SAFE),
    RequestClass(
        1.0,
        4.0,
        priority_weight=1,
        effect=Effect.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=3.0,
    ),
    RequestClass(1.0, 4.0, priority_weight=5, effect=Effect.UNSAFE),
)
OPEN_PLAN, RATE_PLAN, CEILING_PLAN = 0, 1, 2
PLANS = (
    Plan(),
    Plan(rate=2.0, burst=8.0, over_quota_cost=1.0),
    Plan(rate=2.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=16.0, ceiling_slack=2.0),
    Plan(max_in_flight=2),
)
SETTINGS = PolicySettings(
    ingress_number=0,
    ingress_count=2,
    classes=CLASSES,
    plans=PLANS,
    safety=SafetyLimits(0.01, 0.5, 0.3, 10.0, 2.5, 2.0),
    max_attempts=3,
    may_hedge=True,
    may_cancel=True,
    may_gossip=True,
)


class IngressHarness:
    """One policy engine under a manual clock that fires its timers and records its actions.

    Attributes:
        now: the current time, s.
        last_request: number of the last request that arrived.
        attempts: attempts by request, in the order in which they were sent.
        answers: final answers by request; more than one would be an error of the engine.
        sent_gossip: gossip messages that have not been delivered yet.
        cancelled: request and attempt number of each cancelled attempt.
        counter_totals: totals of the simulated shared counter of this ingress, by name.
    """

    def __init__(
        self, settings: PolicySettings = SETTINGS, backends: int = 3, seed: int = 1
    ) -> None:
        self.now = 100.0
        self.last_request = 0
        self.engine = PolicyEngine(settings, seed, self.now)
        self.timers: list[tuple[float, int]] = []
        self.attempts: dict[int, list[SendAttempt]] = {}
        self.answers: dict[int, list[str]] = {}
        self.sent_gossip: list[SendGossip] = []
        self.cancelled: list[tuple[int, int]] = []
        self.counter_totals: dict[int, float] = {}
        self.list_endpoints(*(endpoint(n) for n in range(backends)), kind=EndpointListKind.CACHED)

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the engine and record its actions."""
        actions = self.engine.handle(self.now, event)
        for action in actions:
            match action:
                case SendAttempt():
                    self.attempts.setdefault(action.request, []).append(action)
                case Reject():
                    self.answers.setdefault(action.request, []).append("refused")
                case Fail():
                    self.answers.setdefault(action.request, []).append("failed")
                case SetTimer():
                    self.timers.append((action.at, action.token))
                case SendGossip():
                    self.sent_gossip.append(action)
                case CancelAttempt():
                    self.cancelled.append((action.request, action.attempt))
        return actions

    def list_endpoints(
        self, *endpoints: Endpoint, kind: EndpointListKind = EndpointListKind.CHANGES
    ) -> None:
        self.handle(EndpointsListed(kind, endpoints))

    def send_request(
        self,
        request_class: int = SAFE,
        plan: int = OPEN_PLAN,
        customer: int = 7,
        *,
        remaining_time: float = 4.0,
        units: float = 1.0,
        spread: int = 1,
        first_ingress: int = 0,
    ) -> int:
        """Pass the arrival of a request to the engine and return the request's number."""
        self.last_request += 1
        self.handle(
            RequestArrived(
                self.last_request,
                request_class,
                plan,
                customer,
                remaining_time,
                units,
                spread,
                first_ingress,
            )
        )
        return self.last_request

    def end_attempt(
        self,
        request: int,
        attempt: int,
        outcome: Outcome,
        actual_units: float = 0.0,
        duration: float = 0.1,
    ) -> None:
        """End an attempt; it is the final one if its request now has an answer."""
        send = self.attempts[request][attempt]
        is_ok = outcome is Outcome.OK
        if is_ok:
            self.answers.setdefault(request, []).append("served")
        is_final = bool(self.answers.get(request))
        self.handle(
            AttemptEnded(request, attempt, send.backend, outcome, is_final, duration, actual_units)
        )

    def run_until(self, until: float) -> None:
        """Fire all timers that are due until a given time, in order, and set the clock to it."""
        while due := sorted(timer for timer in self.timers if timer[0] <= until):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.handle(TimerFired(due[0][1]))
        self.now = until

    def is_admitted(self, request: int) -> bool:
        return request in self.attempts


def endpoint(
    number: int, state: BackendState = BackendState.READY, started: float = 0.0, cell: int = 0
) -> Endpoint:
    """Return the listed endpoint of backend 1000 + `number`."""
    return Endpoint(1000 + number, state, 0, 0, cell, 1.0, started)


def admitted_rate(ingress: IngressHarness, seconds: float, rate: float, spread: int = 1) -> float:
    """Measure the admitted units/s of a customer that requests `rate` units/s from one ingress."""
    admitted, start = 0, ingress.now
    while ingress.now < start + seconds:
        ingress.run_until(ingress.now + 1 / rate)
        request = ingress.send_request(UNSAFE, RATE_PLAN, spread=spread)
        if ingress.is_admitted(request):
            admitted += 1
            ingress.end_attempt(request, 0, Outcome.OK)
    return admitted / seconds


def exchange_gossip(ingresses: list[IngressHarness], loss_rng: random.Random | None = None) -> None:
    """Deliver the gossip sent since the last exchange.

    With a random source `loss_rng`, drop one message in five.
    """
    for number, ingress in enumerate(ingresses):
        messages, ingress.sent_gossip = ingress.sent_gossip, []
        for message in messages:
            if loss_rng is None or loss_rng.random() > 0.2:
                assert message.peer is not None
                ingresses[message.peer].handle(GossipReceived(number, message.data))


def make_ingresses(count: int, **overrides: object) -> list[IngressHarness]:
    """Create `count` ingresses of one deployment, with `overrides` of the settings."""
    settings = replace(SETTINGS, ingress_count=count, **overrides)  # type: ignore[arg-type]
    return [
        IngressHarness(replace(settings, ingress_number=number), seed=number + 1)
        for number in range(count)
    ]


def admitted_rate_of_all(
    ingresses: list[IngressHarness],
    seconds: float,
    rate: float,
    loss_rng: random.Random | None = None,
) -> float:
    """Measure the admitted units/s of a customer whose requests are spread over all ingresses."""
    admitted, rng, start = 0, random.Random(5), ingresses[0].now
    while ingresses[0].now < start + seconds:
        for ingress in ingresses:
            ingress.run_until(ingress.now + 1 / rate)
        exchange_gossip(ingresses, loss_rng)
        ingress = rng.choice(ingresses)
        request = ingress.send_request(UNSAFE, RATE_PLAN, spread=len(ingresses))
        if ingress.is_admitted(request):
            admitted += 1
            ingress.end_attempt(request, 0, Outcome.OK)
    return admitted / seconds


def leave_unanswered(ingress: IngressHarness, backend: int, count: int) -> None:
    """Send `count` requests; the given backend never responds, and all others respond at once."""
    for _ in range(count):
        request = ingress.send_request(SAFE)
        for number, send in enumerate(list(ingress.attempts[request])):
            if send.backend != backend:
                ingress.end_attempt(request, number, Outcome.OK)
        ingress.run_until(ingress.now + 0.2)


def customer_gossip(
    customer: int,
    plan: int,
    requested_units: float,
    admitted_units: float,
    bucket_level: float,
    in_flight: int = 0,
    incarnation: int = 1,
) -> bytes:
    """Encode a gossip message with a report of one customer; sums and level are in units."""
    sums = gossip_codec.encode_units(requested_units), gossip_codec.encode_units(admitted_units)
    report = gossip_codec.CustomerReport(customer, plan, in_flight, *sums, bucket_level)
    return gossip_codec.encode_message(incarnation, [], [report])


COUNTER_SETTINGS = replace(
    SETTINGS, may_gossip=False, may_use_counter=True, usage_report_period=1.0
)


def counter_calls(actions: list[Action]) -> list[AddToCounter]:
    """Return the calls to the shared counter among these actions."""
    return [action for action in actions if isinstance(action, AddToCounter)]


def counter_reply(
    ingress: IngressHarness, call: AddToCounter, other_units: float = 0.0
) -> CounterReplied:
    """Add units of other ingresses and then a call to the counter; return its reply."""
    ingress.counter_totals[call.name] = (
        ingress.counter_totals.get(call.name, 0.0) + call.amount + other_units
    )
    return CounterReplied(call.name, Outcome.OK, ingress.counter_totals[call.name])


def answer_counter_calls(
    ingress: IngressHarness, calls: list[AddToCounter], other_units: float = 0.0
) -> None:
    """Answer these counter calls and all that result from the replies.

    `other_units` of other ingresses are added before the first call.
    """
    while calls:
        calls += counter_calls(ingress.handle(counter_reply(ingress, calls.pop(0), other_units)))
        other_units = 0.0


def request_beyond_even_split(
    ingress: IngressHarness, max_requests: int = 30
) -> tuple[int, AddToCounter]:
    """Send requests until one waits for the counter.

    Returns:
        The waiting request and the counter call that it waits for; earlier calls are answered.

    Raises:
        AssertionError: no request waited.
    """
    for _ in range(max_requests):
        ingress.last_request, ingress.now = ingress.last_request + 1, ingress.now + 0.01
        arrival_event = RequestArrived(ingress.last_request, SAFE, RATE_PLAN, 7, 4.0, 1.0, 2, 0)
        calls = counter_calls(ingress.handle(arrival_event))
        if calls and not ingress.attempts.get(ingress.last_request):
            return ingress.last_request, calls[0]
        answer_counter_calls(ingress, calls)
    raise AssertionError("no request waited for the counter")


LOAD_REPORT_SETTINGS = replace(
    SETTINGS, ingress_count=1, load_report_fields=("rif", "rate", "q"), has_load_reports=True
)


def answer_with_load(
    ingress: IngressHarness, request: int, load: tuple[float, ...], duration: float = 0.1
) -> None:
    """End a request's first attempt successfully, with a load report."""
    send = ingress.attempts[request][0]
    end_event = AttemptEnded(request, 0, send.backend, Outcome.OK, True, duration, 0.0, None, load)
    ingress.handle(end_event)


def requests_by_backend(
    ingress: IngressHarness, load: dict[int, float], durations: dict[int, float], count: int = 300
) -> dict[int, int]:
    """Count the requests sent to each backend, given its reported load and response time (s)."""
    sent = dict.fromkeys(load, 0)
    for number in range(count):
        request = ingress.send_request()
        backend = ingress.attempts[request][0].backend
        sent[backend] += 1
        answer_with_load(
            ingress, request, (load[backend] + number % 2 * 0.1, 10.0, 0.0), durations[backend]
        )
        ingress.run_until(ingress.now + 0.05)
    return sent
