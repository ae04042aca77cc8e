"""Timeout deadlines of connections."""

from collections.abc import Callable

from papayacrank.kernel import Clock
from papayacrank.transport import Connection, Timers


class Deadlines:
    """Tracks one deadline for each connection.

    Each received piece of data moves the deadline. An earlier timer is not moved at
    once; when it fires before the deadline, it is set again. Setting a timer for
    every token would cost more than reading the token.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    on_due : Callable
        Called with each connection whose deadline has passed.
    """

    def __init__(
        self, clock: Clock, timers: Timers, on_due: Callable[[Connection], None]
    ):
        self._clock = clock
        self._timers = timers
        self._on_due = on_due

    def set(self, connection: Connection, after_ms: int) -> None:
        """Set the deadline of a connection to `after_ms` milliseconds from now."""
        connection.deadline_ms = self._clock.now_ms() + after_ms
        timer_at_ms = connection.timer_at_ms
        if timer_at_ms is None or timer_at_ms > connection.deadline_ms:
            self._set_timer(connection)

    def suspend(self, connection: Connection) -> None:
        """Disable the timeout until the deadline is set again."""
        connection.deadline_ms = None

    def remove(self, connection: Connection) -> None:
        """Remove the deadline and the timer of a closed connection."""
        connection.deadline_ms = None
        connection.timer_at_ms = None
        self._timers.cancel(_timer_name(connection))

    def has_passed(self, connection: Connection) -> bool:
        """Return whether the deadline is set and has passed."""
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
