"""Effects returned by `RaftNode`, in addition to those of `papayacrank.kernel`."""

from dataclasses import dataclass, field
from typing import Any

from papayacrank.kernel import LogEvent

from ._messages import Record


@dataclass(frozen=True, slots=True)
class Persist:
    """Write and sync records, then call `RaftNode.persisted` with the token.

    Parameters
    ----------
    token : int
        Increasing sequence number; records are written in the order of the tokens.
    records : tuple of Record
        Argument for `LogStore.append`.
    """

    token: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Apply a committed entry to the state machine.

    Indices increase with gaps, because no-op and membership entries are not passed to
    the state machine.

    Parameters
    ----------
    index, term : int
        Position in the log. An entry proposed at this index in another term was
        overwritten.
    data : bytes
        Payload of the proposal.
    """

    index: int
    term: int
    data: bytes


@dataclass(frozen=True, slots=True)
class InstallState:
    """Replace the state of the state machine.

    Parameters
    ----------
    data : bytes
        State as passed to `RaftNode.compact`. Empty for the initial state, which is
        installed when a member discards its folder after it has applied entries.
    index : int
        Log index of the last entry included in the state.
    """

    data: bytes
    index: int


@dataclass(frozen=True, slots=True)
class EmitEvent:
    """Log an event with `papayacrank.kernel.log_event`.

    Parameters
    ----------
    event : LogEvent
        Event to log.
    fields : dict
        Keyword arguments of `log_event`.
    """

    event: LogEvent
    fields: dict[str, Any] = field(default_factory=dict)
