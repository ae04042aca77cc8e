"""Effects of the consensus core, besides those of `papayacrank.kernel`."""

from dataclasses import dataclass, field
from typing import Any

from papayacrank.kernel import LogEvent

from ._messages import Record


@dataclass(frozen=True, slots=True)
class Persist:
    """Write records durably, then call `RaftNode.persisted` with the token.

    Parameters
    ----------
    token : int
        Increasing number. Records are written in the order of the tokens.
    records : tuple of Record
        Argument for `LogStore.append`.
    """

    token: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """Apply a committed entry of the state machine.

    Indices increase but have gaps, because no-op and membership entries are not
    passed on.

    Parameters
    ----------
    index, term : int
        Position in the log. A proposer whose entry had another term at this index
        lost it.
    data : bytes
        What was proposed.
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
        State as passed to `RaftNode.compact`. Empty for the initial state, when a
        member has to discard its folder after it has applied entries.
    index : int
        Log index of the last entry that the state includes.
    """

    data: bytes
    index: int


@dataclass(frozen=True, slots=True)
class Notice:
    """Write a log line with `papayacrank.kernel.log_event`."""

    event: LogEvent
    fields: dict[str, Any] = field(default_factory=dict)
