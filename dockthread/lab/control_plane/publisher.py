"""A simulated publisher, which retries each change with the same token until it has an outcome."""

from __future__ import annotations

from typing import Final

from dockthread.control_plane.messages import PublishRequest, PublishResponse
from dockthread.control_plane.publish_state_machine import ANY_REVISION, OUTCOME_UNKNOWN
from dockthread.lab.control_plane.checker import RequestedChange
from dockthread.lab.control_plane.cluster import Cluster
from dockthread.lab.control_plane.environment import Environment
from dockthread.lab.control_plane.settings import INVALID_PREFIX, KINDS

RETRY_INTERVAL: Final = 300.0
"""Mean time before a request without a response is retried, in ms, with a jitter of ±50 %."""
RESPONSE_LOSS: Final = 0.1
"""Probability that a response is lost."""
NAMES: Final = 20
"""Number of resource names of each kind."""
CHANGE_INTERVAL: Final = 200.0
"""Mean interval between changes, in ms, with a jitter of ±50 %."""
DELETED_SHARE: Final = 0.15
"""Fraction of the changes that delete a resource."""
INVALID_SHARE: Final = 0.07
"""Fraction of the changes that ingresses reject."""
EXPECTING_SHARE: Final = 0.2
"""Fraction of the changes that are conditional on an expected revision."""
SLOW_REQUEST_SHARE: Final = 0.1
"""Fraction of the requests that have a high latency."""
MAX_LATENCY: Final = 10.0
"""Maximum latency of a normal request or of a response, in ms."""
MAX_SLOW_LATENCY: Final = 400.0
"""Maximum latency of a slow request, in ms."""
MAX_PADDING: Final = 60
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
        self._count = 0
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
        self._count += 1
        kind = rng.choice(KINDS)
        name = f"n{rng.randrange(NAMES)}"
        body: bytes | None = b"%d " % self._count + b"x" * rng.randrange(MAX_PADDING)
        drawn = rng.random()
        if drawn < DELETED_SHARE:
            body = None
        elif drawn < DELETED_SHARE + INVALID_SHARE:
            body = INVALID_PREFIX + b" %d" % self._count
        expects = rng.random() < EXPECTING_SHARE
        expected = self._last_known_revision(kind, name) if expects else ANY_REVISION
        token = f"t{self._count}"
        change = RequestedChange(kind, name, body, expected)
        self._environment.checker.on_request(token, change)
        self._send(PublishRequest(token, kind, name, body, expected))

    def _last_known_revision(self, kind: str, name: str) -> int:
        """Return the last revision of a resource that the publisher knows, or 0 if it has none."""
        accepted = [
            change
            for change in self._environment.checker.requested.values()
            if change.revision and change.key == (kind, name)
        ]
        last = max(accepted, key=lambda change: change.revision or 0, default=None)
        if last is None or last.body is None:
            return 0
        return last.revision or 0

    def _send(self, request: PublishRequest) -> None:
        """Send a request to a random voter and schedule a retry, unless it has an outcome."""
        change = self._environment.checker.requested.get(request.token)
        if change is None or change.revision is not None:
            return
        rng = self._environment.rng
        clock = self._environment.clock
        voter = rng.choice(self._cluster.voters)
        clock.call_later(RETRY_INTERVAL * rng.uniform(0.5, 1.5), self._send, request)
        is_dark = voter.zone in self._environment.network.dark_zones
        if voter.is_up and not voter.is_stalled and not is_dark:
            is_slow = rng.random() < SLOW_REQUEST_SHARE
            latency = rng.uniform(1.0, MAX_SLOW_LATENCY if is_slow else MAX_LATENCY)
            clock.call_later(latency, self._on_arrival, voter.name, request)

    def _on_arrival(self, voter_name: str, request: PublishRequest) -> None:
        voter = next(one for one in self._cluster.voters if one.name == voter_name)
        if voter.is_up and not voter.is_stalled:
            voter.publish(request, self._on_reply)

    def _on_reply(self, response: PublishResponse) -> None:
        """Schedule the arrival of a response, unless it is lost or has no outcome."""
        rng = self._environment.rng
        if response.revision != OUTCOME_UNKNOWN and rng.random() >= RESPONSE_LOSS:
            latency = rng.uniform(1.0, MAX_LATENCY)
            self._environment.clock.call_later(
                latency, self._on_response, response, self._cluster.histories
            )

    def _on_response(self, response: PublishResponse, history: int) -> None:
        if history != self._cluster.histories:
            return
        environment = self._environment
        environment.note(f"{response.token} has outcome {response.revision} {response.reason}")
        environment.checker.on_response(environment.clock.now, response.token, response.revision)
