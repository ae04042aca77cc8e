"""Responses of targets, and their way to the callers."""

from papayacrank.kernel import Clock
from papayacrank.messages import RequestKind
from papayacrank.transport import Timers

from ._attempts import MAX_TRIES, AttemptRunner
from ._base import CallerProtocol, ResponseMetadata
from ._continuity import StreamContinuity
from ._event_stream import EventStreamError, StreamEvent
from ._fleet_state import FleetState
from ._headers import CONNECTION_HEADERS, HeaderList, drop_headers
from ._job import Attempt, Job, response_timer
from ._metrics import ForwardingMetrics
from ._open_requests import OpenRequests
from ._overdue import OverdueAttempts
from ._path_port import PathPort
from ._quota import QuotaEnforcer
from ._suspects import SuspectTracker
from ._target_call import CallFailure, CallListener, TargetCall
from ._target_port import TargetPort
from ._target_signals import SERVER_ERROR, TargetSignals

# The port to the caller adds its own framing headers.
DROPPED_RESPONSE_HEADERS = CONNECTION_HEADERS | {b"content-length"}


class ResponseHandler(CallListener):
    """Checks the responses of targets and passes them on to callers.

    Parameters
    ----------
    fleet : FleetState
        Targets.
    requests : OpenRequests
        Requests without a final response.
    runner : AttemptRunner
        Decides on further attempts.
    overdue : OverdueAttempts
        Attempts beside others, and those without a usable response.
    signals : TargetSignals
        What responses say about their targets.
    protocol : CallerProtocol
        HTTP representation of responses.
    port : TargetPort
        Connections to targets.
    quota : QuotaEnforcer
        Rate limits of the workspaces.
    suspects : SuspectTracker
        Quarantine of requests and prompt parts that crash targets.
    continuity : StreamContinuity
        Releases of the targets that began streams.
    paths : PathPort
        Whether this instance has a path to the targets.
    metrics : ForwardingMetrics
        Metrics of the process.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    """

    def __init__(
        self,
        fleet: FleetState,
        requests: OpenRequests,
        runner: AttemptRunner,
        overdue: OverdueAttempts,
        signals: TargetSignals,
        protocol: CallerProtocol,
        port: TargetPort,
        quota: QuotaEnforcer,
        suspects: SuspectTracker,
        continuity: StreamContinuity,
        paths: PathPort,
        metrics: ForwardingMetrics,
        clock: Clock,
        timers: Timers,
    ):
        self._fleet = fleet
        self._requests = requests
        self._runner = runner
        self._overdue = overdue
        self._signals = signals
        self._protocol = protocol
        self._port = port
        self._quota = quota
        self._suspects = suspects
        self._continuity = continuity
        self._paths = paths
        self._metrics = metrics
        self._clock = clock
        self._timers = timers

    def matches_call(self, call: TargetCall, status: int, headers: HeaderList) -> bool:
        """Whether a response belongs to the call and not to an earlier request.

        A response without an id is accepted only as the first one on a connection.
        Otherwise the request may have run or may still run, and its own response is
        awaited for a limited time.
        """
        job: Job = call.state
        attempt = job.attempt_of(call)
        metadata = self._protocol.read_response(status, headers)
        if metadata.request_id is not None:
            matches = metadata.request_id == job.request.request_id
        else:
            matches = not call.reused and not attempt.skipped_response
            self._on_unidentified(job, attempt, metadata, matches)
        attempt.skipped_response |= not matches
        return matches

    def _on_unidentified(
        self, job: Job, attempt: Attempt, metadata: ResponseMetadata, matches: bool
    ) -> None:
        """Handle a response without an id, which may not be the one to the request."""
        if job.request.request_id and not metadata.wrong_target:
            self._fleet.unidentified.record(attempt.target.name, self._clock.now_ms())
            self._port.drop_idle(attempt.target.address)
        if not matches and not job.route.is_repeatable:
            self._overdue.set_response_timer(job, attempt)

    def on_response(self, call: TargetCall, status: int, headers: HeaderList) -> None:
        """Handle the head of a response."""
        job: Job = call.state
        attempt = job.attempt_of(call)
        attempt.status = status
        attempt.headers = headers
        attempt.metadata = self._protocol.read_response(status, headers)
        if not call.reused:
            self._paths.on_reached(attempt.target.name)
        if attempt.skipped_response and not job.route.is_repeatable:
            self._timers.cancel(response_timer(job, attempt))
        self._signals.observe_weights(job, attempt)
        self._signals.apply(job, attempt)
        is_success = 200 <= status < 300
        if job.workspace is not None and is_success:
            self._quota.spend(job.quota_id, job.cost, self._clock.now_ms())
        was_stream = attempt.is_stream
        attempt.is_stream = was_stream and _is_usable_stream(attempt)
        call.is_buffered = not attempt.is_stream
        if attempt.is_stream:
            call.unsent_bytes = lambda: job.exchange.unsent_bytes
        metadata = attempt.metadata
        is_usable = is_success and metadata.is_valid and not metadata.not_run
        if not is_usable or attempt.is_stream != was_stream:
            return
        if job.silent_attempt is attempt:
            self._overdue.restore_silent_attempt(job)
        else:
            self._overdue.end_silent_attempt(job, "silent")

    def on_data(self, call: TargetCall, data: bytes) -> None:
        """Handle a chunk of a response body."""
        job: Job = call.state
        attempt = job.attempt_of(call)
        if not attempt.is_stream:
            attempt.body += data
            return
        try:
            events = attempt.splitter.feed(data)
            call.held_bytes = attempt.splitter.partial_bytes
        except EventStreamError as error:
            self._port.cancel(call)
            self._overdue.on_incomplete_response(job, attempt, str(error))
            return
        for event in events:
            if event.has_content and job.silent_attempt is attempt:
                self._overdue.restore_silent_attempt(job)
            if job.is_done:
                return
            if job.attempt is not attempt:
                # A comment of a silent target does not end its silence.
                continue
            if not self._continuity.fits(job, attempt):
                self._port.cancel(call)
                self._overdue.on_incomplete_response(job, attempt, "other_release")
                return
            if event.has_content and attempt.resumed_run is not None:
                error = _find_resume_error(job, attempt, event)
                if error is not None:
                    self._port.cancel(call)
                    self._overdue.on_incomplete_response(job, attempt, error)
                    return
            self._forward_event(job, attempt, event)

    def on_ended(self, call: TargetCall) -> None:
        """Handle the end of a response."""
        job: Job = call.state
        attempt = job.attempt_of(call)
        metadata = attempt.metadata
        if metadata.is_leaving:
            self._port.drop_idle(attempt.target.address)
        if metadata.request_id is None and attempt.call.reused:
            # The response may belong to an earlier request on this connection, even if
            # it states that the request was not run.
            self._overdue.on_incomplete_response(job, attempt, "unidentified_answer")
        elif metadata.not_run or metadata.wrong_target:
            self._on_not_run(job, attempt)
        elif not metadata.is_valid:
            self._fleet.rollouts.on_failed(attempt)
            self._overdue.on_incomplete_response(job, attempt, "spoiled answer")
        elif attempt.is_stream:
            self._complete_stream(job, attempt)
        else:
            self._complete_plain(job, attempt)

    def on_failed(self, call: TargetCall, failure: CallFailure) -> None:
        """Handle a call that ended without a complete response."""
        job: Job = call.state
        attempt = job.attempt_of(call)
        now_ms = self._clock.now_ms()
        name = attempt.target.name
        has_no_connection = failure.code in ("connect_timeout", "connect_failed")
        is_unreachable = (
            failure.code == "connect_timeout" or failure.message == "ETIMEDOUT"
        )
        known = self._fleet.table.find(name)
        if known is None or not known.leaving:
            # A target that is restarted as planned may end its open requests.
            self._suspects.on_lost(job, attempt, failure)
        if failure.may_have_run and not has_no_connection:
            self._signals.record_failure(job, attempt, now_ms)
        if is_unreachable or has_no_connection:
            self._paths.on_unreached(name, is_unreachable, attempt.sent_ms)
            self._fleet.health.on_unreachable(name, now_ms)
            self._port.drop_idle(attempt.target.address)
        if failure.may_have_run:
            self._overdue.on_incomplete_response(job, attempt, failure.code)
            return
        if self._overdue.has_other_attempt(job, attempt, failure.code, has_run=False):
            return
        self._runner.end_attempt(job, attempt, failure.code, sent=False)
        self._runner.retry_or_give_up(job)

    def _on_not_run(self, job: Job, attempt: Attempt) -> None:
        """Retry at another target, since this one did not run the request."""
        metadata = attempt.metadata
        code = "wrong_target" if metadata.wrong_target else f"refused_{attempt.status}"
        if self._overdue.has_other_attempt(job, attempt, code, has_run=False):
            return
        self._runner.end_attempt(job, attempt, code, sent=True)
        known = self._fleet.table.find(attempt.target.name)
        if metadata.wrong_target and known is not None and known != attempt.target:
            # The same engine can run the request with the corrected version.
            job.excluded.discard(attempt.target.name)
        if job.tries < MAX_TRIES and self._runner.consume_retry(job):
            self._runner.dispatch(job)
            return
        text = "the targets are full"
        self._requests.give_up(job, "targets_full", text)

    def _complete_plain(self, job: Job, attempt: Attempt) -> None:
        now_ms = self._clock.now_ms()
        failed = attempt.status >= SERVER_ERROR
        name = attempt.target.name
        self._suspects.on_complete(job, attempt)
        if failed:
            self._signals.record_failure(job, attempt, now_ms)
        else:
            self._fleet.health.on_success(name)
        code = f"status_{attempt.status}"
        is_success = 200 <= attempt.status < 300
        lacks_stream = is_success and job.route.kind is RequestKind.STREAM
        is_usable = not (failed or lacks_stream or job.exchange.response_started)
        if not is_usable and self._overdue.has_other_attempt(
            job, attempt, code, has_run=True
        ):
            return
        if attempt is job.silent_attempt:
            self._overdue.restore_silent_attempt(job)
        else:
            self._overdue.end_silent_attempt(job, "silent")
        job.runs += 1
        is_retryable = (
            failed and not job.has_events and not job.exchange.response_started
        )
        if is_retryable and self._runner.may_run_again(job, job.runs):
            self._runner.end_attempt(job, attempt, code, sent=True)
            self._runner.dispatch(job)
            return
        if is_success and job.service.engine is None and not lacks_stream:
            attempt.has_first_event = True
            self._runner.observe_first_event(job, attempt, True)
        self._runner.close_attempt(job, attempt)
        if job.exchange.response_started:
            job.exchange.abort()
            self._requests.finish(job, attempt, "target_failed", attempt.status)
            return
        headers = drop_headers(attempt.headers, DROPPED_RESPONSE_HEADERS)
        job.exchange.respond(attempt.status, headers, bytes(attempt.body))
        self._requests.finish(job, attempt, "served", attempt.status)

    # Streams

    def _forward_event(self, job: Job, attempt: Attempt, event: StreamEvent) -> None:
        if event.has_content:
            attempt.is_silent = False
            if not attempt.has_first_event:
                self._on_first_event(job, attempt)
            self._suspects.on_event(job, attempt)
            if attempt.decode_tokens > 0:
                attempt.decode_tokens -= 1
                self._fleet.table.end_decode(attempt.target.name, 1)
            if job.route.is_repeatable:
                self._overdue.set_response_timer(job, attempt)
        if event.event_id is not None and job.position.has(event.event_id):
            return
        if event.has_content:
            job.position.add(event.event_id, event.data)
        if not job.exchange.response_started:
            headers = drop_headers(attempt.headers, DROPPED_RESPONSE_HEADERS)
            job.exchange.begin(attempt.status, headers)
        job.has_events = True
        job.exchange.send(event.data)

    def _on_first_event(self, job: Job, attempt: Attempt) -> None:
        now_ms = self._clock.now_ms()
        attempt.has_first_event = True
        attempt.first_event_ms = now_ms
        self._fleet.rollouts.on_first_event(attempt)
        self._continuity.on_first_event(job, attempt)
        self._runner.observe_first_event(job, attempt, True)
        self._fleet.table.end_prefill(attempt.target.name, attempt.prefill_tokens)
        self._fleet.health.on_success(attempt.target.name)
        self._fleet.record_parts(job, attempt, now_ms)
        if job.first_event_ms is None:
            job.first_event_ms = now_ms
            ttft_ms = now_ms - job.arrived_ms
            self._metrics.on_first_event(job.service.name, ttft_ms)

    def _complete_stream(self, job: Job, attempt: Attempt) -> None:
        if attempt.splitter.partial_bytes or not attempt.has_first_event:
            self._suspects.on_truncated(job, attempt)
            self._overdue.on_incomplete_response(job, attempt, "truncated_stream")
            return
        if job.silent_attempt is attempt:
            self._overdue.restore_silent_attempt(job)
        job.runs += 1
        self._suspects.on_complete(job, attempt)
        self._runner.observe_stream_end(job, attempt)
        self._runner.close_attempt(job, attempt)
        job.exchange.end()
        self._requests.finish(job, attempt, "served", attempt.status)


def _is_usable_stream(attempt: Attempt) -> bool:
    """Whether the head of a response begins a stream that can be forwarded."""
    metadata = attempt.metadata
    is_identified = metadata.request_id is not None or not attempt.call.reused
    return (
        200 <= attempt.status < 300
        and metadata.is_event_stream
        and metadata.is_valid
        and is_identified
        and not metadata.not_run
    )


def _find_resume_error(job: Job, attempt: Attempt, event: StreamEvent) -> str | None:
    """Return why an event of a resumed run may not be joined to the stream."""
    if event.event_id is None:
        # Its place in the stream is unknown.
        return "event without an id"
    if not attempt.resumed_run.accepts(job.position, event.event_id, event.data):
        return "not_resumed"
    return None
