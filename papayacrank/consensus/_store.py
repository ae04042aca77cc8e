"""Durable store of the replicated log in segment and snapshot files."""

import secrets
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import groupby
from pathlib import Path

import msgspec

from papayacrank.kernel import log_event

from ._events import IDENTITY_CREATED, TORN_TAIL_TRUNCATED
from ._files import Files, FolderFiles
from ._frames import (
    KIND_BATCH,
    KIND_IDENTITY,
    KIND_SEGMENT,
    KIND_SNAPSHOT,
    checksum_seed,
    decode_frame,
    encode_frame,
    has_later_frame,
    read_frames,
)
from ._messages import (
    IDENTITY_BYTES,
    AppendEntry,
    ChangeIdentity,
    Entry,
    HardState,
    Record,
    SaveSnapshot,
    Snapshot,
    StoreState,
    TruncateSuffix,
    encode_identity,
)

SEGMENT_BYTES = 4 * 1024 * 1024
# A snapshot starts a new segment only if the current one has at least this size, so
# that frequent snapshots do not create one file each.
ROTATE_AT_SNAPSHOT_BYTES = 256 * 1024
IDENTITY_FILE = "identity"
LOG_PREFIX = "log-"
SNAPSHOT_PREFIX = "snapshot-"
TEMPORARY_SUFFIX = ".tmp"


class LogStoreError(RuntimeError):
    """The data folder is damaged or not writable; the process must stop."""


class _Identity(msgspec.Struct, frozen=True, array_like=True):
    """Content of the identity file.

    Attributes
    ----------
    identity : str
        Identity of the data folder.
    generation : int
        Generation in use; files of other generations are ignored.
    """

    identity: str
    generation: int


@dataclass
class _Segment:
    """Segment file of the log; `size` is the length of its valid part in bytes."""

    sequence: int
    name: str
    seed: int
    size: int = 0
    last_index: int = 0


_encode = msgspec.msgpack.Encoder().encode
_decode_batch = msgspec.msgpack.Decoder(
    list[HardState | AppendEntry | TruncateSuffix]
).decode
_decode_hard_state = msgspec.msgpack.Decoder(HardState).decode
_decode_identity = msgspec.msgpack.Decoder(_Identity).decode
_decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


class LogStore:
    """Durable store of log and snapshots in one folder.

    The log is a sequence of segment files. Each one starts with the hard state (term,
    vote and group) at its creation, followed by one frame for each batch of records.

    Parameters
    ----------
    folder : str or Path
        Data folder; created if missing.
    files : Files, optional
        File operations to use instead of those of the file system.
    segment_bytes : int
        Size in bytes at which a new segment is started.
    """

    def __init__(
        self,
        folder: str | Path,
        files: Files | None = None,
        segment_bytes: int = SEGMENT_BYTES,
    ):
        self._folder = folder
        self._files = files if files is not None else FolderFiles(Path(folder))
        self._segment_bytes = segment_bytes
        self._identity = _Identity("", 0)
        self._hard_state = HardState()
        self._entries: list[Entry] = []
        self._segments: list[_Segment] = []
        self._failed = True

    @property
    def identity(self) -> str:
        """Identity of the folder; empty before `load`."""
        return self._identity.identity

    def load(self) -> StoreState:
        """Read the folder and repair a torn tail; create an identity if it is empty.

        Returns
        -------
        StoreState
            Durable state.

        Raises
        ------
        LogStoreError
            If the folder is locked, unreadable or damaged before the tail of the log.
        """
        try:
            return self._load()
        except (OSError, msgspec.DecodeError) as error:
            self._files.close()
            raise self._build_damage_error(str(error)) from error
        except LogStoreError:
            self._files.close()
            raise

    def append(self, records: Sequence[Record]) -> None:
        """Write records in order and return after they are synced.

        Parameters
        ----------
        records : sequence of Record
            Records of a `Persist` effect.

        Raises
        ------
        LogStoreError
            If a write or sync fails. The store then rejects all further writes, because
            the content of the file is unknown after a failed sync.
        """
        for kind, group in groupby(records, key=_write_category):
            if kind is SaveSnapshot:
                for record in group:
                    self.save_snapshot(record.snapshot, record.discard_log)
            elif kind is ChangeIdentity:
                for record in group:
                    self._write_or_fail(self._change_identity, record.identity)
            else:
                self._write_or_fail(self._write_batch, list(group))

    def save_snapshot(self, snapshot: Snapshot, discard_log: bool = False) -> None:
        """Store a snapshot and remove the log before it.

        Parameters
        ----------
        snapshot : Snapshot
            Snapshot to store.
        discard_log : bool
            Whether to remove the entries after the snapshot, too.

        Raises
        ------
        LogStoreError
            If a write or sync fails.
        """
        self._write_or_fail(self._save_snapshot, snapshot, discard_log)

    def truncate_suffix(self, index: int) -> None:
        """Remove all entries with an index above `index`.

        Raises
        ------
        LogStoreError
            If a write or sync fails.
        """
        self._write_or_fail(self._write_batch, [TruncateSuffix(index)])

    def close(self) -> None:
        """Close the files and release the folder."""
        self._failed = True
        self._files.close()

    def _write_or_fail(self, write, *args) -> None:
        if self._failed:
            raise LogStoreError(
                f"{self._folder}: store is not loaded, or an earlier write failed"
            )
        self._failed = True
        try:
            write(*args)
        except OSError as error:
            raise LogStoreError(f"{self._folder}: write failed: {error}") from error
        self._failed = False

    def _build_damage_error(self, what: str) -> LogStoreError:
        return LogStoreError(f"{self._folder}: {what}; no file was changed or removed")

    # Loading

    def _load(self) -> StoreState:
        self._files.open_folder()
        names = self._files.names()
        if IDENTITY_FILE not in names:
            self._initialize_folder(names)
        else:
            self._identity = self._read_identity()
        snapshot = self._read_snapshot(names)
        self._read_segments(names)
        entries = self._entries_after(snapshot)
        if not self._segments:
            self._create_segment(1)
        self._discard_conflicting_log(snapshot)
        self._remove_obsolete_files(snapshot)
        self._failed = False
        return StoreState(
            self._identity.identity, self._hard_state, snapshot, tuple(entries)
        )

    def _initialize_folder(self, names: list[str]) -> None:
        if any(name.startswith((LOG_PREFIX, SNAPSHOT_PREFIX)) for name in names):
            raise self._build_damage_error("log files without an identity file")
        identity = _Identity(encode_identity(secrets.token_bytes(IDENTITY_BYTES)), 1)
        self._write_identity(identity)
        log_event(IDENTITY_CREATED, identity=identity.identity)

    def _read_identity(self) -> _Identity:
        data = self._files.read(IDENTITY_FILE)
        frame = decode_frame(data, 0, checksum_seed(IDENTITY_FILE))
        if frame is None or frame.kind != KIND_IDENTITY:
            raise self._build_damage_error("the identity file is corrupt")
        return _decode_identity(frame.payload)

    def _read_snapshot(self, names: list[str]) -> Snapshot | None:
        current_names = self._current_generation_names(names, SNAPSHOT_PREFIX)
        if not current_names:
            return None
        name = max(current_names)
        frame = decode_frame(self._files.read(name), 0, self._seed(name))
        if frame is None or frame.kind != KIND_SNAPSHOT:
            raise self._build_damage_error(f"{name} is corrupt")
        return _decode_snapshot(frame.payload)

    def _read_segments(self, names: list[str]) -> None:
        self._segments = []
        self._entries = []
        self._hard_state = HardState()
        current_names = sorted(self._current_generation_names(names, LOG_PREFIX))
        for name in current_names:
            segment = _Segment(int(name.rsplit("-", 1)[1]), name, self._seed(name))
            previous = self._segments[-1] if self._segments else None
            if previous and segment.sequence != previous.sequence + 1:
                raise self._build_damage_error(f"the segment before {name} is missing")
            self._read_segment(segment, is_last=name == current_names[-1])

    def _read_segment(self, segment: _Segment, is_last: bool) -> None:
        data = self._files.read(segment.name)
        for frame in read_frames(data, segment.seed):
            if segment.size == 0:
                self._replay_header(frame, segment)
            else:
                self._replay_batch(_decode_batch(frame.payload), segment)
            segment.size = frame.end
        if segment.size == len(data) and data:
            self._segments.append(segment)
            if is_last:
                self._sync_tail(segment)
            return
        self._repair_tail(segment, data, is_last)

    def _sync_tail(self, segment: _Segment) -> None:
        """Sync a segment after reading it.

        After a crash of only the process, bytes that were written but not synced are
        still readable. They must be durable, because they may now be acknowledged.
        """
        self._files.sync(segment.name)
        self._files.sync_folder()

    def _repair_tail(self, segment: _Segment, data: bytes, is_last: bool) -> None:
        where = f"{segment.name} at byte {segment.size}"
        if not is_last:
            raise self._build_damage_error(
                f"corrupt record in {where}, before the last segment"
            )
        if has_later_frame(data, segment.size, segment.seed):
            raise self._build_damage_error(
                f"corrupt record in {where}, before a valid record"
            )
        log_event(
            TORN_TAIL_TRUNCATED,
            file=segment.name,
            offset=segment.size,
            removed_bytes=len(data) - segment.size,
        )
        if segment.size == 0:
            self._files.remove(segment.name)
            self._files.sync_folder()
            return
        self._files.truncate(segment.name, segment.size)
        self._segments.append(segment)
        self._sync_tail(segment)

    def _replay_header(self, frame, segment: _Segment) -> None:
        if frame.kind != KIND_SEGMENT:
            raise self._build_damage_error(
                f"{segment.name} does not start with a header"
            )
        self._hard_state = _decode_hard_state(frame.payload)

    def _replay_batch(self, records: Iterable[Record], segment: _Segment) -> None:
        for record in records:
            match record:
                case HardState():
                    self._hard_state = record
                case TruncateSuffix(index):
                    self._remove_entries_above(index)
                case AppendEntry(entry):
                    self._replay_entry(entry, segment)

    def _replay_entry(self, entry: Entry, segment: _Segment) -> None:
        if self._entries and entry.index > self._entries[-1].index + 1:
            raise self._build_damage_error(
                f"entry {entry.index - 1} is missing in {segment.name}"
            )
        self._remove_entries_above(entry.index - 1)
        self._entries.append(entry)
        segment.last_index = max(segment.last_index, entry.index)

    def _remove_entries_above(self, index: int) -> None:
        if self._entries:
            keep = index - self._entries[0].index + 1
            del self._entries[max(0, keep) :]

    def _entries_after(self, snapshot: Snapshot | None) -> list[Entry]:
        if snapshot and self._conflicts_with_log(snapshot):
            return []
        base = snapshot.index if snapshot else 0
        after = [entry for entry in self._entries if entry.index > base]
        if after and after[0].index != base + 1:
            raise self._build_damage_error(f"entry {base + 1} is missing")
        return after

    def _conflicts_with_log(self, snapshot: Snapshot) -> bool:
        """Whether the log ends before the snapshot or conflicts with it."""
        if not self._entries or self._entries[0].index > snapshot.index:
            return False
        at_base = next((e for e in self._entries if e.index == snapshot.index), None)
        return at_base is None or at_base.term != snapshot.term

    def _discard_conflicting_log(self, snapshot: Snapshot | None) -> None:
        """Discard a log that conflicts with the snapshot.

        This occurs after a crash that followed the save of a leader's snapshot. Entries
        appended after the snapshot would otherwise follow the old ones with a gap.
        """
        if snapshot and self._conflicts_with_log(snapshot):
            self._write_batch([TruncateSuffix(0)])
        self._entries = []

    def _remove_obsolete_files(self, snapshot: Snapshot | None) -> None:
        """Remove temporary files, old snapshots and old generations.

        The generation before the current one is kept for manual inspection.
        """
        current = self._snapshot_name(snapshot.index) if snapshot else ""
        names = self._files.names()
        for name in names:
            old_snapshot = (
                name in self._current_generation_names(names, SNAPSHOT_PREFIX)
                and name != current
            )
            generation = _generation_of(name)
            expired = generation is not None and generation < self._generation - 1
            if name.endswith(TEMPORARY_SUFFIX) or old_snapshot or expired:
                self._files.remove(name)
        self._remove_segments(snapshot.index if snapshot else 0)
        self._files.sync_folder()

    # Writing

    def _write_batch(self, records: list[Record]) -> None:
        segment = self._segments[-1]
        if segment.size >= self._segment_bytes:
            segment = self._create_segment(segment.sequence + 1)
        frame = encode_frame(KIND_BATCH, _encode(records), segment.seed)
        self._files.append(segment.name, frame)
        self._files.sync(segment.name)
        segment.size += len(frame)
        for record in records:
            if isinstance(record, HardState):
                self._hard_state = record
            elif isinstance(record, AppendEntry):
                segment.last_index = max(segment.last_index, record.entry.index)

    def _create_segment(self, sequence: int) -> _Segment:
        name = f"{LOG_PREFIX}{self._generation:08d}-{sequence:08d}"
        segment = _Segment(sequence, name, self._seed(name))
        frame = encode_frame(KIND_SEGMENT, _encode(self._hard_state), segment.seed)
        self._files.append(name, frame)
        self._files.sync(name)
        self._files.sync_folder()
        segment.size = len(frame)
        self._segments.append(segment)
        return segment

    def _save_snapshot(self, snapshot: Snapshot, discard_log: bool) -> None:
        name = self._snapshot_name(snapshot.index)
        self._replace_file(name, KIND_SNAPSHOT, _encode(snapshot), self._seed(name))
        if discard_log:
            self._write_batch([TruncateSuffix(0)])
        if discard_log or self._segments[-1].size >= ROTATE_AT_SNAPSHOT_BYTES:
            self._create_segment(self._segments[-1].sequence + 1)
        for old in self._current_generation_names(self._files.names(), SNAPSHOT_PREFIX):
            if old != name:
                self._files.remove(old)
        self._remove_segments(None if discard_log else snapshot.index)
        self._files.sync_folder()

    def _remove_segments(self, index: int | None) -> None:
        """Remove the leading segments without entries above `index`.

        The last segment is always kept. With None, all others are removed.
        """
        while len(self._segments) > 1:
            if index is not None and self._segments[0].last_index > index:
                return
            self._files.remove(self._segments.pop(0).name)
            # Each removal is synced separately. If a crash undid an earlier removal but
            # not a later one, a segment would appear to be missing.
            self._files.sync_folder()

    def _change_identity(self, identity: str) -> None:
        """Start a new generation.

        The write of the identity file makes it the current one.
        """
        self._write_identity(_Identity(identity, self._generation + 1))
        self._hard_state = HardState()
        self._segments = []
        self._create_segment(1)

    def _write_identity(self, identity: _Identity) -> None:
        payload = _encode(identity)
        seed = checksum_seed(IDENTITY_FILE)
        self._replace_file(IDENTITY_FILE, KIND_IDENTITY, payload, seed)
        self._identity = identity

    def _replace_file(self, name: str, kind: int, payload: bytes, seed: int) -> None:
        temporary = name + TEMPORARY_SUFFIX
        if temporary in self._files.names():
            self._files.remove(temporary)
        self._files.append(temporary, encode_frame(kind, payload, seed))
        self._files.sync(temporary)
        self._files.rename(temporary, name)
        self._files.sync_folder()

    # Names

    @property
    def _generation(self) -> int:
        return self._identity.generation

    def _current_generation_names(self, names: list[str], prefix: str) -> list[str]:
        start = f"{prefix}{self._generation:08d}-"
        return [
            name
            for name in names
            if name.startswith(start) and not name.endswith(TEMPORARY_SUFFIX)
        ]

    def _snapshot_name(self, index: int) -> str:
        return f"{SNAPSHOT_PREFIX}{self._generation:08d}-{index:012d}"

    def _seed(self, name: str) -> int:
        return checksum_seed(f"{self._identity.identity}/{name}")


def _write_category(record: Record) -> type:
    if isinstance(record, SaveSnapshot | ChangeIdentity):
        return type(record)
    return HardState


def _generation_of(name: str) -> int | None:
    parts = name.split("-")
    if name.startswith((LOG_PREFIX, SNAPSHOT_PREFIX)) and len(parts) == 3:
        return int(parts[1])
    return None
