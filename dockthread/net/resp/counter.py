"""Encodes commands for the quota counter, and parses its replies."""

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
    """Return the command that adds `amount` to the count `name`.

    The count expires `lifetime_ms` after its first addition.
    """
    lifetime = b"%d" % max(1, round(lifetime_ms))
    return encode_command(b"CNT.ADD", b"%x" % name, b"%.6g" % amount, lifetime)


def parse_counter_reply(message: object) -> CounterReply:
    """Interpret a reply from the counter.

    An invalid total has the outcome ERROR and not NOT_SENT, because the counter may have executed
    the addition.
    """
    if isinstance(message, hiredis.ReplyError):
        kind = str(message).split(" ")[0]
        return CounterReply(_OUTCOME_BY_ERROR.get(kind, Outcome.ERROR), 0.0)
    total = nan
    if isinstance(message, bytes) and _NUMBER.fullmatch(message):
        total = float(message)
    return CounterReply(Outcome.OK, total) if isfinite(total) else CounterReply(Outcome.ERROR, 0.0)
