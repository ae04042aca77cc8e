"""Model of an entry instance that runs the production decision code."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from papayacrank.admission import (
    AdmissionPolicy,
    AdmissionRequest,
    Admitted,
    BudgetLedger,
    LocalShares,
)
from papayacrank.cache import EngineEvents, ListingRequest, ReplayRequest
from papayacrank.kernel import Effect, Send, SetTimer, create
from papayacrank.routing import RetryPolicy, Router, RoutingRequest, TargetView

from ._engine import EngineModel, Job
from ._schedule import Schedule
from ._trace import Arrival, Trace

HEARTBEAT_INTERVAL_MS = 500
LEASE_MS = 3_000
CONTROL_ROUND_TRIP_MS = 4
REPLAY_ROUND_TRIP_MS = 5
LISTING_ROUND_TRIP_MS = 40
BROKEN_CONNECTION_MS = 5
WARMUP_MS = 50
LOCAL_LATENCY_MS = 0.2
MAX_TRIES = 3
INDEX_BLOCKS = 65_536


@dataclass(slots=True)
class RequestRecord:
    """Outcome of a request."""

    arrival: Arrival
    blocks: tuple[int, ...]
    ttft_ms: float | None = None
    refusal: str | None = None
    is_done: bool = False
    tries: int = 0
    excluded: frozenset[str] = frozenset()
    cached_blocks: int = 0
    imported_blocks: int = 0
    wasted_blocks: int = 0


class EntryModel:
    """One entry instance with its own view of engines and budgets.

    Parameters
    ----------
    position : int
        Position of the instance in the header.
    trace : Trace
        Trace to replay.
    policy : str or callable
        Registered name of a routing policy, or a function that creates one.
    engines : dict of str to EngineModel
        All engines.
    ledger : BudgetLedger
        Ledger of the control group's budgets.
    schedule : Schedule
        Virtual time.
    seed : int
        Seed of the random choices.
    """

    def __init__(
        self,
        position: int,
        trace: Trace,
        policy: str | Callable,
        engines: dict[str, EngineModel],
        ledger: BudgetLedger,
        schedule: Schedule,
        seed: int,
    ):
        header = trace.header
        self.location = header.entries[position]
        self.trace = trace
        self.policy = policy
        self.engines = engines
        self.ledger = ledger
        self.schedule = schedule
        self.random_state = random.Random(f"{seed}/{self.location.name}")
        self.shares = LocalShares()
        self.admission = create(
            AdmissionPolicy,
            "fair",
            shares=self.shares,
            random_state=random.Random(f"{seed}/{self.location.name}/admission"),
        )
        self.retries = create(RetryPolicy, "budgeted")
        self._latencies = {
            location.name: LOCAL_LATENCY_MS
            if location.failure_domain == self.location.failure_domain
            else header.domain_latency_ms
            for location in header.engines
        }
        self._weights = {w.name: w.weight for w in header.workspaces}
        self._waiting: dict[str, RequestRecord] = {}
        self._timers: dict[str, int] = {}
        self._wakeup_ms: int | None = None
        self.reset_routing_state(None)

    @property
    def now_ms(self) -> int:
        """Virtual time in whole milliseconds."""
        return int(self.schedule.now_ms)

    def start(self) -> None:
        """Start heartbeats and request the first listings."""
        offset = self.random_state.uniform(0, HEARTBEAT_INTERVAL_MS)
        self.schedule.call_later(0, self._report_shares)
        self.schedule.call_later(offset, self._send_heartbeat)
        for events in self.events.values():
            self._apply_effects(events.start(self.now_ms))

    def reset_routing_state(self, peer: "EntryModel | None") -> None:
        """Discard the view of caches and load; copy the index of `peer` if given."""
        header = self.trace.header
        policy = self.policy if isinstance(self.policy, str) else self.policy()
        self.router = Router(
            policy,
            self.trace.goals(),
            self.location.name,
            self.location.failure_domain,
            self.random_state,
            max_blocks=INDEX_BLOCKS,
        )
        self.router.set_instances(len(header.entries))
        views = [
            TargetView(p.name, "127.0.0.1:1", p.failure_domain, weights_version="1")
            for p in header.engines
        ]
        self.router.update_targets(header.model, views, self.now_ms)
        self.events = {
            name: EngineEvents(name, self.router.index) for name in self.engines
        }
        if peer is not None:
            for page in peer.router.export_pages():
                self.router.import_page(page, self.now_ms)
            for events in self.events.values():
                self._apply_effects(events.start(self.now_ms))

    def receive_arrival(self, record: RequestRecord) -> None:
        """Submit a caller's request to admission."""
        arrival = record.arrival
        header = self.trace.header
        matched = max(self.router.index.match(record.blocks).values(), default=0)
        cached = matched * header.block_tokens
        request = AdmissionRequest(
            request_id=arrival.request_id,
            workspace=arrival.workspace,
            service=header.model,
            tokens=arrival.prompt_tokens + arrival.output_tokens,
            expected_cost=arrival.prompt_tokens - 0.9 * cached,
            deadline_ms=arrival.at_ms + header.deadline_ms,
            weight=self._weights[arrival.workspace],
        )
        self.retries.on_request(self.now_ms)
        result = self.admission.submit(request, self.now_ms)
        if result.is_error():
            self._refuse(record, result.error.code)
            return
        self._waiting[arrival.request_id] = record
        self._poll()

    def receive_load(self, target: str, report) -> None:
        """Apply a load report; it describes an earlier state of the engine."""
        self.router.observe_load(target, report, self.now_ms)
        effects = self.events[target].observe_incarnation(
            report.incarnation, self.now_ms
        )
        self._apply_effects(effects)

    def receive_load_round(self, mean_waiting: float) -> None:
        """Adjust the limit of requests in flight after all engines were polled."""
        self.admission.limiter.observe(mean_waiting, self.admission.in_flight)
        self._poll()

    def receive_batch(self, target: str, sequence: int, payload: bytes) -> None:
        """Apply a batch of cache events."""
        events = self.events[target]
        self._apply_effects(events.receive(sequence, payload, self.now_ms))

    def _send_heartbeat(self) -> None:
        self._report_shares()
        self.schedule.call_later(HEARTBEAT_INTERVAL_MS, self._send_heartbeat)

    def _report_shares(self) -> None:
        sent_ms = self.now_ms
        reports = self.shares.reports(sent_ms)
        name = self.location.name
        grants = self.ledger.apply_reports(name, 1, reports, sent_ms)
        grants = self.ledger.mark_scarcity(name, 1, grants, sent_ms)
        self.schedule.call_later(
            CONTROL_ROUND_TRIP_MS, self._apply_grants, grants, sent_ms
        )

    def _apply_grants(self, grants: list, sent_ms: int) -> None:
        self.shares.apply_grants(grants, sent_ms, LEASE_MS)
        self._poll()

    def _poll(self) -> None:
        for decision in self.admission.poll(self.now_ms):
            record = self._waiting.pop(decision.request.request_id)
            if isinstance(decision, Admitted):
                self._send(record)
            else:
                self._refuse(record, decision.failure.code)
        if self.shares.needs_report(self.now_ms):
            self._report_shares()
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        wakeup_ms = self.admission.next_wakeup_ms(self.now_ms)
        if wakeup_ms is None or wakeup_ms == self._wakeup_ms:
            return
        self._wakeup_ms = wakeup_ms
        self.schedule.call_at(wakeup_ms, self._wake, wakeup_ms)

    def _wake(self, planned_ms: int) -> None:
        if self._wakeup_ms == planned_ms:
            self._wakeup_ms = None
            self._poll()

    def _send(self, record: RequestRecord) -> None:
        arrival = record.arrival
        record.tries += 1
        request = RoutingRequest(
            request_id=arrival.request_id,
            service=self.trace.header.model,
            workspace=arrival.workspace,
            blocks=record.blocks,
            prompt_tokens=arrival.prompt_tokens,
            max_output_tokens=arrival.output_tokens,
            deadline_ms=arrival.at_ms + self.trace.header.deadline_ms,
            excluded=record.excluded,
        )
        result = self.router.choose(request, self.now_ms)
        if result.is_error():
            self._complete(record, result.error.code)
            return
        choice = result.ok
        self.router.on_sent(request, choice, self.now_ms)
        job = Job(
            request_id=arrival.request_id,
            blocks=record.blocks,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            kv_source=self.engines.get(choice.kv_source),
            on_prefill=lambda job: self._record_cache_use(record, choice.target, job),
            on_first_token=lambda job: self._call_after_latency(
                choice.target, self._on_first_token, record
            ),
            on_finished=lambda job: self._call_after_latency(
                choice.target, self._on_finished, record
            ),
            on_lost=lambda job: self.schedule.call_later(
                BROKEN_CONNECTION_MS,
                self._on_lost,
                record,
                choice.target,
                job.was_refused,
            ),
        )
        self._call_after_latency(choice.target, self.engines[choice.target].submit, job)

    def _call_after_latency(self, target: str, callback: Callable, *arguments) -> None:
        self.schedule.call_later(self._latencies[target], callback, *arguments)

    def _record_cache_use(self, record: RequestRecord, target: str, job: Job) -> None:
        best = max(e.match(job.blocks) for e in self.engines.values() if e.is_up)
        record.cached_blocks += job.cached_blocks
        record.imported_blocks += job.imported_blocks
        present = job.cached_blocks + job.imported_blocks
        record.wasted_blocks += max(0, best - present)

    def _on_first_token(self, record: RequestRecord) -> None:
        if record.ttft_ms is None:
            record.ttft_ms = self.schedule.now_ms - record.arrival.at_ms
            prompt_tokens = record.arrival.prompt_tokens
            self.shares.spend(record.arrival.request_id, prompt_tokens, self.now_ms)
        self.router.on_first_token(record.arrival.request_id, self.now_ms)

    def _on_finished(self, record: RequestRecord) -> None:
        self.router.on_finished(record.arrival.request_id, True, self.now_ms)
        self._complete(record, None)

    def _on_lost(self, record: RequestRecord, target: str, was_refused: bool) -> None:
        self.router.on_finished(record.arrival.request_id, False, self.now_ms)
        record.excluded |= {target}
        is_safe = was_refused or record.arrival.idempotent
        may_retry = is_safe and record.tries < MAX_TRIES
        if may_retry and self.retries.may_retry(self.now_ms):
            self._send(record)
        else:
            self._complete(record, "target_failed")

    def _complete(self, record: RequestRecord, refusal: str | None) -> None:
        arrival = record.arrival
        record.refusal = refusal
        record.is_done = True
        cached = record.cached_blocks * self.trace.header.block_tokens
        computed = max(0, arrival.prompt_tokens - cached) + arrival.output_tokens
        used = arrival.prompt_tokens + arrival.output_tokens
        self.shares.settle(arrival.request_id, used, self.now_ms)
        self.admission.on_served(arrival.request_id, cached, computed, self.now_ms)
        self._poll()

    def _refuse(self, record: RequestRecord, code: str) -> None:
        record.refusal = code
        record.is_done = True

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SetTimer):
                self._timers[effect.name] = effect.at_ms
                self.schedule.call_at(
                    effect.at_ms, self._on_timer, effect.name, effect.at_ms
                )
            elif isinstance(effect, Send):
                self._request_events(effect.to, effect.message)
            else:
                self._timers.pop(effect.name, None)

    def _on_timer(self, name: str, at_ms: int) -> None:
        if self._timers.get(name) != at_ms:
            return
        del self._timers[name]
        for events in self.events.values():
            if events.timer_name == name:
                self._apply_effects(events.tick(self.now_ms))

    def _request_events(self, target: str, message) -> None:
        if isinstance(message, ReplayRequest):
            self.schedule.call_later(
                REPLAY_ROUND_TRIP_MS, self._replay_batches, target, message
            )
        elif isinstance(message, ListingRequest):
            self.schedule.call_later(
                LISTING_ROUND_TRIP_MS, self._receive_listing, target
            )

    def _replay_batches(self, target: str, message: ReplayRequest) -> None:
        engine = self.engines[target]
        if not engine.is_up:
            return
        events = self.events[target]
        for sequence, payload in list(engine.batches):
            if message.first <= sequence <= message.last:
                self._apply_effects(events.receive(sequence, payload, self.now_ms))
        self._apply_effects(events.receive_replay_end(self.now_ms))

    def _receive_listing(self, target: str) -> None:
        engine = self.engines[target]
        if engine.is_up:
            listing = engine.list_blocks()
            effects = self.events[target].receive_listing(listing, self.now_ms)
            self._apply_effects(effects)
