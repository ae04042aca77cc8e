"""Tests of a budget shared by many instances, each of which receives few requests.

The load is that of large deployments: requests of a seventh of the burst arrive in
groups of one to four, below the rate of their workspace on average.
"""

import random

import pytest

from papayacrank.admission import BudgetLedger, LocalShares, WorkspaceBudget

RATE_TOKENS_PER_S = 62_000
REQUEST_TOKENS = 9_000
INSTANCES = 81
REPORT_INTERVAL_MS = 500
MAX_QUEUE_MS = 250
NETWORK_DELAY_MS = 5
SERVICE_TIME_MS = 300
DURATION_S = 60
WINDOW_MS = 8_000


class InstanceFleet:
    """Instances that report to one ledger and admit as `QuotaEnforcer` does."""

    def __init__(self, seed, tolerance):
        self.random = random.Random(seed)
        self.ledger = BudgetLedger()
        self.ledger.configure(
            [WorkspaceBudget("w", RATE_TOKENS_PER_S, RATE_TOKENS_PER_S + tolerance)], 0
        )
        self.shares = [LocalShares() for _ in range(INSTANCES)]
        self.offsets = [
            self.random.randrange(0, REPORT_INTERVAL_MS, NETWORK_DELAY_MS)
            for _ in self.shares
        ]
        self.queued = [[] for _ in self.shares]
        self.answers = []
        self.running = []
        self.admitted = []
        self.refused = 0
        self.request_count = 0

    def run(self, arrivals):
        """Simulate the fleet with arrivals at the given times in milliseconds."""
        arrivals = sorted(arrivals)
        for now_ms in range(0, DURATION_S * 1_000, NETWORK_DELAY_MS):
            while arrivals and arrivals[0] <= now_ms:
                arrivals.pop(0)
                self._enqueue(self.random.randrange(INSTANCES), now_ms)
            self._process_due_events(now_ms)
            for number, share in enumerate(self.shares):
                is_due = (now_ms + self.offsets[number]) % REPORT_INTERVAL_MS == 0
                if is_due or share.needs_report(now_ms):
                    reports = share.reports(now_ms)
                    grants = self.ledger.apply_reports(str(number), 1, reports, now_ms)
                    grants = self.ledger.mark_scarcity(str(number), 1, grants, now_ms)
                    self.answers.append(
                        (now_ms + NETWORK_DELAY_MS, number, grants, now_ms)
                    )

    def _enqueue(self, number, now_ms):
        self.request_count += 1
        self.queued[number].append((str(self.request_count), now_ms + MAX_QUEUE_MS))
        self._admit_queued(number, now_ms)

    def _admit_queued(self, number, now_ms):
        share = self.shares[number]
        queue = self.queued[number]
        while queue and share.try_reserve(queue[0][0], "w", REQUEST_TOKENS, now_ms):
            name, _ = queue.pop(0)
            self.admitted.append(now_ms)
            self.running.append((now_ms + SERVICE_TIME_MS, number, name))
        while queue and queue[0][1] <= now_ms:
            queue.pop(0)
            self.refused += 1
        share.set_queued("w", REQUEST_TOKENS * len(queue))

    def _process_due_events(self, now_ms):
        while self.answers and self.answers[0][0] <= now_ms:
            _, number, grants, sent_ms = self.answers.pop(0)
            self.shares[number].apply_grants(grants, sent_ms, 4_000)
        while self.running and self.running[0][0] <= now_ms:
            _, number, name = self.running.pop(0)
            self.shares[number].settle(name, REQUEST_TOKENS, now_ms)
        for number, queue in enumerate(self.queued):
            if queue:
                self._admit_queued(number, now_ms)

    def max_tokens_in_a_window(self):
        """Return the maximum number of tokens admitted in any window."""
        times = self.admitted
        return REQUEST_TOKENS * max(
            sum(first <= t < first + WINDOW_MS for t in times) for first in times
        )


def grouped_arrivals(seed, load):
    """Return arrival times of requests in groups of one to four."""
    generator = random.Random(seed)
    groups = int(load * RATE_TOKENS_PER_S * DURATION_S / REQUEST_TOKENS / 2.5)
    times = []
    for _ in range(groups):
        at_ms = generator.uniform(0, DURATION_S * 1_000)
        size = generator.randint(1, 4)
        times += [int(at_ms + generator.uniform(0, 200)) for _ in range(size)]
    return times


def compute_limits(budget_part):
    """Return the token limit per window, and the part of its overage for the budget."""
    overage = (
        0.1 * (RATE_TOKENS_PER_S * WINDOW_MS // 1_000 + RATE_TOKENS_PER_S) + 72_000
    )
    return (
        RATE_TOKENS_PER_S * WINDOW_MS // 1_000 + RATE_TOKENS_PER_S + overage,
        budget_part * overage,
    )


def count_refusals_of_one_bucket(arrivals):
    """Return the refusals of a single bucket for all requests, without tolerance."""
    level, last_ms, refused = float(RATE_TOKENS_PER_S), 0, 0
    for now_ms in sorted(arrivals):
        level = min(
            RATE_TOKENS_PER_S, level + (now_ms - last_ms) * RATE_TOKENS_PER_S / 1_000
        )
        last_ms = now_ms
        if level >= REQUEST_TOKENS:
            level -= REQUEST_TOKENS
        else:
            refused += 1
    return refused


@pytest.mark.parametrize("load", [0.5, 0.6, 0.8])
@pytest.mark.parametrize("seed", range(3))
def test_no_more_is_refused_than_by_one_instance(seed, load):
    """Guards against refusals because other instances hold unused shares."""
    _, tolerance = compute_limits(0.5)
    arrivals = grouped_arrivals(seed, load)
    fleet = InstanceFleet(seed, int(tolerance))
    fleet.run(arrivals)
    assert fleet.refused <= count_refusals_of_one_bucket(arrivals)


@pytest.mark.parametrize("seed", range(4))
def test_workspace_far_over_its_rate_stays_within_the_tolerance(seed):
    """Guards against a rate that many instances together exceed."""
    limit, tolerance = compute_limits(0.5)
    fleet = InstanceFleet(seed, int(tolerance))
    fleet.run(grouped_arrivals(seed, 4.0))
    assert fleet.max_tokens_in_a_window() <= limit
    assert fleet.refused > 0
