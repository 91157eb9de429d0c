"""What a leader knows of each other member's log (Raft paper, figure 2; etcd's tracker)."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

NEVER: Final = -1e18  # ms, earlier than any time of a run


@dataclass(slots=True)
class Progress:
    """How far one member has come.

    Attributes:
        next_index: of the next entry to send.
        match_index: up to which its log is known to equal the leader's.
        in_flight_round: heartbeat round of entries that are on their way; None for none.
        notified_commit: the commit index that it was sent last.
        acknowledged_round: the latest heartbeat round that it has answered.
        last_response_at: time in ms of its last response.
    """

    next_index: int
    match_index: int = 0
    in_flight_round: int | None = None
    notified_commit: int = 0
    acknowledged_round: int = 0
    last_response_at: float = NEVER

    def accept(self, match_index: int) -> None:
        """Take over that the logs are equal up to `match_index`."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def back_off(self, match_index: int) -> None:
        """Send earlier entries next, as the logs are equal up to `match_index` at most."""
        last_candidate = min(match_index, self.next_index - 1)
        self.next_index = max(self.match_index, last_candidate) + 1

    def acknowledge(self, heartbeat_round: int, now: float) -> None:
        """Take over that it has answered a message of this heartbeat round."""
        self.last_response_at = now
        self.acknowledged_round = max(self.acknowledged_round, heartbeat_round)
        if self.in_flight_round is not None and self.in_flight_round <= heartbeat_round:
            self.in_flight_round = None


class ProgressTracker:
    """The progress of every member to which a leader has sent something in its term."""

    def __init__(self) -> None:
        self._progress: dict[str, Progress] = {}

    def reset(self, members: Iterable[str], next_index: int, now: float) -> None:
        """Start a term as leader; every member counts as having responded now."""
        self._progress = {member: Progress(next_index, last_response_at=now) for member in members}

    def of(self, member: str, next_index: int) -> Progress:
        """Return a member's progress; a member that is new to it starts at `next_index`."""
        progress = self._progress.get(member)
        if progress is None:
            progress = self._progress[member] = Progress(next_index)
        return progress

    def match_index(self, member: str) -> int:
        """Return up to which index a member's log is known to equal the leader's."""
        progress = self._progress.get(member)
        return progress.match_index if progress else 0

    def last_response_at(self, member: str) -> float:
        """Return when a member responded last, in ms."""
        progress = self._progress.get(member)
        return progress.last_response_at if progress else NEVER

    def holding(self, index: int) -> set[str]:
        """Return the members whose log is known to hold the leader's entry at `index`."""
        return {name for name, each in self._progress.items() if each.match_index >= index}

    def acknowledging(self, heartbeat_round: int) -> set[str]:
        """Return the members that have answered this heartbeat round or a later one."""
        return {
            name
            for name, each in self._progress.items()
            if each.acknowledged_round >= heartbeat_round
        }

    def responded_within(self, window_ms: float, now: float) -> set[str]:
        """Return the members that responded less than `window_ms` ago."""
        return {
            name for name, each in self._progress.items() if now - each.last_response_at < window_ms
        }

    def clear_in_flight(self) -> None:
        """Forget what is on its way, so that lost entries are sent again."""
        for progress in self._progress.values():
            progress.in_flight_round = None
