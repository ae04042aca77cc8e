"""Token budgets over all instances, and fair admission at each instance.

The control group keeps a `BudgetLedger`; each entry process keeps `LocalShares` of
it under a lease and an `AdmissionPolicy` in front of them.
"""

from ._base import AdmissionPolicy, AdmissionRequest, Admitted, Refused
from ._fair import FairAdmission
from ._fifo import FifoAdmission
from ._ledger import BudgetLedger, WorkspaceBudget
from ._limiter import ConcurrencyLimiter
from ._shares import LocalShares

__all__ = [
    "AdmissionPolicy",
    "AdmissionRequest",
    "Admitted",
    "BudgetLedger",
    "ConcurrencyLimiter",
    "FairAdmission",
    "FifoAdmission",
    "LocalShares",
    "Refused",
    "WorkspaceBudget",
]
