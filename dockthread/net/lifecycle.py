"""The phases of an ingress, from start to exit, as the named states of one object."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from loguru import logger


class Phase(Enum):
    """Where an ingress stands in its life."""

    STARTING = "starting"  # configured, not yet listening
    SERVING = "serving"
    # told to stop: the front still sends, so all is taken and served as before
    LINGERING = "lingering"
    DRAINING = "draining"  # the listener is closed; what was taken is answered
    STOPPED = "stopped"


TRANSITIONS = {
    Phase.STARTING: (Phase.SERVING, Phase.STOPPED),
    Phase.SERVING: (Phase.LINGERING, Phase.STOPPED),
    Phase.LINGERING: (Phase.DRAINING, Phase.STOPPED),
    Phase.DRAINING: (Phase.STOPPED,),
    Phase.STOPPED: (),
}


class Lifecycle:
    """The phase, and which may follow it. `entered` is told each one."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.on_phase_entered: Callable[[str], None] = lambda name: None

    def enter(self, phase: Phase) -> None:
        """Go on to a phase. Raises RuntimeError where it may not follow."""
        if phase not in TRANSITIONS[self.phase]:
            raise RuntimeError(f"no way from {self.phase.value} to {phase.value}")
        logger.bind(phase=phase.value).info("{} -> {}", self.phase.value, phase.value)
        self.phase = phase
        self.on_phase_entered(phase.value)

    @property
    def ready(self) -> bool:
        """Whether requests are served."""
        return self.phase in (Phase.SERVING, Phase.LINGERING)

    @property
    def draining(self) -> bool:
        """Whether no new request is taken."""
        return self.phase in (Phase.DRAINING, Phase.STOPPED)
