"""The section `[control]` of the operator's file.

Without it no other module of the control plane is loaded and no socket is opened.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Final, Literal

import msgspec

from dockthread.config.address import Address, host_port
from dockthread.config.ini_reader import KeyProblem, Section
from dockthread.config.quantities import Duration, Size
from dockthread.control_plane.messages import MAX_NAME_BYTES
from dockthread.errors import DockthreadError

MIN_KEY_BYTES: Final = 16
"""Bytes of the shared key; fewer could be guessed."""
MAX_KEY_BYTES: Final = 64
"""Bytes of the shared key that BLAKE2b takes."""
MIN_CACHE_INTERVAL: Final = 100.0
"""Time in ms between two writes of the cache."""
MIN_SNAPSHOT_RATE: Final = 1_000_000
"""Bytes of snapshots a second."""
MIN_HEARTBEAT: Final = 50.0
"""Time in ms between heartbeats."""
MAX_HEARTBEAT: Final = 1_000.0
"""Time in ms between heartbeats: a subscriber leaves a server that is silent for 2.5 s."""
MAX_CONNECTIONS: Final = 10_000
"""Connections of one server."""
MIN_WRITE_BUFFER: Final = 4 << 10
"""Bytes of one connection's write buffer."""
MAX_WRITE_BUFFER: Final = 16 << 20
"""Bytes of one connection's write buffer."""
SHOWN_CHARACTERS: Final = 40
"""Characters of a wrong value that an error repeats."""
ROLES: Final = "ingress, distributor, voter"


class KeyFileError(DockthreadError, ValueError):
    """The file of the shared key cannot be read or has a wrong length."""


class ControlOptions(Section, frozen=True, kw_only=True):
    """Settings of this process in the control plane.

    Attributes:
        role: What this process is; None where it takes no part.
        name: Name of a voter, as in the members of `[fleet]`, or of a distributor. An ingress has
            the platform's name.
        listen: HOST:PORT at which a voter or distributor serves.
        servers: HOST:PORT of the servers to receive from.
        far_servers: HOST:PORT of those to use while none of `servers` can be reached.
        region: Region of this process.
        zone: Zone of this process.
        key_file: File with the key that all processes share.
        cache: Directory of the snapshot cache; empty for none.
        cache_interval: Least time in ms between two writes of the cache.
        max_connections: Connections that a server accepts at once.
        write_buffer: Bytes that may wait in one connection before its next frame is made.
        heartbeat: Time in ms between heartbeats of a server.
        snapshot_rate: Bytes of snapshots a second that a server sends over time; twice as many
            may leave at once.
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
    max_connections: int = msgspec.field(name="most_connections", default=512)
    write_buffer: Size = Size(64 << 10)
    heartbeat: Duration = Duration(1_000.0)
    snapshot_rate: Size = Size(20_000_000)

    def problems(self) -> Iterable[KeyProblem]:
        """Yield everything that is wrong with this section by itself."""
        if self.role is None:
            if self.listen or self.servers or self.cache:
                yield KeyProblem("role", "is missing", f"write one of {ROLES}")
            return
        yield from self._address_problems()
        yield from self._name_problems()
        yield from self._budget_problems()

    def _address_problems(self) -> Iterable[KeyProblem]:
        if self.listen and host_port(self.listen) is None:
            yield KeyProblem("listen", f"{self.listen!r} is no address", "write HOST:PORT")
        if self.role == "ingress" and self.listen:
            yield KeyProblem(
                "listen", "is set, and an ingress serves no subscribers", "leave it out"
            )
        if self.role != "ingress" and not self.listen:
            yield KeyProblem(
                "listen",
                "is missing",
                f"write the address at which this {self.role} serves, HOST:PORT",
            )
        if self.role != "voter" and not self.servers:
            yield KeyProblem(
                "servers",
                "is missing",
                f"name those from which this {self.role} receives, HOST:PORT, ...",
            )
        if self.role == "voter" and self.servers:
            yield KeyProblem("servers", "is set, and a voter receives by [fleet]", "leave it out")
        if self.far_servers and not self.servers:
            yield KeyProblem(
                "far_servers", "is set without servers", "name the near ones in servers"
            )
        yield from self._server_problems()

    def _server_problems(self) -> Iterable[KeyProblem]:
        named = (*self.servers, *self.far_servers)
        for key, servers in (("servers", self.servers), ("far_servers", self.far_servers)):
            for server in servers:
                if host_port(server) is None:
                    yield KeyProblem(key, f"{server!r} is no address", "write HOST:PORT")
                elif named.count(server) > 1:
                    yield KeyProblem(key, f"names {server} twice", "name each once")
                    return

    def _name_problems(self) -> Iterable[KeyProblem]:
        if self.role != "ingress" and not self.name:
            yield KeyProblem(
                "name", "is missing", f"write a name of this {self.role} that no other has"
            )
        for key in ("name", "region", "zone"):
            value = getattr(self, key)
            if len(value.encode()) > MAX_NAME_BYTES or any(
                character.isspace() for character in value
            ):
                yield KeyProblem(
                    key,
                    f"{value[:SHOWN_CHARACTERS]!r} is no name",
                    f"write {MAX_NAME_BYTES} bytes at most, without spaces",
                )

    def _budget_problems(self) -> Iterable[KeyProblem]:
        if self.cache_interval < MIN_CACHE_INTERVAL:
            yield KeyProblem(
                "cache_interval",
                f"{self.cache_interval} is too short",
                f"{MIN_CACHE_INTERVAL:g}ms at least; 10s is usual",
            )
        if not 1 <= self.max_connections <= MAX_CONNECTIONS:
            yield KeyProblem(
                "most_connections", f"{self.max_connections} is out of range", "1 to 10000"
            )
        if not MIN_WRITE_BUFFER <= self.write_buffer <= MAX_WRITE_BUFFER:
            yield KeyProblem(
                "write_buffer", f"{self.write_buffer} is out of range", "4KiB to 16MiB"
            )
        if self.snapshot_rate < MIN_SNAPSHOT_RATE:
            yield KeyProblem(
                "snapshot_rate", f"{self.snapshot_rate} is too low", "1MB at least; 20MB is usual"
            )
        if not MIN_HEARTBEAT <= self.heartbeat <= MAX_HEARTBEAT:
            yield KeyProblem(
                "heartbeat", f"{self.heartbeat} is out of range", f"{MIN_HEARTBEAT:g}ms to 1s"
            )

    def listen_address(self) -> Address:
        """Return the address at which this process serves.

        Raises:
            SettingsError: `listen` is not HOST:PORT.
        """
        return Address.parse(self.listen)

    def key(self) -> bytes:
        """Read the shared key.

        Raises:
            KeyFileError: The file cannot be read or has a wrong length.
        """
        return read_key(self.key_file, "[control] key_file: ")


def read_key(path: str, setting: str = "") -> bytes:
    """Read the key that all processes share; empty where `path` is empty.

    `setting` begins the text of an error: the key of the file that named `path`.

    Raises:
        KeyFileError: The file cannot be read or has a wrong length.
    """
    if not path:
        return b""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise KeyFileError(
            f"{setting}{path} cannot be read: {error.strerror}; name a file that can"
        ) from error
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise KeyFileError(
            f"{setting}{path} holds {len(key)} bytes; {MIN_KEY_BYTES} to {MAX_KEY_BYTES} would do"
        )
    return key
