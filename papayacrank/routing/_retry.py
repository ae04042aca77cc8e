"""Bounds on retries."""

from abc import ABC, abstractmethod

from papayacrank.kernel import register


class RetryPolicy(ABC):
    """Decides whether a failed attempt may be repeated on another target."""

    @abstractmethod
    def on_request(self, now_ms: int) -> None:
        """Count a first attempt."""

    @abstractmethod
    def may_retry(self, now_ms: int) -> bool:
        """Return whether a retry is allowed now, and count it if so."""


@register(RetryPolicy, "budgeted")
class BudgetedRetryPolicy(RetryPolicy):
    """Allows retries up to a share of the requests plus a small constant rate.

    Without a bound, retries multiply the load on the targets that are left when a
    failure domain is lost.

    Parameters
    ----------
    ratio : float
        Retries per request.
    constant_per_s : float
        Retries per second that are allowed in addition.
    max_saved : float
        Largest number of retries saved up, and the number at the start: an engine
        may fail soon after this process started.
    """

    def __init__(
        self, ratio: float = 0.1, constant_per_s: float = 0.5, max_saved: float = 20.0
    ):
        self.ratio = ratio
        self.constant_per_s = constant_per_s
        self.max_saved = max_saved
        self._saved = max_saved
        self._refilled_ms: int | None = None

    def on_request(self, now_ms: int) -> None:
        """Count a first attempt."""
        self._refill(now_ms)
        self._saved = min(self.max_saved, self._saved + self.ratio)

    def may_retry(self, now_ms: int) -> bool:
        """Return whether a retry is allowed now, and count it if so."""
        self._refill(now_ms)
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _refill(self, now_ms: int) -> None:
        if self._refilled_ms is not None:
            elapsed_s = max(0, now_ms - self._refilled_ms) / 1_000
            gained = elapsed_s * self.constant_per_s
            self._saved = min(self.max_saved, self._saved + gained)
        self._refilled_ms = now_ms
