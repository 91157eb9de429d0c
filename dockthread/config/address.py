"""Network addresses, `host:port`, and their sockets."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from dockthread.errors import SettingsError

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Address:
    """The host and port of one end of a connection. An IPv6 host is stored without brackets."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `host:port`, or `[host]:port` for IPv6.

        Raises:
            SettingsError: The text is not an address.
        """
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
            raise SettingsError(f"not an address, host:port: {text!r}")
        return cls(host, int(port))

    def new_socket(self, kind: int = socket.SOCK_STREAM) -> socket.socket:
        """Return a non-blocking socket of this address's family, for use by the event loop."""
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        return socket.socket(family, kind | socket.SOCK_NONBLOCK)

    def bound_socket(self, kind: int = socket.SOCK_STREAM) -> socket.socket:
        """Return a non-blocking socket bound to this address.

        A stream socket refuses connections until it listens. No other datagram socket can bind the
        address of a datagram socket.

        Raises:
            OSError: The address cannot be bound; no socket is left open.
        """
        bound = self.new_socket(kind)
        try:
            if kind == socket.SOCK_STREAM:
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind((self.host, self.port))
        except OSError:
            bound.close()
            raise
        return bound

    def listener(self, backlog: int) -> socket.socket:
        """Return a non-blocking stream socket that listens at this address.

        Raises:
            OSError: The address cannot be bound; no socket is left open.
        """
        listener = self.bound_socket()
        try:
            listener.listen(backlog)
        except OSError:
            listener.close()
            raise
        return listener

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def host_port(text: str) -> tuple[str, int] | None:
    """Return the host and port of `HOST:PORT` or `[V6]:PORT`, or None if the text is neither."""
    try:
        address = Address.parse(text)
    except SettingsError:
        return None
    if not address.port or any(character.isspace() for character in address.host):
        return None
    return address.host, address.port
