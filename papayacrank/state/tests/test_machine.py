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
    InstanceCapacity,
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


class MachineHarness:
    """State machine with a log index and a clock that the test sets."""

    def __init__(self):
        self.machine = StateMachine()
        self.index = 0
        self.now_ms = 0

    def append(self, kind, *fields):
        """Apply an entry of type `kind` under the next log index."""
        self.index += 1
        entry = kind(self.now_ms, WALL_MS, *fields)
        return self.machine.apply(self.index, encode_entry(entry))

    def run(self, request_id, command):
        """Apply a command and return the reply."""
        return self.append(CommandEntry, ControlRequest(request_id, "x", 1, command))

    def heartbeat(self, instance="i1", boot=1, shares=()):
        """Apply a heartbeat."""
        heartbeat = Heartbeat(
            instance, boot, 1, 0, 0, "east", "127.0.0.1:1", "serving", list(shares)
        )
        self.append(HeartbeatEntry, [heartbeat])

    def start_instance(self, number):
        """Apply the first heartbeat of a process with a distinct address."""
        address = f"127.0.0.1:{number}"
        name = f"i{number}"
        heartbeat = Heartbeat(name, 1, 1, 0, 0, "east", address, "serving", [])
        self.append(HeartbeatEntry, [heartbeat])

    def expire(self, instance="i1", boot=1):
        """Apply the expiry of the lease of a process."""
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


def test_concurrent_configurations_accept_one_and_report_it_to_the_other():
    """Guards against two operators whose concurrent changes are both accepted."""
    harness = MachineHarness()
    first = harness.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    second = harness.run("r2", FileConfiguration(0, DOCUMENT + " ", "bob"))
    assert first.result.version == 1
    assert second.failure.code == "conflict"
    assert second.failure.details["operator"] == "ann"
    assert second.failure.details["request_id"] == "r1"
    assert second.failure.details["document"] == DOCUMENT
    assert harness.machine.configuration.document == DOCUMENT


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
def test_resend_returns_the_first_outcome_and_changes_no_state(command):
    """Guards against a resend after a lost reply that applies the command twice."""
    harness = MachineHarness()
    harness.heartbeat()
    first = harness.run("r1", command)
    before = (harness.machine.feed_version, harness.machine.read("orders"))
    again = harness.run("r1", command)
    assert (again.result, again.failure) == (first.result, first.failure)
    assert (harness.machine.feed_version, harness.machine.read("orders")) == before


def test_key_for_an_unknown_workspace_is_refused():
    """Guards against a mistyped workspace that only callers would notice."""
    harness = MachineHarness()
    harness.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    restored = MachineHarness()
    restored.machine.restore(harness.machine.snapshot())
    restored.index = harness.index
    for each in (harness, restored):
        refusal = each.run("r2", GrantKey("key", "team-x", DIGEST, "ann"))
        assert refusal.failure.code == "unknown_workspace"
        assert each.run("r3", GrantKey("key", "team-a", DIGEST, "ann")).failure is None


def test_command_that_raises_does_not_stop_the_members(monkeypatch):
    """Guards against a committed entry that stops every member that applies it."""
    harness = MachineHarness()
    monkeypatch.setattr(harness.machine, "_grant_key", lambda *_: 1 / 0)
    failure = harness.run("r1", GrantKey("key", "team-a", DIGEST, "ann")).failure
    assert (failure.code, failure.verdict) == ("internal_error", "may-have-run")
    assert harness.run("r2", WithdrawKey("key", "ann")).failure.code == "unknown_key"


def test_delayed_grant_does_not_restore_a_withdrawn_key(monkeypatch):
    """Guards against a resent grant that arrives after its outcome was evicted."""
    monkeypatch.setattr(outcomes_module, "MAX_OPERATOR_OUTCOMES", 1)
    harness = MachineHarness()
    grant = GrantKey("key", "team-a", DIGEST, "ann")
    harness.run("r1", grant)
    harness.run("r2", WithdrawKey("key", "ann"))
    assert harness.run("r1", grant).failure.code == "key_withdrawn"
    assert harness.machine.keys.live == []


def test_action_runs_only_for_the_command_that_started_it():
    """Guards against a repeat or another request that starts the action again."""
    harness = MachineHarness()
    assert harness.run("r1", begin()).failure.code == "owner_not_live"
    harness.heartbeat()
    assert harness.run("r2", begin()).result.started_now
    repeat = harness.run("r3", begin()).result
    assert (repeat.state, repeat.started_now) == ("started", False)
    assert harness.run("r4", begin("other")).failure.code == "idempotency_conflict"
    assert harness.run("r5", finish(200)).result.state == "finished"
    record = harness.run("r6", begin()).result
    assert (record.state, record.status, record.body) == ("finished", 200, b"ok")


@pytest.mark.parametrize("cause", ["expire", "new boot"])
def test_action_of_an_expired_owner_becomes_unknown(cause):
    """Guards against a second run of an action after its owner expired."""
    harness = MachineHarness()
    harness.heartbeat()
    harness.run("r1", begin())
    harness.expire() if cause == "expire" else harness.heartbeat(boot=2)
    harness.heartbeat("i2")
    repeat = harness.run("r2", begin(owner="i2")).result
    assert (repeat.state, repeat.started_now) == ("unknown", False)
    assert harness.run("r3", abandon("i2")).failure.code == "not_owner"


def test_delayed_duplicate_of_abandon_does_not_restart_an_action(monkeypatch):
    """Guards against a third start while the second runs and outcomes are evicted."""
    monkeypatch.setattr(outcomes_module, "MAX_PROCESS_OUTCOMES", 1)
    harness = MachineHarness()
    harness.heartbeat()
    harness.run("b1", begin())
    harness.run("a1", abandon())
    assert harness.run("b2", begin()).result.started_now
    assert harness.run("a1", abandon()).result.state == "started"
    assert not harness.run("b1", begin()).result.started_now
    assert not harness.run("b3", begin()).result.started_now


def test_full_action_table_refuses_instead_of_evicting(monkeypatch):
    """Guards against an action that runs again because its record was evicted."""
    monkeypatch.setattr(actions_module, "MAX_ACTIONS_PER_WORKSPACE", 1)
    harness = MachineHarness()
    harness.heartbeat()
    harness.run("r1", begin())
    other = msgspec.structs.replace(begin(), idempotency_key="k2")
    refused = harness.run("r2", other).failure
    assert (refused.code, refused.verdict) == ("table_full", "not-run")
    assert not harness.run("r3", begin()).result.started_now


def test_total_of_actions_is_bounded(monkeypatch):
    """Guards against memory use that grows with the number of workspaces."""
    monkeypatch.setattr(actions_module, "MAX_ACTIONS", 1)
    harness = MachineHarness()
    harness.heartbeat()
    harness.run("r1", begin())
    other = msgspec.structs.replace(begin(), workspace="team-b")
    assert harness.run("r2", other).failure.code == "table_full"


def test_recorded_conflicts_omit_the_document():
    """Guards against stored outcomes that each contain a configuration of megabytes."""
    harness = MachineHarness()
    harness.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    conflicting = FileConfiguration(0, DOCUMENT, "bob")
    assert "document" in harness.run("r2", conflicting).failure.details
    resent = harness.run("r2", conflicting).failure
    assert (resent.code, resent.details["operator"]) == ("conflict", "ann")
    assert "document" not in resent.details


def test_usage_view_omits_old_histograms_beyond_its_size_limit(monkeypatch):
    """Guards against a view that exceeds the size limit of a message."""
    monkeypatch.setattr(views_module, "MAX_VIEW_HISTOGRAM_BYTES", 100)
    harness = MachineHarness()
    histogram = new_histogram()
    histogram.record_value(7)
    for sequence in (1, 2):
        fields = {"ttft_histogram": histogram.encode()}
        harness.run(f"u{sequence}", report(sequence, MINUTE - sequence, **fields))
    rows = json.loads(harness.machine.read("usage").document)
    assert [bool(row["ttft_histogram"]) for row in rows] == [False, True]
    monkeypatch.setattr(machine_module, "MAX_VIEW_BYTES", 10)
    assert harness.machine.read("usage").code == "view_too_large"


def test_action_records_expire_after_a_day_unless_started():
    """Guards against unbounded records, and against expiry of a running action."""
    harness = MachineHarness()
    harness.heartbeat()
    harness.run("r1", begin())
    harness.run("r2", finish(200))
    running = msgspec.structs.replace(begin(), idempotency_key="k2")
    harness.run("r3", running)
    harness.now_ms += DAY_MS + 1
    harness.run("r4", WithdrawKey("none", "ann"))
    assert [row.idempotency_key for row in harness.machine.actions.rows] == ["k2"]


def test_responses_over_the_limit_are_omitted_but_the_outcome_is_kept(monkeypatch):
    """Guards against unbounded memory use by recorded responses."""
    monkeypatch.setattr(actions_module, "MAX_ACTION_BODIES_BYTES", 1)
    harness = MachineHarness()
    harness.heartbeat()
    harness.run("r1", begin())
    harness.run("r2", finish(200))
    record = harness.run("r3", begin()).result
    assert (record.state, record.status, record.body) == ("finished", 200, b"")


# Repetitions are weights: attempts are often abandoned, resent and reordered.
STEPS = (
    *["begin", "resend"] * 4,
    *["send", "abandon"] * 3,
    *["finish", "crash", "expire"],
)

# A resent abandonment of the first attempt arrives while the second attempt runs.
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
def test_actions_run_at_most_once_despite_crashes_and_resends(steps):
    """Guards against a second run of an action.

    Owners crash between any two steps, their messages are resent late, and outcomes
    are evicted immediately.
    """
    harness = MachineHarness()
    boots, sent, sendable, log = [1, 1], 0, [False, False], []
    for name in ("i0", "i1"):
        harness.heartbeat(name, 1)

    def submit(command):
        request_id = f"r{len(log)}"
        log.append((request_id, command))
        return harness.run(request_id, command)

    for step, owner_index, position in steps:
        owner, boot = f"i{owner_index}", boots[owner_index]
        if step == "begin":
            reply = submit(begin(owner=owner, boot=boot))
            if reply.result is not None and reply.result.started_now:
                sendable[owner_index] = True
        elif step == "send" and sendable[owner_index]:
            sent += 1
            sendable[owner_index] = False
        elif step == "finish" and not sendable[owner_index]:
            submit(finish(0, owner, boot))
        elif step == "abandon" and sendable[owner_index]:
            sendable[owner_index] = False
            submit(abandon(owner, boot))
        elif step == "crash":
            sendable[owner_index] = False
            boots[owner_index] += 1
            harness.heartbeat(owner, boots[owner_index])
        elif step == "expire":
            harness.expire(owner, boot)
            harness.heartbeat(owner, boot)
        elif step == "resend" and log:
            request_id, command = log[position % len(log)]
            harness.machine._outcomes.__init__()
            harness.run(request_id, command)
    assert sent <= 1


def test_feed_since_returns_a_snapshot_when_changes_are_evicted(monkeypatch):
    """Guards against missing changes in a receiver that was disconnected for long."""
    harness = MachineHarness()
    harness.machine._feed._changes = feed_module.deque(maxlen=2)
    for number in range(4):
        harness.run(f"r{number}", GrantKey(f"k{number}", "team-a", DIGEST, "ann"))
    assert isinstance(harness.machine.feed_since(1), FeedSnapshot)
    update = harness.machine.feed_since(2)
    assert (update.from_version, update.to_version) == (2, 4)
    assert [change.key_id for change in update.changes] == ["k2", "k3"]
    assert len(harness.machine.feed_since(1).keys) == 4


def test_feed_update_keeps_the_last_change_of_a_key():
    """Guards against an update that restores a withdrawn key."""
    harness = MachineHarness()
    harness.run("r0", GrantKey("other", "team-a", DIGEST, "ann"))
    harness.run("r1", GrantKey("key", "team-a", DIGEST, "ann"))
    harness.run("r2", WithdrawKey("key", "ann"))
    assert harness.machine.feed_since(1).changes == [KeyChange("key")]


def test_draining_and_target_list_enter_the_feed_only_when_changed():
    """Guards against pushing an unchanged list to every process."""
    harness = MachineHarness()
    harness.heartbeat()
    version = harness.machine.feed_version
    for request_id in ("r1", "r2"):
        harness.run(request_id, SetInstanceState("i1", "draining", "ann"))
        targets = [TargetStatus("b", "live"), TargetStatus("a", "leaving")]
        harness.run(f"t{request_id}", ObserveTargets(targets))
    assert harness.machine.feed_version == version + 2
    assert harness.machine.instances.addresses()[0].status == "draining"


def test_delayed_heartbeat_does_not_replace_a_newer_process():
    """Guards against a live process that loses its lease to a stopped one."""
    harness = MachineHarness()
    harness.heartbeat(boot=2)
    harness.heartbeat(boot=1)
    assert harness.machine.instances.current("i1").boot == 2
    harness.expire(boot=1)
    assert harness.machine.instances.current("i1").boot == 2


def test_shares_of_an_expired_process_count_as_spent():
    """Guards against granting the tokens of an expired process a second time."""
    harness = MachineHarness()
    harness.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    harness.heartbeat(shares=[share(wanted_tokens=100_000)])
    assert harness.machine.grants("i1", 1)[0].granted_tokens == 100_000
    harness.expire()
    harness.heartbeat("i2", shares=[share(wanted_tokens=100_000)])
    assert harness.machine.grants("i2", 1)[0].granted_tokens == 0


def test_configuration_with_unknown_policy_is_refused():
    """Guards against accepting a configuration that entry processes can't apply."""
    document = DOCUMENT.replace('"papayacrank"', '"misspelt"')
    assert document != DOCUMENT
    refusal = check_command(FileConfiguration(0, document, "ann"))
    assert (refusal.code, refusal.verdict) == ("invalid_command", "not-run")
    assert "longest_match" in refusal.message


def test_feed_updates_do_not_grow_with_the_number_of_instances():
    """Guards against bytes sent to each receiver that grow quadratically at startup.

    With full lists, 200 instances that started at once made the leader send 40 MB in
    2 s.
    """
    harness = MachineHarness()
    sizes = []
    for number in range(100):
        before = harness.machine.feed_version
        harness.start_instance(number)
        update = harness.machine.feed_since(before)
        sizes.append(len(msgspec.msgpack.encode(update)))
    assert max(sizes) < 2 * min(sizes)
    assert len(harness.machine.instances.addresses()) == 100


def test_delayed_heartbeat_of_an_older_process_does_not_change_the_feed():
    """Guards against a feed version that differs between members."""
    harness = MachineHarness()
    harness.heartbeat("i1", boot=2)
    version = harness.machine.feed_version
    harness.heartbeat("i1", boot=1)
    assert harness.machine.feed_version == version
    harness.expire("i1", boot=2)
    assert harness.machine.feed_version == version + 1


def test_empty_snapshot_restores_the_initial_state():
    """Guards against a member that stops because its log was discarded early.

    Without a snapshot before the discarded entries, it receives an empty one.
    """
    harness = MachineHarness()
    harness.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    harness.machine.restore(b"")
    assert harness.machine.snapshot() == StateMachine().snapshot()


def test_new_leader_does_not_refill_budgets_for_the_time_without_a_leader():
    """Guards against grants beyond the rate when group time resumes late."""
    harness = MachineHarness()
    harness.run("r1", FileConfiguration(0, DOCUMENT, "ann"))
    harness.heartbeat(shares=[share(wanted_tokens=100_000)])
    harness.now_ms = 10_000
    harness.append(LeaderEntry, "c2")
    held = share(wanted_tokens=200_000, held_tokens=100_000, granted_tokens=100_000)
    harness.heartbeat(shares=[held])
    assert harness.machine.grants("i1", 1)[0].granted_tokens == 100_000


def test_at_most_three_weight_loads_are_issued_at_once():
    """Guards against a fourth concurrent load, which slows all of them down."""
    harness = MachineHarness()
    for number in range(4):
        command = PlaceOrder(f"t{number}", "load_weights", "2", "ann")
        harness.run(f"o{number}", command)
        harness.append(OrderEntry, f"o{number}", True)
    states = [row.state for row in harness.machine.orders.open]
    assert states == ["issued", "issued", "issued", "waiting"]
    harness.run("c0", ConfirmOrder("o0", "2"))
    harness.append(OrderEntry, "o3", True)
    assert [row.state for row in harness.machine.orders.open] == ["issued"] * 3


def test_fencing_tokens_increase_and_newer_orders_supersede():
    """Guards against an older order that overwrites the effect of a newer one."""
    harness = MachineHarness()
    first = harness.run("o1", PlaceOrder("t", "load_weights", "2", "ann")).result
    harness.append(OrderEntry, "o1", True)
    second = harness.run("o2", PlaceOrder("t", "load_weights", "3", "ann")).result
    assert second.fencing_token > first.fencing_token
    assert harness.machine.orders.find("o1").state == "superseded"
    assert harness.run("c1", ConfirmOrder("o1", "2")).failure.code == "unknown_order"
    assert harness.run("c2", ConfirmOrder("o2", "2")).failure.code == "not_confirmed"
    harness.append(OrderEntry, "o2", False, "2")
    assert harness.run("c3", ConfirmOrder("o2", "3")).failure is None


def test_superseded_orders_do_not_evict_confirmed_ones(monkeypatch):
    """Guards against an engine that is no longer verified after many other orders."""
    monkeypatch.setattr(orders_module, "MAX_SUPERSEDED_ORDERS", 2)
    harness = MachineHarness()
    harness.run("kept", PlaceOrder("t0", "load_weights", "2", "ann"))
    harness.run("c", ConfirmOrder("kept", "2"))
    for number in range(6):
        harness.run(f"o{number}", PlaceOrder("t1", "load_weights", str(number), "ann"))
    restored = StateMachine()
    restored.restore(harness.machine.snapshot())
    for machine in (harness.machine, restored):
        assert [row.order_id for row in machine.orders.closed] == ["o3", "o4", "kept"]
        assert [row.order_id for row in machine.orders.confirmed()] == ["kept"]


def report(sequence, minute=MINUTE, boot=1, **fields):
    delta = UsageDelta("team-a", asked=1, **fields)
    return ReportUsage("i1", boot, sequence, minute, [delta])


def total_asked(harness):
    return sum(row.usage.asked for row in harness.machine.usage.rows)


def test_usage_counts_each_report_once_in_any_order():
    """Guards against lost or doubled usage when reports are resent or reordered."""
    harness = MachineHarness()
    for number, sequence in enumerate([2, 1, 2, 4, 1, 3, 4]):
        harness.run(f"u{number}", report(sequence))
    harness.run("u7", report(1, boot=2))
    assert total_asked(harness) == 5
    assert harness.run("u8", report(1_000)).failure.code == "sequence_gap"


def test_usage_merges_histograms():
    """Guards against percentiles that cover only one process."""
    harness = MachineHarness()
    for sequence, value in ((1, 10), (2, 1_000)):
        histogram = new_histogram()
        histogram.record_value(value)
        harness.run(f"u{sequence}", report(sequence, ttft_histogram=histogram.encode()))
    merged = harness.machine.usage.rows[0].usage.ttft_histogram
    decoded = decode_histogram(merged)
    assert decoded.get_total_count() == 2
    assert decoded.get_max_value() >= 1_000


@settings(max_examples=60, deadline=None)
@given(st.lists(st.integers(0, 400), min_size=1, max_size=60))
def test_usage_table_stays_bounded_and_preserves_totals(minutes):
    """Guards against unbounded rows, and against usage lost when rows are merged."""
    harness = MachineHarness()
    limit, usage_module.MAX_USAGE_ROWS = usage_module.MAX_USAGE_ROWS, 3
    skew, usage_module.MAX_REPORT_AGE_MINUTES = (
        usage_module.MAX_REPORT_AGE_MINUTES,
        10_000,
    )
    try:
        for sequence, minute in enumerate(minutes, start=1):
            harness.run(f"u{sequence}", report(sequence, MINUTE - minute))
            assert len(harness.machine.usage.rows) <= 3
    finally:
        usage_module.MAX_USAGE_ROWS = limit
        usage_module.MAX_REPORT_AGE_MINUTES = skew
    assert total_asked(harness) == len(minutes)


def test_usage_of_a_wrong_wall_clock_counts_near_the_time_of_the_leader():
    """Guards against one wrong clock that makes the table merge all other minutes."""
    harness = MachineHarness()
    harness.run("u1", report(1, MINUTE + 1_000_000))
    harness.run("u2", report(2, 0))
    offsets = [row.minute - MINUTE for row in harness.machine.usage.rows]
    assert offsets == [-15, 1]


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
    """Guards against entries that are too large or that replicas fail to apply."""
    assert check_command(command).verdict == "not-run"


def test_applied_entries_are_not_applied_again():
    """Guards against double effects when the log is replayed after a snapshot."""
    harness = MachineHarness()
    harness.run("u1", report(1))
    restored = StateMachine()
    restored.restore(harness.machine.snapshot())
    entry = CommandEntry(0, WALL_MS, ControlRequest("u2", "x", 1, report(2)))
    assert restored.apply(1, encode_entry(entry)) is None
    with pytest.raises(SnapshotError):
        restored.restore(b"damaged")


def commands():
    """Return a strategy of commands over few names, so that they conflict."""
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
def test_restored_snapshot_applies_entries_like_the_original(before, after):
    """Guards against state that snapshots omit although later entries depend on it."""
    harness = MachineHarness()
    harness.heartbeat(shares=[share(wanted_tokens=5)])
    for number, command in enumerate(before):
        harness.run(f"r{number}", command)
    restored = MachineHarness()
    restored.machine.restore(harness.machine.snapshot())
    restored.index = harness.index
    for number, command in enumerate(after):
        request_id = f"r{number + len(before) // 2}"
        assert restored.run(request_id, command) == harness.run(request_id, command)
    for what in ("status", "keys", "orders", "usage", "actions", "budgets"):
        assert restored.machine.read(what) == harness.machine.read(what)
    assert restored.machine.feed_since(0) == harness.machine.feed_since(0)


def test_views_are_json_and_unknown_parts_are_refused():
    """Guards against a view that contains a key digest or isn't valid JSON."""
    harness = MachineHarness()
    harness.run("r1", GrantKey("key", "team-a", DIGEST, "ann"))
    assert json.loads(harness.machine.read("keys").document)[0]["key_id"] == "key"
    assert DIGEST not in harness.machine.read("keys").document
    assert harness.machine.read("unknown").code == "invalid_command"


def test_capacity_is_kept_from_the_registration_and_costs_no_entries():
    """Guards against a log that grows with the load of instances, and a lost value."""
    harness = MachineHarness()
    capacity = InstanceCapacity(0.387, 136.0, 1_638, 3.75)
    heartbeat = Heartbeat("i1", 1, 1, 0, 0, "east", "127.0.0.1:1", "serving")
    heartbeat = msgspec.structs.replace(heartbeat, capacity=capacity)
    harness.append(HeartbeatEntry, [heartbeat])
    table = harness.machine.instances
    assert table.addresses()[0].capacity == capacity
    changed = msgspec.structs.replace(
        heartbeat, capacity=InstanceCapacity(0.5), sequence=2
    )
    assert table.is_unchanged(changed)
    dumped = msgspec.msgpack.encode(table.dump())
    restored = type(table)()
    restored.load(msgspec.msgpack.decode(dumped, type=type(table.dump())))
    assert restored.addresses() == table.addresses()
    # A snapshot of an older build has no capacity.
    fields = msgspec.msgpack.decode(dumped)
    for row in fields["rows"]:
        del row["capacity"]
    restored.load(msgspec.convert(fields, type(table.dump())))
    assert restored.addresses()[0].capacity == InstanceCapacity()
