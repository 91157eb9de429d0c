"""Checks the data held by the ingresses against the published data.

Every ingress must end with exactly the last published data, and no older version may have replaced
a newer one. The checker takes plain data and shares no code with the components that it checks.
"""

from __future__ import annotations

from typing import Any, Final

MOST_NAMED: Final = 20  # Maximum number of violations listed in a report.
MOST_SHOWN: Final = 3  # Maximum number of differing rows listed for one ingress.


def published(changes: list[Any]) -> list[list[Any]]:
    """Return the list after all changes: uid, endpoint, whether it is active, and its weight."""
    standing: dict[str, list[Any]] = {}
    for _, _, entries in changes:
        for entry in entries:
            if entry["state"] == "left":
                standing.pop(entry["uid"], None)
            else:
                row = [
                    entry["uid"],
                    entry["endpoint"],
                    entry["state"] == "active",
                    entry["capacity_hint"],
                ]
                standing[entry["uid"]] = row
    return [standing[uid] for uid in sorted(standing)]


def published_routes(changes: list[Any]) -> list[list[Any]]:
    """Return the name and version of each route after all changes, which come in revision order."""
    standing: dict[str, Any] = {}
    for _, _, name, version in changes:
        if version is None:
            standing.pop(name, None)
        else:
            standing[name] = version
    return [[name, standing[name]] for name in sorted(standing)]


def judge(wanted: list[list[Any]], findings: list[dict[str, Any]], expected: int) -> list[str]:
    """Return a message for each violated rule.

    `expected` is the number of ingresses that must have reported.
    """
    broken, seen = [], 0
    for found in findings:
        for group in found["tables"]:
            seen += len(group["ingresses"])
            if group["rows"] != wanted:
                broken += [
                    f"ingress {n} {_difference(group['rows'], wanted)}" for n in group["ingresses"]
                ]
        for number, revisions, older in found["went_back"]:
            if revisions:
                broken.append(
                    f"ingress {number} went back from revision {revisions[0]} to {revisions[1]}"
                )
            if older:
                broken.append(
                    f"ingress {number} let an older version replace a newer one {len(older)} times"
                )
    if seen != expected:
        broken.append(f"{seen} of {expected} ingresses said what they hold")
    return broken


def _difference(rows: list[Any], wanted: list[Any]) -> str:
    held, right = {row[0]: row for row in rows}, {row[0]: row for row in wanted}
    wrong = sorted(name for name in held.keys() | right.keys() if held.get(name) != right.get(name))
    shown = "; ".join(
        f"{name}: holds {held.get(name)}, wanted {right.get(name)}" for name in wrong[:MOST_SHOWN]
    )
    return f"ends with {len(wrong)} of {len(right)} wrong: {shown}"
