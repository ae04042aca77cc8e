"""Tests of the limits and permits of an entry process with a leader."""

import pytest
from structlog.testing import capture_logs

from papayacrank.permits import PermitOutcome, RateKnowledge, RateStatement
from papayacrank.permits._allocator import (
    MAX_WAIT_MS,
    MIN_RAISE_INTERVAL_MS,
    PERMIT_LIFETIME_MS,
    RELEASE_STEPS,
)
from papayacrank.permits._client import NO_REPLY_BACKOFF_MS, REPORT_INTERVAL_MS

from .builders import Pair, build_observation, build_statement

GRANTED, REFUSED = PermitOutcome.GRANTED, PermitOutcome.REFUSED


def end_limit(pair):
    """Let the responses of a target state no limit until the limit has ended."""
    for _ in range(RELEASE_STEPS):
        pair.advance(MIN_RAISE_INTERVAL_MS)
        pair.state(None)
    assert pair.leader.rate_of("t") is None


@pytest.fixture
def pair():
    """Return a leader and an entry process that know a limit of 2 requests/s."""
    pair = Pair()
    pair.state(2.0)
    pair.advance(10_000)
    return pair


# Permits


def test_permits_follow_the_stated_rate(pair):
    """Guards against permits beyond the rate of a target."""
    outcomes = []
    for number in range(100):
        outcomes.append(pair.acquire(f"r{number}", 0).outcome)
        pair.advance(100)
    assert 20 <= outcomes.count(GRANTED) <= 21


def test_permit_is_reserved_for_a_request_that_can_wait(pair):
    """Guards against a refusal just before a permit is free."""
    assert pair.acquire("r1", 0).outcome is GRANTED
    pair.advance(300)
    decision = pair.acquire("r2", 200)
    assert decision.outcome is GRANTED
    assert decision.permit.from_ms == pair.now_ms + 200
    assert pair.acquire("r3", 300).outcome is REFUSED


def test_refusal_names_the_time_of_the_next_permit(pair):
    """Guards against requests that ask again and again in vain."""
    pair.acquire("r1", 0)
    assert pair.acquire("r2", 0).outcome is REFUSED
    assert pair.client.wait_ms("t", pair.now_ms) == 500
    pair.advance(500)
    assert pair.client.wait_ms("t", pair.now_ms) == 0
    assert pair.acquire("r3", 0).outcome is GRANTED


def test_permit_lapses_in_a_suspended_process(pair):
    """Guards against a permit that is used long after its time."""
    request = pair.client.request("r1", "t", 0, pair.now_ms)
    reply = pair.leader.request(request, pair.now_ms)
    decision, _ = pair.client.receive(reply, pair.now_ms)
    assert decision.permit.until_ms == pair.now_ms + PERMIT_LIFETIME_MS
    request = pair.client.request("r2", "t", 0, pair.now_ms)
    pair.advance(500)
    reply = pair.leader.request(request, pair.now_ms)
    pair.advance(PERMIT_LIFETIME_MS)
    decision, _ = pair.client.receive(reply, pair.now_ms)
    assert decision.outcome is PermitOutcome.LAPSED


def test_unused_permit_is_returned_once(pair):
    """Guards against permits that are lost, or come back twice."""
    decision = pair.acquire("r1", 0)
    messages = pair.client.give_back(decision.permit, pair.now_ms)
    pair.deliver(messages * 2)
    assert pair.acquire("r2", 0).outcome is GRANTED
    assert pair.acquire("r3", 0).outcome is REFUSED


def test_lapsed_permit_is_not_returned(pair):
    """Guards against a returned permit whose request may have been sent."""
    decision = pair.acquire("r1", 0)
    pair.advance(PERMIT_LIFETIME_MS)
    assert pair.client.give_back(decision.permit, pair.now_ms) == []


def test_permit_of_a_cancelled_request_is_returned(pair):
    """Guards against permits that are wasted on callers who have left."""
    request = pair.client.request("r1", "t", 0, pair.now_ms)
    pair.client.cancel("r1")
    pair.deliver([request])
    assert "r1" not in pair.decisions
    assert pair.acquire("r2", 0).outcome is GRANTED


def test_request_does_not_wait_for_a_leader_that_is_gone(pair):
    """Guards against requests that wait one after the other without a leader."""
    pair.client.request("r1", "t", 300, pair.now_ms)
    decision = pair.client.abandon("r1", pair.now_ms)
    assert decision.outcome is PermitOutcome.NO_REPLY
    assert pair.client.wait_ms("t", pair.now_ms) == NO_REPLY_BACKOFF_MS
    assert pair.client.abandon("r1", pair.now_ms) is None


def test_new_leader_grants_nothing_while_older_permits_are_valid(pair):
    """Guards against a full bucket after each change of the leader."""
    assert pair.acquire("r1", 0).outcome is GRANTED
    pair.elect(2)
    pair.client.set_term(2)
    assert pair.acquire("r2", MAX_WAIT_MS).outcome is REFUSED
    pair.advance(MAX_WAIT_MS + 500)
    assert pair.acquire("r3", 0).outcome is GRANTED


def test_target_that_accepts_nothing_still_gets_some_requests(pair):
    """Guards against a limit of 0 whose end no response can state."""
    pair.state(0.0)
    pair.advance(60_000)
    assert pair.acquire("r1", 0).outcome is GRANTED
    assert pair.acquire("r2", 300).outcome is REFUSED
    pair.advance(9_900)
    assert pair.acquire("r3", 0).outcome is REFUSED
    pair.advance(100)
    assert pair.acquire("r4", 0).outcome is GRANTED


# Limits


def test_lower_limit_applies_at_once(pair):
    """Guards against requests at a rate that a target has reduced."""
    pair.state(0.5)
    assert pair.client.rate_of("t") == pair.leader.rate_of("t") == 0.5


def test_limit_rises_by_a_later_response(pair):
    """Guards against a limit that is kept after it was raised."""
    pair.state(5.0)
    assert pair.client.rate_of("t") == pair.leader.rate_of("t") == 5.0


def test_limit_ends_in_steps(pair):
    """Guards against all instances that send to a target at once."""
    rates = []
    for _ in range(RELEASE_STEPS):
        pair.state(None)
        rates.append(pair.client.rate_of("t"))
        pair.advance(MIN_RAISE_INTERVAL_MS)
    assert rates == [8.0, 32.0, None]


def test_limit_that_is_stated_again_starts_anew(pair):
    """Guards against a limit that ends although its target still states it."""
    for _ in range(4):
        pair.state(None)
        pair.advance(MIN_RAISE_INTERVAL_MS)
        pair.state(2.0)
        pair.advance(MIN_RAISE_INTERVAL_MS)
    assert pair.client.rate_of("t") == pair.leader.rate_of("t") == 2.0


@pytest.mark.parametrize("per_s", [None, 5.0])
def test_older_response_does_not_raise_or_end_a_limit(pair, per_s):
    """Guards against responses that overtake each other."""
    before = pair.client.knowledge_of("t")
    pair.state(1.0)
    pair.advance(MIN_RAISE_INTERVAL_MS)
    assert pair.observe(per_s, knowledge=before) == []
    pair.deliver(pair.observe(per_s, knowledge=RateKnowledge()))
    assert pair.leader.rate_of("t") == 1.0


def test_permit_request_with_older_knowledge_does_not_lower_a_limit(pair):
    """Guards against a limit that falls back with each request on its way."""
    request = pair.client.request("r1", "t", 0, pair.now_ms)
    pair.state(5.0)
    pair.deliver([request])
    assert pair.leader.rate_of("t") == 5.0


@pytest.mark.parametrize("is_newest_first", [False, True])
def test_new_leader_takes_the_newest_of_the_repeated_limits(is_newest_first):
    """Guards against a limit of an instance that missed the last changes."""
    pair = Pair()
    pair.elect(3)
    reports = [
        build_observation(2.0, term=1, revision=9, is_fresh=False),
        build_observation(4.0, term=1, revision=8, is_fresh=False),
        build_observation(4.0, term=2, revision=1, is_fresh=False),
    ]
    for report in reversed(reports) if is_newest_first else reports:
        pair.leader.observe(report, "i1", pair.now_ms)
    assert pair.leader.rate_of("t") == 4.0


def test_failure_does_not_end_a_limit(pair):
    """Guards against a refusal, or a late response, that does not state the limit."""
    assert pair.observe(None, may_raise=False) == []


def test_unreadable_limit_changes_nothing(pair):
    """Guards against a bad value that ends a limit or sets one."""
    known = pair.client.knowledge_of("t")
    statement = RateStatement(None, "nan")
    for target in ("t", "u"):
        messages = pair.client.observe(
            target, 0, statement, known, True, "r", pair.now_ms
        )
        assert messages == []
    assert pair.client.rate_of("t") == 2.0
    assert pair.client.rate_of("u") is None


def test_unreadable_limit_is_logged_once_for_each_target(pair):
    """Guards against a log line for each response."""
    known = pair.client.knowledge_of("t")
    with capture_logs() as lines:
        for statement in [RateStatement(None, "x"), None] * 10:
            pair.client.observe("t", 0, statement, known, True, "r", pair.now_ms)
    assert [line["event"] for line in lines] == ["rate_limit_unreadable"]


def test_changing_limits_cause_few_changes_of_the_table(pair):
    """Guards against a message to all instances for each response."""
    before = pair.leader.position[1]
    for number in range(100):
        pair.deliver(pair.observe(2.0 + number % 2))
        pair.advance(20)
    assert pair.leader.position[1] - before <= 4


def test_unconfirmed_limit_is_reported_again():
    """Guards against a lost report after which only one instance keeps the limit."""
    pair = Pair()
    pair.observe(2.0)
    assert pair.client.poll(pair.now_ms) == []
    pair.advance(REPORT_INTERVAL_MS)
    pair.deliver(pair.client.poll(pair.now_ms))
    assert pair.leader.rate_of("t") == 2.0
    pair.advance(REPORT_INTERVAL_MS)
    assert pair.client.poll(pair.now_ms) == []


def test_limits_are_repeated_to_a_new_leader(pair):
    """Guards against a limit that a change of the leader ends."""
    pair.elect(2)
    pair.client.set_term(2)
    pair.deliver(pair.client.poll(pair.now_ms))
    assert pair.leader.rate_of("t") == 2.0
    end_limit(pair)


def test_limit_that_has_ended_is_not_restored_by_an_instance_that_was_cut_off(pair):
    """Guards against old knowledge that overrides a later response."""
    other = Pair()
    other.leader = pair.leader
    other.client.apply_rates(pair.leader.table())
    end_limit(pair)
    other.deliver(other.client.poll(pair.now_ms))
    other.now_ms = pair.now_ms
    assert other.acquire("r1").outcome is PermitOutcome.UNLIMITED
    assert other.client.rate_of("t") is None
    assert pair.leader.rate_of("t") is None


def test_report_that_crosses_a_change_is_not_lost(pair):
    """Guards against a lower limit that a message on its way overwrites."""
    pair.advance(MIN_RAISE_INTERVAL_MS)
    lost = pair.observe(1.0)
    assert lost
    pair.leader.observe(build_observation(1.5), "i2", pair.now_ms)
    pair.client.apply_rates(pair.leader.pop_change())
    assert pair.client.rate_of("t") == 1.0
    pair.advance(REPORT_INTERVAL_MS)
    pair.deliver(pair.client.poll(pair.now_ms))
    assert pair.leader.rate_of("t") == 1.0


def test_limit_ends_when_its_target_starts_again():
    """Guards against the limit of a process that has ended."""
    pair = Pair()
    pair.deliver(pair.observe(2.0, start=5))
    pair.client.retain([("t", 5)])
    pair.leader.retain({"t": 5})
    assert pair.client.rate_of("t") == pair.leader.rate_of("t") == 2.0
    pair.client.retain([("t", 6)])
    pair.leader.retain({"t": 6})
    assert pair.client.rate_of("t") is None
    assert pair.leader.rate_of("t") is None


def test_limit_of_an_earlier_start_is_not_restored_by_a_permit_request():
    """Guards against an instance with an older list of the targets."""
    pair = Pair()
    pair.deliver(pair.observe(2.0, start=5))
    pair.leader.retain({"t": 6})
    assert pair.acquire("r1").outcome is PermitOutcome.UNLIMITED
    assert pair.leader.rate_of("t") is None


def test_late_report_about_an_earlier_start_is_ignored():
    """Guards against a limit of the process that used a name before."""
    pair = Pair()
    pair.deliver(pair.observe(2.0, start=6))
    late = build_observation(1.0, start=5)
    assert not pair.leader.observe(late, "i2", pair.now_ms)
    assert pair.leader.rate_of("t") == 2.0


def test_starting_process_gets_the_whole_table(pair):
    """Guards against a restarted instance that sends without permits."""
    started = Pair()
    started.client.apply_rates(pair.leader.table())
    assert started.client.rate_of("t") == 2.0
    assert started.client.position == pair.leader.position


def test_missed_change_does_not_advance_the_position(pair):
    """Guards against a lost message that is never sent again."""
    position = pair.client.position
    pair.leader.observe(build_observation(1.0), "i2", pair.now_ms)
    pair.leader.pop_change()
    pair.leader.observe(build_observation(0.5, target="u"), "i2", pair.now_ms)
    pair.client.apply_rates(pair.leader.pop_change())
    assert pair.client.rate_of("u") == 0.5
    assert pair.client.position == position


# Calls of the leader


def test_calls_of_the_leader_are_charged_and_bounded(pair):
    """Guards against status requests that exceed the limit of an engine."""
    calls = 0
    for _ in range(100):
        calls += pair.leader.charge_call("t", pair.now_ms) == 0
        pair.advance(60)
    assert calls <= 4 + 2.0 * 6
    assert pair.acquire("r1", 300).outcome is REFUSED


def test_response_to_the_leader_only_sets_or_lowers_a_limit():
    """Guards against a limit that ends because a report does not state it."""
    pair = Pair()
    for per_s, expected in ((1.5, 1.5), (3.0, 1.5), (None, 1.5), (1.0, 1.0)):
        pair.advance(MIN_RAISE_INTERVAL_MS)
        statement = build_statement(per_s)
        pair.leader.observe_response("t", 0, statement, pair.now_ms)
        assert pair.leader.rate_of("t") == expected
