"""Tests of the log store: crashes at every sync, torn tails and corrupt files."""

from random import Random

import pytest

from papayacrank.consensus import (
    Entry,
    HardState,
    LogStore,
    LogStoreError,
    Membership,
    Snapshot,
)
from papayacrank.consensus._messages import AppendEntry, ChangeIdentity, SaveSnapshot
from papayacrank.consensus.tests._disk import SimulatedCrashError, SimulatedFiles


def entry(index: int, term: int = 1) -> AppendEntry:
    return AppendEntry(Entry(index, term, 1, b"x" * 40))


def snapshot(index: int, term: int = 1) -> Snapshot:
    return Snapshot(index, term, Membership(), b"state")


def summarize(state) -> tuple:
    base = state.snapshot.index if state.snapshot else 0
    terms = tuple(e.term for e in state.entries)
    return state.identity, state.hard_state, base, terms


BATCHES = [
    [HardState(1, "a", "g"), entry(1), entry(2)],
    [entry(3), entry(4), entry(5)],
    [HardState(2, "b", "g"), entry(4, 2)],
    [SaveSnapshot(snapshot(3))],
    [entry(5, 2), entry(6, 2)],
    [HardState(3, "", "g"), SaveSnapshot(snapshot(9, 3), discard_log=True)],
    [entry(10, 3)],
    [ChangeIdentity("other"), HardState(0, "", "")],
    [HardState(4, "c", "g"), entry(1, 4)],
]


def write_all(store: LogStore, acknowledged: list[int]) -> None:
    for number, batch in enumerate(BATCHES, 1):
        store.append(batch)
        acknowledged.append(number)


def test_crash_at_every_sync_keeps_what_was_acknowledged():
    """Guards against the loss of acknowledged records in a power failure.

    Records of the interrupted batch may or may not survive, but nothing else changes.
    """
    crash_at, crashed = 1, True
    while crashed:
        crashed = False
        for seed in range(12):
            files = SimulatedFiles(Random(seed))
            acknowledged: list[int] = []
            files.crash_at_sync = crash_at
            try:
                store = LogStore("", files, segment_bytes=200)
                store.load()
                write_all(store, acknowledged)
            except SimulatedCrashError:
                crashed = True
                files.lose_unsynced()
            files.crash_at_sync = None
            found = summarize(LogStore("", files, segment_bytes=200).load())
            batch_count = acknowledged[-1] if acknowledged else 0
            allowed = possible_states(batch_count)
            assert found[1:] in allowed, f"sync {crash_at}, seed {seed}"
            reloaded = LogStore("", files, segment_bytes=200)
            assert summarize(reloaded.load()) == found
            reloaded.append([HardState(9, "z", "g")])
        crash_at += 1
    assert crash_at > 30


def possible_states(batch_count: int) -> list[tuple]:
    """Return the states after the first `batch_count` batches and within the next."""
    records = [r for batch in BATCHES[:batch_count] for r in batch]
    states = [replay(records)]
    for record in BATCHES[batch_count] if batch_count < len(BATCHES) else []:
        records.append(record)
        states.append(replay(records))
    return states


def replay(records) -> tuple:
    hard_state, base, terms = HardState(), 0, {}
    for record in records:
        match record:
            case HardState():
                hard_state = record
            case AppendEntry(item):
                terms = {i: t for i, t in terms.items() if i < item.index}
                terms[item.index] = item.term
            case SaveSnapshot(saved, discard):
                base = saved.index
                terms = {i: t for i, t in terms.items() if i > base and not discard}
            case ChangeIdentity():
                hard_state, base, terms = HardState(), 0, {}
    return hard_state, base, tuple(terms.values())


@pytest.fixture
def folder(tmp_path):
    store = LogStore(tmp_path / "data", segment_bytes=250)
    store.load()
    for index in range(1, 13):
        store.append([entry(index)])
    store.close()
    return tmp_path / "data"


def load(folder):
    store = LogStore(folder)
    try:
        return store.load()
    finally:
        store.close()


def segments(folder):
    return sorted(folder.glob("log-*"))


@pytest.mark.parametrize("cut", [1, 8, 30, 60])
def test_torn_tail_is_removed(folder, cut):
    """Guards against a process that can't start after a power failure."""
    last = segments(folder)[-1]
    last.write_bytes(last.read_bytes()[:-cut])
    assert len(load(folder).entries) == 11
    assert len(load(folder).entries) == 11


@pytest.mark.parametrize("segment", [0, 1, -1])
def test_damage_before_the_tail_is_an_error_and_changes_nothing(folder, segment):
    """Guards against a repair that removes acknowledged entries."""
    path = segments(folder)[segment]
    data = bytearray(path.read_bytes())
    data[30] ^= 1
    path.write_bytes(data)
    before = {p.name: p.read_bytes() for p in folder.iterdir()}
    with pytest.raises(LogStoreError, match="corrupt"):
        load(folder)
    assert {p.name: p.read_bytes() for p in folder.iterdir()} == before


@pytest.mark.parametrize("missing", ["log-00000001-00000002", "identity"])
def test_missing_file_is_an_error(folder, missing):
    """Guards against creating a new log in an incomplete folder."""
    (folder / missing).unlink()
    with pytest.raises(LogStoreError, match="missing|without"):
        load(folder)


def test_damaged_snapshot_is_an_error(folder):
    """Guards against silently loading an older state."""
    store = LogStore(folder)
    store.load()
    store.append([SaveSnapshot(snapshot(6))])
    store.close()
    path = next(folder.glob("snapshot-*"))
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(LogStoreError, match="snapshot"):
        load(folder)


def test_folder_is_used_by_one_process(folder):
    """Guards against two processes writing to the same log."""
    store = LogStore(folder)
    store.load()
    with pytest.raises(LogStoreError):
        load(folder)
    store.close()


def test_no_write_after_a_failed_sync(folder, monkeypatch):
    """Guards against acknowledgements after a failed sync.

    The content of the file is unknown from then on.
    """
    store = LogStore(folder)
    store.load()

    def fail(name):
        raise OSError("no space left")

    monkeypatch.setattr(store._files, "sync", fail)
    with pytest.raises(LogStoreError, match="no space"):
        store.append([entry(13)])
    monkeypatch.undo()
    with pytest.raises(LogStoreError, match="earlier write failed"):
        store.append([entry(13)])
    store.close()


def test_truncated_suffix_stays_removed(folder):
    """Guards against truncated entries that reappear after a restart."""
    store = LogStore(folder)
    store.load()
    store.truncate_suffix(9)
    store.append([entry(10, 2)])
    store.close()
    assert [e.term for e in load(folder).entries] == [1] * 9 + [2]
