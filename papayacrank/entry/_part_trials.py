"""Quarantine of one request and its prompt parts."""

from collections.abc import Callable

from papayacrank.kernel import Clock
from papayacrank.messages import SuspectRequest
from papayacrank.quarantine import (
    CrashChecks,
    PartsAdmission,
    PartsDecision,
    QuarantinePort,
    TrialDecision,
    TrialOutcome,
)

# A request on which this many targets have crashed gets no further attempt.
MAX_CRASHES = 2


class PartTrials:
    """Trials, clearings and crashes of one request and its prompt parts.

    Parameters
    ----------
    quarantine : QuarantinePort
        Suspected and quarantined parts.
    crash_checks : CrashChecks
        Checks of targets that lost a connection.
    clock : Clock
        Clock of the process.
    request_id, log_id : str
        Identifiers of the request in the process and in the log.
    workspace : str
        Workspace of the caller.
    add_step : callable
        Adds a text to the record of the request.

    Attributes
    ----------
    names : tuple of str
        Names of the request and of the shared parts of its prompt.
    """

    def __init__(
        self,
        quarantine: QuarantinePort,
        crash_checks: CrashChecks,
        clock: Clock,
        request_id: str,
        log_id: str,
        workspace: str,
        add_step: Callable[[str], None],
    ):
        self.names: tuple[str, ...] = ()
        self._quarantine = quarantine
        self._crash_checks = crash_checks
        self._clock = clock
        self._request_id = request_id
        self._log_id = log_id
        self._workspace = workspace
        self._add_step = add_step
        self._trial = 0
        self._on_granted: Callable[[], None] | None = None
        self._on_refused: Callable[[int | None], None] | None = None
        self._target_start = 0
        self._has_begun = False
        self._possible_crashes = 0

    @property
    def may_repeat(self) -> bool:
        """Whether few enough targets may have crashed on the request."""
        return self._possible_crashes < MAX_CRASHES

    def may_send(self) -> bool:
        """Return whether the request may be sent now, under its trial if it has one."""
        if self._trial:
            return True
        return self._check().admission is PartsAdmission.ALLOWED

    def _check(self) -> PartsDecision:
        now_ms = self._clock.now_ms()
        return self._quarantine.client.check(self._workspace, self.names, now_ms)

    def acquire(
        self,
        on_granted: Callable[[], None],
        on_refused: Callable[[int | None], None],
        callback: Callable[[TrialDecision], None],
    ) -> None:
        """Refuse the request, or request a trial for it.

        Parameters
        ----------
        on_granted : callable
            Called once the request may be sent.
        on_refused : callable
            Called with the time after which to retry, in milliseconds, if it may not.
        callback : callable
            Passes the decision on a trial to `on_decision`.
        """
        decision = self._check()
        if decision.admission is PartsAdmission.REFUSED:
            self._quarantine.note_refused(
                self._workspace, self.names, decision, self._log_id
            )
            self._add_step(f"is quarantined: {decision.verdict}")
            on_refused(decision.retry_after_ms)
            return
        self._add_step("is suspected to crash targets, and waits for a trial")
        self._on_granted, self._on_refused = on_granted, on_refused
        self._quarantine.acquire_trial(
            self._request_id, self._workspace, self.names, callback, self._log_id
        )

    def on_decision(self, decision: TrialDecision) -> None:
        """Continue with the decision on a trial."""
        if decision.outcome in (TrialOutcome.REFUSED, TrialOutcome.NO_REPLY):
            self._add_step(f"no trial: {decision.outcome.value}")
            self._on_refused(decision.retry_after_ms)
            return
        self._trial = decision.trial
        if self._trial:
            self._add_step(f"runs as trial {self._trial}")
        self._on_granted()

    def begin(self, target_start: int) -> None:
        """Note the start of an attempt at a start of a target, 0 if unknown."""
        self._has_begun = False
        self._target_start = target_start

    def on_begun(self) -> None:
        """Clear the parts once the response is past its beginning."""
        if self._has_begun:
            return
        self._has_begun = True
        self._quarantine.on_begun(self.names)
        self.end_trial()

    def on_lost(self, target: str, address: str, opened_ms: int | None) -> None:
        """Check whether a target has crashed that lost the connection of the attempt.

        The trial of the attempt goes on until the crash is reported.
        """
        if self._has_begun:
            return
        trial, self._trial = self._trial, 0
        self._possible_crashes += 1

        def on_checked(has_crashed: bool) -> None:
            if has_crashed:
                self._add_step(f"{target} has crashed")
                return
            self._possible_crashes -= 1
            self._quarantine.end_trial(trial)

        suspect = SuspectRequest(self._workspace, list(self.names), trial)
        self._crash_checks.on_lost(
            target, address, self._target_start, opened_ms, suspect, on_checked
        )

    def end_trial(self) -> None:
        """End the trial of the current attempt, if it has one."""
        trial, self._trial = self._trial, 0
        self._quarantine.end_trial(trial)

    def close(self) -> None:
        """Cancel or end the trial of a request that has ended."""
        self._quarantine.cancel(self._request_id)
        self.end_trial()
