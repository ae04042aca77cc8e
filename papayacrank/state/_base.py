"""Base class of the tables and helpers for failures."""

from abc import ABC, abstractmethod
from typing import Any

from papayacrank.kernel import Verdict
from papayacrank.messages import FailureRecord


class Table(ABC):
    """Part of the replicated state that a snapshot contains."""

    @abstractmethod
    def dump(self) -> Any:
        """Return the content as a struct that msgspec can encode."""

    @abstractmethod
    def load(self, dumped: Any) -> None:
        """Replace the content by what `dump` returned."""


def refuse(
    code: str, message: str, status: int = 409, details: dict | None = None
) -> FailureRecord:
    """Build the failure of a command that changed nothing."""
    return FailureRecord(
        code, Verdict.NOT_RUN.value, message, status, None, details or {}
    )


def evict_oldest(table: dict, limit: int) -> None:
    """Drop the oldest insertions of a dict until it is within the limit."""
    while len(table) > limit:
        del table[next(iter(table))]
