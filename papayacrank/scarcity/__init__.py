"""Admission of requests while targets cannot serve all of them inside the objective.

`LoadAdmission` decides at an entry process; `DemandWindow` counts what callers ask
for, and `DemandSums` adds it up at the leader. None of them performs I/O or reads a
clock.
"""

from ._admission import Candidate, LoadAdmission, LoadDecision
from ._demand import DemandKey, DemandSums, DemandWindow
from ._sharing import share_room

__all__ = [
    "Candidate",
    "DemandKey",
    "DemandSums",
    "DemandWindow",
    "LoadAdmission",
    "LoadDecision",
    "share_room",
]
