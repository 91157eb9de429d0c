"""What gateways tell each other, as bytes: a head, suspected workers, reports of customers.

Sums travel modulo 2**16 and units in sixteenths. Anything short, garbled or absurd reads as
nothing.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence
from typing import NamedTuple

MAX_MESSAGE_BYTES = 256  # of a message on the wire
VERSION = 5
PARTS_PER_UNIT = 16  # of a unit
SUM_MASK = 0xFFFF
MAX_BUCKET_LEVEL = 60_000.0  # the largest figure that two bytes hold as a float
HEADER, SUSPECT_ENTRY = struct.Struct("<BBBB"), struct.Struct("<3sB")
# a report, by the width of its customer's key
NARROW_REPORT, WIDE_REPORT = struct.Struct("<IBBHHe"), struct.Struct("<QBBHHe")


class CustomerReport(NamedTuple):
    """Of a customer: own attempts out, sums of units asked and let in here since the start, units
    left.
    """

    customer: int
    plan: int
    in_flight: int
    arrived_sum: int
    admitted_sum: int
    bucket_level: float


class GossipMessage(NamedTuple):
    """One message of a peer, unpacked."""

    incarnation: int
    suspects: list[tuple[bytes, float]]
    reports: list[CustomerReport]


def backend_code(worker: int) -> bytes:
    """A worker's number as messages have it."""
    return (worker * 0x9E3779B97F4A7C15 >> 20 & 0xFFFFFF).to_bytes(3, "big")


def encode_units(units: float) -> int:
    """A sum of units as it travels."""
    return round(units * PARTS_PER_UNIT) & SUM_MASK


def units_between(now: int, then: int) -> float:
    """Units that a sum has grown by, or shrunk."""
    return ((now - then + 0x8000 & SUM_MASK) - 0x8000) / PARTS_PER_UNIT


def report_format(keys: Iterable[int]) -> struct.Struct:
    """The narrowest that holds these keys: what is saved is room for reports of more customers."""
    return NARROW_REPORT if all(key >> 32 == 0 for key in keys) else WIDE_REPORT


def report_capacity(suspects: int, keys: Iterable[int]) -> int:
    """Reports of these customers that fit."""
    return (MAX_MESSAGE_BYTES - HEADER.size - suspects * SUSPECT_ENTRY.size) // report_format(
        keys
    ).size


def encode_message(
    life: int, suspects: Sequence[tuple[bytes, float]], reports: Sequence[CustomerReport]
) -> bytes:
    """One message as bytes."""
    form = report_format(r.customer for r in reports)
    data = HEADER.pack(VERSION, life, len(suspects), form is WIDE_REPORT)
    data += b"".join(SUSPECT_ENTRY.pack(code, int(255 * failed)) for code, failed in suspects)
    for r in reports:
        level = max(-MAX_BUCKET_LEVEL, min(r.bucket_level, MAX_BUCKET_LEVEL))
        data += form.pack(
            *r[:2],
            min(r.in_flight, 255),
            *r[3:5],
            level,
        )
    return data


def decode_message(data: bytes, plans: int) -> GossipMessage | None:
    """A message from bytes; None where they are none."""
    if len(data) < HEADER.size or data[0] != VERSION:
        return None
    reports = HEADER.size + data[2] * SUSPECT_ENTRY.size
    form = WIDE_REPORT if data[3] else NARROW_REPORT
    if len(data) < reports or (len(data) - reports) % form.size:
        return None
    told = [CustomerReport(*fields) for fields in form.iter_unpack(data[reports:])]
    return GossipMessage(
        data[1],
        [
            (code, failed / 255)
            for code, failed in SUSPECT_ENTRY.iter_unpack(data[HEADER.size : reports])
        ],
        [
            r
            for r in told
            if r.plan < plans and -MAX_BUCKET_LEVEL <= r.bucket_level <= MAX_BUCKET_LEVEL
        ],
    )
