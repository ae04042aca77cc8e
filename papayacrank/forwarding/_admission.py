"""Admission of requests: routes, keys, rate limits, readiness and planned stops."""

from collections.abc import Callable
from random import Random

from papayacrank.control import digest_key
from papayacrank.kernel import Clock, Failure
from papayacrank.messages import Route, WorkspaceProfile
from papayacrank.transport import HttpExchange, Timers

from ._attempts import AttemptRunner
from ._base import CallerProtocol, ForwardRequest
from ._fleet_state import FleetState
from ._gate import RequestGate
from ._interruptions import RequestInterruptions
from ._job import Job, deadline_timer, time_limit_ms
from ._metrics import ForwardingMetrics
from ._open_requests import RETRY_ELSEWHERE_MS, OpenRequests, build_refusal
from ._path_port import PathPort
from ._quota import QuotaDecision, QuotaEnforcer
from ._relay import Relay
from ._retry_budget import RetryBudget

# Final responses are sent this long before the deadline of the caller.
RESPONSE_MARGIN_MS = 15


class RequestAdmission:
    """Admits requests of callers, or refuses them.

    Parameters
    ----------
    fleet : FleetState
        Targets and routes.
    requests : OpenRequests
        Requests without a final response.
    gate : RequestGate
        Holds requests before readiness, and closes during a planned stop.
    runner : AttemptRunner
        Sends the admitted requests.
    interruptions : RequestInterruptions
        Ends requests at their deadline.
    protocol : CallerProtocol
        HTTP representation of requests.
    quota : QuotaEnforcer
        Rate limits of the workspaces.
    paths : PathPort
        Whether this instance has a path to the targets.
    relay : Relay
        Passes requests on to other instances while it has none.
    retry_budget : RetryBudget
        Budget of retries, which counts the requests of each service.
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
        requests: OpenRequests,
        gate: RequestGate,
        runner: AttemptRunner,
        interruptions: RequestInterruptions,
        protocol: CallerProtocol,
        quota: QuotaEnforcer,
        paths: PathPort,
        relay: Relay,
        retry_budget: RetryBudget,
        metrics: ForwardingMetrics,
        clock: Clock,
        timers: Timers,
        random_state: Random,
    ):
        self._fleet = fleet
        self._requests = requests
        self._gate = gate
        self._runner = runner
        self._interruptions = interruptions
        self._protocol = protocol
        self._quota = quota
        self._paths = paths
        self._relay = relay
        self._retry_budget = retry_budget
        self._metrics = metrics
        self._clock = clock
        self._timers = timers
        self._random = random_state
        self.on_quota_wait: Callable[[], None] = lambda: None
        gate.on_released = self.on_exchange

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Handle a request of a caller."""
        request = self._protocol.read_request(exchange.head)
        if isinstance(request, Failure):
            self._requests.refuse(exchange, request, "")
            return
        if not self._fleet.is_ready:
            self._gate.hold_until_ready(exchange, request)
            return
        route_or_failure = self._find_route(request)
        if isinstance(route_or_failure, Failure):
            self._requests.refuse(exchange, route_or_failure, request.request_id)
            return
        route, workspace = route_or_failure
        if not self._gate.fits_before_stop(request, route):
            text = "this instance is stopping, and the request may take longer"
            failure = build_refusal("stopping", text, 503, RETRY_ELSEWHERE_MS)
            self._requests.refuse(exchange, failure, request.request_id, closes=True)
            return
        if self._paths.is_isolated and self._relay.accepts(request):
            self._relay.forward(exchange, request)
            return
        self._admit(exchange, request, route, workspace)

    def _find_route(
        self, request: ForwardRequest
    ) -> tuple[Route, WorkspaceProfile | None] | Failure:
        route = self._fleet.index.find_route(request.host, request.path)
        if route is None:
            return build_refusal(
                "unknown_route", "no route has this host and path", 404
            )
        if route.public or not self._fleet.index.requires_keys:
            return route, None
        workspace = None
        if request.key:
            workspace = self._fleet.index.find_workspace(digest_key(request.key))
        if workspace is None:
            return build_refusal(
                "unknown_key", "the key is missing or not in force", 401
            )
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
        wait_ms = time_limit_ms(request, route)
        job = Job(
            self._requests.new_number(),
            exchange,
            request,
            route,
            service,
            workspace,
            exchange.arrived_ms,
            exchange.arrived_ms + wait_ms,
            cost=_cost(request, workspace),
            runs=request.prior_runs,
        )
        if route.is_resumable:
            job.position.last_event_id = request.resume_after
        exchange.state = job
        self._requests.add(job)
        self._retry_budget.on_request(service.name, now_ms)
        at_ms = max(now_ms, job.deadline_at_ms - RESPONSE_MARGIN_MS)
        self._timers.set(
            deadline_timer(job), at_ms, lambda: self._interruptions.on_deadline(job)
        )
        if workspace is None:
            self._runner.dispatch(job)
            return
        decision = self._quota.admit(
            job.quota_id, workspace.name, job.cost, now_ms, route.objective_ms
        )
        if decision is None:
            job.awaits_grant = True
            self.on_quota_wait()
        else:
            self._apply_decision(job, decision)

    def _choose_service(self, route: Route):
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        name = self._random.choices(names, weights)[0]
        return self._fleet.index.find_service(name)

    def poll_quota(self) -> None:
        """Continue requests that waited for a grant of tokens."""
        for decision in self._quota.poll(self._clock.now_ms()):
            job = self._requests.jobs.get(int(decision.request_id))
            if job is not None and job.awaits_grant:
                job.awaits_grant = False
                self._apply_decision(job, decision)

    def _apply_decision(self, job: Job, decision: QuotaDecision) -> None:
        if decision.admitted:
            self._runner.dispatch(job)
            return
        text = "the workspace is over its rate"
        retry_after_ms = decision.retry_after_ms
        job.ledger_age_ms = decision.ledger_age_ms
        job.rate_refusal = decision.reason
        self._metrics.on_over_rate(job.workspace_name, decision.reason)
        self._requests.fail(job, build_refusal("over_rate", text, 429, retry_after_ms))


def _cost(request: ForwardRequest, workspace: WorkspaceProfile | None) -> int:
    """Return what a request is charged against the quota of its workspace."""
    if workspace is None:
        return 0
    if not workspace.counts_tokens:
        return 1
    if request.prompt_tokens is None:
        return workspace.default_cost
    return request.tokens
