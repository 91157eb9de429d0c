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
from dockthread.lab.scale.channel import Child, Words
from dockthread.lab.scale.plan import Plan
from dockthread.raft.storage import RaftStorage

MOST_CONNECTIONS: Final = 10_000
FILLING: Final = 120.0  # Timeout in seconds for publishing all routes.


class Distribution:
    """The control-plane processes and the addresses at which ingresses reach them."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan, self._folder = plan, folder
        self._held = [reserve_port() for _ in range(2 * plan.voters + plan.distributors)]
        ports = [Address(*one.getsockname()[:2]) for one in self._held]
        self._fleet, ports = ports[: plan.voters], ports[plan.voters :]
        self._voter_at, self._distributor_at = ports[: plan.voters], ports[plan.voters :]
        self.voters = [Child("server", n, "voter") for n in range(plan.voters)]
        self.distributors = [Child("server", n, "distributor") for n in range(plan.distributors)]
        self.publisher, self.relay = Child("publisher"), Child("relay")
        # Addresses of the relay, one per distributor, for the ingresses affected by a cut.
        self.relayed: list[str] = []
        self.key_file = folder / "key"
        self.key_file.write_text(secrets.token_hex(16))

    @property
    def servers(self) -> list[str]:
        """The distributors' addresses."""
        return [str(one) for one in self._distributor_at]

    @property
    def measured(self) -> list[Child]:
        """The processes whose costs are reported."""
        return [*self.voters, *self.distributors]

    def told(self) -> Words:
        """Return the parameters that ingresses need to reach the distributors."""
        return {"servers": [self.servers, self.relayed], "key_file": str(self.key_file)}

    async def start(self) -> None:
        """Start voters, then distributors, the relay and the publisher."""
        await asyncio.gather(
            *(self._start(child, self._voter_file(child.number)) for child in self.voters)
        )
        await asyncio.gather(
            *(
                self._start(child, self._distributor_file(child.number))
                for child in self.distributors
            )
        )
        told = await self.relay.start({"servers": self.servers}, self._folder / "relay.log")
        self.relayed = [f"{HOST}:{port}" for port in told["ports"]]
        words = {"voters": [str(one) for one in self._voter_at], "key_file": str(self.key_file)}
        words |= {"seed": str(self._plan.seed), "routes": str(self._plan.routes)}
        await self.publisher.start(words, self._folder / "publisher.log")

    async def fill(self) -> int:
        """Publish all routes and return the revision of the last."""
        return int((await self.publisher.ask("fill", within=FILLING))["revision"])

    async def end(self) -> None:
        """Stop all processes, starting with those that depend on others."""
        everyone = [self.publisher, self.relay, *self.distributors, *self.voters]
        await asyncio.gather(*(child.end() for child in everyone))
        for one in self._held:
            one.close()

    async def _start(self, child: Child, file: Path) -> None:
        await child.start({"file": str(file)}, self._folder / f"{child.shown}-{child.number}.log")

    def _voter_file(self, number: int) -> Path:
        home = self._folder / f"voter-{number}"
        home.mkdir()
        RaftStorage(home, f"v{number}", create=True).close()
        members = ", ".join(f"v{n}={at}" for n, at in enumerate(self._fleet))
        fleet = (
            f"[fleet]\nlisten = {self._fleet[number]}\nmembers = {members}\ndirectory = {home}\n"
        )
        return self._file(home / "voter.ini", "voter", f"v{number}", self._voter_at[number], fleet)

    def _distributor_file(self, number: int) -> Path:
        servers = f"servers = {', '.join(map(str, self._voter_at))}\n"
        file = self._folder / f"distributor-{number}.ini"
        return self._file(file, "distributor", f"d{number}", self._distributor_at[number], servers)

    def _file(self, file: Path, role: str, name: str, at: Address, more: str) -> Path:
        file.write_text(
            f"[control]\nrole = {role}\nname = {name}\nlisten = {at}\nkey_file = {self.key_file}\n"
            f"most_connections = {MOST_CONNECTIONS}\n{more}"
        )
        return file
