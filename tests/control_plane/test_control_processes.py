"""Tests with real processes that published changes reach the ingresses despite faults."""

from __future__ import annotations

import json
import signal
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any

import pytest

from dockthread.control_plane.messages import Acknowledge, PublishRequest, Update, codec
from dockthread.control_plane.server import MAX_REQUEST_BYTES
from dockthread.framing import FRAME_HEADER
from tests.control_plane.control_rig import (
    DISTRIBUTORS,
    INGRESSES,
    KEY,
    TIMEOUT,
    VOTERS,
    ControlRig,
)


def wait_until(condition: Callable[[], Any]) -> Any:
    deadline = time.monotonic() + TIMEOUT
    while not (value := condition()):
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.02)
    return value


@pytest.fixture(scope="module")
def shared_rig(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ControlRig]:
    rig = ControlRig(tmp_path_factory.mktemp("control"))
    try:
        yield rig
    finally:
        rig.close()


@pytest.fixture
def rig(shared_rig: ControlRig) -> ControlRig:
    """Provide a rig with all processes running and a new change applied at every ingress."""
    shared_rig.start_missing()
    revision = shared_rig.publish("route", "first", {"firm": "1", "attempts": 2}).revision
    wait_until(shared_rig.has_applied(revision))
    return shared_rig


@pytest.fixture
def discovery() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(TIMEOUT)
        yield listener


def publish_discovery(rig: ControlRig, discovery: socket.socket) -> int:
    """Publish the address of `discovery`, and wait until each ingress has connected to it."""
    address = f"127.0.0.1:{discovery.getsockname()[1]}"
    revision = rig.publish("address", "discovery", {"address": address}).revision
    accept_connections(discovery, len(INGRESSES))
    return revision


def accept_connections(discovery: socket.socket, count: int) -> None:
    for _ in range(count):
        discovery.accept()[0].close()


def test_change_published_by_the_command_is_applied_everywhere_and_can_be_shown(
    rig: ControlRig,
) -> None:
    result = rig.command(
        "publish route a --body -", rig.voters, '{"firm": "b4d6", "timeout": "1s"}'
    )
    assert result.returncode == 0 and result.stdout.startswith("route a: revision "), result
    revision = int(result.stdout.split()[-1])
    wait_until(rig.has_applied(revision))
    wait_until(
        lambda: all(
            (status := rig.status(name)) and status.revision == revision
            for name in VOTERS + DISTRIBUTORS
        )
    )
    result = wait_until(
        lambda: (
            (result := rig.command("status", rig.voters + rig.distributors)).returncode == 0
            and result
        )
    )
    assert (
        "r1 z0: applied by 1 of 1 subscribers\nr1 z1: applied by 1 of 1 subscribers\n"
        in result.stdout
    )
    result = rig.command("show route a", rig.distributors)
    assert json.loads(result.stdout) == {"firm": "b4d6", "timeout": "1s"}
    result = rig.command("publish route a --delete --expected 1", rig.voters)
    assert (
        result.returncode == 1 and f"expected revision 1, and it is at {revision}" in result.stderr
    )
    result = rig.command("publish route a --body -", rig.voters, '{"attempts": 0}')
    assert (
        result.returncode == 1
        and "refused: attempts: 0 would never forward a request" in result.stderr
    )


def test_invalid_change_is_rejected_with_its_reason_and_the_last_good_version_stays_applied(
    rig: ControlRig,
) -> None:
    good_revision = rig.publish(
        "route", "b", {"class": "status", "firm": "2", "timeout": "1s"}
    ).revision
    bad_revision = rig.publish(
        "route", "b", {"class": "status", "firm": "2", "timeout": "5s"}
    ).revision
    wait_until(rig.has_applied(bad_revision))
    for subscriber in rig.connected_subscribers().values():
        (rejection,) = subscriber.rejected
        assert (rejection.name, rejection.revision, subscriber.rejections) == (
            "b",
            bad_revision,
            1,
        ) and bad_revision > good_revision
        assert "5s is longer than the client's deadline for status, 4s" in rejection.reason
    result = rig.command("status", rig.distributors)
    assert (
        result.returncode == 1
        and "n0: rejected resources: 1\n  route b of revision " in result.stdout
    )
    wait_until(rig.has_applied(rig.publish("route", "b", None).revision))
    assert not any(subscriber.rejections for subscriber in rig.connected_subscribers().values())


def test_no_change_is_lost_when_a_distributor_is_killed_and_status_names_it(
    rig: ControlRig,
) -> None:
    server = rig.server_of("n0")
    rig.kill(server)
    wait_until(rig.has_applied(rig.publish("route", "c", {"firm": "3"}).revision))
    result = rig.command("status", rig.distributors)
    assert result.returncode == 1 and f"unreachable: {rig.addresses[server]}: " in result.stdout


def test_ingress_moves_to_the_other_distributor_when_its_own_stops_while_sending(
    rig: ControlRig,
) -> None:
    server = rig.server_of("n0")
    body = {"firm": [f"{number:x}" for number in range(1000, 9000)]}  # a body of 48 KB
    rig.publish("route", "large", body)
    rig.signal(server, signal.SIGSTOP)
    try:
        revision = rig.publish("route", "large", {**body, "attempts": 2}).revision
        wait_until(rig.has_applied(revision))
        assert rig.server_of("n0") != server
    finally:
        rig.signal(server, signal.SIGCONT)
    wait_until(lambda: (status := rig.status(server)) and status.revision == revision)
    rig.publish("route", "large", None)


def test_resources_stay_applied_while_all_distributors_are_down(
    rig: ControlRig, discovery: socket.socket
) -> None:
    publish_discovery(rig, discovery)
    rig.kill(*DISTRIBUTORS)
    revision = rig.publish("route", "d", {"firm": "4"}).revision
    assert rig.processes["n0"].poll() is None and rig.processes["n1"].poll() is None
    rig.start(*DISTRIBUTORS)
    wait_until(rig.has_applied(revision))


def test_ingress_starts_from_its_cache_while_every_server_is_down(
    rig: ControlRig, discovery: socket.socket
) -> None:
    revision = publish_discovery(rig, discovery)
    wait_until(rig.has_applied(revision))
    rig.signal("n0", signal.SIGTERM)
    assert rig.processes.pop("n0").wait(TIMEOUT) == 0
    rig.kill("n1", *VOTERS, *DISTRIBUTORS)
    loads_before = rig.output("n0").count("from the cache")
    rig.start("n0")
    wait_until(lambda: rig.output("n0").count("from the cache") > loads_before)
    discovery.setblocking(False)
    with suppress(BlockingIOError):  # drop connections of the previous process
        accept_connections(discovery, 1000)
    discovery.settimeout(TIMEOUT)
    accept_connections(discovery, 1)  # at the cached address; its configuration has another one
    rig.kill("n0")
    cache = rig.folder / "n0" / "n0.cache"
    data = bytearray(cache.read_bytes())
    data[len(data) // 2] ^= 0xFF
    cache.write_bytes(data)
    rig.start("n0")
    wait_until(
        lambda: (
            rig.output("n0").count(f"deleting {cache}: the file has a wrong checksum at byte ") == 1
        )
    )
    rig.start_missing()
    wait_until(rig.has_applied(revision))


def frame_header(size: int, version: int = 1) -> bytes:
    return FRAME_HEADER.pack(size, version, bytes(16))


MALFORMED = {
    "not a frame": b"GET / HTTP/1.1\r\nHost: control\r\n\r\n",
    "too large": frame_header(MAX_REQUEST_BYTES + 1),
    "another version": frame_header(3, 9) + b"abc",
    "another key": codec.pack(PublishRequest("t", "route", "x", b"{}"), b"another key of 16 bytes"),
    "undecodable message": codec.pack(PublishRequest("t", "route", "x", b"{}"), KEY)[:-1] + b"\x00",
    "message of a server": codec.pack(Update("e", 1, ()), KEY),
    "acknowledgement before subscription": codec.pack(Acknowledge("e", 1, b""), KEY),
}


@pytest.mark.parametrize("case", MALFORMED)
def test_malformed_bytes_close_only_that_connection(rig: ControlRig, case: str) -> None:
    for name in ("v0", "d0"):
        with socket.create_connection(
            (rig.addresses[name].host, rig.addresses[name].port), TIMEOUT
        ) as connection:
            connection.sendall(MALFORMED[case])
            with suppress(ConnectionResetError):
                assert connection.recv(1) == b""
    wait_until(rig.has_applied(rig.publish("route", "e", {"firm": "5"}).revision))
