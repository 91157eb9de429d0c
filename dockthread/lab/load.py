"""An open-loop load generator: sends each request when it is due, even if earlier ones are open.

It uses RESP2 as clients do. A request is sent on an idle connection or, up to a maximum number of
connections, on a new one; otherwise it waits for a connection, and the waiting time counts in its
latency. A client gives up at its deadline and closes the connection. Times are in seconds.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import hiredis

from dockthread.clock import MS_PER_S
from dockthread.lab.arrivals import Arrival
from dockthread.lab.load_result import LoadResult, RequestOutcome

# Value that the parser returns while a reply is incomplete.
INCOMPLETE: Final = object()
# Seconds after the last deadline for which the generator still waits for responses.
RESPONSE_GRACE_S: Final = 0.5
# Minimum remaining time, in seconds, for which the generator sleeps before it starts a request.
MIN_SLEEP_S: Final = 0.0005
# Seconds between two checks whether the last responses have arrived.
DRAIN_POLL_INTERVAL_S: Final = 0.005
# Number of requests after which the generator reports progress and yields to the event loop.
PROGRESS_INTERVAL: Final = 64


@dataclass(frozen=True, slots=True)
class LoadTarget:
    """The server to which a load is sent, and how clients send it.

    Attributes:
        host: the server's address.
        port: the server's port.
        deadlines: seconds after which a client gives up, by request class.
        write_classes: request classes that are sent with the command `API.WRITE`.
        max_connections: maximum number of open connections.
    """

    host: str
    port: int
    deadlines: dict[str, float]
    write_classes: frozenset[str]
    max_connections: int = 1000


@dataclass(frozen=True, slots=True)
class PendingArrival:
    """A request that has not been sent yet, and its due time by `time.perf_counter`."""

    arrival: Arrival
    due: float


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A request that was sent, and its deadline timer."""

    pending: PendingArrival
    deadline_timer: asyncio.TimerHandle


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    A request that reaches its deadline closes the connection, which then affects no other request.

    Attributes:
        transport: the asyncio transport, set by `connection_made`.
    """

    transport: asyncio.Transport

    def __init__(
        self,
        on_response: Callable[[ClientConnection, object], None],
        on_closed: Callable[[ClientConnection], None],
    ) -> None:
        self._on_response = on_response
        self._on_closed = on_closed
        self._reader = hiredis.Reader(notEnoughData=INCOMPLETE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]  # uvloop's transport class differs

    def data_received(self, data: bytes) -> None:
        """Report a complete reply; abort the connection if the data cannot be parsed."""
        self._reader.feed(data)
        try:
            response = self._reader.gets()
        except hiredis.ProtocolError:
            self.transport.abort()
            return
        if response is not INCOMPLETE:
            self._on_response(self, response)

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002  asyncio's interface
        """Report that the connection is closed."""
        self._on_closed(self)


def classify_response(response: object) -> RequestOutcome:
    """Return the outcome that a response represents in the protocol."""
    if isinstance(response, hiredis.ReplyError):
        is_rejected = str(response).split(" ")[0] == "BUSY"
        return RequestOutcome.REJECTED if is_rejected else RequestOutcome.FAILED
    if isinstance(response, list):
        response = response[0] if response else None
    return RequestOutcome.SERVED if isinstance(response, bytes) else RequestOutcome.FAILED


def encode_request(arrival: Arrival, target: LoadTarget, request_id: int) -> bytes:
    """Encode a request in RESP2 as clients do."""
    verb = b"API.WRITE" if arrival.request_class in target.write_classes else b"API.READ"
    deadline_ms = target.deadlines[arrival.request_class] * MS_PER_S
    parameters = (
        f"c={arrival.request_class},t={arrival.plan},d={deadline_ms:.0f},units={arrival.units}"
        f",spread={arrival.spread},first={arrival.first_ingress}"
    )
    args = (verb, b"%016x" % arrival.customer, b"%016x" % request_id, parameters.encode())
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
        """Prepare a load; must be called in a running event loop.

        Args:
            target: the server to which the load is sent.
            request_id_base: the id of the first request minus `request_id_step`.
            request_id_step: the difference between successive request ids; with the number of
                processes as step, no two processes use the same id.
            on_progress: called every `PROGRESS_INTERVAL` requests with the number of started requests.
        """
        self._target = target
        self._request_id = request_id_base
        self._request_id_step = request_id_step
        self._on_progress = on_progress or (lambda _request_count: None)
        self._loop = asyncio.get_running_loop()
        self._result = LoadResult()
        self._idle_connections: list[ClientConnection] = []
        self._open_connections: set[ClientConnection] = set()
        self._opening_count = 0
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._waiting_arrivals: deque[PendingArrival] = deque()
        self._requests_in_flight: dict[ClientConnection, InFlightRequest] = {}

    async def run(self, arrivals: Iterable[Arrival]) -> LoadResult:
        """Send all requests when they are due, wait for the last responses and return the result."""
        started_at = time.perf_counter()
        cpu_at_start = time.process_time()
        last_deadline = await self._send_all(arrivals, started_at)
        await self._drain(last_deadline + RESPONSE_GRACE_S)
        self._result.seconds = time.perf_counter() - started_at
        self._result.cpu_seconds = time.process_time() - cpu_at_start
        self._on_progress(self._result.request_count)
        return self._result

    async def _send_all(self, arrivals: Iterable[Arrival], started_at: float) -> float:
        """Start each request when it is due and return the latest deadline."""
        last_deadline = 0.0
        for arrival in arrivals:
            due = started_at + arrival.at
            while (remaining := due - time.perf_counter()) > MIN_SLEEP_S:  # noqa: ASYNC110  a sleep may end early
                await asyncio.sleep(remaining)
            self._result.record_start(time.perf_counter() - due)
            last_deadline = max(last_deadline, due + self._deadline_of(arrival))
            self._start_request(PendingArrival(arrival, due))
            if self._result.request_count % PROGRESS_INTERVAL == 0:
                self._on_progress(self._result.request_count)
                await asyncio.sleep(0)
        return last_deadline

    async def _drain(self, until: float) -> None:
        """Wait for the last responses, then close all connections."""
        while (self._requests_in_flight or self._waiting_arrivals) and time.perf_counter() < until:  # noqa: ASYNC110  the wait also has a time limit
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        for connection in list(self._open_connections):
            connection.transport.abort()
        await asyncio.sleep(0)
        for pending in self._waiting_arrivals:
            self._result.record_outcome(pending.arrival.request_class, RequestOutcome.LATE)

    def _deadline_of(self, arrival: Arrival) -> float:
        return self._target.deadlines[arrival.request_class]

    def _start_request(self, pending: PendingArrival) -> None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.transport.is_closing():
                self._send(connection, pending)
                return
        self._waiting_arrivals.append(pending)
        if len(self._open_connections) + self._opening_count < self._target.max_connections:
            self._opening_count += 1
            task = self._loop.create_task(self._connect())
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)

    async def _connect(self) -> None:
        try:
            _, connection = await self._loop.create_connection(
                lambda: ClientConnection(self._on_response, self._on_closed),
                self._target.host,
                self._target.port,
            )
        except OSError:
            self._opening_count -= 1
            if self._waiting_arrivals:
                pending = self._waiting_arrivals.popleft()
                self._result.record_outcome(pending.arrival.request_class, RequestOutcome.UNSENT)
            return
        self._opening_count -= 1
        self._open_connections.add(connection)
        self._result.connection_count += 1
        self._send_next(connection)

    def _send_next(self, connection: ClientConnection) -> None:
        """Send the longest-waiting request before its deadline, or mark the connection as idle."""
        now = time.perf_counter()
        while self._waiting_arrivals:
            pending = self._waiting_arrivals.popleft()
            if now - pending.due < self._deadline_of(pending.arrival):
                self._send(connection, pending)
                return
            self._result.record_outcome(pending.arrival.request_class, RequestOutcome.LATE)
        self._idle_connections.append(connection)

    def _send(self, connection: ClientConnection, pending: PendingArrival) -> None:
        self._request_id += self._request_id_step
        deadline = pending.due + self._deadline_of(pending.arrival)
        remaining = max(0.0, deadline - time.perf_counter())
        timer = self._loop.call_later(remaining, self._on_deadline, connection)
        self._requests_in_flight[connection] = InFlightRequest(pending, timer)
        connection.transport.write(encode_request(pending.arrival, self._target, self._request_id))

    def _finish_request(
        self, connection: ClientConnection, outcome: RequestOutcome, latency: float | None = None
    ) -> None:
        """Record the outcome of the connection's request, if one is in flight."""
        request = self._requests_in_flight.pop(connection, None)
        if request is not None:
            request.deadline_timer.cancel()
            request_class = request.pending.arrival.request_class
            self._result.record_outcome(request_class, outcome, latency)

    def _on_response(self, connection: ClientConnection, response: object) -> None:
        request = self._requests_in_flight.get(connection)
        if request is None:
            return  # The client has given up already.
        latency = time.perf_counter() - request.pending.due
        self._finish_request(connection, classify_response(response), latency)
        self._send_next(connection)

    def _on_deadline(self, connection: ClientConnection) -> None:
        if connection in self._requests_in_flight:
            self._finish_request(connection, RequestOutcome.LATE)
            connection.transport.abort()

    def _on_closed(self, connection: ClientConnection) -> None:
        self._open_connections.discard(connection)
        self._finish_request(connection, RequestOutcome.LOST)
