"""The lifecycle of an ingress: its phases and the transitions between them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from loguru import logger

from dockthread.errors import DockthreadError


class Phase(Enum):
    """A phase in the lifecycle of an ingress."""

    STARTING = "starting"  # configured, not yet listening
    SERVING = "serving"
    # Asked to stop, but the load balancer still sends new clients, so connections and requests are
    # accepted and served as before.
    LINGERING = "lingering"
    DRAINING = "draining"  # the listener is closed; requests in flight are completed
    STOPPED = "stopped"


TRANSITIONS = {
    Phase.STARTING: (Phase.SERVING, Phase.STOPPED),
    Phase.SERVING: (Phase.LINGERING, Phase.STOPPED),
    Phase.LINGERING: (Phase.DRAINING, Phase.STOPPED),
    Phase.DRAINING: (Phase.STOPPED,),
    Phase.STOPPED: (),
}


class LifecycleError(DockthreadError, RuntimeError):
    """Raised for a transition between lifecycle phases that is not allowed."""


class Lifecycle:
    """The current phase of an ingress.

    `on_phase_entered` is called with the name of each phase that is entered.
    """

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.on_phase_entered: Callable[[str], None] = lambda _name: None

    def enter(self, phase: Phase) -> None:
        """Enter a phase.

        Raises:
            LifecycleError: `TRANSITIONS` does not allow the transition from the current phase.
        """
        if phase not in TRANSITIONS[self.phase]:
            raise LifecycleError(f"no transition from {self.phase.value} to {phase.value}")
        logger.bind(phase=phase.value).info("{} -> {}", self.phase.value, phase.value)
        self.phase = phase
        self.on_phase_entered(phase.value)

    @property
    def ready(self) -> bool:
        """Whether requests are served."""
        return self.phase in (Phase.SERVING, Phase.LINGERING)

    @property
    def draining(self) -> bool:
        """Whether no new requests are accepted."""
        return self.phase in (Phase.DRAINING, Phase.STOPPED)
