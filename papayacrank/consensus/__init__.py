"""Replicated log: decision code (`RaftNode`) and durable store (`LogStore`).

A process drives both as follows::

    store = LogStore(settings.data_folder)
    raft_settings = RaftSettings.from_control(settings)
    node = RaftNode(raft_settings, store.load(), random.Random())
    run(node.start(clock.now_ms()))

    def run(effects):
        for effect in effects:
            match effect:
                case Send(to, message): link.send(to, message)
                case SetTimer(name, at_ms): timers.set(name, at_ms, partial(fire, name))
                case CancelTimer(name): timers.cancel(name)
                case InstallState(data, index): machine.restore(data)
                case Committed(index, term, data): answer(machine.apply(index, data))
                case Notice(event, fields): log_event(event, **fields)
                case Persist(token, records):
                    store.append(records)
                    run(node.persisted(token, clock.now_ms()))

- Every message of `CONSENSUS_MESSAGES` that arrives goes to
  ``run(node.receive(sender, message, now_ms))``. `sender` is the process name.
- A timer that fires goes to ``run(node.tick(name, now_ms))``. All timer names start
  with ``raft.``.
- ``node.propose(data, now_ms)`` and ``node.change_member(change, now_ms)`` return a
  `Result` and buffer the entry. ``run(node.flush(now_ms))`` then replicates and
  persists everything buffered as one batch with one sync. Call it once after a
  round of proposals.
- `propose` returns the log index. The entry is decided when `Committed` for this index
  or a later one is seen: same index and same ``node.term`` as at the proposal means
  that it was committed, another term at that index that it was lost, an `InstallState`
  past it that the outcome is unknown. Losing leadership alone decides nothing.
- Effects are run in the order in which they are returned. `Persist` may be run by
  another thread, as long as the records are written in the order of the tokens and
  `persisted` is called on the node's thread.
- When ``node.wants_snapshot`` is set, call
  ``run(node.compact(index, machine.snapshot(), now_ms))``, with `index` of the last
  `Committed` that was applied.
- Reads and feed answers are allowed while ``node.has_lease(now_ms)``, after all
  effects have been run. It is true only once an entry of the term is committed.
- `InstallState` with empty data means the initial state of a new state machine.
- `LogStoreError` from the store means that the folder is damaged or cannot be
  written: stop the process. After a failed sync nothing may be acknowledged.
"""

from ._effects import Committed, InstallState, Notice, Persist
from ._files import MemoryFiles
from ._membership import AddLearner, MemberChange, Promote, Remove, Replace
from ._messages import (
    CONSENSUS_MESSAGES,
    Entry,
    HardState,
    Member,
    Membership,
    Record,
    SaveSnapshot,
    Snapshot,
    StoreState,
)
from ._node import RaftNode
from ._settings import Protections, RaftSettings
from ._store import LogStore, LogStoreError

__all__ = [
    "CONSENSUS_MESSAGES",
    "AddLearner",
    "Committed",
    "Entry",
    "HardState",
    "InstallState",
    "LogStore",
    "LogStoreError",
    "MemoryFiles",
    "Member",
    "MemberChange",
    "Membership",
    "Notice",
    "Persist",
    "Promote",
    "Protections",
    "RaftNode",
    "RaftSettings",
    "Record",
    "SaveSnapshot",
    "Remove",
    "Replace",
    "Snapshot",
    "StoreState",
]
