"""Simulates ingresses that restart at the same time and poll discovery for an endpoint list.

The simulation measures when each ingress is ready, that is, when it has an endpoint list. It uses
the production code of `policy/backoff.py` and the time constants of `net/discovery_watch.py`; the
remaining behaviour of the discovery watch is modelled here.

An ingress starts to use the list in its configuration after half the drain grace if lists are
pushed, and immediately if ingresses poll for lists. After a failed poll the ingress backs off and polls
again. A poll without a response also starts a backoff, but stays open until the backoff is over.

Discovery processes polls one after another, each for `service_time_ms`, even if the caller has
abandoned its poll. It rejects a poll immediately if `queue_limit` other polls are waiting. A poll
that has waited for `queue_timeout_ms` fails, or gets no response if discovery
`drops_timed_out_polls`. If lists are pushed, each ingress polls its own agent instead, which
responds immediately, or after the outage if there is one.

Times are in milliseconds since the restart.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import inf
from typing import Final

from dockthread.lab.event_queue import EventQueue
from dockthread.net.discovery_watch import (
    FIRST_ANSWER_TIMEOUT_MS,
    MAX_RECONNECT_DELAY_MS,
    MAX_WAIT_MS,
    MIN_BACKOFF_LIMIT_MS,
    OVERLOAD_AFTER_MS,
    SILENCE_TIMEOUT_MS,
)
from dockthread.policy.backoff import Backoff

# Network round-trip time between an ingress and discovery.
ROUND_TRIP_MS: Final = 2.0
# Duration of a run.
RUN_DURATION_MS: Final = 60_000.0


@dataclass(frozen=True, slots=True)
class RestartWave:
    """A set of ingresses that restart at the same time, and the behaviour of discovery.

    Attributes:
        fleet_size: number of all ingresses.
        restarted_count: number of ingresses that restart.
        is_list_pushed: whether each ingress has an agent that pushes its list; otherwise all
            ingresses poll one service.
        has_known_list: whether the ingresses' configuration contains an endpoint list.
        outage_ms: time after the restart for which discovery is unreachable.
        service_time_ms: time that discovery needs for a poll.
        queue_timeout_ms: maximum time that a poll waits in discovery's queue.
        queue_limit: maximum number of waiting polls; discovery rejects further polls.
        drops_timed_out_polls: whether polls that exceed `queue_timeout_ms` get no response.
        drain_grace_ms: the ingresses' drain grace setting.
    """

    fleet_size: int = 200
    restarted_count: int = 200
    is_list_pushed: bool = False
    has_known_list: bool = True
    outage_ms: float = 0.0
    service_time_ms: float = 130.0
    queue_timeout_ms: float = 2_000.0
    queue_limit: int = 24
    drops_timed_out_polls: bool = False
    drain_grace_ms: float = 1_000.0


@dataclass(slots=True)
class RestartedIngress:
    """An ingress that restarts.

    Attributes:
        backoff: the backoff that determines the delays between polls.
        ready_at_ms: time at which the ingress became ready.
        listed_at_ms: time at which the ingress received the list from discovery.
        poll_count: number of started polls.
        first_poll_at_ms: start of the first poll.
        backoff_ms: sum of all backoff delays.
        open_poll: number of the poll in flight, or None.
    """

    backoff: Backoff
    ready_at_ms: float = inf
    listed_at_ms: float = inf
    poll_count: int = 0
    first_poll_at_ms: float = 0.0
    backoff_ms: float = 0.0
    open_poll: int | None = None


@dataclass(frozen=True, slots=True)
class WaveResult:
    """The result of one seed: the ingresses and the total number of their polls."""

    ingresses: list[RestartedIngress]
    poll_count: int

    def ready_within(self, limit_ms: float) -> float:
        """Return the fraction of ingresses that were ready at this time."""
        ready_count = sum(ingress.ready_at_ms <= limit_ms for ingress in self.ingresses)
        return ready_count / len(self.ingresses)

    def listed_within(self, limit_ms: float) -> float:
        """Return the fraction of ingresses that had received the list from discovery by this time."""
        listed_count = sum(ingress.listed_at_ms <= limit_ms for ingress in self.ingresses)
        return listed_count / len(self.ingresses)


class RestartWaveSimulation:
    """One run of a restart wave; the same seed gives the same run."""

    def __init__(
        self, seed: int, wave: RestartWave, backoff_class: type[Backoff] = Backoff
    ) -> None:
        self._wave = wave
        self._events = EventQueue()
        self._poll_count = 0
        # Time at which discovery will have processed all accepted polls.
        self._discovery_free_at = wave.outage_ms
        self._known_list_delay = wave.drain_grace_ms / 2
        self._response_timeout = (
            SILENCE_TIMEOUT_MS if wave.is_list_pushed else FIRST_ANSWER_TIMEOUT_MS
        )
        self._ingresses = self._create_ingresses(random.Random(seed), backoff_class)

    def _create_ingresses(
        self, rng: random.Random, backoff_class: type[Backoff]
    ) -> list[RestartedIngress]:
        wave = self._wave
        max_initial_delay = min(self._known_list_delay, MAX_RECONNECT_DELAY_MS)
        max_delay = inf
        if wave.is_list_pushed:
            max_delay = min(MAX_WAIT_MS, max(self._known_list_delay, MIN_BACKOFF_LIMIT_MS))
        ingresses = []
        for _ in range(wave.restarted_count):
            ingress_rng = random.Random(rng.getrandbits(64))
            backoff = backoff_class(ingress_rng, wave.fleet_size, max_initial_delay, max_delay)
            ingresses.append(RestartedIngress(backoff))
        return ingresses

    def run(self) -> WaveResult:
        """Run to the end and return the result."""
        for ingress in self._ingresses:
            self._start(ingress)
        self._events.run_until(RUN_DURATION_MS)
        return WaveResult(self._ingresses, self._poll_count)

    def _start(self, ingress: RestartedIngress) -> None:
        wave = self._wave
        if wave.has_known_list:
            ingress.ready_at_ms = self._known_list_delay if wave.is_list_pushed else 0.0
        if wave.has_known_list and not wave.is_list_pushed:
            ingress.first_poll_at_ms = ingress.backoff.initial_delay()
        self._events.schedule_at(ingress.first_poll_at_ms, self._poll, ingress)

    # Polls at discovery

    def _poll(self, ingress: RestartedIngress) -> None:
        self._poll_count += 1
        ingress.poll_count += 1
        poll = self._poll_count
        ingress.open_poll = poll
        self._events.schedule(self._response_timeout, self._on_response_timeout, ingress, poll)
        if self._wave.is_list_pushed:
            responds_at = max(self._events.now, self._wave.outage_ms) + ROUND_TRIP_MS
            self._events.schedule_at(responds_at, self._on_list_received, ingress, poll)
        else:
            self._enqueue_at_discovery(ingress, poll)

    def _enqueue_at_discovery(self, ingress: RestartedIngress, poll: int) -> None:
        wave = self._wave
        now = self._events.now
        # No poll is rejected during the outage, and its waiting time counts from the outage's end.
        arrives_at = max(now, wave.outage_ms)
        waiting_time = 0.0 if now < wave.outage_ms else max(0.0, self._discovery_free_at - now)
        if waiting_time > wave.queue_limit * wave.service_time_ms:
            self._events.schedule(ROUND_TRIP_MS, self._on_poll_failed, ingress, poll)
            return
        served_at = max(now, self._discovery_free_at) + wave.service_time_ms
        self._discovery_free_at = served_at
        if served_at - arrives_at <= wave.queue_timeout_ms:
            self._events.schedule_at(
                served_at + ROUND_TRIP_MS, self._on_list_received, ingress, poll
            )
        elif not wave.drops_timed_out_polls:
            fails_at = arrives_at + wave.queue_timeout_ms
            self._events.schedule_at(fails_at, self._on_poll_failed, ingress, poll)

    # Responses at an ingress

    def _on_list_received(self, ingress: RestartedIngress, poll: int) -> None:
        if poll == ingress.open_poll:
            ingress.open_poll = None
            ingress.backoff.reset()
            ingress.listed_at_ms = self._events.now
            ingress.ready_at_ms = min(ingress.ready_at_ms, self._events.now)

    def _on_poll_failed(self, ingress: RestartedIngress, poll: int) -> None:
        if poll == ingress.open_poll:
            ingress.open_poll = None
            self._back_off(ingress, MAX_WAIT_MS)

    def _on_response_timeout(self, ingress: RestartedIngress, poll: int) -> None:
        if poll == ingress.open_poll:
            self._back_off(ingress, MAX_WAIT_MS - self._response_timeout)

    def _back_off(self, ingress: RestartedIngress, max_delay: float) -> None:
        # In this model discovery accepts connections even during its outage. The discovery watch
        # treats connections without responses as an overload, with an unlimited backoff.
        is_overloaded = self._events.now - ingress.first_poll_at_ms > OVERLOAD_AFTER_MS
        delay = ingress.backoff.retry_delay(inf if is_overloaded else max_delay)
        ingress.backoff_ms += delay
        self._events.schedule(delay, self._on_backoff_over, ingress, ingress.open_poll)

    def _on_backoff_over(self, ingress: RestartedIngress, open_poll: int | None) -> None:
        """Poll again unless the poll that stayed open during the backoff has been answered."""
        if ingress.open_poll == open_poll and ingress.listed_at_ms == inf:
            self._poll(ingress)


def run_waves(seeds: range, wave: RestartWave) -> list[WaveResult]:
    """Run a restart wave with each seed."""
    return [RestartWaveSimulation(seed, wave).run() for seed in seeds]
