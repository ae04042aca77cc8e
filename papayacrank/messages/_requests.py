"""Requests, replies and heartbeats between entry or admin and control processes."""

import msgspec

from papayacrank.kernel import Failure, Verdict

from ._commands import Command
from ._results import Result


class FailureRecord(msgspec.Struct, frozen=True):
    """Wire form of `papayacrank.kernel.Failure`."""

    code: str
    verdict: str
    message: str
    status: int = 500
    retry_after_ms: int | None = None
    details: dict[str, str | int | float | bool | None] = {}

    @classmethod
    def from_failure(cls, failure: Failure) -> "FailureRecord":
        """Convert a failure to its wire form."""
        return cls(
            failure.code,
            failure.verdict.value,
            failure.message,
            failure.status,
            failure.retry_after_ms,
            failure.details,
        )

    def to_failure(self) -> Failure:
        """Convert back to a failure."""
        return Failure(
            self.code,
            Verdict(self.verdict),
            self.message,
            self.status,
            self.retry_after_ms,
            dict(self.details),
        )


class ControlRequest(msgspec.Struct, tag=True, frozen=True):
    """Command for the leader of the control group.

    Attributes
    ----------
    request_id : str
        Unique identifier; a resend under the same identifier returns the first
        outcome.
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
    """Outcome of a command; exactly one of `result` and `failure` is set."""

    request_id: str
    result: Result | None = None
    failure: FailureRecord | None = None


class NotLeader(msgspec.Struct, tag=True, frozen=True):
    """The receiver is not the leader, or does not hold the leader lease.

    Attributes
    ----------
    leader : str
        Name of the probable leader, empty if unknown.
    """

    request_id: str
    leader: str = ""


class ShareReport(msgspec.Struct, frozen=True):
    """Budget use of one workspace at one instance.

    Attributes
    ----------
    held_tokens : int
        Unspent tokens of the share, not reserved.
    reserved_tokens : int
        Tokens reserved by requests in flight.
    spent_tokens : int
        Total tokens spent since the process started.
    wanted_tokens : int
        Tokens that the instance wants to hold.
    granted_tokens : int
        Total tokens granted since the process started, as received.
    queued_tokens : int
        Part of `wanted_tokens` that queued requests need; the rest is expected
        demand.
    """

    workspace: str
    held_tokens: int
    reserved_tokens: int
    spent_tokens: int
    wanted_tokens: int
    granted_tokens: int
    queued_tokens: int = 0


class ShareGrant(msgspec.Struct, frozen=True):
    """Total tokens granted to an instance since its process started.

    Totals instead of increments make a repeated or lost message harmless.

    Attributes
    ----------
    scarce : bool
        Requests elsewhere need tokens, so what is not needed must be returned.
    reclaiming : bool
        Other instances hold tokens that they do not need and will return.
    """

    workspace: str
    granted_tokens: int
    scarce: bool = False
    reclaiming: bool = False


class Heartbeat(msgspec.Struct, tag=True, frozen=True):
    """Sign of life of an entry process.

    Attributes
    ----------
    sent_ms : int
        Sender's monotonic clock; returned unchanged in the answer.
    address : str
        Callers' address as ``ip:port``.
    status : str
        ``"starting"``, ``"serving"`` or ``"draining"``.
    fleet_term, fleet_sequence : int
        Newest `FleetView` that the sender has.
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


class HeartbeatAck(msgspec.Struct, tag=True, frozen=True):
    """Answer of a leader that holds its leader lease.

    Attributes
    ----------
    lease_ms : int
        Time from `sent_ms` for which shares and keys may be used.
    """

    sequence: int
    sent_ms: int
    term: int
    lease_ms: int
    feed_version: int
    boot: int
    grants: list[ShareGrant] = []
