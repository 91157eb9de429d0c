"""Reads the platform's JSON: the ingress's configuration, which contains the policy settings.

The simulator's adapter reads policy settings that are not part of a configuration. Times are in
microseconds in the JSON, in seconds in the policy engine, and in milliseconds in the ingress.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from dockthread.config.address import Address
from dockthread.config.ingress_config import IngressConfig, Names, PeerAddresses
from dockthread.config.required_keys import check_configuration_keys, check_settings_keys
from dockthread.errors import SettingsError
from dockthread.policy import (
    CostWeights,
    DeduplicationScope,
    Effect,
    Plan,
    PolicySettings,
    RequestClass,
    SafetyLimits,
)

# In microseconds, the JSON's unit of time.
SECOND = 1_000_000
MILLISECOND = 1_000

# A decoded JSON object, whose values have not been validated.
JsonObject = dict[str, Any]

# An ingress needs this many sockets for its listeners, discovery and a few clients and backends.
MIN_SOCKETS = 64

EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}


def read_config(environ: Mapping[str, str]) -> IngressConfig:
    """Read the configuration file that `NODE_CONFIG` names.

    `NODE_NAME`, `NODE_LISTEN`, `NODE_DISCOVERY` and `NODE_MANAGEMENT` override the file's values.

    Raises:
        SettingsError: The file does not exist or is not valid.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise SettingsError("is not set; it must name the configuration file", key="NODE_CONFIG")
    raw = _read_json(path)
    try:
        return _ingress_config(raw, environ)
    except SettingsError as error:
        raise error.in_file(path) from error
    except KeyError as error:
        key = error.args[0]
        raise SettingsError(
            "is missing", file=path, key=str(key), text=f"{path}: {key!r} is missing"
        ) from error
    except (ValueError, TypeError, AttributeError, ArithmeticError) as error:
        raise SettingsError(str(error), file=path) from error


def reread_config(environ: Mapping[str, str]) -> IngressConfig:
    """Read the configuration again after SIGHUP.

    `NODE_DISCOVERY` is ignored: the environment cannot change while the process runs, so only the
    file can have a new address of discovery.

    Raises:
        SettingsError: Like `read_config`.
    """
    return read_config({name: value for name, value in environ.items() if name != "NODE_DISCOVERY"})


def read_policy_settings_file(path: str) -> tuple[PolicySettings, Names]:
    """Read policy settings and names from a file, to validate an operator's file against them.

    The file contains the platform's configuration, or only the value of its key `settings`.

    Raises:
        SettingsError: The file cannot be read or contains no valid settings.
    """
    raw = _read_json(path)
    try:
        settings = raw.get("settings", raw)
        return _policy_settings(settings), _names(settings)
    except SettingsError as error:
        raise error.in_file(path) from error
    except (ValueError, KeyError, TypeError, AttributeError, ArithmeticError) as error:
        raise SettingsError(f"cannot be read: {error!r}", file=path, key="settings") from error


def parse_policy_settings(text: bytes) -> PolicySettings:
    """Parse policy settings from JSON text; unknown keys are ignored.

    Raises:
        SettingsError: The text contains no valid settings.
    """
    try:
        return _policy_settings(json.loads(text))
    except (ValueError, KeyError, TypeError, AttributeError, ArithmeticError) as error:
        raise SettingsError(f"cannot be read: {error!r}", key="settings") from error


def _read_json(path: str) -> Any:
    try:
        return json.loads(Path(path).read_bytes())
    except OSError as error:
        raise _unreadable(path, error) from error
    except (ValueError, RecursionError) as error:
        reason = f"is not JSON: {error}"
        raise SettingsError(reason, file=path, text=f"{path} {reason}") from error


def _unreadable(path: str, error: OSError) -> SettingsError:
    return SettingsError(
        f"cannot be read: {error.strerror}", file=path, text=f"cannot read {path}: {error.strerror}"
    )


def _ingress_config(raw: JsonObject, environ: Mapping[str, str]) -> IngressConfig:
    check_configuration_keys(raw)
    settings = raw["settings"]
    limits = settings["Limits"]
    domain = settings["Domain"]
    process_limits = raw["limits"]
    return IngressConfig(
        max_sockets=_max_sockets(process_limits),
        name=environ.get("NODE_NAME") or raw["name"],
        listen=Address.parse(environ.get("NODE_LISTEN") or raw["listen"]),
        discovery=Address.parse(environ.get("NODE_DISCOVERY") or raw["discovery"]),
        seed=int(str(raw["seed"]), 16),
        known_endpoints=raw["known"],
        policy_settings=_policy_settings(settings),
        names=_names(settings),
        memory_mb=float(process_limits["memory_mb"]),
        max_request_units=int(domain["Largest"]),
        counter=_optional_address(raw.get("counter")),
        peers=_peer_addresses(raw, settings["ReplicasOfMe"]),
        counter_timeout_ms=domain["CounterTimeout"] / MILLISECOND,
        connection_idle_ms=limits["ConnIdle"] / MILLISECOND,
        connect_timeout_ms=limits["ConnectTimeout"] / MILLISECOND,
        max_open_requests=limits["MaxOpen"],
        inherited_listener_fd=_optional_int(environ.get("NODE_INHERITED_FD")),
        management=_optional_address(environ.get("NODE_MANAGEMENT") or raw.get("management")),
    )


def _max_sockets(process_limits: JsonObject) -> int:
    sockets: int = process_limits["sockets"]
    if sockets < MIN_SOCKETS:
        reason = f"is {sockets}, but an ingress needs at least {MIN_SOCKETS}"
        raise SettingsError(reason, key="limits.sockets")
    return sockets


def _optional_address(text: str | None) -> Address | None:
    return Address.parse(text) if text else None


def _optional_int(text: str | None) -> int | None:
    return int(text) if text else None


def _peer_addresses(raw: JsonObject, ingress_count: int) -> PeerAddresses | None:
    listen = raw.get("peer_listen")
    peers = raw.get("peers")
    if not listen or not peers:
        return None
    if not isinstance(peers, list) or len(peers) != ingress_count:
        remedy = f"must be a list of {ingress_count} addresses, as settings.ReplicasOfMe says"
        raise SettingsError(f"is {peers!r}", key="peers", remedy=remedy)
    broadcast = _optional_address(raw.get("peers_all"))
    return PeerAddresses(Address.parse(listen), tuple(map(Address.parse, peers)), broadcast)


def _names(settings: JsonObject) -> Names:
    return Names(
        classes=tuple(each["Name"] for each in settings["Classes"]),
        plans=tuple(each["Name"] for each in settings["Packages"]),
        zones=tuple(settings["Azs"]),
        kinds=tuple(settings["Models"]),
    )


def _policy_settings(raw: JsonObject) -> PolicySettings:
    check_settings_keys(raw)
    limits = raw["Limits"]
    domain = raw["Domain"]
    load_reports = raw["Stats"]
    _check_ranges(raw["Classes"], limits)
    return PolicySettings(
        classes=tuple(map(_request_class, raw["Classes"])),
        plans=tuple(map(_plan, raw["Packages"])),
        ingress_number=raw["MyNumber"],
        ingress_count=raw["ReplicasOfMe"],
        zone=raw["Zone"],
        clock_tick=_seconds(raw["Period"]),
        safety=_safety_limits(raw["Safety"]),
        costs=_cost_weights(raw["Costs"]),
        max_attempts=limits["SendCap"],
        may_hedge=limits["SecondCopies"],
        may_cancel=limits["Cancelling"],
        may_check_health=limits["Probes"],
        may_gossip=limits["Peers"],
        max_retry_after=_seconds(limits["MaxRetryAfter"]),
        gossip_intake_rate=domain["PeerInPerS"],
        max_request_units=domain["Largest"],
        charges_actual_units=domain["TruedUp"],
        usage_report_period=_seconds(domain["Metering"]),
        may_use_counter=domain["MayCount"],
        connection_idle_time=_seconds(limits["ConnIdle"]),
        load_report_fields=tuple(load_reports["Names"]),
        has_load_reports=load_reports["Source"] == "inline",
        must_poll_endpoints=raw["Discovery"] == "subscribe",
    )


def _check_ranges(classes: list[JsonObject], limits: JsonObject) -> None:
    """Reject values with which the policy engine would compute meaningless results."""
    for number, request_class in enumerate(classes):
        for key in ("Aim", "HardLimit"):
            if not request_class[key] > 0:
                raise SettingsError(
                    f"is {request_class[key]!r}",
                    key=f"settings.Classes[{number}].{key}",
                    remedy="must be a time above 0",
                )
    if not limits["SendCap"] > 0:
        raise SettingsError(
            f"is {limits['SendCap']!r}",
            key="settings.Limits.SendCap",
            remedy="must be at least 1 attempt",
        )
    if not classes:
        raise SettingsError(
            "is empty", key="settings.Classes", remedy="must have at least one class"
        )


def _request_class(raw: JsonObject) -> RequestClass:
    return RequestClass(
        latency_objective=_seconds(raw["Aim"]),
        deadline=_seconds(raw["HardLimit"]),
        priority_weight=raw["Points"],
        late_weight=raw["LateShare"],
        effect=EFFECTS[raw["Effect"]],
        # Only a keyed class needs these two keys; the other effects do not use them.
        deduplication_scope=DeduplicationScope(raw.get("Group", "all")),
        deduplication_window=_seconds(raw.get("Window", 0)),
        is_stream=raw["Stream"],
    )


def _plan(raw: JsonObject) -> Plan:
    return Plan(
        rate=raw["Refill"],
        burst=raw["PeakUnits"],
        max_in_flight=raw["MaxOut"],
        priority_multiplier=raw["WorthFactor"],
        over_quota_weight=raw["OverWorth"],
        over_quota_cost=raw["ExcessCost"],
        ceiling_rate=raw["CeilingRate"],
        ceiling_burst=raw["CapDepth"],
        ceiling_slack=raw["Tolerance"],
    )


def _safety_limits(raw: JsonObject) -> SafetyLimits:
    return SafetyLimits(
        answer_slack=_seconds(raw["AnswerSlack"]),
        drain_grace=_seconds(raw["StopSendingWithin"]),
        cold_capacity=raw["ColdShare"],
        warm_up_time=_seconds(raw["Cold"]),
        overload_multiple=raw["FallMultiple"],
        overload_time=_seconds(raw["TipAfter"]),
        poll_interval=_seconds(raw["AskWithin"]),
    )


def _cost_weights(raw: JsonObject) -> CostWeights:
    return CostWeights(
        cross_zone=raw.get("CrossZone", 0.0),
        waste=raw.get("Waste", 0.0),
        health_check=raw.get("Probe", 0.0),
        gossip=raw.get("Peer", 0.0),
        late_failure=raw.get("LateFail", 0.0),
        handshake=raw.get("Handshake", 0.0),
    )


def _seconds(microseconds: float) -> float:
    return microseconds / SECOND
