"""Permits for requests to targets that state a request rate limit."""

from ._allocator import PermitAllocator
from ._client import (
    Permit,
    PermitClient,
    PermitDecision,
    PermitOutcome,
    RateKnowledge,
)
from ._port import PermitPort
from ._rate import RateStatement, read_rate_statement
from ._spread import RetrySpread

__all__ = [
    "Permit",
    "PermitAllocator",
    "PermitClient",
    "PermitDecision",
    "PermitOutcome",
    "PermitPort",
    "RateKnowledge",
    "RateStatement",
    "RetrySpread",
    "read_rate_statement",
]
