"""The listener for clients: accepts connections, and closes idle ones if descriptors run short."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Protocol

from loguru import logger

from dockthread.config.address import Address
from dockthread.net.client_connection import ClientConnection
from dockthread.net.connection_host import ConnectionHost
from dockthread.net.descriptor_budget import DescriptorBudget
from dockthread.net.event_loop_lag import AcceptBacklog

ACCEPT_BACKLOG = 1024  # Maximum number of connections that the system queues for acceptance.
ACCEPTS_PER_TURN = 16  # Connections accepted before other tasks run.
# Minimum time since a connection was accepted or read from before it may be closed to free a
# descriptor.
MIN_IDLE_MS = 100.0
# Idle time after which a connection is closed if more than half of the client budget is in use.
IDLE_TIMEOUT_MS = 2_000.0
BUDGET_RETRY_DELAY_S = 0.01  # Time before the budget is checked again after it was exhausted.
ACCEPT_RETRY_DELAY_S = 0.05  # Time before the next accept after an error.
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class IdleConnections(Protocol):
    """Idle backend connections, which may be closed to free descriptors for clients."""

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        ...


class Listener:
    """The listening socket, the client connections accepted from it, and the descriptor budget."""

    def __init__(
        self, host: ConnectionHost, budget: DescriptorBudget, backend_connections: IdleConnections
    ) -> None:
        self.budget = budget
        self.connections: set[ClientConnection] = set()
        self._host = host
        self._backend_connections = backend_connections
        self._loop = asyncio.get_running_loop()
        self._backlog = AcceptBacklog()
        self._all_closed = asyncio.Event()
        self._is_inherited = False

    def bind(self, address: Address, inherited: int | None) -> Address:
        """Bind `address`, or take over the descriptor of an inherited listening socket.

        Returns the bound address: `address` may have port 0, and an inherited socket is already
        bound. Clients cannot connect before `listen`, unless the socket is inherited.

        Raises:
            OSError: The address cannot be bound.
        """
        if inherited is not None:
            self.socket = socket.socket(fileno=inherited)
            self.socket.setblocking(False)
        else:
            self.socket = address.bound_socket()
        self._is_inherited = inherited is not None
        return Address(*self.socket.getsockname()[:2])

    def listen(self, name: str) -> None:
        """Let clients connect. The previous process may still accept from an inherited socket.

        Raises:
            OSError: Another socket listens at the address.
        """
        bound = Address(*self.socket.getsockname()[:2])
        if self._is_inherited:
            logger.info(
                "{} uses the inherited listener {} on {}", name, self.socket.fileno(), bound
            )
            return
        self.socket.listen(ACCEPT_BACKLOG)
        logger.info("{} listens on {}", name, bound)

    def close(self) -> None:
        """Stop listening; connections that were accepted stay open."""
        self.socket.close()

    async def accept(self) -> None:
        """Accept connections until cancelled."""
        while True:
            # If the surplus is used up too, no descriptor is left even for a rejection, so clients
            # wait in the accept queue. This polls, because an event would have to be set in every
            # place where a connection can become idle.
            while self._is_full() and not self.evict_idle(include_surplus=True):  # noqa: ASYNC110
                await asyncio.sleep(BUDGET_RETRY_DELAY_S)
            try:
                sock, _ = await self._loop.sock_accept(self.socket)
                self._open(sock)
                self.accept_queued(ACCEPTS_PER_TURN)
                await asyncio.sleep(0)
            except ConnectionAbortedError:
                continue
            except OSError as error:
                # Without a free descriptor, clients wait in the accept queue.
                if self._free_descriptor(error):
                    continue
                logger.warning("cannot accept: {}", error)
                await asyncio.sleep(ACCEPT_RETRY_DELAY_S)

    def accept_remaining(self) -> None:
        """Accept the connections that wait, before the ingress stops listening.

        Those that cannot be accepted stay in the queue; requests in flight must not suffer.
        """
        while True:
            try:
                self.accept_queued()
            except OSError as error:
                if self._free_descriptor(error):
                    continue
                logger.warning("cannot accept before draining: {}", error)
            return

    def _free_descriptor(self, error: OSError) -> bool:
        """Close an idle connection if `error` is a lack of resources; return whether one was."""
        return error.errno in RESOURCE_ERRNOS and (
            self._backend_connections.close_longest_idle() or self.evict_idle()
        )

    def accept_queued(self, limit: int = ACCEPT_BACKLOG) -> None:
        """Accept up to `limit` connections from the accept queue."""
        for _ in range(limit):
            if self._is_full():
                break
            try:
                sock, _ = self.socket.accept()
            except ConnectionAbortedError:  # this client has left; others may wait behind it
                continue
            except BlockingIOError:
                self._backlog.mark_empty()
                return
            self._open(sock)
        self._backlog.mark_not_empty(self._host.event_loop_lag)

    def _is_full(self) -> bool:
        return len(self.connections) >= self.budget.client + self.budget.surplus

    def _open(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self._host.traffic.client_connections_opened += 1
        is_surplus = len(self.connections) >= self.budget.client and not self.evict_idle()
        earliest_arrival_ms = self._backlog.earliest_arrival_ms(self._host.event_loop_lag)
        try:
            connection = ClientConnection(
                self._host, sock, self._on_closed, earliest_arrival_ms, is_surplus
            )
        except OSError:  # the client has already disconnected
            sock.close()
            return
        self.connections.add(connection)

    def evict_idle(self, include_surplus: bool = False) -> bool:
        """Close the idle connection that is needed least; return False if there is none.

        Connections that are ending come first, then those that have sent at most one command, then
        others, and last those whose request is being read into blocks; within each group the
        longest idle comes first. Connections that were just
        accepted or read from are kept, and so are connections with unread input that are not
        ending, because a request may be on its way or already waiting, and connections whose client
        still receives responses.
        """
        now = self._host.clock.now()
        candidates = [
            connection
            for connection in self.connections
            if connection.is_idle
            and now - connection.last_read_ms > MIN_IDLE_MS
            and (include_surplus or not connection.is_surplus)
        ]
        candidates.sort(
            key=lambda connection: (
                not connection.is_ending,
                connection.is_reading_body,
                connection.commands_read > 1,
                connection.last_read_ms,
            )
        )
        for connection in candidates:
            is_received = connection.is_delivered or connection.is_client_stalled(now)
            if is_received and (connection.is_ending or not connection.has_input()):
                connection.close()  # its descriptor is needed now
                return True
        return False

    def enforce_timeouts(self, now: float) -> None:
        """End the connections whose clients have exceeded a timeout, and long idle ones."""
        for connection in list(self.connections):
            connection.enforce_timeouts(now)
        self.close_long_idle(now)

    def close_long_idle(self, now: float) -> None:
        """End connections idle for longer than `IDLE_TIMEOUT_MS` if over half the budget is used.

        This frees descriptors before the budget is exhausted.
        """
        if len(self.connections) <= self.budget.client // 2:
            return
        for connection in list(self.connections):
            if now - connection.last_read_ms > IDLE_TIMEOUT_MS:
                connection.end_between_requests()  # an incomplete command has its own timeout

    def end_all(self) -> None:
        """Gracefully end every connection between two requests.

        A request that has begun to arrive is read to its end and gets an answer.
        """
        for connection in list(self.connections):
            connection.end_between_requests()

    def close_all(self) -> bool:
        """Close every connection on which nothing is outstanding; return whether none is left.

        What is outstanding then is a long response that its backend still gives, or one that its
        client still receives. The others end by their timeouts.
        """
        for connection in list(self.connections):
            if connection.outstanding is None:
                connection.close()
        return not self.connections

    def _on_closed(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        if not self.connections:
            self._all_closed.set()

    async def wait_until_all_closed(self) -> None:
        """Wait until the last connection has closed."""
        while self.connections:
            # The event may have been set long before, when traffic was low and the last connection
            # closed. Unless cleared, it would end this wait while requests are in flight.
            self._all_closed.clear()
            await self._all_closed.wait()
