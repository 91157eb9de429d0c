"""Counts the events of a bench day across the whole fleet, from the ingresses' logs at level TRACE.

    ../given/kit/more/bin/lbreal SITE --rough zone+vast --seed 3 --deploy deploy/trace.toml --logs logs
    python -m benchmarks.fleet_count logs

Reads every `*.log` in a folder. Its lines have the form `SECONDS TIME TRACE trace WHAT KEY=VALUE
...`, where SECONDS counts from the start of the day.

Prints the events of the fleet by step of the day, and the calls by node. For each plan it then
prints the units that were forwarded, those forwarded although the customer's token bucket held too few,
and those refused, by the fill of the bucket. The buckets are replayed from the answers of all
ingresses in the order in which the requests arrived, so they are as exact as the log's milliseconds.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

NEW_NODE_AGE_MS = 16_000  # Age in ms below which a node counts as new.


@dataclass(slots=True)
class Event:
    """One trace line of a log."""

    at: float  # Time in s since the start of the day.
    kind: str
    fields: dict[str, str]


@dataclass(slots=True)
class TokenBucket:
    """One customer's token bucket in units, computed from the requests at all ingresses."""

    level: float
    updated_at: float


@dataclass(slots=True)
class Plan:
    """A plan and its units: forwarded, forwarded beyond the token buckets, and refused."""

    name: str
    rate: float
    burst: float
    sent: float = 0.0
    beyond: float = 0.0
    refused: Counter[tuple[str, str]] = field(default_factory=Counter)


def parse_events(lines: Iterable[str]) -> Iterator[Event]:
    """Yield the trace lines of a log. Skip other lines and a line that a kill has truncated."""
    for line in lines:
        parts = line.split()
        if len(parts) < 5 or parts[2] != "TRACE" or parts[3] != "trace":
            continue
        try:
            at = float(parts[0])
            fields = dict(pair.split("=", 1) for pair in parts[5:])
        except ValueError:
            continue
        yield Event(at, parts[4], fields)


def event_label(event: Event) -> str | None:
    """Return the label under which an event is counted, or None if it is not counted."""
    fields = event.fields
    match event.kind:
        case "answer":
            reason = fields.get("reason", "-")
            return f"{fields.get('outcome')}" + (f" {reason}" if reason != "-" else "")
        case "call":
            age = int(fields.get("age", "-1"))
            attempt = "again" if fields.get("number") != "0" else "first"
            return attempt + (" new" if 0 <= age < NEW_NODE_AGE_MS else "")
        case "connect":
            return f"connect {fields.get('end')}"
        case "count":
            return f"counter {fields.get('outcome')}"
        case "open" | "watch" | "watch-end" | "list":
            return event.kind
    return None


def count_by_step(events: list[Event], step: float) -> dict[float, Counter[str]]:
    """Count the events by label for each step of `step` seconds."""
    steps: dict[float, Counter[str]] = defaultdict(Counter)
    for event in events:
        if name := event_label(event):
            steps[event.at // step * step][name] += 1
    return steps


def count_by_node(events: list[Event]) -> dict[str, Counter[str]]:
    """Count the calls and their outcomes by node."""
    nodes: dict[str, Counter[str]] = defaultdict(Counter)
    for event in events:
        if event.kind == "call":
            nodes[event.fields["node"]]["calls"] += 1
        elif event.kind == "ended":
            nodes[event.fields["node"]][event.fields["outcome"]] += 1
    return nodes


def replay_token_buckets(events: list[Event]) -> list[Plan]:
    """Replay the token buckets of all customers, and return the units of each plan.

    Refused units are counted by reason and by the fill of the bucket: `half` or more, `some` (enough
    for the request), `none`.
    """
    plans: list[Plan] = []
    for event in events:
        if event.kind == "plan" and event.fields["name"] not in [plan.name for plan in plans]:
            fields = event.fields
            plans.append(Plan(fields["name"], float(fields["rate"]), float(fields["burst"])))
    requests = [
        (event.at - float(event.fields["took"]) / 1000.0, event.fields)
        for event in events
        if event.kind == "answer" and event.fields["outcome"] != "gone"
    ]
    buckets: dict[str, TokenBucket] = {}
    for arrived_at, fields in sorted(requests, key=lambda request: request[0]):
        plan = plans[int(fields["plan"])]
        units = float(fields["units"])
        bucket = buckets.setdefault(fields["firm"], TokenBucket(plan.burst, arrived_at))
        refill = plan.rate * (arrived_at - bucket.updated_at)
        bucket.level = min(plan.burst, bucket.level + refill)
        bucket.updated_at = arrived_at
        if fields["sent"] == "1":
            plan.sent += units
            if bucket.level >= units:
                bucket.level -= units
            else:
                plan.beyond += units
        elif fields["outcome"] == "refused":
            if bucket.level >= plan.burst / 2:
                fill = "half"
            elif bucket.level >= units:
                fill = "some"
            else:
                fill = "none"
            plan.refused[fields["reason"], fill] += round(units)
    return plans


def read(folder: Path) -> list[Event]:
    """Read the events of all logs in a folder, ordered by time."""
    events: list[Event] = []
    for file in sorted(folder.glob("*.log")):
        with file.open(errors="replace") as lines:
            events += parse_events(lines)
    return sorted(events, key=lambda event: event.at)


def main() -> int:
    """Print the counts of a folder of logs; return 2 if it has no trace line."""
    parser = argparse.ArgumentParser(
        description="Count the events of a bench day across its fleet."
    )
    parser.add_argument("logs", type=Path)
    parser.add_argument("--step", type=float, default=0.25, help="length of a step in s (0.25)")
    parser.add_argument(
        "--nodes", type=int, default=12, help="number of nodes shown, most failures first"
    )
    options = parser.parse_args()
    events = read(options.logs)
    if not events:
        print(
            f"{options.logs}: no *.log contains a trace line; was the day run with deploy/trace.toml?",
            file=sys.stderr,
        )
        return 2
    for started_at, counts in sorted(count_by_step(events, options.step).items()):
        counts_text = "  ".join(f"{name} {count}" for name, count in sorted(counts.items()))
        print(f"{started_at:7.2f}  {counts_text}")
    nodes = count_by_node(events)
    by_failures = sorted(nodes, key=lambda node: nodes[node]["ok"] - nodes[node]["calls"])
    for node in by_failures[: options.nodes]:
        print(node, "  ".join(f"{name} {count}" for name, count in nodes[node].most_common()))
    for plan in replay_token_buckets(events):
        print(
            f"{plan.name}: {plan.sent:.0f} units sent on, {plan.beyond:.0f} beyond the quota; refused (reason, bucket fill):"
        )
        for (reason, fill), units in plan.refused.most_common():
            print(f"    {reason}, {fill}: {units}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
