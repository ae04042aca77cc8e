"""Tests of an instance that has lost its path to all targets."""

import pytest

from papayacrank.forwarding._target_call import CallFailure
from papayacrank.messages import EntryAddress
from papayacrank.transport import ConnectOutcome

from .builders import Bench, build_target

TARGETS = tuple(
    build_target(f"{service[0]}{number}", service, domain)
    for service in ("plain", "engines")
    for number, domain in enumerate(("east", "west", "north"), 1)
)
TARGET_ADDRESSES = {target.address for target in TARGETS}
CONNECT_TIMEOUT_MS = 250
# Requests that fail before the instance has to know that the path is lost.
FIRST_REQUESTS = 4


def fail_open_calls(bench, code="connect_timeout"):
    """Fail all probes and all calls to targets that are open, until none is."""
    while calls := [c for c in bench.port.calls if c.is_open]:
        bench.advance(CONNECT_TIMEOUT_MS)
        for call in calls:
            bench.fail(code, sent=False, call=call)
        bench.prober.finish(ConnectOutcome.SILENT)


@pytest.fixture
def cut_off():
    """Return an instance whose connections to all targets have timed out."""
    bench = Bench(*TARGETS)
    for number in range(FIRST_REQUESTS):
        bench.send(id=f"first-{number}")
        fail_open_calls(bench)
    return bench


def test_instance_without_targets_reports_none_of_them_as_silent(cut_off):
    report = cut_off.forwarder.table.report("i1")
    assert report is None or report.silent == []


def test_request_at_an_instance_without_targets_is_not_held_by_attempts(cut_off):
    calls = len(cut_off.port.calls)
    caller = cut_off.send(id="later")
    sent_to = {call.address for call in cut_off.port.calls[calls:]}
    assert not sent_to & TARGET_ADDRESSES
    assert caller.status == 503


def test_one_silent_target_is_reported_once_another_one_is_reached():
    bench = Bench(*TARGETS)
    bench.send()
    silent = bench.target_of(bench.call)
    bench.advance(CONNECT_TIMEOUT_MS)
    bench.fail("connect_timeout", sent=False)
    bench.prober.finish(ConnectOutcome.ACCEPTED)
    assert bench.forwarder.table.report("i1").silent == [silent]
    assert not bench.paths.is_isolated


def test_failures_of_the_cut_are_not_reported_after_it(cut_off):
    cut_off.prober.finish(ConnectOutcome.SILENT)
    cut_off.advance(CONNECT_TIMEOUT_MS)
    cut_off.prober.finish(ConnectOutcome.ACCEPTED)
    assert not cut_off.paths.is_isolated
    report = cut_off.forwarder.table.report("i1")
    assert report is None or report.silent == []
    cut_off.send(id="after")
    assert cut_off.call.address in TARGET_ADDRESSES


def add_peers(bench, *names):
    """Make serving instances known, and one that has no path either."""
    peers = [
        EntryAddress(f"{name}@1", 1, "east", f"10.0.1.{number}:80", "serving")
        for number, name in enumerate(names, 1)
    ]
    isolated = EntryAddress("i9@1", 1, "east", "10.0.1.9:80", "isolated")
    own = EntryAddress("i1@1", 1, "east", "10.0.1.8:80", "serving")
    bench.relay.set_instances([*peers, isolated, own])
    return {peer.address for peer in peers}


def respond(call, status=200, body=b"ok", **headers):
    """Send a complete response of a peer to a relayed request."""
    call.bytes_written = True
    pairs = [(n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()]
    call.listener.on_response(call, status, pairs)
    call.listener.on_data(call, body)
    call.is_open = False
    call.listener.on_ended(call)


def fail(call, code, sent):
    """End a relayed call without a complete response."""
    call.bytes_written, call.is_open = sent, False
    call.listener.on_failed(call, CallFailure(code, sent))


def test_request_is_passed_on_to_an_instance_with_a_path(cut_off):
    peers = add_peers(cut_off, "i2", "i3")
    caller = cut_off.send(id="later", deadline=1_000)
    assert cut_off.call.address in peers
    assert dict(cut_off.call.headers)[b"relayed"] == b"1"
    assert int(dict(cut_off.call.headers)[b"deadline"]) <= 1_000
    respond(cut_off.call, 201, b"body", seal="s", no_stream="")
    assert (caller.status, caller.body, caller.ended) == (201, b"body", True)
    assert caller.headers["seal"] == "s"


def test_request_that_waits_for_a_connection_is_passed_on_when_the_path_is_lost():
    bench = Bench(*TARGETS)
    peers = add_peers(bench, "i2")
    caller = bench.send("/claim/x", b"booking")
    for _ in range(3):
        bench.advance(CONNECT_TIMEOUT_MS)
        bench.fail("connect_timeout", sent=False)
        bench.prober.finish(ConnectOutcome.SILENT)
    assert bench.call.address in peers
    respond(bench.call, no_stream="")
    assert caller.status == 200
    assert bench.forwarder.open_jobs == 0


def test_events_are_passed_on_as_they_arrive(cut_off):
    add_peers(cut_off, "i2")
    caller = cut_off.send("/reply/x", b"POST", tokens=10)
    call = cut_off.call
    call.listener.on_response(call, 200, [])
    call.listener.on_data(call, b"id: 1\ndata: x\n\n")
    assert caller.body == b"id: 1\ndata: x\n\n"
    fail(call, "connection_lost", sent=True)
    assert caller.aborted


def test_request_is_never_passed_on_twice(cut_off):
    add_peers(cut_off, "i2")
    calls = len(cut_off.port.calls)
    caller = cut_off.send(id="later", relayed="1")
    assert caller.status == 503
    assert caller.headers["verdict"] == "not-run"
    assert len(cut_off.port.calls) == calls


def test_peer_that_cannot_be_connected_to_is_replaced_by_another(cut_off):
    peers = add_peers(cut_off, "i2", "i3")
    caller = cut_off.send(id="later")
    first = cut_off.call
    fail(first, "connect_timeout", sent=False)
    assert {first.address, cut_off.call.address} == peers
    fail(cut_off.call, "connect_timeout", sent=False)
    assert caller.status == 503
    assert caller.headers["verdict"] == "not-run"


def test_request_that_a_peer_may_have_run_is_not_sent_to_another(cut_off):
    add_peers(cut_off, "i2", "i3")
    caller = cut_off.send("/claim/x", b"booking", id="later")
    calls = len(cut_off.port.calls)
    fail(cut_off.call, "connection_lost", sent=True)
    assert len(cut_off.port.calls) == calls
    assert caller.status == 502
    assert caller.headers["verdict"] != "not-run"


@pytest.fixture
def repeated():
    """Return an instance that passes a request on which a target may have run."""
    bench = Bench(*TARGETS)
    add_peers(bench, "i2")
    bench.caller = bench.send()
    lost = bench.call
    for number in range(FIRST_REQUESTS):
        bench.send(id=f"first-{number}")
        while calls := [c for c in bench.port.calls if c.is_open and c is not lost]:
            if calls[-1].address not in TARGET_ADDRESSES:
                break
            bench.advance(1)
            bench.fail("connect_timeout", sent=False, call=calls[-1])
            bench.prober.finish(ConnectOutcome.SILENT)
    assert bench.paths.is_isolated
    bench.fail("connection_lost", sent=True, call=lost)
    assert bench.call.address not in TARGET_ADDRESSES
    return bench


def test_runs_of_a_request_are_counted_over_the_instances(repeated):
    """Guards against more runs than the route allows after a request was passed on."""
    runs = dict(repeated.call.headers)[b"runs"]
    assert runs == b"1"
    peer = Bench(*TARGETS)
    peer.send(relayed="1", runs=runs.decode())
    peer.fail("connection_lost", sent=True)
    assert len(peer.port.calls) == 1


@pytest.mark.parametrize("status", [429, 503])
def test_refusal_of_a_peer_is_not_returned_for_a_request_that_may_have_run(
    repeated, status
):
    """Guards against a false "not run" after another instance has refused."""
    respond(repeated.call, status)
    assert repeated.caller.status == 502
    assert repeated.caller.headers["verdict"] != "not-run"


def test_peer_does_not_say_that_a_request_has_not_run_that_ran_before():
    """Guards against a false "not run" of an instance that got a passed-on request."""
    peer = Bench(build_target("p1"))
    caller = peer.send(relayed="1", runs="1")
    peer.respond(503, not_run="1")
    assert caller.status == 502
    assert caller.headers["verdict"] != "not-run"


def test_caller_that_leaves_cancels_its_request_at_the_peer(cut_off):
    add_peers(cut_off, "i2")
    caller = cut_off.send(id="later")
    cut_off.forwarder.on_caller_left(caller.exchange)
    assert cut_off.call in cut_off.port.cancelled
    assert cut_off.forwarder.open_jobs == 0


def test_relayed_request_ends_with_its_deadline_and_with_the_process(cut_off):
    add_peers(cut_off, "i2")
    late = cut_off.send(id="later", deadline=500)
    cut_off.call.bytes_written = True
    cut_off.advance(500)
    assert (late.status, late.headers["verdict"] == "not-run") == (504, False)
    stopped = cut_off.send(id="stopped", deadline=500)
    cut_off.forwarder.end_open_requests()
    assert stopped.status == 503
    assert cut_off.forwarder.open_jobs == 0


def test_stopping_instance_passes_on_nothing_that_may_outlast_it(cut_off):
    add_peers(cut_off, "i2")
    calls = len(cut_off.port.calls)
    cut_off.forwarder.begin_stop(cut_off.clock.now_ms() + 1_000)
    caller = cut_off.send(id="later")
    assert (caller.status, caller.headers["code"]) == (503, "stopping")
    assert len(cut_off.port.calls) == calls


def test_target_is_used_at_once_when_the_path_is_regained(cut_off):
    add_peers(cut_off, "i2")
    cut_off.prober.finish(ConnectOutcome.SILENT)
    cut_off.paths.on_change = cut_off.forwarder.readmit_targets
    cut_off.advance(CONNECT_TIMEOUT_MS)
    cut_off.prober.finish(ConnectOutcome.REFUSED)
    assert cut_off.paths.is_isolated
    cut_off.advance(CONNECT_TIMEOUT_MS)
    cut_off.prober.finish(ConnectOutcome.ACCEPTED)
    caller = cut_off.send(id="after")
    cut_off.respond()
    assert caller.status == 200
