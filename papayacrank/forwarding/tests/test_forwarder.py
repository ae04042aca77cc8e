"""Tests of the life of forwarded requests."""

from collections import Counter

import pytest

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


def limited(rate, burst):
    """Return a configuration whose only workspace has a rate."""
    from papayacrank.control import digest_key

    workspace = WorkspaceProfile(
        "w1", (digest_key(KEY),), rate_per_s=rate, burst=burst, default_cost=200
    )
    return build_configuration(workspaces=(workspace,))


def test_answer_is_passed_on_unchanged():
    """Guards against lost headers, and against hop-by-hop headers that leak."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    bench.answer(200, b"body", seal="s1", connection="x-hop", x_hop="1")
    assert (caller.status, caller.body, caller.ended) == (200, b"body", True)
    assert caller.headers["seal"] == "s1"
    assert "x-hop" not in caller.headers
    assert bench.forwarder.open_jobs == 0


def test_failed_idempotent_request_runs_at_another_target():
    """Guards against a failure that a second target would have served."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    first = bench.target_of(bench.call)
    bench.answer(500, b"error")
    assert bench.target_of(bench.call) != first
    bench.answer(200)
    assert caller.status == 200


def test_last_failure_of_a_target_is_passed_on():
    """Guards against an answer of a target that is replaced by one of our own."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    bench.answer(500, b"first")
    bench.answer(500, b"second")
    assert (caller.status, caller.body) == (500, b"second")
    assert len(bench.port.calls) == 2


@pytest.mark.parametrize("path", ["/claim/x", "/appraise/x"])
def test_request_that_may_have_run_is_not_sent_again(path):
    """Guards against an action that runs twice."""
    bench = Bench(*PLAIN, *ENGINES)
    caller = bench.send(path, tokens=100)
    bench.fail("connection_lost", sent=True)
    assert len(bench.port.calls) == 1
    assert caller.status == 502
    assert caller.headers["verdict"] == "may-have-run"


def test_request_that_was_not_sent_goes_to_another_target():
    """Guards against a lost action where a connection was refused."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x")
    first = bench.target_of(bench.call)
    bench.fail("connect_failed", sent=False)
    assert bench.target_of(bench.call) != first
    bench.answer(200)
    assert caller.status == 200


def test_refusal_of_a_target_moves_the_request_on():
    """Guards against a refusal while another target has room."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x")
    bench.answer(503, b"", not_run=1)
    bench.answer(200)
    assert caller.status == 200


def test_refusal_of_all_targets_is_a_true_refusal():
    """Guards against a refusal without a time to come back."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x")
    while not caller.ended:
        bench.answer(503, b"", not_run=1)
    assert caller.status == 503
    assert caller.headers["verdict"] == "not-run"
    assert int(caller.headers["retry-after-ms"]) > 0


def test_refusal_after_a_run_does_not_claim_that_nothing_ran():
    """Guards against a 503 for a request that one target may have run."""
    bench = Bench(*PLAIN)
    caller = bench.send("/lookup/x")
    bench.fail("connection_lost", sent=True)
    while not caller.ended:
        bench.answer(503, b"", not_run=1)
    assert caller.status == 502
    assert caller.headers["verdict"] == "may-have-run"


def test_stream_goes_on_at_another_target_without_gap_or_repetition():
    """Guards against events that are missing, repeated or torn after a crash."""
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


def test_stream_that_cannot_be_resumed_does_not_look_complete():
    """Guards against a cut stream that ends like a whole one."""
    bench = Bench(*ENGINES)
    caller = bench.send("/appraise/x", tokens=100)
    bench.begin()
    bench.event(1)
    bench.fail("connection_lost")
    assert caller.aborted
    assert not caller.ended
    assert len(bench.port.calls) == 1


def test_truncated_stream_is_not_ended():
    """Guards against a stream whose last event is cut and that ends normally."""
    bench = Bench(*ENGINES)
    caller = bench.send("/appraise/x", tokens=100)
    bench.begin()
    bench.event(1)
    bench.forwarder.on_data(bench.call, b"id: 2\nda")
    bench.end()
    assert caller.aborted


def test_attempts_stay_within_those_of_the_route():
    """Guards against one request that runs at more targets than allowed."""
    bench = Bench(build_target("p1"), build_target("p2"), build_target("p3"))
    caller = bench.send()
    bench.fail("connection_lost")
    bench.fail("connection_lost")
    assert len(bench.port.calls) == 2
    assert caller.status == 502


def test_repeats_stay_within_the_budget():
    """Guards against repeats that multiply the load when a service fails."""
    bench = Bench(*PLAIN)
    for number in range(200):
        bench.send(id=f"r{number}")
        while bench.port.calls and bench.call.is_open:
            bench.fail("connection_lost")
    assert len(bench.port.calls) - 200 <= 0.2 * 200 + 50


def test_caller_that_leaves_stops_the_work():
    """Guards against targets that work for callers who are gone."""
    bench = Bench(*ENGINES)
    caller = bench.send("/reply/x", tokens=100)
    bench.forwarder.on_caller_left(caller.exchange)
    assert bench.port.cancelled == [bench.call]
    assert bench.forwarder.open_jobs == 0
    assert bench.forwarder.table.load("e1").running == 0


def test_time_of_the_request_ends_with_an_answer():
    """Guards against a request that is held beyond the time of its route."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x", deadline=300)
    bench.call.bytes_written = True
    bench.advance(290)
    assert caller.status == 504
    assert bench.port.cancelled == [bench.call]


def test_time_that_is_left_is_passed_on():
    """Guards against a target that works longer than the caller waits."""
    bench = Bench(*PLAIN)
    bench.send(deadline=900)
    bench.advance(250)
    bench.fail("connection_lost")
    assert [d.deadline_ms for d in bench.protocol.dispatches] == [900, 650]


def test_silent_target_is_left_for_another():
    """Guards against a lookup that waits for a target that hangs."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    hanging = bench.call
    hanging.bytes_written = True
    bench.advance(1_000)
    assert bench.port.cancelled == [hanging]
    bench.answer(200)
    assert caller.status == 200


def test_silent_target_keeps_an_action():
    """Guards against an action that is sent twice because its target is slow."""
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
def test_request_without_right_or_route_is_refused(path, key, status):
    """Guards against requests that run without a key in force or a route."""
    bench = Bench(*PLAIN)
    caller = bench.send(path, key=key)
    assert caller.status == status
    assert bench.port.calls == []


def test_public_route_needs_no_key():
    """Guards against a key that is asked for where none is needed."""
    bench = Bench(*PLAIN)
    bench.send("/open/x", key=None)
    assert bench.protocol.dispatches[0].workspace is None


def test_process_without_configuration_says_when_to_come_back():
    """Guards against a 404 or 401 from a process that knows no configuration."""
    bench = Bench()
    caller = bench.send()
    assert caller.status is None
    bench.advance(350)
    assert caller.status == 503
    assert 0 < int(caller.headers["retry-after-ms"]) <= 1_000


def test_request_over_the_rate_is_refused_with_the_time_to_come_back():
    """Guards against a workspace above its rate, and against a lost refusal."""
    bench = Bench(*PLAIN, configuration=limited(1_000, 1_000))
    bench.grant("w1", 300)
    served = bench.send(id="a")
    bench.answer()
    over = bench.send(id="b")
    bench.advance(300)
    bench.forwarder.poll_quota()
    assert (served.status, over.status) == (200, 429)
    assert int(over.headers["retry-after-ms"]) >= 100


def test_request_waits_shortly_for_a_grant():
    """Guards against a refusal while the leader is about to grant tokens."""
    bench = Bench(*PLAIN, configuration=limited(1_000, 1_000))
    bench.grant("w1", 0)
    caller = bench.send()
    assert bench.port.calls == []
    bench.grant("w1", 200)
    bench.answer()
    assert caller.status == 200


def test_engine_that_changed_its_weights_is_asked_again_under_the_new_ones():
    """Guards against refusals while the view lags behind the weights."""
    bench = Bench(build_target("e1", "engines"), weights={MODEL: 2})
    caller = bench.send("/appraise/x", tokens=100)
    bench.answer(421, b"", server="e1")
    assert bench.protocol.dispatches[-1].weights_version == 2
    bench.begin()
    bench.event(1)
    bench.end()
    assert caller.ended


def test_address_of_another_target_is_not_used():
    """Guards against a request that runs at a service that took the address."""
    bench = Bench(*ENGINES)
    bench.send("/appraise/x", tokens=100)
    first = bench.target_of(bench.call)
    bench.answer(421, b"", server="other")
    assert bench.target_of(bench.call) != first


def test_salt_separates_versions_and_isolated_workspaces():
    """Guards against cache of other weights or of another workspace."""
    bench = Bench(build_target("e1", "engines", version=3), weights={MODEL: 3})
    bench.send("/appraise/x", tokens=100, id="a")
    bench.send("/appraise/x", tokens=100, id="b", key="secret-2")
    salts = [d.cache_salt for d in bench.protocol.dispatches]
    assert salts == ["3", "w2/3"]
    assert [d.weights_version for d in bench.protocol.dispatches] == [3, 3]


def test_priority_of_the_workspace_precedes_that_of_the_route():
    """Guards against urgent workspaces behind the urgent routes of others."""
    bench = Bench(build_target("e1", "engines"))
    bench.send("/appraise/x", tokens=100, id="a", key="secret-2")
    bench.send("/appraise/x", tokens=100, id="b")
    first, second = (d.urgency for d in bench.protocol.dispatches)
    assert first > second


def test_spoiled_answer_is_no_success():
    """Guards against bytes of a faulty target that reach a caller as a success."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x")
    bench.answer(200, spoiled=1)
    assert caller.status == 502


def test_answer_to_another_request_is_recognized():
    """Guards against crossed answers."""
    bench = Bench(*PLAIN)
    bench.send(id="mine")
    assert not bench.forwarder.matches_call(bench.call, 200, [(b"id", b"other")])
    assert bench.forwarder.matches_call(bench.call, 200, [(b"id", b"mine")])


def test_leaving_and_loading_targets_get_nothing():
    """Guards against new work for targets that are being removed."""
    bench = Bench(build_target("p1", leaving=True), build_target("p2"))
    for number in range(10):
        bench.send(id=f"r{number}")
        assert bench.target_of(bench.call) == "p2"
    bench.forwarder.apply_fleet(
        build_view(build_target("p2", loading=True), sequence=2)
    )
    assert bench.send().status == 503


def test_load_is_counted_down_however_an_attempt_ends():
    """Guards against a load that grows until a target gets no requests."""
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
                bench.answer(503, b"", not_run=1)
        else:
            bench.forwarder.on_caller_left(caller.exchange)
    for target in ENGINES:
        load = bench.forwarder.table.load(target.name)
        assert (load.running, load.prefill_tokens, load.memory_tokens) == (0, 0, 0)


def test_parts_that_the_store_has_are_not_saved_again():
    """Guards against a store whose link is busy with what it already has."""
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


def test_prompts_spread_over_the_stores_and_stay_at_theirs():
    """Guards against one store that drops prompts while the others are empty."""
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
    """Guards against prompts that are read again because a store has lost them."""
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


def test_first_check_of_a_store_forgets_nothing():
    """Guards against prompts that are saved twice after each election."""
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


def begin_start():
    """Return a forwarder that knows no configuration yet."""
    return Bench()


def complete_start(bench):
    """Let the control group answer."""
    bench.forwarder.apply_routing(build_configuration())
    bench.forwarder.apply_fleet(build_view(*PLAIN))


def test_request_that_arrives_during_a_start_is_served_after_it():
    """Guards against callers who use up their retry on a start of some 100 ms."""
    bench = begin_start()
    caller = bench.send(deadline=2_000)
    assert caller.status is None
    bench.advance(200)
    complete_start(bench)
    bench.answer()
    assert (caller.status, caller.body) == (200, b"ok")
    bench.advance(1_000)
    assert len(bench.port.calls) == 1


def test_wait_for_a_start_is_short():
    """Guards against requests that are held while nothing can serve them."""
    bench = begin_start()
    caller = bench.send(deadline=600)
    bench.advance(200)
    assert caller.status == 503
    assert caller.headers["code"] == "starting"
    assert caller.headers["verdict"] == "not-run"
    bench.advance(1_000)
    late = bench.send(deadline=2_000)
    assert late.status == 503
    complete_start(bench)
    assert bench.port.calls == []


def test_caller_that_leaves_during_a_start_is_not_served():
    """Guards against work for a caller that is gone."""
    bench = begin_start()
    caller = bench.send(deadline=2_000)
    caller.exchange.is_open = False
    bench.forwarder.on_caller_left(caller.exchange)
    complete_start(bench)
    assert bench.port.calls == []
    assert caller.status is None


def test_answer_without_an_id_on_a_kept_connection_promises_nothing():
    """Guards against a second copy of a refusal that is taken for this request's."""
    bench = Bench(*PLAIN)
    caller = bench.send("/claim/x")
    bench.call.reused = True
    bench.call.bytes_written = True
    bench.forwarder.on_response(bench.call, 503, [(b"not-run", b"1")])
    bench.end()
    assert len(bench.port.calls) == 1
    assert (caller.status, caller.headers["verdict"]) == (502, "may-have-run")


def test_second_sending_to_a_target_takes_a_new_connection():
    """Guards against a late copy of a refusal with the same id."""
    bench = Bench(ENGINES[0], weights={MODEL: 2})
    bench.send("/reply/x", tokens=100)
    assert not bench.call.needs_new_connection
    bench.answer(421, b"", server="e1", weights=2)
    assert len(bench.port.calls) == 2
    assert bench.call.needs_new_connection


def test_comments_are_no_progress_of_a_stream():
    """Guards against a stalled stream that is kept alive by a byte now and then."""
    bench = Bench(*ENGINES)
    caller = bench.send("/reply/x", tokens=100)
    bench.begin()
    bench.event(1)
    for _ in range(4):
        bench.advance(400)
        bench.forwarder.on_data(bench.port.calls[0], b": ping\n\n")
    assert len(bench.port.calls) == 2
    assert caller.body.startswith(b"id: 1\ndata: x1\n\n: ping\n\n")


def test_slow_stream_of_events_goes_on():
    """Guards against a sound stream that is cut for its slowness."""
    bench = Bench(*ENGINES)
    caller = bench.send("/reply/x", tokens=100, deadline=60_000)
    bench.begin()
    for number in range(1, 5):
        bench.event(number)
        bench.advance(1_000)
    bench.end()
    assert len(bench.port.calls) == 1 and caller.ended and not caller.aborted


def test_endless_comments_end_an_attempt():
    """Guards against a stream of comments without an event."""
    bench = Bench(*ENGINES)
    bench.send("/appraise/x", tokens=100)
    bench.begin()
    bench.event(1)
    first = bench.call
    for _ in range(80):
        if first not in bench.port.cancelled:
            bench.forwarder.on_data(first, b":" + b"x" * 1_000 + b"\n\n")
    assert first in bench.port.cancelled
