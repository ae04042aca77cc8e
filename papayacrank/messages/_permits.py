"""Messages on targets with a request rate limit, and on permits to send to them."""

import msgspec


class RateObservation(msgspec.Struct, frozen=True, array_like=True):
    """Request rate limit of a target, as an entry process knows it.

    Attributes
    ----------
    target : str
        Name of the target.
    start : int
        Start number of the target that stated the limit; 0 if unknown.
    per_s : float or None
        Requests per second; None if a response states no limit any more.
    term, revision : int
        Term and revision of the `TargetRate` that the process knew when it sent the
        request; zeros if it knew none.
    is_fresh : bool
        Whether a response has just stated this. False for a limit that was known
        before and is repeated to a new leader.
    """

    target: str
    start: int
    per_s: float | None
    term: int = 0
    revision: int = 0
    is_fresh: bool = False


class RateReport(msgspec.Struct, tag=True, frozen=True):
    """Request rate limits that an entry process reports to the leader."""

    instance: str
    observations: list[RateObservation]


class TargetRate(msgspec.Struct, frozen=True, array_like=True):
    """Request rate limit of a target, as decided by the leader.

    Attributes
    ----------
    per_s : float or None
        Requests per second; None if the target is not limited any more.
    revision : int
        Revision of the leader's table at the last change of this limit.
    """

    target: str
    start: int
    per_s: float | None
    revision: int


class TargetRates(msgspec.Struct, tag=True, frozen=True):
    """Changes of the leader's table of request rate limits.

    Attributes
    ----------
    base, revision : int
        Revisions of the table before and after the changes. A `base` of 0 means that
        `rates` is the whole table.
    """

    term: int
    base: int
    revision: int
    rates: list[TargetRate]


class PermitRequest(msgspec.Struct, tag=True, frozen=True):
    """Request for a permit to send one request to a target with a rate limit.

    Attributes
    ----------
    number : int
        Number of the permit request, unique in the sending process.
    sent_ms : int
        Sender's monotonic clock in milliseconds, returned in the reply.
    max_wait_ms : int
        Longest time that the request can wait for its permit.
    known : RateObservation
        Limit of the target as the sender knows it.
    """

    instance: str
    number: int
    sent_ms: int
    max_wait_ms: int
    known: RateObservation


class PermitReply(msgspec.Struct, tag=True, frozen=True):
    """Reply of the leader to a `PermitRequest`.

    Attributes
    ----------
    granted : bool
        Whether the request may be sent after `wait_ms`.
    wait_ms : int
        Time from the receipt of the permit request to the next free permit.
    per_s : float or None
        Limit of the target; None if it has none, so that no permit is needed.
    revision : int
        Revision of that limit, as in `TargetRate`.
    """

    term: int
    number: int
    sent_ms: int
    target: str
    granted: bool
    wait_ms: int
    per_s: float | None
    revision: int


class PermitReturn(msgspec.Struct, tag=True, frozen=True):
    """Return of a permit whose request was certainly not sent."""

    instance: str
    number: int
    target: str
