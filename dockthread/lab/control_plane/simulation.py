"""Runs a control plane in simulated time; the seed determines the course of events.

A run has three voters with the real Raft core, one per region, distributors and ingresses in the
zones of the regions, and one publisher. Each seed draws the kinds of faults that may occur.
Scenario `single` injects one fault at a time and checks during the faults that every unaffected
ingress stays within the convergence bound. All random choices derive from the seed and time is
simulated, so two runs of one seed write the same record. Times are in ms.

The convergence bound after all faults is the sum of the longest possible delays: the silence
timeout of a server (2,500; the timeout of a connection attempt is only 1,000), the backoff (at most
2,000), opening the next connection and its first response (under 100), and sending snapshots to all
ingresses after a restart wave (2,200 with the snapshot budget of the simulation). The sum is 6,800.
Voters elect a leader (1,800) in parallel.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from dockthread.lab.control_plane.checker import (
    ConvergenceRange,
    IngressObservation,
    ResourceKey,
)
from dockthread.lab.control_plane.cluster import Cluster
from dockthread.lab.control_plane.environment import Environment
from dockthread.lab.control_plane.faults import (
    HOUR_MS,
    OVERLAPPING_FAULTS,
    SINGLE_FAULTS,
    FaultInjector,
)
from dockthread.lab.control_plane.publisher import Publisher
from dockthread.lab.control_plane.seeded_defects import SeededDefect
from dockthread.lab.control_plane.settings import SimulationSettings
from dockthread.lab.raft.checker import RuleViolation

CONVERGENCE_BOUND: Final = 7_000.0
"""Maximum time to converge after all faults, or to apply a change during a single fault, in ms."""
FAULT_FREE_BOUND: Final = 2_500.0
"""Maximum time to apply a change without faults, in ms."""
OUTCOME_BOUND: Final = 20_000.0
"""Maximum time to get the outcome of a change, including retries, without faults, in ms."""
WARM_UP_DURATION: Final = 5_000.0
"""Duration of the phase before the first fault, in ms."""
MAX_START_DELAY: Final = 300.0
"""Maximum delay before a process is first started, in ms."""
PUBLISHER_START: Final = 1_000.0
"""Time at which the publisher starts, in ms."""
FAULT_PHASE_DURATION: Final = 20_000.0
"""Duration of the phase in which faults are injected, in ms."""
MEAN_FAULT_INTERVAL: Final = 1_200.0
"""Mean interval between overlapping faults, in ms."""
SINGLE_FAULT_INTERVAL: Final = 17_000.0
"""Interval between the faults of scenario `single`, in ms.

It covers one fault and the convergence bound after it.
"""
SINGLE_FAULT_COUNT: Final = 4
"""Number of faults in scenario `single`."""
OBSERVATION_INTERVAL: Final = 250.0
"""Interval between checks of the convergence bound or of pending outcomes, in ms."""
HOUR_CUT_CHANGE_INTERVAL: Final = 60_000.0
"""Mean interval between changes during the cut that lasts an hour, in ms."""
FAULT_PROBABILITY: Final = 0.4
"""Probability that a run enables a kind of fault."""
FINAL_CHANGE_COUNT: Final = 3
"""Number of changes that are published after all faults have ended."""


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Options that select the faults of a run.

    Attributes:
        one_fault_at_a_time: Whether faults are injected one at a time.
        cuts_regions_for_hour: Whether regions are also cut off from each other for an hour.
        faults: Kinds of faults that may occur; None to use those of the seeded defect, or else to
            draw them.
    """

    one_fault_at_a_time: bool = False
    cuts_regions_for_hour: bool = False
    faults: Sequence[str] | None = None


class Simulation:
    """One run of a simulated control plane.

    Attributes:
        faults: Kinds of faults that may occur in this run.
    """

    def __init__(self, seed: int, defect: SeededDefect, options: RunOptions) -> None:
        self._environment = Environment(seed, SimulationSettings(), defect)
        self._clock = self._environment.clock
        self._checker = self._environment.checker
        self._rng = self._environment.rng
        self._options = options
        drawn_faults = self._draw_faults()
        selected_faults = defect.faults if options.faults is None else tuple(options.faults)
        self.faults = drawn_faults if selected_faults is None else selected_faults
        self._cluster = Cluster(self._environment)
        self._publisher = Publisher(self._environment, self._cluster)
        self._injector = FaultInjector(self._environment, self._cluster)

    @property
    def record(self) -> list[str]:
        """Lines that describe the events of the run."""
        return self._environment.record

    def run(self) -> list[RuleViolation]:
        """Run to the end or to the first violation, and return the violations."""
        try:
            self._run_phases()
        except (IndexError, ValueError, KeyError, AssertionError, AttributeError) as error:
            detail = f"the control plane raised {error!r}"
            self._checker.violations.append(RuleViolation("crash", self._clock.now, detail))
        return self._checker.violations

    def _draw_faults(self) -> tuple[str, ...]:
        if self._options.one_fault_at_a_time:
            return SINGLE_FAULTS
        return tuple(
            fault for fault in OVERLAPPING_FAULTS if self._rng.random() < FAULT_PROBABILITY
        )

    def _run_phases(self) -> None:
        self._warm_up()
        self._run_faults()
        self._environment.record_event("all faults end")
        self._publisher.is_active = False
        self._injector.end_all()
        self._check_recovery()
        for _ in range(FINAL_CHANGE_COUNT):
            self._publisher.request_change()
        self._run_until_outcomes()
        self._run_until(self._clock.now + FAULT_FREE_BOUND)
        last_revision = self._cluster.latest_revision()
        self._check_convergence(
            self._clock.now,
            self._observe_ingresses(),
            ConvergenceRange(last_revision, last_revision),
        )
        self._checker.check_outcomes(self._clock.now, last_revision)

    def _warm_up(self) -> None:
        for process in self._cluster.processes:
            self._clock.call_later(self._rng.uniform(0.0, MAX_START_DELAY), process.start)
        self._clock.call_later(PUBLISHER_START, self._publisher.run)
        self._run_until(WARM_UP_DURATION)

    def _run_faults(self) -> None:
        is_single = self._options.one_fault_at_a_time
        duration = SINGLE_FAULT_INTERVAL * SINGLE_FAULT_COUNT if is_single else FAULT_PHASE_DURATION
        end = WARM_UP_DURATION + duration
        self._clock.call_later(0.0, self._inject_fault, end)
        if is_single:
            self._clock.call_later(0.0, self._check_convergence_bound, end)
        if self._options.cuts_regions_for_hour:
            self._injector.cut_regions_for_hour()
            self._publisher.interval = HOUR_CUT_CHANGE_INTERVAL
        self._run_until(end)
        if self._options.cuts_regions_for_hour:
            self._run_until(WARM_UP_DURATION + HOUR_MS)

    def _check_recovery(self) -> None:
        """Check that all ingresses converge within the bound after the last fault ends."""
        self._run_until(self._clock.now + CONVERGENCE_BOUND - FAULT_FREE_BOUND)
        due_revision = self._cluster.latest_revision()
        self._run_until(self._clock.now + FAULT_FREE_BOUND)
        at_ms = self._clock.now
        expected_range = ConvergenceRange(due_revision, self._cluster.latest_revision())
        observations = self._observe_ingresses()
        self._run_until_outcomes()
        self._check_convergence(at_ms, observations, expected_range)

    def _run_until(self, end: float) -> None:
        self._clock.run_until(end, lambda: not self._checker.violations)

    def _run_until_outcomes(self) -> None:
        """Run until every change has an outcome, but at most for `OUTCOME_BOUND`."""
        end = self._clock.now + OUTCOME_BOUND
        while self._clock.now < end and self._has_pending_changes():
            self._run_until(self._clock.now + OBSERVATION_INTERVAL)

    def _has_pending_changes(self) -> bool:
        return any(change.revision is None for change in self._checker.requested_changes.values())

    def _inject_fault(self, end: float) -> None:
        """Inject a random fault and schedule the next one, unless the fault phase has ended."""
        if self._clock.now >= end:
            return
        if self._options.one_fault_at_a_time:
            delay = SINGLE_FAULT_INTERVAL
        else:
            delay = self._rng.expovariate(1.0 / MEAN_FAULT_INTERVAL)
        self._clock.call_later(delay, self._inject_fault, end)
        if self.faults:
            self._injector.inject(self._rng.choice(self.faults))

    def _check_convergence_bound(self, end: float) -> None:
        """Check every ingress that no fault has affected for the duration of the bound.

        Such an ingress must have applied every change that was accepted more than
        `CONVERGENCE_BOUND` ms ago.
        """
        now = self._clock.now
        if now >= end:
            return
        self._clock.call_later(OBSERVATION_INTERVAL, self._check_convergence_bound, end)
        for ingress in self._cluster.ingresses:
            unaffected_since = self._injector.unaffected_since.get(ingress.name, 0.0)
            if ingress.is_up and unaffected_since + CONVERGENCE_BOUND <= now:
                self._checker.check_within_bound(
                    now, ingress.name, ingress.revision, now - CONVERGENCE_BOUND
                )

    def _observe_ingresses(self) -> list[IngressObservation]:
        """Return what each ingress has applied, and which rejections its server knows of."""
        rejected: dict[str, set[ResourceKey]] = {}
        for distributor in self._cluster.distributors:
            for status in distributor.fan_out_adapter.fan_out.status(self._clock.now):
                if status.connected:
                    keys = {
                        ResourceKey(rejection.kind, rejection.name) for rejection in status.rejected
                    }
                    rejected[status.name] = keys
        return [
            IngressObservation(
                ingress.name, ingress.applied_bodies(), rejected.get(ingress.name, set())
            )
            for ingress in self._cluster.ingresses
        ]

    def _check_convergence(
        self, at_ms: float, observations: list[IngressObservation], expected_range: ConvergenceRange
    ) -> None:
        if not self._checker.violations:
            for observed in observations:
                self._checker.check_convergence(at_ms, observed, expected_range)
