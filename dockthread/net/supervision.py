"""Keeps the tasks going without which an ingress would be up and serve nobody."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

RESTART_DELAY_S = 0.05  # Pause before a task that an error has ended is started again.


async def keep_running(activity: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run what is to go on until it is cancelled, and start it again if an error ends it."""
    while True:
        try:
            await run()
        except Exception:  # noqa: BLE001 - clients must be served whatever happened
            logger.exception("unexpected error while {}, starting again", activity)
        await asyncio.sleep(RESTART_DELAY_S)
