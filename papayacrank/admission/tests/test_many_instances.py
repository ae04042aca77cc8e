"""A budget that many instances share, of which each sees few requests.

Plays the load of the large deployments: requests of a seventh of the burst that come in
clumps, below the rate of their workspace on average.
"""

import random

import pytest

from papayacrank.admission import BudgetLedger, LocalShares, WorkspaceBudget

RATE = 62_000
COST = 9_000
INSTANCES = 81
REPORT_MS = 500
QUEUE_MS = 250
TRAVEL_MS = 5
RUN_MS = 300
SECONDS = 60
WINDOW_MS = 8_000


class ManyInstances:
    """Instances that report to one ledger and admit as `QuotaEnforcer` does."""

    def __init__(self, seed, tolerance):
        self.random = random.Random(seed)
        self.ledger = BudgetLedger()
        self.ledger.configure([WorkspaceBudget("w", RATE, RATE + tolerance)], 0)
        self.shares = [LocalShares() for _ in range(INSTANCES)]
        self.offsets = [
            self.random.randrange(0, REPORT_MS, TRAVEL_MS) for _ in self.shares
        ]
        self.queued = [[] for _ in self.shares]
        self.answers = []
        self.running = []
        self.admitted = []
        self.refused = 0
        self.numbers = 0

    def play(self, arrivals):
        """Play arrivals, given as times in milliseconds."""
        arrivals = sorted(arrivals)
        for now_ms in range(0, SECONDS * 1_000, TRAVEL_MS):
            while arrivals and arrivals[0] <= now_ms:
                arrivals.pop(0)
                self._arrive(self.random.randrange(INSTANCES), now_ms)
            self._settle(now_ms)
            for number, share in enumerate(self.shares):
                is_due = (now_ms + self.offsets[number]) % REPORT_MS == 0
                if is_due or share.needs_report(now_ms):
                    reports = share.reports(now_ms)
                    grants = self.ledger.apply_reports(str(number), 1, reports, now_ms)
                    grants = self.ledger.mark_scarcity(str(number), 1, grants, now_ms)
                    self.answers.append((now_ms + TRAVEL_MS, number, grants, now_ms))

    def _arrive(self, number, now_ms):
        self.numbers += 1
        self.queued[number].append((str(self.numbers), now_ms + QUEUE_MS))
        self._serve(number, now_ms)

    def _serve(self, number, now_ms):
        share = self.shares[number]
        queue = self.queued[number]
        while queue and share.try_reserve(queue[0][0], "w", COST, now_ms):
            name, _ = queue.pop(0)
            self.admitted.append(now_ms)
            self.running.append((now_ms + RUN_MS, number, name))
        while queue and queue[0][1] <= now_ms:
            queue.pop(0)
            self.refused += 1
        share.set_queued("w", COST * len(queue))

    def _settle(self, now_ms):
        while self.answers and self.answers[0][0] <= now_ms:
            _, number, grants, sent_ms = self.answers.pop(0)
            self.shares[number].apply_grants(grants, sent_ms, 4_000)
        while self.running and self.running[0][0] <= now_ms:
            _, number, name = self.running.pop(0)
            self.shares[number].settle(name, COST, now_ms)
        for number, queue in enumerate(self.queued):
            if queue:
                self._serve(number, now_ms)

    def most_in_a_window(self):
        """Return the most tokens admitted in any window."""
        times = self.admitted
        return COST * max(
            sum(first <= t < first + WINDOW_MS for t in times) for first in times
        )


def clumped_arrivals(seed, load):
    """Return times of requests that come in clumps of one to four."""
    source = random.Random(seed)
    clumps = int(load * RATE * SECONDS / COST / 2.5)
    times = []
    for _ in range(clumps):
        at_ms = source.uniform(0, SECONDS * 1_000)
        size = source.randint(1, 4)
        times += [int(at_ms + source.uniform(0, 200)) for _ in range(size)]
    return times


def allowed(tolerance_used):
    """Return what may run in a window, and what of it the budget may add."""
    overage = 0.1 * (RATE * WINDOW_MS // 1_000 + RATE) + 72_000
    return RATE * WINDOW_MS // 1_000 + RATE + overage, tolerance_used * overage


def refused_by_one_bucket(arrivals):
    """Return the refusals of one instance that sees all requests, without tolerance."""
    level, last_ms, refused = float(RATE), 0, 0
    for now_ms in sorted(arrivals):
        level = min(RATE, level + (now_ms - last_ms) * RATE / 1_000)
        last_ms = now_ms
        if level >= COST:
            level -= COST
        else:
            refused += 1
    return refused


@pytest.mark.parametrize("load", [0.5, 0.6, 0.8])
@pytest.mark.parametrize("seed", range(3))
def test_no_more_is_refused_than_by_one_instance(seed, load):
    """Guards against refusals because shares lie unused at other instances."""
    _, tolerance = allowed(0.5)
    arrivals = clumped_arrivals(seed, load)
    fleet = ManyInstances(seed, int(tolerance))
    fleet.play(arrivals)
    assert fleet.refused <= refused_by_one_bucket(arrivals)


@pytest.mark.parametrize("seed", range(4))
def test_workspace_far_over_its_rate_stays_within_the_tolerance(seed):
    """Guards against a rate that many instances exceed together."""
    limit, tolerance = allowed(0.5)
    fleet = ManyInstances(seed, int(tolerance))
    fleet.play(clumped_arrivals(seed, 4.0))
    assert fleet.most_in_a_window() <= limit
    assert fleet.refused > 0
