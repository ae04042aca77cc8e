"""Entry process, which serves the HTTP interface for callers."""

from ._process import EntryProcess, StartState

__all__ = ["EntryProcess", "StartState"]
