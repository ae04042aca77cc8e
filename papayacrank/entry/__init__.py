"""Entry process: serves callers."""

from ._process import EntryProcess, StartState

__all__ = ["EntryProcess", "StartState"]
