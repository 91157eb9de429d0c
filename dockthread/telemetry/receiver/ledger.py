"""Stores received points in SQLite, and adds up counts over telemetry incarnations.

A counter starts at zero in each incarnation, but its series continues over all incarnations of its
ingress. The point `life` identifies the incarnation to which a value belongs. For Graphite this is
the last `life` received from the ingress; for collectd it is the `life` with the same timestamp. The
total of a counter is the sum of the last values, by timestamp, of all incarnations.
"""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from dockthread.telemetry.collectd import CollectdItem
from dockthread.telemetry.receiver.decode import ReceivedPoint

# Tables of the file; `life` identifies an incarnation by its start time in Unix milliseconds.
SCHEMA = """
create table if not exists points
  (id integer primary key, source text, series text, life integer, seconds real, value real);
create index if not exists by_series on points (source, series, life, seconds);
create table if not exists notes (seconds real, host text, severity integer, message text);
create table if not exists faults (source text, kind text, many integer, primary key (source, kind));
"""
# The value with the latest timestamp of each source, series and incarnation.
LAST_VALUES_QUERY = """
select source, series, life, value from (
  select source, series, life, value,
    row_number() over (partition by source, series, life order by seconds desc, id desc) as place
  from points) where place = 1
"""
# How often a value of a series is lower than the previous one in the same incarnation.
DECREASES_QUERY = """
select count(*) from (
  select value - lag(value) over (partition by source, series, life order by seconds, id) as step
  from points where source = ? and series = ?) where step < 0
"""


# The prefix of the tag that names the ingress, and the last part of the path of the point `life`.
INGRESS_TAG = "ingress="
LIFE_METRIC = "life"
# Milliseconds by which rounding may put a collectd timestamp before the start of its incarnation.
INCARNATION_START_TOLERANCE_MS = 1.0
# The incarnation of a point that was received before any point `life`.
UNKNOWN_INCARNATION = 0


@dataclass(frozen=True, slots=True)
class Total:
    """The total of a series over all telemetry incarnations.

    Attributes:
        source: The protocol by which the series was received.
        series: The name of the series.
        value: The sum of the last values of all incarnations.
        incarnations: The number of incarnations in which the series was reported.
    """

    source: str
    series: str
    value: float
    incarnations: int


class _Row(NamedTuple):
    """A row of the table `points` without its ID."""

    source: str
    series: str
    incarnation: int
    unix_seconds: float
    value: float


def _ingress_tag(series: str) -> str:
    """Return the tag that names the ingress, or an empty string if the series has none."""
    for tag in series.split(";")[1:]:
        if tag.startswith(INGRESS_TAG):
            return tag
    return ""


class Ledger:
    """The points, notifications and faults that a stand-in recorded.

    Attributes:
        points_received: The number of points received, by source.
    """

    def __init__(self, path: str = ":memory:") -> None:
        """Open an SQLite database, by default in memory."""
        self.points_received: Counter[str] = Counter()
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.execute("pragma synchronous = off")
        self._db.executescript(SCHEMA)
        # For Graphite: the current incarnation by source and by tag or path prefix of the ingress.
        self._current_incarnations: dict[tuple[str, str], int] = {}
        # For collectd: the incarnation by host and timestamp, and all incarnations by host.
        self._incarnations_by_time: dict[tuple[str, float], int] = {}
        self._incarnations_by_host: dict[str, list[int]] = {}

    def close(self) -> None:
        """Close the database."""
        self._db.close()

    def add_graphite_points(self, source: str, points: Iterable[ReceivedPoint]) -> None:
        """Store points, given in the order in which they were received on a stream."""
        rows = []
        for point in points:
            path = point.series.split(";")[0]
            if path.endswith(f".{LIFE_METRIC}"):
                ingress = _ingress_tag(point.series) or path.removesuffix(LIFE_METRIC)
                self._current_incarnations[source, ingress] = int(point.value)
            incarnation = self._graphite_incarnation(source, point.series)
            rows.append(_Row(source, point.series, incarnation, point.unix_seconds, point.value))
        self._add_rows(source, rows)

    def _graphite_incarnation(self, source: str, series: str) -> int:
        if ingress := _ingress_tag(series):
            return self._current_incarnations.get((source, ingress), UNKNOWN_INCARNATION)
        # Without tags, the path begins with the prefix of the ingress, whose length is not known.
        end = series.rfind(".")
        while end > 0:
            incarnation = self._current_incarnations.get((source, series[: end + 1]))
            if incarnation is not None:
                return incarnation
            end = series.rfind(".", 0, end)
        return UNKNOWN_INCARNATION

    def add_collectd_items(self, source: str, items: Iterable[CollectdItem]) -> None:
        """Store values and notifications."""
        rows = []
        for item in items:
            if item.message:
                notification = (item.unix_seconds, item.host, item.severity, item.message)
                self._db.execute("insert into notes values (?, ?, ?, ?)", notification)
                continue
            if item.type_instance == LIFE_METRIC and not item.plugin_instance:
                incarnation = int(item.value)
                self._incarnations_by_time[item.host, item.unix_seconds] = incarnation
                self._incarnations_by_host.setdefault(item.host, []).append(incarnation)
            series = f"{item.host}/{item.name}"
            rows.append(
                _Row(
                    source, series, self._collectd_incarnation(item), item.unix_seconds, item.value
                )
            )
        self._add_rows(source, rows)

    def _collectd_incarnation(self, item: CollectdItem) -> int:
        """Return the incarnation that was reported with the item's timestamp.

        If the packet with that report was lost, return the latest incarnation that had begun by
        that time.
        """
        incarnation = self._incarnations_by_time.get((item.host, item.unix_seconds))
        if incarnation is not None:
            return incarnation
        latest_start_ms = item.unix_seconds * 1000.0 + INCARNATION_START_TOLERANCE_MS
        earlier_incarnations = [
            incarnation
            for incarnation in self._incarnations_by_host.get(item.host, ())
            if incarnation <= latest_start_ms
        ]
        return max(earlier_incarnations, default=UNKNOWN_INCARNATION)

    def _add_rows(self, source: str, rows: list[_Row]) -> None:
        self.points_received[source] += len(rows)
        self._db.execute("begin")
        self._db.executemany(
            "insert into points (source, series, life, seconds, value) values (?, ?, ?, ?, ?)", rows
        )
        self._db.execute("commit")

    def add_fault(self, source: str, kind: str) -> None:
        """Count a fault, such as invalid data, a connection error or a simulated reset."""
        self._db.execute(
            "insert into faults values (?, ?, 1) on conflict do update set many = many + 1",
            (source, kind),
        )

    def faults(self) -> dict[tuple[str, str], int]:
        """Return how often each fault occurred, by source and kind."""
        rows = self._db.execute("select source, kind, many from faults")
        return {(source, kind): count for source, kind, count in rows}

    def notifications(self) -> list[tuple[float, str, int, str]]:
        """Return the Unix time, host, severity and text of each notification, ordered by time."""
        return list(self._db.execute("select * from notes order by seconds"))

    def totals(self, name_part: str = "") -> list[Total]:
        """Return the totals of all series whose names contain `name_part`, sorted."""
        values_by_series: dict[tuple[str, str], list[float]] = {}
        for source, series, _, value in self._db.execute(LAST_VALUES_QUERY):
            if name_part in series:
                values_by_series.setdefault((source, series), []).append(value)
        return [
            Total(source, series, sum(values), len(values))
            for (source, series), values in sorted(values_by_series.items())
        ]

    def count_decreases(self, source: str, series: str) -> int:
        """Return how often a value decreased within an incarnation, which a counter never does."""
        return int(self._db.execute(DECREASES_QUERY, (source, series)).fetchone()[0])

    def points(self, source: str, series: str) -> list[tuple[int, float, float]]:
        """Return the incarnation, Unix time and value of each point, in the order of arrival."""
        query = (
            "select life, seconds, value from points where source = ? and series = ? order by id"
        )
        return list(self._db.execute(query, (source, series)))

    def series(self, source: str) -> list[str]:
        """Return the names of all series of a source."""
        query = "select distinct series from points where source = ?"
        return sorted(row[0] for row in self._db.execute(query, (source,)))
