"""How many of a wave of restarted ingresses are ready in time, over many seeds. No test runs this.

python -m benchmarks.restart_wave --seeds 100
"""

from __future__ import annotations

import argparse
import sys
from statistics import median

from dockthread.lab.slow_start.restart_wave import Passed, Wave, waves

HEAD = " size of    lists  old list  discovery      ready in 6 s   ready in 10 s   listed in 10 s   last   calls  first  paused"
CASES = ((200, 200), (200, 140), (200, 20), (30, 30))  # of the fleet, restarted at once


def line(wave: Wave, passed: list[Passed]) -> str:
    def least(parts: list[float]) -> str:
        return f"{min(parts):.2f} {median(parts):.2f}"

    ingresses = [ingress for one in passed for ingress in one.ingresses]
    last = median(max(ingress.listed for ingress in one.ingresses) / 1000.0 for one in passed)
    state = (
        "silent" if wave.silent else f"down {wave.down / 1000.0:.0f} s" if wave.down else "refuses"
    )
    return (
        f"{wave.restarted:>4}/{wave.fleet:<3} {'pushed' if wave.pushed else 'asked':>7} {str(wave.known):>9}  {state:<10}"
        f"  {least([one.ready_within(6_000.0) for one in passed]):>13}"
        f"  {least([one.ready_within(10_000.0) for one in passed]):>14}"
        f"  {least([one.listed_within(10_000.0) for one in passed]):>15}"
        f" {last:>6.1f} {sum(one.calls for one in passed) / len(ingresses):>7.2f}"
        f" {median(ingress.started for ingress in ingresses) / 1000.0:>6.2f}"
        f" {median(ingress.paused for ingress in ingresses) / 1000.0:>7.2f}"
    )


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=100)
    options = parser.parse_args()
    print(
        "Parts: least and median over the seeds; last: s, median over the seeds of the last list; calls: a process;"
    )
    print(
        "first, paused: s, median over the processes of the first call's delay and of all its pauses."
    )
    print(HEAD)
    for fleet, restarted in CASES:
        for pushed, known in ((True, True), (True, False), (False, True), (False, False)):
            for down, silent in ((0.0, False), (0.0, True), (4_000.0, False)):
                if pushed and silent:
                    continue  # an agent is silent only while discovery is down
                wave = Wave(fleet, restarted, pushed, known, down, silent=silent)
                print(line(wave, waves(range(1, options.seeds + 1), wave)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
