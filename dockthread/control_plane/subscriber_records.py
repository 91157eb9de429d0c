"""Records that a server keeps of its connected and disconnected subscribers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from dockthread.control_plane.lag import LagTracker
from dockthread.control_plane.messages import (
    Acknowledge,
    Rejection,
    Subscribe,
    SubscriberStatus,
)

MAX_DISCONNECTED: Final = 20_000
"""Maximum number of disconnected subscribers that are kept."""


@dataclass(slots=True)
class SubscriberRecord:
    """Status that one subscriber has reported.

    Attributes:
        subscription: Its `Subscribe` message.
        updated_at: When it last acknowledged an update or disconnected, in ms.
        epoch: Epoch that it acknowledged.
        revision: Revision that it acknowledged.
        rejections: Number of resources that it rejects.
        rejected: The rejections that it reported in detail.
    """

    subscription: Subscribe
    updated_at: float
    epoch: str = ""
    revision: int = 0
    rejections: int = 0
    rejected: tuple[Rejection, ...] = ()

    def acknowledge(self, now: float, message: Acknowledge) -> None:
        """Record an acknowledgement."""
        self.updated_at = now
        self.epoch = message.epoch
        self.revision = message.revision
        self.rejections = message.rejections
        self.rejected = message.rejected

    def status(
        self, now: float, epoch: str, lag: LagTracker, is_connected: bool
    ) -> SubscriberStatus:
        """Return the status; `epoch` is the epoch of the server's table."""
        subscription = self.subscription
        revision = self.revision if self.epoch == epoch else 0
        return SubscriberStatus(
            subscription.name,
            subscription.region,
            subscription.zone,
            is_connected,
            revision,
            lag.lag(now, revision),
            self.rejections,
            self.rejected,
        )


class DisconnectedSubscribers:
    """Records of disconnected subscribers, oldest first."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, SubscriberRecord] = OrderedDict()

    def by_name(self) -> Mapping[str, SubscriberRecord]:
        """Return the records by name."""
        return self._records

    def add(self, record: SubscriberRecord) -> None:
        """Add a subscriber; beyond `MAX_DISCONNECTED`, remove the oldest."""
        self._records[record.subscription.name] = record
        while len(self._records) > MAX_DISCONNECTED:
            self._records.popitem(last=False)

    def discard(self, name: str) -> None:
        """Remove a subscriber that has reconnected."""
        self._records.pop(name, None)

    def forget_before(self, now: float, retention: float) -> None:
        """Remove subscribers that disconnected more than `retention` ms ago."""
        while self._records:
            name = next(iter(self._records))
            if now - self._records[name].updated_at <= retention:
                return
            del self._records[name]
