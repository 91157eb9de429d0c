"""The discovery watch, a long-lived HTTP request that keeps the endpoint list current.

Theory of operation. The ingress is assumed to know a change `NOTIFICATION_BOUND_MS` after discovery
had it and was reachable, no matter how earlier attempts ended. A watch that has fallen silent is
replaced within the same time after its last bytes. Therefore no delay and no unanswered attempt
lasts longer than `MAX_WAIT_MS`, which leaves `ANSWER_ALLOWANCE_MS` for the attempt that delivers
the change. Delays are drawn from the full range up to `MAX_WAIT_MS`.

An attempt that gets no answer is kept open during the delay before the next attempt, and cancelled
when that delay ends. Cancelling it earlier would only waste the work done for it: a service that
answers callers one after another would never answer any of them if each gave up before its turn.

If ingresses poll, one discovery service serves all of them, so the delays grow with the number of
ingresses, up to `MAX_WAIT_MS` (dockthread/policy/backoff.py). A service that accepts connections
but has not answered for `OVERLOAD_AFTER_MS` is overloaded and keeps working on attempts that were
already cancelled. If every caller retried within `MAX_WAIT_MS`, it would never recover, so from
then on the delays may exceed `MAX_WAIT_MS`. An unreachable service is still called within
`MAX_WAIT_MS`, since this puts no load on it.

If lists are pushed, an agent on this machine answers every attempt immediately and at no cost with
the list that it has received. Whatever the agent has received counts as known to this ingress from
the start of the process, even without a watch. Therefore no delay is longer than half of the drain
grace period. The first attempt starts immediately, and the cached list of the configuration is not
used until that attempt is answered or half of the drain grace period has passed.
"""

from __future__ import annotations

import asyncio
import enum
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.net.endpoint_list import EndpointList
from dockthread.net.endpoint_list_codec import DiscoveryError
from dockthread.net.watch_response_parser import WatchResponseParser
from dockthread.observer import Observer
from dockthread.policy import EndpointsListed, PolicySettings
from dockthread.policy.backoff import Backoff

# Maximum time until a change is known, from the time when discovery had it and was reachable, or
# from the last bytes of a watch that fell silent.
NOTIFICATION_BOUND_MS = 6_000.0
# Part of that bound reserved for the attempt that delivers the change: periodic maintenance has to
# start it, and discovery has to answer it.
ANSWER_ALLOWANCE_MS = 1_000.0
# Maximum duration of a delay, or of an attempt without an answer.
MAX_WAIT_MS = NOTIFICATION_BOUND_MS - ANSWER_ALLOWANCE_MS
# Maximum time between two reads from a watch; discovery sends a heartbeat every 2 s.
SILENCE_TIMEOUT_MS = 3_500.0
# Maximum time for an incomplete object to become complete or to gain one more list entry.
PROGRESS_TIMEOUT_MS = 4_000.0
# Maximum time until the first bytes of a body if ingresses poll. It is longer than the silence
# timeout because the attempt may be queued behind those of other ingresses.
FIRST_ANSWER_TIMEOUT_MS = 4_500.0
# Maximum delay after a watch that ended within an object.
MAX_RECONNECT_DELAY_MS = MAX_WAIT_MS - PROGRESS_TIMEOUT_MS
# Lower limit of the maximum delay between attempts at a local agent, in case it rejects them.
MIN_BACKOFF_LIMIT_MS = 100.0
# Time without any answer after which a reachable service is considered overloaded.
OVERLOAD_AFTER_MS = 20_000.0

RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_EVENT_TEXT_CHARS = 60  # Maximum length of an error's text in the observer's events.


class AttemptState(enum.Enum):
    """Progress of a watch attempt; the states follow one another in this order."""

    CONNECTING = enum.auto()
    CONNECTED = enum.auto()  # no part of the body has arrived, but the head may have
    STREAMING = enum.auto()  # a part of the body has arrived


@dataclass(slots=True)
class WatchAttempt:
    """One attempt to open a watch, and the watch itself; times in ms on the ingress's clock."""

    started_ms: float
    last_received_ms: float
    last_progress_ms: float  # last time when no object was incomplete or another entry was read
    state: AttemptState = AttemptState.CONNECTING
    is_address_outdated: bool = False
    task: asyncio.Task[None] | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether the watch is established."""
        return self.state is AttemptState.STREAMING


class DiscoveryWatch:
    """Keeps a watch on discovery open, and opens a new one when it ends or falls silent.

    `on_endpoints` is called with each event for the policy engine.
    """

    def __init__(  # noqa: PLR0913 - created only by `Ingress`, which passes its components
        self,
        address: Address,
        endpoints: EndpointList,
        clock: Clock,
        on_endpoints: Callable[[EndpointsListed], None],
        settings: PolicySettings,
        seed: int,
    ) -> None:
        self._address = address
        self._endpoints = endpoints
        self._clock = clock
        self._on_endpoints = on_endpoints
        self._is_pushed = not settings.must_poll_endpoints
        self._half_drain_grace_ms = settings.safety.drain_grace * 1000.0 / 2
        self._first_answer_timeout_ms = (
            SILENCE_TIMEOUT_MS if self._is_pushed else FIRST_ANSWER_TIMEOUT_MS
        )
        max_delay = inf
        if self._is_pushed:
            max_delay = min(MAX_WAIT_MS, max(self._half_drain_grace_ms, MIN_BACKOFF_LIMIT_MS))
        self._backoff = Backoff(
            random.Random(seed),
            settings.ingress_count,
            min(self._half_drain_grace_ms, MAX_RECONNECT_DELAY_MS),
            max_delay,
        )
        # The list from the configuration, held back while a newer one from discovery is expected.
        self._held_back_list: EndpointsListed | None = None
        self._call_at: Callable[..., None] = lambda _due_ms, _callback: None
        self._attempt = self._new_attempt()
        self._delay_ended = asyncio.Event()
        self._failures = 0  # attempts that ended since a list was last received
        self._failing_since_ms = clock.now()
        # When an overdue attempt without an answer is cancelled; 0 while no attempt is overdue.
        self._give_up_at_ms = 0.0
        self.observer = Observer()

    def start(self, cached_list: Any, call_at: Callable[..., None]) -> None:
        """Start from the list in the configuration; `call_at` schedules callbacks.

        Raises:
            DiscoveryError: The list is malformed.
        """
        self._call_at = call_at
        self._held_back_list = self._endpoints.apply(cached_list, cached=True)
        if self._is_pushed and self._half_drain_grace_ms:
            call_at(self._clock.now() + self._half_drain_grace_ms, self._release_cached_list)
        else:
            self._release_cached_list()

    @property
    def has_list(self) -> bool:
        """Whether there is a complete endpoint list, so that requests can be served."""
        return (
            self._held_back_list is None
            and bool(self._endpoints.by_number)
            and not self._endpoints.is_partial
        )

    def _release_cached_list(self) -> None:
        cached, self._held_back_list = self._held_back_list, None
        if cached is not None:
            self._on_endpoints(cached)

    def change_address(self, address: Address) -> None:
        """Switch to another address immediately, because the old one may soon stop answering."""
        if address == self._address:
            return
        self._address = address
        self._attempt.is_address_outdated = True
        self._delay_ended.set()
        if self._attempt.task is not None:
            self._attempt.task.cancel()

    async def run(self) -> None:
        """Open one watch after another until cancelled."""
        if self._endpoints.by_number and not self._is_pushed:
            # Requests are served by the cached list during this delay.
            await self._delay(self._backoff.initial_delay())
        while True:
            self._attempt = attempt = self._new_attempt()
            self.observer.event("watch", after=self._endpoints.revision)
            attempt.task = asyncio.create_task(self._watch(attempt))
            (failure,) = await asyncio.gather(attempt.task, return_exceptions=True)
            has_delay_passed = self._give_up_at_ms > 0
            self._give_up_at_ms = 0.0
            if attempt.is_address_outdated:
                self._failing_since_ms = self._clock.now()
                continue
            self._on_attempt_ended(failure)
            if has_delay_passed:
                continue
            if attempt.is_streaming:
                await self._delay(self._backoff.initial_delay())
            else:
                await self._delay(self._retry_delay(MAX_WAIT_MS))

    def enforce_timeouts(self) -> None:
        """Cancel a watch that has fallen silent, or that makes no progress within an object.

        TCP does not report that the remote machine has disappeared. An attempt without an answer
        stays open during the delay before the next attempt.
        """
        attempt = self._attempt
        now = self._clock.now()
        if attempt.is_streaming:
            is_overdue = (
                now - attempt.last_received_ms > SILENCE_TIMEOUT_MS
                or now - attempt.last_progress_ms > PROGRESS_TIMEOUT_MS
            )
        else:
            is_overdue = now - attempt.started_ms > self._first_answer_timeout_ms
        if attempt.task is None or not is_overdue:
            return
        if not attempt.is_streaming and not self._give_up_at_ms:
            remaining_ms = attempt.started_ms + MAX_WAIT_MS - now
            self._give_up_at_ms = now + self._retry_delay(remaining_ms)
        if now >= self._give_up_at_ms:
            attempt.task.cancel()

    def _new_attempt(self) -> WatchAttempt:
        now = self._clock.now()
        return WatchAttempt(now, now, now)

    def _on_attempt_ended(self, failure: BaseException | None) -> None:
        self._failures += 1
        text = str(failure).replace(" ", "_")[:MAX_EVENT_TEXT_CHARS]
        self.observer.event("watch-end", why=type(failure).__name__, text=text)
        # Only the first failed attempt in a row logs a warning.
        log = logger.warning if self._failures == 1 else logger.debug
        log("discovery watch ended: {!r}; list at revision {}", failure, self._endpoints.revision)

    async def _delay(self, delay_ms: float) -> None:
        """Wait for `delay_ms`; stop if the address changes, as the delay applies to the old one."""
        delay_ended = self._delay_ended = asyncio.Event()
        self._call_at(self._clock.now() + delay_ms, delay_ended.set)
        await delay_ended.wait()

    def _retry_delay(self, max_delay_ms: float) -> float:
        """Draw the delay after a failed attempt; `max_delay_ms` does not apply during overload."""
        is_overloaded = (
            self._attempt.state is not AttemptState.CONNECTING
            and self._clock.now() - self._failing_since_ms > OVERLOAD_AFTER_MS
        )
        return self._backoff.retry_delay(inf if is_overloaded else max_delay_ms)

    async def _watch(self, attempt: WatchAttempt) -> None:
        loop = asyncio.get_running_loop()
        with self._address.new_socket() as sock:
            await loop.sock_connect(sock, (self._address.host, self._address.port))
            attempt.state = AttemptState.CONNECTED
            path = f"/discovery/hosts?watch=1&after={self._endpoints.revision}"
            head = (
                f"GET {path} HTTP/1.1\r\nHost: {self._address}\r\nAccept: application/json\r\n\r\n"
            )
            await loop.sock_sendall(sock, head.encode())
            await self._receive(attempt, sock)

    async def _receive(self, attempt: WatchAttempt, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        parser = WatchResponseParser(self._endpoints.codec.decode_endpoint)
        buffer = bytearray(RECEIVE_BUFFER_BYTES)
        entries_read = 0
        while not parser.is_complete:
            size = await loop.sock_recv_into(sock, buffer)
            if not size:
                raise DiscoveryError("discovery closed the connection")
            attempt.last_received_ms = self._clock.now()
            if parser.has_body:
                self._failing_since_ms = attempt.last_received_ms
            for message in parser.feed(memoryview(buffer)[:size]):
                await self._apply(attempt, message)
            if parser.has_body and not attempt.is_streaming:
                attempt.state = AttemptState.STREAMING
                self._give_up_at_ms = 0.0
                self._backoff.reset()
            if not parser.is_inside_object or parser.entries_read > entries_read:
                attempt.last_progress_ms = attempt.last_received_ms
                entries_read = parser.entries_read
            if parser.is_inside_object:
                await asyncio.sleep(0)  # let other tasks run between the reads of a long list

    async def _apply(self, attempt: WatchAttempt, message: Any) -> None:
        for event in self._endpoints.apply_in_parts(message):
            self._release_cached_list()
            self._on_endpoints(event)
            # Let other tasks serve requests between the parts of a long list.
            await asyncio.sleep(0)
            attempt.last_received_ms = self._clock.now()
            attempt.last_progress_ms = attempt.last_received_ms
        size = len(message["targets"])
        self.observer.event("list", all=message.get("all"), size=size, rev=message["rev"])
        if self._failures:
            logger.info("discovery watch restored at revision {}", self._endpoints.revision)
            self._failures = 0
