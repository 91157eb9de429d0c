"""Asks servers of control from outside: publishes, looks up, and puts together what all of them
tell.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Sequence
from dataclasses import dataclass, field

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
from dockthread.framing import FRAME_HEADER, MalformedFrameError

ANSWER = 5.0  # s for one question
PUBLISHING = 20.0  # s until a change is given up
PAUSE = 0.2  # s before the servers are asked once more


class NoResponseError(Exception):
    """A server that could not be asked; the text says why."""


async def send_request(
    server: Address, message: Message, key: bytes, most: float = ANSWER
) -> Message:
    """One question on a connection of its own. Raises `NoAnswer`."""
    writer = None
    try:
        async with asyncio.timeout(most):
            reader, writer = await asyncio.open_connection(server.host, server.port)
            writer.write(codec.pack(message, key))
            head = await reader.readexactly(FRAME_HEADER.size)
            return codec.unpack(head, await reader.readexactly(codec.length(head)), key)
    except asyncio.IncompleteReadError as error:
        raise NoResponseError(
            "it closed the connection: another key, or no server of control"
        ) from error
    except TimeoutError as error:
        raise NoResponseError(f"no answer within {most:g} s") from error
    except (OSError, MalformedFrameError) as error:
        raise NoResponseError(str(error)) from error
    finally:
        if writer is not None:
            writer.close()


async def publish(
    servers: Sequence[Address], change: PublishRequest, key: bytes, most: float = PUBLISHING
) -> PublishResponse:
    """By the first server that knows; the others are asked with the same token, so that it counts
    once.
    """
    last = PublishResponse(change.token, -1, "no server was asked")
    loop = asyncio.get_running_loop()
    until = loop.time() + most
    while True:
        for server in servers:
            try:
                answer = await send_request(
                    server, change, key, max(0.1, min(ANSWER, until - loop.time()))
                )
            except NoResponseError as error:
                last = PublishResponse(change.token, -1, f"{server}: {error}")
                continue
            if isinstance(answer, PublishResponse) and answer.revision >= 0:
                return answer
            reason = (
                answer.reason
                if isinstance(answer, PublishResponse)
                else f"it says {type(answer).__name__}"
            )
            last = PublishResponse(change.token, -1, f"{server}: {reason}")
        if loop.time() + PAUSE >= until:
            return last
        await asyncio.sleep(PAUSE)


def new_request(kind: str, name: str, body: bytes | None, expected: int = -1) -> PublishRequest:
    """A change under a token of its own, drawn anew."""
    return PublishRequest(secrets.token_hex(16), kind, name, body, expected)


async def lookup(servers: Sequence[Address], kind: str, name: str, key: bytes) -> list[Resource]:
    """From the first server that answers. Raises `NoAnswer` where none does."""
    faults = []
    for server in servers:
        found: list[Resource] = []
        try:
            while True:
                after = found[-1].name if found else ""
                answer = await send_request(server, LookupRequest(kind, name, after), key)
                if not isinstance(answer, LookupResponse):
                    raise NoResponseError(f"it says {type(answer).__name__}")
                found += answer.resources
                if not answer.more or not answer.resources:
                    return found
        except NoResponseError as error:
            faults.append(f"{server}: {error}")
    raise NoResponseError("; ".join(faults))


@dataclass(slots=True)
class ControlPlaneOverview:
    """What all servers tell together. `revision` and `epoch`: of the newest that was seen."""

    servers: dict[str, StatusResponse] = field(default_factory=dict)  # by address
    unreachable: dict[str, str] = field(default_factory=dict)  # why, by address
    subscribers: list[SubscriberStatus] = field(default_factory=list)
    epoch: str = ""
    revision: int = 0

    def lagging(self) -> list[SubscriberStatus]:
        """Those that are not known to have the newest in force, or refused some of it."""
        return [one for one in self.subscribers if one.rejections or self.lags(one)]

    def lags(self, one: SubscriberStatus) -> bool:
        """Whether an ingress is gone, or lacks what was accepted last."""
        return not one.connected or one.revision < self.revision

    def lagging_servers(self) -> list[StatusResponse]:
        """Servers that do not hold what the furthest one holds."""
        return [
            one
            for one in self.servers.values()
            if (one.epoch, one.revision) != (self.epoch, self.revision)
        ]

    @property
    def is_healthy(self) -> bool:
        """Whether every server answered and nobody lags."""
        return not (self.unreachable or self.lagging() or self.lagging_servers())


async def fetch_overview(servers: Sequence[Address], key: bytes) -> ControlPlaneOverview:
    """Of all servers at once."""
    whole = ControlPlaneOverview()

    async def one(server: Address) -> None:
        try:
            answer = await send_request(server, StatusRequest(), key)
            if not isinstance(answer, StatusResponse):
                raise NoResponseError(f"it says {type(answer).__name__}")
            whole.servers[str(server)] = answer
        except NoResponseError as error:
            whole.unreachable[str(server)] = str(error)

    await asyncio.gather(*(one(server) for server in servers))
    newest = max(
        whole.servers.values(), key=lambda s: (s.role == "voter", s.revision), default=None
    )
    if newest is not None:
        whole.epoch, whole.revision = newest.epoch, newest.revision
    whole.subscribers = _joined(list(whole.servers.values()))
    return whole


def _joined(servers: list[StatusResponse]) -> list[SubscriberStatus]:
    """Each subscriber once, as the server knows it that it is connected to, or was last ahead with;
    but for servers that told of themselves.
    """
    best: dict[str, SubscriberStatus] = {}
    known = {server.name for server in servers}
    for server in servers:
        for one in server.subscribers:
            if one.name in known:
                continue
            there = best.get(one.name)
            if there is None or (one.connected, one.revision) > (there.connected, there.revision):
                best[one.name] = one
    return [best[name] for name in sorted(best)]
