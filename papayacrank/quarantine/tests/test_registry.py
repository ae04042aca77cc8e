"""Tests of the leader's decisions on prompt parts that crash targets."""

import pytest
from structlog.testing import capture_logs

from papayacrank.messages import (
    PartsCleared,
    PartSuspicion,
    QuarantineKnowledge,
    QuarantineVerdict,
    SuspectRequest,
)
from papayacrank.quarantine import MAX_PARTS_PER_REQUEST, PartsAdmission
from papayacrank.quarantine._events import MAX_LOGGED_PART_CHARS, MAX_LOGGED_PARTS
from papayacrank.quarantine._registry import LEARNING_MS, SETTLING_MS
from papayacrank.quarantine._suspicions import MAX_SUSPICIONS, SUSPICION_KEPT_MS
from papayacrank.quarantine._trials import TRIAL_LEASE_MS
from papayacrank.quarantine._verdicts import LAPSE_MS, MAX_VERDICTS

from .builders import Group, build_report

ALLOWED = PartsAdmission.ALLOWED
NEEDS_TRIAL = PartsAdmission.NEEDS_TRIAL
REFUSED = PartsAdmission.REFUSED


@pytest.fixture
def group():
    """Return a leader with two entry processes."""
    return Group()


# Evidence


def test_crashes_at_different_instances_are_summed():
    """Guards against a part that crashes one target for each instance."""
    group = Group(9)
    group.crash(["rules", "x"], instance=1)
    group.begin("rules")
    assert group.check("rules", "x") is ALLOWED
    group.advance(1_000)
    group.crash(["x"], instance=5)
    assert {group.check("x", instance=n) for n in range(9)} == {NEEDS_TRIAL}
    group.fail_trial("rules", "x", instance=7)
    assert group.verdicts() == [["x"]]
    assert {group.check("x", "rules", instance=n) for n in range(9)} == {REFUSED}


def test_reports_of_several_instances_on_one_crash_are_one(group):
    """Guards against a part on trial after one crash that all instances saw."""
    group.crash(["x"], target="t", instance=0)
    group.advance(200)
    group.crash(["x"], target="t", instance=1, age_ms=200)
    assert group.check("x") is ALLOWED
    group.crash(["x"], target="t", start=2)
    assert group.check("x") is NEEDS_TRIAL


def test_crash_soon_after_a_start_that_is_not_known_yet_is_counted(group):
    """Guards against a deadly request whose crashes of one target count once."""
    group.crash(["x"], target="t", opened_age_ms=5_000)
    group.advance(2_200)
    group.crash(["x"], target="t", instance=1, opened_age_ms=100)
    assert group.check("x") is NEEDS_TRIAL


def test_late_report_counts_for_the_crash_that_ended_its_connection(group):
    """Guards against a crash that is counted twice since the target is up again."""
    group.crash(["x"], target="t", opened_age_ms=5_000)
    group.advance(2_000)
    group.crash(["y"], target="t", instance=1, opened_age_ms=0)
    group.advance(200)
    group.crash(["x"], target="t", instance=1, age_ms=2_200, opened_age_ms=6_000)
    assert group.check("x") is ALLOWED


def test_repeated_report_is_not_counted_again(group):
    """Guards against evidence that grows by messages sent again."""
    report = build_report(["x"])
    for _ in range(3):
        group.deliver([report])
    group.push()
    assert group.check("x") is ALLOWED


@pytest.mark.parametrize("position", [0, 1, 2])
def test_deadly_part_is_found_in_any_position(group, position):
    """Guards against a rule that looks at the first or the last part only."""
    for station in ("a", "b"):
        parts = ["rules", station]
        parts.insert(position, "x")
        group.crash(parts)
        group.advance(1_000)
        group.begin("rules")
    parts = ["rules", "c"]
    parts.insert(position, "x")
    group.fail_trial(*parts)
    assert group.verdicts() == [["x"]]
    assert group.check("rules", "a") is group.check("rules", "b") is ALLOWED


def test_two_deadly_parts_at_once_are_both_found(group):
    """Guards against a verdict on one part that hides the crashes of another."""
    for _ in range(2):
        group.crash(["rules", "x"])
        group.advance(700)
        group.crash(["rules", "y"])
        group.advance(700)
        group.begin("rules")
    group.fail_trial("rules", "x")
    group.fail_trial("rules", "y")
    assert group.verdicts() == [["x"], ["y"]]
    assert group.check("rules") is ALLOWED


def test_crashes_of_another_cause_under_a_hot_part_blame_nothing(group):
    """Guards against a verdict on a part that all requests share."""
    for number in range(20):
        group.begin("rules")
        group.advance(500)
        group.crash(["rules", "a"], ["rules", f"b{number}"])
        group.advance(10)
        group.begin("rules", "a", instance=1)
        assert group.check("rules") is ALLOWED
    assert group.check("rules", "a") is ALLOWED
    assert group.verdicts() == []


def test_simultaneous_crash_of_many_targets_leads_to_no_verdict(group):
    """Guards against a verdict on parts of requests in a failed domain."""
    suspects = [group.try_parts("q")]
    for number in range(20):
        group.crash(["rules", "q", f"s{number % 4}"], *suspects)
        suspects = []
        group.now_ms += 5
    group.advance(SETTLING_MS)
    assert group.verdicts() == []
    assert group.check("q") is NEEDS_TRIAL
    group.pass_trial("rules", "q")
    assert group.check("rules", "q") is ALLOWED


def test_trial_in_the_moment_of_the_other_crashes_blames_no_part(group):
    """Guards against a verdict on one common failure that takes some time."""
    group.crash(["q"])
    group.crash(["q"])
    group.fail_trial("q")
    assert group.verdicts() == []
    group.advance(1_000)
    group.fail_trial("q")
    assert group.verdicts() == [["q"]]


def test_trial_hit_by_a_failed_domain_blames_no_part(group):
    """Guards against a verdict on a sound part whose trial ran in a failed domain."""
    group.crash(["q"])
    group.advance(1_000)
    group.crash(["q"])
    group.advance(1_000)
    trial = group.try_parts("q")
    group.advance(100)
    group.crash(trial)
    group.crash(["a"])
    group.crash(["b"])
    group.advance(SETTLING_MS)
    assert group.verdicts() == []


def test_rare_sound_part_in_two_crashes_is_cleared_by_its_trial(group):
    """Guards against a part used once in 8 s that stays blocked."""
    group.crash(["rules", "rare"], ["x"])
    group.advance(4_000)
    group.crash(["rules", "rare"], ["x"])
    assert group.check("rare") is NEEDS_TRIAL
    group.advance(4_000)
    group.pass_trial("rules", "rare")
    assert group.check("rare") is ALLOWED
    group.fail_trial("x")
    assert group.verdicts() == [["x"]]


def test_verdict_explains_the_crashes_of_other_requests(group):
    """Guards against sound parts on trial because of crashes with a known cause."""
    group.crash(["rare"], ["x"])
    group.advance(1_000)
    group.crash(["rare"], ["x"])
    group.advance(1_000)
    group.crash(["x"])
    assert group.check("rare") is NEEDS_TRIAL
    group.fail_trial("x")
    assert group.check("rare") is ALLOWED


def test_crash_of_a_refused_request_is_held_against_no_other_part(group):
    """Guards against blame by requests of an instance that was cut off."""
    group.quarantine("x")
    for _ in range(4):
        group.advance(1_000)
        group.crash(["q"], ["x"])
    assert group.check("q") is ALLOWED
    assert group.verdicts() == [["x"]]


def test_clearing_that_overtakes_the_report_of_a_crash_counts(group):
    """Guards against blame by a report that arrives after the response."""
    group.crash(["q"], target="t", instance=0)
    group.advance(10)
    group.begin("q")
    group.advance(300)
    group.crash(["q"], target="t", instance=1, age_ms=310)
    group.crash(["q"], target="u", instance=1, age_ms=320)
    group.crash(["q"], target="v", instance=1, age_ms=330)
    assert group.clients[0].suspected_parts == 0


def test_clearing_by_a_response_before_the_crash_does_not_count(group):
    """Guards against a part that is cleared by what targets did before."""
    group.crash(["x"])
    group.advance(1_000)
    group.crash(["x"])
    group.deliver([PartsCleared("i1@1", ["x"], 2_000)])
    group.push()
    assert group.clients[0].suspected_parts == 1
    group.deliver([PartsCleared("i1@1", ["x"], 500)])
    assert group.leader.table(group.now_ms).suspicions[0].crashes == 1


def test_late_report_of_a_frozen_instance_takes_the_time_of_the_crash(group):
    """Guards against blame because a frozen instance saw a crash later than others."""
    group.crash(["a"], target="t", instance=0)
    group.advance(100)
    group.crash(["q"], target="u", instance=0)
    group.advance(100)
    group.begin("q")
    group.advance(2_000)
    group.deliver([build_report(["q"], target="t", instance="i1@1")])
    names = [s.name for s in group.leader.table(group.now_ms).suspicions]
    assert "q" not in names


def test_part_that_was_sound_is_not_blamed_beside_a_new_one(group):
    """Guards against a verdict on a hot part while no target is left to answer."""
    group.begin("rules")
    for number in range(3):
        group.crash(["rules", "x"], ["rules", f"a{number}"], ["rules", f"b{number}"])
        group.advance(1_000)
    trial = group.try_parts("rules", "x")
    group.advance(100)
    group.crash(trial, ["rules", "a"], ["rules", "b"])
    group.advance(SETTLING_MS)
    assert group.verdicts() == [["x"]]


def test_part_that_becomes_deadly_is_found_after_five_crashes(group):
    """Guards against a part that is trusted because an earlier build served it."""
    group.begin("x")
    for _ in range(3):
        group.advance(1_000)
        group.crash(["x"])
    assert group.check("x") is NEEDS_TRIAL
    group.fail_trial("x")
    assert group.verdicts() == []
    group.fail_trial("x")
    assert group.verdicts() == [["x"]]


def test_five_crashes_at_three_times_need_no_trial(group):
    """Guards against a part that instances without contact send on and on."""
    for _ in range(5):
        group.crash(["rules", "x"], instance=1)
        group.begin("rules")
        group.advance(600)
    assert group.verdicts() == [["x"]]


def test_five_crashes_at_one_time_are_no_verdict(group):
    """Guards against a verdict without a trial on parts of one common failure."""
    for _ in range(8):
        group.crash(["q"])
    group.advance(SETTLING_MS)
    assert group.verdicts() == []


def test_old_suspicions_are_forgotten(group):
    """Guards against parts on trial for crashes of long ago."""
    group.crash(["q"])
    group.crash(["q"])
    assert group.check("q") is NEEDS_TRIAL
    group.advance(SUSPICION_KEPT_MS)
    assert group.check("q") is ALLOWED
    assert group.leader.table(group.now_ms).suspicions == []


# Trials


def test_one_trial_of_a_part_runs_in_the_fleet(group):
    """Guards against a crash for each instance after the second one."""
    group.crash(["x"])
    group.crash(["x"])
    trial = group.try_parts("x", instance=0)
    assert trial is not None
    assert group.try_parts("rules", "x", instance=1) is None
    group.deliver(group.clients[0].end_trial(trial.trial))
    assert group.try_parts("x", instance=1) is not None


def test_lost_instance_does_not_block_trials(group):
    """Guards against a part that stays blocked by a trial without an end."""
    group.crash(["q"])
    group.crash(["q"])
    assert group.try_parts("q", instance=0) is not None
    group.advance(TRIAL_LEASE_MS - 1)
    assert group.try_parts("q", instance=1) is None
    group.advance(1)
    assert group.try_parts("q", instance=1) is not None


def test_restarted_instance_does_not_hold_its_former_trials(group):
    """Guards against a wait for a trial whose process is known to be gone."""
    group.crash(["q"])
    group.crash(["q"])
    assert group.try_parts("q", instance=0) is not None
    group.deliver([PartsCleared("i0@2", ["other"])])
    assert group.try_parts("q", instance=1) is not None


def test_trials_of_two_parts_in_one_crash_blame_neither_until_tried_alone(group):
    """Guards against a verdict on a sound part whose trial shared a target."""
    for _ in range(2):
        group.crash(["q"], ["x"])
        group.advance(1_000)
    sound, deadly = group.try_parts("q", instance=0), group.try_parts("x", instance=1)
    group.advance(100)
    group.crash(sound, target="t", instance=0)
    group.advance(100)
    group.crash(deadly, target="t", instance=1, age_ms=100)
    group.advance(SETTLING_MS)
    assert group.verdicts() == []
    assert group.try_parts("q", instance=0) is not None
    assert group.try_parts("x", instance=1) is None
    group.deliver(group.clients[0].end_trial(2))
    group.fail_trial("x", instance=1)
    assert group.verdicts() == [["x"]]
    assert group.check("q") is ALLOWED


def test_verdict_waits_for_a_trial_of_a_frozen_instance(group):
    """Guards against a verdict before the cause of the crash is reported."""
    for _ in range(2):
        group.crash(["q"], ["x"])
        group.advance(1_000)
    sound, deadly = group.try_parts("q", instance=0), group.try_parts("x", instance=1)
    group.advance(100)
    group.crash(sound, target="t", instance=0)
    group.advance(1_500)
    assert group.verdicts() == []
    group.crash(deadly, target="t", instance=1, age_ms=0)
    group.advance(SETTLING_MS)
    assert group.verdicts() == []
    assert group.check("q") is NEEDS_TRIAL


def test_trial_hit_by_the_first_crash_of_another_part_proves_nothing(group):
    """Guards against a verdict on a sound part because the true cause is new."""
    for number in range(2):
        group.crash(["q", f"a{number}"])
        group.advance(1_000)
    trial = group.try_parts("q")
    group.advance(100)
    group.crash(trial, ["rules", "x"])
    group.advance(SETTLING_MS)
    assert group.verdicts() == []
    group.pass_trial("q")
    assert group.check("q") is ALLOWED


def test_trial_beside_one_of_a_killed_instance_proves_nothing(group):
    """Guards against a verdict although the cause died with its instance."""
    for _ in range(2):
        group.crash(["q"], ["x"])
        group.advance(1_000)
    sound = group.try_parts("q", instance=0)
    assert group.try_parts("x", instance=1) is not None
    group.advance(100)
    group.crash(sound, target="t", instance=0)
    group.deliver([PartsCleared("i1@2", ["other"])])
    group.advance(TRIAL_LEASE_MS)
    assert group.verdicts() == []


def test_trial_granted_by_an_earlier_leader_proves_nothing(group):
    """Guards against a verdict without knowledge of the other trials."""
    for _ in range(2):
        group.crash(["q"], ["x"])
        group.advance(1_000)
    sound = group.try_parts("q", instance=0)
    group.advance(4_000)
    group.elect(2)
    group.repeat_knowledge(2)
    group.crash(sound, target="t", instance=0)
    assert group.leader.table(group.now_ms).suspicions[0].crashes == 3
    group.advance(LEARNING_MS)
    group.advance(SETTLING_MS)
    assert group.verdicts() == []
    assert group.check("q") is NEEDS_TRIAL


def test_sound_part_of_two_deadly_ones_is_not_refused_alone(group):
    """Guards against a verdict on the part that was in most crashes."""
    for deadly in ("x", "y", "x", "y"):
        group.crash(["both", deadly])
        group.advance(1_000)
    group.fail_trial("both", "x")
    assert group.verdicts() == [["both", "x"]]
    assert group.check("both") is NEEDS_TRIAL


def test_late_report_of_another_cause_revokes_a_verdict(group):
    """Guards against a wrong verdict that stays after the cause is known."""
    for _ in range(2):
        group.crash(["q"], ["x"])
        group.advance(1_000)
    sound = group.try_parts("q", instance=0)
    group.advance(100)
    group.crash(sound, target="t", instance=0)
    group.advance(SETTLING_MS)
    assert group.verdicts() == [["q"]]
    group.crash(["x"], target="t", instance=1, age_ms=SETTLING_MS)
    assert group.check("q") is not REFUSED


# Verdicts


def test_parts_that_always_come_together_are_refused_only_together(group):
    """Guards against sound requests that are refused with one part of a verdict."""
    group.quarantine("c", "x")
    assert group.verdicts() == [["c", "x"]]
    assert group.check("rules", "c", "x") is REFUSED
    assert group.check("rules", "c") is NEEDS_TRIAL
    group.advance(1_000)
    group.pass_trial("rules", "c")
    assert group.verdicts() == [["x"]]
    assert group.check("rules", "c") is ALLOWED
    assert group.check("x") is REFUSED


def test_failed_trial_narrows_a_verdict(group):
    """Guards against a deadly part that is sent on without its companions."""
    group.quarantine("c", "d", "x")
    group.fail_trial("x", "other")
    assert group.verdicts() == [["x"]]
    assert group.check("c", "d") is ALLOWED
    assert group.check("x") is REFUSED


def test_trials_beside_a_verdict_become_rarer_with_each_failure(group):
    """Guards against a crash for each set of companions of a deadly part."""
    group.quarantine("c", "d", "e", "x")
    group.fail_trial("d", "e", "x")
    assert group.try_parts("e", "x") is None
    group.advance(5_000)
    group.fail_trial("e", "x")
    group.advance(5_000)
    assert group.try_parts("x") is None


def test_verdict_binds_the_workspace_and_at_the_second_one_all(group):
    """Guards against one workspace that has a part blocked for others by its labels."""
    group.quarantine("x", workspace="w")
    assert group.check("x", workspace="w") is REFUSED
    assert group.check("x", workspace="v") is NEEDS_TRIAL
    group.fail_trial("x", workspace="v")
    assert group.check("x", workspace="v") is REFUSED
    assert group.check("x", workspace="other") is REFUSED


def test_success_of_another_workspace_frees_it_and_not_the_culprit(group):
    """Guards against a verdict lifted by a part that only shares its name."""
    group.quarantine("x", workspace="w")
    group.advance(1_000)
    group.pass_trial("x", workspace="v")
    assert group.check("x", workspace="w") is REFUSED


def test_response_after_the_crash_lifts_a_verdict(group):
    """Guards against a verdict that stays although targets answer the part."""
    group.quarantine("x")
    group.advance(100)
    group.begin("x", instance=1)
    assert group.verdicts() == []
    assert group.check("x") is ALLOWED


def test_verdict_lapses_and_a_failed_trial_doubles_its_time(group):
    """Guards against repeated crashes, or a part that is refused for ever."""
    group.quarantine("x")
    group.advance(LAPSE_MS - SETTLING_MS)
    assert group.check("x") is REFUSED
    group.advance(SETTLING_MS)
    assert group.check("x") is NEEDS_TRIAL
    group.fail_trial("x")
    group.advance(2 * LAPSE_MS - 1_000)
    assert group.check("x") is REFUSED
    group.advance(1_000)
    group.pass_trial("x")
    assert group.check("x") is ALLOWED


def test_operator_lifts_a_verdict(group):
    """Guards against a wrong verdict that an operator cannot end."""
    group.quarantine("x")
    number = group.clients[0].list_verdicts(group.now_ms)[0].number
    assert not group.leader.lift(number + 1, "ops", group.now_ms)
    assert group.leader.lift(number, "ops", group.now_ms)
    group.push()
    assert group.check("x") is ALLOWED
    assert group.verdicts() == []


# Bounds


def test_flood_of_new_parts_does_not_hide_a_suspected_one(group):
    """Guards against eviction of the evidence by parts of another workspace."""
    group.crash(SuspectRequest("w", ["x"]))
    for number in range(200):
        group.now_ms += 10
        requests = [
            SuspectRequest(
                "flood", [f"f{number}-{n}-{m}" for m in range(MAX_PARTS_PER_REQUEST)]
            )
            for n in range(4)
        ]
        group.deliver([build_report(*requests, target=f"f{number}")])
    group.push()
    assert len(group.leader.table(group.now_ms).suspicions) <= MAX_SUSPICIONS
    group.crash(SuspectRequest("w", ["x"]))
    assert group.check("x") is NEEDS_TRIAL


def test_table_of_verdicts_is_bounded(group):
    """Guards against memory that grows with each deadly part."""
    for number in range(MAX_VERDICTS + 5):
        for _ in range(5):
            group.leader.report_crash(
                build_report([f"x{number}"], target=f"t{group.now_ms}"), group.now_ms
            )
            group.now_ms += 600
        group.leader.tick(group.now_ms)
    assert len(group.leader.table(group.now_ms).verdicts) <= MAX_VERDICTS


def test_log_lines_are_bounded(group):
    """Guards against log lines as long as callers choose the names of parts."""
    with capture_logs() as lines:
        group.quarantine(*(f"{n}" * 500 for n in range(30)))
    assert lines
    for line in lines:
        for key in ("parts", "on_trial"):
            names = line.get(key, [])
            assert len(names) <= MAX_LOGGED_PARTS
            assert all(len(name) <= MAX_LOGGED_PART_CHARS for name in names)


def test_message_without_effect_changes_no_table(group):
    """Guards against a push to all instances for each response on a hot part."""
    group.crash(["q"])
    group.advance(10)
    group.begin("q")
    revision = group.leader.position
    group.advance(1_000)
    for _ in range(5):
        group.deliver([PartsCleared("i0@1", ["q", "unknown"])])
        group.push()
    assert group.leader.position == revision


# Election


def test_new_leader_keeps_verdicts_and_evidence(group):
    """Guards against further crashes after each election."""
    group.quarantine("x")
    group.crash(["y"])
    group.advance(1_000)
    group.crash(["y"])
    group.elect(2)
    group.repeat_knowledge(2)
    assert group.check("x") is REFUSED
    group.advance(LEARNING_MS)
    assert group.verdicts() == [["x"]]
    group.advance(4_000)
    group.fail_trial("y")
    assert group.verdicts() == [["x"], ["y"]]


def test_new_leader_grants_no_trial_before_it_has_learned(group):
    """Guards against a trial of what the new leader does not know of yet."""
    group.quarantine("x")
    group.elect(2)
    assert group.try_parts("x") is None
    group.repeat_knowledge(2)
    group.advance(LEARNING_MS)
    assert group.try_parts("x") is None


def test_new_leader_waits_for_the_reports_of_all_instances(group):
    """Guards against a verdict on what the first instance has repeated."""
    for _ in range(2):
        group.crash(["q"], ["x"])
        group.advance(1_000)
    group.elect(2)
    group.repeat_knowledge(2)
    for number in range(5):
        group.crash(["q"], target=f"r{number}", age_ms=4_000 - 700 * number)
    group.advance(LEARNING_MS - 1)
    assert group.verdicts() == []


@pytest.mark.parametrize("is_newer_first", [False, True])
def test_lifted_verdict_does_not_come_back(group, is_newer_first):
    """Guards against an instance that missed the lift and repeats the verdict."""
    group.quarantine("x")
    number = group.clients[0].list_verdicts(group.now_ms)[0].number
    group.leader.lift(number, "ops", group.now_ms)
    change = group.leader.pop_change(group.now_ms)
    group.clients[1].apply(change, group.now_ms)
    if is_newer_first:
        group.clients.reverse()
    group.elect(2)
    group.repeat_knowledge(2)
    assert group.verdicts() == []
    assert group.check("x") is not REFUSED


def test_newer_position_and_more_crashes_win(group):
    """Guards against evidence that an older table brings back or reduces."""
    group.elect(3)
    newer = QuarantineKnowledge("i0@1", 2, 9, [PartSuspicion("y", 2, True, 100, 9)], [])
    older = QuarantineKnowledge(
        "i1@1",
        2,
        5,
        [PartSuspicion("x", 4, True, 100, 4), PartSuspicion("y", 1, False, 100, 3)],
        [],
    )
    group.deliver([newer, older])
    known = group.leader.table(group.now_ms).suspicions
    assert [(s.name, s.crashes) for s in known] == [("y", 2)]


def test_newer_state_of_a_verdict_wins(group):
    """Guards against the parts that a verdict had before it was narrowed."""
    group.elect(3)
    wide = QuarantineVerdict(1_000_001, ["c", "x"], ["w"], 3, 1_000, 1, 4)
    narrow = QuarantineVerdict(1_000_001, ["x"], [], 4, 2_000, 1, 6)
    for verdict in (wide, narrow, wide):
        group.deliver([QuarantineKnowledge("i0@1", 1, verdict.revision, [], [verdict])])
    assert [v.parts for v in group.leader.table(group.now_ms).verdicts] == [["x"]]
