"""The listener for clients: accepts connections, and closes some where descriptors run short."""

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

ACCEPT_BACKLOG = 1024  # connections that the system queues before they are accepted
ACCEPTS_PER_TURN = 16  # in a row, before open connections have their turn
# For which a connection that was just accepted or read from is not closed to make room.
MIN_IDLE_MS = 100.0
# From which an idle connection may be closed where there are many.
IDLE_TIMEOUT_MS = 2_000.0
FULL_RETRY_DELAY_S = 0.01  # before the budget is looked at again once it is used up
ACCEPT_RETRY_DELAY_S = 0.05  # after an error
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class IdleConnections(Protocol):
    """Idle backend connections, which may be closed to make room for clients."""

    def close_longest_idle(self) -> bool:
        """Close the one idle longest; return False where there is none."""
        ...


class Listener:
    """The listening socket, the client connections accepted from it, and their budget."""

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

    def listen(self, name: str, address: Address, inherited: int | None) -> Address:
        """Listen at `address`, or take over the descriptor of a listener that listens already.

        Returns the address in use: the port of `address` may be 0 for any, and an inherited
        listener has its own. Connections may still be accepted from an inherited listener by the
        process before.
        """
        if inherited is not None:
            self.socket = socket.socket(fileno=inherited)
            self.socket.setblocking(False)
        else:
            self.socket = address.listener(ACCEPT_BACKLOG)
        bound = Address(*self.socket.getsockname()[:2])
        if inherited is not None:
            logger.info(
                "{} takes the inherited listener {} on {}", name, self.socket.fileno(), bound
            )
        else:
            logger.info("{} listens on {}", name, bound)
        return bound

    async def accept(self) -> None:
        """Accept connections until cancelled."""
        while True:
            # Over the surplus even a rejection would cost a descriptor that is not there: clients
            # wait in the system's queue.
            # An event would have to be set by all that makes a connection idle.
            while self._is_full() and not self.evict_idle(include_surplus=True):  # noqa: ASYNC110
                await asyncio.sleep(FULL_RETRY_DELAY_S)
            try:
                sock, _ = await self._loop.sock_accept(self.socket)
                self._open(sock)
                self.accept_queued(ACCEPTS_PER_TURN)
                await asyncio.sleep(0)
            except OSError as error:
                # Out of descriptors, clients wait in the system's queue until there is room.
                if error.errno in OUT_OF_DESCRIPTORS and (
                    self._backend_connections.close_longest_idle() or self.evict_idle()
                ):
                    continue
                logger.warning("cannot accept: {}", error)
                await asyncio.sleep(ACCEPT_RETRY_DELAY_S)

    def accept_queued(self, limit: int = ACCEPT_BACKLOG) -> None:
        """Accept the connections that wait in the system's queue, up to `limit`."""
        for _ in range(limit):
            if self._is_full():
                break
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
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
        except OSError:  # the client has left meanwhile
            sock.close()
            return
        self.connections.add(connection)

    def evict_idle(self, include_surplus: bool = False) -> bool:
        """Close the idle connection that its client needs least; return False where there is none.

        One that is ending goes first, then one that has sent one command at most, then the others;
        of equals the one idle longest. One that was just accepted or read from is kept, and so is
        one with unread input: a request may be on its way or there.
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
                connection.commands_read > 1,
                connection.last_read_ms,
            )
        )
        for connection in candidates:
            if connection.is_ending or not connection.has_input():
                connection.end_gracefully()
                connection.close()  # its descriptor is needed now
                return True
        return False

    def enforce_timeouts(self, now: float) -> None:
        """End the connections whose clients have exceeded a timeout, and some idle ones."""
        for connection in list(self.connections):
            connection.enforce_timeouts(now)
        self.close_idle(now)

    def close_idle(self, now: float) -> None:
        """End the connections that are idle beyond the timeout, once half the budget is used.

        So there is room before the budget is used up.
        """
        if len(self.connections) <= self.budget.client // 2:
            return
        for connection in list(self.connections):
            is_expired = connection.is_idle and now - connection.last_read_ms > IDLE_TIMEOUT_MS
            if is_expired and not connection.has_input():
                connection.end_gracefully()

    def end_all(self) -> None:
        """End every connection gracefully that has no response pending."""
        for connection in list(self.connections):
            connection.end_gracefully()

    def close_all(self) -> None:
        """Close every connection at once."""
        for connection in list(self.connections):
            connection.close()

    def _on_closed(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        if not self.connections:
            self._all_closed.set()

    async def wait_until_all_closed(self) -> None:
        """Wait until the last connection has closed."""
        while self.connections:
            # Cleared first: the event was set whenever the last connection closed, which happens on
            # any quiet day, and would end the wait while requests are in flight.
            self._all_closed.clear()
            await self._all_closed.wait()
