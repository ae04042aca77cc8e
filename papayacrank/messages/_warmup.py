"""Copy of routing state from one entry process to a starting one."""

import msgspec


class WarmupRequest(msgspec.Struct, tag=True, frozen=True):
    """Ask a serving entry process for its routing state.

    Attributes
    ----------
    cursor : str
        Empty for the first page, else the cursor of the previous reply.
    """

    instance: str
    boot: int
    cursor: str = ""


class WarmupReply(msgspec.Struct, tag=True, frozen=True):
    """One page of the routing state.

    Attributes
    ----------
    accepted : bool
        False if too many instances copy at present.
    cursor : str
        Cursor of the next page, empty at the end.
    page : bytes
        Opaque part, encoded by the routing code.
    """

    accepted: bool
    cursor: str = ""
    page: bytes = b""
