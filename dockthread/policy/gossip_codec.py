"""The binary format of gossip messages between ingresses, in little-endian order.

A message has a header, entries of suspect backends, and reports of customers:

    header    version (1 byte), incarnation (1), number of suspects (1), 1 for wide reports (1)
    suspect   backend's code (3 bytes), failure fraction in 1/255 (1)
    report    customer (4 bytes, or 8 if wide), plan (1), attempts in flight (1), sum of units
              requested (2), sum of units admitted (2), level of the token bucket (2, a float)

Sums are multiples of 1/16 unit, modulo 2**16. A message that is too short, malformed or of another
version is ignored.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# Maximum size of a message in bytes, which every ingress can receive.
MAX_MESSAGE_BYTES = 256
# Version of the format.
VERSION = 5
# Number of parts into which sums in messages divide a unit.
PARTS_PER_UNIT = 16
# Bit mask of a sum in a message: sums count modulo 2**16.
SUM_MASK = 0xFFFF
# Half the range of a sum: a larger difference between two sums is interpreted as negative.
HALF_SUM_RANGE = 0x8000
# Largest level (units) in a message, which is well within the range of a two-byte float.
MAX_BUCKET_LEVEL = 60_000.0
# Largest number of attempts in flight, limited by its size of one byte.
MAX_IN_FLIGHT = 255
# Largest encoded failure fraction, which stands for 1; limited by its size of one byte.
FRACTION_STEPS = 255
# Multiplier (2**64 divided by the golden ratio, as in Fibonacci hashing), shift and mask that hash
# backends' numbers to three bytes.
CODE_MULTIPLIER = 0x9E3779B97F4A7C15
CODE_SHIFT = 20
CODE_MASK = 0xFFFFFF
CODE_BYTES = 3
# Bits of a customer's number in a narrow report.
NARROW_CUSTOMER_BITS = 32

HEADER = struct.Struct("<BBBB")
SUSPECT_ENTRY = struct.Struct("<3sB")
NARROW_REPORT = struct.Struct("<IBBHHe")
WIDE_REPORT = struct.Struct("<QBBHHe")


class CustomerReport(NamedTuple):
    """One ingress's report of a customer.

    Attributes:
        customer: the customer's number.
        plan: the position of the customer's plan in the settings.
        in_flight: number of the customer's attempts in flight at the sender.
        requested_sum: units requested from the sender since its start, encoded by `encode_units`.
        admitted_sum: units that the sender admitted since its start, encoded by `encode_units`.
        bucket_level: units left in the sender's copy of the customer's token bucket.
    """

    customer: int
    plan: int
    in_flight: int
    requested_sum: int
    admitted_sum: int
    bucket_level: float


class GossipMessage(NamedTuple):
    """One decoded message from a peer.

    Attributes:
        incarnation: a random number of the sender's process; a different one means a restart.
        suspects: codes of suspect backends with their failure fractions (0 to 1).
        reports: reports of customers.
    """

    incarnation: int
    suspects: list[tuple[bytes, float]]
    reports: list[CustomerReport]


def backend_code(backend: int) -> bytes:
    """Return the three-byte hash of a backend's number that identifies it in messages."""
    code = backend * CODE_MULTIPLIER >> CODE_SHIFT & CODE_MASK
    return code.to_bytes(CODE_BYTES, "big")


def encode_units(units: float) -> int:
    """Encode a sum of units for a message, as a multiple of 1/16 unit modulo 2**16."""
    return round(units * PARTS_PER_UNIT) & SUM_MASK


def units_between(later: int, earlier: int) -> float:
    """Return the units by which an encoded sum has grown; negative if it has shrunk."""
    difference = (later - earlier + HALF_SUM_RANGE & SUM_MASK) - HALF_SUM_RANGE
    return difference / PARTS_PER_UNIT


def report_format(customers: Iterable[int]) -> struct.Struct:
    """Return the narrowest report format for these customers, so that more reports fit."""
    is_narrow = all(customer >> NARROW_CUSTOMER_BITS == 0 for customer in customers)
    return NARROW_REPORT if is_narrow else WIDE_REPORT


def report_capacity(suspects: int, customers: Iterable[int]) -> int:
    """Return how many reports of these customers fit into a message with `suspects` entries."""
    available_bytes = MAX_MESSAGE_BYTES - HEADER.size - suspects * SUSPECT_ENTRY.size
    return available_bytes // report_format(customers).size


def encode_message(
    incarnation: int,
    suspects: Sequence[tuple[bytes, float]],
    reports: Sequence[CustomerReport],
) -> bytes:
    """Encode one message; the caller must not pass more reports than `report_capacity`.

    Args:
        incarnation: the sender's incarnation, from 0 to 255.
        suspects: codes of suspect backends with their failure fractions.
        reports: reports of customers; attempts in flight and levels are clipped to their ranges.
    """
    report_struct = report_format(report.customer for report in reports)
    data = HEADER.pack(VERSION, incarnation, len(suspects), report_struct is WIDE_REPORT)
    data += b"".join(
        SUSPECT_ENTRY.pack(code, int(FRACTION_STEPS * fraction)) for code, fraction in suspects
    )
    for report in reports:
        data += report_struct.pack(
            report.customer,
            report.plan,
            min(report.in_flight, MAX_IN_FLIGHT),
            report.requested_sum,
            report.admitted_sum,
            max(-MAX_BUCKET_LEVEL, min(report.bucket_level, MAX_BUCKET_LEVEL)),
        )
    return data


def decode_message(data: bytes, plan_count: int) -> GossipMessage | None:
    """Decode one message.

    Args:
        data: the content of the datagram.
        plan_count: number of plans in the settings; reports of other plans are dropped, and so are
            reports with a level out of range.

    Returns:
        The message; None if the data is not a valid message of this version.
    """
    if len(data) < HEADER.size or data[0] != VERSION:
        return None
    _, incarnation, suspect_count, is_wide = HEADER.unpack_from(data)
    reports_start = HEADER.size + suspect_count * SUSPECT_ENTRY.size
    report_struct = WIDE_REPORT if is_wide else NARROW_REPORT
    if len(data) < reports_start or (len(data) - reports_start) % report_struct.size:
        return None
    suspect_entries = SUSPECT_ENTRY.iter_unpack(data[HEADER.size : reports_start])
    reports = [
        CustomerReport(*fields) for fields in report_struct.iter_unpack(data[reports_start:])
    ]
    return GossipMessage(
        incarnation,
        [(code, fraction / FRACTION_STEPS) for code, fraction in suspect_entries],
        [
            report
            for report in reports
            if report.plan < plan_count
            and -MAX_BUCKET_LEVEL <= report.bucket_level <= MAX_BUCKET_LEVEL
        ],
    )
