"""Replicated state machine of the control group."""

from ._check import check_command
from ._entries import (
    ENTRY_FORMAT,
    CommandEntry,
    Entry,
    ExpireEntry,
    HeartbeatEntry,
    InstanceRef,
    LeaderEntry,
    OrderEntry,
    decode_entry,
    encode_entry,
    find_format,
)
from ._machine import SnapshotError, StateMachine
from ._orders import MAX_WEIGHT_LOADS, OrderRow
from ._releases import ReleaseTable
from ._rollouts import RolloutTable

__all__ = [
    "ENTRY_FORMAT",
    "MAX_WEIGHT_LOADS",
    "CommandEntry",
    "Entry",
    "ExpireEntry",
    "HeartbeatEntry",
    "InstanceRef",
    "LeaderEntry",
    "OrderEntry",
    "OrderRow",
    "ReleaseTable",
    "RolloutTable",
    "SnapshotError",
    "StateMachine",
    "check_command",
    "decode_entry",
    "encode_entry",
    "find_format",
]
