"""Keeps what came, in SQLite, and adds up counts over lives.

A series is one over all lives of its ingress; its values fall into lives by the `life` that its
ingress last said: on the same stream for Graphite, at the same moment for collectd. The total of a
count is the sum, over lives, of the value with the latest time in each.
"""

from __future__ import annotations

import sqlite3
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from dockthread.telemetry.collectd import Told
from dockthread.telemetry.receiver.decode import Got

SCHEMA = """
create table if not exists points
  (id integer primary key, source text, series text, life integer, seconds real, value real);
create index if not exists by_series on points (source, series, life, seconds);
create table if not exists notes (seconds real, host text, severity integer, message text);
create table if not exists faults (source text, kind text, many integer, primary key (source, kind));
"""
LAST = """
select source, series, life, value from (
  select source, series, life, value,
    row_number() over (partition by source, series, life order by seconds desc, id desc) as place
  from points) where place = 1
"""
BACK = """
select count(*) from (
  select value - lag(value) over (partition by source, series, life order by seconds, id) as step
  from points where source = ? and series = ?) where step < 0
"""


@dataclass(frozen=True, slots=True)
class Total:
    source: str
    series: str
    value: float
    lives: int


def owner(series: str) -> str:
    """Whose series it may be: the tag, or all but the last part of a path."""
    for tag in series.split(";")[1:]:
        if tag.startswith("ingress="):
            return tag
    return ""


class Ledger:
    """`path`: a file, or `:memory:`. `seen` counts points by source."""

    def __init__(self, path: str = ":memory:") -> None:
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.execute("pragma synchronous = off")
        self._db.executescript(SCHEMA)
        self._lives: dict[tuple[str, str], int] = {}
        self._moments: dict[tuple[str, float], int] = {}
        self._starts: dict[str, list[int]] = {}
        self.seen: Counter[str] = Counter()

    def close(self) -> None:
        self._db.close()

    def graphite(self, source: str, points: Iterable[Got]) -> None:
        rows = []
        for got in points:
            path = got.series.split(";")[0]
            if path.endswith(".life"):
                whose = owner(got.series) or path[: -len("life")]
                self._lives[source, whose] = int(got.value)
            rows.append(
                (source, got.series, self._life_of(source, got.series), got.seconds, got.value)
            )
        self._add(source, rows)

    def _life_of(self, source: str, series: str) -> int:
        if whose := owner(series):
            return self._lives.get((source, whose), 0)
        at = series.rfind(".")
        while at > 0:
            if (life := self._lives.get((source, series[: at + 1]))) is not None:
                return life
            at = series.rfind(".", 0, at)
        return 0

    def collectd(self, source: str, told: Iterable[Told]) -> None:
        rows = []
        for one in told:
            if one.message:
                note = (one.seconds, one.host, one.severity, one.message)
                self._db.execute("insert into notes values (?, ?, ?, ?)", note)
                continue
            if one.type_instance == "life" and not one.plugin_instance:
                self._moments[one.host, one.seconds] = life = int(one.value)
                self._starts.setdefault(one.host, []).append(life)
            rows.append(
                (source, f"{one.host}/{one.name}", self._life_at(one), one.seconds, one.value)
            )
        self._add(source, rows)

    def _life_at(self, one: Told) -> int:
        """Said at that moment; or, where that packet was lost, the latest life that had begun by
        then.
        """
        if (life := self._moments.get((one.host, one.seconds))) is not None:
            return life
        begun = [
            start for start in self._starts.get(one.host, ()) if start <= one.seconds * 1000.0 + 1.0
        ]
        return max(begun, default=0)

    def _add(self, source: str, rows: list[tuple[str, str, int, float, float]]) -> None:
        self.seen[source] += len(rows)
        self._db.execute("begin")
        self._db.executemany(
            "insert into points (source, series, life, seconds, value) values (?, ?, ?, ?, ?)", rows
        )
        self._db.execute("commit")

    def fault(self, source: str, kind: str) -> None:
        self._db.execute(
            "insert into faults values (?, ?, 1) on conflict do update set many = many + 1",
            (source, kind),
        )

    def faults(self) -> dict[tuple[str, str], int]:
        return {
            (source, kind): many for source, kind, many in self._db.execute("select * from faults")
        }

    def notes(self) -> list[tuple[float, str, int, str]]:
        return list(self._db.execute("select * from notes order by seconds"))

    def totals(self, containing: str = "") -> list[Total]:
        """Sums over lives, by source and series."""
        sums: dict[tuple[str, str], list[float]] = {}
        for source, series, _, value in self._db.execute(LAST):
            if containing in series:
                sums.setdefault((source, series), []).append(value)
        return [Total(*key, sum(values), len(values)) for key, values in sorted(sums.items())]

    def steps_back(self, source: str, series: str) -> int:
        """How often a value fell within one life: never, for a count."""
        return int(self._db.execute(BACK, (source, series)).fetchone()[0])

    def points(self, source: str, series: str) -> list[tuple[int, float, float]]:
        """Life, seconds and value, in the order in which they came."""
        query = (
            "select life, seconds, value from points where source = ? and series = ? order by id"
        )
        return list(self._db.execute(query, (source, series)))

    def series(self, source: str) -> list[str]:
        query = "select distinct series from points where source = ?"
        return sorted(row[0] for row in self._db.execute(query, (source,)))
