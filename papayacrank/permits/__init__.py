"""Permits for requests to targets that state a request rate limit."""

from ._allocator import PermitAllocator
from ._client import (
    ANY_PERMIT_WAIT_MS,
    MAX_PERMIT_REQUESTS,
    NO_PERMITS,
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
    "ANY_PERMIT_WAIT_MS",
    "MAX_PERMIT_REQUESTS",
    "NO_PERMITS",
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
