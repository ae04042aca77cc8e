"""Settings file of the platform."""

import ipaddress
import os
import tomllib
from pathlib import Path

from pydantic import Field, ValidationError

from papayacrank.config import ControlSettings, PeerAddress, SettingsError
from papayacrank.messages import InstanceCapacity

from ._wire_model import WireModel

SETTINGS_VARIABLE = "PAPAYACRANK_CONFIG"
DEFAULT_PATH = "/etc/papayacrank/local.toml"
# Offsets of the ports within the range that is free for traffic between instances.
CONTROL_LINK_PORT = 0
ENTRY_METRICS_PORT = 1
MAX_VOTERS = 7
# A silent voter is replaced by a caught-up learner before the platform stops counting
# the loss, 4 s after a successor has started.
VOTER_SILENCE_MS = 3_000
# Without a leader, there are no new weights and grants. Pauses of a process under
# load stay well below 400 ms.
ELECTION_TIMEOUT_MS = 400
# The feed leaves the rest of the link to the log, to load reports and to callers.
FEED_SHARE_OF_LINK = 0.3
BYTES_PER_S_AND_MBPS = 125_000
MIN_FEED_BYTES_PER_S = 10_000
LEADER_LEASE_MS = 320
# Part of the processor that a control process may need; it runs on machines with a disk
# only. Instances that differ by it alone count as equal.
CONTROL_SHARE = 0.15
ROLLOUT_CONTRACT = "rollout"


class Listen(WireModel):
    """Listening addresses; empty if the role does not serve an address."""

    front: str = ""
    ready: str = ""
    control: str = ""
    directory: str = ""


class Bounds(WireModel):
    """Limits and timeouts that the platform sets."""

    contact_ms: int = 3_000
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 50
    # Amount by which a tenant may exceed its quota; by default not at all.
    quota_window_s: float = 0
    quota_overage: float = 0
    quota_slack: float = 0
    fencing_required: bool = True
    lease_ms: int = 3_000
    version_ms: int = 8_000
    expose_share: float = Field(default=0.1, gt=0, le=1)
    expose_slack: float = Field(default=50, ge=0)
    rollback_ms: int = 5_000


class Cloud(WireModel):
    """Target list of the platform."""

    address: str = ""
    rate_per_s: float = 40.0


class Limits(WireModel):
    """Resources of the machine and, for memory and descriptors, of each process.

    Attributes
    ----------
    cpu_share : float
        Share of a core; 0 if unknown, as for the other fields.
    cores : float
        Speed of the core, relative to others.
    memory_mb : float
        Memory above which a process is killed, in units of 1,000,000 bytes.
    max_fds : int
        Maximum number of descriptors of a process.
    link_mbps : float
        Bandwidth of the machine's link in Mbit/s.
    """

    cpu_share: float = Field(default=0.0, ge=0)
    cores: float = Field(default=1.0, gt=0)
    memory_mb: float = Field(default=0.0, ge=0)
    max_fds: int = Field(default=0, ge=0)
    link_mbps: float = Field(default=100.0, gt=0)


class FaultTolerance(WireModel):
    """Number of machines, zones or regions that may be lost at the same time."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


class PlatformSettings(WireModel):
    """Settings file that the platform writes for each process.

    Attributes
    ----------
    seeds : list of str
        Control addresses of up to three machines, possibly out of date.
    bootstrap : bool
        Whether the whole system starts for the first time.
    data_dir : str
        Folder on the disk of the machine; empty on a machine without a disk.
    zones : dict of str to str
        Region of each zone.
    internal_ports : list of int
        First and last port of the range for traffic between instances.
    contracts : list of str
        Parts of the platform's rules that are in force.
    """

    node_name: str
    role: str = ""
    ip: str
    zone: str
    internal_ports: list[int] = Field(min_length=2, max_length=2)
    seeds: list[str] = []
    bootstrap: bool = False
    data_dir: str = ""
    listen: Listen = Listen()
    bounds: Bounds = Bounds()
    cloud: Cloud = Cloud()
    limits: Limits = Limits()
    zones: dict[str, str] = {}
    fault_tolerance: FaultTolerance = FaultTolerance()
    contracts: list[str] = []

    @property
    def control_names(self) -> tuple[str, ...]:
        """Link names of the control processes among the seeds."""
        return tuple(dict.fromkeys(seed.rsplit(":", 1)[0] for seed in self.seeds))

    @property
    def controls_releases(self) -> bool:
        """Whether operators order which release serves a service."""
        return ROLLOUT_CONTRACT in self.contracts

    def port(self, offset: int) -> int:
        """Return the internal port with an offset, at most the last of the range."""
        return min(self.internal_ports[0] + offset, self.internal_ports[1])

    def internal_address(self, offset: int) -> str:
        """Return the address of this machine for an offset of the internal ports."""
        return f"{self.ip}:{self.port(offset)}"

    def resolve_control(self, name: str) -> str | None:
        """Derive the link address of a control process from its name, an IPv4 address.

        Returns
        -------
        str or None
            None if the name is not an IPv4 address.
        """
        try:
            ipaddress.IPv4Address(name)
        except ValueError:
            return None
        return f"{name}:{self.port(CONTROL_LINK_PORT)}"

    @property
    def capacity(self) -> InstanceCapacity:
        """Resources of an entry process on this machine."""
        limits = self.limits
        has_link = "link_mbps" in limits.model_fields_set
        processor = limits.cpu_share * limits.cores
        if self.data_dir:
            processor *= 1 - CONTROL_SHARE
        return InstanceCapacity(
            processor,
            limits.memory_mb,
            limits.max_fds,
            limits.link_mbps if has_link else 0.0,
        )

    def control_settings(self) -> ControlSettings:
        """Return the settings of a control process on this machine."""
        others = [name for name in self.control_names if name != self.ip]
        peers = [
            PeerAddress(name=name, address=self.resolve_control(name))
            for name in others
        ]
        return ControlSettings(
            instance=self.ip,
            failure_domain=self.zone,
            link=self.internal_address(CONTROL_LINK_PORT),
            data_folder=self.data_dir,
            volatile=not self.data_dir,
            peers=peers,
            initial_voters=list(self.control_names) if self.bootstrap else [],
            target_voters=MAX_VOTERS,
            tolerated_instances=self.fault_tolerance.machines,
            tolerated_failure_domains=self.fault_tolerance.zones,
            tolerated_regions=self.fault_tolerance.regions,
            region_of_domain=self.zones,
            voter_silence_ms=VOTER_SILENCE_MS,
            election_timeout_ms=ELECTION_TIMEOUT_MS,
            leader_lease_ms=LEADER_LEASE_MS,
            entry_lease_ms=self.bounds.contact_ms,
            release_exposure=self.bounds.expose_share,
            release_exposure_slack=self.bounds.expose_slack,
            rollback_ms=self.bounds.rollback_ms,
            feed_bytes_per_s=max(
                MIN_FEED_BYTES_PER_S,
                int(FEED_SHARE_OF_LINK * self.limits.link_mbps * BYTES_PER_S_AND_MBPS),
            ),
        )


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and validate the settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field is invalid; the message names the field.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    try:
        return PlatformSettings.model_validate(document)
    except ValidationError as error:
        lines = [
            f"{path}: {'.'.join(map(str, item['loc']))}: {item['msg']}"
            for item in error.errors()
        ]
        raise SettingsError("\n".join(lines)) from error
