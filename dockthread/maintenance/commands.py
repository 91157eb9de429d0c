"""What the order of work is told, and what it remembers: the agreed log's commands and the state's
requests.
"""

from __future__ import annotations

from typing import Literal

import msgspec

NODE, INGRESS = "node", "ingress"


class ZoneStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a majority of members sees of a zone together. `ready`: nodes that serve; `ailing`:
    those that fail; `load`: what all have out there, in nodes that bear it; under 0 where nobody
    knows; `pressed`: requests wait too long.
    """

    name: str
    ready: int
    ailing: tuple[str, ...] = ()
    load: float = -1.0
    pressed: bool = False


class LeaderReport(msgspec.Struct, frozen=True, array_like=True):
    """The leader's word on time and on what all see. `elapsed`: ms since the tick before, as far as
    it saw; `alive`: of `members`, who was heard; `seen`: targets asked for that a majority sees;
    `lapse`, `dead`: ms after which an unfinished drain, or a silent member, is not waited for;
    `reserve`: part of what the rest bears to be left.
    """

    number: int = 0
    elapsed: float = 0.0
    members: tuple[str, ...] = ()
    alive: tuple[str, ...] = ()
    zones: tuple[ZoneStatus, ...] = ()
    seen: tuple[str, ...] = ()
    lapse: float = 30_000.0
    dead: float = 5_000.0
    reserve: float = 0.2


class MaintenanceCommand(msgspec.Struct, frozen=True, array_like=True):
    """What is agreed on. `zone`: where the machine stands, as the ingress that was asked knew it;
    `by`: who says it; `length`, `warm`: ms that the work is to take, and that the machine needs
    after it; `epoch`: of the grant that is spoken of; `life`: of the ingress that is to go.
    """

    do: Literal["ask", "withdraw", "done", "held", "freed", "back", "tick"]
    target: str = ""
    zone: str = ""
    why: str = ""
    by: str = ""
    urgency: int = 0
    most: int = 1
    once: str = ""  # the same where a command comes again because its first way was not answered
    kind: str = NODE
    length: float = 0.0
    warm: float = 0.0
    epoch: int = 0
    life: str = ""
    tick: LeaderReport = LeaderReport()


class MaintenanceRequest(msgspec.Struct, array_like=True):
    """`since`: the log's index at which it was asked; `epoch`: at which it was granted, 0 before;
    `at`: the log's time of its state; `held`, `freed`: who said so under this epoch; `looked`: a
    tick has come since it was asked.
    """

    target: str
    zone: str
    why: str
    by: str
    urgency: int
    most: int
    since: int
    state: str = "waiting"
    epoch: int = 0
    kind: str = NODE
    length: float = 0.0
    warm: float = 0.0
    at: float = 0.0
    held: tuple[str, ...] = ()
    freed: tuple[str, ...] = ()
    ends: str = ""
    tries: int = 0
    why_back: str = ""
    life: str = ""
    looked: bool = False
