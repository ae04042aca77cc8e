"""Durable store of the replicated log (interface; body follows)."""

from collections.abc import Sequence
from pathlib import Path

from ._messages import Record, Snapshot, StoreState


class LogStoreError(RuntimeError):
    """The data folder is damaged or cannot be written."""


class LogStore:
    """Durable store in one folder.

    Parameters
    ----------
    folder : str or Path
        Data folder; created if missing.
    """

    def __init__(self, folder: str | Path):
        self._folder = Path(folder)

    def load(self) -> StoreState:
        """Read and repair the folder; create an identity in an empty one."""
        raise NotImplementedError

    def append(self, records: Sequence[Record]) -> None:
        """Write records as one batch and return once they are synced."""
        raise NotImplementedError

    def save_snapshot(self, snapshot: Snapshot, discard_log: bool = False) -> None:
        """Store a snapshot and remove the log before it."""
        raise NotImplementedError

    def truncate_suffix(self, index: int) -> None:
        """Remove all entries with an index above `index`."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the files."""
        raise NotImplementedError
