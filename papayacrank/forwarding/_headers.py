"""Removal of hop-by-hop headers; header names are lower case throughout."""

from collections.abc import Set

HeaderList = list[tuple[bytes, bytes]]

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def drop_headers(headers: HeaderList, dropped: Set[bytes]) -> HeaderList:
    """Return the headers without given names and those that ``Connection`` lists.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Headers with lower-case names.
    dropped : set of bytes
        Lower-case names of the headers to remove.
    """
    named = {
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    }
    named |= dropped
    return [(name, value) for name, value in headers if name not in named]
