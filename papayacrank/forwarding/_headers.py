"""Headers that concern one connection only, in the lower-case form of the ports."""

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
    """Return the headers without some, and without those that ``Connection`` names.

    Parameters
    ----------
    dropped : set of bytes
        Lower-case names.
    """
    named = {
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    }
    named |= dropped
    return [(name, value) for name, value in headers if name not in named]
