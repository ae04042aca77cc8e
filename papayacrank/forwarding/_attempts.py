"""Attempts to run requests at targets."""

from collections.abc import Callable

from papayacrank.kernel import Clock, log_event
from papayacrank.messages import ServiceProfile
from papayacrank.permits import (
    ANY_PERMIT_WAIT_MS,
    MAX_PERMIT_REQUESTS,
    NO_PERMITS,
    Permit,
    PermitDecision,
    PermitOutcome,
    PermitPort,
)
from papayacrank.quarantine import PartsAdmission
from papayacrank.scarcity import Candidate, DemandKey, LoadDecision
from papayacrank.transport import Timers

from ._attempt_builder import AttemptBuilder, urgency_of
from ._continuity import StreamContinuity
from ._events import ATTEMPT_FAILED, REQUEST_REPEATED
from ._fleet_state import FleetState
from ._forecast import QueueForecast
from ._job import Attempt, Job, response_timer
from ._metrics import ForwardingMetrics
from ._open_requests import DEFAULT_RETRY_AFTER_MS, OpenRequests, build_refusal
from ._path_port import PathPort
from ._placement import Choice, PlacementRequest
from ._relay import Relay
from ._retry_budget import RetryBudget
from ._room_waits import RoomWaits
from ._suspects import SuspectTracker
from ._target_port import TargetPort

# Attempts per request whatever their outcome; prevents endless loops.
MAX_TRIES = 5
# With less time than this, a response cannot arrive before the deadline.
MIN_REMAINING_MS = 20
# Part of the latency objective for which a request may wait for a permit or for room,
# at targets that limit the rate of requests or of refusals.
TARGET_WAIT_FRACTION = 0.5
# Queues change little within a shorter time.
MIN_OVERLOAD_RETRY_MS = 100


class AttemptRunner:
    """Chooses targets for requests, sends them, and decides on further attempts.

    Parameters
    ----------
    fleet : FleetState
        Targets and routes.
    requests : OpenRequests
        Requests without a final response.
    builder : AttemptBuilder
        Builds the attempts.
    port : TargetPort
        Connections to targets.
    permits : PermitPort
        Permits for targets with a request rate limit.
    suspects : SuspectTracker
        Quarantine of requests and prompt parts that crash targets.
    continuity : StreamContinuity
        Releases of the targets that began streams.
    paths : PathPort
        Whether this instance has a path to the targets.
    relay : Relay
        Passes requests on to other instances while it has none.
    retry_budget : RetryBudget
        Budget of retries that all instances share.
    room_waits : RoomWaits
        Requests that wait for room at a target.
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
        builder: AttemptBuilder,
        port: TargetPort,
        permits: PermitPort,
        suspects: SuspectTracker,
        continuity: StreamContinuity,
        paths: PathPort,
        relay: Relay,
        retry_budget: RetryBudget,
        room_waits: RoomWaits,
        metrics: ForwardingMetrics,
        clock: Clock,
        timers: Timers,
    ):
        self._fleet = fleet
        self._requests = requests
        self._builder = builder
        self._port = port
        self._permits = permits
        self._suspects = suspects
        self._continuity = continuity
        self._paths = paths
        self._relay = relay
        self._retry_budget = retry_budget
        self._room_waits = room_waits
        self._metrics = metrics
        self._clock = clock
        self._timers = timers
        self._forecast = QueueForecast()
        self.on_repeatable_sent: Callable[[Job, Attempt], None] = lambda *_: None

    def dispatch(self, job: Job, permit: Permit | None = None) -> None:
        """Choose a target and send the request, or request a permit for the target.

        Parameters
        ----------
        job : Job
            Request.
        permit : Permit, optional
            Permit for the target chosen before, which is checked again.
        """
        now_ms = self._clock.now_ms()
        remaining_ms = job.deadline_at_ms - now_ms
        if remaining_ms < MIN_REMAINING_MS:
            self._give_back(permit)
            self._requests.give_up(job, "deadline", "no time is left")
            return
        if self._paths.is_isolated and not job.has_events:
            self._give_back(permit)
            self._leave_to_peer(job)
            return
        if not (self._knows_release(job) and self._may_send_parts(job)):
            self._give_back(permit)
            return
        store = self._builder.choose_store(job)
        request = self._builder.build_placement_request(job, store, now_ms)
        if permit is not None:
            choice = self._fleet.selection.choose(
                request, job.excluded, ANY_PERMIT_WAIT_MS, now_ms, only=permit.target
            )
            if choice is not None:
                self.send(job, choice, store, now_ms, remaining_ms, permit)
                return
            self._give_back(permit)
        max_wait_ms = self._max_permit_wait_ms(job, now_ms)
        self._note_demand(job.service.name, now_ms)
        choice = self._fleet.selection.choose(
            request, job.excluded, max_wait_ms, now_ms
        )
        if choice is None:
            self._give_up_without_target(job, request, max_wait_ms, now_ms)
            return
        decision = self._decide_under_load(job, choice, remaining_ms, now_ms)
        if decision is not LoadDecision.ADMITTED:
            self._refuse_under_load(job, decision, remaining_ms)
        elif self._permits.client.rate_of(choice.target.name) is None:
            self.send(job, choice, store, now_ms, remaining_ms)
        else:
            self._request_permit(job, choice.target.name, max_wait_ms, now_ms)

    def _leave_to_peer(self, job: Job) -> None:
        """Pass a request on that no target can be reached for, or refuse it at once."""
        if not self._relay.accepts(job.request):
            self._requests.give_up(
                job, "no_path", "no target can be reached from this instance"
            )
            return
        self._requests.finish(job, None, "relayed", 0)
        self._relay.forward(job.exchange, job.request, job.deadline_at_ms, job.runs)

    def _knows_release(self, job: Job) -> bool:
        """Whether targets for a request are known; otherwise find out or refuse it."""
        if not self._is_begin_certain(job):
            text = "the release that began the stream is not certain"
            self._requests.give_up(job, "unknown_release", text)
            return False
        if not self._continuity.needs_release(job):
            return True
        self._continuity.find_release(
            job,
            lambda service: self._take_up_at(job, service),
            lambda retry_after_ms: self._refuse_take_up(job, retry_after_ms),
        )
        return False

    def _is_begin_certain(self, job: Job) -> bool:
        if job.begun_at is None:
            return True
        current = self._fleet.table.find(job.begun_at.name)
        return self._continuity.is_begin_certain(job, current, self._clock.now_ms())

    def _take_up_at(self, job: Job, service: str) -> None:
        """Send a request to the service that began its stream, not one drawn by lot."""
        job.service = self._fleet.index.find_service(service) or job.service
        self.dispatch(job)

    def _refuse_take_up(self, job: Job, retry_after_ms: int | None) -> None:
        text = "it is not known which release began the stream"
        self._requests.fail(
            job, build_refusal("unknown_release", text, 503, retry_after_ms)
        )

    def _may_send_parts(self, job: Job) -> bool:
        """Whether a request may be sent now; otherwise refuse it or request a trial."""
        decision = self._suspects.check(job)
        if decision.admission is PartsAdmission.REFUSED:
            self._refuse_parts(job, decision.retry_after_ms)
        elif decision.admission is PartsAdmission.NEEDS_TRIAL:
            self._suspects.request_trial(
                job,
                lambda: self.dispatch(job),
                lambda retry_after_ms: self._refuse_parts(job, retry_after_ms),
            )
        return decision.admission is PartsAdmission.ALLOWED

    def _refuse_parts(self, job: Job, retry_after_ms: int | None) -> None:
        text = "the request or a part of its prompt is suspected to crash targets"
        if job.may_have_run:
            self._requests.give_up(job, "quarantined", text)
            return
        if retry_after_ms is None:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
        self._requests.fail(
            job, build_refusal("quarantined", text, 503, retry_after_ms)
        )

    def _decide_under_load(
        self, job: Job, choice: Choice, remaining_ms: int, now_ms: int
    ) -> LoadDecision:
        """Decide whether targets that may be behind get a request.

        One that may have run, or was admitted before, does not give way to others.
        """
        if job.service.engine is None or job.may_have_run:
            return LoadDecision.ADMITTED
        wait_ms = self._forecast.wait_ms(
            job.service.name, urgency_of(job), choice.queue_ms
        )
        job.forecast_wait_ms = int(wait_ms)
        if job.is_load_admitted:
            is_late = wait_ms > min(job.route.objective_ms, remaining_ms)
            decision = LoadDecision.TOO_LATE if is_late else LoadDecision.ADMITTED
        else:
            candidate = Candidate(
                DemandKey(job.service.name, job.workspace_name, urgency_of(job)),
                now_ms - job.arrived_ms,
                job.route.objective_ms,
                remaining_ms,
                wait_ms,
                choice.expected_ms - choice.queue_ms,
            )
            decision = self._fleet.load_admission.decide(candidate, now_ms)
        job.is_load_admitted = decision is LoadDecision.ADMITTED
        return decision

    def _refuse_under_load(
        self, job: Job, decision: LoadDecision, remaining_ms: int
    ) -> None:
        job.load_refusal = decision
        job.limited_targets = self._fleet.selection.list_limited(job.service.name)
        self._metrics.on_overloaded(job.service.name, decision)
        # The queue may take the objective and no more than the time left; a request
        # that gave way to others has room once it takes half of that.
        allowed_ms = min(job.route.objective_ms, remaining_ms)
        if decision is LoadDecision.SHARED:
            allowed_ms //= 2
        after_ms = max(MIN_OVERLOAD_RETRY_MS, int(job.forecast_wait_ms - allowed_ms))
        text = "the targets are behind, and others have more claim to the room"
        if decision is LoadDecision.TOO_LATE:
            text = "the queue is longer than the request may wait"
        self._requests.give_up(job, "overloaded", text, after_ms)

    def observe_first_event(self, job: Job, attempt: Attempt, has_event: bool) -> None:
        """Learn from the time to a first event or response, or a time without it."""
        elapsed_ms = self._clock.now_ms() - attempt.sent_ms
        if has_event:
            name = job.service.name
            expected_ms = attempt.choice.expected_ms - attempt.choice.permit_ms
            self._metrics.on_expectation(name, expected_ms, elapsed_ms)
        self._fleet.costs.observe(
            attempt.target.name, attempt.work, elapsed_ms, has_event
        )
        if job.service.engine is not None:
            self._forecast.observe(
                job.service.name,
                urgency_of(job),
                attempt.choice.expected_ms,
                elapsed_ms,
                has_event,
            )

    def observe_stream_end(self, job: Job, attempt: Attempt) -> None:
        """Learn from the events of a complete stream."""
        if job.service.engine is None or attempt.resumed_run is not None:
            return
        request, costs = job.request, self._fleet.costs
        costs.observe_events(
            attempt.target.name,
            attempt.work,
            attempt.events - 1,
            self._clock.now_ms() - attempt.first_event_ms,
        )
        costs.outputs.observe(
            job.route.name,
            request.output_tokens,
            request.expected_output_tokens,
            attempt.events,
        )

    def _max_permit_wait_ms(self, job: Job, now_ms: int) -> int:
        """Return how long a request may wait for a permit, `NO_PERMITS` if not."""
        if job.permit_requests >= MAX_PERMIT_REQUESTS:
            return NO_PERMITS
        return max(0, _target_wait_end_ms(job) - now_ms)

    def _request_permit(
        self, job: Job, target: str, max_wait_ms: int, now_ms: int
    ) -> None:
        job.permit_requests += 1

        def on_decision(decision: PermitDecision) -> None:
            job.permit_wait_ms += self._clock.now_ms() - now_ms
            if decision.outcome is PermitOutcome.GRANTED:
                self.dispatch(job, decision.permit)
                return
            if decision.outcome is not PermitOutcome.UNLIMITED:
                job.refused_permits.append(target)
            self.dispatch(job)

        self._permits.acquire(
            job.quota_id, target, max_wait_ms, on_decision, job.request.request_id
        )

    def _give_back(self, permit: Permit | None) -> None:
        if permit is not None:
            self._permits.give_back(permit)

    def _give_up_without_target(
        self, job: Job, request: PlacementRequest, max_wait_ms: int, now_ms: int
    ) -> None:
        if self._fleet.selection.lacks_only_room(
            request, job.excluded, max_wait_ms, now_ms
        ):
            self._wait_for_room(job)
            return
        would_fit = self._fleet.selection.choose(
            request, job.excluded, ANY_PERMIT_WAIT_MS, now_ms
        )
        if would_fit is None:
            self._requests.give_up(job, "no_target", "no target can take the request")
            return
        job.limited_targets = self._fleet.selection.list_limited(job.service.name)
        text = "all targets are at the request rate that they accept"
        self._requests.give_up(job, "targets_limited", text)

    def _note_demand(self, service: str, now_ms: int) -> None:
        """Record the demand for a service, if it is refusal-limited."""
        if self._fleet.refusal_limits.is_refusal_limited(service, now_ms):
            targets = self._fleet.table.find_by_service(service)
            running = sum(
                self._fleet.table.own_running(target.name) for target in targets
            )
            waiting = self._room_waits.count(service)
            self._fleet.leases.note_demand(service, running + waiting + 1)

    def _wait_for_room(self, job: Job) -> None:
        """Look for a target with room for a while; refuse the request after that."""
        until_ms, service = _target_wait_end_ms(job), job.service.name
        if not self._room_waits.start(
            job.number, service, until_ms, lambda: self.dispatch(job)
        ):
            text = "the targets have no room"
            self._requests.give_up(job, "targets_full", text, DEFAULT_RETRY_AFTER_MS)

    def send(
        self,
        job: Job,
        choice: Choice,
        store: ServiceProfile | None,
        now_ms: int,
        remaining_ms: int,
        permit: Permit | None = None,
    ) -> None:
        """Send a request to the chosen target; see `AttemptBuilder.build`."""
        target = choice.target
        attempt = self._builder.build(job, choice, store, now_ms, remaining_ms, permit)
        if job.tries:
            _log_repeat(job, attempt)
        job.sent_to.add(target.address)
        job.attempt = attempt
        self._suspects.begin_attempt(job, attempt)
        self._fleet.rollouts.on_sent(job, attempt)
        job.tries += 1
        self._fleet.table.begin(
            target.name,
            attempt.prefill_tokens,
            attempt.memory_tokens,
            attempt.decode_tokens,
        )
        if job.route.is_repeatable:
            self.on_repeatable_sent(job, attempt)
        if permit is not None:
            self._metrics.on_sent_to_limited(job.service.name)
        self._port.submit(attempt.call)

    def end_attempt(self, job: Job, attempt: Attempt, code: str, sent: bool) -> None:
        """Record the end of an attempt without a usable response."""
        if job.attempt is attempt:
            job.attempt = None
        job.excluded.add(attempt.target.name)
        job.last_failure = code
        self.close_attempt(job, attempt)
        self._metrics.on_attempt_failed(job.service.name, code)
        log_event(
            ATTEMPT_FAILED,
            request_id=job.request.request_id,
            target=attempt.target.name,
            code=code,
            sent=sent,
            after_ms=self._clock.now_ms() - attempt.sent_ms,
            reused_connection=attempt.call.reused,
            weights=attempt.target.weights,
        )

    def close_attempt(self, job: Job, attempt: Attempt) -> None:
        self._timers.cancel(response_timer(job, attempt))
        self._suspects.on_attempt_closed(job, attempt)
        self._fleet.rollouts.on_closed(attempt)
        if not attempt.has_first_event:
            self._fleet.table.end_prefill(attempt.target.name, attempt.prefill_tokens)
            if attempt.call.bytes_written:
                self.observe_first_event(job, attempt, False)
        self._fleet.table.end_decode(attempt.target.name, attempt.decode_tokens)
        self._fleet.table.end(attempt.target.name, attempt.memory_tokens)
        if not attempt.call.bytes_written:
            self._give_back(attempt.permit)

    def may_run_again(self, job: Job, runs: int) -> bool:
        """Whether a request that may have run `runs` times may run again.

        A positive result takes one retry from the budget.
        """
        if runs + 1 > self._max_runs(job) or job.tries >= MAX_TRIES:
            return False
        if job.has_events and not (job.can_resume and self._is_begin_certain(job)):
            return False
        if not self._suspects.may_repeat(job):
            return False
        remaining_ms = job.deadline_at_ms - self._clock.now_ms()
        return remaining_ms > 2 * MIN_REMAINING_MS and self.consume_retry(job)

    def _max_runs(self, job: Job) -> int:
        """Return how often a request may run in total.

        A configuration may change its route meanwhile; the stricter one holds then.
        """
        request = job.request
        current = self._fleet.index.find_route(request.host, request.path)
        routes = [job.route] if current is None else [job.route, current]
        return min(route.max_runs for route in routes)

    def consume_retry(self, job: Job) -> bool:
        now_ms = self._clock.now_ms()
        return self._retry_budget.try_consume(
            job.service.name, self._fleet.instances, now_ms
        )

    def retry_or_give_up(self, job: Job) -> None:
        if job.tries < MAX_TRIES:
            self.dispatch(job)
        else:
            self._requests.give_up(job, job.last_failure, "all attempts failed")


def _log_repeat(job: Job, attempt: Attempt) -> None:
    is_silent = job.silent_attempt is not None
    allowed_by = "not_run"
    if job.may_have_run or is_silent:
        allowed_by = "resumable" if job.route.is_resumable else job.route.kind.value
    log_event(
        REQUEST_REPEATED,
        request_id=job.request.request_id,
        target=attempt.target.name,
        attempt=attempt.number,
        runs=job.runs,
        after="silent" if is_silent else job.last_failure,
        allowed_by=allowed_by,
        resume_after=job.position.last_event_id,
    )


def _target_wait_end_ms(job: Job) -> int:
    """Return the time until which a request may wait for a permit or for room."""
    return job.arrived_ms + int(TARGET_WAIT_FRACTION * job.route.objective_ms)
