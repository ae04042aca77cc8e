"""Clocks, failures, plug-in registry, effects and numbered log events."""

from ._clock import Clock, ManualClock, MonotonicClock
from ._compression import CompressionError, compress, decompress
from ._digest import Digest, hash_fields
from ._effects import CancelTimer, Effect, Send, SetTimer
from ._events import (
    LogEvent,
    configure_logging,
    declare_events,
    declared_events,
    log_event,
)
from ._log_stream import BoundedLogStream, GuardedLogStream
from ._registry import create, list_registered, register
from ._verdict import Failure, Verdict

__all__ = [
    "BoundedLogStream",
    "GuardedLogStream",
    "CancelTimer",
    "Clock",
    "CompressionError",
    "Digest",
    "Effect",
    "Failure",
    "LogEvent",
    "ManualClock",
    "MonotonicClock",
    "Send",
    "SetTimer",
    "Verdict",
    "hash_fields",
    "list_registered",
    "compress",
    "configure_logging",
    "create",
    "decompress",
    "declare_events",
    "declared_events",
    "log_event",
    "register",
]
