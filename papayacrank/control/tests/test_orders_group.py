"""Tests of orders and the platform's list with real processes."""

import http.server
import json
import threading
import time

import pytest

from papayacrank.config import canonical_json, generate_configuration
from papayacrank.control.tests.group import ControlGroup
from papayacrank.messages import FileConfiguration, PlaceOrder
from papayacrank.testing import build_questionnaire

pytestmark = pytest.mark.prove
LOAD_MS = 300


class PlatformListServer:
    """HTTP server of the platform's list."""

    def __init__(self):
        self.document = b"[]"
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Responds to every path with the list."""

            def do_GET(self):  # noqa: N802 - name given by the base class
                self.send_response(200)
                self.end_headers()
                self.wfile.write(outer.document)

            def log_message(self, *args):
                """Suppress the request log."""

        self._server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self._server.server_port}/targets"
        self._thread = threading.Thread(target=self._server.serve_forever)
        self._thread.start()

    def close(self):
        """Stop the server."""
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


@pytest.fixture
def platform():
    """Return a server of the platform's list."""
    server = PlatformListServer()
    yield server
    server.close()


@pytest.fixture
def group(tmp_path, platform):
    """Return a group of three members, with five engines that ignore fencing tokens."""
    with ControlGroup(
        tmp_path,
        platform_list_url=platform.url,
        platform_poll_interval_ms=50,
        snapshot_every_entries=50,
    ) as started:
        engines = [
            started.start_engine(
                f"engine-{n}", checks_fencing=False, load_weights_ms=LOAD_MS
            )
            for n in range(1, 6)
        ]
        started.start_members()
        started.wait_ready()
        answers = build_questionnaire(tuple(e.address for e in engines))
        document = canonical_json(generate_configuration(answers))
        assert started.run(FileConfiguration(0, document, "ann")).is_ok()
        yield started


def place_order(group, number, version):
    """Order one engine to load a version."""
    target = f"sample-llm-{number}"
    outcome = group.run(PlaceOrder(target, "load_weights", version, "ann"))
    assert outcome.is_ok(), outcome
    return outcome.ok


def read_engine_state(group, number):
    """Return the state of an engine, with its orders."""
    address = group.processes[f"engine-{number}"].address
    return group.request(address, "GET", "/v1/orders/state").json()


def all_confirmed(group):
    return all(
        o["state"] != "waiting" and o["state"] != "issued" for o in read_orders(group)
    )


def read_orders(group):
    return group.read("orders")


def test_orders_survive_loss_of_the_leader_with_at_most_three_loads(group):
    """Guards against a lost order, and against a fourth concurrent load."""
    group.wait_until(lambda: group.read("status")["configuration_version"] == 1)
    running_counts, stop = [], threading.Event()

    def sample_running():
        while not stop.is_set():
            states = [read_engine_state(group, n)["orders"] for n in range(1, 6)]
            running_counts.append(
                sum(any(o["status"] == "running" for o in s) for s in states)
            )
            time.sleep(0.02)

    sampler = threading.Thread(target=sample_running)
    sampler.start()
    try:
        for number in range(1, 6):
            place_order(group, number, "2")
        leader = group.wait_ready()
        group.wait_until(lambda: any(running_counts), what="a load is running")
        group.kill_member(leader)
        group.wait_until(lambda: all_confirmed(group), 30, "all orders confirmed")
    finally:
        stop.set()
        sampler.join()
    assert [read_engine_state(group, n)["weights_version"] for n in range(1, 6)] == [
        "2"
    ] * 5
    assert 1 <= max(running_counts) <= 3


def test_delayed_order_of_a_previous_leader_is_corrected(group):
    """Guards against an engine without fencing that keeps the state of a late order."""
    place_order(group, 1, "2")
    group.wait_until(lambda: all_confirmed(group), 30, "order confirmed")
    address = group.processes["engine-1"].address
    delayed_order = {
        "order_id": "late",
        "fencing_token": [0, 1],
        "kind": "load_weights",
        "arguments": {"weights_version": "1"},
    }
    assert group.request(address, "POST", "/v1/orders", delayed_order).status == 202
    group.wait_until(lambda: read_engine_state(group, 1)["weights_version"] == "1")
    group.wait_until(
        lambda: read_engine_state(group, 1)["weights_version"] == "2", 15, "corrected"
    )
    group.wait_until(lambda: all_confirmed(group), 15, "confirmed again")
    assert read_orders(group)[0]["attempts"] >= 2


def test_platform_list_is_kept_while_it_is_unreadable(group, platform):
    """Guards against losing all targets because of an invalid platform response."""
    expected = [{"target": "sample-llm-1", "state": "leaving"}]
    platform.document = json.dumps(expected).encode()
    group.wait_until(lambda: group.read("targets") == expected, 10, "list applied")
    platform.document = b"<html>"
    time.sleep(0.3)
    assert group.read("targets") == expected
    events = [
        line["event"] for n in group.members for line in group.log_lines(f"control-{n}")
    ]
    assert "platform_list_failed" in events
