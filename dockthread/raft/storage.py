"""What a member keeps on disk: its name, term, vote and log. Every write is on the disk before it
returns.

Two files in a directory of its own. `state` holds the identity and what stands up to `base`; it is
written whole beside and renamed into place. `log` holds records behind it, each with its length and
a BLAKE2 sum; a record is appended and synced. A record cut short at the end was never synced, so
nobody was answered on it: it is let go. A sum that is wrong anywhere else means that the disk lost
what was promised: the store says so (`Lost`) and the member has to come back as another. A newer
`state` makes records of an older one void by its number, so that a kill between the two writes
harms nothing.
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

from dockthread.raft.actions import PersistEntries, PersistentState, PersistSnapshot
from dockthread.raft.messages import MAX_SNAPSHOT_BYTES, Entry

SUM: Final = 16
RECORD: Final = struct.Struct(f"<I{SUM}s")
# bytes: a whole state, or all entries behind one, with room
MOST_RECORD: Final = MAX_SNAPSHOT_BYTES + (64 << 20)
AFTER_LOSS: Final = "give the ingress a new name and `dockthread fleet init` a new folder"


class RaftStorageError(Exception):
    """What lies there is not what was written: names the file and what would do."""


class SnapshotRecord(msgspec.Struct, frozen=True, array_like=True):
    """The file `state`. `number` grows with each; the log's records name it."""

    number: int
    name: str
    term: int
    voted_for: str
    snapshot_index: int
    snapshot_term: int
    voters: tuple[str, ...]
    snapshot: bytes


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of the file `log`."""

    number: int
    term: int
    voted_for: str
    first_index: int
    entries: tuple[Entry, ...]
    commit_index: int = 0


def _sum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=SUM).digest()


def _write(handle: int, data: bytes) -> None:
    while data:
        data = data[os.write(handle, data) :]


def _frame(body: bytes) -> bytes:
    return RECORD.pack(len(body), _sum(body)) + body


class RaftStorage:
    """One member's directory, held by a lock while it is open.

    A directory is made once, by staff (`dockthread fleet init`), and never by a start: a member
    that lost its disk and came back under its old name would vote a second time in a term that it
    forgot.
    """

    def __init__(self, folder: Path, name: str, create: bool = False) -> None:
        """Raises OSError where the folder cannot be used, `Lost` where what lies there cannot be
        believed.
        """
        if create:
            folder.mkdir(parents=True, exist_ok=True)
        elif not (folder / "state").exists():
            raise RaftStorageError(
                f"{folder} holds no log; `dockthread fleet init` makes one for a member that never had one"
            )
        self._folder = folder
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            if create:
                if (folder / "state").exists() or (folder / "log").exists():
                    raise FileExistsError(f"{folder} holds a log already")
                self._whole = SnapshotRecord(1, name, 0, "", 0, 0, (), b"")
                self._write_whole()
            self.persistent_state = self._read()
            self._log = os.open(folder / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        except BaseException:
            os.close(self._lock)
            raise

    @property
    def name(self) -> str:
        return self._whole.name

    def close(self) -> None:
        os.close(self._log)
        os.close(self._lock)

    def persist(self, what: PersistEntries | PersistSnapshot) -> None:
        """On the disk when it returns."""
        stored = self.persistent_state
        if isinstance(what, PersistEntries):
            record = LogRecord(
                self._whole.number,
                what.term,
                what.voted_for,
                what.first_index,
                what.entries,
                what.commit_index,
            )
            self._append(record)
            stored.persist_entries(what)
            return
        stored.persist_snapshot(what)
        number = self._whole.number + 1
        self._whole = SnapshotRecord(
            number,
            self.name,
            stored.term,
            stored.voted_for,
            what.index,
            what.term,
            what.voters,
            what.snapshot,
        )
        # First the entries behind it, under its number, which the old state takes for void; then
        # the state itself.
        record = LogRecord(
            number, stored.term, stored.voted_for, what.index + 1, tuple(stored.entries)
        )
        self._append(record)
        self._write_whole()
        # Nothing in the log counts any more but that last record: a new log of it alone, or the
        # disk would fill.
        self._replace_file("log", msgspec.msgpack.encode(record))
        os.close(self._log)
        self._log = os.open(self._folder / "log", os.O_WRONLY | os.O_APPEND)

    def _append(self, record: LogRecord) -> None:
        _write(self._log, _frame(msgspec.msgpack.encode(record)))
        os.fdatasync(self._log)

    def _write_whole(self) -> None:
        self._replace_file("state", msgspec.msgpack.encode(self._whole))

    def _replace_file(self, name: str, body: bytes) -> None:
        """A file of one record, written beside and renamed into place."""
        beside = self._folder / f"{name}.{secrets.token_hex(4)}"
        handle = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        try:
            _write(handle, _frame(body))
            os.fsync(handle)
        finally:
            os.close(handle)
        os.rename(beside, self._folder / name)
        folder = os.open(self._folder, os.O_RDONLY)
        os.fsync(folder)
        os.close(folder)

    def _read(self) -> PersistentState:
        for beside in [*self._folder.glob("state.*"), *self._folder.glob("log.*")]:
            beside.unlink(missing_ok=True)  # of a kill before its rename
        bodies, whole = self._records("state")
        if len(bodies) != 1 or not whole:
            raise RaftStorageError(f"{self._folder / 'state'} is cut short; {AFTER_LOSS}")
        try:
            self._whole = msgspec.msgpack.decode(bodies[0], type=SnapshotRecord)
            records = [
                msgspec.msgpack.decode(body, type=LogRecord) for body in self._records("log")[0]
            ]
        except msgspec.MsgspecError as error:
            raise RaftStorageError(
                f"{self._folder} holds no log of this program: {error}; {AFTER_LOSS}"
            ) from error
        w = self._whole
        self.persistent_state = PersistentState(
            w.term, w.voted_for, w.snapshot_index, w.snapshot_term, w.voters, w.snapshot, []
        )
        for record in records:
            if record.number == w.number:
                self.persistent_state.persist_entries(
                    PersistEntries(
                        record.term,
                        record.voted_for,
                        record.first_index,
                        record.entries,
                        record.commit_index,
                    )
                )
        return self.persistent_state

    def _records(self, name: str) -> tuple[list[bytes], bool]:
        """Bodies, and whether the file ends with a whole one; what is cut short at the end is cut
        off.
        """
        path = self._folder / name
        data = path.read_bytes() if path.exists() else b""
        bodies, at = list[bytes](), 0
        while at + RECORD.size <= len(data):
            size, told = RECORD.unpack_from(data, at)
            body = data[at + RECORD.size : at + RECORD.size + size]
            if size > MOST_RECORD or (len(body) == size and _sum(body) != told):
                raise RaftStorageError(f"{path} is spoilt at byte {at}; {AFTER_LOSS}")
            if len(body) < size:
                break
            bodies.append(body)
            at += RECORD.size + size
        if at < len(data) and name == "log":
            os.truncate(path, at)
        return bodies, at == len(data)
