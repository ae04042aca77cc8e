"""Control group of real processes on the loopback interface."""

import json
import random
import time
from pathlib import Path

from papayacrank.admin import BlockingControlClient
from papayacrank.config import ControlSettings, PeerAddress
from papayacrank.messages import ReadState
from papayacrank.messages._commands import Command
from papayacrank.testing import Fleet, Relay

DOMAINS = ("east", "west", "north")
READY_TIMEOUT_S = 20.0
COMMAND_TIMEOUT_MS = 10_000


class ControlGroup(Fleet):
    """Fleet with the processes of a control group, named ``control-<member>``.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    size : int
        Number of members.
    relayed : bool
        Whether the members connect to each other through relays.
    **settings : Any
        Additional settings of all members.
    """

    def __init__(self, folder: Path, size: int = 3, relayed: bool = False, **settings):
        super().__init__(folder, random.Random())
        self._relayed = relayed
        self._relay_by_link: dict[tuple[str, str], Relay] = {}
        self._settings = settings
        self.members = [f"c{number}" for number in range(1, size + 1)]
        self.peers = [
            PeerAddress(name=name, address=self.free_address()) for name in self.members
        ]

    @property
    def control(self) -> str:
        """Addresses of the members for the admin command line."""
        return ",".join(peer.address for peer in self.peers)

    def start_members(self) -> None:
        """Start all members."""
        for name in self.members:
            self.start_control(self.describe(name))

    def restart_member(self, name: str) -> None:
        """Restart a killed member with its data folder."""
        self.restart(f"control-{name}")

    def kill_member(self, name: str) -> None:
        """Kill a member."""
        self.kill(f"control-{name}")

    def isolate(self, name: str) -> None:
        """Silently partition a member from the others; clients can still reach it."""
        for endpoints, relay in self._relay_by_link.items():
            if name in endpoints:
                relay.freeze()

    def describe(self, name: str) -> ControlSettings:
        """Return the settings of a member."""
        index = self.members.index(name)
        member_settings = {
            "instance": name,
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "link": self.peers[index].address,
            "data_folder": str(self.data_folder(name)),
            "peers": [
                self._peer_address(name, peer)
                for peer in self.peers
                if peer.name != name
            ],
            "initial_voters": self.members,
        }
        return ControlSettings(**(member_settings | self._settings))

    def _peer_address(self, name: str, peer: PeerAddress) -> PeerAddress:
        """Return the address at which a member connects to another one."""
        if not self._relayed:
            return peer
        relay = self.start_relay(peer.address)
        self._relay_by_link[name, peer.name] = relay
        return PeerAddress(name=peer.name, address=relay.address)

    def exchange(
        self, timeout_ms: int = COMMAND_TIMEOUT_MS, only: str | None = None
    ) -> BlockingControlClient:
        """Return a blocking client of all members, or of one."""
        peers = [peer for peer in self.peers if only in (None, peer.name)]
        return BlockingControlClient(peers, timeout_ms)

    def run(self, command: Command, request_id: str | None = None):
        """Run one command and return its outcome."""
        exchange = self.exchange()
        try:
            return exchange.run_command(command, request_id)[1]
        finally:
            exchange.close()

    def read(self, what: str, timeout_ms: int = COMMAND_TIMEOUT_MS):
        """Read a section of the state from the leader."""
        exchange = self.exchange(timeout_ms)
        try:
            _, outcome = exchange.run_command(ReadState(what))
        finally:
            exchange.close()
        assert outcome.is_ok(), outcome
        return json.loads(outcome.ok.document)

    def wait_ready(self, other_than: str = "") -> str:
        """Wait for a leader other than the given one and return its name.

        Raises
        ------
        AssertionError
            If there is none within `READY_TIMEOUT_S`.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                leader = self.read("status", 1_000)["leader"]
            except AssertionError:
                continue
            if leader != other_than:
                return leader
        raise AssertionError(f"no leader within {READY_TIMEOUT_S} s")
