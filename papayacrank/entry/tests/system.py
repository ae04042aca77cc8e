"""A small deployment of real processes for the tests of the entry process."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack, contextmanager
from pathlib import Path

from papayacrank.admin._control_client import BlockingControlClient
from papayacrank.config import PeerAddress, canonical_json, generate_configuration
from papayacrank.control import digest_key
from papayacrank.messages import FileConfiguration, GrantKey, ReadState, WithdrawKey
from papayacrank.testing import build_questionnaire
from papayacrank.testing._fleet import _reserve_port

from .support import wait_until

START_S = 15.0
FIRST_PORT, LAST_PORT = 20_000, 32_000
CONTROL = "control-1"
KEEP_ROUTE_MS = 300
_reserved: list[socket.socket] = []


def find_free_port() -> int:
    """Return a port that is reserved until this test process ends.

    Otherwise two test workers may select the same free port. One then reaches the
    control process of the other, which refuses the configuration as a conflict.
    """
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        reserved = _reserve_port(port)
        if reserved is not None:
            _reserved.append(reserved)
            return port


class Response:
    """Complete HTTP response."""

    def __init__(self, response: http.client.HTTPResponse):
        self.status = response.status
        self.headers = {name.lower(): value for name, value in response.getheaders()}
        self.body = response.read()

    @property
    def json(self):
        """Body as JSON."""
        return json.loads(self.body)

    @property
    def error(self) -> dict:
        """Error object of the JSON body."""
        return self.json["error"]


def read_sse(body: bytes) -> list[dict | str]:
    """Parse the data of server-sent events; ``[DONE]`` is returned as a string."""
    events = []
    for event in body.decode().split("\n\n"):
        for line in event.splitlines():
            if line.startswith("data: "):
                data = line.removeprefix("data: ")
                events.append(data if data == "[DONE]" else json.loads(data))
    return events


class Program:
    """A process started by a test."""

    def __init__(self, folder: Path, name: str, module: str, *args: str):
        self.name = name
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                stdout=subprocess.PIPE,
                stderr=log,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )

    @property
    def log(self) -> str:
        """Log output so far."""
        return self.log_path.read_text()

    def read_line(self) -> dict:
        """Return the JSON line that a stand-in prints."""
        return json.loads(self.process.stdout.readline())

    def check(self) -> None:
        """Fail if the process has ended by itself."""
        is_over = self.process.poll() is not None and self.process.returncode > 0
        last = "\n".join(self.log.splitlines()[-5:])
        assert not is_over, f"{self.name} has ended:\n{last}"

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self) -> None:
        """Start a planned stop with SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def close(self) -> None:
        """Kill the process if it is still running."""
        if self.process.poll() is None:
            self.kill()
        self.process.stdout.close()


class System:
    """One control process, stand-in targets and entry processes.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    stack : ExitStack
        Ends the processes when it is closed.
    """

    def __init__(self, folder: Path, stack: ExitStack):
        self.folder = folder
        self._stack = stack
        self._entry_files: dict[str, Path] = {}
        self.entry_addresses: dict[str, str] = {}
        self.entries: dict[str, Program] = {}
        self.engines: list[Program] = []
        self.engine_addresses: list[dict] = []
        self.services: list[Program] = []
        self.service_addresses: list[str] = []
        self._links: dict[str, str] = {}

    def start_program(self, name: str, module: str, *args: str) -> Program:
        """Start a process that ends with the test."""
        program = Program(self.folder, name, module, *args)
        self._stack.callback(program.close)
        return program

    def start_control(self) -> None:
        """Start the control process."""
        self.control_link = f"127.0.0.1:{find_free_port()}"
        path = self.folder / "control.json"
        path.write_text(
            json.dumps(
                {
                    "instance": CONTROL,
                    "failure_domain": "east",
                    "link": self.control_link,
                    "data_folder": str(self.folder / "data"),
                    "initial_voters": [CONTROL],
                    "target_voters": 1,
                }
            )
        )
        self._control_args = (CONTROL, "papayacrank.control", "--settings", str(path))
        self.control = self.start_program(*self._control_args)
        peer = PeerAddress(name=CONTROL, address=self.control_link)
        self._admin = BlockingControlClient([peer], 10_000)
        self._stack.callback(self._admin.close)

    def restart_control(self) -> None:
        """Start the control process again after it has been killed."""
        self.control = self.start_program(*self._control_args)

    def start_engine(self, *args: str) -> Program:
        """Start a stand-in engine."""
        number = len(self.engines) + 1
        module = "papayacrank.testing.engine"
        engine = self.start_program(f"engine-{number}", module, *args)
        self.engines.append(engine)
        self.engine_addresses.append(engine.read_line())
        return engine

    def start_service(self, *args: str) -> Program:
        """Start a stand-in plain service."""
        number = len(self.services) + 1
        module = "papayacrank.testing.service"
        service = self.start_program(f"service-{number}", module, *args)
        self.services.append(service)
        self.service_addresses.append(service.read_line()["address"])
        return service

    def command(self, command):
        """Send a command to the control group and return its result."""
        _, outcome = self._admin.run_command(command)
        assert outcome.is_ok(), outcome
        return outcome.ok

    def configure(self, expected_version: int = 0, **overrides) -> None:
        """File a configuration with all stand-ins started so far."""
        questionnaire = build_questionnaire(
            engine_addresses=tuple(e["address"] for e in self.engine_addresses)
            or ("127.0.0.1:9",),
            plain_addresses=tuple(self.service_addresses) or ("127.0.0.1:9",),
            events_addresses=tuple(e["events_address"] for e in self.engine_addresses),
            replay_addresses=tuple(e["replay_address"] for e in self.engine_addresses),
            **({"keep_route_ms": KEEP_ROUTE_MS} | overrides),
        )
        document = canonical_json(generate_configuration(questionnaire))
        self.command(FileConfiguration(expected_version, document, "test"))

    def grant(self, key: str, workspace: str = "team-a") -> None:
        """Grant a key; its id is the key with the prefix ``id-``."""
        self.command(GrantKey(f"id-{key}", workspace, digest_key(key), "test"))

    def withdraw(self, key: str) -> None:
        """Withdraw a key."""
        self.command(WithdrawKey(f"id-{key}", "test"))

    def read(self, what: str):
        """Return a view of the replicated state."""
        return json.loads(self.command(ReadState(what)).document)

    def start_entry(self, name: str = "entry-1", wait: bool = True, **overrides):
        """Start or restart an entry process."""
        if name not in self._entry_files:
            self._write_entry_settings(name, overrides)
        path = self._entry_files[name]
        entry = self.start_program(name, "papayacrank.entry", "--settings", str(path))
        self.entries[name] = entry
        if wait:
            wait_until(lambda: self.is_serving(name), f"{name} serves", START_S)
        return entry

    def _write_entry_settings(self, name: str, overrides: dict) -> None:
        self.entry_addresses[name] = f"127.0.0.1:{find_free_port()}"
        self._links[name] = f"127.0.0.1:{find_free_port()}"
        peers = [
            {"name": peer, "address": address}
            for peer, address in self._links.items()
            if peer != name
        ]
        path = self.folder / f"{name}.json"
        self._entry_files[name] = path
        path.write_text(
            json.dumps(
                {
                    "instance": name,
                    "failure_domain": "east",
                    "listen": self.entry_addresses[name],
                    "link": self._links[name],
                    "control": [{"name": CONTROL, "address": self.control_link}],
                    "peers": peers,
                }
                | overrides
            )
        )

    def is_serving(self, name: str = "entry-1") -> bool:
        """Return whether an entry process serves callers."""
        self.entries[name].check()
        try:
            return self.get("/health", name=name).status == 200
        except OSError:
            return False

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        key: str | None = None,
        headers: dict | None = None,
        name: str = "entry-1",
    ) -> Response:
        """Send a request over a new connection and return the response."""
        connection = self.open(method, path, body, key, headers, name)
        try:
            return Response(connection.getresponse())
        finally:
            connection.close()

    def open(
        self, method, path, body=b"", key=None, headers=None, name="entry-1"
    ) -> http.client.HTTPConnection:
        """Send a request over a new connection and return the connection."""
        connection = http.client.HTTPConnection(self.entry_addresses[name], timeout=30)
        sent = dict(headers or {})
        if key is not None:
            sent["Authorization"] = f"Bearer {key}"
        connection.request(method, path, body, sent)
        return connection

    def get(self, path: str, key: str | None = None, name: str = "entry-1") -> Response:
        """Send a GET request."""
        return self.request("GET", path, key=key, name=name)

    def complete(self, key: str = "key-a", name: str = "entry-1", **fields) -> Response:
        """Request a completion."""
        return self.request(
            "POST", "/v1/chat/completions", completion_body(**fields), key, name=name
        )

    def open_stream(self, key: str = "key-a", name: str = "entry-1", **fields):
        """Request a streamed completion and return the open response."""
        body = completion_body(stream=True, **fields)
        connection = self.open("POST", "/v1/chat/completions", body, key, name=name)
        return connection.getresponse()

    def claim(self, path: str = "/claims", body: bytes = b"roll-7", **arguments):
        """Send a non-idempotent action."""
        key = arguments.pop("key", "key-a")
        service_path = "/v1/services/shop-app" + path
        return self.request("POST", service_path, body, key, **arguments)

    def read_journal(self) -> list[dict]:
        """Return the requests that the stand-in services have processed."""
        entries = []
        for address in self.service_addresses:
            entries += fetch_json(address, "/journal")["entries"]
        return entries

    def read_stats(self, number: int = 0) -> dict:
        """Return the statistics of a stand-in engine."""
        return fetch_json(self.engine_addresses[number]["address"], "/stats")


def completion_body(prompt: str = "hello", **fields) -> bytes:
    """Build the body of a completion request."""
    document = {"model": "sample", "messages": [{"role": "user", "content": prompt}]}
    return json.dumps(document | fields).encode()


def fetch_json(address: str, path: str) -> dict:
    """Read a JSON document directly from a stand-in."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request("GET", path)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def inject_fault(address: str, **fault) -> None:
    """Inject a fault into a stand-in."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request("POST", "/fault", json.dumps(fault))
        assert connection.getresponse().status == 200
    finally:
        connection.close()


@contextmanager
def running_system(folder: Path, engines: int = 1, services: int = 1, **options):
    """Run a configured system with the keys ``key-a`` and ``key-b``."""
    with ExitStack() as stack:
        system = System(folder, stack)
        system.start_control()
        for _ in range(engines):
            system.start_engine(*options.get("engine_args", ()))
        for _ in range(services):
            system.start_service(*options.get("service_args", ()))
        system.configure(**options.get("configuration", {}))
        system.grant("key-a", "team-a")
        system.grant("key-b", "team-b")
        for number in range(1, options.get("entries", 1) + 1):
            system.start_entry(f"entry-{number}", **options.get("entry", {}))
        yield system
