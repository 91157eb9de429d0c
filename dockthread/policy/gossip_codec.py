"""What gateways tell each other, as bytes: a head, suspected workers, reports of customers.

Sums travel modulo 2**16 and units in sixteenths. Anything short, garbled or absurd reads as
nothing.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence
from typing import NamedTuple

MOST_BYTES = 256  # of a message on the wire
VERSION = 5
PARTS = 16  # of a unit
SUM = 0xFFFF
SANE = 60_000.0  # the largest figure that two bytes hold as a float
HEAD, SUSPECT = struct.Struct("<BBBB"), struct.Struct("<3sB")
# a report, by the width of its customer's key
NARROW, WIDE = struct.Struct("<IBBHHe"), struct.Struct("<QBBHHe")


class Report(NamedTuple):
    """Of a customer: own attempts out, sums of units asked and let in here since the start, units
    left.
    """

    customer: int
    plan: int
    out: int
    arrived: int
    spent: int
    left: float


class Message(NamedTuple):
    """One message of a peer, unpacked."""

    life: int
    suspects: list[tuple[bytes, float]]
    reports: list[Report]


def worker_code(worker: int) -> bytes:
    """A worker's number as messages have it."""
    return (worker * 0x9E3779B97F4A7C15 >> 20 & 0xFFFFFF).to_bytes(3, "big")


def whole(units: float) -> int:
    """A sum of units as it travels."""
    return round(units * PARTS) & SUM


def grown(now: int, then: int) -> float:
    """Units that a sum has grown by, or shrunk."""
    return ((now - then + 0x8000 & SUM) - 0x8000) / PARTS


def form_of(keys: Iterable[int]) -> struct.Struct:
    """The narrowest that holds these keys: what is saved is room for reports of more customers."""
    return NARROW if all(key >> 32 == 0 for key in keys) else WIDE


def room(suspects: int, keys: Iterable[int]) -> int:
    """Reports of these customers that fit."""
    return (MOST_BYTES - HEAD.size - suspects * SUSPECT.size) // form_of(keys).size


def pack(life: int, suspects: Sequence[tuple[bytes, float]], reports: Sequence[Report]) -> bytes:
    """One message as bytes."""
    form = form_of(r.customer for r in reports)
    data = HEAD.pack(VERSION, life, len(suspects), form is WIDE)
    data += b"".join(SUSPECT.pack(code, int(255 * failed)) for code, failed in suspects)
    for r in reports:
        data += form.pack(*r[:2], min(r.out, 255), *r[3:5], max(-SANE, min(r.left, SANE)))
    return data


def unpack(data: bytes, plans: int) -> Message | None:
    """A message from bytes; None where they are none."""
    if len(data) < HEAD.size or data[0] != VERSION:
        return None
    reports = HEAD.size + data[2] * SUSPECT.size
    form = WIDE if data[3] else NARROW
    if len(data) < reports or (len(data) - reports) % form.size:
        return None
    told = [Report(*fields) for fields in form.iter_unpack(data[reports:])]
    return Message(
        data[1],
        [(code, failed / 255) for code, failed in SUSPECT.iter_unpack(data[HEAD.size : reports])],
        [r for r in told if r.plan < plans and -SANE <= r.left <= SANE],
    )
