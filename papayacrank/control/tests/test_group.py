"""Failure tests with three real control processes."""

import json
import threading

import pytest

from papayacrank.config import canonical_json, generate_configuration
from papayacrank.control import digest_key
from papayacrank.control.tests.group import ControlGroup
from papayacrank.control.tests.subscriber import EventLoop, Subscriber
from papayacrank.kernel import MonotonicClock
from papayacrank.messages import (
    FileConfiguration,
    GrantKey,
    ReadState,
    WithdrawKey,
)
from papayacrank.testing import build_questionnaire

pytestmark = pytest.mark.prove
DIGEST = digest_key("key")
WITHDRAWAL_LIMIT_MS = 4_500


@pytest.fixture
def group(tmp_path):
    """Return a group of three members that has a leader."""
    with ControlGroup(tmp_path, snapshot_every_entries=100) as running_group:
        running_group.start_members()
        running_group.wait_ready()
        yield running_group


def build_document(keep_route_ms):
    """Return a configuration that differs only in `keep_route_ms`."""
    answers = build_questionnaire(keep_route_ms=keep_route_ms)
    return canonical_json(generate_configuration(answers))


def test_acknowledged_writes_survive_killed_leaders(group):
    """Guards against an acknowledged write that the next leader lacks."""
    acknowledged_ids, leader = [], ""
    exchange = group.exchange()
    for number in range(240):
        if number in (60, 140):
            if leader:
                group.restart_member(leader)
            leader = group.wait_ready()
            threading.Timer(0.02, group.kill_member, [leader]).start()
        command = GrantKey(f"k{number}", "team-a", DIGEST, "ann")
        _, outcome = exchange.run_command(command)
        assert outcome.is_ok(), outcome
        acknowledged_ids.append(outcome.ok.key_id)
    exchange.close()
    stored = [item["key_id"] for item in group.read("keys")]
    assert stored == acknowledged_ids == [f"k{number}" for number in range(240)]
    for name in group.members:
        if group.processes[f"control-{name}"].is_running:
            group.kill_member(name)
    for name in group.members:
        group.restart_member(name)
    group.wait_ready()
    assert [item["key_id"] for item in group.read("keys")] == acknowledged_ids


def test_last_configuration_survives_restart_of_all_members(group):
    """Guards against a configuration that reverts after hundreds of changes.

    Snapshots are taken between the changes.
    """
    exchange = group.exchange()
    for version in range(300):
        command = FileConfiguration(version, build_document(1_000 + version), "ann")
        assert exchange.run_command(command, f"change-{version}")[1].is_ok()
    exchange.close()
    before = group.read("status")
    for name in group.members:
        group.kill_member(name)
    for name in group.members:
        group.restart_member(name)
    group.wait_ready()
    stored = group.read("configuration")
    assert stored["version"] == 300
    assert stored["document"] == build_document(1_299)
    assert group.read("status")["feed_version"] >= before["feed_version"]
    duplicate = group.run(
        FileConfiguration(299, build_document(1_299), "ann"), "change-299"
    )
    assert duplicate.ok.version == 300
    conflicting = group.run(FileConfiguration(299, build_document(9_999), "bob"))
    assert conflicting.error.code == "conflict"
    assert conflicting.error.details["operator"] == "ann"


def test_resumed_leader_returns_no_stale_read(group):
    """Guards against stale reads from a leader that was suspended beyond its lease.

    This includes requests that arrived while it was suspended.
    """
    old_leader = group.wait_ready()
    first_grant = GrantKey("k0", "team-a", DIGEST, "ann")
    assert group.run(first_grant).is_ok()
    clients = [group.exchange(3_000, only=old_leader) for _ in range(5)]
    outcomes = []
    for client in clients:
        assert client.run_command(ReadState("keys"))[1].is_ok()
    group.pause(f"control-{old_leader}")

    def read_repeatedly(client):
        for _ in range(20):
            outcomes.append(client.run_command(ReadState("keys"))[1])
            if outcomes[-1].is_error():
                return

    threads = [
        threading.Thread(target=read_repeatedly, args=[client]) for client in clients
    ]
    for thread in threads:
        thread.start()
    assert group.run(GrantKey("k1", "team-a", DIGEST, "ann")).is_ok()
    group.resume(f"control-{old_leader}")
    for thread in threads:
        thread.join()
    for client in clients:
        client.close()
    assert len(outcomes) >= len(clients)
    for outcome in outcomes:
        if outcome.is_ok():
            keys = json.loads(outcome.ok.document)
            assert [key["key_id"] for key in keys] == ["k0", "k1"]


def test_planned_stop_of_the_leader_elects_another_one(group):
    """Guards against a planned stop that causes an outage or exits with an error."""
    old_leader = group.wait_ready()
    assert group.terminate(f"control-{old_leader}") == 0
    assert group.wait_ready(other_than=old_leader) != old_leader


def test_key_withdrawal_takes_effect_behind_an_isolated_leader(tmp_path):
    """Guards against a withdrawn key that an entry process still accepts.

    Its only contact is a leader that a silent partition separates from the others.
    """
    with ControlGroup(tmp_path, relayed=True) as group:
        group.start_members()
        old_leader = group.wait_ready()
        assert group.run(GrantKey("k0", "team-a", DIGEST, "ann")).is_ok()
        loop, clock = EventLoop(), MonotonicClock()
        addresses = {peer.name: peer.address for peer in group.peers}
        connected = Subscriber(loop, "i1", addresses)
        isolated = Subscriber(loop, "i2", {old_leader: addresses[old_leader]})

        def accepts_key(subscriber):
            contact = subscriber.contact
            in_contact = contact.has_contact(clock.now_ms())
            return in_contact and contact.find_key(DIGEST) is not None

        for subscriber in (connected, isolated):
            subscriber.begin()
        loop.wait_until(lambda: accepts_key(connected) and accepts_key(isolated))
        group.isolate(old_leader)
        request_id = connected.submit(WithdrawKey("k0", "ann"))
        loop.wait_until(lambda: request_id in connected.outcomes)
        assert connected.outcomes[request_id].is_ok()
        withdrawn_ms = clock.now_ms()
        loop.wait_until(
            lambda: not accepts_key(connected) and not accepts_key(isolated)
        )
        assert clock.now_ms() - withdrawn_ms <= WITHDRAWAL_LIMIT_MS
        loop.run_for(1.0)
        assert not accepts_key(connected) and not accepts_key(isolated)
        assert connected.contact.has_contact(clock.now_ms())
        for subscriber in (connected, isolated):
            subscriber.link.close()
