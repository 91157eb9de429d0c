"""Planted bugs that the checker must find. One hollow ingress of the first host process has it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Final

from dockthread.control_plane.messages import Resource

LIST_NAMES: Final = ("lost", "older", "stale-list")
ROUTE_NAMES: Final = ("route-lost", "route-older")
NAMES: Final = LIST_NAMES + ROUTE_NAMES
AFTER: Final = 3  # Number of changes before a bug takes effect.


def alteration(name: str) -> Callable[[Any], Any] | None:
    """Return the function that alters each list message before it is applied, or None for no bug."""
    if name not in LIST_NAMES:
        return None
    return {"lost": _lost, "older": _older, "stale-list": _stale_list}[name]()


def _lost() -> Callable[[Any], Any]:
    """Drop all changes of one backend from a given change on."""
    seen, uid = 0, ""

    def alter(message: Any) -> Any:
        nonlocal seen, uid
        if message["all"]:
            return message
        seen += 1
        changed = message["targets"][0]["uid"]
        if seen == AFTER:
            uid = changed
        return None if changed == uid else message

    return alter


def _older() -> Callable[[Any], Any]:
    """Apply an older version of a backend as if it were a newer one, after a few changes."""
    kept: list[Any] = []

    def alter(message: Any) -> Any:
        if message["all"]:
            return message
        kept.append(message)
        if len(kept) <= AFTER:
            return message
        older = {**kept[0]["targets"][0], "capacity_hint": 0.5}
        return {**message, "targets": [*message["targets"], older]}

    return alter


def _stale_list() -> Callable[[Any], Any]:
    """Apply the first whole list of backends again in place of a later change."""
    whole: list[Any] = []
    seen = 0

    def alter(message: Any) -> Any:
        nonlocal seen
        if message["all"]:
            if message["targets"]:
                whole[:] = [message]
            return message
        seen += 1
        return whole[0] if seen == AFTER and whole else message

    return alter


def control_alteration(name: str) -> Callable[[Sequence[Resource]], Sequence[Resource]] | None:
    """Return the function that alters resources before they are applied, or None for no bug."""
    if name not in ROUTE_NAMES:
        return None
    return _route_lost() if name == "route-lost" else _route_older()


def _route_lost() -> Callable[[Sequence[Resource]], Sequence[Resource]]:
    """Drop all changes of one route."""
    lost = ""

    def alter(changes: Sequence[Resource]) -> Sequence[Resource]:
        nonlocal lost
        lost = lost or (changes[-1].name if changes else "")
        return [one for one in changes if one.name != lost]

    return alter


def _route_older() -> Callable[[Sequence[Resource]], Sequence[Resource]]:
    """Apply the first version of a route again after each newer version."""
    first: dict[str, Resource] = {}

    def alter(changes: Sequence[Resource]) -> Sequence[Resource]:
        older = [first[one.name] for one in changes if one.name in first]
        for one in changes:
            first.setdefault(one.name, one)
        return [*changes, *older]

    return alter
