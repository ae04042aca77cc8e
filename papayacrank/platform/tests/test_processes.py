"""Integration tests of the processes with a fake platform."""

import json
import signal
import threading
import time

import pytest

from .builders import encode
from .fake_platform import DISKLESS_IP, IPS, SEAL, FakePlatform

STREAM = {
    "Papayacrank_Model": "m1",
    "Papayacrank_Token_Count": "100,20",
    "Papayacrank_Prompt_Prefix": "a1:60,b2:40",
}


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    """Return a running deployment with a configuration."""
    running = FakePlatform(tmp_path_factory.mktemp("platform"))
    try:
        running.start_serving()
        yield running
    finally:
        running.stop()


def test_requests_of_all_kinds_are_served(platform):
    """Guards against a broken path from callers to targets."""
    status, headers, body = platform.request("/lookup/x", "r-safe", method="GET")
    assert (status, body) == (200, b"served r-safe")
    assert headers["Papayacrank-Server-Seal".lower()] == SEAL
    assert platform.request("/claim/x", "r-unsafe")[0] == 200
    status, _, body = platform.request("/reply/x", "r-stream", **STREAM)
    assert status == 200
    assert body == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n"
    received = platform.engine.headers[-1]
    assert received["papayacrank-tenant"] == "t1"
    assert "x-api-key" not in {name.lower() for name in received}


def test_resolve_returns_the_serving_instances(platform):
    """Guards against callers with no address or the address of a dead process."""
    status, _, body = platform.call(13, "GET", "/v1/resolve?name=h&zone=a")
    assert status == 200
    assert b'"ttl_s"' in body
    assert all(ip.encode() in body for ip in IPS)


def test_invalid_requests_get_the_right_status(platform):
    """Guards against requests that run without a valid key or route."""
    assert platform.request("/lookup/x", X_Api_Key="unknown")[0] == 401
    assert platform.request("/nowhere/x")[0] == 404
    bad = platform.operate(
        "POST", "/v1/configuration/put", {"version": 9, "routes": [{"host": "h"}]}
    )
    assert bad[0] == 400


def test_named_weights_reach_the_engine(platform):
    """Guards against engines that keep old weights."""
    body = {"model": "m1", "version": 2}
    platform.wait(lambda: platform.operate("POST", "/v1/version-put", body)[0] == 200)
    platform.wait(lambda: platform.engine.version == 2)
    platform.wait(lambda: platform.request("/reply/x", "r-2", **STREAM)[0] == 200)
    assert platform.engine.orders == 1


def test_rollout_is_ordered_and_read_at_each_control_process(platform):
    """Guards against an order that a process refuses, or a state that it does not know.

    The release has no target yet, so that the order changes no traffic.
    """
    start, read = "/v1/rollouts/start", "/v1/rollouts/plain/get"
    order = {"service": "plain", "to": "v9", "duration_s": 600}

    def answer(status, method, path, body=None, ip=IPS[0]):
        """Return the body once the call is not unavailable."""
        replies = []

        def is_answered():
            replies.append(platform.operate(method, path, body, ip))
            return replies[-1][0] != 503

        platform.wait(is_answered)
        assert replies[-1][0] == status
        return json.loads(replies[-1][2])

    for ip in IPS:
        answer(200, "POST", start, order, ip)
    for ip in IPS:
        assert answer(200, "GET", read, ip=ip) == {"state": "running", "to": "v9"}
    answer(409, "POST", start, order | {"to": "v8"})


def test_log_lines_state_request_and_outcome(platform):
    """Guards against failures that cannot be explained from the log."""
    platform.request("/lookup/x", "r-logged", method="GET")
    time.sleep(0.2)
    ended = [
        line
        for line in platform.log("entry", IPS[0])
        if line.get("request_id") == "r-logged" and line["event"] == "request_ended"
    ]
    assert ended[0]["code"] == "served"
    assert ended[0]["target"] in ("p-1", "p-2")
    assert {"took_ms", "routing_version", "target_running"} <= ended[0].keys()


@pytest.mark.prove
def test_acknowledged_configuration_survives_a_kill_of_all(tmp_path):
    """Guards against an acknowledged configuration that is lost or not in effect."""
    running = FakePlatform(tmp_path)
    try:
        running.start()
        running.configure(1)
        document = running.configure(5)
        running.kill("control")
        running.kill("entry")
        running.start("false")
        running.wait(
            lambda: (
                running.operate("GET", "/v1/configuration/get")[2] == encode(document)
            )
        )
        running.wait(lambda: running.request("/lookup/x", "again")[0] == 200)
    finally:
        running.stop()


@pytest.mark.prove
def test_graceful_shutdown_completes_running_requests(tmp_path):
    """Guards against requests that are interrupted by a graceful shutdown."""
    running = FakePlatform(tmp_path)
    outcomes = []

    def ask(number):
        outcomes.append(running.request("/claim/x", f"r{number}")[0])

    try:
        running.start()
        running.configure()
        running.wait(lambda: running.is_ready(IPS[0]))
        for server in running.plain:
            server.delay_s = 0.8
        threads = [threading.Thread(target=ask, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        process = running.processes[("entry", IPS[0])]
        process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join(10)
        assert outcomes == [200] * 4
        assert not running.is_ready(IPS[0])
        assert process.wait(9) == 0
    finally:
        running.stop()


def test_instance_without_a_disk_serves_operators(platform):
    """Guards against a control process that exits because it has no disk."""
    platform.start_process("control", DISKLESS_IP, has_disk=False)
    path = "/v1/configuration/get"
    platform.wait(lambda: platform.operate("GET", path, ip=DISKLESS_IP)[0] == 200)
    process = platform.processes[("control", DISKLESS_IP)]
    process.terminate()
    assert process.wait(5) == 0
