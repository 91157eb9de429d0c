"""The endpoint list: the backends that discovery lists, keyed by the policy engine's numbers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from enum import Enum
from math import inf
from typing import Any

from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.config.ingress_config import Names
from dockthread.net.endpoint_list_codec import (
    EndpointListCodec,
    EndpointListUpdate,
    ListedEndpoint,
)
from dockthread.policy import BackendState, Endpoint, EndpointListKind, EndpointsListed

# Entries of a long list that are applied and passed to the policy engine without a pause, which
# takes about 10 ms.
ENTRIES_PER_PART = 1_000
REMOVED_RETENTION_MS = 60_000.0  # Longer than any attempt at a removed backend can last.


@dataclass(slots=True)
class BackendRecord:
    """One known backend, listed or removed."""

    number: int  # the policy engine's number for the backend
    uid: str
    address_text: str  # as sent by discovery; takes a third of the memory of an `Address`
    state: BackendState
    started_ms: float  # start of its process on the ingress's clock; 0 if not known
    boot_ms: float = 0.0  # Unix time of that start as listed, which identifies the process
    # Whether a newer backend was listed at its address, which only one process can have.
    is_superseded: bool = False
    address_since: int = 0  # count of the update in which this process was first listed there
    removed_at_ms: float = inf
    revision: int = 0  # revision of the newest list that contained the backend
    last_listed: Endpoint | None = None  # the latest entry from discovery

    @property
    def address(self) -> Address:
        """The address at which the backend accepts connections."""
        return Address.parse(self.address_text)

    @property
    def is_ready(self) -> bool:
        """Whether new requests may be sent to the backend."""
        return self.state is BackendState.READY and not self.is_superseded


def _by_appearance(record: BackendRecord) -> tuple[int, float]:
    """Return what orders the backends that are listed at one address, the latest last."""
    return record.address_since, record.started_ms


class ExclusionReason(Enum):
    """Why a backend gets no new requests although discovery lists it; each may hold by itself."""

    DETACHED = "detached by an operator"
    MAINTENANCE = "unavailable for maintenance"


class EndpointList:
    """The listed backends and the recently removed ones, keyed by the policy engine's numbers.

    A uid keeps its number: a backend that restarts, even at another address, is the same backend.
    Numbers are not reused.

    A list may be older than one received before, if discovery failed over to a lagging replica or
    restarted its revisions. Such a list may remove a backend, but makes a draining or removed
    backend ready again only if its process started later than the known one.

    A process is identified by the start that is listed for it, not by the order of the starts: the
    machines' clock may be stepped back between two. A start is converted once, when it is first
    listed, by the clock of that moment. An address belongs to one process. If another backend is
    listed at the address of a listed one, the one that appeared there last has it, and nothing is
    sent to the other, whose process is gone. Of two that appear in one update it is the one that
    started last; if the list does not tell them apart, both are used.

    `on_moved` is called with each backend that was removed, restarted or got another address.
    """

    def __init__(self, names: Names, clock: Clock) -> None:
        self.codec = EndpointListCodec(names, clock)
        self._clock = clock
        self._by_uid: dict[str, BackendRecord] = {}
        self.by_number: dict[int, BackendRecord] = {}
        self._removed: dict[int, BackendRecord] = {}
        self._number_by_address: dict[str, int] = {}
        self._updates = 0  # number of messages applied
        self._last_number = 0
        self.revision = 0
        self.is_partial = False  # the first list is long and only partly applied
        self.on_moved: Callable[[BackendRecord], None] = lambda _record: None
        # The policy engine sees these backends as draining even if discovery lists them as ready.
        self._excluded = {reason: set[str]() for reason in ExclusionReason}

    @property
    def listed_count(self) -> int:
        """The number of backends that discovery lists."""
        return len(self.by_number) - len(self._removed)

    @property
    def excluded_uids(self) -> set[str]:
        """The ids of the backends that an operator detached; listed ones or not."""
        return self._excluded[ExclusionReason.DETACHED]

    @property
    def excluded_count(self) -> int:
        """The number of listed backends that are excluded, for whatever reason."""
        records = (self._by_uid.get(uid) for uid in set().union(*self._excluded.values()))
        return sum(
            record is not None and record.state is not BackendState.REMOVED for record in records
        )

    def set_excluded(
        self,
        uid: str,
        is_excluded: bool,
        now_ms: float,
        reason: ExclusionReason = ExclusionReason.DETACHED,
    ) -> EndpointsListed | None:
        """Exclude a backend for a reason, or end that reason.

        A backend that is excluded for no reason any more is assumed to have been restarted, so the
        event for the policy engine says that it starts now, and the engine warms it up. Returns
        None if the uid is not known.
        """
        record = self._by_uid.get(uid)
        uids = self._excluded[reason]
        if record is None and not (uid in uids and not is_excluded):
            return None
        if is_excluded:
            uids.add(uid)
        else:
            uids.discard(uid)
        if record is None or record.last_listed is None:
            return EndpointsListed(EndpointListKind.CHANGES, ())
        if not self._is_excluded(uid):
            record.last_listed = replace(record.last_listed, started_at=now_ms / 1000.0)
            record.started_ms = now_ms
        endpoint = self._with_exclusion(record.last_listed, uid)
        return EndpointsListed(EndpointListKind.CHANGES, (endpoint,))

    def exclude_when_listed(self, uid: str, reason: ExclusionReason) -> None:
        """Exclude a backend that is not known yet from when it is listed."""
        self._excluded[reason].add(uid)

    def _is_excluded(self, uid: str) -> bool:
        return any(uid in uids for uids in self._excluded.values())

    def zone_of(self, uid: str) -> str | None:
        """Return the name of a backend's zone; empty if it has none, None for an unknown uid."""
        record = self._by_uid.get(uid)
        if record is None or record.last_listed is None:
            return None
        return self.codec.zone_name(record.last_listed.zone)

    def uid_of(self, number: int) -> str:
        """Return a backend's uid; `-` for an unknown number."""
        return self.by_number[number].uid if number in self.by_number else "-"

    def age_ms(self, number: int) -> int:
        """Return the time since a backend's start in ms; -1 if it is not known."""
        record = self.by_number.get(number)
        if record is None or not record.started_ms:
            return -1
        return round(self._clock.now() - record.started_ms)

    def is_ready(self, number: int) -> bool:
        """Return whether new requests may be sent to a backend."""
        return number in self.by_number and self.by_number[number].is_ready

    def forget_expired(self) -> None:
        """Drop backends removed more than `REMOVED_RETENTION_MS` ago, which bounds the memory."""
        oldest_ms = self._clock.now() - REMOVED_RETENTION_MS
        expired = [
            backend for backend in self._removed.values() if backend.removed_at_ms < oldest_ms
        ]
        for record in expired:
            del self._removed[record.number]
            del self.by_number[record.number]
            del self._by_uid[record.uid]

    def apply(self, message: Any, cached: bool = False) -> EndpointsListed:
        """Apply a full list or changes, and return the event for the policy engine.

        `cached` marks a list from the configuration. A malformed message is not applied at all.

        Raises:
            DiscoveryError: The message is malformed.
        """
        self._updates += 1
        return self._apply(self.codec.decode_update(message), cached)

    def _apply(self, update: EndpointListUpdate, cached: bool = False) -> EndpointsListed:
        endpoints = self._apply_entries(update.endpoints, update.revision)
        self.revision = update.revision
        self.is_partial = False
        kind = EndpointListKind.CHANGES
        if update.is_full:
            self._remove_unlisted(self._numbers(update.endpoints))
            kind = EndpointListKind.FULL
        return EndpointsListed(EndpointListKind.CACHED if cached else kind, endpoints)

    def apply_in_parts(self, message: Any) -> Iterator[EndpointsListed]:
        """Apply a full list or changes, a long one in parts; yield events for the policy engine.

        The caller has to dispatch each event before it asks for the next one, so that this list
        and the policy engine agree after each part. Backends missing from a full list are removed
        after the last part. If the caller stops early, the revision is unchanged, and discovery
        sends the complete list again.

        Raises:
            DiscoveryError: The message is malformed and was not applied at all.
        """
        update = self.codec.decode_update(message)
        self._updates += 1
        remaining = update.endpoints
        if len(remaining) <= ENTRIES_PER_PART:
            yield self._apply(update)
            return
        self.is_partial = self.is_partial or not self.by_number
        # Drop the references to the entries, so that their memory can be reused for the records.
        message["targets"] = [None] * len(remaining)
        listed: set[int] = set()
        remaining.reverse()
        while remaining:
            part = remaining[-ENTRIES_PER_PART:]
            remaining[-ENTRIES_PER_PART:] = []
            part.reverse()
            endpoints = self._apply_entries(part, update.revision)
            listed |= self._numbers(part)
            yield EndpointsListed(EndpointListKind.CHANGES, endpoints)
        removed = self._remove_unlisted(listed) if update.is_full else []
        self.revision = update.revision
        self.is_partial = False
        yield EndpointsListed(EndpointListKind.CHANGES, tuple(removed))

    def _numbers(self, entries: list[ListedEndpoint]) -> set[int]:
        """Return the numbers of the backends of entries that were applied."""
        return {self._by_uid[entry.uid].number for entry in entries}

    def _remove_unlisted(self, listed: set[int]) -> list[Endpoint]:
        """Mark backends missing from a full list as removed; return their endpoints."""
        removed: list[Endpoint] = []
        for record in self.by_number.values():
            if record.number in listed or record.state is BackendState.REMOVED:
                continue
            record.state = BackendState.REMOVED
            record.removed_at_ms = self._clock.now()
            self._removed[record.number] = record
            self._release_address(record)
            if record.last_listed is not None:
                record.last_listed = replace(record.last_listed, state=BackendState.REMOVED)
                removed.append(record.last_listed)
            self.on_moved(record)
        return removed

    def _apply_entries(self, entries: list[ListedEndpoint], revision: int) -> tuple[Endpoint, ...]:
        """Apply entries of a list, and return the endpoints for the policy engine."""
        endpoints = [self._apply_entry(entry, revision) for entry in entries]
        superseded = self._resolve_addresses(entries)
        if not superseded:
            return tuple(endpoints)
        numbers = {record.number for record in superseded}
        endpoints = [endpoint for endpoint in endpoints if endpoint.backend not in numbers]
        endpoints += [
            replace(record.last_listed, state=BackendState.REMOVED)
            for record in superseded
            if record.last_listed is not None
        ]
        return tuple(endpoints)

    def _resolve_addresses(self, entries: list[ListedEndpoint]) -> list[BackendRecord]:
        """Give each address to the newest backend listed at it; return those that lost theirs."""
        superseded: list[BackendRecord] = []
        for entry in entries:
            record = self._by_uid[entry.uid]
            if record.state is BackendState.REMOVED:
                continue
            owner_number = self._number_by_address.setdefault(record.address_text, record.number)
            if owner_number == record.number:
                continue
            owner = self.by_number[owner_number]
            older, newer = sorted((owner, record), key=_by_appearance)
            if _by_appearance(older) == _by_appearance(newer):
                continue
            self._number_by_address[record.address_text] = newer.number
            if not older.is_superseded:
                logger.info(
                    "backend {} has the address {} of {}, which is not used any more",
                    newer.uid,
                    newer.address_text,
                    older.uid,
                )
            older.is_superseded = True
            superseded.append(older)
            self.on_moved(older)
        return superseded

    def _release_address(self, record: BackendRecord) -> None:
        """Forget that a backend has its address."""
        record.is_superseded = False
        if self._number_by_address.get(record.address_text) == record.number:
            del self._number_by_address[record.address_text]

    def _apply_entry(self, listed: ListedEndpoint, revision: int) -> Endpoint:
        """Apply one entry of a list, and return the endpoint for the policy engine."""
        record = self._by_uid.get(listed.uid)
        if record is None:
            record = self._add(listed)
            record.revision = revision
        elif (
            record.last_listed is not None
            and revision < record.revision
            and listed.state is BackendState.READY
            and listed.boot_ms <= record.boot_ms
        ):
            # An older list must not make a draining or removed backend ready again.
            return self._with_exclusion(record.last_listed, listed.uid)
        else:
            self._update(record, listed, revision)
        listed = listed._replace(started_at=record.started_ms / 1000.0)
        if record.state is BackendState.REMOVED:
            record.removed_at_ms = min(record.removed_at_ms, self._clock.now())
            self._removed[record.number] = record
            self._release_address(record)
        else:
            record.removed_at_ms = inf
            self._removed.pop(record.number, None)
        record.last_listed = listed.to_policy_endpoint(record.number)
        return self._with_exclusion(record.last_listed, listed.uid)

    def _add(self, listed: ListedEndpoint) -> BackendRecord:
        self._last_number += 1
        number = self._last_number
        record = BackendRecord(
            number,
            listed.uid,
            listed.address_text,
            listed.state,
            listed.started_at * 1000.0,
            listed.boot_ms,
            address_since=self._updates,
        )
        self._by_uid[listed.uid] = record
        self.by_number[number] = record
        return record

    def _update(self, record: BackendRecord, listed: ListedEndpoint, revision: int) -> None:
        # For a restarted backend only this list applies, so its revision is taken even if it is
        # lower. Otherwise the highest revision is kept.
        is_restarted = bool(listed.boot_ms) and listed.boot_ms != record.boot_ms
        record.revision = revision if is_restarted else max(revision, record.revision)
        before = (record.address_text, record.is_ready, record.started_ms)
        if is_restarted or record.address_text != listed.address_text:
            self._release_address(record)
            record.address_since = self._updates
        record.address_text = listed.address_text
        record.state = listed.state
        if is_restarted:
            started_ms = listed.started_at * 1000.0
            # A start that seems to be no later was told by a clock that was stepped back.
            is_later = started_ms > record.started_ms
            record.started_ms = started_ms if is_later else self._clock.now()
            record.boot_ms = listed.boot_ms
        if before != (record.address_text, record.is_ready, record.started_ms):
            self.on_moved(record)

    def _with_exclusion(self, endpoint: Endpoint, uid: str) -> Endpoint:
        if self._by_uid[uid].is_superseded:
            return replace(endpoint, state=BackendState.REMOVED)
        if endpoint.state is BackendState.READY and self._is_excluded(uid):
            return replace(endpoint, state=BackendState.DRAINING)
        return endpoint
