"""Tests of targets that say that they leave or want a pause."""

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
    """Return the targets of further requests, which are answered at once."""
    names = []
    for _ in range(count):
        bench.send(path)
        names.append(bench.target_of(bench.call))
        bench.answer()
    return names


def both_paused(pause_ms=2_000):
    """Return a bench whose two plain targets want a pause."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    for _ in PLAIN:
        bench.answer(503, b"", not_run=1, pause_ms=pause_ms)
    return bench


# Leaving


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_target_that_says_it_leaves_gets_no_new_request(status):
    """Guards against requests to a target that has left, ahead of the list."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    address = bench.call.address
    bench.answer(status, leaving=1)
    assert name not in targets_of(bench, 20)
    assert address in bench.port.dropped


def test_stream_of_a_leaving_target_ends_there():
    """Guards against a stream that is cut although its target still serves it."""
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


def test_view_does_not_bring_a_leaving_target_back():
    """Guards against a lagging list that undoes what the target has said."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.answer(leaving=1)
    other = next(t for t in PLAIN if t.name != name)
    bench.forwarder.apply_fleet(build_view(*PLAIN, sequence=2))
    assert name not in targets_of(bench, 20)
    bench.forwarder.apply_fleet(build_view(other, sequence=3))
    bench.forwarder.apply_fleet(build_view(*PLAIN, term=2, sequence=1))
    assert name not in targets_of(bench, 20)


def test_list_that_takes_its_word_back_does_not_bring_a_target_back():
    """Guards against a list that shows a leaving target, then the state before."""
    leaving = [build_target(t.name, born_ms=5, leaving=t.name == "p1") for t in PLAIN]
    bench = Bench(*PLAIN)
    while True:
        bench.send("/claim/x")
        if bench.target_of(bench.call) == "p1":
            break
        bench.answer()
    bench.forwarder.apply_fleet(build_view(*leaving, sequence=2))
    bench.answer(leaving=1)
    bench.forwarder.apply_fleet(build_view(*PLAIN, sequence=3))
    assert "p1" not in targets_of(bench, 20)


def test_new_start_under_the_same_name_is_used():
    """Guards against a restarted target that is shut out for its predecessor."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.answer(leaving=1)
    restarted = [build_target(t.name, born_ms=9) for t in PLAIN]
    bench.forwarder.apply_fleet(build_view(*restarted, sequence=2))
    assert name in targets_of(bench, 20)


def test_other_target_at_the_address_is_the_one_that_leaves():
    """Guards against a sound target that is shut out for another one's answer."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.begin(200, leaving=1, server="stranger")
    bench.end()
    assert name in targets_of(bench, 20)


def test_leaving_is_reported_until_the_view_shows_it():
    """Guards against news that is lost with one message or one leader."""
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


def test_target_that_asks_for_a_pause_gets_nothing_until_its_end():
    """Guards against requests and repeats that reach an overloaded target."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.answer(503, b"", not_run=1, pause_ms=2_000)
    bench.answer()
    assert name not in targets_of(bench, 20)
    bench.advance(2_000)
    assert name not in targets_of(bench, 20)
    bench.advance(PAUSE_MARGIN_MS)
    assert name in targets_of(bench, 20)


def test_target_is_not_used_in_a_pause_if_no_other_is_left():
    """Guards against the fallback to avoided targets, which is right for failures."""
    bench = both_paused()
    sent = len(bench.port.calls)
    caller = bench.send("/claim/y")
    assert len(bench.port.calls) == sent
    assert (caller.status, caller.headers["verdict"]) == (503, "not-run")


def test_refusal_names_the_earliest_time_to_come_back():
    """Guards against callers that return within the pause of all targets."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    bench.answer(503, b"", not_run=1, pause_ms=4_000)
    bench.answer(503, b"", not_run=1, pause_ms=1_000)
    times = [int(bench.send("/claim/y").headers["retry-after-ms"]) for _ in range(200)]
    assert 1_000 <= min(times) < 1_200
    assert 1_300 < max(times) < 2_000
    assert len(set(times)) > 50


def test_requests_return_a_few_at_a_time():
    """Guards against a second overload at the end of a pause."""
    bench = both_paused()
    bench.advance(2_000 + PAUSE_MARGIN_MS)
    sent = len(bench.port.calls)
    callers = [bench.send("/claim/y") for _ in range(10)]
    assert len(bench.port.calls) - sent == 2
    assert [c.status for c in callers].count(503) == 8
    for call in bench.port.calls[sent:]:
        bench.answer(call=call)
    for _ in range(10):
        bench.send("/claim/z")
    assert len(bench.port.calls) - sent - 2 == 4


def test_limit_after_a_pause_is_lifted():
    """Guards against a target that stays limited by one short overload."""
    pauses = TargetPauses(60_000)
    pauses.on_pause_requested("p1", 100, 0)
    now_ms = 100 + PAUSE_MARGIN_MS
    assert not pauses.may_send("p1", MAX_CONCURRENCY, now_ms)
    for _ in range(MAX_CONCURRENCY):
        pauses.on_success("p1", now_ms)
    assert pauses.may_send("p1", 1_000, now_ms)
    pauses.on_pause_requested("p1", 100, now_ms)
    assert pauses.may_send("p1", 1_000, 2 * now_ms + SLOW_START_MS)


def test_late_answers_do_not_shorten_a_pause():
    """Guards against two requests in flight of which the second shortens the pause."""
    pauses = TargetPauses(60_000)
    pauses.on_pause_requested("p1", 5_000, 0)
    pauses.on_pause_requested("p1", 500, 100)
    pauses.on_success("p1", 200)
    assert not pauses.may_send("p1", 0, 4_900)


def test_absurd_pause_is_cut():
    """Guards against one answer that shuts a target out for ever."""
    pauses = TargetPauses(60_000)
    pauses.on_pause_requested("p1", 10**12, 0)
    assert not pauses.may_send("p1", 0, 59_000)
    assert pauses.may_send("p1", 0, 60_000 + PAUSE_MARGIN_MS)


def test_pause_is_told_once_with_the_time_left():
    """Guards against orders from this machine during a pause asked of it."""
    bench = Bench(*PLAIN)
    bench.send("/claim/x")
    name = bench.target_of(bench.call)
    bench.answer(503, b"", not_run=1, pause_ms=2_000)
    bench.advance(100)
    assert bench.forwarder.take_new_pauses() == [(name, 1_900 + PAUSE_MARGIN_MS)]
    assert bench.forwarder.take_new_pauses() == []


def test_pause_asked_of_the_leader_on_this_machine_is_kept():
    """Guards against requests from a machine whose orders were turned away."""
    bench = Bench(build_target("p1", number=1), build_target("p2", number=2))
    load = FleetLoad(1, 0, {}, paused=[(1, 2_000), (9, 2_000)])
    bench.forwarder.apply_load(load)
    assert set(targets_of(bench, 20)) == {"p2"}
    assert bench.forwarder.take_new_pauses() == []
    bench.advance(2_000 + PAUSE_MARGIN_MS)
    assert set(targets_of(bench, 20)) == {"p1", "p2"}


def test_load_of_other_targets_is_expected_during_a_pause():
    """Guards against a request that waits for a paused target with room."""
    bench = Bench(*(build_target(f"p{n}") for n in range(6)))
    random_state = Random(1)
    paused = set()
    for _ in range(3):
        bench.send("/claim/x")
        paused.add(bench.target_of(bench.call))
        bench.answer(503, b"", not_run=1, pause_ms=1_000)
        bench.answer()
    names = targets_of(bench, 40 + random_state.randrange(5))
    assert not paused & set(names)
    assert len(set(names)) == 6 - len(paused)
