"""Entries of the replicated log."""

import msgspec

from papayacrank.messages import (
    ConcludeRollout,
    ControlRequest,
    Heartbeat,
    StartRollout,
)


class InstanceRef(msgspec.Struct, frozen=True):
    """Reference to one process of an instance.

    Attributes
    ----------
    boot : int
        Boot number of the process.
    """

    instance: str
    boot: int


class CommandEntry(msgspec.Struct, tag=True, frozen=True):
    """A command and the process that sent it.

    Attributes
    ----------
    at_ms : int
        Group time in milliseconds: the time since the election of the leader, added
        to the group time of the last entry before it. It never decreases and doesn't
        advance while there is no leader.
    wall_ms : int
        Leader's wall clock in milliseconds since the epoch. It dates records and
        usage, and never affects leases or expiry.
    """

    at_ms: int
    wall_ms: int
    request: ControlRequest


class HeartbeatEntry(msgspec.Struct, tag=True, frozen=True, omit_defaults=True):
    """Batch of heartbeats that change the state.

    Attributes
    ----------
    member_formats : dict of str to int
        Highest format of entries that each member of the control group reads, by
        identity; empty if it has not changed. It is a field of this entry because older
        builds read the entry, ignore the field and do nothing without heartbeats.
    """

    at_ms: int
    wall_ms: int
    heartbeats: list[Heartbeat]
    member_formats: dict[str, int] = {}


class ExpireEntry(msgspec.Struct, tag=True, frozen=True):
    """Expiry of the leases of entry processes."""

    at_ms: int
    wall_ms: int
    instances: list[InstanceRef]


class LeaderEntry(msgspec.Struct, tag=True, frozen=True):
    """Election of a leader, which restarts all leases."""

    at_ms: int
    wall_ms: int
    leader: str


class OrderEntry(msgspec.Struct, tag=True, frozen=True):
    """Start of an attempt to send an order, or its failure.

    Attributes
    ----------
    issue : bool
        True before the leader sends the order, which assigns a new fencing token;
        False when the attempt ended without confirmation.
    observed : str
        State read back from the target, empty if it did not respond.
    """

    at_ms: int
    wall_ms: int
    order_id: str
    issue: bool
    observed: str = ""


Entry = CommandEntry | HeartbeatEntry | ExpireEntry | LeaderEntry | OrderEntry

# Highest format of entries and snapshots that this build reads. A build that adds a
# type of entry or command, or a table, raises it by one and lists the new types below.
# Members state it to the leader, which proposes an entry only if all of them read it.
ENTRY_FORMAT = 1
# First format with a type of entry or of command; 0 if it is not listed.
FORMAT_BY_TYPE: dict[type, int] = {StartRollout: 1, ConcludeRollout: 1}

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Entry)


def encode_entry(entry: Entry) -> bytes:
    """Encode a log entry."""
    return _encoder.encode(entry)


def find_format(entry: Entry) -> int:
    """Return the format that a process must read to apply an entry."""
    entry_format = FORMAT_BY_TYPE.get(type(entry), 0)
    if isinstance(entry, CommandEntry):
        command_format = FORMAT_BY_TYPE.get(type(entry.request.command), 0)
        entry_format = max(entry_format, command_format)
    return entry_format


def decode_entry(data: bytes) -> Entry:
    """Decode a log entry.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not a valid entry.
    """
    return _decoder.decode(data)
