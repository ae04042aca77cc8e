"""Tests of the client against stand-ins without faults."""

import pytest

from papayacrank.targets.tests._bench import MESSAGES, plain_request, stream_request
from papayacrank.targets.tests._scripted import ScriptedServer
from papayacrank.testing import expected_output


def test_stream_is_complete_and_connection_is_kept(bench):
    """Guards against lost tokens and against a new connection for each request."""
    engine = bench.open_engine()
    expected, reason = expected_output(MESSAGES, typical_tokens=20)
    for request_id in ("r1", "r2"):
        usage = bench.run_request(stream_request(engine.address, request_id))
        assert bench.recorder.tokens[request_id] == list(enumerate(expected))
        assert usage.completion_tokens == len(expected)
        assert usage.finish_reason == reason
        bench.run_until(lambda: bench.client.idle_connections(engine.address) == 1)
    assert engine.connections_accepted_ == 1


def test_plain_response_is_complete(bench):
    """Guards against responses without status, headers or body."""
    service = bench.open_service()
    assert bench.run_request(plain_request(service.address)) is None
    status, headers = bench.recorder.heads["r1"]
    assert status == 200
    assert headers["X-Request-Id"] == "r1"
    assert b'"request_id": "r1"' in bench.recorder.data["r1"]


@pytest.mark.parametrize("is_refused", [False, True])
@pytest.mark.parametrize("is_stream", [False, True])
def test_rate_limit_is_read_from_each_response(bench, is_stream, is_refused):
    """Guards against a rate limit that only some kinds of responses tell."""
    target = bench.open_engine() if is_stream else bench.open_service()
    request = stream_request if is_stream else plain_request
    target.inject({"kind": "rate_limit", "per_s": "1.5"})
    if is_refused:
        target.inject({"kind": "refuse"})
    bench.run_request(request(target.address))
    statement, is_success = bench.recorder.rates["r1"]
    assert statement.per_s == 1.5
    assert is_success is not is_refused
    target.inject({"kind": "rate_limit"})
    bench.run_request(request(target.address, "r2"))
    assert bench.recorder.rates["r2"] == (None, True)


@pytest.mark.parametrize("is_kept", [False, True])
def test_request_with_an_expired_permit_is_not_sent(bench, is_kept):
    """Guards against a request that a suspended process sends after its time."""
    service = bench.open_service()
    if is_kept:
        bench.run_request(plain_request(service.address, "r0"))
        bench.run_until(lambda: bench.client.idle_connections(service.address) == 1)
    limit_ms = bench.clock.now_ms()
    request = plain_request(service.address, send_before_ms=limit_ms)
    failure = bench.run_request(request)
    assert failure.code == "permit_expired"
    assert not failure.bytes_written
    assert [entry.request_id for entry in service.journal] == ["r0"] * is_kept


def test_failure_states_when_the_connection_was_opened(bench):
    """Guards against a crash of a new start that is taken for one of the former."""
    with ScriptedServer(["read"]) as server:
        before_ms = bench.clock.now_ms()
        failure = bench.run_request(plain_request(server.address, idempotent=False))
        assert before_ms <= failure.opened_ms <= bench.clock.now_ms()


def test_request_with_a_permit_is_sent_once(bench):
    """Guards against a second sending on the permit of the first."""
    request_ends = [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "read"]
    with ScriptedServer(["read", *request_ends], ["read"]) as server:
        bench.run_request(plain_request(server.address, "r0"))
        bench.run_until(lambda: bench.client.idle_connections(server.address) == 1)
        limit_ms = bench.clock.now_ms() + 5_000
        request = plain_request(server.address, send_before_ms=limit_ms)
        failure = bench.run_request(request)
        assert failure.code == "connection_lost"
        assert failure.bytes_written
        assert len(server.received) == 2
