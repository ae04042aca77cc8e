"""Attempts whose responses are overdue, and attempts without a usable response."""

from papayacrank.kernel import Clock
from papayacrank.permits import NO_PERMITS
from papayacrank.transport import Timers

from ._attempt_builder import AttemptBuilder
from ._attempts import AttemptRunner
from ._fleet_state import FleetState
from ._job import Attempt, Job, response_timer
from ._open_requests import OpenRequests
from ._suspects import SuspectTracker
from ._target_port import TargetPort
from ._target_signals import TargetSignals

# Response timeout of an idempotent request at one target, as a multiple of the latency
# objective; the request is then retried at another target.
RESPONSE_TIMEOUT_FACTOR = 2.0
MIN_RESPONSE_TIMEOUT_MS = 250
# A resumable stream without its first event for this multiple of the objective, or
# without a further event for STREAM_IDLE_TIMEOUT_MS, is resumed at another target.
# Callers give up after 2 s without an event.
FIRST_EVENT_TIMEOUT_FACTOR = 2.5
STREAM_IDLE_TIMEOUT_MS = 1_200
# Time for which a silent attempt goes on beside the one that replaces it. A target that
# is full refuses within a few milliseconds; the platform allows 400 ms.
SILENT_OVERLAP_MS = 300


class OverdueAttempts:
    """Sends overdue requests to another target, beside the silent one.

    Parameters
    ----------
    fleet : FleetState
        Targets and routes.
    requests : OpenRequests
        Requests without a final response.
    builder : AttemptBuilder
        Builds placement requests.
    runner : AttemptRunner
        Sends the attempts.
    signals : TargetSignals
        Records failures of targets.
    suspects : SuspectTracker
        Quarantine of requests and prompt parts that crash targets.
    port : TargetPort
        Connections to targets.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    """

    def __init__(
        self,
        fleet: FleetState,
        requests: OpenRequests,
        builder: AttemptBuilder,
        runner: AttemptRunner,
        signals: TargetSignals,
        suspects: SuspectTracker,
        port: TargetPort,
        clock: Clock,
        timers: Timers,
    ):
        self._fleet = fleet
        self._requests = requests
        self._builder = builder
        self._runner = runner
        self._signals = signals
        self._suspects = suspects
        self._port = port
        self._clock = clock
        self._timers = timers
        runner.on_repeatable_sent = self.set_response_timer

    def set_response_timer(self, job: Job, attempt: Attempt) -> None:
        """Start the timer that ends an attempt without a response.

        It is set for repeatable requests, which are then retried at another target, and
        for those whose connection returned a response without an id. A request that is
        expected to take long at its target gets the time that it needs.
        """
        objective_ms = job.route.objective_ms
        if not attempt.is_stream:
            wait_ms = max(
                MIN_RESPONSE_TIMEOUT_MS, RESPONSE_TIMEOUT_FACTOR * objective_ms
            )
        elif attempt.has_first_event:
            wait_ms = STREAM_IDLE_TIMEOUT_MS
        else:
            wait_ms = FIRST_EVENT_TIMEOUT_FACTOR * objective_ms
        if not attempt.has_first_event:
            name = attempt.target.name
            wait_ms = max(wait_ms, self._fleet.costs.longest_ms(name, attempt.work))
        at_ms = self._clock.now_ms() + int(wait_ms)
        self._timers.set(
            response_timer(job, attempt),
            at_ms,
            lambda: self.on_response_timeout(job, attempt),
        )

    def on_response_timeout(self, job: Job, attempt: Attempt) -> None:
        """Send a request to another target, if there is one, while this one is silent.

        The silent attempt goes on until the other target takes the request, because a
        sound target may be silent for a while.
        """
        if job.is_done or job.attempt is not attempt:
            return
        if not job.route.is_repeatable:
            self._port.cancel(attempt.call)
            self.on_incomplete_response(job, attempt, "unidentified_answer")
            return
        now_ms = self._clock.now_ms()
        if not attempt.is_silent:
            # Counts once for each silence, however many other targets refuse.
            attempt.is_silent = True
            self._signals.record_failure(job, attempt, now_ms)
        store = self._builder.choose_store(job)
        request = self._builder.build_placement_request(job, store, now_ms)
        excluded = job.excluded | {attempt.target.name}
        choice = self._fleet.selection.choose(request, excluded, NO_PERMITS, now_ms)
        is_possible = choice is not None and self._suspects.is_unrestricted(job)
        if not is_possible or not self._runner.may_run_again(job, job.runs + 1):
            self.set_response_timer(job, attempt)
            return
        job.silent_attempt, job.attempt = attempt, None
        self._timers.set(
            _overlap_timer(job),
            now_ms + SILENT_OVERLAP_MS,
            lambda: self.end_silent_attempt(job, "silent"),
        )
        self._runner.send(job, choice, store, now_ms, job.deadline_at_ms - now_ms)

    def end_silent_attempt(self, job: Job, code: str) -> None:
        """End the silent attempt of a request that another target has taken."""
        attempt = job.silent_attempt
        if attempt is None:
            return
        self._port.cancel(attempt.call)
        self.discard_silent_attempt(job, code, attempt.call.bytes_written)

    def discard_silent_attempt(self, job: Job, code: str, has_run: bool) -> None:
        attempt, job.silent_attempt = job.silent_attempt, None
        self._timers.cancel(_overlap_timer(job))
        self._runner.end_attempt(job, attempt, code, attempt.call.bytes_written)
        job.runs += has_run

    def restore_silent_attempt(self, job: Job) -> None:
        """Continue with the silent attempt, after cancelling the one beside it."""
        other, job.attempt = job.attempt, job.silent_attempt
        job.silent_attempt = None
        self._timers.cancel(_overlap_timer(job))
        if other is not None:
            self._port.cancel(other.call)
            self._runner.end_attempt(job, other, "superseded", other.call.bytes_written)
            job.runs += other.call.bytes_written
        self.set_response_timer(job, job.attempt)

    def on_incomplete_response(self, job: Job, attempt: Attempt, code: str) -> None:
        """Handle an attempt that may have run but gave no complete response."""
        if self.has_other_attempt(job, attempt, code, has_run=True):
            return
        self._runner.end_attempt(job, attempt, code, sent=True)
        job.runs += 1
        if self._runner.may_run_again(job, job.runs):
            self._runner.dispatch(job)
            return
        self._requests.give_up(job, "target_failed", code)

    def has_other_attempt(
        self, job: Job, attempt: Attempt, code: str, has_run: bool
    ) -> bool:
        """End an attempt if the request has another one, which then goes on alone.

        Parameters
        ----------
        job : Job
            Request.
        attempt : Attempt
            Attempt that got no usable response.
        code : str
            Reason for the log.
        has_run : bool
            Whether its target may have run the request.
        """
        if job.silent_attempt is None:
            return False
        if attempt is job.silent_attempt:
            self.discard_silent_attempt(job, code, has_run)
            return True
        self._runner.end_attempt(job, attempt, code, attempt.call.bytes_written)
        job.runs += has_run
        self.restore_silent_attempt(job)
        # The next target may take the request at once.
        self.on_response_timeout(job, job.attempt)
        return True


def _overlap_timer(job: Job) -> str:
    return f"job:{job.number}:overlap"
