"""`python -m dockthread.lab.scale.role ROLE`: one process of a scale run.

The process receives its commands on standard input.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from importlib import import_module
from typing import Final

import uvloop
from loguru import logger

ROLES: Final = ("discovery", "host", "real", "backends", "load", "server", "relay", "publisher")
GC_THRESHOLD: Final = 20_000  # Allocations between two garbage collections, as in the daemon.


def main(role: str) -> None:
    """Run one process of a scale run: `role` names a module of this package."""
    if role not in ROLES:
        raise SystemExit(f"unknown role {role!r}: choose one of {', '.join(ROLES)}")
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    gc.set_threshold(GC_THRESHOLD)
    role_module = import_module(f"dockthread.lab.scale.{role}")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(role_module.serve())


if __name__ == "__main__":
    main(sys.argv[1])
