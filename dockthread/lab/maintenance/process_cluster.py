"""Starts real ingresses that are one fleet, with every link between them led through a relay, and
puts faults there.

Each process is ended by its own id. Its configuration lists backends of the rig's choosing, which
need not exist: what is rehearsed is how the ingresses settle among themselves. All on loopback,
ports of the system's choosing.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

from dockthread.config.address import Address
from dockthread.lab.maintenance.relay import Relay
from dockthread.maintenance.scheduler import HELD
from dockthread.raft.storage import RaftStorage

HOST = "127.0.0.1"


def reserve_port() -> socket.socket:
    """A port that the system gives to nobody else while this is held, and that a process started
    here may listen at: a port that was only found free was now and then taken by an outgoing
    connection before the process came up.
    """
    one = socket.socket()
    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    one.bind((HOST, 0))
    return one


class ProcessCluster:
    """`settings`: the platform's object, for all. `targets`: what discovery lists, in its own form.
    `more`: further lines of the section `[fleet]`.
    """

    def __init__(
        self,
        folder: Path,
        size: int,
        settings: dict[str, Any],
        targets: list[dict[str, Any]],
        most_out: int = 1,
        more: str = "",
    ) -> None:
        self.folder, self.names = folder, [f"n{i}" for i in range(size)]
        self._settings, self._targets, self._most_out, self._more = (
            settings,
            targets,
            most_out,
            more,
        )
        self._reserved: list[socket.socket] = []
        self.listen = {name: self._address() for name in self.names}
        self.client = {name: self._address() for name in self.names}
        self.door = {name: self._address() for name in self.names}
        self.links = {
            (a, b): Relay(self.listen[b]) for a in self.names for b in self.names if a != b
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def _address(self) -> Address:
        self._reserved.append(reserve_port())
        return Address(*self._reserved[-1].getsockname()[:2])

    async def open(self) -> None:
        for link in self.links.values():
            await link.open()
        for name in self.names:
            self.start(name)

    async def close(self) -> None:
        for name in list(self.processes):
            self.kill(name)
        for link in self.links.values():
            link.close()
        for one in self._reserved:
            one.close()

    def start(self, name: str, file: str = "") -> None:
        """With whatever its directory holds from before. `file`: the operator's, in place of the
        rig's own.
        """
        home = self.folder / name
        if not (home / "log").exists():
            RaftStorage(home / "log", name, create=True).close()
        (home / "tmp").mkdir(parents=True, exist_ok=True)
        at = {
            other: f"{HOST}:{self.links[name, other].port}" for other in self.names if other != name
        }
        at[name] = str(self.listen[name])
        members = ", ".join(f"{other}={at[other]}" for other in self.names)
        (home / "dockthread.ini").write_text(
            file
            or f"[fleet]\nlisten = {self.listen[name]}\nmembers = {members}\ndirectory = {home / 'log'}\n"
            f"most_out = {self._most_out}\n{self._more}"
        )
        known = {"rev": 1, "all": True, "targets": self._targets}
        number = self.names.index(name)
        settings = {**self._settings, "MyNumber": number, "ReplicasOfMe": len(self.names)}
        config = {
            "name": name,
            "listen": str(self.client[name]),
            "discovery": f"{HOST}:9",
            "management": str(self.door[name]),
            "seed": f"{number + 1:x}",
            "limits": {"sockets": 512},
            "known": known,
            "settings": settings,
        }
        (home / "config.json").write_text(json.dumps(config))
        environ = {
            **os.environ,
            "NODE_CONFIG": str(home / "config.json"),
            "TMPDIR": str(home / "tmp"),
        }
        command = [
            sys.executable,
            "-m",
            "dockthread",
            "--config",
            str(home / "dockthread.ini"),
            "serve",
        ]
        with (home / "out").open("ab") as out:
            self.processes[name] = subprocess.Popen(command, env=environ, stdout=out, stderr=out)

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def cut(self, side: set[str], both: bool = True) -> None:
        """Nothing passes from `side` to the others and, if `both`, back."""
        for (a, b), link in self.links.items():
            link.cut = (a in side and b not in side) or (both and b in side and a not in side)

    def heal(self) -> None:
        for link in self.links.values():
            link.cut, link.delay = False, 0.0

    async def call(
        self, name: str, method: str, path: str, body: Any = None, most: float = 6.0
    ) -> tuple[int, Any]:
        """Status and JSON of a management call; status 0 where the process does not answer in
        `most` s.
        """
        try:
            async with asyncio.timeout(most):
                reader, writer = await asyncio.open_connection(
                    self.door[name].host, self.door[name].port
                )
                data = json.dumps(body).encode() if body is not None else b""
                head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return 0, None
        head_, _, text = answer.partition(b"\r\n\r\n")
        if not head_:
            return 0, None
        status = int(head_.split()[1])
        return status, json.loads(text) if status == 200 and text.startswith(
            b"{"
        ) else text.decode()

    async def leader(self, among: list[str] | None = None) -> str:
        """Whoever leads in the highest term that any of them knows; empty where none does."""
        best, found = -1, ""
        for name in among or [n for n in self.names if n in self.processes]:
            status, said = await self.call(name, "GET", "/_fleet", most=0.5)
            if status == 200 and said["role"] == "leader" and said["term"] > best:
                best, found = said["term"], name
        return found

    async def away(self, name: str, states: tuple[str, ...] = HELD) -> set[str] | None:
        """What one member takes for granted or out; None where it does not answer."""
        status, said = await self.call(name, "GET", "/_work", most=0.5)
        return (
            {r["target"] for r in said["work"] if r["state"] in states} if status == 200 else None
        )
