"""Planted bugs of the scale run: each must be seen by the checker. One hollow ingress of a process has it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

NAMES: Final = ("lost", "older", "stale-list")
AFTER: Final = 3  # changes before a bug shows


def alteration(name: str) -> Callable[[Any], Any] | None:
    """What becomes of each message before it is applied; None for no bug."""
    if not name:
        return None
    return {"lost": _lost, "older": _older, "stale-list": _stale_list}[name]()


def _lost() -> Callable[[Any], Any]:
    """The changes of one backend are passed over from one on, and never made up for."""
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
    """After a few changes of a backend, an older version of one is taken for newer."""
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
    """The first whole list of backends is applied again over a later change."""
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
