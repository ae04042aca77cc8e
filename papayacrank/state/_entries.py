"""Entries of the replicated log."""

import msgspec

from papayacrank.messages import ControlRequest, Heartbeat


class InstanceRef(msgspec.Struct, frozen=True):
    """One process of an instance."""

    instance: str
    boot: int


class CommandEntry(msgspec.Struct, tag=True, frozen=True):
    """A command with its sender.

    Attributes
    ----------
    at_ms : int
        Group time: the leader's time since its election, added to the time of the
        last entry before it. It never decreases and stands still without a leader.
    wall_ms : int
        Leader's wall clock in milliseconds since the epoch, for records only.
    """

    at_ms: int
    wall_ms: int
    request: ControlRequest


class HeartbeatEntry(msgspec.Struct, tag=True, frozen=True):
    """Heartbeats of many entry processes that change the state."""

    at_ms: int
    wall_ms: int
    heartbeats: list[Heartbeat]


class ExpireEntry(msgspec.Struct, tag=True, frozen=True):
    """Entry processes whose lease has expired."""

    at_ms: int
    wall_ms: int
    instances: list[InstanceRef]


class LeaderEntry(msgspec.Struct, tag=True, frozen=True):
    """A new leader restarts the count of all leases."""

    at_ms: int
    wall_ms: int
    leader: str


class OrderEntry(msgspec.Struct, tag=True, frozen=True):
    """The leader is about to send an order, or gives an attempt up.

    Attributes
    ----------
    issue : bool
        True before a sending, which takes a new fencing token; False when the
        attempt ended without confirmation.
    observed : str
        State that was read back, empty if the target did not answer.
    """

    at_ms: int
    wall_ms: int
    order_id: str
    issue: bool
    observed: str = ""


Entry = CommandEntry | HeartbeatEntry | ExpireEntry | LeaderEntry | OrderEntry

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Entry)


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry for the log."""
    return _encoder.encode(entry)


def decode_entry(data: bytes) -> Entry:
    """Decode an entry of the log.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are no entry.
    """
    return _decoder.decode(data)
