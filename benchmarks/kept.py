"""Kept figures of the benches, their noise, which tree they are of, and which benches a change
makes due.

A figure is kept with the scores of up to `RUNS` runs of one tree. Its mean is what a new run is
held against, and the spread of the runs is the bench's noise: a fall is one beyond it. Where fewer
than `ENOUGH` runs were made of a tree, the noise known from an earlier tree holds, else `FALL`.
"""

from __future__ import annotations

import hashlib
import json
import subprocess
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

FALL = 0.03  # a fall where a bench's noise is not known, as the bench's page says
RUNS, ENOUGH = 5, 3  # runs kept of a tree; as many tell the noise
SIZES = ("quick", "full")
# What a path's change makes due, first match first. Documents, tests and the laboratory are played
# by no bench.
DUE: tuple[tuple[str, tuple[str, ...]], ...] = (
    ("dockthread/lab/", ()),
    ("dockthread/cli/", ()),
    ("dockthread/telemetry/", ("sockets", "days", "fleet")),
    ("dockthread/net/", ("sockets", "days", "fleet")),
    ("dockthread/admin/", ("sockets", "days", "fleet")),
    ("dockthread/config/platform_settings.py", ("module", "sockets", "days", "fleet")),
    ("dockthread/section_registry.py", ("module", "sockets", "days", "fleet")),
    ("dockthread/config/", ("sockets", "days", "fleet")),
    ("dockthread/logs/", ("sockets", "days", "fleet")),
    ("dockthread/daemon.py", ("sockets", "days", "fleet")),
    ("dockthread/", ("module", "sockets", "days", "fleet")),
    ("deploy/balancer.toml", ("module", "sockets", "days", "fleet")),
    ("requirements.txt", ("module", "sockets", "days", "fleet")),
)


@dataclass(slots=True)
class Kept:
    """Of one bench at one size: the tree's mark, its scores, and the spread of the last tree played
    often enough.
    """

    tree: str = ""
    scores: list[float] = field(default_factory=list)
    noise: float | None = None

    @property
    def mean(self) -> float | None:
        return sum(self.scores) / len(self.scores) if self.scores else None

    @property
    def least(self) -> float | None:
        """The score from which a run holds; None where nothing is kept."""
        noise = FALL if self.noise is None else self.noise
        return None if self.mean is None else self.mean - noise

    def add(self, tree: str, score: float) -> None:
        """One more run. A new tree's scores take the place of the old one's; the noise stays until
        it is known anew.
        """
        self.scores = [*(self.scores if tree == self.tree else []), round(score, 4)][-RUNS:]
        self.tree = tree
        if len(self.scores) >= ENOUGH:
            self.noise = round(max(self.scores) - min(self.scores), 4)


Table = dict[str, dict[str, Kept]]


def load(path: Path) -> Table:
    """By size and bench. Raises ValueError, naming the file, where it does not hold such a
    table.
    """
    if not path.exists():
        return {size: {} for size in SIZES}
    try:
        raw = json.loads(path.read_bytes())
        return {
            size: {name: Kept(**kept) for name, kept in raw.get(size, {}).items()} for size in SIZES
        }
    except (ValueError, TypeError, AttributeError) as error:
        raise ValueError(
            f"{path.name}: no table of kept figures by size and bench: {error}"
        ) from error


def save(path: Path, table: Table) -> None:
    def plain(kept: Kept) -> dict[str, object]:
        return {"tree": kept.tree, "scores": kept.scores, "noise": kept.noise}

    text = {size: {name: plain(kept) for name, kept in table[size].items()} for size in SIZES}
    path.write_text(json.dumps(text, indent=2) + "\n")


def tree_mark(root: Path) -> str:
    """Twelve hex digits that stand for all that a bench plays: equal for equal text, whatever was
    committed.
    """
    digest = hashlib.sha256()
    played = [
        root / "deploy/balancer.toml",
        root / "requirements.txt",
        *sorted((root / "dockthread").rglob("*.py")),
    ]
    for path in played:
        if path.exists():
            digest.update(
                path.relative_to(root).as_posix().encode() + b"\0" + path.read_bytes() + b"\0"
            )
    return digest.hexdigest()[:12]


def due(paths: Iterable[str]) -> set[str]:
    """Groups of benches that a change of these files makes due."""
    found = set[str]()
    for path in paths:
        found.update(next((groups for start, groups in DUE if path.startswith(start)), ()))
    return found


def changed_since(root: Path, revision: str) -> list[str]:
    """Files that differ between a revision and what lies in the folder. Raises ValueError for an
    unknown revision.
    """
    command = ["git", "diff", "--name-only", revision, "--"]
    done = subprocess.run(
        command, cwd=root, capture_output=True, text=True, timeout=60, check=False
    )
    if done.returncode:
        raise ValueError(
            f"--since {revision}: git knows no such revision: {done.stderr.strip()[:200]}"
        )
    return done.stdout.splitlines()
