"""Replays traces through the routing and admission code in virtual time."""

from ._generate import generate_trace
from ._metrics import ReplayMetrics, compute_metrics
from ._offline_bound import compute_offline_bound
from ._runner import Run, Runner
from ._trace import Arrival, Fault, Header, Trace, load_trace, read_trace, write_trace

__all__ = [
    "Arrival",
    "Fault",
    "Header",
    "ReplayMetrics",
    "Run",
    "Runner",
    "Trace",
    "generate_trace",
    "load_trace",
    "compute_metrics",
    "read_trace",
    "compute_offline_bound",
    "write_trace",
]
