"""Tests of requests to targets with a request rate limit."""

import pytest

from papayacrank.messages import (
    PermitReply,
    PermitRequest,
    PermitReturn,
    RateReport,
    TargetRate,
    TargetRates,
)

from .builders import Bench, build_target, build_view

PLAIN = (build_target("p1", born_ms=5), build_target("p2", born_ms=5))
ENGINES = (build_target("e1", "engines"), build_target("e2", "engines"))
LIMITED = (build_target("p1", born_ms=5),)
PER_S = 2.0


def limit(bench, **rates):
    """Make targets limited, as the leader has decided."""
    table = [TargetRate(name, 0, per_s, 1) for name, per_s in rates.items()]
    bench.permits.receive(TargetRates(1, 0, 1, table))


def reply(bench, granted=True, wait_ms=0, per_s=PER_S):
    """Reply to the last permit request."""
    request = bench.leader_messages[-1]
    assert isinstance(request, PermitRequest)
    bench.permits.receive(
        PermitReply(
            1,
            request.number,
            request.sent_ms,
            request.known.target,
            granted,
            wait_ms,
            per_s,
            1,
        )
    )


@pytest.fixture
def bench():
    """Return a bench with one limited plain target."""
    bench = Bench(*LIMITED)
    limit(bench, p1=PER_S)
    return bench


def test_request_to_a_limited_target_is_sent_with_a_permit(bench):
    """Guards against requests that no leader has counted."""
    caller = bench.send()
    assert bench.port.calls == []
    reply(bench)
    assert bench.call.send_before_ms is not None
    bench.respond(rate=PER_S)
    assert caller.status == 200


@pytest.mark.parametrize("path", ["/lookup/x", "/claim/x", "/reply/x"])
def test_all_kinds_of_requests_need_a_permit(path):
    """Guards against actions or streams beyond a limit."""
    bench = Bench(*LIMITED, build_target("e1", "engines"))
    limit(bench, p1=PER_S, e1=PER_S)
    bench.send(path, tokens=100 if path == "/reply/x" else None)
    assert bench.port.calls == []
    assert isinstance(bench.leader_messages[-1], PermitRequest)


def test_retry_needs_a_permit():
    """Guards against retries beyond a limit."""
    bench = Bench(*PLAIN)
    bench.send()
    limit(bench, p1=PER_S, p2=PER_S)
    bench.respond(500)
    assert len(bench.port.calls) == 1
    assert isinstance(bench.leader_messages[-1], PermitRequest)


def test_request_without_a_permit_moves_to_another_target():
    """Guards against refusals while another target is free."""
    bench = Bench(*PLAIN)
    limit(bench, p1=PER_S)
    for number in range(20):
        caller = bench.send(id=f"r{number}")
        if bench.leader_messages:
            reply(bench, granted=False, wait_ms=5_000)
            bench.leader_messages.clear()
        assert bench.target_of(bench.call) == "p2"
        bench.respond()
        assert caller.status == 200


def test_limited_target_is_not_treated_as_failed():
    """Guards against a limit that ejects a sound target."""
    bench = Bench(*PLAIN)
    for number in range(30):
        bench.send(id=f"r{number}")
        if bench.leader_messages and not bench.call.is_open:
            reply(bench)
        bench.respond(rate=PER_S)
        bench.advance(500)
        bench.leader_messages.clear()
    assert not bench.forwarder.fleet.health.is_ejected("p1", bench.clock.now_ms())


def test_refused_request_learns_when_to_return(bench):
    """Guards against callers that retry before a permit can be free."""
    caller = bench.send()
    reply(bench, granted=False, wait_ms=1_500)
    assert caller.status == 503
    assert caller.headers["code"] == "targets_limited"
    assert caller.headers["verdict"] == "not-run"
    assert 1_500 <= int(caller.headers["retry-after-ms"]) <= 2_000


def test_request_is_refused_at_once_if_no_permit_can_come_in_time(bench):
    """Guards against requests that are held although their refusal is known."""
    bench.send()
    reply(bench, granted=False, wait_ms=1_500)
    asked = len(bench.leader_messages)
    caller = bench.send(id="r2")
    assert caller.status == 503
    assert len(bench.leader_messages) == asked


def test_request_waits_for_a_permit_no_longer_than_its_objective_allows(bench):
    """Guards against requests that are late because of a permit."""
    bench.send()
    request = bench.leader_messages[-1]
    assert request.max_wait_ms == 250
    reply(bench, wait_ms=200)
    assert bench.port.calls == []
    bench.advance(199)
    assert bench.port.calls == []
    bench.advance(1)
    assert len(bench.port.calls) == 1


def test_request_is_refused_if_the_leader_does_not_reply(bench):
    """Guards against requests that wait for a leader that is gone."""
    caller = bench.send()
    bench.advance(150)
    assert caller.status == 503
    assert caller.headers["verdict"] == "not-run"


def test_permit_of_a_caller_who_left_is_returned(bench):
    """Guards against permits that are wasted on callers who have left."""
    caller = bench.send()
    reply(bench, wait_ms=200)
    bench.forwarder.on_caller_left(caller.exchange)
    assert isinstance(bench.leader_messages[-1], PermitReturn)
    bench.advance(500)
    assert bench.port.calls == []


@pytest.mark.parametrize("sent", [False, True])
def test_permit_is_returned_only_if_nothing_was_sent(bench, sent):
    """Guards against a returned permit whose request may have reached the target."""
    bench.send()
    reply(bench)
    bench.fail("connection_lost", sent=sent)
    returned = [m for m in bench.leader_messages if isinstance(m, PermitReturn)]
    assert len(returned) == (0 if sent else 1)


def test_permit_is_not_used_for_a_target_that_is_leaving(bench):
    """Guards against a request that is sent after its target announced its removal."""
    caller = bench.send()
    reply(bench, wait_ms=200)
    bench.forwarder.apply_fleet(
        build_view(build_target("p1", born_ms=5, leaving=True), sequence=2)
    )
    bench.advance(200)
    assert bench.port.calls == []
    assert caller.status == 503
    assert any(isinstance(m, PermitReturn) for m in bench.leader_messages)


def test_limit_that_has_ended_needs_no_permit(bench):
    """Guards against requests that are refused for a limit that has ended."""
    bench.send()
    reply(bench, per_s=None)
    assert len(bench.port.calls) == 1
    bench.send(id="r2")
    assert len(bench.port.calls) == 2


def test_response_that_starts_a_stream_states_the_limit():
    """Guards against a limit that is learned at the end of a stream only."""
    bench = Bench(*ENGINES)
    bench.send("/reply/x", tokens=100)
    name = bench.target_of(bench.call)
    bench.begin(rate=PER_S)
    assert bench.permits.client.rate_of(name) == PER_S


@pytest.mark.parametrize(
    ("status", "fields"),
    [(421, {}), (200, {"spoiled": 1}), (200, {"id": "r0"}), (421, {"server": "p9"})],
)
def test_response_of_another_process_does_not_end_a_limit(bench, status, fields):
    """Guards against the response of a process at the same address."""
    bench.send()
    reply(bench)
    bench.leader_messages.clear()
    bench.begin(status, **fields)
    assert bench.leader_messages == []
    assert bench.permits.client.rate_of("p1") == PER_S


@pytest.mark.parametrize(("status", "is_reported"), [(200, True), (500, False)])
def test_success_without_a_limit_is_reported(bench, status, is_reported):
    """Guards against a limit that is kept after its end, or ended by a failure."""
    bench.send("/claim/x")
    reply(bench)
    bench.leader_messages.clear()
    bench.begin(status)
    reports = [m for m in bench.leader_messages if isinstance(m, RateReport)]
    assert len(reports) == is_reported
    assert all(report.observations[0].per_s is None for report in reports)


def test_limit_of_a_removed_target_is_forgotten(bench):
    """Guards against the limit of a process that used a name before."""
    bench.forwarder.apply_fleet(build_view(build_target("p2"), sequence=2))
    assert bench.permits.client.rate_of("p1") is None


def test_waiting_for_a_permit_counts_in_the_placement():
    """Guards against a limited engine that looks idle and attracts all requests."""
    bench = Bench(*ENGINES)
    limit(bench, e1=PER_S, e2=PER_S)
    bench.send("/reply/x", tokens=100)
    refused = bench.leader_messages[-1].known.target
    reply(bench, granted=False, wait_ms=240)
    other = bench.leader_messages[-1].known.target
    assert other != refused
    reply(bench)
    assert bench.target_of(bench.call) == other
    bench.send("/reply/y", tokens=100, id="r2")
    assert bench.leader_messages[-1].known.target == other
