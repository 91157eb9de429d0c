"""The replicated state machine that applies each published change once and assigns a revision.

Theory of operation. Before a change is proposed, `rejection_reason` checks it against size bounds
and with the validator of its kind; then it is appended to the replicated log (`encode_proposal`).
Whether the resource is at the expected revision depends on the state. This is checked when the
entry is applied, with the same result on every voter. The bounds are checked again at that point.
The validators are not run again: during an upgrade, voters of two releases may have different
validators, and their states would diverge. The outcome of a change, accepted or rejected, is stored
in the state under the token of the request, and is final while it is among the last `MAX_TOKENS`. A
publisher that got no response retries with the same token; if the log holds two entries with one
token, only the first is applied.

`epoch` identifies the history of a log. It is derived from the nonce of the first accepted change,
so that a new log can be distinguished from an earlier one. It is empty before that change.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Mapping
from hashlib import blake2b
from typing import Final

import msgspec

from dockthread.control_plane.messages import (
    MAX_BODY_BYTES,
    MAX_NAME_BYTES,
    PublishRequest,
    PublishResponse,
    Resource,
)
from dockthread.control_plane.resource_table import MAX_TOMBSTONES, ResourceTable

MAX_TOKENS: Final = 65_536
"""Number of outcomes kept: about a week of changes."""
MAX_TOKEN_BYTES: Final = 64
"""Maximum length of a token in bytes of UTF-8."""
ANY_REVISION: Final = -1
"""Value of `PublishRequest.expected` for a change that replaces any revision."""
OUTCOME_UNKNOWN: Final = -1
"""Value of `PublishResponse.revision` if the outcome is unknown and the publisher must retry."""
REJECTED: Final = 0
"""Value of `PublishResponse.revision` and `Outcome.revision` for a rejected change."""
NONCE_BYTES: Final = 8
"""Number of random bytes in a proposal, from which the epoch of a new log is derived."""
EPOCH_BYTES: Final = 8
"""Number of bytes in an epoch, which is written in hexadecimal."""

Validator = Callable[[str, bytes], str]
"""Returns why a resource with this name and body is rejected; empty if it is valid."""


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log: a request, and a nonce from which the epoch may be derived."""

    request: PublishRequest
    nonce: bytes


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a change: its revision, or `REJECTED` and the reason."""

    token: str
    revision: int
    reason: str = ""


class State(msgspec.Struct, frozen=True, array_like=True):
    """Complete state of the state machine, as stored in a snapshot of the log."""

    epoch: str
    revision: int
    horizon: int
    entries: tuple[Resource, ...]
    outcomes: tuple[Outcome, ...]


_proposal_decoder = msgspec.msgpack.Decoder(Proposal)
_state_decoder = msgspec.msgpack.Decoder(State)


class PublishStateMachine:
    """Accepted resources, and the outcomes of recent changes.

    `validators` maps each kind to its validator; a change of any other kind is rejected. All voters
    must have the same validators.

    Attributes:
        table: The accepted resources; this object is never replaced.
        undecodable: Number of log entries that could not be decoded.
    """

    def __init__(
        self,
        validators: Mapping[str, Validator],
        rng: random.Random,
        max_tokens: int = MAX_TOKENS,
        max_tombstones: int = MAX_TOMBSTONES,
    ) -> None:
        self.table = ResourceTable(max_tombstones=max_tombstones)
        self.undecodable = 0
        self._validators = dict(validators)
        self._rng = rng
        self._max_tokens = max_tokens
        self._outcomes: OrderedDict[str, Outcome] = OrderedDict()  # by token, oldest first

    def response_for(self, token: str) -> PublishResponse | None:
        """Return the outcome of an applied change, or None if the token is not known."""
        outcome = self._outcomes.get(token)
        if outcome is None:
            return None
        return PublishResponse(token, outcome.revision, outcome.reason)

    def rejection_reason(self, request: PublishRequest) -> str:
        """Return why a request must not be proposed; empty if it may be.

        The reason does not depend on the state, so such a rejection is final.
        """
        validator = self._validators.get(request.kind)
        if validator is None:
            return f"no such kind: {request.kind}"
        reason = _exceeded_bound(request)
        if reason or request.body is None:
            return reason
        return validator(request.name, request.body)

    def encode_proposal(self, request: PublishRequest) -> bytes:
        """Return the log entry of a request.

        The caller must have checked `response_for` and `rejection_reason` first.
        """
        return msgspec.msgpack.encode(Proposal(request, self._rng.randbytes(NONCE_BYTES)))

    def apply(self, index: int, data: bytes) -> None:  # noqa: ARG002  interface of a replicated state machine
        """Apply a committed log entry; `response_for` then returns its outcome."""
        try:
            proposal = _proposal_decoder.decode(data)
        except msgspec.MsgspecError:
            self.undecodable += 1
            return
        request = proposal.request
        if request.token in self._outcomes:
            return
        reason = _exceeded_bound(request) or self._conflict(request)
        revision = REJECTED if reason else self._accept(request, data)
        self._store_outcome(Outcome(request.token, revision, reason))

    def state(self) -> bytes:
        """Return the encoded state for a snapshot of the log."""
        table = self.table
        entries = tuple(table.entries())
        outcomes = tuple(self._outcomes.values())
        state = State(table.epoch, table.revision, table.horizon, entries, outcomes)
        return msgspec.msgpack.encode(state)

    def restore(self, index: int, state: bytes) -> None:  # noqa: ARG002  interface of a replicated state machine
        """Replace the state with that of a snapshot of the log.

        Raises:
            msgspec.MsgspecError: The bytes cannot be decoded as a `State`.
        """
        restored = _state_decoder.decode(state)
        self.table.load(restored.epoch, restored.revision, restored.horizon, restored.entries)
        self._outcomes = OrderedDict((outcome.token, outcome) for outcome in restored.outcomes)

    def _accept(self, request: PublishRequest, data: bytes) -> int:
        """Put the change into the table and return its revision."""
        if not self.table.epoch:
            self.table.epoch = blake2b(data, digest_size=EPOCH_BYTES).hexdigest()
        revision = self.table.revision + 1
        self.table.put(Resource(request.kind, request.name, revision, request.body))
        return revision

    def _store_outcome(self, outcome: Outcome) -> None:
        self._outcomes[outcome.token] = outcome
        while len(self._outcomes) > self._max_tokens:
            self._outcomes.popitem(last=False)

    def _conflict(self, request: PublishRequest) -> str:
        """Return how a request conflicts with the state; empty if it does not."""
        # These texts are part of the replicated state: voters of all releases must agree on them.
        current = self.table.get(request.kind, request.name)
        revision = 0 if current is None else current.revision
        if request.expected not in (ANY_REVISION, revision):
            return f"expected revision {request.expected}, and it is at {revision}"
        if request.body is None and current is None:
            return "there is nothing to delete"
        return ""


def _exceeded_bound(request: PublishRequest) -> str:
    """Return which size bound a request exceeds; empty if none."""
    # These texts are part of the replicated state, like those of `_conflict`.
    if not 0 < len(request.token.encode()) <= MAX_TOKEN_BYTES:
        return f"a token has 1 to {MAX_TOKEN_BYTES} bytes"
    for field, text in (("kind", request.kind), ("name", request.name)):
        if not 0 < len(text.encode()) <= MAX_NAME_BYTES or not text.isprintable():
            return f"a {field} has 1 to {MAX_NAME_BYTES} bytes and can be printed"
    if request.body is not None and len(request.body) > MAX_BODY_BYTES:
        return f"{len(request.body)} bytes, and {MAX_BODY_BYTES} are the most"
    return ""
