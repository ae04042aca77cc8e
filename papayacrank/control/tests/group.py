"""Starts a control group of real processes on loopback."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from papayacrank.admin import ControlExchange
from papayacrank.config import PeerAddress
from papayacrank.messages import ReadState

DOMAINS = ("east", "west", "north")
READY_TIMEOUT_S = 20.0
COMMAND_TIMEOUT_MS = 10_000
TIMINGS = {"voter_silence_ms": 60_000}


class ControlGroup:
    """Processes ``python -m papayacrank.control`` with a data folder each.

    Parameters
    ----------
    folder : Path
        Holds settings, logs and data.
    size : int
        Number of members.
    **settings : Any
        Further fields of the settings of all members.
    """

    def __init__(self, folder: Path, size: int = 3, **settings):
        self._folder = folder
        self._settings = TIMINGS | settings
        self.names = [f"c{number}" for number in range(1, size + 1)]
        self.peers = [
            PeerAddress(name=name, address=f"127.0.0.1:{_find_free_port()}")
            for name in self.names
        ]
        self.processes: dict[str, subprocess.Popen] = {}

    def __enter__(self) -> "ControlGroup":
        for name in self.names:
            self.start(name)
        return self

    def __exit__(self, *_) -> None:
        for name in list(self.processes):
            self.kill(name)

    @property
    def control(self) -> str:
        """Addresses for the admin command line."""
        return ",".join(peer.address for peer in self.peers)

    def start(self, name: str) -> None:
        """Start a member."""
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(self._describe(name)))
        log = (self._folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "papayacrank.control", "--settings", str(path)]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a member."""
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str) -> None:
        """Kill a member and wait for its end."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def terminate(self, name: str, timeout_s: float = 10.0) -> int:
        """Stop a member gracefully and return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout_s)

    def exchange(self, timeout_ms: int = COMMAND_TIMEOUT_MS, only=None):
        """Return a foreground client of all members, or of one."""
        peers = [peer for peer in self.peers if only in (None, peer.name)]
        return ControlExchange(peers, timeout_ms)

    def read(self, what: str, exchange: ControlExchange | None = None):
        """Read a part of the state from the leader."""
        own = exchange or self.exchange()
        try:
            _, outcome = own.run_command(ReadState(what))
        finally:
            if exchange is None:
                own.close()
        assert outcome.is_ok(), outcome
        return json.loads(outcome.ok.document)

    def wait_ready(self) -> str:
        """Wait for a leader and return its name."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            exchange = self.exchange(1_000)
            try:
                _, outcome = exchange.run_command(ReadState("status"))
            finally:
                exchange.close()
            if outcome.is_ok():
                return json.loads(outcome.ok.document)["leader"]
        raise AssertionError(f"no leader within {READY_TIMEOUT_S} s\n{self.logs()}")

    def logs(self) -> str:
        """Return the ends of all logs."""
        paths = sorted(self._folder.glob("*.log"))
        return "\n".join(f"{p.name}:\n{p.read_text()[-2000:]}" for p in paths)

    def _describe(self, name: str) -> dict:
        index = self.names.index(name)
        return self._settings | {
            "instance": name,
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "link": self.peers[index].address,
            "data_folder": str(self._folder / f"{name}-data"),
            "peers": [p.model_dump() for p in self.peers if p.name != name],
            "initial_voters": self.names,
        }


def _find_free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
