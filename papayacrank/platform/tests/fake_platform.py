"""Fake platform: target list, an engine, plain servers, settings and operators."""

import http.client
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import papayacrank
from papayacrank.testing._fleet import _reserve_port

from .builders import KEY, build_document, build_settings, encode

ROOT = Path(papayacrank.__file__).parents[1]
SEAL = "seal"
IPS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
DISKLESS_IP = "127.0.0.4"
PORTS = 40
PORT_OFFSETS = (0, 1, 10, 11, 12, 13)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Disable the access log."""

    def read_body(self):
        """Return the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, body, **headers):
        """Send a complete response."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), str(value))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _QuietServer(ThreadingHTTPServer):
    request_queue_size = 256

    def handle_error(self, *_):
        """Ignore callers that have disconnected."""


class Server:
    """HTTP server that runs in separate threads.

    Parameters
    ----------
    name : str
        ID in the target list.
    service : str
        Service in the target list; empty for the server of the list.
    """

    def __init__(self, name, service=""):
        self.name = name
        self.service = service
        self.runs = []
        self.headers = []
        self.version = 1
        self.orders = 0
        self.delay_s = 0.0
        self.rate_limit = None
        self.arrivals = []
        outer = self

        class Handler(_Handler):
            def do_GET(self):
                outer.handle(self)

            def do_POST(self):
                outer.handle(self)

        self._server = _QuietServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def address(self):
        """Address of the server."""
        return f"127.0.0.1:{self._server.server_port}"

    def entry(self):
        """Return the entry of the server in the target list."""
        models = [{"name": "m1", "version": self.version}]
        return {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "models": models if self.service == "llm" else [],
        }

    def limit_headers(self):
        """Return the headers that state the request rate limit, if there is one."""
        return {} if self.rate_limit is None else {"Server_Limit": self.rate_limit}

    def handle(self, handler):
        """Respond as a plain server."""
        handler.read_body()
        self.arrivals.append(time.monotonic())
        request_id = handler.headers["Papayacrank-Request-Id"]
        if handler.headers["Papayacrank-Expect-Instance"] != self.name:
            handler.reply(421, b"", Papayacrank_Instance_Id=self.name)
            return
        self.runs.append(request_id)
        self.headers.append(dict(handler.headers))
        time.sleep(self.delay_s)
        headers = {
            "Papayacrank_Request_Id": request_id,
            "Papayacrank_Server_Seal": SEAL,
        } | self.limit_headers()
        handler.reply(200, f"served {request_id}".encode(), **headers)

    def close(self):
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()


class Engine(Server):
    """Engine that streams three events and loads new weights immediately."""

    def handle(self, handler):
        """Respond to a report, an order or a streaming request."""
        if handler.path == "/v1/report":
            models = [{"name": "m1", "version": self.version}]
            report = {"busy": False, "sequence": self.orders, "models": models}
            handler.reply(200, encode(report))
        elif handler.path == "/v1/order":
            order = json.loads(handler.read_body())
            self.orders += 1
            self.version = order["version"]
            handler.reply(202, b"")
        else:
            self._stream(handler)

    def _stream(self, handler):
        handler.read_body()
        self.arrivals.append(time.monotonic())
        if handler.headers["Papayacrank-Expect-Version"] != str(self.version):
            handler.reply(421, b"", Papayacrank_Instance_Id=self.name)
            return
        self.headers.append(dict(handler.headers))
        handler.send_response(200)
        handler.send_header("Content-Type", "text/event-stream")
        request_id = handler.headers["Papayacrank-Request-Id"]
        handler.send_header("Papayacrank-Request-Id", request_id)
        handler.send_header("Papayacrank-Server-Seal", SEAL)
        for name, value in self.limit_headers().items():
            handler.send_header(name.replace("_", "-"), str(value))
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in (1, 2, 3):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()
            time.sleep(0.02 + self.delay_s)
        handler.wfile.write(b"0\r\n\r\n")


class Cloud(Server):
    """Server of the target list."""

    def __init__(self):
        super().__init__("cloud")
        self.servers = []

    def handle(self, handler):
        """Respond with the target list."""
        entries = [server.entry() for server in self.servers]
        handler.reply(200, encode({"instances": entries, "next": None}))


class FakePlatform:
    """Machines with entry and control processes, and fake servers.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    entries : int
        Number of entry processes, at least 3; the first three machines also have
        control processes.
    """

    def __init__(self, folder, entries=3):
        self._folder = folder
        self.entry_ips = list(IPS)
        self.entry_ips += [f"127.0.1.{n}" for n in range(1, entries - len(IPS) + 1)]
        self._base, self._reserved = _reserve_ports(self.entry_ips)
        self.cloud = Cloud()
        self.plain = [Server("p-1", "plain"), Server("p-2", "plain")]
        self.engine = Engine("e-1", "llm")
        self.cloud.servers = [*self.plain, self.engine]
        self.processes = {}

    def start(self, bootstrap="true"):
        """Start all processes."""
        for ip in IPS:
            self.start_process("control", ip, bootstrap)
        for ip in self.entry_ips:
            self.start_process("entry", ip, bootstrap)

    def start_serving(self, **fields):
        """Start all processes with a configuration, and wait until they serve."""
        self.start()
        self.configure(**fields)
        for ip in IPS:
            self.wait(lambda ip=ip: self.is_ready(ip))

    def start_process(self, role, ip, bootstrap="false", has_disk=True):
        """Start a process that logs to a file."""
        base = self._base
        data = ""
        if has_disk:
            data = self._folder / f"data-{ip}"
            data.mkdir(exist_ok=True)
        text = build_settings(
            ip=ip,
            internal=base,
            last=base + 9,
            front=base + 10,
            ready=base + 11,
            control=base + 12,
            directory=base + 13,
            seeds=json.dumps([f"{peer}:{base + 12}" for peer in IPS]),
            bootstrap=bootstrap,
            data=data,
            cloud=self.cloud.address,
        ).replace("front-a-1", f"front-{ip}")
        path = self._folder / f"{role}-{ip}.toml"
        path.write_text(text)
        log = (self._folder / f"{role}-{ip}.log").open("ab")
        command = [sys.executable, "-m", "papayacrank.platform", role]
        environment = os.environ | {"PAPAYACRANK_CONFIG": str(path)}
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.processes[(role, ip)] = process

    def kill(self, role, number=signal.SIGKILL):
        """Send a signal to all processes of a role and wait until they exit."""
        chosen = [p for (r, _), p in self.processes.items() if r == role]
        for process in chosen:
            process.send_signal(number)
        for process in chosen:
            process.wait(15)

    def stop(self):
        """Kill all processes and stop all servers."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait(10)
        for server in (self.cloud, *self.plain, self.engine):
            server.close()
        for sock in self._reserved:
            sock.close()

    def read_log(self, role, ip):
        """Return all that a process has written."""
        return (self._folder / f"{role}-{ip}.log").read_text()

    def log(self, role, ip):
        """Return the log lines of a process."""
        lines = self.read_log(role, ip).splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def connect(self, ip, timeout_s):
        """Return a connection of a caller to an entry process."""
        return http.client.HTTPConnection(ip, self._base + 10, timeout=timeout_s)

    def call(self, offset, method, path, body=b"", headers=None, ip=IPS[0]):
        """Send an HTTP request to a process; return status, headers and body."""
        connection = http.client.HTTPConnection(ip, self._base + offset, timeout=5)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
        finally:
            connection.close()

    def operate(self, method, path, document=None, ip=IPS[0]):
        """Call the operator API of a control process."""
        body = b"" if document is None else encode(document)
        return self.call(12, method, path, body, ip=ip)

    def configure(self, version=1, **fields):
        """Send a configuration until it is accepted, and return it."""
        document = build_document(version, **fields)
        self.wait(
            lambda: self.operate("POST", "/v1/configuration/put", document)[0] == 200
        )
        return document

    def request(self, path, request_id="r1", ip=IPS[0], method="POST", **headers):
        """Send a request of a caller."""
        base = {
            "Host": "h.example",
            "X-Api-Key": KEY,
            "Papayacrank-Request-Id": request_id,
            "Papayacrank-Deadline-Ms": "4000",
        }
        extra = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.call(10, method, path, b"body", base | extra, ip)

    def _check_processes(self):
        """Fail if a process has ended by itself."""
        for (role, ip), process in self.processes.items():
            if process.poll() is not None and process.returncode > 0:
                lines = (self._folder / f"{role}-{ip}.log").read_text().splitlines()
                last = "\n".join(lines[-5:])
                raise AssertionError(f"the {role} process of {ip} has ended:\n{last}")

    def is_ready(self, ip=IPS[0]):
        """Return whether an entry process reports that it is ready."""
        return self.call(11, "GET", "/v1/readiness", ip=ip)[0] == 200

    def wait(self, condition, limit_s=15):
        """Wait until a condition holds; connection errors count as false."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            self._check_processes()
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        raise AssertionError("condition not met before the timeout")


def _reserve_ports(entry_ips):
    """Return the base of a port range, and sockets that reserve it on all addresses."""
    for _ in range(100):
        base = random.randrange(20_000, 30_000, PORTS)
        sockets = [
            _reserve_port(base + n, ip)
            for ip in (*entry_ips, DISKLESS_IP)
            for n in PORT_OFFSETS
        ]
        if None not in sockets:
            return base, sockets
        for sock in sockets:
            if sock is not None:
                sock.close()
    raise RuntimeError("no free port range found")
