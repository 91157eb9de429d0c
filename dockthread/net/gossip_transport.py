"""Gossip between ingresses: single UDP datagrams, late or lost, without replies or connections.

What a message says is the policy's affair (dockthread/policy/gossip_codec.py). Here one socket at
`peer_listen` sends and receives all messages. An ingress is known by the address in `peers` at the
place of its number; a datagram from any other address, or longer than a message may be, is ignored.
One turn of the event loop reads a few and no more, so that a flood of datagrams cannot hold up
requests: the rest is lost in the system's buffer, as any datagram may be.

At an upgrade the process before still holds the address. Until it releases it, this one neither
receives nor sends (its messages would come from an address that no peer knows), and tries to open
the socket again in each round of periodic maintenance.
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

MAX_DATAGRAMS_PER_TURN = 64  # read in one turn of the event loop


class GossipTransport:
    """Sends and receives gossip; `on_received` is called with each message of another ingress."""

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
        # The numbers of the other ingresses by their addresses.
        self._numbers: dict[tuple[str, int], int] = {}
        if addresses is not None:
            self._numbers = {
                (peer.host, peer.port): number
                for number, peer in enumerate(addresses.peers)
                if number != ingress_number
            }
        self._sock: socket.socket | None = None
        self._is_warned = False
        self._is_closed = False

    def open(self) -> None:
        """Listen, where an address is configured and no other process holds it."""
        if self._addresses is None or self._sock is not None or self._is_closed:
            return
        try:
            self._sock = self._addresses.listen.listener(None)
        except OSError as error:
            if not self._is_warned:
                logger.warning("cannot receive gossip at {} yet: {}", self._addresses.listen, error)
            self._is_warned = True
            return
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._receive)

    def send(self, message: SendGossip) -> None:
        """Send a message to its peer or to all; one that cannot be sent now is lost."""
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
        return [peers[other] for other in self._numbers.values()]

    def close(self) -> None:
        """Release the address for good."""
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
                # One byte more than allowed shows a message that is too long.
                data, sender = self._sock.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # an earlier message was not delivered
                logger.debug("gossip was not delivered: {}", error)
                continue
            number = self._numbers.get((sender[0], sender[1]))
            if number is None or len(data) > MAX_MESSAGE_BYTES:
                self._traffic.gossip_rejected += 1
                continue
            self._traffic.gossip_received += 1
            self._on_received(GossipReceived(number, data))
