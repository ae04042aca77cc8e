"""Tests of the control client."""

import random

from papayacrank.control import ControlClient, LeaderHint, RequestFinished
from papayacrank.control import _client as client_module
from papayacrank.kernel import Send, SetTimer, Verdict
from papayacrank.messages import (
    ControlReply,
    Done,
    FailureRecord,
    NotLeader,
    ReadState,
)

COMMAND = ReadState("status")


def build_client(**fields):
    """Build a client of three members."""
    hint = LeaderHint(["c1", "c2", "c3"])
    return ControlClient("entry/i1", 3, hint, random.Random(1), **fields)


def sends(effects):
    return [(e.to, e.message.request_id) for e in effects if isinstance(e, Send)]


def finished(effects):
    return [e for e in effects if isinstance(e, RequestFinished)]


def test_resend_keeps_the_request_id_and_outcome_is_reported_once():
    """Guards against a resend that takes effect as a second command."""
    client = build_client()
    request_id, effects = client.submit(COMMAND, 0)
    assert sends(effects) == [(name, request_id) for name in ("c1", "c2", "c3")]
    timer = next(e for e in effects if isinstance(e, SetTimer))
    again = client.tick(timer.name, timer.at_ms)
    assert {sent for _, sent in sends(again)} == {request_id}
    reply = ControlReply(request_id, Done())
    outcomes = finished(client.receive("c2", reply, 300))
    assert outcomes[0].outcome.ok == Done()
    assert client.receive("c2", reply, 301) == []
    assert client.tick(timer.name, 9_000) == []


def test_redirect_leads_to_the_leader_and_is_remembered():
    """Guards against waiting for a resend although the leader is known."""
    client = build_client()
    request_id, _ = client.submit(COMMAND, 0)
    effects = client.receive("c1", NotLeader(request_id, "c3"), 5)
    assert sends(effects) == [("c3", request_id)]
    assert client.receive("c2", NotLeader(request_id, "unknown"), 6) == []
    _, effects = client.submit(COMMAND, 7)
    assert [to for to, _ in sends(effects)] == ["c3"]


def test_timeout_says_that_the_outcome_is_unknown():
    """Guards against "not run" for a command that may have been committed."""
    client = build_client(timeout_ms=1_000)
    request_id, _ = client.submit(COMMAND, 0)
    effects = client.tick(f"control-client:{request_id}", 1_000)
    failure = finished(effects)[0].outcome.error
    assert (failure.code, failure.verdict) == ("control_timeout", Verdict.MAY_HAVE_RUN)
    assert client.pending_requests == 0


def test_failures_and_the_limit_are_reported_as_outcomes(monkeypatch):
    """Guards against an unbounded table, and against a failure taken as success."""
    monkeypatch.setattr(client_module, "MAX_PENDING_REQUESTS", 1)
    client = build_client()
    request_id, _ = client.submit(COMMAND, 0)
    _, effects = client.submit(COMMAND, 0)
    assert finished(effects)[0].outcome.error.code == "control_overloaded"
    record = FailureRecord("conflict", "not-run", "taken", 409)
    effects = client.receive("c1", ControlReply(request_id, failure=record), 1)
    assert finished(effects)[0].outcome.error.code == "conflict"


def test_leader_that_was_not_configured_is_reached():
    """Guards against a process that knows only members which no longer lead."""
    closed = LeaderHint(["c1"])
    assert not closed.learn("c4")
    hint = LeaderHint(["c1"], accepts_new=True)
    assert hint.learn("c4")
    assert [send.to for send in hint.build_sends("x")] == ["c4"]
    hint.forget()
    assert [send.to for send in hint.build_sends("x")] == ["c1", "c4"]
