"""The control-plane processes of a run: voters, distributors, a publisher and a relay.

The relay stands in front of the distributors and can be cut.
"""

from __future__ import annotations

import asyncio
import secrets
from pathlib import Path
from typing import Final

from dockthread.config.address import Address
from dockthread.lab.maintenance.process_cluster import HOST, reserve_port
from dockthread.lab.scale.channel import ChildProcess, JsonObject
from dockthread.lab.scale.plan import RunPlan
from dockthread.raft.storage import RaftStorage

MAX_CONNECTIONS: Final = 10_000
PUBLISH_ROUTES_TIMEOUT_S: Final = 120.0  # Timeout in seconds for publishing all routes.


class Distribution:
    """The control-plane processes and the addresses at which ingresses reach them."""

    def __init__(self, plan: RunPlan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._reserved_sockets = [
            reserve_port() for _ in range(2 * plan.voters + plan.distributors)
        ]
        addresses = [
            Address(*reserved_socket.getsockname()[:2])
            for reserved_socket in self._reserved_sockets
        ]
        self._raft_addresses = addresses[: plan.voters]
        addresses = addresses[plan.voters :]
        self._voter_addresses = addresses[: plan.voters]
        self._distributor_addresses = addresses[plan.voters :]
        self.voters = [ChildProcess("server", number, "voter") for number in range(plan.voters)]
        self.distributors = [
            ChildProcess("server", number, "distributor") for number in range(plan.distributors)
        ]
        self.publisher = ChildProcess("publisher")
        self.relay = ChildProcess("relay")
        # Addresses of the relay, one per distributor, for the ingresses affected by a cut.
        self.relay_addresses: list[str] = []
        self.key_file = folder / "key"
        self.key_file.write_text(secrets.token_hex(16))

    @property
    def servers(self) -> list[str]:
        """The distributors' addresses."""
        return [str(address) for address in self._distributor_addresses]

    @property
    def measured_processes(self) -> list[ChildProcess]:
        """The processes whose costs are reported."""
        return [*self.voters, *self.distributors]

    def ingress_arguments(self) -> JsonObject:
        """Return the parameters that ingresses need to reach the distributors."""
        return {"servers": [self.servers, self.relay_addresses], "key_file": str(self.key_file)}

    async def start(self) -> None:
        """Start voters, then distributors, the relay and the publisher."""
        await asyncio.gather(
            *(self._start(child, self._write_voter_file(child.number)) for child in self.voters)
        )
        await asyncio.gather(
            *(
                self._start(child, self._write_distributor_file(child.number))
                for child in self.distributors
            )
        )
        answer = await self.relay.start({"servers": self.servers}, self._folder / "relay.log")
        self.relay_addresses = [f"{HOST}:{port}" for port in answer["ports"]]
        publisher_arguments = {
            "voters": [str(address) for address in self._voter_addresses],
            "key_file": str(self.key_file),
        }
        publisher_arguments |= {"seed": str(self._plan.seed), "routes": str(self._plan.routes)}
        await self.publisher.start(publisher_arguments, self._folder / "publisher.log")

    async def publish_all_routes(self) -> int:
        """Publish all routes and return the revision of the last."""
        return int(
            (await self.publisher.call("fill", timeout_s=PUBLISH_ROUTES_TIMEOUT_S))["revision"]
        )

    async def stop(self) -> None:
        """Stop all processes, starting with those that depend on others."""
        processes = [self.publisher, self.relay, *self.distributors, *self.voters]
        await asyncio.gather(*(child.stop() for child in processes))
        for reserved_socket in self._reserved_sockets:
            reserved_socket.close()

    async def _start(self, child: ChildProcess, path: Path) -> None:
        await child.start(
            {"file": str(path)}, self._folder / f"{child.report_role}-{child.number}.log"
        )

    def _write_voter_file(self, number: int) -> Path:
        directory = self._folder / f"voter-{number}"
        directory.mkdir()
        RaftStorage(directory, f"v{number}", create=True).close()
        members = ", ".join(
            f"v{member}={address}" for member, address in enumerate(self._raft_addresses)
        )
        fleet_section = (
            f"[fleet]\nlisten = {self._raft_addresses[number]}\nmembers = {members}\n"
            f"directory = {directory}\n"
        )
        return self._write_file(
            directory / "voter.ini",
            "voter",
            f"v{number}",
            self._voter_addresses[number],
            fleet_section,
        )

    def _write_distributor_file(self, number: int) -> Path:
        servers_line = f"servers = {', '.join(map(str, self._voter_addresses))}\n"
        path = self._folder / f"distributor-{number}.ini"
        return self._write_file(
            path, "distributor", f"d{number}", self._distributor_addresses[number], servers_line
        )

    def _write_file(
        self, path: Path, role: str, name: str, address: Address, extra_lines: str
    ) -> Path:
        path.write_text(
            f"[control]\nrole = {role}\nname = {name}\nlisten = {address}\nkey_file = {self.key_file}\n"
            f"most_connections = {MAX_CONNECTIONS}\n{extra_lines}"
        )
        return path
