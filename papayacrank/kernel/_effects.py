"""Effects that are returned by code that performs no I/O itself."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Send:
    """Request to send a message.

    Parameters
    ----------
    to : str
        Name of the receiving process.
    message : Any
        A typed message (``msgspec.Struct``).
    """

    to: str
    message: Any


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request to start a timer, which replaces a timer of the same name.

    Parameters
    ----------
    name : str
        Name that is passed to the handler when the timer expires.
    at_ms : int
        Expiry time on the clock of the process, in milliseconds.
    """

    name: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Request to cancel a timer.

    Parameters
    ----------
    name : str
        Name of the timer; unknown names are ignored.
    """

    name: str


Effect = Send | SetTimer | CancelTimer
