"""Messages between publishers, distributors and subscribers of the control plane.

Messages are sent in frames (`dockthread.framing`) and encoded as arrays (`array_like`): the order
of the fields and the tags define the wire format.

A revision is the number of an accepted change, counted from 1 over all kinds of resources. A table
at revision R contains the latest version of each resource that last changed at or before R. `epoch`
identifies one history of revisions; a table of another epoch replaces everything received before.
All times are in ms.
"""

from __future__ import annotations

from typing import Final

import msgspec

from dockthread.framing import Codec

VERSION: Final = 1
"""Version of the protocol, sent in the header of every frame."""
MAX_MESSAGE_BYTES: Final = 4 << 20
"""Maximum size of an encoded message in bytes; chunks of a snapshot are much smaller."""
MAX_BODY_BYTES: Final = 64 << 10
"""Maximum size of a resource's body in bytes."""
MAX_NAME_BYTES: Final = 128
"""Maximum length of a kind or a name in bytes of UTF-8."""
MAX_REJECTIONS: Final = 64
"""Maximum number of rejections listed in an acknowledgement, which also has their total number."""
MAX_REASON_CHARACTERS: Final = 256
"""Maximum length of a rejection's reason in characters; a longer reason is truncated."""
NO_DIGEST: Final = b""
"""Placeholder for the digest of a table that may be incomplete and so cannot be compared."""
AGE_UNKNOWN: Final = -1.0
"""Age in ms of a table that was never known to be complete."""


class Resource(msgspec.Struct, frozen=True, array_like=True):
    """One versioned piece of configuration.

    Attributes:
        kind: Kind of the resource, such as `route`.
        name: Name of the resource, unique within its kind.
        revision: Revision of the last change to the resource.
        body: Encoded content; None for a deleted resource (a tombstone).
    """

    kind: str
    name: str
    revision: int
    body: bytes | None


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """First message of a subscriber: its identity and the table that it holds.

    Attributes:
        name: Unique name of the subscriber.
        epoch: Epoch of the table that it holds; empty if it holds none.
        revision: Revision of that table; 0 requests a full snapshot.
        digest: Digest of that table; `NO_DIGEST` if the table may be incomplete.
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
        epoch: Epoch that the resources belong to.
        revision: After this update, the receiver holds the latest version of each resource that
            last changed at or before this revision.
        resources: Live resources and tombstones, oldest revision first.
        snapshot: True for the first chunk of a snapshot. The snapshot ends with the first complete
            update; the receiver then removes resources that the snapshot does not contain.
        complete: Whether the receiver now holds the sender's complete table at `revision`. The
            chunks of a snapshot take effect when the complete one arrives.
        digest: Digest of the sender's table if `complete` is true.
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
    """Reports which changes a subscriber has applied (an ACK).

    Attributes:
        epoch: Epoch of the applied table.
        revision: Revision up to which all changes are applied, except for rejected resources.
        digest: Digest of the table at that revision.
        rejected: The first `MAX_REJECTIONS` rejections.
        rejections: Total number of rejections.
    """

    epoch: str
    revision: int
    digest: bytes
    rejected: tuple[Rejection, ...] = ()
    rejections: int = 0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Shows that the sender is alive and how old its table is.

    Attributes:
        epoch: Epoch of the sender's table.
        revision: Revision of the sender's table.
        age: Time in ms since the sender last knew that its table held all committed changes;
            `AGE_UNKNOWN` if it has never known.
    """

    epoch: str
    revision: int
    age: float


class RetryLater(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """The server is at capacity; the subscriber connects to some server again after `after` ms."""

    after: float
    reason: str


class PublishRequest(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """A request to accept a change.

    Attributes:
        token: Idempotency key chosen by the publisher, repeated when it retries.
        kind: Kind of the resource.
        name: Name of the resource.
        body: New content; None deletes the resource.
        expected: Revision that the change replaces; 0 if the resource must not exist, -1 for any
            revision.
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
        revision: Revision of an accepted change; 0 if the change was rejected; -1 if the outcome
            is unknown and the publisher must retry with the same token.
        reason: Why the change was rejected, or why the outcome is unknown.
    """

    token: str
    revision: int
    reason: str = ""


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Requests a server's `StatusResponse`."""


class SubscriberStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status of one subscriber, as known to a server.

    Attributes:
        name: Name of the subscriber.
        region: Region of the subscriber.
        zone: Zone of the subscriber.
        connected: Whether the subscriber is connected to this server.
        revision: Revision that the subscriber last acknowledged.
        behind: Time in ms for which the subscriber has been missing a change; 0 if none.
        rejections: Number of resources that the subscriber rejects.
        rejected: Rejections that the subscriber reported in detail.
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
        epoch: Epoch of its table.
        revision: Revision of its table.
        digest: Digest of its table.
        age: Age of its table in ms, as in `Heartbeat`.
        subscribers: Connected and recently disconnected subscribers.
    """

    name: str
    role: str
    epoch: str
    revision: int
    digest: bytes
    age: float
    subscribers: tuple[SubscriberStatus, ...]


class LookupRequest(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Requests one resource, or a page of the resources of a kind.

    Attributes:
        kind: Kind of the resources.
        name: Name of one resource; empty for a page.
        after: Name after which the page starts.
    """

    kind: str
    name: str = ""
    after: str = ""


class LookupResponse(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Live resources sorted by name.

    Attributes:
        revision: Revision of the server's table.
        resources: The resources found.
        more: Whether there may be further resources after the last one.
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
