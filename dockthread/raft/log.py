"""The log as one member has it: a state up to entry `base`, and the entries behind. Decides
nothing.
"""

from __future__ import annotations

from collections.abc import Iterable

from dockthread.raft.actions import Stored
from dockthread.raft.messages import VOTERS, Entry


class Log:
    """Entries are numbered from 1; `base` is the last that the state holds, 0 where there is
    none.
    """

    def __init__(self, stored: Stored, voters: Iterable[str]) -> None:
        self.base, self.base_term, self.state = stored.base, stored.base_term, stored.state
        self.base_voters = stored.base_voters or tuple(sorted(voters))
        self.entries = list(stored.entries)

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    def term_at(self, index: int) -> int:
        return self.base_term if index == self.base else self.at(index).term

    def at(self, index: int) -> Entry:
        return self.entries[index - self.base - 1]

    def behind(self, index: int, most: int | None = None) -> tuple[Entry, ...]:
        """Entries behind `index`, `most` of them."""
        start = index - self.base
        return tuple(self.entries[start : None if most is None else start + most])

    def voters_at(self, index: int) -> tuple[str, ...]:
        """By the last change that stands up to there; a change counts from when it is appended."""
        for entry in reversed(self.entries[: index - self.base]):
            if entry.kind == VOTERS:
                return tuple(entry.data.decode().split())
        return self.base_voters

    def put(self, start: int, entries: Iterable[Entry]) -> None:
        """From `start` on these stand, whatever stood there."""
        self.entries[start - self.base - 1 :] = entries

    def let_go(
        self, index: int, term: int, voters: tuple[str, ...], state: bytes, whole: bool
    ) -> None:
        """The state after `index` takes the place of what is before; `whole`: and of what is
        behind.
        """
        self.entries = [] if whole else self.entries[index - self.base :]
        self.base, self.base_term, self.base_voters, self.state = index, term, voters, state
