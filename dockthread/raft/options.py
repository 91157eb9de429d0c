"""The section `[fleet]` of the operator's file. Without it nothing of the fleet is opened, loaded
or slowed.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec

from dockthread.config.address import Address
from dockthread.config.ini_reader import Section
from dockthread.config.quantities import Duration, Share
from dockthread.telemetry.options import host_port

LEAST_KEY = 16  # bytes of the shared key


class FleetOptions(Section, frozen=True, kw_only=True):
    """`listen`: this ingress's own address among the others; empty for none of it. `members`: all
    that may vote, as NAME=HOST:PORT, this one included; the same at each. `directory`: for term,
    vote and log. `key_file`: a key that all share. `most_out`: machines of one zone that may be out
    for work at once. `patience`: silence of a leader after which another is voted for; `beat`:
    between its signs of life. `node_bears`: requests that a node of weight 1 bears at once, 0 for
    not known; `reserve`: part of what the rest of a zone bears that is to be left while one is out.
    `lapse`: after which a turn whose drain was not confirmed is over; `dead`: silence after which a
    member's word is not waited for.
    """

    listen: str = ""
    members: tuple[str, ...] = ()
    directory: str = ""
    key_file: str = ""
    election_timeout: Duration = msgspec.field(default=Duration(600.0), name="patience")
    heartbeat_interval: Duration = msgspec.field(default=Duration(100.0), name="beat")
    max_unavailable: int = msgspec.field(default=1, name="most_out")
    node_capacity: float = msgspec.field(default=0.0, name="node_bears")
    headroom: Share = msgspec.field(default=Share(0.2), name="reserve")
    grant_timeout: Duration = msgspec.field(default=Duration(30_000.0), name="lapse")
    failure_timeout: Duration = msgspec.field(default=Duration(5_000.0), name="dead")

    def faults(self) -> Iterable[tuple[str, str, str]]:
        if not self.listen:
            if self.members or self.directory or self.key_file:
                yield (
                    "listen",
                    "is missing",
                    "write the address of this ingress among the others, HOST:PORT",
                )
            return
        if host_port(self.listen) is None:
            yield "listen", f"{self.listen!r} is no address", "write HOST:PORT"
        names = [name.strip() for name, _, _ in (m.partition("=") for m in self.members)]
        if len(names) not in (1, 3, 5, 7):
            yield (
                "members",
                f"names {len(names)}",
                "name 1, 3, 5 or 7, an odd number that can lose less than half",
            )
        for member in self.members:
            name, _, where = member.partition("=")
            if (
                not name.strip()
                or any(c.isspace() for c in name.strip())
                or host_port(where.strip()) is None
            ):
                yield "members", f"{member!r} is no member", "write NAME=HOST:PORT"
        if len(set(names)) < len(names):
            yield "members", "names one twice", "give each ingress its own name"
        if not self.directory:
            yield "directory", "is missing", "name a folder that outlives the process"
        if self.max_unavailable < 1:
            yield "most_out", "is under 1", "write how many machines of a zone may be out at once"
        if not 0 <= self.headroom < 1:
            yield (
                "reserve",
                "is not from 0% to under 100%",
                "write the part of the rest that is to be left",
            )
        if self.node_capacity < 0:
            yield (
                "node_bears",
                "is under 0",
                "write how many requests a node bears at once, or 0 for not known",
            )
        if self.failure_timeout < 2 * self.election_timeout:
            yield (
                "dead",
                "is under twice the patience",
                "a member would be dead while a leader is voted for",
            )
        if self.grant_timeout <= self.failure_timeout:
            yield (
                "lapse",
                "is not over `dead`",
                "a turn would lapse before a dead member is left out",
            )
        if self.heartbeat_interval * 3 > self.election_timeout:
            yield "patience", "is under three beats", "a lost beat would cost a leader its place"

    def addresses(self) -> dict[str, Address]:
        found: dict[str, Address] = {}
        for member in self.members:
            name, _, where = member.partition("=")
            if (at := host_port(where.strip())) is not None:
                found[name.strip()] = Address(*at)
        return found

    def key(self) -> bytes:
        """Raises OSError where it cannot be read, ValueError where it is too short."""
        if not self.key_file:
            return b""
        key = Path(self.key_file).read_bytes().strip()
        if not LEAST_KEY <= len(key) <= 64:
            raise ValueError(
                f"[fleet] key_file: {self.key_file} holds {len(key)} bytes; {LEAST_KEY} to 64 would do"
            )
        return key
