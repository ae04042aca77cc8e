"""Life of forwarded requests: admission, attempts, answers."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from papayacrank.control import digest_key
from papayacrank.kernel import Clock, Failure, Verdict, log_event
from papayacrank.messages import (
    FleetLoad,
    FleetView,
    PartPlace,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceProfile,
    WorkspaceProfile,
)
from papayacrank.transport import ExchangeListener, HttpExchange, Timers

from ._base import CallerProtocol, Dispatch, ForwardRequest
from ._event_stream import EventStreamError
from ._events import (
    ATTEMPT_FAILED,
    REQUEST_ENDED,
    REQUEST_REFUSED,
    ROUTING_APPLIED,
    STORE_CHANGED,
    TARGET_LEAVING,
)
from ._headers import CONNECTION_HEADERS, HeaderList, drop_headers
from ._health import TargetHealth
from ._job import Attempt, Job
from ._metrics import ForwardingMetrics
from ._placement import Choice, PartPlaces, PlacementRequest, salt_for
from ._push_back import PushBacks
from ._quota import QuotaDecision, QuotaDesk
from ._repeats import RepeatBudget
from ._routes import RouteIndex
from ._selection import TargetSelection
from ._target_port import CallFailure, CallListener, TargetCall, TargetPort
from ._targets import TargetTable

# Attempts of any outcome for one request, a bound on loops.
MAX_TRIES = 5
# With less time left, an answer can no longer arrive in time.
MIN_TIME_LEFT_MS = 20
# Final answers leave this long before the caller stops waiting.
ANSWER_MARGIN_MS = 15
RETRY_WHEN_FULL_MS = 400
# Processes that start together serve about this long afterwards: machines that get
# power back start within 0.4 s; links, election and list take 0.4 s.
EXPECTED_START_MS = 1_000
MIN_RETRY_MS = 400
# Requests that arrive before that wait for it, up to a part of their time.
START_WAIT_MS = 350
START_WAIT_PART = 3
MAX_WAITING_FOR_START = 200
# An idempotent request goes to another target if the first is silent for this many
# times the objective.
SILENCE_FACTOR = 2.0
MIN_SILENCE_MS = 250
# A resumable stream goes on elsewhere after this pause; callers give up after 2 s.
STREAM_FIRST_EVENT_FACTOR = 2.5
STREAM_SILENCE_MS = 1_200
URGENCY_STEPS = 3
MAX_URGENCY = 9
SERVER_ERROR = 500
# The port to the caller frames an answer anew.
ANSWER_HEADERS_DROPPED = CONNECTION_HEADERS | {b"content-length"}


@dataclass(frozen=True)
class ForwardingSettings:
    """Settings of the forwarding of requests.

    Parameters
    ----------
    instance, failure_domain : str
        Of this process.
    repeat_ratio, repeat_window_ms, repeat_slack : float
        Bound on repeats, as for `RepeatBudget`.
    max_old_weights_ms : int
        Time after which no request may begin on replaced weights.
    max_pause_ms : int
        Bound on the pause that one answer of a target may ask for. A minute is far
        beyond the overload of a target; a longer pause is taken for a mistake.
    """

    instance: str
    failure_domain: str
    repeat_ratio: float = 0.2
    repeat_window_ms: int = 10_000
    repeat_slack: float = 50.0
    max_old_weights_ms: int = 6_500
    max_pause_ms: int = 60_000


class Forwarder(ExchangeListener, CallListener):
    """Forwards requests of callers to targets.

    Parameters
    ----------
    settings : ForwardingSettings
        Settings.
    protocol : CallerProtocol
        Wire form of requests and answers.
    port : TargetPort
        Connections to targets.
    quota : QuotaDesk
        Rates of the workspaces.
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
        quota: QuotaDesk,
        clock: Clock,
        timers: Timers,
        random_state: random.Random,
    ):
        self._settings = settings
        self._protocol = protocol
        self._port = port
        self._quota = quota
        self._clock = clock
        self._timers = timers
        self._random = random_state
        self._table = TargetTable()
        self._health = TargetHealth()
        self._parts = PartPlaces()
        self._store_starts: dict[str, int] = {}
        self._lost_stores: frozenset[str] = frozenset()
        self._metrics = ForwardingMetrics()
        self._repeats = RepeatBudget(
            settings.repeat_ratio, settings.repeat_window_ms, settings.repeat_slack
        )
        self._push_backs = PushBacks(settings.max_pause_ms)
        self._selection = TargetSelection(
            self._table,
            self._health,
            self._push_backs,
            self._parts,
            settings.failure_domain,
            random_state,
        )
        self._index: RouteIndex | None = None
        self._weights: dict[str, int] = {}
        self._weights_since_ms: dict[str, int] = {}
        self._instances = 1
        self._started_ms = clock.now_ms()
        self._numbers = itertools.count(1)
        self._jobs: dict[int, Job] = {}
        self._waiting: dict[str, Job] = {}
        self._waiting_for_start: dict[int, HttpExchange] = {}
        self.on_quota_wait: Callable[[], None] = lambda: None

    @property
    def table(self) -> TargetTable:
        """Targets and their load."""
        return self._table

    @property
    def metrics(self) -> ForwardingMetrics:
        """Counters and histograms."""
        return self._metrics

    @property
    def open_jobs(self) -> int:
        """Number of requests without a final answer."""
        return len(self._jobs)

    @property
    def is_ready(self) -> bool:
        """Whether requests can be forwarded."""
        return self._index is not None and self._table.count > 0

    # State from the control group

    def apply_routing(self, configuration: RoutingConfiguration) -> None:
        """Use a routing configuration from now on."""
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
        self._resume_after_start()

    def apply_weights(self, versions: dict[str, int]) -> None:
        """Take over the named versions of weights."""
        now_ms = self._clock.now_ms()
        for model, version in versions.items():
            if version > self._weights.get(model, 0):
                self._weights_since_ms[model] = now_ms
        self._weights = dict(versions)

    def apply_fleet(self, view: FleetView) -> bool:
        """Take over a view of the targets; return whether it was newer."""
        gone = self._table.update(view)
        if gone is None:
            return False
        for target in gone:
            self._health.forget(target.name)
            self._push_backs.forget(target.name)
            self._parts.engines.forget_place(target.name)
            self._port.drop_idle(target.address)
        self._take_stores(view.stores)
        self._resume_after_start()
        return True

    def _take_stores(self, starts: dict[str, int]) -> None:
        """Forget what stores had that have restarted or do not answer."""
        for name, start in starts.items():
            known = self._store_starts.get(name, start)
            if start != known:
                self._parts.stores.forget_place(name)
                log_event(STORE_CHANGED, store=name, start=start, known=known)
        self._store_starts |= starts
        lost = (name for name, start in self._store_starts.items() if not start)
        self._lost_stores = frozenset(lost)

    def set_instances(self, count: int) -> None:
        """Set the number of instances that share rates and repeats."""
        self._instances = max(1, count)
        self._quota.set_instances(count)

    # Admission

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Handle a request of a caller."""
        request = self._protocol.read_request(exchange.head)
        if isinstance(request, Failure):
            self._refuse(exchange, request, "")
            return
        if not self.is_ready:
            self._wait_for_start(exchange, request)
            return
        found = self._find_route(request)
        if isinstance(found, Failure):
            self._refuse(exchange, found, request.request_id)
            return
        self._admit(exchange, request, *found)

    def _wait_for_start(self, exchange: HttpExchange, request: ForwardRequest) -> None:
        """Keep a request for the short time that a start takes."""
        now_ms = self._clock.now_ms()
        wait_ms = START_WAIT_MS
        if request.deadline_ms is not None:
            wait_ms = min(wait_ms, request.deadline_ms // START_WAIT_PART)
        due_ms = exchange.arrived_ms + wait_ms
        is_late = now_ms - self._started_ms > EXPECTED_START_MS
        is_full = len(self._waiting_for_start) >= MAX_WAITING_FOR_START
        if is_late or is_full or now_ms >= due_ms:
            self._refuse_start(exchange, request.request_id)
            return
        number = next(self._numbers)
        self._waiting_for_start[number] = exchange

        def refuse() -> None:
            if self._waiting_for_start.pop(number, None) and exchange.is_open:
                self._refuse_start(exchange, request.request_id)

        self._timers.set(_start_timer(number), due_ms, refuse)

    def _refuse_start(self, exchange: HttpExchange, request_id: str) -> None:
        text = "this instance has no configuration yet"
        failure = _refusal("starting", text, 503, self._time_to_start_ms())
        self._refuse(exchange, failure, request_id)

    def _resume_after_start(self) -> None:
        """Go on with the requests that waited until this process was ready."""
        if not self.is_ready or not self._waiting_for_start:
            return
        waiting, self._waiting_for_start = self._waiting_for_start, {}
        for number, exchange in waiting.items():
            self._timers.cancel(_start_timer(number))
            if exchange.is_open:
                self.on_exchange(exchange)

    def _time_to_start_ms(self) -> int:
        elapsed_ms = self._clock.now_ms() - self._started_ms
        return max(MIN_RETRY_MS, EXPECTED_START_MS - elapsed_ms)

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
        wait_ms = route.timeout_ms
        if request.deadline_ms is not None:
            wait_ms = min(wait_ms, request.deadline_ms)
        job = Job(
            next(self._numbers),
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
        self._repeats.on_request(service.name, now_ms)
        at_ms = max(now_ms, job.deadline_at_ms - ANSWER_MARGIN_MS)
        self._timers.set(_deadline_timer(job), at_ms, lambda: self._on_deadline(job))
        if workspace is None:
            self._dispatch(job)
            return
        decision = self._quota.admit(_quota_id(job), workspace.name, job.cost, now_ms)
        if decision is None:
            self._waiting[_quota_id(job)] = job
            self.on_quota_wait()
        else:
            self._take_decision(job, decision)

    def _choose_service(self, route: Route):
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        name = self._random.choices(names, weights)[0]
        return self._index.find_service(name)

    def poll_quota(self) -> None:
        """Go on with requests that waited for a grant."""
        for decision in self._quota.poll(self._clock.now_ms()):
            job = self._waiting.pop(decision.request_id, None)
            if job is not None and not job.is_done:
                self._take_decision(job, decision)

    def _take_decision(self, job: Job, decision: QuotaDecision) -> None:
        if decision.admitted:
            self._dispatch(job)
            return
        text = "the workspace is over its rate"
        retry_after_ms = decision.retry_after_ms
        job.ledger_age_ms = decision.ledger_age_ms
        self._fail(job, _refusal("over_rate", text, 429, retry_after_ms))

    # Attempts

    def _dispatch(self, job: Job) -> None:
        now_ms = self._clock.now_ms()
        left_ms = job.deadline_at_ms - now_ms
        if left_ms < MIN_TIME_LEFT_MS:
            self._give_up(job, "deadline", "no time is left")
            return
        store = self._choose_store(job)
        request = self._describe(job, store, now_ms)
        choice = self._selection.choose(request, job.excluded, now_ms)
        if choice is None:
            self._give_up(job, "no_target", "no target can take the request")
            return
        self._send(job, choice, store, now_ms, left_ms)

    def _choose_store(self, job: Job) -> ServiceProfile | None:
        """Return the store for a prompt; None for a plain service or without one."""
        if job.service.engine is None:
            return None
        return self._index.choose_store(job.request.shared_parts, self._lost_stores)

    def _describe(
        self, job: Job, store: ServiceProfile | None, now_ms: int
    ) -> PlacementRequest:
        request = job.request
        if job.service.engine is None:
            return PlacementRequest(job.service)
        newest = self._weights.get(request.model, 0)
        since_ms = self._weights_since_ms.get(request.model, now_ms)
        return PlacementRequest(
            job.service,
            request.model,
            request.tokens,
            request.prompt_tokens or 0,
            request.shared_parts,
            _salt_base(job),
            newest,
            now_ms - since_ms,
            self._settings.max_old_weights_ms,
            job.route.objective_ms,
            now_ms - job.arrived_ms,
            store.name if store is not None else "",
        )

    def _send(
        self,
        job: Job,
        choice: Choice,
        store: ServiceProfile | None,
        now_ms: int,
        left_ms: int,
    ) -> None:
        target = choice.target
        dispatch, salt = self._build_dispatch(job, choice, store, left_ms)
        call = TargetCall(
            target.address,
            job.request.method,
            job.request.target,
            self._protocol.target_headers(job.request, dispatch),
            job.exchange.body,
            self,
            self._connection_limit(job),
            needs_new_connection=target.name in job.sent_to,
            state=job,
        )
        job.sent_to.add(target.name)
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
        )
        job.attempt = attempt
        job.tries += 1
        self._table.begin(target.name, attempt.prefill_tokens, attempt.memory_tokens)
        if job.route.is_repeatable:
            self._watch(job, attempt)
        self._port.submit(call)

    def _build_dispatch(
        self, job: Job, choice: Choice, store: ServiceProfile | None, left_ms: int
    ) -> tuple[Dispatch, str]:
        target, request = choice.target, job.request
        workspace = job.workspace.name if job.workspace else None
        if job.service.engine is None:
            return Dispatch(target.name, left_ms, workspace), ""
        version = target.weights.get(request.model, 0)
        salt = salt_for(_salt_base(job), version)
        address = store.store.address if store is not None else None
        is_stored = store is None or self._is_stored(request, salt, store.name)
        dispatch = Dispatch(
            target.name,
            left_ms,
            workspace,
            _urgency(job),
            salt,
            version,
            address,
            None if is_stored else address,
            job.last_event_id,
        )
        return dispatch, salt

    def _is_stored(self, request: ForwardRequest, salt: str, store: str) -> bool:
        """Whether a store has all shared parts; saving them again takes its link."""
        now_ms = self._clock.now_ms()
        return all(
            self._parts.stores.has(store, salt, part.name, now_ms)
            for part in request.shared_parts
        )

    def _connection_limit(self, job: Job) -> int:
        limit = job.service.max_connections
        return max(2, limit // (self._instances + 1)) if limit else 64

    def _watch(self, job: Job, attempt: Attempt) -> None:
        """Move a repeatable request on if its target stays silent."""
        objective_ms = job.route.objective_ms
        if not attempt.is_stream:
            wait_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * objective_ms)
        elif attempt.has_first_event:
            wait_ms = STREAM_SILENCE_MS
        else:
            wait_ms = STREAM_FIRST_EVENT_FACTOR * objective_ms
        at_ms = self._clock.now_ms() + int(wait_ms)
        self._timers.set(
            _watch_timer(job), at_ms, lambda: self._on_silent(job, attempt)
        )

    def _on_silent(self, job: Job, attempt: Attempt) -> None:
        if job.is_done or job.attempt is not attempt:
            return
        now_ms = self._clock.now_ms()
        self._note_failed_target(job, attempt, now_ms)
        may_have_run = attempt.call.bytes_written
        if not self._may_run_again(job, runs=job.runs + may_have_run):
            return
        self._port.cancel(attempt.call)
        self._end_attempt(job, attempt, "silent", may_have_run)
        job.runs += may_have_run
        self._dispatch(job)

    def _end_attempt(self, job: Job, attempt: Attempt, code: str, sent: bool) -> None:
        """Count the end of an attempt without a usable answer."""
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
        self._timers.cancel(_watch_timer(job))
        if not attempt.has_first_event:
            self._table.end_prefill(attempt.target.name, attempt.prefill_tokens)
        self._table.end(attempt.target.name, attempt.memory_tokens)

    def _may_run_again(self, job: Job, runs: int) -> bool:
        """Whether a request that may have run `runs` times may be sent again."""
        if not job.route.is_repeatable or job.tries >= MAX_TRIES:
            return False
        if job.has_events and job.last_event_id is None:
            return False
        if runs + 1 > job.route.max_attempts:
            return False
        left_ms = job.deadline_at_ms - self._clock.now_ms()
        return left_ms > 2 * MIN_TIME_LEFT_MS and self._count_repeat(job)

    def _count_repeat(self, job: Job) -> bool:
        now_ms = self._clock.now_ms()
        return self._repeats.may_repeat(job.service.name, self._instances, now_ms)

    def _go_on(self, job: Job) -> None:
        if job.tries < MAX_TRIES:
            self._dispatch(job)
        else:
            self._give_up(job, job.last_failure, "all attempts failed")

    def _note_failed_target(self, job: Job, attempt: Attempt, now_ms: int) -> None:
        peers = [target.name for target in self._table.of_service(job.service.name)]
        self._health.on_failure(attempt.target.name, peers, now_ms)

    # Answers of targets

    def is_answer(self, call: TargetCall, status: int, headers: HeaderList) -> bool:
        """Whether an answer carries the id of the request, or none."""
        facts = self._protocol.read_answer(status, headers)
        request_id = call.state.request.request_id
        return facts.request_id is None or facts.request_id == request_id

    def on_answer(self, call: TargetCall, status: int, headers: HeaderList) -> None:
        """Take the head of an answer."""
        attempt = call.state.attempt
        attempt.status = status
        attempt.headers = headers
        attempt.facts = self._protocol.read_answer(status, headers)
        self._observe_weights(call.state, attempt)
        self._observe_requests_of(attempt)
        if call.state.workspace is not None and 200 <= status < 300:
            job, now_ms = call.state, self._clock.now_ms()
            self._quota.spend(_quota_id(job), job.cost, now_ms)
        if attempt.is_stream and not 200 <= status < 300:
            attempt.is_stream = False
        call.is_collected = not attempt.is_stream

    def _observe_weights(self, job: Job, attempt: Attempt) -> None:
        """Take over the version of the weights that an answer shows."""
        facts = attempt.facts
        model, name = job.request.model, attempt.target.name
        if model is None or facts.target_name not in (None, name):
            return
        version = facts.weights_version
        if version is None and facts.wrong_target and facts.target_name == name:
            # The engine refuses the version that it was believed to run.
            version = self._weights.get(model)
        if version is not None:
            self._table.observe_weights(name, model, version)

    def _observe_requests_of(self, attempt: Attempt) -> None:
        """Take over what a target asks of this process with its answer."""
        facts, now_ms = attempt.facts, self._clock.now_ms()
        name = facts.target_name or attempt.target.name
        if facts.is_leaving and self._table.note_leaving(name):
            log_event(TARGET_LEAVING, target=name, status=attempt.status)
        if facts.pause_ms is not None:
            self._push_backs.note(name, facts.pause_ms, now_ms)
        elif not facts.wrong_target and attempt.status < SERVER_ERROR:
            self._push_backs.on_success(name, now_ms)

    def on_data(self, call: TargetCall, data: bytes) -> None:
        """Take a piece of an answer's body."""
        job: Job = call.state
        attempt = job.attempt
        if not attempt.is_stream:
            attempt.body += data
            return
        try:
            events = attempt.splitter.feed(data)
        except EventStreamError as error:
            self._port.cancel(call)
            self._on_broken(job, attempt, str(error))
            return
        for event in events:
            if job.is_done or job.attempt is not attempt:
                return
            self._pass_event(job, attempt, event)

    def on_ended(self, call: TargetCall) -> None:
        """Take the end of an answer."""
        job: Job = call.state
        attempt = job.attempt
        facts = attempt.facts
        if facts.is_leaving:
            self._port.drop_idle(attempt.target.address)
        if facts.request_id is None and attempt.call.reused:
            # It may answer an earlier request, also if it says that nothing has run.
            self._on_broken(job, attempt, "unidentified_answer")
        elif facts.not_run or facts.wrong_target:
            self._on_not_run(job, attempt)
        elif not facts.is_whole:
            self._on_broken(job, attempt, "spoiled answer")
        elif attempt.is_stream:
            self._end_stream(job, attempt)
        else:
            self._end_plain(job, attempt)

    def on_failed(self, call: TargetCall, failure: CallFailure) -> None:
        """Take a call that ended without an answer."""
        job: Job = call.state
        attempt = job.attempt
        now_ms = self._clock.now_ms()
        name = attempt.target.name
        has_no_connection = failure.code in ("connect_timeout", "connect_failed")
        is_silent = failure.code == "connect_timeout" or failure.message == "ETIMEDOUT"
        if failure.may_have_run and not has_no_connection:
            self._note_failed_target(job, attempt, now_ms)
        if is_silent:
            self._table.note_silent(name)
        if is_silent or has_no_connection:
            self._health.on_unreachable(name, now_ms)
            self._port.drop_idle(attempt.target.address)
        if failure.may_have_run:
            self._on_broken(job, attempt, failure.code)
            return
        self._end_attempt(job, attempt, failure.code, sent=False)
        self._go_on(job)

    def _on_not_run(self, job: Job, attempt: Attempt) -> None:
        """Try another target, since this one has certainly not run the request."""
        facts = attempt.facts
        code = "wrong_target" if facts.wrong_target else f"refused_{attempt.status}"
        self._end_attempt(job, attempt, code, sent=True)
        known = self._table.find(attempt.target.name)
        if facts.wrong_target and known is not None and known != attempt.target:
            # The same engine can take it under the version that it really runs.
            job.excluded.discard(attempt.target.name)
        if job.tries < MAX_TRIES and self._count_repeat(job):
            self._dispatch(job)
            return
        text = "the targets are full"
        self._give_up(job, "targets_full", text)

    def _on_broken(self, job: Job, attempt: Attempt, code: str) -> None:
        """Go on after an attempt that may have run and gave no whole answer."""
        self._end_attempt(job, attempt, code, sent=True)
        job.runs += 1
        if self._may_run_again(job, job.runs):
            self._dispatch(job)
            return
        self._give_up(job, "target_failed", code)

    def _end_plain(self, job: Job, attempt: Attempt) -> None:
        now_ms = self._clock.now_ms()
        job.runs += 1
        failed = attempt.status >= SERVER_ERROR
        name = attempt.target.name
        if failed:
            self._note_failed_target(job, attempt, now_ms)
        else:
            self._health.on_success(name)
        may_improve = (
            failed and not job.has_events and not job.exchange.response_started
        )
        if may_improve and self._may_run_again(job, job.runs):
            self._end_attempt(job, attempt, f"status_{attempt.status}", sent=True)
            self._dispatch(job)
            return
        self._close_attempt(job, attempt)
        if job.exchange.response_started:
            job.exchange.abort()
            self._finish(job, attempt, "target_failed", attempt.status)
            return
        headers = drop_headers(attempt.headers, ANSWER_HEADERS_DROPPED)
        job.exchange.respond(attempt.status, headers, bytes(attempt.body))
        self._finish(job, attempt, "served", attempt.status)

    # Streams

    def _pass_event(self, job: Job, attempt: Attempt, event) -> None:
        if event.has_content:
            if not attempt.has_first_event:
                self._on_first_event(job, attempt)
            if job.route.is_repeatable:
                self._watch(job, attempt)
        if event.event_id is not None:
            if _is_repeated(event.event_id, job.last_event_id):
                return
            job.last_event_id = event.event_id
        if not job.exchange.response_started:
            headers = drop_headers(attempt.headers, ANSWER_HEADERS_DROPPED)
            job.exchange.begin(attempt.status, headers)
        job.has_events = True
        job.exchange.send(event.data)

    def _on_first_event(self, job: Job, attempt: Attempt) -> None:
        now_ms = self._clock.now_ms()
        attempt.has_first_event = True
        self._table.end_prefill(attempt.target.name, attempt.prefill_tokens)
        self._health.on_success(attempt.target.name)
        self._note_parts(job, attempt, now_ms)
        if job.first_event_ms is None:
            job.first_event_ms = now_ms
            ttft_ms = now_ms - job.arrived_ms
            self._metrics.on_first_event(job.service.name, ttft_ms)

    def _note_parts(self, job: Job, attempt: Attempt, now_ms: int) -> None:
        """Remember where the shared parts of a prompt are now, and tell the others."""
        name = attempt.target.name
        for part in job.request.shared_parts:
            place = PartPlace(name, attempt.salt, part.name, attempt.store)
            if self._note_place(place, now_ms):
                self._table.note_part(place)

    def _note_place(self, place: PartPlace, now_ms: int) -> bool:
        salt, part = place.salt, place.part
        is_news = self._parts.engines.note(place.target, salt, part, now_ms)
        if place.store:
            is_news |= self._parts.stores.note(place.store, salt, part, now_ms)
        return is_news

    def take_new_pauses(self) -> list[tuple[str, int]]:
        """Return the pauses that targets asked for since the last call."""
        return self._push_backs.take_news(self._clock.now_ms())

    def take_load(self, load: FleetLoad) -> None:
        """Take over the load, pauses and prompt parts that the leader reports."""
        if not self._table.take_load(load):
            return
        now_ms = self._clock.now_ms()
        for number, pause_ms in load.paused:
            name = self._table.name_of(number)
            if name is not None:
                self._push_backs.follow(name, pause_ms, now_ms)
        for group in load.parts:
            for number, part in group.places:
                name = self._table.name_of(number)
                if name is not None:
                    place = PartPlace(name, group.salt, part, group.store)
                    self._note_place(place, now_ms)

    def _end_stream(self, job: Job, attempt: Attempt) -> None:
        if attempt.splitter.has_partial or not attempt.has_first_event:
            self._on_broken(job, attempt, "truncated_stream")
            return
        job.runs += 1
        self._close_attempt(job, attempt)
        job.exchange.end()
        self._finish(job, attempt, "served", attempt.status)

    # Ends

    def on_caller_left(self, exchange: HttpExchange) -> None:
        """Stop the work for a caller that is gone."""
        job: Job | None = exchange.state
        if job is None or job.is_done:
            return
        attempt = job.attempt
        if attempt is not None:
            self._port.cancel(attempt.call)
            self._close_attempt(job, attempt)
        self._finish(job, attempt, "caller_left", 0)

    def _on_deadline(self, job: Job) -> None:
        if job.is_done:
            return
        attempt = job.attempt
        if attempt is not None:
            self._port.cancel(attempt.call)
            self._end_attempt(job, attempt, "deadline", attempt.call.bytes_written)
            if attempt.call.bytes_written:
                job.runs += 1
        self._give_up(job, "deadline", "the time of the request is over")

    def _give_up(self, job: Job, code: str, message: str) -> None:
        """Give the final answer of a request that cannot be served."""
        if job.may_have_run:
            status = 504 if code == "deadline" else 502
            verdict = Verdict.MAY_HAVE_RUN
            self._fail(job, Failure(code, verdict, message, status))
            return
        now_ms = self._clock.now_ms()
        after_ms = self._selection.return_after_ms(job.service.name, now_ms)
        if after_ms is None:
            after_ms = RETRY_WHEN_FULL_MS
        self._fail(job, _refusal(code, message, 503, after_ms))

    def _fail(self, job: Job, failure: Failure) -> None:
        if job.exchange.response_started:
            job.exchange.abort()
        else:
            self._answer_failure(job.exchange, failure, job.request.request_id)
        self._finish(job, None, failure.code, failure.status)

    def _finish(
        self, job: Job, attempt: Attempt | None, code: str, status: int
    ) -> None:
        job.is_done = True
        job.attempt = None
        self._jobs.pop(job.number, None)
        self._timers.cancel(_deadline_timer(job))
        self._timers.cancel(_watch_timer(job))
        now_ms = self._clock.now_ms()
        if job.workspace is not None:
            if self._waiting.pop(_quota_id(job), None) is not None:
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
        if job.last_failure:
            fields["last_failure"] = job.last_failure
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
        self, exchange: HttpExchange, failure: Failure, request_id: str
    ) -> None:
        self._answer_failure(exchange, failure, request_id)
        self._metrics.on_refused(failure.code)
        log_event(
            REQUEST_REFUSED,
            request_id=request_id,
            code=failure.code,
            status=failure.status,
            routing_version=self._index.configuration.version if self._index else 0,
        )

    def _answer_failure(
        self, exchange: HttpExchange, failure: Failure, request_id: str
    ) -> None:
        answer = self._protocol.build_failure(failure, request_id)
        exchange.respond(answer.status, answer.headers, answer.body)


def _refusal(
    code: str, message: str, status: int, retry_after_ms: int | None = None
) -> Failure:
    return Failure(code, Verdict.NOT_RUN, message, status, retry_after_ms)


def _cost(request: ForwardRequest, workspace: WorkspaceProfile | None) -> int:
    """Return what a request takes from the budget of its workspace."""
    if workspace is None:
        return 0
    if not workspace.counts_tokens:
        return 1
    if request.prompt_tokens is None:
        return workspace.default_cost
    return request.tokens


def _salt_base(job: Job) -> str:
    """Return the part of the cache salt that separates isolated workspaces."""
    if job.workspace is not None and job.workspace.isolated:
        return f"{job.workspace.name}/"
    return ""


def _urgency(job: Job) -> int:
    """Rank a request: the workspace's priority precedes that of the route."""
    rank = job.route.priority
    if job.workspace is not None and job.workspace.priority is not None:
        rank += URGENCY_STEPS * job.workspace.priority
    return min(MAX_URGENCY, max(0, rank))


def _is_repeated(event_id: str, last_id: str | None) -> bool:
    """Whether the caller already has an event."""
    if last_id is None or not (event_id.isdigit() and last_id.isdigit()):
        return False
    return int(event_id) <= int(last_id)


def _quota_id(job: Job) -> str:
    return str(job.number)


def _deadline_timer(job: Job) -> str:
    return f"job:{job.number}:deadline"


def _start_timer(number: int) -> str:
    return f"start:{number}"


def _watch_timer(job: Job) -> str:
    return f"job:{job.number}:watch"
