"""Settings of a subscriber: its name, its location and its timeouts."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SubscriberTimes:
    """Timeouts, intervals and limits of a subscriber, in ms.

    Attributes:
        connect_timeout: Timeout for a connection to open and receive its first message.
        silence_timeout: Time without any bytes after which a server is left.
        heartbeat_interval: Interval between the subscriber's own heartbeats.
        staleness_limit: Age of a server's table at which the server is left for a fresher one.
        stale_penalty: Time for which a server is avoided after it was stale.
        failure_penalty: Time for which a server is avoided after it failed.
        backoff_initial: Upper bound of the random backoff after the first failure.
        backoff_max: Maximum of that upper bound, which doubles with each failure.
        retry_after_max: Longest delay that a `RetryLater` message may request.
        return_interval: Mean time after which a subscriber returns to its preferred server; the
            actual time is random, between half and one and a half times as long.
    """

    connect_timeout: float = 1_000.0
    silence_timeout: float = 2_500.0
    heartbeat_interval: float = 1_000.0
    staleness_limit: float = 4_000.0
    stale_penalty: float = 30_000.0
    failure_penalty: float = 60_000.0
    backoff_initial: float = 200.0
    backoff_max: float = 2_000.0
    retry_after_max: float = 60_000.0
    return_interval: float = 300_000.0


@dataclass(frozen=True, slots=True)
class SubscriberSettings:
    """Name, location and timeouts of a subscriber."""

    name: str
    region: str = ""
    zone: str = ""
    times: SubscriberTimes = field(default_factory=SubscriberTimes)
