"""Failing components of a daemon: requests in flight are answered, and the process goes on."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from dockthread import daemon as daemon_module
from dockthread.config.platform_settings import read_config
from dockthread.daemon import Daemon
from tests.loopback import (
    Backend,
    Client,
    Discovery,
    message,
    raw_config,
    request,
    run,
    target,
    until,
)
from tests.net.support import GatedBackend

COMPONENTS = ("resource_applier", "_maintenance", "_management_server", "_exporter")


class FailingComponent:
    """Raises an exception in every method that a shutdown calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def transfer_leadership(self) -> None:
        """Fail to hand over leadership."""
        self.calls.append("transfer_leadership")
        raise RuntimeError("no leadership to hand over")

    def close(self) -> None:
        """Fail to close."""
        self.calls.append("close")
        raise RuntimeError("cannot be closed")

    async def shutdown(self) -> None:
        """Fail to shut down."""
        self.calls.append("shutdown")
        raise RuntimeError("cannot be shut down")


@asynccontextmanager
async def running_daemon(
    backend: Backend, folder: Path, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[tuple[Daemon, Client, asyncio.Task[None]]]:
    """Run a daemon that serves; yield it, a client connected to it, and its task."""
    discovery = Discovery()
    endpoints = message(1, target("s-0", await backend.start()), full=True)
    path = folder / "config.json"
    path.write_text(json.dumps(raw_config(endpoints, await discovery.start())))
    monkeypatch.setenv("NODE_CONFIG", str(path))
    monkeypatch.setenv("TMPDIR", str(folder))
    daemon = Daemon(read_config({"NODE_CONFIG": str(path)}), None, None)
    task = asyncio.create_task(daemon.run())
    await until(lambda: daemon.ingress.ready)
    yield daemon, await Client.open(daemon.ingress.address.port), task
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def test_a_shutdown_answers_requests_and_ends_well_although_every_component_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a component whose failure keeps SIGTERM or a later component from its turn."""

    async def scenario() -> None:
        backend = GatedBackend()
        async with running_daemon(backend, tmp_path, monkeypatch) as (daemon, client, task):
            components = {name: FailingComponent() for name in COMPONENTS}
            for name, component in components.items():
                setattr(daemon, name, component)
            client.writer.write(request(1, "checkout"))
            await until(lambda: backend.received_commands)
            daemon.stop()
            await until(lambda: daemon.ingress.draining)
            backend.may_reply.set()
            assert await client.answer() == b"value"
            assert await client.answer() is None
            client.writer.close()
            await task
            called = {name: component.calls for name, component in components.items()}
        assert called == {
            "resource_applier": ["close"],
            "_maintenance": ["transfer_leadership", "close"],
            "_management_server": ["close"],
            "_exporter": ["shutdown"],
        }

    run(scenario())


def test_a_reload_that_fails_unexpectedly_counts_as_rejected_and_the_next_one_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a file that ends the reload without a count or a line in the log."""

    async def scenario() -> None:
        async with running_daemon(Backend(), tmp_path, monkeypatch) as (daemon, client, _):

            def fail(_: Any) -> Any:
                raise RuntimeError("unexpected")

            with monkeypatch.context() as patch:
                patch.setattr(daemon_module, "reread_config", fail)
                daemon.reload()
                await until(lambda: daemon.admin.reloads.rejected == 1)
            daemon.reload()
            await until(lambda: daemon.admin.reloads.applied == 1)
            assert daemon.admin.reloads.rejected == 1
            assert await client.call() == b"value"

    run(scenario())
