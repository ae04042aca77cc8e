"""Tests of requests that arrive late in a planned stop, with real processes."""

import http.client
import threading
import time

import pytest

from .builders import KEY, build_document
from .fake_platform import IPS, FakePlatform

STOP_S = 8.0
CALLERS = 24
MARGIN_S = 0.1
PAUSES_S = (0.0, 0.4, 2.3, 4.7, 5.6, 6.4)
# Longer than any request of these tests may take.
SLOW_S = 10.0
PATHS = ("/lookup/x", "/claim/x", "/reply/x")


class Caller(threading.Thread):
    """Caller that sends requests on kept connections until the process is gone."""

    def __init__(self, platform, number, ends_s):
        super().__init__(daemon=True)
        self._platform = platform
        self._number = number
        self._ends_s = ends_s
        self.unanswered = []
        self.statuses = []

    def run(self):
        """Send requests of all kinds in turn with different timeouts."""
        connection, count = None, 0
        while time.monotonic() < self._ends_s:
            connection = connection or self._platform.connect(IPS[0], 10)
            count += 1
            request_id = f"late-{self._number}-{count}"
            timeout_ms = (300, 900, 2_500)[(count + self._number) % 3]
            headers = {
                "Host": "h.example",
                "X-Api-Key": KEY,
                "Papayacrank-Request-Id": request_id,
                "Papayacrank-Deadline-Ms": str(timeout_ms),
                "Papayacrank-Model": "m1",
                "Papayacrank-Token-Count": "100,20",
                "Papayacrank-Prompt-Prefix": f"{count:x}:100",
            }
            path = PATHS[count % len(PATHS)]
            if count > 1:
                # Kept connections are idle for different times.
                time.sleep(PAUSES_S[self._number % len(PAUSES_S)])
            sent_s = time.monotonic()
            try:
                connection.request("POST", path, b"body", headers)
                response = connection.getresponse()
                response.read()
                self.statuses.append(response.status)
                if response.will_close:
                    connection = None
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException):
                # A stream that reaches its timeout is cut, in a stop or not.
                if time.monotonic() - sent_s < timeout_ms / 1_000 - MARGIN_S:
                    self.unanswered.append(request_id)
                connection = None


@pytest.mark.prove
@pytest.mark.parametrize("delay_s", [1.0, SLOW_S])
def test_late_request_is_answered_or_not_passed_on(tmp_path, delay_s):
    """Guards against requests that are cut at the end of a planned stop."""
    platform = FakePlatform(tmp_path)
    try:
        document = build_document()
        document["routes"][0]["timeout_ms"] = 3_000
        document["routes"][2]["timeout_ms"] = 3_000
        platform.start_serving(routes=document["routes"])
        for server in (*platform.plain, platform.engine):
            server.delay_s = delay_s
        ends_s = time.monotonic() + STOP_S + 2
        callers = [Caller(platform, number, ends_s) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        process = platform.processes[("entry", IPS[0])]
        process.terminate()
        assert process.wait(STOP_S) == 0
        for caller in callers:
            caller.join()
        servers = (*platform.plain, platform.engine)
        passed_on = {
            value
            for server in servers
            for headers in server.headers
            for name, value in headers.items()
            if name.lower() == "papayacrank-request-id"
        }
        unanswered = {request_id for c in callers for request_id in c.unanswered}
        statuses = [status for caller in callers for status in caller.statuses]
        print(f"{len(statuses)} answered, {len(unanswered)} unanswered")
        assert unanswered & passed_on == set()
        assert statuses
    finally:
        platform.stop()
