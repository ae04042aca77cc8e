"""State machine of one request, from which every verdict is derived."""

from enum import Enum
from typing import Any

from papayacrank.kernel import Failure, Verdict


class Phase(Enum):
    """Where a request stands."""

    RECEIVED = "received"
    QUEUED = "queued"
    ADMITTED = "admitted"
    RECORDING = "recording"
    ATTEMPTING = "attempting"
    BETWEEN_ATTEMPTS = "between-attempts"
    RESPONSE_COMPLETE = "answered"
    ENDED = "ended"


class RecordClosing(Enum):
    """How the record of a non-idempotent action has to be closed."""

    NONE = "none"
    ABANDON = "abandon"
    FINISH = "finish"
    UNKNOWN = "unknown"


class InvalidTransitionError(RuntimeError):
    """An event is not possible in the present phase; this is a programming error."""


_ALLOWED_PREDECESSORS = {
    Phase.QUEUED: {Phase.RECEIVED},
    Phase.ADMITTED: {Phase.QUEUED, Phase.RECEIVED},
    Phase.RECORDING: {Phase.ADMITTED},
    Phase.ATTEMPTING: {Phase.ADMITTED, Phase.RECORDING, Phase.BETWEEN_ATTEMPTS},
    Phase.BETWEEN_ATTEMPTS: {Phase.ATTEMPTING},
    Phase.RESPONSE_COMPLETE: {Phase.ATTEMPTING},
}


class RequestStateMachine:
    """Life of one request.

    The verdict follows from two facts: whether a byte may have reached a target, and
    whether a complete answer came back. An attempt counts as sent from its start
    until its failure states that no byte was written.

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
        """Present phase."""
        return self._phase

    @property
    def attempts(self) -> int:
        """Number of attempts started."""
        return self._attempts

    @property
    def verdict(self) -> Verdict:
        """Whether the request has run, as far as is known now."""
        if self._is_response_complete:
            return Verdict.RAN
        if self._may_have_run or self._phase is Phase.ATTEMPTING:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    @property
    def may_repeat(self) -> bool:
        """Whether a further attempt cannot make the request run twice."""
        if self._is_response_complete or self._phase in (Phase.ATTEMPTING, Phase.ENDED):
            return False
        return self._idempotent or not self._may_have_run

    @property
    def record_closing(self) -> RecordClosing:
        """How to close the record of the action, if there is one."""
        if not self._has_open_record:
            return RecordClosing.NONE
        if self._is_response_complete:
            return RecordClosing.FINISH
        if self.verdict is Verdict.NOT_RUN:
            return RecordClosing.ABANDON
        return RecordClosing.UNKNOWN

    def on_queued(self) -> None:
        """The request waits for admission."""
        self._transition_to(Phase.QUEUED)

    def on_admitted(self) -> None:
        """The request may run."""
        self._transition_to(Phase.ADMITTED)

    def on_record_requested(self) -> None:
        """The record of a non-idempotent action was asked for.

        The record may exist from now on, even if the control group never confirms
        it, and is therefore closed in any case.
        """
        self._transition_to(Phase.RECORDING)
        self._has_open_record = True

    def on_record_refused(self) -> None:
        """The control group did not start the action: the record is not ours."""
        self._require_phase(Phase.RECORDING)
        self._has_open_record = False

    def on_attempt(self) -> None:
        """An attempt is handed to the target client."""
        if self._phase is Phase.BETWEEN_ATTEMPTS and not self.may_repeat:
            raise InvalidTransitionError(
                "a further attempt could make the request run twice"
            )
        if not self._idempotent and not self._has_open_record:
            raise InvalidTransitionError(
                "a non-idempotent request needs a record before it is sent"
            )
        self._transition_to(Phase.ATTEMPTING)
        self._attempts += 1

    def on_attempt_failed(self, bytes_written: bool) -> None:
        """The attempt failed.

        Parameters
        ----------
        bytes_written : bool
            False if the request provably did not reach the target.
        """
        self._transition_to(Phase.BETWEEN_ATTEMPTS)
        self._may_have_run = self._may_have_run or bytes_written

    def on_response_complete(self) -> None:
        """The target's answer is complete."""
        self._transition_to(Phase.RESPONSE_COMPLETE)
        self._is_response_complete = True

    def end(self) -> None:
        """The caller has the final answer, or is gone."""
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
        """Build a failure with the verdict of this moment."""
        return Failure(
            code, self.verdict, message, status, retry_after_ms, details or {}
        )

    def _transition_to(self, phase: Phase) -> None:
        self._require_phase(*_ALLOWED_PREDECESSORS[phase])
        self._phase = phase

    def _require_phase(self, *phases: Phase) -> None:
        if self._phase not in phases:
            raise InvalidTransitionError(
                f"unexpected event in phase {self._phase.value}"
            )
