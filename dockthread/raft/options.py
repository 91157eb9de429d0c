"""The `[fleet]` section of the operator's INI file.

Without this section no fleet code is loaded, no fleet socket or file is opened, and requests are
not slowed down. If a field has `name=`, that is its key in the INI file.
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
MAX_KEY_BYTES: Final = 64  # maximum key length of BLAKE2
# Only odd sizes: adding one member to an odd number does not tolerate more failures.
FLEET_SIZES: Final = (1, 3, 5, 7)
# The loss of one heartbeat must not trigger an election.
MIN_HEARTBEATS_PER_ELECTION: Final = 3
# A member must not count as failed while a leader is being elected.
MIN_ELECTIONS_PER_FAILURE: Final = 2


class FleetOptions(Section, frozen=True, kw_only=True):
    """Settings of this ingress as a member of the fleet.

    Attributes:
        listen: address on which this ingress accepts connections of other members; empty if it is
            not a member of a fleet.
        members: all voters as NAME=HOST:PORT, including this one; must be the same on each member.
        directory: directory of the hard state, the snapshot and the log.
        key_file: file with a key that all members share; empty for no key.
        election_timeout: time without a message from the leader before an election starts.
        heartbeat_interval: time between heartbeats of a leader.
        max_unavailable: backends of one zone that may be unavailable for maintenance at once.
        node_capacity: requests that a backend of weight 1 serves concurrently; 0 if unknown.
        headroom: fraction of a zone's remaining capacity that must stay free during maintenance.
        grant_timeout: time after which a grant is revoked if the drain was not confirmed.
        failure_timeout: time without contact after which a member's confirmation is not awaited.
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
        """Yield a problem for each invalid key and for each pair of contradictory keys."""
        if self.listen:
            yield from self._address_problems()
            yield from self._limit_problems()
            yield from self._timing_problems()
        elif self.members or self.directory or self.key_file:
            yield KeyProblem(
                "listen",
                "is missing",
                "write the address on which this ingress accepts other members, HOST:PORT",
            )

    def addresses(self) -> dict[str, Address]:
        """Return the address of each member by name."""
        address_by_name: dict[str, Address] = {}
        for name, address in _named_addresses(self.members):
            host_and_port = host_port(address)
            if host_and_port is not None:
                address_by_name[name] = Address(*host_and_port)
        return address_by_name

    def key(self) -> bytes:
        """Read the shared key; empty if no key file is set.

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
                f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES} are required"
            )
        return key

    def _address_problems(self) -> Iterator[KeyProblem]:
        if host_port(self.listen) is None:
            yield KeyProblem("listen", f"{self.listen!r} is not an address", "write HOST:PORT")
        names = [name for name, _ in _named_addresses(self.members)]
        if len(names) not in FLEET_SIZES:
            yield KeyProblem(
                "members",
                f"lists {len(names)} members",
                "list 1, 3, 5 or 7; a fleet of odd size works while less than half have failed",
            )
        for member, (name, address) in zip(
            self.members, _named_addresses(self.members), strict=True
        ):
            is_valid_name = name and not any(character.isspace() for character in name)
            if not is_valid_name or host_port(address) is None:
                yield KeyProblem("members", f"{member!r} is not a member", "write NAME=HOST:PORT")
        if len(set(names)) < len(names):
            yield KeyProblem("members", "lists a name twice", "give each ingress its own name")
        if not self.directory:
            yield KeyProblem("directory", "is missing", "name a folder that survives restarts")

    def _limit_problems(self) -> Iterator[KeyProblem]:
        if self.max_unavailable < 1:
            yield KeyProblem(
                "most_out",
                "is less than 1",
                "write how many backends of a zone may be unavailable at once",
            )
        if not 0 <= self.headroom < 1:
            yield KeyProblem(
                "reserve",
                "is negative, or 100% or more",
                "write the share of a zone's remaining capacity that must stay free",
            )
        if self.node_capacity < 0:
            yield KeyProblem(
                "node_bears",
                "is negative",
                "write how many requests a backend serves concurrently, or 0 if unknown",
            )

    def _timing_problems(self) -> Iterator[KeyProblem]:
        if self.failure_timeout < MIN_ELECTIONS_PER_FAILURE * self.election_timeout:
            yield KeyProblem(
                "dead",
                "is less than twice `patience`",
                "a member would count as failed while a leader is being elected",
            )
        if self.grant_timeout <= self.failure_timeout:
            yield KeyProblem(
                "lapse",
                "is not greater than `dead`",
                "a grant would time out before a failed member is no longer awaited",
            )
        if self.heartbeat_interval * MIN_HEARTBEATS_PER_ELECTION > self.election_timeout:
            yield KeyProblem(
                "patience",
                "is less than three times `beat`",
                "the loss of one heartbeat would trigger an election",
            )


def _named_addresses(members: Iterable[str]) -> list[tuple[str, str]]:
    """Split each NAME=HOST:PORT into its name and its address; either may be empty or invalid."""
    pairs = (member.partition("=") for member in members)
    return [(name.strip(), address.strip()) for name, _, address in pairs]
