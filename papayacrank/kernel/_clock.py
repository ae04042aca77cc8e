"""Clocks that count whole milliseconds."""

import time
from abc import ABC, abstractmethod

NANOSECONDS_PER_MS = 1_000_000


class Clock(ABC):
    """Source of the current time in milliseconds."""

    @abstractmethod
    def now_ms(self) -> int:
        """Return the time since an arbitrary fixed origin, in milliseconds."""


class MonotonicClock(Clock):
    """Clock that never goes backwards and ignores changes of the wall clock.

    It counts the time for which the machine is suspended, so that a lease ends on
    time for a holder that was asleep.
    """

    def now_ms(self) -> int:
        """Return the operating system's monotonic time in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS


class ManualClock(Clock):
    """Clock that moves only when told to, for replays and tests.

    Parameters
    ----------
    start_ms : int
        First reading, in milliseconds.
    """

    def __init__(self, start_ms: int = 0):
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return self._now_ms

    def advance(self, ms: int) -> int:
        """Move the clock forward.

        Parameters
        ----------
        ms : int
            Non-negative number of milliseconds.

        Returns
        -------
        int
            The new reading.

        Raises
        ------
        ValueError
            If `ms` is negative.
        """
        if ms < 0:
            raise ValueError(f"a clock cannot move backwards: {ms} ms")
        self._now_ms += ms
        return self._now_ms
