"""Simulates whether a fleet of policy engines together overloads cold backends, over many seeds.

No test runs this benchmark.

python -m benchmarks.cold_ramp --ingresses 30 --seeds 200 --jobs 4
python -m benchmarks.cold_ramp --ingresses 200 --seeds 20 --cold 1.0 --plant unbounded
"""

from __future__ import annotations

import argparse
import sys
from statistics import median

from dockthread.lab.slow_start.scenario import COLD_FRACTIONS, Scenario
from dockthread.lab.slow_start.seeded_defects import DEFECTIVE_ENGINES
from dockthread.lab.slow_start.seeds import SeedResult, run_seeds

MAX_SHOWN = 10  # Maximum number of seeds with an overload that are printed individually.


def summary_line(name: str, results: list[SeedResult]) -> str:
    """Return the table line that summarises these seeds."""
    violating_seeds = sum(bool(result.violations) for result in results)
    overloaded_seeds = sum(bool(result.overloads) for result in results)
    cold_backends = sum(result.cold_count for result in results)
    overload_count = sum(len(result.overloads) for result in results)
    peak_loads = [result.peak_load for result in results]
    used_fractions = [result.used_capacity for result in results]
    served_fractions = [result.in_time / result.achievable_in_time for result in results]
    return (
        f"{name:>5} {len(results):>6} {violating_seeds:>6} {overloaded_seeds:>6} {cold_backends:>9} {overload_count:>6}"
        f" {max(peak_loads):>8.2f} {median(peak_loads):>7.2f}"
        f" {min(used_fractions):>6.2f} {median(used_fractions):>7.2f} {min(served_fractions):>7.2f} {median(served_fractions):>7.2f}"
    )


def scenario_text(scenario: Scenario) -> str:
    """Return a scenario as text. The field names in the text are older than those in the code."""
    kinds = [f"Kind(cores={kind.cores}, speed={kind.speed})" for kind in scenario.kinds]
    kinds_text = f"({', '.join(kinds)}{',' if len(kinds) == 1 else ''})"
    return (
        f"Scene(ingresses={scenario.ingress_count}, backends={scenario.backend_count},"
        f" cold={scenario.cold_fraction}, load={scenario.load}, burst={scenario.burst_factor},"
        f" restarted={scenario.is_restart}, gone_for={scenario.downtime},"
        f" aim={scenario.latency_objective}, late={scenario.late_fraction},"
        f" late_by={scenario.notification_delay}, uneven={scenario.traffic_deviation},"
        f" seen={scenario.has_load_reports}, kinds={kinds_text})"
    )


def overload_line(result: SeedResult) -> str:
    """Return a line that describes the first overload of a seed."""
    overload = result.overloads[0]
    return (
        f"seed {result.seed}: {len(result.violations)} of {result.cold_count} overloaded,"
        f" one got {overload.work:.1f} units of work where {overload.allowed_work:.1f} are allowed,"
        f" {overload.notified_share:.0%} from notified ingresses; {scenario_text(result.scenario)}"
    )


def parse_options() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--ingresses", type=int, default=30)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--from-seed", type=int, default=1)
    parser.add_argument(
        "--cold",
        type=float,
        help="fraction of the backends that start cold; drawn at random by default",
    )
    parser.add_argument(
        "--plant",
        choices=sorted(["", *DEFECTIVE_ENGINES]),
        default="",
        help="defect to plant in the policy engine",
    )
    parser.add_argument("--jobs", type=int, default=2)
    return parser.parse_args()


def main() -> int:
    """Run the seeds, print the table, and return 1 if a seed violates the rule."""
    options = parse_options()
    seeds = range(options.from_seed, options.from_seed + options.seeds)
    results = run_seeds(seeds, options.ingresses, options.cold, options.plant, options.jobs)
    print("              seeds with        cold  over-    peak load       cold used        in time")
    print(
        " cold  seeds breach overl.  backends  loads      max  median    min  median     min  median"
    )
    for fraction in COLD_FRACTIONS:
        if results_at_fraction := [
            result for result in results if result.scenario.cold_fraction == fraction
        ]:
            print(summary_line(f"{fraction:.1f}", results_at_fraction))
    print(summary_line("all", results))
    for result in [result for result in results if result.overloads][:MAX_SHOWN]:
        print(overload_line(result))
    return int(any(result.violations for result in results))


if __name__ == "__main__":
    sys.exit(main())
