"""Requests without a final response, and their end."""

import itertools
from random import Random

from papayacrank.kernel import Clock, Failure, Verdict, log_event
from papayacrank.permits import PermitPort
from papayacrank.transport import CLOSE_HEADER, HttpExchange, Timers

from ._base import CallerProtocol
from ._continuity import StreamContinuity
from ._events import REQUEST_ENDED, REQUEST_REFUSED
from ._fleet_state import FleetState
from ._job import Attempt, Job, deadline_timer
from ._metrics import ForwardingMetrics
from ._quota import QuotaEnforcer
from ._room_waits import RoomWaits
from ._selection import RETRY_JITTER
from ._suspects import SuspectTracker

DEFAULT_RETRY_AFTER_MS = 400
# Retry-After of requests that a stopping instance refuses; others can take them now.
RETRY_ELSEWHERE_MS = 20
MAX_LOGGED_ID_CHARS = 64


class OpenRequests:
    """Register of the requests without a final response.

    Parameters
    ----------
    fleet : FleetState
        Targets and routes.
    protocol : CallerProtocol
        HTTP representation of responses.
    quota : QuotaEnforcer
        Rate limits of the workspaces.
    permits : PermitPort
        Permits for targets with a request rate limit.
    room_waits : RoomWaits
        Requests that wait for room at a target.
    suspects : SuspectTracker
        Quarantine of requests and prompt parts that crash targets.
    continuity : StreamContinuity
        Releases of the targets that began streams.
    metrics : ForwardingMetrics
        Metrics of the process.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    random_state : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        fleet: FleetState,
        protocol: CallerProtocol,
        quota: QuotaEnforcer,
        permits: PermitPort,
        room_waits: RoomWaits,
        suspects: SuspectTracker,
        continuity: StreamContinuity,
        metrics: ForwardingMetrics,
        clock: Clock,
        timers: Timers,
        random_state: Random,
    ):
        self._fleet = fleet
        self._protocol = protocol
        self._quota = quota
        self._permits = permits
        self._room_waits = room_waits
        self._suspects = suspects
        self._continuity = continuity
        self._metrics = metrics
        self._clock = clock
        self._timers = timers
        self._random = random_state
        self._numbers = itertools.count(1)
        self.jobs: dict[int, Job] = {}

    def new_number(self) -> int:
        """Return an identifier that is unique in the process."""
        return next(self._numbers)

    def add(self, job: Job) -> None:
        """Register a request."""
        self.jobs[job.number] = job

    def give_up(
        self, job: Job, code: str, message: str, retry_after_ms: int | None = None
    ) -> None:
        """Fail a request that cannot be served.

        The verdict is "may have run" if any attempt may have run, and "not run" with
        a retry time otherwise.

        Parameters
        ----------
        job : Job
            Request.
        code, message : str
            Code and text of the failure.
        retry_after_ms : int, optional
            Time after which a caller should retry; estimated from the targets of the
            service if not given.
        """
        if job.may_have_run:
            status = 504 if code == "deadline" else 502
            verdict = Verdict.MAY_HAVE_RUN
            self.fail(job, Failure(code, verdict, message, status))
            return
        now_ms = self._clock.now_ms()
        after_ms = self._fleet.selection.estimate_retry_after_ms(
            job.service.name, self._fleet.instances, now_ms
        )
        if after_ms is None:
            after_ms = DEFAULT_RETRY_AFTER_MS
        if retry_after_ms is not None:
            spread = self._random.uniform(1.0, 1.0 + RETRY_JITTER)
            after_ms = int(max(after_ms, retry_after_ms) * spread)
        self.fail(job, build_refusal(code, message, 503, after_ms))

    def fail(self, job: Job, failure: Failure) -> None:
        if job.exchange.response_started:
            job.exchange.abort()
        else:
            self._send_failure(job.exchange, failure, job.request.request_id)
        self.finish(job, None, failure.code, failure.status)

    def finish(self, job: Job, attempt: Attempt | None, code: str, status: int) -> None:
        job.is_done = True
        job.attempt = None
        self.jobs.pop(job.number, None)
        self._timers.cancel(deadline_timer(job))
        self._permits.cancel(job.quota_id)
        self._room_waits.cancel(job.number)
        self._suspects.on_finished(job)
        self._continuity.on_finished(job)
        now_ms = self._clock.now_ms()
        if job.workspace is not None:
            if job.awaits_grant:
                job.awaits_grant = False
                self._quota.cancel(job.quota_id)
            ran = job.may_have_run or attempt is not None
            self._quota.settle(job.quota_id, job.cost if ran else 0, now_ms)
        self._metrics.on_ended(job.service.name, code, now_ms - job.arrived_ms)
        self._log_end(job, attempt, code, status, now_ms)

    def _log_end(
        self, job: Job, attempt: Attempt | None, code: str, status: int, now_ms: int
    ) -> None:
        fields = {
            "request_id": job.request.request_id,
            "route": job.route.name,
            "routing_version": self._fleet.index.configuration.version,
            "workspace": job.workspace.name if job.workspace else None,
            "code": code,
            "status": status,
            "took_ms": now_ms - job.arrived_ms,
            "tries": job.tries,
            "cost": job.cost,
        }
        if job.ledger_age_ms is not None:
            fields["ledger_age_ms"] = job.ledger_age_ms
            fields["reason"] = job.rate_refusal
        if job.permit_requests:
            fields["permit_wait_ms"] = job.permit_wait_ms
            fields["refused_permits"] = job.refused_permits
        if job.limited_targets:
            fields["limited_targets"] = job.limited_targets
        if code == "overloaded":
            fields["forecast_wait_ms"] = job.forecast_wait_ms
            fields["reason"] = job.load_refusal
        if job.last_failure:
            fields["last_failure"] = job.last_failure
        if job.release is not None:
            fields["release"] = job.release
        if job.request.begun_by:
            fields["begun_by"] = job.request.begun_by[:MAX_LOGGED_ID_CHARS]
        if attempt is not None:
            choice = attempt.choice
            fields |= {
                "target": attempt.target.name,
                "expected_ms": round(choice.expected_ms),
                "missing_tokens": choice.missing_tokens,
                "parts_at": choice.parts_at.value,
                "target_running": choice.load.running,
                "target_prefill": choice.load.prefill_tokens,
                "target_decode": choice.load.decode_tokens,
                "expected_queue_ms": round(choice.queue_ms),
                "factor": round(choice.factor, 2),
                "weights": attempt.target.weights.get(job.request.model or "", 0),
                "sent_after_ms": attempt.sent_ms - job.arrived_ms,
            }
        if job.first_event_ms is not None:
            fields["ttft_ms"] = job.first_event_ms - job.arrived_ms
        log_event(REQUEST_ENDED, **fields)

    def refuse(
        self,
        exchange: HttpExchange,
        failure: Failure,
        request_id: str,
        closes: bool = False,
    ) -> None:
        self._send_failure(exchange, failure, request_id, closes)
        self._metrics.on_refused(failure.code)
        log_event(
            REQUEST_REFUSED,
            request_id=request_id,
            code=failure.code,
            status=failure.status,
            routing_version=self._fleet.index.configuration.version
            if self._fleet.index
            else 0,
        )

    def _send_failure(
        self,
        exchange: HttpExchange,
        failure: Failure,
        request_id: str,
        closes: bool = False,
    ) -> None:
        """Send the response of a failure.

        Parameters
        ----------
        exchange : HttpExchange
            Exchange without a response.
        failure : Failure
            Failure.
        request_id : str
            Identifier of the request; empty if unknown.
        closes : bool
            Whether the connection ends with the response, so that the caller continues
            at another instance.
        """
        response = self._protocol.build_failure(failure, request_id)
        headers = [*response.headers, CLOSE_HEADER] if closes else response.headers
        exchange.respond(response.status, headers, response.body)


def build_refusal(
    code: str, message: str, status: int, retry_after_ms: int | None = None
) -> Failure:
    """Return the failure of a request that has not run and never will.

    Parameters
    ----------
    code, message : str
        Code and text of the failure.
    status : int
        HTTP status.
    retry_after_ms : int, optional
        Time in milliseconds after which the caller should retry.
    """
    return Failure(code, Verdict.NOT_RUN, message, status, retry_after_ms)
