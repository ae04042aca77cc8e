"""Tests of the fleet, the relay and the stand-in programs."""

import http.client
import os
import random
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

import papayacrank
from papayacrank.testing import Direction, Fleet, FleetError, Relay, expected_output

MESSAGES = [{"role": "user", "content": "Which remnants are left? " * 40}]


@pytest.fixture
def fleet(tmp_path):
    """Fleet that is closed after the test."""
    with Fleet(tmp_path) as fleet:
        yield fleet


def test_engine_is_killed_and_comes_back_empty_at_its_addresses(fleet):
    """Guards against a restart that keeps the cache or changes the addresses."""
    engine = fleet.start_engine("engine-1", block_tokens=16)
    document = {"request_id": "r1", "messages": MESSAGES, "max_tokens": 5}
    response = fleet.request(engine.address, "POST", "/v1/chat/completions", document)
    output, _ = expected_output(MESSAGES, 5)
    assert response.json()["choices"][0]["message"]["content"] == "".join(output)
    before = fleet.request(engine.address, "GET", "/v1/kv/blocks").json()
    assert before["block_hashes"]
    fleet.kill("engine-1")
    with pytest.raises(OSError):
        fleet.request(engine.address, "GET", "/v1/load")
    restarted = fleet.restart("engine-1")
    assert restarted.addresses == engine.addresses
    after = fleet.request(restarted.address, "GET", "/v1/kv/blocks").json()
    assert after["block_hashes"] == []
    assert after["incarnation"] > before["incarnation"]


def test_paused_process_does_not_answer_until_resumed(fleet):
    """Guards against a pause that ends the process, and an exit code other than 0."""
    service = fleet.start_service("service-1")
    fleet.pause("service-1")
    with pytest.raises(TimeoutError):
        fleet.request(service.address, "GET", "/health", timeout_s=0.3)
    fleet.resume("service-1")
    fleet.wait_healthy(service.address)
    assert fleet.terminate("service-1") == 0


def test_service_journal_shows_headers_of_requests_that_ran(fleet):
    """Guards against a journal that hides leaked keys or duplicate requests."""
    service = fleet.start_service("service-1")
    headers = {"Authorization": "Bearer sample", "X-Request-Id": "r7"}
    fleet.request(service.address, "POST", "/claims", {"roll": 3}, headers)
    fleet.inject("service-1", "drop_before", path="/claims")
    with pytest.raises((OSError, http.client.HTTPException)):
        fleet.request(service.address, "POST", "/claims", {"roll": 4})
    fleet.inject("service-1", "drop_after", path="/claims")
    with pytest.raises((OSError, http.client.HTTPException)):
        fleet.request(service.address, "POST", "/claims", {"roll": 5})
    entries = fleet.journal("service-1")
    assert [entry["body"] for entry in entries] == ['{"roll": 3}', '{"roll": 5}']
    assert entries[0]["headers"]["authorization"] == "Bearer sample"
    assert entries[0]["request_id"] == "r7"


def test_addresses_of_fleets_that_run_side_by_side_differ(fleet, tmp_path):
    """Guards against port conflicts between concurrent test runs."""
    first = Fleet(tmp_path, random.Random(1))
    second = Fleet(tmp_path, random.Random(1))
    addresses = [f.free_address() for f in (first, second) for _ in range(20)]
    assert len(set(addresses)) == len(addresses)
    port = addresses[0].rsplit(":", 1)[1]
    assert fleet.start_service("service-1", port=port).address == addresses[0]
    events = addresses[1].rsplit(":", 1)[1]
    engine = fleet.start_engine("engine-1", events_port=events)
    assert engine.addresses["events_address"] == addresses[1]
    first.close()
    second.close()


TERMINATED_RUN = """
import time
from pathlib import Path
from papayacrank.testing import Fleet
with Fleet(Path(".")) as fleet:
    service = fleet.start_service("service-1")
    print(service.address, flush=True)
    time.sleep(60)
"""


def test_terminated_run_leaves_no_process(tmp_path):
    """Guards against processes left running after `timeout` ends a test run."""
    project = str(Path(papayacrank.__file__).parent.parent)
    with subprocess.Popen(
        [sys.executable, "-c", TERMINATED_RUN],
        cwd=tmp_path,
        env=os.environ | {"PYTHONPATH": project},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    ) as run:
        host, port = run.stdout.readline().strip().split(":")
        run.terminate()
        run.wait(10)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((host, int(port)), timeout=1)


def test_only_own_processes_can_be_ended(fleet):
    """Guards against signals to processes that the fleet did not start."""
    with pytest.raises(FleetError):
        fleet.kill("engine-9")


def test_failed_start_reports_the_output(fleet):
    """Guards against a start that hangs when the program exits with an error."""
    with pytest.raises(FleetError, match="ended"):
        fleet.start_engine("engine-1", port="none")


@pytest.fixture
def echo_relay(fleet):
    """Relay to a stand-in service."""
    service = fleet.start_service("service-1")
    with Relay(service.address) as relay:
        yield relay


def get_health_status(connection):
    """Request ``/health`` on a connection and return the status."""
    connection.request("GET", "/health")
    response = connection.getresponse()
    response.read()
    return response.status


def connect(relay, timeout_s=1.0):
    """Open a connection through the relay."""
    port = int(relay.address.rsplit(":", 1)[1])
    return http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)


@pytest.mark.parametrize("direction", list(Direction))
def test_relay_freezes_open_connections_only(echo_relay, direction):
    """Guards against a freeze that also affects new connections, or none."""
    connection = connect(echo_relay, 0.3)
    assert get_health_status(connection) == 200
    echo_relay.freeze_open((direction,))
    with pytest.raises(socket.timeout):
        get_health_status(connection)
    assert get_health_status(connect(echo_relay)) == 200


def test_relay_cuts_and_restores(echo_relay):
    """Guards against a cut that leaves a connection open or cannot be undone."""
    connection = connect(echo_relay)
    assert get_health_status(connection) == 200
    echo_relay.cut()
    with pytest.raises((OSError, http.client.HTTPException)):
        get_health_status(connection)
    with pytest.raises(ConnectionRefusedError):
        get_health_status(connect(echo_relay))
    echo_relay.restore()
    assert get_health_status(connect(echo_relay)) == 200


def test_relay_delays(echo_relay):
    """Guards against a delay that is not applied."""
    echo_relay.delay(150, (Direction.TO_CLIENT,))
    start = time.monotonic()
    assert get_health_status(connect(echo_relay)) == 200
    assert time.monotonic() - start >= 0.15
