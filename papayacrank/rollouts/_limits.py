"""Limits on the exposure of a service to a new release."""

from dataclasses import dataclass

DEFAULT_EXPOSURE = 0.1
DEFAULT_SLACK = 50
DEFAULT_ROLLBACK_MS = 5_000


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Limits on the requests that a bad release may get.

    Parameters
    ----------
    share : float
        Fraction of all requests of the service from the order to its deadline.
    slack : float
        Number of requests in addition.
    rollback_ms : int
        Time in milliseconds after its 50th bad response from which it may get none.
    """

    share: float = DEFAULT_EXPOSURE
    slack: float = DEFAULT_SLACK
    rollback_ms: int = DEFAULT_ROLLBACK_MS
