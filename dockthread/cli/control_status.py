"""The status of the control plane as JSON and as text, for `dockthread control status`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Final

from dockthread.cli.output import JsonObject
from dockthread.control_plane.admin_client import ControlPlaneOverview
from dockthread.control_plane.messages import StatusResponse, SubscriberStatus

MAX_SUBSCRIBERS_SHOWN: Final = 20
"""Maximum number of lagging subscribers in the text output; JSON lists all of them."""
MS_PER_S: Final = 1000
"""Milliseconds in a second."""


def overview_json(overview: ControlPlaneOverview) -> JsonObject:
    """Return the status of all servers and subscribers as a JSON object."""
    return {
        "epoch": overview.epoch,
        "revision": overview.revision,
        "good": overview.is_healthy,
        "servers": {address: _server_json(server) for address, server in overview.servers.items()},
        "missed": overview.unreachable,
        "subscribers": [
            _subscriber_json(subscriber, overview) for subscriber in overview.subscribers
        ],
    }


def _server_json(server: StatusResponse) -> JsonObject:
    return {
        "name": server.name,
        "role": server.role,
        "epoch": server.epoch,
        "revision": server.revision,
        "age": server.age,
        "digest": server.digest.hex(),
    }


def _subscriber_json(subscriber: SubscriberStatus, overview: ControlPlaneOverview) -> JsonObject:
    rejected = [
        {
            "kind": rejection.kind,
            "name": rejection.name,
            "revision": rejection.revision,
            "reason": rejection.reason,
        }
        for rejection in subscriber.rejected
    ]
    return {
        "name": subscriber.name,
        "region": subscriber.region,
        "zone": subscriber.zone,
        "connected": subscriber.connected,
        "revision": subscriber.revision,
        "behind": subscriber.behind,
        "lags": overview.lags(subscriber),
        "rejections": subscriber.rejections,
        "rejected": rejected,
    }


def overview_lines(overview: ControlPlaneOverview) -> Iterator[str]:
    """Yield the status as text: servers, zones, and the subscribers that lag."""
    yield f"revision {overview.revision} of {overview.epoch or 'no history'}"
    yield from _server_lines(overview)
    for address, reason in sorted(overview.unreachable.items()):
        yield f"unreachable: {address}: {reason}"
    yield from _zone_lines(overview)
    lagging = overview.lagging()
    for subscriber in lagging[:MAX_SUBSCRIBERS_SHOWN]:
        yield from _lagging_subscriber_lines(subscriber, overview)
    if len(lagging) > MAX_SUBSCRIBERS_SHOWN:
        yield f"and {len(lagging) - MAX_SUBSCRIBERS_SHOWN} more: --json lists all of them"


def _server_lines(overview: ControlPlaneOverview) -> Iterator[str]:
    lagging = overview.lagging_servers()
    for address, server in sorted(overview.servers.items()):
        lags = " (lags)" if server in lagging else ""
        age = f"{server.age / MS_PER_S:.1f} s old" if server.age >= 0 else "of unknown age"
        yield (
            f"{server.role} {server.name} at {address}: revision {server.revision}{lags}, {age}, "
            f"{len(server.subscribers)} subscribers"
        )


def _zone_lines(overview: ControlPlaneOverview) -> Iterator[str]:
    """Yield a line for each zone: how many of its subscribers have applied the newest revision."""
    subscribers = Counter[tuple[str, str]]()
    up_to_date = Counter[tuple[str, str]]()
    for subscriber in overview.subscribers:
        zone_key = (subscriber.region, subscriber.zone)
        subscribers[zone_key] += 1
        up_to_date[zone_key] += not overview.lags(subscriber)
    for (region, zone), count in sorted(subscribers.items()):
        place = f"{region or 'no region'} {zone or 'no zone'}"
        yield f"{place}: applied by {up_to_date[region, zone]} of {count} subscribers"


def _lagging_subscriber_lines(
    subscriber: SubscriberStatus, overview: ControlPlaneOverview
) -> Iterator[str]:
    """Yield lines that say how far a subscriber lags and which resources it rejects."""
    name = subscriber.name
    revision = subscriber.revision
    if not subscriber.connected:
        yield f"{name}: not connected, revision {revision} when it was last seen"
    elif overview.lags(subscriber):
        yield f"{name}: lags at revision {revision} for {subscriber.behind / MS_PER_S:.1f} s"
    if subscriber.rejections:
        yield f"{name}: rejected resources: {subscriber.rejections}"
        for rejection in subscriber.rejected:
            place = f"{rejection.kind} {rejection.name} of revision {rejection.revision}"
            yield f"  {place}: {rejection.reason}"
