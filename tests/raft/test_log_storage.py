"""The log and snapshot on disk: a kill at every byte, and files that are missing or damaged."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from dockthread.raft.actions import Keep, KeepState
from dockthread.raft.messages import COMMAND, Entry
from dockthread.raft.storage import Lost, Store


def entries(*texts: str) -> tuple[Entry, ...]:
    return tuple(Entry(1, COMMAND, text.encode()) for text in texts)


def test_a_kill_at_every_byte_of_the_log_leaves_what_was_kept_before(tmp_path: Path) -> None:
    store = Store(tmp_path / "whole", "n0", make=True)
    kept = [
        Keep(1, "n1", 1, entries("a")),
        Keep(1, "n1", 2, entries("b", "c")),
        Keep(2, "", 2, entries("B")),
    ]
    known: list[tuple[int, str, list[Entry]]] = [(0, "", [])]
    ends = [0]
    for what in kept:
        store.keep(what)
        known.append((store.stored.term, store.stored.vote, list(store.stored.entries)))
        ends.append((tmp_path / "whole" / "log").stat().st_size)
    store.close()
    whole = (tmp_path / "whole" / "log").read_bytes()
    for cut in range(len(whole) + 1):
        (tmp_path / "whole" / "log").write_bytes(whole[:cut])
        again = Store(tmp_path / "whole", "n0")
        last = max(i for i, end in enumerate(ends) if end <= cut)
        assert (again.stored.term, again.stored.vote, again.stored.entries) == known[last]
        again.close()


def test_a_state_takes_the_place_of_entries(tmp_path: Path) -> None:
    store = Store(tmp_path / "n", "n0", make=True)
    store.keep(Keep(3, "n2", 1, entries("a", "b", "c")))
    store.keep(KeepState(2, 1, ("n0", "n1"), b"ab", False))
    store.keep(Keep(3, "n2", 4, entries("d")))
    store.close()
    again = Store(tmp_path / "n", "n0")
    assert (again.stored.base, again.stored.state, again.stored.term) == (2, b"ab", 3)
    assert again.stored.entries == list(entries("c", "d"))
    size = (tmp_path / "n" / "log").stat().st_size
    for _ in range(50):
        again.keep(KeepState(2, 1, ("n0", "n1"), b"ab", False))
    assert (tmp_path / "n" / "log").stat().st_size <= size, (
        "what no longer counts does not fill the disk"
    )
    again.close()


def test_a_kill_between_the_writes_of_a_state_harms_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = Store(tmp_path / "n", "n0", make=True)
    store.keep(Keep(3, "n2", 1, entries("a", "b", "c")))
    for step, base in ((0, 0), (1, 2)):
        monkeypatch.setattr(Store, "_beside", killed_at(step, Store._beside))
        with pytest.raises(KeyboardInterrupt):
            store.keep(KeepState(2, 1, ("n0",), b"ab", False))
        monkeypatch.undo()
        store.close()
        store = Store(tmp_path / "n", "n0")
        assert store.stored.base == base
        assert store.stored.entries == list(entries("a", "b", "c"))[base:]
    store.keep(Keep(4, "", 4, entries("d")))
    store.close()
    store = Store(tmp_path / "n", "n0")
    assert (store.stored.term, store.stored.entries) == (4, list(entries("c", "d")))
    store.close()


def killed_at(
    step: int, real: Callable[[Store, str, bytes], None]
) -> Callable[[Store, str, bytes], None]:
    """The store's write beside, but for a kill at the `step`-th: before the state's rename, or the
    log's.
    """
    calls = iter(range(9))

    def beside(store: Store, name: str, body: bytes) -> None:
        if next(calls) == step:
            raise KeyboardInterrupt
        real(store, name, body)

    return beside


def test_what_lies_there_is_believed_only_whole(tmp_path: Path) -> None:
    with pytest.raises(Lost, match="fleet init"):
        Store(tmp_path / "none", "n0")
    store = Store(tmp_path / "n", "n0", make=True)
    store.keep(Keep(1, "n0", 1, entries("a")))
    with pytest.raises(BlockingIOError):
        Store(tmp_path / "n", "n0")  # another process has it
    store.close()
    with pytest.raises(FileExistsError):
        Store(tmp_path / "n", "n0", make=True)
    data = bytearray((tmp_path / "n" / "log").read_bytes())
    data[-1] ^= 1
    (tmp_path / "n" / "log").write_bytes(data)
    with pytest.raises(Lost, match="spoilt at byte 0"):
        Store(tmp_path / "n", "n0")
