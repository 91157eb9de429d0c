"""Recorded scores of the benches and their noise, and the benches that a change has to run again.

The scores of up to `RUNS` runs of one source tree are recorded for each bench. A new run is compared
with their mean, and it regresses if it falls below the mean by more than the noise. The noise is the
spread of the recorded runs if there are at least `ENOUGH`; otherwise it is the noise of an earlier
tree, or `FALL` if none is known.
"""

from __future__ import annotations

import hashlib
import json
import subprocess
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

FALL = 0.03  # Noise of a bench whose noise is unknown, from the bench's documentation.
# Number of runs recorded for a tree, and number of runs from which the noise is computed.
RUNS, ENOUGH = 5, 3
SIZES = ("quick", "full")
# Groups of benches to run after a change, by the start of the changed path; the first match counts.
# No bench runs documents, tests or the lab.
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
    """Recorded scores of one bench at one size.

    `tree` is the hash of the source tree that reached the scores. `noise` is the spread of the
    scores of the latest tree that ran at least `ENOUGH` times.
    """

    tree: str = ""
    scores: list[float] = field(default_factory=list)
    noise: float | None = None

    @property
    def mean(self) -> float | None:
        """The mean of the scores; None if there are none."""
        return sum(self.scores) / len(self.scores) if self.scores else None

    @property
    def least(self) -> float | None:
        """The lowest score that is no regression; None if no score is recorded."""
        noise = FALL if self.noise is None else self.noise
        return None if self.mean is None else self.mean - noise

    def add(self, tree: str, score: float) -> None:
        """Record the score of a run.

        Scores of a new tree replace those of the old one. The old noise stays until the new tree has
        enough runs.
        """
        self.scores = [*(self.scores if tree == self.tree else []), round(score, 4)][-RUNS:]
        self.tree = tree
        if len(self.scores) >= ENOUGH:
            self.noise = round(max(self.scores) - min(self.scores), 4)


Table = dict[str, dict[str, Kept]]


def load(path: Path) -> Table:
    """Load the recorded scores by size and bench; raise ValueError if the file is invalid."""
    if not path.exists():
        return {size: {} for size in SIZES}
    try:
        raw = json.loads(path.read_bytes())
        return {
            size: {name: Kept(**kept) for name, kept in raw.get(size, {}).items()} for size in SIZES
        }
    except (ValueError, TypeError, AttributeError) as error:
        raise ValueError(
            f"{path.name}: not a table of recorded scores by size and bench: {error}"
        ) from error


def save(path: Path, table: Table) -> None:
    """Write the recorded scores as JSON."""

    def plain(kept: Kept) -> dict[str, object]:
        return {"tree": kept.tree, "scores": kept.scores, "noise": kept.noise}

    text = {size: {name: plain(kept) for name, kept in table[size].items()} for size in SIZES}
    path.write_text(json.dumps(text, indent=2) + "\n")


def tree_mark(root: Path) -> str:
    """Return a hash of all files that a bench runs, in twelve hex digits.

    It depends on the content of the working tree alone, not on what is committed.
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
    """Return the groups of benches that have to run after a change of these files."""
    found = set[str]()
    for path in paths:
        found.update(next((groups for start, groups in DUE if path.startswith(start)), ()))
    return found


def changed_since(root: Path, revision: str) -> list[str]:
    """Return the files that differ between a revision and the working tree.

    Raises ValueError if the revision is unknown.
    """
    command = ["git", "diff", "--name-only", revision, "--"]
    done = subprocess.run(
        command, cwd=root, capture_output=True, text=True, timeout=60, check=False
    )
    if done.returncode:
        raise ValueError(
            f"--since {revision}: git does not know this revision: {done.stderr.strip()[:200]}"
        )
    return done.stdout.splitlines()
