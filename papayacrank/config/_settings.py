"""Settings of the long-running processes."""

from pydantic import Field

from ._configuration import Address, Name, StrictModel


class PeerAddress(StrictModel):
    """Name, address and failure domain of another process of the system."""

    name: Name
    address: Address
    failure_domain: Name = "default"


class EntryLimits(StrictModel):
    """Limits of one entry process."""

    max_header_bytes: int = Field(default=16_384, ge=1_024)
    max_body_bytes: int = Field(default=4_194_304, ge=1_024)
    max_prompt_tokens: int = Field(default=200_000, ge=1)
    max_connections: int = Field(default=2_000, ge=1)
    max_queued_requests: int = Field(default=1_000, ge=1)
    max_stream_buffer_bytes: int = Field(default=262_144, ge=1_024)


class EntryTimings(StrictModel):
    """Timeouts of one entry process, in milliseconds."""

    heartbeat_interval_ms: int = Field(default=500, ge=10)
    control_contact_ms: int = Field(default=3_000, ge=100)
    body_timeout_ms: int = Field(default=10_000, ge=100)
    slow_reader_timeout_ms: int = Field(default=30_000, ge=100)
    target_connect_timeout_ms: int = Field(default=1_000, ge=10)
    first_token_timeout_ms: int = Field(default=20_000, ge=100)
    progress_timeout_ms: int = Field(default=5_000, ge=100)
    idle_connection_ms: int = Field(default=15_000, ge=100)
    load_poll_interval_ms: int = Field(default=500, ge=10)
    warmup_timeout_ms: int = Field(default=5_000, ge=0)
    budget_wait_ms: int = Field(default=500, ge=0)


class EntrySettings(StrictModel):
    """Settings of `papayacrank-entry`.

    Attributes
    ----------
    instance : str
        Name of the instance.
    listen : str
        Address for callers; port 0 selects a free port.
    link : str
        Address for the other processes of the system.
    control, peers : list of PeerAddress
        Control processes and other entry processes.
    """

    instance: Name
    failure_domain: Name
    listen: Address
    link: Address
    control: list[PeerAddress] = Field(min_length=1)
    peers: list[PeerAddress] = []
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")
    limits: EntryLimits = EntryLimits()
    timings: EntryTimings = EntryTimings()


class ControlSettings(StrictModel):
    """Settings of `papayacrank-control`.

    Attributes
    ----------
    link : str
        Address for the other processes.
    data_folder : str
        Directory for all durable files; not used by a volatile process.
    volatile : bool
        Whether the state is kept in memory only and lost when the process exits, as
        on a machine without a disk.
    peers : list of PeerAddress
        The other control processes.
    initial_voters : list of str
        Names of the voters of a new group; used only while no member has a log. Empty
        for a process that only joins an existing group.
    tolerated_instances, tolerated_failure_domains, tolerated_regions : int
        Instances, failure domains and regions whose data folders may all be lost at the
        same time; each number is tolerated on its own.
    region_of_domain : dict of str to str
        Region of each failure domain.
    platform_list_url : str or None
        URL at which the platform publishes its list of live and leaving targets.
    feed_bytes_per_s : int
        Highest rate in bytes per second at which a leader sends the feed to all entry
        processes together; about a third of the bandwidth of its link.
    release_exposure, release_exposure_slack : float
        Fraction of the requests of a service that a bad release may get while it is
        rolled out, and number of requests in addition.
    rollback_ms : int
        Time in milliseconds after its 50th bad response from which it may get none.
    """

    instance: Name
    failure_domain: Name
    link: Address
    data_folder: str
    volatile: bool = False
    peers: list[PeerAddress] = []
    initial_voters: list[Name] = []
    target_voters: int = Field(default=5, ge=1, le=7)
    tolerated_instances: int = Field(default=1, ge=0, le=11)
    tolerated_failure_domains: int = Field(default=0, ge=0, le=11)
    tolerated_regions: int = Field(default=0, ge=0, le=11)
    region_of_domain: dict[str, str] = {}
    platform_list_url: str | None = None
    platform_poll_interval_ms: int = Field(default=1_000, ge=50)
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")
    heartbeat_interval_ms: int = Field(default=100, ge=10)
    election_timeout_ms: int = Field(default=600, ge=50)
    leader_lease_ms: int = Field(default=500, ge=50)
    clock_drift: float = Field(default=0.05, ge=0, lt=0.5)
    voter_silence_ms: int = Field(default=10_000, ge=100)
    entry_lease_ms: int = Field(default=3_000, ge=100)
    snapshot_every_entries: int = Field(default=2_000, ge=10)
    feed_bytes_per_s: int = Field(default=3_750_000, ge=10_000)
    release_exposure: float = Field(default=0.1, gt=0, le=1)
    release_exposure_slack: float = Field(default=50, ge=0)
    rollback_ms: int = Field(default=5_000, ge=100)
