"""What gateways tell each other, as bytes: a head, suspected workers, words of a keeper, reports to one.

Sums travel modulo 2**16 and units in sixteenths. Anything short, garbled or absurd reads as nothing."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import NamedTuple

MOST_BYTES = 256  # of a message on the wire
VERSION = 3
PARTS = 16  # of a unit
SUM = 0xFFFF
SANE = 60_000.0  # the largest figure that two bytes hold as a float
HEAD, SUSPECT = struct.Struct("<BBBB"), struct.Struct("<3sB")
WORD, REPORT = struct.Struct("<QBBee"), struct.Struct("<QBBHHHHe")


class Word(NamedTuple):
    """A keeper's: attempts out at all gateways, rate of all arrivals, units left."""

    customer: int
    plan: int
    out: int
    rate: float
    left: float


class Report(NamedTuple):
    """To a keeper: own attempts out, the customer's gateways, sums of units asked and let in, units left."""

    customer: int
    plan: int
    out: int
    first: int
    spread: int
    arrived: int
    spent: int
    left: float


class Message(NamedTuple):
    life: int
    suspects: list[tuple[bytes, float]]
    words: list[Word]
    reports: list[Report]


def worker_code(worker: int) -> bytes:
    return (worker * 0x9E3779B97F4A7C15 >> 20 & 0xFFFFFF).to_bytes(3, "big")


def whole(units: float) -> int:
    """A sum of units as it travels."""
    return round(units * PARTS) & SUM


def grown(now: int, then: int) -> float:
    """Units that a sum has grown by, or shrunk."""
    return ((now - then + 0x8000 & SUM) - 0x8000) / PARTS


def room(suspects: int) -> int:
    """Notes of either kind that fit."""
    return (MOST_BYTES - HEAD.size - suspects * SUSPECT.size) // REPORT.size


def pack(
    life: int, suspects: Sequence[tuple[bytes, float]], words: Sequence[Word], reports: Sequence[Report]
) -> bytes:
    data = HEAD.pack(VERSION, life, len(suspects), len(words))
    data += b"".join(SUSPECT.pack(code, int(255 * failed)) for code, failed in suspects)
    for w in words:
        rate, left = min(w.rate, SANE), max(-SANE, min(w.left, SANE))
        data += WORD.pack(w.customer, w.plan, min(w.out, 255), rate, left)
    for r in reports:
        data += REPORT.pack(*r[:2], min(r.out, 255), *r[3:7], max(-SANE, min(r.left, SANE)))
    return data


def unpack(data: bytes, plans: int) -> Message | None:
    if len(data) < HEAD.size or data[0] != VERSION:
        return None
    words = HEAD.size + data[2] * SUSPECT.size
    reports = words + data[3] * WORD.size
    if len(data) < reports or (len(data) - reports) % REPORT.size:
        return None
    told = [Word(*fields) for fields in WORD.iter_unpack(data[words:reports])]
    asked = [Report(*fields) for fields in REPORT.iter_unpack(data[reports:])]
    return Message(
        data[1],
        [(code, failed / 255) for code, failed in SUSPECT.iter_unpack(data[HEAD.size : words])],
        [w for w in told if w.plan < plans and 0 <= w.rate <= SANE and -SANE <= w.left <= SANE],
        [r for r in asked if r.plan < plans and r.spread > 0 and -SANE <= r.left <= SANE],
    )
