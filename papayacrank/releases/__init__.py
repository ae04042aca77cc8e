"""Streams and the releases of the targets' software that began them."""

from ._begun import VIEW_LAG_MS
from ._names import name_stream
from ._port import ReleaseDecision, ReleaseOutcome, ReleasePort

__all__ = [
    "VIEW_LAG_MS",
    "ReleaseDecision",
    "ReleaseOutcome",
    "ReleasePort",
    "name_stream",
]
