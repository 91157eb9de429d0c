"""Reads what an operator sets: the settings, for adapter and ingress alike, and the ingress's
configuration.

Settings come in microseconds. The module is given seconds; what the ingress itself uses is in
milliseconds.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from dockthread.config.address import Address
from dockthread.config.ingress_config import Config, Names, PeerAddresses
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

SECOND, MILLISECOND = 1_000_000, 1_000
EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}


def read_config(environ: Mapping[str, str]) -> Config:
    """The configuration at `NODE_CONFIG`; `NODE_NAME`, `NODE_LISTEN`, `NODE_DISCOVERY`,
    `NODE_MANAGEMENT` override its own.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise SettingsError("NODE_CONFIG is not set: it names the configuration file")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path} is not JSON: {error}") from error
    try:
        return _config(raw, environ)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
    except KeyError as error:
        raise SettingsError(f"{path}: {error.args[0]!r} is missing") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError(f"{path}: {error}") from error


def reread_config(environ: Mapping[str, str]) -> Config:
    """The configuration after SIGHUP. The environment is as old as the process: only the file can
    say where discovery lies now.
    """
    return read_config({name: value for name, value in environ.items() if name != "NODE_DISCOVERY"})


def _config(raw: dict[str, Any], environ: Mapping[str, str]) -> Config:
    settings = raw["settings"]
    if not isinstance(settings, dict):
        raise SettingsError("settings is not an object")
    limits, domain, machine = (
        settings.get("Limits", {}),
        settings.get("Domain", {}),
        raw.get("limits", {}),
    )
    sockets = machine.get("sockets", 1024)
    if sockets < 64:
        raise SettingsError(f"limits.sockets is {sockets}, and an ingress needs at least 64")
    return Config(
        name=environ.get("NODE_NAME") or raw["name"],
        listen=Address.parse(environ.get("NODE_LISTEN") or raw["listen"]),
        discovery=Address.parse(environ.get("NODE_DISCOVERY") or raw["discovery"]),
        seed=int(str(raw.get("seed", "0")), 16),
        sockets=sockets,
        known=raw.get("known") or {"rev": 0, "all": True, "targets": []},
        module=_module(settings),
        names=_names(settings),
        memory_mb=float(machine.get("memory_mb", 192.0)),
        most_units=int(domain.get("Largest", 1_000_000)),
        counter=Address.parse(raw["counter"]) if raw.get("counter") else None,
        peers=_peers(raw, settings["ReplicasOfMe"]),
        counter_timeout=domain.get("CounterTimeout", SECOND / 20) / MILLISECOND,
        conn_idle=limits.get("ConnIdle", 15 * SECOND) / MILLISECOND,
        connect_timeout=limits.get("ConnectTimeout", SECOND / 4) / MILLISECOND,
        most_open=limits.get("MaxOpen", 20_000),
        inherited=int(fd) if (fd := environ.get("NODE_INHERITED_FD")) else None,
        management=Address.parse(door)
        if (door := environ.get("NODE_MANAGEMENT") or raw.get("management"))
        else None,
    )


def _peers(raw: dict[str, Any], gateways: int) -> PeerAddresses | None:
    listen, peers, everyone = raw.get("peer_listen"), raw.get("peers"), raw.get("peers_all")
    if not listen or not peers:
        return None
    if not isinstance(peers, list) or len(peers) != gateways:
        raise SettingsError(
            f"peers is {peers!r}; a list of {gateways} addresses, as settings.ReplicasOfMe, would do"
        )
    every = Address.parse(everyone) if everyone else None
    return PeerAddresses(Address.parse(listen), tuple(map(Address.parse, peers)), every)


def read_for_check(path: str) -> tuple[PolicySettings, Names]:
    """Settings and names of a file: the platform's configuration, or its `settings` alone. Raises
    SettingsError.
    """
    try:
        raw = json.loads(Path(path).read_bytes())
        settings = raw.get("settings", raw)
        return _module(settings), _names(settings)
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from error
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SettingsError(f"{path}: settings cannot be read: {error!r}") from error


def _names(settings: dict[str, Any]) -> Names:
    return Names(
        classes=tuple(c["Name"] for c in settings["Classes"]),
        plans=tuple(p["Name"] for p in settings.get("Packages", [])),
        zones=tuple(settings.get("Azs", ())),
        kinds=tuple(settings.get("Models", ())),
    )


def read_settings(text: bytes) -> PolicySettings:
    """Settings as the module knows them; keys that it does not know are skipped."""
    try:
        return _module(json.loads(text))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SettingsError(f"settings cannot be read: {error!r}") from error


def _module(raw: dict[str, Any]) -> PolicySettings:
    def seconds(value: float) -> float:
        return value / SECOND

    limits, safety = raw.get("Limits", {}), raw.get("Safety", {})
    domain, costs, stats = raw.get("Domain", {}), raw.get("Costs", {}), raw.get("Stats", {})
    for number, c in enumerate(raw["Classes"]):
        for key in ("Aim", "HardLimit"):
            if not c[key] > 0:
                raise SettingsError(
                    f"settings.Classes[{number}].{key} is {c[key]!r}; a time over 0 would do"
                )
    if not limits.get("SendCap", 1) > 0:
        raise SettingsError(
            f"settings.Limits.SendCap is {limits['SendCap']!r}; 1 attempt or more would do"
        )
    if not raw["Classes"]:
        raise SettingsError("settings.Classes is empty; one class at least would do")
    classes = tuple(
        RequestClass(
            latency_objective=seconds(c["Aim"]),
            deadline=seconds(c["HardLimit"]),
            priority_weight=c.get("Points", 1.0),
            late_weight=c.get("LateShare", 0.0),
            effect=EFFECTS[c["Effect"]],
            deduplication_scope=DeduplicationScope(c.get("Group", "all")),
            deduplication_window=seconds(c.get("Window", 0)),
            is_stream=c.get("Stream", False),
        )
        for c in raw["Classes"]
    )
    plans = tuple(
        Plan(
            rate=p.get("Refill", 0.0),
            burst=p.get("PeakUnits", 0.0),
            max_in_flight=p.get("MaxOut", 0),
            priority_multiplier=p.get("WorthFactor", 1.0),
            over_quota_weight=p.get("OverWorth", 0.0),
            over_quota_cost=p.get("ExcessCost", 0.0),
            ceiling_rate=p.get("CeilingRate", 0.0),
            ceiling_burst=p.get("CapDepth", 0.0),
            ceiling_slack=p.get("Tolerance", 0.0),
        )
        for p in raw.get("Packages", [])
    )
    return PolicySettings(
        ingress_number=raw["MyNumber"],
        ingress_count=raw["ReplicasOfMe"],
        classes=classes,
        plans=plans,
        zone=raw.get("Zone", 0),
        clock_tick=seconds(raw.get("Period", 1000)),
        safety=SafetyLimits(
            answer_slack=seconds(safety.get("AnswerSlack", 0)),
            drain_grace=seconds(safety.get("StopSendingWithin", 0)),
            cold_capacity=safety.get("ColdShare", 1.0),
            warm_up_time=seconds(safety.get("Cold", 0)),
            overload_multiple=safety.get("FallMultiple", 1.0),
            overload_time=seconds(safety.get("TipAfter", SECOND)),
            poll_interval=seconds(safety.get("AskWithin", 10 * SECOND)),
        ),
        costs=CostWeights(
            cross_zone=costs.get("CrossZone", 0.0),
            waste=costs.get("Waste", 0.0),
            health_check=costs.get("Probe", 0.0),
            gossip=costs.get("Peer", 0.0),
            late_failure=costs.get("LateFail", 0.0),
            handshake=costs.get("Handshake", 0.0),
        ),
        max_attempts=limits.get("SendCap", 1),
        may_hedge=limits.get("SecondCopies", False),
        may_cancel=limits.get("Cancelling", False),
        may_check_health=limits.get("Probes", False),
        may_gossip=limits.get("Peers", False),
        max_retry_after=seconds(limits.get("MaxRetryAfter", 0)),
        gossip_intake_rate=domain.get("PeerInPerS", 0.0),
        max_request_units=domain.get("Largest", 1),
        settles_units=domain.get("TruedUp", False),
        usage_report_period=seconds(domain.get("Metering", 0)),
        may_use_counter=domain.get("MayCount", False),
        conn_idle=seconds(limits.get("ConnIdle", 15 * SECOND)),
        load_report_fields=tuple(stats.get("Names", ())),
        has_load_reports=stats.get("Source") == "inline",
        must_poll_endpoints=raw.get("Discovery") == "subscribe",
    )
