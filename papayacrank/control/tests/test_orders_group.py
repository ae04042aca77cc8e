"""Proofs of orders and of the platform's list with real processes."""

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


class PlatformList:
    """HTTP server of the platform's list."""

    def __init__(self):
        self.document = b"[]"
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Answers every path with the list."""

            def do_GET(self):  # noqa: N802 - name given by the base class
                self.send_response(200)
                self.end_headers()
                self.wfile.write(outer.document)

            def log_message(self, *args):
                """Write nothing."""

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
    """Server of the platform's list."""
    server = PlatformList()
    yield server
    server.close()


@pytest.fixture
def group(tmp_path, platform):
    """Three members and five engines, which ignore fencing tokens."""
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


def place(group, number, version):
    """Order one engine to load a version."""
    target = f"sample-llm-{number}"
    outcome = group.run(PlaceOrder(target, "load_weights", version, "ann"))
    assert outcome.is_ok(), outcome
    return outcome.ok


def state(group, number):
    """Return the order state of an engine."""
    address = group.processes[f"engine-{number}"].address
    return group.request(address, "GET", "/v1/orders/state").json()


def all_confirmed(group):
    return all(
        o["state"] != "waiting" and o["state"] != "issued" for o in orders(group)
    )


def orders(group):
    return group.read("orders")


def test_orders_survive_the_loss_of_the_leader_three_loads_at_a_time(group):
    """Guards against a lost order, and against a fourth load at the same time."""
    group.wait_until(lambda: group.read("status")["configuration_version"] == 1)
    running, stop = [], threading.Event()

    def watch():
        while not stop.is_set():
            states = [state(group, n)["orders"] for n in range(1, 6)]
            running.append(
                sum(any(o["status"] == "running" for o in s) for s in states)
            )
            time.sleep(0.02)

    watcher = threading.Thread(target=watch)
    watcher.start()
    try:
        for number in range(1, 6):
            place(group, number, "2")
        leader = group.wait_ready()
        group.wait_until(lambda: any(running), what="a load is running")
        group.kill_member(leader)
        group.wait_until(lambda: all_confirmed(group), 30, "all orders confirmed")
    finally:
        stop.set()
        watcher.join()
    assert [state(group, n)["weights_version"] for n in range(1, 6)] == ["2"] * 5
    assert 1 <= max(running) <= 3


def test_late_order_of_a_predecessor_is_found_and_corrected(group):
    """Guards against an engine without fencing that keeps what a late order set."""
    place(group, 1, "2")
    group.wait_until(lambda: all_confirmed(group), 30, "order confirmed")
    address = group.processes["engine-1"].address
    late = {
        "order_id": "late",
        "fencing_token": [0, 1],
        "kind": "load_weights",
        "arguments": {"weights_version": "1"},
    }
    assert group.request(address, "POST", "/v1/orders", late).status == 202
    group.wait_until(lambda: state(group, 1)["weights_version"] == "1")
    group.wait_until(lambda: state(group, 1)["weights_version"] == "2", 15, "corrected")
    group.wait_until(lambda: all_confirmed(group), 15, "confirmed again")
    assert orders(group)[0]["attempts"] >= 2


def test_platform_list_is_taken_over_and_kept_while_it_is_unreadable(group, platform):
    """Guards against targets that vanish because the platform answers nonsense."""
    listed = [{"target": "sample-llm-1", "state": "leaving"}]
    platform.document = json.dumps(listed).encode()
    group.wait_until(lambda: group.read("targets") == listed, 10, "list taken over")
    platform.document = b"<html>"
    time.sleep(0.3)
    assert group.read("targets") == listed
    logs = [
        line["event"] for n in group.members for line in group.log_lines(f"control-{n}")
    ]
    assert "platform_list_failed" in logs
