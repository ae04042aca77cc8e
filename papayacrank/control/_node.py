"""Decision code of a control process."""

from collections.abc import Callable
from typing import Any

from papayacrank.config import ControlSettings
from papayacrank.consensus import (
    CONSENSUS_MESSAGES,
    Committed,
    InstallState,
    Notice,
    RaftNode,
)
from papayacrank.kernel import Send, SetTimer
from papayacrank.messages import (
    ConfirmOrder,
    ControlRequest,
    EntryLoad,
    Heartbeat,
    HeartbeatAck,
    NotLeader,
    ObserveTargets,
    ReplaceMember,
)
from papayacrank.state import (
    CommandEntry,
    Entry,
    ExpireEntry,
    HeartbeatEntry,
    LeaderEntry,
    OrderEntry,
    StateMachine,
    decode_entry,
    encode_entry,
)

from ._effects import HttpCall, HttpResult
from ._events import (
    INSTANCES_EXPIRED,
    LEADER_ACTIVE,
    LEADER_INACTIVE,
    ORDER_CONFIRMED,
    ORDER_ISSUED,
    ORDER_OVERWRITTEN,
    ORDER_RELEASED,
    PLATFORM_LIST_FAILED,
)
from ._fleet import FleetController
from ._leases import EntryLease, EntryLeases
from ._order_calls import HTTP_TIMEOUT_MS
from ._orders import OrderRunner, ProposeOrder
from ._platform import PLATFORM_KEY, PlatformList
from ._publisher import FeedPublisher
from ._requests import RequestDesk, describe_change

RAFT_TIMER_PREFIX = "raft."
DUTY_TIMER = "control.duty"
BATCH_TIMER = "control.batch"
FLEET_TIMER = "control.fleet"
DUTY_INTERVAL_MS = 100
# Heartbeats that change the state wait this long for others, so that the log grows
# by at most 50 entries/s however many entry processes there are.
BATCH_DELAY_MS = 20
MAX_BATCH_HEARTBEATS = 50
MAX_QUEUED_HEARTBEATS = 2_000


class NodeError(Exception):
    """The log or the state could not take over an input; the process must stop.

    What the log had asked for is lost, so going on could acknowledge entries that were
    never written.
    """


class ControlNode:
    """One member of the control group: log, state, and the duties of the leader.

    All methods return effects: those of `papayacrank.kernel`, `Persist` and `Notice`
    of the consensus subpackage, and `HttpCall`. After a round of inputs, `flush` sends
    what was proposed as one batch.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the process.
    raft : RaftNode
        Replicated log.
    machine : StateMachine
        Replicated state.
    wall_clock_ms : Callable
        Returns the wall clock in milliseconds since the epoch, for records only.
    fleet : FleetController, optional
        The leader's work on targets, where the platform lists them.
    """

    def __init__(
        self,
        settings: ControlSettings,
        raft: RaftNode,
        machine: StateMachine,
        wall_clock_ms: Callable[[], int],
        fleet: FleetController | None = None,
    ):
        self._settings = settings
        self._raft = raft
        self._machine = machine
        self._wall_clock_ms = wall_clock_ms
        self._fleet = fleet
        self._leases = EntryLeases(settings.entry_lease_ms, settings.clock_drift)
        self._publisher = FeedPublisher(machine)
        self._desk = RequestDesk(raft, machine, settings.instance)
        self._orders = OrderRunner(machine, self._takeover_delay_ms())
        self._platform = PlatformList(
            settings.platform_list_url, settings.platform_poll_interval_ms, machine
        )
        self._active_term: int | None = None
        self._group_origin_ms = 0
        self._published_version = 0
        self._internal_requests = 0
        self._batch: dict[str, Heartbeat] = {}
        self._snapshot_index = 0
        self._proposed = False
        self._stopping = False

    @property
    def is_active(self) -> bool:
        """Whether this member leads and has applied all earlier entries."""
        return self._active_term is not None

    @property
    def wants_flush(self) -> bool:
        """Whether `flush` has something to do."""
        return self._proposed or self._snapshot_is_due

    @property
    def raft(self) -> RaftNode:
        """Replicated log."""
        return self._raft

    @property
    def machine(self) -> StateMachine:
        """Replicated state."""
        return self._machine

    def start(self, now_ms: int) -> list[Any]:
        """Start; call once."""
        effects = self._advance(self._raft.start, now_ms=now_ms)
        return [*effects, SetTimer(DUTY_TIMER, now_ms + DUTY_INTERVAL_MS)]

    def stop(self) -> None:
        """Accept no further requests, before a planned stop."""
        self._stopping = True

    def hand_over(self, now_ms: int) -> list[Any]:
        """Hand leadership over to another voter, if the log offers it."""
        transfer = getattr(self._raft, "transfer_leadership", None)
        return [] if transfer is None else self._advance(transfer, now_ms=now_ms)

    def receive(self, sender: str, message: Any, now_ms: int) -> list[Any]:
        """Handle a message."""
        if isinstance(message, CONSENSUS_MESSAGES):
            return self._advance(self._raft.receive, sender, message, now_ms=now_ms)
        if isinstance(message, ControlRequest):
            return self._on_request(sender, message, now_ms)
        if isinstance(message, Heartbeat):
            return self._on_heartbeat(sender, message, now_ms)
        if isinstance(message, EntryLoad) and self.is_active and self._fleet:
            self._fleet.observe_load(message, now_ms)
        return []

    def tick(self, timer_name: str, now_ms: int) -> list[Any]:
        """Handle a timer."""
        if timer_name.startswith(RAFT_TIMER_PREFIX):
            return self._advance(self._raft.tick, timer_name, now_ms=now_ms)
        if timer_name == BATCH_TIMER:
            self._propose_batch(now_ms)
            return []
        if timer_name == FLEET_TIMER:
            return self._work_on_fleet(now_ms)
        if timer_name == DUTY_TIMER:
            next_duty = SetTimer(DUTY_TIMER, now_ms + DUTY_INTERVAL_MS)
            return [next_duty, *self._do_duties(now_ms)]
        return []

    def persisted(self, token: int, now_ms: int) -> list[Any]:
        """Handle the completion of a `Persist` effect."""
        return self._advance(self._raft.persisted, token, now_ms=now_ms)

    def flush(self, now_ms: int) -> list[Any]:
        """Replicate what was proposed, and take a snapshot if one is due."""
        self._proposed = False
        effects = self._advance(self._raft.flush, now_ms=now_ms)
        return effects + self._take_snapshot(now_ms)

    def http_finished(self, result: HttpResult, now_ms: int) -> list[Any]:
        """Handle the result of an `HttpCall`."""
        if self._fleet is not None and self._fleet.owns(result.key):
            # Also without the lease: the board counts its open calls.
            calls = self._fleet.handle(result, now_ms)
            may_call = self._may_answer(now_ms)
            return [*calls, *self._work_on_fleet(now_ms)] if may_call else []
        if not self._may_answer(now_ms):
            return []
        if result.key == PLATFORM_KEY:
            return self._on_platform_list(result, now_ms)
        return self._carry_out(self._orders.handle(result, now_ms), now_ms)

    # Replicated log

    def _advance(self, step: Callable, *arguments: Any, now_ms: int) -> list[Any]:
        """Let the log take a step and carry out what concerns the state."""
        try:
            return self._digest(step(*arguments, now_ms), now_ms)
        except Exception as error:
            raise NodeError(f"{type(error).__name__}: {error}") from error

    def _digest(self, raw: list[Any], now_ms: int) -> list[Any]:
        """Apply what was committed and pass the other effects on."""
        effects = []
        for effect in raw:
            if isinstance(effect, Committed):
                effects += self._apply(effect, now_ms)
            elif isinstance(effect, InstallState):
                self._machine.restore(effect.data)
            else:
                effects.append(effect)
        return effects + self._follow_role(now_ms) + self._publish(now_ms)

    def _apply(self, committed: Committed, now_ms: int) -> list[Any]:
        reply = self._machine.apply(committed.index, committed.data)
        if not self.is_active:
            return []
        entry = decode_entry(committed.data)
        if isinstance(entry, CommandEntry):
            if reply is None:
                return []
            notices = describe_change(entry.request.command, reply)
            return [*self._desk.answer(reply), *notices]
        if isinstance(entry, HeartbeatEntry):
            return self._acknowledge_all(entry, now_ms)
        if isinstance(entry, ExpireEntry):
            for item in entry.instances:
                self._leases.end(item.instance, item.boot)
        elif isinstance(entry, OrderEntry):
            self._orders.entry_applied(entry)
        return []

    def _follow_role(self, now_ms: int) -> list[Any]:
        """Take up or lay down the duties of the leader."""
        leads = self._raft.is_leader
        if self.is_active and (not leads or self._raft.term != self._active_term):
            return self._deactivate()
        if leads and not self.is_active and self._raft.has_lease(now_ms):
            return self._activate(now_ms)
        return []

    def _activate(self, now_ms: int) -> list[Any]:
        """Continue the group time and count all leases from now.

        With the lease, an entry of this term is committed, so all earlier entries
        are applied and the group time of the state is the latest that was used.
        """
        self._active_term = self._raft.term
        self._group_origin_ms = self._machine.now_ms - now_ms
        self._published_version = self._machine.feed_version
        self._batch.clear()
        self._leases.restart(now_ms)
        self._orders.reset(self._raft.term, now_ms)
        self._platform.reset()
        if self._fleet is not None:
            self._fleet.reset(self._raft.term, now_ms)
        self._propose(
            LeaderEntry(*self._times(now_ms), self._settings.instance), now_ms
        )
        return [Notice(LEADER_ACTIVE, {"term": self._raft.term})]

    def _deactivate(self) -> list[Any]:
        self._active_term = None
        self._batch.clear()
        leader = self._raft.leader
        return [*self._desk.redirect_all(leader), Notice(LEADER_INACTIVE, {})]

    def _propose(self, entry: Entry, now_ms: int) -> bool:
        self._proposed = True
        return self._raft.propose(encode_entry(entry), now_ms).is_ok()

    def _times(self, now_ms: int) -> tuple[int, int]:
        """Return group time and wall clock for an entry."""
        return now_ms + self._group_origin_ms, self._wall_clock_ms()

    def _may_answer(self, now_ms: int) -> bool:
        """Whether this member is the leader and no other one can be."""
        return self.is_active and not self._stopping and self._raft.has_lease(now_ms)

    def _takeover_delay_ms(self) -> int:
        drift = 1 + self._settings.clock_drift
        return int(self._settings.leader_lease_ms * drift) + HTTP_TIMEOUT_MS

    @property
    def _snapshot_is_due(self) -> bool:
        """Whether the log asks for a snapshot and the state has changed."""
        has_changed = self._machine.applied_index > self._snapshot_index
        return has_changed and self._raft.wants_snapshot

    def _take_snapshot(self, now_ms: int) -> list[Any]:
        if not self._snapshot_is_due:
            return []
        index = self._machine.applied_index
        self._snapshot_index = index
        data = self._machine.snapshot()
        return self._advance(self._raft.compact, index, data, now_ms=now_ms)

    # Requests

    def _on_request(
        self, sender: str, request: ControlRequest, now_ms: int
    ) -> list[Any]:
        if not self._may_answer(now_ms):
            return [Send(sender, NotLeader(request.request_id, self._known_leader()))]
        answers = self._desk.accept(sender, request, now_ms)
        self._proposed |= isinstance(request.command, ReplaceMember)
        if answers is not None:
            return answers
        entry = CommandEntry(*self._times(now_ms), request)
        if not self._propose(entry, now_ms):
            return self._desk.redirect(request.request_id, self._raft.leader)
        return []

    def _known_leader(self) -> str:
        leader = self._raft.leader
        return "" if leader == self._settings.instance else leader

    def _submit_internally(
        self, command: ObserveTargets | ConfirmOrder, now_ms: int
    ) -> bool:
        """Propose a command of this process itself; return whether it is in the log."""
        self._internal_requests += 1
        name = self._settings.instance
        request_id = f"{name}/{self._raft.term}/{self._internal_requests}"
        request = ControlRequest(request_id, name, self._raft.term, command)
        return self._propose(CommandEntry(*self._times(now_ms), request), now_ms)

    # Heartbeats and feed

    def _on_heartbeat(
        self, sender: str, heartbeat: Heartbeat, now_ms: int
    ) -> list[Any]:
        if not self._may_answer(now_ms):
            return [Send(sender, NotLeader("", self._known_leader()))]
        instances = self._machine.instances
        if instances.is_superseded(heartbeat.instance, heartbeat.boot):
            return []
        lease = self._leases.observe(sender, heartbeat, now_ms)
        if lease is None:
            return []
        refresh = self._publisher.refresh(lease, now_ms)
        refresh += self._repeat_fleet(heartbeat, sender, now_ms)
        if not self._machine.needs_entry(heartbeat):
            return [*refresh, self._acknowledge(heartbeat, lease)]
        return [*refresh, *self._queue(heartbeat, now_ms)]

    def _queue(self, heartbeat: Heartbeat, now_ms: int) -> list[Any]:
        if len(self._batch) >= MAX_QUEUED_HEARTBEATS:
            return []
        first = not self._batch
        self._batch[heartbeat.instance] = heartbeat
        return [SetTimer(BATCH_TIMER, now_ms + BATCH_DELAY_MS)] if first else []

    def _propose_batch(self, now_ms: int) -> None:
        heartbeats = list(self._batch.values())
        self._batch.clear()
        if not self.is_active:
            return
        for start in range(0, len(heartbeats), MAX_BATCH_HEARTBEATS):
            part = heartbeats[start : start + MAX_BATCH_HEARTBEATS]
            self._propose(HeartbeatEntry(*self._times(now_ms), part), now_ms)

    def _acknowledge_all(self, entry: HeartbeatEntry, now_ms: int) -> list[Any]:
        if not self._may_answer(now_ms):
            return []
        acks = []
        for heartbeat in entry.heartbeats:
            lease = self._leases.find(heartbeat.instance, heartbeat.boot)
            if lease is None or lease.expiring or not lease.sender:
                continue
            if self._machine.instances.find(heartbeat.instance, heartbeat.boot):
                acks.append(self._acknowledge(heartbeat, lease))
        return acks

    def _acknowledge(self, heartbeat: Heartbeat, lease: EntryLease) -> Send:
        ack = HeartbeatAck(
            heartbeat.sequence,
            heartbeat.sent_ms,
            self._raft.term,
            self._settings.entry_lease_ms,
            self._machine.feed_version,
            heartbeat.boot,
            self._machine.grants(heartbeat.instance, heartbeat.boot),
        )
        return Send(lease.sender, ack)

    def _publish(self, now_ms: int) -> list[Any]:
        version = self._machine.feed_version
        if version == self._published_version or not self._may_answer(now_ms):
            return []
        self._published_version = version
        return self._publisher.push(self._leases.all, now_ms)

    # Duties of the leader

    def _do_duties(self, now_ms: int) -> list[Any]:
        effects = self._follow_role(now_ms)
        if not self._may_answer(now_ms):
            return effects
        effects += self._publish(now_ms)
        effects += self._expire(now_ms)
        effects += self._platform.poll(now_ms)
        effects += self._carry_out(self._orders.poll(now_ms), now_ms)
        effects += self._work_on_fleet(now_ms)
        effects += self._push_load(now_ms)
        return effects + self._desk.poll()

    def _work_on_fleet(self, now_ms: int) -> list[Any]:
        if self._fleet is None or not self._may_answer(now_ms):
            return []
        effects: list[Any] = [
            *self._fleet.poll(
                self._machine.weights.versions,
                self._machine.routing.configuration,
                now_ms,
            ),
            *self._push_fleet(now_ms),
        ]
        next_ms = self._fleet.next_ms()
        if next_ms is not None:
            effects.append(SetTimer(FLEET_TIMER, max(next_ms, now_ms + 1)))
        return effects

    def _push_fleet(self, now_ms: int) -> list[Any]:
        change = self._fleet.pop_change(self._control_names(), now_ms)
        if change is None:
            return []
        receivers = [lease.sender for lease in self._leases.all if lease.sender]
        return [Send(receiver, change) for receiver in receivers]

    def _push_load(self, now_ms: int) -> list[Any]:
        if self._fleet is None:
            return []
        receivers = {
            row.instance: lease.sender
            for row in self._machine.instances.rows
            if (lease := self._leases.find(row.instance, row.boot)) and lease.sender
        }
        return self._fleet.push_load(receivers, now_ms)

    def _control_names(self) -> list[str]:
        return sorted({member.name for member in self._raft.members})

    def _repeat_fleet(
        self, heartbeat: Heartbeat, sender: str, now_ms: int
    ) -> list[Any]:
        """Send the view to a process that lacks it."""
        known = (heartbeat.fleet_term, heartbeat.fleet_sequence)
        if self._fleet is None or not self._fleet.needs_view(*known, now_ms):
            return []
        return [Send(sender, self._fleet.view(self._control_names()))]

    def _expire(self, now_ms: int) -> list[Any]:
        expired = self._leases.take_expired(self._machine, now_ms)
        if not expired:
            return []
        self._propose(ExpireEntry(*self._times(now_ms), expired), now_ms)
        names = [item.instance for item in expired]
        return [Notice(INSTANCES_EXPIRED, {"instances": names})]

    def _on_platform_list(self, result: HttpResult, now_ms: int) -> list[Any]:
        outcome = self._platform.handle(result)
        if isinstance(outcome, str):
            return [Notice(PLATFORM_LIST_FAILED, {"error": outcome})]
        if outcome is not None:
            self._submit_internally(outcome, now_ms)
        return []

    def _carry_out(self, decisions: list[Any], now_ms: int) -> list[Any]:
        effects: list[Any] = []
        for decision in decisions:
            if isinstance(decision, HttpCall):
                effects.append(decision)
            elif isinstance(decision, ConfirmOrder):
                if not self._submit_internally(decision, now_ms):
                    self._orders.proposal_rejected(decision.order_id)
                fields = {"order_id": decision.order_id, "observed": decision.observed}
                effects.append(Notice(ORDER_CONFIRMED, fields))
            else:
                effects.append(self._propose_order(decision, now_ms))
        return effects

    def _propose_order(self, decision: ProposeOrder, now_ms: int) -> Notice:
        times = self._times(now_ms)
        entry = OrderEntry(*times, decision.order_id, decision.issue, decision.observed)
        if not self._propose(entry, now_ms):
            self._orders.proposal_rejected(decision.order_id)
        fields = {"order_id": decision.order_id, "observed": decision.observed}
        if not decision.issue:
            return Notice(ORDER_RELEASED, fields | {"reason": decision.reason})
        event = ORDER_OVERWRITTEN if decision.reason else ORDER_ISSUED
        return Notice(event, fields)
