"""Token bucket of requests that can be reserved ahead of time."""

import math

MS_PER_SECOND = 1_000
# Capacity of a bucket as the time in which it fills. A longer time would let more
# requests arrive at once, a shorter one would waste permits between two requests.
BURST_MS = 500
MIN_CAPACITY = 1.0


class RateBucket:
    """Token bucket whose level may be negative while tokens are reserved.

    Tokens taken in any time ``t`` become free within it at a rate of at most
    ``capacity + rate * t``.

    Parameters
    ----------
    per_s : float
        Tokens gained per second; positive.
    level : float
        Initial level in tokens.
    now_ms : int
        Current time in milliseconds.
    """

    def __init__(self, per_s: float, level: float, now_ms: int):
        self._per_s = per_s
        self._level = level
        self._updated_ms = now_ms

    @property
    def per_s(self) -> float:
        """Tokens gained per second."""
        return self._per_s

    @property
    def capacity(self) -> float:
        """Maximum level in tokens."""
        return max(MIN_CAPACITY, self._per_s * BURST_MS / MS_PER_SECOND)

    def set_rate(self, per_s: float, now_ms: int) -> None:
        """Change the rate from now on; reserved tokens stay reserved."""
        self._refill(now_ms)
        self._per_s = per_s
        self._level = min(self._level, self.capacity)

    def level(self, now_ms: int) -> float:
        """Return the level in tokens."""
        self._refill(now_ms)
        return self._level

    def wait_ms(self, now_ms: int) -> int:
        """Return the time until the next token is free, in milliseconds."""
        self._refill(now_ms)
        missing = 1.0 - self._level
        return max(0, math.ceil(missing * MS_PER_SECOND / self._per_s))

    def take(self, now_ms: int) -> None:
        """Take a token, which is reserved for a later time if none is free."""
        self._refill(now_ms)
        self._level -= 1.0

    def give_back(self, now_ms: int) -> None:
        """Put a token back that was taken and not used."""
        self._refill(now_ms)
        self._level = min(self._level + 1.0, self.capacity)

    def _refill(self, now_ms: int) -> None:
        """Add the tokens gained since the last call; nothing if time went back."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(self._updated_ms, now_ms)
        gained = elapsed_ms * self._per_s / MS_PER_SECOND
        self._level = min(self._level + gained, self.capacity)
