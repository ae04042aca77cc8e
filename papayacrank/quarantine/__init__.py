"""Quarantine of requests and prompt parts that crash targets."""

from ._address_check import AddressCheck, ConnectionCheck
from ._client import (
    PartsAdmission,
    PartsDecision,
    QuarantineClient,
    TrialDecision,
    TrialOutcome,
)
from ._crash_checks import CrashChecks
from ._names import MAX_PARTS_PER_REQUEST, name_request
from ._port import QuarantinePort
from ._registry import QuarantineRegistry

__all__ = [
    "MAX_PARTS_PER_REQUEST",
    "AddressCheck",
    "ConnectionCheck",
    "CrashChecks",
    "PartsAdmission",
    "PartsDecision",
    "QuarantineClient",
    "QuarantinePort",
    "QuarantineRegistry",
    "TrialDecision",
    "TrialOutcome",
    "name_request",
]
