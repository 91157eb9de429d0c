"""Runs voters, distributors and ingresses as real processes on loopback.

Each process is terminated by its own process id.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from dockthread.config.address import Address
from dockthread.control_plane import admin_client
from dockthread.control_plane.messages import (
    PublishResponse,
    StatusRequest,
    StatusResponse,
    SubscriberStatus,
)
from dockthread.lab.maintenance.process_cluster import reserve_port
from dockthread.raft.storage import RaftStorage
from tests.loopback import EMPTY_ENDPOINT_LIST, raw_config

KEY = b"a key of 16 bytes or more"
VOTERS = ("v0", "v1", "v2")
DISTRIBUTORS = ("d0", "d1")
INGRESSES = ("n0", "n1")
TIMEOUT = 20.0  # s, for every command and condition


class ControlRig:
    """Starts and controls the processes named in `VOTERS`, `DISTRIBUTORS` and `INGRESSES`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._reserved_listeners = [reserve_port() for _ in range(8)]
        all_addresses = [
            Address(*listener.getsockname()[:2]) for listener in self._reserved_listeners
        ]
        self.addresses = dict(zip((*VOTERS, *DISTRIBUTORS), all_addresses, strict=False))
        self._fleet_addresses = dict(zip(VOTERS, all_addresses[5:], strict=True))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        (folder / "key").write_bytes(KEY)

    @property
    def voters(self) -> list[Address]:
        return [self.addresses[name] for name in VOTERS]

    @property
    def distributors(self) -> list[Address]:
        return [self.addresses[name] for name in DISTRIBUTORS]

    def start(self, *names: str) -> None:
        for name in names:
            directory = self.folder / name
            directory.mkdir(exist_ok=True)
            (directory / "control.ini").write_text(self._operator_file(name, directory))
            environ = {**os.environ, "TMPDIR": str(directory)}
            arguments = ["control", "serve", "--config", str(directory / "control.ini")]
            if name in INGRESSES:
                (directory / "config.json").write_text(
                    json.dumps(raw_config(EMPTY_ENDPOINT_LIST, 9, name=name))
                )
                environ["NODE_CONFIG"] = str(directory / "config.json")
                arguments = ["serve", "--config", str(directory / "control.ini")]
            with (directory / "out").open("ab") as output:
                command = [sys.executable, "-m", "dockthread", *arguments]
                self.processes[name] = subprocess.Popen(
                    command, env=environ, stdout=output, stderr=output
                )

    def start_missing(self) -> None:
        self.start(
            *(name for name in (*VOTERS, *DISTRIBUTORS, *INGRESSES) if name not in self.processes)
        )

    def _operator_file(self, name: str, directory: Path) -> str:
        upstream_servers = self.distributors if name in INGRESSES else self.voters
        servers = f"servers = {', '.join(map(str, upstream_servers))}\n"
        common = f"[control]\nkey_file = {self.folder / 'key'}\nheartbeat = 200ms\n"
        cache = f"cache = {directory}\ncache_interval = 100ms\n"
        if name in INGRESSES:
            return f"{common}{cache}{servers}role = ingress\nregion = r1\nzone = z{name[1]}\n"
        common += f"name = {name}\nlisten = {self.addresses[name]}\n"
        if name in DISTRIBUTORS:
            return f"{common}{cache}{servers}role = distributor\n"
        if not (directory / "log").exists():
            RaftStorage(directory / "log", name, create=True).close()
        members = ", ".join(
            f"{member}={address}" for member, address in self._fleet_addresses.items()
        )
        fleet = f"[fleet]\nlisten = {self._fleet_addresses[name]}\nmembers = {members}\n"
        return f"{common}role = voter\n{fleet}directory = {directory / 'log'}\n"

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    def kill(self, *names: str) -> None:
        for name in names:
            process = self.processes.pop(name)
            process.kill()
            process.wait()

    def close(self) -> None:
        self.kill(*self.processes)
        for listener in self._reserved_listeners:
            listener.close()

    def output(self, name: str) -> str:
        return (self.folder / name / "out").read_text()

    def command(
        self, arguments: str, servers: list[Address], body: str = ""
    ) -> subprocess.CompletedProcess[str]:
        """Run `dockthread control ARGUMENTS` and wait until it exits."""
        connection_options = [
            "--servers",
            ",".join(map(str, servers)),
            "--key-file",
            str(self.folder / "key"),
        ]
        command = [
            sys.executable,
            "-m",
            "dockthread",
            "control",
            *arguments.split(),
            *connection_options,
        ]
        return subprocess.run(command, input=body, capture_output=True, text=True, timeout=TIMEOUT)

    def publish(self, kind: str, name: str, body: Any) -> PublishResponse:
        """Publish a resource, and check that it is accepted."""
        data = None if body is None else json.dumps(body).encode()
        response = asyncio.run(
            admin_client.publish(
                self.voters, admin_client.new_request(kind, name, data), KEY, TIMEOUT
            )
        )
        assert response.revision > 0, response
        return response

    def status(self, name: str) -> StatusResponse | None:
        """Return the status of a server, or None if it does not respond."""
        try:
            response = asyncio.run(
                admin_client.send_request(self.addresses[name], StatusRequest(), KEY, 0.5)
            )
        except admin_client.NoResponseError:
            return None
        assert isinstance(response, StatusResponse)
        return response

    def connected_subscribers(self) -> dict[str, SubscriberStatus]:
        """Return the ingresses that are connected to a responding distributor, by name."""
        statuses = [status for name in DISTRIBUTORS if (status := self.status(name)) is not None]
        return {
            subscriber.name: subscriber
            for status in statuses
            for subscriber in status.subscribers
            if subscriber.connected
        }

    def server_of(self, ingress: str) -> str:
        """Return the distributor that an ingress is connected to; empty if there is none."""
        for name in DISTRIBUTORS:
            status = self.status(name) if name in self.processes else None
            if status is not None and any(
                subscriber.name == ingress and subscriber.connected
                for subscriber in status.subscribers
            ):
                return name
        return ""

    def has_applied(self, revision: int) -> Callable[[], bool]:
        """Return a condition that holds once every ingress has acknowledged `revision`."""

        def is_applied_everywhere() -> bool:
            subscribers = self.connected_subscribers()
            return len(subscribers) == len(INGRESSES) and all(
                subscriber.revision >= revision for subscriber in subscribers.values()
            )

        return is_applied_everywhere
