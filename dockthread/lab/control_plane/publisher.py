"""A simulated publisher: requests changes and retries with the same token until it has an outcome."""

from __future__ import annotations

from typing import Final

from dockthread.control_plane.messages import PublishRequest, PublishResponse
from dockthread.control_plane.publish_state_machine import ANY_REVISION, OUTCOME_UNKNOWN
from dockthread.lab.control_plane.checker import RequestedChange
from dockthread.lab.control_plane.cluster import Cluster
from dockthread.lab.control_plane.environment import Environment
from dockthread.lab.control_plane.settings import INVALID_PREFIX, KINDS

RETRY_INTERVAL: Final = 300.0
"""Time in ms after which a request without a response is sent again, give or take half."""
RESPONSE_LOSS: Final = 0.1
"""Probability that a response is lost."""
NAMES: Final = 20
"""Names of each kind."""
CHANGE_INTERVAL: Final = 200.0
"""Time in ms between changes, give or take half."""
DELETED_SHARE: Final = 0.15
"""Share of the changes that delete a resource."""
INVALID_SHARE: Final = 0.07
"""Share of the changes that ingresses reject."""
EXPECTING_SHARE: Final = 0.2
"""Share of the changes that expect a revision."""
SLOW_REQUEST_SHARE: Final = 0.1
"""Share of the requests that take long."""
MAX_LATENCY: Final = 10.0
"""Longest time in ms that a request or a response usually takes."""
MAX_SLOW_LATENCY: Final = 400.0
"""Longest time in ms that a slow request takes."""
MAX_PADDING: Final = 60
"""Bytes by which bodies differ in length."""


class Publisher:
    """Draws its changes from the simulation's seed.

    Attributes:
        interval: Time in ms between changes, give or take half.
        is_active: Whether it requests changes by itself.
    """

    def __init__(self, environment: Environment, cluster: Cluster) -> None:
        self._environment = environment
        self._cluster = cluster
        self._count = 0
        self.interval = CHANGE_INTERVAL
        self.is_active = True

    def run(self) -> None:
        """Request a change, and plan the next one."""
        if self.is_active:
            delay = self.interval * self._environment.rng.uniform(0.5, 1.5)
            self._environment.clock.call_later(delay, self.run)
            self.request_change()

    def request_change(self) -> None:
        """Request a change of a random resource."""
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
        """Return the revision that the publisher believes the resource to have; 0 for none."""
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
        """Send a request to a random voter, and plan a retry."""
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
        """Have a response arrive unless it is lost."""
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
