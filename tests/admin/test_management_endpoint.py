"""The management endpoint: parsing of requests, and the server on sockets with an ingress."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from dockthread.admin import commands
from dockthread.admin.ingress_admin import IngressAdmin
from dockthread.admin.server import ManagementServer
from dockthread.config.address import Address
from dockthread.daemon import Daemon
from dockthread.policy import BackendState
from tests.loopback import Backend, Client, config, message, run, running_ingress, target, until


@pytest.mark.parametrize(
    ("method", "path", "body", "expected"),
    [
        (b"GET", b"/_ready", b"", commands.Command(commands.Operation.READY)),
        (b"GET", b"/_vars?x=1", b"", commands.Command(commands.Operation.METRICS)),
        (b"POST", b"/_backends/detach", b'{"target":"s-1"}', commands.Command(commands.Operation.DETACH, "s-1")),
        (b"POST", b"/_backends/attach", b'{"target":"s-1"}', commands.Command(commands.Operation.ATTACH, "s-1")),
        (b"GET", b"/_nothing", b"", 404),
        (b"POST", b"/_ready", b"", 405),
        (b"GET", b"/_backends/detach", b"", 405),
        (b"POST", b"/_backends/detach", b"{", 400),
        (b"POST", b"/_backends/detach", b"", 400),
        (b"POST", b"/_backends/detach", b'{"target":7}', 400),
        (b"POST", b"/_backends/detach", b'["s-1"]', 400),
        (b"POST", b"/_backends/attach", b'{"target":""}', 400),
    ],
)  # fmt: skip
def test_a_request_is_parsed_to_a_command_or_rejected_with_the_right_status(
    method: bytes, path: bytes, body: bytes, expected: object
) -> None:
    parsed = commands.parse_request(method, path, body)
    if isinstance(expected, commands.Command):
        assert parsed == expected
    else:
        assert isinstance(parsed, commands.Response)
        assert parsed.status == expected


async def send(port: int, request: bytes) -> tuple[int, bytes]:
    """Return status and body of the response to a request."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    response = await asyncio.wait_for(reader.read(), 2.0)
    writer.close()
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def get(path: str) -> bytes:
    return b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % path.encode()


def post(path: str, body: bytes) -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (
        path.encode(),
        len(body),
        body,
    )


def test_each_request_is_answered_while_60_silent_clients_are_connected() -> None:
    async def scenario() -> None:
        async with running_ingress(Backend()) as (ingress, client, _):
            admin = IngressAdmin(ingress, Path("/nonexistent/held.json"))
            server = ManagementServer(admin, Address("127.0.0.1", 0))
            server.open()
            port = server.address.port
            silent_clients = [await asyncio.open_connection("127.0.0.1", port) for _ in range(60)]
            assert await client.call() == b"value"
            assert await send(port, get("/_ready")) == (200, b"ready\n")
            status, metrics = await send(port, get("/_vars"))
            assert status == 200
            assert b'app_ok{kind="status"} 1\n' in metrics and b"app_tries 1\n" in metrics
            assert b"app_pool_size 1\n" in metrics and b"app_pool_ejected 0\n" in metrics
            detach = post("/_backends/detach", b'{"target":"s-0"}')
            assert (await send(port, detach))[0] == 200
            assert (await send(port, detach))[0] == 200
            detach_unknown = post("/_backends/detach", b'{"target":"nobody"}')
            assert (await send(port, detach_unknown))[0] == 404
            _, metrics = await send(port, get("/_vars"))
            assert b"app_pool_ejected 1\n" in metrics
            assert "BUSY" in str(await client.call())  # the only backend is draining
            assert (await send(port, post("/_backends/attach", b'{"target":"s-0"}')))[0] == 200
            assert await client.call() == b"value"
            assert (await send(port, b"DELETE /_vars HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 405
            assert (await send(port, get("/x")))[0] == 404
            for _, writer in silent_clients:
                writer.close()
            server.close()

    run(scenario())


def test_a_backend_detached_at_either_process_of_an_upgrade_is_detached_at_both(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a new process that reads the detached backends only when it starts."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def scenario() -> None:
        backends = Backend(), Backend()
        targets = [target(f"s-{n}", await each.start()) for n, each in enumerate(backends)]
        endpoint_list = message(1, *targets, full=True)
        old, new = (
            Daemon(config(endpoint_list, management="127.0.0.1:0"), None, None) for _ in "on"
        )
        tasks = [asyncio.create_task(daemon.run()) for daemon in (old, new)]
        await until(lambda: old.ingress.ready and new.ingress.ready)
        for caller, other in ((old, new), (new, old)):
            assert caller.detach("s-0")
            while other.ingress.endpoints.excluded_uids != {"s-0"}:
                await asyncio.sleep(0.005)
            client = await Client.open(other.ingress.address.port)
            backends[0].received_commands.clear()
            for _ in range(30):
                assert await client.call() == b"value"
            assert not backends[0].received_commands
            # Without a valid file everything stays as it is.
            (tmp_path / "dockthread-held.json").write_text("[")
            await asyncio.sleep(0.15)
            assert other.ingress.endpoints.excluded_uids == {"s-0"}
            assert other.attach("s-0")
            while caller.ingress.endpoints.excluded_uids:
                await asyncio.sleep(0.005)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run(scenario())


def test_detached_backends_stay_detached_in_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    endpoint_list = message(1, target("s-0", 9), target("s-1", 10), full=True)

    async def scenario() -> None:
        first = Daemon(config(endpoint_list), None, None)
        first.ingress.dispatch(first.ingress.endpoints.apply(endpoint_list))
        assert first.detach("s-0") and first.detach("s-0") and not first.detach("nobody")
        # The next process after an upgrade has the same $TMPDIR.
        second = Daemon(config(endpoint_list), None, None)
        listed = second.ingress.endpoints.apply(endpoint_list)
        states = {
            second.ingress.endpoints.uid_of(endpoint.backend): endpoint.state
            for endpoint in listed.endpoints
        }
        assert states == {"s-0": BackendState.DRAINING, "s-1": BackendState.READY}
        assert second.attach("s-0") and not second.ingress.endpoints.excluded_uids
        third = Daemon(config(endpoint_list), None, None)
        assert not third.ingress.endpoints.excluded_uids

    run(scenario())
