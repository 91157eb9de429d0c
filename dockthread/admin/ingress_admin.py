"""Carries out the commands of the management server at one ingress."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from dockthread.admin.detached_backends import (
    detached_backends_path,
    load_detached_backends,
    save_detached_backends,
)
from dockthread.admin.prometheus import MetricsSnapshot, render_metrics

if TYPE_CHECKING:
    from dockthread.admin.commands import Command, Response
    from dockthread.config.ingress_config import IngressConfig
    from dockthread.observer import Traffic


class AdministeredEndpoints(Protocol):
    """What the commands need of an ingress's endpoint list."""

    @property
    def excluded_uids(self) -> set[str]:
        """The ids of the backends that were detached by hand."""
        ...

    @property
    def listed_count(self) -> int:
        """How many backends discovery lists."""
        ...

    @property
    def excluded_count(self) -> int:
        """How many of them are left out now."""
        ...


class AdministeredIngress(Protocol):
    """What the commands need of an ingress."""

    @property
    def ready(self) -> bool:
        """Whether it serves and knows a backend."""
        ...

    @property
    def unanswered(self) -> int:
        """How many requests were received and have no response yet."""
        ...

    @property
    def config(self) -> IngressConfig:
        """Its configuration."""
        ...

    @property
    def traffic(self) -> Traffic:
        """Its counts."""
        ...

    @property
    def endpoints(self) -> AdministeredEndpoints:
        """Its endpoint list."""
        ...

    def set_drained(self, uid: str, drained: bool) -> bool:
        """Drain a backend, or let it serve again; return False where it is not known."""
        ...


class FleetCommandHandler(Protocol):
    """What answers commands on the fleet: the maintenance service, where there is a fleet."""

    async def answer(self, command: Command) -> Response:
        """Carry a command out; may wait until a majority of the fleet has agreed."""
        ...


@dataclass(slots=True)
class ReloadCounts:
    """How often the files were read again at SIGHUP, by result."""

    applied: int = 0
    rejected: int = 0


class IngressAdmin:
    """The management server's view of one ingress.

    Attributes:
        reloads: The counts of reloads; whoever reloads adds to them.
        fleet_handler: What answers commands on the fleet; None where there is no fleet.
        fleet_error: Why this ingress takes no part in its fleet; empty where it does.
    """

    def __init__(self, ingress: AdministeredIngress, detached_path: Path | None = None) -> None:
        """Detach the backends that the last process left detached.

        `detached_path` replaces the file in which they are kept.
        """
        self._ingress = ingress
        self._detached_path = detached_path or detached_backends_path()
        self.reloads = ReloadCounts()
        self.fleet_handler: FleetCommandHandler | None = None
        self.fleet_error = ""
        ingress.endpoints.excluded_uids.update(load_detached_backends(self._detached_path))

    @property
    def ready(self) -> bool:
        """Whether the ingress serves and knows a backend."""
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
            )
        )

    def detach(self, target: str) -> bool:
        """Drain a backend by hand; return False where it is not known."""
        return self._set_detached(target, True)

    def attach(self, target: str) -> bool:
        """Let a detached backend serve again; return False where it is not known."""
        return self._set_detached(target, False)

    def _set_detached(self, target: str, detached: bool) -> bool:
        if not self._ingress.set_drained(target, detached):
            return False
        save_detached_backends(self._detached_path, self._ingress.endpoints.excluded_uids)
        logger.info("backend {} {} by hand", target, "detached" if detached else "attached")
        return True

    async def fleet(self, command: Command) -> Response:
        """Carry out a command on the fleet; without a fleet there is no such call."""
        from dockthread.admin.commands import NOT_FOUND, Response

        if self.fleet_handler is not None:
            return await self.fleet_handler.answer(command)
        if self.fleet_error:
            return Response(503, f"{self.fleet_error}\n".encode())
        return NOT_FOUND
