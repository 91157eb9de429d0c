"""The position of a route: a request takes the first route, in order of position, that matches."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

PUBLISHED_LAYER: Final = 0  # published routes, ordered by name
FILE_LAYER: Final = 1  # routes of the operator's file, and published ones of the same names


class Position(NamedTuple):
    """The position of a route; positions sort in matching order.

    Attributes:
        layer: `PUBLISHED_LAYER` or `FILE_LAYER`.
        number: The route's index in its layer; 0 for all published routes.
        name: The route's name.
    """

    layer: int
    number: int
    name: str


def published_position(name: str) -> Position:
    """Return the position of a published route that replaces no route of the operator's file."""
    return Position(PUBLISHED_LAYER, 0, name)


def file_positions(names: Iterable[str]) -> dict[str, Position]:
    """Return the position of each route of the operator's file, given in the file's order."""
    return {name: Position(FILE_LAYER, number, name) for number, name in enumerate(names)}
