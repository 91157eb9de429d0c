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
            for text in _broken_rules(journal, record, kills=kills, swaps=swaps)
        ]
    return found


def _broken_rules(
    journal: Journal, record: RequestRecord, *, kills: list[float], swaps: list[float]
) -> Iterator[str]:
    yield from _broken_run_rules(journal, record)
    if record.left_at is not None or _is_excused(record, kills):
        return
    if record.ending is Ending.MISSING or (
        record.ending is Ending.CLOSED and not record.is_expendable
    ):
        yield "lost"
    if not _is_excused(record, swaps):
        if record.ending is Ending.CUT:
            yield "lost: cut off"
        elif _is_large(record) and record.ending is not Ending.SERVED and _was_given(record):
            yield "lost: a long answer was not passed on"
    if _is_late(journal, record):
        yield "lost: late"


def _broken_run_rules(journal: Journal, record: RequestRecord) -> Iterator[str]:
    """Yield the broken rules on where and when a request ran."""
    runs = [run for run in record.runs if run.completed_at is not None]
    if record.is_unsafe and len(runs) > 1:
        yield "duplicate"
    if record.left_at is not None:
        limit = record.left_at + LEAVE_SLACK_S + MEASUREMENT_SLACK_S
        late_runs = [run for run in record.runs if run.began_at > limit]
        if record.is_repeated and len(runs) == 1:
            return  # another client's request with the same id may run, as the first one did not
        if any(
            run.began_at - journal.lag_s(record.left_at, run.began_at) > limit for run in late_runs
        ):
            yield "lost: an attempt began after the client had left"
    elif record.is_unsafe and record.ending is Ending.REJECTED and runs and not record.is_repeated:
        yield "duplicate: rejected although it ran"


def _is_large(record: RequestRecord) -> bool:
    return record.value_bytes > MAX_TIMED_WHOLE_BYTES


def _is_late(journal: Journal, record: RequestRecord) -> bool:
    is_timed_whole = not _is_large(record) and not record.is_read_slowly
    answered_at = record.ended_at if is_timed_whole else record.first_byte_at
    if record.written_at is None or answered_at is None:
        return False
    slack = ANSWER_SLACK_S + MEASUREMENT_SLACK_S
    slack += journal.lag_s(record.written_at, answered_at)
    return answered_at > record.written_at + record.deadline_s + slack


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
