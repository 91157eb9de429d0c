"""Selects the server that a subscriber connects to.

Servers are ordered by distance, and servers at the same distance by a hash of their name and the
subscriber's name (rendezvous hashing). Each server is therefore preferred by an equal share of the
subscribers, and when it fails, its subscribers spread over the other servers. A server that failed
or was stale is penalized for some time. If all servers are penalized, the one whose penalty ends
first is selected. Times are in ms.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

WEIGHT_BYTES: Final = 8
"""Size in bytes of the hash that orders servers at the same distance."""


@dataclass(frozen=True, slots=True)
class CandidateServer:
    """A server and its distance; smaller distances are preferred (0 for the local region)."""

    name: str
    distance: int = 0


class ServerSelector:
    """The servers in the order in which one subscriber prefers them."""

    def __init__(self, subscriber: str, servers: Sequence[CandidateServer]) -> None:
        self._subscriber = subscriber
        self._order: list[str] = []
        self._penalized_until: dict[str, float] = {}
        self.set_servers(servers)

    def __len__(self) -> int:
        """Return the number of servers."""
        return len(self._order)

    def __contains__(self, server: str) -> bool:
        """Return whether a server is listed."""
        return server in self._order

    def set_servers(self, servers: Sequence[CandidateServer]) -> None:
        """Replace the list of servers; the penalties of servers that are still listed are kept."""
        ordered = sorted(servers, key=lambda server: (server.distance, self._weight(server.name)))
        self._order = list(dict.fromkeys(server.name for server in ordered))
        self._penalized_until = {
            name: until for name, until in self._penalized_until.items() if name in self._order
        }

    def penalize(self, server: str, until: float) -> None:
        """Avoid a server until the given time."""
        if server in self._order:
            self._penalized_until[server] = until

    def select(self, now: float, exclude: str = "") -> str:
        """Return the first server without a penalty, or the one whose penalty ends first.

        `exclude` is never returned. The result is empty if there is no other server.
        """
        candidates = [name for name in self._order if name != exclude]
        for name in candidates:
            if self._penalized_until.get(name, now) <= now:
                return name
        return min(candidates, key=lambda name: self._penalized_until[name], default="")

    def is_preferred(self, server: str) -> bool:
        """Return whether a server is the first in the order of preference."""
        return self._order[:1] == [server]

    def preferred(self, now: float) -> str:
        """Return the most preferred server; empty if it is penalized or no server is listed."""
        if not self._order or self._penalized_until.get(self._order[0], now) > now:
            return ""
        return self._order[0]

    def _weight(self, server: str) -> bytes:
        pair = f"{self._subscriber}\x00{server}".encode()
        return blake2b(pair, digest_size=WEIGHT_BYTES).digest()
