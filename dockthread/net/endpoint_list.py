"""The destination set: what discovery lists, by the module's number for each destination."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from math import inf, isfinite
from typing import Any, NamedTuple

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.config.ingress_config import Names
from dockthread.errors import DockthreadError, SettingsError
from dockthread.policy import BackendState, Endpoint, EndpointListKind, EndpointsListed

STATE_BY_NAME = {
    "active": BackendState.READY,
    "leaving": BackendState.DRAINING,
    "left": BackendState.REMOVED,
}
ENTRIES_PER_PART = 1_000  # entries that are taken over and told at once: some 10 ms
REMOVED_RETENTION_MS = (
    60_000.0  # for which a destination that is gone is known: no call to it can be out by then
)


class DiscoveryError(DockthreadError):
    """Discovery said something that is not on the protocol's page."""


class ListedEndpoint(NamedTuple):
    """One backend as discovery lists it, in the module's words."""

    uid: str
    address_text: str
    state: BackendState
    zone: int
    kind: int
    cell: int
    weight: float
    started_at: float  # seconds on the ingress's clock, 0 for long ago

    def to_policy_endpoint(self, worker: int) -> Endpoint:
        """As the module is told it, under its number there."""
        return Endpoint(
            worker, self.state, self.zone, self.kind, self.cell, self.weight, self.started_at
        )


class EndpointListUpdate(NamedTuple):
    """A list or its changes as discovery sends them."""

    revision: int
    is_full: bool
    endpoints: list[ListedEndpoint]


@dataclass(slots=True)
class BackendRecord:
    """One backend that is known, listed or gone."""

    number: int
    uid: str
    address_text: str  # as discovery writes it, which takes a third of the memory of an address
    state: BackendState
    started_ms: float  # milliseconds on the ingress's clock, 0 for long ago
    removed_at_ms: float = inf  # since when
    revision: int = 0  # of the list that told of it last
    # what the module was last told of it, as discovery listed it
    last_listed: Endpoint | None = None

    @property
    def address(self) -> Address:
        """Where it takes connections."""
        return Address.parse(self.address_text)

    @property
    def is_ready(self) -> bool:
        """Whether new requests may be sent there."""
        return self.state is BackendState.READY


class EndpointList:
    """The destinations listed, and for a while those that are gone, by the module's number for
    each.

    A uid keeps its number: a backend that restarts, even at another endpoint, is the same worker.
    No number is given twice.

    A list older than what was told of a backend before (discovery has moved to a service that lags,
    or counts anew) may take it out, and brings it back only as a process that started later: what
    was announced as leaving stays so.
    """

    def __init__(self, names: Names, clock: Clock) -> None:
        self._zones = {name: number for number, name in enumerate(names.zones)}
        self._kinds = {name: number for number, name in enumerate(names.kinds)}
        self._clock = clock
        self._by_uid: dict[str, BackendRecord] = {}
        self.by_number: dict[int, BackendRecord] = {}
        self._gone: dict[int, BackendRecord] = {}  # those of them that are not listed any more
        self._numbers = 0
        self.revision = 0
        self.is_partial = False  # the first list is being taken over, and is long
        self.on_moved: Callable[[BackendRecord], None] = lambda destination: None
        # uids left out by hand: the module hears that they drain, whatever is listed
        self.excluded_uids: set[str] = set()

    @property
    def listed_count(self) -> int:
        """How many are listed."""
        return len(self.by_number) - len(self._gone)

    @property
    def excluded_count(self) -> int:
        """Listed destinations that are left out by hand."""
        known = (self._by_uid.get(uid) for uid in self.excluded_uids)
        return sum(d is not None and d.state is not BackendState.REMOVED for d in known)

    def set_excluded(self, uid: str, held: bool, now: float) -> EndpointsListed | None:
        """Leave a uid out by hand, or let it serve again; None where no such uid is known. A uid
        let back has been restarted meanwhile, so it is told as started now: cold.
        """
        known = self._by_uid.get(uid)
        if known is None and not (uid in self.excluded_uids and not held):
            return None
        (self.excluded_uids.add if held else self.excluded_uids.discard)(uid)
        if known is None or known.last_listed is None:
            return EndpointsListed(EndpointListKind.CHANGES, ())
        if not held:
            known.last_listed = replace(known.last_listed, started_at=now / 1000.0)
            known.started_ms = now
        return EndpointsListed(EndpointListKind.CHANGES, (self._masked(known.last_listed, uid),))

    def _masked(self, entry: Endpoint, uid: str) -> Endpoint:
        if uid in self.excluded_uids and entry.state is BackendState.READY:
            return replace(entry, state=BackendState.DRAINING)
        return entry

    def zone_of(self, uid: str) -> str | None:
        """Where a destination stands, as discovery says; empty where that is not known, None for
        none of this uid.
        """
        known = self._by_uid.get(uid)
        if known is None or known.last_listed is None:
            return None
        return next(
            (name for name, number in self._zones.items() if number == known.last_listed.zone), ""
        )

    def uid_of(self, worker: int) -> str:
        """A backend's id at discovery; `-` for a number that is not known."""
        return self.by_number[worker].uid if worker in self.by_number else "-"

    def age_ms(self, worker: int) -> int:
        """Milliseconds since its start, as far as told; -1 for long ago."""
        known = self.by_number.get(worker)
        return round(self._clock.now() - known.started_ms) if known and known.started_ms else -1

    def is_ready(self, worker: int) -> bool:
        """Whether new requests may be sent to a backend."""
        return worker in self.by_number and self.by_number[worker].is_ready

    def forget_expired(self) -> None:
        """Forget those long gone: on a long day there are ever new ones."""
        oldest = self._clock.now() - REMOVED_RETENTION_MS
        for destination in [d for d in self._gone.values() if d.removed_at_ms < oldest]:
            del (
                self._gone[destination.number],
                self.by_number[destination.number],
                self._by_uid[destination.uid],
            )

    def apply(self, message: Any, cached: bool = False) -> EndpointsListed:
        """Take over a list or its changes, and say it in the module's words. Nothing of a malformed
        message is taken over.
        """
        return self._apply(self._read_list(message), cached)

    def _apply(self, said: EndpointListUpdate, cached: bool = False) -> EndpointsListed:
        entries = tuple([self._take(target, said.revision) for target in said.endpoints])
        self.revision, self.is_partial = said.revision, False
        if said.is_full:
            self._leave_out({entry.backend for entry in entries})
        kind = EndpointListKind.FULL if said.is_full else EndpointListKind.CHANGES
        return EndpointsListed(EndpointListKind.CACHED if cached else kind, entries)

    def apply_in_parts(self, message: Any) -> Iterator[EndpointsListed]:
        """The same, a long list in parts: each is taken over when it is asked for, to be told
        before the next, so that the set and the module agree in between. Whoever a whole list
        leaves out is told as gone at its end. One that is given up on the way leaves the revision
        as it was, and discovery tells all of it again.
        """
        said = self._read_list(message)
        if len(said.endpoints) <= ENTRIES_PER_PART:
            yield self._apply(said)
            return
        self.is_partial = self.is_partial or not self.by_number
        # what was taken over is to make room for what comes of it
        message["targets"] = [None] * len(said.endpoints)
        listed: set[int] = set()
        said.endpoints.reverse()
        while said.endpoints:
            part, said.endpoints[-ENTRIES_PER_PART:] = said.endpoints[-ENTRIES_PER_PART:], []
            entries = tuple([self._take(target, said.revision) for target in reversed(part)])
            listed.update([entry.backend for entry in entries])
            yield EndpointsListed(EndpointListKind.CHANGES, entries)
        left_out = self._leave_out(listed) if said.is_full else []
        self.revision, self.is_partial = said.revision, False
        yield EndpointsListed(EndpointListKind.CHANGES, tuple(left_out))

    def _read_list(self, message: Any) -> EndpointListUpdate:
        try:
            targets = [
                one if isinstance(one, ListedEndpoint) else self.read_entry(one)
                for one in message["targets"]
            ]
            return EndpointListUpdate(int(message["rev"]), bool(message["all"]), targets)
        except (KeyError, TypeError, ValueError) as error:
            raise DiscoveryError(f"not a list of destinations: {error!r}") from error

    def _leave_out(self, listed: set[int]) -> list[Endpoint]:
        """Whoever a whole list does not name is gone: these, as they are told."""
        left_out: list[Endpoint] = []
        for destination in self.by_number.values():
            if destination.number not in listed and destination.state is not BackendState.REMOVED:
                destination.state, destination.removed_at_ms = (
                    BackendState.REMOVED,
                    self._clock.now(),
                )
                self._gone[destination.number] = destination
                if destination.last_listed is not None:
                    destination.last_listed = replace(
                        destination.last_listed, state=BackendState.REMOVED
                    )
                    left_out.append(destination.last_listed)
                self.on_moved(destination)
        return left_out

    def read_entry(self, said: Any) -> ListedEndpoint:
        """One entry of a list. Raises WatchError where it is malformed."""
        try:
            uid, weight = said["uid"], float(said.get("capacity_hint", 1.0))
            boot = float(said.get("boot_ms", 0))
            if not isinstance(uid, str):
                raise TypeError("a uid is not a string")
            if not (isfinite(weight) and isfinite(boot)):
                raise ValueError("a figure is not finite")
            Address.parse(address := said["endpoint"])  # raises where it is none
            return ListedEndpoint(
                uid,
                address,
                STATE_BY_NAME[said["state"]],
                self._zones.get(said.get("az", ""), len(self._zones)),
                self._kinds.get(said.get("model", ""), len(self._kinds)),
                int(said.get("pod_group", 0)),
                1.0 if weight == 1.0 else weight,  # one object for all
                self._clock.from_unix(boot) / 1000.0 if boot else 0.0,
            )
        except (KeyError, TypeError, ValueError, AttributeError, SettingsError) as error:
            raise DiscoveryError(f"not a list of destinations: {error!r}") from error

    def _take(self, read: ListedEndpoint, revision: int) -> Endpoint:
        uid, started = read.uid, read.started_at * 1000.0 if read.started_at else 0.0
        known = self._by_uid.get(uid)
        if known is None:
            worker = self._numbers = self._numbers + 1
            known = BackendRecord(worker, uid, read.address_text, read.state, started)
            self._by_uid[uid] = self.by_number[worker] = known
        elif (
            revision < known.revision
            and read.state is BackendState.READY
            and started <= known.started_ms
            and known.last_listed is not None
        ):
            return self._masked(known.last_listed, uid)
        else:
            later = started > known.started_ms
            revision = revision if later else max(revision, known.revision)
            before = (known.address_text, known.is_ready, known.started_ms)
            known.address_text, known.state, known.started_ms = (
                read.address_text,
                read.state,
                started,
            )
            if before != (known.address_text, known.is_ready, known.started_ms):
                self.on_moved(known)
        known.revision = revision
        gone = known.state is BackendState.REMOVED
        known.removed_at_ms = min(known.removed_at_ms, self._clock.now()) if gone else inf
        if gone:
            self._gone[known.number] = known
        else:
            self._gone.pop(known.number, None)
        known.last_listed = read.to_policy_endpoint(known.number)
        return self._masked(known.last_listed, uid)
