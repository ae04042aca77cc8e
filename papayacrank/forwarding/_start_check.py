"""Check of the start of a target before a call is sent to it."""

from collections.abc import Callable

from ._target_call import CallFailure, CallListener, TargetCall


def build_start_check(
    call: TargetCall, on_checked: Callable[[CallFailure | None], None]
) -> TargetCall:
    """Return the call that checks the target of another call."""
    needed = call.start_check
    return TargetCall(
        call.address,
        needed.method,
        needed.target,
        needed.headers,
        b"",
        StartCheckListener(call, on_checked),
        is_buffered=True,
        send_before_ms=call.send_before_ms,
    )


class StartCheckListener(CallListener):
    """Receives the response to the check that a call waits for.

    Parameters
    ----------
    call : TargetCall
        Call that waits.
    on_checked : callable
        Called once, with None if the target is the expected one.
    """

    def __init__(
        self, call: TargetCall, on_checked: Callable[[CallFailure | None], None]
    ):
        self._call = call
        self._on_checked = on_checked
        self._status = 0
        self._body = bytearray()

    def matches_call(self, call, status, headers) -> bool:
        """Accept each response; one to an earlier request states no start time."""
        return True

    def on_response(self, call, status, headers) -> None:
        """Note the status."""
        self._status = status

    def on_data(self, call, data) -> None:
        """Collect the body."""
        self._body += data

    def on_ended(self, call) -> None:
        """Compare the start time."""
        needed = self._call.start_check
        started_ms = needed.read_start(self._status, bytes(self._body))
        failure = None
        if started_ms != needed.started_ms:
            text = f"started at {started_ms}, not {needed.started_ms}"
            failure = CallFailure("other_start", False, text)
        self._on_checked(failure)

    def on_failed(self, call, failure) -> None:
        """Report that the check got no response."""
        failed = CallFailure(failure.code, False, failure.message)
        self._on_checked(failed)
