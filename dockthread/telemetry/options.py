"""The sections `[telemetry]`, `[graphite NAME]` and `[collectd NAME]` of the operator's file."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Literal

from dockthread.config.address import host_port
from dockthread.config.ini_reader import KeyProblem, Section
from dockthread.config.quantities import Duration, Size

# Limits of the time between two reports.
MIN_INTERVAL = Duration(100)
MAX_INTERVAL = Duration(3_600_000)
# The longest time that a last report may hold up the exit.
MAX_FAREWELL = Duration(5_000)
# The most customers, and the most backends, in one report, so that it stays bounded.
MAX_REPORTED = 500
# The smallest queue that holds a report.
MIN_QUEUE = Size(16 * 1024)
# Characters of Graphite's prefix.
MAX_PREFIX_LENGTH = 128
# Bytes of a user's name, which goes into each packet.
MAX_USER_BYTES = 256
# Characters of a plugin's name.
MAX_PLUGIN_LENGTH = 32
# Begins the address of a unix socket.
UNIX_PREFIX = "unix:"
# Bytes of the path of a unix socket: the kernel's limit without the NUL.
MAX_SOCKET_PATH_BYTES = 107
# Bytes of a password's file that are read.
MAX_PASSWORD_FILE_BYTES = 4096


class TelemetryOptions(Section, frozen=True, kw_only=True):
    """Settings that hold for all receivers.

    Attributes:
        interval: The time between two reports.
        farewell: The time in which the last report must be delivered.
        firms: The customers whose rates are reported: those that requested most.
        nodes: The backends that are reported: those with most attempts in flight.
        queue: The most bytes that wait for one receiver; by default a 64th of the ingress's memory.
    """

    interval: Duration = Duration(10_000)
    farewell: Duration = Duration(500)
    firms: int = 20
    nodes: int = 64
    queue: Size | None = None

    def problems(self) -> Iterable[KeyProblem]:
        """Yield each value that is out of range."""
        if not MIN_INTERVAL <= self.interval <= MAX_INTERVAL:
            yield KeyProblem(
                "interval",
                f"{self.interval} is out of range",
                f"{MIN_INTERVAL} to {MAX_INTERVAL} would do",
            )
        if self.farewell > MAX_FAREWELL:
            yield KeyProblem(
                "farewell", f"{self.farewell} would hold up the exit", f"{MAX_FAREWELL} is the most"
            )
        for key, count in (("firms", self.firms), ("nodes", self.nodes)):
            if not 0 <= count <= MAX_REPORTED:
                yield KeyProblem(key, f"{count} is out of range", f"0 to {MAX_REPORTED} would do")
        if self.queue is not None and self.queue < MIN_QUEUE:
            yield KeyProblem("queue", f"{self.queue} holds no report", f"{MIN_QUEUE} is the least")


class GraphiteOptions(Section, frozen=True, kw_only=True):
    """A Graphite receiver.

    Attributes:
        address: HOST:PORT of carbon.
        protocol: The protocol of that port.
        prefix: The first parts of each path.
        tags: Whether to write `prefix.answers;class=...;plan=...` in place of dotted paths, for a
            Graphite with tags.
    """

    address: str
    protocol: Literal["plaintext", "pickle"] = "plaintext"
    prefix: str = "dockthread"
    tags: bool = False

    def problems(self) -> Iterable[KeyProblem]:
        """Yield a wrong address or prefix."""
        yield from _address_problems(self.address, allow_unix=False)
        is_path = all(map(_is_prefix_part, self.prefix.split(".")))
        if not is_path or len(self.prefix) > MAX_PREFIX_LENGTH:
            yield KeyProblem(
                "prefix",
                f"{self.prefix[:40]!r} is no path",
                "letters, digits, - and _ between single dots",
            )


class CollectdOptions(Section, frozen=True, kw_only=True):
    """A collectd receiver.

    Attributes:
        address: HOST:PORT of the network plugin, or `unix:PATH` of the unixsock plugin, which has
            no security.
        security: Whether packets are signed or encrypted.
        user: The user who signs or encrypts.
        password_file: The file whose first line is the user's password.
        plugin: The plugin's name in collectd's identifiers.
    """

    address: str
    security: Literal["none", "sign", "encrypt"] = "none"
    user: str = ""
    password_file: str = ""
    plugin: str = "dockthread"

    @property
    def path(self) -> str:
        """The path of a unix socket, or empty."""
        return self.address.removeprefix(UNIX_PREFIX) if self._is_unix else ""

    @property
    def _is_unix(self) -> bool:
        return self.address.startswith(UNIX_PREFIX)

    def problems(self) -> Iterable[KeyProblem]:
        """Yield each wrong value, and each that the security level lacks."""
        yield from _address_problems(self.address, allow_unix=True)
        if self.security != "none":
            yield from self._security_problems()
        is_name = self.plugin.replace("_", "").isalnum()
        if not is_name or len(self.plugin) > MAX_PLUGIN_LENGTH:
            yield KeyProblem(
                "plugin",
                f"{self.plugin[:40]!r} is no plugin's name",
                f"letters, digits and _, {MAX_PLUGIN_LENGTH} at most",
            )

    def _security_problems(self) -> Iterable[KeyProblem]:
        if self.path:
            yield KeyProblem("security", "a unix socket knows none", "write none, or leave it out")
        is_needed = f"is needed for security = {self.security}"
        if not self.user or len(self.user.encode()) > MAX_USER_BYTES:
            yield KeyProblem("user", is_needed, f"a name of {MAX_USER_BYTES} bytes at most")
        if not self.password_file:
            yield KeyProblem("password_file", is_needed, "name a file")

    def password(self) -> bytes:
        """Return the first line of the password's file; empty if none is needed.

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
                f"{address[:120]!r} names no socket",
                f"unix:/PATH, {MAX_SOCKET_PATH_BYTES} bytes at most",
            )
    elif host_port(address) is None:
        accepted = "HOST:PORT" + (" or unix:/PATH" if allow_unix else "")
        yield KeyProblem("address", f"{address[:80]!r} is no address", f"write {accepted}")


def shared_names(graphite: Mapping[str, Any], collectd: Mapping[str, Any]) -> list[str]:
    """Return the names of both a Graphite and a collectd receiver.

    They are not allowed: the metrics of the two receivers would be one series.
    """
    return sorted(graphite.keys() & collectd.keys())
