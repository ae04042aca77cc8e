"""Complete deployment of processes on loopback, for demos and end-to-end tests."""

import json
from dataclasses import dataclass
from typing import Any

from papayacrank.admin import BlockingControlClient
from papayacrank.config import (
    ControlSettings,
    EntrySettings,
    PeerAddress,
    Questionnaire,
    canonical_json,
    generate_configuration,
)
from papayacrank.control import digest_key
from papayacrank.messages import FileConfiguration, GrantKey, ReadState, WithdrawKey

from ._builders import FAILURE_DOMAINS, build_questionnaire
from ._fleet import Fleet, FleetProcess, HttpResponse
from ._relay import Relay

COMMAND_TIMEOUT_MS = 8_000


class DeploymentError(RuntimeError):
    """The control group refused a command or did not respond."""


@dataclass(frozen=True, slots=True)
class DeploymentSize:
    """Number of processes of each kind.

    Parameters
    ----------
    controls, entries, engines, services : int
        Processes of each kind.
    spare_controls : int
        Additional control processes that are not initial voters.
    """

    controls: int = 3
    entries: int = 3
    engines: int = 3
    services: int = 1
    spare_controls: int = 0


class Deployment:
    """Starts control and entry processes with stand-in targets.

    Parameters
    ----------
    fleet : Fleet
        Fleet that runs the processes.
    size : DeploymentSize
        Numbers of processes.
    engine_options, service_options : dict, optional
        Command line options of the stand-ins.
    control_overrides, entry_overrides : dict, optional
        Settings that replace the defaults.
    relayed_entries : int
        Number of entry processes, counted from the first, that connect to the control
        group through relays.
    """

    def __init__(
        self,
        fleet: Fleet,
        size: DeploymentSize | None = None,
        engine_options: dict | None = None,
        service_options: dict | None = None,
        control_overrides: dict | None = None,
        entry_overrides: dict | None = None,
        relayed_entries: int = 0,
    ):
        self.fleet = fleet
        self.size = size or DeploymentSize()
        self.engine_options = engine_options or {}
        self.service_options = service_options or {}
        self.control_overrides = control_overrides or {}
        self.entry_overrides = entry_overrides or {}
        self.relayed_entries = relayed_entries
        self.controls_: list[PeerAddress] = []
        self.entries_: list[FleetProcess] = []
        self.relays_: dict[str, list[Relay]] = {}
        self.keys_: dict[str, tuple[str, str]] = {}
        self.version_ = 0
        self.granted_ = 0

    @property
    def entry_addresses(self) -> list[str]:
        """Addresses on which the entry processes serve callers."""
        return [process.address for process in self.entries_]

    @property
    def control_addresses(self) -> list[str]:
        """Addresses of all control processes."""
        return [peer.address for peer in self.controls_]

    def start(self, **questionnaire: Any) -> None:
        """Start all processes, file a configuration and grant a key to each workspace.

        Parameters
        ----------
        **questionnaire : Any
            Top-level fields of the questionnaire that replace the defaults.
        """
        self.start_targets()
        self.start_controls()
        self.start_entries()
        self.file_configuration(**questionnaire)
        for workspace in self.configuration_.workspaces:
            self.grant_key(workspace.name)
        for address in self.entry_addresses:
            self.fleet.wait_healthy(address)

    def start_targets(self) -> None:
        """Start the stand-in engines and plain services."""
        for number in range(1, self.size.engines + 1):
            self.fleet.start_engine(f"engine-{number}", **self.engine_options)
        for number in range(1, self.size.services + 1):
            self.fleet.start_service(f"service-{number}", **self.service_options)

    def start_controls(self) -> None:
        """Start the control processes."""
        count = self.size.controls + self.size.spare_controls
        self.controls_ = [
            self._build_peer("c", number) for number in range(1, count + 1)
        ]
        for peer in self.controls_:
            self.fleet.start_control(self._build_control_settings(peer))

    def start_entries(self) -> None:
        """Start the entry processes."""
        peers = [self._build_peer("e", n) for n in range(1, self.size.entries + 1)]
        for number, peer in enumerate(peers):
            control = self.controls_
            if number < self.relayed_entries:
                control = self._relay_controls(peer.name)
            settings = self._build_entry_settings(peer, peers, control)
            self.entries_.append(self.fleet.start_entry(settings))

    def file_configuration(self, **questionnaire: Any) -> int:
        """File a configuration based on the last one filed; return the new version."""
        answers = self.build_questionnaire(**questionnaire)
        self.configuration_ = generate_configuration(answers)
        document = canonical_json(self.configuration_)
        filed = self.run_command(FileConfiguration(self.version_, document, "test"))
        self.version_ = filed.version
        return filed.version

    def build_questionnaire(self, **overrides: Any) -> Questionnaire:
        """Build a questionnaire that lists the started targets."""
        engines = self._find_processes("engine")
        return build_questionnaire(
            engine_addresses=tuple(engine.address for engine in engines),
            plain_addresses=tuple(s.address for s in self._find_processes("service")),
            events_addresses=tuple(e.addresses["events_address"] for e in engines),
            replay_addresses=tuple(e.addresses["replay_address"] for e in engines),
            **({"keep_route_ms": 500} | overrides),
        )

    def grant_key(self, workspace: str) -> str:
        """Grant a new key to a workspace and return it."""
        self.granted_ += 1
        key, key_id = f"ppk_{self.granted_:064x}", f"key-{self.granted_}"
        self.run_command(GrantKey(key_id, workspace, digest_key(key), "test"))
        self.keys_[workspace] = (key_id, key)
        return key

    def withdraw_key(self, workspace: str) -> None:
        """Withdraw the key of a workspace."""
        self.run_command(WithdrawKey(self.keys_[workspace][0], "test"))

    def headers(self, workspace: str, **more: str) -> dict[str, str]:
        """Return request headers with the key of a workspace."""
        return {"Authorization": f"Bearer {self.keys_[workspace][1]}"} | more

    def complete(
        self,
        address: str,
        workspace: str,
        prompt: str,
        max_tokens: int = 8,
        stream: bool = False,
        timeout_s: float = 30.0,
    ) -> HttpResponse:
        """Send one chat completion request."""
        document = {
            "model": "sample",
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        return self.fleet.request(
            address,
            "POST",
            "/v1/chat/completions",
            document,
            self.headers(workspace),
            timeout_s,
        )

    def claim(
        self,
        address: str,
        workspace: str,
        idempotency_key: str,
        timeout_s: float = 30.0,
    ) -> HttpResponse:
        """Send one non-idempotent request with an idempotency key."""
        return self.fleet.request(
            address,
            "POST",
            "/v1/services/shop-app/claims",
            {"claim": idempotency_key},
            self.headers(workspace) | {"Idempotency-Key": idempotency_key},
            timeout_s,
        )

    def read_state(self, what: str) -> Any:
        """Return one part of the replicated state."""
        return json.loads(self.run_command(ReadState(what)).document)

    def find_leader(self) -> str:
        """Return the process name of the leader."""
        members = self.read_state("members")
        leaders = [member["name"] for member in members if member["leader"]]
        return f"control-{leaders[0]}"

    def run_command(
        self, command: Any, timeout_ms: int = COMMAND_TIMEOUT_MS, request_id=None
    ) -> Any:
        """Send a command to the control group and return its result.

        Raises
        ------
        DeploymentError
            If the command was refused or its outcome is unknown.
        """
        exchange = BlockingControlClient(self.controls_, timeout_ms)
        try:
            _, outcome = exchange.run_command(command, request_id)
        finally:
            exchange.close()
        if outcome.is_error():
            raise DeploymentError(f"{outcome.error.code}: {outcome.error.message}")
        return outcome.ok

    def _find_processes(self, kind: str) -> list[FleetProcess]:
        names = [n for n in self.fleet.processes if n.startswith(f"{kind}-")]
        return [self.fleet.processes[name] for name in names]

    def _build_peer(self, prefix: str, number: int) -> PeerAddress:
        return PeerAddress(
            name=f"{prefix}{number}",
            address=self.fleet.free_address(),
            failure_domain=FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)],
        )

    def _build_control_settings(self, own: PeerAddress) -> ControlSettings:
        voters = [peer.name for peer in self.controls_[: self.size.controls]]
        fields = {
            "instance": own.name,
            "failure_domain": own.failure_domain,
            "link": own.address,
            "data_folder": str(self.fleet.data_folder(own.name)),
            "peers": [peer for peer in self.controls_ if peer.name != own.name],
            "initial_voters": voters,
            "target_voters": len(voters),
        }
        return ControlSettings(**(fields | self.control_overrides))

    def _build_entry_settings(
        self, own: PeerAddress, peers: list[PeerAddress], control: list[PeerAddress]
    ) -> EntrySettings:
        fields = {
            "instance": own.name,
            "failure_domain": own.failure_domain,
            "listen": self.fleet.free_address(),
            "link": own.address,
            "control": control,
            "peers": [peer for peer in peers if peer.name != own.name],
        }
        return EntrySettings(**(fields | self.entry_overrides))

    def _relay_controls(self, entry: str) -> list[PeerAddress]:
        relays = [self.fleet.start_relay(peer.address) for peer in self.controls_]
        self.relays_[entry] = relays
        return [
            peer.model_copy(update={"address": relay.address})
            for peer, relay in zip(self.controls_, relays, strict=True)
        ]
