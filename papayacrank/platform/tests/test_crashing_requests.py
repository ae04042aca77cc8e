"""Integration tests of requests that crash each server which begins to run them."""

import http.client
import threading
import time
from dataclasses import dataclass

import pytest

from .builders import KEY
from .crashing_engine import CrashingEngine, CrashingService
from .fake_platform import IPS, FakePlatform

CONTACT_S = 3.0
# From `CONTACT_S` after the third crash of a request on, at most three more reach
# servers.
FREE_CRASHES = 3
MAX_LATE_ARRIVALS = 3
MIN_SOUND_SHARE = 0.98
BEFORE_S = 3.0
DURATION_S = 15.0
SOUND_PER_S = 20
SERVERS = 5
DEADLY = b"deadly request"
OTHER_DEADLY = b"other deadly request"
# Path and prompt parts, without the own one, by kind of request.
KINDS = {
    "safe": ("/lookup/x", None),
    "unsafe": ("/claim/x", None),
    "stream_without_shared_parts": ("/reply/x", ()),
    "stream_with_sound_parts": ("/reply/x", ("c0ffee", "5a1e")),
    "stream_with_own_parts": ("/reply/x", ("c0ffee", "0bad")),
}


@dataclass(frozen=True)
class Outcome:
    """Outcome of one request of a caller."""

    sent_s: float
    status: int
    body: bytes


def send(platform, ip, request_id, path, parts, body):
    """Send a request and return its outcome."""
    headers = {
        "Host": "h.example",
        "X-Api-Key": KEY,
        "Papayacrank-Request-Id": request_id,
        "Papayacrank-Deadline-Ms": "5000",
    }
    if parts is not None:
        own = f"own{body.hex()}"
        headers |= {
            "Papayacrank-Model": "m1",
            "Papayacrank-Token-Count": f"{100 * (len(parts) + 1)},20",
            "Papayacrank-Prompt-Prefix": ",".join(
                f"{part}:100" for part in (*parts, own)
            ),
        }
    sent_s = time.monotonic()
    connection = platform.connect(ip, 8)
    status, received = 0, b""
    try:
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        status = response.status
        received = response.read()
    except (OSError, http.client.HTTPException):
        status = 0
    finally:
        connection.close()
    return Outcome(sent_s, status, received)


class Caller:
    """Sends requests to all instances in turn at a steady rate.

    Parameters
    ----------
    choose : callable
        Returns the body of a request, given its number.
    """

    def __init__(self, platform, name, rate_per_s, duration_s, kind, choose):
        self._platform = platform
        self._name = name
        self._rate_per_s = rate_per_s
        self._path, self._parts = KINDS[kind]
        self._choose = choose
        self._started = time.monotonic()
        self.outcomes = []
        self._threads = [
            threading.Thread(target=self._send, args=(number,), daemon=True)
            for number in range(int(duration_s * rate_per_s))
        ]
        for thread in self._threads:
            thread.start()

    def _send(self, number):
        at_s = self._started + number / self._rate_per_s
        time.sleep(max(0.0, at_s - time.monotonic()))
        platform = self._platform
        ip = platform.entry_ips[number % len(platform.entry_ips)]
        body = self._choose(number)
        parts = self._parts
        if parts is not None and "0bad" in parts and body.startswith(b"sound"):
            parts = ("c0ffee", f"{number % 5:04x}")
        request_id = f"{self._name}-{number}"
        self.outcomes.append(send(platform, ip, request_id, self._path, parts, body))

    def join(self):
        """Wait for all responses."""
        for thread in self._threads:
            thread.join()


def share_served(outcomes, from_s, to_s=float("inf")):
    """Return the share of served requests, and the number of requests."""
    chosen = [o for o in outcomes if from_s <= o.sent_s < to_s]
    return sum(o.status == 200 for o in chosen) / max(1, len(chosen)), len(chosen)


@pytest.fixture
def platform(tmp_path):
    """Return a running deployment whose servers crash on given bodies."""
    running = FakePlatform(tmp_path)
    engines = [CrashingEngine(f"x-{n}") for n in range(SERVERS)]
    services = [CrashingService(f"y-{n}") for n in range(SERVERS)]
    running.crashing = [*engines, *services]
    running.cloud.servers = running.crashing
    try:
        running.start_serving()
        for ip in IPS:
            for path, parts in KINDS.values():
                running.wait(
                    lambda ip=ip, path=path, parts=parts: (
                        send(running, ip, f"w{ip}{path}", path, parts, b"sound").status
                        == 200
                    )
                )
        yield running
    finally:
        running.stop()
        for server in running.crashing:
            server.close()


def check_budget(platform, body):
    """Check the rule on arrivals of a deadly request; return the third crash's time."""
    crashes = sorted(
        at_s for s in platform.crashing for at_s, name in s.crashes if name == body
    )
    arrivals = [at_s for s in platform.crashing for at_s, b in s.bodies if b == body]
    assert crashes
    third_s = crashes[:FREE_CRASHES][-1]
    late = [at_s for at_s in arrivals if at_s > third_s + CONTACT_S]
    print(f"{body}: {len(crashes)} crashes, {len(arrivals)} arrivals, {len(late)} late")
    assert len(late) <= MAX_LATE_ARRIVALS
    return third_s


def run_outbreak(platform, kind, deadly, rate_per_s):
    """Send sound requests, and after some time deadly ones beside; check the rules."""
    for server in platform.crashing:
        server.deadly_bodies = set(deadly)
    total_s = BEFORE_S + DURATION_S
    sound = Caller(platform, "s", SOUND_PER_S, total_s, kind, lambda n: b"sound %d" % n)
    time.sleep(BEFORE_S)
    from_s = time.monotonic()
    crashing = Caller(
        platform, "d", rate_per_s, DURATION_S, kind, lambda n: deadly[n % len(deadly)]
    )
    sound.join()
    crashing.join()
    before, _ = share_served(sound.outcomes, 0, from_s)
    thirds = [check_budget(platform, body) for body in deadly]
    after, count = share_served(sound.outcomes, max(thirds) + 2 * CONTACT_S)
    during, _ = share_served(sound.outcomes, from_s, max(thirds) + 2 * CONTACT_S)
    print(f"served {before:.3f} before, {during:.3f} during, {after:.3f} of {count}")
    assert count >= 20
    assert after >= MIN_SOUND_SHARE * before
    return sound, crashing


@pytest.mark.prove
@pytest.mark.parametrize("kind", list(KINDS))
def test_repeated_request_does_not_crash_server_after_server(platform, kind):
    """Guards against a request that takes down each server it is sent to."""
    _, crashing = run_outbreak(platform, kind, [DEADLY], 3)
    last = max(crashing.outcomes, key=lambda o: o.sent_s)
    assert last.status == 503
    assert b'"not_run": true' in last.body


@pytest.mark.prove
@pytest.mark.parametrize("kind", ["safe", "stream_with_sound_parts"])
def test_two_deadly_requests_do_not_hide_each_other(platform, kind):
    """Guards against crashes that are blamed on no request because of another one."""
    run_outbreak(platform, kind, [DEADLY, OTHER_DEADLY], 5)


@pytest.mark.prove
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("delay_s", [0.02, 0.1, 0.4])
def test_socket_that_closes_last_hides_no_crash(platform, kind, delay_s):
    """Guards against crashes unseen because the address accepts connections at first.

    The servers' connections end first and their listening sockets later.
    """
    for server in platform.crashing:
        server.listen_close_delay_s = delay_s
        server.down_s = 2.5 + delay_s
    run_outbreak(platform, kind, [DEADLY], 1)
