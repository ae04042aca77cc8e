"""Tests of the suspected and quarantined parts as known by an entry process."""

import pytest

from papayacrank.messages import (
    PartsCleared,
    PartSuspicion,
    QuarantineKnowledge,
    QuarantineTable,
    QuarantineVerdict,
    TrialEnded,
    TrialReply,
)
from papayacrank.quarantine import (
    MAX_PARTS_PER_REQUEST,
    PartsAdmission,
    QuarantineClient,
    TrialOutcome,
)
from papayacrank.quarantine._client import (
    BEGUN_KEPT_MS,
    CLEAR_INTERVAL_MS,
    KNOWLEDGE_INTERVAL_MS,
    MAX_BEGUN_PARTS,
)

NOW_MS = 500_000


def build_suspicion(name, crashes=2, age_ms=0, revision=1, needs_trial=None):
    """Return a suspicion; it needs a trial from two crashes on."""
    needs_trial = crashes >= 2 if needs_trial is None else needs_trial
    return PartSuspicion(name, crashes, needs_trial, age_ms, revision)


def build_verdict(*parts, number=1, workspaces=(), lapses_in_ms=600_000, revision=1):
    """Return a verdict; without parts it is lifted."""
    return QuarantineVerdict(
        number, list(parts), list(workspaces), 3, lapses_in_ms, 1, revision
    )


def build_table(suspicions=(), verdicts=(), base=0, revision=1, term=1):
    """Return a change of the table."""
    return QuarantineTable(term, base, revision, list(suspicions), list(verdicts))


@pytest.fixture
def client():
    """Return an entry process without any knowledge."""
    client = QuarantineClient("i1@1")
    client.set_term(1)
    return client


def test_only_requests_with_all_parts_of_a_verdict_are_refused(client):
    """Guards against sound requests that are refused with one part of it."""
    client.apply(build_table([], [build_verdict("x", "c")]), NOW_MS)
    refused = client.check("w", ("rules", "c", "x"), NOW_MS)
    assert refused.admission is PartsAdmission.REFUSED
    assert (refused.verdict, refused.retry_after_ms) == (1, 600_000)
    assert client.check("w", ("c",), NOW_MS).admission is PartsAdmission.ALLOWED
    assert client.quarantined_parts == 2


def test_verdict_binds_its_workspaces_only(client):
    """Guards against one workspace that blocks parts of another."""
    table = build_table([build_suspicion("x")], [build_verdict("x", workspaces=["w"])])
    client.apply(table, NOW_MS)
    assert client.check("w", ("x",), NOW_MS).admission is PartsAdmission.REFUSED
    assert client.check("v", ("x",), NOW_MS).admission is PartsAdmission.NEEDS_TRIAL


def test_verdict_of_requests_without_a_key_binds_only_these(client):
    """Guards against an empty workspace that is taken for all."""
    table = build_table([], [build_verdict("x", workspaces=[""])])
    client.apply(table, NOW_MS)
    assert client.check("", ("x",), NOW_MS).admission is PartsAdmission.REFUSED
    assert client.check("v", ("x",), NOW_MS).admission is PartsAdmission.ALLOWED


def test_lapsed_verdict_needs_a_trial_without_a_message(client):
    """Guards against a lapse that all instances take as free at once."""
    client.apply(build_table([], [build_verdict("x")]), NOW_MS)
    decision = client.check("w", ("x",), NOW_MS + 600_000)
    assert decision.admission is PartsAdmission.NEEDS_TRIAL
    assert decision.verdict == 1


def test_response_begun_before_the_suspicion_arrives_clears_the_part(client):
    """Guards against a hot part on trial because its report was slow."""
    client.on_begun(("rules", "a"), NOW_MS)
    table = build_table([build_suspicion("rules", 1, 300), build_suspicion("x", 1)])
    messages = client.apply(table, NOW_MS + 100)
    assert messages == [PartsCleared("i1@1", ["rules"], 100)]


def test_response_before_the_crash_clears_nothing(client):
    """Guards against parts that are cleared by what an earlier build answered."""
    client.on_begun(("q",), NOW_MS)
    assert client.apply(build_table([build_suspicion("q", 1, 50)]), NOW_MS + 100) == []


def test_response_before_the_crash_is_reported_once_the_part_is_on_trial(client):
    """Guards against a leader that cannot tell a hot part from a new one."""
    client.on_begun(("q",), NOW_MS)
    messages = client.apply(build_table([build_suspicion("q", 2, 50)]), NOW_MS + 100)
    assert messages == [PartsCleared("i1@1", ["q"], 100)]


def test_response_of_long_ago_is_not_reported(client):
    """Guards against trust in a part that no target has answered for a while."""
    client.on_begun(("q",), NOW_MS)
    now_ms = NOW_MS + BEGUN_KEPT_MS + 1
    assert client.apply(build_table([build_suspicion("q", 2, 50)]), now_ms) == []


def test_hot_part_is_cleared_by_one_message_until_the_leader_answers(client):
    """Guards against a message for each response on a hot part."""
    client.apply(build_table([build_suspicion("rules", 1, 10)]), NOW_MS)
    sent = [client.on_begun(("rules",), NOW_MS + ms) for ms in range(1, 101)]
    assert sum(map(len, sent)) == 1
    assert client.on_begun(("rules",), NOW_MS + 1 + CLEAR_INTERVAL_MS)


def test_table_of_begun_parts_is_bounded(client):
    """Guards against memory that grows with the names that callers choose."""
    for number in range(MAX_BEGUN_PARTS + 100):
        client.on_begun((f"p{number}",), NOW_MS)
    assert not client.was_begun("p99")
    assert client.was_begun("p100")


def test_report_keeps_the_parts_that_are_not_known_to_be_sound(client):
    """Guards against a deadly part behind as many others as a report may hold."""
    sound = tuple(f"p{n}" for n in range(MAX_PARTS_PER_REQUEST))
    client.on_begun(sound, NOW_MS)
    selected = client.select_parts((*sound, "x"))
    assert len(selected) == MAX_PARTS_PER_REQUEST
    assert "x" in selected


def test_change_of_an_earlier_term_is_ignored(client):
    """Guards against a former leader that undoes a verdict."""
    client.apply(build_table([], [build_verdict("x")], term=2), NOW_MS)
    client.apply(build_table([], [build_verdict()], term=1, revision=9), NOW_MS)
    assert client.position == (2, 1)
    assert len(client.list_verdicts(NOW_MS)) == 1


def test_older_state_of_a_verdict_is_ignored(client):
    """Guards against overtaking messages that widen a narrowed verdict."""
    client.apply(build_table([], [build_verdict("x", revision=3)], 0, 3), NOW_MS)
    client.apply(build_table([], [build_verdict("x", "c", revision=2)], 1, 2), NOW_MS)
    assert [v.parts for v in client.list_verdicts(NOW_MS)] == [["x"]]


def test_missed_change_keeps_the_position_back(client):
    """Guards against a lost message that nobody sends again."""
    client.apply(build_table([], [], 0, 1), NOW_MS)
    client.apply(build_table([], [build_verdict("x", revision=3)], 2, 3), NOW_MS)
    assert client.position == (1, 1)


def test_whole_table_removes_what_it_does_not_list(client):
    """Guards against a verdict that stays because its end was missed."""
    table = build_table([build_suspicion("x")], [build_verdict("x")])
    client.apply(table, NOW_MS)
    client.apply(build_table([], [], 0, 5), NOW_MS)
    assert client.list_verdicts(NOW_MS) == []
    assert client.suspected_parts == 0


def test_knowledge_is_repeated_until_a_new_leader_confirms_it(client):
    """Guards against verdicts that a change of the leader loses."""
    table = build_table([build_suspicion("y")], [build_verdict("x")])
    client.apply(table, NOW_MS)
    assert client.poll(NOW_MS) == []
    client.set_term(2)
    for ms in (0, KNOWLEDGE_INTERVAL_MS):
        (message,) = client.poll(NOW_MS + ms)
        assert isinstance(message, QuarantineKnowledge)
        assert (message.term, message.revision) == (1, 1)
        assert [s.name for s in message.suspicions] == ["y"]
        assert [v.parts for v in message.verdicts] == [["x"]]
        assert client.poll(NOW_MS + ms + 1) == []
    assert client.check("w", ("x",), NOW_MS).admission is PartsAdmission.REFUSED
    client.apply(build_table([build_suspicion("y")], [], term=2), NOW_MS)
    (message,) = client.poll(NOW_MS + 2 * KNOWLEDGE_INTERVAL_MS)
    assert message.suspicions == []
    client.apply(build_table([], [build_verdict("x")], 1, 2, term=2), NOW_MS)
    assert client.poll(NOW_MS + 3 * KNOWLEDGE_INTERVAL_MS) == []


def test_unconfirmed_verdict_survives_the_table_of_a_new_leader(client):
    """Guards against a restarted leader whose empty table ends all verdicts."""
    client.apply(build_table([], [build_verdict("x")]), NOW_MS)
    client.apply(build_table([], [], term=2), NOW_MS)
    assert client.check("w", ("x",), NOW_MS).admission is PartsAdmission.REFUSED


def test_lifted_verdict_is_repeated_to_a_new_leader(client):
    """Guards against another process that brings a lifted verdict back."""
    client.apply(build_table([], [build_verdict("x")]), NOW_MS)
    client.apply(build_table([], [build_verdict(revision=2)], 1, 2), NOW_MS)
    client.set_term(2)
    (message,) = client.poll(NOW_MS)
    assert [(v.number, v.parts) for v in message.verdicts] == [(1, [])]
    assert client.poll(NOW_MS + KNOWLEDGE_INTERVAL_MS) == []


def test_reply_after_the_wait_ends_the_trial(client):
    """Guards against a trial that is granted to nobody and blocks the part."""
    request = client.request_trial("r", "w", ("x",), NOW_MS)
    decision = client.abandon("r", NOW_MS + 150)
    assert decision.outcome is TrialOutcome.NO_REPLY
    assert client.withdraw_trials() == [TrialEnded("i1@1", request.number)]
    reply = TrialReply(1, request.number, NOW_MS, True)
    assert client.receive(reply, NOW_MS + 200) == (
        None,
        [TrialEnded("i1@1", request.number)],
    )


def test_trial_ends_once(client):
    """Guards against an end that belongs to a later state of the leader."""
    request = client.request_trial("r", "w", ("x",), NOW_MS)
    client.receive(TrialReply(1, request.number, NOW_MS, True), NOW_MS)
    assert client.end_trial(request.number) == [TrialEnded("i1@1", request.number)]
    assert client.end_trial(request.number) == []
    assert client.end_trial(0) == []
