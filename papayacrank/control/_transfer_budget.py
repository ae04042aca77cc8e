"""Rate limit for messages that share a link with more urgent ones."""

MS_PER_SECOND = 1_000
# Time for which unused transfer rate may be saved up.
MAX_BURST_MS = 100


class TransferBudget:
    """Number of bytes that may be sent now, which grows at a fixed rate.

    A message may be sent while the budget is positive, whatever its size; the budget is
    then negative until the rate has made up for it.

    Parameters
    ----------
    bytes_per_s : int
        Rate in bytes per second.
    """

    def __init__(self, bytes_per_s: int):
        self._bytes_per_ms = bytes_per_s / MS_PER_SECOND
        self._max_bytes = self._bytes_per_ms * MAX_BURST_MS
        self._bytes = self._max_bytes
        self._updated_ms: int | None = None

    def is_available(self, now_ms: int) -> bool:
        """Return whether a message may be sent at `now_ms`."""
        if self._updated_ms is not None:
            elapsed_ms = max(0, now_ms - self._updated_ms)
            grown = self._bytes + elapsed_ms * self._bytes_per_ms
            self._bytes = min(self._max_bytes, grown)
        self._updated_ms = now_ms
        return self._bytes > 0

    def spend(self, size: int) -> None:
        """Subtract a message that was sent."""
        self._bytes -= size

    def available_at_ms(self, now_ms: int) -> int:
        """Return when the next message may be sent."""
        if self.is_available(now_ms):
            return now_ms
        return now_ms + int(-self._bytes / self._bytes_per_ms) + 1
