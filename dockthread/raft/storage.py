"""A member's persistent storage: its name, hard state, snapshot and log.

Each member has a directory with two files. `state` holds the member's name, the hard state and the
snapshot; it is replaced atomically by writing a temporary file and renaming it. `log` holds the
records after the snapshot, each with its length and a BLAKE2 checksum; a record is appended and
synced before `persist` returns.

A write that fails, as on a full disk, may be repeated: whatever it left behind is removed first.

An incomplete record at the end of `log` was never synced, so no message depended on it, and it is
removed. A wrong checksum anywhere means that the disk lost synced data, which raises
`RaftStorageError`: the member has to rejoin under another name. Every snapshot has a number, and
the records after it carry that number; records with another number are ignored, so a crash between
the two writes does no harm.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
import secrets
import struct
from dataclasses import replace
from pathlib import Path
from typing import Final

import msgspec

from dockthread.errors import DockthreadError
from dockthread.raft.actions import PersistEntries, PersistentState, PersistSnapshot
from dockthread.raft.messages import MAX_SNAPSHOT_BYTES, Entry

CHECKSUM_BYTES: Final = 16
RECORD_HEADER: Final = struct.Struct(f"<I{CHECKSUM_BYTES}s")  # length and checksum
# Maximum size of a record: a complete snapshot, or all entries after one, plus overhead.
MAX_RECORD_BYTES: Final = MAX_SNAPSHOT_BYTES + (64 << 20)
FILE_MODE: Final = 0o600  # access only for the user that runs the member
ADVICE_AFTER_LOSS: Final = "give the ingress a new name and `dockthread fleet init` a new folder"


class RaftStorageError(DockthreadError):
    """The directory holds no log or a damaged one; the message names the file and the remedy."""


class SnapshotRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of the file `state`; the order of its fields is the format on disk.

    Attributes:
        number: number of the snapshot, which its records in the log repeat.
        name: the member's name.
        term: the current term when the snapshot was written.
        voted_for: the candidate that received this member's vote in that term; empty for none.
        snapshot_index: index of the last entry that the snapshot includes.
        snapshot_term: term of that entry.
        voters: the voters as of that entry.
        snapshot: the encoded state machine after that entry.
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
    """A record of the file `log`: a `PersistEntries` action and the number of its snapshot."""

    number: int
    term: int
    voted_for: str
    first_index: int
    entries: tuple[Entry, ...]
    commit_index: int = 0


class RaftStorage:
    """The directory of one member, locked while it is open.

    Only the operator creates a directory (`dockthread fleet init`); starting a member never does.
    Otherwise a member that lost its disk, and with it the record of its vote, could rejoin under its
    old name and vote twice in a term.

    Attributes:
        persistent_state: the state on disk.
    """

    def __init__(self, folder: Path, name: str, create: bool = False) -> None:
        """Open a directory; with `create`, create it for a member of this name first.

        Raises:
            OSError: the directory can't be used, or another process has it open.
            FileExistsError: `create` is set and the directory already holds a log.
            RaftStorageError: the directory holds no log, or a damaged one.
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
            self._log = self._open_log()
            self._log_bytes = os.fstat(self._log).st_size  # without what a failed write left
        except BaseException:
            os.close(self._lock)
            raise

    @property
    def name(self) -> str:
        """The name of the member that the directory belongs to."""
        return self._snapshot_record.name

    def close(self) -> None:
        """Close the log and release the lock."""
        os.close(self._log)
        os.close(self._lock)

    def persist(self, action: PersistEntries | PersistSnapshot) -> None:
        """Carry out an action; its data is on disk when this returns.

        Raises:
            OSError: the write failed; the action may be carried out again.
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
        state = replace(self.persistent_state, entries=list(self.persistent_state.entries))
        state.persist_snapshot(action)
        snapshot_record = SnapshotRecord(
            self._snapshot_record.number + 1,
            self.name,
            state.term,
            state.voted_for,
            action.index,
            action.term,
            action.voters,
            action.snapshot,
        )
        # Write the entries after the snapshot first, with the new snapshot's number: they are
        # ignored until the snapshot itself is written.
        record = LogRecord(
            snapshot_record.number,
            state.term,
            state.voted_for,
            action.index + 1,
            tuple(state.entries),
        )
        self._append(record)
        self._write_snapshot_record(snapshot_record)
        # Only that last record of the log is valid now. Replace the log with it, because otherwise
        # the log would grow until the disk is full.
        self._replace_log(record)
        self._snapshot_record = snapshot_record
        self.persistent_state = state

    # Writing

    def _create(self, name: str) -> None:
        if (self._folder / "state").exists() or (self._folder / "log").exists():
            raise FileExistsError(f"{self._folder} holds a log already")
        self._write_snapshot_record(SnapshotRecord(1, name, 0, "", 0, 0, (), b""))

    def _append(self, record: LogRecord) -> None:
        data = _frame_record(msgspec.msgpack.encode(record))
        os.ftruncate(self._log, self._log_bytes)
        _write_all(self._log, data)
        os.fdatasync(self._log)
        self._log_bytes += len(data)

    def _write_snapshot_record(self, record: SnapshotRecord) -> None:
        self._replace_file("state", msgspec.msgpack.encode(record))

    def _replace_log(self, record: LogRecord) -> None:
        """Replace the log with one that holds a single record."""
        self._replace_file("log", msgspec.msgpack.encode(record))
        replaced = self._log
        self._log = self._open_log()
        os.close(replaced)
        self._log_bytes = os.fstat(self._log).st_size

    def _open_log(self) -> int:
        return os.open(self._folder / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)

    def _replace_file(self, name: str, body: bytes) -> None:
        """Replace a file atomically with one that holds a single record, and sync it."""
        temporary_path = self._folder / f"{name}.{secrets.token_hex(4)}"
        descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, FILE_MODE)
        try:
            try:
                _write_all(descriptor, _frame_record(body))
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            os.rename(temporary_path, self._folder / name)
        except OSError:
            temporary_path.unlink(missing_ok=True)
            raise
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    # Reading

    def _load(self) -> PersistentState:
        """Read both files, and delete temporary files that a crash left behind."""
        for temporary_path in [*self._folder.glob("state.*"), *self._folder.glob("log.*")]:
            temporary_path.unlink(missing_ok=True)
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
        """Read a file's records, and remove an incomplete record from the end of the log.

        Returns:
            The bodies of the records, and whether the last record was complete.
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
                raise RaftStorageError(f"{path} is corrupt at byte {position}; {ADVICE_AFTER_LOSS}")
            if len(body) < size:
                break
            bodies.append(body)
            position = start + size
        if position < len(data) and name == "log":
            os.truncate(path, position)
        return bodies, position == len(data)


def _replay(snapshot: SnapshotRecord, records: list[LogRecord]) -> PersistentState:
    """Return the state after the snapshot and the records with its number."""
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


def _frame_record(body: bytes) -> bytes:
    return RECORD_HEADER.pack(len(body), _checksum(body)) + body


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        data = data[os.write(descriptor, data) :]
