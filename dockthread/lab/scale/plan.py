"""The parameters of a scale run: sizes, rates and faults.

Times are in seconds unless a name says otherwise.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any, Final

from dockthread.errors import DockthreadError
from dockthread.lab.site_settings import site_settings

FAULTS: Final = ("none", "restart-wave", "zone", "cut")
ZONES: Final = 14
REGIONS: Final = 4
INGRESSES_PER_HOST: Final = 200  # Default number of hollow ingresses per process.
MAX_HOSTS: Final = 8
# Maximum number of list entries held by all ingresses together: about 11 GB at 2.5 KB each.
MAX_ENTRIES: Final = 4_500_000
MAX_ROUTES: Final = 1_000_000  # Maximum number of routes held by all ingresses together.
RESTARTED_SHARE: Final = 0.1  # Share of the ingresses that a restart wave restarts.
CUT_SHARE: Final = 0.25  # Share of the ingresses that a cut affects.
# The zone that the fault `zone` removes. It is the last one, because the first ingresses may be
# under load.
LOST_ZONE: Final = ZONES - 1


class PlanError(DockthreadError, ValueError):
    """The run cannot be executed as requested."""


@dataclass(frozen=True, slots=True)
class ChangeRates:
    """Changes per second of the backend list and of the configuration."""

    list_rate: float
    configuration_rate: float


def parse_change_rates(text: str) -> ChangeRates:
    """Parse `5` for both rates, or `list=5,config=0.5`. Raises PlanError."""
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
            f"{text!r} is not a rate of changes: write 5, or list=5,config=0.5, up to 10000"
        ) from error
    return ChangeRates(rates["list"], rates["config"])


@dataclass(frozen=True, slots=True)
class RunPlan:
    """The parameters of one run.

    `hosts` is the number of processes that run the hollow ingresses; 0 derives it from their
    number.
    """

    real: int
    hollow: int
    backends: int
    services: int
    changes: ChangeRates
    seconds: float
    seed: int = 1
    fault: str = "none"
    rate: float = 100.0  # Requests per second to each real ingress.
    hosts: int = 0
    plant: str = ""  # Name of the seeded defect; empty for none.
    routes: int = 100  # Routes published before the first window if the configuration changes.
    distributors: int = 2
    voters: int = 3

    def check(self) -> None:
        """Raise PlanError if the parameters are invalid or the run is too large for a machine."""
        if self.fault not in FAULTS:
            raise PlanError(f"unknown fault {self.fault!r}: choose one of {', '.join(FAULTS)}")
        if self.real + self.hollow < 1:
            raise PlanError("the run has no ingress: ask for at least one, real or hollow")
        if (
            held_routes := self.ingresses * self.routes * self.distributes_configuration
        ) > MAX_ROUTES:
            raise PlanError(
                f"{self.ingresses} ingresses hold {held_routes} routes, more than {MAX_ROUTES}: ask for fewer"
            )
        if (held_entries := self.ingresses * self.backends) > MAX_ENTRIES:
            raise PlanError(
                f"{self.ingresses} ingresses with {self.backends} backends hold {held_entries} entries,"
                f" more than {MAX_ENTRIES}: keep one number small while the other varies"
            )

    @property
    def distributes_configuration(self) -> bool:
        """Whether the run distributes configuration."""
        return self.changes.configuration_rate > 0

    @property
    def ingresses(self) -> int:
        """The number of real and hollow ingresses."""
        return self.real + self.hollow

    @property
    def host_count(self) -> int:
        """The number of processes that run the hollow ingresses."""
        return self.hosts or min(MAX_HOSTS, -(-self.hollow // INGRESSES_PER_HOST))

    def host_assignments(self) -> list[list[int]]:
        """Return the ingress numbers for each host process. Real ingresses have the lowest numbers."""
        numbers = range(self.real, self.ingresses)
        return [list(numbers[host :: self.host_count]) for host in range(self.host_count)]

    def is_affected_by_cut(self, number: int) -> bool:
        """Return whether a cut affects an ingress."""
        return self.fault == "cut" and number % (interval := round(1 / CUT_SHARE)) == interval - 1

    def is_restarted(self, number: int) -> bool:
        """Return whether the fault restarts an ingress: one in ten, or all in the lost zone."""
        if self.fault == "restart-wave":
            return number % (interval := round(1 / RESTARTED_SHARE)) == interval - 1
        return self.fault == "zone" and number % ZONES == LOST_ZONE

    def to_json(self) -> dict[str, Any]:
        """Return the plan as plain data for another process."""
        return asdict(self)


def plan_from_json(data: dict[str, Any]) -> RunPlan:
    """Restore a plan from the plain data sent by another process."""
    return RunPlan(**{**data, "changes": ChangeRates(**data["changes"])})


def zone_name(number: int) -> str:
    """Return the zone of a backend or an ingress by its number."""
    return f"zone-{number % ZONES}"


def platform_settings(ingresses: int) -> dict[str, Any]:
    """Return the platform's settings for every ingress of a run."""
    status = {"Name": "seat-status", "Aim": 1_500_000, "HardLimit": 4_000_000, "Effect": "pure"}
    checkout = {
        "Name": "seat-checkout",
        "Aim": 3_000_000,
        "HardLimit": 12_000_000,
        "Effect": "side_effect",
    }
    plans = [
        {"Name": name, "Refill": 1e6, "PeakUnits": 1e6} for name in ("klein", "mittel", "gross")
    ]
    return site_settings(
        [status, checkout],
        plans,
        ReplicasOfMe=ingresses,
        Azs=[zone_name(number) for number in range(ZONES)],
        Domain={"Largest": 4},
        Safety={"StopSendingWithin": 1_000_000},
        Limits={"SendCap": 4, "MaxRetryAfter": 500_000},
        Stats={"Names": ["rif", "rate", "q"], "Source": "inline"},
    )
