"""The daemon process of a control plane server, which is a voter or a distributor."""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import signal
import sys
from typing import Final, Protocol

import uvloop
from loguru import logger

from dockthread.clock import Clock
from dockthread.config.address import Address
from dockthread.control_plane.distributor import Distributor
from dockthread.control_plane.options import ControlOptions
from dockthread.control_plane.server_settings import server_settings_from_options
from dockthread.control_plane.voter import Voter
from dockthread.errors import SettingsError
from dockthread.logs.setup import set_up
from dockthread.raft.options import FleetOptions
from dockthread.raft.storage import RaftStorageError
from dockthread.section_registry import load_operator_file

EXIT_OK: Final = 0
EXIT_CANNOT_LISTEN: Final = 1
EXIT_BAD_CONFIGURATION: Final = 2
SEED_BITS: Final = 64
"""Size in bits of the random seed of a process."""


class Service(Protocol):
    """A voter or a distributor."""

    async def open(self, listen: Address) -> Address:
        """Listen, join the other servers, and return the bound address.

        Raises:
            OSError: The address cannot be bound.
        """

    async def close(self) -> None:
        """Stop the service, and close all connections."""


def _make_service(control: ControlOptions, fleet: FleetOptions) -> Service:
    """Return the service for the configured role.

    Raises:
        OSError: The directory of the Raft log cannot be used.
        ValueError: The key or a member address cannot be used.
        RaftStorageError: The log was lost.
    """
    rng = random.Random(secrets.randbits(SEED_BITS))
    if control.role == "distributor":
        return Distributor(control, Clock(), rng)
    return Voter(server_settings_from_options(control, control.key()), fleet, Clock(), rng)


async def _run(control: ControlOptions, fleet: FleetOptions) -> None:
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    service = _make_service(control, fleet)
    address = await service.open(control.listen_address())
    logger.info("control: {} {} serves at {}", control.role, control.name, address)
    await stopped.wait()
    await service.close()
    logger.info("control: {} {} has stopped", control.role, control.name)


def _serve(file: str) -> None:
    """Run the server configured in the operator's file until a signal stops it.

    Raises:
        SettingsError: The file or the role is invalid.
        OSError: The address cannot be bound.
        ValueError: The key or the directory of the Raft log cannot be used.
        RaftStorageError: The log was lost.
    """
    sections = load_operator_file(file)
    control = sections.section("control")
    log = sections.section("log")
    if control.role not in ("voter", "distributor"):
        role = control.role or "missing"
        raise SettingsError(
            f"is {role}",
            file=file,
            section="control",
            key="role",
            remedy="use voter or distributor",
        )
    level = os.environ.get("DOCKTHREAD_LOG") or log.level
    set_up(level.upper(), log, ingress=control.name)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(control, sections.section("fleet")))


def serve(file: str) -> int:
    """Run the server configured in the operator's file until SIGTERM or SIGINT.

    Returns the exit code.
    """
    try:
        _serve(file)
    except (SettingsError, ValueError, RaftStorageError) as error:
        print(f"dockthread: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    except OSError as error:
        print(f"dockthread: cannot serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    return EXIT_OK
