"""Failure proofs with three real control processes."""

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
    """Three members with a leader."""
    with ControlGroup(tmp_path, snapshot_every_entries=100) as started:
        started.start_members()
        started.wait_ready()
        yield started


def document(keep_route_ms):
    """Return a configuration that differs in one number."""
    answers = build_questionnaire(keep_route_ms=keep_route_ms)
    return canonical_json(generate_configuration(answers))


def test_killed_leaders_lose_nothing_acknowledged(group):
    """Guards against an acknowledged write that the next leader does not have."""
    acknowledged, leader = [], ""
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
        acknowledged.append(outcome.ok.key_id)
    exchange.close()
    kept = [item["key_id"] for item in group.read("keys")]
    assert kept == acknowledged == [f"k{number}" for number in range(240)]
    for name in group.members:
        if group.processes[f"control-{name}"].is_running:
            group.kill_member(name)
    for name in group.members:
        group.restart_member(name)
    group.wait_ready()
    assert [item["key_id"] for item in group.read("keys")] == acknowledged


def test_last_configuration_is_in_force_after_all_restart(group):
    """Guards against a version that reverts after hundreds of changes, with
    snapshots taken in between."""
    exchange = group.exchange()
    for version in range(300):
        command = FileConfiguration(version, document(1_000 + version), "ann")
        assert exchange.run_command(command, f"change-{version}")[1].is_ok()
    exchange.close()
    before = group.read("status")
    for name in group.members:
        group.kill_member(name)
    for name in group.members:
        group.restart_member(name)
    group.wait_ready()
    kept = group.read("configuration")
    assert kept["version"] == 300
    assert kept["document"] == document(1_299)
    assert group.read("status")["feed_version"] >= before["feed_version"]
    resent = group.run(FileConfiguration(299, document(1_299), "ann"), "change-299")
    assert resent.ok.version == 300
    late = group.run(FileConfiguration(299, document(9_999), "bob"))
    assert late.error.code == "conflict"
    assert late.error.details["operator"] == "ann"


def test_stopped_leader_gives_no_stale_answer(group):
    """Guards against an old leader that answers reads after it was frozen for
    longer than its lease, also those that had arrived meanwhile."""
    old = group.wait_ready()
    first = GrantKey("k0", "team-a", DIGEST, "ann")
    assert group.run(first).is_ok()
    clients = [group.exchange(3_000, only=old) for _ in range(5)]
    answers = []
    for client in clients:
        assert client.run_command(ReadState("keys"))[1].is_ok()
    group.pause(f"control-{old}")

    def ask(client):
        for _ in range(20):
            answers.append(client.run_command(ReadState("keys"))[1])
            if answers[-1].is_error():
                return

    threads = [threading.Thread(target=ask, args=[client]) for client in clients]
    for thread in threads:
        thread.start()
    assert group.run(GrantKey("k1", "team-a", DIGEST, "ann")).is_ok()
    group.resume(f"control-{old}")
    for thread in threads:
        thread.join()
    for client in clients:
        client.close()
    assert len(answers) >= len(clients)
    for answer in answers:
        if answer.is_ok():
            keys = json.loads(answer.ok.document)
            assert [key["key_id"] for key in keys] == ["k0", "k1"]


def test_planned_stop_of_the_leader_exits_cleanly_and_another_follows(group):
    """Guards against a planned stop that is an outage or ends with an error."""
    old = group.wait_ready()
    assert group.terminate(f"control-{old}") == 0
    assert group.wait_ready(other_than=old) != old


def test_withdrawal_ends_the_use_of_a_key_behind_an_isolated_leader(tmp_path):
    """Guards against a key that works on at an entry process whose only contact is
    a leader that a silent partition has cut off from the others."""
    with ControlGroup(tmp_path, relayed=True) as group:
        group.start_members()
        old = group.wait_ready()
        assert group.run(GrantKey("k0", "team-a", DIGEST, "ann")).is_ok()
        loop, clock = EventLoop(), MonotonicClock()
        addresses = {peer.name: peer.address for peer in group.peers}
        free = Subscriber(loop, "i1", addresses)
        trapped = Subscriber(loop, "i2", {old: addresses[old]})

        def uses_key(subscriber):
            contact = subscriber.contact
            in_contact = contact.has_contact(clock.now_ms())
            return in_contact and contact.find_key(DIGEST) is not None

        for subscriber in (free, trapped):
            subscriber.begin()
        loop.wait_until(lambda: uses_key(free) and uses_key(trapped))
        group.isolate(old)
        request_id = free.submit(WithdrawKey("k0", "ann"))
        loop.wait_until(lambda: request_id in free.outcomes)
        assert free.outcomes[request_id].is_ok()
        withdrawn_ms = clock.now_ms()
        loop.wait_until(lambda: not uses_key(free) and not uses_key(trapped))
        assert clock.now_ms() - withdrawn_ms <= WITHDRAWAL_LIMIT_MS
        loop.run_for(1.0)
        assert not uses_key(free) and not uses_key(trapped)
        assert free.contact.has_contact(clock.now_ms())
        for subscriber in (free, trapped):
            subscriber.link.close()
