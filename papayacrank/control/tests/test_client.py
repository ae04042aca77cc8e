"""Tests of the control client."""

import random

from papayacrank.control import ControlClient, LeaderHint, RequestFinished
from papayacrank.control import _client as client_module
from papayacrank.kernel import Send, SetTimer, Verdict
from papayacrank.messages import (
    ControlReply,
    Done,
    FailureRecord,
    FileRouting,
    NotLeader,
    ReadState,
    RoutingConfiguration,
)

COMMAND = ReadState("status")


def build_client(**fields):
    """Return a client of a group with three members."""
    hint = LeaderHint(["c1", "c2", "c3"])
    return ControlClient("entry/i1", 3, hint, random.Random(1), **fields)


def sent_requests(effects):
    return [(e.to, e.message.request_id) for e in effects if isinstance(e, Send)]


def finished_requests(effects):
    return [e for e in effects if isinstance(e, RequestFinished)]


def test_resend_keeps_the_request_id_and_outcome_is_reported_once():
    """Guards against a resend that is executed as a second command."""
    client = build_client()
    request_id, effects = client.submit(COMMAND, 0)
    assert sent_requests(effects) == [(name, request_id) for name in ("c1", "c2", "c3")]
    timer = next(e for e in effects if isinstance(e, SetTimer))
    again = client.tick(timer.name, timer.at_ms)
    assert {sent_id for _, sent_id in sent_requests(again)} == {request_id}
    reply = ControlReply(request_id, Done())
    outcomes = finished_requests(client.receive("c2", reply, 300))
    assert outcomes[0].outcome.ok == Done()
    assert client.receive("c2", reply, 301) == []
    assert client.tick(timer.name, 9_000) == []


def test_large_command_is_not_sent_again_before_it_can_have_arrived():
    client = build_client()
    command = FileRouting(RoutingConfiguration(1), bytes(1_250_000))
    _, effects = client.submit(command, 0)
    timer = next(e for e in effects if isinstance(e, SetTimer))
    # 1.25 MB take 100 ms at 100 Mbit/s.
    assert timer.at_ms > 100


def test_redirect_to_the_leader_is_followed_and_remembered():
    """Guards against waiting for a resend although the leader is known."""
    client = build_client()
    request_id, _ = client.submit(COMMAND, 0)
    effects = client.receive("c1", NotLeader(request_id, "c3"), 5)
    assert sent_requests(effects) == [("c3", request_id)]
    assert client.receive("c2", NotLeader(request_id, "unknown"), 6) == []
    _, effects = client.submit(COMMAND, 7)
    assert [to for to, _ in sent_requests(effects)] == ["c3"]


def test_timeout_reports_an_unknown_outcome():
    """Guards against the verdict "not run" for a command that may be committed."""
    client = build_client(timeout_ms=1_000)
    request_id, _ = client.submit(COMMAND, 0)
    effects = client.tick(f"control-client:{request_id}", 1_000)
    failure = finished_requests(effects)[0].outcome.error
    assert (failure.code, failure.verdict) == ("control_timeout", Verdict.MAY_HAVE_RUN)
    assert client.pending_requests == 0


def test_failures_and_the_limit_are_reported_as_outcomes(monkeypatch):
    """Guards against an unbounded table, and a failure reported as success."""
    monkeypatch.setattr(client_module, "MAX_PENDING_REQUESTS", 1)
    client = build_client()
    request_id, _ = client.submit(COMMAND, 0)
    _, effects = client.submit(COMMAND, 0)
    assert finished_requests(effects)[0].outcome.error.code == "control_overloaded"
    record = FailureRecord("conflict", "not-run", "taken", 409)
    effects = client.receive("c1", ControlReply(request_id, failure=record), 1)
    assert finished_requests(effects)[0].outcome.error.code == "conflict"


def test_leader_outside_the_configuration_is_accepted():
    """Guards against a process that only knows former members of the group."""
    fixed_hint = LeaderHint(["c1"])
    assert not fixed_hint.learn("c4")
    hint = LeaderHint(["c1"], accepts_new=True)
    assert hint.learn("c4")
    assert [send.to for send in hint.build_sends("x")] == ["c4"]
    hint.forget()
    assert [send.to for send in hint.build_sends("x")] == ["c1", "c4"]
