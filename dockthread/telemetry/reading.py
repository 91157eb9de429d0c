"""From sums to points: one consistent reading of an ingress at one moment. Reads only; decides
nothing.
"""

from __future__ import annotations

import gc
import os
import resource
from collections.abc import Iterable, Iterator
from itertools import accumulate
from math import isfinite
from time import process_time
from typing import TYPE_CHECKING

from dockthread.policy import BackendState, Outcome
from dockthread.telemetry.busiest import ASKED, SENT_ON
from dockthread.telemetry.busiest import REFUSED as FIRM_REFUSED
from dockthread.telemetry.catalogue import DERIVE, GAUGE, LIFE, TIME_STEPS, Point, part
from dockthread.telemetry.tally import Tally

if TYPE_CHECKING:
    from dockthread.net.ingress import Ingress
    from dockthread.telemetry.sender import Sender

PHASES = {
    name: n for n, name in enumerate(("starting", "serving", "lingering", "draining", "stopped"), 1)
}
PAGE = resource.getpagesize()
MOST_ROUTES = 50  # that are reported
ENDINGS = {outcome: part(outcome.value.replace(" ", "-")) for outcome in Outcome}


class Reader:
    """Reads an ingress and its tally.

    `life`: the life's start in Unix ms. `elapsed`, given to `points`: the interval that ends, in
    ms, over which rates by firm are taken.
    """

    def __init__(self, ingress: Ingress, tally: Tally, life: float, nodes: int, firms: int) -> None:
        self._ingress, self._tally, self.life = ingress, tally, int(life)
        self._nodes, self._firms = nodes, firms
        self._calls_before, self._copies_before = (
            ingress.traffic.attempts_started,
            ingress.traffic.hedges_started,
        )
        names = ingress.config.names
        self._classes = [part(name) for name in names.classes]
        self._plans = [part(name) for name in names.plans]

    def points(self, elapsed: float, senders: Iterable[tuple[str, Sender]] = ()) -> list[Point]:
        """The life stands first: a reader of the stream knows by it whose counts follow."""
        self._tally.fold()
        return [
            Point(LIFE, GAUGE, self.life),
            Point(("phase",), GAUGE, PHASES[self._ingress.lifecycle.phase.value]),
            *self._answers(),
            *self._calls(),
            *self._quotas(elapsed),
            *self._routes(),
            *self._seen_of_nodes(),
            *self._machine(),
            *self._own(senders),
        ]

    def _answers(self) -> Iterator[Point]:
        tally, classes, plans = self._tally, self._classes, self._plans
        for (c, p, outcome), many in tally.answers.items():
            yield Point(("answers", classes[c], plans[p], outcome), DERIVE, many)
        for (c, p, outcome, reason), many in tally.why.items():
            word = part(reason.replace(" ", "-"))
            yield Point(("why", classes[c], plans[p], outcome, word), DERIVE, many)
        for (c, p), many in tally.gone_away.items():
            yield Point(("gone", classes[c], plans[p]), DERIVE, many)
        for name, late, times in zip(classes, tally.late, tally.times, strict=True):
            yield Point(("late", name), DERIVE, late)
            for word, quantile in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99)):
                yield Point(("time", name, word), GAUGE, times.quantile(quantile))
            yield Point(("time", name, "max"), GAUGE, times.longest)
            yield Point(("time", name, "sum"), DERIVE, round(times.sum))
            for step, many in zip(TIME_STEPS, accumulate(times.steps), strict=False):
                yield Point(("time", name, f"le_{step}"), DERIVE, many)

    def _calls(self) -> Iterator[Point]:
        tally, ingress = self._tally, self._ingress
        yield Point(
            ("attempts", "started"), DERIVE, ingress.traffic.attempts_started - self._calls_before
        )
        yield Point(
            ("attempts", "copies"), DERIVE, ingress.traffic.hedges_started - self._copies_before
        )
        for outcome, word in ENDINGS.items():
            yield Point(("attempts", word), DERIVE, tally.ended[outcome])
            if ingress.config.counter is not None:
                yield Point(("counter", "calls", word), DERIVE, tally.counter[outcome])
        if ingress.config.counter is not None:
            yield Point(("counter", "p50"), GAUGE, tally.counter_times.quantile(0.5))
            yield Point(("counter", "p99"), GAUGE, tally.counter_times.quantile(0.99))
            yield Point(("counter", "muted"), DERIVE, round(tally.muted))

    def _quotas(self, elapsed: float) -> Iterator[Point]:
        tally, seconds = self._tally, max(elapsed, 1.0) / 1000.0
        for p, name in enumerate(self._plans):
            yield Point(("quota", name, "asked"), DERIVE, round(tally.asked[p]))
            yield Point(("quota", name, "sent_on"), DERIVE, round(tally.units_on[p]))
            yield Point(("quota", name, "refused"), DERIVE, round(tally.units_refused[p]))
        yield Point(("firms_seen",), GAUGE, len(tally.busiest.firms))
        for (plan, firm), figures in tally.busiest.top(self._firms):
            path = ("firms", self._plans[plan], f"{firm:x}")
            for word, what in (("asked", ASKED), ("sent_on", SENT_ON), ("refused", FIRM_REFUSED)):
                yield Point((*path, word), GAUGE, figures[what] / seconds)

    def _routes(self) -> Iterator[Point]:
        if (routes := self._ingress.routes) is None:
            return
        for name, spent in list(routes.spent.items())[:MOST_ROUTES]:
            path = ("routes", part(name))
            for word in (
                "requests",
                "attempts",
                "copies",
                "copies_won",
                "queued",
                "refused_limit",
                "refused_budget",
            ):
                yield Point((*path, word), DERIVE, getattr(spent, word))
            yield Point((*path, "queue_wait"), DERIVE, round(spent.queue_wait * 1000.0))
            yield Point((*path, "open"), GAUGE, spent.open)
            yield Point((*path, "inside"), GAUGE, spent.limit.inside)
            yield Point((*path, "queue"), GAUGE, len(spent.queue))
            if isfinite(spent.limit.limit):
                yield Point((*path, "limit"), GAUGE, spent.limit.limit)
            if spent.budget is not None:
                yield Point((*path, "budget"), GAUGE, spent.budget.left)

    def _seen_of_nodes(self) -> Iterator[Point]:
        """Of the nodes that are listed, those with most calls out; the series of one that is gone
        end.
        """
        gateway, now = self._ingress.engine, self._ingress.clock.now() / 1000.0
        backends = gateway.backends.by_number
        listed = [
            d
            for d in self._ingress.endpoints.by_number.values()
            if d.state is not BackendState.REMOVED
        ]
        seen = [(d.uid, backends[d.number]) for d in listed if d.number in backends]
        seen.sort(key=lambda one: -one[1].in_flight)
        for uid, worker in seen[: self._nodes]:
            path = ("nodes", part(uid))
            yield Point((*path, "out"), GAUGE, worker.in_flight)
            yield Point((*path, "failed"), GAUGE, worker.failure_fraction)
            full = any(until > now for until in worker.at_capacity_until.values())
            yield Point((*path, "skipped"), GAUGE, int(full or not worker.is_ready))
            if (
                worker.report
                and (at := gateway.outcomes.load_reports.positions.get("rif", -1)) >= 0
            ):
                yield Point((*path, "inflight"), GAUGE, worker.report[at])
                yield Point((*path, "report_age"), GAUGE, (now - worker.report_at) * 1000.0)

    def _machine(self) -> Iterator[Point]:
        ingress, traffic, loop = self._ingress, self._ingress.traffic, self._tally.loop_times
        yield Point(("connections", "clients"), GAUGE, ingress.client_connections)
        yield Point(("connections", "nodes"), GAUGE, len(ingress.connection_pool))
        yield Point(("opened", "clients"), DERIVE, traffic.client_connections_opened)
        yield Point(("opened", "nodes"), DERIVE, traffic.backend_connections_opened)
        yield Point(("messages", "in"), DERIVE, traffic.gossip_received)
        yield Point(("messages", "out"), DERIVE, traffic.gossip_sent)
        yield Point(("messages", "odd"), DERIVE, traffic.gossip_rejected)
        yield Point(("requests", "open"), GAUGE, len(ingress.requests))
        yield Point(("requests", "bodies"), GAUGE, ingress.requests.body_bytes)
        yield Point(("commands", "bad"), DERIVE, traffic.commands_rejected)
        for side, way, many in (
            ("clients", "in", traffic.client_bytes_in),
            ("clients", "out", traffic.client_bytes_out),
            ("nodes", "in", traffic.backend_bytes_in),
            ("nodes", "out", traffic.backend_bytes_out),
        ):
            yield Point(("bytes", side, way), DERIVE, many)
        yield Point(("loop", "p50"), GAUGE, loop.quantile(0.5))
        yield Point(("loop", "p99"), GAUGE, loop.quantile(0.99))
        yield Point(("loop", "max"), GAUGE, loop.longest)
        yield Point(("cpu", "used"), DERIVE, round(process_time() * 1000.0))
        yield Point(("memory", "resident"), GAUGE, resident())
        yield Point(("descriptors", "open"), GAUGE, descriptors())
        yield Point(("descriptors", "limit"), GAUGE, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        for number, generation in enumerate(gc.get_stats()):
            yield Point(("garbage", str(number)), DERIVE, generation["collections"])

    @staticmethod
    def _own(senders: Iterable[tuple[str, Sender]]) -> Iterator[Point]:
        for name, sender in senders:
            path = ("telemetry", part(name))
            yield Point((*path, "sent"), DERIVE, sender.sent)
            yield Point((*path, "dropped"), DERIVE, sender.backlog.dropped)
            yield Point((*path, "queued"), GAUGE, sender.backlog.size)
            yield Point((*path, "lost"), DERIVE, sender.lost)


def resident() -> int:
    """Bytes of resident memory, by the kernel's statm; 0 where there is none to read."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * PAGE
    except OSError:
        return 0


def descriptors() -> int:
    """Descriptors that the process holds; 0 where the system does not tell."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return 0
