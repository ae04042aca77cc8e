"""Model of an entry instance: the shipped decision code in virtual time."""

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
class Record:
    """What happened to a request."""

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
        Position in the header.
    trace : Trace
        Trace that is replayed.
    policy : callable
        Creates the routing policy, or the registered name of one.
    engines : dict of str to EngineModel
        All engines.
    ledger : BudgetLedger
        Control side of the budgets.
    schedule : Schedule
        Virtual time.
    seed : int
        Seed of this run.
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
        self.place = header.entries[position]
        self.trace = trace
        self.policy = policy
        self.engines = engines
        self.ledger = ledger
        self.schedule = schedule
        self.random_state = random.Random(f"{seed}/{self.place.name}")
        self.shares = LocalShares()
        self.admission = create(
            AdmissionPolicy,
            "fair",
            shares=self.shares,
            random_state=random.Random(f"{seed}/{self.place.name}/admission"),
        )
        self.retries = create(RetryPolicy, "budgeted")
        self._latencies = {
            place.name: LOCAL_LATENCY_MS
            if place.failure_domain == self.place.failure_domain
            else header.domain_latency_ms
            for place in header.engines
        }
        self._weights = {w.name: w.weight for w in header.workspaces}
        self._waiting: dict[str, Record] = {}
        self._timers: dict[str, int] = {}
        self._wakeup_ms: int | None = None
        self.restart_view(None)

    @property
    def now_ms(self) -> int:
        """Virtual time in whole milliseconds."""
        return int(self.schedule.now_ms)

    def start(self) -> None:
        """Start heartbeats and ask for first listings."""
        offset = self.random_state.uniform(0, HEARTBEAT_INTERVAL_MS)
        self.schedule.after(0, self._report_shares)
        self.schedule.after(offset, self._beat)
        for events in self.events.values():
            self._carry_out(events.start(self.now_ms))

    def restart_view(self, peer: "EntryModel | None") -> None:
        """Lose all knowledge of caches and load, and copy a peer's."""
        header = self.trace.header
        policy = self.policy if isinstance(self.policy, str) else self.policy()
        self.router = Router(
            policy,
            self.trace.goals(),
            self.place.name,
            self.place.failure_domain,
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
                self._carry_out(events.start(self.now_ms))

    def receive_arrival(self, record: Record) -> None:
        """Queue a request that a caller has sent."""
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
        """Take a load report that an engine sampled earlier."""
        self.router.observe_load(target, report, self.now_ms)
        effects = self.events[target].observe_incarnation(
            report.incarnation, self.now_ms
        )
        self._carry_out(effects)

    def receive_round(self, mean_waiting: float) -> None:
        """Adjust the limit of requests in flight after a round of load reports."""
        self.admission.limiter.observe(mean_waiting, self.admission.in_flight)
        self._poll()

    def receive_batch(self, target: str, sequence: int, payload: bytes) -> None:
        """Take a batch of cache events."""
        events = self.events[target]
        self._carry_out(events.receive(sequence, payload, self.now_ms))

    def _beat(self) -> None:
        self._report_shares()
        self.schedule.after(HEARTBEAT_INTERVAL_MS, self._beat)

    def _report_shares(self) -> None:
        sent_ms = self.now_ms
        reports = self.shares.reports(sent_ms)
        name = self.place.name
        grants = self.ledger.apply_reports(name, 1, reports, sent_ms)
        grants = self.ledger.mark_scarcity(name, 1, grants, sent_ms)
        self.schedule.after(CONTROL_ROUND_TRIP_MS, self._apply_grants, grants, sent_ms)

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
        self._plan_wakeup()

    def _plan_wakeup(self) -> None:
        wakeup_ms = self.admission.next_wakeup_ms(self.now_ms)
        if wakeup_ms is None or wakeup_ms == self._wakeup_ms:
            return
        self._wakeup_ms = wakeup_ms
        self.schedule.at(wakeup_ms, self._wake, wakeup_ms)

    def _wake(self, planned_ms: int) -> None:
        if self._wakeup_ms == planned_ms:
            self._wakeup_ms = None
            self._poll()

    def _send(self, record: Record) -> None:
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
            self._end(record, result.error.code)
            return
        choice = result.ok
        self.router.on_sent(request, choice, self.now_ms)
        job = Job(
            request_id=arrival.request_id,
            blocks=record.blocks,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            kv_source=self.engines.get(choice.kv_source),
            on_prefill=lambda job: self._measure(record, choice.target, job),
            on_first_token=lambda job: self._later(
                choice.target, self._first_token, record
            ),
            on_finished=lambda job: self._later(choice.target, self._finish, record),
            on_lost=lambda job: self.schedule.after(
                BROKEN_CONNECTION_MS, self._lose, record, choice.target, job.was_refused
            ),
        )
        self._later(choice.target, self.engines[choice.target].submit, job)

    def _later(self, target: str, callback: Callable, *arguments) -> None:
        self.schedule.after(self._latencies[target], callback, *arguments)

    def _measure(self, record: Record, target: str, job: Job) -> None:
        best = max(e.match(job.blocks) for e in self.engines.values() if e.is_up)
        record.cached_blocks += job.cached_blocks
        record.imported_blocks += job.imported_blocks
        present = job.cached_blocks + job.imported_blocks
        record.wasted_blocks += max(0, best - present)

    def _first_token(self, record: Record) -> None:
        if record.ttft_ms is None:
            record.ttft_ms = self.schedule.now_ms - record.arrival.at_ms
            prompt_tokens = record.arrival.prompt_tokens
            self.shares.spend(record.arrival.request_id, prompt_tokens, self.now_ms)
        self.router.on_first_token(record.arrival.request_id, self.now_ms)

    def _finish(self, record: Record) -> None:
        self.router.on_finished(record.arrival.request_id, True, self.now_ms)
        self._end(record, None)

    def _lose(self, record: Record, target: str, was_refused: bool) -> None:
        self.router.on_finished(record.arrival.request_id, False, self.now_ms)
        record.excluded |= {target}
        is_safe = was_refused or record.arrival.idempotent
        may_retry = is_safe and record.tries < MAX_TRIES
        if may_retry and self.retries.may_retry(self.now_ms):
            self._send(record)
        else:
            self._end(record, "target_failed")

    def _end(self, record: Record, refusal: str | None) -> None:
        arrival = record.arrival
        record.refusal = refusal
        record.is_done = True
        cached = record.cached_blocks * self.trace.header.block_tokens
        computed = max(0, arrival.prompt_tokens - cached) + arrival.output_tokens
        used = arrival.prompt_tokens + arrival.output_tokens
        self.shares.settle(arrival.request_id, used, self.now_ms)
        self.admission.on_served(arrival.request_id, cached, computed, self.now_ms)
        self._poll()

    def _refuse(self, record: Record, code: str) -> None:
        record.refusal = code
        record.is_done = True

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SetTimer):
                self._timers[effect.name] = effect.at_ms
                self.schedule.at(effect.at_ms, self._fire, effect.name, effect.at_ms)
            elif isinstance(effect, Send):
                self._request(effect.to, effect.message)
            else:
                self._timers.pop(effect.name, None)

    def _fire(self, name: str, at_ms: int) -> None:
        if self._timers.get(name) != at_ms:
            return
        del self._timers[name]
        for events in self.events.values():
            if events.timer_name == name:
                self._carry_out(events.tick(self.now_ms))

    def _request(self, target: str, message) -> None:
        if isinstance(message, ReplayRequest):
            self.schedule.after(REPLAY_ROUND_TRIP_MS, self._replay, target, message)
        elif isinstance(message, ListingRequest):
            self.schedule.after(LISTING_ROUND_TRIP_MS, self._list, target)

    def _replay(self, target: str, message: ReplayRequest) -> None:
        engine = self.engines[target]
        if not engine.is_up:
            return
        events = self.events[target]
        for sequence, payload in list(engine.batches):
            if message.first <= sequence <= message.last:
                self._carry_out(events.receive(sequence, payload, self.now_ms))
        self._carry_out(events.receive_replay_end(self.now_ms))

    def _list(self, target: str) -> None:
        engine = self.engines[target]
        if engine.is_up:
            listing = engine.list_blocks()
            effects = self.events[target].receive_listing(listing, self.now_ms)
            self._carry_out(effects)
