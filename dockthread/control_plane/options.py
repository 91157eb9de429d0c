"""The section `[control]` of the operator's file. Without it nothing of the distribution is opened
or loaded.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Literal

from dockthread.config.address import Address
from dockthread.config.ini_reader import Section
from dockthread.config.quantities import Duration, Size
from dockthread.control_plane.messages import MAX_NAME_BYTES
from dockthread.telemetry.options import host_port

LEAST_KEY, MOST_KEY = 16, 64  # bytes of the shared key
LEAST_SAVE = 100.0  # ms between two writes of the cache
LEAST_RATE = 1_000_000  # bytes of snapshots a second
# ms: whoever hears nothing for 2.5 s leaves a server
LEAST_HEARTBEAT, MOST_HEARTBEAT = 50.0, 1_000.0
ROLES = "ingress, distributor, voter"

Fault = tuple[str, str, str]


class ControlOptions(Section, frozen=True, kw_only=True):
    """`role`: what this process is in the distribution; absent for none of it. `name`: of a voter,
    as in `[fleet]` members, or of a distributor; an ingress has the platform's. `listen`: where a
    voter or distributor serves. `servers`: HOST:PORT of those to receive from, `far_servers` of
    those to turn to while none of these can be reached. `cache`: a directory for the last state in
    force. `cache_interval`: least time between two writes of it. `most_connections`: what a server
    holds at once. `write_buffer`: bytes that wait for one connection before its next message is
    asked for. `heartbeat`: between signs of life. `snapshot_rate`: bytes of whole states a second
    that a server sends over time, twice as many at once.
    """

    role: Literal["ingress", "distributor", "voter"] | None = None
    name: str = ""
    listen: str = ""
    servers: tuple[str, ...] = ()
    far_servers: tuple[str, ...] = ()
    region: str = ""
    zone: str = ""
    key_file: str = ""
    cache: str = ""
    cache_interval: Duration = Duration(10_000.0)
    most_connections: int = 512
    write_buffer: Size = Size(64 << 10)
    heartbeat: Duration = Duration(1_000.0)
    snapshot_rate: Size = Size(20_000_000)

    def faults(self) -> Iterable[Fault]:
        """Key, fault and what would do, of all that this section shows to be wrong."""
        if self.role is None:
            if self.listen or self.servers or self.cache:
                yield "role", "is missing", f"write one of {ROLES}"
            return
        yield from self._address_faults()
        yield from self._name_faults()
        yield from self._budget_faults()

    def _address_faults(self) -> Iterable[Fault]:
        if self.listen and host_port(self.listen) is None:
            yield "listen", f"{self.listen!r} is no address", "write HOST:PORT"
        if self.role == "ingress" and self.listen:
            yield "listen", "is set, and an ingress serves no subscribers", "leave it out"
        if self.role != "ingress" and not self.listen:
            yield (
                "listen",
                "is missing",
                f"write the address at which this {self.role} serves, HOST:PORT",
            )
        if self.role != "voter" and not self.servers:
            yield (
                "servers",
                "is missing",
                f"name those from which this {self.role} receives, HOST:PORT, ...",
            )
        if self.role == "voter" and self.servers:
            yield "servers", "is set, and a voter receives by [fleet]", "leave it out"
        if self.far_servers and not self.servers:
            yield "far_servers", "is set without servers", "name the near ones in servers"
        named = (*self.servers, *self.far_servers)
        for key, servers in (("servers", self.servers), ("far_servers", self.far_servers)):
            for server in servers:
                if host_port(server) is None:
                    yield key, f"{server!r} is no address", "write HOST:PORT"
                elif named.count(server) > 1:
                    yield key, f"names {server} twice", "name each once"
                    return

    def _name_faults(self) -> Iterable[Fault]:
        if self.role != "ingress" and not self.name:
            yield "name", "is missing", f"write a name of this {self.role} that no other has"
        for key in ("name", "region", "zone"):
            value = getattr(self, key)
            if len(value.encode()) > MAX_NAME_BYTES or any(c.isspace() for c in value):
                yield (
                    key,
                    f"{value[:40]!r} is no name",
                    f"write {MAX_NAME_BYTES} bytes at most, without spaces",
                )

    def _budget_faults(self) -> Iterable[Fault]:
        if self.cache_interval < LEAST_SAVE:
            yield (
                "cache_interval",
                f"{self.cache_interval} is too short",
                f"{LEAST_SAVE:g}ms at least; 10s is usual",
            )
        if not 1 <= self.most_connections <= 10_000:
            yield "most_connections", f"{self.most_connections} is out of range", "1 to 10000"
        if not 4 << 10 <= self.write_buffer <= 16 << 20:
            yield "write_buffer", f"{self.write_buffer} is out of range", "4KiB to 16MiB"
        if self.snapshot_rate < LEAST_RATE:
            yield "snapshot_rate", f"{self.snapshot_rate} is too low", "1MB at least; 20MB is usual"
        if not LEAST_HEARTBEAT <= self.heartbeat <= MOST_HEARTBEAT:
            yield "heartbeat", f"{self.heartbeat} is out of range", f"{LEAST_HEARTBEAT:g}ms to 1s"

    def listen_address(self) -> Address:
        """Where it listens. Raises SettingsError for what is no address."""
        return Address.parse(self.listen)

    def key(self) -> bytes:
        """Raises ValueError where it cannot be read or has a wrong length."""
        return read_key(self.key_file, "[control] key_file: ")


def read_key(path: str, where: str = "") -> bytes:
    """The key that all share; empty where no file is named. Raises ValueError with one plain
    line.
    """
    if not path:
        return b""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise ValueError(
            f"{where}{path} cannot be read: {error.strerror}; name a file that can"
        ) from error
    if not LEAST_KEY <= len(key) <= MOST_KEY:
        raise ValueError(
            f"{where}{path} holds {len(key)} bytes; {LEAST_KEY} to {MOST_KEY} would do"
        )
    return key
