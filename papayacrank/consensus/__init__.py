"""Replicated log: Raft state machine (`RaftNode`) and durable store (`LogStore`).

`RaftNode` performs no I/O. The process that owns it runs the effects it returns::

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
                case Committed(index, term, data): reply(machine.apply(index, data))
                case EmitEvent(event, fields): log_event(event, **fields)
                case Persist(token, records):
                    store.append(records)
                    run(node.persisted(token, clock.now_ms()))

- Pass each received message of `CONSENSUS_MESSAGES` to
  ``run(node.receive(sender, message, now_ms))``, where `sender` is the name of the
  sending process.
- When a timer fires, call ``run(node.tick(name, now_ms))``. All timer names start
  with ``raft.``.
- ``node.propose(data, now_ms)`` and ``node.change_member(change, now_ms)`` buffer an
  entry and return a `Result`. ``run(node.flush(now_ms))`` then replicates and
  persists all buffered entries as one batch with one sync. Call it once per batch of
  proposals.
- `propose` returns the log index of the entry. The outcome is known when `Committed`
  arrives for this index or a later one. The same index with the ``node.term`` of the
  proposal means that the entry was committed; another term at that index means that
  it was overwritten. After an `InstallState` past the index the outcome stays unknown.
  Losing leadership alone does not determine the outcome.
- Run the effects in the order in which they are returned. Another thread may run
  `Persist`, provided that the records are written in the order of the tokens and
  `persisted` is called on the node's thread.
- When ``node.wants_snapshot`` is true, call
  ``run(node.compact(index, machine.snapshot(), now_ms))``, where `index` is that of
  the last `Committed` that was applied.
- Serve reads and feed responses only while ``node.has_lease(now_ms)`` is true, and
  only after all effects have been run. It becomes true once an entry of the current
  term is committed.
- `InstallState` with empty data stands for the initial state of the state machine.
- `LogStoreError` means that the folder is damaged or not writable. Stop the process;
  after a failed sync no entry may be acknowledged.
"""

from ._effects import Committed, EmitEvent, InstallState, Persist
from ._files import MemoryFiles
from ._member_changes import AddLearner, MemberChange, Promote, Remove, Replace
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
from ._node import ENTRY_TOO_LARGE, RaftNode
from ._settings import Protections, RaftSettings
from ._store import LogStore, LogStoreError
from ._tolerance import LossTolerance

__all__ = [
    "CONSENSUS_MESSAGES",
    "ENTRY_TOO_LARGE",
    "AddLearner",
    "Committed",
    "Entry",
    "HardState",
    "InstallState",
    "LogStore",
    "LogStoreError",
    "LossTolerance",
    "MemoryFiles",
    "Member",
    "MemberChange",
    "Membership",
    "EmitEvent",
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
