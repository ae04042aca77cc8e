"""Calls to targets and their results."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ._headers import HeaderList


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Reason why a call got no complete response.

    Parameters
    ----------
    code : str
        ``"connect_failed"``, ``"connect_timeout"``, ``"connection_lost"``,
        ``"malformed_answer"``, ``"answer_too_large"``, ``"too_many_connections"``,
        ``"too_many_bytes"``, ``"request_unread"``, ``"permit_expired"`` or
        ``"other_start"``.
    may_have_run : bool
        Whether any byte of the request was handed to the operating system.
    message : str
        Details, such as the name of a socket error.
    """

    code: str
    may_have_run: bool
    message: str = ""


@dataclass(frozen=True, slots=True)
class StartCheck:
    """Check that the process at an address is a known start of a target.

    A connection cannot outlive the process that accepted it, so each connection is
    checked once, before the first call that needs it.

    Parameters
    ----------
    name : str
        Name of the target.
    started_ms : int
        Start time of the target as listed, in milliseconds.
    method, target, headers : str, str, list of (bytes, bytes)
        Request for the start time, without framing headers.
    read_start : callable
        Returns the start time for the status and body of the response, or None.
    """

    name: str
    started_ms: int
    method: str
    target: str
    headers: HeaderList
    read_start: Callable[[int, bytes], int | None]


class CallListener(ABC):
    """Callback interface for the response to a call."""

    @abstractmethod
    def matches_call(
        self, call: "TargetCall", status: int, headers: HeaderList
    ) -> bool:
        """Whether a response belongs to the call and not to an earlier one."""

    @abstractmethod
    def on_response(self, call: "TargetCall", status: int, headers: HeaderList) -> None:
        """Handle the head of the response."""

    @abstractmethod
    def on_data(self, call: "TargetCall", data: bytes) -> None:
        """Handle a chunk of the body."""

    @abstractmethod
    def on_ended(self, call: "TargetCall") -> None:
        """Handle the end of a complete response."""

    @abstractmethod
    def on_failed(self, call: "TargetCall", failure: CallFailure) -> None:
        """Handle a call that ends without a complete response."""


@dataclass(eq=False)
class TargetCall:
    """One request to a target.

    Parameters
    ----------
    address : str
        Address of the target as ``ip:port``.
    method : str
        HTTP method.
    target : str
        HTTP request target, path and query.
    headers : list of (bytes, bytes)
        Headers without framing headers.
    body : bytes
        Body of the request.
    listener : CallListener
        Receiver of the response.
    max_connections : int
        Limit on connections of this process to the target.
    needs_new_connection : bool
        Whether an idle connection must not be reused, because a response to an earlier
        attempt of the same request could not be distinguished from one to this.
    is_buffered : bool
        Whether the listener buffers the body until it is complete.
    held_bytes : int
        Bytes of a body that is not buffered which the listener holds, such as an
        incomplete event.
    unsent_bytes : callable or None
        Returns the bytes of a forwarded stream that its caller has not accepted yet.
    send_before_ms : int or None
        Time from which the request must not be sent any more, because its permit has
        expired, for example while the process was suspended.
    start_check : StartCheck or None
        Check of the process at the address before the request is sent.
    opened_ms : int or None
        Time at which the connection of the call was opened, once it was sent.
    state : object
        Data of the listener.
    bytes_written : bool
        Whether any byte of the request was handed to the operating system.
    is_open : bool
        Whether the listener still expects a result.
    reused : bool
        Whether the call was sent over a reused connection.
    ended_by_close : bool
        Whether the end of the connection was the end of the response.
    """

    address: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    listener: CallListener
    max_connections: int = 64
    needs_new_connection: bool = False
    is_buffered: bool = False
    held_bytes: int = 0
    unsent_bytes: Callable[[], int] | None = None
    send_before_ms: int | None = None
    start_check: StartCheck | None = None
    opened_ms: int | None = None
    state: Any = None
    bytes_written: bool = False
    is_open: bool = True
    reused: bool = False
    ended_by_close: bool = False
