"""Deadlines of connections."""

from collections.abc import Callable

from papayacrank.kernel import Clock
from papayacrank.transport import Connection, Timers


class Deadlines:
    """One deadline for each connection.

    Each received piece moves the deadline. A timer that is due earlier is left as it
    is and moves itself when it fires, because setting a timer for every token would
    cost more than reading it.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    on_due : Callable
        Called with a connection whose deadline has passed.
    """

    def __init__(
        self, clock: Clock, timers: Timers, on_due: Callable[[Connection], None]
    ):
        self._clock = clock
        self._timers = timers
        self._on_due = on_due

    def set(self, connection: Connection, after_ms: int) -> None:
        """Set or move the deadline."""
        connection.deadline_ms = self._clock.now_ms() + after_ms
        timer_at_ms = connection.timer_at_ms
        if timer_at_ms is None or timer_at_ms > connection.deadline_ms:
            self._set_timer(connection)

    def suspend(self, connection: Connection) -> None:
        """Let no time-out occur until the deadline is set again."""
        connection.deadline_ms = None

    def forget(self, connection: Connection) -> None:
        """Remove the timer of a connection that is closed."""
        connection.deadline_ms = None
        connection.timer_at_ms = None
        self._timers.cancel(_timer_name(connection))

    def has_passed(self, connection: Connection) -> bool:
        """Return whether the deadline has passed."""
        deadline_ms = connection.deadline_ms
        return deadline_ms is not None and self._clock.now_ms() >= deadline_ms

    def _set_timer(self, connection: Connection) -> None:
        connection.timer_at_ms = connection.deadline_ms
        self._timers.set(
            _timer_name(connection),
            connection.deadline_ms,
            lambda: self._on_timer(connection),
        )

    def _on_timer(self, connection: Connection) -> None:
        connection.timer_at_ms = None
        if self.has_passed(connection):
            self._on_due(connection)
        elif connection.deadline_ms is not None:
            self._set_timer(connection)


def _timer_name(connection: Connection) -> str:
    return f"targets/{connection.number}"
