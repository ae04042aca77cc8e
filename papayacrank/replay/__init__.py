"""Replays traces through the routing and admission code in virtual time."""

from ._bound import run_bound
from ._generate import generate_trace
from ._metrics import Measures, measure
from ._runner import Run, Runner
from ._trace import Arrival, Fault, Header, Trace, load_trace, read_trace, write_trace

__all__ = [
    "Arrival",
    "Fault",
    "Header",
    "Measures",
    "Run",
    "Runner",
    "Trace",
    "generate_trace",
    "load_trace",
    "measure",
    "read_trace",
    "run_bound",
    "write_trace",
]
