"""Requests that are suspected to crash targets."""

from collections.abc import Callable

from papayacrank.kernel import Clock
from papayacrank.messages import SuspectRequest
from papayacrank.quarantine import (
    AddressCheck,
    CrashChecks,
    PartsAdmission,
    PartsDecision,
    QuarantinePort,
    TrialDecision,
    TrialOutcome,
)

from ._job import Attempt, Job
from ._target_call import CallFailure

# A stream is written past its beginning with this event.
BEGUN_EVENTS = 2
# A request that has taken part in this many crashes is not repeated.
MAX_CRASHES = 2
# Losses that show a broken path rather than the end of the target.
PATH_ERRORS = frozenset({"ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ENETDOWN"})
_ALLOWED = PartsDecision(PartsAdmission.ALLOWED)


class SuspectTracker:
    """Applies the quarantine to the attempts of requests, and reports suspects.

    A request is a suspect if its connection was lost before the response was written
    past its beginning. The target has crashed if its address refuses connections then;
    otherwise the loss counts for nothing.

    Parameters
    ----------
    quarantine : QuarantinePort
        Suspected and quarantined parts.
    address_check : AddressCheck
        Check of a target's address.
    clock : Clock
        Clock of the process.

    Attributes
    ----------
    on_checked : callable
        Called with an attempt whose connection was lost and whether its target has
        crashed, once that is known.
    """

    def __init__(
        self, quarantine: QuarantinePort, address_check: AddressCheck, clock: Clock
    ):
        self._quarantine = quarantine
        self._clock = clock
        self._checks = CrashChecks(address_check, clock, quarantine.report_crash)
        self.on_checked: Callable[[Attempt, bool], None] = lambda *_: None

    # Admission

    def check(self, job: Job) -> PartsDecision:
        """Return whether a request may be sent now, unless it has a trial already."""
        names = job.suspect_names
        now_ms = self._clock.now_ms()
        decision = self._quarantine.client.check(job.workspace_name, names, now_ms)
        if decision.admission is PartsAdmission.REFUSED:
            self._quarantine.note_refused(
                job.workspace_name, names, decision, job.request.request_id
            )
        elif decision.admission is PartsAdmission.NEEDS_TRIAL and job.trial:
            return _ALLOWED
        return decision

    def is_unrestricted(self, job: Job) -> bool:
        """Whether a second attempt may run beside a silent one."""
        now_ms = self._clock.now_ms()
        decision = self._quarantine.client.check(
            job.workspace_name, job.suspect_names, now_ms
        )
        return decision.admission is PartsAdmission.ALLOWED

    def request_trial(
        self,
        job: Job,
        on_granted: Callable[[], None],
        on_refused: Callable[[int | None], None],
    ) -> None:
        """Request a trial for a request.

        Parameters
        ----------
        job : Job
            Request.
        on_granted : callable
            Called if the request may be sent.
        on_refused : callable
            Called with the retry time in milliseconds otherwise, None if unknown.
        """

        def on_decision(decision: TrialDecision) -> None:
            if decision.outcome is TrialOutcome.GRANTED:
                job.trial = decision.trial
                on_granted()
            elif decision.outcome is TrialOutcome.NOT_NEEDED:
                on_granted()
            else:
                on_refused(decision.retry_after_ms)

        self._quarantine.acquire_trial(
            str(job.number),
            job.workspace_name,
            job.suspect_names,
            on_decision,
            job.request.request_id,
        )

    def begin_attempt(self, job: Job, attempt: Attempt) -> None:
        """Move the trial of a request to the attempt that is sent under it."""
        attempt.trial, job.trial = job.trial, 0

    # Responses

    def on_event(self, job: Job, attempt: Attempt) -> None:
        """Record an event of a stream."""
        attempt.events += 1
        if attempt.events == BEGUN_EVENTS:
            self._on_begun(job, attempt)

    def on_complete(self, job: Job, attempt: Attempt) -> None:
        """Record a complete response.

        The end of the connection is no proof that a response is complete, because it
        may be that of the target. Only empty responses and streams of one event are
        checked then, since each check opens a connection.
        """
        if attempt.is_begun or not 200 <= attempt.status < 300:
            return
        if not attempt.call.ended_by_close:
            self._on_begun(job, attempt)
        elif attempt.is_stream or not attempt.body:
            self._suspect(job, attempt)

    def _on_begun(self, job: Job, attempt: Attempt) -> None:
        attempt.is_begun = job.is_begun = True
        self._quarantine.on_begun(job.suspect_names)
        self._end_trial(attempt)

    def on_lost(self, job: Job, attempt: Attempt, failure: CallFailure) -> None:
        """Record a lost connection."""
        is_lost = failure.code == "connection_lost" and failure.may_have_run
        if is_lost and failure.message not in PATH_ERRORS:
            self._suspect(job, attempt)

    def on_truncated(self, job: Job, attempt: Attempt) -> None:
        """Record a response that ended too early with its connection."""
        if attempt.call.ended_by_close:
            self._suspect(job, attempt)

    def _suspect(self, job: Job, attempt: Attempt) -> None:
        if attempt.is_begun or job.is_begun or attempt.is_suspect:
            return
        attempt.is_suspect = True
        job.crashes += 1
        target, trial = attempt.target, attempt.trial
        attempt.trial = 0

        def on_checked(has_crashed: bool) -> None:
            self.on_checked(attempt, has_crashed)
            if not has_crashed:
                job.crashes -= 1
                self._quarantine.end_trial(trial)

        suspect = SuspectRequest(job.workspace_name, list(job.suspect_names), trial)
        self._checks.on_lost(
            target.name,
            target.address,
            target.born_ms,
            attempt.call.opened_ms,
            suspect,
            on_checked,
        )

    def may_repeat(self, job: Job) -> bool:
        """Whether a request has taken part in few enough crashes to be repeated."""
        return job.crashes < MAX_CRASHES

    # End

    def on_attempt_closed(self, job: Job, attempt: Attempt) -> None:
        """End the trial of an attempt, or keep it if the target got no request."""
        if attempt.call.bytes_written:
            self._end_trial(attempt)
        elif attempt.trial:
            job.trial, attempt.trial = attempt.trial, 0

    def _end_trial(self, attempt: Attempt) -> None:
        if attempt.trial:
            self._quarantine.end_trial(attempt.trial)
            attempt.trial = 0

    def on_finished(self, job: Job) -> None:
        """Cancel the trial that a finished request waits for or has not used."""
        self._quarantine.cancel(str(job.number))
        if job.trial:
            self._quarantine.end_trial(job.trial)
            job.trial = 0
