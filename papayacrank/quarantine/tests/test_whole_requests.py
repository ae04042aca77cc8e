"""Tests of the leader's decisions on whole requests that crash targets."""

import pytest

from papayacrank.messages import SuspectRequest
from papayacrank.quarantine import (
    MAX_PARTS_PER_REQUEST,
    PartsAdmission,
    QuarantineClient,
    name_request,
)
from papayacrank.quarantine._client import MAX_BEGUN_PARTS, MAX_BEGUN_REQUESTS
from papayacrank.quarantine._registry import NARROWING_INTERVAL_MS, SETTLING_MS
from papayacrank.quarantine._suspicions import MAX_SUSPICIONS

from .builders import START_MS, Group, build_report

ALLOWED = PartsAdmission.ALLOWED
NEEDS_TRIAL = PartsAdmission.NEEDS_TRIAL
REFUSED = PartsAdmission.REFUSED


def name(body, workspace="w", method="POST", target="/x"):
    """Return the name of a request."""
    return name_request(workspace, method, target, body)


DEADLY = name(b"deadly")


@pytest.fixture
def group():
    """Return a leader with two entry processes."""
    return Group()


# Names


def test_repeats_of_a_request_have_one_name():
    """Guards against repeats that are taken for other requests."""
    assert name(b"a") == name(b"a")
    others = [
        name(b"b"),
        name(b"a", workspace="v"),
        name(b"a", method="GET"),
        name(b"a", target="/x?y"),
        name(b"", target="/xa"),
        name(b"xa", target="/"),
    ]
    assert len({name(b"a"), *others}) == 1 + len(others)


def test_request_is_kept_beside_many_parts():
    """Guards against a request whose name is cut off behind its parts."""
    client = QuarantineClient("i1@1")
    parts = [f"p{number}" for number in range(2 * MAX_PARTS_PER_REQUEST)]
    selected = client.select_parts([*parts, DEADLY])
    assert selected[0] == DEADLY
    assert len(selected) == 1 + MAX_PARTS_PER_REQUEST


# Verdicts


@pytest.mark.parametrize("parts", [[], ["rules", "station"]])
def test_third_crash_of_a_request_leads_to_a_verdict(group, parts):
    """Guards against a request that crashes one target after the other."""
    for _ in range(2):
        group.crash([DEADLY, *parts])
        group.advance(1_000)
        group.begin(name(b"sound"), *parts)
    assert group.check(DEADLY, *parts) is NEEDS_TRIAL
    group.fail_trial(DEADLY, *parts)
    assert group.verdicts() == [[DEADLY]]
    assert group.check(DEADLY, *parts) is REFUSED
    assert group.check(name(b"sound"), *parts) is ALLOWED


def test_parts_of_a_deadly_request_that_no_other_has_are_not_refused(group):
    """Guards against a verdict on the parts of a request that is deadly itself."""
    for _ in range(2):
        group.crash([DEADLY, "own"])
        group.advance(1_000)
    group.fail_trial(DEADLY, "own")
    assert group.check(DEADLY, "own") is REFUSED
    group.pass_trial(name(b"sound"), "own")
    assert group.verdicts() == [[DEADLY]]
    assert group.check(name(b"other"), "own") is ALLOWED


def test_deadly_part_of_unlike_requests_is_blamed_and_no_request(group):
    """Guards against verdicts on requests that never come again."""
    for number in range(2):
        group.crash([name(b"%d" % number), "rules", "x"])
        group.advance(1_000)
        group.begin(name(b"sound"), "rules")
    group.fail_trial(name(b"2"), "rules", "x")
    assert group.verdicts() == [["x"]]


def test_verdict_on_a_repeated_request_is_widened_to_its_deadly_part(group):
    """Guards against a deadly part that hides behind a request that is repeated."""
    for _ in range(2):
        group.crash([DEADLY, "rules", "x"])
        group.advance(1_000)
        group.begin("rules")
    group.fail_trial(DEADLY, "rules", "x")
    assert group.check(DEADLY, "x") is REFUSED
    group.fail_trial(name(b"2"), "x")
    assert group.verdicts() == [sorted([DEADLY, "x"])]
    group.advance(NARROWING_INTERVAL_MS)
    group.fail_trial(name(b"3"), "x")
    assert group.verdicts() == [["x"]]


def test_one_crash_of_another_cause_does_not_widen_a_verdict_to_a_part(group):
    """Guards against sound requests refused for a part of a deadly one."""
    for _ in range(2):
        group.crash([DEADLY, "own"])
        group.advance(1_000)
    group.fail_trial(DEADLY, "own")
    group.fail_trial(name(b"sound"), "own")
    group.advance(NARROWING_INTERVAL_MS)
    group.pass_trial(name(b"sound"), "own")
    assert group.verdicts() == [[DEADLY]]


def test_new_part_of_another_request_does_not_shift_the_blame(group):
    """Guards against a part refused since another request has a part in common."""
    for _ in range(2):
        group.crash([DEADLY, "new"])
        group.advance(1_000)
    suspect = group.try_parts(DEADLY, "new")
    group.advance(100)
    group.crash(suspect, [name(b"sound"), "new", "other"])
    group.advance(SETTLING_MS)
    assert ["new"] not in group.verdicts()


def test_request_answered_between_crashes_is_never_blamed(group):
    """Guards against a health page that is refused since it is asked all the time."""
    health = name(b"health")
    for _ in range(20):
        group.begin(health)
        group.advance(500)
        group.crash([health])
        group.advance(500)
        group.begin(health, instance=1)
        assert group.check(health) is ALLOWED
    assert group.verdicts() == []


def test_sound_request_is_blamed_after_two_more_crashes(group):
    """Guards against a request that crashes targets since they were replaced."""
    group.begin(DEADLY)
    for _ in range(2):
        group.advance(1_000)
        group.crash([DEADLY])
    for crashes in (3, 4, 5):
        assert group.verdicts() == []
        group.advance(1_000)
        group.fail_trial(DEADLY)
        assert bool(group.verdicts()) == (crashes == 5)


def test_simultaneous_crashes_lead_to_no_verdict_on_a_request(group):
    """Guards against a hot request that is refused since a failure domain was lost."""
    suspects = [group.try_parts(DEADLY)]
    for _ in range(10):
        group.crash([DEADLY], *suspects)
        suspects = []
        group.now_ms += 20
    group.advance(SETTLING_MS)
    assert group.verdicts() == []


def test_other_workspace_is_not_bound_by_a_verdict_on_a_request(group):
    """Guards against a workspace that has another one's requests refused."""
    group.quarantine(DEADLY)
    assert group.check(DEADLY) is REFUSED
    assert group.check(name(b"deadly", workspace="v"), workspace="v") is ALLOWED


def test_verdict_on_a_request_survives_an_election(group):
    """Guards against verdicts that end with the leader."""
    group.quarantine(DEADLY)
    group.elect(2)
    group.repeat_knowledge(2)
    group.advance(2_000)
    assert group.verdicts() == [[DEADLY]]
    assert group.check(DEADLY) is REFUSED


# Bounds


def test_requests_of_one_crash_are_not_sent_to_all_instances(group):
    """Guards against tables of requests that never come again."""
    group.crash(*([name(b"%d" % number)] for number in range(60)))
    assert [client.suspected_parts for client in group.clients] == [0, 0]
    assert group.leader.table(group.now_ms).suspicions == []
    group.crash([name(b"7")])
    assert group.check(name(b"7")) is NEEDS_TRIAL
    assert group.check(name(b"8")) is ALLOWED


def test_cleared_request_is_cleared_at_all_instances(group):
    """Guards against a request that stays on trial at other instances."""
    for _ in range(2):
        group.crash([DEADLY])
        group.advance(1_000)
    assert group.check(DEADLY, instance=1) is NEEDS_TRIAL
    group.pass_trial(DEADLY)
    assert group.check(DEADLY, instance=1) is ALLOWED
    assert [client.suspected_parts for client in group.clients] == [0, 0]


def test_knowledge_of_a_request_is_confirmed_by_the_new_leader(group):
    """Guards against knowledge that is repeated for ever."""
    for _ in range(2):
        group.crash([DEADLY])
        group.advance(1_000)
    group.elect(2)
    group.repeat_knowledge(2)
    assert group.check(DEADLY) is NEEDS_TRIAL
    assert [client.poll(group.now_ms + 10_000) for client in group.clients] == [[], []]


def test_flood_of_new_requests_displaces_no_part(group):
    """Guards against evidence that one caller can remove."""
    group.crash(["x"])
    for number in range(MAX_SUSPICIONS // 50):
        group.leader.report_crash(
            build_report(
                *(
                    SuspectRequest(f"v{number % 5}", [name(b"%d-%d" % (number, n))])
                    for n in range(60)
                ),
                target=f"f{number}",
            ),
            group.now_ms,
        )
    group.push()
    group.crash(["x"])
    assert group.check("x") is NEEDS_TRIAL


def test_flood_of_new_requests_does_not_displace_begun_parts():
    """Guards against hot parts that are blamed since their responses are forgotten."""
    client = QuarantineClient("i1@1")
    client.on_begun(["rules"], START_MS)
    for number in range(MAX_BEGUN_PARTS + MAX_BEGUN_REQUESTS):
        client.on_begun([name(b"%d" % number)], START_MS)
    assert client.was_begun("rules")
    assert not client.was_begun(name(b"0"))
