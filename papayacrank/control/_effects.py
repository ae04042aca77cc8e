"""Effects of the control process's decision code."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpCall:
    """Request to make one HTTP call; its result is handed back under the key.

    Parameters
    ----------
    key : str
        Identity of the call.
    url : str
        ``http://ip:port/path``.
    body : bytes
        JSON body; empty for GET.
    headers : tuple of (str, str)
        Further headers.
    max_bytes : int
        Largest answer, with its head; a larger one is an error.
    needs_lease : bool
        Whether only a leader with a lease may send the call. The lease may end while
        the connection is opened, for example in a frozen process.
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
    """Answer to an `HttpCall`.

    Parameters
    ----------
    status : int
        HTTP status; 0 if there was no complete answer.
    error : str
        Reason if there was none.
    headers : tuple of (str, str)
        Headers of the answer, with names in lower case.
    """

    key: str
    status: int
    body: bytes = b""
    error: str = ""
    headers: tuple[tuple[str, str], ...] = ()
