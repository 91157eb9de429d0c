"""A leader's view of each other member's log (Raft paper, figure 2; etcd's tracker)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

NEVER: Final = -1e18  # time in ms that is earlier than any clock value


@dataclass(slots=True)
class Progress:
    """Replication progress of one member.

    Attributes:
        next_index: index of the next entry to send.
        match_index: last index up to which the member's log is known to equal the leader's.
        in_flight_round: heartbeat round of the entries in flight; None if none are.
        notified_commit: the commit index that was last sent to the member.
        acknowledged_round: the latest heartbeat round that the member has acknowledged.
        last_response_at: time of the member's last response in ms.
    """

    next_index: int
    match_index: int = 0
    in_flight_round: int | None = None
    notified_commit: int = 0
    acknowledged_round: int = 0
    last_response_at: float = NEVER

    def accept(self, match_index: int) -> None:
        """Record that the logs are equal up to `match_index`."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def back_off(self, match_index: int) -> None:
        """Move `next_index` back after a rejection; the logs match at most up to `match_index`."""
        last_match_candidate = min(match_index, self.next_index - 1)
        self.next_index = max(self.match_index, last_match_candidate) + 1

    def acknowledge(self, heartbeat_round: int, now: float) -> None:
        """Record a response to a message of this heartbeat round."""
        self.last_response_at = now
        self.acknowledged_round = max(self.acknowledged_round, heartbeat_round)
        if self.in_flight_round is not None and self.in_flight_round <= heartbeat_round:
            self.in_flight_round = None


class ProgressTracker:
    """The progress of every member that a leader has sent messages to in its term."""

    def __init__(self) -> None:
        self._progress: dict[str, Progress] = {}

    def reset(self, members: Iterable[str], next_index: int, now: float) -> None:
        """Discard all progress at the start of a leader's term.

        Every member counts as having responded now.
        """
        self._progress = {member: Progress(next_index, last_response_at=now) for member in members}

    def get_or_create(self, member: str, next_index: int) -> Progress:
        """Return a member's progress; a member without progress starts at `next_index`."""
        progress = self._progress.get(member)
        if progress is None:
            progress = self._progress[member] = Progress(next_index)
        return progress

    def match_index(self, member: str) -> int:
        """Return the last index up to which a member's log is known to equal the leader's."""
        progress = self._progress.get(member)
        return progress.match_index if progress else 0

    def last_response_at(self, member: str) -> float:
        """Return the time of a member's last response in ms."""
        progress = self._progress.get(member)
        return progress.last_response_at if progress else NEVER

    def members_holding(self, index: int) -> set[str]:
        """Return the members whose log is known to hold the leader's entry at `index`."""
        return {
            name
            for name, member_progress in self._progress.items()
            if member_progress.match_index >= index
        }

    def members_acknowledging(self, heartbeat_round: int) -> set[str]:
        """Return the members that have acknowledged this heartbeat round or a later one."""
        return {
            name
            for name, member_progress in self._progress.items()
            if member_progress.acknowledged_round >= heartbeat_round
        }

    def responded_within(self, window_ms: float, now: float) -> set[str]:
        """Return the members that responded in the last `window_ms`."""
        return {
            name
            for name, member_progress in self._progress.items()
            if now - member_progress.last_response_at < window_ms
        }

    def clear_in_flight(self) -> None:
        """Treat no entries as in flight, so that lost entries are sent again."""
        for progress in self._progress.values():
            progress.in_flight_round = None
