"""Settings of a subscriber: who it is, and its times."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SubscriberTimes:
    """Times of a subscriber, in ms.

    Attributes:
        connect_timeout: For a connection to open and bring its first message.
        silence_timeout: After which a server that sends nothing is left.
        heartbeat_interval: Between the subscriber's own heartbeats.
        staleness_limit: Age of a server's table at which it is left for a fresher one.
        stale_penalty: For which a server is passed over after it was stale.
        failure_penalty: For which a server is passed over after it failed.
        backoff_initial: Bound of the random backoff after the first failure.
        backoff_max: Largest bound of the backoff, which doubles with each failure.
        retry_after_max: Longest time that `RetryLater` may ask for.
        return_interval: After which, give or take half, a subscriber returns to its preferred
            server.
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
    """Name and place of a subscriber, and its times."""

    name: str
    region: str = ""
    zone: str = ""
    times: SubscriberTimes = field(default_factory=SubscriberTimes)
