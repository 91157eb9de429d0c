"""The section `[control]` of the operator's file.

Without this section, only this module and `messages` of the control plane are loaded, and no socket
is opened for it.
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
"""Minimum length of the shared key in bytes; a shorter key could be guessed."""
MAX_KEY_BYTES: Final = 64
"""Maximum length of the shared key in bytes; BLAKE2b does not support longer keys."""
MIN_CACHE_INTERVAL: Final = 100.0
"""Minimum setting of the time in ms between two writes of the cache."""
MIN_SNAPSHOT_RATE: Final = 1_000_000
"""Minimum setting of the snapshot rate, in bytes per second."""
MIN_HEARTBEAT: Final = 50.0
"""Minimum setting of the time in ms between heartbeats."""
MAX_HEARTBEAT: Final = 1_000.0
"""Maximum setting of the time in ms between heartbeats.

A subscriber leaves a server that is silent for 2.5 s.
"""
MAX_CONNECTIONS: Final = 10_000
"""Maximum setting of the connections of one server."""
MIN_WRITE_BUFFER: Final = 4 << 10
"""Minimum setting of one connection's write buffer, in bytes."""
MAX_WRITE_BUFFER: Final = 16 << 20
"""Maximum setting of one connection's write buffer, in bytes."""
MAX_QUOTED_CHARACTERS: Final = 40
"""Maximum number of characters of an invalid value that an error message quotes."""
ROLES: Final = "ingress, distributor, voter"


class KeyFileError(DockthreadError, ValueError):
    """The file of the shared key cannot be read or has a wrong length."""


class ControlOptions(Section, frozen=True, kw_only=True):
    """Settings of this process in the control plane.

    Attributes:
        role: Role of this process; None if it does not take part in the control plane.
        name: Name of a voter, as in the members of `[fleet]`, or of a distributor. An ingress uses
            the name that the platform assigned.
        listen: HOST:PORT at which a voter or distributor listens.
        servers: HOST:PORT of the servers to receive from.
        far_servers: HOST:PORT of the servers to use while none of `servers` can be reached.
        region: Region of this process.
        zone: Zone of this process.
        key_file: File with the key that all processes share.
        cache: Directory of the snapshot cache; empty if there is no cache.
        cache_interval: Minimum time in ms between two writes of the cache.
        max_connections: Maximum number of concurrent connections of subscribers to a server.
        write_buffer: Bytes that may be buffered in one connection before its next frame is built.
        heartbeat: Time in ms between heartbeats of a server.
        snapshot_rate: Long-term rate at which a server sends snapshots, in bytes per second; a
            burst may be as large as two seconds at that rate.
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
        """Yield the problems found in this section alone, without other sections."""
        if self.role is None:
            if self.listen or self.servers or self.cache:
                yield KeyProblem("role", "is missing", f"write one of {ROLES}")
            return
        yield from self._address_problems()
        yield from self._name_problems()
        yield from self._budget_problems()

    def _address_problems(self) -> Iterable[KeyProblem]:
        if self.listen and host_port(self.listen) is None:
            yield KeyProblem("listen", f"{self.listen!r} is not an address", "write HOST:PORT")
        if self.role == "ingress" and self.listen:
            yield KeyProblem(
                "listen", "is set, but an ingress serves no subscribers", "leave it out"
            )
        if self.role != "ingress" and not self.listen:
            yield KeyProblem(
                "listen",
                "is missing",
                f"write the address at which this {self.role} listens, HOST:PORT",
            )
        if self.role != "voter" and not self.servers:
            yield KeyProblem(
                "servers",
                "is missing",
                f"list the servers from which this {self.role} receives, HOST:PORT, ...",
            )
        if self.role == "voter" and self.servers:
            yield KeyProblem(
                "servers", "is set, but a voter receives through [fleet]", "leave it out"
            )
        if self.far_servers and not self.servers:
            yield KeyProblem(
                "far_servers", "is set without servers", "list the near servers in servers"
            )
        yield from self._server_problems()

    def _server_problems(self) -> Iterable[KeyProblem]:
        listed = (*self.servers, *self.far_servers)
        for key, servers in (("servers", self.servers), ("far_servers", self.far_servers)):
            for server in servers:
                if host_port(server) is None:
                    yield KeyProblem(key, f"{server!r} is not an address", "write HOST:PORT")
                elif listed.count(server) > 1:
                    yield KeyProblem(key, f"lists {server} twice", "list each server once")
                    return

    def _name_problems(self) -> Iterable[KeyProblem]:
        if self.role != "ingress" and not self.name:
            yield KeyProblem("name", "is missing", f"write a unique name for this {self.role}")
        for key in ("name", "region", "zone"):
            value = getattr(self, key)
            if len(value.encode()) > MAX_NAME_BYTES or any(
                character.isspace() for character in value
            ):
                yield KeyProblem(
                    key,
                    f"{value[:MAX_QUOTED_CHARACTERS]!r} is not a valid name",
                    f"use at most {MAX_NAME_BYTES} bytes, without spaces",
                )

    def _budget_problems(self) -> Iterable[KeyProblem]:
        if self.cache_interval < MIN_CACHE_INTERVAL:
            yield KeyProblem(
                "cache_interval",
                f"{self.cache_interval} is too short",
                f"use at least {MIN_CACHE_INTERVAL:g}ms; 10s is typical",
            )
        if not 1 <= self.max_connections <= MAX_CONNECTIONS:
            yield KeyProblem(
                "most_connections", f"{self.max_connections} is out of range", "use 1 to 10000"
            )
        if not MIN_WRITE_BUFFER <= self.write_buffer <= MAX_WRITE_BUFFER:
            yield KeyProblem(
                "write_buffer", f"{self.write_buffer} is out of range", "use 4KiB to 16MiB"
            )
        if self.snapshot_rate < MIN_SNAPSHOT_RATE:
            yield KeyProblem(
                "snapshot_rate",
                f"{self.snapshot_rate} is too low",
                "use at least 1MB; 20MB is typical",
            )
        if not MIN_HEARTBEAT <= self.heartbeat <= MAX_HEARTBEAT:
            yield KeyProblem(
                "heartbeat", f"{self.heartbeat} is out of range", f"use {MIN_HEARTBEAT:g}ms to 1s"
            )

    def listen_address(self) -> Address:
        """Return the address at which this process listens.

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
    """Read the key that all processes share; return an empty key if `path` is empty.

    `setting` is the prefix of error messages: the setting that contains `path`.

    Raises:
        KeyFileError: The file cannot be read or has a wrong length.
    """
    if not path:
        return b""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise KeyFileError(
            f"{setting}{path} cannot be read: {error.strerror}; specify a readable file"
        ) from error
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise KeyFileError(
            f"{setting}{path} holds {len(key)} bytes; use {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes"
        )
    return key
