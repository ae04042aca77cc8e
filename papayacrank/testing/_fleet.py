"""Process control for demos and end-to-end tests."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pydantic import BaseModel

import papayacrank
from papayacrank.config import ControlSettings, EntrySettings

from ._relay import Relay

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
HTTP_TIMEOUT_S = 10.0
# Below the default range from which Linux assigns ports to outgoing connections.
FIRST_PORT, LAST_PORT = 20_000, 32_000


class FleetError(RuntimeError):
    """A process did not start or stop, or does not belong to this fleet."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Response to `Fleet.request`."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass(slots=True)
class FleetProcess:
    """A process started by a fleet.

    Parameters
    ----------
    name : str
        Name, unique in the fleet.
    command : list of str
        Command line; a restart uses it again.
    popen : subprocess.Popen
        Handle of the process.
    addresses : dict of str to str
        Addresses by name, as printed by a stand-in.
    """

    name: str
    command: list[str]
    popen: subprocess.Popen
    addresses: dict[str, str] = field(default_factory=dict)

    @property
    def address(self) -> str:
        """Address for HTTP."""
        return self.addresses["address"]

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended; paused processes count as running."""
        return self.popen.poll() is None


class Fleet:
    """Starts, stops and observes processes.

    The subfolder ``settings`` holds settings, ``logs`` the output of processes, and
    ``data`` the data folders of control processes.

    Parameters
    ----------
    folder : Path
        Working directory of the processes.
    random_state : random.Random, optional
        Source of port numbers.
    """

    def __init__(self, folder: Path, random_state: random.Random | None = None):
        self.folder = Path(folder)
        self._random = random_state or random.Random()
        self._processes: dict[str, FleetProcess] = {}
        self._relays: list[Relay] = []
        self._replaced_sigterm_handler = False
        self._reserved_sockets: list[socket.socket] = []

    @property
    def processes(self) -> Mapping[str, FleetProcess]:
        """Processes by name, including ended ones."""
        return dict(self._processes)

    def __enter__(self) -> "Fleet":
        self._interrupt_on_sigterm()
        return self

    def __exit__(self, *_) -> None:
        self.close()

    # Addresses and settings

    def free_address(self) -> str:
        """Return an unused address that is reserved until the fleet is closed."""
        for _ in range(LAST_PORT - FIRST_PORT):
            port = self._random.randrange(FIRST_PORT, LAST_PORT)
            reserved = _reserve_port(port)
            if reserved is not None:
                self._reserved_sockets.append(reserved)
                return f"{LOOPBACK}:{port}"
        raise FleetError("no free port")

    def write_settings(self, name: str, settings: BaseModel | dict) -> Path:
        """Write a settings file and return its path."""
        if isinstance(settings, BaseModel):
            settings = settings.model_dump(mode="json")
        path = self._subfolder("settings") / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        return path

    def data_folder(self, name: str) -> Path:
        """Return the data folder of a control process."""
        return self._subfolder("data") / name

    # Processes

    def start(
        self, name: str, module: str, *arguments: str, stand_in: bool = False
    ) -> FleetProcess:
        """Start ``python -m module arguments``.

        Parameters
        ----------
        name : str
            Name of the process.
        module : str
            Module to run.
        *arguments : str
            Command line arguments.
        stand_in : bool
            Whether to wait until the process prints its addresses as a JSON line.

        Raises
        ------
        FleetError
            If a process of that name is running, or the stand-in ends early.
        """
        command = [sys.executable, "-m", module, *arguments]
        return self._launch(name, command, stand_in)

    def start_engine(self, name: str, **options) -> FleetProcess:
        """Start a stand-in engine with the options of its program."""
        return self._start_stand_in(name, "papayacrank.testing.engine", options)

    def start_service(self, name: str, **options) -> FleetProcess:
        """Start a stand-in plain service with the options of its program."""
        return self._start_stand_in(name, "papayacrank.testing.service", options)

    def start_control(self, settings: ControlSettings) -> FleetProcess:
        """Start a control process named ``control-`` plus its instance name."""
        return self._start_program("control", settings)

    def start_entry(self, settings: EntrySettings) -> FleetProcess:
        """Start an entry process named ``entry-`` plus its instance name."""
        process = self._start_program("entry", settings)
        process.addresses["address"] = settings.listen
        return process

    def start_relay(self, server: str) -> Relay:
        """Start a relay to an address; closing the fleet closes it."""
        relay = Relay(server).start()
        self._relays.append(relay)
        return relay

    def restart(self, name: str) -> FleetProcess:
        """Start an ended process again with the same command and addresses."""
        old = self._get_process(name)
        if old.is_running:
            raise FleetError(f"{name} is still running")
        command = list(old.command)
        stand_in = ".testing." in command[2]
        if stand_in:
            command += _port_arguments(old.addresses)
        process = self._launch(name, command, stand_in)
        process.addresses = dict(old.addresses) | process.addresses
        return process

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL) and wait for its exit."""
        process = self._get_process(name)
        self._send_signal(process, signal.SIGKILL)
        process.popen.wait(STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        self._send_signal(self._get_process(name), signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process (SIGCONT)."""
        self._send_signal(self._get_process(name), signal.SIGCONT)

    def terminate(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask a process to stop (SIGTERM) and return its exit code.

        Raises
        ------
        FleetError
            If it does not stop in time; the process is left running.
        """
        process = self._get_process(name)
        self._send_signal(process, signal.SIGTERM)
        try:
            return process.popen.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise FleetError(
                f"{name} did not stop within {timeout_s} s of SIGTERM"
            ) from error

    def close(self) -> None:
        """Stop all processes and close all relays.

        Processes that do not exit in time after SIGTERM are killed.
        """
        for process in self._processes.values():
            if process.is_running:
                self._send_signal(process, signal.SIGCONT)
                self._send_signal(process, signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self._processes.values():
            try:
                process.popen.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.popen.kill()
                process.popen.wait()
        for relay in self._relays:
            relay.close()
        self._relays.clear()
        for sock in self._reserved_sockets:
            sock.close()
        self._reserved_sockets.clear()
        if self._replaced_sigterm_handler:
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
            self._replaced_sigterm_handler = False

    # Observation

    def output(self, name: str) -> str:
        """Return the standard error of a process, including earlier starts."""
        path = self._log_path(name, "stderr")
        return path.read_text(encoding="utf-8", errors="replace")

    def log_lines(self, name: str) -> list[dict]:
        """Return the JSON log lines of a process; other output is skipped."""
        lines = []
        for line in self.output(name).splitlines():
            try:
                document = json.loads(line)
            except ValueError:
                continue
            if isinstance(document, dict):
                lines.append(document)
        return lines

    def request(
        self,
        address: str,
        method: str,
        path: str,
        document: Any = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = HTTP_TIMEOUT_S,
    ) -> HttpResponse:
        """Send one request on a new connection and return the whole response.

        Raises
        ------
        OSError, http.client.HTTPException
            If there is no complete response.
        """
        body = None if document is None else json.dumps(document).encode()
        fields = {"Content-Type": "application/json"} if body else {}
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.request(method, path, body, fields | dict(headers or {}))
            response = connection.getresponse()
            return HttpResponse(
                response.status, dict(response.getheaders()), response.read()
            )
        finally:
            connection.close()

    def inject(self, name: str, kind: str, **arguments) -> None:
        """Inject a fault into a stand-in."""
        document = {"kind": kind} | arguments
        response = self.request(
            self._get_process(name).address, "POST", "/fault", document
        )
        if response.status != 200:
            raise FleetError(f"{name} refused the fault: {response.body!r}")

    def stats(self, name: str) -> dict:
        """Return the statistics of a stand-in engine."""
        return self.request(self._get_process(name).address, "GET", "/stats").json()

    def journal(self, name: str) -> list[dict]:
        """Return the journal of a stand-in service."""
        response = self.request(self._get_process(name).address, "GET", "/journal")
        return response.json()["entries"]

    def wait_healthy(self, address: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until ``GET /health`` returns status 200."""
        self.wait_until(
            lambda: self._is_healthy(address), timeout_s, f"{address} healthy"
        )

    def wait_until(
        self,
        condition: Callable[[], Any],
        timeout_s: float = START_TIMEOUT_S,
        what: str = "condition",
    ) -> Any:
        """Wait until the condition is true and return its value.

        Raises
        ------
        TimeoutError
            If it stays false.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            value = condition()
            if value:
                return value
            if time.monotonic() > deadline:
                raise TimeoutError(f"timed out after {timeout_s} s waiting for {what}")
            time.sleep(POLL_INTERVAL_S)

    # Internals

    def _interrupt_on_sigterm(self) -> None:
        """Raise KeyboardInterrupt on SIGTERM, so that the fleet is closed.

        With the default action, a test run ended by `timeout` would leave its
        processes running.
        """
        is_main = threading.current_thread() is threading.main_thread()
        if is_main and signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
            signal.signal(signal.SIGTERM, signal.default_int_handler)
            self._replaced_sigterm_handler = True

    def _start_stand_in(self, name: str, module: str, options: dict) -> FleetProcess:
        arguments = [f"--{key}={value}" for key, value in options.items()]
        return self.start(name, module, *arguments, stand_in=True)

    def _start_program(self, program: str, settings) -> FleetProcess:
        name = f"{program}-{settings.instance}"
        path = self.write_settings(name, settings)
        return self.start(name, f"papayacrank.{program}", "--settings", str(path))

    def _launch(self, name: str, command: list[str], stand_in: bool) -> FleetProcess:
        running = self._processes.get(name)
        if running is not None and running.is_running:
            raise FleetError(f"{name} is already running")
        with (
            open(self._log_path(name, "stdout"), "wb") as stdout,
            open(self._log_path(name, "stderr"), "ab") as stderr,
        ):
            popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=stdout,
                stderr=stderr,
                cwd=self.folder,
                env=_build_environment(),
            )
        process = FleetProcess(name, command, popen)
        self._processes[name] = process
        if stand_in:
            self.wait_until(lambda: self._read_addresses(process), what=f"{name} up")
        return process

    def _read_addresses(self, process: FleetProcess) -> bool:
        if not process.is_running:
            raise FleetError(f"{process.name} ended: {self.output(process.name)}")
        text = self._log_path(process.name, "stdout").read_text(encoding="utf-8")
        if not text.endswith("\n"):
            return False
        process.addresses = json.loads(text.splitlines()[0])
        return True

    def _get_process(self, name: str) -> FleetProcess:
        if name not in self._processes:
            raise FleetError(f"no process {name!r} was started by this fleet")
        return self._processes[name]

    @staticmethod
    def _send_signal(process: FleetProcess, number: int) -> None:
        # send_signal checks first that the process has not ended, because its id could
        # then belong to another process.
        process.popen.send_signal(number)

    def _is_healthy(self, address: str) -> bool:
        try:
            return self.request(address, "GET", "/health", timeout_s=1).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def _log_path(self, name: str, stream: str) -> Path:
        return self._subfolder("logs") / f"{name}.{stream}"

    def _subfolder(self, name: str) -> Path:
        path = self.folder / name
        path.mkdir(parents=True, exist_ok=True)
        return path


def _build_environment() -> dict[str, str]:
    """Return an environment in which Python imports this copy of the project."""
    project = str(Path(papayacrank.__file__).parent.parent)
    return dict(os.environ) | {"PYTHONPATH": project}


def _port_arguments(addresses: Mapping[str, str]) -> list[str]:
    options = {
        "address": "port",
        "events_address": "events_port",
        "replay_address": "replay_port",
    }
    return [
        f"--{option}={addresses[name].rsplit(':', 1)[1]}"
        for name, option in options.items()
        if name in addresses
    ]


def _reserve_port(port: int, ip: str = LOOPBACK) -> socket.socket | None:
    """Return a socket that reserves the port, or None if the port is taken.

    The port is first bound without SO_REUSEADDR. After the option is set, a process of
    this fleet can listen on the port, while another fleet still cannot reserve it,
    because it binds without the option.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.bind((ip, port))
    except OSError:
        sock.close()
        return None
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock
