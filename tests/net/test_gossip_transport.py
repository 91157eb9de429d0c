"""Gossip between ingresses on loopback sockets, and the configuration of their addresses."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack
from typing import Any

import pytest

from dockthread.config.address import Address
from dockthread.config.ingress_config import PeerAddresses
from dockthread.errors import SettingsError
from dockthread.net.gossip_transport import MAX_DATAGRAMS_PER_TURN, GossipTransport
from dockthread.net.ingress import Ingress
from dockthread.observer import Traffic
from dockthread.policy import GossipReceived, SendGossip, gossip_codec
from tests.loopback import (
    GROSS_PLAN,
    SETTINGS,
    Backend,
    Client,
    config,
    run,
    running_ingress,
    until,
)


def free_addresses(count: int) -> tuple[Address, ...]:
    """Return free UDP addresses; another process could take one before the test binds it."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    addresses = tuple(Address(*sock.getsockname()[:2]) for sock in sockets)
    for sock in sockets:
        sock.close()
    return addresses


def open_transport(
    all_addresses: tuple[Address, ...], number: int, received: list[GossipReceived]
) -> GossipTransport:
    transport = GossipTransport(
        PeerAddresses(all_addresses[number], all_addresses), number, received.append, Traffic()
    )
    transport.open()
    return transport


def test_a_message_reaches_one_peer_or_all_with_the_number_of_its_sender() -> None:
    async def scenario() -> None:
        peer_addresses, received = free_addresses(3), [list[GossipReceived]() for _ in range(3)]
        transports = [
            open_transport(peer_addresses, number, received[number]) for number in range(3)
        ]
        transports[0].send(SendGossip(b"to one", 2))
        await until(lambda: received[2])
        assert received == [[], [], [GossipReceived(0, b"to one")]]
        transports[1].send(SendGossip(b"to all"))
        await until(lambda: received[0] and len(received[2]) == 2)
        assert (received[0], received[1], received[2][1]) == (
            [GossipReceived(1, b"to all")],
            [],
            GossipReceived(1, b"to all"),
        )
        for transport in transports:
            transport.close()

    run(scenario())


def test_unknown_senders_and_long_messages_are_rejected_and_a_flood_is_read_in_batches() -> None:
    async def scenario() -> None:
        peer_addresses = free_addresses(2)
        received, received_by_other = list[GossipReceived](), list[GossipReceived]()
        transport = open_transport(peer_addresses, 0, received)
        other_transport = open_transport(peer_addresses, 1, received_by_other)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
            unknown_sender.sendto(b"hello", (peer_addresses[0].host, peer_addresses[0].port))
        too_long = b"x" * (gossip_codec.MAX_MESSAGE_BYTES + 1)
        other_transport._sock.sendto(too_long, (peer_addresses[0].host, peer_addresses[0].port))  # type: ignore[union-attr]
        await until(lambda: transport._traffic.gossip_rejected == 2)
        other_transport.send(SendGossip(too_long, 0))  # must not be sent at all
        assert (received, other_transport._traffic.gossip_sent) == ([], 0)
        for _ in range(MAX_DATAGRAMS_PER_TURN + 20):
            other_transport.send(SendGossip(b"m", 0))
        transport._receive()
        assert len(received) == MAX_DATAGRAMS_PER_TURN, "one read must not take all datagrams"
        await until(lambda: len(received) == MAX_DATAGRAMS_PER_TURN + 20)
        transport.close()
        other_transport.close()

    run(scenario())


def test_the_address_is_taken_over_when_the_previous_process_releases_it() -> None:
    async def scenario() -> None:
        peer_addresses = free_addresses(2)
        received_by_old, received = list[GossipReceived](), list[GossipReceived]()
        old_transport = open_transport(peer_addresses, 0, received_by_old)
        new_transport = open_transport(peer_addresses, 0, received)
        other_transport = open_transport(peer_addresses, 1, [])
        new_transport.send(SendGossip(b"from nowhere", 1))  # dropped: the socket is not bound yet
        other_transport.send(SendGossip(b"one", 0))
        await until(lambda: received_by_old)
        old_transport.close()
        old_transport.open()  # no effect after `close`
        new_transport.open()
        other_transport.send(SendGossip(b"two", 0))
        await until(lambda: received)
        assert [message.data for message in received_by_old + received] == [b"one", b"two"]
        for transport in (new_transport, other_transport):
            transport.close()

    run(scenario())


def quota_sharing_config(number: int, peer_addresses: tuple[Address, ...]) -> dict[str, Any]:
    settings = {
        **SETTINGS,
        "MyNumber": number,
        "ReplicasOfMe": len(peer_addresses),
        "Limits": {**SETTINGS["Limits"], "Peers": True},
        "Domain": {**SETTINGS["Domain"], "PeerInPerS": 60},
        "Packages": [GROSS_PLAN | {"Refill": 0.001, "PeakUnits": 40.0}],
    }
    return {
        "settings": settings,
        "peers": [str(address) for address in peer_addresses],
        "peer_listen": str(peer_addresses[number]),
    }


def test_three_ingresses_share_one_quota_by_gossip_alone() -> None:
    async def scenario() -> None:
        peer_addresses = free_addresses(3)
        async with AsyncExitStack() as stack:
            served_ingresses = [
                await stack.enter_async_context(
                    running_ingress(Backend(), **quota_sharing_config(number, peer_addresses))
                )
                for number in range(3)
            ]
            ingresses: list[Ingress] = [ingress for ingress, _, _ in served_ingresses]
            clients: list[Client] = [client for _, client, _ in served_ingresses]
            await until(lambda: all(ingress.traffic.gossip_received for ingress in ingresses))
            served = 0
            for attempt in range(60):  # each takes 2 units of a bucket of 40 with hardly any refill
                answer = await clients[attempt % 3].call("status")
                served += not isinstance(answer, str)
                await asyncio.sleep(0.06)  # time for the gossip to reach all ingresses
            assert 15 <= served <= 21

    run(scenario())


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, None),
        ({"peers": ["127.0.0.1:1"] * 4}, None),  # `peer_listen` is missing
        ({"peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1"] * 4}, 4),
        ({"peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1"] * 3}, "peers is"),
        ({"peer_listen": "127.0.0.1:1", "peers": "127.0.0.1:1"}, "peers is"),
        ({"peer_listen": "127.0.0.1", "peers": ["127.0.0.1:1"] * 4}, "not an address"),
        (
            {"peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1"] * 4, "peers_all": "all"},
            "not an address",
        ),
    ],
)
def test_peer_addresses_are_read_from_the_configuration_or_rejected(
    changes: dict[str, Any], expected: object
) -> None:
    if isinstance(expected, str):
        with pytest.raises(SettingsError, match=expected):
            config({"rev": 0, "all": True, "targets": []}, **changes)
        return
    addresses = config({"rev": 0, "all": True, "targets": []}, **changes).peers
    assert (addresses and len(addresses.peers)) == expected
