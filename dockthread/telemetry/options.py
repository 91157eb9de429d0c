"""Settings in the sections `[telemetry]`, `[graphite NAME]` and `[collectd NAME]`."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Literal

from dockthread.config.address import host_port
from dockthread.config.ini_reader import KeyProblem, Section
from dockthread.config.quantities import Duration, Size

# Limits of the interval between two reports.
MIN_INTERVAL = Duration(100)
MAX_INTERVAL = Duration(3_600_000)
# Maximum time that shutdown may wait for the final report to be delivered.
MAX_FAREWELL = Duration(5_000)
# Maximum number of customers, and of backends, in one report, which bounds its size.
MAX_REPORTED_ENTRIES = 500
# Minimum queue size, which is enough for one report.
MIN_QUEUE = Size(16 * 1024)
# Maximum number of characters in Graphite's prefix.
MAX_PREFIX_LENGTH = 128
# Maximum number of bytes in a user name, which is part of each packet.
MAX_USER_BYTES = 256
# Maximum number of characters in a plugin name.
MAX_PLUGIN_LENGTH = 32
# Prefix of the address of a unix socket.
UNIX_PREFIX = "unix:"
# Maximum number of bytes in the path of a unix socket: the kernel's limit without the NUL.
MAX_SOCKET_PATH_BYTES = 107
# Maximum number of bytes that are read from a password file.
MAX_PASSWORD_FILE_BYTES = 4096


class TelemetryOptions(Section, frozen=True, kw_only=True):
    """Settings that apply to all receivers.

    Attributes:
        interval: The interval between two reports.
        farewell: The time limit for delivering the final report at shutdown.
        firms: Maximum number of customers reported; those that requested the most units.
        nodes: Maximum number of backends reported; those with the most attempts in flight.
        queue: Maximum queue size for each receiver; by default 1/64 of the ingress's memory.
    """

    interval: Duration = Duration(10_000)
    farewell: Duration = Duration(500)
    firms: int = 20
    nodes: int = 64
    queue: Size | None = None

    def problems(self) -> Iterable[KeyProblem]:
        """Yield a problem for each value that is out of range."""
        if not MIN_INTERVAL <= self.interval <= MAX_INTERVAL:
            yield KeyProblem(
                "interval",
                f"{self.interval} is out of range",
                f"write {MIN_INTERVAL} to {MAX_INTERVAL}",
            )
        if self.farewell > MAX_FAREWELL:
            yield KeyProblem(
                "farewell",
                f"{self.farewell} would delay the shutdown too long",
                f"write {MAX_FAREWELL} or less",
            )
        for key, count in (("firms", self.firms), ("nodes", self.nodes)):
            if not 0 <= count <= MAX_REPORTED_ENTRIES:
                yield KeyProblem(
                    key, f"{count} is out of range", f"write 0 to {MAX_REPORTED_ENTRIES}"
                )
        if self.queue is not None and self.queue < MIN_QUEUE:
            yield KeyProblem(
                "queue",
                f"{self.queue} is too small for one report",
                f"write {MIN_QUEUE} or more",
            )


class GraphiteOptions(Section, frozen=True, kw_only=True):
    """A Graphite receiver.

    Attributes:
        address: The HOST:PORT at which carbon listens.
        protocol: The protocol that carbon expects at this port.
        prefix: The first parts of each path.
        tags: Whether series have names such as `prefix.answers;class=...;plan=...` in place of
            dotted paths, for a Graphite version that supports tags.
    """

    address: str
    protocol: Literal["plaintext", "pickle"] = "plaintext"
    prefix: str = "dockthread"
    tags: bool = False

    def problems(self) -> Iterable[KeyProblem]:
        """Yield a problem for an invalid address or prefix."""
        yield from _address_problems(self.address, allow_unix=False)
        is_valid = all(map(_is_prefix_part, self.prefix.split(".")))
        if not is_valid or len(self.prefix) > MAX_PREFIX_LENGTH:
            yield KeyProblem(
                "prefix",
                f"{self.prefix[:40]!r} is not a valid path",
                "write letters, digits, - and _, separated by single dots",
            )


class CollectdOptions(Section, frozen=True, kw_only=True):
    """A collectd receiver.

    Attributes:
        address: The HOST:PORT of the network plugin, or `unix:PATH` for the unixsock plugin, which
            supports neither signing nor encryption.
        security: Whether packets are signed or encrypted.
        user: The user name with which packets are signed or encrypted.
        password_file: A file whose first line is the user's password.
        plugin: The plugin name in collectd's identifiers.
    """

    address: str
    security: Literal["none", "sign", "encrypt"] = "none"
    user: str = ""
    password_file: str = ""
    plugin: str = "dockthread"

    @property
    def path(self) -> str:
        """The path of the unix socket; empty for a HOST:PORT."""
        return self.address.removeprefix(UNIX_PREFIX) if self._is_unix else ""

    @property
    def _is_unix(self) -> bool:
        return self.address.startswith(UNIX_PREFIX)

    def problems(self) -> Iterable[KeyProblem]:
        """Yield a problem for each invalid value and each value that `security` needs but lacks."""
        yield from _address_problems(self.address, allow_unix=True)
        if self.security != "none":
            yield from self._security_problems()
        is_valid = self.plugin.replace("_", "").isalnum()
        if not is_valid or len(self.plugin) > MAX_PLUGIN_LENGTH:
            yield KeyProblem(
                "plugin",
                f"{self.plugin[:40]!r} is not a valid plugin name",
                f"write at most {MAX_PLUGIN_LENGTH} letters, digits and _",
            )

    def _security_problems(self) -> Iterable[KeyProblem]:
        if self.path:
            yield KeyProblem(
                "security",
                "a unix socket supports neither signing nor encryption",
                "write security = none, or omit the key",
            )
        reason = f"is needed for security = {self.security}"
        if not self.user or len(self.user.encode()) > MAX_USER_BYTES:
            yield KeyProblem("user", reason, f"write a name of at most {MAX_USER_BYTES} bytes")
        if not self.password_file:
            yield KeyProblem("password_file", reason, "write the path of a file")

    def password(self) -> bytes:
        """Return the first line of the password file; empty if no password is needed.

        Raises:
            OSError: if the file cannot be read.
        """
        if self.security == "none":
            return b""
        with open(self.password_file, "rb") as file:
            return file.read(MAX_PASSWORD_FILE_BYTES).split(b"\n")[0].rstrip(b"\r")


def _is_prefix_part(part: str) -> bool:
    return part.isascii() and part.replace("-", "").replace("_", "").isalnum()


def _address_problems(address: str, allow_unix: bool) -> Iterable[KeyProblem]:
    if allow_unix and address.startswith(UNIX_PREFIX):
        path = address.removeprefix(UNIX_PREFIX)
        if not path.startswith("/") or len(path.encode()) > MAX_SOCKET_PATH_BYTES:
            yield KeyProblem(
                "address",
                f"{address[:120]!r} is not the address of a unix socket",
                f"write unix:/PATH with a path of at most {MAX_SOCKET_PATH_BYTES} bytes",
            )
    elif host_port(address) is None:
        expected_format = "HOST:PORT" + (" or unix:/PATH" if allow_unix else "")
        yield KeyProblem(
            "address", f"{address[:80]!r} is not an address", f"write {expected_format}"
        )


def shared_names(graphite: Mapping[str, Any], collectd: Mapping[str, Any]) -> list[str]:
    """Return the names that both a Graphite and a collectd receiver have.

    Such names are not allowed, because the metrics about both receivers would share their series.
    """
    return sorted(graphite.keys() & collectd.keys())
