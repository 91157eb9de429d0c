"""The keys that the platform's JSON must have.

A file that lacks one of them is incomplete, so it is rejected as a whole: a default would be the
loosest value of some rule, and requests could then be repeated where the deployment forbids it.
Unknown keys are ignored. These keys may be absent:

- of a request class, `AimStretch`, and unless its effect is `token`, `Group` and `Window`;
- all keys of `Costs`: a cost that is not listed is not charged;
- of the configuration, `counter`, `management`, `peer_listen`, `peers` and `peers_all`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from dockthread.errors import SettingsError

KEYED_EFFECT = "token"

CONFIGURATION_KEYS = ("seed", "limits", "known", "settings")
PROCESS_LIMIT_KEYS = ("cores", "memory_mb", "sockets")

SETTINGS_KEYS = (
    "Azs",
    "Classes",
    "ClientHabits",
    "Costs",
    "Discovery",
    "Domain",
    "Family",
    "Goal",
    "Limits",
    "Models",
    "MyNumber",
    "Packages",
    "Period",
    "ReplicasOfMe",
    "Safety",
    "Stage",
    "Stats",
    "Tiers",
    "WeightKind",
    "Zone",
)
# The objects among the settings, by the key of each.
SECTION_KEYS = {
    "ClientHabits": ("MarksRetry",),
    "Costs": (),
    "Domain": (
        "CounterPrice",
        "CounterTimeout",
        "Largest",
        "MayCount",
        "Metering",
        "PeerInPerS",
        "TruedUp",
    ),
    "Goal": ("Whole", "WorstClass", "WorstTenant", "WorstWindow"),
    "Limits": (
        "Cancelling",
        "ConnIdle",
        "ConnectTimeout",
        "CpuUsPerRequest",
        "CpuUsPerS",
        "MaxOpen",
        "MaxRetryAfter",
        "Multiplex",
        "Peers",
        "Probes",
        "RetryAfter",
        "SecondCopies",
        "SendCap",
    ),
    "Safety": (
        "AnswerSlack",
        "AskWithin",
        "Cold",
        "ColdShare",
        "FallMultiple",
        "StopSendingWithin",
        "TipAfter",
    ),
    "Stats": ("Names", "Source"),
}
CLASS_KEYS = ("Aim", "Effect", "HardLimit", "LateShare", "Name", "Points", "Stream")
KEYED_CLASS_KEYS = ("Group", "Window")
PLAN_KEYS = (
    "CapDepth",
    "CeilingRate",
    "ExcessCost",
    "MaxOut",
    "Name",
    "OverWorth",
    "PeakUnits",
    "Refill",
    "Tolerance",
    "WorthFactor",
)


def check_configuration_keys(raw: Any) -> None:
    """Check that a configuration and its settings have all required keys.

    Raises:
        SettingsError: A key is missing; the error has its path.
    """
    _check_object(raw, "", CONFIGURATION_KEYS)
    _check_object(raw["limits"], "limits", PROCESS_LIMIT_KEYS)
    check_settings_keys(raw["settings"])


def check_settings_keys(settings: Any) -> None:
    """Check that the policy settings have all required keys.

    Raises:
        SettingsError: A key is missing; the error has its path.
    """
    _check_object(settings, "settings", SETTINGS_KEYS)
    for section, keys in SECTION_KEYS.items():
        _check_object(settings[section], f"settings.{section}", keys)
    for path, request_class in _entries(settings, "Classes"):
        _check_object(request_class, path, CLASS_KEYS)
        if request_class["Effect"] == KEYED_EFFECT:
            _check_object(request_class, path, KEYED_CLASS_KEYS)
    for path, plan in _entries(settings, "Packages"):
        _check_object(plan, path, PLAN_KEYS)


def _entries(settings: dict[str, Any], key: str) -> Iterable[tuple[str, Any]]:
    """Return the path and the value of each entry of a list among the settings."""
    path = f"settings.{key}"
    entries = settings[key]
    if not isinstance(entries, list):
        raise SettingsError("is not a list", key=path)
    return [(f"{path}[{number}]", entry) for number, entry in enumerate(entries)]


def _check_object(value: Any, path: str, required_keys: Iterable[str]) -> None:
    if not isinstance(value, dict):
        raise SettingsError("is not an object", key=path)
    for key in required_keys:
        if key not in value:
            raise SettingsError("is missing", key=f"{path}.{key}" if path else key)
