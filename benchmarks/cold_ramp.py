"""Cold backends under the sum of a fleet of deciding cores, over many seeds. No test runs this.

python -m benchmarks.cold_ramp --ingresses 30 --seeds 200 --jobs 4
python -m benchmarks.cold_ramp --ingresses 200 --seeds 20 --cold 1.0 --plant unbounded
"""

from __future__ import annotations

import argparse
import sys
from statistics import median

from dockthread.lab.slow_start.scenarios import COLD, PLANTS, Played, many


def line(name: str, played: list[Played]) -> str:
    broken = sum(bool(one.breaks) for one in played)
    fallen = sum(bool(one.falls) for one in played)
    backends = sum(one.cold for one in played)
    falls = sum(len(one.falls) for one in played)
    fullest, used = [one.fullest for one in played], [one.used for one in played]
    served = [one.in_time / one.could for one in played]
    return (
        f"{name:>5} {len(played):>6} {broken:>6} {fallen:>6} {backends:>9} {falls:>6} {max(fullest):>8.2f}"
        f" {median(fullest):>7.2f} {min(used):>6.2f} {median(used):>7.2f} {min(served):>7.2f} {median(served):>7.2f}"
    )


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--ingresses", type=int, default=30)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--from-seed", type=int, default=1)
    parser.add_argument(
        "--cold", type=float, help="part of the backends that starts cold; drawn by default"
    )
    parser.add_argument(
        "--plant", choices=sorted(PLANTS), default="", help="a fault in the deciding core"
    )
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    seeds = range(options.from_seed, options.from_seed + options.seeds)
    played = many(seeds, options.ingresses, options.cold, options.plant, options.jobs)
    print(
        "                 broke           cold          fullest of N     cold used       in time of could"
    )
    print(
        " cold  seeds   rule   fell  backends  falls     most  median  least  median   least  median"
    )
    for part in COLD:
        if some := [one for one in played if one.scene.cold == part]:
            print(line(f"{part:.1f}", some))
    print(line("all", played))
    for one in [one for one in played if one.falls][:10]:
        fall = one.falls[0]
        print(
            f"seed {one.seed}: {len(one.breaks)} of {one.cold} fell, one got {fall.came:.1f} where"
            f" {fall.allowed:.1f} are allowed, {fall.told:.0%} from those told; {one.scene}"
        )
    return int(any(one.breaks for one in played))


if __name__ == "__main__":
    sys.exit(main())
