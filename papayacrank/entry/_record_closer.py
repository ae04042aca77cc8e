"""Commits the outcomes of actions and retries until they are confirmed."""

from collections.abc import Callable
from typing import Any

from expression import Result

from papayacrank.kernel import Clock, Failure, log_event
from papayacrank.transport import Timers

from ._events import ACTION_RECORD_FAILED

ATTEMPT_TIMEOUT_MS = 3_000
RETRY_INTERVAL_MS = 500
# The outcome of the command is unknown, or the command was not accepted.
RETRYABLE_CODES = frozenset({"control_timeout", "control_overloaded"})


class RecordCloser:
    """Retries commands with the same request identifier until the outcome is known.

    Parameters
    ----------
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    submit : Callable
        ``submit(command, callback, timeout_ms, request_id)`` sends a command to the
        control group and returns its request identifier.
    """

    def __init__(self, clock: Clock, timers: Timers, submit: Callable[..., str]):
        self._clock = clock
        self._timers = timers
        self._submit = submit
        self._unconfirmed = 0

    def __len__(self) -> int:
        """Return the number of commands whose outcome is not known yet."""
        return self._unconfirmed

    def close(self, command: Any, on_closed: Callable[[bool], None]) -> None:
        """Close the record of an action by committing its outcome.

        Parameters
        ----------
        command : FinishAction or AbandonAction
            Outcome of an action.
        on_closed : Callable
            Called with True if the outcome was recorded, otherwise with False.
        """
        self._unconfirmed += 1
        self._send(command, on_closed, None)

    def _send(self, command, on_closed, request_id: str | None) -> None:
        submitted = [request_id]

        def on_result(result: Result[Any, Failure]) -> None:
            self._on_result(command, on_closed, submitted[0], result)

        submitted[0] = self._submit(command, on_result, ATTEMPT_TIMEOUT_MS, request_id)

    def _on_result(self, command, on_closed, request_id, result) -> None:
        if result.is_error() and result.error.code in RETRYABLE_CODES:
            self._timers.set(
                f"record/{command.workspace}/{command.idempotency_key}",
                self._clock.now_ms() + RETRY_INTERVAL_MS,
                lambda: self._send(command, on_closed, request_id),
            )
            return
        self._unconfirmed -= 1
        if result.is_error():
            log_event(
                ACTION_RECORD_FAILED,
                command=type(command).__name__,
                workspace=command.workspace,
                idempotency_key=command.idempotency_key,
                code=result.error.code,
            )
        on_closed(result.is_ok())
