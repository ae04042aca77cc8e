"""Seeded soak of request rate limits with real processes and faults from outside.

Run seeds by hand with
``python -m papayacrank.platform.tests.rate_limit_soak FIRST LAST [ENTRIES]``.
"""

import http.client
import random
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

from papayacrank.permits._allocator import PERMIT_LIFETIME_MS
from papayacrank.permits._bucket import RateBucket

from .builders import KEY
from .fake_platform import IPS, FakePlatform

DURATION_S = 20.0
SETTLING_S = 3.0
WINDOW_S = 4.0
REQUESTS_PER_S = 45.0
RATES_PER_S = (1.2, 2.4)
TIMEOUT_S = 6.0
# Time from the check of a permit to the arrival of its request, on a busy machine.
TRANSIT_S = 0.25
FAULT_INTERVAL_S = (0.4, 1.6)


class _Caller(threading.Thread):
    """Sends requests on a connection that it keeps until the process closes it."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self._soak = soak
        self._random = random.Random(f"{soak.seed}-{number}")
        self._number = number
        self._connections = {}

    def run(self):
        """Send requests until the soak ends."""
        soak, count = self._soak, 0
        interval_s = soak.callers / REQUESTS_PER_S
        while not soak.stopping.is_set():
            count += 1
            started = time.monotonic()
            ip = self._random.choice(soak.platform.entry_ips)
            path = self._random.choice(("/lookup/x", "/claim/x"))
            request_id = f"{self._number}-{count}"
            soak.outcomes[request_id] = (path, self._send(ip, path, request_id))
            elapsed_s = time.monotonic() - started
            time.sleep(max(0.0, interval_s - elapsed_s))

    def _send(self, ip, path, request_id):
        """Return the status of a request; 0 if its connection broke."""
        headers = {
            "Host": "h.example",
            "X-Api-Key": KEY,
            "Papayacrank-Request-Id": request_id,
            "Papayacrank-Deadline-Ms": "2500",
        }
        connection = self._connections.pop(ip, None)
        connection = connection or self._soak.platform.connect(ip, TIMEOUT_S)
        try:
            connection.request("POST", path, b"body", headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return 0
        if response.will_close:
            connection.close()
        else:
            self._connections[ip] = connection
        return response.status


class RateLimitSoak:
    """Runs processes under faults while a server states a request rate limit.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    seed : int
        Seed of the faults and requests.
    entries : int
        Number of entry processes.
    """

    def __init__(self, folder, seed, entries=3):
        self.seed = seed
        self.platform = FakePlatform(folder, entries)
        self.callers = 3 * len(IPS)
        self.stopping = threading.Event()
        self.outcomes = {}
        self.faults = []
        self._random = random.Random(seed)
        self._paused = {}

    @property
    def limited(self):
        """Server that states a limit."""
        return self.platform.plain[0]

    def run(self):
        """Run the soak and return a list of broken promises."""
        platform = self.platform
        try:
            platform.start()
            platform.configure()
            for ip in platform.entry_ips:
                platform.wait(lambda ip=ip: platform.is_ready(ip), 60)
            self.limited.rate_limit = RATES_PER_S[0]
            threads = [_Caller(self, number) for number in range(self.callers)]
            for thread in threads:
                thread.start()
            time.sleep(SETTLING_S)
            settled = time.monotonic()
            self._cause_faults(settled + DURATION_S)
            self.stopping.set()
            for thread in threads:
                thread.join(2 * TIMEOUT_S)
            return self._check(settled)
        finally:
            self._resume_all()
            platform.stop()

    # Faults

    def _cause_faults(self, until_s):
        while time.monotonic() < until_s:
            kind = self._random.choice(
                ("kill", "kill", "pause", "pause", "terminate", "herd", "rate")
            )
            role = self._random.choice(("entry", "control"))
            ips = self.platform.entry_ips if role == "entry" else IPS
            ip = self._random.choice(ips)
            self.faults.append((round(time.monotonic(), 2), kind, role, ip))
            self._cause(kind, role, ip)
            time.sleep(self._random.uniform(*FAULT_INTERVAL_S))
            self._resume_due()
        self._resume_all()

    def _cause(self, kind, role, ip):
        if kind == "rate":
            self.limited.rate_limit = self._random.choice(RATES_PER_S)
        elif kind == "pause":
            self._pause(role, ip, self._random.uniform(0.1, 2.5))
        elif kind == "herd":
            ips = self.platform.entry_ips if role == "entry" else IPS
            for each in ips:
                self._end(role, each, signal.SIGKILL)
            for each in ips:
                self.platform.start_process(role, each)
        else:
            self._end(role, ip, signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            self.platform.start_process(role, ip)

    def _pause(self, role, ip, for_s):
        process = self.platform.processes[(role, ip)]
        process.send_signal(signal.SIGSTOP)
        self._paused[(role, ip)] = (process, time.monotonic() + for_s)

    def _end(self, role, ip, number):
        """End a process, which may be suspended, and wait for its exit."""
        process = self.platform.processes[(role, ip)]
        process.send_signal(signal.SIGCONT)
        self._paused.pop((role, ip), None)
        process.send_signal(number)
        process.wait(20)

    def _resume_due(self):
        for key, (process, until_s) in list(self._paused.items()):
            if time.monotonic() >= until_s:
                process.send_signal(signal.SIGCONT)
                del self._paused[key]

    def _resume_all(self):
        for process, _ in self._paused.values():
            process.send_signal(signal.SIGCONT)
        self._paused.clear()

    # Checks

    def _check(self, settled_s):
        broken = []
        arrivals = sorted(t for t in self.limited.arrivals if t >= settled_s)
        most = self._max_in_a_window(arrivals)
        if most > self.bound():
            broken.append(
                f"{most} requests in {WINDOW_S:g} s, {self.bound():.1f} stated"
            )
        runs = {}
        for server in self.platform.plain:
            for request_id in server.runs:
                runs[request_id] = runs.get(request_id, 0) + 1
        for request_id, (path, status) in self.outcomes.items():
            if status in (429, 503) and path == "/claim/x" and request_id in runs:
                broken.append(f"{request_id} was refused with {status} and has run")
            if path == "/claim/x" and runs.get(request_id, 0) > 1:
                broken.append(f"{request_id} ran {runs[request_id]} times")
        served = sum(status == 200 for _, status in self.outcomes.values())
        self.summary = {
            "seed": self.seed,
            "most": most,
            "stated": round(self.bound(), 1),
            "limited": len(arrivals),
            "requests": len(self.outcomes),
            "served": served,
        }
        if not arrivals or served < 0.3 * len(self.outcomes):
            broken.append(f"too little was served: {self.summary}")
        return broken

    @staticmethod
    def _max_in_a_window(times):
        return max(
            (sum(first <= t < first + WINDOW_S for t in times) for first in times),
            default=0,
        )

    @staticmethod
    def bound():
        """Return the number of requests that may arrive in a window."""
        per_s = max(RATES_PER_S)
        span_s = WINDOW_S + PERMIT_LIFETIME_MS / 1_000 + TRANSIT_S
        return RateBucket(per_s, 0.0, 0).capacity + per_s * span_s


def main(first, last, entries=3):
    """Run seeds and print the summary and the broken promises of each."""
    failed = 0
    for seed in range(first, last + 1):
        with tempfile.TemporaryDirectory() as folder:
            soak = RateLimitSoak(Path(folder), seed, entries)
            broken = soak.run()
            print(soak.summary, broken, flush=True)
            if broken:
                failed += 1
                print(soak.faults, flush=True)
    print(f"{failed} of {last - first + 1} seeds failed")
    return failed


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])) > 0)
