"""Decides which settings are in effect after SIGHUP, without I/O.

The policy engine identifies request classes by number, and a request in flight keeps the class
number and the `RequestClass` with which it arrived. Therefore numbers are never reused:

| old file     | new file     | the engine's list           | offered to clients |
| ------------ | ------------ | --------------------------- | ------------------ |
| class C at i | class C      | i, with the new values      | yes                |
| class C at i | -            | i, with the old values      | no                 |
| -            | class C      | next number, the new values | yes                |

The new values apply to requests that arrive after the reload. The only other setting that takes
effect immediately is the maximum number of attempts, because it may have to be reduced. All other
changes take effect at the next start.

The settings passed to this module are valid: `config/platform_settings.py` rejects a file with any
error.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from dockthread.config.ingress_config import Names
from dockthread.policy import PolicySettings


@dataclass(frozen=True, slots=True)
class MergedSettings:
    """The settings in effect after a reload.

    Attributes:
        settings: The policy engine's settings.
        names: The names of its classes, including those no longer offered.
        offered_classes: The names of the classes that clients may request.
    """

    settings: PolicySettings
    names: Names
    offered_classes: frozenset[str]


def merge_settings(
    old: PolicySettings, old_names: Names, new: PolicySettings, new_names: Names
) -> MergedSettings:
    """Merge the settings of a reloaded file into the current settings of the policy engine."""
    classes = list(old.classes)
    names = list(old_names.classes)
    for name, request_class in zip(new_names.classes, new.classes, strict=True):
        if name in names:
            classes[names.index(name)] = request_class
        else:
            names.append(name)
            classes.append(request_class)
    settings = replace(old, classes=tuple(classes), max_attempts=new.max_attempts)
    return MergedSettings(
        settings, replace(old_names, classes=tuple(names)), frozenset(new_names.classes)
    )
