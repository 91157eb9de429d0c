"""The interface of the decision module: what a gateway is told, and what it answers.

Times are in seconds on one clock that only moves forward; lengths of time are in seconds too.
Workers and customers are plain integers that tell nothing but identity. Positions count from 0.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from dockthread.policy.route import Route as Route


class Effect(Enum):
    """What a request does to the world, and so how it may be repeated."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which workers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(Enum):
    """Whether a worker takes requests, finishes those it has, or is gone."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list of workers is to be read."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended. FULL, UNREACHABLE and NOT_SENT prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    # counted by outcome on every call: Enum's own, in Python, costs five times as much
    __hash__ = object.__hash__


NEVER_RAN = (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What requests of one class are worth, and by when. Times in seconds."""

    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL
    window: float = 0.0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A quota of each customer of the plan, over all gateways together. 0 stands for 'no such
    limit'.
    """

    rate: float = 0.0
    burst: float = 0.0
    most_out: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def counted(self, units: float) -> float:
        """What a request of these units counts as: one attempt, where there is no quota and only a
        cap on them.
        """
        return units if self.rate else 1.0


@dataclass(frozen=True, slots=True)
class Safety:
    """Figures of the rules. Times in seconds."""

    answer_slack: float = 0.0
    drain_grace: float = 0.0
    cold_share: float = 1.0
    cold_time: float = 0.0
    fall_multiple: float = 1.0
    fall_time: float = 1.0
    ask_within: float = 10.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs, each as a share of the worth asked for."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    late_fail: float = 0.0
    handshake: float = 0.0  # of each new connection to a worker


# of `Settings.conn_idle`, the latest at which a worker closes: when an ingress closes it itself
IDLE_PART = 0.5


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told before its first event. Times in seconds."""

    number: int
    gateways: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    tick: float = 0.001
    safety: Safety = Safety()
    prices: Prices = Prices()
    most_attempts: int = 1
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    most_advice: float = 0.0
    peer_intake: float = 60.0
    largest_units: float = 1.0
    settles_units: bool = False
    meter_period: float = 0.0
    may_count: bool = False
    ahead: float = 0.0  # of this gateway's clock: what makes it the one that all gateways read
    conn_idle: float = 15.0  # after which a worker closes an idle connection
    load_names: tuple[str, ...] = ()
    load_in_answers: bool = False
    must_ask_for_list: bool = False


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One worker as it is listed. `started`: s on the module's clock, 0 for long ago."""

    worker: int
    state: WorkerState
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """A list of workers, or changes of it."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request has been read. `time_left`: s until its client waits no more."""

    request: int
    request_class: int
    plan: int
    customer: int
    time_left: float
    units: float = 1.0
    spread: int = 1
    first_gateway: int = 0
    route: Route | None = None


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """The answer of an attempt has begun to pass on to the client."""

    request: int
    attempt: int
    worker: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """`finished`: the request has its final answer. `metered`: the customer's use by all gateways
    over the meter's last period as a share of its limit, or None. `load` follows
    Settings.load_names, or is empty.
    """

    request: int
    attempt: int
    worker: int
    outcome: Outcome
    finished: bool
    took: float
    true_units: float = 0.0
    metered: float | None = None
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has closed its connection."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a `SetTimer` has come."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The end of a `Probe`."""

    worker: int
    outcome: Outcome
    took: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerSaid:
    """A message of another gateway."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Counted:
    """The end of a `Count`. OK: `total` is what the number is now. FULL, UNREACHABLE and NOT_SENT:
    nothing was added. Anything else: the amount counts as added.
    """

    name: int
    outcome: Outcome
    total: float = 0.0


Event = (
    WorkersListed
    | RequestArrived
    | StreamBegun
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerSaid
    | Counted
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt; attempts are numbered 0, 1, 2... in the order sent. One
    whose first byte has not gone out at `begin_by`, as its connection comes up late, is not sent:
    it would repeat what may have run outside the window for repeats.
    """

    request: int
    worker: int
    timeout: float
    begin_by: float = inf


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, harmless to try again, best after `retry_after` (0: no advice).

    `reason`: what turned it away at its arrival (`quota`, `cap`, `pressed`, `ceiling`), or
    empty.
    """

    request: int
    retry_after: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise either way."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give up an attempt that is out."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Tell `TimerFired` at a time on the module's clock."""

    at: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a worker how it is, without a request."""

    worker: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Send bytes (at most 256) to one peer, or to every one where `peer` is None."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a number that the counter keeps for all gateways. It starts at 0 and is forgotten when
    the `life` of its first call is over. Each call is answered by one `Counted`.
    """

    name: int
    amount: float
    life: float


@dataclass(frozen=True, slots=True)
class AskForList:
    """Ask to be sent the list of workers and its changes."""


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Tell | Count | AskForList
