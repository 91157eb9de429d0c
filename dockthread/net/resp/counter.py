"""Commands to the quota counter and its replies."""

from __future__ import annotations

import re
from math import isfinite, nan
from typing import NamedTuple

import hiredis

from dockthread.net.resp.commands import encode_command
from dockthread.policy import Outcome

_NUMBER = re.compile(rb"-?[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?")
_OUTCOME_BY_ERROR = {"BUSY": Outcome.AT_CAPACITY, "ERR": Outcome.NOT_SENT}


class CounterReply(NamedTuple):
    """The counter's reply to an addition; `total` is 0 unless the outcome is OK."""

    outcome: Outcome
    total: float


def encode_counter_addition(name: int, amount: float, lifetime_ms: float) -> bytes:
    """Return the command that adds `amount` to a number.

    The counter forgets the number when the lifetime of its first addition is over.
    """
    lifetime = b"%d" % max(1, round(lifetime_ms))
    return encode_command(b"CNT.ADD", b"%x" % name, b"%.6g" % amount, lifetime)


def parse_counter_reply(message: object) -> CounterReply:
    """Interpret a reply of the counter.

    A total that cannot be read is an error, not an addition that was never sent: the counter may
    have carried it out.
    """
    if isinstance(message, hiredis.ReplyError):
        kind = str(message).split(" ")[0]
        return CounterReply(_OUTCOME_BY_ERROR.get(kind, Outcome.ERROR), 0.0)
    total = nan
    if isinstance(message, bytes) and _NUMBER.fullmatch(message):
        total = float(message)
    return CounterReply(Outcome.OK, total) if isfinite(total) else CounterReply(Outcome.ERROR, 0.0)
