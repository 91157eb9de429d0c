"""The listener for clients: which connections it takes, and which one goes where descriptors run
short.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from dockthread.config.address import Address
from dockthread.net.client_connection import ClientConnection, ConnectionHost
from dockthread.net.event_loop_lag import AcceptBacklog

BACKLOG = 1024
# descriptors for all but connections: standard streams, the loop's own, listener, watch
RESERVE = 24
# inbound connections over their budget that are accepted only to be told to come again, at most
SURPLUS = 32
SURPLUS_PART = 1 / 16  # of the descriptors
CLIENTS_PART = 1 / 3  # of the descriptors that clients hold for requests at most
OTHERS_PART = 1 / 4  # of what is left then, for clients that hold a connection and ask nothing
ACCEPTED = 16  # connections in a row, before those that stand have their turn
FRESH = 100.0  # for which a connection that has just come, or just been used, is left alone
IDLE = 2_000.0  # from which an inbound connection may be closed where they are many
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """How an ingress's descriptors are dealt out: inbound connections, those over them, outbound
    ones.
    """

    client: int
    surplus: int
    backend: int

    @staticmethod
    def of(sockets: int) -> DescriptorBudget:
        """The budget of an ingress that may hold so many descriptors."""
        surplus = min(SURPLUS, int(sockets * SURPLUS_PART))
        room = sockets - RESERVE - surplus
        clients = int(sockets * CLIENTS_PART)
        inbound = clients + int((room - clients) * OTHERS_PART)
        return DescriptorBudget(inbound, surplus, room - inbound)


class IdleConnections(Protocol):
    """What may close an idle outbound connection to make room; False where there is none."""

    def close_longest_idle(self) -> bool:
        """Close one; whether there was one."""
        ...


class Listener:
    """Inbound connections that stand, the listener before them, and their budget."""

    def __init__(
        self, host: ConnectionHost, budget: DescriptorBudget, outbound: IdleConnections
    ) -> None:
        self._host, self.budget, self._outbound = host, budget, outbound
        self._loop = asyncio.get_running_loop()
        self.connections: set[ClientConnection] = set()
        self._backlog = AcceptBacklog()
        self._emptied = asyncio.Event()

    def listen(self, name: str, address: Address, inherited: int | None) -> Address:
        """Where it listens: the port may have been left to the system, or all of it to the process
        before.
        """
        # it listens already, and the process before may still take from it
        if inherited is not None:
            self.socket = socket.socket(fileno=inherited)
            self.socket.setblocking(False)
        else:
            self.socket = address.listener(BACKLOG)
        where = Address(*self.socket.getsockname()[:2])
        if inherited is not None:
            logger.info(
                "{} takes the inherited listener {} on {}", name, self.socket.fileno(), where
            )
        else:
            logger.info("{} listens on {}", name, where)
        return where

    async def accept(self) -> None:
        """Take connections for as long as it runs."""
        while True:
            # Past the surplus even a refusal would cost a descriptor that is not there: clients
            # queue.
            while len(
                self.connections
            ) >= self.budget.client + self.budget.surplus and not self.close_least_needed(True):
                await asyncio.sleep(0.01)
            try:
                sock, _ = await self._loop.sock_accept(self.socket)
                self._opened(sock)
                self.empty_backlog(ACCEPTED)
                await asyncio.sleep(0)
            except OSError as error:
                # Out of descriptors the backlog keeps its clients until there is room again.
                if error.errno in NO_ROOM and (
                    self._outbound.close_longest_idle() or self.close_least_needed()
                ):
                    continue
                logger.warning("cannot accept: {}", error)
                await asyncio.sleep(0.05)

    def empty_backlog(self, most: int = BACKLOG) -> None:
        """Take what waits to be accepted, `most` at the most."""
        for _ in range(most):
            if len(self.connections) >= self.budget.client + self.budget.surplus:
                break
            try:
                sock, _ = self.socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                self._backlog.mark_empty()
                return
            self._opened(sock)
        self._backlog.mark_not_empty(self._host.event_loop_lag)

    def _opened(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self._host.traffic.client_connections_opened += 1
        surplus = len(self.connections) >= self.budget.client and not self.close_least_needed()
        try:
            self.connections.add(
                ClientConnection(
                    self._host,
                    sock,
                    self._backlog.earliest_arrival_ms(self._host.event_loop_lag),
                    surplus,
                )
            )
        except OSError:  # gone before it was looked at
            sock.close()

    def close_least_needed(self, surplus: bool = False) -> bool:
        """Close the inbound connection that is missed least, and is owed nothing: none that has
        just come, as its request may be on its way or here unread. One that is ending goes first,
        one that asked once, if at all, before one that clients use; then the one idle for longest.
        False where there is none.
        """
        now = self._host.clock.now()
        idle = [
            c
            for c in self.connections
            if c.is_idle and now - c.last_read_ms > FRESH and (surplus or not c.surplus)
        ]
        idle.sort(
            key=lambda connection: (
                not connection.is_ending,
                connection.commands_read > 1,
                connection.last_read_ms,
            )
        )
        for connection in idle:
            if connection.is_ending or not connection.has_input():
                connection.end_gracefully()
                connection.close()  # its descriptor is wanted now
                return True
        return False

    def close_idle(self, now: float) -> None:
        """Where they are many, those that have been idle long make room before the budget is
        full.
        """
        if len(self.connections) > self.budget.client // 2:
            for connection in list(self.connections):
                if (
                    connection.is_idle
                    and now - connection.last_read_ms > IDLE
                    and not connection.has_input()
                ):
                    connection.end_gracefully()

    def close_all(self) -> None:
        """Close every connection at once."""
        for connection in list(self.connections):
            connection.close()

    def on_closed(self, connection: ClientConnection) -> None:
        """A connection has closed."""
        self.connections.discard(connection)
        if not self.connections:
            self._emptied.set()

    async def empty(self) -> None:
        """Until the last connection has closed."""
        while self.connections:
            # Cleared first: it is set whenever the last connection closes, which happens on any
            # quiet
            # day, and once let the ingress stop with requests unanswered.
            self._emptied.clear()
            await self._emptied.wait()
