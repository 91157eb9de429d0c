"""What publishers, distributors and subscribers of control say to each other, in frames
(dockthread/framing.py).

A revision counts accepted changes, from 1, over all kinds. A table at revision R holds the latest
of every key whose last change is at or before R. `epoch` names one history of revisions: another
one voids whatever was received.
"""

from __future__ import annotations

from typing import Final

import msgspec

from dockthread.framing import Codec

VERSION: Final = 1
MAX_MESSAGE_BYTES: Final = 4 << 20  # bytes of a message
MAX_BODY_BYTES: Final = 64 << 10  # bytes of one resource's body
MAX_NAME_BYTES: Final = 128  # bytes of a kind or a name
MAX_REJECTIONS: Final = 64  # in one acknowledgement
MOST_REASON: Final = 256  # characters of a rejection's reason
NO_DIGEST: Final = b""
AGE_UNKNOWN: Final = -1.0  # ms: the age of a table that was never known to hold all


class Resource(msgspec.Struct, frozen=True, array_like=True):
    """One versioned piece of configuration. `body`: None once it is deleted."""

    kind: str
    name: str
    revision: int
    body: bytes | None


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """First message of a subscriber. `revision` and `digest` tell what it holds; revision 0 for
    nothing.
    """

    name: str
    epoch: str = ""
    revision: int = 0
    digest: bytes = NO_DIGEST
    region: str = ""
    zone: str = ""


class Update(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """Resources in the order of their revisions, deleted ones included.

    After it the receiver holds the latest of every key whose last change is at or before
    `revision`. `snapshot`: the first part of a snapshot, so whatever is held and not named from
    here up to the complete part is gone. `complete`: the receiver then holds the sender's table as
    it stood at `revision`; only then `digest` is that of this table and `snapshot` parts take
    effect. `horizon`, of a complete snapshot: deletes behind it are named in the snapshot.
    """

    epoch: str
    revision: int
    resources: tuple[Resource, ...]
    snapshot: bool = False
    complete: bool = True
    digest: bytes = NO_DIGEST
    horizon: int = 0


class Rejection(msgspec.Struct, frozen=True, array_like=True):
    """A resource that the subscriber refused; it keeps its last good one."""

    kind: str
    name: str
    revision: int
    reason: str


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """What is in force at a subscriber: all up to `revision` but for `rejections` resources, some
    in `rejected`.
    """

    epoch: str
    revision: int
    digest: bytes
    rejected: tuple[Rejection, ...] = ()
    rejections: int = 0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Sign of life of a sender. `age`: ms since it last knew itself to hold all that was agreed on;
    -1 for never.
    """

    epoch: str
    revision: int
    age: float


class RetryLater(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """The sender has no room for this subscriber now; come again after so many ms, here or
    elsewhere.
    """

    after: float
    reason: str


class PublishRequest(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """A change to be accepted. `token`: the caller's own for it, the same when it asks again.
    `expected`: the revision of the resource that it replaces, 0 for none there, -1 for whatever is
    there. `body`: None deletes.
    """

    token: str
    kind: str
    name: str
    body: bytes | None
    expected: int = -1


class PublishResponse(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Accepted as `revision`; or refused, with 0 and the reason; or not known, with -1 and the
    reason.
    """

    token: str
    revision: int
    reason: str = ""


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Asks a server what it holds and who receives from it."""


class SubscriberStatus(msgspec.Struct, frozen=True, array_like=True):
    """One subscriber as its distributor knows it. `behind`: ms for which it has lacked something; 0
    for nothing.
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
    """What a server holds and who receives from it."""

    name: str
    role: str
    epoch: str
    revision: int
    digest: bytes
    age: float
    subscribers: tuple[SubscriberStatus, ...]


class LookupRequest(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """What is held of a kind: the resource `name`, or, where that is empty, those whose names come
    behind `after`.
    """

    kind: str
    name: str = ""
    after: str = ""


class LookupResponse(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Live resources by name. `more`: there may be others behind the last of them."""

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
