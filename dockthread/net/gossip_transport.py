"""Gossip between ingresses: single UDP datagrams without replies, which may be late or lost.

The policy engine defines the content of messages (dockthread/policy/gossip_codec.py). One socket
at `peer_listen` sends and receives all of them. Ingress number N is identified by the address at
index N of `peers`; datagrams from any other address, or longer than the maximum message, are
ignored. One iteration of the event loop reads only a limited number of datagrams, so that a flood
of them cannot delay requests. Further datagrams stay in the socket's receive buffer and are dropped
by the system once it is full.

During an upgrade the previous process still holds the address. Until that process releases it, this
one neither receives nor sends gossip (peers would not know its sender address), and retries to open
the socket in each run of periodic maintenance.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from loguru import logger

from dockthread.config.address import Address
from dockthread.config.ingress_config import PeerAddresses
from dockthread.observer import Traffic
from dockthread.policy import GossipReceived, SendGossip
from dockthread.policy.gossip_codec import MAX_MESSAGE_BYTES

MAX_DATAGRAMS_PER_TURN = 64  # Maximum number read in one iteration of the event loop.


class GossipTransport:
    """Sends and receives gossip; `on_received` is called for each message from another ingress."""

    def __init__(
        self,
        addresses: PeerAddresses | None,
        ingress_number: int,
        on_received: Callable[[GossipReceived], None],
        traffic: Traffic,
    ) -> None:
        self._addresses = addresses
        self._on_received = on_received
        self._traffic = traffic
        # Maps the addresses of the other ingresses to their numbers.
        self._number_by_address: dict[tuple[str, int], int] = {}
        if addresses is not None:
            self._number_by_address = {
                (peer.host, peer.port): number
                for number, peer in enumerate(addresses.peers)
                if number != ingress_number
            }
        self._sock: socket.socket | None = None
        self._has_warned = False
        self._is_closed = False

    def open(self) -> None:
        """Open the socket if gossip is configured and no other process holds the address."""
        if self._addresses is None or self._sock is not None or self._is_closed:
            return
        try:
            self._sock = self._addresses.listen.bound_socket(socket.SOCK_DGRAM)
        except OSError as error:
            if not self._has_warned:
                logger.warning("cannot receive gossip at {} yet: {}", self._addresses.listen, error)
            self._has_warned = True
            return
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._receive)

    def send(self, message: SendGossip) -> None:
        """Send a message to one peer or to all; a message that cannot be sent now is dropped."""
        if self._sock is None or len(message.data) > MAX_MESSAGE_BYTES:
            return
        for address in self._recipients(message.peer):
            try:
                self._sock.sendto(message.data, (address.host, address.port))
                self._traffic.gossip_sent += 1
            except OSError as error:
                logger.debug("gossip to {} was not sent: {}", address, error)

    def _recipients(self, number: int | None) -> list[Address]:
        if self._addresses is None:
            return []
        peers = self._addresses.peers
        if number is not None:
            return [peers[number]] if 0 <= number < len(peers) else []
        if self._addresses.broadcast is not None:
            return [self._addresses.broadcast]
        return [peers[peer_number] for peer_number in self._number_by_address.values()]

    def close(self) -> None:
        """Release the address permanently."""
        self._is_closed = True
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _receive(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self._sock is None:
                return
            try:
                # Reading one byte more than allowed reveals a message that is too long.
                data, sender = self._sock.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # ICMP error for a message sent earlier
                logger.debug("gossip was not delivered: {}", error)
                continue
            number = self._number_by_address.get((sender[0], sender[1]))
            if number is None or len(data) > MAX_MESSAGE_BYTES:
                self._traffic.gossip_rejected += 1
                continue
            self._traffic.gossip_received += 1
            self._on_received(GossipReceived(number, data))
