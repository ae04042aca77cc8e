"""Tests of the forwarder: admission, retries, streams and failures."""

from collections import Counter

import pytest

from papayacrank.control import digest_key
from papayacrank.messages import ServiceProfile, StoreProfile, WorkspaceProfile

from .builders import (
    KEY,
    MODEL,
    STORE_ADDRESS,
    Bench,
    build_configuration,
    build_target,
    build_view,
)

PLAIN = (build_target("p1"), build_target("p2"))
ENGINES = (build_target("e1", "engines"), build_target("e2", "engines"))


def build_limited_configuration(rate, burst):
    """Return a configuration whose only workspace has a rate limit."""
    workspace = WorkspaceProfile(
        "w1", (digest_key(KEY),), rate_per_s=rate, burst=burst, default_cost=200
    )
    return build_configuration(workspaces=(workspace,))


def test_response_is_forwarded_unchanged():
    """Guards against lost headers and forwarded hop-by-hop headers."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    bench.respond(200, b"body", seal="s1", connection="x-hop", x_hop="1")
    assert (caller.status, caller.body, caller.ended) == (200, b"body", True)
    assert caller.headers["seal"] == "s1"
    assert "x-hop" not in caller.headers
    assert bench.forwarder.open_jobs == 0


def test_failed_idempotent_request_is_retried_at_another_target():
    """Guards against a failure although another target would serve the request."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    first = bench.target_of(bench.call)
    bench.respond(500, b"error")
    assert bench.target_of(bench.call) != first
    bench.respond(200)
    assert caller.status == 200


def test_last_error_response_of_a_target_is_forwarded():
    """Guards against a target's response that the system replaces by its own."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    bench.respond(500, b"first")
    bench.respond(500, b"second")
    assert (caller.status, caller.body) == (500, b"second")
    assert len(bench.port.calls) == 2


@pytest.mark.parametrize("path", ["/claim/x", "/appraise/x"])
def test_non_idempotent_request_that_may_have_run_is_not_retried(path):
    """Guards against a non-idempotent request that runs twice."""
    bench = Bench(*PLAIN, *ENGINES)
    caller = bench.send(path, tokens=100)
    bench.fail("connection_lost", sent=True)
    assert len(bench.port.calls) == 1
    assert caller.status == 502
    assert caller.headers["verdict"] == "may-have-run"


def test_unsent_request_is_retried_at_another_target():
    """Guards against a failed request although only the connection was refused."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x")
    first = bench.target_of(bench.call)
    bench.fail("connect_failed", sent=False)
    assert bench.target_of(bench.call) != first
    bench.respond(200)
    assert caller.status == 200


def test_refused_request_is_retried_at_another_target():
    """Guards against a refusal although another target has capacity."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x")
    bench.respond(503, b"", not_run=1)
    bench.respond(200)
    assert caller.status == 200


def test_refusal_by_all_targets_is_reported_as_not_run():
    """Guards against a refusal without a retry time."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x")
    while not caller.ended:
        bench.respond(503, b"", not_run=1)
    assert caller.status == 503
    assert caller.headers["verdict"] == "not-run"
    assert int(caller.headers["retry-after-ms"]) > 0


def test_refusal_after_a_possible_run_is_reported_as_may_have_run():
    """Guards against a 503 with verdict not-run after a target may have run it."""
    bench = Bench(*PLAIN)
    caller = bench.send("/lookup/x")
    bench.fail("connection_lost", sent=True)
    while not caller.ended:
        bench.respond(503, b"", not_run=1)
    assert caller.status == 502
    assert caller.headers["verdict"] == "may-have-run"


def test_stream_is_resumed_without_gap_or_duplicate():
    """Guards against missing, duplicate or truncated events after a target crash."""
    bench = Bench(*ENGINES)
    caller = bench.send("/reply/x", tokens=100)
    bench.begin(seal="s1")
    bench.event(1)
    bench.forwarder.on_data(bench.call, b"id: 2\ndata: to")
    bench.fail("connection_lost")
    assert bench.protocol.dispatches[-1].resume_after == "1"
    bench.begin(seal="s2")
    bench.event(1)
    bench.event(2)
    bench.end()
    assert caller.body == b"id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"
    assert (caller.headers["seal"], caller.ended) == ("s1", True)


def test_stream_that_cannot_be_resumed_is_aborted():
    """Guards against an interrupted stream that looks complete to the caller."""
    bench = Bench(*ENGINES)
    caller = bench.send("/appraise/x", tokens=100)
    bench.begin()
    bench.event(1)
    bench.fail("connection_lost")
    assert caller.aborted
    assert not caller.ended
    assert len(bench.port.calls) == 1


def test_truncated_stream_is_aborted():
    """Guards against a normal end of a stream whose last event is incomplete."""
    bench = Bench(*ENGINES)
    caller = bench.send("/appraise/x", tokens=100)
    bench.begin()
    bench.event(1)
    bench.forwarder.on_data(bench.call, b"id: 2\nda")
    bench.end()
    assert caller.aborted


def test_attempts_stay_within_the_limit_of_the_route():
    """Guards against a request that runs more often than the route allows."""
    bench = Bench(build_target("p1"), build_target("p2"), build_target("p3"))
    caller = bench.send()
    bench.fail("connection_lost")
    bench.fail("connection_lost")
    assert len(bench.port.calls) == 2
    assert caller.status == 502


def test_retries_stay_within_the_budget():
    """Guards against a retry storm when a service fails."""
    bench = Bench(*PLAIN)
    for number in range(200):
        bench.send(id=f"r{number}")
        while bench.port.calls and bench.call.is_open:
            bench.fail("connection_lost")
    assert len(bench.port.calls) - 200 <= 0.2 * 200 + 50


def test_request_of_a_disconnected_caller_is_cancelled():
    """Guards against work of targets for callers that disconnected."""
    bench = Bench(*ENGINES)
    caller = bench.send("/reply/x", tokens=100)
    bench.forwarder.on_caller_left(caller.exchange)
    assert bench.port.cancelled == [bench.call]
    assert bench.forwarder.open_jobs == 0
    assert bench.forwarder.table.load("e1").running == 0


def test_deadline_ends_the_request_with_a_response():
    """Guards against a request that stays open beyond its deadline."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x", deadline=300)
    bench.call.bytes_written = True
    bench.advance(290)
    assert caller.status == 504
    assert bench.port.cancelled == [bench.call]


def test_remaining_time_is_sent_to_the_target():
    """Guards against a target that works on after the deadline of the caller."""
    bench = Bench(*PLAIN)
    bench.send(deadline=900)
    bench.advance(250)
    bench.fail("connection_lost")
    assert [d.deadline_ms for d in bench.protocol.dispatches] == [900, 650]


def test_unresponsive_target_is_replaced_for_an_idempotent_request():
    """Guards against an idempotent request that waits for an unresponsive target."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    unresponsive_call = bench.call
    unresponsive_call.bytes_written = True
    bench.advance(1_000)
    assert len(bench.port.calls) == 2
    bench.respond(200)
    assert bench.port.cancelled == [unresponsive_call]
    assert caller.status == 200


def test_non_idempotent_request_stays_at_an_unresponsive_target():
    """Guards against a non-idempotent request sent twice because of a slow target."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    bench.call.bytes_written = True
    bench.advance(2_000)
    assert len(bench.port.calls) == 1


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/lookup/x", "unknown", 401),
        ("/lookup/x", None, 401),
        ("/nowhere/x", KEY, 404),
        ("/lookup", KEY, 404),
    ],
)
def test_request_without_valid_key_or_route_is_refused(path, key, status):
    """Guards against requests that run without a valid key or a route."""
    bench = Bench(*PLAIN)
    caller = bench.send(path, key=key)
    assert caller.status == status
    assert bench.port.calls == []


def test_public_route_needs_no_key():
    """Guards against a required key on a public route."""
    bench = Bench(*PLAIN)
    bench.send("/open/x", key=None)
    assert bench.protocol.dispatches[0].workspace is None


def test_process_without_configuration_sends_a_retry_time():
    """Guards against a 404 or 401 from a process without a configuration."""
    bench = Bench()
    caller = bench.send()
    assert caller.status is None
    bench.advance(350)
    assert caller.status == 503
    assert 0 < int(caller.headers["retry-after-ms"]) <= 1_000


def test_request_over_the_rate_is_refused_with_a_retry_time():
    """Guards against a workspace above its rate, and against a missing response."""
    bench = Bench(*PLAIN, configuration=build_limited_configuration(1_000, 1_000))
    bench.grant("w1", 300)
    served = bench.send(id="a")
    bench.respond()
    over = bench.send(id="b")
    bench.advance(300)
    bench.forwarder.poll_quota()
    assert (served.status, over.status) == (200, 429)
    assert int(over.headers["retry-after-ms"]) >= 100


def test_request_waits_briefly_for_a_grant():
    """Guards against a refusal shortly before the leader grants tokens."""
    bench = Bench(*PLAIN, configuration=build_limited_configuration(1_000, 1_000))
    bench.grant("w1", 0)
    caller = bench.send()
    assert bench.port.calls == []
    bench.grant("w1", 200)
    bench.respond()
    assert caller.status == 200


def test_request_is_retried_with_the_weights_that_the_engine_runs():
    """Guards against failures while the view shows outdated weights."""
    bench = Bench(build_target("e1", "engines"), weights={MODEL: 2})
    caller = bench.send("/appraise/x", tokens=100)
    bench.respond(421, b"", server="e1")
    assert bench.protocol.dispatches[-1].weights_version == 2
    bench.begin()
    bench.event(1)
    bench.end()
    assert caller.ended


def send_with_refused_version(bench):
    """Send a request whose expected version the engine refuses once."""
    caller = bench.send("/appraise/x", tokens=100)
    bench.respond(421, b"", server="e1")
    return caller


def test_version_concluded_from_a_refusal_expires():
    """Guards against a wrong version that is expected as long as a target is listed."""
    bench = Bench(build_target("e1", "engines"), weights={MODEL: 2})
    caller = send_with_refused_version(bench)
    bench.begin()
    bench.event(1)
    bench.end()
    assert caller.ended
    bench.advance(2_100)
    bench.send("/appraise/x", tokens=100)
    assert [d.weights_version for d in bench.protocol.dispatches] == [1, 2, 1]


@pytest.mark.parametrize("stated", [{}, {"weights": 1}])
def test_version_concluded_from_a_refusal_ends_with_the_next_response(stated):
    """Guards against a concluded version that the target does not run either."""
    bench = Bench(build_target("e1", "engines"), weights={MODEL: 2})
    send_with_refused_version(bench)
    bench.respond(421, b"", server="e1", **stated)
    bench.send("/appraise/x", tokens=100)
    assert bench.protocol.dispatches[1].weights_version == 2
    assert bench.protocol.dispatches[-1].weights_version == 1


def test_refusals_of_the_same_version_keep_the_conclusion():
    """Guards against requests in flight that undo what the first refusal showed."""
    bench = Bench(build_target("e1", "engines"), weights={MODEL: 2})
    for _ in range(3):
        bench.send("/appraise/x", tokens=100)
    for call in bench.port.calls[:3]:
        bench.respond(421, b"", call=call, server="e1")
    versions = [d.weights_version for d in bench.protocol.dispatches]
    assert versions == [1, 1, 1, 2, 2, 2]


def test_target_with_another_identity_is_not_used():
    """Guards against a request that runs at another service with a reused address."""
    bench = Bench(*ENGINES)
    bench.send("/appraise/x", tokens=100)
    first = bench.target_of(bench.call)
    bench.respond(421, b"", server="other")
    assert bench.target_of(bench.call) != first


def test_salt_of_shared_parts_changes_with_the_epoch():
    """Guards against parts that a workspace made before it became isolated."""
    bench = Bench(*ENGINES, weights={MODEL: 3})
    bench.send("/appraise/x", tokens=100)
    workspaces = (
        WorkspaceProfile("w1", (digest_key(KEY),), isolated=True),
        WorkspaceProfile("w2", (digest_key("secret-2"),)),
    )
    bench.forwarder.apply_routing(
        build_configuration(2, workspaces=workspaces, cache_epoch=2)
    )
    bench.send("/appraise/x", tokens=100)
    bench.send("/appraise/x", tokens=100, key="secret-2")
    versions = [d.cache_salt for d in bench.protocol.dispatches]
    assert [salt[:-1] for salt in versions] == ["", "w1/", "2:"]


def test_repeated_request_uses_the_salt_of_the_configuration_in_force():
    """Guards against parts made under the shared salt by an isolated workspace."""
    bench = Bench(*ENGINES)
    bench.send("/reply/x", tokens=100)
    workspaces = (WorkspaceProfile("w1", (digest_key(KEY),), isolated=True),)
    bench.forwarder.apply_routing(
        build_configuration(2, workspaces=workspaces, cache_epoch=2)
    )
    bench.respond(503, b"", not_run=1)
    salts = [d.cache_salt for d in bench.protocol.dispatches]
    assert [salt[:-1] for salt in salts] == ["", "w1/"]


def test_salt_separates_versions_and_isolated_workspaces():
    """Guards against cache entries shared between weights or isolated workspaces."""
    bench = Bench(build_target("e1", "engines", version=3), weights={MODEL: 3})
    bench.send("/appraise/x", tokens=100, id="a")
    bench.send("/appraise/x", tokens=100, id="b", key="secret-2")
    salts = [d.cache_salt for d in bench.protocol.dispatches]
    assert salts == ["3", "w2/3"]
    assert [d.weights_version for d in bench.protocol.dispatches] == [3, 3]


def test_priority_of_the_workspace_precedes_that_of_the_route():
    """Guards against urgent workspaces queued behind urgent routes of others."""
    bench = Bench(build_target("e1", "engines"))
    bench.send("/appraise/x", tokens=100, id="a", key="secret-2")
    bench.send("/appraise/x", tokens=100, id="b")
    first, second = (d.urgency for d in bench.protocol.dispatches)
    assert first > second


def test_invalid_response_is_a_failure():
    """Guards against an invalid response that is forwarded as a success."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x")
    bench.respond(200, spoiled=1)
    assert caller.status == 502


def test_response_to_another_request_is_recognized():
    """Guards against a caller that gets the response to another request."""
    bench = Bench(*PLAIN)
    bench.send(id="mine")
    assert not bench.forwarder.matches_call(bench.call, 200, [(b"id", b"other")])
    assert bench.forwarder.matches_call(bench.call, 200, [(b"id", b"mine")])


def test_leaving_and_loading_targets_get_no_requests():
    """Guards against new requests to targets that are removed or not ready."""
    bench = Bench(build_target("p1", leaving=True), build_target("p2"))
    for number in range(10):
        bench.send(id=f"r{number}")
        assert bench.target_of(bench.call) == "p2"
    bench.forwarder.apply_fleet(
        build_view(build_target("p2", loading=True), sequence=2)
    )
    assert bench.send().status == 503


def test_load_returns_to_zero_for_any_end_of_an_attempt():
    """Guards against leaked load that grows until a target gets no requests."""
    bench = Bench(*ENGINES)
    for end in ("served", "lost", "left", "refused"):
        caller = bench.send("/reply/x", tokens=100, id=end)
        if end == "served":
            bench.begin()
            bench.event(1)
            bench.end()
        elif end == "lost":
            bench.fail("connection_lost")
            bench.fail("connection_lost")
        elif end == "refused":
            while not caller.ended:
                bench.respond(503, b"", not_run=1)
        else:
            bench.forwarder.on_caller_left(caller.exchange)
    for target in ENGINES:
        load = bench.forwarder.table.load(target.name)
        assert (load.running, load.prefill_tokens, load.memory_tokens) == (0, 0, 0)


def test_parts_that_the_store_has_are_not_saved_again():
    """Guards against store bandwidth spent on parts that are already stored."""
    bench = Bench(build_target("e1", "engines"))
    for number in range(2):
        bench.send("/appraise/x", tokens=100, id=f"r{number}", parts="a:40,b:40,own:20")
        bench.begin()
        bench.event(1)
        bench.end()
    first, second = bench.protocol.dispatches
    assert first.save_to is not None
    assert second.save_to is None
    assert second.fetch_from is not None
    bench.advance(21_000)
    bench.send("/appraise/x", tokens=100, id="later", parts="a:40,b:40,own:20")
    assert bench.protocol.dispatches[-1].save_to is not None


def build_store_configuration():
    """Return a configuration with three stores."""
    configuration = build_configuration()
    stores = tuple(
        ServiceProfile(f"store{n}", store=StoreProfile(f"10.0.9.{n}:80", "east"))
        for n in range(3)
    )
    services = (*configuration.services[:2], *stores)
    return build_configuration(services=services)


def test_each_prompt_keeps_its_store_and_prompts_spread_over_the_stores():
    """Guards against one store that evicts prompts while the others are empty."""
    bench = Bench(
        build_target("e1", "engines"), configuration=build_store_configuration()
    )
    for _ in range(2):
        for number in range(30):
            parts = f"a:40,b{number}:40,own:20"
            bench.send("/appraise/x", tokens=100, id=f"r{number}", parts=parts)
            bench.begin()
            bench.event(1)
            bench.end()
    first, second = bench.protocol.dispatches[:30], bench.protocol.dispatches[30:]
    counts = Counter(dispatch.fetch_from for dispatch in first)
    assert len(counts) == 3
    assert min(counts.values()) >= 4
    assert [d.fetch_from for d in first] == [d.fetch_from for d in second]
    assert all(d.save_to == d.fetch_from for d in first)
    assert all(d.save_to is None for d in second)


def test_prompt_is_saved_again_after_the_restart_of_its_store():
    """Guards against prompts that are computed again because a store lost them."""
    engine = build_target("e1", "engines")
    bench = Bench(engine)

    def send(request_id):
        bench.send("/appraise/x", tokens=100, id=request_id, parts="a:40,own:20")
        bench.begin()
        bench.event(1)
        bench.end()
        return bench.protocol.dispatches[-1]

    bench.forwarder.apply_fleet(build_view(engine, sequence=2, stores={"store": 7}))
    assert send("first").save_to == STORE_ADDRESS
    assert send("kept").save_to is None
    bench.forwarder.apply_fleet(build_view(engine, sequence=3, stores={"store": 0}))
    down = send("down")
    assert (down.fetch_from, down.save_to) == (None, None)
    bench.forwarder.apply_fleet(build_view(engine, sequence=4, stores={"store": 8}))
    assert send("back").save_to == STORE_ADDRESS


def test_first_view_of_a_store_keeps_its_known_parts():
    """Guards against prompts that are saved again after each election."""
    engine = build_target("e1", "engines")
    bench = Bench(engine)
    for number, stores in enumerate(({"store": 7}, {}, {"store": 7})):
        view = build_view(engine, sequence=number + 2, stores=stores)
        bench.forwarder.apply_fleet(view)
        bench.send("/appraise/x", tokens=100, id=f"r{number}", parts="a:40,own:20")
        bench.begin()
        bench.event(1)
        bench.end()
    saved = [d.save_to is not None for d in bench.protocol.dispatches]
    assert saved == [True, False, False]


def build_starting_bench():
    """Return a bench whose forwarder has no configuration yet."""
    return Bench()


def finish_start(bench):
    """Apply the configuration and the targets."""
    bench.forwarder.apply_routing(build_configuration())
    bench.forwarder.apply_fleet(build_view(*PLAIN))


def test_request_that_arrives_during_startup_is_served_afterwards():
    """Guards against callers that spend their retry on a startup of some 100 ms."""
    bench = build_starting_bench()
    caller = bench.send(deadline=2_000)
    assert caller.status is None
    bench.advance(200)
    finish_start(bench)
    bench.respond()
    assert (caller.status, caller.body) == (200, b"ok")
    bench.advance(1_000)
    assert len(bench.port.calls) == 1


def test_held_requests_are_answered_if_the_handling_of_one_fails(monkeypatch):
    """Guards against held requests that get neither an answer nor a refusal."""
    bench = Bench()
    callers = [bench.send(id=f"r{number}") for number in (1, 2)]
    monkeypatch.setattr(bench.forwarder._admission, "_admit", lambda *_: 1 / 0)
    bench.forwarder.apply_routing(build_configuration())
    with pytest.raises(ZeroDivisionError):
        bench.forwarder.apply_fleet(build_view(*PLAIN))
    bench.advance(400)
    assert callers[1].status == 503


def test_wait_for_startup_is_limited():
    """Guards against requests that are held although nothing can serve them."""
    bench = build_starting_bench()
    caller = bench.send(deadline=600)
    bench.advance(200)
    assert caller.status == 503
    assert caller.headers["code"] == "starting"
    assert caller.headers["verdict"] == "not-run"
    bench.advance(1_000)
    late = bench.send(deadline=2_000)
    assert late.status == 503
    finish_start(bench)
    assert bench.port.calls == []


def test_caller_that_disconnects_during_startup_is_not_served():
    """Guards against a request that runs after its caller disconnected."""
    bench = build_starting_bench()
    caller = bench.send(deadline=2_000)
    caller.exchange.is_open = False
    bench.forwarder.on_caller_left(caller.exchange)
    finish_start(bench)
    assert bench.port.calls == []
    assert caller.status is None


def test_response_without_id_on_a_reused_connection_is_not_trusted():
    """Guards against a duplicate refusal of an earlier request on the connection."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x")
    bench.call.reused = True
    bench.call.bytes_written = True
    bench.forwarder.on_response(bench.call, 503, [(b"not-run", b"1")])
    bench.end()
    assert len(bench.port.calls) == 1
    assert (caller.status, caller.headers["verdict"]) == (502, "may-have-run")


def test_second_attempt_at_a_target_uses_a_new_connection():
    """Guards against a late duplicate of a refusal with the same id."""
    bench = Bench(ENGINES[0], weights={MODEL: 2})
    bench.send("/reply/x", tokens=100)
    assert not bench.call.needs_new_connection
    bench.respond(421, b"", server="e1", weights=2)
    assert len(bench.port.calls) == 2
    assert bench.call.needs_new_connection


def test_second_attempt_at_an_address_uses_a_new_connection():
    """Guards against a duplicate refusal of the earlier server of an address."""
    targets = [build_target(name, address="10.0.0.1:80") for name in ("p1", "p2")]
    bench = Bench(*targets)
    bench.send("/claim/x")
    bench.respond(421, b"", server="p9")
    assert len(bench.port.calls) == 2
    assert bench.call.needs_new_connection


def test_comments_do_not_count_as_progress_of_a_stream():
    """Guards against a stalled stream that comments keep alive."""
    bench = Bench(*ENGINES)
    caller = bench.send("/reply/x", tokens=100)
    bench.begin()
    bench.event(1)
    for _ in range(4):
        bench.advance(400)
        bench.forwarder.on_data(bench.port.calls[0], b": ping\n\n")
    assert len(bench.port.calls) == 2
    assert caller.body.startswith(b"id: 1\ndata: x1\n\n: ping\n\n")


def test_slow_stream_is_not_interrupted():
    """Guards against an idle timeout for a slow stream that makes progress."""
    bench = Bench(*ENGINES)
    caller = bench.send("/reply/x", tokens=100, deadline=60_000)
    bench.begin()
    for number in range(1, 5):
        bench.event(number)
        bench.advance(1_000)
    bench.end()
    assert len(bench.port.calls) == 1 and caller.ended and not caller.aborted


def test_endless_comments_fail_the_attempt():
    """Guards against an endless stream of comments without events."""
    bench = Bench(*ENGINES)
    bench.send("/appraise/x", tokens=100)
    bench.begin()
    bench.event(1)
    first = bench.call
    for _ in range(80):
        if first not in bench.port.cancelled:
            bench.forwarder.on_data(first, b":" + b"x" * 1_000 + b"\n\n")
    assert first in bench.port.cancelled
