"""Seeded defects that the checker has to find; a run has at most one, in one hollow ingress."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Final

from dockthread.control_plane.messages import Resource

LIST_DEFECT_NAMES: Final = ("lost", "older", "stale-list")
ROUTE_DEFECT_NAMES: Final = ("route-lost", "route-older")
DEFECT_NAMES: Final = LIST_DEFECT_NAMES + ROUTE_DEFECT_NAMES
CHANGES_BEFORE_DEFECT: Final = 3  # Number of changes before a defect takes effect.


def list_alteration(name: str) -> Callable[[Any], Any] | None:
    """Return the function that alters list messages before they are applied; None for no defect."""
    if name not in LIST_DEFECT_NAMES:
        return None
    return {
        "lost": _drop_backend_changes,
        "older": _apply_older_version,
        "stale-list": _repeat_whole_list,
    }[name]()


def _drop_backend_changes() -> Callable[[Any], Any]:
    """Pick a backend after a few changes, and drop its changes from then on."""
    change_count = 0
    dropped_uid = ""

    def alter(message: Any) -> Any:
        nonlocal change_count, dropped_uid
        if message["all"]:
            return message
        change_count += 1
        changed_uid = message["targets"][0]["uid"]
        if change_count == CHANGES_BEFORE_DEFECT:
            dropped_uid = changed_uid
        return None if changed_uid == dropped_uid else message

    return alter


def _apply_older_version() -> Callable[[Any], Any]:
    """Apply an older version of a backend as if it were a newer one, after a few changes."""
    changes: list[Any] = []

    def alter(message: Any) -> Any:
        if message["all"]:
            return message
        changes.append(message)
        if len(changes) <= CHANGES_BEFORE_DEFECT:
            return message
        older = {**changes[0]["targets"][0], "capacity_hint": 0.5}
        return {**message, "targets": [*message["targets"], older]}

    return alter


def _repeat_whole_list() -> Callable[[Any], Any]:
    """Apply the latest whole list of backends again in place of a later change."""
    whole_lists: list[Any] = []
    change_count = 0

    def alter(message: Any) -> Any:
        nonlocal change_count
        if message["all"]:
            if message["targets"]:
                whole_lists[:] = [message]
            return message
        change_count += 1
        return whole_lists[0] if change_count == CHANGES_BEFORE_DEFECT and whole_lists else message

    return alter


def route_alteration(name: str) -> Callable[[Sequence[Resource]], Sequence[Resource]] | None:
    """Return the function that alters resources before they are applied, or None for no defect."""
    if name not in ROUTE_DEFECT_NAMES:
        return None
    return _drop_route_changes() if name == "route-lost" else _repeat_first_version()


def _drop_route_changes() -> Callable[[Sequence[Resource]], Sequence[Resource]]:
    """Drop all changes of one route."""
    dropped_name = ""

    def alter(changes: Sequence[Resource]) -> Sequence[Resource]:
        nonlocal dropped_name
        dropped_name = dropped_name or (changes[-1].name if changes else "")
        return [change for change in changes if change.name != dropped_name]

    return alter


def _repeat_first_version() -> Callable[[Sequence[Resource]], Sequence[Resource]]:
    """Apply the first version of a route again after each newer version."""
    first_versions: dict[str, Resource] = {}

    def alter(changes: Sequence[Resource]) -> Sequence[Resource]:
        older = [first_versions[change.name] for change in changes if change.name in first_versions]
        for change in changes:
            first_versions.setdefault(change.name, change)
        return [*changes, *older]

    return alter
