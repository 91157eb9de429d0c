"""What a member keeps on disk: its name, hard state, snapshot and log.

A directory of its own holds two files. `state` has the member's name, the hard state and the
snapshot; it is written completely beside and renamed into place. `log` has the records behind the
snapshot, each with its length and a BLAKE2 checksum; a record is appended and synced before
`persist` returns.

A record that is cut short at the end of `log` was never synced, so nobody was answered on it: it is
truncated. A wrong checksum anywhere else means that the disk lost what it had promised, which
raises `RaftStorageError`: the member has to come back under another name. Every snapshot has a
number, and its records bear it; records with another number don't count, so a crash between the two
writes does no harm.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
import secrets
import struct
from pathlib import Path
from typing import Final

import msgspec

from dockthread.errors import DockthreadError
from dockthread.raft.actions import PersistEntries, PersistentState, PersistSnapshot
from dockthread.raft.messages import MAX_SNAPSHOT_BYTES, Entry

CHECKSUM_BYTES: Final = 16
RECORD_HEADER: Final = struct.Struct(f"<I{CHECKSUM_BYTES}s")  # length and checksum
# bytes: a complete snapshot, or all entries behind one, and some more
MAX_RECORD_BYTES: Final = MAX_SNAPSHOT_BYTES + (64 << 20)
FILE_MODE: Final = 0o600  # only the member's own user
ADVICE_AFTER_LOSS: Final = "give the ingress a new name and `dockthread fleet init` a new folder"


class RaftStorageError(DockthreadError):
    """The directory does not hold what was written; names the file and what to do."""


class SnapshotRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of the file `state`; the order of its fields is the format on disk.

    Attributes:
        number: grows with each snapshot; records of the log name it.
        name: the member's.
        term: the current term when the snapshot was written.
        voted_for: who received this member's vote in that term.
        snapshot_index: of the last entry that the snapshot holds.
        snapshot_term: of that entry.
        voters: as of that entry.
        snapshot: the state machine after that entry.
    """

    number: int
    name: str
    term: int
    voted_for: str
    snapshot_index: int
    snapshot_term: int
    voters: tuple[str, ...]
    snapshot: bytes


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of the file `log`: a `PersistEntries` and the number of its snapshot."""

    number: int
    term: int
    voted_for: str
    first_index: int
    entries: tuple[Entry, ...]
    commit_index: int = 0


class RaftStorage:
    """The directory of one member, locked while it is open.

    An operator makes a directory once (`dockthread fleet init`), a start never does: a member that
    lost its disk and came back under its old name could vote twice in a term that it forgot.

    Attributes:
        persistent_state: what is on disk.
    """

    def __init__(self, folder: Path, name: str, create: bool = False) -> None:
        """Open a directory, or with `create` make one for a member of this name.

        Raises:
            OSError: the directory can't be used, or another process has it open.
            FileExistsError: with `create`, it holds a log already.
            RaftStorageError: it holds no log, or one that is damaged.
        """
        if create:
            folder.mkdir(parents=True, exist_ok=True)
        elif not (folder / "state").exists():
            raise RaftStorageError(
                f"{folder} holds no log; `dockthread fleet init` makes one for a member that "
                "never had one"
            )
        self._folder = folder
        self._snapshot_record: SnapshotRecord
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            if create:
                self._create(name)
            self.persistent_state = self._load()
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._log = os.open(folder / "log", flags, FILE_MODE)
        except BaseException:
            os.close(self._lock)
            raise

    @property
    def name(self) -> str:
        """The member whose directory it is."""
        return self._snapshot_record.name

    def close(self) -> None:
        """Close the log and release the lock."""
        os.close(self._log)
        os.close(self._lock)

    def persist(self, action: PersistEntries | PersistSnapshot) -> None:
        """Carry an action out; it is on disk when this returns.

        Raises:
            OSError: the disk did not take it.
        """
        if isinstance(action, PersistEntries):
            self._persist_entries(action)
        else:
            self._persist_snapshot(action)

    def _persist_entries(self, action: PersistEntries) -> None:
        record = LogRecord(
            self._snapshot_record.number,
            action.term,
            action.voted_for,
            action.first_index,
            action.entries,
            action.commit_index,
        )
        self._append(record)
        self.persistent_state.persist_entries(action)

    def _persist_snapshot(self, action: PersistSnapshot) -> None:
        state = self.persistent_state
        state.persist_snapshot(action)
        number = self._snapshot_record.number + 1
        self._snapshot_record = SnapshotRecord(
            number,
            self.name,
            state.term,
            state.voted_for,
            action.index,
            action.term,
            action.voters,
            action.snapshot,
        )
        # First the entries behind it, under its number, which does not count with the old snapshot;
        # then the snapshot itself.
        first_index = action.index + 1
        entries = tuple(state.entries)
        record = LogRecord(number, state.term, state.voted_for, first_index, entries)
        self._append(record)
        self._write_snapshot_record()
        # Nothing in the log counts any more but that last record: the log is replaced by it, or the
        # disk would fill.
        self._replace_file("log", msgspec.msgpack.encode(record))
        os.close(self._log)
        self._log = os.open(self._folder / "log", os.O_WRONLY | os.O_APPEND)

    # Writing

    def _create(self, name: str) -> None:
        if (self._folder / "state").exists() or (self._folder / "log").exists():
            raise FileExistsError(f"{self._folder} holds a log already")
        self._snapshot_record = SnapshotRecord(1, name, 0, "", 0, 0, (), b"")
        self._write_snapshot_record()

    def _append(self, record: LogRecord) -> None:
        _write_all(self._log, _frame(msgspec.msgpack.encode(record)))
        os.fdatasync(self._log)

    def _write_snapshot_record(self) -> None:
        self._replace_file("state", msgspec.msgpack.encode(self._snapshot_record))

    def _replace_file(self, name: str, body: bytes) -> None:
        """Write a file of one record beside, sync it, and rename it into place."""
        temporary = self._folder / f"{name}.{secrets.token_hex(4)}"
        handle = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, FILE_MODE)
        try:
            _write_all(handle, _frame(body))
            os.fsync(handle)
        finally:
            os.close(handle)
        os.rename(temporary, self._folder / name)
        folder = os.open(self._folder, os.O_RDONLY)
        os.fsync(folder)
        os.close(folder)

    # Reading

    def _load(self) -> PersistentState:
        """Read both files; what a crash left before a rename is removed."""
        for temporary in [*self._folder.glob("state.*"), *self._folder.glob("log.*")]:
            temporary.unlink(missing_ok=True)
        bodies, is_complete = self._read_records("state")
        if len(bodies) != 1 or not is_complete:
            raise RaftStorageError(f"{self._folder / 'state'} is cut short; {ADVICE_AFTER_LOSS}")
        try:
            snapshot = msgspec.msgpack.decode(bodies[0], type=SnapshotRecord)
            records = [
                msgspec.msgpack.decode(body, type=LogRecord)
                for body in self._read_records("log")[0]
            ]
        except msgspec.MsgspecError as error:
            raise RaftStorageError(
                f"{self._folder} holds no log of this program: {error}; {ADVICE_AFTER_LOSS}"
            ) from error
        self._snapshot_record = snapshot
        return _replay(snapshot, records)

    def _read_records(self, name: str) -> tuple[list[bytes], bool]:
        """Read a file's records, and truncate a record that is cut short at the end of the log.

        Returns:
            The bodies, and whether the file ends with a complete record.
        """
        path = self._folder / name
        data = path.read_bytes() if path.exists() else b""
        bodies: list[bytes] = []
        position = 0
        while position + RECORD_HEADER.size <= len(data):
            size, checksum = RECORD_HEADER.unpack_from(data, position)
            start = position + RECORD_HEADER.size
            body = data[start : start + size]
            is_damaged = len(body) == size and _checksum(body) != checksum
            if size > MAX_RECORD_BYTES or is_damaged:
                raise RaftStorageError(f"{path} is spoilt at byte {position}; {ADVICE_AFTER_LOSS}")
            if len(body) < size:
                break
            bodies.append(body)
            position = start + size
        if position < len(data) and name == "log":
            os.truncate(path, position)
        return bodies, position == len(data)


def _replay(snapshot: SnapshotRecord, records: list[LogRecord]) -> PersistentState:
    """Return the snapshot and the records that bear its number."""
    state = PersistentState(
        snapshot.term,
        snapshot.voted_for,
        snapshot.snapshot_index,
        snapshot.snapshot_term,
        snapshot.voters,
        snapshot.snapshot,
    )
    for record in records:
        if record.number == snapshot.number:
            state.persist_entries(
                PersistEntries(
                    record.term,
                    record.voted_for,
                    record.first_index,
                    record.entries,
                    record.commit_index,
                )
            )
    return state


def _checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES).digest()


def _frame(body: bytes) -> bytes:
    return RECORD_HEADER.pack(len(body), _checksum(body)) + body


def _write_all(handle: int, data: bytes) -> None:
    while data:
        data = data[os.write(handle, data) :]
