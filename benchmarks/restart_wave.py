"""Simulates how many ingresses are ready in time when many restart at once, over many seeds.

No test runs this benchmark.

python -m benchmarks.restart_wave --seeds 100
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from itertools import product
from statistics import median

from dockthread.lab.slow_start.restart_wave import RestartWave, WaveResult, run_waves

TABLE_HEADER = "restarts    lists  old list  discovery      ready in 6 s   ready in 10 s   listed in 10 s   last   calls  first  paused"
# Pairs: size of the fleet, and ingresses that restart at once.
FLEET_AND_RESTART_SIZES = ((200, 200), (200, 140), (200, 20), (30, 30))


def least_and_median(fractions: list[float]) -> str:
    """Return the minimum and the median of one fraction per seed."""
    return f"{min(fractions):.2f} {median(fractions):.2f}"


def discovery_text(wave: RestartWave) -> str:
    """Return how discovery behaves during the wave."""
    if wave.drops_timed_out_polls:
        return "silent"
    return f"down {wave.outage_ms / 1000.0:.0f} s" if wave.outage_ms else "refuses"


def table_line(wave: RestartWave, results: list[WaveResult]) -> str:
    """Return the table line of one wave, over all seeds."""
    ingresses = [ingress for result in results for ingress in result.ingresses]
    last_listed = median(
        max(ingress.listed_at_ms for ingress in result.ingresses) / 1000.0 for result in results
    )
    mode = "pushed" if wave.is_list_pushed else "polled"
    ready_in_6 = least_and_median([result.ready_within(6_000.0) for result in results])
    ready_in_10 = least_and_median([result.ready_within(10_000.0) for result in results])
    listed_in_10 = least_and_median([result.listed_within(10_000.0) for result in results])
    polls = sum(result.poll_count for result in results) / len(ingresses)
    first_poll = median(ingress.first_poll_at_ms for ingress in ingresses) / 1000.0
    backoff = median(ingress.backoff_ms for ingress in ingresses) / 1000.0
    return (
        f"{wave.restarted_count:>4}/{wave.fleet_size:<3} {mode:>7} {wave.has_known_list!s:>9}"
        f"  {discovery_text(wave):<10}  {ready_in_6:>13}  {ready_in_10:>14}  {listed_in_10:>15}"
        f" {last_listed:>6.1f} {polls:>7.2f} {first_poll:>6.2f} {backoff:>7.2f}"
    )


def waves_of(fleet_size: int, restarted_count: int) -> Iterator[RestartWave]:
    """Yield the waves of one size, in the order of the table."""
    for is_list_pushed, has_known_list in product((True, False), repeat=2):
        for outage_ms, drops_timed_out_polls in ((0.0, False), (0.0, True), (4_000.0, False)):
            if is_list_pushed and drops_timed_out_polls:
                continue  # An agent that pushes lists is silent only while discovery is down.
            yield RestartWave(
                fleet_size,
                restarted_count,
                is_list_pushed,
                has_known_list,
                outage_ms,
                drops_timed_out_polls=drops_timed_out_polls,
            )


def main() -> int:
    """Run all waves and print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=100)
    options = parser.parse_args()
    print(
        "ready, listed: minimum and median fraction over the seeds; last: time in s until the last ingress has a list, median over the seeds;"
    )
    print(
        "calls: mean per process; first: delay of the first call in s, paused: sum of all pauses in s, both as the median over the processes."
    )
    print(TABLE_HEADER)
    for fleet_size, restarted_count in FLEET_AND_RESTART_SIZES:
        for wave in waves_of(fleet_size, restarted_count):
            results = run_waves(range(1, options.seeds + 1), wave)
            print(table_line(wave, results), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
