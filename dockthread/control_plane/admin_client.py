"""Sends requests of operators and publishers to the servers of the control plane."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from dockthread.config.address import Address
from dockthread.control_plane.messages import (
    LookupRequest,
    LookupResponse,
    Message,
    PublishRequest,
    PublishResponse,
    Resource,
    StatusRequest,
    StatusResponse,
    SubscriberStatus,
    codec,
)
from dockthread.control_plane.publish_state_machine import ANY_REVISION, OUTCOME_UNKNOWN
from dockthread.errors import DockthreadError
from dockthread.framing import FRAME_HEADER, MalformedFrameError

REQUEST_TIMEOUT: Final = 5.0
"""Default timeout in s of a request."""
MIN_REQUEST_TIMEOUT: Final = 0.1
"""Minimum timeout in s of a request, even if the deadline of `publish` is closer."""
PUBLISH_TIMEOUT: Final = 20.0
"""Time in s after which `publish` stops retrying."""
PUBLISH_RETRY_DELAY: Final = 0.2
"""Time in s before all servers are tried again."""
TOKEN_BYTES: Final = 16
"""Number of random bytes in the token of a change."""


class NoResponseError(DockthreadError):
    """A server did not respond as expected; the text says why."""


async def send_request(
    server: Address,
    message: Message,
    key: bytes,
    timeout: float = REQUEST_TIMEOUT,  # noqa: ASYNC109  the timeout includes connecting
) -> Message:
    """Send a request on a new connection and return the response. `timeout` is in s.

    Raises:
        NoResponseError: The server cannot be reached, or does not send a valid response in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(server.host, server.port)
            writer.write(codec.pack(message, key))
            header = await reader.readexactly(FRAME_HEADER.size)
            return codec.unpack(header, await reader.readexactly(codec.message_size(header)), key)
    except asyncio.IncompleteReadError as error:
        raise NoResponseError(
            "it closed the connection: it has another key, or is not a control-plane server"
        ) from error
    except TimeoutError as error:
        raise NoResponseError(f"no answer within {timeout:g} s") from error
    except (OSError, MalformedFrameError) as error:
        raise NoResponseError(str(error)) from error
    finally:
        if writer is not None:
            writer.close()


def new_request(
    kind: str, name: str, body: bytes | None, expected: int = ANY_REVISION
) -> PublishRequest:
    """Return a change with a new random token; if `body` is None, the resource is deleted."""
    return PublishRequest(secrets.token_hex(TOKEN_BYTES), kind, name, body, expected)


async def publish(
    servers: Sequence[Address],
    request: PublishRequest,
    key: bytes,
    timeout: float = PUBLISH_TIMEOUT,  # noqa: ASYNC109  the last outcome is returned, not raised
) -> PublishResponse:
    """Publish a change and return the response of the first server that knows the outcome.

    The servers are tried in turn with the same token, so the change is applied only once. After
    `timeout` seconds the last response is returned, although it has no outcome.
    """
    last_response = PublishResponse(request.token, OUTCOME_UNKNOWN, "no server was tried")
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    while True:
        for server in servers:
            remaining = max(MIN_REQUEST_TIMEOUT, min(REQUEST_TIMEOUT, deadline - loop.time()))
            last_response = await _publish_to(server, request, key, remaining)
            if last_response.revision >= 0:
                return last_response
        if loop.time() + PUBLISH_RETRY_DELAY >= deadline:
            return last_response
        await asyncio.sleep(PUBLISH_RETRY_DELAY)


async def _publish_to(
    server: Address,
    request: PublishRequest,
    key: bytes,
    timeout: float,  # noqa: ASYNC109  the timeout is passed on
) -> PublishResponse:
    """Return one server's response, or a response without an outcome that gives the reason."""
    try:
        response = await send_request(server, request, key, timeout)
    except NoResponseError as error:
        return PublishResponse(request.token, OUTCOME_UNKNOWN, f"{server}: {error}")
    if not isinstance(response, PublishResponse):
        reason = f"it sent an unexpected {type(response).__name__}"
    elif response.revision >= 0:
        return response
    else:
        reason = response.reason
    return PublishResponse(request.token, OUTCOME_UNKNOWN, f"{server}: {reason}")


async def lookup(servers: Sequence[Address], kind: str, name: str, key: bytes) -> list[Resource]:
    """Return one resource, or all resources of a kind, from the first server that responds.

    Raises:
        NoResponseError: No server responds.
    """
    errors = []
    for server in servers:
        try:
            return await _lookup_at(server, kind, name, key)
        except NoResponseError as error:
            errors.append(f"{server}: {error}")
    raise NoResponseError("; ".join(errors))


async def _lookup_at(server: Address, kind: str, name: str, key: bytes) -> list[Resource]:
    """Return the resources on all pages of one server."""
    resources: list[Resource] = []
    while True:
        after = resources[-1].name if resources else ""
        response = await send_request(server, LookupRequest(kind, name, after), key)
        if not isinstance(response, LookupResponse):
            raise NoResponseError(f"it sent an unexpected {type(response).__name__}")
        resources += response.resources
        if not response.more or not response.resources:
            return resources


@dataclass(slots=True)
class ControlPlaneOverview:
    """The combined status of all servers.

    Attributes:
        servers: Status of each server that responded, by address.
        unreachable: Reason why a server did not respond, by address.
        subscribers: All subscribers without duplicates, sorted by name.
        epoch: Epoch of the newest table.
        revision: Revision of the newest table.
    """

    servers: dict[str, StatusResponse] = field(default_factory=dict)
    unreachable: dict[str, str] = field(default_factory=dict)
    subscribers: list[SubscriberStatus] = field(default_factory=list)
    epoch: str = ""
    revision: int = 0

    def lagging(self) -> list[SubscriberStatus]:
        """Return the subscribers that lag or reject a resource."""
        return [
            subscriber
            for subscriber in self.subscribers
            if subscriber.rejections or self.lags(subscriber)
        ]

    def lags(self, subscriber: SubscriberStatus) -> bool:
        """Return whether a subscriber is disconnected or has not acknowledged the newest revision."""
        return not subscriber.connected or subscriber.revision < self.revision

    def lagging_servers(self) -> list[StatusResponse]:
        """Return the servers that do not have the newest table."""
        newest = (self.epoch, self.revision)
        return [
            server for server in self.servers.values() if (server.epoch, server.revision) != newest
        ]

    @property
    def is_healthy(self) -> bool:
        """Whether every server responded, none lags, and no subscriber lags or rejects a resource."""
        return not (self.unreachable or self.lagging() or self.lagging_servers())


async def fetch_overview(servers: Sequence[Address], key: bytes) -> ControlPlaneOverview:
    """Request the status of all servers concurrently."""
    overview = ControlPlaneOverview()

    async def fetch(server: Address) -> None:
        """Add the status of one server to the overview."""
        try:
            overview.servers[str(server)] = await _fetch_status(server, key)
        except NoResponseError as error:
            overview.unreachable[str(server)] = str(error)

    await asyncio.gather(*(fetch(server) for server in servers))
    newest = max(
        overview.servers.values(),
        key=lambda server: (server.role == "voter", server.revision),
        default=None,
    )
    if newest is not None:
        overview.epoch = newest.epoch
        overview.revision = newest.revision
    overview.subscribers = _merge_subscribers(list(overview.servers.values()))
    return overview


async def _fetch_status(server: Address, key: bytes) -> StatusResponse:
    response = await send_request(server, StatusRequest(), key)
    if not isinstance(response, StatusResponse):
        raise NoResponseError(f"it sent an unexpected {type(response).__name__}")
    return response


def _merge_subscribers(servers: list[StatusResponse]) -> list[SubscriberStatus]:
    """Return all subscribers without duplicates, and without the servers that responded.

    If several servers report a subscriber, a status in which it is connected takes precedence, and
    then the one with the newest revision.
    """
    best_by_name: dict[str, SubscriberStatus] = {}
    server_names = {server.name for server in servers}
    for server in servers:
        for status in server.subscribers:
            if status.name in server_names:
                continue
            previous = best_by_name.get(status.name)
            if previous is None or _precedence(status) > _precedence(previous):
                best_by_name[status.name] = status
    return [best_by_name[name] for name in sorted(best_by_name)]


def _precedence(status: SubscriberStatus) -> tuple[bool, int]:
    return status.connected, status.revision
