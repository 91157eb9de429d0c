"""Messages between ingresses: single UDP datagrams, late or lost, with no answer and no connection.

What a message says is the module's affair (`message.py`). Here: one socket at `peer_listen`, from
which all goes out and at which all comes in. An ingress is known by the address in `peers` at the
place of its number; what comes from anywhere else, or is longer than a message may be, is passed
over. One turn of the loop reads a few and no more, so that a flood of datagrams cannot hold up
requests: the rest is lost in the system's buffer, as it may be.

At an upgrade the process before still holds the address. Until it lets go, this one neither hears
nor tells (its words would come from an address nobody knows), and tries again with each round of
housekeeping.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from loguru import logger

from dockthread.config.platform_settings import PeerAddresses
from dockthread.observer import Traffic
from dockthread.policy import GossipReceived, SendGossip
from dockthread.policy.gossip_codec import MAX_MESSAGE_BYTES

TURN = 64  # datagrams read in one turn of the loop


class Peers:
    """`told` gets each message of another ingress."""

    def __init__(
        self,
        addresses: PeerAddresses | None,
        number: int,
        told: Callable[[GossipReceived], None],
        traffic: Traffic,
    ) -> None:
        self._addresses, self._told, self._traffic = addresses, told, traffic
        self._numbers = {}
        if addresses is not None:
            self._numbers = {
                (a.host, a.port): n for n, a in enumerate(addresses.peers) if n != number
            }
        self._sock: socket.socket | None = None
        self._warned = self._closed = False

    def open(self) -> None:
        """Listen, where there is an address to listen at and nobody holds it; else do nothing."""
        if self._addresses is None or self._sock is not None or self._closed:
            return
        try:
            self._sock = self._addresses.listen.listener(None)
        except OSError as error:
            if not self._warned:
                logger.warning(
                    "cannot hear other ingresses at {} yet: {}", self._addresses.listen, error
                )
            self._warned = True
            return
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._read)

    def tell(self, message: SendGossip) -> None:
        """Send to one, or by the address for all where there is one. What cannot go now is lost, as
        any may be.
        """
        if self._sock is None or self._addresses is None or len(message.data) > MAX_MESSAGE_BYTES:
            return
        peers, everyone = self._addresses.peers, self._addresses.everyone
        if message.peer is None:
            to = [everyone] if everyone is not None else [peers[n] for n in self._numbers.values()]
        else:
            to = [peers[message.peer]] if 0 <= message.peer < len(peers) else []
        for address in to:
            try:
                self._sock.sendto(message.data, (address.host, address.port))
                self._traffic.messages_out += 1
            except OSError as error:
                logger.debug("a message to {} was not sent: {}", address, error)

    def close(self) -> None:
        """Let go of the address, for good."""
        self._closed = True
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _read(self) -> None:
        for _ in range(TURN):
            if self._sock is None:
                return
            try:
                data, sender = self._sock.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # an earlier message found nobody
                logger.debug("a message was not delivered: {}", error)
                continue
            number = self._numbers.get((sender[0], sender[1]))
            if number is None or len(data) > MAX_MESSAGE_BYTES:
                self._traffic.messages_odd += 1
                continue
            self._traffic.messages_in += 1
            self._told(GossipReceived(number, data))
