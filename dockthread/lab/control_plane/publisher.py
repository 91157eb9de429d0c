"""A simulated publisher, which retries each change with the same token until it has an outcome."""

from __future__ import annotations

from typing import Final

from dockthread.control_plane.messages import PublishRequest, PublishResponse
from dockthread.control_plane.publish_state_machine import ANY_REVISION, OUTCOME_UNKNOWN
from dockthread.lab.control_plane.checker import RequestedChange
from dockthread.lab.control_plane.cluster import Cluster
from dockthread.lab.control_plane.environment import Environment
from dockthread.lab.control_plane.settings import INVALID_PREFIX, RESOURCE_KINDS

REQUEST_RETRY_INTERVAL: Final = 300.0
"""Mean time before a request without a response is retried, in ms, with a jitter of ±50 %."""
RESPONSE_LOSS_PROBABILITY: Final = 0.1
"""Probability that a response is lost."""
NAMES_PER_KIND: Final = 20
"""Number of resource names of each kind."""
CHANGE_INTERVAL: Final = 200.0
"""Mean interval between changes, in ms, with a jitter of ±50 %."""
DELETION_FRACTION: Final = 0.15
"""Fraction of the changes that delete a resource."""
INVALID_FRACTION: Final = 0.07
"""Fraction of the changes that ingresses reject."""
CONDITIONAL_FRACTION: Final = 0.2
"""Fraction of the changes that are conditional on an expected revision."""
SLOW_REQUEST_FRACTION: Final = 0.1
"""Fraction of the requests that have a high latency."""
MAX_NORMAL_LATENCY: Final = 10.0
"""Maximum latency of a normal request or of a response, in ms."""
MAX_SLOW_LATENCY: Final = 400.0
"""Maximum latency of a slow request, in ms."""
PADDING_LIMIT: Final = 60
"""Exclusive upper bound of the random padding of a body, in bytes."""


class Publisher:
    """Publishes random changes through random voters.

    Attributes:
        interval: Mean interval between changes, in ms, with a jitter of ±50 %.
        is_active: Whether `run` goes on to request changes.
    """

    def __init__(self, environment: Environment, cluster: Cluster) -> None:
        self._environment = environment
        self._cluster = cluster
        self._change_count = 0
        self.interval = CHANGE_INTERVAL
        self.is_active = True

    def run(self) -> None:
        """Request a change and schedule the next one, until the publisher is inactive."""
        if self.is_active:
            delay = self.interval * self._environment.rng.uniform(0.5, 1.5)
            self._environment.clock.call_later(delay, self.run)
            self.request_change()

    def request_change(self) -> None:
        """Request a random change of a random resource."""
        rng = self._environment.rng
        self._change_count += 1
        kind = rng.choice(RESOURCE_KINDS)
        name = f"n{rng.randrange(NAMES_PER_KIND)}"
        body: bytes | None = b"%d " % self._change_count + b"x" * rng.randrange(PADDING_LIMIT)
        draw = rng.random()
        if draw < DELETION_FRACTION:
            body = None
        elif draw < DELETION_FRACTION + INVALID_FRACTION:
            body = INVALID_PREFIX + b" %d" % self._change_count
        is_conditional = rng.random() < CONDITIONAL_FRACTION
        expected_revision = (
            self._last_known_revision(kind, name) if is_conditional else ANY_REVISION
        )
        token = f"t{self._change_count}"
        change = RequestedChange(kind, name, body, expected_revision)
        self._environment.checker.on_change_requested(token, change)
        self._send(PublishRequest(token, kind, name, body, expected_revision))

    def _last_known_revision(self, kind: str, name: str) -> int:
        """Return the last revision of a resource that the publisher knows, or 0 if it has none."""
        accepted_changes = [
            change
            for change in self._environment.checker.requested_changes.values()
            if change.revision and change.key == (kind, name)
        ]
        last_change = max(accepted_changes, key=lambda change: change.revision or 0, default=None)
        if last_change is None or last_change.body is None:
            return 0
        return last_change.revision or 0

    def _send(self, request: PublishRequest) -> None:
        """Send a request to a random voter and schedule a retry, unless it has an outcome."""
        change = self._environment.checker.requested_changes.get(request.token)
        if change is None or change.revision is not None:
            return
        rng = self._environment.rng
        clock = self._environment.clock
        voter = rng.choice(self._cluster.voters)
        clock.call_later(REQUEST_RETRY_INTERVAL * rng.uniform(0.5, 1.5), self._send, request)
        is_isolated = voter.zone in self._environment.network.isolated_zones
        if voter.is_up and not voter.is_stalled and not is_isolated:
            is_slow = rng.random() < SLOW_REQUEST_FRACTION
            latency = rng.uniform(1.0, MAX_SLOW_LATENCY if is_slow else MAX_NORMAL_LATENCY)
            clock.call_later(latency, self._deliver_request, voter.name, request)

    def _deliver_request(self, voter_name: str, request: PublishRequest) -> None:
        voter = next(
            candidate for candidate in self._cluster.voters if candidate.name == voter_name
        )
        if voter.is_up and not voter.is_stalled:
            voter.publish(request, self._send_response)

    def _send_response(self, response: PublishResponse) -> None:
        """Schedule the arrival of a response, unless it is lost or has no outcome."""
        rng = self._environment.rng
        if response.revision != OUTCOME_UNKNOWN and rng.random() >= RESPONSE_LOSS_PROBABILITY:
            latency = rng.uniform(1.0, MAX_NORMAL_LATENCY)
            self._environment.clock.call_later(
                latency, self._on_response, response, self._cluster.history_count
            )

    def _on_response(self, response: PublishResponse, history_number: int) -> None:
        if history_number != self._cluster.history_count:
            return
        environment = self._environment
        environment.record_event(
            f"{response.token} has outcome {response.revision} {response.reason}"
        )
        environment.checker.on_outcome_received(
            environment.clock.now, response.token, response.revision
        )
