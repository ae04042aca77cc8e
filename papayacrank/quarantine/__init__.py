"""Quarantine of prompt parts that crash targets."""

from ._client import (
    MAX_PARTS_PER_REQUEST,
    PartsAdmission,
    PartsDecision,
    QuarantineClient,
    TrialDecision,
    TrialOutcome,
)
from ._port import QuarantinePort
from ._registry import QuarantineRegistry

__all__ = [
    "MAX_PARTS_PER_REQUEST",
    "PartsAdmission",
    "PartsDecision",
    "QuarantineClient",
    "QuarantinePort",
    "QuarantineRegistry",
    "TrialDecision",
    "TrialOutcome",
]
