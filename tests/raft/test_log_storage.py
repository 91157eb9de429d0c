"""The log and snapshot on disk: crashes during a write, and missing or damaged files."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from dockthread.raft.actions import PersistEntries, PersistSnapshot
from dockthread.raft.messages import Entry, EntryKind
from dockthread.raft.storage import RaftStorage, RaftStorageError


def entries(*texts: str) -> tuple[Entry, ...]:
    return tuple(Entry(1, EntryKind.COMMAND, text.encode()) for text in texts)


def test_a_kill_at_every_byte_of_the_log_leaves_what_was_persisted_before(tmp_path: Path) -> None:
    store = RaftStorage(tmp_path / "whole", "n0", create=True)
    kept = [
        PersistEntries(1, "n1", 1, entries("a")),
        PersistEntries(1, "n1", 2, entries("b", "c")),
        PersistEntries(2, "", 2, entries("B")),
    ]
    known: list[tuple[int, str, list[Entry]]] = [(0, "", [])]
    ends = [0]
    for what in kept:
        store.persist(what)
        known.append(
            (
                store.persistent_state.term,
                store.persistent_state.voted_for,
                list(store.persistent_state.entries),
            )
        )
        ends.append((tmp_path / "whole" / "log").stat().st_size)
    store.close()
    whole = (tmp_path / "whole" / "log").read_bytes()
    for cut in range(len(whole) + 1):
        (tmp_path / "whole" / "log").write_bytes(whole[:cut])
        again = RaftStorage(tmp_path / "whole", "n0")
        last = max(i for i, end in enumerate(ends) if end <= cut)
        assert (
            again.persistent_state.term,
            again.persistent_state.voted_for,
            again.persistent_state.entries,
        ) == known[last]
        again.close()


def test_a_snapshot_replaces_entries(tmp_path: Path) -> None:
    store = RaftStorage(tmp_path / "n", "n0", create=True)
    store.persist(PersistEntries(3, "n2", 1, entries("a", "b", "c")))
    store.persist(PersistSnapshot(2, 1, ("n0", "n1"), b"ab", False))
    store.persist(PersistEntries(3, "n2", 4, entries("d")))
    store.close()
    again = RaftStorage(tmp_path / "n", "n0")
    assert (
        again.persistent_state.snapshot_index,
        again.persistent_state.snapshot,
        again.persistent_state.term,
    ) == (2, b"ab", 3)
    assert again.persistent_state.entries == list(entries("c", "d"))
    size = (tmp_path / "n" / "log").stat().st_size
    for _ in range(50):
        again.persist(PersistSnapshot(2, 1, ("n0", "n1"), b"ab", False))
    assert (tmp_path / "n" / "log").stat().st_size <= size, (
        "records of older snapshots must not fill the disk"
    )
    again.close()


def test_a_kill_between_the_writes_of_a_snapshot_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = RaftStorage(tmp_path / "n", "n0", create=True)
    store.persist(PersistEntries(3, "n2", 1, entries("a", "b", "c")))
    for step, base in ((0, 0), (1, 2)):
        monkeypatch.setattr(
            RaftStorage, "_replace_file", killed_at(step, RaftStorage._replace_file)
        )
        with pytest.raises(KeyboardInterrupt):
            store.persist(PersistSnapshot(2, 1, ("n0",), b"ab", False))
        monkeypatch.undo()
        store.close()
        store = RaftStorage(tmp_path / "n", "n0")
        assert store.persistent_state.snapshot_index == base
        assert store.persistent_state.entries == list(entries("a", "b", "c"))[base:]
    store.persist(PersistEntries(4, "", 4, entries("d")))
    store.close()
    store = RaftStorage(tmp_path / "n", "n0")
    assert (store.persistent_state.term, store.persistent_state.entries) == (
        4,
        list(entries("c", "d")),
    )
    store.close()


def killed_at(
    step: int, real: Callable[[RaftStorage, str, bytes], None]
) -> Callable[[RaftStorage, str, bytes], None]:
    """Return a `_replace_file` that raises at call number `step` before it replaces the file.

    The first call (0) replaces `state`, the second (1) replaces `log`.
    """
    calls = iter(range(9))

    def beside(store: RaftStorage, name: str, body: bytes) -> None:
        if next(calls) == step:
            raise KeyboardInterrupt
        real(store, name, body)

    return beside


def test_a_missing_shared_or_corrupt_log_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(RaftStorageError, match="fleet init"):
        RaftStorage(tmp_path / "none", "n0")
    store = RaftStorage(tmp_path / "n", "n0", create=True)
    store.persist(PersistEntries(1, "n0", 1, entries("a")))
    with pytest.raises(BlockingIOError):
        RaftStorage(tmp_path / "n", "n0")  # the directory is locked
    store.close()
    with pytest.raises(FileExistsError):
        RaftStorage(tmp_path / "n", "n0", create=True)
    data = bytearray((tmp_path / "n" / "log").read_bytes())
    data[-1] ^= 1
    (tmp_path / "n" / "log").write_bytes(data)
    with pytest.raises(RaftStorageError, match="spoilt at byte 0"):
        RaftStorage(tmp_path / "n", "n0")
