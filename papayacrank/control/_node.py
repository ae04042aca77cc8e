"""State machine of a control process, without I/O."""

import traceback
from collections.abc import Callable
from typing import Any

from expression import Error, Result
from msgspec.structs import replace

from papayacrank.config import ControlSettings
from papayacrank.consensus import (
    CONSENSUS_MESSAGES,
    ENTRY_TOO_LARGE,
    Committed,
    EmitEvent,
    InstallState,
    RaftNode,
)
from papayacrank.kernel import Failure, Send, SetTimer, Verdict, log_event
from papayacrank.messages import (
    ISOLATED,
    SERVING,
    ChangeReleases,
    ConcludeRollout,
    ConfirmOrder,
    ControlReply,
    ControlRequest,
    EntryLoad,
    FailureRecord,
    FindRelease,
    Heartbeat,
    HeartbeatAck,
    LiftVerdict,
    NotLeader,
    ObserveTargets,
    RecordStreams,
    ReplaceMember,
    StartRollout,
    StreamsBegun,
    TrialRequest,
)
from papayacrank.permits import PermitAllocator
from papayacrank.quarantine import QuarantineRegistry
from papayacrank.rollouts import ExposureLimits
from papayacrank.state import (
    WHOLE_NEEDS_FORMAT,
    CommandEntry,
    Entry,
    ExpireEntry,
    HeartbeatEntry,
    LeaderEntry,
    OrderEntry,
    StateMachine,
    decode_entry,
    encode_entry,
    find_format,
)

from ._effects import HttpCall, HttpResult
from ._events import (
    ENTRY_FORMAT_NOT_READ,
    INSTANCES_EXPIRED,
    LEADER_ACTIVE,
    LEADER_INACTIVE,
    LEADER_TASKS_FAILED,
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
from ._permit_service import PERMIT_MESSAGES, PermitService
from ._platform_list import PLATFORM_LIST_KEY, PlatformListPoller
from ._publisher import FeedPublisher
from ._quarantine_calls import QuarantineCalls
from ._quarantine_service import QUARANTINE_MESSAGES, QuarantineService
from ._release_rollouts import ReleaseRollouts
from ._releases import ReleaseMonitor
from ._requests import RequestHandler, build_change_notices

RAFT_TIMER_PREFIX = "raft."
LEADER_TASKS_TIMER = "control.leader-tasks"
BATCH_TIMER = "control.batch"
FLEET_TIMER = "control.fleet"
FEED_TIMER = "control.feed"
LEADER_TASKS_INTERVAL_MS = 100
# The state of a new leader is built anew, so that its tasks may succeed.
MAX_FAILED_TASK_RUNS = 10
# Heartbeats that change the state are batched for this time, so that the log grows by
# at most 50 entries/s regardless of the number of entry processes.
BATCH_DELAY_MS = 20
MAX_HEARTBEATS_PER_ENTRY = 50
# Shortest interval between two rounds of feed messages to waiting entry processes.
FEED_INTERVAL_MS = 5
MAX_QUEUED_HEARTBEATS = 2_000
# A new leader continues the group time from the last entry.
TIME_ENTRY_INTERVAL_MS = 1_000
# Commands that change what the view shows to entry processes.
VIEW_COMMANDS = (ChangeReleases, StartRollout, ConcludeRollout)
# Shortest interval between two records of the formats of the members.
FORMATS_INTERVAL_MS = 500
# Code of the failure if not all members read an entry.
FORMAT_NOT_READ = "format_not_read"
# Members state their format with each heartbeat, learners with every fifth.
FORMAT_RETRY_AFTER_MS = 500


class NodeError(Exception):
    """The log or the state machine failed on an input; the process must stop.

    The effects of the failed step are lost, so continuing could acknowledge entries
    that were never written.
    """


class ControlNode:
    """Member of the control group: replicated log, state and tasks of the leader.

    All methods return effects: those of `papayacrank.kernel`, `Persist` and `EmitEvent`
    of the consensus subpackage, and `HttpCall`. After a round of inputs, `flush`
    replicates the proposed entries as one batch.

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
        Controller of the targets on the platform's list.
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
        permits = fleet.permits if fleet is not None else PermitAllocator()
        self._permits = PermitService(permits)
        self._quarantine = QuarantineService(QuarantineRegistry())
        self._releases = ReleaseMonitor(machine.releases)
        self._release_rollouts = ReleaseRollouts(
            machine.rollouts,
            ExposureLimits(
                settings.release_exposure,
                settings.release_exposure_slack,
                settings.rollback_ms,
            ),
        )
        if fleet is not None:
            fleet.set_releases(self._releases)
            fleet.set_release_rollouts(self._release_rollouts)
        self._leases = EntryLeases(settings.entry_lease_ms, settings.clock_drift)
        self._publisher = FeedPublisher(machine, settings.feed_bytes_per_s)
        self._requests = RequestHandler(
            raft,
            machine,
            settings.instance,
            QuarantineCalls(self._quarantine.registry),
        )
        self._orders = OrderRunner(machine, self._takeover_delay_ms())
        self._platform_list = PlatformListPoller(
            settings.platform_list_url, settings.platform_poll_interval_ms, machine
        )
        self._active_term: int | None = None
        self._group_time_offset_ms = 0
        self._last_time_entry_ms = 0
        self._published_version = 0
        self._internal_request_count = 0
        self._queued_heartbeats: dict[str, Heartbeat] = {}
        self._snapshot_index = 0
        self._formats_proposed_ms = 0
        self._has_proposals = False
        self._failed_task_runs = 0
        self._stopping = False

    @property
    def is_active(self) -> bool:
        """Whether this member leads and has applied all earlier entries."""
        return self._active_term is not None

    @property
    def needs_flush(self) -> bool:
        """Whether there are proposals to replicate or a snapshot is due."""
        return self._has_proposals or self._snapshot_is_due

    @property
    def raft(self) -> RaftNode:
        """Replicated log."""
        return self._raft

    @property
    def machine(self) -> StateMachine:
        """Replicated state."""
        return self._machine

    def start(self, now_ms: int) -> list[Any]:
        """Start the member; must be called once."""
        effects = self._advance(self._raft.start, now_ms=now_ms)
        return [
            *effects,
            SetTimer(LEADER_TASKS_TIMER, now_ms + LEADER_TASKS_INTERVAL_MS),
        ]

    def stop(self) -> None:
        """Stop serving requests, before a planned stop of the process."""
        self._stopping = True

    def transfer_leadership(self, now_ms: int) -> list[Any]:
        """Transfer leadership to another voter, if the log supports it."""
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
        if isinstance(message, PERMIT_MESSAGES):
            return self._on_permit_message(sender, message, now_ms)
        if isinstance(message, QUARANTINE_MESSAGES):
            return self._on_quarantine_message(sender, message, now_ms)
        if isinstance(message, FindRelease) and self._may_serve(now_ms):
            return self._releases.receive(sender, message)
        if isinstance(message, StreamsBegun) and self.is_active:
            # Sent once a term, so it counts without the lease too.
            return self._releases.receive(sender, message)
        if isinstance(message, EntryLoad) and self.is_active and self._fleet:
            self._fleet.observe_load(message, now_ms)
            self._release_rollouts.observe_load(message, now_ms)
        return []

    def tick(self, timer_name: str, now_ms: int) -> list[Any]:
        """Handle a timer."""
        if timer_name.startswith(RAFT_TIMER_PREFIX):
            return self._advance(self._raft.tick, timer_name, now_ms=now_ms)
        if timer_name == BATCH_TIMER:
            self._propose_batch(now_ms)
            return []
        if timer_name == FLEET_TIMER:
            return self._poll_fleet(now_ms)
        if timer_name == FEED_TIMER:
            return self._poll_feed(now_ms)
        if timer_name == LEADER_TASKS_TIMER:
            next_timer = SetTimer(LEADER_TASKS_TIMER, now_ms + LEADER_TASKS_INTERVAL_MS)
            return [next_timer, *self._try_leader_tasks(now_ms)]
        return []

    def persisted(self, token: int, now_ms: int) -> list[Any]:
        """Handle the completion of a `Persist` effect."""
        return self._advance(self._raft.persisted, token, now_ms=now_ms)

    def add_peers(self, names: tuple[str, ...], now_ms: int) -> list[Any]:
        """Query further processes for the control group."""
        return self._advance(self._raft.add_peers, names, now_ms=now_ms)

    def flush(self, now_ms: int) -> list[Any]:
        """Replicate the proposed entries, and take a snapshot if one is due."""
        self._has_proposals = False
        effects = self._advance(self._raft.flush, now_ms=now_ms)
        return effects + self._take_snapshot(now_ms)

    def http_finished(self, result: HttpResult, now_ms: int) -> list[Any]:
        """Handle the result of an `HttpCall`.

        The result ends its call without the lease too; only what follows from it waits
        until this member may act again.
        """
        if self._fleet is not None and self._fleet.owns(result.key):
            self._fleet.handle(result, now_ms)
            if not self._may_serve(now_ms):
                return []
            return [*self._push_rates(now_ms), *self._poll_fleet(now_ms)]
        if result.key == PLATFORM_LIST_KEY:
            return self._on_platform_list(result, now_ms)
        decisions = self._orders.handle(result, now_ms)
        if self._may_serve(now_ms):
            return self._execute_decisions(decisions, now_ms)
        for decision in decisions:
            self._orders.proposal_rejected(decision.order_id)
        return []

    # Replicated log

    def _advance(self, step: Callable, *arguments: Any, now_ms: int) -> list[Any]:
        """Run a step of the log and process its effects.

        Raises
        ------
        NodeError
            If the log or the state machine raises any error.
        """
        try:
            return self._process_effects(step(*arguments, now_ms), now_ms)
        except Exception as error:
            raise NodeError(f"{type(error).__name__}: {error}") from error

    def _process_effects(self, raft_effects: list[Any], now_ms: int) -> list[Any]:
        """Apply committed entries and return the remaining effects."""
        effects = []
        for effect in raft_effects:
            if isinstance(effect, Committed):
                effects += self._apply(effect, now_ms)
            elif isinstance(effect, InstallState):
                self._machine.restore(effect.data)
            else:
                effects.append(effect)
        return effects + self._update_role(now_ms) + self._publish_feed(now_ms)

    def _apply(self, committed: Committed, now_ms: int) -> list[Any]:
        reply = self._machine.apply(committed.index, committed.data)
        if not self.is_active:
            return []
        entry = decode_entry(committed.data)
        if isinstance(entry, CommandEntry):
            if reply is None:
                return []
            notices = build_change_notices(entry.request.command, reply)
            if isinstance(entry.request.command, VIEW_COMMANDS):
                notices += self._poll_fleet(now_ms)
            return [*self._requests.complete(reply), *notices]
        if isinstance(entry, HeartbeatEntry):
            return self._acknowledge_all(entry, now_ms)
        if isinstance(entry, ExpireEntry):
            for instance_ref in entry.instances:
                self._leases.expire(instance_ref.instance, instance_ref.boot)
        elif isinstance(entry, OrderEntry):
            self._orders.entry_applied(entry)
        return []

    def _update_role(self, now_ms: int) -> list[Any]:
        """Activate or deactivate the leader role, as the log requires."""
        is_leader = self._raft.is_leader
        if self.is_active and (not is_leader or self._raft.term != self._active_term):
            return self._deactivate()
        if is_leader and not self.is_active and self._raft.has_lease(now_ms):
            return self._activate(now_ms)
        return []

    def _activate(self, now_ms: int) -> list[Any]:
        """Continue the group time and restart all leases.

        Holding the leader lease implies that an entry of this term is committed, so all
        earlier entries are applied and the state has the latest group time.
        """
        self._active_term = self._raft.term
        if self._machine.used_format:
            self._raft.require_format(self._machine.used_format)
        self._raft.learn_formats(self._machine.member_formats)
        self._formats_proposed_ms = now_ms - FORMATS_INTERVAL_MS
        self._group_time_offset_ms = self._machine.now_ms - now_ms
        self._published_version = self._machine.feed_version
        self._queued_heartbeats.clear()
        self._leases.reset(now_ms)
        self._publisher.reset()
        self._orders.reset(self._raft.term, now_ms)
        self._platform_list.reset()
        self._permits.reset(self._raft.term)
        self._quarantine.reset(self._raft.term)
        self._release_rollouts.reset(self._raft.term)
        if self._fleet is not None:
            self._fleet.reset(self._raft.term, now_ms)
        self._propose(
            LeaderEntry(*self._entry_times(now_ms), self._settings.instance), now_ms
        )
        return [EmitEvent(LEADER_ACTIVE, {"term": self._raft.term})]

    def _deactivate(self) -> list[Any]:
        self._active_term = None
        self._queued_heartbeats.clear()
        leader = self._raft.leader
        return [*self._requests.redirect_all(leader), EmitEvent(LEADER_INACTIVE, {})]

    def _propose(self, entry: Entry, now_ms: int) -> Result[int, Failure]:
        failure = self._check_format(find_format(entry), now_ms)
        if failure is not None:
            return Error(failure)
        self._has_proposals = True
        return self._raft.propose(encode_entry(entry), now_ms)

    def _check_format(self, entry_format: int, now_ms: int) -> Failure | None:
        """Return a failure if a member may be unable to read an entry.

        A format that the log has used is needed by all members already.
        """
        if entry_format <= self._machine.used_format:
            return None
        names = self._raft.list_not_reading(entry_format, now_ms)
        if names:
            log_event(ENTRY_FORMAT_NOT_READ, format=entry_format, members=names)
            return Failure(
                FORMAT_NOT_READ,
                Verdict.MAY_HAVE_RUN,
                f"not all members run a build that reads it: {', '.join(names)}",
                503,
                FORMAT_RETRY_AFTER_MS,
            )
        # A process of an older build must not join between proposal and commit.
        self._raft.require_format(entry_format)
        return None

    def _record_formats(self, now_ms: int) -> None:
        """Record what members have stated, for leaders that cannot ask a lost one."""
        stated = self._raft.stated_formats
        is_due = now_ms - self._formats_proposed_ms >= FORMATS_INTERVAL_MS
        if not is_due or stated == self._machine.member_formats:
            return
        self._formats_proposed_ms = now_ms
        entry = HeartbeatEntry(*self._entry_times(now_ms), [], stated)
        self._propose(entry, now_ms)

    def _entry_times(self, now_ms: int) -> tuple[int, int]:
        """Return the group time and the wall clock for an entry, in ms."""
        return now_ms + self._group_time_offset_ms, self._wall_clock_ms()

    def _may_serve(self, now_ms: int) -> bool:
        """Return whether this member serves as leader and no other one can lead."""
        return self.is_active and not self._stopping and self._raft.has_lease(now_ms)

    def _takeover_delay_ms(self) -> int:
        """Return the time after an election until calls of the previous leader end."""
        drift = 1 + self._settings.clock_drift
        return int(self._settings.leader_lease_ms * drift) + HTTP_TIMEOUT_MS

    @property
    def _snapshot_is_due(self) -> bool:
        """Whether the log requests a snapshot and the state has changed."""
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
        if not self._may_serve(now_ms):
            return [Send(sender, NotLeader(request.request_id, self._other_leader()))]
        replies = self._requests.accept(sender, request, now_ms)
        self._has_proposals |= isinstance(request.command, ReplaceMember)
        if isinstance(request.command, LiftVerdict):
            return [*self._quarantine.push(self._entry_names, now_ms), *replies]
        if replies is not None:
            return replies
        entry = CommandEntry(*self._entry_times(now_ms), request)
        outcome = self._propose(entry, now_ms)
        if outcome.is_ok():
            return []
        if outcome.error.code in (ENTRY_TOO_LARGE, FORMAT_NOT_READ):
            failure = FailureRecord.from_failure(outcome.error)
            return self._requests.complete(
                ControlReply(request.request_id, failure=failure)
            )
        return self._requests.redirect(request.request_id, self._raft.leader)

    def _other_leader(self) -> str:
        leader = self._raft.leader
        return "" if leader == self._settings.instance else leader

    def _submit_internally(
        self,
        command: ObserveTargets
        | ConfirmOrder
        | ChangeReleases
        | ConcludeRollout
        | RecordStreams,
        now_ms: int,
    ) -> bool:
        """Propose a command of this process; return whether the log accepted it."""
        self._internal_request_count += 1
        name = self._settings.instance
        request_id = f"{name}/{self._raft.term}/{self._internal_request_count}"
        request = ControlRequest(request_id, name, self._raft.term, command)
        entry = CommandEntry(*self._entry_times(now_ms), request)
        return self._propose(entry, now_ms).is_ok()

    # Heartbeats and feed

    def _on_heartbeat(
        self, sender: str, heartbeat: Heartbeat, now_ms: int
    ) -> list[Any]:
        if not self._may_serve(now_ms):
            return [Send(sender, NotLeader("", self._other_leader()))]
        instances = self._machine.instances
        if instances.is_superseded(heartbeat.instance, heartbeat.boot):
            return []
        lease = self._leases.observe(sender, heartbeat, now_ms)
        if lease is None:
            return []
        missing_updates = self._publisher.resend_missing(lease, now_ms)
        missing_updates += self._schedule_feed(now_ms)
        # The limits come before the view, after which a new process sends requests.
        position = (heartbeat.rates_term, heartbeat.rates_revision)
        missing_updates += self._permits.resend(sender, *position, now_ms)
        position = (heartbeat.quarantine_term, heartbeat.quarantine_revision)
        missing_updates += self._quarantine.resend(sender, *position, now_ms)
        missing_updates += self._resend_fleet_view(heartbeat, sender, now_ms)
        if not self._machine.needs_entry(heartbeat):
            return [*missing_updates, self._acknowledge(heartbeat, lease)]
        return [*missing_updates, *self._queue_heartbeat(heartbeat, now_ms)]

    def _queue_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> list[Any]:
        if len(self._queued_heartbeats) >= MAX_QUEUED_HEARTBEATS:
            return []
        is_first = not self._queued_heartbeats
        self._queued_heartbeats[heartbeat.instance] = heartbeat
        return [SetTimer(BATCH_TIMER, now_ms + BATCH_DELAY_MS)] if is_first else []

    def _propose_batch(self, now_ms: int) -> None:
        heartbeats = list(self._queued_heartbeats.values())
        self._queued_heartbeats.clear()
        if not self.is_active:
            return
        if self._raft.list_not_reading(WHOLE_NEEDS_FORMAT, now_ms):
            heartbeats = [_without_next_tokens(item) for item in heartbeats]
        for start in range(0, len(heartbeats), MAX_HEARTBEATS_PER_ENTRY):
            chunk = heartbeats[start : start + MAX_HEARTBEATS_PER_ENTRY]
            self._propose(HeartbeatEntry(*self._entry_times(now_ms), chunk), now_ms)

    def _acknowledge_all(self, entry: HeartbeatEntry, now_ms: int) -> list[Any]:
        if not self._may_serve(now_ms):
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

    def _publish_feed(self, now_ms: int) -> list[Any]:
        version = self._machine.feed_version
        if version == self._published_version or not self._may_serve(now_ms):
            return []
        self._published_version = version
        sends = self._publisher.push(self._leases.all, now_ms)
        return [*sends, *self._schedule_feed(now_ms)]

    def _poll_feed(self, now_ms: int) -> list[Any]:
        if not self._may_serve(now_ms):
            return []
        return [*self._publisher.poll(now_ms), *self._schedule_feed(now_ms)]

    def _schedule_feed(self, now_ms: int) -> list[Any]:
        """Set the timer for the processes that the publisher could not serve yet."""
        next_ms = self._publisher.next_ms(now_ms)
        if next_ms is None:
            return []
        return [SetTimer(FEED_TIMER, max(next_ms, now_ms + FEED_INTERVAL_MS))]

    def _on_permit_message(self, sender: str, message, now_ms: int) -> list[Any]:
        if not self._may_serve(now_ms):
            return [Send(sender, NotLeader("", self._other_leader()))]
        replies = self._permits.receive(sender, message, now_ms)
        return [*replies, *self._push_rates(now_ms)]

    def _on_quarantine_message(self, sender: str, message, now_ms: int) -> list[Any]:
        if not self._may_serve(now_ms):
            if self.is_active and not isinstance(message, TrialRequest):
                # Evidence is sent once a term, so it counts without the lease too.
                self._quarantine.receive(sender, message, now_ms)
            return [Send(sender, NotLeader("", self._other_leader()))]
        replies = self._quarantine.receive(sender, message, now_ms)
        return [*self._quarantine.push(self._entry_names, now_ms), *replies]

    def _push_rates(self, now_ms: int) -> list[Any]:
        return self._permits.push(self._entry_names, now_ms)

    def _entry_names(self) -> list[str]:
        return [lease.sender for lease in self._leases.all if lease.sender]

    # Periodic tasks of the leader

    def _try_leader_tasks(self, now_ms: int) -> list[Any]:
        """Run the tasks; an exception must not end the timer that runs them again."""
        try:
            effects = self._run_leader_tasks(now_ms)
        except NodeError:
            raise
        except Exception:
            self._failed_task_runs += 1
            event = EmitEvent(
                LEADER_TASKS_FAILED,
                {"runs": self._failed_task_runs, "traceback": traceback.format_exc()},
            )
            if self._failed_task_runs < MAX_FAILED_TASK_RUNS:
                return [event]
            self._failed_task_runs = 0
            return [event, *self._advance(self._raft.resign, now_ms=now_ms)]
        self._failed_task_runs = 0
        return effects

    def _run_leader_tasks(self, now_ms: int) -> list[Any]:
        effects = self._update_role(now_ms)
        if not self._may_serve(now_ms):
            return effects
        if self._should_resign():
            return effects + self._advance(self._raft.resign, now_ms=now_ms)
        self._record_formats(now_ms)
        effects += self._publish_feed(now_ms)
        effects += self._expire_leases(now_ms)
        effects += self._platform_list.poll(now_ms)
        effects += self._execute_decisions(self._orders.poll(now_ms), now_ms)
        effects += self._poll_fleet(now_ms)
        effects += self._push_load(now_ms)
        effects += self._push_rates(now_ms)
        self._quarantine.tick(now_ms)
        effects += self._quarantine.push(self._entry_names, now_ms)
        return effects + self._requests.poll()

    def _should_resign(self) -> bool:
        """Whether this machine has lost its path to the targets and others have not.

        Orders to targets and checks of stores by this leader would fail.
        """
        if self._fleet is None:
            return False
        status_by_host = {
            row.address.rpartition(":")[0]: row.status
            for row in self._machine.instances.rows
        }
        if status_by_host.get(self._settings.instance) != ISOLATED:
            return False
        return any(
            member.voter and status_by_host.get(member.name) == SERVING
            for member in self._raft.members
        )

    def _poll_fleet(self, now_ms: int) -> list[Any]:
        if self._fleet is None or not self._may_serve(now_ms):
            return []
        configuration = self._machine.routing.configuration
        self._keep_group_time(now_ms)
        verdicts = self._release_rollouts.poll(
            self._fleet.targets,
            [row.instance for row in self._machine.instances.rows],
            now_ms,
            self._entry_times(now_ms)[0],
        )
        for command in [*self._releases.poll(configuration, now_ms), *verdicts]:
            is_accepted = self._submit_internally(command, now_ms)
            if isinstance(command, RecordStreams) and not is_accepted:
                self._releases.return_streams(command)
        effects: list[Any] = [
            *self._fleet.poll(self._machine.weights.versions, configuration, now_ms),
            *self._push_fleet(now_ms),
        ]
        next_ms = self._fleet.next_ms()
        if next_ms is not None:
            effects.append(SetTimer(FLEET_TIMER, max(next_ms, now_ms + 1)))
        return effects

    def _keep_group_time(self, now_ms: int) -> None:
        """Write the time to the log while the deadline of a rollout depends on it."""
        is_due = now_ms >= self._last_time_entry_ms + TIME_ENTRY_INTERVAL_MS
        if is_due and self._machine.rollouts.running:
            self._last_time_entry_ms = now_ms
            self._propose(HeartbeatEntry(*self._entry_times(now_ms), []), now_ms)

    def _push_fleet(self, now_ms: int) -> list[Any]:
        change = self._fleet.pop_change(self._member_names(), now_ms)
        if change is None:
            return []
        return [Send(receiver, change) for receiver in self._entry_names()]

    def _push_load(self, now_ms: int) -> list[Any]:
        if self._fleet is None:
            return []
        receivers = {
            row.instance: lease.sender
            for row in self._machine.instances.rows
            if (lease := self._leases.find(row.instance, row.boot)) and lease.sender
        }
        return self._fleet.push_load(receivers, now_ms)

    def _member_names(self) -> list[str]:
        return sorted({member.name for member in self._raft.members})

    def _resend_fleet_view(
        self, heartbeat: Heartbeat, sender: str, now_ms: int
    ) -> list[Any]:
        """Send the view to a process whose heartbeat shows that it lacks it."""
        position = (heartbeat.fleet_term, heartbeat.fleet_sequence)
        if self._fleet is None or not self._fleet.needs_view(*position, now_ms):
            return []
        return [Send(sender, self._fleet.view(self._member_names()))]

    def _expire_leases(self, now_ms: int) -> list[Any]:
        expired = self._leases.collect_expired(self._machine, now_ms)
        if not expired:
            return []
        entry = ExpireEntry(*self._entry_times(now_ms), expired)
        if self._propose(entry, now_ms).is_error():
            for instance_ref in expired:
                self._leases.cancel_expiry(instance_ref.instance, instance_ref.boot)
            return []
        names = [instance_ref.instance for instance_ref in expired]
        return [EmitEvent(INSTANCES_EXPIRED, {"instances": names})]

    def _on_platform_list(self, result: HttpResult, now_ms: int) -> list[Any]:
        outcome = self._platform_list.handle(result)
        if isinstance(outcome, str):
            return [EmitEvent(PLATFORM_LIST_FAILED, {"error": outcome})]
        if outcome is not None and self._may_serve(now_ms):
            self._submit_internally(outcome, now_ms)
        return []

    def _execute_decisions(self, decisions: list[Any], now_ms: int) -> list[Any]:
        effects: list[Any] = []
        for decision in decisions:
            if isinstance(decision, HttpCall):
                effects.append(decision)
            elif isinstance(decision, ConfirmOrder):
                if not self._submit_internally(decision, now_ms):
                    self._orders.proposal_rejected(decision.order_id)
                fields = {"order_id": decision.order_id, "observed": decision.observed}
                effects.append(EmitEvent(ORDER_CONFIRMED, fields))
            else:
                effects.append(self._propose_order(decision, now_ms))
        return effects

    def _propose_order(self, decision: ProposeOrder, now_ms: int) -> EmitEvent:
        times = self._entry_times(now_ms)
        entry = OrderEntry(*times, decision.order_id, decision.issue, decision.observed)
        if self._propose(entry, now_ms).is_error():
            self._orders.proposal_rejected(decision.order_id)
        fields = {"order_id": decision.order_id, "observed": decision.observed}
        if not decision.issue:
            return EmitEvent(ORDER_RELEASED, fields | {"reason": decision.reason})
        event = ORDER_OVERWRITTEN if decision.reason else ORDER_ISSUED
        return EmitEvent(event, fields)


def _without_next_tokens(heartbeat: Heartbeat) -> Heartbeat:
    """Return a heartbeat whose needs the ledgers of all builds grant alike."""
    shares = [replace(report, next_tokens=0) for report in heartbeat.shares]
    return replace(heartbeat, shares=shares)
