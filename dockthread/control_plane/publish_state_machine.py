"""The state machine of the agreed log of control: accepts each change once and gives it a revision.

Theory of operation. A publisher's change is checked before it is proposed against bounds and the
validator of its kind (`refusal`), and goes into the log (`proposal`). What depends on the state,
whether the resource is at the revision that the change expects, is judged only when the entry is
applied, where it is the same on every voter. The bounds are judged once more there, the validators
not: voters of two releases may hold different ones while they are upgraded, and would part for
good. The outcome under a token, accepted or refused, is part of the state and final while it is
among the last `MOST_TOKENS`: a publisher that saw no answer asks again with the same token, and one
change of two that were proposed counts, whichever comes late.

`epoch` names the history: it is drawn from the nonce of the first change that is accepted, so that
a log begun anew is told apart from the one before. It is empty until then.
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

MOST_TOKENS: Final = 65_536  # outcomes remembered: about a week of changes
MOST_TOKEN: Final = 64  # bytes of a token
ANY_REVISION: Final = -1  # `expected` of a change that replaces whatever is there
NOT_KNOWN: Final = -1  # revision of an answer that cannot be given now

Validator = Callable[[str, bytes], str]
"""From a resource's name and body to the reason for which it is refused; empty where it is good."""


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    publish: PublishRequest
    nonce: bytes


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """What became of a change: `revision` where it was accepted, 0 and a reason where not."""

    token: str
    revision: int
    reason: str = ""


class State(msgspec.Struct, frozen=True, array_like=True):
    """All that the state machine holds, for a snapshot of the log."""

    epoch: str
    revision: int
    horizon: int
    entries: tuple[Resource, ...]
    outcomes: tuple[Outcome, ...]


_proposal_decoder = msgspec.msgpack.Decoder(Proposal)
_state_decoder = msgspec.msgpack.Decoder(State)


class PublishStateMachine:
    """The owner of a log (`dockthread.raft.server.Owner` without what concerns its members).

    `table` holds what is accepted; its identity stays the same for its life, also when a state is
    restored. `validators`: by kind; a kind that is not among them is refused. All voters need the
    same ones.
    """

    def __init__(
        self,
        validators: Mapping[str, Validator],
        rng: random.Random,
        max_tokens: int = MOST_TOKENS,
        max_tombstones: int = MAX_TOMBSTONES,
    ) -> None:
        self.table = ResourceTable(max_tombstones=max_tombstones)
        self.undecodable = 0  # entries that mean nothing here
        self._validators, self._rng, self._most_tokens = dict(validators), rng, max_tokens
        self._outcomes: OrderedDict[str, Outcome] = OrderedDict()  # by token

    def response_for(self, token: str) -> PublishResponse | None:
        """What became of a change that was applied; None where it is not known here."""
        outcome = self._outcomes.get(token)
        return None if outcome is None else PublishResponse(token, outcome.revision, outcome.reason)

    def rejection_reason(self, publish: PublishRequest) -> str:
        """Why the change may not be proposed, whatever the state; empty where it may. That refusal
        is final too.
        """
        validator = self._validators.get(publish.kind)
        if validator is None:
            return f"no such kind: {publish.kind}"
        reason = _out_of_bounds(publish)
        if reason or publish.body is None:
            return reason
        return validator(publish.name, publish.body)

    def encode_proposal(self, publish: PublishRequest) -> bytes:
        """What is to be proposed to the log. Whoever proposes asks `answer` and `refusal`
        before.
        """
        return msgspec.msgpack.encode(Proposal(publish, self._rng.randbytes(8)))

    def apply(self, index: int, data: bytes) -> None:
        """An entry that is agreed on, in its order. `answer` then knows its token."""
        try:
            encode_proposal = _proposal_decoder.decode(data)
        except msgspec.MsgspecError:
            self.undecodable += 1
            return
        publish = encode_proposal.publish
        if publish.token in self._outcomes:
            return
        reason = _out_of_bounds(publish) or self._unexpected(publish)
        revision = 0 if reason else self._accept(publish, data)
        self._remember(Outcome(publish.token, revision, reason))

    def state(self) -> bytes:
        """All that is held, for a snapshot of the log."""
        table = self.table
        entries, outcomes = tuple(table.entries()), tuple(self._outcomes.values())
        held = State(table.epoch, table.revision, table.horizon, entries, outcomes)
        return msgspec.msgpack.encode(held)

    def restore(self, index: int, state: bytes) -> None:
        """A whole state, in place of all entries up to `index`. Raises `msgspec.MsgspecError` for
        none.
        """
        held = _state_decoder.decode(state)
        self.table.load(held.epoch, held.revision, held.horizon, held.entries)
        self._outcomes = OrderedDict((outcome.token, outcome) for outcome in held.outcomes)

    def _accept(self, publish: PublishRequest, data: bytes) -> int:
        """The revision that it becomes."""
        if not self.table.epoch:
            self.table.epoch = blake2b(data, digest_size=8).hexdigest()
        revision = self.table.revision + 1
        self.table.put(Resource(publish.kind, publish.name, revision, publish.body))
        return revision

    def _remember(self, outcome: Outcome) -> None:
        self._outcomes[outcome.token] = outcome
        while len(self._outcomes) > self._most_tokens:
            self._outcomes.popitem(last=False)

    def _unexpected(self, publish: PublishRequest) -> str:
        there = self.table.get(publish.kind, publish.name)
        revision = 0 if there is None else there.revision
        if publish.expected not in (ANY_REVISION, revision):
            return f"expected revision {publish.expected}, and it is at {revision}"
        if publish.body is None and there is None:
            return "there is nothing to delete"
        return ""


def _out_of_bounds(publish: PublishRequest) -> str:
    """Which bound the change breaks, whatever the state; empty for none."""
    if not 0 < len(publish.token.encode()) <= MOST_TOKEN:
        return f"a token has 1 to {MOST_TOKEN} bytes"
    for word, text in (("kind", publish.kind), ("name", publish.name)):
        if not 0 < len(text.encode()) <= MAX_NAME_BYTES or not text.isprintable():
            return f"a {word} has 1 to {MAX_NAME_BYTES} bytes and can be printed"
    if publish.body is not None and len(publish.body) > MAX_BODY_BYTES:
        return f"{len(publish.body)} bytes, and {MAX_BODY_BYTES} are the most"
    return ""
