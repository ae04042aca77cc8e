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
