"""Tests of requests whose target falls silent for a while."""

import pytest

from papayacrank.messages import RequestKind

from .builders import Bench, build_configuration, build_route, build_target, build_view

ENGINES = (build_target("e1", "engines"), build_target("e2", "engines"))
PLAIN = (build_target("p1"), build_target("p2"))
# Longer than an instance waits for the next event of a stream.
SILENCE_MS = 1_300
# The rules allow a replaced run to go on for 400 ms beside the new one.
MAX_OVERLAP_MS = 400


def open_stream(bench):
    """Start a resumable stream and deliver its first event."""
    caller = bench.send("/reply/x", b"POST", tokens=10)
    bench.begin(200)
    bench.event(1)
    return caller


def finish(bench, caller, call, first):
    """Deliver further events from a call and check the whole stream."""
    for number in range(first, 4):
        bench.event(number, call)
    bench.end(call)
    assert caller.ended
    assert not caller.aborted
    assert caller.body.count(b"data:") == 3


def test_silent_stream_goes_on_if_no_other_target_is_left():
    """Guards against a stream cut off although its silent target would have gone on."""
    bench = Bench(*ENGINES)
    caller = open_stream(bench)
    silent = bench.call
    other = {"e1": "e2", "e2": "e1"}[bench.target_of(silent)]
    alone = [t for t in ENGINES if t.name != other]
    bench.forwarder.apply_fleet(build_view(*alone, sequence=2))
    bench.advance(SILENCE_MS)
    finish(bench, caller, silent, 2)


def test_silent_stream_goes_on_after_a_new_configuration_without_its_service():
    """Guards against a stream cut off because a new configuration removed its route."""
    bench = Bench(*ENGINES)
    caller = open_stream(bench)
    silent = bench.call
    routes = (build_route(max_attempts=2),)
    bench.forwarder.apply_routing(build_configuration(2, routes=routes))
    bench.forwarder.apply_fleet(build_view(*PLAIN, sequence=2))
    bench.advance(SILENCE_MS)
    finish(bench, caller, silent, 2)


@pytest.mark.parametrize(
    "outcome", ["refused", "unsent", "lost", "error", "rejected", "limited"]
)
def test_silent_stream_goes_on_if_the_other_target_does_not_take_it(outcome):
    """Guards against a stream cut off when its silent target is replaced in vain."""
    bench = Bench(*ENGINES)
    caller = open_stream(bench)
    silent = bench.call
    bench.advance(SILENCE_MS)
    if outcome == "refused":
        bench.respond(503, b"", not_run="1")
    elif outcome == "unsent":
        bench.fail("connect_failed", sent=False)
    elif outcome == "lost":
        bench.fail("connection_lost")
    elif outcome == "limited":
        bench.respond(503, b"", not_run="1", pause_ms="5000")
    else:
        bench.respond(400 if outcome == "rejected" else 500, b"oops")
    assert silent not in bench.port.cancelled
    finish(bench, caller, silent, 2)


def test_next_target_is_tried_at_once_if_one_refuses_a_silent_request():
    """Guards against a request that waits at a silent target though others are free."""
    bench = Bench(*(build_target(f"e{n}", "engines") for n in range(1, 4)))
    caller = open_stream(bench)
    silent = bench.call
    bench.advance(SILENCE_MS)
    bench.respond(503, b"", not_run="1")
    assert len(bench.port.calls) == 3
    assert silent not in bench.port.cancelled
    bench.begin(200)
    assert bench.port.cancelled == [silent]
    finish(bench, caller, bench.call, 2)


def test_silent_stream_goes_on_if_it_speaks_before_the_other_target():
    """Guards against a mix of two runs, or a sound run that is thrown away."""
    bench = Bench(*ENGINES)
    caller = open_stream(bench)
    silent = bench.call
    bench.advance(SILENCE_MS)
    other = bench.call
    assert other is not silent
    bench.event(2, silent)
    assert bench.port.cancelled == [other]
    finish(bench, caller, silent, 3)


def test_silent_stream_is_replaced_once_the_other_target_begins():
    """Guards against two runs of one stream at the same time."""
    bench = Bench(*ENGINES)
    caller = open_stream(bench)
    silent = bench.call
    bench.advance(SILENCE_MS)
    other = bench.call
    bench.begin(200)
    assert bench.port.cancelled == [silent]
    finish(bench, caller, other, 2)


def test_silent_run_ends_in_time_if_the_other_target_is_silent_too():
    """Guards against a run at a second target beside the first (TWICE)."""
    bench = Bench(*ENGINES)
    open_stream(bench)
    silent = bench.call
    bench.advance(SILENCE_MS)
    bench.call.bytes_written = True
    bench.advance(MAX_OVERLAP_MS - 50)
    assert bench.port.cancelled == [silent]


def test_runs_stay_within_the_attempts_of_the_route():
    """Guards against a silent request that runs at more and more targets (BUDGET)."""
    targets = [build_target(f"e{n}", "engines") for n in range(1, 6)]
    bench = Bench(*targets)
    open_stream(bench)
    silent = bench.call
    for number in range(2, 5):
        bench.advance(SILENCE_MS)
        bench.call.bytes_written = True
        bench.event(number, silent)
    assert len(bench.port.calls) == 2


@pytest.mark.parametrize("ending", ["deadline", "caller"])
def test_both_runs_end_with_the_request(ending):
    """Guards against a run that goes on after its request has ended (GONE)."""
    bench = Bench(*ENGINES)
    caller = bench.send("/reply/x", b"POST", tokens=10, deadline=1_500)
    bench.begin(200)
    bench.event(1)
    bench.advance(SILENCE_MS)
    calls = bench.port.calls
    assert len(calls) == 2
    calls[1].bytes_written = True
    if ending == "deadline":
        bench.advance(190)
    else:
        bench.forwarder.on_caller_left(caller.exchange)
    assert set(bench.port.cancelled) == set(calls)
    assert bench.forwarder.open_jobs == 0
    assert bench.forwarder.table.own_running("e1") == 0
    assert bench.forwarder.table.own_running("e2") == 0


def test_silent_request_is_answered_by_its_only_target():
    """Guards against a 502 for a plain request whose only target is slow."""
    bench = Bench(build_target("p1"))
    caller = bench.send()
    silent = bench.call
    silent.bytes_written = True
    bench.advance(1_100)
    bench.respond(200, call=silent)
    assert caller.status == 200


def test_late_answer_is_used_if_it_comes_before_that_of_the_other_target():
    """Guards against a plain request that loses the answer of its slow target."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    silent = bench.call
    silent.bytes_written = True
    bench.advance(1_100)
    other = bench.call
    bench.respond(200, b"late", call=silent)
    assert (caller.status, caller.body) == (200, b"late")
    assert bench.port.cancelled == [other]
    assert bench.forwarder.open_jobs == 0


@pytest.mark.parametrize("is_late", [True, False])
def test_error_of_a_server_is_a_final_answer(is_late):
    """Guards against an answer such as 404 that is taken for a failed attempt."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    silent = bench.call
    silent.bytes_written = True
    bench.advance(1_100)
    other = bench.call
    answering, ended = (silent, other) if is_late else (other, silent)
    bench.respond(404, b"none", call=answering)
    assert (caller.status, caller.body) == (404, b"none")
    assert bench.port.cancelled == [ended]
    assert bench.forwarder.open_jobs == 0


def test_request_whose_silent_target_fails_stays_with_the_other():
    """Guards against a failure of the silent attempt that ends the new one."""
    bench = Bench(*PLAIN)
    caller = bench.send()
    silent = bench.call
    silent.bytes_written = True
    bench.advance(1_100)
    other = bench.call
    bench.fail("connection_lost", call=silent)
    bench.respond(200, call=other)
    assert caller.status == 200


def test_stream_that_must_not_run_again_stays_with_its_target():
    """Guards against a second run of a stream that cannot be resumed (TWICE)."""
    bench = Bench(*ENGINES)
    caller = bench.send("/appraise/x", b"POST", tokens=10)
    bench.begin(200)
    bench.event(1)
    bench.advance(SILENCE_MS)
    assert len(bench.port.calls) == 1
    assert bench.call.state.route.kind is RequestKind.STREAM
    finish(bench, caller, bench.call, 2)


def test_silent_stream_that_ends_without_a_further_event_ends_both_attempts():
    """Guards against a run that goes on, and a load that never ends (GONE)."""
    bench = Bench(*ENGINES)
    caller = open_stream(bench)
    silent = bench.call
    bench.advance(SILENCE_MS)
    other = bench.call
    other.bytes_written = True
    bench.end(silent)
    assert caller.ended
    assert bench.port.cancelled == [other]
    assert not bench.timers.set_timers
    assert bench.forwarder.table.own_running("e1") == 0
    assert bench.forwarder.table.own_running("e2") == 0


def test_event_behind_a_comment_of_a_silent_stream_is_delivered():
    """Guards against a gap in a stream whose target ends its silence (ORDER)."""
    bench = Bench(*ENGINES)
    caller = open_stream(bench)
    silent = bench.call
    bench.advance(SILENCE_MS)
    bench.forwarder.on_data(silent, b": ping\n\nid: 2\ndata: x2\n\n")
    finish(bench, caller, silent, 3)


@pytest.mark.parametrize("flaw", ["spoiled", "not_run", "no_stream"])
def test_unusable_head_of_a_silent_target_does_not_end_the_other_attempt(flaw):
    """Guards against a sound run that is ended for a response that is no use."""
    bench = Bench(*ENGINES)
    caller = bench.send("/reply/x", b"POST", tokens=10)
    silent = bench.call
    silent.bytes_written = True
    bench.advance(SILENCE_MS)
    other = bench.call
    assert other is not silent
    other.bytes_written = True
    bench.respond(200, b"", silent, **{flaw: "1"})
    assert other not in bench.port.cancelled
    bench.begin(200, other)
    finish(bench, caller, other, 1)


def test_silent_request_that_is_still_to_be_sent_counts_as_a_run():
    """Guards against more runs than the route allows (BUDGET)."""
    bench = Bench(*(build_target(f"p{n}") for n in (1, 2, 3)))
    bench.send()
    bench.respond(500, b"")
    bench.advance(1_100)
    for call in bench.port.calls[1:]:
        call.bytes_written = True
    assert len(bench.port.calls) == 2
