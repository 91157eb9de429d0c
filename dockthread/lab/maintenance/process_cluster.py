"""Runs a cluster of real ingress processes and injects faults into the links between them.

Every link passes through a relay that can be cut or delayed. The caller chooses the backends in the
ingresses' configuration; they need not exist, because maintenance is coordinated between the
ingresses alone. All processes listen on loopback, at ports that the operating system assigns.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from dockthread.config.address import Address
from dockthread.lab.maintenance.relay import Relay
from dockthread.maintenance.transitions import DRAINED_STATES
from dockthread.raft.storage import RaftStorage

HOST = "127.0.0.1"
NO_RESPONSE = 0  # Status code that stands for a missing response.
OK = 200
CALL_TIMEOUT_S = 6.0
STATUS_TIMEOUT_S = 0.5  # Timeout of read-only calls.
MEMORY_MB = 192  # Memory limit of each process that its configuration states.
MAX_SOCKETS = 512  # Maximum number of sockets of each process.


class Link(NamedTuple):
    """One direction of the connection between two ingresses."""

    sender: str
    receiver: str


def reserve_port() -> socket.socket:
    """Reserve a free port for a process that is started later.

    The returned socket is bound but does not listen. While it is open, the operating system assigns
    its port to no other socket, but a process may listen there with SO_REUSEADDR. If the port were
    only looked up and released, an outgoing connection could take it before the process starts.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    return reservation


class ProcessCluster:
    """A cluster of ingress processes.

    Args:
        folder: Directory in which each process has its own subdirectory.
        size: Number of ingresses.
        settings: The platform's settings for all ingresses.
        targets: The configured endpoint list, as entries in discovery's format.
        max_unavailable: Maximum number of unavailable backends in a zone.
        extra_ini_lines: Additional lines of the section `[fleet]`.

    Attributes:
        folder: Directory in which each process has its own subdirectory.
        names: Names of the ingresses.
        client_addresses: Address of each ingress for requests.
        admin_addresses: Address of each ingress's admin endpoint.
        relays: The relay of each link.
        processes: Processes that were started and not killed, by name.
    """

    def __init__(  # noqa: PLR0913  one argument for each part of the processes' configuration
        self,
        folder: Path,
        size: int,
        settings: Mapping[str, Any],
        targets: Sequence[Mapping[str, Any]],
        max_unavailable: int = 1,
        extra_ini_lines: str = "",
    ) -> None:
        self.folder = folder
        self.names = [f"n{number}" for number in range(size)]
        self._settings = settings
        self._targets = targets
        self._max_unavailable = max_unavailable
        self._extra_ini_lines = extra_ini_lines
        self._reservations: list[socket.socket] = []
        self._peer_addresses = {name: self._reserve_address() for name in self.names}
        self.client_addresses = {name: self._reserve_address() for name in self.names}
        self.admin_addresses = {name: self._reserve_address() for name in self.names}
        self.relays = {
            Link(sender, receiver): Relay(self._peer_addresses[receiver])
            for sender in self.names
            for receiver in self.names
            if sender != receiver
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def _reserve_address(self) -> Address:
        self._reservations.append(reserve_port())
        return Address(*self._reservations[-1].getsockname()[:2])

    async def open(self) -> None:
        """Open all links and start all ingresses."""
        for relay in self.relays.values():
            await relay.open()
        for name in self.names:
            self.start(name)

    async def close(self) -> None:
        """Kill all ingresses and close all links."""
        for name in list(self.processes):
            self.kill(name)
        for relay in self.relays.values():
            relay.close()
        for reservation in self._reservations:
            reservation.close()

    def start(self, name: str, ini_text: str = "") -> None:
        """Start an ingress; it recovers the state that a previous process left in its directory.

        Args:
            name: The ingress.
            ini_text: Text of the operator's INI file; empty for the default of this cluster.
        """
        process_folder = self.folder / name
        if not (process_folder / "log").exists():
            RaftStorage(process_folder / "log", name, create=True).close()
        (process_folder / "tmp").mkdir(parents=True, exist_ok=True)
        ini_path = process_folder / "dockthread.ini"
        ini_path.write_text(ini_text or self._ini_text(name))
        config_path = process_folder / "config.json"
        config_path.write_text(json.dumps(self._config(name)))
        environment = {
            **os.environ,
            "NODE_CONFIG": str(config_path),
            "TMPDIR": str(process_folder / "tmp"),
        }
        command = [sys.executable, "-m", "dockthread", "--config", str(ini_path), "serve"]
        with (process_folder / "out").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                command, env=environment, stdout=output, stderr=output
            )

    def _ini_text(self, name: str) -> str:
        addresses = {
            link.receiver: f"{HOST}:{relay.port}"
            for link, relay in self.relays.items()
            if link.sender == name
        }
        addresses[name] = str(self._peer_addresses[name])
        members = ", ".join(f"{member}={addresses[member]}" for member in self.names)
        return (
            f"[fleet]\nlisten = {self._peer_addresses[name]}\nmembers = {members}\n"
            f"directory = {self.folder / name / 'log'}\n"
            f"most_out = {self._max_unavailable}\n{self._extra_ini_lines}"
        )

    def _config(self, name: str) -> dict[str, object]:
        number = self.names.index(name)
        return {
            "name": name,
            "listen": str(self.client_addresses[name]),
            "discovery": f"{HOST}:9",
            "management": str(self.admin_addresses[name]),
            "seed": f"{number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_SOCKETS},
            "known": {"rev": 1, "all": True, "targets": self._targets},
            "settings": {
                **self._settings,
                "MyNumber": number,
                "ReplicasOfMe": len(self.names),
            },
        }

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an ingress."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill an ingress and wait until its process has ended."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def cut(self, side: set[str], both: bool = True) -> None:
        """Cut the links from the ingresses in `side` to those outside, and heal all other links.

        Args:
            side: Names of ingresses.
            both: Whether the links in the opposite direction are cut, too.
        """
        for link, relay in self.relays.items():
            is_outward = link.sender in side and link.receiver not in side
            is_inward = link.receiver in side and link.sender not in side
            relay.is_cut = is_outward or (both and is_inward)

    def heal(self) -> None:
        """Remove all cuts and delays."""
        for relay in self.relays.values():
            relay.is_cut = False
            relay.delay_ms = 0.0

    def delay(self, delay_ms: float) -> None:
        """Delay data on every link."""
        for relay in self.relays.values():
            relay.delay_ms = delay_ms

    async def call(
        self,
        name: str,
        method: str,
        path: str,
        body: object = None,
        time_limit_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        """Call an ingress's admin endpoint.

        Returns:
            The status code and the JSON object or text of the response; the status code is 0 if the
            process does not respond in time.
        """
        data = json.dumps(body).encode() if body is not None else b""
        request_head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
        address = self.admin_addresses[name]
        try:
            async with asyncio.timeout(time_limit_s):
                reader, writer = await asyncio.open_connection(address.host, address.port)
                writer.write(request_head.encode() + data)
                response = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return NO_RESPONSE, None
        response_head, _, text = response.partition(b"\r\n\r\n")
        if not response_head:
            return NO_RESPONSE, None
        status = int(response_head.split()[1])
        is_json = status == OK and text.startswith(b"{")
        return status, json.loads(text) if is_json else text.decode()

    async def get_json(self, name: str, path: str) -> Any:
        """Send a GET request and return the JSON object, or None if there is no valid response."""
        status, content = await self.call(name, "GET", path, time_limit_s=STATUS_TIMEOUT_S)
        return content if status == OK else None

    async def leader(self, among: list[str] | None = None) -> str:
        """Return the name of the leader with the highest term, or "" if no ingress is leader.

        Args:
            among: Names of the ingresses to ask; by default all running ones.
        """
        highest_term = -1
        leader = ""
        for name in among or [name for name in self.names if name in self.processes]:
            status = await self.get_json(name, "/_fleet")
            if status and status["role"] == "leader" and status["term"] > highest_term:
                highest_term = status["term"]
                leader = name
        return leader

    async def drained_targets(
        self, name: str, states: Sequence[str] = DRAINED_STATES
    ) -> set[str] | None:
        """Return the targets of one ingress's maintenance requests that are in one of the states.

        Returns:
            Names of the targets, or None if the ingress does not respond.
        """
        listing = await self.get_json(name, "/_work")
        if listing is None:
            return None
        return {request["target"] for request in listing["work"] if request["state"] in states}
