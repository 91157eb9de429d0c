"""Which server a subscriber goes to.

Servers stand in the order of their distance, and among those of one distance in the order of a hash
of their name with the subscriber's (rendezvous): each server is the first choice of an even part of
the subscribers, and when it is lost these spread over the others. One that failed or was stale is
passed over for a while; where all are, the one for which that ends first is taken.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b


@dataclass(frozen=True, slots=True)
class CandidateServer:
    """`distance`: those of a smaller one are preferred (0 for the own region)."""

    name: str
    distance: int = 0


class ServerSelector:
    """The servers in the order of one subscriber."""

    def __init__(self, subscriber: str, servers: Sequence[CandidateServer]) -> None:
        self._subscriber = subscriber
        self._order: list[str] = []
        self._avoided_until: dict[str, float] = {}
        self.set(servers)

    def __len__(self) -> int:
        return len(self._order)

    def __contains__(self, server: str) -> bool:
        return server in self._order

    def set(self, servers: Sequence[CandidateServer]) -> None:
        """Another list; what is avoided stays so."""
        ordered = sorted(servers, key=lambda server: (server.distance, self._weight(server.name)))
        self._order = list(dict.fromkeys(server.name for server in ordered))
        self._avoided_until = {
            name: at for name, at in self._avoided_until.items() if name in self._order
        }

    def avoid(self, server: str, until: float) -> None:
        """Pass it over until then."""
        if server in self._order:
            self._avoided_until[server] = until

    def best(self, now: float, but: str = "") -> str:
        """The first that is not avoided, or else the one that is so for the shortest time; never
        `but`. Empty where there is none.
        """
        others = [name for name in self._order if name != but]
        for name in others:
            if self._avoided_until.get(name, now) <= now:
                return name
        return min(others, key=lambda name: self._avoided_until[name], default="")

    def is_home(self, server: str) -> bool:
        """Whether it is the first choice."""
        return self._order[:1] == [server]

    def home(self, now: float) -> str:
        """The first choice where it is not avoided; else empty."""
        return next(
            (name for name in self._order[:1] if self._avoided_until.get(name, now) <= now), ""
        )

    def _weight(self, server: str) -> bytes:
        return blake2b(f"{self._subscriber}\x00{server}".encode(), digest_size=8).digest()
