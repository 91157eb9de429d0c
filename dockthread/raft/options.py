"""The section `[fleet]` of the operator's file.

Without it nothing of the fleet is loaded, opened or slowed down. A field's name here is the term of
the field; its `name=` is the key in the file.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final

import msgspec

from dockthread.config.address import Address, host_port
from dockthread.config.ini_reader import KeyProblem, Section
from dockthread.config.quantities import Duration, Share

MIN_KEY_BYTES: Final = 16
MAX_KEY_BYTES: Final = 64  # as BLAKE2 takes
CLUSTER_SIZES: Final = (1, 3, 5, 7)  # odd: an even number bears no more failures
# A lost heartbeat must not cost a leader its place.
MIN_HEARTBEATS_PER_ELECTION: Final = 3
# A member must not count as failed while a leader is elected.
MIN_ELECTIONS_PER_FAILURE: Final = 2


class FleetOptions(Section, frozen=True, kw_only=True):
    """How this ingress takes part in the fleet.

    Attributes:
        listen: this ingress's own address among the members; empty to take no part.
        members: all voters as NAME=HOST:PORT, this one included; the same at each member.
        directory: for the hard state, the snapshot and the log.
        key_file: of a key that all members share; empty for none.
        election_timeout: silence of a leader after which another is elected.
        heartbeat_interval: between heartbeats of a leader.
        max_unavailable: machines of one zone that may be unavailable for maintenance at once.
        node_capacity: requests that a node of weight 1 serves at once; 0 for unknown.
        headroom: share of the capacity left in a zone that must stay free while one is unavailable.
        grant_timeout: after which a grant is over whose drain was not confirmed.
        failure_timeout: silence after which a member is not waited for.
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

    def problems(self) -> Iterable[KeyProblem]:
        """Yield what the keys say against each other: the key, what is wrong, what would do."""
        if self.listen:
            yield from self._address_problems()
            yield from self._limit_problems()
            yield from self._timing_problems()
        elif self.members or self.directory or self.key_file:
            yield KeyProblem(
                "listen",
                "is missing",
                "write the address of this ingress among the others, HOST:PORT",
            )

    def addresses(self) -> dict[str, Address]:
        """Return the address of each member by its name."""
        found: dict[str, Address] = {}
        for name, address in _named_addresses(self.members):
            host_and_port = host_port(address)
            if host_and_port is not None:
                found[name] = Address(*host_and_port)
        return found

    def key(self) -> bytes:
        """Read the shared key; empty for none.

        Raises:
            OSError: the file can't be read.
            ValueError: the key is too short or too long.
        """
        if not self.key_file:
            return b""
        key = Path(self.key_file).read_bytes().strip()
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(
                f"[fleet] key_file: {self.key_file} holds {len(key)} bytes; "
                f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES} would do"
            )
        return key

    def _address_problems(self) -> Iterator[KeyProblem]:
        if host_port(self.listen) is None:
            yield KeyProblem("listen", f"{self.listen!r} is no address", "write HOST:PORT")
        names = [name for name, _ in _named_addresses(self.members)]
        if len(names) not in CLUSTER_SIZES:
            yield KeyProblem(
                "members",
                f"names {len(names)}",
                "name 1, 3, 5 or 7, an odd number that can lose less than half",
            )
        for member, (name, address) in zip(
            self.members, _named_addresses(self.members), strict=True
        ):
            is_name = name and not any(character.isspace() for character in name)
            if not is_name or host_port(address) is None:
                yield KeyProblem("members", f"{member!r} is no member", "write NAME=HOST:PORT")
        if len(set(names)) < len(names):
            yield KeyProblem("members", "names one twice", "give each ingress its own name")
        if not self.directory:
            yield KeyProblem("directory", "is missing", "name a folder that outlives the process")

    def _limit_problems(self) -> Iterator[KeyProblem]:
        if self.max_unavailable < 1:
            yield KeyProblem(
                "most_out", "is under 1", "write how many machines of a zone may be out at once"
            )
        if not 0 <= self.headroom < 1:
            yield KeyProblem(
                "reserve",
                "is not from 0% to under 100%",
                "write the part of the rest that is to be left",
            )
        if self.node_capacity < 0:
            yield KeyProblem(
                "node_bears",
                "is under 0",
                "write how many requests a node bears at once, or 0 for not known",
            )

    def _timing_problems(self) -> Iterator[KeyProblem]:
        if self.failure_timeout < MIN_ELECTIONS_PER_FAILURE * self.election_timeout:
            yield KeyProblem(
                "dead",
                "is under twice the patience",
                "a member would be dead while a leader is voted for",
            )
        if self.grant_timeout <= self.failure_timeout:
            yield KeyProblem(
                "lapse",
                "is not over `dead`",
                "a turn would lapse before a dead member is left out",
            )
        if self.heartbeat_interval * MIN_HEARTBEATS_PER_ELECTION > self.election_timeout:
            yield KeyProblem(
                "patience", "is under three beats", "a lost beat would cost a leader its place"
            )


def _named_addresses(members: Iterable[str]) -> list[tuple[str, str]]:
    """Split each NAME=HOST:PORT into its name and its address; either may be empty or wrong."""
    pairs = (member.partition("=") for member in members)
    return [(name.strip(), address.strip()) for name, _, address in pairs]
