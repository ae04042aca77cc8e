"""Tests of the client against stand-in processes that are killed or suspended."""

import pytest

from papayacrank.targets import TargetTimeouts
from papayacrank.targets.tests._bench import MESSAGES, plain_request, stream_request
from papayacrank.testing import Direction, Fleet, expected_output

SLOW = {"decode_tokens_per_s": 50, "output_tokens": 40}
TIMEOUTS = TargetTimeouts(
    connect_ms=300, first_byte_ms=300, first_token_ms=300, progress_ms=300
)
OUTPUT, _ = expected_output(MESSAGES, typical_tokens=40)


@pytest.fixture
def fleet(tmp_path):
    """Fleet of stand-in processes, ended after the test."""
    with Fleet(tmp_path) as fleet:
        yield fleet


def start_stream(bench, address):
    """Start a stream and wait for its first five tokens."""
    request = stream_request(address, "r1", timeouts=TIMEOUTS)
    bench.client.submit(request)
    bench.run_until(lambda: len(bench.recorder.tokens.get("r1", ())) >= 5)


def finish_elsewhere(bench, address):
    """Resume the stream on another engine and return the text of all tokens."""
    tokens = list(bench.recorder.tokens["r1"])
    document = {"resume_from": len(tokens)}
    request = stream_request(address, "r2", document, first_offset=len(tokens))
    usage = bench.run_request(request)
    tokens += bench.recorder.tokens["r2"]
    assert [offset for offset, _ in tokens] == list(range(usage.completion_tokens))
    return [text for _, text in tokens]


def test_killed_engine_loses_no_token(bench, fleet):
    """Guards against a stream that hangs or has a gap when its engine is killed."""
    first = fleet.start_engine("engine-1", **SLOW)
    second = fleet.start_engine("engine-2", **SLOW)
    start_stream(bench, first.address)
    fleet.kill("engine-1")
    bench.run_until(lambda: "r1" in bench.recorder.outcomes)
    assert bench.recorder.outcomes["r1"].code == "truncated_answer"
    assert finish_elsewhere(bench, second.address) == OUTPUT
    refused = bench.run_request(plain_request(first.address, "r3"))
    assert (refused.code, refused.bytes_written) == ("connect_failed", False)


def test_suspended_engine_times_out_and_its_late_tokens_are_ignored(bench, fleet):
    """Guards against tokens delivered twice when a suspended engine continues."""
    first = fleet.start_engine("engine-1", **SLOW)
    second = fleet.start_engine("engine-2", **SLOW)
    start_stream(bench, first.address)
    fleet.pause("engine-1")
    bench.run_until(lambda: "r1" in bench.recorder.outcomes)
    assert bench.recorder.outcomes["r1"].code == "progress_timeout"
    count = len(bench.recorder.tokens["r1"])
    fleet.resume("engine-1")
    assert finish_elsewhere(bench, second.address) == OUTPUT
    assert len(bench.recorder.tokens["r1"]) == count
    record = fleet.stats("engine-1")["requests"][0]
    assert (record["cancelled"], record["finished"]) == (True, False)


@pytest.mark.parametrize("direction", list(Direction))
def test_lost_response_is_never_reported_as_not_run(bench, fleet, direction):
    """Guards against reporting an action as not run when only its response was lost."""
    service = fleet.start_service("service-1")
    relay = fleet.start_relay(service.address)
    relay.freeze((direction,))
    request = plain_request(
        relay.address,
        path="/claims",
        method="POST",
        idempotent=False,
        timeouts=TIMEOUTS,
    )
    failure = bench.run_request(request)
    assert (failure.code, failure.bytes_written) == ("first_byte_timeout", True)
    ran = direction is Direction.TO_CLIENT
    assert len(fleet.journal("service-1")) == int(ran)


def test_delayed_link_delivers_everything(bench, fleet):
    """Guards against lost tokens on a slow but working link."""
    engine = fleet.start_engine("engine-1", output_tokens=40)
    relay = fleet.start_relay(engine.address)
    relay.delay(100)
    usage = bench.run_request(stream_request(relay.address, "r1"))
    assert usage.completion_tokens == len(OUTPUT)
    assert [text for _, text in bench.recorder.tokens["r1"]] == OUTPUT
