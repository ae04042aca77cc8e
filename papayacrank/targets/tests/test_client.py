"""Tests of the client against stand-ins without faults."""

from papayacrank.targets.tests._bench import MESSAGES, plain_request, stream_request
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
