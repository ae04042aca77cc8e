"""Writes to the log store without stopping the event loop for snapshots."""

from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor

from circuits import BaseComponent, Event, handler

from papayacrank.consensus import LogStore, Record, SaveSnapshot


class records_written(Event):  # noqa: N801 - circuits events are lower case
    """A background write ended: ``records_written(token, error)``."""


class StoreWriter(BaseComponent):
    """Component that writes records in the order in which they are given.

    Small batches are written at once, because handing them to a thread takes longer
    than the sync. A snapshot may take longer than the leader's lease, so it is written
    by a thread, and so is everything that follows until the thread is done.

    Parameters
    ----------
    store : LogStore
        Loaded store.
    """

    channel = "store-writer"

    def __init__(self, store: LogStore):
        super().__init__()
        self._store = store
        self._executor = ThreadPoolExecutor(1, "store-writer")
        self._pending = 0

    def write(self, token: int, records: Sequence[Record]) -> bool:
        """Write records.

        Returns
        -------
        bool
            True if the records are durable; False if `records_written` follows.

        Raises
        ------
        LogStoreError
            If the records cannot be written.
        """
        has_snapshot = any(isinstance(record, SaveSnapshot) for record in records)
        if not has_snapshot and not self._pending:
            self._store.append(records)
            return True
        self._pending += 1
        future = self._executor.submit(self._store.append, records)
        future.add_done_callback(lambda done: self._report(token, done))
        return False

    def _report(self, token: int, done: Future) -> None:
        """Called in the writing thread; the event is handled in the event loop."""
        self.fire(records_written(token, done.exception()), self.channel)

    @handler("records_written", priority=1.0)
    def _on_records_written(self, token, error):
        self._pending -= 1

    @handler("stopped", channel="*")
    def _on_stopped(self, *_):
        self._executor.shutdown()
