"""Tests of streams while targets of several releases serve."""

import msgspec
import pytest

from papayacrank.messages import (
    RequestKind,
    ServiceShare,
    StreamsBegun,
)
from papayacrank.releases import name_stream

from .builders import (
    Bench,
    build_configuration,
    build_route,
    build_target,
    build_view,
)

OLD = tuple(build_target(f"o{n}", "engines", release="v1") for n in (1, 2))
NEW = tuple(build_target(f"n{n}", "engines", release="v2") for n in (3, 4))


@pytest.fixture
def bench():
    """Return a bench with two targets of each release."""
    bench = Bench(*OLD, *NEW)
    bench.releases.set_mixed(["engines"])
    return bench


def open_stream(bench, **fields):
    """Start a stream and deliver its first event."""
    caller = bench.send("/reply/x", tokens=10, **fields)
    bench.begin()
    bench.event(1)
    return caller


def take_up(bench, **fields):
    """Send a request that takes a stream up after its third event."""
    return bench.send("/reply/x", tokens=10, **({"after": 3, "first": "r0"} | fields))


def release_of(bench):
    """Return the release of the target of the last call."""
    return bench.call.state.attempt.target.release


@pytest.mark.parametrize("seed", range(6))
def test_stream_goes_on_at_its_release_within_a_response(bench, seed):
    """Guards against a response that is joined from two releases."""
    bench.forwarder._random.seed(seed)
    open_stream(bench)
    began = release_of(bench)
    bench.fail()
    assert len(bench.port.calls) == 2
    assert release_of(bench) == began


def test_stream_ends_if_no_target_of_its_release_is_left(bench):
    """Guards against a stream that goes on at another release for want of its own."""
    caller = open_stream(bench)
    others = NEW if release_of(bench) == "v1" else OLD
    bench.forwarder.apply_fleet(build_view(*others, sequence=2))
    bench.fail()
    assert len(bench.port.calls) == 1
    assert caller.aborted


@pytest.mark.parametrize("release", ["v1", "v2"])
def test_stream_is_taken_up_at_the_release_that_began_it(bench, release):
    """Guards against a take-up that is joined from two releases."""
    for _ in range(6):
        take_up(bench)
        question = bench.release_questions[-1]
        assert question.stream == name_stream("w1", "r0")
        assert question.service == "engines"
        count = len(bench.port.calls)
        bench.reply_release(release)
        assert len(bench.port.calls) == count + 1
        assert release_of(bench) == release


def test_take_up_of_an_unknown_stream_is_refused_at_once(bench):
    """Guards against a guess, and against callers that wait for nothing."""
    caller = take_up(bench)
    bench.reply_release("")
    assert bench.port.calls == []
    assert (caller.status, caller.headers["code"]) == (503, "unknown_release")
    assert caller.headers["verdict"] == "not-run"


def test_take_up_without_a_reply_is_refused_with_a_retry_time(bench):
    """Guards against take-ups that are lost since there is no leader for a moment."""
    caller = take_up(bench)
    bench.advance(150)
    bench.advance(150)
    assert (caller.status, caller.headers["code"]) == (503, "unknown_release")
    assert int(caller.headers["retry-after-ms"]) > 0
    assert bench.port.calls == []


def test_take_up_that_does_not_name_its_stream_asks_for_its_service(bench):
    """Guards against refusals where one release began all streams."""
    take_up(bench, first=None)
    assert bench.release_questions[-1].stream == ""
    bench.reply_release("v1")
    assert release_of(bench) == "v1"


def test_reply_for_a_caller_that_has_left_sends_nothing(bench):
    """Guards against requests that run for nobody."""
    caller = take_up(bench)
    bench.forwarder.on_caller_left(caller.exchange)
    bench.reply_release("v1")
    assert bench.port.calls == []


def test_begun_stream_is_reported_once_and_a_take_up_is_not(bench):
    """Guards against a take-up that is recorded as a stream of its own."""
    open_stream(bench)
    began = release_of(bench)
    bench.event(2)
    take_up(bench, id="r2")
    bench.reply_release("v1")
    bench.begin()
    bench.event(4)
    bench.advance(10)
    reports = [m for m in bench.leader_messages if isinstance(m, StreamsBegun)]
    streams = [begun for report in reports for begun in report.streams]
    assert [(s.stream, s.release) for s in streams] == [
        (name_stream("w1", "r1"), began)
    ]


def test_event_of_another_release_ends_its_attempt():
    """Guards against two attempts side by side that both write to one stream."""
    bench = Bench(OLD[0], NEW[0])
    caller = bench.send("/reply/x", tokens=10)
    first = bench.call
    job = first.state
    bench.advance(1_300)
    second = bench.call
    assert job.silent_attempt.call is first
    job.release = job.silent_attempt.target.release
    assert job.attempt.target.release != job.release
    bench.begin(call=second)
    bench.event(1, call=second)
    assert caller.body == b""
    assert second in bench.port.cancelled


@pytest.mark.parametrize(
    ("opened_ms_ago", "contact_ms_ago", "goes_on"),
    [(0, 100, True), (0, 2_000, False), (10_000, 2_000, True), (4_000, 2_000, False)],
)
def test_stream_that_began_out_of_step_does_not_go_on(
    bench, opened_ms_ago, contact_ms_ago, goes_on
):
    """Guards against a release taken from a view that was too old at the begin."""
    now_ms = bench.clock.now_ms()
    bench.forwarder._continuity._contacted_ms = lambda: now_ms - contact_ms_ago
    caller = bench.send("/reply/x", tokens=10)
    bench.call.opened_ms = now_ms - opened_ms_ago
    bench.begin()
    bench.event(1)
    bench.fail()
    assert (len(bench.port.calls) == 2) == goes_on
    assert caller.aborted != goes_on


def test_stream_goes_on_only_at_a_checked_start_of_a_target(bench):
    """Guards against a target that restarted with another release under its name."""
    targets = [
        build_target(f"e{n}", "engines", born_ms=n, release="v1") for n in (1, 2)
    ]
    bench.forwarder.apply_fleet(build_view(*targets, sequence=2))
    open_stream(bench)
    assert bench.call.start_check is None
    bench.fail()
    check = bench.call.start_check
    target = bench.call.state.attempt.target
    assert (check.name, check.started_ms) == (target.name, target.born_ms)


def test_take_up_on_a_split_route_goes_to_the_service_that_began_the_stream():
    """Guards against take-ups whose service is drawn by lot."""
    services = ("engines", "others")
    shares = tuple(ServiceShare(service, 1) for service in services)
    stream = RequestKind.STREAM
    route = build_route("reply", stream, shares=shares, resumable=True)
    profile = next(s for s in build_configuration().services if s.engine is not None)
    other = msgspec.structs.replace(profile, name="others")
    configuration = build_configuration(routes=(route,), services=(profile, other))
    target = build_target("x5", "engines", release="v2")
    targets = (*OLD, msgspec.structs.replace(target, service="others"))
    for seed in range(8):
        bench = Bench(*targets, configuration=configuration)
        bench.forwarder._random.seed(seed)
        take_up(bench)
        question = bench.release_questions[-1]
        assert sorted(question.services) == sorted(services)
        bench.reply_release("v2", "others")
        assert bench.call.state.attempt.target.name == "x5"


@pytest.mark.parametrize("loses_connection", [True, False])
@pytest.mark.parametrize(("release", "goes_on"), [("v2", False), ("v1", True)])
def test_stream_of_a_target_that_has_restarted_goes_on_at_the_same_release_only(
    release, goes_on, loses_connection
):
    """Guards against a release of a begin that a later view contradicts (ORDER)."""
    targets = [
        build_target(f"e{n}", "engines", born_ms=n, release="v1") for n in (1, 2)
    ]
    bench = Bench(*targets)
    caller = open_stream(bench)
    begun_at = bench.target_of(bench.call)
    restarted = [
        msgspec.structs.replace(target, born_ms=9, release=release)
        if target.name == begun_at
        else target
        for target in targets
    ]
    bench.forwarder.apply_fleet(build_view(*restarted, sequence=2))
    bench.event(2)
    if loses_connection:
        bench.fail()
    else:
        bench.advance(1_300)
    assert (len(bench.port.calls) == 2) == goes_on
    assert caller.aborted == (loses_connection and not goes_on)


def test_silent_stream_that_began_out_of_step_stays_with_its_target(bench):
    """Guards against a second run of another release beside a silent one (ORDER)."""
    now_ms = bench.clock.now_ms()
    bench.forwarder._continuity._contacted_ms = lambda: now_ms - 2_000
    caller = bench.send("/reply/x", tokens=10)
    bench.call.opened_ms = now_ms
    bench.begin()
    bench.event(1)
    bench.advance(1_300)
    assert len(bench.port.calls) == 1
    bench.event(2)
    bench.end()
    assert caller.ended


def test_stream_that_has_gone_on_elsewhere_does_not_depend_on_its_first_target():
    """Guards against streams broken off because servers are upgraded in turn."""
    targets = [
        build_target(f"e{n}", "engines", born_ms=n, release="v1") for n in (1, 2, 3)
    ]
    route = build_route(
        "reply", RequestKind.STREAM, "engines", resumable=True, max_attempts=3
    )
    bench = Bench(*targets, configuration=build_configuration(routes=(route,)))
    open_stream(bench)
    first = bench.target_of(bench.call)
    bench.fail()
    bench.begin()
    bench.event(2)
    upgraded = [
        msgspec.structs.replace(target, born_ms=9, release="v2")
        if target.name == first
        else target
        for target in targets
    ]
    bench.forwarder.apply_fleet(build_view(*upgraded, sequence=2))
    bench.advance(1_300)
    assert len(bench.port.calls) == 3
