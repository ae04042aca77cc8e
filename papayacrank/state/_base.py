"""Base class and helpers of the replicated tables."""

from abc import ABC, abstractmethod
from typing import Any

from papayacrank.kernel import Verdict
from papayacrank.messages import FailureRecord


class Table(ABC):
    """Base class for parts of the replicated state that snapshots contain."""

    @abstractmethod
    def dump(self) -> Any:
        """Return the snapshot as a struct that msgspec can encode."""

    @abstractmethod
    def load(self, dumped: Any) -> None:
        """Replace the content by a snapshot that `dump` returned."""


def refuse(
    code: str, message: str, status: int = 409, details: dict | None = None
) -> FailureRecord:
    """Build the failure of a refused command, which changed nothing."""
    return FailureRecord(
        code, Verdict.NOT_RUN.value, message, status, None, details or {}
    )


def evict_oldest(table: dict, limit: int) -> None:
    """Remove the oldest insertions of a dict until it has `limit` entries."""
    while len(table) > limit:
        del table[next(iter(table))]
