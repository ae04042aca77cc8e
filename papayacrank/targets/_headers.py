"""Filtering of headers that are forwarded between callers and targets."""

from collections.abc import Iterable

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
CREDENTIALS = frozenset(
    {"authorization", "cookie", "proxy-authorization", "idempotency-key"}
)
# The client generates these headers from the address and the body that it sends.
FRAMING = frozenset({"host", "content-length", "expect"})

Headers = tuple[tuple[str, str], ...]


def filter_request_headers(
    headers: Iterable[tuple[str, str]], pass_headers: frozenset[str] = frozenset()
) -> Headers:
    """Remove hop-by-hop, framing and credential headers from a request.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers as received from a caller.
    pass_headers : frozenset of str
        Lower-case names of credential headers to keep.

    Returns
    -------
    tuple of (str, str)
        Headers to forward, in their original order.

    Raises
    ------
    ValueError
        If a header name is invalid, or a value contains a line break or NUL.
    """
    headers = tuple(headers)
    dropped = HOP_BY_HOP | FRAMING | _named_by_connection(headers)
    dropped |= CREDENTIALS - pass_headers
    kept = tuple((n, v) for n, v in headers if n.lower() not in dropped)
    for name, value in kept:
        _check_header(name, value)
    return kept


def filter_response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Remove the hop-by-hop headers from a response."""
    headers = tuple(headers)
    dropped = HOP_BY_HOP | _named_by_connection(headers)
    return tuple((n, v) for n, v in headers if n.lower() not in dropped)


def _named_by_connection(headers: Headers) -> frozenset[str]:
    values = [v for n, v in headers if n.lower() == "connection"]
    return frozenset(part.strip().lower() for v in values for part in v.split(","))


def _check_header(name: str, value: str) -> None:
    if not name or not name.isascii() or any(c in name for c in " \t\r\n:\0"):
        raise ValueError(f"invalid header name: {name!r}")
    if any(c in value for c in "\r\n\0"):
        raise ValueError(f"invalid value of header {name}")
