"""Connects the quarantine of an entry process to its timers and to the leader."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from papayacrank.kernel import Clock, log_event
from papayacrank.messages import (
    CrashReport,
    PartsCleared,
    QuarantineTable,
    SuspectRequest,
    TrialReply,
)
from papayacrank.transport import Timers

from ._client import (
    NO_TRIAL_RETRY_MS,
    PartsAdmission,
    PartsDecision,
    QuarantineClient,
    TrialDecision,
    TrialOutcome,
)
from ._events import CRASH_SEEN, REQUEST_REFUSED, TRIAL_GRANTED, format_parts

# A trial request without a reply after this time is abandoned.
REPLY_TIMEOUT_MS = 150
# A request waits at most this long for a trial that another request holds, because
# most parts are cleared within a response time.
MAX_TRIAL_WAIT_MS = 500
MIN_ASK_INTERVAL_MS = 50
MAX_WAITING = 64
MAX_SUSPECTS_PER_REPORT = 64
# Reports of crashes are repeated to a new leader for this time.
REPORT_KEPT_MS = 10_000
MAX_KEPT_REPORTS = 32


@dataclass(slots=True)
class _Waiting:
    """Request that waits for a trial."""

    request_id: str
    workspace: str
    parts: tuple[str, ...]
    callback: Callable[[TrialDecision], None]
    log_id: str
    until_ms: int


@dataclass(slots=True)
class _SentReport:
    """Crash report; it is repeated once to each new leader."""

    target: str
    start: int
    lost_ms: int
    opened_ms: int | None
    suspects: list[SuspectRequest]
    term: int
    is_sent: bool


class QuarantinePort:
    """Requests trials from the leader and reports crashes and clearings to it.

    Parameters
    ----------
    client : QuarantineClient
        Suspected and quarantined parts as known by this process.
    send : callable
        Sends a message to the leader; returns False if none is known.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.

    Attributes
    ----------
    count : callable
        Called with each outcome, to count it in the metrics of the process:
        ``"refused"``, ``"trial_granted"``, ``"trial_refused"``, ``"trial_no_reply"``,
        ``"crash_reported"`` or ``"cleared"``.
    """

    def __init__(
        self,
        client: QuarantineClient,
        send: Callable[[Any], bool],
        clock: Clock,
        timers: Timers,
    ):
        self._client = client
        self._send = send
        self._clock = clock
        self._timers = timers
        self._term = 0
        self._waiting: dict[str, _Waiting] = {}
        self._reports: deque[_SentReport] = deque(maxlen=MAX_KEPT_REPORTS)
        self.count: Callable[[str], None] = lambda outcome: None

    @property
    def client(self) -> QuarantineClient:
        """Suspected and quarantined parts as known by this process."""
        return self._client

    def note_refused(
        self, workspace: str, parts: Iterable[str], decision: PartsDecision, log_id: str
    ) -> None:
        """Count and log a request that was refused because of a verdict."""
        self.count("refused")
        log_event(
            REQUEST_REFUSED,
            request_id=log_id,
            reason="verdict",
            verdict=decision.verdict,
            workspace=workspace,
            parts=format_parts(parts),
        )

    # Trials

    def acquire_trial(
        self,
        request_id: str,
        workspace: str,
        parts: tuple[str, ...],
        callback: Callable[[TrialDecision], None],
        log_id: str,
    ) -> None:
        """Request a trial; the callback gets the decision.

        Parameters
        ----------
        request_id : str
            Identifier of the request in this process. The request must not wait for
            another trial.
        workspace : str
            Workspace of the caller.
        parts : tuple of str
            Names of the shared parts of the prompt.
        callback : callable
            Called with the decision, never before this method returns.
        log_id : str
            Identifier of the request in the log.
        """
        now_ms = self._clock.now_ms()
        is_full = len(self._waiting) >= MAX_WAITING
        waiting = _Waiting(
            request_id,
            workspace,
            tuple(parts),
            callback,
            log_id,
            now_ms + (0 if is_full else MAX_TRIAL_WAIT_MS),
        )
        self._waiting[request_id] = waiting
        self._ask(waiting, now_ms)

    def _ask(self, waiting: _Waiting, now_ms: int) -> None:
        request_id = waiting.request_id
        message = self._client.request_trial(
            request_id, waiting.workspace, waiting.parts, now_ms
        )
        timeout_ms = REPLY_TIMEOUT_MS if self._send(message) else 0
        self._timers.set(
            _trial_timer(request_id),
            now_ms + timeout_ms,
            lambda: self._abandon(request_id),
        )

    def cancel(self, request_id: str) -> None:
        """Forget a request that needs no trial any more; unknown ones are ignored."""
        if self._waiting.pop(request_id, None) is None:
            return
        self._withdraw(request_id)

    def end_trial(self, trial: int) -> None:
        """End a trial without a crash; 0 and unknown trials are ignored."""
        self._send_all(self._client.end_trial(trial))

    def _withdraw(self, request_id: str) -> None:
        self._client.cancel(request_id)
        self._timers.cancel(_trial_timer(request_id))
        self._send_all(self._client.withdraw_trials())

    def _abandon(self, request_id: str) -> None:
        decision = self._client.abandon(request_id, self._clock.now_ms())
        self._send_all(self._client.withdraw_trials())
        if decision is not None:
            self._on_decision(decision)

    def _on_decision(self, decision: TrialDecision) -> None:
        request_id = decision.request_id
        waiting = self._waiting.get(request_id)
        self._timers.cancel(_trial_timer(request_id))
        if waiting is None:
            return
        now_ms = self._clock.now_ms()
        if decision.outcome is TrialOutcome.REFUSED and now_ms < waiting.until_ms:
            retry_ms = max(MIN_ASK_INTERVAL_MS, decision.retry_after_ms or 0)
            if now_ms + retry_ms <= waiting.until_ms:
                self._timers.set(
                    _trial_timer(request_id),
                    now_ms + retry_ms,
                    lambda: self._ask_again(request_id),
                )
                return
        self._call_back(waiting, decision)

    def _ask_again(self, request_id: str) -> None:
        waiting = self._waiting.get(request_id)
        if waiting is not None and not self._decide_here(waiting):
            self._ask(waiting, self._clock.now_ms())

    def _decide_here(self, waiting: _Waiting) -> bool:
        """Decide on a waiting request by what is known here; False if it is open."""
        now_ms = self._clock.now_ms()
        known = self._client.check(waiting.workspace, waiting.parts, now_ms)
        if known.admission is PartsAdmission.NEEDS_TRIAL:
            return False
        is_allowed = known.admission is PartsAdmission.ALLOWED
        outcome = TrialOutcome.NOT_NEEDED if is_allowed else TrialOutcome.REFUSED
        self._withdraw(waiting.request_id)
        self._call_back(
            waiting, TrialDecision(waiting.request_id, outcome, 0, known.retry_after_ms)
        )
        return True

    def _call_back(self, waiting: _Waiting, decision: TrialDecision) -> None:
        del self._waiting[waiting.request_id]
        outcome = decision.outcome
        if outcome is TrialOutcome.GRANTED:
            log_event(
                TRIAL_GRANTED,
                request_id=waiting.log_id,
                instance=self._client.instance,
                trial=decision.trial,
                workspace=waiting.workspace,
                parts=format_parts(waiting.parts),
            )
        elif outcome in (TrialOutcome.REFUSED, TrialOutcome.NO_REPLY):
            log_event(
                REQUEST_REFUSED,
                request_id=waiting.log_id,
                reason=f"trial_{outcome.value}",
                workspace=waiting.workspace,
                parts=format_parts(waiting.parts),
            )
            decision = replace(
                decision, retry_after_ms=decision.retry_after_ms or NO_TRIAL_RETRY_MS
            )
        if outcome is not TrialOutcome.NOT_NEEDED:
            self.count(f"trial_{outcome.value}")
        waiting.callback(decision)

    # Evidence

    def on_begun(self, parts: Iterable[str]) -> None:
        """Handle a response that was written past its beginning."""
        self._send_all(self._client.on_begun(parts, self._clock.now_ms()))

    def report_crash(
        self,
        target: str,
        start: int,
        lost_ms: int,
        opened_ms: int | None,
        suspects: list[SuspectRequest],
    ) -> None:
        """Report a crash of a target to the leader.

        Parameters
        ----------
        target : str
            Name of the target.
        start : int
            Start number of the target; 0 if unknown.
        lost_ms : int
            Time at which the connections were lost, on the clock of this process.
        opened_ms : int or None
            Time at which the last of them was opened; None if unknown.
        suspects : list of SuspectRequest
            Requests that the target had not written past their beginning.
        """
        # Trials come first, because they tell most.
        suspects = sorted(suspects, key=lambda s: s.trial == 0)[
            :MAX_SUSPECTS_PER_REPORT
        ]
        suspects = [
            SuspectRequest(s.workspace, self._client.select_parts(s.parts), s.trial)
            for s in suspects
        ]
        for suspect in suspects:
            self._client.on_trial_crashed(suspect.trial)
        log_event(
            CRASH_SEEN,
            target=target,
            start=start,
            requests=len(suspects),
            parts=format_parts({name for s in suspects for name in s.parts}),
        )
        self.count("crash_reported")
        report = _SentReport(
            target, start, lost_ms, opened_ms, suspects, self._term, False
        )
        self._reports.append(report)
        self._send_report(report)

    def _send_report(self, report: _SentReport) -> None:
        now_ms = self._clock.now_ms()
        opened_ms = report.opened_ms
        message = CrashReport(
            self._client.instance,
            report.target,
            report.start,
            max(0, now_ms - report.lost_ms),
            report.suspects,
            None if opened_ms is None else max(0, now_ms - opened_ms),
        )
        report.term = self._term
        report.is_sent = bool(self._send(message))

    # Messages

    def receive(self, message: Any) -> None:
        """Handle a message of the leader; other messages are ignored."""
        now_ms = self._clock.now_ms()
        if isinstance(message, QuarantineTable):
            self._send_all(self._client.apply(message, now_ms))
            for waiting in list(self._waiting.values()):
                self._decide_here(waiting)
        elif isinstance(message, TrialReply):
            decision, messages = self._client.receive(message, now_ms)
            self._send_all(messages)
            if decision is not None:
                self._on_decision(decision)

    def poll(self, term: int) -> None:
        """Repeat what the leader of a term has not confirmed."""
        now_ms = self._clock.now_ms()
        self._client.set_term(term)
        self._term = max(self._term, term)
        self._send_all(self._client.poll(now_ms))
        while self._reports and now_ms - self._reports[0].lost_ms > REPORT_KEPT_MS:
            self._reports.popleft()
        for report in self._reports:
            if report.term < self._term or not report.is_sent:
                self._send_report(report)

    def _send_all(self, messages: list[Any]) -> None:
        for message in messages:
            if isinstance(message, PartsCleared):
                self.count("cleared")
            self._send(message)


def _trial_timer(request_id: str) -> str:
    return f"quarantine:trial:{request_id}"
