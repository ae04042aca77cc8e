"""Virtual time: callbacks in the order of their times."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any


class Schedule:
    """Queue of callbacks; ties run in the order in which they were added."""

    def __init__(self):
        self.now_ms = 0.0
        self._entries: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = count()

    def at(self, at_ms: float, callback: Callable, *arguments: Any) -> None:
        """Call back at a time, or at once if it has passed."""
        entry = (max(at_ms, self.now_ms), next(self._numbers), callback, arguments)
        heapq.heappush(self._entries, entry)

    def after(self, delay_ms: float, callback: Callable, *arguments: Any) -> None:
        """Call back after a delay."""
        self.at(self.now_ms + delay_ms, callback, *arguments)

    def run(self, until_ms: float) -> None:
        """Run all callbacks up to a time."""
        while self._entries and self._entries[0][0] <= until_ms:
            self.now_ms, _, callback, arguments = heapq.heappop(self._entries)
            callback(*arguments)
