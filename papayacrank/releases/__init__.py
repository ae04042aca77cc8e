"""Streams and the releases of the targets' software that began them."""

from ._names import name_stream
from ._port import ReleaseDecision, ReleaseOutcome, ReleasePort

__all__ = ["ReleaseDecision", "ReleaseOutcome", "ReleasePort", "name_stream"]
