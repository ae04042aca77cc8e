"""Tests of the router, routing policies, outlier detection and retry budgets."""

import random
from collections import Counter

from papayacrank.cache import hash_prompt
from papayacrank.config import Goals
from papayacrank.kernel import Verdict, create, list_registered
from papayacrank.routing import (
    LEAVING,
    LoadReport,
    RetryPolicy,
    Router,
    RoutingPolicy,
    RoutingRequest,
    TargetView,
)

SERVICE = "llm"
BLOCK_TOKENS = 2_048
DOMAINS = ("east", "west", "north")


def views(count=9, version="1", states=None):
    return [
        TargetView(
            name=f"e{i}",
            address=f"127.0.0.1:{9_000 + i}",
            failure_domain=DOMAINS[i % 3],
            state=(states or {}).get(f"e{i}", "live"),
            weights_version=version,
        )
        for i in range(count)
    ]


def report(incarnation=1, version="1", running=0, waiting=0, queued=0):
    return LoadReport(incarnation, version, running, waiting, queued)


def build_router(policy="papayacrank", count=9, seed=1, name="i1", instances=9):
    router = Router(policy, Goals(), name, "east", random.Random(seed))
    router.set_instances(instances)
    router.update_targets(SERVICE, views(count), 0)
    for i in range(count):
        router.observe_load(f"e{i}", report(), 0)
    return router


def prompt(label="p", blocks=10):
    tokens = b"".join(f"{label}-{i}".encode().ljust(16)[:16] for i in range(blocks))
    return hash_prompt("team-a", "m", "1", tokens, 4)


def request(number=0, blocks=(), excluded=(), service=SERVICE):
    return RoutingRequest(
        request_id=f"r{number}",
        service=service,
        workspace="team-a",
        blocks=tuple(blocks),
        prompt_tokens=len(blocks) * BLOCK_TOKENS + 100 if blocks else 0,
        excluded=frozenset(excluded),
    )


def send(router, sample, now_ms):
    choice = router.choose(sample, now_ms).ok
    router.on_sent(sample, choice, now_ms)
    return choice


def serve(router, sample, now_ms, ttft_ms):
    choice = send(router, sample, now_ms)
    router.on_first_token(sample.request_id, now_ms + ttft_ms)
    router.on_finished(sample.request_id, True, now_ms + ttft_ms)
    return choice


def test_all_policies_are_registered_and_select_live_targets():
    """Guards against a policy that selects leaving or excluded targets."""
    names = list_registered(RoutingPolicy)
    assert names == sorted(
        [
            "papayacrank",
            "random",
            "round_robin",
            "least_loaded",
            "consistent_hash",
            "longest_match",
        ]
    )
    for name in names:
        router = build_router(name, count=3)
        router.update_targets(SERVICE, views(3, states={"e0": LEAVING}), 1)
        for i in range(20):
            sample = request(i, prompt(f"{name}{i}"), excluded=["e1"])
            assert router.choose(sample, 1).ok.target == "e2"


def test_failure_without_a_target_has_verdict_not_run():
    """Guards against a refusal that tells the caller that the request may have run."""
    router = build_router(count=1)
    for sample in (request(1, excluded=["e0"]), request(2, service="unknown")):
        failure = router.choose(sample, 0).error
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.status == 503


def test_cached_prefix_is_routed_to_its_engine():
    """Guards against recomputation of a prefix that an idle engine has cached."""
    router = build_router()
    first = serve(router, request(1, prompt()), 0, 500)
    again = router.choose(request(2, prompt()), 1_000).ok
    assert (again.target, again.matched_blocks) == (first.target, 10)
    assert again.reason == "match"


def test_blocks_of_an_earlier_incarnation_do_not_match():
    """Guards against a stale match after a load report of a new incarnation."""
    router = build_router()
    first = serve(router, request(1, prompt()), 0, 500)
    router.observe_load(first.target, report(incarnation=2), 600)
    assert router.index.match(prompt()) == {}
    router.index.store(first.target, 1, prompt())
    assert router.choose(request(2, prompt()), 700).ok.matched_blocks == 0
    router.observe_load(first.target, report(incarnation=1, waiting=9), 800)
    assert router._tables[SERVICE].states[first.target].report.waiting == 0


def test_targets_with_older_weights_are_neither_matched_nor_selected():
    """Guards against responses from older weights while engines load new ones."""
    router = build_router(count=3)
    serve(router, request(1, prompt()), 0, 500)
    router.update_targets(SERVICE, views(3, version="2"), 1_000)
    assert router.choose(request(2, prompt()), 1_000).is_error()
    router.observe_load("e2", report(version="2"), 1_100)
    choice = router.choose(request(2, prompt()), 1_100).ok
    assert choice.target == "e2"
    for i in range(2):
        router.observe_load(f"e{i}", report(version="2"), 1_200)
    assert router.index.match(prompt()) == {}


def test_blocks_of_another_workspace_do_not_match():
    """Guards against routing by another workspace's cache."""
    router = build_router()
    serve(router, request(1, prompt()), 0, 500)
    other = hash_prompt("team-b", "m", "1", b"p-0".ljust(16), 4)
    assert router.index.match(other) == {}


def test_failed_attempt_removes_its_blocks_from_the_index():
    """Guards against a match on blocks that were never computed."""
    router = build_router()
    choice = send(router, request(1, prompt()), 0)
    assert router.index.match(prompt()) == {choice.target: 10}
    router.on_finished("r1", False, 10)
    assert router.index.match(prompt()) == {}
    assert len(router.index) == 0


def test_unreported_requests_count_towards_the_load():
    """Guards against a burst sent to a single engine before its next load report."""
    router = build_router(count=3)
    targets = [
        send(router, request(i, prompt(f"burst{i}", 40)), 10).target for i in range(6)
    ]
    assert set(Counter(targets).values()) == {2}


def test_reported_requests_are_not_counted_twice():
    """Guards against an overestimated load after each load report."""
    router = build_router(count=1)
    send(router, request(1, prompt(blocks=40)), 0)
    state = router._tables[SERVICE].states["e0"]
    assert state.unreported_tokens == 40 * BLOCK_TOKENS + 100
    router.observe_load("e0", report(running=1, queued=80_000), 500)
    assert state.unreported_tokens == 0
    assert state.load() == 1
    router.on_first_token("r1", 600)
    router.on_finished("r1", True, 700)
    assert state.unreported_tokens == 0
    assert state.attempts == {}


def test_instances_with_the_same_reports_spread_their_requests():
    """Guards against a herd: many instances select one engine by one lagged report."""
    chosen = Counter()
    for number in range(60):
        router = build_router(seed=number, name=f"i{number}", instances=60)
        router.observe_load("e4", report(running=3, waiting=1), 100)
        chosen[router.choose(request(1), 110).ok.target] += 1
    assert max(chosen.values()) <= 60 // 3
    assert chosen["e4"] == 0


def test_uncached_prefix_has_one_affinity_target_for_all_instances():
    """Guards against recomputation of a new prefix on several engines at a time."""
    for label in ("a", "b", "c"):
        targets = {
            build_router(seed=number, name=f"i{number}")
            .choose(request(1, prompt(label, 30)), 10)
            .ok.target
            for number in range(12)
        }
        assert len(targets) == 1


def test_prefix_is_imported_elsewhere_when_its_engine_has_a_queue():
    """Guards against a queue at the only engine that has cached a prefix."""
    router = build_router()
    first = serve(router, request(1, prompt(blocks=20)), 0, 500)
    router.observe_load(first.target, report(queued=400_000), 1_000)
    choice = router.choose(request(2, prompt(blocks=20)), 1_000).ok
    assert choice.target != first.target
    assert (choice.kv_source, choice.reason) == (first.target, "import")


def test_no_import_from_an_engine_with_a_gap_in_its_events():
    """Guards against an import of blocks that may have been evicted."""
    router = build_router()
    first = serve(router, request(1, prompt(blocks=20)), 0, 500)
    router.index.set_uncertain(first.target, True)
    router.observe_load(first.target, report(queued=400_000), 1_000)
    assert router.choose(request(2, prompt(blocks=20)), 1_000).ok.kv_source is None


def test_hot_prefix_is_replicated_and_a_former_one_is_not():
    """Guards against queues after another prefix has become hot."""
    router = build_router(instances=9)

    def run(label, from_ms, interval_ms, count):
        """Send requests of 2 s each; return the targets of the second half."""
        targets = []
        running = []
        for number in range(count):
            now_ms = from_ms + number * interval_ms
            for finished in [r for r in running if r[0] <= now_ms]:
                router.on_finished(finished[1], True, now_ms)
                running.remove(finished)
            sample = request(f"{label}{from_ms}-{number}", prompt(label, 12))
            targets.append(send(router, sample, now_ms).target)
            router.on_first_token(sample.request_id, now_ms + 20)
            running.append((now_ms + 2_000, sample.request_id))
        for finished in running:
            router.on_finished(finished[1], True, now_ms + 2_000)
        return set(targets[-count // 2 :])

    cold = run("cold", 0, 2_500, 20)
    hot = run("hot", 60_000, 20, 400)
    later = run("hot", 120_000, 2_500, 20)
    shifted = run("next", 200_000, 20, 400)
    assert len(cold) == 1
    assert len(hot) >= 3
    assert len(shifted) >= 3
    assert later <= hot


def test_slow_target_is_ejected_and_readmitted_by_trial():
    """Guards against a slow target that keeps its requests or is never readmitted."""
    router = build_router(count=6)

    def send_requests(from_ms, slow_ms):
        chosen = Counter()
        for number in range(60):
            sample = request(f"{from_ms}-{number}")
            now_ms = from_ms + number * 50
            choice = router.choose(sample, now_ms).ok
            ttft_ms = slow_ms if choice.target == "e2" else 40
            router.on_sent(sample, choice, now_ms)
            router.on_first_token(sample.request_id, now_ms + ttft_ms)
            router.on_finished(sample.request_id, True, now_ms + ttft_ms)
            chosen[choice.target] += 1
        return chosen

    send_requests(0, 5_000)
    outlier_detector = router._tables[SERVICE].outlier_detector
    assert outlier_detector.ejected == ["e2"]
    assert send_requests(3_000, 5_000)["e2"] <= 1
    assert outlier_detector.ejected == ["e2"]
    send_requests(60_000, 40)
    assert outlier_detector.ejected == []
    assert send_requests(70_000, 40)["e2"] > 3


def test_at_most_a_third_of_the_targets_is_ejected():
    """Guards against ejections that overload the remaining targets."""
    router = build_router(count=9)
    for number in range(400):
        sample = request(number)
        choice = router.choose(sample, number * 10).ok
        slow = int(choice.target[1:]) < 6
        router.on_sent(sample, choice, number * 10)
        if slow:
            router.on_finished(sample.request_id, False, number * 10 + 5)
        else:
            router.on_first_token(sample.request_id, number * 10 + 20)
            router.on_finished(sample.request_id, True, number * 10 + 20)
    assert len(router._tables[SERVICE].outlier_detector.ejected) == 3


def test_cancelled_requests_do_not_eject_a_target():
    """Guards against a healthy target that is ejected because callers cancel."""
    router = build_router(count=3)
    for number in range(60):
        send(router, request(number, prompt(f"left{number}")), number * 10)
        router.on_finished(f"r{number}", None, number * 10 + 5)
    assert router._tables[SERVICE].outlier_detector.ejected == []
    assert len(router.index) == 0


def test_restarted_instance_imports_index_and_loads_of_a_peer():
    """Guards against an empty index after a restart of an entry instance."""
    peer = build_router()
    first = serve(peer, request(1, prompt()), 0, 500)
    busy = "e5" if first.target != "e5" else "e6"
    peer.observe_load(busy, report(running=8, queued=90_000), 600)
    restarted = Router("papayacrank", Goals(), "i2", "west", random.Random(2))
    restarted.update_targets(SERVICE, views(), 1_000)
    for page in peer.export_pages():
        restarted.import_page(page, 1_000)
    assert restarted.choose(request(2, prompt()), 1_001).ok.target == first.target
    assert restarted._tables[SERVICE].states[busy].load() == 8


def test_large_fleet_is_sampled_and_cached_prefixes_are_found():
    """Guards against a decision time that grows with the number of targets."""
    router = build_router(count=500)
    first = serve(router, request(1, prompt()), 0, 300)
    assert router.choose(request(2, prompt()), 400).ok.target == first.target
    targets = {router.choose(request(i), 400).ok.target for i in range(200)}
    assert len(targets) > 60


def test_state_of_a_removed_target_is_dropped():
    """Guards against memory that grows as targets join and leave."""
    router = build_router(count=3)
    serve(router, request(1, prompt()), 0, 300)
    router.update_targets(SERVICE, [], 400)
    assert router.index.match(prompt()) == {}
    assert router.choose(request(2, prompt()), 500).is_error()
    router.update_targets(SERVICE, views(3), 600)
    assert router.choose(request(2, prompt()), 700).is_ok()


def test_target_may_be_removed_while_a_request_runs():
    """Guards against an exception at the end of a request whose target was removed."""
    router = build_router(count=2)
    choice = send(router, request(1, prompt()), 0)
    router.update_targets(SERVICE, [], 10)
    router.on_first_token("r1", 20)
    router.on_finished("r1", True, 30)
    assert choice.target.startswith("e")


def test_retry_budget_is_full_at_start():
    """Guards against requests lost when an engine fails soon after a start.

    With a balance of one retry at the start, 4 of 16 requests in flight at a killed
    engine failed.
    """
    policy = create(RetryPolicy, "budgeted")
    policy.on_request(0)
    assert sum(policy.may_retry(0) for _ in range(16)) == 16


def test_retries_are_a_tenth_of_requests_plus_a_constant_rate():
    """Guards against retries that multiply the load after a large failure."""
    policy = create(RetryPolicy, "budgeted", max_balance=2.0)
    allowed = 0
    for number in range(1_000):
        policy.on_request(number * 10)
        allowed += policy.may_retry(number * 10)
    assert 100 <= allowed <= 100 + 0.5 * 10 + 2
    policy = create(RetryPolicy, "budgeted")
    for _ in range(1_000):
        policy.on_request(10_000)
    burst = sum(policy.may_retry(10_000) for _ in range(100))
    assert burst == 20
