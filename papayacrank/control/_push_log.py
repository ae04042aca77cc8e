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

    def lacks_change(
        self, own: tuple[int, int], known: tuple[int, int], now_ms: int
    ) -> bool:
        """Whether a receiver needs the whole table.

        Parameters
        ----------
        own, known : tuple of int
            Term and revision of the table here and at the receiver. A revision of 0
            means that the table is empty.
        now_ms : int
            Current time in milliseconds.
        """
        if own[1] == 0 or known >= own:
            return False
        return known[0] != own[0] or self.is_overdue(known[1], now_ms)

    def is_overdue(self, version: int, now_ms: int) -> bool:
        """Whether a receiver at this version has missed an earlier push."""
        while self._recent and self._recent[0][0] <= now_ms - RESEND_DELAY_MS:
            self._overdue = self._recent.popleft()[1]
        return version < self._overdue
