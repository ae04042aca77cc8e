"""Integration tests of rollouts with real processes, good and bad servers."""

import json
import threading
import time

import pytest

from .fake_platform import IPS, SEAL, FakePlatform, Server

CALLERS = 6
INTERVAL_S = 0.08
WORK_S = 0.02
DURATION_S = 8.0
START_S = 1.0
SLOW_FACTOR = 8
# Time within which all entry processes follow a verdict.
VIEW_S = 0.5
EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50
OLD, NEW = "v1", "v2"


class ReleaseServer(Server):
    """Plain server of a release, which spoils every second response.

    Parameters
    ----------
    fault : str
        "fail", "slow" or "" for a good release.
    """

    def __init__(self, name, release, fault=""):
        super().__init__(name, "plain")
        self._release = release
        self._fault = fault
        self.delay_s = WORK_S
        self.open = 0
        self._lock = threading.Lock()

    def entry(self):
        """Return the entry of the server in the target list."""
        return super().entry() | {"version": self._release}

    def handle(self, handler):
        """Respond after some work."""
        with self._lock:
            self.open += 1
            is_bad = bool(self._fault) and len(self.runs) % 2 == 0
        try:
            if is_bad and self._fault == "fail":
                self._fail(handler)
                return
            if is_bad:
                time.sleep((SLOW_FACTOR - 1) * WORK_S)
            super().handle(handler)
        finally:
            with self._lock:
                self.open -= 1

    def _fail(self, handler):
        handler.read_body()
        request_id = handler.headers["Papayacrank-Request-Id"]
        self.runs.append(request_id)
        headers = {
            "Papayacrank_Request_Id": request_id,
            "Papayacrank_Server_Seal": SEAL,
        }
        handler.reply(500, b"broken", **headers)


class Deployment:
    """Machines with old and new plain servers, and callers."""

    def __init__(self, folder):
        self.platform = FakePlatform(folder)
        self.old = [ReleaseServer(f"o-{n}", OLD) for n in (1, 2)]
        self.new = []
        self.statuses = []
        self._stopped = threading.Event()
        self._list()
        self.platform.start_serving()
        self._callers = [
            threading.Thread(target=self._call, args=(n,), daemon=True)
            for n in range(CALLERS)
        ]
        for caller in self._callers:
            caller.start()

    def _list(self):
        self.platform.cloud.servers = [*self.old, *self.new, self.platform.engine]

    def _call(self, number):
        sent = 0
        while not self._stopped.wait(INTERVAL_S):
            sent += 1
            ip = IPS[(number + sent) % len(IPS)]
            status = self.platform.request(
                "/lookup/x", f"c{number}-{sent}", ip, method="GET"
            )[0]
            self.statuses.append(status)

    def order(self, fault=""):
        """Order a rollout, and start its servers a second later."""
        document = {"service": "plain", "to": NEW, "duration_s": DURATION_S}
        self.platform.wait(
            lambda: (
                self.platform.operate("POST", "/v1/rollouts/start", document)[0] == 200
            )
        )
        self.ordered_s = time.monotonic()
        self._sent_before = len(self.statuses)
        time.sleep(START_S)
        self.new = [ReleaseServer(f"n-{n}", NEW, fault) for n in (1, 2)]
        self._list()

    def wait_for_verdict(self):
        """Return the state that ends the rollout, and the time since the order in s."""
        state = "running"
        while state == "running" and time.monotonic() - self.ordered_s < 2 * DURATION_S:
            for ip in IPS:
                try:
                    path = "/v1/rollouts/plain/get"
                    status, _, body = self.platform.operate("GET", path, ip=ip)
                except OSError:
                    continue
                if status == 200:
                    state = json.loads(body)["state"]
                    break
            time.sleep(0.05)
        return state, time.monotonic() - self.ordered_s

    @property
    def sent(self):
        """Number of requests since the order."""
        return len(self.statuses) - self._sent_before

    @property
    def exposed(self):
        """Number of requests at new servers."""
        return sum(len(server.runs) for server in self.new)

    def stop_old(self):
        """Stop the old servers; return the number of their open requests."""
        running = sum(server.open for server in self.old)
        stopped, self.old = self.old, []
        self._list()
        for server in stopped:
            server.close()
        return running

    def close(self):
        """Stop everything."""
        self._stopped.set()
        for caller in self._callers:
            caller.join(6)
        self.platform.stop()
        for server in (*self.old, *self.new):
            server.close()


@pytest.fixture
def deployment(tmp_path):
    """Return a running deployment with callers."""
    running = Deployment(tmp_path)
    try:
        yield running
    finally:
        running.close()


def kill_leader(deployment):
    """Kill the control process that leads."""
    platform = deployment.platform
    for ip in IPS:
        events = [
            line["event"]
            for line in platform.log("control", ip)
            if line["event"] in ("leader_active", "leader_inactive")
        ]
        if events and events[-1] == "leader_active":
            process = platform.processes.pop(("control", ip))
            process.kill()
            process.wait(10)
            return
    raise AssertionError("no leader")


@pytest.mark.parametrize("is_leader_killed", [False, True])
def test_good_release_gets_all_requests_in_time(deployment, is_leader_killed):
    """Guards against callers that notice a rollout, and against one that is late."""
    deployment.order()
    if is_leader_killed:
        time.sleep(2.0)
        kill_leader(deployment)
    state, took_s = deployment.wait_for_verdict()
    assert (state, deployment.stop_old()) == ("completed", 0)
    assert took_s < DURATION_S
    exposed = deployment.exposed
    time.sleep(1.0)
    assert deployment.exposed > exposed
    assert set(deployment.statuses) == {200}


@pytest.mark.parametrize("fault", ["fail", "slow"])
def test_bad_release_is_rolled_back_early(deployment, fault):
    """Guards against callers that a bad release costs more than one attempt."""
    deployment.order(fault)
    state, took_s = deployment.wait_for_verdict()
    assert state == "rolled_back"
    assert took_s < DURATION_S
    assert deployment.exposed <= EXPOSE_SHARE * deployment.sent + EXPOSE_SLACK
    # The verdict and the share of 0 are sent at the same time; the rules allow 5 s.
    time.sleep(VIEW_S)
    exposed = deployment.exposed
    time.sleep(1.0)
    assert deployment.exposed == exposed
    assert set(deployment.statuses) == {200}
