"""Retry budget: a limit on the ratio of retries to requests."""

from collections import deque

# Fraction of the budget that is used, because the requests to this process are only a
# sample of all requests.
SAFETY_FACTOR = 0.8


class RetryBudget:
    """Allows retries up to a ratio of the requests in a window, plus a constant.

    Each instance uses an equal share of the constant, so that all instances together
    stay within the limit without communication.

    Parameters
    ----------
    ratio : float
        Retries per request.
    window_ms : int
        Length of the sliding window in milliseconds.
    slack : float
        Additional retries per window, over all instances.
    """

    def __init__(self, ratio: float, window_ms: int, slack: float):
        self._ratio = ratio
        self._window_ms = window_ms
        self._slack = slack
        self._requests: dict[str, deque[int]] = {}
        self._retries: dict[str, deque[int]] = {}

    def on_request(self, service: str, now_ms: int) -> None:
        """Count a first attempt, and forget those before the window."""
        self._add(self._requests, service, now_ms)
        self._count(self._requests, service, now_ms)

    @property
    def counted_requests(self) -> int:
        """Number of requests that are kept."""
        return sum(map(len, self._requests.values()))

    def try_consume(self, service: str, instances: int, now_ms: int) -> bool:
        """Return whether a retry is allowed now, and count it if so.

        Parameters
        ----------
        service : str
            Service of the request.
        instances : int
            Number of instances that share the constant.
        now_ms : int
            Current time in milliseconds.
        """
        requests = self._count(self._requests, service, now_ms)
        retries = self._count(self._retries, service, now_ms)
        allowed = self._ratio * requests + self._slack / max(1, instances)
        if retries + 1 > SAFETY_FACTOR * allowed:
            return False
        self._add(self._retries, service, now_ms)
        return True

    def _add(self, table: dict[str, deque[int]], service: str, now_ms: int) -> None:
        table.setdefault(service, deque()).append(now_ms)

    def _count(self, table: dict[str, deque[int]], service: str, now_ms: int) -> int:
        times = table.get(service)
        if times is None:
            return 0
        while times and times[0] <= now_ms - self._window_ms:
            times.popleft()
        return len(times)
