"""HTTP calls as effects of the control process, and their results."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpCall:
    """Effect that makes one HTTP call; its result carries the same key.

    Parameters
    ----------
    key : str
        Identifier of the call.
    url : str
        ``http://ip:port/path``.
    body : bytes
        JSON body; empty for GET.
    headers : tuple of (str, str)
        Additional headers.
    timeout_ms : int
        Time limit of the whole call, including the connection.
    max_bytes : int
        Limit on the size of the response, including its head; a larger one fails.
    needs_lease : bool
        Whether the call may only be sent while the leader lease is valid. The lease can
        expire while the connection is opened, for example in a suspended process.
    """

    key: str
    method: str
    url: str
    body: bytes = b""
    timeout_ms: int = 2_000
    headers: tuple[tuple[str, str], ...] = ()
    max_bytes: int = 65_536
    needs_lease: bool = False


@dataclass(frozen=True, slots=True)
class HttpResult:
    """Result of an `HttpCall`.

    Parameters
    ----------
    status : int
        HTTP status; 0 if no complete response was received.
    error : str
        Reason if no complete response was received.
    headers : tuple of (str, str)
        Headers of the response, with names in lower case.
    """

    key: str
    status: int
    body: bytes = b""
    error: str = ""
    headers: tuple[tuple[str, str], ...] = ()
