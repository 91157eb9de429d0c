"""Stores the backends that an operator detached, for the other process during an upgrade.

The file is in the directory for temporary files and holds a JSON list of backend ids.
"""

from __future__ import annotations

import json
import os
import tempfile
from collections.abc import Iterable
from pathlib import Path

from loguru import logger

FILE_NAME = "dockthread-held.json"


def detached_backends_path() -> Path:
    """Return the path of the file, in `$TMPDIR` or the system's directory for temporary files."""
    return Path(os.environ.get("TMPDIR") or tempfile.gettempdir()) / FILE_NAME


def file_version(path: Path) -> tuple[int, int] | None:
    """Return what changes whenever the file is replaced; None if there is no file."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_ino, status.st_mtime_ns


def load_detached_backends(path: Path) -> list[str] | None:
    """Return the ids that a process saved; None if the file is missing or invalid."""
    try:
        ids = json.loads(path.read_bytes())
    except (OSError, ValueError):
        return None
    if not isinstance(ids, list):
        return None
    return [backend_id for backend_id in ids if isinstance(backend_id, str)]


def save_detached_backends(path: Path, ids: Iterable[str]) -> None:
    """Write the ids, replacing the file atomically. A failure is logged."""
    try:
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(sorted(ids)))
        os.replace(new_path, path)
    except OSError as error:
        logger.warning("cannot save the detached backends in {}: {}", path, error)
