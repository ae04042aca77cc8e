"""Effects that decision code returns instead of performing I/O."""

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
    """Request to be called at a time; replaces a timer of the same name.

    Parameters
    ----------
    name : str
        Name passed back when the timer fires.
    at_ms : int
        Absolute time on the caller's clock, in milliseconds.
    """

    name: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Request to forget a timer.

    Parameters
    ----------
    name : str
        Name of the timer; unknown names are ignored.
    """

    name: str


Effect = Send | SetTimer | CancelTimer
