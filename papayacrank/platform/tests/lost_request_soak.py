"""Seeded soak in which no whole request may go without an answer or a refusal.

Callers keep their connections while configurations change, instances stop and reload,
the leader is killed, engines fall silent and servers reset their answers. Run seeds by
hand with
``python -m papayacrank.platform.tests.lost_request_soak FIRST LAST [SECONDS]``.
"""

import http.client
import random
import select
import signal
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from .builders import KEY, build_document
from .fake_platform import IPS, Engine, FakePlatform, Server

DURATION_S = 12.0
CALLERS = 18
PAUSE_S = (0.01, 0.25)
TIMEOUT_S = 14.0
DEADLINES_MS = {"/lookup/x": 2_500, "/claim/x": 2_500, "/reply/x": 12_000}
# A connection may close within this time of the last byte of a request that crosses it.
LOSS_SLACK_S = 0.2
ACTION_INTERVAL_S = (0.05, 0.5)
ACTIONS = (
    ("configure", 10),
    ("reload", 2),
    ("stop", 1),
    ("kill_leader", 1),
    ("silence", 4),
    ("refuse", 2),
    ("reset", 2),
)
# Longer than an instance waits for the next event, and allowed for a sound engine.
SILENCE_S = 1.4


class _ResettingServer(Server):
    """Plain server that may close connections instead of answering."""

    resets = 0

    def handle(self, handler):
        """Respond, or break off."""
        if self.resets > 0 and handler.command == "POST":
            self.resets -= 1
            handler.read_body()
            self.broken_off.add(handler.headers["Papayacrank-Request-Id"])
            handler.close_connection = True
            return
        super().handle(handler)

    def __init__(self, name):
        super().__init__(name, "plain")
        self.broken_off = set()


class _RefusingEngine(Engine):
    """Engine that may refuse all requests, and that may be silent between events."""

    refuses = False

    def handle(self, handler):
        """Respond, or refuse a request without running it."""
        if self.refuses and handler.path.startswith("/reply/"):
            handler.read_body()
            headers = {
                "Papayacrank_Request_Id": handler.headers["Papayacrank-Request-Id"],
                "Papayacrank_Not_Executed": "1",
            }
            handler.reply(503, b"", **headers)
            return
        super().handle(handler)


@dataclass(frozen=True)
class Loss:
    """A request that got neither an answer nor a refusal.

    Parameters
    ----------
    after_s : float
        Time from the last byte of the request to the end of the connection.
    """

    request_id: str
    path: str
    ip: str
    at_s: float
    after_s: float
    error: str


class _Caller(threading.Thread):
    """Sends requests on connections that it keeps until the instance closes them."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self._soak = soak
        self._number = number
        self._random = random.Random(f"{soak.seed}-{number}")
        self._connections = {}

    def run(self):
        """Send requests until the soak ends."""
        count = 0
        while not self._soak.stopping.is_set():
            count += 1
            ip = self._random.choice(IPS)
            path = self._random.choice(list(DEADLINES_MS))
            self._send(ip, path, f"{self._number}-{count}")
            time.sleep(self._random.uniform(*PAUSE_S))

    def _send(self, ip, path, request_id):
        connection = self._take(ip)
        if connection is None:
            return
        sent = time.monotonic()
        try:
            self._write(connection, path, request_id)
            sent = time.monotonic()
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            after_s = time.monotonic() - sent
            connection.close()
            loss = Loss(
                request_id, path, ip, self._soak.elapsed_s(), after_s, repr(error)
            )
            self._soak.on_closed(loss)
            return
        self._soak.on_answer(path, response.status, body)
        if response.will_close:
            connection.close()
        else:
            self._connections[ip] = connection

    def _take(self, ip):
        """Return a connection that is open; None if the instance does not listen."""
        connection = self._connections.pop(ip, None)
        if connection is not None:
            readable, _, _ = select.select([connection.sock], [], [], 0)
            if not readable:
                return connection
            connection.close()
        connection = self._soak.platform.connect(ip, TIMEOUT_S)
        try:
            connection.connect()
        except OSError:
            return None
        return connection

    def _write(self, connection, path, request_id):
        """Write a request, in one piece or in two."""
        connection.putrequest("POST", path, skip_host=True)
        headers = {
            "Host": "h.example",
            "X-Api-Key": KEY,
            "Papayacrank-Request-Id": request_id,
            "Papayacrank-Deadline-Ms": str(DEADLINES_MS[path]),
            "Content-Length": "4",
        }
        if path == "/reply/x":
            headers |= {"Papayacrank-Model": "m1", "Papayacrank-Token-Count": "40,20"}
        for name, value in headers.items():
            connection.putheader(name, value)
        if self._random.random() < 0.5:
            connection.endheaders(b"body")
            return
        connection.endheaders()
        time.sleep(self._random.uniform(0.0, 0.2))
        connection.send(b"body")


class LostRequestSoak:
    """Runs processes while configurations change and something goes on beside it.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    seed : int
        Seed of the actions and requests.
    duration_s : float
        Duration in seconds after all instances are ready.
    """

    def __init__(self, folder, seed, duration_s=DURATION_S):
        self.seed = seed
        self.platform = FakePlatform(folder)
        self.stopping = threading.Event()
        self.actions = []
        self.losses = []
        self.statuses = {}
        self._duration_s = duration_s
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._version = 1
        self._started_s = time.monotonic()
        self._restarts = []
        for server in (*self.platform.plain, self.platform.engine):
            server.close()
        self._plain = [_ResettingServer("p-1"), _ResettingServer("p-2")]
        self._engines = [_RefusingEngine(name, "llm") for name in ("e-1", "e-2")]
        self.platform.plain = self._plain
        self.platform.engine = self._engines[0]
        self.platform.cloud.servers = [*self._plain, *self._engines]

    def elapsed_s(self):
        """Return the time since the start in seconds."""
        return round(time.monotonic() - self._started_s, 3)

    def on_answer(self, path, status, body):
        """Count an answer; a stream that succeeds must be whole."""
        with self._lock:
            key = (path, status)
            self.statuses[key] = self.statuses.get(key, 0) + 1
            if key == ("/reply/x", 200) and body.count(b"data:") != 3:
                self.losses.append(("incomplete stream", body))

    def on_closed(self, loss):
        """Record a request whose connection ended without a complete answer."""
        with self._lock:
            self.losses.append(loss)

    def run(self):
        """Run the soak and return the requests that were lost."""
        platform = self.platform
        try:
            platform.start()
            platform.configure()
            for ip in IPS:
                platform.wait(lambda ip=ip: platform.is_ready(ip), 60)
            self._started_s = time.monotonic()
            callers = [_Caller(self, number) for number in range(CALLERS)]
            for caller in callers:
                caller.start()
            self._act(self._started_s + self._duration_s)
            self.stopping.set()
            for caller in callers:
                caller.join(2 * TIMEOUT_S)
            for restart in self._restarts:
                restart.join(20)
            return self._list_lost()
        finally:
            platform.stop()
            self._engines[1].close()

    @property
    def summary(self):
        """Numbers of answers by path and status."""
        answers = {f"{p} {s}": n for (p, s), n in sorted(self.statuses.items())}
        return {"seed": self.seed, "actions": len(self.actions)} | answers

    def _list_lost(self):
        """Return what was lost; a request that crossed the close of an idle
        connection and was not passed on does not count."""
        ran = {i for s in self._plain for i in (*s.runs, *s.broken_off)}
        ran |= {
            value
            for engine in self._engines
            for headers in engine.headers
            for name, value in headers.items()
            if name.lower() == "papayacrank-request-id"
        }
        return [
            loss
            for loss in self.losses
            if not isinstance(loss, Loss)
            or loss.request_id in ran
            or loss.after_s > LOSS_SLACK_S
        ]

    # Actions

    def _act(self, until_s):
        kinds, weights = zip(*ACTIONS, strict=True)
        while time.monotonic() < until_s:
            (kind,) = self._random.choices(kinds, weights)
            self.actions.append((self.elapsed_s(), kind))
            getattr(self, f"_{kind}")()
            time.sleep(self._random.uniform(*ACTION_INTERVAL_S))
        for engine in self._engines:
            engine.delay_s, engine.refuses = 0.0, False

    def _configure(self):
        """Send a configuration with other limits, time-outs, routes and rates."""
        self._version += 1
        document = build_document(self._version)
        choose = self._random.choice
        limits = document["limits"]
        limits["idle_timeout_ms"] = choose((100, 300, 1_000, 15_000))
        limits["header_timeout_ms"] = choose((1_000, 3_000))
        for route in document["routes"][:3]:
            route["max_attempts"] = choose((1, 2)) if route["name"] != "r3" else 1
        document["routes"][0]["timeout_ms"] = choose((800, 1_200, 3_000))
        document["routes"][3]["path_prefix"] = choose(("/split/", "/other/"))
        document["tenants"][0]["rate_per_s"] = choose((3_000, 134_616))
        try:
            self.platform.operate(
                "POST", "/v1/configuration/put", document, choose(IPS)
            )
        except (OSError, http.client.HTTPException):
            # The change may or may not be in force, as for an operator.
            return

    def _reload(self):
        process = self.platform.processes[("entry", self._random.choice(IPS))]
        if process.poll() is None:
            process.send_signal(signal.SIGHUP)

    def _stop(self):
        """Stop an instance as planned and start it again."""
        if any(restart.is_alive() for restart in self._restarts):
            return
        ip = self._random.choice(IPS)
        process = self.platform.processes[("entry", ip)]
        process.send_signal(signal.SIGTERM)

        def restart():
            process.wait(20)
            self.platform.start_process("entry", ip)

        thread = threading.Thread(target=restart, daemon=True)
        self._restarts.append(thread)
        thread.start()

    def _kill_leader(self):
        """Kill a control process, at times the leader, and start it again."""
        ip = self._random.choice(IPS)
        process = self.platform.processes[("control", ip)]
        process.kill()
        process.wait(10)
        self.platform.start_process("control", ip)

    def _silence(self):
        engine = self._random.choice(self._engines)
        engine.delay_s = 0.0 if engine.delay_s else SILENCE_S

    def _refuse(self):
        engine = self._random.choice(self._engines)
        engine.refuses = not engine.refuses

    def _reset(self):
        self._random.choice(self._plain).resets += 3


def main(first, last, duration_s=DURATION_S):
    """Run seeds and print the summary and the lost requests of each."""
    failed = 0
    for seed in range(first, last + 1):
        with tempfile.TemporaryDirectory() as folder:
            soak = LostRequestSoak(Path(folder), seed, duration_s)
            lost = soak.run()
            print(soak.summary, lost, flush=True)
            if lost:
                failed += 1
                print(soak.actions, flush=True)
    print(f"{failed} of {last - first + 1} seeds failed")
    return failed


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])) > 0)
