"""Tests of requests with prompt parts that are suspected to crash targets."""

import pytest

from papayacrank.messages import (
    CrashReport,
    PartsCleared,
    PartSuspicion,
    QuarantineTable,
    QuarantineVerdict,
    SuspectRequest,
    TrialEnded,
    TrialReply,
    TrialRequest,
)
from papayacrank.quarantine import name_request

from .builders import Bench, build_target

ENGINES = tuple(build_target(f"e{n}", "engines", born_ms=7) for n in (1, 2, 3))
PARTS = "a:10,b:10,own:5"
REQUEST = name_request("w1", "GET", "/reply/x", b"")
PATH_ERRORS = ("ETIMEDOUT", "EHOSTUNREACH")


def send(bench, parts=PARTS, path="/reply/x", **fields):
    """Send a streaming request with prompt parts."""
    return bench.send(path, tokens=25, parts=parts, **fields)


def sent(bench, kind):
    """Return the messages of a type to the leader."""
    return [m for m in bench.leader_messages if isinstance(m, kind)]


def suspect(bench, crashes=2, needs_trial=True, revision=1, parts=("a",)):
    """Make parts suspected, as the leader has decided."""
    items = [PartSuspicion(p, crashes, needs_trial, 0, revision) for p in parts]
    bench.quarantine.receive(QuarantineTable(1, revision - 1, revision, items, []))


def quarantine(bench, *parts, lapses_in_ms=60_000, workspaces=("w1",)):
    """Put parts into quarantine, as the leader has decided."""
    verdict = QuarantineVerdict(9, list(parts), list(workspaces), 3, lapses_in_ms, 1, 1)
    bench.quarantine.receive(QuarantineTable(1, 0, 1, [], [verdict]))


def reply(bench, granted=True, retry_after_ms=0):
    """Reply to the last trial request."""
    request = sent(bench, TrialRequest)[-1]
    bench.quarantine.receive(
        TrialReply(1, request.number, request.sent_ms, granted, retry_after_ms)
    )


@pytest.fixture
def bench():
    """Return a bench with three engines."""
    return Bench(*ENGINES)


@pytest.mark.parametrize("events", [None, 0, 1])
def test_crash_before_the_second_event_is_reported(bench, events):
    """Guards against crashes under a request that no leader hears of."""
    send(bench)
    first = bench.call
    if events is not None:
        bench.begin()
        for number in range(events):
            bench.event(number + 1)
    bench.fail()
    assert bench.address_check.addresses == [first.address]
    assert sent(bench, CrashReport) == []
    bench.advance(20)
    bench.address_check.finish(is_refused=True)
    (report,) = sent(bench, CrashReport)
    assert (report.start, report.age_ms) == (7, 20)
    assert report.suspects == [SuspectRequest("w1", [REQUEST, "a", "b"])]


def test_begun_response_is_no_suspect(bench):
    """Guards against hot parts that are blamed for the crashes of others."""
    send(bench)
    bench.begin()
    bench.event(1)
    bench.event(2)
    bench.fail()
    assert bench.address_check.addresses == []


def test_resumed_stream_is_no_suspect(bench):
    """Guards against parts that are blamed although a response on them had begun."""
    send(bench)
    bench.begin()
    bench.event(1)
    bench.event(2)
    bench.fail()
    assert len(bench.port.calls) == 2
    bench.fail()
    assert bench.address_check.addresses == []


@pytest.mark.parametrize(
    ("code", "message"),
    [
        *[("connection_lost", message) for message in PATH_ERRORS],
        ("connect_failed", "ECONNREFUSED"),
        ("connect_timeout", ""),
        ("malformed_answer", ""),
        ("answer_too_large", ""),
    ],
)
def test_failures_of_another_cause_are_no_crash(bench, code, message):
    """Guards against parts that are blamed for cut links or planned restarts."""
    send(bench)
    bench.fail(code, sent=not code.startswith("connect_"), message=message)
    assert bench.address_check.addresses == []


def test_expired_deadline_and_left_caller_are_no_crash(bench):
    """Guards against parts that are blamed for slow targets or impatient callers."""
    send(bench, deadline=1_000)
    caller = send(bench)
    bench.forwarder.on_caller_left(caller.exchange)
    bench.advance(1_000)
    assert bench.address_check.addresses == []


def test_reset_of_a_target_that_accepts_connections_is_no_crash(bench):
    """Guards against parts that are blamed for a single reset connection."""
    suspect(bench)
    send(bench)
    reply(bench)
    bench.fail("connection_lost", message="ECONNRESET")
    assert sent(bench, TrialEnded) == []
    bench.address_check.finish(is_refused=False)
    assert sent(bench, CrashReport) == []
    assert len(sent(bench, TrialEnded)) == 1


def test_report_of_a_crash_states_when_the_connection_was_opened(bench):
    """Guards against a crash of a new start that is taken for one of the former."""
    send(bench)
    bench.call.opened_ms = bench.clock.now_ms()
    bench.advance(30)
    bench.fail()
    bench.address_check.finish(is_refused=True)
    (report,) = sent(bench, CrashReport)
    assert (report.age_ms, report.opened_age_ms) == (0, 30)


def test_losses_at_one_target_need_one_check(bench):
    """Guards against a connection attempt for each request on a crashed target."""
    bench = Bench(ENGINES[0])
    for number in range(3):
        send(bench, parts=f"a:10,p{number}:10,own:5")
    for call in list(bench.port.calls):
        bench.fail(call=call)
    assert len(bench.address_check.addresses) == 1
    bench.address_check.finish(is_refused=True)
    (report,) = sent(bench, CrashReport)
    assert [s.parts[2] for s in report.suspects] == ["p0", "p1", "p2"]


def test_last_part_is_no_suspect(bench):
    """Guards against the last part, which is of one request, as a suspect."""
    send(bench, parts="own:5")
    bench.fail()
    bench.address_check.finish(is_refused=True)
    (report,) = sent(bench, CrashReport)
    assert report.suspects == [SuspectRequest("w1", [REQUEST])]


@pytest.mark.parametrize("path", ["/lookup/x", "/claim/x"])
def test_request_without_a_prompt_is_reported(bench, path):
    """Guards against crashes of plain services that no leader hears of."""
    bench = Bench(build_target("p1", "plain", born_ms=7))
    bench.send(path, b"body")
    bench.fail()
    bench.address_check.finish(is_refused=True)
    (report,) = sent(bench, CrashReport)
    name = name_request("w1", "GET", path, b"body")
    assert report.suspects == [SuspectRequest("w1", [name])]


@pytest.mark.parametrize("path", ["/lookup/x", "/claim/x"])
def test_quarantined_request_to_a_plain_service_is_not_sent(bench, path):
    """Guards against a verdict that binds only prompts."""
    bench = Bench(build_target("p1", "plain"))
    quarantine(bench, name_request("w1", "GET", path, b"deadly"))
    caller = bench.send(path, b"deadly")
    assert (caller.status, caller.headers["verdict"]) == (503, "not-run")
    bench.send(path, b"sound")
    assert len(bench.port.calls) == 1


def test_request_takes_part_in_two_crashes_at_most():
    """Guards against a request that takes down one target for each attempt."""
    bench = Bench(*ENGINES)
    route = bench.forwarder.fleet.index.find_route("h", "/reply/x")
    assert route.max_attempts == 2
    caller = send(bench)
    for _ in range(2):
        bench.fail()
        bench.address_check.finish(is_refused=True)
    assert len(bench.port.calls) == 2
    assert caller.status == 502


def test_quarantined_request_is_refused_at_once(bench):
    """Guards against requests that reach a target after the verdict."""
    quarantine(bench, "a", "b", lapses_in_ms=60_000)
    caller = send(bench)
    assert bench.port.calls == []
    assert (caller.status, caller.headers["code"]) == (503, "quarantined")
    assert caller.headers["verdict"] == "not-run"
    assert 0 < int(caller.headers["retry-after-ms"]) <= 60_000


def test_request_with_other_parts_is_served(bench):
    """Guards against sound requests that share a part with a quarantined one."""
    quarantine(bench, "a", "x")
    send(bench)
    assert len(bench.port.calls) == 1


def test_repeat_is_not_sent_after_the_verdict(bench):
    """Guards against a retry that crashes one more target."""
    caller = send(bench)
    quarantine(bench, "a")
    bench.fail()
    assert len(bench.port.calls) == 1
    assert caller.status == 502


def test_request_on_trial_waits_for_the_leader(bench):
    """Guards against several requests with a suspected part at the same time."""
    suspect(bench)
    send(bench)
    assert bench.port.calls == []
    reply(bench)
    assert len(bench.port.calls) == 1
    bench.fail()
    bench.address_check.finish(is_refused=True)
    (report,) = sent(bench, CrashReport)
    assert report.suspects[0].trial == sent(bench, TrialRequest)[0].number
    assert sent(bench, TrialEnded) == []


def test_request_without_a_trial_is_refused(bench):
    """Guards against requests on trial that wait until their callers leave."""
    suspect(bench)
    caller = send(bench)
    reply(bench, granted=False, retry_after_ms=700)
    assert bench.port.calls == []
    assert (caller.status, caller.headers["code"]) == (503, "quarantined")
    assert caller.headers["retry-after-ms"] == "700"


def test_begun_response_clears_its_parts_and_ends_its_trial(bench):
    """Guards against sound parts that stay on trial."""
    suspect(bench)
    send(bench)
    reply(bench)
    bench.advance(5)
    bench.begin()
    bench.event(1)
    assert sent(bench, PartsCleared) == []
    bench.event(2)
    (cleared,) = sent(bench, PartsCleared)
    assert "a" in cleared.parts
    assert len(sent(bench, TrialEnded)) == 1


def test_complete_response_of_one_event_clears_its_parts(bench):
    """Guards against parts of short responses that are never cleared."""
    suspect(bench, needs_trial=False, crashes=1)
    send(bench)
    bench.advance(5)
    bench.begin()
    bench.event(1)
    bench.end()
    assert len(sent(bench, PartsCleared)) == 1


def test_response_that_ends_with_its_connection_clears_nothing(bench):
    """Guards against the end of a crashed target as the end of its response."""
    suspect(bench, needs_trial=False, crashes=1)
    send(bench)
    bench.advance(5)
    bench.begin()
    bench.event(1)
    bench.call.ended_by_close = True
    bench.end()
    assert sent(bench, PartsCleared) == []
    assert len(bench.address_check.addresses) == 1


def test_stream_cut_inside_an_event_by_its_end_is_a_suspect(bench):
    """Guards against a crash that looks like the end of a response."""
    send(bench)
    bench.begin()
    call = bench.call
    bench.forwarder.on_data(call, b"id: 1\nda")
    call.ended_by_close = True
    bench.end(call)
    assert len(bench.address_check.addresses) == 1


def test_left_caller_ends_its_trial(bench):
    """Guards against a trial that nobody ends before it lapses."""
    suspect(bench)
    caller = send(bench)
    reply(bench)
    bench.forwarder.on_caller_left(caller.exchange)
    assert len(sent(bench, TrialEnded)) == 1


def test_trial_granted_after_the_caller_left_is_ended(bench):
    """Guards against a late grant that blocks the next trial."""
    suspect(bench)
    caller = send(bench)
    bench.forwarder.on_caller_left(caller.exchange)
    ended_before = len(sent(bench, TrialEnded))
    reply(bench)
    assert bench.port.calls == []
    request = sent(bench, TrialRequest)[-1]
    ended = sent(bench, TrialEnded)[ended_before:]
    assert [message.number for message in ended] == [request.number]


def test_loss_at_a_leaving_target_is_no_crash(bench):
    """Guards against parts that are blamed for a planned stop."""
    send(bench)
    bench.forwarder.table.mark_leaving(bench.target_of(bench.call))
    bench.fail()
    assert bench.address_check.addresses == []


def test_trial_is_kept_until_a_target_gets_the_request(bench):
    """Guards against a trial for each target that refuses connections."""
    suspect(bench)
    caller = send(bench)
    reply(bench)
    for _ in ENGINES:
        bench.fail("connect_failed", sent=False, message="ECONNREFUSED")
    assert len(sent(bench, TrialRequest)) == 1
    assert caller.status == 503
    assert len(sent(bench, TrialEnded)) == 1
