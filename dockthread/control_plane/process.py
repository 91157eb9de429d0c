"""A process of control: a voter or a distributor, until it is told to stop. No ingress is in it."""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import signal
import sys
from collections.abc import Sequence
from typing import Protocol

import uvloop
from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.config.section_registry import load
from dockthread.control_plane.client import (
    ControlPlaneClient,
    cache_from_options,
    servers_from_options,
)
from dockthread.control_plane.fanout import FanOutLimits
from dockthread.control_plane.messages import Rejection, Resource
from dockthread.control_plane.options import ControlOptions
from dockthread.control_plane.server import ControlPlaneServer, ServerLimits
from dockthread.control_plane.voter import Voter
from dockthread.errors import SettingsError
from dockthread.framing import MessageCounts
from dockthread.logs.setup import set_up
from dockthread.raft.options import FleetOptions
from dockthread.raft.storage import RaftStorageError

OK, CANNOT_LISTEN, BAD_CONFIGURATION = 0, 1, 2  # exit codes
ASKING = 32  # connections beside the subscribers', for publishers and questions
DISTRIBUTOR_SLICE = 4096  # resources: nothing has to be proved


class Part(Protocol):
    """A voter or a distributor."""

    async def open(self, listen: Address) -> Address:
        """Listen and take part; the address. Raises OSError where it cannot listen."""

    async def close(self) -> None:
        """Stop, and let go of all connections."""


class Distributor:
    """Receives as a subscriber and serves what it received. It knows no kind and refuses
    nothing.
    """

    def __init__(self, options: ControlOptions, clock: Clock, rng: random.Random) -> None:
        key = options.key()
        self._server: ControlPlaneServer | None = None  # until the client has read its cache
        cache = cache_from_options(options, options.name)
        self._client = ControlPlaneClient(
            options.name,
            servers_from_options(options),
            self,
            clock,
            rng,
            key,
            options.region,
            options.zone,
            cache,
            slice_size=DISTRIBUTOR_SLICE,
        )
        subscriber = self._client.subscriber
        limits, fanout = limits_from_options(options)
        self._server = ControlPlaneServer(
            options.name,
            "distributor",
            subscriber.table,
            clock,
            rng,
            lambda: subscriber.age(clock.now()),
            limits,
            fanout,
            key,
        )

    async def open(self, listen: Address) -> Address:
        """Listen, and begin to receive; the address. Raises OSError where it cannot listen."""
        assert self._server is not None
        at = await self._server.open(listen)
        self._client.open()
        return at

    async def close(self) -> None:
        """Stop receiving and serving."""
        assert self._server is not None
        await self._client.close()
        await self._server.close()

    @property
    def messages(self) -> MessageCounts:
        """With its servers and with those whom it serves."""
        assert self._server is not None
        return self._client.messages + self._server.messages

    # What its client tells

    def apply(self, changes: Sequence[Resource]) -> Sequence[Rejection]:
        """Refuses nothing: a distributor knows no kind."""
        return ()

    def applied_resource(self, kind: str, name: str) -> Resource | None:
        """Nothing is in force at a distributor."""
        return None

    def on_batch_applied(self) -> None:
        """The table has changed: serve it on."""
        if self._server is not None:
            self._server.changed()


def limits_from_options(options: ControlOptions) -> tuple[ServerLimits, FanOutLimits]:
    """Limits of a server and of its fan-out by the section."""
    most, rate = options.most_connections, float(options.snapshot_rate)
    fanout = FanOutLimits(
        most,
        snapshot_rate=rate,
        snapshot_burst=2 * rate,
        heartbeat_interval=float(options.heartbeat),
    )
    return ServerLimits(most + ASKING, options.write_buffer), fanout


def _part(control: ControlOptions, fleet: FleetOptions) -> Part:
    """Raises OSError, ValueError or `Lost` where it cannot be."""
    rng = random.Random(secrets.randbits(64))
    if control.role == "distributor":
        return Distributor(control, Clock(), rng)
    limits, fanout = limits_from_options(control)
    return Voter(control.name, fleet, Clock(), rng, limits, fanout, control.key())


async def _run(control: ControlOptions, fleet: FleetOptions) -> None:
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    part = _part(control, fleet)
    at = await part.open(control.listen_address())
    logger.info("control: {} {} serves at {}", control.role, control.name, at)
    await stopped.wait()
    await part.close()
    logger.info("control: {} {} has ended", control.role, control.name)


def serve(file: str) -> int:
    """Serve until told to stop; the exit code."""
    try:
        read = load(file)
        control, log = read.one("control"), read.one("log")
        if control.role not in ("voter", "distributor"):
            raise SettingsError(
                f"{file}: [control] role: is {control.role or 'missing'}; voter or distributor would do"
            )
        level = os.environ.get("DOCKTHREAD_LOG") or log.level
        set_up(level.upper(), log, ingress=control.name)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run(control, read.one("fleet")))
    except (SettingsError, ValueError, RaftStorageError) as error:
        print(f"dockthread: {error}", file=sys.stderr)
        return BAD_CONFIGURATION
    except OSError as error:
        print(f"dockthread: cannot serve: {error}", file=sys.stderr)
        return CANNOT_LISTEN
    return OK
