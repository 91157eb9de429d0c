"""A gateway's decisions, joined: events in, actions out (dockthread/policy/api.py).

`Admission` asks whether the customer's decayed unit rate lets a request in (rakelimit), `Attempts`
when it is tried, tried again, copied or given up, `Choice` where. Here: events by their kind, and
housekeeping.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from dockthread.policy import api
from dockthread.policy.admission import Admission
from dockthread.policy.api import ListKind, WorkerState
from dockthread.policy.attempts import DONE_OVER, TICK
from dockthread.policy.latency_estimates import scarcity

PACE_HALF = 15.0  # s in which what its answer times told counts half
FADE_HALF = 5.0  # s in which evidence against a worker halves, so that it returns


class Gateway(Admission):
    """One gateway's decision module."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.fade = FADE_HALF * scarcity(settings.gateways)
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.RequestArrived: self._arrived,
            api.AttemptEnded: self._ended,
            api.WorkersListed: self._listed,
            api.PeerSaid: self._said,
            api.TimerFired: self.fired,
            api.ProbeEnded: lambda e: None,
            api.StreamBegun: lambda e: self.streaming.add(e.request),
            api.ClientGone: lambda e: self._finish(e.request),
            api.Counted: self._counted,
        }

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event; the actions that follow, in their order. `now`: s on the module's
        clock.
        """
        self.now, self.actions = now, []
        if not self.started:
            self.started = True
            self.timer(now + TICK * self.rng.uniform(0.5, 1), self._tick)
            self.actions += [api.AskForList()] * self.s.must_ask_for_list
            if self.s.may_tell:
                self._greet()
        self.handlers[type(event)](event)
        while self.entering:
            if call := self.calls.get(self.entering.popleft()):
                self._decide(call.ask, call, self._customer(call.ask.customer, call.ask.plan))
        return self.actions

    def _tick(self) -> None:
        self.timer(self.now + TICK, self._tick)
        self.done *= 1 - TICK / (DONE_OVER * self.s.safety.fall_time + TICK)
        # it tells of the moment: a jam that is gone must not refuse
        self.slow *= 0.5 ** (TICK / self.tight)
        self.pool.fade(0.5 ** (TICK / self.fade), 0.5 ** (TICK / PACE_HALF))
        self.tidy()
        self._beats()
        self._survey()

    def _listed(self, e: api.WorkersListed) -> None:
        if e.kind is ListKind.FAILED:
            again = self.now + self.s.safety.ask_within / 10
            self.timer(again, lambda: self.actions.append(api.AskForList()))
        elif e.kind is not ListKind.CHANGES:
            for w in self.unlisted(e.entries):
                self.relist(w, w.entry, WorkerState.GONE)
        for entry in e.entries:
            w = self.known(entry)
            if entry.started > w.entry.started:
                w.renew()
            self.relist(w, entry, entry.state)  # rule 3: nothing new from here on
        self._survey()
