"""Transfer of routing state to a starting entry process."""

import msgspec


class WarmupRequest(msgspec.Struct, tag=True, frozen=True):
    """Request for a page of the routing state of a serving entry process.

    Attributes
    ----------
    cursor : str
        Empty for the first page, otherwise the cursor of the previous reply.
    """

    instance: str
    boot: int
    cursor: str = ""


class WarmupReply(msgspec.Struct, tag=True, frozen=True):
    """One page of the routing state.

    Attributes
    ----------
    accepted : bool
        False if too many instances are copying at the same time.
    cursor : str
        Cursor of the next page, empty after the last one.
    page : bytes
        Opaque data encoded by the routing code.
    """

    accepted: bool
    cursor: str = ""
    page: bytes = b""
