"""Attempts: when a request is tried, tried again, copied, given up; and the wait that these
foretell.
"""

from __future__ import annotations

import math

from dockthread.policy.actions import CancelAttempt, Fail, Reject, SendAttempt
from dockthread.policy.events import AttemptEnded
from dockthread.policy.latency_estimates import (
    MAX_RELATIVE_LATENCY,
    ConcurrencyEstimate,
    sample_scarcity,
    smooth_latency,
)
from dockthread.policy.load_balancer import Choice
from dockthread.policy.load_reports import LoadReportReader
from dockthread.policy.model import NEVER_RAN, Effect, Outcome, PolicySettings, RequestClass
from dockthread.policy.state import Attempt, Call, Worker

FAIL_STEP, SLOW_STEP, SMOOTH = 0.25, 0.12, 0.05  # weights of one more in smoothed figures
LATEST = 1.5  # tight aims: the latest that one answer can tell of the moment
SUSPECTED = 0.35  # failed part of a worker that asks for copies
# s for which a worker that turned an attempt away is full; doubled, at most
FULL_FOR, FULL_MOST = 0.2, 3.0
LATE_DEVIATIONS = 4.0  # an answer missing for the usual time and so many usual deviations is late
# after so many its worker is suspected: one usual answer in 2,000 takes longer
SILENT_DEVIATIONS = 9.0
# fall times over which answers are averaged; attempts out that say nothing
DONE_OVER, MOST_CHANCE = 4.0, 5
HALF = 0.45  # part of its time after which a request that no worker could be given ends
PRESSED, ADVICE = 0.25, 0.25  # of an aim: expected wait that refuses the usual; wait advised then
TIRED = 0.5  # of an aim: answer time of late from which nothing is tried again
TICK = 0.25  # s between rounds of housekeeping


class Attempts(Choice):
    """Begins, repeats, copies and ends attempts."""

    def __init__(self, settings: PolicySettings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.reports, self.crowds = (
            LoadReportReader(settings.load_report_fields),
            ConcurrencyEstimate(),
        )
        self.tight = min(k.latency_objective for k in settings.classes)
        self.blame = 1 - (1 - FAIL_STEP) ** sample_scarcity(settings.ingress_count)

    def _survey(self) -> None:
        self.pool.refresh()
        for request in list(self.held):
            call = self.calls[request]
            # No worker yet: the client is told while half of its time is left to try elsewhere.
            late = self.now > call.deadline - (1 - HALF) * call.ask.remaining_time
            if not self._try(request, call) and late and call.ran() is None:
                self._close(request)

    def _try(self, request: int, call: Call) -> bool:
        # if there is none: tried again at each tick and each change of the list
        self.held[request] = None
        if (worker := self._choose(call)) is None:
            return False
        del self.held[request]
        crowd = self.crowds.relative_concurrency(worker.load(self.now))
        self.carry(worker, 1)
        self.ramp.left -= not self.pool.has_warm_backend
        worker.take_link(self.now - self.kept)
        self.owner[request, len(call.attempts)] = call.ask.customer
        call.attempts.append(Attempt(worker.entry.backend, self.now, crowd))
        self._customer(call.ask.customer, call.ask.plan).out += 1  # forgotten if held for long
        self.actions.append(SendAttempt(request, worker.entry.backend, *self._sent(request, call)))
        usual, deviation = self.usual[call.ask.request_class]
        late = self.now + usual + LATE_DEVIATIONS * deviation
        self.timer(late, self._late, request, len(call.attempts) - 1)
        return True

    def _late(self, request: int, number: int) -> None:
        """At a suspected worker what may be repeated is copied, or called back; others have some
        time.
        """
        if (call := self._awaited(request, number)) is None:
            return
        attempt = call.attempts[number]
        attempt.late = True
        self.out -= 1  # lost, it says nothing of a jam; at its worker it is out all the same
        usual, deviation = self.usual[call.ask.request_class]
        self.timer(
            attempt.sent + usual + SILENT_DEVIATIONS * deviation, self._silent, request, number
        )
        self._help(request, call, number)

    def _silent(self, request: int, number: int) -> None:
        """Evidence against a worker that answered nothing since."""
        if (call := self._awaited(request, number)) is None:
            return
        attempt = call.attempts[number]
        w = self.workers[attempt.worker]
        if w.answered < attempt.sent:
            w.failed += 2 * FAIL_STEP * (1 - w.failed)
            self._help(request, call, number)

    def _help(self, request: int, call: Call, number: int) -> None:
        w = self.workers[call.attempts[number].worker]
        if (
            self._repeats(call)
            and len(call.attempts) < 2
            and w.failed >= SUSPECTED
            and self._may_copy(call)
        ):
            if self.s.may_hedge and not self._try(request, call):
                del self.held[request]
            elif self.s.may_cancel and not self.s.may_hedge:
                self.actions.append(CancelAttempt(request, number))

    def _ended(self, e: AttemptEnded) -> None:
        owner, call = self.owner.pop((e.request, e.attempt), None), self.calls.get(e.request)
        if owner is None:
            return
        c, w = self._customer(owner, self.customers[owner].plan), self.workers[e.backend]
        c.out -= 1
        if e.reported_usage is not None:
            c.used, c.used_at = e.reported_usage, self.now
        if self.s.plans[c.plan].max_in_flight:
            self._report(owner, c)
        self.carry(w, -1)
        if call is not None and call.attempts[e.attempt].late:
            self.out += 1  # taken off when it was late
        # every answer repeats the last report; only another one is news
        if e.load_report and e.load_report != w.report:
            w.hear(
                e.load_report,
                self.reports.remote_requests(e.load_report, w.out, self._usually()),
                self.now,
            )
        w.answered = (
            self.now
            if e.outcome in (Outcome.OK, Outcome.ERROR, Outcome.AT_CAPACITY)
            else w.answered
        )
        if e.outcome is Outcome.OK:
            w.failed -= FAIL_STEP * w.failed
            w.full_for, w.spare, w.spare_at = 0.0, w.spare + 1, self.now
            self._borne()
            step = SLOW_STEP * self._tells(w)
            self.slow += step * (min(e.duration, LATEST * self.tight) - self.slow)
        # to this plan: the others may find room; many: a jam without answers
        elif e.outcome is Outcome.AT_CAPACITY:
            self.slow += FAIL_STEP * self._tells(w) * (self.tight - self.slow)
            w.full_for = max(FULL_FOR, min(2 * w.full_for, FULL_MOST))
            w.full(c.plan, self.now + w.full_for)
        elif e.outcome in (Outcome.ERROR, Outcome.UNREACHABLE, Outcome.RESET):
            w.failed += self.blame * (1 - w.failed)
        if call is None:
            return
        attempt = call.attempts[e.attempt]
        attempt.out, attempt.may_have_run, attempt.outcome = (
            False,
            e.outcome not in NEVER_RAN,
            e.outcome,
        )
        if call.ask.route is not None:
            call.ask.route.on_attempt_ended(e.attempt, e.outcome, e.duration, self.now)
        if e.outcome is Outcome.OK:
            usual, deviation = self.usual[call.ask.request_class]
            w.took(min(MAX_RELATIVE_LATENCY, e.duration / usual / attempt.crowd))
            self.usual[call.ask.request_class] = smooth_latency(
                usual, deviation, e.duration, SMOOTH
            )
        if self.s.settles_units and e.actual_units:
            more_units = e.actual_units - call.ask.units
            c.store.take(more_units, may_go_negative=True)
            c.spent += more_units
            self._report(owner, c)
        if e.is_final:
            self._finish(e.request)
        elif not any(a.out for a in call.attempts):
            pressed = (
                self.slow > TIRED * call.rules.latency_objective
                or self.now > call.deadline - 2 * self.s.clock_tick
            )
            more = not pressed and len(call.attempts) < self.s.max_attempts
            pause = self._pause(call, e.outcome) if more else None
            if pause:
                self.timer(self.now + pause, self._again, e.request)
                return
            if pause is not None:
                self._try(e.request, call)
            if not any(a.out for a in call.attempts):
                self._close(e.request)

    def _tells(self, w: Worker) -> float:
        """How much a worker's answer says of what the next request meets: one that is worse than
        the others is hardly drawn, and its late answers must not refuse what the others have room
        for.
        """
        return min(1.0, ((1 - w.failed) / max(0.05, self.pool.success_fraction)) ** 2)

    def _repeats(self, call: Call) -> bool:
        """Whether a second attempt may go while the first is out. A class may have been changed
        meanwhile.
        """
        return self._effect(call) is not Effect.UNSAFE and len(call.attempts) < self.s.max_attempts

    def _close(self, request: int) -> None:
        """The final answer, a refusal only where it is known to be harmless (rule 2)."""
        if (call := self.calls.get(request)) is None or request in self.streaming:
            return
        if call.ran() is None or self._effect(call) is Effect.SAFE:
            self._refuse(request, call.rules)
        else:
            self.actions.append(Fail(request))
        self._finish(request)

    def _refuse(self, request: int, rules: RequestClass, why: str = "") -> None:
        """A client that waits past the aim comes back for nothing, and takes units from those in
        time. Advice goes with every refusal: it is for whoever passes answers on to say whether
        clients are handed it.
        """
        self.actions.append(
            Reject(request, min(self.s.max_retry_after, ADVICE * rules.latency_objective), why)
        )

    def _finish(self, request: int) -> None:
        self.held.pop(request, None)
        if (call := self.calls.pop(request, None)) is None:
            return
        for number, a in enumerate(call.attempts):
            if a.out and a.late:
                self.out += 1  # its end will take it off
            if a.out and self.s.may_cancel and request not in self.streaming:
                self.actions.append(CancelAttempt(request, number))
        self.streaming.discard(request)
        self._leave(call)

    def _wait(self) -> float:
        """Expected wait by Little's law, of attempts out less what chance could put there: sees a
        jam come. Or the answer time of late: sees work that was given up here and still waits at
        the workers.
        """
        lag = self._usually()  # a start's first answers come so much later than its requests
        over = min(DONE_OVER * self.s.safety.overload_time + TICK, self.now - self.born - lag)
        few = self.out < MOST_CHANCE or not self.done or over < lag
        return max(0.0 if few else (self.out - math.sqrt(self.out)) * over / self.done, self.slow)
