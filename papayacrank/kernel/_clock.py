"""Clocks with a resolution of one millisecond."""

import time
from abc import ABC, abstractmethod

NANOSECONDS_PER_MS = 1_000_000


class Clock(ABC):
    """Source of the current time in milliseconds."""

    @abstractmethod
    def now_ms(self) -> int:
        """Return the time since an arbitrary fixed origin, in milliseconds."""


class MonotonicClock(Clock):
    """Monotonic clock, which is not affected by adjustments of the wall clock.

    It includes the time for which the machine is suspended, so that a lease expires on
    time for a holder whose machine was suspended.
    """

    def now_ms(self) -> int:
        """Return the operating system's monotonic time in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS


class ManualClock(Clock):
    """Clock that is advanced explicitly, for replays and tests.

    Parameters
    ----------
    start_ms : int
        Initial time, in milliseconds.
    """

    def __init__(self, start_ms: int = 0):
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the current time in milliseconds."""
        return self._now_ms

    def advance(self, ms: int) -> int:
        """Advance the clock.

        Parameters
        ----------
        ms : int
            Non-negative step in milliseconds.

        Returns
        -------
        int
            The new time in milliseconds.

        Raises
        ------
        ValueError
            If `ms` is negative.
        """
        if ms < 0:
            raise ValueError(f"a clock cannot move backwards: {ms} ms")
        self._now_ms += ms
        return self._now_ms
