"""Which settings hold after SIGHUP, decided without I/O.

The policy engine numbers classes, and a request in flight keeps its class by that number and by the
`RequestClass` that it arrived with. So numbers are never reused:

| old file     | new file     | the engine's list           | offered to clients |
| ------------ | ------------ | --------------------------- | ------------------ |
| class C at i | class C      | i, with the new values      | yes                |
| class C at i | -            | i, with the old values      | no                 |
| -            | class C      | next number, the new values | yes                |

The new values hold for requests that arrive from now on. Of the other settings only the number of
attempts is taken over, because it may have to shrink; the rest holds from the next start on.

What arrives here is complete: the reader (`config/platform_settings.py`) has rejected a file that
is broken in any part.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from dockthread.config.ingress_config import Names
from dockthread.policy import PolicySettings


@dataclass(frozen=True, slots=True)
class MergedSettings:
    """What holds after a reload.

    Attributes:
        settings: The policy engine's settings.
        names: The names of its classes, with those that are not offered any more.
        offered: The names of the classes that clients may ask for.
    """

    settings: PolicySettings
    names: Names
    offered: frozenset[str]


def merge_settings(
    old: PolicySettings, old_names: Names, new: PolicySettings, new_names: Names
) -> MergedSettings:
    """Merge the settings of a file that was just read into those that the policy engine has."""
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
