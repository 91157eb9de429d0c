"""In what order a list of machines would go, offline: the order of work itself, told that all is
well. No I/O.

A list has a machine a line: its name, its zone, and, where it is more urgent than others, a number.
`#` begins a comment.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from dockthread.maintenance.commands import LeaderReport, MaintenanceCommand, ZoneStatus
from dockthread.maintenance.scheduler import MaintenanceScheduler

ALONE = "staff"  # the one member of a fleet that is only thought of


@dataclass(frozen=True, slots=True)
class MaintenanceRound:
    """Who goes at the same time, and why each of the others waits then."""

    goes: tuple[str, ...]
    waits: tuple[tuple[str, str], ...]


def read_plan(text: str, file: str) -> list[tuple[str, str, int]]:
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


def plan_rounds(machines: list[tuple[str, str, int]], most_out: int) -> list[MaintenanceRound]:
    """All go, in as many rounds as it takes."""
    order, index, planned = MaintenanceScheduler(), 0, list[MaintenanceRound]()
    zones = tuple(
        ZoneStatus(zone, len(machines)) for zone in sorted({zone for _, zone, _ in machines})
    )
    seen = tuple(name for name, _, _ in machines)

    def tell(command: MaintenanceCommand) -> None:
        nonlocal index
        index += 1
        order.apply(index, msgspec.msgpack.encode(command))

    def tick() -> None:
        tell(
            MaintenanceCommand(
                "tick", tick=LeaderReport(order.ticks + 1, 500.0, (ALONE,), (ALONE,), zones, seen)
            )
        )

    for name, zone, urgency in machines:
        tell(MaintenanceCommand("ask", name, zone, urgency=urgency, most=most_out))
    while order.requests:
        tick()
        held = order.held()
        waits = tuple(
            (r.target, order.reason(r)) for r in order.requests.values() if r.target not in held
        )
        if held:  # the last tick only ends what came back
            planned.append(MaintenanceRound(tuple(held), waits))
        for name, epoch in held.items():
            tell(MaintenanceCommand("held", name, by=ALONE, epoch=epoch))
        for name, epoch in held.items():
            tell(MaintenanceCommand("done", name))
            tell(MaintenanceCommand("freed", name, by=ALONE, epoch=epoch))
    return planned
