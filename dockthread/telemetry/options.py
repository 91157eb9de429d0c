"""The sections `[telemetry]`, `[graphite NAME]` and `[collectd NAME]` of the operator's file."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Literal

from dockthread.config.address import host_port
from dockthread.config.ini_reader import KeyProblem, Section
from dockthread.config.quantities import Duration, Size

LEAST_INTERVAL, MOST_INTERVAL = Duration(100), Duration(3_600_000)
LEAST_QUEUE = Size(16 * 1024)
MOST_PREFIX, MOST_USER = 128, 256


class TelemetryOptions(Section, frozen=True, kw_only=True):
    """`queue`: bytes that wait for one receiver, by default a 64th of the ingress's memory."""

    interval: Duration = Duration(10_000)
    farewell: Duration = Duration(500)
    firms: int = 20
    nodes: int = 64
    queue: Size | None = None

    def problems(self) -> Iterable[KeyProblem]:
        if not LEAST_INTERVAL <= self.interval <= MOST_INTERVAL:
            yield KeyProblem(
                "interval",
                f"{self.interval} is out of range",
                f"{LEAST_INTERVAL} to {MOST_INTERVAL} would do",
            )
        if self.farewell > 5_000:
            yield KeyProblem(
                "farewell", f"{self.farewell} would hold up the exit", "5s is the most"
            )
        for key, figure, most in (("firms", self.firms, 500), ("nodes", self.nodes, 500)):
            if not 0 <= figure <= most:
                yield KeyProblem(key, f"{figure} is out of range", f"0 to {most} would do")
        if self.queue is not None and self.queue < LEAST_QUEUE:
            yield KeyProblem(
                "queue", f"{self.queue} holds no report", f"{LEAST_QUEUE} is the least"
            )


class GraphiteOptions(Section, frozen=True, kw_only=True):
    """`tags`: write `prefix.answers;class=...;plan=...` in place of dotted paths, for a Graphite
    with tags.
    """

    address: str
    protocol: Literal["plaintext", "pickle"] = "plaintext"
    prefix: str = "dockthread"
    tags: bool = False

    def problems(self) -> Iterable[KeyProblem]:
        yield from _address_problems(self.address, unix=False)
        sound = all(part and part.isascii() and part.replace("-", "").replace("_", "").isalnum()
                    for part in self.prefix.split("."))  # fmt: skip
        if not sound or len(self.prefix) > MOST_PREFIX:
            yield KeyProblem(
                "prefix",
                f"{self.prefix[:40]!r} is no path",
                "letters, digits, - and _ between single dots",
            )


class CollectdOptions(Section, frozen=True, kw_only=True):
    """`address`: of the network plugin, or `unix:PATH` of the unixsock plugin, which knows no
    security.
    """

    address: str
    security: Literal["none", "sign", "encrypt"] = "none"
    user: str = ""
    password_file: str = ""
    plugin: str = "dockthread"

    @property
    def path(self) -> str:
        return self.address[5:] if self.address.startswith("unix:") else ""

    def problems(self) -> Iterable[KeyProblem]:
        yield from _address_problems(self.address, unix=True)
        if self.security != "none":
            if self.path:
                yield KeyProblem(
                    "security", "a unix socket knows none", "write none, or leave it out"
                )
            if not self.user or len(self.user.encode()) > MOST_USER:
                yield KeyProblem(
                    "user",
                    f"is needed for security = {self.security}",
                    f"a name of {MOST_USER} bytes at most",
                )
            if not self.password_file:
                yield KeyProblem(
                    "password_file", f"is needed for security = {self.security}", "name a file"
                )
        if not self.plugin.replace("_", "").isalnum() or len(self.plugin) > 32:
            yield KeyProblem(
                "plugin",
                f"{self.plugin[:40]!r} is no plugin's name",
                "letters, digits and _, 32 at most",
            )

    def password(self) -> bytes:
        """The first line of the password's file. Raises OSError."""
        if self.security == "none":
            return b""
        with open(self.password_file, "rb") as file:
            return file.read(4096).split(b"\n")[0].rstrip(b"\r")


def _address_problems(text: str, unix: bool) -> Iterable[KeyProblem]:
    if unix and text.startswith("unix:"):
        if not text[5:].startswith("/") or len(text[5:].encode()) > 107:
            yield KeyProblem(
                "address", f"{text[:120]!r} names no socket", "unix:/PATH, 107 bytes at most"
            )
    elif host_port(text) is None:
        would_do = "HOST:PORT" + (" or unix:/PATH" if unix else "")
        yield KeyProblem("address", f"{text[:80]!r} is no address", f"write {would_do}")


def shared_names(graphite: Mapping[str, Any], collectd: Mapping[str, Any]) -> list[str]:
    """Names that two receivers share: their own series would be one."""
    return sorted(graphite.keys() & collectd.keys())
