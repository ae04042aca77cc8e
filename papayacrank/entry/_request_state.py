"""State machine of a request, which determines the verdict of a failure."""

from enum import Enum
from typing import Any

from papayacrank.kernel import Failure, Verdict


class Phase(Enum):
    """Phase of a request."""

    RECEIVED = "received"
    QUEUED = "queued"
    ADMITTED = "admitted"
    RECORDING = "recording"
    ATTEMPTING = "attempting"
    BETWEEN_ATTEMPTS = "between-attempts"
    RESPONSE_COMPLETE = "answered"
    ENDED = "ended"


class RecordClosing(Enum):
    """How the record of a non-idempotent action must be closed."""

    NONE = "none"
    ABANDON = "abandon"
    FINISH = "finish"
    UNKNOWN = "unknown"


class InvalidTransitionError(RuntimeError):
    """An event is not allowed in the current phase, which is a programming error."""


_ALLOWED_PREDECESSORS = {
    Phase.QUEUED: {Phase.RECEIVED},
    Phase.ADMITTED: {Phase.QUEUED, Phase.RECEIVED},
    Phase.RECORDING: {Phase.ADMITTED},
    Phase.ATTEMPTING: {Phase.ADMITTED, Phase.RECORDING, Phase.BETWEEN_ATTEMPTS},
    Phase.BETWEEN_ATTEMPTS: {Phase.ATTEMPTING},
    Phase.RESPONSE_COMPLETE: {Phase.ATTEMPTING},
}


class RequestStateMachine:
    """State of one request.

    The verdict depends on whether a byte of the request may have reached a target and
    whether a complete response was received. An attempt counts as sent from its start,
    unless its failure states that no byte was written.

    Parameters
    ----------
    idempotent : bool
        Whether the request may be sent more than once.
    """

    def __init__(self, idempotent: bool):
        self._idempotent = idempotent
        self._phase = Phase.RECEIVED
        self._attempts = 0
        self._may_have_run = False
        self._is_response_complete = False
        self._has_open_record = False

    @property
    def phase(self) -> Phase:
        """Current phase."""
        return self._phase

    @property
    def attempts(self) -> int:
        """Number of attempts started."""
        return self._attempts

    @property
    def verdict(self) -> Verdict:
        """Whether the request has run, as far as is currently known."""
        if self._is_response_complete:
            return Verdict.RAN
        if self._may_have_run or self._phase is Phase.ATTEMPTING:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    @property
    def may_repeat(self) -> bool:
        """Whether a further attempt is safe, so that the request can't run twice."""
        if self._is_response_complete or self._phase in (Phase.ATTEMPTING, Phase.ENDED):
            return False
        return self._idempotent or not self._may_have_run

    @property
    def record_closing(self) -> RecordClosing:
        """How the record of the action must be closed, if there is one."""
        if not self._has_open_record:
            return RecordClosing.NONE
        if self._is_response_complete:
            return RecordClosing.FINISH
        if self.verdict is Verdict.NOT_RUN:
            return RecordClosing.ABANDON
        return RecordClosing.UNKNOWN

    def on_queued(self) -> None:
        """Register that the request waits for admission."""
        self._transition_to(Phase.QUEUED)

    def on_admitted(self) -> None:
        """Register that the request was admitted."""
        self._transition_to(Phase.ADMITTED)

    def on_record_requested(self) -> None:
        """Register that the record of a non-idempotent action was requested.

        The record may exist from now on, even if the control group never confirms
        it, and must therefore be closed in any case.
        """
        self._transition_to(Phase.RECORDING)
        self._has_open_record = True

    def on_record_refused(self) -> None:
        """Register that the control group did not start the action.

        Any existing record belongs to another request, so it is not closed here.
        """
        self._require_phase(Phase.RECORDING)
        self._has_open_record = False

    def on_attempt(self) -> None:
        """Register the start of an attempt."""
        if self._phase is Phase.BETWEEN_ATTEMPTS and not self.may_repeat:
            raise InvalidTransitionError(
                "a further attempt could execute the request twice"
            )
        if not self._idempotent and not self._has_open_record:
            raise InvalidTransitionError(
                "a non-idempotent request must have a record before an attempt"
            )
        self._transition_to(Phase.ATTEMPTING)
        self._attempts += 1

    def on_attempt_failed(self, bytes_written: bool) -> None:
        """Register the failure of an attempt.

        Parameters
        ----------
        bytes_written : bool
            False if it is certain that the request did not reach the target.
        """
        self._transition_to(Phase.BETWEEN_ATTEMPTS)
        self._may_have_run = self._may_have_run or bytes_written

    def on_response_complete(self) -> None:
        """Register that the target's response is complete."""
        self._transition_to(Phase.RESPONSE_COMPLETE)
        self._is_response_complete = True

    def end(self) -> None:
        """Register that the request has ended."""
        if self._phase is Phase.ATTEMPTING:
            self._may_have_run = True
        self._phase = Phase.ENDED

    def fail(
        self,
        code: str,
        message: str,
        status: int,
        retry_after_ms: int | None = None,
        details: dict[str, Any] | None = None,
    ) -> Failure:
        """Build a failure with the current verdict."""
        return Failure(
            code, self.verdict, message, status, retry_after_ms, details or {}
        )

    def _transition_to(self, phase: Phase) -> None:
        self._require_phase(*_ALLOWED_PREDECESSORS[phase])
        self._phase = phase

    def _require_phase(self, *phases: Phase) -> None:
        if self._phase not in phases:
            raise InvalidTransitionError(
                f"event is not allowed in phase {self._phase.value}"
            )
