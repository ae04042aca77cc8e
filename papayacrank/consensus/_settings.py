"""Settings of the replicated log."""

from dataclasses import dataclass, field

from papayacrank.config import ControlSettings

from ._tolerance import LossTolerance


@dataclass(frozen=True)
class Protections:
    """Safety mechanisms that can be disabled in tests.

    Tests disable one mechanism at a time to show that it is necessary. Processes
    always use the defaults.

    Parameters
    ----------
    pre_vote : bool
        Ask the voters for pre-votes before the term is increased.
    lease : bool
        Serve reads only under a lease, while a majority withholds its votes.
    check_quorum : bool
        Step down after losing contact with a majority.
    no_op : bool
        Append a no-op entry at the start of a term. Serve reads and change members
        only after it is committed.
    one_change : bool
        Allow only one uncommitted membership change at a time.
    sync_before_reply : bool
        Acknowledge an entry, and count it towards the majority, only after its sync.
    identity : bool
        Verify the data folder at startup. Do not vote before that, and take a new
        identity if the folder was lost or rolled back.
    """

    pre_vote: bool = True
    lease: bool = True
    check_quorum: bool = True
    no_op: bool = True
    one_change: bool = True
    sync_before_reply: bool = True
    identity: bool = True


@dataclass(frozen=True)
class RaftSettings:
    """Settings of one member.

    Parameters
    ----------
    name, failure_domain : str
        Name and failure domain of this member.
    peers : tuple of str
        Names of the other configured members.
    volatile : bool
        Whether the data folder is lost when the process ends. A volatile member is a
        voter only until other members can replace it, or if all members are volatile.
    initial_voters : tuple of str
        Names of the voters with which a new group is bootstrapped.
    target_voters : int
        Number of voters if at least as many members are live; otherwise there are as
        many as the loss tolerance requires.
    loss_tolerance : LossTolerance
        Losses of data folders that the group has to survive.
    heartbeat_interval_ms : int
        Interval between the heartbeats of the leader, in milliseconds.
    election_timeout_ms : int
        Minimum time without a leader before an election, in milliseconds.
    leader_lease_ms : int
        Duration of the leader's lease, in milliseconds; `safe_lease_ms` may be shorter.
    clock_drift : float
        Maximum relative error of the rate of any member's clock.
    voter_silence_ms : int
        Time without a reply after which a member is removed, in milliseconds.
    snapshot_every_entries : int
        Number of committed entries after which `RaftNode.wants_snapshot` becomes true.
    protections : Protections
        Safety mechanisms.
    entry_format : int
        Highest format of entries that this member reads; a higher one includes the
        lower ones.
    """

    name: str
    failure_domain: str = "default"
    peers: tuple[str, ...] = ()
    volatile: bool = False
    initial_voters: tuple[str, ...] = ()
    target_voters: int = 5
    loss_tolerance: LossTolerance = field(default_factory=LossTolerance)
    heartbeat_interval_ms: int = 100
    election_timeout_ms: int = 600
    leader_lease_ms: int = 500
    clock_drift: float = 0.05
    voter_silence_ms: int = 10_000
    snapshot_every_entries: int = 2_000
    protections: Protections = field(default_factory=Protections)
    entry_format: int = 0

    @property
    def safe_lease_ms(self) -> int:
        """Duration of the lease in milliseconds, limited by the clock drift.

        A follower withholds its vote for `election_timeout_ms` on its own clock, which
        may run fast while the leader's clock runs slow.
        """
        ratio = (1 - self.clock_drift) / (1 + self.clock_drift)
        return min(self.leader_lease_ms, int(self.election_timeout_ms * ratio) - 1)

    @classmethod
    def from_control(
        cls, settings: ControlSettings, entry_format: int = 0
    ) -> "RaftSettings":
        """Create the settings from those of a control process."""
        return cls(
            name=settings.instance,
            failure_domain=settings.failure_domain,
            peers=tuple(peer.name for peer in settings.peers),
            volatile=settings.volatile,
            initial_voters=tuple(settings.initial_voters),
            target_voters=settings.target_voters,
            loss_tolerance=LossTolerance(
                settings.tolerated_instances,
                settings.tolerated_failure_domains,
                settings.tolerated_regions,
                settings.region_of_domain,
            ),
            heartbeat_interval_ms=settings.heartbeat_interval_ms,
            election_timeout_ms=settings.election_timeout_ms,
            leader_lease_ms=settings.leader_lease_ms,
            clock_drift=settings.clock_drift,
            voter_silence_ms=settings.voter_silence_ms,
            snapshot_every_entries=settings.snapshot_every_entries,
            entry_format=entry_format,
        )
