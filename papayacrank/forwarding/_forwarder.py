"""Forwarding of requests: admission, attempts at targets, and responses."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from papayacrank.control import digest_key
from papayacrank.kernel import Clock, Failure, Verdict, log_event
from papayacrank.messages import (
    FleetLoad,
    FleetTarget,
    FleetView,
    PartLocation,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceProfile,
    WorkspaceProfile,
)
from papayacrank.permits import (
    ANY_PERMIT_WAIT_MS,
    MAX_PERMIT_REQUESTS,
    NO_PERMITS,
    Permit,
    PermitDecision,
    PermitOutcome,
    PermitPort,
    RateKnowledge,
)
from papayacrank.quarantine import PartsAdmission
from papayacrank.transport import (
    CLOSE_HEADER,
    ExchangeListener,
    HttpExchange,
    Timers,
)

from ._base import CallerProtocol, Dispatch, ForwardRequest, ResponseMetadata
from ._continuity import StreamContinuity
from ._event_stream import EventStreamError
from ._events import (
    ATTEMPT_FAILED,
    REQUEST_ENDED,
    REQUEST_REFUSED,
    ROUTING_APPLIED,
    STORE_CHANGED,
    TARGET_LEAVING,
    WEIGHTS_ASSUMED,
)
from ._forecast import QueueForecast
from ._headers import CONNECTION_HEADERS, HeaderList, drop_headers
from ._health import TargetHealth
from ._job import Attempt, Job
from ._metrics import ForwardingMetrics
from ._path_port import PathPort
from ._pauses import TargetPauses
from ._placement import Choice, KnownPartLocations, PlacementRequest, build_cache_salt
from ._quota import QuotaDecision, QuotaEnforcer
from ._refusal_limits import RefusalLimitedServices, RoomLeases
from ._relay import Relay, RelayedRequest
from ._retry_budget import RetryBudget
from ._room_waits import RoomWaits
from ._routes import RouteIndex
from ._selection import RETRY_JITTER, TargetSelection
from ._suspects import SuspectTracker
from ._target_call import CallFailure, CallListener, StartCheck, TargetCall
from ._target_port import TargetPort
from ._targets import RoomReport, TargetTable
from ._unidentified import UnidentifiedResponses

# Attempts per request whatever their outcome; prevents endless loops.
MAX_TRIES = 5
# With less time than this, a response cannot arrive before the deadline.
MIN_REMAINING_MS = 20
# Final responses are sent this long before the deadline of the caller.
RESPONSE_MARGIN_MS = 15
DEFAULT_RETRY_AFTER_MS = 400
# Time from a start to readiness if all processes start together, as after a power
# failure: machines start within 0.4 s; links, election and target list take 0.4 s.
EXPECTED_START_MS = 1_000
MIN_RETRY_AFTER_MS = 400
# Time for which a refusal shows that a target runs the named version of its weights.
# After it, the view of the leader is up to date.
ASSUMED_WEIGHTS_MS = 2_000
# Requests that arrive before readiness are held for this long, but for no more than
# their deadline divided by START_WAIT_DIVISOR.
START_WAIT_MS = 350
START_WAIT_DIVISOR = 3
MAX_HELD_REQUESTS = 200
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
# Part of the latency objective for which a request may wait for a permit or for room,
# at targets that limit the rate of requests or of refusals.
TARGET_WAIT_FRACTION = 0.5
# Retry-After of requests that a stopping instance refuses; others can take them now.
RETRY_ELSEWHERE_MS = 20
URGENCY_STEPS = 3
MAX_URGENCY = 9
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
MAX_LOGGED_ID_CHARS = 64
# The port to the caller adds its own framing headers.
DROPPED_RESPONSE_HEADERS = CONNECTION_HEADERS | {b"content-length"}


@dataclass(frozen=True)
class ForwardingSettings:
    """Settings of request forwarding.

    Parameters
    ----------
    instance, failure_domain : str
        Instance name and failure domain of this process.
    retry_ratio, retry_slack : float
        Retries per request, and retries per window in addition; see `RetryBudget`.
    retry_window_ms : int
        Length of the retry window in milliseconds.
    max_old_weights_ms : int
        Time in milliseconds after which no request may start on replaced weights.
    max_pause_ms : int
        Limit in milliseconds on the pause that one response of a target may request.
        Overload of a target lasts far less than a minute, so a longer pause is
        treated as an error of the target.
    """

    instance: str
    failure_domain: str
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_slack: float = 50.0
    max_old_weights_ms: int = 6_500
    max_pause_ms: int = 60_000


class Forwarder(ExchangeListener, CallListener):
    """Forwards requests of callers to targets.

    Parameters
    ----------
    settings : ForwardingSettings
        Settings.
    protocol : CallerProtocol
        HTTP representation of requests and responses.
    port : TargetPort
        Connections to targets.
    quota : QuotaEnforcer
        Rate limits of the workspaces.
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
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    random_state : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        protocol: CallerProtocol,
        port: TargetPort,
        quota: QuotaEnforcer,
        permits: PermitPort,
        suspects: SuspectTracker,
        continuity: StreamContinuity,
        paths: PathPort,
        relay: Relay,
        clock: Clock,
        timers: Timers,
        random_state: random.Random,
    ):
        self._settings = settings
        self._protocol = protocol
        self._port = port
        self._quota = quota
        self._permits = permits
        self._suspects = suspects
        self._continuity = continuity
        self._paths = paths
        self._relay = relay
        self._clock = clock
        self._timers = timers
        self._random = random_state
        self._table = TargetTable()
        self._paths.on_silent = self._table.report_unreachable
        self._health = TargetHealth()
        self._parts = KnownPartLocations()
        self._store_incarnations: dict[str, int] = {}
        self._unavailable_stores: frozenset[str] = frozenset()
        self._metrics = ForwardingMetrics()
        self._retry_budget = RetryBudget(
            settings.retry_ratio, settings.retry_window_ms, settings.retry_slack
        )
        self._forecast = QueueForecast()
        self._stops_at_ms: int | None = None
        self._pauses = TargetPauses(settings.max_pause_ms)
        self._refusal_limits = RefusalLimitedServices()
        self._leases = RoomLeases()
        self._room_waits = RoomWaits(clock, timers)
        self._unidentified = UnidentifiedResponses()
        self._selection = TargetSelection(
            self._table,
            self._health,
            self._pauses,
            permits.client,
            self._refusal_limits,
            self._leases,
            self._parts,
            settings.failure_domain,
            random_state,
        )
        self._index: RouteIndex | None = None
        self._weights: dict[str, int] = {}
        self._weights_since_ms: dict[str, int] = {}
        self._instances = 1
        self._started_ms = clock.now_ms()
        self._request_numbers = itertools.count(1)
        self._jobs: dict[int, Job] = {}
        self._awaiting_grant: dict[str, Job] = {}
        self._held_exchanges: dict[int, HttpExchange] = {}
        self.on_quota_wait: Callable[[], None] = lambda: None

    @property
    def table(self) -> TargetTable:
        """Table of the targets and their load."""
        return self._table

    @property
    def metrics(self) -> ForwardingMetrics:
        """Metrics of this process."""
        return self._metrics

    @property
    def open_jobs(self) -> int:
        """Number of requests without a final response."""
        return len(self._jobs) + self._relay.open_requests

    @property
    def slot_leases(self) -> dict[str, int]:
        """Leased slots of refusal-limited targets, by target."""
        return self._leases.held

    @property
    def is_ready(self) -> bool:
        """Whether a configuration and at least one target are known."""
        return self._index is not None and self._table.count > 0

    # State from the control group

    def apply_routing(self, configuration: RoutingConfiguration) -> None:
        """Replace the routing configuration."""
        self._index = RouteIndex(configuration)
        self._quota.configure(configuration)
        log_event(
            ROUTING_APPLIED,
            version=configuration.version,
            routes=len(configuration.routes),
            rates={
                item.name: [item.rate_per_s, item.burst]
                for item in configuration.workspaces
            },
        )
        self._release_held_requests()

    def apply_weights(self, versions: dict[str, int]) -> None:
        """Set the current version of the weights of each model."""
        now_ms = self._clock.now_ms()
        for model, version in versions.items():
            if version > self._weights.get(model, 0):
                self._weights_since_ms[model] = now_ms
        self._weights = dict(versions)

    def apply_fleet(self, view: FleetView) -> bool:
        """Apply a list of the targets; return whether it was newer than the last."""
        removed = self._table.update(view)
        if removed is None:
            return False
        for target in removed:
            self._health.forget(target.name)
            self._pauses.forget(target.name)
            self._unidentified.forget(target.name)
            self._parts.engines.forget_location(target.name)
            self._port.drop_idle(target.address)
        self._permits.client.retain((t.name, t.born_ms) for t in view.targets)
        self._paths.set_targets(view.targets)
        self._update_stores(view.stores)
        self._release_held_requests()
        return True

    def readmit_targets(self) -> None:
        """Use all targets again after the path to them was lost."""
        self._health.readmit_all()

    def _update_stores(self, incarnations: dict[str, int]) -> None:
        """Drop the known contents of stores that restarted or became unavailable.

        Parameters
        ----------
        incarnations : dict of str to int
            Incarnation of each store; 0 while it does not respond.
        """
        for name, incarnation in incarnations.items():
            known = self._store_incarnations.get(name, incarnation)
            if incarnation != known:
                self._parts.stores.forget_location(name)
                log_event(STORE_CHANGED, store=name, start=incarnation, known=known)
        self._store_incarnations |= incarnations
        unavailable = (
            name
            for name, incarnation in self._store_incarnations.items()
            if not incarnation
        )
        self._unavailable_stores = frozenset(unavailable)

    def set_instances(self, count: int) -> None:
        """Set the number of instances that share rate limits and retry budgets."""
        self._instances = max(1, count)
        self._quota.set_instances(count)

    # Planned stop

    def begin_stop(self, ends_at_ms: int) -> None:
        """Refuse from now on the requests whose time limit is later than the stop.

        Parameters
        ----------
        ends_at_ms : int
            Time in milliseconds at which the process ends.
        """
        self._stops_at_ms = ends_at_ms

    def _fits_before_stop(self, request: ForwardRequest, route: Route) -> bool:
        """Whether a request ends before the process does, however long it takes.

        Durations of streams vary too much for an estimate: the few that an instance
        has seen say little about the longest ones.
        """
        if self._stops_at_ms is None:
            return True
        left_ms = self._stops_at_ms - self._clock.now_ms()
        return _time_limit_ms(request, route) <= left_ms

    def end_open_requests(self) -> None:
        """End all requests before the process does.

        Requests without a response get a failure; a stream that has begun is cut.
        """
        self._relay.end_open_requests()
        for job in list(self._jobs.values()):
            self._end_silent_attempt(job, "stopped")
            attempt = job.attempt
            if attempt is not None:
                self._port.cancel(attempt.call)
                self._end_attempt(job, attempt, "stopped", attempt.call.bytes_written)
                job.runs += attempt.call.bytes_written
            text = "this instance has stopped"
            self._give_up(job, "stopped", text, RETRY_ELSEWHERE_MS)
        held, self._held_exchanges = self._held_exchanges, {}
        for number, exchange in held.items():
            self._timers.cancel(_start_timer(number))
            if exchange.is_open:
                self._refuse_not_ready(exchange, "")

    # Admission

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Handle a request of a caller."""
        request = self._protocol.read_request(exchange.head)
        if isinstance(request, Failure):
            self._refuse(exchange, request, "")
            return
        if not self.is_ready:
            self._hold_until_ready(exchange, request)
            return
        route_or_failure = self._find_route(request)
        if isinstance(route_or_failure, Failure):
            self._refuse(exchange, route_or_failure, request.request_id)
            return
        route, workspace = route_or_failure
        if not self._fits_before_stop(request, route):
            text = "this instance is stopping, and the request may take longer"
            failure = _refusal("stopping", text, 503, RETRY_ELSEWHERE_MS)
            self._refuse(exchange, failure, request.request_id, closes=True)
            return
        if self._paths.is_isolated and self._relay.accepts(request):
            self._relay.forward(exchange, request)
            return
        self._admit(exchange, request, route, workspace)

    def _hold_until_ready(
        self, exchange: HttpExchange, request: ForwardRequest
    ) -> None:
        """Hold a request until this process is ready, for a short time."""
        now_ms = self._clock.now_ms()
        wait_ms = START_WAIT_MS
        if request.deadline_ms is not None:
            wait_ms = min(wait_ms, request.deadline_ms // START_WAIT_DIVISOR)
        due_ms = exchange.arrived_ms + wait_ms
        is_late = now_ms - self._started_ms > EXPECTED_START_MS
        is_full = len(self._held_exchanges) >= MAX_HELD_REQUESTS
        if is_late or is_full or now_ms >= due_ms:
            self._refuse_not_ready(exchange, request.request_id)
            return
        number = next(self._request_numbers)
        self._held_exchanges[number] = exchange

        def refuse() -> None:
            if self._held_exchanges.pop(number, None) and exchange.is_open:
                self._refuse_not_ready(exchange, request.request_id)

        self._timers.set(_start_timer(number), due_ms, refuse)

    def _refuse_not_ready(self, exchange: HttpExchange, request_id: str) -> None:
        text = "this instance has no configuration yet"
        failure = _refusal("starting", text, 503, self._time_to_start_ms())
        self._refuse(exchange, failure, request_id)

    def _release_held_requests(self) -> None:
        """Process the requests that were held until this process was ready."""
        if not self.is_ready or not self._held_exchanges:
            return
        for number in list(self._held_exchanges):
            exchange = self._held_exchanges.pop(number)
            self._timers.cancel(_start_timer(number))
            if exchange.is_open:
                self.on_exchange(exchange)

    def _time_to_start_ms(self) -> int:
        elapsed_ms = self._clock.now_ms() - self._started_ms
        return max(MIN_RETRY_AFTER_MS, EXPECTED_START_MS - elapsed_ms)

    def _find_route(
        self, request: ForwardRequest
    ) -> tuple[Route, WorkspaceProfile | None] | Failure:
        route = self._index.find_route(request.host, request.path)
        if route is None:
            return _refusal("unknown_route", "no route has this host and path", 404)
        if route.public or not self._index.requires_keys:
            return route, None
        workspace = None
        if request.key:
            workspace = self._index.find_workspace(digest_key(request.key))
        if workspace is None:
            return _refusal("unknown_key", "the key is missing or not in force", 401)
        return route, workspace

    def _admit(
        self,
        exchange: HttpExchange,
        request: ForwardRequest,
        route: Route,
        workspace: WorkspaceProfile | None,
    ) -> None:
        now_ms = self._clock.now_ms()
        service = self._choose_service(route)
        wait_ms = _time_limit_ms(request, route)
        job = Job(
            next(self._request_numbers),
            exchange,
            request,
            route,
            service,
            workspace,
            exchange.arrived_ms,
            exchange.arrived_ms + wait_ms,
            cost=_cost(request, workspace),
            last_event_id=request.resume_after,
        )
        exchange.state = job
        self._jobs[job.number] = job
        self._retry_budget.on_request(service.name, now_ms)
        at_ms = max(now_ms, job.deadline_at_ms - RESPONSE_MARGIN_MS)
        self._timers.set(_deadline_timer(job), at_ms, lambda: self._on_deadline(job))
        if workspace is None:
            self._dispatch(job)
            return
        decision = self._quota.admit(_quota_id(job), workspace.name, job.cost, now_ms)
        if decision is None:
            self._awaiting_grant[_quota_id(job)] = job
            self.on_quota_wait()
        else:
            self._apply_decision(job, decision)

    def _choose_service(self, route: Route):
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        name = self._random.choices(names, weights)[0]
        return self._index.find_service(name)

    def poll_quota(self) -> None:
        """Continue requests that waited for a grant of tokens."""
        for decision in self._quota.poll(self._clock.now_ms()):
            job = self._awaiting_grant.pop(decision.request_id, None)
            if job is not None and not job.is_done:
                self._apply_decision(job, decision)

    def _apply_decision(self, job: Job, decision: QuotaDecision) -> None:
        if decision.admitted:
            self._dispatch(job)
            return
        text = "the workspace is over its rate"
        retry_after_ms = decision.retry_after_ms
        job.ledger_age_ms = decision.ledger_age_ms
        self._fail(job, _refusal("over_rate", text, 429, retry_after_ms))

    # Attempts

    def _dispatch(self, job: Job, permit: Permit | None = None) -> None:
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
            self._give_up(job, "deadline", "no time is left")
            return
        if self._paths.is_isolated and not job.has_events:
            self._give_back(permit)
            self._leave_to_peer(job)
            return
        if not (self._knows_release(job) and self._may_send_parts(job)):
            self._give_back(permit)
            return
        store = self._choose_store(job)
        request = self._build_placement_request(job, store, now_ms)
        if permit is not None:
            choice = self._selection.choose(
                request, job.excluded, ANY_PERMIT_WAIT_MS, now_ms, only=permit.target
            )
            if choice is not None:
                self._send(job, choice, store, now_ms, remaining_ms, permit)
                return
            self._give_back(permit)
        max_wait_ms = self._max_permit_wait_ms(job, now_ms)
        self._note_demand(job.service.name, now_ms)
        choice = self._selection.choose(request, job.excluded, max_wait_ms, now_ms)
        if choice is None:
            self._give_up_without_target(job, request, max_wait_ms, now_ms)
        elif (late_ms := self._forecast_delay_ms(job, choice, remaining_ms)) > 0:
            job.limited_targets = self._selection.list_limited(job.service.name)
            text = "the queue is longer than the request may wait"
            self._give_up(job, "overloaded", text, late_ms)
        elif self._permits.client.rate_of(choice.target.name) is None:
            self._send(job, choice, store, now_ms, remaining_ms)
        else:
            self._request_permit(job, choice.target.name, max_wait_ms, now_ms)

    def _leave_to_peer(self, job: Job) -> None:
        """Pass a request on that no target can be reached for, or refuse it at once."""
        if not self._relay.accepts(job.request):
            self._give_up(job, "no_path", "no target can be reached from this instance")
            return
        self._finish(job, None, "relayed", 0)
        self._relay.forward(
            job.exchange, job.request, job.deadline_at_ms, job.may_have_run
        )

    def _knows_release(self, job: Job) -> bool:
        """Whether targets for a request are known; otherwise find out or refuse it."""
        if not self._continuity.is_begin_certain(job, self._clock.now_ms()):
            text = "the release that began the stream is not certain"
            self._give_up(job, "unknown_release", text)
            return False
        if not self._continuity.needs_release(job):
            return True
        self._continuity.find_release(
            job,
            lambda service: self._take_up_at(job, service),
            lambda retry_after_ms: self._refuse_take_up(job, retry_after_ms),
        )
        return False

    def _take_up_at(self, job: Job, service: str) -> None:
        """Send a request to the service that began its stream, not one drawn by lot."""
        job.service = self._index.find_service(service) or job.service
        self._dispatch(job)

    def _refuse_take_up(self, job: Job, retry_after_ms: int | None) -> None:
        text = "it is not known which release began the stream"
        self._fail(job, _refusal("unknown_release", text, 503, retry_after_ms))

    def _may_send_parts(self, job: Job) -> bool:
        """Whether a request may be sent now; otherwise refuse it or request a trial."""
        decision = self._suspects.check(job)
        if decision.admission is PartsAdmission.REFUSED:
            self._refuse_parts(job, decision.retry_after_ms)
        elif decision.admission is PartsAdmission.NEEDS_TRIAL:
            self._suspects.request_trial(
                job,
                lambda: self._dispatch(job),
                lambda retry_after_ms: self._refuse_parts(job, retry_after_ms),
            )
        return decision.admission is PartsAdmission.ALLOWED

    def _refuse_parts(self, job: Job, retry_after_ms: int | None) -> None:
        text = "the request or a part of its prompt is suspected to crash targets"
        if job.may_have_run:
            self._give_up(job, "quarantined", text)
            return
        if retry_after_ms is None:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
        self._fail(job, _refusal("quarantined", text, 503, retry_after_ms))

    def _forecast_delay_ms(self, job: Job, choice: Choice, remaining_ms: int) -> int:
        """Return by how much a queue is too long for a request, 0 if it is not.

        The queue may take the latency objective and no more than the time left. Without
        a queue, a long prompt gets as long as it needs.
        """
        if job.service.engine is None or job.may_have_run:
            return 0
        wait_ms = self._forecast.wait_ms(
            job.service.name, _urgency(job), choice.queue_ms
        )
        job.forecast_wait_ms = int(wait_ms)
        return max(0, int(wait_ms - min(job.route.objective_ms, remaining_ms)))

    def _observe_first_event(self, job: Job, attempt: Attempt, has_event: bool) -> None:
        if job.service.engine is not None:
            self._forecast.observe(
                job.service.name,
                _urgency(job),
                attempt.choice.expected_ms,
                self._clock.now_ms() - attempt.sent_ms,
                has_event,
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
                self._dispatch(job, decision.permit)
                return
            if decision.outcome is not PermitOutcome.UNLIMITED:
                job.refused_permits.append(target)
            self._dispatch(job)

        self._permits.acquire(
            _quota_id(job), target, max_wait_ms, on_decision, job.request.request_id
        )

    def _give_back(self, permit: Permit | None) -> None:
        if permit is not None:
            self._permits.give_back(permit)

    def _give_up_without_target(
        self, job: Job, request: PlacementRequest, max_wait_ms: int, now_ms: int
    ) -> None:
        if self._selection.lacks_only_room(request, job.excluded, max_wait_ms, now_ms):
            self._wait_for_room(job)
            return
        would_fit = self._selection.choose(
            request, job.excluded, ANY_PERMIT_WAIT_MS, now_ms
        )
        if would_fit is None:
            self._give_up(job, "no_target", "no target can take the request")
            return
        job.limited_targets = self._selection.list_limited(job.service.name)
        text = "all targets are at the request rate that they accept"
        self._give_up(job, "targets_limited", text)

    def _note_demand(self, service: str, now_ms: int) -> None:
        """Record the demand for a service, if it is refusal-limited."""
        if self._refusal_limits.is_refusal_limited(service, now_ms):
            targets = self._table.find_by_service(service)
            running = sum(self._table.own_running(target.name) for target in targets)
            waiting = self._room_waits.count(service)
            self._leases.note_demand(service, running + waiting + 1)

    def _wait_for_room(self, job: Job) -> None:
        """Look for a target with room for a while; refuse the request after that."""
        until_ms, service = _target_wait_end_ms(job), job.service.name
        if not self._room_waits.start(
            job.number, service, until_ms, lambda: self._dispatch(job)
        ):
            text = "the targets have no room"
            self._give_up(job, "targets_full", text, DEFAULT_RETRY_AFTER_MS)

    def _choose_store(self, job: Job) -> ServiceProfile | None:
        """Return the store for a prompt; None for plain services or if none is up."""
        if job.service.engine is None:
            return None
        return self._index.choose_store(
            job.request.shared_parts, self._unavailable_stores
        )

    def _build_placement_request(
        self, job: Job, store: ServiceProfile | None, now_ms: int
    ) -> PlacementRequest:
        request = job.request
        if job.service.engine is None:
            return PlacementRequest(job.service, release=job.release)
        newest = self._weights.get(request.model, 0)
        since_ms = self._weights_since_ms.get(request.model, now_ms)
        return PlacementRequest(
            job.service,
            request.model,
            request.tokens,
            request.prompt_tokens or 0,
            request.shared_parts,
            self._salt_base(job),
            newest,
            now_ms - since_ms,
            self._settings.max_old_weights_ms,
            job.route.objective_ms,
            now_ms - job.arrived_ms,
            store.name if store is not None else "",
            job.release,
        )

    def _send(
        self,
        job: Job,
        choice: Choice,
        store: ServiceProfile | None,
        now_ms: int,
        remaining_ms: int,
        permit: Permit | None = None,
    ) -> None:
        target = choice.target
        dispatch, salt = self._build_dispatch(job, choice, store, remaining_ms)
        call = TargetCall(
            target.address,
            job.request.method,
            job.request.target,
            self._protocol.target_headers(job.request, dispatch),
            job.exchange.body,
            self,
            self._connection_limit(job),
            needs_new_connection=self._needs_new_connection(job, target, now_ms),
            send_before_ms=permit.until_ms if permit is not None else None,
            start_check=self._build_start_check(job, target),
            state=job,
        )
        job.sent_to.add(target.address)
        is_stream = job.route.kind is RequestKind.STREAM
        attempt = Attempt(
            target,
            choice,
            call,
            now_ms,
            prefill_tokens=choice.missing_tokens,
            memory_tokens=job.request.tokens,
            salt=salt,
            store=store.name if dispatch.save_to is not None else "",
            is_stream=is_stream,
            is_resume=job.has_events,
            permit=permit,
            number=job.tries + 1,
            rate_knowledge=self._permits.client.knowledge_of(target.name),
        )
        job.attempt = attempt
        self._suspects.begin_attempt(job, attempt)
        job.tries += 1
        self._table.begin(target.name, attempt.prefill_tokens, attempt.memory_tokens)
        if job.route.is_repeatable:
            self._set_response_timer(job, attempt)
        if permit is not None:
            self._metrics.on_sent_to_limited(job.service.name)
        self._port.submit(call)

    def _build_start_check(self, job: Job, target: FleetTarget) -> StartCheck | None:
        """Return the check of a target at which a stream goes on.

        A target may have restarted with another release since the view was built.
        """
        if job.release is None or not target.born_ms:
            return None
        query = self._protocol.build_start_query(target.name)
        if query is None:
            return None
        return StartCheck(
            target.name,
            target.born_ms,
            query.method,
            query.target,
            query.headers,
            self._protocol.read_start,
        )

    def _build_dispatch(
        self, job: Job, choice: Choice, store: ServiceProfile | None, remaining_ms: int
    ) -> tuple[Dispatch, str]:
        target, request = choice.target, job.request
        workspace = job.workspace.name if job.workspace else None
        if job.service.engine is None:
            return Dispatch(target.name, remaining_ms, workspace), ""
        version = target.weights.get(request.model, 0)
        salt = build_cache_salt(self._salt_base(job), version)
        address = store.store.address if store is not None else None
        is_stored = store is None or self._is_stored(request, salt, store.name)
        dispatch = Dispatch(
            target.name,
            remaining_ms,
            workspace,
            _urgency(job),
            salt,
            version,
            address,
            None if is_stored else address,
            job.last_event_id,
        )
        return dispatch, salt

    def _salt_base(self, job: Job) -> str:
        """Return the prefix of the cache salt by the configuration in force.

        The one at admission may be outdated when a request is sent again.
        """
        workspace = job.workspace.name if job.workspace is not None else None
        return self._index.cache_salt_base(workspace)

    def _is_stored(self, request: ForwardRequest, salt: str, store: str) -> bool:
        """Whether a store has all shared parts; saving them again would load its link.

        Only parts that this instance knows of are counted.
        """
        now_ms = self._clock.now_ms()
        return all(
            self._parts.stores.has(store, salt, part.name, now_ms)
            for part in request.shared_parts
        )

    def _connection_limit(self, job: Job) -> int:
        limit = job.service.max_connections
        return max(2, limit // (self._instances + 1)) if limit else 64

    def _needs_new_connection(self, job: Job, target: FleetTarget, now_ms: int) -> bool:
        """Whether a response could be taken for one to another sending of a request."""
        return (
            target.address in job.sent_to
            or not job.request.request_id
            or self._unidentified.requires_new_connection(target.name, now_ms)
        )

    def _set_response_timer(self, job: Job, attempt: Attempt) -> None:
        """Start the timer that ends an attempt without a response.

        It is set for repeatable requests, which are then retried at another target, and
        for those whose connection returned a response without an id.
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
        at_ms = self._clock.now_ms() + int(wait_ms)
        self._timers.set(
            _response_timer(job, attempt),
            at_ms,
            lambda: self._on_response_timeout(job, attempt),
        )

    def _on_response_timeout(self, job: Job, attempt: Attempt) -> None:
        """Send a request to another target, if there is one, while this one is silent.

        The silent attempt goes on until the other target takes the request, because a
        sound target may be silent for a while.
        """
        if job.is_done or job.attempt is not attempt:
            return
        if not job.route.is_repeatable:
            self._port.cancel(attempt.call)
            self._on_incomplete_response(job, attempt, "unidentified_answer")
            return
        now_ms = self._clock.now_ms()
        if not attempt.is_silent:
            # Counts once for each silence, however many other targets refuse.
            attempt.is_silent = True
            self._record_target_failure(job, attempt, now_ms)
        store = self._choose_store(job)
        request = self._build_placement_request(job, store, now_ms)
        excluded = job.excluded | {attempt.target.name}
        choice = self._selection.choose(request, excluded, NO_PERMITS, now_ms)
        is_possible = choice is not None and self._suspects.is_unrestricted(job)
        if not is_possible or not self._may_run_again(job, job.runs + 1):
            self._set_response_timer(job, attempt)
            return
        job.silent_attempt, job.attempt = attempt, None
        self._timers.set(
            _overlap_timer(job),
            now_ms + SILENT_OVERLAP_MS,
            lambda: self._end_silent_attempt(job, "silent"),
        )
        self._send(job, choice, store, now_ms, job.deadline_at_ms - now_ms)

    def _end_silent_attempt(self, job: Job, code: str) -> None:
        """End the silent attempt of a request that another target has taken."""
        attempt = job.silent_attempt
        if attempt is None:
            return
        self._port.cancel(attempt.call)
        self._discard_silent_attempt(job, code, attempt.call.bytes_written)

    def _discard_silent_attempt(self, job: Job, code: str, has_run: bool) -> None:
        attempt, job.silent_attempt = job.silent_attempt, None
        self._timers.cancel(_overlap_timer(job))
        self._end_attempt(job, attempt, code, attempt.call.bytes_written)
        job.runs += has_run

    def _restore_silent_attempt(self, job: Job) -> None:
        """Continue with the silent attempt, after cancelling the one beside it."""
        other, job.attempt = job.attempt, job.silent_attempt
        job.silent_attempt = None
        self._timers.cancel(_overlap_timer(job))
        if other is not None:
            self._port.cancel(other.call)
            self._end_attempt(job, other, "superseded", other.call.bytes_written)
            job.runs += other.call.bytes_written
        self._set_response_timer(job, job.attempt)

    def _end_attempt(self, job: Job, attempt: Attempt, code: str, sent: bool) -> None:
        """Record the end of an attempt without a usable response."""
        if job.attempt is attempt:
            job.attempt = None
        job.excluded.add(attempt.target.name)
        job.last_failure = code
        self._close_attempt(job, attempt)
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

    def _close_attempt(self, job: Job, attempt: Attempt) -> None:
        self._timers.cancel(_response_timer(job, attempt))
        self._suspects.on_attempt_closed(job, attempt)
        if not attempt.has_first_event:
            self._table.end_prefill(attempt.target.name, attempt.prefill_tokens)
            if attempt.call.bytes_written:
                self._observe_first_event(job, attempt, False)
        self._table.end(attempt.target.name, attempt.memory_tokens)
        if not attempt.call.bytes_written:
            self._give_back(attempt.permit)

    def _may_run_again(self, job: Job, runs: int) -> bool:
        """Whether a request that may have run `runs` times may run again.

        A positive result takes one retry from the budget.
        """
        if not job.route.is_repeatable or job.tries >= MAX_TRIES:
            return False
        if job.has_events and job.last_event_id is None:
            return False
        if runs + 1 > job.route.max_attempts or not self._suspects.may_repeat(job):
            return False
        remaining_ms = job.deadline_at_ms - self._clock.now_ms()
        return remaining_ms > 2 * MIN_REMAINING_MS and self._consume_retry(job)

    def _consume_retry(self, job: Job) -> bool:
        now_ms = self._clock.now_ms()
        return self._retry_budget.try_consume(job.service.name, self._instances, now_ms)

    def _retry_or_give_up(self, job: Job) -> None:
        if job.tries < MAX_TRIES:
            self._dispatch(job)
        else:
            self._give_up(job, job.last_failure, "all attempts failed")

    def _record_target_failure(self, job: Job, attempt: Attempt, now_ms: int) -> None:
        peers = [
            target.name for target in self._table.find_by_service(job.service.name)
        ]
        self._health.on_failure(attempt.target.name, peers, now_ms)

    # Responses of targets

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
            self._unidentified.record(attempt.target.name, self._clock.now_ms())
            self._port.drop_idle(attempt.target.address)
        if not matches and not job.route.is_repeatable:
            self._set_response_timer(job, attempt)

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
            self._timers.cancel(_response_timer(job, attempt))
        self._observe_weights(job, attempt)
        self._apply_target_signals(job, attempt)
        is_success = 200 <= status < 300
        if job.workspace is not None and is_success:
            self._quota.spend(_quota_id(job), job.cost, self._clock.now_ms())
        was_stream = attempt.is_stream
        attempt.is_stream = was_stream and _is_usable_stream(attempt)
        call.is_buffered = not attempt.is_stream
        metadata = attempt.metadata
        is_usable = is_success and metadata.is_valid and not metadata.not_run
        if not is_usable or attempt.is_stream != was_stream:
            return
        if job.silent_attempt is attempt:
            self._restore_silent_attempt(job)
        else:
            self._end_silent_attempt(job, "silent")

    def _observe_weights(self, job: Job, attempt: Attempt) -> None:
        """Update the version of the weights of a target from its response."""
        metadata = attempt.metadata
        model, name = job.request.model, attempt.target.name
        if model is None or metadata.target_name not in (None, name):
            return
        if metadata.weights_version is not None:
            self._table.observe_weights(name, model, metadata.weights_version)
            return
        if not metadata.wrong_target or metadata.target_name != name:
            return
        # The engine refuses the version that the table shows for it; assume for some
        # time that it runs the current one.
        version = self._weights.get(model, 0)
        refused = attempt.target.weights.get(model, 0)
        if self._table.assume_weights(name, model, version, refused):
            log_event(WEIGHTS_ASSUMED, target=name, model=model, version=version)
            self._timers.set(
                f"assumed-weights {name} {model}",
                self._clock.now_ms() + ASSUMED_WEIGHTS_MS,
                lambda: self._table.forget_assumed_weights(name, model),
            )

    def _apply_target_signals(self, job: Job, attempt: Attempt) -> None:
        """Apply the removal notice, pause or rate limit that a response carries."""
        metadata, now_ms = attempt.metadata, self._clock.now_ms()
        name = metadata.target_name or attempt.target.name
        if metadata.is_leaving and self._table.mark_leaving(name):
            log_event(TARGET_LEAVING, target=name, status=attempt.status)
        self._observe_rate(job, attempt, name)
        if name == attempt.target.name and not metadata.wrong_target:
            is_full = metadata.not_run and attempt.status == SERVICE_UNAVAILABLE
            self._refusal_limits.on_response(
                attempt.target.service, name, metadata.refusal_limit, is_full, now_ms
            )
        if metadata.pause_ms is not None:
            self._pauses.on_pause_requested(name, metadata.pause_ms, now_ms)
        elif not metadata.wrong_target and attempt.status < SERVER_ERROR:
            self._pauses.on_success(name, now_ms)

    def _observe_rate(self, job: Job, attempt: Attempt, name: str) -> None:
        """Apply the request rate limit that a response states, or that it states none.

        Parameters
        ----------
        job : Job
            Request.
        attempt : Attempt
            Attempt that got the response.
        name : str
            Target that sent the response.
        """
        metadata = attempt.metadata
        if metadata.wrong_target and metadata.target_name is None:
            return
        target = self._table.find(name)
        is_own = name == attempt.target.name
        belongs = is_own and metadata.request_id == job.request.request_id
        self._permits.observe(
            name,
            target.born_ms if target is not None else 0,
            metadata.rate,
            attempt.rate_knowledge if is_own else RateKnowledge(),
            belongs and metadata.is_valid and 200 <= attempt.status < 300,
            job.request.request_id,
        )

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
            self._on_incomplete_response(job, attempt, str(error))
            return
        for event in events:
            if event.has_content and job.silent_attempt is attempt:
                self._restore_silent_attempt(job)
            if job.is_done:
                return
            if job.attempt is not attempt:
                # A comment of a silent target does not end its silence.
                continue
            if not self._continuity.fits(job, attempt):
                self._port.cancel(call)
                self._on_incomplete_response(job, attempt, "other_release")
                return
            if attempt.is_resume and event.has_content and event.event_id is None:
                # Without an id its place in the stream is unknown.
                self._port.cancel(call)
                self._on_incomplete_response(job, attempt, "event without an id")
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
            self._on_incomplete_response(job, attempt, "unidentified_answer")
        elif metadata.not_run or metadata.wrong_target:
            self._on_not_run(job, attempt)
        elif not metadata.is_valid:
            self._on_incomplete_response(job, attempt, "spoiled answer")
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
        known = self._table.find(name)
        if known is None or not known.leaving:
            # A target that is restarted as planned may end its open requests.
            self._suspects.on_lost(job, attempt, failure)
        if failure.may_have_run and not has_no_connection:
            self._record_target_failure(job, attempt, now_ms)
        if is_unreachable or has_no_connection:
            self._paths.on_unreached(name, is_unreachable, attempt.sent_ms)
            self._health.on_unreachable(name, now_ms)
            self._port.drop_idle(attempt.target.address)
        if failure.may_have_run:
            self._on_incomplete_response(job, attempt, failure.code)
            return
        if self._has_other_attempt(job, attempt, failure.code, has_run=False):
            return
        self._end_attempt(job, attempt, failure.code, sent=False)
        self._retry_or_give_up(job)

    def _on_not_run(self, job: Job, attempt: Attempt) -> None:
        """Retry at another target, since this one did not run the request."""
        metadata = attempt.metadata
        code = "wrong_target" if metadata.wrong_target else f"refused_{attempt.status}"
        if self._has_other_attempt(job, attempt, code, has_run=False):
            return
        self._end_attempt(job, attempt, code, sent=True)
        known = self._table.find(attempt.target.name)
        if metadata.wrong_target and known is not None and known != attempt.target:
            # The same engine can run the request with the corrected version.
            job.excluded.discard(attempt.target.name)
        if job.tries < MAX_TRIES and self._consume_retry(job):
            self._dispatch(job)
            return
        text = "the targets are full"
        self._give_up(job, "targets_full", text)

    def _on_incomplete_response(self, job: Job, attempt: Attempt, code: str) -> None:
        """Handle an attempt that may have run but gave no complete response."""
        if self._has_other_attempt(job, attempt, code, has_run=True):
            return
        self._end_attempt(job, attempt, code, sent=True)
        job.runs += 1
        if self._may_run_again(job, job.runs):
            self._dispatch(job)
            return
        self._give_up(job, "target_failed", code)

    def _has_other_attempt(
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
            self._discard_silent_attempt(job, code, has_run)
            return True
        self._end_attempt(job, attempt, code, attempt.call.bytes_written)
        job.runs += has_run
        self._restore_silent_attempt(job)
        # The next target may take the request at once.
        self._on_response_timeout(job, job.attempt)
        return True

    def _complete_plain(self, job: Job, attempt: Attempt) -> None:
        now_ms = self._clock.now_ms()
        failed = attempt.status >= SERVER_ERROR
        name = attempt.target.name
        self._suspects.on_complete(job, attempt)
        if failed:
            self._record_target_failure(job, attempt, now_ms)
        else:
            self._health.on_success(name)
        code = f"status_{attempt.status}"
        is_success = 200 <= attempt.status < 300
        lacks_stream = is_success and job.route.kind is RequestKind.STREAM
        is_usable = not (failed or lacks_stream or job.exchange.response_started)
        if not is_usable and self._has_other_attempt(job, attempt, code, has_run=True):
            return
        if attempt is job.silent_attempt:
            self._restore_silent_attempt(job)
        else:
            self._end_silent_attempt(job, "silent")
        job.runs += 1
        is_retryable = (
            failed and not job.has_events and not job.exchange.response_started
        )
        if is_retryable and self._may_run_again(job, job.runs):
            self._end_attempt(job, attempt, code, sent=True)
            self._dispatch(job)
            return
        self._close_attempt(job, attempt)
        if job.exchange.response_started:
            job.exchange.abort()
            self._finish(job, attempt, "target_failed", attempt.status)
            return
        headers = drop_headers(attempt.headers, DROPPED_RESPONSE_HEADERS)
        job.exchange.respond(attempt.status, headers, bytes(attempt.body))
        self._finish(job, attempt, "served", attempt.status)

    # Streams

    def _forward_event(self, job: Job, attempt: Attempt, event) -> None:
        if event.has_content:
            attempt.is_silent = False
            if not attempt.has_first_event:
                self._on_first_event(job, attempt)
            self._suspects.on_event(job, attempt)
            if job.route.is_repeatable:
                self._set_response_timer(job, attempt)
        if event.event_id is not None:
            if _is_duplicate(event.event_id, job.last_event_id):
                return
            job.last_event_id = event.event_id
        if not job.exchange.response_started:
            headers = drop_headers(attempt.headers, DROPPED_RESPONSE_HEADERS)
            job.exchange.begin(attempt.status, headers)
        job.has_events = True
        job.exchange.send(event.data)

    def _on_first_event(self, job: Job, attempt: Attempt) -> None:
        now_ms = self._clock.now_ms()
        attempt.has_first_event = True
        self._continuity.on_first_event(job, attempt)
        self._observe_first_event(job, attempt, True)
        self._table.end_prefill(attempt.target.name, attempt.prefill_tokens)
        self._health.on_success(attempt.target.name)
        self._record_parts(job, attempt, now_ms)
        if job.first_event_ms is None:
            job.first_event_ms = now_ms
            ttft_ms = now_ms - job.arrived_ms
            self._metrics.on_first_event(job.service.name, ttft_ms)

    def _record_parts(self, job: Job, attempt: Attempt, now_ms: int) -> None:
        """Record where the shared parts are cached now; report new ones to others."""
        name = attempt.target.name
        for part in job.request.shared_parts:
            location = PartLocation(name, attempt.salt, part.name, attempt.store)
            if self._record_location(location, now_ms):
                self._table.report_part(location)

    def _record_location(self, location: PartLocation, now_ms: int) -> bool:
        salt, part = location.salt, location.part
        is_new = self._parts.engines.record(location.target, salt, part, now_ms)
        if location.store:
            is_new |= self._parts.stores.record(location.store, salt, part, now_ms)
        return is_new

    def take_new_pauses(self) -> list[tuple[str, int]]:
        """Return the pauses that targets requested since the last call."""
        return self._pauses.take_unreported(self._clock.now_ms())

    def take_room_report(self) -> RoomReport:
        """Return what the leader needs to divide the slots of targets."""
        refusal_limited, full = self._refusal_limits.take_unreported()
        services = self._refusal_limits.list_services(self._clock.now_ms())
        wanted = self._leases.take_demand(services)
        return RoomReport(refusal_limited, full, wanted, self._leases.held)

    def apply_load(self, load: FleetLoad) -> None:
        """Apply the load, pauses and prompt parts that the leader reports."""
        if not self._table.apply_load(load):
            return
        now_ms = self._clock.now_ms()
        for number, pause_ms in load.paused:
            name = self._table.name_of(number)
            if name is not None:
                self._pauses.on_pause_reported(name, pause_ms, now_ms)
        self._refusal_limits.on_reported(load.refusal_limited, now_ms)
        if load.leases is not None:
            leases = self._table.map_to_names(load.leases)
            self._leases.apply(load.refusal_limited, leases)
        elif not self._refusal_limits.list_services(now_ms):
            # Until then a new leader may not have heard of the leases.
            self._leases.apply((), {})
        for group in load.parts:
            for number, part in group.places:
                name = self._table.name_of(number)
                if name is not None:
                    location = PartLocation(name, group.salt, part, group.store)
                    self._record_location(location, now_ms)

    def _complete_stream(self, job: Job, attempt: Attempt) -> None:
        if attempt.splitter.partial_bytes or not attempt.has_first_event:
            self._suspects.on_truncated(job, attempt)
            self._on_incomplete_response(job, attempt, "truncated_stream")
            return
        if job.silent_attempt is attempt:
            self._restore_silent_attempt(job)
        job.runs += 1
        self._suspects.on_complete(job, attempt)
        self._close_attempt(job, attempt)
        job.exchange.end()
        self._finish(job, attempt, "served", attempt.status)

    # Completion

    def on_caller_left(self, exchange: HttpExchange) -> None:
        """Cancel the request of a caller that disconnected."""
        if isinstance(exchange.state, RelayedRequest):
            self._relay.on_caller_left(exchange.state)
            return
        job: Job | None = exchange.state
        if job is None or job.is_done:
            return
        self._end_silent_attempt(job, "caller_left")
        attempt = job.attempt
        if attempt is not None:
            self._port.cancel(attempt.call)
            self._close_attempt(job, attempt)
        self._finish(job, attempt, "caller_left", 0)

    def _on_deadline(self, job: Job) -> None:
        if job.is_done:
            return
        self._end_silent_attempt(job, "deadline")
        attempt = job.attempt
        if attempt is not None:
            self._port.cancel(attempt.call)
            self._end_attempt(job, attempt, "deadline", attempt.call.bytes_written)
            if attempt.call.bytes_written:
                job.runs += 1
        self._give_up(job, "deadline", "the time of the request is over")

    def _give_up(
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
            self._fail(job, Failure(code, verdict, message, status))
            return
        now_ms = self._clock.now_ms()
        after_ms = self._selection.estimate_retry_after_ms(
            job.service.name, self._instances, now_ms
        )
        if after_ms is None:
            after_ms = DEFAULT_RETRY_AFTER_MS
        if retry_after_ms is not None:
            spread = self._random.uniform(1.0, 1.0 + RETRY_JITTER)
            after_ms = int(max(after_ms, retry_after_ms) * spread)
        self._fail(job, _refusal(code, message, 503, after_ms))

    def _fail(self, job: Job, failure: Failure) -> None:
        if job.exchange.response_started:
            job.exchange.abort()
        else:
            self._send_failure(job.exchange, failure, job.request.request_id)
        self._finish(job, None, failure.code, failure.status)

    def _finish(
        self, job: Job, attempt: Attempt | None, code: str, status: int
    ) -> None:
        job.is_done = True
        job.attempt = None
        self._jobs.pop(job.number, None)
        self._timers.cancel(_deadline_timer(job))
        self._permits.cancel(_quota_id(job))
        self._room_waits.cancel(job.number)
        self._suspects.on_finished(job)
        self._continuity.on_finished(job)
        now_ms = self._clock.now_ms()
        if job.workspace is not None:
            if self._awaiting_grant.pop(_quota_id(job), None) is not None:
                self._quota.cancel(_quota_id(job))
            ran = job.may_have_run or attempt is not None
            self._quota.settle(_quota_id(job), job.cost if ran else 0, now_ms)
        self._metrics.on_ended(job.service.name, code, now_ms - job.arrived_ms)
        self._log_end(job, attempt, code, status, now_ms)

    def _log_end(
        self, job: Job, attempt: Attempt | None, code: str, status: int, now_ms: int
    ) -> None:
        fields = {
            "request_id": job.request.request_id,
            "route": job.route.name,
            "routing_version": self._index.configuration.version,
            "workspace": job.workspace.name if job.workspace else None,
            "code": code,
            "status": status,
            "took_ms": now_ms - job.arrived_ms,
            "tries": job.tries,
            "cost": job.cost,
        }
        if job.ledger_age_ms is not None:
            fields["ledger_age_ms"] = job.ledger_age_ms
        if job.permit_requests:
            fields["permit_wait_ms"] = job.permit_wait_ms
            fields["refused_permits"] = job.refused_permits
        if job.limited_targets:
            fields["limited_targets"] = job.limited_targets
        if code == "overloaded":
            fields["forecast_wait_ms"] = job.forecast_wait_ms
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
                "weights": attempt.target.weights.get(job.request.model or "", 0),
                "sent_after_ms": attempt.sent_ms - job.arrived_ms,
            }
        if job.first_event_ms is not None:
            fields["ttft_ms"] = job.first_event_ms - job.arrived_ms
        log_event(REQUEST_ENDED, **fields)

    def _refuse(
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
            routing_version=self._index.configuration.version if self._index else 0,
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


def _refusal(
    code: str, message: str, status: int, retry_after_ms: int | None = None
) -> Failure:
    return Failure(code, Verdict.NOT_RUN, message, status, retry_after_ms)


def _time_limit_ms(request: ForwardRequest, route: Route) -> int:
    """Return the time within which a request must have its final response."""
    if request.deadline_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, request.deadline_ms)


def _cost(request: ForwardRequest, workspace: WorkspaceProfile | None) -> int:
    """Return what a request is charged against the quota of its workspace."""
    if workspace is None:
        return 0
    if not workspace.counts_tokens:
        return 1
    if request.prompt_tokens is None:
        return workspace.default_cost
    return request.tokens


def _target_wait_end_ms(job: Job) -> int:
    """Return the time until which a request may wait for a permit or for room."""
    return job.arrived_ms + int(TARGET_WAIT_FRACTION * job.route.objective_ms)


def _urgency(job: Job) -> int:
    """Return the urgency; the workspace's priority outranks that of the route."""
    rank = job.route.priority
    if job.workspace is not None and job.workspace.priority is not None:
        rank += URGENCY_STEPS * job.workspace.priority
    return min(MAX_URGENCY, max(0, rank))


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


def _is_duplicate(event_id: str, last_id: str | None) -> bool:
    """Whether the caller already received an event."""
    if last_id is None or not (event_id.isdigit() and last_id.isdigit()):
        return False
    return int(event_id) <= int(last_id)


def _quota_id(job: Job) -> str:
    return str(job.number)


def _deadline_timer(job: Job) -> str:
    return f"job:{job.number}:deadline"


def _start_timer(number: int) -> str:
    return f"start:{number}"


def _response_timer(job: Job, attempt: Attempt) -> str:
    return f"job:{job.number}:watch:{attempt.number}"


def _overlap_timer(job: Job) -> str:
    return f"job:{job.number}:overlap"
