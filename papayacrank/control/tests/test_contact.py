"""Tests of heartbeats, contact and the feed copy."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayacrank.config import canonical_json, generate_configuration
from papayacrank.control import (
    ContactSettings,
    ControlContact,
    FeedChanged,
    GrantsReceived,
    LeaderHint,
    digest_key,
)
from papayacrank.kernel import Send
from papayacrank.messages import (
    ConfigurationChange,
    ControlRequest,
    EntryAddress,
    FeedSnapshot,
    FeedUpdate,
    GrantKey,
    Heartbeat,
    HeartbeatAck,
    InstanceCapacity,
    InstanceChange,
    KeyChange,
    KeyEntry,
    NotLeader,
    ShareGrant,
    ShareReport,
    TargetsChange,
    TargetStatus,
    WithdrawKey,
)
from papayacrank.state import CommandEntry, StateMachine, encode_entry
from papayacrank.testing import build_questionnaire

TIMER = "control-contact:heartbeat"
DOCUMENT = canonical_json(generate_configuration(build_questionnaire()))
KEYS = {name: KeyEntry(name, "team-a", digest_key(name)) for name in "abc"}


def build_contact(**fields):
    """Return a contact to a group of three members."""
    identity = ContactSettings("i1", 7, "east", "127.0.0.1:80")
    return ControlContact(identity, LeaderHint(["c1", "c2", "c3"]), **fields)


def build_ack(sent_ms, version=0, term=1, sequence=1, boot=7, grants=()):
    """Return an acknowledgement."""
    return HeartbeatAck(sequence, sent_ms, term, 3_000, version, boot, list(grants))


def list_receivers(effects):
    return [e.to for e in effects if isinstance(e, Send)]


def test_contact_ends_a_fixed_time_after_the_heartbeat():
    """Guards against keys that stay valid beyond the limit after contact is lost."""
    contact = build_contact()
    contact.start(1_000)
    assert not contact.has_contact(1_000)
    contact.receive("c1", build_ack(1_000), 3_500)
    assert contact.has_contact(3_999)
    assert not contact.has_contact(4_000)


def test_acknowledgement_extends_contact_once_the_feed_is_current():
    """Guards against a withdrawn key that stays valid because a push was lost."""
    contact = build_contact()
    contact.start(0)
    contact.receive("c1", build_ack(0, version=1), 10)
    assert not contact.has_contact(10)
    contact.receive("c1", FeedUpdate(0, 1, [KeyChange("a", KEYS["a"])]), 20)
    assert contact.has_contact(20)
    for now_ms in range(500, 3_000, 500):
        contact.tick(TIMER, now_ms)
        contact.receive("c1", build_ack(now_ms, version=2, sequence=2), now_ms + 1)
    assert not contact.has_contact(3_000)


@pytest.mark.parametrize(
    "invalid_ack",
    [
        build_ack(900, boot=6),
        build_ack(900, term=1),
        build_ack(900, term=3, sequence=99),
        build_ack(5_000, term=3),
    ],
)
def test_invalid_acknowledgements_do_not_extend_contact(invalid_ack):
    """Guards against contact through an acknowledgement for another process or term."""
    contact = build_contact()
    contact.start(0)
    contact.receive("c2", build_ack(0, term=2), 1)
    contact.receive("c1", invalid_ack, 1_000)
    assert not contact.has_contact(3_000)


def test_late_acknowledgement_does_not_shorten_contact():
    """Guards against refusals because acknowledgements arrive out of order."""
    contact = build_contact()
    contact.start(0)
    contact.tick(TIMER, 500)
    contact.receive("c1", build_ack(500, sequence=2), 510)
    contact.receive("c1", build_ack(0), 520)
    assert contact.has_contact(3_400)


def test_heartbeats_go_to_all_members_until_one_acknowledges():
    """Guards against an entry process that keeps sending to a dead leader."""
    contact = build_contact()
    assert list_receivers(contact.start(0)) == ["c1", "c2", "c3"]
    contact.receive("c2", build_ack(0), 10)
    assert list_receivers(contact.tick(TIMER, 500)) == ["c2"]
    assert list_receivers(contact.tick(TIMER, 1_000)) == ["c1", "c2", "c3"]


def test_redirect_is_followed_once():
    """Guards against a redirect loop between two members."""
    contact = build_contact()
    contact.start(0)
    assert list_receivers(contact.receive("c1", NotLeader("", "c3"), 10)) == ["c3"]
    assert contact.receive("c1", NotLeader("", "c2"), 11) == []
    assert contact.receive("c3", NotLeader("", "c3"), 12) == []


def test_grants_include_the_send_time_of_the_heartbeat():
    """Guards against a share lease that starts when its grant arrives."""
    reports = [ShareReport("team-a", 1, 0, 0, 5, 1)]
    contact = build_contact(share_reports=lambda now_ms: reports)
    heartbeat = contact.start(100)[0].message
    assert isinstance(heartbeat, Heartbeat) and heartbeat.shares == reports
    effects = contact.receive(
        "c1", build_ack(100, grants=[ShareGrant("team-a", 5)]), 400
    )
    assert effects == [GrantsReceived((ShareGrant("team-a", 5),), 100, 3_000)]


def test_keys_are_found_by_digest_and_withdrawals_are_reported():
    """Guards against streams that continue after their key was withdrawn."""
    contact = build_contact()
    keys = list(KEYS.values())
    snapshot = FeedSnapshot(5, ConfigurationChange(1, DOCUMENT), keys, [], [])
    contact.receive("c1", snapshot, 0)
    assert contact.find_key(digest_key("b")) == KEYS["b"]
    assert contact.find_key(digest_key("b")[:16] + "0" * 48) is None
    changed = contact.receive("c1", FeedUpdate(5, 6, [KeyChange("b")]), 0)
    assert changed == [FeedChanged(6, withdrawn=(KEYS["b"],))]
    assert contact.find_key(digest_key("b")) is None
    later_snapshot = FeedSnapshot(9, ConfigurationChange(1, DOCUMENT), keys[:1], [], [])
    assert contact.receive("c1", later_snapshot, 0)[0].withdrawn == (KEYS["c"],)


def test_feed_sections_are_stored_and_drain_is_detected():
    """Guards against a section of the feed that updates do not change."""
    contact = build_contact()
    own_entry = EntryAddress("i1", 7, "east", "127.0.0.1:80", "draining")
    changes = [
        ConfigurationChange(3, DOCUMENT),
        TargetsChange([TargetStatus("sample-llm-1", "leaving")]),
        InstanceChange("i1", own_entry),
    ]
    assert not contact.drain_requested
    changed = contact.receive("c1", FeedUpdate(0, 3, changes), 0)
    assert changed == [FeedChanged(3, True, True, True)]
    assert contact.configuration_version == 3
    assert contact.configuration.find_service("shop-app") is not None
    assert contact.targets == {"sample-llm-1": "leaving"}
    assert contact.drain_requested


def test_heartbeat_states_the_capacity():
    """Guards against instances that all count as equal."""
    capacity = InstanceCapacity(0.387, 136.0, 1_638, 3.75)
    identity = ContactSettings("i1", 7, "east", "127.0.0.1:80", capacity=capacity)
    contact = ControlContact(identity, LeaderHint(["c1"]))
    [heartbeat] = [e.message for e in contact.start(0) if isinstance(e, Send)]
    assert heartbeat.capacity == capacity
    encoded = msgspec.msgpack.encode(heartbeat)
    assert msgspec.msgpack.decode(encoded, type=Heartbeat) == heartbeat
    # A process of an older build states nothing.
    fields = msgspec.msgpack.decode(encoded)
    del fields["capacity"]
    older = msgspec.convert(fields, Heartbeat)
    assert older.capacity == InstanceCapacity()


def test_instance_changes_are_applied_individually():
    """Guards against redirecting callers to a process that no longer exists."""
    contact = build_contact()
    first, second = (
        EntryAddress(name, 7, "east", f"127.0.0.1:{port}", "serving")
        for name, port in (("i1", 81), ("i2", 82))
    )
    changes = [InstanceChange("i2", second), InstanceChange("i1", first)]
    assert contact.receive("c1", FeedUpdate(0, 2, changes), 0)[0].instances
    assert contact.instances == (first, second)
    drained = msgspec.structs.replace(first, status="draining")
    contact.receive("c1", FeedUpdate(2, 3, [InstanceChange("i1", drained)]), 0)
    assert contact.instances == (drained, second)
    contact.receive("c1", FeedUpdate(3, 4, [InstanceChange("i2")]), 0)
    assert contact.instances == (drained,)
    snapshot = FeedSnapshot(9, ConfigurationChange(1, DOCUMENT), [], [], [second])
    assert contact.receive("c1", snapshot, 0)[0].instances
    assert contact.instances == (second,)


def test_update_with_a_gap_is_not_applied():
    """Guards against a copy that misses a change but reports the newer version."""
    contact = build_contact()
    assert contact.receive("c1", FeedUpdate(1, 2, [KeyChange("a", KEYS["a"])]), 0) == []
    assert contact.feed_version == 0


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 2**32), st.integers(5, 40))
def test_feed_version_is_monotonic_and_converges(seed, count):
    """Guards against a stale copy after lost, duplicated and reordered pushes."""
    random_state = random.Random(seed)
    machine, contact = StateMachine(), build_contact()
    sent_pushes, keys_by_version = [], {0: set()}
    for index in range(1, count + 1):
        name = random_state.choice("abc")
        key_entry = KEYS[name]
        command = random_state.choice(
            [
                GrantKey(f"{name}{index}", "team-a", key_entry.digest, "ann"),
                WithdrawKey(f"{name}{random_state.randint(1, index)}", "ann"),
            ]
        )
        entry = CommandEntry(0, 0, ControlRequest(f"r{index}", "x", 1, command))
        machine.apply(index, encode_entry(entry))
        keys_by_version[machine.feed_version] = {r.key_id for r in machine.keys.live}
        sent_pushes.append(
            machine.feed_since(random_state.randint(0, machine.feed_version))
        )
        while sent_pushes and random_state.random() < 0.6:
            push = random_state.choice(sent_pushes)
            previous_version = contact.feed_version
            contact.receive("c1", push, 0)
            assert contact.feed_version >= previous_version
            assert {k.key_id for k in contact.keys} == keys_by_version[
                contact.feed_version
            ]
    contact.receive("c1", machine.feed_since(contact.feed_version), 0)
    assert contact.feed_version == machine.feed_version
