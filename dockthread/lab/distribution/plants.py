"""Planted bugs of the distribution, which the checker has to find: proof that it sees. Never in the program."""

from __future__ import annotations

from dataclasses import dataclass

from dockthread.distribution.fanout import Fanout
from dockthread.distribution.publishing import Publishing
from dockthread.distribution.subscriber import Subscriber


@dataclass(frozen=True, slots=True)
class Plant:
    """The cores of a world, one of them wrong."""

    subscriber: type[Subscriber] = Subscriber
    fanout: type[Fanout] = Fanout
    publishing: type[Publishing] = Publishing


PLANTS: dict[str, Plant] = {}
