"""Requests, replies and heartbeats exchanged with control processes."""

import msgspec

from papayacrank.kernel import Failure, Verdict

from ._commands import Command
from ._feed import UNKNOWN_CAPACITY, InstanceCapacity
from ._results import Result


class FailureRecord(msgspec.Struct, frozen=True):
    """Wire format of `papayacrank.kernel.Failure`."""

    code: str
    verdict: str
    message: str
    status: int = 500
    retry_after_ms: int | None = None
    details: dict[str, str | int | float | bool | None] = {}

    @classmethod
    def from_failure(cls, failure: Failure) -> "FailureRecord":
        """Convert a failure to the wire format."""
        return cls(
            failure.code,
            failure.verdict.value,
            failure.message,
            failure.status,
            failure.retry_after_ms,
            failure.details,
        )

    def to_failure(self) -> Failure:
        """Convert to a failure."""
        return Failure(
            self.code,
            Verdict(self.verdict),
            self.message,
            self.status,
            self.retry_after_ms,
            dict(self.details),
        )


class ControlRequest(msgspec.Struct, tag=True, frozen=True):
    """Command sent to the leader of the control group.

    Attributes
    ----------
    request_id : str
        Unique identifier, under which a resend returns the first outcome.
    sender : str
        Name of the sending process.
    boot : int
        Boot number of the sending process.
    """

    request_id: str
    sender: str
    boot: int
    command: Command


class ControlReply(msgspec.Struct, tag=True, frozen=True):
    """Outcome of a command, with either `result` or `failure` set."""

    request_id: str
    result: Result | None = None
    failure: FailureRecord | None = None


class NotLeader(msgspec.Struct, tag=True, frozen=True):
    """Response of a member that isn't the leader or doesn't hold the leader lease.

    Attributes
    ----------
    leader : str
        Name of the probable leader, empty if unknown.
    """

    request_id: str
    leader: str = ""


class ShareReport(msgspec.Struct, frozen=True):
    """State of the budget share of a workspace at an instance.

    Attributes
    ----------
    held_tokens : int
        Tokens of the share that are neither spent nor reserved.
    reserved_tokens : int
        Tokens reserved by requests in flight.
    spent_tokens : int
        Total tokens spent since the process started.
    wanted_tokens : int
        Tokens that the instance requests to hold.
    granted_tokens : int
        Total tokens granted since the process started, as last received.
    queued_tokens : int
        Part of `wanted_tokens` that queued requests need; the rest is predicted
        demand.
    next_tokens : int
        Tokens that the first queued request needs; 0 if the sender does not tell.
    """

    workspace: str
    held_tokens: int
    reserved_tokens: int
    spent_tokens: int
    wanted_tokens: int
    granted_tokens: int
    queued_tokens: int = 0
    next_tokens: int = 0


class ShareGrant(msgspec.Struct, frozen=True):
    """Total tokens granted to an instance since its process started.

    Cumulative totals are idempotent: repeated and lost messages do no harm.

    Attributes
    ----------
    scarce : bool
        Whether requests at other instances need tokens, so that unused ones must be
        returned.
    reclaiming : bool
        Whether other instances hold unused tokens that they will return.
    backlog_tokens : int
        Tokens that must be refilled before the next need of the receiver is met: the
        claims before it and its own, less the free tokens. Negative if tokens are
        free.
    reclaimable_tokens : int
        Unused tokens that other instances will return.
    rate_per_s : int
        Rate at which they are refilled; 0 if the sender does not tell the backlog.
    """

    workspace: str
    granted_tokens: int
    scarce: bool = False
    reclaiming: bool = False
    backlog_tokens: int = 0
    reclaimable_tokens: int = 0
    rate_per_s: int = 0


class Heartbeat(msgspec.Struct, tag=True, frozen=True):
    """Heartbeat of an entry process, which renews its lease.

    Attributes
    ----------
    sent_ms : int
        Sender's monotonic clock in milliseconds, returned in the acknowledgement.
    address : str
        Address for callers as ``ip:port``.
    status : str
        ``"starting"``, ``"serving"``, ``"isolated"`` or ``"draining"``.
    fleet_term, fleet_sequence : int
        Term and sequence of the newest `FleetView` of the sender.
    rates_term, rates_revision : int
        Term and revision of the newest `TargetRates` that the sender has in full.
    quarantine_term, quarantine_revision : int
        Term and revision of the newest `QuarantineTable` that the sender has in full.
    accepts_batches : bool
        Whether the sender understands `FeedBatch`.
    capacity : InstanceCapacity
        Resources of the process. The state takes them over when it registers.
    """

    instance: str
    boot: int
    sequence: int
    sent_ms: int
    feed_version: int
    failure_domain: str
    address: str
    status: str
    shares: list[ShareReport] = []
    fleet_term: int = 0
    fleet_sequence: int = 0
    rates_term: int = 0
    rates_revision: int = 0
    quarantine_term: int = 0
    quarantine_revision: int = 0
    accepts_batches: bool = False
    capacity: InstanceCapacity = UNKNOWN_CAPACITY


class HeartbeatAck(msgspec.Struct, tag=True, frozen=True):
    """Acknowledgement of a heartbeat by a leader that holds the leader lease.

    Attributes
    ----------
    lease_ms : int
        Time in milliseconds after `sent_ms` during which the process may use its
        shares and keys.
    """

    sequence: int
    sent_ms: int
    term: int
    lease_ms: int
    feed_version: int
    boot: int
    grants: list[ShareGrant] = []
