"""Longest durations of the recent requests of each route."""

from dataclasses import dataclass

# Covers the time of an instance's last requests before a planned stop, and a release of
# new weights, during which streams take several times as long as usual.
WINDOW_MS = 30_000


@dataclass(slots=True)
class _Maxima:
    """Maximum of the current half of the window and of the half before."""

    half: int
    current_ms: int = 0
    previous_ms: int = 0


class RouteDurations:
    """Maximum duration of the requests of each route in a sliding window.

    The window moves in halves, so a duration counts for `WINDOW_MS` / 2 to `WINDOW_MS`
    after it was observed.
    """

    def __init__(self):
        self._maxima: dict[str, _Maxima] = {}

    def observe(self, route: str, took_ms: int, now_ms: int) -> None:
        """Record the duration of a request that has ended.

        Parameters
        ----------
        route : str
            Name of the route.
        took_ms : int
            Duration in milliseconds.
        now_ms : int
            Current time in milliseconds.
        """
        maxima = self._advance(route, now_ms)
        maxima.current_ms = max(maxima.current_ms, took_ms)

    def longest_ms(self, route: str, now_ms: int) -> int | None:
        """Return the longest recent duration in milliseconds; None if unknown."""
        if route not in self._maxima:
            return None
        maxima = self._advance(route, now_ms)
        return max(maxima.current_ms, maxima.previous_ms) or None

    def _advance(self, route: str, now_ms: int) -> _Maxima:
        half = now_ms // (WINDOW_MS // 2)
        maxima = self._maxima.setdefault(route, _Maxima(half))
        if half != maxima.half:
            is_next = half == maxima.half + 1
            maxima.previous_ms = maxima.current_ms if is_next else 0
            maxima.current_ms = 0
            maxima.half = half
        return maxima

    def retain(self, routes: set[str]) -> None:
        """Forget all routes but the given ones."""
        for name in self._maxima.keys() - routes:
            del self._maxima[name]
