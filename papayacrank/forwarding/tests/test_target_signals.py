"""Tests of targets that announce their removal or request a pause."""

from random import Random

import pytest

from papayacrank.forwarding._pauses import (
    MAX_CONCURRENCY,
    PAUSE_MARGIN_MS,
    SLOW_START_MS,
    TargetPauses,
)
from papayacrank.forwarding._targets import TargetTable
from papayacrank.messages import FleetLoad

from .builders import Bench, build_target, build_view

PLAIN = (build_target("p1", born_ms=5), build_target("p2", born_ms=5))
ENGINES = (build_target("e1", "engines"), build_target("e2", "engines"))


def targets_of(bench, count, path="/lookup/x"):
    """Send requests with immediate responses and return their targets."""
    names = []
    for _ in range(count):
        bench.send(path)
        names.append(bench.target_of(bench.call))
        bench.respond()
    return names


def both_paused(pause_ms=2_000):
    """Return a bench whose two plain targets are paused."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    for _ in PLAIN:
        bench.respond(503, b"", not_run=1, pause_ms=pause_ms)
    return bench


# Leaving


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_target_that_announces_its_removal_gets_no_new_request(status):
    """Guards against requests to a leaving target that the view does not show yet."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    address = bench.call.address
    bench.respond(status, leaving=1)
    assert name not in targets_of(bench, 20)
    assert address in bench.port.dropped


def test_stream_of_a_leaving_target_is_completed():
    """Guards against interrupting a stream that a leaving target still serves."""
    bench = Bench(*ENGINES)
    caller = bench.send("/reply/x", tokens=100)
    name = bench.target_of(bench.call)
    bench.begin(leaving=1)
    bench.event(1)
    second = bench.send("/reply/y", tokens=100)
    assert bench.target_of(bench.call) != name
    bench.event(2, bench.port.calls[0])
    bench.end(bench.port.calls[0])
    assert caller.ended and not caller.aborted
    assert len(bench.port.calls) == 2 and not second.ended


def test_later_view_does_not_restore_a_leaving_target():
    """Guards against an outdated view that overrides the notice of the target."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.respond(leaving=1)
    other = next(t for t in PLAIN if t.name != name)
    bench.forwarder.apply_fleet(build_view(*PLAIN, sequence=2))
    assert name not in targets_of(bench, 20)
    bench.forwarder.apply_fleet(build_view(other, sequence=3))
    bench.forwarder.apply_fleet(build_view(*PLAIN, term=2, sequence=1))
    assert name not in targets_of(bench, 20)


def test_view_that_drops_the_leaving_mark_does_not_restore_a_target():
    """Guards against a view that shows a target as leaving and then as serving."""
    leaving = [build_target(t.name, born_ms=5, leaving=t.name == "p1") for t in PLAIN]
    bench = Bench(*PLAIN)
    while True:
        bench.send("/claim/x")
        if bench.target_of(bench.call) == "p1":
            break
        bench.respond()
    bench.forwarder.apply_fleet(build_view(*leaving, sequence=2))
    bench.respond(leaving=1)
    bench.forwarder.apply_fleet(build_view(*PLAIN, sequence=3))
    assert "p1" not in targets_of(bench, 20)


def test_restarted_target_of_the_same_name_is_used():
    """Guards against a restarted target excluded by the notice of its predecessor."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.respond(leaving=1)
    restarted = [build_target(t.name, born_ms=9) for t in PLAIN]
    bench.forwarder.apply_fleet(build_view(*restarted, sequence=2))
    assert name in targets_of(bench, 20)


def test_removal_notice_applies_to_the_target_that_sent_it():
    """Guards against excluding a target for the response of another process."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.begin(200, leaving=1, server="stranger")
    bench.end()
    assert name in targets_of(bench, 20)


def test_leaving_is_reported_until_the_view_shows_it():
    """Guards against a notice that is lost with a message or a leader change."""
    table = TargetTable()
    view = build_view(*PLAIN)
    table.update(view)
    assert table.mark_leaving("p1") and not table.mark_leaving("p1")
    assert table.report("i1").leaving == [("p1", 5)]
    assert table.report("i1") is None
    assert table.refresh_report("i1").leaving == [("p1", 5)]
    shown = [build_target("p1", born_ms=5, leaving=True), PLAIN[1]]
    table.update(build_view(*shown, sequence=2))
    assert table.report("i1").leaving == []
    table.update(build_view(*PLAIN, term=2))
    assert table.report("i1").leaving == [("p1", 5)]


# Pauses


def test_paused_target_gets_no_requests_until_the_end_of_the_pause():
    """Guards against requests and retries that reach an overloaded target."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.respond(503, b"", not_run=1, pause_ms=2_000)
    bench.respond()
    assert name not in targets_of(bench, 20)
    bench.advance(2_000)
    assert name not in targets_of(bench, 20)
    bench.advance(PAUSE_MARGIN_MS)
    assert name in targets_of(bench, 20)


def test_paused_target_is_not_used_as_a_last_resort():
    """Guards against the fallback that applies to ejected targets only."""
    bench = both_paused()
    sent = len(bench.port.calls)
    caller = bench.send("/claim/y")
    assert len(bench.port.calls) == sent
    assert (caller.status, caller.headers["verdict"]) == (503, "not-run")


def test_refusal_states_the_earliest_end_of_a_pause():
    """Guards against callers that retry while all targets are still paused."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    bench.respond(503, b"", not_run=1, pause_ms=4_000)
    bench.respond(503, b"", not_run=1, pause_ms=1_000)
    times = [int(bench.send("/claim/y").headers["retry-after-ms"]) for _ in range(200)]
    assert 1_000 <= min(times) < 1_200
    assert 1_300 < max(times) < 2_000
    assert len(set(times)) > 50


def test_requests_resume_slowly_after_a_pause():
    """Guards against a second overload at the end of a pause."""
    bench = both_paused()
    bench.advance(2_000 + PAUSE_MARGIN_MS)
    sent = len(bench.port.calls)
    callers = [bench.send("/claim/y") for _ in range(10)]
    assert len(bench.port.calls) - sent == 2
    assert [c.status for c in callers].count(503) == 8
    for call in bench.port.calls[sent:]:
        bench.respond(call=call)
    for _ in range(10):
        bench.send("/claim/z")
    assert len(bench.port.calls) - sent - 2 == 4


def test_concurrency_limit_after_a_pause_is_lifted():
    """Guards against a target that stays limited after one short overload."""
    pauses = TargetPauses(60_000)
    pauses.on_pause_requested("p1", 100, 0)
    now_ms = 100 + PAUSE_MARGIN_MS
    assert not pauses.may_send("p1", MAX_CONCURRENCY, now_ms)
    for _ in range(MAX_CONCURRENCY):
        pauses.on_success("p1", now_ms)
    assert pauses.may_send("p1", 1_000, now_ms)
    pauses.on_pause_requested("p1", 100, now_ms)
    assert pauses.may_send("p1", 1_000, 2 * now_ms + SLOW_START_MS)


def test_late_responses_do_not_shorten_a_pause():
    """Guards against a second response in flight that shortens the pause."""
    pauses = TargetPauses(60_000)
    pauses.on_pause_requested("p1", 5_000, 0)
    pauses.on_pause_requested("p1", 500, 100)
    pauses.on_success("p1", 200)
    assert not pauses.may_send("p1", 0, 4_900)


def test_excessive_pause_is_limited():
    """Guards against a single response that excludes a target indefinitely."""
    pauses = TargetPauses(60_000)
    pauses.on_pause_requested("p1", 10**12, 0)
    assert not pauses.may_send("p1", 0, 59_000)
    assert pauses.may_send("p1", 0, 60_000 + PAUSE_MARGIN_MS)


def test_pause_is_reported_once_with_its_remaining_time():
    """Guards against orders from this machine during a pause requested from it."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.respond(503, b"", not_run=1, pause_ms=2_000)
    bench.advance(100)
    assert bench.forwarder.take_new_pauses() == [(name, 1_900 + PAUSE_MARGIN_MS)]
    assert bench.forwarder.take_new_pauses() == []


def test_pause_reported_by_the_leader_is_respected():
    """Guards against requests to a target that refused orders of this machine."""
    bench = Bench(build_target("p1", number=1), build_target("p2", number=2))
    load = FleetLoad(1, 0, {}, paused=[(1, 2_000), (9, 2_000)])
    bench.forwarder.apply_load(load)
    assert set(targets_of(bench, 20)) == {"p2"}
    assert bench.forwarder.take_new_pauses() == []
    bench.advance(2_000 + PAUSE_MARGIN_MS)
    assert set(targets_of(bench, 20)) == {"p1", "p2"}


def test_all_targets_without_a_pause_get_requests():
    """Guards against load on only some of the targets that are not paused."""
    bench = Bench(*(build_target(f"p{n}") for n in range(6)))
    random_state = Random(1)
    paused = set()
    for _ in range(3):
        bench.send("/claim/x")
        paused.add(bench.target_of(bench.call))
        bench.respond(503, b"", not_run=1, pause_ms=1_000)
        bench.respond()
    names = targets_of(bench, 40 + random_state.randrange(5))
    assert not paused & set(names)
    assert len(set(names)) == 6 - len(paused)
