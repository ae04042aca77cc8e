"""Tests of non-idempotent actions under failures, with real processes."""

import http.client
import json
import signal
import threading
import time

import pytest

from .support import wait_until
from .system import Response, fetch_json, inject_fault, running_system

pytestmark = pytest.mark.prove

WORK_MS = 400
HEADERS = {"Idempotency-Key": "claim-1"}


@pytest.fixture
def system(tmp_path):
    options = {"engines": 0, "service_args": ("--work_ms", str(WORK_MS))}
    with running_system(tmp_path, **options) as running:
        yield running


def start_claim(system, key="key-a") -> http.client.HTTPConnection:
    """Send a claim and wait until the service has received it."""
    connection = system.open(
        "POST", "/v1/services/shop-app/claims", b"roll-7", key, HEADERS
    )
    wait_until(lambda: system.read_journal(), "claim runs")
    return connection


def read_action_state(system) -> str:
    """Return the state of the only action."""
    counts = system.read("actions")["counts"]
    return "".join(name for name, count in counts.items() if count == 1)


def test_generated_key_is_returned_and_replays(system):
    """Guards against a caller without a key who can't retrieve the outcome."""
    first = system.claim()
    key = first.headers["idempotency-key"]
    second = system.claim(headers={"Idempotency-Key": key})
    assert second.body == first.body
    assert len(system.read_journal()) == 1


def test_generated_keys_differ(system):
    """Guards against the same generated key for two actions."""
    keys = {system.claim().headers["idempotency-key"] for _ in range(2)}
    assert len(keys) == 2
    assert len(system.read_journal()) == 2


def test_same_key_with_other_content_is_a_conflict(system):
    """Guards against responding to an action with the outcome of another one."""
    assert system.claim(headers=HEADERS).status == 200
    other = system.claim(body=b"roll-8", headers=HEADERS)
    assert (other.status, other.error["code"]) == (409, "idempotency_conflict")
    assert len(system.read_journal()) == 1


def test_workspaces_have_separate_keys(system):
    """Guards against returning a workspace the response to another one."""
    first = system.claim(headers=HEADERS)
    second = system.claim(headers=HEADERS, key="key-b")
    assert first.json["sequence"] != second.json["sequence"]


def test_concurrent_repeats_run_once(system):
    """Guards against a race between identical requests."""
    responses = []

    def claim() -> None:
        responses.append(system.claim(headers=HEADERS))

    threads = [threading.Thread(target=claim) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(system.read_journal()) == 1
    assert sorted({response.status for response in responses}) == [200, 409]
    refused = [response.error for response in responses if response.status == 409]
    assert {error["verdict"] for error in refused} == {"may-have-run"}


def test_entry_killed_while_the_action_runs(system):
    """Guards against running an action again after its entry process was lost."""
    connection = start_claim(system)
    system.entries["entry-1"].kill()
    with pytest.raises((OSError, http.client.HTTPException)):
        connection.getresponse()
    system.start_entry()
    repeat = system.claim(headers=HEADERS)
    assert (repeat.status, repeat.error["verdict"]) == (409, "may-have-run")
    assert len(system.read_journal()) == 1


def test_entry_killed_after_the_response(system):
    """Guards against losing the recorded response with the entry process."""
    first = system.claim(headers=HEADERS)
    system.entries["entry-1"].kill()
    system.start_entry()
    second = system.claim(headers=HEADERS)
    assert second.body == first.body
    assert len(system.read_journal()) == 1


@pytest.mark.parametrize("after_ms", [0, 2, 5, 10, 50])
def test_entry_killed_at_any_time(system, after_ms):
    """Guards against a second run, at whatever step the entry process is lost."""
    connection = system.open(
        "POST", "/v1/services/shop-app/claims", b"roll-7", "key-a", HEADERS
    )
    time.sleep(after_ms / 1_000)
    system.entries["entry-1"].kill()
    connection.close()
    system.start_entry()
    repeat = system.claim(headers=HEADERS)
    ran = len(system.read_journal())
    assert ran <= 1
    if repeat.status == 200:
        assert ran == 1
    else:
        assert (repeat.status, repeat.error["verdict"]) == (409, "may-have-run")


def test_action_with_a_lost_response_is_not_repeated(system):
    """Guards against repeating an action that the service has run."""
    inject_fault(system.service_addresses[0], kind="drop_after", path="/claims")
    lost = system.claim(headers=HEADERS)
    assert (lost.status, lost.error["verdict"]) == (502, "may-have-run")
    repeat = system.claim(headers=HEADERS)
    assert (repeat.status, repeat.error["verdict"]) == (409, "may-have-run")
    assert repeat.error["state"] == "unknown"
    assert len(system.read_journal()) == 1


def test_action_on_a_server_that_crashes_is_not_repeated(tmp_path):
    """Guards against an action that runs again elsewhere after a crash."""
    options = {"engines": 0, "services": 2, "service_args": ("--work_ms", "2000")}
    with running_system(tmp_path, **options) as system:
        connection = start_claim(system)
        busy = next(
            number
            for number, address in enumerate(system.service_addresses)
            if fetch_json(address, "/journal")["entries"]
        )
        system.services[busy].kill()
        system.service_addresses.pop(busy)
        lost = Response(connection.getresponse())
        assert (lost.status, lost.error["verdict"]) == (502, "may-have-run")
        repeat = system.claim(headers=HEADERS)
        assert (repeat.status, repeat.error["verdict"]) == (409, "may-have-run")
        assert system.read_journal() == []


def test_swapped_response_is_not_delivered(system):
    """Guards against recording the response to another action."""
    inject_fault(system.service_addresses[0], kind="swap_answers", path="/claims")
    response = system.claim(headers=HEADERS)
    assert (response.status, response.error["verdict"]) == (502, "may-have-run")


def test_unreachable_service_is_not_run_and_may_be_tried_again(tmp_path):
    """Guards against a record that blocks an action that provably never ran."""
    with running_system(tmp_path, engines=0) as system:
        system.services[0].kill()
        refused = system.claim(headers=HEADERS)
        assert (refused.status, refused.error["verdict"]) == (502, "not-run")
        system.services.clear()
        system.service_addresses.clear()
        system.start_service()
        system.configure(expected_version=1)
        wait_until(
            lambda: system.claim(headers=HEADERS).status == 200, "claim runs again"
        )
        assert len(system.read_journal()) == 1


def test_second_server_is_used_when_the_first_refuses_connections(tmp_path):
    """Guards against failing an action that was not sent and can be retried."""
    with running_system(tmp_path, engines=0, services=2) as system:
        system.services[0].kill()
        system.service_addresses.pop(0)
        for number in range(6):
            headers = {"Idempotency-Key": f"claim-{number}"}
            assert system.claim(headers=headers).status == 200
        assert len(system.read_journal()) == 6


def test_withdrawn_key_gets_no_response_but_the_action_is_recorded(system):
    """Guards against cancelling an action whose outcome would become unknown."""
    connection = start_claim(system)
    system.withdraw("key-a")
    response = Response(connection.getresponse())
    assert (response.status, response.error["verdict"]) == (401, "may-have-run")
    wait_until(lambda: read_action_state(system) == "finished", "recorded")
    system.grant("key-c", "team-a")
    wait_until(lambda: system.claim(headers=HEADERS, key="key-c").status == 200, "c")
    assert len(system.read_journal()) == 1


def test_action_is_recorded_when_the_caller_leaves(system):
    """Guards against losing the outcome when the caller disconnects."""
    start_claim(system).close()
    wait_until(lambda: read_action_state(system) == "finished", "recorded")
    assert system.claim(headers=HEADERS).status == 200
    assert len(system.read_journal()) == 1


def test_action_is_refused_without_the_control_group(system):
    """Guards against running an action without a record."""
    system.control.kill()
    response = system.claim(headers=HEADERS)
    assert response.status == 503
    assert response.error["verdict"] == "not-run"
    assert system.read_journal() == []


def test_action_is_recorded_when_contact_is_back(tmp_path):
    """Guards against losing an outcome that could not be recorded immediately."""
    options = {"engines": 0, "service_args": ("--work_ms", "500")}
    with running_system(tmp_path, **options) as system:
        connection = start_claim(system)
        system.control.process.send_signal(signal.SIGSTOP)
        response = Response(connection.getresponse())
        assert (response.status, response.json["sequence"]) == (200, 1)
        time.sleep(4.0)
        system.control.process.send_signal(signal.SIGCONT)
        wait_until(lambda: system.is_serving(), "contact", 10)
        wait_until(lambda: read_action_state(system) == "finished", "recorded", 10)
        repeat = system.claim(headers=HEADERS)
        assert repeat.body == response.body
        assert len(system.read_journal()) == 1


def test_suspended_entry_sends_nothing_for_a_withdrawn_key(tmp_path):
    """Guards against sending an action after its key may have been withdrawn."""
    with running_system(tmp_path, engines=0) as system:
        entry = system.entries["entry-1"].process
        entry.send_signal(signal.SIGSTOP)
        connection = system.open(
            "POST", "/v1/services/shop-app/claims", b"roll-7", "key-a", HEADERS
        )
        system.withdraw("key-a")
        time.sleep(3.5)
        entry.send_signal(signal.SIGCONT)
        response = Response(connection.getresponse())
        assert response.status in (401, 503)
        assert response.error["verdict"] == "not-run"
        assert system.read_journal() == []


def test_large_response_is_not_replayed_as_an_empty_one(tmp_path):
    """Guards against replaying a response without its body."""
    with running_system(tmp_path, engines=0) as system:
        body = b"x" * 100_000
        first = system.claim(body=body, headers=HEADERS)
        assert (first.status, len(first.body) > 100_000) == (200, True)
        repeat = system.claim(body=body, headers=HEADERS)
        assert (repeat.status, repeat.error["code"]) == (409, "answer_not_kept")
        assert repeat.error["verdict"] == "ran"


def test_lookups_are_repeated_on_another_server(tmp_path):
    """Guards against failing a lookup that another server can process."""
    with running_system(tmp_path, engines=0, services=2) as system:
        for address in system.service_addresses:
            inject_fault(address, kind="drop_before", path="/lookups")
        path = "/v1/services/shop-app/lookups?q=1"
        responses = [system.get(path, "key-a") for _ in range(2)]
        assert 200 in {response.status for response in responses}
        assert system.get(path, "key-a").json["path"] == "/lookups?q=1"


def test_public_path_needs_no_key(tmp_path):
    """Checks that only public paths can be used without a key."""
    with running_system(tmp_path, engines=0) as system:
        assert system.claim("/public/a", key=None).status == 200
        response = system.claim("/claims", key=None)
        assert (response.status, response.error["verdict"]) == (401, "not-run")
        assert system.claim("/public/../claims", key=None).status == 400


def test_usage_counts_actions(system):
    """Guards against actions that are missing in the usage report."""
    assert system.claim(headers=HEADERS).status == 200

    def is_reported() -> bool:
        return '"actions_finished": 1' in json.dumps(system.read("usage"))

    wait_until(is_reported, "usage", 10)
