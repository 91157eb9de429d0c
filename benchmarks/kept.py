"""Recorded scores and noise of the benches, and the choice of the benches to run after a change.

The scores of up to `MAX_RUNS` runs of one source tree are recorded for each bench. A new run is a
regression if its score is below their mean by more than the noise. The noise is the spread of the
recorded runs if there are at least `MIN_RUNS_FOR_NOISE`; otherwise it is the noise of an earlier
tree, or `DEFAULT_NOISE` if none is known.
"""

from __future__ import annotations

import hashlib
import json
import subprocess
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

DEFAULT_NOISE = 0.03  # Noise of a bench without recorded noise, from the bench's documentation.
MAX_RUNS = 5  # Maximum number of runs recorded for a tree.
MIN_RUNS_FOR_NOISE = 3  # Number of runs of a tree from which the noise is computed.
SIZES = ("quick", "full")
# Groups of benches to run after a change, by prefix of the changed path; the first match applies.
# No bench depends on documents, tests or the lab, so a change to them requires no run.
GROUPS_BY_PATH: tuple[tuple[str, tuple[str, ...]], ...] = (
    ("dockthread/lab/", ()),
    ("dockthread/cli/", ()),
    ("dockthread/telemetry/", ("sockets", "days", "fleet")),
    ("dockthread/net/", ("sockets", "days", "fleet")),
    ("dockthread/admin/", ("sockets", "days", "fleet")),
    ("dockthread/config/platform_settings.py", ("module", "sockets", "days", "fleet")),
    ("dockthread/config/required_keys.py", ("module", "sockets", "days", "fleet")),
    ("dockthread/section_registry.py", ("module", "sockets", "days", "fleet")),
    ("dockthread/config/", ("sockets", "days", "fleet")),
    ("dockthread/logs/", ("sockets", "days", "fleet")),
    ("dockthread/daemon.py", ("sockets", "days", "fleet")),
    ("dockthread/", ("module", "sockets", "days", "fleet")),
    ("deploy/balancer.toml", ("module", "sockets", "days", "fleet")),
    ("requirements.txt", ("module", "sockets", "days", "fleet")),
)


@dataclass(slots=True)
class RecordedScores:
    """Recorded scores of one bench at one size.

    `tree` is the hash of the source tree with which the scores were measured. `noise` is the spread
    of the scores of the latest tree that ran at least `MIN_RUNS_FOR_NOISE` times.
    """

    tree: str = ""
    scores: list[float] = field(default_factory=list)
    noise: float | None = None

    @property
    def mean(self) -> float | None:
        """The mean of the scores; None if there are none."""
        return sum(self.scores) / len(self.scores) if self.scores else None

    @property
    def min_score(self) -> float | None:
        """The lowest score that is not a regression; None if no score is recorded."""
        noise = DEFAULT_NOISE if self.noise is None else self.noise
        return None if self.mean is None else self.mean - noise

    def add(self, tree: str, score: float) -> None:
        """Record the score of a run.

        Scores of a new tree replace those of the old one. The old noise stays until the new tree has
        enough runs.
        """
        self.scores = [*(self.scores if tree == self.tree else []), round(score, 4)][-MAX_RUNS:]
        self.tree = tree
        if len(self.scores) >= MIN_RUNS_FOR_NOISE:
            self.noise = round(max(self.scores) - min(self.scores), 4)


ScoresByBench = dict[str, dict[str, RecordedScores]]


def load(path: Path) -> ScoresByBench:
    """Load the recorded scores by size and bench; raise ValueError if the file is invalid."""
    if not path.exists():
        return {size: {} for size in SIZES}
    try:
        raw = json.loads(path.read_bytes())
        return {
            size: {name: RecordedScores(**recorded) for name, recorded in raw.get(size, {}).items()}
            for size in SIZES
        }
    except (ValueError, TypeError, AttributeError) as error:
        raise ValueError(
            f"{path.name}: not a table of recorded scores by size and bench: {error}"
        ) from error


def save(path: Path, table: ScoresByBench) -> None:
    """Write the recorded scores as JSON."""

    def as_json(recorded: RecordedScores) -> dict[str, object]:
        return {"tree": recorded.tree, "scores": recorded.scores, "noise": recorded.noise}

    content = {
        size: {name: as_json(recorded) for name, recorded in table[size].items()} for size in SIZES
    }
    path.write_text(json.dumps(content, indent=2) + "\n")


def source_tree_hash(root: Path) -> str:
    """Return a hash of all files that a bench runs, in twelve hex digits.

    It depends on the content of the working tree alone, not on what is committed.
    """
    digest = hashlib.sha256()
    hashed_files = [
        root / "deploy/balancer.toml",
        root / "requirements.txt",
        *sorted((root / "dockthread").rglob("*.py")),
    ]
    for path in hashed_files:
        if path.exists():
            digest.update(
                path.relative_to(root).as_posix().encode() + b"\0" + path.read_bytes() + b"\0"
            )
    return digest.hexdigest()[:12]


def groups_to_run(paths: Iterable[str]) -> set[str]:
    """Return the groups of benches that have to run after a change of these files."""
    due_groups = set[str]()
    for path in paths:
        due_groups.update(
            next((groups for prefix, groups in GROUPS_BY_PATH if path.startswith(prefix)), ())
        )
    return due_groups


def changed_since(root: Path, revision: str) -> list[str]:
    """Return the files that differ between a revision and the working tree.

    Raises ValueError if the revision is unknown.
    """
    command = ["git", "diff", "--name-only", revision, "--"]
    process = subprocess.run(
        command, cwd=root, capture_output=True, text=True, timeout=60, check=False
    )
    if process.returncode:
        raise ValueError(
            f"--since {revision}: git does not know this revision: {process.stderr.strip()[:200]}"
        )
    return process.stdout.splitlines()
