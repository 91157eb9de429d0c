"""What holds for any deployment: several gateways together under one clock, over drawn settings. No
bench.
"""

from __future__ import annotations

import heapq
import json
import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from dockthread.config.platform_settings import read_config
from dockthread.policy import (
    Action,
    AddToCounter,
    AttemptEnded,
    BackendState,
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
)

SECONDS = 24.0


class World:
    """Gateways, their workers, a counter and the way between them, on one clock."""

    def __init__(
        self, base: PolicySettings, seed: int, lost: float = 0.06, answers: bool = True
    ) -> None:
        # whether workers answer; which had an attempt
        self.answers, self.tried = answers, list[int]()
        self.rng, self.now, self.lost = random.Random(seed), 1000.0, lost
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.totals: dict[int, float] = defaultdict(float)
        self.final: dict[tuple[int, int], list[str]] = {}
        self.units: dict[tuple[int, int], float] = {}
        # first sends: when, and the units
        self.sent: dict[tuple[int, int], tuple[float, float]] = {}
        self.gateways = [
            PolicyEngine(replace(base, ingress_number=n), seed * 31 + n, self.now)
            for n in range(base.ingress_count)
        ]
        entries = tuple(
            Endpoint(100 + n, BackendState.READY, n % 2, 0, n % 2, 1.0) for n in range(6)
        )
        for n in range(base.ingress_count):
            self.give(n, EndpointsListed(EndpointListKind.CACHED, entries))

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (when, self.count, what))

    def run(self, until: float) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, what = heapq.heappop(self.due)
            what()
        self.now = until

    def give(self, n: int, event: Event) -> None:
        for action in self.gateways[n].handle(self.now, event):
            self.act(n, action)

    def act(self, n: int, action: Action) -> None:
        match action:
            case SendAttempt(request, worker):
                self.send(n, request, worker)
            case Reject(request) | Fail(request):
                self.final[n, request].append("no")
            case SetTimer(at, token):
                self.at(at, lambda: self.give(n, TimerFired(token)))
            case SendGossip(data, peer) if peer is not None and self.rng.random() >= self.lost:
                self.at(
                    self.now + self.rng.uniform(0.001, 0.014),
                    lambda: self.give(peer, GossipReceived(n, data)),
                )
            case AddToCounter(name, amount, _):
                self.totals[name] += amount
                end = CounterReplied(name, Outcome.OK, self.totals[name])
                self.at(self.now + 0.002, lambda: self.give(n, end))

    def send(self, n: int, request: int, worker: int) -> None:
        s = self.gateways[n].settings
        self.tried.append(worker)
        self.sent.setdefault((n, request), (self.now, self.units[n, request]))
        took = self.rng.expovariate(1 / 0.06)
        load = tuple(0.4 for _ in s.load_report_fields) if s.has_load_reports else ()

        def answer() -> None:
            done = self.final[n, request]
            if not done:
                done.append("served")
            used = None
            if s.usage_report_period:
                spent = sum(
                    u for t, u in self.sent.values() if self.now - 1.5 < t <= self.now - 0.5
                )
                used = spent / max(s.plans[0].rate, 1e-9)
            event = AttemptEnded(
                request, 0, worker, Outcome.OK, True, took, reported_usage=used, load_report=load
            )
            self.give(n, event)

        if self.answers:
            self.at(self.now + took, answer)

    def ask(self, n: int, units: float, cls: int, spread: int) -> None:
        self.count, s = self.count + 1, self.gateways[n].settings
        key = (n, self.count)
        self.final[key], self.units[key] = [], units
        self.give(
            n,
            RequestArrived(
                self.count, cls, 0, 7, 4 * s.classes[cls].latency_objective, units, spread, 0
            ),
        )


CLASSES = (
    RequestClass(0.6, 2.0, priority_weight=1, effect=Effect.SAFE),
    RequestClass(
        0.6,
        2.5,
        priority_weight=3,
        effect=Effect.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=2.5,
    ),
    RequestClass(0.6, 2.5, priority_weight=2, effect=Effect.UNSAFE),
)
FIELDS = ("rif", "busy", "rate", "lat_ms", "q", "fail_rate")


def deployments() -> st.SearchStrategy[PolicySettings]:
    def made(
        gateways: int,
        tell: bool,
        count: bool,
        meter: bool,
        rate: float,
        store: float,
        names: list[str],
        ceiling: bool,
    ) -> PolicySettings:
        plan = Plan(rate=rate, burst=max(8.0, rate * store), over_quota_cost=0.6)
        if ceiling:
            twice = 2 * plan.rate, 2 * plan.burst
            plan = replace(plan, ceiling_rate=twice[0], ceiling_burst=twice[1], ceiling_slack=4.0)
        return PolicySettings(
            ingress_number=0, ingress_count=gateways, classes=CLASSES, plans=(plan,), max_attempts=3, may_cancel=True,
            safety=SafetyLimits(0.016, 0.25, 0.2, 16.0, 3.0, 2.0), may_gossip=tell, may_use_counter=count,
            usage_report_period=1.0 if meter else 0.0, max_request_units=4, load_report_fields=tuple(names[:4]),
            has_load_reports=bool(names), clock_tick=0.004,
        )  # fmt: skip

    return st.builds(
        made,
        st.integers(1, 4),
        st.booleans(),
        st.booleans(),
        st.booleans(),
        st.sampled_from([4.0, 10.0, 30.0]),
        st.sampled_from([1.0, 2.0, 4.0]),
        st.lists(st.sampled_from(FIELDS), unique=True),
        st.booleans(),
    )


def demand(world: World, spread: int, times: float) -> Iterator[tuple[int, float, int]]:
    """Requests of one customer at `times` its quota, uneven over its gateways."""
    plan = world.gateways[0].settings.plans[0]
    weights = [1.0 / (n + 1) for n in range(spread)]
    rate, start = times * plan.rate / 2.0, world.now  # requests of 2 units on average
    while world.now < start + SECONDS:
        world.run(world.now + world.rng.expovariate(rate))
        n = world.rng.choices(range(spread), weights)[0]
        yield n, world.rng.choice([1.0, 2.0, 3.0]), world.rng.randrange(3)


@settings(
    max_examples=40, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
@given(deployments(), st.integers(1, 1000))
def test_the_quota_is_used_and_kept_and_each_request_has_one_answer(
    s: PolicySettings, seed: int
) -> None:
    """Three times the quota is asked. Where the others' use is told, by messages or counter, all
    gateways together let in 0.7 to 1.25 of the quota; else half of it at least, as an even split
    strands what the idle ones hold.
    """
    world, plan, spread = World(s, seed), s.plans[0], s.ingress_count
    for n, units, cls in demand(world, spread, 3.0):
        world.ask(n, units, cls, spread)
    let_in = sum(units for _, units in world.sent.values())
    quota = plan.burst + plan.rate * SECONDS
    told = spread == 1 or s.may_gossip or s.may_use_counter
    assert let_in <= 1.25 * quota + s.max_request_units * spread
    assert let_in >= (0.7 if told else 0.5) * quota - s.max_request_units * spread
    world.run(world.now + 4.0)
    assert all(len(final) == 1 for final in world.final.values())


@settings(
    max_examples=25, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
@given(deployments(), st.integers(1, 1000))
def test_a_ceiling_is_never_passed_whoever_is_heard(s: PolicySettings, seed: int) -> None:
    rate, burst = 3.0, 24.0  # so that the ceiling binds before the quota
    plan = replace(
        s.plans[0],
        rate=60.0,
        burst=200.0,
        ceiling_rate=rate,
        ceiling_burst=burst,
        ceiling_slack=4.0,
    )
    world = World(replace(s, plans=(plan,)), seed, lost=0.2)
    for n, units, cls in demand(world, s.ingress_count, 0.4):
        world.ask(n, units, cls, s.ingress_count)
    level, at = burst, 1000.0
    for when, units in world.sent.values():
        level, at = min(burst, level + rate * (when - at)) - units, when
        assert level >= -plan.ceiling_slack


@pytest.mark.parametrize("tell", [True, False])
def test_a_cap_and_a_rate_on_one_plan_both_hold(tell: bool) -> None:
    plan = Plan(rate=20.0, burst=40.0, max_in_flight=3)
    s = PolicySettings(
        0,
        3,
        CLASSES,
        (plan,),
        max_attempts=3,
        may_gossip=tell,
        may_use_counter=True,
        max_request_units=4,
    )
    world, outs = World(s, 4), list[int]()
    for n, units, cls in demand(world, 3, 3.0):
        world.ask(n, units, cls, 3)
        outs.append(
            sum(c.in_flight for g in world.gateways for c in g.customers.by_number.values())
        )
    over = sum(out > plan.max_in_flight for out in outs) / len(outs)
    assert sum(u for _, u in world.sent.values()) <= 1.25 * (plan.burst + plan.rate * SECONDS)
    assert over < (0.12 if tell else 1.0), "attempts out are told"
    assert max(outs) >= plan.max_in_flight, "and the cap is used"


@pytest.mark.parametrize("name", ["config.json", "formosa.json"])
def test_one_program_reads_each_sites_form_whole(name: str) -> None:
    path = Path(__file__).parents[2] / "example" / name
    raw, config = json.loads(path.read_text()), read_config({"NODE_CONFIG": str(path)})
    module, settings = config.module, raw["settings"]
    assert config.names.classes == tuple(c["Name"] for c in settings["Classes"])
    assert [p.max_in_flight for p in module.plans] == [
        p.get("MaxOut", 0) for p in settings["Packages"]
    ]
    assert module.may_gossip == bool(config.peers) == ("peers" in raw)
    assert module.load_report_fields == tuple(settings["Stats"]["Names"])
    gateway = PolicyEngine(module, 1, 0.0)
    gateway.handle(
        0.0, EndpointsListed(EndpointListKind.CACHED, (Endpoint(1, BackendState.READY),))
    )
    for cls, plan in (
        (c, p) for c in range(len(module.classes)) for p in range(len(module.plans) - 1)
    ):
        number = cls * 10 + plan
        actions = gateway.handle(5.0, RequestArrived(number, cls, plan, number, 2.0))
        assert any(isinstance(a, SendAttempt) for a in actions)


def test_evidence_of_silence_follows_the_classs_aim() -> None:
    """Before anything has answered the aim alone says what a usual answer takes: 0.2 of it, give or
    take 0.1.
    """
    for aim in (0.6, 1.5, 3.0):
        classes = (RequestClass(aim, 4 * aim, effect=Effect.UNSAFE),)
        world = World(PolicySettings(0, 1, classes, (Plan(),), may_cancel=True), 1, answers=False)
        world.ask(0, 1.0, 0, 1)
        w = world.gateways[0].backends.by_number[world.tried[0]]
        world.run(1000.0 + 1.05 * aim)
        assert w.failure_fraction == 0.0
        world.run(1000.0 + 1.15 * aim)
        assert w.failure_fraction > 0.4


@pytest.mark.parametrize(("after", "again"), [(0.1, True), (2.4, True), (2.6, False)])
def test_a_key_is_repeated_in_its_own_hall_and_time_only(after: float, again: bool) -> None:
    classes = (
        RequestClass(
            1.25,
            5.0,
            effect=Effect.KEYED,
            deduplication_scope=DeduplicationScope.ZONE,
            deduplication_window=2.5,
        ),
    )
    for seed in range(8):
        world = World(PolicySettings(0, 1, classes, (Plan(),), max_attempts=3), seed, answers=False)
        world.ask(0, 1.0, 0, 1)
        world.run(1000.0 + after)
        ((_, request),) = world.final
        world.give(0, AttemptEnded(request, 0, world.tried[0], Outcome.RESET, False, after))
        assert len(world.tried) == 1 + again
        assert len({worker % 2 for worker in world.tried}) == 1, (
            "the other hall does not know the key"
        )
        assert world.final[0, request] == ([] if again else ["no"])
