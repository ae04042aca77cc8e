"""Event queue of the simulation in virtual time."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any


class Schedule:
    """Queue of callbacks; callbacks with equal times run in insertion order."""

    def __init__(self):
        self.now_ms = 0.0
        self._entries: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = count()

    def call_at(self, at_ms: float, callback: Callable, *arguments: Any) -> None:
        """Schedule a callback at `at_ms`, or now if that time has passed."""
        entry = (max(at_ms, self.now_ms), next(self._numbers), callback, arguments)
        heapq.heappush(self._entries, entry)

    def call_later(self, delay_ms: float, callback: Callable, *arguments: Any) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_ms + delay_ms, callback, *arguments)

    def run(self, until_ms: float) -> None:
        """Run all callbacks due up to `until_ms`."""
        while self._entries and self._entries[0][0] <= until_ms:
            self.now_ms, _, callback, arguments = heapq.heappop(self._entries)
            callback(*arguments)
