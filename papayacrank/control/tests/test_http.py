"""Tests of the HTTP client against a scripted server."""

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
    """Make a call in the event loop: ``make_call(call)``."""


class FakeLease:
    """Leader lease that a test can revoke."""

    def __init__(self):
        self.is_held = True


class CallDriver(BaseComponent):
    """Component that makes calls for the test thread and collects their results."""

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
    """Yield a driver whose event loop runs in a thread."""
    root = BaseComponent()
    install_process_handlers(root)
    clock = MonotonicClock()
    timers = Timers(clock).register(root)
    lease = FakeLease()
    caller = HttpCaller(clock, timers, lambda: lease.is_held).register(root)
    call_driver = CallDriver(caller, lease).register(root)
    thread = threading.Thread(target=root.run, daemon=True)
    thread.start()
    time.sleep(0.2)
    yield call_driver
    root.stop()
    thread.join(5)


def make_blocking_call(driver, script, body=b"", **fields):
    """Make a call to a scripted server and return its result."""
    target = ScriptedTarget(script)
    method = "POST" if body else "GET"
    url = f"http://{target.address}/x"
    request = HttpCall("k", method, url, body, TIMEOUT_MS, **fields)
    driver.fire(make_call(request), "http-caller")
    return driver.results.get(timeout=5)


def test_response_includes_its_headers(driver):
    """Guards against losing the signals that a server sends in headers."""
    received = []

    def script(sock, data, number):
        received.append(data)
        sock.sendall(OK[:20])
        time.sleep(0.05)
        sock.sendall(OK[20:])

    result = make_blocking_call(driver, script, b"{}")
    assert (result.status, result.body, result.error) == (200, b"ok", "")
    assert ("x-name", "Value") in result.headers
    assert received[0].startswith(b"POST /x HTTP/1.1\r\n") and received[0].endswith(
        b"{}"
    )


def test_body_that_ends_with_the_connection_is_complete(driver):
    """Guards against treating a response without framing as a failure."""

    def script(sock, data, number):
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        sock.close()

    assert make_blocking_call(driver, script).body == b"whole"


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\nContent-",
        b"no answer at all\r\n\r\n",
        b"",
    ],
)
def test_truncated_and_malformed_responses_fail(driver, response):
    """Guards against treating a partial response as complete."""

    def script(sock, data, number):
        sock.sendall(response)
        sock.close()

    result = make_blocking_call(driver, script)
    assert (result.status, bool(result.error)) == (0, True)


@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 10_000),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    ],
)
def test_endless_response_fails_before_its_deadline(driver, first, repeated):
    """Guards against a server that exhausts the memory of the leader."""

    def script(sock, data, number):
        sock.sendall(first)
        while True:
            sock.sendall(repeated * 100)

    result = make_blocking_call(driver, script)
    assert (result.status, result.error != "timeout") == (0, True)


def test_slow_response_fails_at_its_deadline(driver):
    """Guards against a call that never ends because each byte arrives in time."""

    def script(sock, data, number):
        sock.sendall(b"HTTP/1.1 200 OK\r\nx: ")
        while True:
            sock.sendall(b"y")
            time.sleep(0.05)

    assert make_blocking_call(driver, script).error == "timeout"


@pytest.mark.parametrize("needs_lease", [True, False])
def test_order_is_not_sent_after_the_lease_has_expired(driver, needs_lease):
    """Guards against an order of a suspended leader after it was replaced.

    Its lease may expire while the connection is opened.
    """
    received = []

    def script(sock, data, number):
        received.append(data)
        sock.sendall(OK)

    driver.lease.is_held = False
    result = make_blocking_call(driver, script, b"{}", needs_lease=needs_lease)
    assert len(received) == (0 if needs_lease else 1)
    assert result.status == (0 if needs_lease else 200)


@pytest.mark.parametrize(
    ("url", "headers"),
    [
        ("http://127.0.0.1:99999/x", ()),
        ("http://127.0.0.1:port/x", ()),
        ("http://[::1/x", ()),
        ("http://127.0.0.1:9/x", (("X-Name", "line\nbreak"),)),
        ("http://127.0.0.1:9/x", (("X-Name", "\u20ac"),)),
    ],
)
def test_call_that_cannot_be_made_has_a_result(driver, url, headers):
    """Guards against a call whose owner waits for it, and ends the others of a step."""
    driver.fire(make_call(HttpCall("k", "GET", url, headers=headers)), "http-caller")
    result = driver.results.get(timeout=5)
    assert (result.key, result.status) == ("k", 0)
    assert result.error
