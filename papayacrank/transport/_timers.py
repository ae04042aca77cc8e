"""Named timers on the monotonic clock."""

from collections.abc import Callable
from itertools import takewhile

from circuits import BaseComponent, handler
from sortedcontainers import SortedKeyList

from papayacrank.kernel import Clock

MS_PER_SECOND = 1000


class Timers(BaseComponent):
    """Component that calls functions at scheduled times.

    The timers of circuits use the wall clock, which may jump. These timers use
    `clock` instead.

    Parameters
    ----------
    clock : Clock
        Clock of the scheduled times.
    """

    channel = "timers"

    def __init__(self, clock: Clock):
        super().__init__()
        self._clock = clock
        self._schedule = SortedKeyList(key=lambda item: item[0])
        self._by_name: dict[str, tuple] = {}

    def set(self, name: str, at_ms: int, callback: Callable[[], None]) -> None:
        """Schedule a call of `callback`, replacing a timer of the same name.

        Parameters
        ----------
        name : str
            Name of the timer.
        at_ms : int
            Time of the call on the clock, in milliseconds.
        callback : Callable
            Function without parameters, called in the event loop.
        """
        self.cancel(name)
        item = (at_ms, name, callback)
        self._by_name[name] = item
        self._schedule.add(item)

    def cancel(self, name: str) -> None:
        """Cancel a timer; unknown names are ignored."""
        item = self._by_name.pop(name, None)
        if item is not None:
            self._schedule.remove(item)

    @handler("generate_events", channel="*")
    def _on_generate_events(self, event):
        now_ms = self._clock.now_ms()
        due = list(takewhile(lambda item: item[0] <= now_ms, self._schedule))
        if due:
            # The callbacks may have fired events, which must be handled before the
            # poller blocks.
            event.reduce_time_left(0)
        for item in due:
            _, name, callback = item
            # An earlier callback may have cancelled or replaced this timer. If one
            # raises an exception, the others fire in the next iteration of the loop.
            if self._by_name.get(name) is item:
                self.cancel(name)
                callback()
        if self._schedule:
            left_ms = self._schedule[0][0] - self._clock.now_ms()
            event.reduce_time_left(max(0, left_ms) / MS_PER_SECOND)
