"""What a scale run is asked to do: sizes, rates, faults and bounds. Times in seconds unless a name
says otherwise.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any, Final

from dockthread.errors import DockthreadError

FAULTS: Final = ("none", "restart-wave", "zone", "cut")
ZONES: Final = 14
REGIONS: Final = 4
HOSTED: Final = 200  # hollow ingresses of one process, unless the run says otherwise
MOST_HOSTS: Final = 8
# list entries held by all hollow ingresses together: some 11 GB at 2.5 KB each
MOST_ENTRIES: Final = 4_500_000
MOST_ROUTES: Final = 1_000_000  # held by all ingresses together
RESTARTED_PART: Final = 0.1  # of the ingresses, by a restart wave
CUT_PART: Final = 0.25  # of the ingresses, by a cut
# by the fault `zone`: the first ingresses, which may be under load, lie elsewhere
LOST_ZONE: Final = ZONES - 1


class PlanError(DockthreadError, ValueError):
    """A run that cannot be played as asked."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes a second of the list of backends, and of the configuration."""

    list_rate: float
    configuration_rate: float


def parse_changes(text: str) -> Changes:
    """`5` for both, or `list=5,config=0.5`. Raises PlanError."""
    rates = {"list": 0.0, "config": 0.0}
    try:
        if "=" not in text:
            rates = dict.fromkeys(rates, float(text))
        else:
            for part in text.split(","):
                name, _, rate = part.strip().partition("=")
                if name not in rates:
                    raise ValueError(name)
                rates[name] = float(rate)
        if not all(0 <= rate <= 10_000 for rate in rates.values()):
            raise ValueError(text)
    except ValueError as error:
        raise PlanError(
            f"{text!r} is no rate of changes: write 5, or list=5,config=0.5, up to 10000"
        ) from error
    return Changes(rates["list"], rates["config"])


@dataclass(frozen=True, slots=True)
class Plan:
    """One run. `hosts`: processes that hold the hollow ingresses; 0 for as many as their number
    asks for.
    """

    real: int
    hollow: int
    backends: int
    services: int
    changes: Changes
    seconds: float
    seed: int = 1
    fault: str = "none"
    rate: float = 100.0  # requests a second to each real ingress
    hosts: int = 0
    plant: str = ""
    routes: int = 100  # published before the windows, where configuration changes
    distributors: int = 2
    voters: int = 3

    def check(self) -> None:
        """Raises PlanError where the machine could not hold the run."""
        if self.fault not in FAULTS:
            raise PlanError(f"{self.fault!r} is none of {', '.join(FAULTS)}")
        if self.real + self.hollow < 1:
            raise PlanError("there is no ingress: ask for one real or hollow at least")
        if (held := self.ingresses * self.routes * self.distributes) > MOST_ROUTES:
            raise PlanError(
                f"{self.ingresses} ingresses hold {held} routes, over {MOST_ROUTES}: ask for fewer"
            )
        if (entries := self.ingresses * self.backends) > MOST_ENTRIES:
            raise PlanError(
                f"{self.ingresses} ingresses before {self.backends} backends hold {entries} entries,"
                f" over {MOST_ENTRIES}: vary one while the other is small"
            )

    @property
    def distributes(self) -> bool:
        """Whether there is a distribution of configuration."""
        return self.changes.configuration_rate > 0

    @property
    def ingresses(self) -> int:
        """Real and hollow ones."""
        return self.real + self.hollow

    @property
    def host_count(self) -> int:
        """Processes that hold the hollow ingresses."""
        return self.hosts or min(MOST_HOSTS, -(-self.hollow // HOSTED))

    def shares(self) -> list[list[int]]:
        """Numbers of the hollow ingresses by process; the real ones come before them."""
        numbers = range(self.real, self.ingresses)
        return [list(numbers[n :: self.host_count]) for n in range(self.host_count)]

    def in_cut(self, number: int) -> bool:
        """Whether an ingress lies in the part that a cut takes."""
        return self.fault == "cut" and number % (every := round(1 / CUT_PART)) == every - 1

    def restarted(self, number: int) -> bool:
        """Whether the fault restarts an ingress: one in ten, or those of the zone."""
        if self.fault == "restart-wave":
            return number % (every := round(1 / RESTARTED_PART)) == every - 1
        return self.fault == "zone" and number % ZONES == LOST_ZONE

    def told(self) -> dict[str, Any]:
        """For another process."""
        return asdict(self)


def plan_of(told: dict[str, Any]) -> Plan:
    """A plan from another process's words."""
    return Plan(**{**told, "changes": Changes(**told["changes"])})


def zone_name(number: int) -> str:
    """The zone in which a backend or an ingress lies, by its number."""
    return f"zone-{number % ZONES}"


def settings(gateways: int) -> dict[str, Any]:
    """The platform's settings of every ingress of a run, in the platform's words."""
    return {
        "MyNumber": 0,
        "ReplicasOfMe": gateways,
        "Classes": [
            {
                "Name": "seat-status",
                "Aim": 1_500_000,
                "HardLimit": 4_000_000,
                "Effect": "pure",
                "Points": 1.0,
            },
            {
                "Name": "seat-checkout",
                "Aim": 3_000_000,
                "HardLimit": 12_000_000,
                "Effect": "side_effect",
            },
        ],
        "Packages": [
            {"Name": name, "Refill": 1e6, "PeakUnits": 1e6} for name in ("klein", "mittel", "gross")
        ],
        "Azs": [zone_name(n) for n in range(ZONES)],
        "Models": ["type-a"],
        "Period": 4000,
        "Domain": {"Largest": 4},
        "Safety": {"StopSendingWithin": 1_000_000},
        "Limits": {
            "SendCap": 4,
            "MaxRetryAfter": 500_000,
            "ConnectTimeout": 250_000,
            "ConnIdle": 15_000_000,
        },
        "Stats": {"Names": ["rif", "rate", "q"], "Source": "inline"},
    }
