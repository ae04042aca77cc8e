"""Tests of the leader's calls against a scripted server."""

import queue
import threading
import time

import pytest
from circuits import BaseComponent, Event, handler

from papayacrank.control import HttpCall
from papayacrank.control._http import HttpCaller
from papayacrank.kernel import MonotonicClock
from papayacrank.testing import ScriptedTarget
from papayacrank.transport import Timers, install_process_handlers

TIMEOUT_MS = 1_500
OK = b"HTTP/1.1 200 OK\r\nX-Name: Value\r\nContent-Length: 2\r\n\r\nok"


class make_call(Event):  # noqa: N801 - circuits events are lower case
    """Make a call within the loop: ``make_call(call)``."""


class Lease:
    """Lease that a test takes away."""

    def __init__(self):
        self.is_held = True


class Driver(BaseComponent):
    """Makes calls of the test's thread and collects their results."""

    channel = "http-caller"

    def __init__(self, caller, lease):
        super().__init__()
        self._caller = caller
        self.lease = lease
        self.results = queue.Queue()

    @handler("make_call")
    def _on_make_call(self, call):
        self._caller.submit(call)

    @handler("http_finished")
    def _on_http_finished(self, result):
        self.results.put(result)


@pytest.fixture
def driver():
    """Return a driver of a running caller."""
    root = BaseComponent()
    install_process_handlers(root)
    clock = MonotonicClock()
    timers = Timers(clock).register(root)
    lease = Lease()
    caller = HttpCaller(clock, timers, lambda: lease.is_held).register(root)
    running = Driver(caller, lease).register(root)
    thread = threading.Thread(target=root.run, daemon=True)
    thread.start()
    time.sleep(0.2)
    yield running
    root.stop()
    thread.join(5)


def call(driver, script, body=b"", **fields):
    """Make a call to a scripted server and return its result."""
    target = ScriptedTarget(script)
    method = "POST" if body else "GET"
    url = f"http://{target.address}/x"
    request = HttpCall("k", method, url, body, TIMEOUT_MS, **fields)
    driver.fire(make_call(request), "http-caller")
    return driver.results.get(timeout=5)


def test_answer_comes_with_its_headers(driver):
    """Guards against signals of a server that are lost on the way."""
    seen = []

    def script(sock, data, number):
        seen.append(data)
        sock.sendall(OK[:20])
        time.sleep(0.05)
        sock.sendall(OK[20:])

    result = call(driver, script, b"{}")
    assert (result.status, result.body, result.error) == (200, b"ok", "")
    assert ("x-name", "Value") in result.headers
    assert seen[0].startswith(b"POST /x HTTP/1.1\r\n") and seen[0].endswith(b"{}")


def test_body_that_ends_with_the_connection_is_whole(driver):
    """Guards against an unframed answer that is taken for a failure."""

    def script(sock, data, number):
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        sock.close()

    assert call(driver, script).body == b"whole"


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\nContent-",
        b"no answer at all\r\n\r\n",
        b"",
    ],
)
def test_cut_and_malformed_answers_fail(driver, answer):
    """Guards against half of an answer that is taken for all of it."""

    def script(sock, data, number):
        sock.sendall(answer)
        sock.close()

    result = call(driver, script)
    assert (result.status, bool(result.error)) == (0, True)


@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 10_000),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    ],
)
def test_answer_without_end_is_ended_before_its_deadline(driver, first, piece):
    """Guards against a server that takes the memory of the leader."""

    def script(sock, data, number):
        sock.sendall(first)
        while True:
            sock.sendall(piece * 100)

    result = call(driver, script)
    assert (result.status, result.error != "timeout") == (0, True)


def test_answer_that_drips_ends_at_its_deadline(driver):
    """Guards against a call that never ends."""

    def script(sock, data, number):
        sock.sendall(b"HTTP/1.1 200 OK\r\nx: ")
        while True:
            sock.sendall(b"y")
            time.sleep(0.05)

    assert call(driver, script).error == "timeout"


@pytest.mark.parametrize("needs_lease", [True, False])
def test_order_is_not_sent_once_the_lease_has_ended(driver, needs_lease):
    """Guards against an order of a frozen leader beside those of its successor."""
    seen = []

    def script(sock, data, number):
        seen.append(data)
        sock.sendall(OK)

    driver.lease.is_held = False
    result = call(driver, script, b"{}", needs_lease=needs_lease)
    assert len(seen) == (0 if needs_lease else 1)
    assert result.status == (0 if needs_lease else 200)
