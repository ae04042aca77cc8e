"""Retry budgets."""

from abc import ABC, abstractmethod

from papayacrank.kernel import register


class RetryPolicy(ABC):
    """Decides whether a failed attempt may be retried on another target."""

    @abstractmethod
    def on_request(self, now_ms: int) -> None:
        """Record a first attempt."""

    @abstractmethod
    def may_retry(self, now_ms: int) -> bool:
        """Return whether a retry is allowed now, and charge it if so."""


@register(RetryPolicy, "budgeted")
class BudgetedRetryPolicy(RetryPolicy):
    """Token bucket of retries that is refilled per request and at a constant rate.

    Without a bound, retries multiply the load on the remaining targets when a failure
    domain is lost.

    Parameters
    ----------
    ratio : float
        Retries gained per request.
    min_retries_per_s : float
        Retries gained per second in addition.
    max_balance : float
        Capacity of the bucket in retries. The bucket starts full, because an engine
        may fail soon after this process has started.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        min_retries_per_s: float = 0.5,
        max_balance: float = 20.0,
    ):
        self.ratio = ratio
        self.min_retries_per_s = min_retries_per_s
        self.max_balance = max_balance
        self._balance = max_balance
        self._last_refill_ms: int | None = None

    def on_request(self, now_ms: int) -> None:
        """Record a first attempt."""
        self._refill(now_ms)
        self._balance = min(self.max_balance, self._balance + self.ratio)

    def may_retry(self, now_ms: int) -> bool:
        """Return whether a retry is allowed now, and charge it if so."""
        self._refill(now_ms)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _refill(self, now_ms: int) -> None:
        if self._last_refill_ms is not None:
            elapsed_s = max(0, now_ms - self._last_refill_ms) / 1_000
            gained = elapsed_s * self.min_retries_per_s
            self._balance = min(self.max_balance, self._balance + gained)
        self._last_refill_ms = now_ms
