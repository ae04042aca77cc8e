"""Tests of streams that go on at another target, with and without engines."""

import pytest

from papayacrank.messages import RequestKind

from .builders import Bench, build_configuration, build_route, build_target

SERVICES = ("plain", "engines")
TARGETS = (
    *(build_target(f"p{n}", release="v1") for n in (1, 2, 3)),
    *(build_target(f"e{n}", "engines", release="v1") for n in (1, 2, 3)),
)
SILENCE_MS = 1_300


@pytest.fixture(params=SERVICES)
def service(request):
    """Return a service, which has engines or not."""
    return request.param


def send_stream(service, **fields):
    """Send a request for a stream that may be resumed."""
    route = build_route(
        "work", RequestKind.STREAM, service, resumable=True, max_attempts=3
    )
    bench = Bench(*TARGETS, configuration=build_configuration(routes=(route,)))
    if service == "engines":
        fields["tokens"] = 10
    return bench, bench.send("/work/x", **fields)


def lose_connection(bench):
    """Reset the connection."""
    bench.fail("connection_lost")


def break_event(bench):
    """Reset the connection within an event."""
    bench.forwarder.on_data(bench.call, b"id: 3\nda")
    bench.fail("connection_lost")


def end_within_event(bench):
    """End the response within an event."""
    bench.forwarder.on_data(bench.call, b"id: 3\nda")
    bench.end()


def stay_silent(bench):
    """Send no further event."""
    bench.advance(SILENCE_MS)


LOSSES = [lose_connection, break_event, end_within_event, stay_silent]


@pytest.mark.parametrize("lose", LOSSES)
def test_each_target_is_told_where_a_stream_goes_on(service, lose):
    """Guards against a run that begins anew and is joined to the one before (ORDER)."""
    bench, caller = send_stream(service)
    assert bench.protocol.dispatches[-1].resume_after is None
    bench.begin()
    bench.event(1)
    bench.event(2)
    lose(bench)
    assert len(bench.port.calls) == 2
    assert bench.protocol.dispatches[-1].resume_after == "2"
    bench.begin()
    bench.event(3)
    bench.end()
    assert caller.ended
    assert caller.body == b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in (1, 2, 3))


@pytest.mark.parametrize(("events", "resume_after"), [(0, "7"), (2, "9")])
def test_each_target_is_told_where_a_caller_takes_a_stream_up(
    service, events, resume_after
):
    """Guards against a stream that begins anew although its caller has a part."""
    bench, _ = send_stream(service, after="7")
    bench.reply_release("v1")
    assert bench.protocol.dispatches[-1].resume_after == "7"
    bench.begin()
    for number in range(8, 8 + events):
        bench.event(number)
    bench.fail("connection_lost")
    assert bench.protocol.dispatches[-1].resume_after == resume_after


def send_events(bench, numbers, text="x"):
    """Send events of a run, whose text names it, until the run is cancelled."""
    call = bench.call
    bench.begin(call=call)
    for number in numbers:
        if call.is_open:
            bench.event(number, call, text)


@pytest.mark.parametrize("numbers", [(1, 2, 3), (2, 3), (1, 3)])
def test_run_that_does_not_continue_the_stream_is_not_joined_to_it(service, numbers):
    """Guards against pieces of two runs in one answer (ORDER)."""
    bench, caller = send_stream(service)
    send_events(bench, (1, 2))
    bench.fail("connection_lost")
    anew = bench.call
    send_events(bench, numbers, text="other")
    assert anew in bench.port.cancelled
    assert bench.call is not anew
    assert bench.protocol.dispatches[-1].resume_after == "2"
    send_events(bench, (3,))
    bench.end()
    assert caller.ended
    assert b"other" not in caller.body
    assert caller.body.count(b"data:") == 3


def test_stream_that_no_target_continues_is_broken_off(service):
    """Guards against a joined stream that ends as complete (ORDER)."""
    bench, caller = send_stream(service)
    send_events(bench, (1, 2))
    bench.fail("connection_lost")
    for run in ("second", "third"):
        send_events(bench, (1, 2, 3), text=run)
    assert caller.aborted
    assert not caller.ended
    assert caller.body.count(b"data:") == 2


@pytest.mark.parametrize(
    ("numbers", "is_whole"), [((1, 2, 3), True), ((2, 3), False), ((1, 3), False)]
)
def test_run_that_repeats_what_the_caller_has_must_repeat_all_of_it(
    service, numbers, is_whole
):
    """Guards against a run of which only a part is known to be the same."""
    bench, caller = send_stream(service)
    send_events(bench, (1, 2))
    bench.fail("connection_lost")
    send_events(bench, numbers)
    assert caller.body.count(b"data:") == (3 if is_whole else 2)


def test_run_that_begins_anew_is_not_joined_to_a_stream_that_is_taken_up(service):
    """Guards against a stream that goes on with another run for its caller (ORDER)."""
    bench, caller = send_stream(service, after="2")
    bench.reply_release("v1")
    for _ in range(3):
        send_events(bench, (1, 2, 3))
    assert len(bench.port.calls) == 3
    assert caller.body == b""
    assert caller.status == 502
    assert caller.headers["verdict"] != "not-run"


def test_stream_is_not_resumed_behind_an_event_without_an_id(service):
    """Guards against an event that comes twice because its place is not known."""
    bench, caller = send_stream(service)
    send_events(bench, (1,))
    bench.forwarder.on_data(bench.call, b"data: no id\n\n")
    bench.fail("connection_lost")
    assert len(bench.port.calls) == 1
    assert caller.aborted


def test_stream_is_resumed_if_an_event_with_an_id_follows_one_without(service):
    """Guards against streams broken off although their place is known again."""
    bench, _ = send_stream(service)
    send_events(bench, (1,))
    bench.forwarder.on_data(bench.call, b"data: no id\n\n")
    bench.event(2)
    bench.fail("connection_lost")
    assert bench.protocol.dispatches[-1].resume_after == "2"


@pytest.mark.parametrize("event_id", ["\u00b2", "1" * 5_000, "a", "-1", ""])
def test_odd_event_ids_are_passed_on(service, event_id):
    """Guards against an event id that ends the handling of its stream."""
    bench, caller = send_stream(service)
    send_events(bench, (1,))
    data = f"id: {event_id}\ndata: x\n\n".encode("latin-1")
    bench.forwarder.on_data(bench.call, data)
    bench.end()
    assert caller.ended
    assert data in caller.body


@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT])
def test_place_in_a_stream_means_nothing_for_other_kinds(service, kind):
    """Guards against plain requests that are refused as take-ups of a stream."""
    route = build_route("work", kind, service, resumable=True)
    bench = Bench(*TARGETS, configuration=build_configuration(routes=(route,)))
    fields = {"tokens": 10} if service == "engines" else {}
    caller = bench.send("/work/x", after="3", **fields)
    bench.respond()
    assert caller.status == 200


def test_response_of_a_route_without_resumable_streams_is_whole(service):
    """Guards against events that are dropped although no run is to continue."""
    route = build_route("work", RequestKind.STREAM, service)
    bench = Bench(*TARGETS, configuration=build_configuration(routes=(route,)))
    fields = {"tokens": 10} if service == "engines" else {}
    caller = bench.send("/work/x", after="2", **fields)
    bench.reply_release("v1")
    send_events(bench, (1, 2, 3))
    bench.end()
    assert caller.body.count(b"data:") == 3
