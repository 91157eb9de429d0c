"""Messages between publishers, distributors and subscribers of the control plane.

Messages travel in frames (`dockthread.framing`), encoded by position (`array_like`): the order of
the fields and the tags are the wire format.

A revision counts accepted changes, from 1, over all kinds of resources. A table at revision R
holds the latest of every key whose last change is at or before R. `epoch` names one history of
revisions; a table of another epoch replaces everything received before. All times are in ms.
"""

from __future__ import annotations

from typing import Final

import msgspec

from dockthread.framing import Codec

VERSION: Final = 1
"""Version of the protocol, in the head of every frame."""
MAX_MESSAGE_BYTES: Final = 4 << 20
"""Bytes of one encoded message; chunks of a snapshot are far below it."""
MAX_BODY_BYTES: Final = 64 << 10
"""Bytes of one resource's body."""
MAX_NAME_BYTES: Final = 128
"""Bytes of a kind or of a name in UTF-8."""
MAX_REJECTIONS: Final = 64
"""Rejections listed in one acknowledgement; it counts them all."""
MAX_REASON_CHARACTERS: Final = 256
"""Characters of a rejection's reason; longer ones are cut."""
NO_DIGEST: Final = b""
"""Digest of a table that may be incomplete, and so cannot be compared."""
AGE_UNKNOWN: Final = -1.0
"""Age in ms of a table that was never known to be complete."""


class Resource(msgspec.Struct, frozen=True, array_like=True):
    """One versioned piece of configuration.

    Attributes:
        kind: Kind of the resource, such as `route`.
        name: Name, unique within its kind.
        revision: Revision of the change that last touched it.
        body: Encoded content; None marks a deleted resource (a tombstone).
    """

    kind: str
    name: str
    revision: int
    body: bytes | None


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """First message of a subscriber: who it is and which table it holds.

    Attributes:
        name: Name of the subscriber, unique among all.
        epoch: History of the table it holds; empty for none.
        revision: Revision of that table; 0 asks for a full snapshot.
        digest: Digest of that table; `NO_DIGEST` where it may be incomplete.
        region: Region of the subscriber, for status only.
        zone: Zone of the subscriber, for status only.
    """

    name: str
    epoch: str = ""
    revision: int = 0
    digest: bytes = NO_DIGEST
    region: str = ""
    zone: str = ""


class Update(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """A delta, or one chunk of a snapshot.

    Attributes:
        epoch: History that the resources belong to.
        revision: After this update the receiver holds the latest of every key whose last change
            is at or before this revision.
        resources: Live resources and tombstones, the oldest revision first.
        snapshot: True for the first chunk of a snapshot. The snapshot lasts up to the first
            complete update; held resources that it does not name are then removed.
        complete: True where the receiver now holds the sender's whole table at `revision`. The
            chunks of a snapshot take effect with the complete one.
        digest: Digest of the sender's table, where `complete`.
        horizon: In the last chunk of a snapshot, the revision up to which tombstones may have
            been dropped.
    """

    epoch: str
    revision: int
    resources: tuple[Resource, ...]
    snapshot: bool = False
    complete: bool = True
    digest: bytes = NO_DIGEST
    horizon: int = 0


class Rejection(msgspec.Struct, frozen=True, array_like=True):
    """A resource that a subscriber rejected (a NACK); its last good version stays applied."""

    kind: str
    name: str
    revision: int
    reason: str


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """What a subscriber has applied (an ACK).

    Attributes:
        epoch: History of the applied table.
        revision: Everything up to here is applied, except what was rejected.
        digest: Digest of the table at that revision.
        rejected: The first `MAX_REJECTIONS` rejections.
        rejections: Number of all rejections.
    """

    epoch: str
    revision: int
    digest: bytes
    rejected: tuple[Rejection, ...] = ()
    rejections: int = 0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Shows that the sender is alive and how old its table is.

    Attributes:
        epoch: History of the sender's table.
        revision: Revision of the sender's table.
        age: Time in ms since the sender last knew its table to hold all that was agreed on;
            `AGE_UNKNOWN` where it never did.
    """

    epoch: str
    revision: int
    age: float


class RetryLater(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """The server is at capacity: the subscriber reconnects after `after` ms, here or elsewhere."""

    after: float
    reason: str


class PublishRequest(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """A change to be accepted.

    Attributes:
        token: Idempotency key chosen by the publisher, repeated when it retries.
        kind: Kind of the resource.
        name: Name of the resource.
        body: New content; None deletes the resource.
        expected: Revision that the change replaces; 0 where the resource must not exist, -1 for
            any revision.
    """

    token: str
    kind: str
    name: str
    body: bytes | None
    expected: int = -1


class PublishResponse(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Outcome of a publish request.

    Attributes:
        token: Token of the request.
        revision: Revision given to an accepted change; 0 where it was rejected; -1 where the
            outcome is not known, and the publisher retries with the same token.
        reason: Why it was rejected, or why the outcome is not known.
    """

    token: str
    revision: int
    reason: str = ""


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Asks a server for its `StatusResponse`."""


class SubscriberStatus(msgspec.Struct, frozen=True, array_like=True):
    """One subscriber as its server knows it.

    Attributes:
        name: Name of the subscriber.
        region: Its region.
        zone: Its zone.
        connected: Whether it is connected to this server now.
        revision: Revision that it last acknowledged.
        behind: Time in ms for which it has lacked some change; 0 where it lacks nothing.
        rejections: Number of resources that it rejects.
        rejected: The rejections it reported.
    """

    name: str
    region: str
    zone: str
    connected: bool
    revision: int
    behind: float
    rejections: int
    rejected: tuple[Rejection, ...] = ()


class StatusResponse(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """A server's table and its subscribers.

    Attributes:
        name: Name of the server.
        role: `voter` or `distributor`.
        epoch: History of its table.
        revision: Revision of its table.
        digest: Digest of its table.
        age: Age of its table in ms, as in `Heartbeat`.
        subscribers: Connected subscribers and those that left recently.
    """

    name: str
    role: str
    epoch: str
    revision: int
    digest: bytes
    age: float
    subscribers: tuple[SubscriberStatus, ...]


class LookupRequest(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Asks for one resource, or for a page of a kind.

    Attributes:
        kind: Kind of the resources.
        name: Name of one resource; empty for a page of the kind.
        after: The page begins behind this name.
    """

    kind: str
    name: str = ""
    after: str = ""


class LookupResponse(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Live resources ordered by name.

    Attributes:
        revision: Revision of the server's table.
        resources: The resources found.
        more: Whether there may be others behind the last one.
    """

    revision: int
    resources: tuple[Resource, ...]
    more: bool = False


Message = (
    Subscribe
    | Update
    | Acknowledge
    | Heartbeat
    | RetryLater
    | PublishRequest
    | PublishResponse
    | StatusRequest
    | StatusResponse
    | LookupRequest
    | LookupResponse
)

codec: Codec[Message] = Codec(Message, VERSION, MAX_MESSAGE_BYTES)
