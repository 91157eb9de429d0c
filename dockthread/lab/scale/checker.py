"""Checks the data held by the ingresses against the published data.

Every ingress must end with exactly the last published data, and no older version may have replaced
a newer one. The checker takes plain data and shares no code with the components that it checks.
"""

from __future__ import annotations

from typing import Any, Final

MAX_LISTED_VIOLATIONS: Final = 20  # Maximum number of violations listed in a report.
MAX_LISTED_ROWS: Final = 3  # Maximum number of differing rows listed for one ingress.


def final_list(changes: list[Any]) -> list[list[Any]]:
    """Return the backends after all changes: uid, endpoint, whether active, and weight of each."""
    rows_by_uid: dict[str, list[Any]] = {}
    for _, _, entries in changes:
        for entry in entries:
            if entry["state"] == "left":
                rows_by_uid.pop(entry["uid"], None)
            else:
                row = [
                    entry["uid"],
                    entry["endpoint"],
                    entry["state"] == "active",
                    entry["capacity_hint"],
                ]
                rows_by_uid[entry["uid"]] = row
    return [rows_by_uid[uid] for uid in sorted(rows_by_uid)]


def final_routes(changes: list[Any]) -> list[list[Any]]:
    """Return the name and version of each route after all changes, given in revision order."""
    version_by_name: dict[str, Any] = {}
    for _, _, name, version in changes:
        if version is None:
            version_by_name.pop(name, None)
        else:
            version_by_name[name] = version
    return [[name, version_by_name[name]] for name in sorted(version_by_name)]


def find_violations(
    expected_rows: list[list[Any]], findings: list[dict[str, Any]], expected_ingresses: int
) -> list[str]:
    """Return a message for each violated rule.

    `expected_ingresses` is the number of ingresses that must have reported.
    """
    violations = []
    reported_count = 0
    for finding in findings:
        for group in finding["tables"]:
            reported_count += len(group["ingresses"])
            if group["rows"] != expected_rows:
                violations += [
                    f"ingress {number} {_difference(group['rows'], expected_rows)}"
                    for number in group["ingresses"]
                ]
        for number, revisions, older_versions in finding["went_back"]:
            if revisions:
                violations.append(
                    f"ingress {number} went back from revision {revisions[0]} to {revisions[1]}"
                )
            if older_versions:
                violations.append(
                    f"ingress {number} let an older version replace a newer one {len(older_versions)} times"
                )
    if reported_count != expected_ingresses:
        violations.append(f"{reported_count} of {expected_ingresses} ingresses reported their data")
    return violations


def _difference(rows: list[Any], expected_rows: list[Any]) -> str:
    held_by_name = {row[0]: row for row in rows}
    expected_by_name = {row[0]: row for row in expected_rows}
    differing_names = sorted(
        name
        for name in held_by_name.keys() | expected_by_name.keys()
        if held_by_name.get(name) != expected_by_name.get(name)
    )
    listed = "; ".join(
        f"{name}: holds {held_by_name.get(name)}, expected {expected_by_name.get(name)}"
        for name in differing_names[:MAX_LISTED_ROWS]
    )
    return f"ends with {len(differing_names)} of {len(expected_by_name)} rows wrong: {listed}"
