"""Retry times of requests that are refused because all targets are limited."""

from random import Random

from ._bucket import MS_PER_SECOND

# A caller is asked to come back within this time even if the limits allow less.
MAX_RETRY_AFTER_MS = 10_000
MIN_JITTER_MS = 100


class RetrySpread:
    """Spreads the retries of refused callers over the rate of the targets.

    Each refusal of a service takes the next place in a virtual queue that this
    instance's part of the rate empties, so that callers refused together do not come
    back together.

    Parameters
    ----------
    random_state : random.Random
        Source of the jitter.
    """

    def __init__(self, random_state: Random):
        self._random = random_state
        self._next_ms: dict[str, float] = {}

    def retry_after_ms(
        self, service: str, free_in_ms: int, per_s: float, instances: int, now_ms: int
    ) -> int:
        """Return the time after which a refused caller should retry.

        Parameters
        ----------
        service : str
            Service of the request.
        free_in_ms : int
            Time until the first target can take a request.
        per_s : float
            Sum of the limits of the targets, in requests per second.
        instances : int
            Number of instances that share the limits.
        now_ms : int
            Current time in milliseconds.
        """
        interval_ms = MAX_RETRY_AFTER_MS
        if per_s > 0:
            interval_ms = min(interval_ms, instances * MS_PER_SECOND / per_s)
        place_ms = max(now_ms + free_in_ms, self._next_ms.get(service, 0))
        latest_ms = now_ms + MAX_RETRY_AFTER_MS
        self._next_ms[service] = min(place_ms + interval_ms, latest_ms)
        jitter_ms = self._random.uniform(0, max(MIN_JITTER_MS, interval_ms))
        return int(min(place_ms, latest_ms) - now_ms + jitter_ms)
