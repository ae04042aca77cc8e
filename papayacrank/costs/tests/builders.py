"""Simulated engines and entry processes that place requests with the decision code."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

import msgspec

from papayacrank.control._costs import CostLedger
from papayacrank.costs import CostModel, Work, queued_events
from papayacrank.forwarding._known_parts import KnownPartLocations
from papayacrank.forwarding._placement import ExpectedLossPlacement, PlacementRequest
from papayacrank.forwarding._targets import TargetTable
from papayacrank.messages import (
    EngineProfile,
    FleetLoad,
    FleetTarget,
    FleetView,
    ServiceProfile,
    TargetLoad,
)
from papayacrank.permits import PermitClient

SLOTS = 12
SERVICE = ServiceProfile("llm", engine=EngineProfile(SLOTS, 92_250, models=("m",)))
TICK_MS = 100
CHUNK_TOKENS = 2_048
# Of an engine of average speed. They differ from the priors of the cost model.
STEP_MS = 6.0
STEP_GROWTH_MS = 0.3
PREFILL_TOKENS_PER_MS = 30.0


def build_target(number, **fields):
    """Return an engine of the service."""
    target = FleetTarget(f"e{number}", f"a{number}:1", "llm", "z", number=number)
    return msgspec.structs.replace(target, slots=SLOTS, weights={"m": 1}, **fields)


@dataclass(eq=False)
class Run:
    """One request of the simulation."""

    prompt_tokens: int
    outputs: int
    urgency: int
    objective_ms: float
    arrived_ms: float = 0.0
    target: str = ""
    expected_ms: float = 0.0
    first_ms: float = 0.0
    prefill_left: int = 0
    events: int = 0
    entry: object = None
    work: Work = None

    @property
    def ttft_ms(self):
        """Time from arrival to the first event."""
        return self.first_ms - self.arrived_ms


@dataclass
class Engine:
    """Engine that prefills in chunks beside running requests, the most urgent first."""

    factor: float
    waiting: list = field(default_factory=list)
    running: list = field(default_factory=list)
    is_stepping: bool = False

    def begin_step(self):
        """Admit requests; return the time of the next step, None if there is none."""
        self.waiting.sort(key=lambda run: (run.urgency, run.arrived_ms))
        while self.waiting and len(self.running) < SLOTS:
            self.running.append(self.waiting.pop(0))
        if not self.running:
            return None
        left = CHUNK_TOKENS
        for run in sorted(self.running, key=lambda run: run.urgency):
            tokens = min(left, run.prefill_left)
            run.prefill_left -= tokens
            left -= tokens
        step_ms = STEP_MS + STEP_GROWTH_MS * len(self.running)
        step_ms += (CHUNK_TOKENS - left) / PREFILL_TOKENS_PER_MS
        return self.factor * step_ms


class Entry:
    """Placement of one entry process."""

    def __init__(self, name, seed):
        self.name = name
        self.table = TargetTable()
        self.costs = CostModel()
        self.placement = ExpectedLossPlacement(
            self.table,
            KnownPartLocations(),
            PermitClient(name),
            "z",
            random.Random(seed),
            self.costs,
        )


class Fleet:
    """Entry processes, engines of given factors, and a leader that merges reports.

    Without learning, placement decides by the priors, as it did before costs were
    learned.
    """

    def __init__(self, factors, seed=1, learns=True, entries=6):
        self.random = random.Random(seed)
        self.learns = learns
        self.engines = {f"e{n}": Engine(f) for n, f in enumerate(factors, 1)}
        self.targets = [build_target(n) for n in range(1, len(factors) + 1)]
        self.entries = [Entry(f"i{n}", seed * 100 + n) for n in range(entries)]
        self.ledger = CostLedger()
        self.term = 0
        self.now_ms = 0.0
        self.done = []
        self.has_leader = True
        self._sequence = itertools.count(1)
        self._events = []
        self._reports = {}
        self.elect()
        self._schedule(TICK_MS, self._tick)

    def elect(self):
        """Begin a term whose leader knows nothing."""
        self.term += 1
        self.ledger.reset()
        self._reports.clear()
        self.update_view()

    def update_view(self):
        """Push the current targets to the entry processes."""
        view = FleetView(self.term, next(self._sequence), self.targets)
        self.ledger.retain(target.name for target in self.targets)
        for entry in self.entries:
            entry.table.update(view)
            entry.costs.retain(self.targets)

    def _schedule(self, delay_ms, action):
        item = (self.now_ms + delay_ms, next(self._sequence), action)
        heapq.heappush(self._events, item)

    def run(self, duration_ms, per_s, prompts=((2_000, 20, 0),), objective_ms=400):
        """Play random arrivals and return the requests that got a first event."""
        self.done = []
        end_ms = self.now_ms + duration_ms

        def arrive():
            tokens, outputs, urgency = self.random.choice(prompts)
            tokens = int(tokens * self.random.uniform(0.5, 1.5))
            outputs = self.random.randint(1, 2 * outputs)
            self._place(Run(tokens, outputs, urgency, objective_ms))
            if self.now_ms < end_ms:
                self._schedule(self.random.expovariate(per_s / 1_000), arrive)

        arrive()
        while self._events and self._events[0][0] < end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        return self.done

    def _place(self, run):
        entry = self.random.choice(self.entries)
        limit = 2 * run.outputs
        total = run.prompt_tokens + limit
        request = PlacementRequest(
            SERVICE,
            "m",
            total,
            run.prompt_tokens,
            newest_version=1,
            objective_ms=run.objective_ms,
            route="r",
            urgency=run.urgency,
        )
        choice = entry.placement.choose(request, entry.table.targets, int(self.now_ms))
        load = choice.load
        run.entry, run.target = entry, choice.target.name
        run.expected_ms, run.arrived_ms = choice.expected_ms, self.now_ms
        run.prefill_left = run.prompt_tokens
        run.work = Work(
            "llm",
            "r",
            True,
            run.urgency,
            choice.missing_tokens,
            load.prefill_tokens,
            0,
            load.running,
            SLOTS,
            queued_events(load.running, load.decode_tokens, SLOTS),
            entry.costs.outputs.expect("r", limit, None),
        )
        entry.table.begin(run.target, run.prompt_tokens, total, run.outputs)
        engine = self.engines[run.target]
        engine.waiting.append(run)
        if not engine.is_stepping:
            self._step(engine)

    def _step(self, engine):
        step_ms = engine.begin_step()
        engine.is_stepping = step_ms is not None
        if engine.is_stepping:
            self._schedule(step_ms, lambda: self._end_step(engine))

    def _end_step(self, engine):
        for run in [r for r in engine.running if not r.prefill_left]:
            run.events += 1
            run.entry.table.end_decode(run.target, 1)
            if run.events == 1:
                self._on_first_event(run)
            if run.events == run.outputs:
                self._on_end(engine, run)
        self._step(engine)

    def _on_first_event(self, run):
        run.first_ms = self.now_ms
        self.done.append(run)
        run.entry.table.end_prefill(run.target, run.prompt_tokens)
        if self.learns:
            run.entry.costs.observe(run.target, run.work, run.ttft_ms)

    def _on_end(self, engine, run):
        engine.running.remove(run)
        run.entry.table.end(run.target, run.prompt_tokens + 2 * run.outputs)
        if self.learns and run.events > 1:
            rest_ms = self.now_ms - run.first_ms
            run.entry.costs.observe_events(
                run.target, run.work, run.events - 1, rest_ms
            )

    def _tick(self):
        self._schedule(TICK_MS, self._tick)
        now_ms = int(self.now_ms)
        if not self.has_leader:
            for entry in self.entries:
                entry.table.age_totals(now_ms)
            return
        for entry in self.entries:
            costs = entry.costs.take_report(self.term, now_ms)
            report = entry.table.report(entry.name, costs=costs)
            if report is not None:
                self._reports[entry.name] = report
                self.ledger.observe(report, now_ms)
        totals = self._sum_loads()
        self.ledger.begin_round([entry.name for entry in self.entries], now_ms)
        numbers = {target.name: target.number for target in self.targets}
        for entry in self.entries:
            costs, services = self.ledger.updates_for(entry.name)
            report = self._reports.get(entry.name)
            load = FleetLoad(
                self.term,
                report.sequence if report is not None else 0,
                {numbers[n]: load for n, load in totals.items() if n in numbers},
                costs={numbers[n]: c for n, c in costs.items() if n in numbers},
                service_costs=services,
            )
            # Messages are encoded to include what their format loses.
            load = msgspec.json.decode(msgspec.json.encode(load), type=FleetLoad)
            if entry.table.apply_load(load, now_ms):
                by_name = entry.table.map_to_names(load.costs)
                entry.costs.apply(by_name, load.service_costs)

    def _sum_loads(self):
        totals = {}
        for report in self._reports.values():
            for name, load in report.loads.items():
                pairs = zip(
                    msgspec.structs.astuple(totals.get(name, TargetLoad())),
                    msgspec.structs.astuple(load),
                    strict=True,
                )
                totals[name] = TargetLoad(*(a + b for a, b in pairs))
        return totals


def median(values):
    """Return the median."""
    return quantile(values, 0.5)


def quantile(values, fraction):
    """Return a quantile by rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def late_share(runs):
    """Return the share of requests whose first event missed the objective."""
    return sum(run.ttft_ms > run.objective_ms for run in runs) / len(runs)


def errors(runs):
    """Return the relative errors of the expected times to the first event."""
    return [abs(run.expected_ms / run.ttft_ms - 1) for run in runs]
