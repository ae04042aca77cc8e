"""Tests of fair admission, refusals and the concurrency limit."""

from dataclasses import replace

import pytest

from papayacrank.admission import (
    AdmissionPolicy,
    AdmissionRequest,
    Admitted,
    ConcurrencyLimiter,
    LocalShares,
    Refused,
)
from papayacrank.kernel import Verdict, create
from papayacrank.messages import ShareGrant


def build_policy(name="fair", limit=1, tokens=10**9, **params):
    """Build a policy whose two workspaces hold the same number of tokens."""
    shares = LocalShares()
    grants = [ShareGrant(workspace, tokens) for workspace in ("heavy", "light")]
    shares.apply_grants(grants, 0, 10**9)
    limiter = ConcurrencyLimiter(max_in_flight=limit)
    return create(AdmissionPolicy, name, shares=shares, limiter=limiter, **params)


def build_request(number, workspace="heavy", **changes):
    """Build a request of 100 tokens."""
    request = AdmissionRequest(f"r{number}", workspace, "llm", 100, 100.0, 60_000)
    return replace(request, **changes)


def serve_all(policy, steps):
    """Serve the requests one by one; return their workspaces in order."""
    order = []
    for now_ms in range(steps):
        for decision in policy.poll(now_ms):
            assert isinstance(decision, Admitted)
            order.append(decision.request.workspace)
            policy.on_served(decision.request.request_id, 0, 100, now_ms)
    return order


def test_heavy_workspace_does_not_delay_light_one():
    """Guards against starvation by a workspace that sends many times its share."""
    orders = {}
    for name in ("fair", "fifo"):
        policy = build_policy(name)
        for number in range(50):
            policy.submit(build_request(number), 0)
        for number in range(5):
            policy.submit(build_request(100 + number, "light"), 0)
        orders[name] = serve_all(policy, 55)
    assert orders["fair"][:10].count("light") == 5
    assert orders["fifo"][:10].count("light") == 0


def test_service_is_proportional_to_weights():
    """Guards against weights that have no effect."""
    policy = build_policy()
    for number in range(60):
        policy.submit(build_request(number, "heavy", weight=2.0), 0)
        policy.submit(build_request(100 + number, "light"), 0)
    order = serve_all(policy, 30)
    assert order.count("heavy") == 20


def test_cached_tokens_cost_less():
    """Guards against charging cache hits as much as recomputation."""
    policy = build_policy()
    for number in range(60):
        policy.submit(build_request(number, "heavy"), 0)
        policy.submit(build_request(100 + number, "light"), 0)
    order = []
    for now_ms in range(55):
        for decision in policy.poll(now_ms):
            order.append(decision.request.workspace)
            cached = 100 if decision.request.workspace == "heavy" else 0
            policy.on_served(decision.request.request_id, cached, 100 - cached, now_ms)
    assert order.count("heavy") >= 45


def test_over_rate_is_refused_after_the_maximum_wait():
    """Guards against a refusal that is delayed until the deadline."""
    policy = build_policy(tokens=0, budget_wait_ms=500)
    policy.submit(build_request(1), 0)
    assert policy.poll(0) == []
    assert policy.poll(499) == []
    policy.shares.apply_grants([], 10, 10**9)
    assert policy.next_wakeup_ms(0) == 500
    (refused,) = policy.poll(500)
    assert isinstance(refused, Refused)
    assert refused.failure.status == 429
    assert refused.failure.verdict is Verdict.NOT_RUN
    assert refused.failure.retry_after_ms > 0


def test_unanswered_report_is_not_refused_as_over_rate():
    """Guards against "over rate" for a workspace within its rate during an election."""
    policy = build_policy(tokens=0, budget_wait_ms=500)
    policy.submit(build_request(1), 1)
    assert policy.poll(1) == []
    assert policy.poll(3_900) == []
    (refused,) = policy.poll(4_001)
    assert refused.failure.code == "budget_unavailable"
    assert refused.failure.status == 503
    assert refused.failure.verdict is Verdict.NOT_RUN


def test_wait_for_a_slot_is_not_a_wait_for_tokens():
    """Guards against "over rate" for requests that waited only for a free slot."""
    policy = build_policy(budget_wait_ms=500)
    policy.submit(build_request(1), 0)
    policy.submit(build_request(2), 0)
    policy.poll(0)
    policy.on_served("r1", 0, 100, 2_000)
    (admitted,) = policy.poll(2_000)
    assert admitted == Admitted(build_request(2))


def test_queue_is_bounded_and_retry_times_are_jittered():
    """Guards against unbounded memory and against callers that retry all at once."""
    policy = build_policy(max_queued=1)
    policy.submit(build_request(1), 0)
    failures = [policy.submit(build_request(n), 0).error for n in range(2, 12)]
    assert {failure.code for failure in failures} == {"overloaded"}
    assert len({failure.retry_after_ms for failure in failures}) > 5


def test_unreachable_deadline_is_refused_immediately():
    """Guards against queueing requests that cannot be served in time."""
    policy = build_policy()
    for number in range(40):
        policy.submit(build_request(number), 0)
    for now_ms in range(0, 10_000, 1_000):
        for decision in policy.poll(now_ms):
            policy.on_served(decision.request.request_id, 0, 100, now_ms)
    policy.poll(10_000)
    result = policy.submit(build_request(99, deadline_ms=10_500), 10_000)
    assert result.error.code == "deadline_unreachable"


@pytest.mark.parametrize("name", ["fair", "fifo"])
def test_cancel_frees_the_queue_slot(name):
    """Guards against a queue full of requests whose callers have disconnected."""
    policy = build_policy(name, max_queued=1)
    policy.submit(build_request(1), 0)
    policy.cancel("r1")
    assert policy.queued == 0
    assert policy.submit(build_request(2), 0).is_ok()


def test_limit_adapts_to_engine_queues():
    """Guards against requests that wait in engine queues, which are not fair."""
    limiter = ConcurrencyLimiter(max_in_flight=100, target_waiting=2.0)
    for _ in range(40):
        limiter.observe(10.0, int(limiter.limit_))
    assert limiter.limit_ == 4
    for _ in range(20):
        limiter.observe(0.0, int(limiter.limit_))
    assert 20 <= limiter.limit_ <= 24
