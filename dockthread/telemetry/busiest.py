"""The firms that ask most, in bounded memory: Metwally's space-saving sketch over one interval.

With room for `room` firms, any firm that asked for more than 1/room of all units has a place, and
its figure is too large by at most `error`, the smallest figure then in the table (Metwally,
Agrawal, El Abbadi 2005, section 3). A table of one interval, and not of the whole life: ten
thousand one-time firms leave nothing behind.
"""

from __future__ import annotations

from heapq import heapify, heapreplace, nlargest

ASKED, SENT_ON, REFUSED, ERROR = range(4)


class Busiest:
    """Figures by (plan, firm): units asked, sent on, refused, and the greatest error of the
    first.
    """

    __slots__ = ("_heap", "firms", "room")

    def __init__(self, room: int) -> None:
        self.room = max(1, room)
        self.firms: dict[tuple[int, int], list[float]] = {}
        # lower bounds; made when first full
        self._heap: list[tuple[float, tuple[int, int]]] | None = None

    def ask(self, plan: int, firm: int, units: float) -> None:
        key = (plan, firm)
        if (figures := self.firms.get(key)) is not None:
            figures[ASKED] += units
        elif len(self.firms) < self.room:
            self.firms[key] = [units, 0.0, 0.0, 0.0]
        else:
            self._replace(key, units)

    def _replace(self, key: tuple[int, int], units: float) -> None:
        """The firm with the smallest figure gives its place, and its figure as the newcomer's
        error.
        """
        if self._heap is None:
            self._heap = [(figures[ASKED], old) for old, figures in self.firms.items()]
            heapify(self._heap)
        heap = self._heap
        # a bound that is out of date is raised; each firm's is raised at most as often as it asked
        while True:
            bound, old = heap[0]
            least = self.firms[old][ASKED]
            if least <= bound:
                break
            heapreplace(heap, (least, old))
        del self.firms[old]
        self.firms[key] = [least + units, 0.0, 0.0, least]
        heapreplace(heap, (least + units, key))

    def add(self, what: int, plan: int, firm: int, units: float) -> None:
        """Units sent on or refused, of a firm that has a place."""
        if (figures := self.firms.get((plan, firm))) is not None:
            figures[what] += units

    def top(self, many: int) -> list[tuple[tuple[int, int], list[float]]]:
        return nlargest(many, self.firms.items(), key=lambda item: item[1][ASKED])
