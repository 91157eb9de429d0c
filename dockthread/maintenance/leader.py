"""Creates the reports that a leader proposes, without I/O."""

from __future__ import annotations

from dockthread.maintenance.aggregation import MemberObservation, combine_observations
from dockthread.maintenance.commands import (
    CommandAction,
    LeaderReport,
    MaintenanceCommand,
    ZoneStatus,
)
from dockthread.maintenance.model import FleetView, MaintenanceOptions
from dockthread.maintenance.scheduler import MaintenanceScheduler
from dockthread.maintenance.transitions import UNAVAILABLE_STATES

REPORT_INTERVAL_MS = 500.0  # interval of reports while a request can progress
IDLE_REPORT_INTERVAL_MS = 5_000.0  # interval of reports while all requested targets are unavailable
# Minimum interval of reports while a request has not been evaluated and an operator waits for it.
FIRST_REPORT_INTERVAL_MS = REPORT_INTERVAL_MS / 10
OBSERVATION_VALIDITY_MS = 2.5 * REPORT_INTERVAL_MS  # maximum age of an observation in a report
# Maximum time for which the first report on a request waits until a majority has observed its zone.
FIRST_REPORT_MAX_WAIT_MS = 2.0 * REPORT_INTERVAL_MS
# A report advances the replicated time by at most this many intervals.
MAX_INTERVALS_PER_REPORT = 2
NEVER_MS = -1e18  # time in ms that is earlier than any clock value


def report_interval_ms(scheduler: MaintenanceScheduler) -> float:
    """Return the report interval for the current requests."""
    return REPORT_INTERVAL_MS if has_active_requests(scheduler) else IDLE_REPORT_INTERVAL_MS


def has_active_requests(scheduler: MaintenanceScheduler) -> bool:
    """Return whether a request can progress without an operator: its target is not unavailable."""
    return any(request.state not in UNAVAILABLE_STATES for request in scheduler.requests.values())


def has_unevaluated_requests(scheduler: MaintenanceScheduler) -> bool:
    """Return whether no report has been applied yet since some request was made."""
    return any(not request.is_evaluated for request in scheduler.requests.values())


def latest_request_index(scheduler: MaintenanceScheduler) -> int:
    """Return the log index of the latest request; 0 if there is none."""
    return max(
        (request.requested_index for request in scheduler.requests.values()),
        default=0,
    )


class LeaderReporter:
    """Decides when a leader proposes its next report, and creates that report.

    Args:
        name: Name of this member.
        options: Settings that reports carry.
        now: Current time in milliseconds.
    """

    def __init__(self, name: str, options: MaintenanceOptions, now: float) -> None:
        self._name = name
        self._options = options
        self._observations: dict[str, tuple[float, MemberObservation]] = {}
        # Time when the last report was applied or this member became leader, whichever is later.
        self._last_report_at = now
        self._last_proposal_at = NEVER_MS
        # Start of the time without a majority of observations of the latest request; None if there
        # is a majority.
        self._no_majority_since: float | None = None

    def on_leadership_gained(self, now: float) -> None:
        """Discard old observations, and measure the time of the first report from now on."""
        self._last_report_at = now
        self._observations = {}

    def on_report_applied(self, now: float) -> None:
        """Measure the time of the next report from now on."""
        self._last_report_at = now

    def on_observation(self, now: float, member: str, observation: MemberObservation) -> None:
        """Store a member's observation."""
        self._observations[member] = (now, observation)

    def next_report(
        self, now: float, fleet: FleetView, scheduler: MaintenanceScheduler
    ) -> MaintenanceCommand | None:
        """Return the report to propose now; None if none is due."""
        observations = self._recent_observations(now)
        has_unevaluated = has_unevaluated_requests(scheduler)
        interval_ms = report_interval_ms(scheduler)
        self._track_observation_majority(now, fleet, scheduler, observations)
        is_awaiting_observations = (
            self._no_majority_since is not None
            and now - self._no_majority_since < FIRST_REPORT_MAX_WAIT_MS
        )
        min_interval_ms = FIRST_REPORT_INTERVAL_MS if has_unevaluated else interval_ms
        if (
            is_awaiting_observations
            or now - max(self._last_report_at, self._last_proposal_at) < min_interval_ms
        ):
            return None
        self._last_proposal_at = now
        zones: tuple[ZoneStatus, ...] = ()
        listed: tuple[str, ...] = ()
        if 2 * len(observations) > len(fleet.members):
            capacity = self._options.backend_capacity
            zones, listed = combine_observations(observations, len(fleet.members), capacity)
        report = LeaderReport(
            number=scheduler.report_count + 1,
            elapsed_ms=min(now - self._last_report_at, MAX_INTERVALS_PER_REPORT * interval_ms),
            members=tuple(sorted(fleet.members)),
            reachable=tuple(sorted({*fleet.reachable, self._name})),
            zones=zones,
            listed_targets=listed,
            grant_timeout_ms=self._options.grant_timeout_ms,
            failure_timeout_ms=self._options.failure_timeout_ms,
            headroom=self._options.headroom,
        )
        return MaintenanceCommand(CommandAction.REPORT, sender=self._name, report=report)

    def _recent_observations(self, now: float) -> dict[str, MemberObservation]:
        return {
            member: observation
            for member, (received_at, observation) in self._observations.items()
            if now - received_at <= OBSERVATION_VALIDITY_MS
        }

    def _track_observation_majority(
        self,
        now: float,
        fleet: FleetView,
        scheduler: MaintenanceScheduler,
        observations: dict[str, MemberObservation],
    ) -> None:
        latest = latest_request_index(scheduler)
        current_count = sum(
            observation.latest_request_index >= latest for observation in observations.values()
        )
        is_observed_by_majority = 2 * current_count > len(fleet.members)
        if is_observed_by_majority or not has_unevaluated_requests(scheduler):
            self._no_majority_since = None
        elif self._no_majority_since is None:
            self._no_majority_since = now
