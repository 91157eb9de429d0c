"""The watch on discovery that keeps the endpoint list current.

Theory of operation. Whatever became of an attempt, a change counts as received
`NOTIFICATION_BOUND_MS` after discovery had it and could be reached, and a watch that has fallen
silent is replaced within the same time after its last bytes. So no delay and no unanswered attempt
lasts longer than `MAX_WAIT_MS`, which leaves `ANSWER_ALLOWANCE_MS` for the attempt that brings the
change, and delays are drawn from all of it. An attempt that was never answered stays open through
the delay that would follow it, and the next one starts at its end: giving it up early would be work
for nothing, and a service that answers in turn would answer nobody once that takes longer than all
callers wait.

Where ingresses poll, discovery is one service for all of them: the delays grow with their number,
up to `MAX_WAIT_MS` (dockthread/policy/backoff.py). A service that accepts connections and has
answered nothing for `OVERLOAD_AFTER_MS` works on attempts that were given up: as long as all come
back within `MAX_WAIT_MS` it would never answer anybody, so from then on the delays grow beyond it.
One that cannot be reached is called within `MAX_WAIT_MS`: that costs nobody anything.

Where lists are pushed, an agent on this machine answers each attempt at once and at no cost with
what it has received, and that counts as received by this ingress, watch or not, from the first
moment of a process. So no delay there is longer than half of the drain grace: the first attempt
starts at once, and until it is answered, or that time is over, nothing is sent by the cached list
of the configuration.
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

# After discovery had a change and could be reached, or a watch fell silent, changes are known.
NOTIFICATION_BOUND_MS = 6_000.0
# Of it, for the attempt that brings the change: found due by periodic maintenance, made, answered.
ANSWER_ALLOWANCE_MS = 1_000.0
# For a delay, or for an attempt without an answer.
MAX_WAIT_MS = NOTIFICATION_BOUND_MS - ANSWER_ALLOWANCE_MS
# Between two parts of a watch; discovery sends a heartbeat every 2 s.
SILENCE_TIMEOUT_MS = 3_500.0
# For the rest of an object that has begun, or for one more entry of a long list.
PROGRESS_TIMEOUT_MS = 4_000.0
# For the first part of a body where ingresses poll: the attempt may wait behind those of others.
FIRST_ANSWER_TIMEOUT_MS = 4_500.0
# For the delay after a watch that did not come to the end of an object.
MAX_RECONNECT_DELAY_MS = MAX_WAIT_MS - PROGRESS_TIMEOUT_MS
# The least bound on delays between attempts at an agent that rejects them.
MIN_BACKOFF_LIMIT_MS = 100.0
# Without any answer from a service that can be reached: it has more callers than it can answer.
OVERLOAD_AFTER_MS = 20_000.0

RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_EVENT_TEXT_CHARS = 60  # of an error's text in the observer's events


class AttemptState(enum.Enum):
    """How far an attempt has come; each state is entered from the one before it."""

    CONNECTING = enum.auto()
    CONNECTED = enum.auto()  # the head of a response alone is no answer
    STREAMING = enum.auto()  # a part of the body has arrived


@dataclass(slots=True)
class WatchAttempt:
    """One request for a watch; times in ms on the ingress's clock."""

    started_ms: float
    last_received_ms: float
    last_progress_ms: float  # when no object was left incomplete, or one more entry was read
    state: AttemptState = AttemptState.CONNECTING
    is_address_outdated: bool = False
    task: asyncio.Task[None] | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether the watch is established."""
        return self.state is AttemptState.STREAMING


class DiscoveryWatch:
    """Holds a watch on discovery, and starts another whenever one ends or falls silent.

    `on_endpoints` is called with each event for the policy.
    """

    def __init__(  # noqa: PLR0913 - only an ingress makes one, of parts that it holds
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
        # The configuration's list, while discovery may answer with a newer one at once.
        self._cached: EndpointsListed | None = None
        self._call_at: Callable[..., None] = lambda _due, _then: None
        self._attempt = self._new_attempt()
        self._delay_over = asyncio.Event()
        self._failures = 0  # attempts in a row that ended
        self._failing_since_ms = clock.now()
        # When an attempt without an answer is given up, once its time is over; 0 before. It is kept
        # over the start of the next attempt.
        self._give_up_at_ms = 0.0
        self.observer = Observer()

    def start(self, cached_list: Any, call_at: Callable[..., None]) -> None:
        """Start from the configuration's list; `call_at` sets the timers of what comes later.

        Raises:
            DiscoveryError: The list is malformed.
        """
        self._call_at = call_at
        self._cached = self._endpoints.apply(cached_list, cached=True)
        if self._is_pushed and self._half_drain_grace_ms:
            call_at(self._clock.now() + self._half_drain_grace_ms, self._use_cached)
        else:
            self._use_cached()

    @property
    def has_list(self) -> bool:
        """Whether there is a list by which requests can be served."""
        return (
            self._cached is None
            and bool(self._endpoints.by_number)
            and not self._endpoints.is_partial
        )

    def _use_cached(self) -> None:
        cached, self._cached = self._cached, None
        if cached is not None:
            self._on_endpoints(cached)

    def change_address(self, address: Address) -> None:
        """Watch discovery at another address, and at once: the old one may soon fall silent."""
        if address == self._address:
            return
        self._address = address
        self._attempt.is_address_outdated = True
        self._delay_over.set()
        if self._attempt.task is not None:
            self._attempt.task.cancel()

    async def run(self) -> None:
        """Hold one watch after another until cancelled."""
        if self._endpoints.by_number and not self._is_pushed:
            # The cached list serves meanwhile.
            await self._delay(self._backoff.initial_delay())
        while True:
            self._attempt = attempt = self._new_attempt()
            self.observer.event("watch", after=self._endpoints.revision)
            attempt.task = asyncio.create_task(self._watch(attempt))
            (failure,) = await asyncio.gather(attempt.task, return_exceptions=True)
            is_delay_over = self._give_up_at_ms > 0
            self._give_up_at_ms = 0.0
            if attempt.is_address_outdated:
                self._failing_since_ms = self._clock.now()
                continue
            self._on_attempt_ended(failure)
            if is_delay_over:
                continue
            if attempt.is_streaming:
                await self._delay(self._backoff.initial_delay())
            else:
                await self._delay(self._retry_delay(MAX_WAIT_MS))

    def enforce_timeouts(self) -> None:
        """End a watch that has fallen silent, or does not come to the end of an object.

        Its machine may have vanished, of which TCP gives no notice. An attempt that was never
        answered stays open for the delay that would follow it.
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
            wait = attempt.started_ms + MAX_WAIT_MS - now
            self._give_up_at_ms = now + self._retry_delay(wait)
        if now >= self._give_up_at_ms:
            attempt.task.cancel()

    def _new_attempt(self) -> WatchAttempt:
        now = self._clock.now()
        return WatchAttempt(now, now, now)

    def _on_attempt_ended(self, failure: BaseException | None) -> None:
        self._failures += 1
        text = str(failure).replace(" ", "_")[:MAX_EVENT_TEXT_CHARS]
        self.observer.event("watch-end", why=type(failure).__name__, text=text)
        # One warning for each loss of discovery, not one for each attempt.
        log = logger.warning if self._failures == 1 else logger.debug
        log(
            "watch on discovery ended: {!r}; list at revision {}", failure, self._endpoints.revision
        )

    async def _delay(self, delay_ms: float) -> None:
        """Wait; cut short by a change of the address, as the old one says nothing of the new."""
        over = self._delay_over = asyncio.Event()
        self._call_at(self._clock.now() + delay_ms, over.set)
        await over.wait()

    def _retry_delay(self, max_delay_ms: float) -> float:
        """Draw the delay after a failed attempt, unbounded where discovery is overloaded."""
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
                await asyncio.sleep(0)  # the rest of a long list may have arrived already

    async def _apply(self, attempt: WatchAttempt, message: Any) -> None:
        for event in self._endpoints.apply_in_parts(message):
            self._use_cached()
            self._on_endpoints(event)
            # Requests are answered between the parts of a long list, which may take a while.
            await asyncio.sleep(0)
            attempt.last_received_ms = self._clock.now()
            attempt.last_progress_ms = attempt.last_received_ms
        size = len(message["targets"])
        self.observer.event("list", all=message.get("all"), size=size, rev=message["rev"])
        if self._failures:
            logger.info("watch on discovery is back at {}", self._endpoints.revision)
            self._failures = 0
