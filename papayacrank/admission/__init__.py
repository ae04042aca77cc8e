"""Token budgets shared by all instances, and fair admission at each instance.

The control group maintains a `BudgetLedger`. Each entry process holds `LocalShares` of
the budgets under a lease, from which an `AdmissionPolicy` admits requests.
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
