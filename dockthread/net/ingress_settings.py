"""Derives the settings of an ingress's parts from its configuration."""

from __future__ import annotations

from dataclasses import replace

from dockthread.clock import Clock
from dockthread.config.ingress_config import IngressConfig
from dockthread.net import resp
from dockthread.policy import PolicySettings


def engine_settings(config: IngressConfig, clock: Clock, max_customers: int) -> PolicySettings:
    """Return the settings of the policy engine, restricted to what this ingress can do.

    Without a counter address the engine must not use the quota counter, and without peer addresses
    it must not gossip, even if the settings allow it.
    """
    settings = config.policy_settings
    return replace(
        settings,
        may_use_counter=settings.may_use_counter and config.counter is not None,
        may_gossip=settings.may_gossip and config.peers is not None,
        clock_offset=clock.unix_offset / 1000.0,
        max_customers=max_customers,
    )


def request_parser(
    config: IngressConfig, offered_classes: frozenset[str] | None = None
) -> resp.RequestParser:
    """Return a request parser; `offered_classes` are the classes clients may use, None for all."""
    settings = config.policy_settings
    return resp.RequestParser(
        config.names,
        settings.classes,
        settings.ingress_count,
        config.max_request_units,
        offered_classes,
    )
