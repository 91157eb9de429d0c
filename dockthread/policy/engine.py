"""A gateway's decisions, joined: events in, actions out.

`Admission` asks whether the customer's decayed unit rate lets a request in (rakelimit), `Attempts`
when it is tried, tried again, copied or given up, `Choice` where. Here: events by their kind, and
housekeeping.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from dockthread.policy.actions import Action, PollEndpoints
from dockthread.policy.admission import Admission
from dockthread.policy.attempts import DONE_OVER, TICK
from dockthread.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsListed,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from dockthread.policy.latency_estimates import sample_scarcity
from dockthread.policy.model import BackendState, EndpointListKind, PolicySettings

PACE_HALF = 15.0  # s in which what its answer times told counts half
FADE_HALF = 5.0  # s in which evidence against a worker halves, so that it returns


class PolicyEngine(Admission):
    """One gateway's decision module."""

    def __init__(self, settings: PolicySettings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.fade = FADE_HALF * sample_scarcity(settings.ingress_count)
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self._arrived,
            AttemptEnded: self._ended,
            EndpointsListed: self._listed,
            GossipReceived: self._said,
            TimerFired: self.fired,
            HealthCheckEnded: lambda e: None,
            ResponseStarted: lambda e: self.streaming.add(e.request),
            ClientDisconnected: lambda e: self._finish(e.request),
            CounterReplied: self._counted,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event; the actions that follow, in their order. `now`: s on the module's
        clock.
        """
        self.now, self.actions = now, []
        if not self.started:
            self.started = True
            self.timer(now + TICK * self.rng.uniform(0.5, 1), self._tick)
            self.actions += [PollEndpoints()] * self.s.must_poll_endpoints
            if self.s.may_gossip:
                self._greet()
        self.handlers[type(event)](event)
        while self.entering:
            if call := self.calls.get(self.entering.popleft()):
                self._decide(call.ask, call, self._customer(call.ask.customer, call.ask.plan))
        return self.actions

    def _tick(self) -> None:
        self.timer(self.now + TICK, self._tick)
        self.done *= 1 - TICK / (DONE_OVER * self.s.safety.overload_time + TICK)
        # it tells of the moment: a jam that is gone must not refuse
        self.slow *= 0.5 ** (TICK / self.tight)
        self.pool.decay(0.5 ** (TICK / self.fade), 0.5 ** (TICK / PACE_HALF))
        self.tidy()
        self._beats()
        self._survey()

    def _listed(self, e: EndpointsListed) -> None:
        if e.kind is EndpointListKind.FAILED:
            again = self.now + self.s.safety.poll_interval / 10
            self.timer(again, lambda: self.actions.append(PollEndpoints()))
        elif e.kind is not EndpointListKind.CHANGES:
            for w in self.unlisted(e.endpoints):
                self.relist(w, w.entry, BackendState.REMOVED)
        for entry in e.endpoints:
            w = self.known(entry)
            if entry.started_at > w.entry.started_at:
                w.renew()
            self.relist(w, entry, entry.state)  # rule 3: nothing new from here on
        self._survey()
