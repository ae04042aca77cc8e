"""Requests that are pending until their log entry is committed."""

import json

import msgspec

from papayacrank.consensus import EmitEvent, RaftNode, Replace
from papayacrank.kernel import Send, Verdict
from papayacrank.messages import (
    Command,
    ConcludeRollout,
    ConfigurationFiled,
    ControlReply,
    ControlRequest,
    Done,
    FailureRecord,
    FileRouting,
    GrantKey,
    KeyChanged,
    LiftVerdict,
    NameWeights,
    NotLeader,
    ReadState,
    ReplaceMember,
    RoutingFiled,
    StartRollout,
    StateView,
)
from papayacrank.state import StateMachine, check_command

from ._events import (
    COMMAND_FAILED,
    CONFIGURATION_ACCEPTED,
    KEY_CHANGED,
    ROLLOUT_CONCLUDED,
    ROLLOUT_ORDERED,
    ROUTING_ACCEPTED,
    WEIGHTS_NAMED,
)
from ._quarantine_calls import QuarantineCalls

MAX_PENDING_REQUESTS = 2_000
MAX_PENDING_REPLACEMENTS = 16
MAX_SENDERS_PER_REQUEST = 4


class RequestHandler:
    """Replies to the requests that the leader receives.

    Parameters
    ----------
    raft : RaftNode
        Replicated log.
    machine : StateMachine
        Replicated state.
    instance : str
        Name of this member.
    quarantine : QuarantineCalls
        Commands on the quarantine of prompt parts.
    """

    def __init__(
        self,
        raft: RaftNode,
        machine: StateMachine,
        instance: str,
        quarantine: QuarantineCalls,
    ):
        self._raft = raft
        self._machine = machine
        self._instance = instance
        self._quarantine = quarantine
        self._pending: dict[str, list[str]] = {}
        self._pending_replacements: dict[str, tuple[ReplaceMember, list[str]]] = {}

    def accept(
        self, sender: str, request: ControlRequest, now_ms: int
    ) -> list[Send] | None:
        """Reply to a request that needs no log entry, or add it to the pending ones.

        Returns
        -------
        list of Send or None
            Replies; None if the request must be proposed to the log.
        """
        if isinstance(request.command, ReadState):
            return [Send(sender, self._read(request, now_ms))]
        if isinstance(request.command, LiftVerdict):
            return [Send(sender, self._quarantine.lift(request, now_ms))]
        if isinstance(request.command, ReplaceMember):
            return self._start_replacement(sender, request, now_ms)
        recorded = self._machine.find_outcome(request.request_id)
        if recorded is not None:
            return [Send(sender, recorded)]
        in_force = self._machine.routing.version
        if _is_superseded(request.command, in_force):
            return [
                Send(sender, ControlReply(request.request_id, RoutingFiled(in_force)))
            ]
        if isinstance(request.command, StartRollout):
            answer = self._machine.answer_rollout(request.command)
            if answer is not None:
                return [Send(sender, _build_outcome_reply(request.request_id, answer))]
        if request.request_id in self._pending:
            _add_sender(self._pending[request.request_id], sender)
            return []
        failure = check_command(request.command)
        if failure is None and len(self._pending) >= MAX_PENDING_REQUESTS:
            failure = _overloaded()
        if failure is not None:
            return [Send(sender, ControlReply(request.request_id, failure=failure))]
        self._pending[request.request_id] = [sender]
        return None

    def complete(self, reply: ControlReply) -> list[Send]:
        """Reply to all senders of a committed request."""
        senders = self._pending.pop(reply.request_id, [])
        return [Send(sender, reply) for sender in senders]

    def redirect(self, request_id: str, leader: str) -> list[Send]:
        """Redirect all senders of a request to another member."""
        senders = self._pending.pop(request_id, [])
        return [Send(sender, NotLeader(request_id, leader)) for sender in senders]

    def redirect_all(self, leader: str) -> list[Send]:
        """Redirect all pending requests to a member that finds out their outcomes."""
        self._pending_replacements.clear()
        sends = []
        for request_id in list(self._pending):
            sends += self.redirect(request_id, leader)
        return sends

    def poll(self) -> list[Send]:
        """Reply to the completed replacements of members."""
        sends = []
        for request_id, (command, senders) in list(self._pending_replacements.items()):
            if self._is_replaced(command):
                del self._pending_replacements[request_id]
                reply = ControlReply(request_id, Done())
                sends += [Send(sender, reply) for sender in senders]
        return sends

    def _read(self, request: ControlRequest, now_ms: int) -> ControlReply:
        what = request.command.what
        if what == "members":
            return _build_view_reply(request, what, self._members())
        if what == "quarantine":
            document = self._quarantine.describe(now_ms)
            return _build_view_reply(request, what, document)
        view = self._machine.read(what)
        if isinstance(view, FailureRecord):
            return ControlReply(request.request_id, failure=view)
        if what == "status":
            return _build_view_reply(
                request, what, json.loads(view.document) | self._status()
            )
        return ControlReply(request.request_id, view)

    def _members(self) -> list[dict]:
        formats = self._raft.stated_formats
        return [
            {
                "name": member.name,
                "identity": member.identity,
                "failure_domain": member.failure_domain,
                "role": "voter" if member.voter else "learner",
                "leader": member.name == self._raft.leader,
                "entry_format": formats.get(member.identity),
            }
            for member in self._raft.members
        ]

    def _status(self) -> dict:
        return {
            "leader": self._instance,
            "term": self._raft.term,
            "commit_index": self._raft.commit_index,
            "members": self._members(),
        }

    def _start_replacement(
        self, sender: str, request: ControlRequest, now_ms: int
    ) -> list[Send]:
        """Start a replacement; the reply follows once the membership has changed."""
        command = request.command
        request_id = request.request_id
        if self._is_replaced(command):
            return [Send(sender, ControlReply(request_id, Done()))]
        if request_id in self._pending_replacements:
            _add_sender(self._pending_replacements[request_id][1], sender)
            return []
        if len(self._pending_replacements) >= MAX_PENDING_REPLACEMENTS:
            return [Send(sender, ControlReply(request_id, failure=_overloaded()))]
        change = Replace(command.old, command.new)
        outcome = self._raft.change_member(change, now_ms)
        if outcome.is_error():
            failure = FailureRecord.from_failure(outcome.error)
            return [Send(sender, ControlReply(request_id, failure=failure))]
        self._pending_replacements[request_id] = (command, [sender])
        return []

    def _is_replaced(self, command: ReplaceMember) -> bool:
        voters = {member.name for member in self._raft.members if member.voter}
        return command.new in voters and command.old not in voters


def _build_outcome_reply(
    request_id: str, outcome: Done | FailureRecord
) -> ControlReply:
    if isinstance(outcome, FailureRecord):
        return ControlReply(request_id, failure=outcome)
    return ControlReply(request_id, outcome)


def _is_superseded(command: Command, in_force: int) -> bool:
    """Whether a command would not change the state, whatever its document."""
    return (
        isinstance(command, FileRouting) and command.configuration.version <= in_force
    )


def build_change_notices(command: Command, reply: ControlReply) -> list[EmitEvent]:
    """Return the log events of a change by an operator, or of a failed command."""
    if reply.failure is not None and reply.failure.code == "internal_error":
        fields = {"command": type(command).__name__, "error": reply.failure.message}
        return [EmitEvent(COMMAND_FAILED, fields)]
    if isinstance(reply.result, ConfigurationFiled):
        fields = {"version": reply.result.version, "operator": command.operator}
        return [EmitEvent(CONFIGURATION_ACCEPTED, fields)]
    if isinstance(reply.result, RoutingFiled):
        fields = {
            "filed": command.configuration.version,
            "in_force": reply.result.version,
        }
        return [EmitEvent(ROUTING_ACCEPTED, fields)]
    if isinstance(command, NameWeights) and reply.failure is None:
        fields = {"model": command.model, "version": command.version}
        return [EmitEvent(WEIGHTS_NAMED, fields)]
    if isinstance(command, StartRollout) and reply.failure is None:
        return [EmitEvent(ROLLOUT_ORDERED, msgspec.structs.asdict(command))]
    if isinstance(command, ConcludeRollout) and reply.failure is None:
        fields = {"state": command.state, "reason": command.reason}
        return [EmitEvent(ROLLOUT_CONCLUDED, {"rollout": command.number} | fields)]
    if isinstance(reply.result, KeyChanged):
        change = "granted" if isinstance(command, GrantKey) else "withdrawn"
        fields = {"key_id": command.key_id, "operator": command.operator}
        return [EmitEvent(KEY_CHANGED, fields | {"change": change})]
    return []


def _add_sender(senders: list[str], sender: str) -> None:
    if sender not in senders and len(senders) < MAX_SENDERS_PER_REQUEST:
        senders.append(sender)


def _build_view_reply(request: ControlRequest, what: str, document) -> ControlReply:
    text = json.dumps(document, sort_keys=True)
    return ControlReply(request.request_id, StateView(what, text))


def _overloaded() -> FailureRecord:
    """Return the failure for a full table.

    The verdict is "may have run", because another member may have received a copy of
    the request.
    """
    return FailureRecord(
        "control_overloaded",
        Verdict.MAY_HAVE_RUN.value,
        "too many requests wait for the control group",
        503,
        500,
    )
