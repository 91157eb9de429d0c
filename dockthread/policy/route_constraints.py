"""Routes in the module: what a request's route allows is asked here, and held to. It narrows, and
widens nothing.

A route comes with the request (`Route`), and knows no more of the module than the module of it.
"""

from __future__ import annotations

from math import inf

from dockthread.policy.backend_pool import DrawableBackends, FilteredPool
from dockthread.policy.events import RequestArrived
from dockthread.policy.gossip import Gossip
from dockthread.policy.model import Effect, Endpoint, Outcome, RequestClass
from dockthread.policy.state import Attempt, Call, Worker

STRICTNESS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)


class Routed(Gossip):
    """What the parts that decide ask of a request's route. Without a route each answer is what it
    was before.
    """

    def _fits(self, w: Worker, call: Call, cold: bool) -> bool:
        raise NotImplementedError

    def _try(self, request: int, call: Call) -> bool:
        raise NotImplementedError

    def _close(self, request: int) -> None:
        raise NotImplementedError

    def _refuse(self, request: int, rules: RequestClass, why: str = "") -> None:
        raise NotImplementedError

    def _effect(self, call: Call) -> Effect:
        """The stricter of what its class was when it came, and what it is by a reload since."""
        now = self.s.classes[call.ask.request_class].effect
        return max(call.rules.effect, now, key=STRICTNESS.index)

    def _repeat_ends(self, ran: Attempt, call: Call) -> float:
        """The end of the window in which what may have run may be repeated."""
        return ran.sent + call.rules.deduplication_window - self.s.clock_tick

    def _subset(self, call: Call, pool: DrawableBackends) -> DrawableBackends:
        """The workers of the route's share; all of them where it has none that is ready."""
        route = call.ask.route
        if route is None or not route.restricts_backends:
            return pool
        return self.pool.filtered(route.allows) or pool

    def _near(self, call: Call, pool: DrawableBackends, home: Endpoint) -> DrawableBackends:
        """Those of a subset that drop the repeats of what ran at `home`."""
        near, route = self.pool.in_scope(home, call.rules.deduplication_scope), call.ask.route
        return near if pool is self.pool or route is None else FilteredPool(near, route.allows)

    def _roomy(self, call: Call, pool: DrawableBackends) -> list[Worker]:
        """Those that have room, warm ones unless none is. Of many, those among some, unless none of
        these has any.
        """
        cold = not self.pool.has_warm_backend
        roomy = [w for w in pool.sample(self.rng) if self._fits(w, call, cold)]
        return roomy or [w for w in pool if self._fits(w, call, cold)]

    def _enters(self, ask: RequestArrived, call: Call) -> bool:
        """Whether a request is inside its route's limit. Else it waits, or it or a cheaper one is
        refused.
        """
        route = ask.route
        if route is None or not route.is_queued:
            return True
        worth = call.rules.priority_weight * self.s.plans[ask.plan].priority_multiplier * ask.units
        inside, loser = route.enter(ask.request, worth, self.now)
        if inside:
            return True
        self.calls[ask.request] = call
        if loser != ask.request:
            self.timer(self.now + route.max_queue_wait, self._waited, ask.request)
        if loser is not None and (lost := self.calls.pop(loser, None)):
            self._leave(lost)
            self._refuse(loser, lost.rules, "limit")
        return False

    def _waited(self, request: int) -> None:
        """The stated wait in the queue is over."""
        call = self.calls.get(request)
        if (
            call is not None
            and (route := call.ask.route)
            and route.is_queued
            and request not in self.entering
        ):
            route.on_queue_timeout(request)
            del self.calls[request]
            self._leave(call)
            self._refuse(request, call.rules, "limit")

    def _leave(self, call: Call) -> None:
        """Its place is free: who waited for it is let in at the end of this round."""
        if (route := call.ask.route) is not None:
            for request in route.release(call.ask.request):
                if (waiting := self.calls.get(request)) and (theirs := waiting.ask.route):
                    theirs.on_dequeued(self.now)
                    self.entering.append(request)

    def _sent(self, request: int, call: Call) -> tuple[float, float]:
        """After a send: the attempt's own time-out, the latest for its first byte, and the timer of
        its copy.
        """
        ran, begin_by = call.ran(), inf
        if (
            ran is not None
            and ran is not call.attempts[-1]
            and self._effect(call) is not Effect.SAFE
        ):
            begin_by = self._repeat_ends(ran, call)
        left, number = max(call.deadline - self.now, 0.0), len(call.attempts) - 1
        if (route := call.ask.route) is None:
            return left, begin_by
        route.on_attempt_sent(number, self.now)
        if (after := route.hedge_delay()) is not None:
            self.timer(self.now + after, self._copy, request, number)
        return min(left, route.attempt_timeout or left), begin_by

    def _awaited(self, request: int, number: int) -> Call | None:
        """The call whose attempt is still out with nothing of an answer begun; None where none
        waits for it.
        """
        call = self.calls.get(request)
        return (
            call if call and request not in self.streaming and call.attempts[number].out else None
        )

    def _copy(self, request: int, number: int) -> None:
        """The route's own wait for a second copy is over."""
        if (call := self._awaited(request, number)) is None:
            return
        if (
            self._repeats(call)
            and self.s.may_hedge
            and self._may_copy(call)
            and not self._try(request, call)
        ):
            del self.held[request]

    def _repeats(self, call: Call) -> bool:
        raise NotImplementedError

    def _may_copy(self, call: Call) -> bool:
        return call.ask.route is None or call.ask.route.try_hedge(len(call.attempts), self.now)

    def _pause(self, call: Call, outcome: Outcome) -> float | None:
        """The wait before the next attempt; None where the route has none."""
        if call.ask.route is None:
            return 0.0
        pause = call.ask.route.retry_delay(len(call.attempts), outcome, self.now)
        # A final answer is never delayed: where the wait would end too late, it comes now.
        late = pause is not None and self.now + pause >= call.deadline - 2 * self.s.clock_tick
        return None if late else pause

    def _again(self, request: int) -> None:
        """After a wait between attempts. A reload may have forbidden meanwhile what was allowed
        before.
        """
        call = self.calls.get(request)
        if call is None or any(a.out for a in call.attempts):
            return
        last: Attempt = call.attempts[-1]
        route = call.ask.route
        if (
            last.outcome is None
            or route is None
            or route.may_still_retry(len(call.attempts), last.outcome)
        ):
            self._try(request, call)
        if not any(a.out for a in call.attempts):
            self._close(request)
