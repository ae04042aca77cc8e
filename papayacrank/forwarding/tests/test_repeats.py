"""Tests of requests that may have run, over all kinds of routes and of losses."""

import itertools

import pytest

from papayacrank.messages import RequestKind

from .builders import Bench, build_configuration, build_route, build_target

TARGETS = (
    *(build_target(f"p{n}") for n in (1, 2, 3)),
    *(build_target(f"e{n}", "engines") for n in (1, 2, 3)),
)
ROUTES = [
    pytest.param(kind, resumable, service, id=f"{kind.value}-{resumable}-{service}")
    for kind, resumable, service in itertools.product(
        RequestKind, (False, True), ("plain", "engines")
    )
]
# Longer than the response timeout of any request of these tests.
SILENCE_MS = 1_600


def lose_before_the_head(bench):
    """Reset the connection before the response."""
    bench.fail("connection_lost")


def send_no_response(bench):
    """Send bytes that are no response."""
    bench.fail("malformed_answer")


def lose_after_the_head(bench):
    """Reset the connection between the head and the body of the response."""
    bench.begin()
    bench.fail("connection_lost")


def lose_in_the_body(bench):
    """Reset the connection in the body, in a stream within its second event."""
    bench.begin()
    bench.forwarder.on_data(bench.call, b"id: 1\ndata: x1\n\nid: 2\nda")
    bench.fail("connection_lost")


def end_in_the_body(bench):
    """End a response, in a stream within its second event."""
    bench.begin(spoiled=1)
    bench.forwarder.on_data(bench.call, b"id: 1\ndata: x1\n\nid: 2\nda")
    bench.end()


def stay_silent(bench):
    """Send nothing."""
    bench.call.bytes_written = True
    bench.advance(SILENCE_MS)


def respond_without_an_id(bench):
    """Send the response to an earlier request on a reused connection."""
    call = bench.call
    call.reused = call.bytes_written = True
    if bench.forwarder.matches_call(call, 200, []):
        bench.forwarder.on_response(call, 200, [])
    bench.advance(SILENCE_MS)


def respond_with_an_error(bench):
    """Send a server error."""
    bench.respond(500)


LOSSES = [
    lose_before_the_head,
    send_no_response,
    lose_after_the_head,
    lose_in_the_body,
    end_in_the_body,
    stay_silent,
    respond_without_an_id,
    respond_with_an_error,
]


def send_on_route(kind, resumable, service):
    """Send a request on a route that allows three attempts."""
    route = build_route(
        "work", kind, service, resumable=resumable, max_attempts=3, objective_ms=400
    )
    bench = Bench(*TARGETS, configuration=build_configuration(routes=(route,)))
    fields = {"tokens": 10} if service == "engines" else {}
    return bench, bench.send("/work/x", **fields)


@pytest.mark.parametrize("lose", LOSSES)
@pytest.mark.parametrize(("kind", "resumable", "service"), ROUTES)
def test_request_that_may_have_run_is_repeated_on_repeatable_routes_only(
    kind, resumable, service, lose
):
    """Guards against a second run of a non-idempotent request (TWICE)."""
    bench, caller = send_on_route(kind, resumable, service)
    lose(bench)
    may_repeat = kind is RequestKind.IDEMPOTENT or (
        kind is RequestKind.STREAM and resumable
    )
    assert len(bench.port.calls) == (2 if may_repeat else 1)
    assert caller.headers.get("verdict") != "not-run"


@pytest.mark.parametrize("lose", [lose_before_the_head, stay_silent])
@pytest.mark.parametrize(
    ("before", "after"),
    [
        (RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT),
        (RequestKind.NON_IDEMPOTENT, RequestKind.IDEMPOTENT),
    ],
)
def test_request_of_a_route_that_has_changed_follows_the_stricter_kind(
    before, after, lose
):
    """Guards against a repeat that the configuration in force forbids (TWICE)."""
    bench, caller = send_on_route(before, False, "plain")
    route = build_route("work", after, max_attempts=3, objective_ms=400)
    bench.forwarder.apply_routing(build_configuration(2, routes=(route,)))
    lose(bench)
    assert len(bench.port.calls) == 1
    assert caller.headers.get("verdict") != "not-run"
