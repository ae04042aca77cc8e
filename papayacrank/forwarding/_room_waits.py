"""Requests that wait in this process until a refusal-limited target has room."""

from collections.abc import Callable

from papayacrank.kernel import Clock
from papayacrank.transport import Timers

RETRY_INTERVAL_MS = 20
MAX_WAITING = 200


class RoomWaits:
    """Looks for room again and again, for a limited time and number of requests.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    """

    def __init__(self, clock: Clock, timers: Timers):
        self._clock = clock
        self._timers = timers
        self._waiting: dict[int, str] = {}

    def count(self, service: str) -> int:
        """Return the number of requests that wait for targets of a service."""
        return sum(name == service for name in self._waiting.values())

    def start(
        self, number: int, service: str, until_ms: int, retry: Callable[[], None]
    ) -> bool:
        """Let a request wait, and call `retry` after a short time.

        Parameters
        ----------
        number : int
            Number of the request.
        service : str
            Service that it waits for.
        until_ms : int
            Time in milliseconds until which it may wait.
        retry : callable
            Looks for a target again.

        Returns
        -------
        bool
            False if the request may not wait.
        """
        at_ms = self._clock.now_ms() + RETRY_INTERVAL_MS
        if at_ms > until_ms or len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting[number] = service

        def on_timer() -> None:
            self._waiting.pop(number, None)
            retry()

        self._timers.set(_timer(number), at_ms, on_timer)
        return True

    def cancel(self, number: int) -> None:
        """End the wait of a request, if it waits."""
        if self._waiting.pop(number, None) is not None:
            self._timers.cancel(_timer(number))


def _timer(number: int) -> str:
    return f"room {number}"
