"""Tests of the client against stand-ins with injected faults."""

import json
import socket
import struct
import time
from dataclasses import replace

import pytest
from hypothesis import given
from structlog.testing import capture_logs

from papayacrank.targets import (
    Delivery,
    ResumeStep,
    StreamAssembler,
    TargetTimeouts,
)
from papayacrank.targets.tests._bench import (
    FAST,
    MESSAGES,
    plain_request,
    stream_request,
)
from papayacrank.targets.tests._scripted import ScriptedServer
from papayacrank.testing import (
    EngineSpeed,
    Relay,
    ScriptedTarget,
    build_endless_script,
    expected_output,
)
from papayacrank.transport import Connection
from papayacrank.transport.tests.http_messages import (
    RESPONSES,
    SHARED_PORT_SETTINGS,
    corrupted_messages,
)

SHORT_TIMEOUTS = TargetTimeouts(
    connect_ms=200, first_byte_ms=200, first_token_ms=200, progress_ms=200
)
# With 200 ms, tests of several attempts timed out on a machine under other load.
LONG_TIMEOUTS = TargetTimeouts(
    connect_ms=600, first_byte_ms=600, first_token_ms=600, progress_ms=600
)
# 120 concurrent requests took more than 600 ms on a machine with 40 busy processes.
CONCURRENT_TIMEOUTS = TargetTimeouts(
    connect_ms=2_000, first_byte_ms=2_000, first_token_ms=2_000, progress_ms=2_000
)
OUTPUT, _ = expected_output(MESSAGES, typical_tokens=20)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"


def run_stream(bench, engines):
    """Run a stream to its end over several attempts, as the entry process does.

    Returns
    -------
    tuple of (list of str, str)
        Outcome of each attempt, and the whole output.
    """
    assembler = StreamAssembler(max_output_tokens=512)
    outcomes = []
    engine = 0
    while True:
        attempt_id = f"r1#{len(outcomes)}"
        point = assembler.resume_point
        request = stream_request(
            engines[engine].address,
            attempt_id,
            {"resume_from": point.offset},
            first_offset=point.offset,
            timeouts=LONG_TIMEOUTS,
        )
        outcome = bench.run_request(request)
        outcomes.append(getattr(outcome, "code", "finished"))
        for offset, text in bench.recorder.tokens.get(attempt_id, ()):
            assert assembler.accept(offset, text) is Delivery.DELIVER
        if outcomes[-1] == "finished":
            assert assembler.finish(outcome.completion_tokens) is Delivery.DELIVER
            return outcomes, assembler.resume_point.text
        step = assembler.next_step(f"engine-{engine}", engine_usable=True)
        assert step is not ResumeStep.END_WITH_ERROR
        if step is ResumeStep.OTHER_ENGINE:
            engine = (engine + 1) % len(engines)


@pytest.mark.parametrize(
    ("how", "code"),
    [
        ("reset", "truncated_answer"),
        ("close", "truncated_answer"),
        ("end", "truncated_answer"),
        ("stall", "progress_timeout"),
    ],
)
def test_stream_stopped_in_the_middle_is_resumed(bench, how, code):
    """Guards against lost or repeated tokens when a stream stops or stalls."""
    engine = bench.open_engine()
    engine.inject({"kind": "stop_mid_stream", "how": how, "after": 4})
    outcomes, text = run_stream(bench, [engine])
    assert outcomes == [code, "finished"]
    assert text == "".join(OUTPUT)


def test_stream_continues_on_another_engine(bench):
    """Guards against a stream that fails although another engine could resume it."""
    first, second = bench.open_engine(), bench.open_engine()
    first.inject({"kind": "stop_mid_stream", "after": 4, "count": 2})
    outcomes, text = run_stream(bench, [first, second])
    assert outcomes == ["truncated_answer", "truncated_answer", "finished"]
    assert text == "".join(OUTPUT)


def test_crashed_engine_fails_its_streams_and_serves_again(bench):
    """Guards against a stream that hangs when its engine crashes.

    The engine is slow because, at the usual speed of the tests, a process that had
    waited for the CPU wrote its whole output before the crash.
    """
    engine = bench.open_engine(speed=replace(FAST, decode_tokens_per_s=20))
    bench.recorder.on_token = lambda request_id, offset: (
        engine.inject({"kind": "crash"})
        if (request_id, offset) == ("r1#0", 3)
        else None
    )
    outcomes, text = run_stream(bench, [engine])
    assert outcomes == ["truncated_answer", "finished"]
    assert text == "".join(OUTPUT)


@pytest.mark.parametrize("kind", ["skip_token", "repeat_token"])
def test_skipped_and_repeated_tokens_fail_the_attempt(bench, kind):
    """Guards against an output with missing or repeated tokens."""
    engine = bench.open_engine()
    engine.inject({"kind": kind, "at": 3})
    outcomes, text = run_stream(bench, [engine])
    assert outcomes == ["offset_gap", "finished"]
    assert text == "".join(OUTPUT)


def test_swapped_stream_is_not_delivered(bench):
    """Guards against delivering the output of another request."""
    engine = bench.open_engine()
    engine.inject({"kind": "swap_answers"})
    failure = bench.run_request(stream_request(engine.address))
    assert failure.code == "wrong_answer"
    assert failure.bytes_written
    assert "r1" not in bench.recorder.tokens


def test_swapped_plain_response_is_not_delivered(bench):
    """Guards against delivering the response to another caller."""
    service = bench.open_service()
    bench.run_request(plain_request(service.address, "r1"))
    service.inject({"kind": "swap_answers"})
    failure = bench.run_request(plain_request(service.address, "r2"))
    assert failure.code == "wrong_answer"
    assert "r2" not in bench.recorder.heads
    assert "r2" not in bench.recorder.data
    assert bench.client.open_connections == 0


def test_response_without_a_required_id_is_rejected(bench):
    """Guards against a response without ID from a service that may swap responses."""
    with ScriptedServer(["read", HEAD + b"hello", "hold"]) as server:
        request = plain_request(server.address, require_echo=True)
        assert bench.run_request(request).code == "wrong_answer"


def test_late_response_never_reaches_the_next_request(bench):
    """Guards against delivering an abandoned response to a later request."""
    service = bench.open_service()
    service.inject({"kind": "delay", "ms": 300})
    request = plain_request(service.address, "r1", timeouts=SHORT_TIMEOUTS)
    assert bench.run_request(request).code == "first_byte_timeout"
    assert bench.run_request(plain_request(service.address, "r2")) is None
    bench.run_ms(200)
    assert b'"request_id": "r2"' in bench.recorder.data["r2"]
    assert "r1" not in bench.recorder.data
    assert [entry.request_id for entry in service.journal] == ["r2", "r1"]


def test_cancelled_attempt_fires_no_further_events(bench):
    """Guards against a response to a cancelled request."""
    service = bench.open_service()
    service.inject({"kind": "delay", "ms": 50})
    bench.client.submit(plain_request(service.address, "r1"))
    bench.run_ms(20)
    bench.client.cancel("r1")
    bench.run_ms(100)
    assert bench.recorder.outcomes == {}
    assert bench.client.active == 0
    assert bench.client.open_connections == 0


def test_cancel_reaches_the_engine(bench):
    """Guards against an engine that continues a cancelled request."""
    engine = bench.open_engine(EngineSpeed(decode_tokens_per_s=20, output_tokens=100))
    request = stream_request(engine.address)
    bench.client.submit(request)
    bench.run_until(lambda: "r1" in bench.recorder.tokens)
    bench.client.cancel("r1")
    bench.run_until(lambda: not engine.active_)
    record = engine.records[0]
    assert record.cancelled
    assert not record.finished
    bench.run_until(lambda: list(engine.cancel_requests_) == ["r1"])


def test_cancel_does_not_end_the_next_attempt_with_the_same_id(bench):
    """Guards against a late cancel request that ends the resumed stream."""
    engine = bench.open_engine()
    engine.inject({"kind": "delay", "ms": 100, "path": "/v1/cancel"})
    document = {"request_id": "r1"}
    first = stream_request(engine.address, "r1#0", document, echo_id="r1")
    bench.client.submit(first)
    bench.run_until(lambda: engine.active_)
    bench.client.cancel("r1#0")
    request = stream_request(engine.address, "r1#1", document, echo_id="r1")
    usage = bench.run_request(request)
    assert usage.completion_tokens == len(OUTPUT)
    assert len(engine.cancel_requests_) == 1


def test_refused_connection_wrote_nothing(bench):
    """Guards against reporting an unsent request as possibly run."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    failure = bench.run_request(plain_request(address))
    assert (failure.code, failure.bytes_written) == ("connect_failed", False)


def test_unanswered_connection_attempt_wrote_nothing(bench):
    """Guards against a request that waits without limit for an unreachable host."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as sock:
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(sock.getsockname())
        time.sleep(0.05)
        failure = bench.run_request(plain_request(address, timeouts=SHORT_TIMEOUTS))
        for filler in fillers:
            filler.close()
    assert (failure.code, failure.bytes_written) == ("connect_timeout", False)


def test_half_written_request_is_reported_and_does_not_run(bench):
    """Guards against reporting a partly sent request as not sent."""
    service = bench.open_service()
    with Relay(service.address) as relay:
        body = b"x" * 30_000_000
        request = plain_request(relay.address, method="POST", body=body)
        bench.client.submit(request)
        bench.run_until(lambda: relay.connection_count == 1)
        bench.run_ms(5)
        relay.cut()
        bench.run_until(lambda: "r1" in bench.recorder.outcomes)
    failure = bench.recorder.outcomes["r1"]
    assert failure.bytes_written
    assert failure.code in ("write_failed", "connection_lost")
    assert service.journal == []


def test_request_that_was_sent_in_part_may_have_run(bench):
    """Guards against "not run" for a request whose sending fails midway."""

    def script(sock, data, number):
        if number == 1:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            sock.close()

    for number in range(20):
        target = ScriptedTarget(script)
        request = plain_request(
            target.address,
            f"r{number}",
            method="POST",
            body=b"x" * 8_000_000,
            idempotent=False,
        )
        assert bench.run_request(request).bytes_written


def test_write_to_a_target_that_does_not_read_times_out(bench):
    """Guards against a request that hangs while being written."""
    with ScriptedServer(["hold"]) as server:
        request = plain_request(
            server.address,
            method="POST",
            body=b"x" * 30_000_000,
            timeouts=SHORT_TIMEOUTS,
        )
        failure = bench.run_request(request)
    assert (failure.code, failure.bytes_written) == ("progress_timeout", True)


def test_early_refusal_is_delivered_although_the_body_was_not_read(bench):
    """Guards against losing the refusal of a body that is too large."""
    refusal = b"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig"
    with ScriptedServer(["read", refusal, 0.2]) as server:
        request = plain_request(server.address, method="POST", body=b"x" * 30_000_000)
        assert bench.run_request(request) is None
    assert bench.recorder.heads["r1"][0] == 413
    assert bench.client.open_connections == 0


def test_early_refusal_is_found_when_writing_fails_first(bench, monkeypatch):
    """Guards against losing a refusal because the write error is seen first."""
    refusal = b"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig"
    with ScriptedServer(["read", refusal, "hold"]) as server:
        request = plain_request(server.address, method="POST", body=b"x" * 30_000_000)
        bench.client.submit(request)
        bench.run_until(lambda: server.received)
        time.sleep(0.05)

        def fail(connection):
            raise BrokenPipeError

        monkeypatch.setattr(Connection, "send", fail)
        for sock in list(bench.client._connections):
            bench.client._on_writable(sock)
        bench.run_until(lambda: "r1" in bench.recorder.outcomes)
    assert bench.recorder.outcomes["r1"] is None
    assert bench.recorder.heads["r1"][0] == 413
    assert bench.client.open_connections == 0


@pytest.mark.parametrize("idempotent", [True, False])
def test_silent_idle_connection_is_not_used(bench, idempotent):
    """Guards against a request lost on a connection that went silent while idle."""
    bench.client.close()
    bench.open_client(probe_after_idle_ms=20, probe_timeout_ms=100)
    service = bench.open_service()
    for request_id in ("r1", "r2"):
        bench.client.submit(plain_request(service.address, request_id))
    bench.run_until(lambda: bench.client.idle_connections(service.address) == 2)
    service.inject({"kind": "silent_connections"})
    bench.run_ms(50)
    request = plain_request(
        service.address,
        "r3",
        path="/claims",
        method="POST",
        idempotent=idempotent,
        probe_path="/health",
        timeouts=SHORT_TIMEOUTS,
    )
    assert bench.run_request(request) is None
    claims = [entry for entry in service.journal if entry.path == "/claims"]
    assert len(claims) == 1


def test_probed_connection_is_reused(bench):
    """Guards against closing a connection although it answered the probe."""
    bench.client.close()
    bench.open_client(probe_after_idle_ms=20)
    service = bench.open_service()
    for request_id in ("r1", "r2"):
        request = plain_request(service.address, request_id, probe_path="/health")
        assert bench.run_request(request) is None
        bench.run_ms(50)
    assert service.connections_accepted_ == 1


def test_non_idempotent_request_uses_a_new_connection(bench):
    """Guards against losing an action on a connection that the target just closed."""
    service = bench.open_service()
    for request_id in ("r1", "r2"):
        request = plain_request(service.address, request_id, idempotent=False)
        assert bench.run_request(request) is None
    assert service.connections_accepted_ == 2


def test_stale_connection_is_replaced_for_idempotent_requests(bench):
    """Guards against failures when the target closes idle connections."""
    with ScriptedServer(
        ["read", HEAD + b"first", "read"], ["read", HEAD + b"again", "hold"]
    ) as server:
        assert bench.run_request(plain_request(server.address, "r1")) is None
        assert bench.run_request(plain_request(server.address, "r2")) is None
    assert bench.recorder.data["r2"] == b"again"


def test_connection_with_trailing_data_is_not_reused(bench):
    """Guards against delivering a second response to the next request."""
    with ScriptedServer(
        ["read", HEAD + b"first" + HEAD + b"wrong", "hold"],
        ["read", HEAD + b"right", "hold"],
    ) as server:
        assert bench.run_request(plain_request(server.address, "r1")) is None
        assert bench.run_request(plain_request(server.address, "r2")) is None
    assert bench.recorder.data["r2"] == b"right"


def test_refusal_on_an_idle_connection_is_not_the_next_response(bench):
    """Guards against delivering a 408 of the idle connection as the next response."""
    refusal = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"
    with ScriptedServer(
        ["read", HEAD + b"first", 0.05, refusal, "hold"],
        ["read", HEAD + b"right", "hold"],
    ) as server:
        assert bench.run_request(plain_request(server.address, "r1")) is None
        time.sleep(0.1)
        assert bench.run_request(plain_request(server.address, "r2")) is None
    assert bench.recorder.heads["r2"][0] == 200
    assert bench.recorder.data["r2"] == b"right"


def test_connection_to_itself_is_rejected():
    """Guards against reading the own request as response on a free local port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.connect(sock.getsockname())
        connection = Connection(1, "127.0.0.1:1")
        connection.sock = sock
        with pytest.raises(OSError, match="itself"):
            connection.check_connected()


def test_request_paused_from_the_start_does_not_time_out(bench):
    """Guards against a timeout caused by a caller that has not begun to read."""
    service = bench.open_service()
    bench.client.submit(plain_request(service.address, timeouts=SHORT_TIMEOUTS))
    bench.client.pause("r1")
    bench.run_ms(300)
    assert bench.recorder.outcomes == {}
    bench.client.resume("r1")
    bench.run_until(lambda: "r1" in bench.recorder.outcomes)
    assert bench.recorder.outcomes["r1"] is None


@pytest.mark.parametrize(
    ("script", "code"),
    [
        (["read", "hold"], "first_byte_timeout"),
        (["read", HEAD + b"he", "hold"], "progress_timeout"),
        (["read", HEAD + b"he"], "truncated_answer"),
        (["read"], "connection_lost"),
        (["read", b"garbage\r\n\r\n", "hold"], "malformed_answer"),
        (["read", HEAD.replace(b"5", b"9999") + b"x" * 9999], "answer_too_large"),
    ],
)
def test_faulty_responses_fail_with_their_code(bench, script, code):
    """Guards against accepting incomplete responses, and against hanging."""
    with ScriptedServer(script) as server:
        request = plain_request(
            server.address,
            timeouts=SHORT_TIMEOUTS,
            max_body_bytes=5_000,
            idempotent=False,
        )
        failure = bench.run_request(request)
    assert (failure.code, failure.bytes_written) == (code, True)
    assert bench.client.open_connections == 0


def test_stream_without_first_token_times_out(bench):
    """Guards against an engine that accepts a request and never starts it."""
    engine = bench.open_engine(EngineSpeed(prefill_tokens_per_s=1))
    request = stream_request(engine.address, timeouts=SHORT_TIMEOUTS)
    assert bench.run_request(request).code == "first_token_timeout"


def test_refused_stream_shows_status_and_body(bench):
    """Guards against reporting a refusal by an engine as a broken stream."""
    engine = bench.open_engine()
    engine.inject({"kind": "refuse", "status": 503})
    failure = bench.run_request(stream_request(engine.address))
    assert (failure.code, failure.status) == ("target_status", 503)
    assert json.loads(failure.body) == {"error": "refused"}


@pytest.mark.parametrize("streaming", [True, False])
def test_frozen_link_fails_and_closes_idle_connections(bench, streaming):
    """Guards against reusing further idle connections of a link that went silent."""
    stand_in = bench.open_engine() if streaming else bench.open_service()
    build = stream_request if streaming else plain_request
    with Relay(stand_in.address) as relay:
        for request_id in ("r1", "r2"):
            bench.client.submit(build(relay.address, request_id))
        bench.run_until(lambda: bench.client.idle_connections(relay.address) == 2)
        relay.freeze_open()
        failure = bench.run_request(build(relay.address, "r3", timeouts=SHORT_TIMEOUTS))
        assert failure.code == "first_byte_timeout"
        assert bench.client.idle_connections(relay.address) == 0
        outcome = bench.run_request(build(relay.address, "r4", timeouts=SHORT_TIMEOUTS))
        assert outcome is None or outcome.finish_reason == "stop"


def test_response_received_during_a_suspension_of_this_process_counts(bench):
    """Guards against false timeouts after this process was suspended."""
    with ScriptedServer(["read", 0.05, HEAD + b"hello", "hold"]) as server:
        bench.client.submit(plain_request(server.address, timeouts=SHORT_TIMEOUTS))
        bench.run_ms(20)
        time.sleep(0.4)
        bench.run_until(lambda: "r1" in bench.recorder.outcomes)
    assert bench.recorder.outcomes["r1"] is None


def test_connection_that_was_established_during_a_stall_is_used(bench):
    """Guards against sound targets that seem unreachable to a stalled process."""
    with ScriptedServer(["read", HEAD + b"hello", "hold"]) as server:
        bench.client.submit(plain_request(server.address, timeouts=SHORT_TIMEOUTS))
        time.sleep(0.4)
        bench.run_until(lambda: "r1" in bench.recorder.outcomes)
    assert bench.recorder.outcomes["r1"] is None


def test_paused_attempt_stops_reading_from_the_target(bench):
    """Guards against unbounded buffering for a caller that does not read."""
    body = b"x" * 8_000_000
    head = HEAD.replace(b"5", str(len(body)).encode())
    with ScriptedServer(["read", head + body, "hold"]) as server:
        request = plain_request(server.address, timeouts=SHORT_TIMEOUTS)
        bench.client.submit(request)
        bench.run_until(lambda: "r1" in bench.recorder.data)
        bench.client.pause("r1")
        bench.run_ms(20)
        received_bytes = len(bench.recorder.data["r1"])
        bench.run_ms(300)
        assert len(bench.recorder.data["r1"]) == received_bytes
        assert received_bytes < 1_000_000
        bench.client.resume("r1")
        bench.run_until(lambda: "r1" in bench.recorder.outcomes)
    assert bench.recorder.outcomes["r1"] is None
    assert bench.recorder.data["r1"] == body


def test_end_of_a_paused_response_is_not_lost(bench):
    """Guards against lost data when the target closes while reading is paused."""
    body = b"x" * 300_000
    head = HEAD.replace(b"5", str(len(body)).encode())
    with ScriptedServer(["read", head + body]) as server:
        bench.client.submit(plain_request(server.address))
        bench.run_until(lambda: "r1" in bench.recorder.data)
        bench.client.pause("r1")
        bench.run_ms(100)
        bench.client.resume("r1")
        bench.run_until(lambda: "r1" in bench.recorder.outcomes)
    assert bench.recorder.outcomes["r1"] is None
    assert bench.recorder.data["r1"] == body


def test_requests_beyond_the_limit_are_rejected_unwritten(bench):
    """Guards against an unlimited number of requests to targets."""
    bench.client.close()
    bench.open_client(max_active=1)
    with ScriptedServer(["hold"]) as server:
        bench.client.submit(plain_request(server.address, "r1"))
        failure = bench.run_request(plain_request(server.address, "r2"))
    assert (failure.code, failure.bytes_written) == ("overloaded", False)


@pytest.mark.parametrize(
    "fault",
    [
        {"path": "/a b"},
        {"path": "/a\r\nX: y"},
        {"path": "http://other/"},
        {"method": "GET /x"},
        {"headers": (("X", "a\nb"),)},
        {"headers": (("X", "\u4e16"),)},
        {"echo_id": "a\r\nb"},
    ],
)
def test_invalid_requests_are_rejected_unwritten(bench, fault):
    """Guards against request smuggling, and against an exception in `submit`."""
    failure = bench.run_request(plain_request("127.0.0.1:9", **fault))
    assert (failure.code, failure.bytes_written) == ("invalid_request", False)


def test_credentials_of_the_caller_do_not_reach_the_target(bench):
    """Guards against forwarding the API key of a caller to a target."""
    service = bench.open_service()
    headers = (
        ("Authorization", "Bearer k"),
        ("Idempotency-Key", "i"),
        ("X-Request-Id", "other"),
    )
    request = plain_request(
        service.address, headers=headers, pass_headers=frozenset({"idempotency-key"})
    )
    assert bench.run_request(request) is None
    received = service.journal[0].headers
    assert "authorization" not in received
    assert received["idempotency-key"] == "i"
    assert received["x-request-id"] == "r1"


def test_idle_connections_are_bounded_and_expire(bench):
    """Guards against leaking file descriptors."""
    bench.client.close()
    bench.open_client(max_idle_per_target=2, idle_ms=100)
    service = bench.open_service()
    for i in range(6):
        bench.client.submit(plain_request(service.address, f"r{i}"))
    bench.run_until(lambda: len(bench.recorder.outcomes) == 6)
    bench.run_ms(10)
    assert bench.client.idle_connections(service.address) == 2
    bench.run_ms(150)
    assert bench.client.open_connections == 0


def test_idle_connections_to_all_targets_are_bounded(bench):
    """Guards against an open descriptor for each of thousands of targets."""
    bench.client.close()
    bench.open_client(max_idle=2)
    services = [bench.open_service() for _ in range(3)]
    for i, service in enumerate(services):
        assert bench.run_request(plain_request(service.address, f"r{i}")) is None
    idle = [bench.client.idle_connections(s.address) for s in services]
    assert idle == [0, 1, 1]
    assert bench.client.open_connections == 2


def test_many_requests_with_faults_end_once_and_with_their_own_response(bench):
    """Guards against swapped responses when faults of several kinds coincide."""
    service = bench.open_service()
    for kind in ("drop_before", "drop_after", "swap_answers", "silent"):
        service.inject({"kind": kind, "count": 10})
    service.inject({"kind": "delay", "ms": 2_600, "count": 10})
    request_ids = [f"r{i}" for i in range(120)]
    for request_id in request_ids:
        bench.client.submit(
            plain_request(service.address, request_id, timeouts=CONCURRENT_TIMEOUTS)
        )
    bench.run_until(lambda: len(bench.recorder.outcomes) == len(request_ids), 10_000)
    finished = [i for i in request_ids if bench.recorder.outcomes[i] is None]
    for request_id in finished:
        document = json.loads(bench.recorder.data[request_id])
        assert document["request_id"] == request_id
    ran = {entry.request_id for entry in service.journal}
    unwritten = {
        i
        for i in request_ids
        if bench.recorder.outcomes[i] not in (None,)
        and not bench.recorder.outcomes[i].bytes_written
    }
    assert not ran & unwritten
    assert set(finished) <= ran
    assert len(finished) >= 60


@SHARED_PORT_SETTINGS
@given(pieces=corrupted_messages(RESPONSES))
def test_damaged_answer_ends_its_request_once(bench, pieces):
    """Guards against responses that stop the loop, end twice or hide a run."""
    bench.recorder.outcomes.clear()
    with ScriptedServer(["read", *pieces]) as server, capture_logs() as events:
        request = plain_request(server.address, "r", timeouts=SHORT_TIMEOUTS)
        failure = bench.run_request(request)
        bench.run_ms(2)
    assert failure is None or failure.bytes_written
    assert not [e for e in events if e["event"] == "handler_failed"]


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT_STREAM_HEAD = CHUNKED_HEAD.replace(
    b"OK\r\n", b"OK\r\nContent-Type: text/event-stream\r\n"
)
REFUSAL_HEAD = CHUNKED_HEAD.replace(b"200 OK", b"503 Busy")
DELAY_S = 0.05


@pytest.mark.parametrize(
    ("first", "piece", "delay_s"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n", 0.0),
        (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 0.0),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n", DELAY_S),
        (b"HTTP/1.1 200 OK\r\nx: ", b"y", DELAY_S),
        (EVENT_STREAM_HEAD, b"3\r\n:c\n\r\n", 0.0),
        (EVENT_STREAM_HEAD, b"3\r\n:c\n\r\n", DELAY_S),
        (EVENT_STREAM_HEAD, b"8\r\ndata: x\n\r\n", DELAY_S),
        (EVENT_STREAM_HEAD, b"1\r\nx\r\n", DELAY_S),
        (REFUSAL_HEAD, b"1\r\nx\r\n", DELAY_S),
        (REFUSAL_HEAD, b"1\r\nx\r\n", 0.0),
    ],
)
def test_bytes_without_progress_do_not_extend_the_timeout_of_a_stream(
    bench, first, piece, delay_s
):
    """Guards against a target that keeps a request open without any progress."""
    target = ScriptedTarget(build_endless_script(first, piece, delay_s))
    request = stream_request(target.address, timeouts=SHORT_TIMEOUTS)
    failure = bench.run_request(request)
    assert failure.code in (
        "malformed_answer",
        "first_byte_timeout",
        "first_token_timeout",
        "progress_timeout",
    )
    assert failure.bytes_written


def test_slow_response_head_does_not_extend_the_timeout(bench):
    """Guards against an endless response head that is sent byte by byte."""
    target = ScriptedTarget(
        build_endless_script(b"HTTP/1.1 200 OK\r\nx: ", b"y", DELAY_S)
    )
    failure = bench.run_request(plain_request(target.address, timeouts=SHORT_TIMEOUTS))
    assert failure.code == "first_byte_timeout"


def test_slow_but_steady_response_does_not_time_out(bench):
    """Guards against a timeout of a response that makes progress."""
    head = HEAD.replace(b"5", b"12")
    steps = [b"x", DELAY_S] * 12
    with ScriptedServer(["read", head, *steps, "hold"]) as server:
        request = plain_request(server.address, timeouts=SHORT_TIMEOUTS)
        assert bench.run_request(request) is None
    assert bench.recorder.data["r1"] == b"x" * 12
