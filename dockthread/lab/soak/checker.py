"""Judges a soak: which rules its requests and its processes broke."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from dockthread.lab.soak.journal import Ending, Journal, RequestRecord
from dockthread.lab.soak.process import IngressProcess

# An answer over this size is timed by its first byte, and the rest follows as the backend gives it.
MAX_TIMED_WHOLE_BYTES = 64 * 1024
ANSWER_SLACK_S = 0.5
LEAVE_SLACK_S = 0.1
# Allowance for the scheduling of clients, backends and ingress on one machine.
MEASUREMENT_SLACK_S = 0.15


def violations(
    journal: Journal, process: IngressProcess, kills: list[float], swaps: list[float]
) -> list[str]:
    """Return the broken rules of a soak.

    Args:
        journal: The requests.
        process: The ingress.
        kills: When a process was killed without a warning.
        swaps: When a backend died.
    """
    found = list(journal.violations)
    if process.peak_bytes > process.memory_bytes:
        peak, limit = process.peak_bytes / 1e6, process.memory_bytes / 1e6
        found.append(f"memory: {peak:.1f} MB resident of {limit:.0f} MB")
    found += [f"crash: a process ended by itself with {code}" for code in process.ended]
    for record in journal.requests.values():
        found += [
            f"{text}: {describe(journal, record)}"
            for text in _broken_rules(record, kills=kills, swaps=swaps)
        ]
    return found


def _broken_rules(
    record: RequestRecord, *, kills: list[float], swaps: list[float]
) -> Iterator[str]:
    runs = [run for run in record.runs if run.completed_at is not None]
    if record.is_unsafe and len(runs) > 1:
        yield "duplicate"
    if record.left_at is not None:
        limit = record.left_at + LEAVE_SLACK_S + MEASUREMENT_SLACK_S
        if any(run.began_at > limit for run in record.runs):
            yield "lost: an attempt began after the client had left"
        return
    if record.is_unsafe and record.ending is Ending.REJECTED and runs:
        yield "duplicate: rejected although it ran"
    if _is_excused(record, kills):
        return
    if record.ending is Ending.MISSING or (
        record.ending is Ending.CLOSED and not record.is_expendable
    ):
        yield "lost"
    is_large = record.value_bytes > MAX_TIMED_WHOLE_BYTES
    if not _is_excused(record, swaps):
        if record.ending is Ending.CUT:
            yield "lost: cut off"
        elif is_large and record.ending is not Ending.SERVED and _was_given(record):
            yield "lost: a long answer was not passed on"
    answered_at = record.first_byte_at if is_large else record.ended_at
    if record.written_at is not None and answered_at is not None:
        limit = record.written_at + record.deadline_s + ANSWER_SLACK_S + MEASUREMENT_SLACK_S
        if answered_at > limit:
            yield "lost: late"


def _was_given(record: RequestRecord) -> bool:
    return any(run.answered_bytes for run in record.runs)


def _is_excused(record: RequestRecord, faults: list[float]) -> bool:
    """Return whether one of the faults fell into the time of a request."""
    began_at = min((run.began_at for run in record.runs), default=record.written_at or 0.0)
    began_at -= record.deadline_s
    return any(began_at <= at <= (record.ended_at or at) + LEAVE_SLACK_S for at in faults)


def describe(journal: Journal, record: RequestRecord) -> str:
    """Return one line about a request, with its id and all its runs."""
    when = journal.since_start
    runs = "; ".join(
        f"{run.backend} {when(run.began_at)}-{when(run.completed_at)} gave {run.answered_bytes}"
        for run in record.runs
    )
    return (
        f"{record.wire_id} {'write' if record.is_unsafe else 'read'} d={record.deadline_s:.2f} "
        f"body={record.body_bytes} value={record.value_bytes} {record.pace.value}; written "
        f"{when(record.written_at)} first {when(record.first_byte_at)} ended {when(record.ended_at)} "
        f"left {when(record.left_at)} {record.ending.value} {record.detail}; runs: {runs or '-'}"
    )


def summary(journal: Journal) -> str:
    """Return how many requests ended in each way."""
    counts = Counter(record.ending.value for record in journal.requests.values())
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
