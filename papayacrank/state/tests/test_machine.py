"""Tests of the replicated state machine."""

import json

import msgspec
import pytest
from hdrh.histogram import HdrHistogram
from hypothesis import example, given, settings
from hypothesis import strategies as st

from papayacrank.accounting import decode_histogram, new_histogram
from papayacrank.config import canonical_json, generate_configuration
from papayacrank.messages import (
    AbandonAction,
    BeginAction,
    ConfirmOrder,
    ControlRequest,
    FeedSnapshot,
    FileConfiguration,
    FinishAction,
    GrantKey,
    Heartbeat,
    KeyChange,
    ObserveTargets,
    PlaceOrder,
    ReportUsage,
    SetInstanceState,
    ShareReport,
    TargetStatus,
    UsageDelta,
    WithdrawKey,
)
from papayacrank.state import (
    CommandEntry,
    ExpireEntry,
    HeartbeatEntry,
    InstanceRef,
    LeaderEntry,
    OrderEntry,
    SnapshotError,
    StateMachine,
    check_command,
    encode_entry,
)
from papayacrank.state import _actions as actions_module
from papayacrank.state import _feed as feed_module
from papayacrank.state import _machine as machine_module
from papayacrank.state import _orders as orders_module
from papayacrank.state import _outcomes as outcomes_module
from papayacrank.state import _usage as usage_module
from papayacrank.state import _views as views_module
from papayacrank.testing import build_questionnaire

DAY_MS = 24 * 60 * 60 * 1000
WALL_MS = 1_700_000_000_000
MINUTE = WALL_MS // 60_000
DIGEST = "ab" * 32
DOCUMENT = canonical_json(generate_configuration(build_questionnaire()))


class Group:
    """State machine with a log."""

    def __init__(self):
        self.machine = StateMachine()
        self.index = 0
        self.now_ms = 0

    def append(self, kind, *fields):
        """Apply one entry."""
        self.index += 1
        entry = kind(self.now_ms, WALL_MS, *fields)
        return self.machine.apply(self.index, encode_entry(entry))

    def run(self, request_id, command):
        """Apply one command."""
        return self.append(CommandEntry, ControlRequest(request_id, "x", 1, command))

    def beat(self, instance="i1", boot=1, shares=()):
        """Apply one heartbeat."""
        heartbeat = Heartbeat(
            instance, boot, 1, 0, 0, "east", "127.0.0.1:1", "serving", list(shares)
        )
        self.append(HeartbeatEntry, [heartbeat])

    def start(self, number):
        """Apply the first heartbeat of a process with an address of its own."""
        address = f"127.0.0.1:{number}"
        name = f"i{number}"
        heartbeat = Heartbeat(name, 1, 1, 0, 0, "east", address, "serving", [])
        self.append(HeartbeatEntry, [heartbeat])

    def expire(self, instance="i1", boot=1):
        """Apply the expiry of one lease."""
        self.append(ExpireEntry, [InstanceRef(instance, boot)])


def begin(fingerprint="f", owner="i1", boot=1):
    return BeginAction("team-a", "k1", fingerprint, "shop-app", owner, boot)


def finish(status, owner="i1", boot=1):
    return FinishAction("team-a", "k1", owner, boot, status, "text/plain", b"ok")


def abandon(owner="i1", boot=1):
    return AbandonAction("team-a", "k1", owner, boot)


def share(**fields):
    fields.setdefault("queued_tokens", fields.get("wanted_tokens", 0))
    base = ShareReport("team-a", 0, 0, 0, 0, 0)
    return msgspec.structs.replace(base, **fields)


def test_one_of_two_racing_configurations_wins_and_the_other_sees_it():
    """Guards against two operators both believing that their version is in force."""
    group = Group()
    first = group.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    second = group.run("r2", FileConfiguration(0, DOCUMENT + " ", "bob"))
    assert first.result.version == 1
    assert second.failure.code == "conflict"
    assert second.failure.details["operator"] == "ann"
    assert second.failure.details["request_id"] == "r1"
    assert second.failure.details["document"] == DOCUMENT
    assert group.machine.configuration.document == DOCUMENT


@pytest.mark.parametrize(
    "command",
    [
        FileConfiguration(0, DOCUMENT, "ann"),
        GrantKey("key", "team-a", DIGEST, "ann"),
        WithdrawKey("unknown", "ann"),
        PlaceOrder("sample-llm-1", "load_weights", "2", "ann"),
        begin(),
        abandon(),
    ],
)
def test_resend_returns_the_first_outcome_and_changes_nothing(command):
    """Guards against a lost answer turning into a second effect."""
    group = Group()
    group.beat()
    first = group.run("r1", command)
    before = (group.machine.feed_version, group.machine.read("orders"))
    again = group.run("r1", command)
    assert (again.result, again.failure) == (first.result, first.failure)
    assert (group.machine.feed_version, group.machine.read("orders")) == before


def test_key_for_an_unknown_workspace_is_refused():
    """Guards against a mistyped workspace that is noticed only by the caller."""
    group = Group()
    group.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    copy = Group()
    copy.machine.restore(group.machine.snapshot())
    copy.index = group.index
    for each in (group, copy):
        lost = each.run("r2", GrantKey("key", "team-x", DIGEST, "ann"))
        assert lost.failure.code == "unknown_workspace"
        assert each.run("r3", GrantKey("key", "team-a", DIGEST, "ann")).failure is None


def test_command_that_raises_does_not_stop_the_members(monkeypatch):
    """Guards against one committed entry that ends every member that applies it."""
    group = Group()
    monkeypatch.setattr(group.machine, "_grant_key", lambda *_: 1 / 0)
    failure = group.run("r1", GrantKey("key", "team-a", DIGEST, "ann")).failure
    assert (failure.code, failure.verdict) == ("internal_error", "may-have-run")
    assert group.run("r2", WithdrawKey("key", "ann")).failure.code == "unknown_key"


def test_withdrawn_key_is_not_brought_back_by_a_late_grant(monkeypatch):
    """Guards against a resent grant that arrives after outcomes were evicted."""
    monkeypatch.setattr(outcomes_module, "MAX_OPERATOR_OUTCOMES", 1)
    group = Group()
    grant = GrantKey("key", "team-a", DIGEST, "ann")
    group.run("r1", grant)
    group.run("r2", WithdrawKey("key", "ann"))
    assert group.run("r1", grant).failure.code == "key_withdrawn"
    assert group.machine.keys.live == []


def test_action_runs_only_for_the_command_that_started_it():
    """Guards against a repeat or another request starting a started action."""
    group = Group()
    assert group.run("r1", begin()).failure.code == "owner_not_live"
    group.beat()
    assert group.run("r2", begin()).result.started_now
    repeat = group.run("r3", begin()).result
    assert (repeat.state, repeat.started_now) == ("started", False)
    assert group.run("r4", begin("other")).failure.code == "idempotency_conflict"
    assert group.run("r5", finish(200)).result.state == "finished"
    answer = group.run("r6", begin()).result
    assert (answer.state, answer.status, answer.body) == ("finished", 200, b"ok")


@pytest.mark.parametrize("lose", ["expire", "new boot"])
def test_action_of_a_lost_owner_becomes_unknown_for_good(lose):
    """Guards against a second run after its first owner was lost."""
    group = Group()
    group.beat()
    group.run("r1", begin())
    group.expire() if lose == "expire" else group.beat(boot=2)
    group.beat("i2")
    repeat = group.run("r2", begin(owner="i2")).result
    assert (repeat.state, repeat.started_now) == ("unknown", False)
    assert group.run("r3", abandon("i2")).failure.code == "not_owner"


def test_late_duplicate_of_abandon_does_not_free_a_running_action(monkeypatch):
    """Guards against a third start while the second runs, with outcomes evicted."""
    monkeypatch.setattr(outcomes_module, "MAX_PROCESS_OUTCOMES", 1)
    group = Group()
    group.beat()
    group.run("b1", begin())
    group.run("a1", abandon())
    assert group.run("b2", begin()).result.started_now
    assert group.run("a1", abandon()).result.state == "started"
    assert not group.run("b1", begin()).result.started_now
    assert not group.run("b3", begin()).result.started_now


def test_full_action_table_refuses_instead_of_evicting(monkeypatch):
    """Guards against a live record that is evicted and then runs again."""
    monkeypatch.setattr(actions_module, "MAX_ACTIONS_PER_WORKSPACE", 1)
    group = Group()
    group.beat()
    group.run("r1", begin())
    other = msgspec.structs.replace(begin(), idempotency_key="k2")
    refused = group.run("r2", other).failure
    assert (refused.code, refused.verdict) == ("table_full", "not-run")
    assert not group.run("r3", begin()).result.started_now


def test_total_of_actions_is_bounded(monkeypatch):
    """Guards against memory that grows with the number of workspaces."""
    monkeypatch.setattr(actions_module, "MAX_ACTIONS", 1)
    group = Group()
    group.beat()
    group.run("r1", begin())
    other = msgspec.structs.replace(begin(), workspace="team-b")
    assert group.run("r2", other).failure.code == "table_full"


def test_recorded_conflicts_leave_out_the_document():
    """Guards against outcomes that each hold a configuration of megabytes."""
    group = Group()
    group.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    lost = FileConfiguration(0, DOCUMENT, "bob")
    assert "document" in group.run("r2", lost).failure.details
    resent = group.run("r2", lost).failure
    assert (resent.code, resent.details["operator"]) == ("conflict", "ann")
    assert "document" not in resent.details


def test_usage_view_leaves_out_old_histograms_beyond_its_size(monkeypatch):
    """Guards against a view that does not fit into one message."""
    monkeypatch.setattr(views_module, "MAX_VIEW_HISTOGRAM_BYTES", 100)
    group = Group()
    histogram = new_histogram()
    histogram.record_value(7)
    for sequence in (1, 2):
        fields = {"ttft_histogram": histogram.encode()}
        group.run(f"u{sequence}", report(sequence, MINUTE - sequence, **fields))
    rows = json.loads(group.machine.read("usage").document)
    assert [bool(row["ttft_histogram"]) for row in rows] == [False, True]
    monkeypatch.setattr(machine_module, "MAX_VIEW_BYTES", 10)
    assert group.machine.read("usage").code == "view_too_large"


def test_action_records_expire_after_a_day_unless_they_run():
    """Guards against unbounded records, and against dropping one that still runs."""
    group = Group()
    group.beat()
    group.run("r1", begin())
    group.run("r2", finish(200))
    running = msgspec.structs.replace(begin(), idempotency_key="k2")
    group.run("r3", running)
    group.now_ms += DAY_MS + 1
    group.run("r4", WithdrawKey("none", "ann"))
    assert [row.idempotency_key for row in group.machine.actions.rows] == ["k2"]


def test_answers_beyond_the_limit_are_left_out_but_not_the_outcome(monkeypatch):
    """Guards against memory growth through recorded answers."""
    monkeypatch.setattr(actions_module, "MAX_ACTION_BODIES_BYTES", 1)
    group = Group()
    group.beat()
    group.run("r1", begin())
    group.run("r2", finish(200))
    record = group.run("r3", begin()).result
    assert (record.state, record.status, record.body) == ("finished", 200, b"")


# Weighted so that attempts are often abandoned, repeated and overtaken.
STEPS = (
    *["begin", "resend"] * 4,
    *["send", "abandon"] * 3,
    *["finish", "crash", "expire"],
)

# The second attempt runs when a repeat of the abandonment of the first arrives.
LATE_ABANDON = [
    ("begin", 0, 0),
    ("abandon", 0, 0),
    ("begin", 0, 0),
    ("send", 0, 0),
    ("resend", 0, 1),
    ("begin", 0, 0),
    ("send", 0, 0),
]


@settings(max_examples=1_000, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(STEPS), st.sampled_from([0, 0, 0, 1]), st.integers(0, 3)
        ),
        min_size=8,
        max_size=20,
    )
)
@example(LATE_ABANDON)
def test_at_most_one_run_over_any_history_with_crashes(steps):
    """Guards against a second run: owners crash between any two steps, their
    messages are repeated late, and outcomes are evicted at once."""
    group = Group()
    boots, sent, sendable, log = [1, 1], 0, [False, False], []
    for name in ("i0", "i1"):
        group.beat(name, 1)

    def submit(command):
        request_id = f"r{len(log)}"
        log.append((request_id, command))
        return group.run(request_id, command)

    for step, which, position in steps:
        owner, boot = f"i{which}", boots[which]
        if step == "begin":
            reply = submit(begin(owner=owner, boot=boot))
            if reply.result is not None and reply.result.started_now:
                sendable[which] = True
        elif step == "send" and sendable[which]:
            sent += 1
            sendable[which] = False
        elif step == "finish" and not sendable[which]:
            submit(finish(0, owner, boot))
        elif step == "abandon" and sendable[which]:
            sendable[which] = False
            submit(abandon(owner, boot))
        elif step == "crash":
            sendable[which] = False
            boots[which] += 1
            group.beat(owner, boots[which])
        elif step == "expire":
            group.expire(owner, boot)
            group.beat(owner, boot)
        elif step == "resend" and log:
            request_id, command = log[position % len(log)]
            group.machine._outcomes.__init__()
            group.run(request_id, command)
    assert sent <= 1


def test_feed_since_gives_a_snapshot_when_changes_are_gone(monkeypatch):
    """Guards against a gap in the copy of a receiver that was away for long."""
    group = Group()
    group.machine._feed._changes = feed_module.deque(maxlen=2)
    for number in range(4):
        group.run(f"r{number}", GrantKey(f"k{number}", "team-a", DIGEST, "ann"))
    assert isinstance(group.machine.feed_since(1), FeedSnapshot)
    update = group.machine.feed_since(2)
    assert (update.from_version, update.to_version) == (2, 4)
    assert [change.key_id for change in update.changes] == ["k2", "k3"]
    assert len(group.machine.feed_since(1).keys) == 4


def test_feed_update_keeps_the_last_change_of_a_key():
    """Guards against a withdrawn key that a later change of the batch revives."""
    group = Group()
    group.run("r0", GrantKey("other", "team-a", DIGEST, "ann"))
    group.run("r1", GrantKey("key", "team-a", DIGEST, "ann"))
    group.run("r2", WithdrawKey("key", "ann"))
    assert group.machine.feed_since(1).changes == [KeyChange("key")]


def test_draining_and_platform_list_reach_the_feed_only_when_changed():
    """Guards against a push to every process for a list that is the same."""
    group = Group()
    group.beat()
    version = group.machine.feed_version
    for request_id in ("r1", "r2"):
        group.run(request_id, SetInstanceState("i1", "draining", "ann"))
        targets = [TargetStatus("b", "live"), TargetStatus("a", "leaving")]
        group.run(f"t{request_id}", ObserveTargets(targets))
    assert group.machine.feed_version == version + 2
    assert group.machine.instances.addresses()[0].status == "draining"


def test_late_heartbeat_of_an_older_process_does_not_replace_its_successor():
    """Guards against a live process that loses its lease to a dead one."""
    group = Group()
    group.beat(boot=2)
    group.beat(boot=1)
    assert group.machine.instances.current("i1").boot == 2
    group.expire(boot=1)
    assert group.machine.instances.current("i1").boot == 2


def test_shares_of_a_lost_process_count_as_spent():
    """Guards against the tokens of a lost process being granted a second time."""
    group = Group()
    group.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    group.beat(shares=[share(wanted_tokens=100_000)])
    assert group.machine.grants("i1", 1)[0].granted_tokens == 100_000
    group.expire()
    group.beat("i2", shares=[share(wanted_tokens=100_000)])
    assert group.machine.grants("i2", 1)[0].granted_tokens == 0


def test_configuration_with_unknown_policy_is_refused():
    """Guards against an accepted configuration that entry processes cannot apply."""
    document = DOCUMENT.replace('"papayacrank"', '"misspelt"')
    assert document != DOCUMENT
    refusal = check_command(FileConfiguration(0, document, "ann"))
    assert (refusal.code, refusal.verdict) == ("invalid_command", "not-run")
    assert "longest_match" in refusal.message


def test_start_of_many_instances_costs_each_receiver_a_share():
    """Guards against a start whose bytes grow with the square at each receiver.

    With whole lists, 200 instances that started at once cost the leader 40 MB in 2 s.
    """
    group = Group()
    sizes = []
    for number in range(100):
        before = group.machine.feed_version
        group.start(number)
        update = group.machine.feed_since(before)
        sizes.append(len(msgspec.msgpack.encode(update)))
    assert max(sizes) < 2 * min(sizes)
    assert len(group.machine.instances.addresses()) == 100


def test_late_heartbeat_of_an_older_process_changes_nothing_for_callers():
    """Guards against a feed version that only some members count."""
    group = Group()
    group.beat("i1", boot=2)
    version = group.machine.feed_version
    group.beat("i1", boot=1)
    assert group.machine.feed_version == version
    group.expire("i1", boot=2)
    assert group.machine.feed_version == version + 1


def test_empty_snapshot_restores_the_initial_state():
    """Guards against a member that stops because its log was discarded early."""
    group = Group()
    group.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    group.machine.restore(b"")
    assert group.machine.snapshot() == StateMachine().snapshot()


def test_new_leader_does_not_refill_budgets_for_the_gap():
    """Guards against tokens beyond the rate when group time continues late."""
    group = Group()
    group.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    group.beat(shares=[share(wanted_tokens=100_000)])
    group.now_ms = 10_000
    group.append(LeaderEntry, "c2")
    held = share(wanted_tokens=200_000, held_tokens=100_000, granted_tokens=100_000)
    group.beat(shares=[held])
    assert group.machine.grants("i1", 1)[0].granted_tokens == 100_000


def test_at_most_three_weight_loads_are_issued():
    """Guards against a fourth load, which slows all of them down."""
    group = Group()
    for number in range(4):
        command = PlaceOrder(f"t{number}", "load_weights", "2", "ann")
        group.run(f"o{number}", command)
        group.append(OrderEntry, f"o{number}", True)
    states = [row.state for row in group.machine.orders.open]
    assert states == ["issued", "issued", "issued", "waiting"]
    group.run("c0", ConfirmOrder("o0", "2"))
    group.append(OrderEntry, "o3", True)
    assert [row.state for row in group.machine.orders.open] == ["issued"] * 3


def test_fencing_tokens_increase_and_newer_orders_supersede():
    """Guards against an older order that overwrites a newer one."""
    group = Group()
    first = group.run("o1", PlaceOrder("t", "load_weights", "2", "ann")).result
    group.append(OrderEntry, "o1", True)
    second = group.run("o2", PlaceOrder("t", "load_weights", "3", "ann")).result
    assert second.fencing_token > first.fencing_token
    assert group.machine.orders.find("o1").state == "superseded"
    assert group.run("c1", ConfirmOrder("o1", "2")).failure.code == "unknown_order"
    assert group.run("c2", ConfirmOrder("o2", "2")).failure.code == "not_confirmed"
    group.append(OrderEntry, "o2", False, "2")
    assert group.run("c3", ConfirmOrder("o2", "3")).failure is None


def test_wanted_orders_outlast_superseded_ones(monkeypatch):
    """Guards against an engine that is no longer watched after many other orders."""
    monkeypatch.setattr(orders_module, "MAX_SUPERSEDED_ORDERS", 2)
    group = Group()
    group.run("kept", PlaceOrder("t0", "load_weights", "2", "ann"))
    group.run("c", ConfirmOrder("kept", "2"))
    for number in range(6):
        group.run(f"o{number}", PlaceOrder("t1", "load_weights", str(number), "ann"))
    copy = StateMachine()
    copy.restore(group.machine.snapshot())
    for machine in (group.machine, copy):
        assert [row.order_id for row in machine.orders.closed] == ["o3", "o4", "kept"]
        assert [row.order_id for row in machine.orders.confirmed()] == ["kept"]


def report(sequence, minute=MINUTE, boot=1, **fields):
    delta = UsageDelta("team-a", asked=1, **fields)
    return ReportUsage("i1", boot, sequence, minute, [delta])


def total_asked(group):
    return sum(row.usage.asked for row in group.machine.usage.rows)


def test_usage_counts_each_report_once_in_any_order():
    """Guards against lost or doubled usage when reports are resent or overtake."""
    group = Group()
    for number, sequence in enumerate([2, 1, 2, 4, 1, 3, 4]):
        group.run(f"u{number}", report(sequence))
    group.run("u7", report(1, boot=2))
    assert total_asked(group) == 5
    assert group.run("u8", report(1_000)).failure.code == "sequence_gap"


def test_usage_merges_histograms():
    """Guards against percentiles of only one process."""
    group = Group()
    for sequence, value in ((1, 10), (2, 1_000)):
        histogram = new_histogram()
        histogram.record_value(value)
        group.run(f"u{sequence}", report(sequence, ttft_histogram=histogram.encode()))
    merged = group.machine.usage.rows[0].usage.ttft_histogram
    decoded = decode_histogram(merged)
    assert decoded.get_total_count() == 2
    assert decoded.get_max_value() >= 1_000


@settings(max_examples=60, deadline=None)
@given(st.lists(st.integers(0, 400), min_size=1, max_size=60))
def test_usage_table_stays_bounded_and_keeps_the_totals(minutes):
    """Guards against unbounded rows, and against usage that vanishes when folded."""
    group = Group()
    limit, usage_module.MAX_USAGE_ROWS = usage_module.MAX_USAGE_ROWS, 3
    skew, usage_module.MAX_REPORT_AGE_MINUTES = (
        usage_module.MAX_REPORT_AGE_MINUTES,
        10_000,
    )
    try:
        for sequence, minute in enumerate(minutes, start=1):
            group.run(f"u{sequence}", report(sequence, MINUTE - minute))
            assert len(group.machine.usage.rows) <= 3
    finally:
        usage_module.MAX_USAGE_ROWS = limit
        usage_module.MAX_REPORT_AGE_MINUTES = skew
    assert total_asked(group) == len(minutes)


def test_usage_of_a_wrong_wall_clock_is_booked_near_the_leader():
    """Guards against one wrong clock that makes the table fold all other minutes."""
    group = Group()
    group.run("u1", report(1, MINUTE + 1_000_000))
    group.run("u2", report(2, 0))
    spread = [row.minute - MINUTE for row in group.machine.usage.rows]
    assert spread == [-15, 1]


@pytest.mark.parametrize(
    "command",
    [
        FileConfiguration(0, "{}", "ann"),
        FileConfiguration(0, "x" * (4 * 1024 * 1024 + 1), "ann"),
        GrantKey("key", "team-a", "short", "ann"),
        GrantKey("k" * 300, "team-a", DIGEST, "ann"),
        msgspec.structs.replace(begin(), idempotency_key=""),
        FinishAction("team-a", "k1", "i1", 1, 200, "", b"x" * 70_000),
        report(1, ttft_histogram=b"damaged"),
        report(1, ttft_histogram=HdrHistogram(1, 1_000, 3).encode()),
    ],
)
def test_invalid_commands_do_not_enter_the_log(command):
    """Guards against an entry that every replica must carry or fails to apply."""
    assert check_command(command).verdict == "not-run"


def test_applied_entries_are_not_applied_again():
    """Guards against double effects when the log is replayed after a snapshot."""
    group = Group()
    group.run("u1", report(1))
    restored = StateMachine()
    restored.restore(group.machine.snapshot())
    entry = CommandEntry(0, WALL_MS, ControlRequest("u2", "x", 1, report(2)))
    assert restored.apply(1, encode_entry(entry)) is None
    with pytest.raises(SnapshotError):
        restored.restore(b"damaged")


def commands():
    """Strategy of commands over few names, so that they meet."""
    names = st.sampled_from(["a", "b"])
    versions = st.integers(0, 3)
    return st.one_of(
        st.builds(FileConfiguration, versions, st.just(DOCUMENT), names),
        st.builds(GrantKey, names, names, st.just(DIGEST), names),
        st.builds(WithdrawKey, names, names),
        st.just(begin()),
        st.builds(finish, st.sampled_from([0, 200])),
        st.just(abandon()),
        st.builds(SetInstanceState, names, st.just("draining"), names),
        st.builds(PlaceOrder, names, st.just("load_weights"), names, names),
        st.builds(ConfirmOrder, st.sampled_from(["r0", "r1"]), names),
        st.builds(report, st.integers(1, 4)),
    )


@settings(max_examples=120, deadline=None)
@given(st.lists(commands(), max_size=12), st.lists(commands(), max_size=12))
def test_snapshot_round_trip_continues_like_the_original(before, after):
    """Guards against state that a snapshot forgets and later entries depend on."""
    group = Group()
    group.beat(shares=[share(wanted_tokens=5)])
    for number, command in enumerate(before):
        group.run(f"r{number}", command)
    copy = Group()
    copy.machine.restore(group.machine.snapshot())
    copy.index = group.index
    for number, command in enumerate(after):
        request_id = f"r{number + len(before) // 2}"
        assert copy.run(request_id, command) == group.run(request_id, command)
    for what in ("status", "keys", "orders", "usage", "actions", "budgets"):
        assert copy.machine.read(what) == group.machine.read(what)
    assert copy.machine.feed_since(0) == group.machine.feed_since(0)


def test_views_are_json_and_unknown_parts_are_refused():
    """Guards against a key digest or an unreadable document in a view."""
    group = Group()
    group.run("r1", GrantKey("key", "team-a", DIGEST, "ann"))
    assert json.loads(group.machine.read("keys").document)[0]["key_id"] == "key"
    assert DIGEST not in group.machine.read("keys").document
    assert group.machine.read("colours").code == "invalid_command"
