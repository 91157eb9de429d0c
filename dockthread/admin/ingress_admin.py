"""Executes the commands of the management server on one ingress."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from dockthread import process_memory
from dockthread.admin.detached_backends import (
    detached_backends_path,
    file_version,
    load_detached_backends,
    save_detached_backends,
)
from dockthread.admin.prometheus import MetricsSnapshot, render_metrics
from dockthread.process_memory import BYTES_PER_MB

if TYPE_CHECKING:
    from dockthread.admin.commands import Command, Response
    from dockthread.clock import Clock
    from dockthread.config.ingress_config import IngressConfig
    from dockthread.observer import Traffic


# Interval at which changes by the other process are read. It is short against the time within which
# a backend must be sent nothing new.
DETACHED_POLL_INTERVAL_MS = 50.0


class AdministeredEndpoints(Protocol):
    """The part of an ingress's endpoint list that the commands use."""

    @property
    def excluded_uids(self) -> set[str]:
        """The ids of the backends that an operator detached."""
        ...

    @property
    def listed_count(self) -> int:
        """The number of backends that discovery lists."""
        ...

    @property
    def excluded_count(self) -> int:
        """The number of listed backends that an operator detached."""
        ...


class ReservedBlocks(Protocol):
    """The part of the pool of blocks that the metrics show."""

    @property
    def reserved(self) -> int:
        """The number of reserved blocks."""
        ...

    @property
    def max_blocks(self) -> int:
        """The maximum number of blocks."""
        ...


class AdministeredIngress(Protocol):
    """The part of an ingress that the commands use."""

    @property
    def ready(self) -> bool:
        """Whether the ingress serves requests and has an endpoint list."""
        ...

    @property
    def unanswered(self) -> int:
        """The number of received requests without a response."""
        ...

    @property
    def config(self) -> IngressConfig:
        """The configuration of the ingress."""
        ...

    @property
    def traffic(self) -> Traffic:
        """The traffic counters of the ingress."""
        ...

    @property
    def endpoints(self) -> AdministeredEndpoints:
        """The endpoint list of the ingress."""
        ...

    @property
    def body_blocks(self) -> ReservedBlocks:
        """The blocks for bodies and values."""
        ...

    @property
    def client_connection_count(self) -> int:
        """The number of open client connections."""
        ...

    @property
    def clock(self) -> Clock:
        """The clock of the ingress."""
        ...

    @property
    def call_at(self) -> Callable[..., None]:
        """Calls a function at a time on the clock."""
        ...

    def set_drained(self, uid: str, drained: bool) -> bool:
        """Drain a backend, or let it serve again; return False if it is unknown."""
        ...


class FleetCommandHandler(Protocol):
    """Executes fleet commands; implemented by the maintenance service."""

    async def answer(self, command: Command) -> Response:
        """Execute a command; may wait until a majority of the fleet has agreed."""
        ...


@dataclass(slots=True)
class ReloadCounts:
    """The number of reloads at SIGHUP, by result."""

    applied: int = 0
    rejected: int = 0


class IngressAdmin:
    """Executes the commands of the management server on one ingress.

    Attributes:
        reloads: The counts of reloads, incremented by the daemon.
        fleet_handler: Executes fleet commands; None if the ingress is not part of a fleet.
        fleet_error: Why this ingress could not join its fleet; empty without an error.
    """

    def __init__(self, ingress: AdministeredIngress, detached_path: Path | None = None) -> None:
        """Detach the backends that were detached in the previous process.

        `detached_path` is the file that lists them; None for the default path.
        """
        self._ingress = ingress
        self._detached_path = detached_path or detached_backends_path()
        self.reloads = ReloadCounts()
        self.fleet_handler: FleetCommandHandler | None = None
        self.fleet_error = ""
        self._file_version = file_version(self._detached_path)
        self._ids_in_file = set(load_detached_backends(self._detached_path) or ())
        ingress.endpoints.excluded_uids.update(self._ids_in_file)

    @property
    def ready(self) -> bool:
        """Whether the ingress serves requests and has an endpoint list."""
        return self._ingress.ready

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus's text format."""
        ingress = self._ingress
        return render_metrics(
            MetricsSnapshot(
                classes=ingress.config.names.classes,
                outcomes=ingress.traffic.outcomes,
                tries=ingress.traffic.attempts_sent,
                active=ingress.unanswered,
                pool_size=ingress.endpoints.listed_count,
                pool_ejected=ingress.endpoints.excluded_count,
                config_applied=self.reloads.applied,
                config_rejected=self.reloads.rejected,
                drops=ingress.traffic.drops,
                memory_bytes=process_memory.resident_bytes(),
                memory_limit_bytes=int(ingress.config.memory_mb * BYTES_PER_MB),
                blocks_reserved=ingress.body_blocks.reserved,
                blocks_max=ingress.body_blocks.max_blocks,
                client_connections=ingress.client_connection_count,
            )
        )

    def detach(self, target: str) -> bool:
        """Drain a backend; return False if it is unknown."""
        return self._set_detached(target, True)

    def attach(self, target: str) -> bool:
        """Let a detached backend serve again; return False if it is unknown."""
        return self._set_detached(target, False)

    def follow_detached_backends(self) -> None:
        """Follow the changes that another process makes, from now on.

        During an upgrade two processes serve beside each other, and operators may call either.
        """
        next_ms = self._ingress.clock.now() + DETACHED_POLL_INTERVAL_MS
        self._ingress.call_at(next_ms, self.follow_detached_backends)
        self._apply_changes_of_other_process()

    def _apply_changes_of_other_process(self) -> None:
        version = file_version(self._detached_path)
        if version == self._file_version:
            return
        ids = load_detached_backends(self._detached_path)
        if ids is None:  # without a valid file all backends stay as they are
            return
        self._file_version = version
        ids_before, self._ids_in_file = self._ids_in_file, set(ids)
        for uid in sorted(self._ids_in_file - ids_before):
            if not self._ingress.set_drained(uid, True):  # it is not listed here yet
                self._ingress.endpoints.excluded_uids.add(uid)
            logger.info("backend {} detached by an operator at another process", uid)
        for uid in sorted(ids_before - self._ids_in_file):
            self._ingress.set_drained(uid, False)
            logger.info("backend {} attached by an operator at another process", uid)

    def _set_detached(self, target: str, detached: bool) -> bool:
        self._apply_changes_of_other_process()
        if not self._ingress.set_drained(target, detached):
            return False
        excluded_uids = self._ingress.endpoints.excluded_uids
        save_detached_backends(self._detached_path, excluded_uids)
        self._ids_in_file = set(excluded_uids)
        self._file_version = file_version(self._detached_path)
        logger.info("backend {} {} by an operator", target, "detached" if detached else "attached")
        return True

    async def fleet(self, command: Command) -> Response:
        """Execute a fleet command; without a fleet the response is 404."""
        from dockthread.admin.commands import NOT_FOUND, Response

        if self.fleet_handler is not None:
            return await self.fleet_handler.answer(command)
        if self.fleet_error:
            return Response(503, f"{self.fleet_error}\n".encode())
        return NOT_FOUND
