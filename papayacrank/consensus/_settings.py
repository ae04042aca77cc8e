"""Settings of the consensus core."""

from dataclasses import dataclass, field

from papayacrank.config import ControlSettings


@dataclass(frozen=True)
class Protections:
    """Switches with which tests show that each protection is needed.

    Processes use the defaults; only tests switch a protection off.

    Parameters
    ----------
    pre_vote : bool
        Ask for promises of votes before raising the term.
    lease : bool
        Serve reads only while a majority's promise not to vote is in force.
    check_quorum : bool
        Step down without contact to a majority.
    no_op : bool
        Start a term with an entry; read and change members only once it is committed.
    one_change : bool
        Change one member at a time.
    sync_before_reply : bool
        Reply and count an entry only after it is synced.
    identity : bool
        Take a new identity when the data folder was lost or rolled back, and do not
        vote before that is known.
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
        Of this member.
    peers : tuple of str
        Names of the other configured members.
    volatile : bool
        Whether the data folder is lost with the process. Such a member votes only
        until others can, or where all members are like it.
    initial_voters : tuple of str
        Names of the voters of a new group.
    target_voters : int
        Voters where at least as many members are live; otherwise 3.
    clock_drift : float
        Bound on the relative error of the rate of any member's clock.
    voter_silence_ms : int
        A voter that has been silent for longer is removed.
    snapshot_every_entries : int
        Entries after which `RaftNode.wants_snapshot` is set.
    """

    name: str
    failure_domain: str = "default"
    peers: tuple[str, ...] = ()
    volatile: bool = False
    initial_voters: tuple[str, ...] = ()
    target_voters: int = 5
    heartbeat_interval_ms: int = 100
    election_timeout_ms: int = 600
    leader_lease_ms: int = 500
    clock_drift: float = 0.05
    voter_silence_ms: int = 10_000
    snapshot_every_entries: int = 2_000
    protections: Protections = field(default_factory=Protections)

    @property
    def safe_lease_ms(self) -> int:
        """Lease by the leader's clock, at most what the drift bound allows.

        A follower's promise lasts `election_timeout_ms` by its own clock, which may
        be fast while the leader's clock is slow.
        """
        ratio = (1 - self.clock_drift) / (1 + self.clock_drift)
        return min(self.leader_lease_ms, int(self.election_timeout_ms * ratio) - 1)

    @classmethod
    def from_control(cls, settings: ControlSettings) -> "RaftSettings":
        """Take over the settings of a control process."""
        return cls(
            name=settings.instance,
            failure_domain=settings.failure_domain,
            peers=tuple(peer.name for peer in settings.peers),
            volatile=settings.volatile,
            initial_voters=tuple(settings.initial_voters),
            target_voters=settings.target_voters,
            heartbeat_interval_ms=settings.heartbeat_interval_ms,
            election_timeout_ms=settings.election_timeout_ms,
            leader_lease_ms=settings.leader_lease_ms,
            clock_drift=settings.clock_drift,
            voter_silence_ms=settings.voter_silence_ms,
            snapshot_every_entries=settings.snapshot_every_entries,
        )
