"""Writes to the log store that do not block the event loop during snapshots."""

from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor

from circuits import BaseComponent, Event, handler

from papayacrank.consensus import LogStore, Record, SaveSnapshot


class records_written(Event):  # noqa: N801 - circuits events are lower case
    """A background write has ended: ``records_written(token, error)``."""


class LogStoreWriter(BaseComponent):
    """Component that writes records in the order of submission.

    Small batches are written synchronously, because handing them to a thread takes
    longer than the sync to disk. Writing a snapshot may take longer than the leader
    lease, so a thread writes it and all records that follow until the thread is idle.

    Parameters
    ----------
    store : LogStore
        Store whose records were loaded.
    """

    channel = "store-writer"

    def __init__(self, store: LogStore):
        super().__init__()
        self._store = store
        self._executor = ThreadPoolExecutor(1, "store-writer")
        self._pending_writes = 0

    def write(self, token: int, records: Sequence[Record]) -> bool:
        """Write records.

        Returns
        -------
        bool
            True if the records are durable; False if a `records_written` event follows.

        Raises
        ------
        LogStoreError
            If the records cannot be written.
        """
        has_snapshot = any(isinstance(record, SaveSnapshot) for record in records)
        if not has_snapshot and not self._pending_writes:
            self._store.append(records)
            return True
        self._pending_writes += 1
        future = self._executor.submit(self._store.append, records)
        future.add_done_callback(lambda done: self._notify(token, done))
        return False

    def _notify(self, token: int, done: Future) -> None:
        """Fire the event from the writer thread; the event loop handles it."""
        self.fire(records_written(token, done.exception()), self.channel)

    @handler("records_written", priority=1.0)
    def _on_records_written(self, token, error):
        self._pending_writes -= 1

    @handler("stopped", channel="*")
    def _on_stopped(self, *_):
        self._executor.shutdown()
