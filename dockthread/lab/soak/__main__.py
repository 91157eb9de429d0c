"""`python -m dockthread.lab.soak FIRST LAST`: plays the soaks of a range of seeds."""

from __future__ import annotations

import asyncio
import sys

import uvloop

from dockthread.lab.soak.run import SoakPlan, SoakResult, draw_plan, play

MAX_SHOWN = 12


def report(result: SoakResult) -> None:
    """Print one line about a soak, and its first violations."""
    plan = result.plan
    latencies = result.sound_latencies_s
    late = latencies[int(len(latencies) * 0.99)] if latencies else 0.0
    faults = ", ".join(sorted(fault.value for fault in plan.faults))
    print(
        f"seed {plan.seed}: {len(result.violations)} violations; {plan.memory_mb:.0f} MB, "
        f"{plan.descriptors} descriptors; peak {result.peak_mb:.1f} MB; small served "
        f"{result.small_served}/{result.small_count}, p99 {late * 1000:.0f} ms; {result.summary}; "
        f"{plan.flood_kind}; {faults}",
        flush=True,
    )
    for text in result.violations[:MAX_SHOWN]:
        print(f"    {text}", flush=True)


def _play(plan: SoakPlan) -> SoakResult:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(play(plan))


def main() -> int:
    """Play all seeds of the range, one after another; return 1 if a rule was broken."""
    first, last = int(sys.argv[1]), int(sys.argv[-1])
    broken = 0
    for seed in range(first, last + 1):
        result = _play(draw_plan(seed))
        report(result)
        broken += bool(result.violations)
    print(f"{last - first + 1} soaks, {broken} with violations")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
