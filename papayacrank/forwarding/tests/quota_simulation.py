"""Simulation of workspaces whose rates are shared by many instances.

The ledger, the shares and the enforcement of rates are the real ones; callers
retry once, at the time that their refusal names.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from papayacrank.admission import BudgetLedger, LocalShares, WorkspaceBudget
from papayacrank.forwarding._quota import QuotaEnforcer
from papayacrank.messages import RoutingConfiguration, WorkspaceProfile

STEP_MS = 5
POLL_MS = 25
REPORT_INTERVAL_MS = 500
NETWORK_DELAY_MS = 15
LEASE_MS = 3_000
DRIFT_MARGIN_MS = 200
RUN_MS = 300
MAX_RETRY_FRACTION = 1 / 3
# Objectives of the requests by size, as those of the deployments.
OBJECTIVES_MS = {400: 160, 900: 415, 9_000: 1_235}


@dataclass
class Workspace:
    """Rate of a workspace and its requests, whose sizes are drawn at random."""

    name: str
    rate: int
    burst: int
    load: float
    sizes: tuple[int, ...] = (400, 900, 9_000)
    tolerance: int = 0

    def arrivals(self, generator, duration_ms):
        """Return time and size of the requests."""
        count = self.load * self.rate * duration_ms / 1_000
        count /= sum(self.sizes) / len(self.sizes)
        return [
            (generator.randrange(duration_ms), generator.choice(self.sizes))
            for _ in range(int(count))
        ]


@dataclass
class Request:
    """Request of a caller and what became of it."""

    workspace: str
    size: int
    arrived_ms: int
    deadline_ms: int
    tries: int = 0
    sent_ms: int = 0
    admitted_ms: int | None = None
    refusals: list = field(default_factory=list)


class QuotaFleet:
    """Instances that enforce rates with shares of one ledger."""

    def __init__(self, seed, workspaces, instances=40):
        self.random = random.Random(seed)
        self.workspaces = workspaces
        self.ledger = BudgetLedger()
        self.ledger.configure(
            [
                WorkspaceBudget(w.name, w.rate, w.burst + w.tolerance)
                for w in workspaces
            ],
            0,
        )
        self.configuration = RoutingConfiguration(
            1,
            workspaces=tuple(
                WorkspaceProfile(
                    w.name,
                    (),
                    rate_per_s=w.rate,
                    burst=w.burst,
                    tolerance=w.tolerance,
                )
                for w in workspaces
            ),
        )
        self.instances = list(range(instances))
        self.boots = dict.fromkeys(self.instances, 0)
        self.cut = set()
        self.frozen_leader = False
        self.shares = {}
        self.quotas = {}
        self.last_applied = {}
        self.requests = []
        self.events = []
        self.waiting = {}
        self.numbers = itertools.count()
        self.now_ms = 0
        for instance in self.instances:
            self.restart(instance)

    def restart(self, instance):
        """Start an instance anew, without the shares of its last start."""
        self.boots[instance] += 1
        self.shares[instance] = LocalShares()
        quota = QuotaEnforcer(
            self.shares[instance], random.Random(self.random.random())
        )
        quota.configure(self.configuration)
        quota.set_instances(len(self.instances))
        self.quotas[instance] = quota
        for number, (_, at) in list(self.waiting.items()):
            if at == instance:
                del self.waiting[number]

    def run(self, duration_ms, faults=()):
        """Run the load; `faults` are pairs of a time and a function of the fleet."""
        for workspace in self.workspaces:
            for at_ms, size in workspace.arrivals(self.random, duration_ms):
                request = Request(workspace.name, size, at_ms, at_ms + 5_000)
                self.requests.append(request)
                self._at(at_ms, lambda request=request: self._send(request))
        for at_ms, fault in faults:
            self._at(at_ms, lambda fault=fault: fault(self))
        offsets = {
            i: self.random.randrange(0, REPORT_INTERVAL_MS, STEP_MS)
            for i in self.instances
        }
        for self.now_ms in range(0, duration_ms + 5_000, STEP_MS):
            while self.events and self.events[0][0] <= self.now_ms:
                heapq.heappop(self.events)[2]()
            for instance, offset in offsets.items():
                if (self.now_ms + offset) % POLL_MS == 0:
                    self._poll(instance)
                is_due = (self.now_ms + offset) % REPORT_INTERVAL_MS == 0
                if is_due or self.shares[instance].needs_report(self.now_ms):
                    self._report(instance)
            self._expire()

    def _at(self, at_ms, action):
        heapq.heappush(self.events, (at_ms, next(self.numbers), action))

    def _send(self, request):
        request.tries += 1
        request.sent_ms = self.now_ms
        instance = self.random.choice(self.instances)
        number = str(next(self.numbers))
        self.waiting[number] = (request, instance)
        decision = self.quotas[instance].admit(
            number,
            request.workspace,
            request.size,
            self.now_ms,
            objective_ms=OBJECTIVES_MS.get(request.size, 0),
        )
        if decision is not None:
            self._decide(decision)
        else:
            self._poll(instance)

    def _poll(self, instance):
        for decision in self.quotas[instance].poll(self.now_ms):
            self._decide(decision)
        if self.shares[instance].needs_report(self.now_ms):
            self._report(instance)

    def _decide(self, decision):
        request, instance = self.waiting.pop(decision.request_id)
        if decision.admitted:
            request.admitted_ms = self.now_ms
            quota, number = self.quotas[instance], decision.request_id
            end_ms = self.now_ms + RUN_MS
            self._at(end_ms, lambda: quota.settle(number, request.size, self.now_ms))
            return
        waited_ms = self.now_ms - request.sent_ms
        request.refusals.append((self.now_ms, waited_ms, decision.retry_after_ms))
        left_ms = request.deadline_ms - self.now_ms
        if request.tries < 2 and left_ms > 0:
            delay_ms = min(decision.retry_after_ms, int(left_ms * MAX_RETRY_FRACTION))
            self._at(self.now_ms + delay_ms, lambda: self._send(request))

    def _report(self, instance):
        reports, sent_ms = self.shares[instance].reports(self.now_ms), self.now_ms
        key = (str(instance), self.boots[instance])

        def apply():
            if self.frozen_leader or instance in self.cut:
                return
            self.last_applied[key] = self.now_ms
            grants = self.ledger.apply_reports(*key, reports, self.now_ms)
            grants = self.ledger.mark_scarcity(*key, grants, self.now_ms)
            self._at(self.now_ms + NETWORK_DELAY_MS, lambda: deliver(grants))

        def deliver(grants):
            if self.boots[instance] == key[1] and instance not in self.cut:
                self.shares[instance].apply_grants(grants, sent_ms, LEASE_MS)
                self._poll(instance)

        self._at(self.now_ms + NETWORK_DELAY_MS, apply)

    def _expire(self):
        if self.frozen_leader:
            return
        for key, applied_ms in list(self.last_applied.items()):
            if self.now_ms - applied_ms > LEASE_MS + DRIFT_MARGIN_MS:
                self.ledger.expire(*key, self.now_ms)
                del self.last_applied[key]

    # Results

    def served(self, workspace, size=None):
        """Return the fraction of the requests that were admitted."""
        chosen = [
            r
            for r in self.requests
            if r.workspace == workspace and size in (None, r.size)
        ]
        return sum(r.admitted_ms is not None for r in chosen) / max(1, len(chosen))

    def used_rate(self, workspace, start_ms, end_ms):
        """Return the tokens admitted in a period, as a fraction of the rate."""
        rate = next(w.rate for w in self.workspaces if w.name == workspace)
        admitted = sum(
            r.size
            for r in self.requests
            if r.workspace == workspace
            and r.admitted_ms is not None
            and start_ms <= r.admitted_ms < end_ms
        )
        return admitted * 1_000 / rate / (end_ms - start_ms)

    def max_excess(self, workspace):
        """Return the most tokens beyond rate and burst admitted in any interval."""
        limits = next(w for w in self.workspaces if w.name == workspace)
        admitted = sorted(
            (r.admitted_ms, r.size)
            for r in self.requests
            if r.workspace == workspace and r.admitted_ms is not None
        )
        excess, total, lowest = float("-inf"), 0, float("inf")
        for at_ms, size in admitted:
            refilled = limits.rate * at_ms / 1_000
            lowest = min(lowest, total - refilled)
            total += size
            excess = max(excess, total - refilled - lowest - limits.burst)
        return excess

    def refusal_waits(self, workspace):
        """Return for how long requests were held before each refusal, sorted."""
        return sorted(
            waited
            for r in self.requests
            if r.workspace == workspace
            for _, waited, _ in r.refusals
        )
