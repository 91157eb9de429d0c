"""Sends arrivals when they are due, whatever became of those before: an open-loop load generator.

It speaks RESP2 as clients do. A request is sent by an idle connection, or by a new one up to a
bound; beyond that it waits for a connection while its latency runs on. A client gives up at its
deadline and closes the connection. Times are in seconds.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import hiredis

from dockthread.clock import MILLISECONDS
from dockthread.lab.arrivals import Arrival
from dockthread.lab.load_result import LoadResult, RequestOutcome

# What the parser returns until a reply is complete.
INCOMPLETE: Final = object()
# Seconds after the last deadline in which responses that are on their way may still come.
RESPONSE_ALLOWANCE: Final = 0.5
# Seconds before a start for which waiting on the event loop is no longer worth it.
MIN_SLEEP: Final = 0.0005
# Seconds between two looks at whether the last responses have come.
DRAIN_POLL_INTERVAL: Final = 0.005
# Requests after which progress is reported and the event loop gets its turn.
PROGRESS_INTERVAL: Final = 64


@dataclass(frozen=True, slots=True)
class LoadTarget:
    """Where a load goes.

    Attributes:
        host: the address to connect to.
        port: its port.
        deadlines: seconds until a client gives up, by request class.
        write_classes: request classes that are sent by `API.WRITE`.
        max_connections: connections that may be open at once.
    """

    host: str
    port: int
    deadlines: dict[str, float]
    write_classes: frozenset[str]
    max_connections: int = 1000


@dataclass(frozen=True, slots=True)
class PendingArrival:
    """A request that has to be sent, and when it was due by `time.perf_counter`."""

    arrival: Arrival
    due: float


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A request that was sent, and the timer of its deadline."""

    pending: PendingArrival
    deadline_timer: asyncio.TimerHandle


class ClientConnection(asyncio.Protocol):
    """One connection, with one request at a time, so that a deadline closes only its own request.

    Attributes:
        transport: asyncio's transport, from `connection_made` on.
    """

    transport: asyncio.Transport

    def __init__(
        self,
        on_response: Callable[[ClientConnection, object], None],
        on_lost: Callable[[ClientConnection], None],
    ) -> None:
        self._on_response = on_response
        self._on_lost = on_lost
        self._reader = hiredis.Reader(notEnoughData=INCOMPLETE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport  # type: ignore[assignment]  # uvloop has a class of its own

    def data_received(self, data: bytes) -> None:
        """Pass on a complete reply; bytes that cannot be parsed end the connection."""
        self._reader.feed(data)
        try:
            response = self._reader.gets()
        except hiredis.ProtocolError:
            self.transport.abort()
            return
        if response is not INCOMPLETE:
            self._on_response(self, response)

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002  asyncio's interface
        """Report the end of the connection."""
        self._on_lost(self)


def classify_response(response: object) -> RequestOutcome:
    """Return what a response means by the protocol."""
    if isinstance(response, hiredis.ReplyError):
        is_rejected = str(response).split(" ")[0] == "BUSY"
        return RequestOutcome.REJECTED if is_rejected else RequestOutcome.FAILED
    if isinstance(response, list):
        response = response[0] if response else None
    return RequestOutcome.SERVED if isinstance(response, bytes) else RequestOutcome.FAILED


def encode_request(arrival: Arrival, target: LoadTarget, request_id: int) -> bytes:
    """Encode a request as clients do."""
    verb = b"API.WRITE" if arrival.request_class in target.write_classes else b"API.READ"
    deadline_ms = target.deadlines[arrival.request_class] * MILLISECONDS
    terms = (
        f"c={arrival.request_class},t={arrival.plan},d={deadline_ms:.0f},units={arrival.units}"
        f",spread={arrival.spread},first={arrival.first_ingress}"
    )
    args = (verb, b"%016x" % arrival.customer, b"%016x" % request_id, terms.encode())
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(arg), arg) for arg in args)


class LoadGenerator:
    """Sends one load to one target."""

    def __init__(
        self,
        target: LoadTarget,
        request_id_base: int,
        request_id_step: int = 1,
        on_progress: Callable[[int], None] | None = None,
    ) -> None:
        """Prepare a load; call it in a running event loop.

        Args:
            target: where it goes.
            request_id_base: the number of the first request, less one step.
            request_id_step: what each request's number grows by, so that processes never share one.
            on_progress: is called now and then with the number of requests that were started.
        """
        self._target = target
        self._request_id = request_id_base
        self._request_id_step = request_id_step
        self._on_progress = on_progress or (lambda _request_count: None)
        self._loop = asyncio.get_running_loop()
        self._result = LoadResult()
        self._idle: list[ClientConnection] = []
        self._open: set[ClientConnection] = set()
        self._opening_count = 0
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._waiting: deque[PendingArrival] = deque()
        self._in_flight: dict[ClientConnection, InFlightRequest] = {}

    async def run(self, arrivals: Iterable[Arrival]) -> LoadResult:
        """Send all requests in their time, wait for the last responses and return the result."""
        begun_at = time.perf_counter()
        cpu_at_begin = time.process_time()
        last_deadline = await self._send_all(arrivals, begun_at)
        await self._drain(last_deadline + RESPONSE_ALLOWANCE)
        self._result.seconds = time.perf_counter() - begun_at
        self._result.cpu_seconds = time.process_time() - cpu_at_begin
        self._on_progress(self._result.request_count)
        return self._result

    async def _send_all(self, arrivals: Iterable[Arrival], begun_at: float) -> float:
        """Start each request in its time and return the latest deadline of all."""
        last_deadline = 0.0
        for arrival in arrivals:
            due = begun_at + arrival.at
            while (remaining := due - time.perf_counter()) > MIN_SLEEP:  # noqa: ASYNC110  a sleep may end early
                await asyncio.sleep(remaining)
            self._result.record_start(time.perf_counter() - due)
            last_deadline = max(last_deadline, due + self._deadline_of(arrival))
            self._start(PendingArrival(arrival, due))
            if self._result.request_count % PROGRESS_INTERVAL == 0:
                self._on_progress(self._result.request_count)
                await asyncio.sleep(0)
        return last_deadline

    async def _drain(self, until: float) -> None:
        """Wait for the last responses, then close all connections."""
        while (self._in_flight or self._waiting) and time.perf_counter() < until:  # noqa: ASYNC110  it ends by time, too
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        for connection in list(self._open):
            connection.transport.abort()
        await asyncio.sleep(0)
        for pending in self._waiting:
            self._result.record_outcome(pending.arrival.request_class, RequestOutcome.LATE)

    def _deadline_of(self, arrival: Arrival) -> float:
        return self._target.deadlines[arrival.request_class]

    def _start(self, pending: PendingArrival) -> None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.transport.is_closing():
                self._send(connection, pending)
                return
        self._waiting.append(pending)
        if len(self._open) + self._opening_count < self._target.max_connections:
            self._opening_count += 1
            task = self._loop.create_task(self._connect())
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)

    async def _connect(self) -> None:
        try:
            _, connection = await self._loop.create_connection(
                lambda: ClientConnection(self._on_response, self._on_lost),
                self._target.host,
                self._target.port,
            )
        except OSError:
            self._opening_count -= 1
            if self._waiting:
                pending = self._waiting.popleft()
                self._result.record_outcome(pending.arrival.request_class, RequestOutcome.UNSENT)
            return
        self._opening_count -= 1
        self._open.add(connection)
        self._result.connection_count += 1
        self._send_next(connection)

    def _send_next(self, connection: ClientConnection) -> None:
        """Send the request that has waited longest and is not past its deadline, if there is one."""
        now = time.perf_counter()
        while self._waiting:
            pending = self._waiting.popleft()
            if now - pending.due < self._deadline_of(pending.arrival):
                self._send(connection, pending)
                return
            self._result.record_outcome(pending.arrival.request_class, RequestOutcome.LATE)
        self._idle.append(connection)

    def _send(self, connection: ClientConnection, pending: PendingArrival) -> None:
        self._request_id += self._request_id_step
        deadline = pending.due + self._deadline_of(pending.arrival)
        remaining = max(0.0, deadline - time.perf_counter())
        timer = self._loop.call_later(remaining, self._on_deadline, connection)
        self._in_flight[connection] = InFlightRequest(pending, timer)
        connection.transport.write(encode_request(pending.arrival, self._target, self._request_id))

    def _end(
        self, connection: ClientConnection, outcome: RequestOutcome, latency: float | None = None
    ) -> None:
        """Count the connection's request, if it has one in flight, as ended."""
        request = self._in_flight.pop(connection, None)
        if request is not None:
            request.deadline_timer.cancel()
            request_class = request.pending.arrival.request_class
            self._result.record_outcome(request_class, outcome, latency)

    def _on_response(self, connection: ClientConnection, response: object) -> None:
        request = self._in_flight.get(connection)
        if request is None:
            return  # its client has given up
        latency = time.perf_counter() - request.pending.due
        self._end(connection, classify_response(response), latency)
        self._send_next(connection)

    def _on_deadline(self, connection: ClientConnection) -> None:
        if connection in self._in_flight:
            self._end(connection, RequestOutcome.LATE)
            connection.transport.abort()

    def _on_lost(self, connection: ClientConnection) -> None:
        self._open.discard(connection)
        self._end(connection, RequestOutcome.LOST)
