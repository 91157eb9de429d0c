"""In what order a list of machines would go, offline: the order of work itself, told that all is
well. No I/O.

A list has a machine a line: its name, its zone, and, where it is more urgent than others, a number.
`#` begins a comment.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from dockthread.maintenance.commands import Command, Tick, Zone
from dockthread.maintenance.scheduler import Order

ALONE = "staff"  # the one member of a fleet that is only thought of


@dataclass(frozen=True, slots=True)
class Round:
    """Who goes at the same time, and why each of the others waits then."""

    goes: tuple[str, ...]
    waits: tuple[tuple[str, str], ...]


def read(text: str, file: str) -> list[tuple[str, str, int]]:
    """Name, zone and urgency of each. Raises ValueError with the line, what is wrong and what would
    do.
    """
    found: dict[str, tuple[str, str, int]] = {}
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        try:
            name, zone, urgency = words[0], words[1], int(words[2]) if len(words) > 2 else 0
        except (IndexError, ValueError) as error:
            raise ValueError(
                f"{file}: line {number}: {line.strip()!r}; write MACHINE ZONE [URGENCY]"
            ) from error
        if len(words) > 3 or not -100 <= urgency <= 100:
            raise ValueError(
                f"{file}: line {number}: {line.strip()!r}; write MACHINE ZONE, a number of -100 to 100"
            )
        if name in found:
            raise ValueError(f"{file}: line {number}: {name} stands twice; leave one")
        found[name] = (name, zone, urgency)
    return list(found.values())


def rounds(machines: list[tuple[str, str, int]], most_out: int) -> list[Round]:
    """All go, in as many rounds as it takes."""
    order, index, planned = Order(), 0, list[Round]()
    zones = tuple(Zone(zone, len(machines)) for zone in sorted({zone for _, zone, _ in machines}))
    seen = tuple(name for name, _, _ in machines)

    def tell(command: Command) -> None:
        nonlocal index
        index += 1
        order.apply(index, msgspec.msgpack.encode(command))

    def tick() -> None:
        tell(Command("tick", tick=Tick(order.ticks + 1, 500.0, (ALONE,), (ALONE,), zones, seen)))

    for name, zone, urgency in machines:
        tell(Command("ask", name, zone, urgency=urgency, most=most_out))
    while order.requests:
        tick()
        held = order.held()
        waits = tuple(
            (r.target, order.reason(r)) for r in order.requests.values() if r.target not in held
        )
        if held:  # the last tick only ends what came back
            planned.append(Round(tuple(held), waits))
        for name, epoch in held.items():
            tell(Command("held", name, by=ALONE, epoch=epoch))
        for name, epoch in held.items():
            tell(Command("done", name))
            tell(Command("freed", name, by=ALONE, epoch=epoch))
    return planned
