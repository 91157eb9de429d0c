"""Settings taken over at SIGHUP, decided without I/O.

Theory of operation. The module counts classes by number, and a request under way holds its class by
that number and by the `RequestClass` it was given at its arrival. So numbers are never reused: a
class of the new file that the old one had keeps its number and takes the new figures for what
arrives from now on; a new class is given the next number; a class that the new file lacks stays in
the module's list, for what is under way, but is no longer offered to clients. Of the rest only the
attempts allowed are taken over, for they may shrink; a file's other keys hold from the next start
on. A file that is broken in any part has been refused before it gets here (`settings.read_config`),
so what arrives is whole.

| old file     | new file     | the module's list         | offered |
| ------------ | ------------ | ------------------------- | ------- |
| class C at i | class C      | i, the new figures        | yes     |
| class C at i | -            | i, the old figures        | no      |
| -            | class C      | next number, new figures  | yes     |
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dockthread.config.platform_settings import Names
from dockthread.policy import PolicyEngine, PolicySettings

if TYPE_CHECKING:
    pass


@dataclass(frozen=True, slots=True)
class Retuned:
    """The module's settings and names after a reload, and the classes that clients may ask for."""

    settings: PolicySettings
    names: Names
    offered: frozenset[str]


def merge(old: PolicySettings, old_names: Names, new: PolicySettings, new_names: Names) -> Retuned:
    """`old`: what the module holds now; `new`: the file just read. Raises nothing."""
    classes, names = list(old.classes), list(old_names.classes)
    for name, rules in zip(new_names.classes, new.classes, strict=True):
        if name in names:
            classes[names.index(name)] = rules
        else:
            names.append(name)
            classes.append(rules)
    settings = replace(old, classes=tuple(classes), max_attempts=new.max_attempts)
    return Retuned(settings, replace(old_names, classes=tuple(names)), frozenset(new_names.classes))


def retune(gateway: PolicyEngine, settings: PolicySettings) -> None:
    """Give the engine `settings` from `merge`; what it has learnt stays, but the usual latencies."""
    gateway.apply_settings(settings)
