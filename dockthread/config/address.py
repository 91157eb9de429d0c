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

    def listener(self, backlog: int | None) -> socket.socket:
        """Return a non-blocking socket bound to this address.

        With a `backlog` it is a stream socket that listens for connections. Without one it is a
        datagram socket, whose address no other socket can bind.

        Raises:
            OSError: The address cannot be bound; no socket is left open.
        """
        listener = self.new_socket(socket.SOCK_DGRAM if backlog is None else socket.SOCK_STREAM)
        try:
            if backlog is not None:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((self.host, self.port))
            if backlog is not None:
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
