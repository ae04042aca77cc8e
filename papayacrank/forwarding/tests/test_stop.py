"""Tests of requests during a planned stop of their instance."""

import pytest

from papayacrank.kernel import Verdict
from papayacrank.messages import RequestKind

from .builders import Bench, build_configuration, build_route, build_target

TARGETS = (build_target("e1", "engines"), build_target("p1"))
STOP_MS = 7_600


def build_bench():
    """Return a bench with a route whose streams may take twice as long as a stop."""
    base = build_configuration()
    fields = {"resumable": True, "timeout_ms": 15_000}
    long_route = build_route("reply", RequestKind.STREAM, "engines", **fields)
    routes = (*base.routes[:2], long_route, *base.routes[3:])
    return Bench(*TARGETS, configuration=build_configuration(routes=routes))


def stop(bench):
    """Begin a planned stop."""
    bench.forwarder.begin_stop(bench.clock.now_ms() + STOP_MS)


def stream(bench, took_ms):
    """Run a stream that takes a given time."""
    caller = bench.send("/reply/x", b"POST", tokens=10)
    bench.begin(200)
    bench.event(1)
    bench.clock.advance(took_ms)
    bench.end()
    return caller


def is_refused(bench, path="/reply/x"):
    """Return whether a new request is refused as not run, without a call."""
    count = len(bench.port.calls)
    caller = bench.send(path, b"POST", tokens=10)
    refused = (
        caller.status == 503 and caller.headers["verdict"] == Verdict.NOT_RUN.value
    )
    return refused and len(bench.port.calls) == count


def test_stream_that_may_outlast_the_stop_is_refused():
    """Guards against a stream that is cut at the end of a planned stop (LOST)."""
    bench = build_bench()
    stream(bench, 500)
    stop(bench)
    assert is_refused(bench)


def test_refusal_of_a_stopping_instance_ends_its_connection():
    """Guards against a caller that returns to the stopping instance each time."""
    bench = build_bench()
    stop(bench)
    caller = bench.send("/reply/x", b"POST", tokens=10)
    assert caller.status == 503
    assert caller.headers["connection"] == "close"


def test_requests_that_end_before_the_stop_are_served():
    """Guards against an instance that refuses all requests from the start of a stop."""
    bench = build_bench()
    stop(bench)
    bench.clock.advance(3_000)
    for deadline in (2_500, 4_600):
        caller = bench.send("/claim/x", deadline=deadline)
        bench.respond(200)
        assert caller.status == 200
    assert is_refused(bench, "/claim/x")


@pytest.mark.parametrize(("sent", "status"), [(True, 502), (False, 503)])
def test_request_without_a_response_is_answered_at_the_end_of_the_stop(sent, status):
    """Guards against a request that gets neither an answer nor a refusal."""
    bench = build_bench()
    caller = bench.send("/claim/x")
    bench.call.bytes_written = sent
    bench.forwarder.end_open_requests()
    assert caller.status == status
    assert bench.port.cancelled == [bench.call]
    assert bench.forwarder.open_jobs == 0


def test_request_that_waits_for_a_grant_is_refused_at_the_end_of_the_stop():
    """Guards against a waiting request that gets neither an answer nor a refusal."""
    base = build_configuration()
    limited = type(base.workspaces[0])("w1", base.workspaces[0].key_digests, 10, 100)
    bench = Bench(*TARGETS, configuration=build_configuration(workspaces=(limited,)))
    bench.shares.apply_grants([], bench.clock.now_ms(), 3_000)
    caller = bench.send("/lookup/x")
    assert caller.status is None
    bench.forwarder.end_open_requests()
    assert caller.status == 503


def test_cut_stream_is_logged_as_cut_by_the_stop(capsys):
    """Guards against a cut by the instance that is logged as the caller's."""
    bench = build_bench()
    caller = bench.send("/reply/x", b"POST", tokens=10)
    bench.begin(200)
    bench.event(1)
    bench.forwarder.end_open_requests()
    assert caller.aborted
    assert "code=stopped" in capsys.readouterr().out
