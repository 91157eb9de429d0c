"""Logs failures that must not end what goes on beside them."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from loguru import logger


@contextmanager
def logged_failure(step: str) -> Iterator[None]:
    """Log any exception of a step of the shutdown, so that the steps after it are taken too."""
    try:
        yield
    except Exception:  # noqa: BLE001 - requests and other components must not suffer
        logger.exception("cannot {}", step)
