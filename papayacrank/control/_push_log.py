"""Record of pushed versions, to find receivers that lack one."""

from collections import deque

# A version is sent again if a receiver does not report it as applied after this time;
# the slowest links have 5 Mbit/s.
RESEND_DELAY_MS = 250


class PushLog:
    """Times at which versions of a table were pushed to all receivers."""

    def __init__(self):
        self._recent: deque[tuple[int, int]] = deque()
        self._overdue = 0

    def clear(self) -> None:
        """Forget all pushes."""
        self._recent.clear()
        self._overdue = 0

    def record(self, version: int, now_ms: int) -> None:
        """Record a push; versions increase."""
        self._recent.append((now_ms, version))

    def is_overdue(self, version: int, now_ms: int) -> bool:
        """Whether a receiver at this version has missed an earlier push."""
        while self._recent and self._recent[0][0] <= now_ms - RESEND_DELAY_MS:
            self._overdue = self._recent.popleft()[1]
        return version < self._overdue
