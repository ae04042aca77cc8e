"""Tests of routes, quota, retries, health, load, directory and event streams."""

import pytest

from papayacrank.admission import LocalShares
from papayacrank.forwarding._directory import choose_addresses
from papayacrank.forwarding._event_stream import EventSplitter, EventStreamError
from papayacrank.forwarding._health import TargetHealth
from papayacrank.forwarding._quota import QuotaEnforcer
from papayacrank.forwarding._retry_budget import RetryBudget
from papayacrank.forwarding._routes import RouteIndex
from papayacrank.forwarding._targets import TargetTable
from papayacrank.messages import (
    EntryAddress,
    FleetChange,
    RoutingConfiguration,
    ShareGrant,
    TargetLoad,
    WorkspaceProfile,
)

from .builders import (
    MODEL,
    build_configuration,
    build_load,
    build_route,
    build_target,
    build_view,
)


def test_longest_prefix_of_the_host_wins():
    """Guards against a request that is sent to the service of another route."""
    routes = (
        build_route("a", prefix="/a/"),
        build_route("b", prefix="/a/b/"),
        build_route("c", prefix="/", host="other"),
    )
    index = RouteIndex(build_configuration(routes=routes))
    assert index.find_route("h", "/a/b/x").name == "b"
    assert index.find_route("h", "/a/c").name == "a"
    assert index.find_route("h", "/x") is None
    assert index.find_route("other", "/x").name == "c"


@pytest.mark.parametrize("boundary", range(1, 30))
def test_events_are_split_at_any_chunk_boundary(boundary):
    """Guards against events that are lost or cut at the boundaries of TCP segments."""
    stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
    splitter = EventSplitter()
    events = splitter.feed(stream[:boundary]) + splitter.feed(stream[boundary:])
    assert [event.event_id for event in events] == ["1", "2"]
    assert b"".join(event.data for event in events) == stream
    assert splitter.partial_bytes == 0


def test_oversized_event_is_refused():
    """Guards against a target that exhausts memory with one endless event."""
    with pytest.raises(EventStreamError):
        EventSplitter().feed(b"x" * 300_000)


def test_retries_are_limited_in_every_window():
    """Guards against more retries than the ratio plus the share of the instance."""
    budget = RetryBudget(0.2, 10_000, 50)
    for number in range(100):
        budget.on_request("s", number * 10)
    allowed = sum(budget.try_consume("s", 10, 1_000) for _ in range(100))
    assert allowed == int(0.8 * (0.2 * 100 + 50 / 10))
    assert not budget.try_consume("s", 10, 5_000)
    assert budget.try_consume("s", 10, 30_000)


def test_requests_before_the_window_are_forgotten():
    """Guards against memory that grows with each request while nothing is retried."""
    budget = RetryBudget(0.2, 10_000, 50)
    for now_ms in range(0, 100_000, 100):
        budget.on_request("s", now_ms)
    assert budget.counted_requests == 100


def test_unreachable_target_is_ejected_with_exponential_backoff():
    """Guards against many requests that fail at the same unreachable target."""
    health = TargetHealth()
    health.on_unreachable("t", 0)
    assert health.is_ejected("t", 399)
    assert not health.is_ejected("t", 400)
    health.on_unreachable("t", 400)
    assert health.is_ejected("t", 1_199)
    health.on_success("t")
    assert not health.is_ejected("t", 1_199)


def test_failing_target_is_ejected_relative_to_its_peers():
    """Guards against a partly failing target, and against ejection of all targets."""
    health = TargetHealth()
    peers = ["a", "b", "c", "d"]
    for _ in range(5):
        health.on_failure("a", peers, 0)
    assert health.is_ejected("a", 1)
    all_failing = TargetHealth()
    for _ in range(20):
        for peer in peers:
            all_failing.on_failure(peer, peers, 0)
    assert sum(all_failing.is_ejected(peer, 1) for peer in peers) <= 2


def test_own_load_is_not_counted_twice():
    """Guards against a load that counts this process twice or not at all."""
    table = TargetTable()
    table.update(build_view(build_target("e1", "engines")))
    table.begin("e1", 100, 500)
    report = table.report("i1")
    table.begin("e1", 10, 50)
    others = TargetLoad(3, 1_100, 5_500)
    table.apply_load(build_load(table, {"e1": others}, report.sequence))
    assert table.load("e1") == TargetLoad(4, 1_010 + 100, 5_050 + 500)
    assert table.report("i1").loads["e1"] == TargetLoad(2, 110, 550)
    assert table.report("i1") is None


def test_older_view_is_ignored():
    """Guards against a delayed view from a former leader."""
    table = TargetTable()
    table.update(build_view(build_target("p1"), term=2))
    assert table.update(build_view(build_target("p2"), term=1, sequence=9)) is None
    assert table.find("p1") is not None
    removed = table.update(build_view(build_target("p3"), term=2, sequence=2))
    assert [target.name for target in removed] == ["p1"]


def test_change_is_merged_into_its_base_only():
    """Guards against use of a removed target, and against a missed change."""
    table = TargetTable()
    view = build_view(build_target("p1"), build_target("p2"))
    table.update(view)
    p2, p3 = build_target("p2", leaving=True, number=2), build_target("p3", number=3)
    change = FleetChange(1, 1, 2, [p2, p3], [1])
    assert table.merge(FleetChange(1, 5, 6, [p3])) is None
    assert table.merge(FleetChange(2, 1, 2, [p3])) is None
    removed = table.update(table.merge(change))
    assert [target.name for target in removed] == ["p1"]
    assert table.position == (1, 2)
    assert [(t.name, t.leaving) for t in table.targets] == [("p2", True), ("p3", False)]
    assert table.merge(change) is None


def test_load_of_another_term_is_ignored():
    """Guards against loads assigned to wrong targets when a term reuses numbers."""
    table = TargetTable()
    table.update(build_view(build_target("e1", "engines"), term=2))
    table.apply_load(build_load(table, {"e1": TargetLoad(9, 9, 9)}))
    assert table.load("e1") == TargetLoad(0, 0, 0)


def test_weights_of_a_response_override_the_view():
    """Guards against requests for a version that an engine no longer runs."""
    table = TargetTable()
    table.update(build_view(build_target("e1", "engines", version=1)))
    assert table.observe_weights("e1", MODEL, 2)
    assert not table.observe_weights("e1", MODEL, 1)
    table.update(build_view(build_target("e1", "engines", version=1), sequence=2))
    assert table.find("e1").weights == {MODEL: 2}
    assert table.find_by_service("engines")[0].weights == {MODEL: 2}


def build_entry(name, domain, status="serving", address=None):
    """Return the address of a live entry process."""
    return EntryAddress(name, 1, domain, address or f"{name}:80", status)


def test_directory_prefers_serving_instances_in_the_domain_of_the_caller():
    """Guards against callers sent to a stopping instance, or all to a single one."""
    instances = (
        build_entry("a", "east"),
        build_entry("b", "east"),
        build_entry("c", "west"),
        build_entry("d", "west", "draining"),
    )
    assert choose_addresses(instances, "east") == ["a:80", "b:80"]
    assert choose_addresses(instances, "west") == ["a:80", "b:80", "c:80"]


class QuotaBench:
    """Quota enforcer with one workspace."""

    def __init__(self, rate=1_000, burst=2_000):
        self.shares = LocalShares()
        self.quota = QuotaEnforcer(self.shares)
        profile = WorkspaceProfile("w", (), rate_per_s=rate, burst=burst)
        self.quota.configure(RoutingConfiguration(1, workspaces=(profile,)))
        self.quota.set_instances(10)
        self.granted = 0

    def grant(self, tokens, now_ms):
        """Grant additional tokens under a lease of 3 s."""
        self.granted += tokens
        grant = ShareGrant("w", self.granted)
        self.shares.apply_grants([grant], now_ms, 3_000)


def test_quota_without_contact_stays_below_an_equal_share():
    """Guards against a workspace above its rate during a network partition."""
    bench = QuotaBench()
    admitted = 0
    for now_ms in range(0, 100_000, 50):
        decision = bench.quota.admit(f"r{now_ms}", "w", 20, 10_000 + now_ms)
        admitted += 20 if decision is not None and decision.admitted else 0
    assert 0.4 * 100 * 100 <= admitted <= 0.5 * 100 * 100 + 200


def test_request_larger_than_the_burst_is_refused_at_once():
    """Guards against a request that waits for tokens that can never be granted."""
    bench = QuotaBench()
    bench.grant(100, 10_000)
    decision = bench.quota.admit("r", "w", 3_000, 10_000)
    assert not decision.admitted
    assert decision.retry_after_ms >= 3_000


def test_waiting_requests_are_admitted_in_order():
    """Guards against starvation of a large request by small ones."""
    bench = QuotaBench()
    bench.grant(0, 10_000)
    assert bench.quota.admit("large", "w", 500, 10_000) is None
    assert bench.quota.admit("small", "w", 10, 10_000) is None
    bench.grant(100, 10_050)
    assert bench.quota.poll(10_050) == []
    bench.grant(450, 10_100)
    assert [d.request_id for d in bench.quota.poll(10_100)] == ["large", "small"]


def test_request_is_not_refused_before_the_ledger_has_answered():
    """Guards against refusals within the rate because the leader grants slowly."""
    bench = QuotaBench()
    bench.grant(0, 9_990)
    assert bench.quota.admit("r1", "w", 500, 10_000) is None
    assert bench.quota.poll(10_300) == []
    bench.grant(500, 10_010)
    assert [d.admitted for d in bench.quota.poll(10_400)] == [True]
    assert bench.quota.admit("r2", "w", 500, 10_500) is None
    bench.grant(0, 10_510)
    assert bench.quota.poll(10_740) == []
    [refused] = bench.quota.poll(10_750)
    assert (refused.admitted, refused.ledger_age_ms) == (False, 240)


def test_wait_for_the_ledger_ends_when_contact_is_lost():
    """Guards against requests that wait although no leader can grant tokens."""
    bench = QuotaBench()
    bench.grant(0, 9_990)
    assert bench.quota.admit("r1", "w", 50, 10_000) is None
    assert bench.quota.poll(10_740) == []
    assert [d.admitted for d in bench.quota.poll(10_741)] == [True]


def test_workspace_without_a_rate_is_not_limited():
    """Guards against refusals although the configuration sets no limit."""
    bench = QuotaBench(rate=0)
    assert bench.quota.admit("r", "w", 10**9, 0).admitted


def test_simultaneous_failures_eject_a_target_once():
    """Guards against an ejection of several seconds after one short crash."""
    health = TargetHealth()
    peers = ["a", "b", "c", "d"]
    for _ in range(12):
        health.on_failure("a", peers, 0)
    assert health.is_ejected("a", 399)
    assert not health.is_ejected("a", 401)
