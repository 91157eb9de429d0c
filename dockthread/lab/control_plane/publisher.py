"""A simulated publisher: asks for changes, and asks again with the same token until it is told."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from dockthread.control_plane.messages import PublishRequest, PublishResponse
from dockthread.control_plane.publish_state_machine import ANY_REVISION, OUTCOME_UNKNOWN
from dockthread.lab.control_plane.checker import Asked
from dockthread.lab.control_plane.ingress import BAD

if TYPE_CHECKING:
    from dockthread.lab.control_plane.simulation import World

AGAIN: Final = 300.0  # ms without an answer, give or take half
LOST: Final = 0.1  # chance that an answer gets lost
KINDS: Final = ("route", "tenant")
NAMES: Final = 20  # of each kind


class Publisher:
    """Draws its changes from the world's seed."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._count = 0
        self.pace = 200.0  # ms between changes, give or take half
        self.going = True

    def run(self) -> None:
        if self.going:
            self._world.clock.after(self.pace * self._world.rng.uniform(0.5, 1.5), self.run)
            self.change()

    def change(self) -> None:
        rng = self._world.rng
        self._count += 1
        kind, name = rng.choice(KINDS), f"n{rng.randrange(NAMES)}"
        body: bytes | None = b"%d " % self._count + b"x" * rng.randrange(60)
        drawn = rng.random()
        if drawn < 0.15:
            body = None
        elif drawn < 0.22:
            body = BAD + b" %d" % self._count
        expected = self._known(kind, name) if rng.random() < 0.2 else ANY_REVISION
        token = f"t{self._count}"
        self._world.checker.ask(token, Asked(kind, name, body, expected))
        self._ask(PublishRequest(token, kind, name, body, expected))

    def _known(self, kind: str, name: str) -> int:
        """What the publisher believes to be there."""
        accepted = [
            one for one in self._world.checker.asked.values() if one.revision and one.kind == kind
        ]
        last = max(
            (one for one in accepted if one.name == name),
            key=lambda one: one.revision or 0,
            default=None,
        )
        return 0 if last is None or last.body is None else last.revision or 0

    def _ask(self, message: PublishRequest) -> None:
        asked = self._world.checker.asked.get(message.token)
        if asked is None or asked.revision is not None:
            return
        world, rng = self._world, self._world.rng
        voter = rng.choice(world.voters)
        world.clock.after(AGAIN * rng.uniform(0.5, 1.5), self._ask, message)
        if voter.up and not voter.stalled and voter.zone not in world.network.dark_zones:
            world.clock.after(
                rng.uniform(1.0, 400.0 if rng.random() < 0.1 else 10.0),
                self._arrive,
                voter.name,
                message,
            )

    def _arrive(self, voter: str, message: PublishRequest) -> None:
        node = next(one for one in self._world.voters if one.name == voter)
        if node.up and not node.stalled:
            node.publish(message, self._told)

    def _told(self, answer: PublishResponse) -> None:
        rng, clock = self._world.rng, self._world.clock
        if answer.revision != OUTCOME_UNKNOWN and rng.random() >= LOST:
            clock.after(rng.uniform(1.0, 10.0), self._heard, answer, self._world.histories)

    def _heard(self, answer: PublishResponse, history: int) -> None:
        if history != self._world.histories:
            return
        self._world.note(f"{answer.token} is told {answer.revision} {answer.reason}")
        self._world.checker.told(self._world.clock.now, answer.token, answer.revision)
