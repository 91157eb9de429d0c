"""Simulates a wave of restarted ingresses before one discovery service: when each is ready.

The program's own `policy/backoff.py` and the times of `net/discovery_watch.py` are used; the rest
of the watch is modelled here. An ingress is ready once it has an endpoint list. Where lists are
pushed, the list that its configuration holds counts after half the drain grace; where they are
polled for, at once. A failed poll is followed by a backoff; one that gets no response stays open
through the backoff that would follow it.

Discovery works on one poll after another, `service_time_ms` each, also on those whose caller has
left. It rejects a poll at once when `queue_limit` others wait. A poll that has waited for
`queue_timeout_ms` fails, or gets no response if discovery `is_silent`. Where lists are pushed, each
ingress polls an agent of its own, which responds at once, and not at all during the outage.

Times are in milliseconds from the restart.
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

# ms from an ingress to discovery and back.
ROUND_TRIP_MS: Final = 2.0
# ms that a run lasts.
END_MS: Final = 60_000.0


@dataclass(frozen=True, slots=True)
class RestartWave:
    """What is restarted, and how discovery behaves.

    Attributes:
        fleet_size: ingresses of the fleet.
        restarted_count: those that restart, all at once.
        is_list_pushed: each ingress has an agent that pushes its list; else all poll one service.
        has_known_list: the ingresses' configuration holds a list.
        outage_ms: how long discovery cannot be reached at first.
        service_time_ms: how long discovery works on a poll.
        queue_timeout_ms: how long a poll waits for discovery at most.
        queue_limit: polls that may wait; discovery rejects further ones.
        is_silent: polls that waited too long get no response.
        drain_grace_ms: the setting of this name.
    """

    fleet_size: int = 200
    restarted_count: int = 200
    is_list_pushed: bool = False
    has_known_list: bool = True
    outage_ms: float = 0.0
    service_time_ms: float = 130.0
    queue_timeout_ms: float = 2_000.0
    queue_limit: int = 24
    is_silent: bool = False
    drain_grace_ms: float = 1_000.0


@dataclass(slots=True)
class RestartedIngress:
    """One ingress of the wave.

    Attributes:
        backoff: the delays between its polls.
        ready_at_ms: when it was ready.
        listed_at_ms: when it had the present list.
        poll_count: polls that it began.
        first_poll_at_ms: when it began the first.
        backoff_ms: the sum of its backoffs.
        open_poll: the number of the poll that is in flight.
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
    """What one seed gave: the ingresses, and how often they polled together."""

    ingresses: list[RestartedIngress]
    poll_count: int

    def ready_within(self, limit_ms: float) -> float:
        """Return the fraction of the ingresses that were ready by then."""
        ready_count = sum(ingress.ready_at_ms <= limit_ms for ingress in self.ingresses)
        return ready_count / len(self.ingresses)

    def listed_within(self, limit_ms: float) -> float:
        """Return the fraction of the ingresses that had the present list by then."""
        listed_count = sum(ingress.listed_at_ms <= limit_ms for ingress in self.ingresses)
        return listed_count / len(self.ingresses)


class RestartWaveSimulation:
    """One run of a wave; the same seed gives the same run."""

    def __init__(
        self, seed: int, wave: RestartWave, backoff_class: type[Backoff] = Backoff
    ) -> None:
        self._wave = wave
        self._events = EventQueue()
        self._poll_count = 0
        self._discovery_free_at = wave.outage_ms  # when it is done with all polls that it took
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

    def play(self) -> WaveResult:
        """Run to the end and return what it gave."""
        for ingress in self._ingresses:
            self._start(ingress)
        self._events.run_until(END_MS)
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
        # In the outage nothing rejects a poll, and the time that it waits counts from the end on.
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
        elif not wave.is_silent:
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
        # Discovery accepts connections here, also in its outage, which the watch takes for overload.
        is_overloaded = self._events.now - ingress.first_poll_at_ms > OVERLOAD_AFTER_MS
        delay = ingress.backoff.retry_delay(inf if is_overloaded else max_delay)
        ingress.backoff_ms += delay
        self._events.schedule(delay, self._on_backoff_over, ingress, ingress.open_poll)

    def _on_backoff_over(self, ingress: RestartedIngress, open_poll: int | None) -> None:
        """Poll again, unless a poll that stayed open through the backoff was answered meanwhile."""
        if ingress.open_poll == open_poll and ingress.listed_at_ms == inf:
            self._poll(ingress)


def play_waves(seeds: range, wave: RestartWave) -> list[WaveResult]:
    """Run a wave with each of these seeds."""
    return [RestartWaveSimulation(seed, wave).play() for seed in seeds]
