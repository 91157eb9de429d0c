"""The state machine of the agreed log of control: accepts each change once and gives it a revision.

Theory of operation. A publisher's change is checked against bounds, the validator of its kind and the revision it
expects (`refusal`), proposed to the log (`proposal`), and judged once more by the same rules when it is applied, as
another may have come between: by the same log every voter comes to the same table and answers. A publisher that saw
no answer asks again with the same token: the outcome under that token is remembered among the last `MOST_TOKENS`, so
the change counts once. A refusal is not remembered: a repeated question may be answered anew.

`epoch` names the history: it is drawn from the nonce of the first change that is accepted, so that a log begun anew
is told apart from the one before. It is empty until then.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Mapping
from hashlib import blake2b
from typing import Final, TypeVar

import msgspec

from dockthread.distribution.messages import MOST_BODY, MOST_NAME, Publish, Published, Resource
from dockthread.distribution.resources import ResourceTable

MOST_TOKENS: Final = 65_536  # outcomes remembered: about a week of changes
MOST_TOKEN: Final = 64  # bytes of a token
ANY_REVISION: Final = -1  # `expected` of a change that replaces whatever is there
NOT_KNOWN: Final = -1  # revision of an answer that cannot be given now

Validator = Callable[[str, bytes], str]
"""From a resource's name and body to the reason for which it is refused; empty where it is good."""


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    publish: Publish
    nonce: bytes


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """What became of an accepted change."""

    token: str
    revision: int


class State(msgspec.Struct, frozen=True, array_like=True):
    """All that the state machine holds, for a snapshot of the log."""

    epoch: str
    revision: int
    horizon: int
    entries: tuple[Resource, ...]
    outcomes: tuple[Outcome, ...]


Kept = TypeVar("Kept")

_proposal_decoder = msgspec.msgpack.Decoder(Proposal)
_state_decoder = msgspec.msgpack.Decoder(State)


class Publishing:
    """The owner of a log (`dockthread.fleet.member.Owner` without what concerns its members).

    `table` holds what is accepted; its identity stays the same for its life, also when a state is restored.
    `validators`: by kind; a kind that is not among them is refused. All voters need the same ones.
    """

    def __init__(
        self, validators: Mapping[str, Validator], rng: random.Random, most_tokens: int = MOST_TOKENS
    ) -> None:
        self.table = ResourceTable()
        self.undecodable = 0  # entries that mean nothing here
        self._validators, self._rng, self._most_tokens = dict(validators), rng, most_tokens
        self._outcomes: OrderedDict[str, int] = OrderedDict()  # revision by token
        self._refused: OrderedDict[str, str] = OrderedDict()  # reason by token, of this life only

    def answer(self, token: str) -> Published | None:
        """What is known here of a change that was applied; None for nothing."""
        if token in self._outcomes:
            return Published(token, self._outcomes[token])
        if token in self._refused:
            return Published(token, 0, self._refused[token])
        return None

    def refusal(self, publish: Publish) -> str:
        """Why the change would be refused now; empty where it would be accepted."""
        if not 0 < len(publish.token.encode()) <= MOST_TOKEN:
            return f"a token has 1 to {MOST_TOKEN} bytes"
        return self._bad_resource(publish) or self._unexpected(publish)

    def proposal(self, publish: Publish) -> bytes:
        """What is to be proposed to the log. Whoever proposes asks `answer` and `refusal` before."""
        return msgspec.msgpack.encode(Proposal(publish, self._rng.randbytes(8)))

    def apply(self, index: int, data: bytes) -> None:
        """An entry that is agreed on, in its order. `answer` then knows its token."""
        try:
            proposal = _proposal_decoder.decode(data)
        except msgspec.MsgspecError:
            self.undecodable += 1
            return
        publish = proposal.publish
        if publish.token in self._outcomes:
            return
        if reason := self.refusal(publish):
            self._remember(self._refused, publish.token, reason)
            return
        if not self.table.epoch:
            self.table.epoch = blake2b(data, digest_size=8).hexdigest()
        revision = self.table.revision + 1
        self.table.put(Resource(publish.kind, publish.name, revision, publish.body))
        self._refused.pop(publish.token, None)
        self._remember(self._outcomes, publish.token, revision)

    def state(self) -> bytes:
        """All that is held, for a snapshot of the log."""
        table = self.table
        outcomes = tuple(Outcome(token, revision) for token, revision in self._outcomes.items())
        held = State(table.epoch, table.revision, table.horizon, tuple(table.entries()), outcomes)
        return msgspec.msgpack.encode(held)

    def restore(self, index: int, state: bytes) -> None:
        """A whole state, in place of all entries up to `index`. Raises `msgspec.MsgspecError` for none."""
        held = _state_decoder.decode(state)
        self.table.load(held.epoch, held.revision, held.horizon, held.entries)
        self._outcomes = OrderedDict((outcome.token, outcome.revision) for outcome in held.outcomes)

    def _remember(self, kept: OrderedDict[str, Kept], token: str, what: Kept) -> None:
        kept[token] = what
        while len(kept) > self._most_tokens:
            kept.popitem(last=False)

    def _bad_resource(self, publish: Publish) -> str:
        for word, text in (("kind", publish.kind), ("name", publish.name)):
            if not 0 < len(text.encode()) <= MOST_NAME or not text.isprintable():
                return f"a {word} has 1 to {MOST_NAME} bytes and can be printed"
        validator = self._validators.get(publish.kind)
        if validator is None:
            return f"no such kind: {publish.kind}"
        if publish.body is None:
            return ""
        if len(publish.body) > MOST_BODY:
            return f"{len(publish.body)} bytes, and {MOST_BODY} are the most"
        return validator(publish.name, publish.body)

    def _unexpected(self, publish: Publish) -> str:
        there = self.table.get(publish.kind, publish.name)
        revision = 0 if there is None else there.revision
        if publish.expected not in (ANY_REVISION, revision):
            return f"expected revision {publish.expected}, and it is at {revision}"
        if publish.body is None and there is None:
            return "there is nothing to delete"
        return ""
