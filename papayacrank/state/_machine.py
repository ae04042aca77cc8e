"""Deterministic replicated state machine of the control group."""

import json
from collections.abc import Mapping

import msgspec

from papayacrank.admission import BudgetLedger, WorkspaceBudget
from papayacrank.config import parse_configuration
from papayacrank.kernel import Verdict
from papayacrank.messages import (
    AbandonAction,
    ActionRecord,
    BeginAction,
    ChangeReleases,
    ConcludeRollout,
    ConfigurationFiled,
    ConfirmOrder,
    ControlReply,
    ControlRequest,
    Done,
    EntryAddress,
    FailureRecord,
    FeedSnapshot,
    FeedUpdate,
    FileConfiguration,
    FileRouting,
    FinishAction,
    GrantKey,
    Heartbeat,
    InstanceChange,
    KeyChange,
    KeyChanged,
    NameWeights,
    ObserveTargets,
    PlaceOrder,
    RecordStreams,
    ReportUsage,
    RoutingFiled,
    SetInstanceState,
    ShareGrant,
    StartRollout,
    StateView,
    TargetsChange,
    WithdrawKey,
)

from ._actions import ActionsDump, ActionTable
from ._base import Table, refuse
from ._configuration import ConfigurationDump, ConfigurationTable
from ._entries import (
    ENTRY_FORMAT,
    FORMAT_BY_TYPE,
    CommandEntry,
    ExpireEntry,
    HeartbeatEntry,
    LeaderEntry,
    OrderEntry,
    decode_entry,
    find_format,
)
from ._feed import FeedDump, FeedHistory
from ._instances import InstancesDump, InstanceTable
from ._keys import KeysDump, KeyTable
from ._orders import OrdersDump, OrderTable
from ._outcomes import OutcomesDump, RequestOutcomes
from ._releases import ReleasesDump, ReleaseTable
from ._rollouts import RolloutsDump, RolloutTable
from ._routing import RoutingDump, RoutingTable, WeightsDump, WeightsTable
from ._targets import TargetsDump, TargetTable
from ._usage import UsageDump, UsageTable
from ._views import read_view

# Number in snapshots of format 0. Builds before the formats read only this number.
SNAPSHOT_FORMAT = 1
# Messages between processes are limited to 8 MiB.
MAX_VIEW_BYTES = 7 * 1024 * 1024
_OPERATOR_COMMANDS = (
    FileConfiguration,
    FileRouting,
    NameWeights,
    GrantKey,
    WithdrawKey,
    SetInstanceState,
    PlaceOrder,
    StartRollout,
    ConcludeRollout,
)


class SnapshotError(ValueError):
    """The bytes are not a valid snapshot of the state machine."""


class _Snapshot(msgspec.Struct):
    format: int
    applied_index: int
    now_ms: int
    outcomes: OutcomesDump
    configuration: ConfigurationDump
    keys: KeysDump
    actions: ActionsDump
    instances: InstancesDump
    targets: TargetsDump
    orders: OrdersDump
    usage: UsageDump
    feed: FeedDump
    ledger: bytes
    routing: RoutingDump = msgspec.field(default_factory=RoutingDump)
    weights: WeightsDump = msgspec.field(default_factory=WeightsDump)
    releases: ReleasesDump = msgspec.field(default_factory=ReleasesDump)
    rollouts: RolloutsDump = msgspec.field(default_factory=RolloutsDump)
    member_formats: dict[str, int] = {}


class StateMachine:
    """Replicated state machine that reaches the same state in every process.

    `apply` is deterministic: it neither reads a clock nor performs I/O, because each
    entry carries the time that its leader assigned. All tables are bounded.
    """

    def __init__(self):
        self._applied_index = 0
        self._now_ms = 0
        self._outcomes = RequestOutcomes()
        self._configuration = ConfigurationTable()
        self._keys = KeyTable()
        self._actions = ActionTable()
        self._instances = InstanceTable()
        self._targets = TargetTable()
        self._orders = OrderTable()
        self._usage = UsageTable()
        self._feed = FeedHistory()
        self._published_instances: dict[str, EntryAddress] = {}
        self._routing = RoutingTable()
        self._weights = WeightsTable()
        self._releases = ReleaseTable()
        self._rollouts = RolloutTable()
        self._ledger = BudgetLedger()
        self._used_format = 0
        self._member_formats: dict[str, int] = {}

    @property
    def applied_index(self) -> int:
        """Log index of the last applied entry."""
        return self._applied_index

    @property
    def used_format(self) -> int:
        """Highest format of the entries applied and the snapshot restored."""
        return self._used_format

    @property
    def member_formats(self) -> Mapping[str, int]:
        """Formats of entries that the members read, by identity, as last recorded."""
        return self._member_formats

    @property
    def now_ms(self) -> int:
        """Group time of the last applied entry, in milliseconds."""
        return self._now_ms

    @property
    def feed_version(self) -> int:
        """Version of the feed, which never decreases."""
        return self._feed.version

    @property
    def configuration(self) -> ConfigurationTable:
        """Active configuration and its history."""
        return self._configuration

    @property
    def routing(self) -> RoutingTable:
        """Routing configuration of the forwarded traffic."""
        return self._routing

    @property
    def weights(self) -> WeightsTable:
        """Named versions of weights."""
        return self._weights

    @property
    def releases(self) -> ReleaseTable:
        """Releases of targets and the streams that they began."""
        return self._releases

    @property
    def rollouts(self) -> RolloutTable:
        """Rollouts of releases."""
        return self._rollouts

    @property
    def keys(self) -> KeyTable:
        """Live and withdrawn keys."""
        return self._keys

    @property
    def actions(self) -> ActionTable:
        """Non-idempotent actions."""
        return self._actions

    @property
    def instances(self) -> InstanceTable:
        """Live entry processes."""
        return self._instances

    @property
    def targets(self) -> TargetTable:
        """List of targets that the platform publishes."""
        return self._targets

    @property
    def orders(self) -> OrderTable:
        """Orders sent to targets."""
        return self._orders

    @property
    def usage(self) -> UsageTable:
        """Usage totals of the workspaces."""
        return self._usage

    @property
    def ledger(self) -> BudgetLedger:
        """Budgets of the workspaces."""
        return self._ledger

    def apply(self, index: int, data: bytes) -> ControlReply | None:
        """Apply a committed entry.

        Parameters
        ----------
        index : int
            Log index; entries that are already applied are ignored.
        data : bytes
            Entry encoded by `encode_entry`; empty for internal entries of the log.

        Returns
        -------
        ControlReply or None
            Outcome of a command; None for other entries.

        Raises
        ------
        msgspec.DecodeError
            If the bytes are not a valid entry.
        """
        if index <= self._applied_index:
            return None
        self._applied_index = index
        if not data:
            return None
        entry = decode_entry(data)
        self._now_ms = max(self._now_ms, entry.at_ms)
        self._used_format = max(self._used_format, find_format(entry))
        if isinstance(entry, CommandEntry):
            return self._apply_request(entry.request, entry.wall_ms)
        if isinstance(entry, HeartbeatEntry):
            self._apply_heartbeats(entry.heartbeats)
            self._member_formats = entry.member_formats or self._member_formats
        elif isinstance(entry, ExpireEntry):
            self._apply_expiry(entry)
        elif isinstance(entry, LeaderEntry):
            self._ledger.reset_refill_clock(self._now_ms)
        elif isinstance(entry, OrderEntry):
            self._apply_order(entry)
        return None

    def find_outcome(self, request_id: str) -> ControlReply | None:
        """Return the first outcome of a request id, None if it is not stored."""
        return self._outcomes.find(request_id)

    def answer_rollout(self, command: StartRollout) -> Done | FailureRecord | None:
        """Return the answer to an order that needs no entry, None if it needs one.

        Repeats and refusals stay out of the log, where they would bind the members to
        the format of the command.
        """
        return self._rollouts.find_answer(command, *self._rollout_context(command))

    def grants(self, instance: str, boot: int) -> list[ShareGrant]:
        """Return the total tokens granted to a process, by workspace."""
        row = self._instances.find(instance, boot)
        if row is None:
            return []
        return self._ledger.mark_scarcity(instance, boot, row.grants, self._now_ms)

    def needs_entry(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat changes the state and needs a log entry."""
        if not self._instances.is_unchanged(heartbeat):
            return True
        return any(r.wanted_tokens > r.held_tokens for r in heartbeat.shares)

    def feed_since(self, version: int) -> FeedUpdate | FeedSnapshot:
        """Return the changes after `version`, or a snapshot if they are not stored."""
        update = self._feed.since(version)
        if update is not None and version > 0:
            return update
        return FeedSnapshot(
            self._feed.version,
            self._configuration.change(),
            [record.entry for record in self._keys.live],
            self._targets.targets,
            self._instances.addresses(),
            self._routing.change(),
            self._weights.change(),
        )

    def read(self, what: str) -> StateView | FailureRecord:
        """Return one part of the state as JSON.

        Parameters
        ----------
        what : str
            As in `papayacrank.messages.ReadState`, except ``"members"``.

        Returns
        -------
        StateView or FailureRecord
            Failure if there is no such part or its JSON exceeds `MAX_VIEW_BYTES`.
        """
        view = read_view(self, what)
        if view is None:
            return refuse("invalid_command", f"no such part of the state: {what}", 400)
        document = json.dumps(view, sort_keys=True)
        if len(document) > MAX_VIEW_BYTES:
            return refuse("view_too_large", f"{what} has {len(document)} bytes", 500)
        return StateView(what, document)

    def snapshot(self) -> bytes:
        """Return the encoded snapshot of the whole state."""
        tables = {name: table.dump() for name, table in self._tables().items()}
        ledger = msgspec.msgpack.encode(self._ledger.snapshot())
        return msgspec.msgpack.encode(
            _Snapshot(
                SNAPSHOT_FORMAT + self._find_table_format(),
                self._applied_index,
                self._now_ms,
                ledger=ledger,
                member_formats=self._member_formats,
                **tables,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Parameters
        ----------
        data : bytes
            Result of `snapshot`; empty for the initial state, which a member receives
            if its log was discarded before the first snapshot.

        Raises
        ------
        SnapshotError
            If the bytes are not a valid snapshot or have another format version.
        """
        if not data:
            data = StateMachine().snapshot()
        try:
            snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        except msgspec.DecodeError as error:
            raise SnapshotError(str(error)) from error
        newest = SNAPSHOT_FORMAT + ENTRY_FORMAT
        if not SNAPSHOT_FORMAT <= snapshot.format <= newest:
            raise SnapshotError(
                f"snapshot has format {snapshot.format}; expected {SNAPSHOT_FORMAT} to"
                f" {newest}"
            )
        self._used_format = snapshot.format - SNAPSHOT_FORMAT
        self._member_formats = snapshot.member_formats
        self._applied_index = snapshot.applied_index
        self._now_ms = snapshot.now_ms
        for name, table in self._tables().items():
            table.load(getattr(snapshot, name))
        # Each entry publishes its changes, so the feed already covers these instances.
        self._published_instances = self._addresses_by_instance()
        self._ledger.restore(msgspec.msgpack.decode(snapshot.ledger))

    def _find_table_format(self) -> int:
        """Return the format that a process must read to keep the content of all tables.

        A build that lacks a table would drop its content silently, so the number makes
        it refuse the snapshot once the table is in use.
        """
        return FORMAT_BY_TYPE[StartRollout] if len(self._rollouts) else 0

    def _tables(self) -> dict[str, Table]:
        return {
            "outcomes": self._outcomes,
            "configuration": self._configuration,
            "keys": self._keys,
            "actions": self._actions,
            "instances": self._instances,
            "targets": self._targets,
            "orders": self._orders,
            "usage": self._usage,
            "feed": self._feed,
            "routing": self._routing,
            "weights": self._weights,
            "releases": self._releases,
            "rollouts": self._rollouts,
        }

    def _apply_request(self, request: ControlRequest, wall_ms: int) -> ControlReply:
        known = self._outcomes.find(request.request_id)
        if known is not None:
            return known
        self._actions.expire(self._now_ms)
        outcome = self._execute_guarded(request, wall_ms)
        if isinstance(outcome, FailureRecord):
            reply = ControlReply(request.request_id, failure=outcome)
        else:
            reply = ControlReply(request.request_id, result=outcome)
        if self._needs_recording(request, outcome):
            by_operator = isinstance(request.command, _OPERATOR_COMMANDS)
            self._outcomes.record(reply, by_operator)
        return reply

    @staticmethod
    def _needs_recording(request: ControlRequest, outcome) -> bool:
        """Return whether to record the outcome for a resend of the request.

        Outcomes that the tables store are omitted: the response of a finished action
        is large and final, and repeated usage reports are detected by their sequence
        numbers.
        """
        if isinstance(request.command, BeginAction) and isinstance(
            outcome, ActionRecord
        ):
            return outcome.state != "finished"
        return not isinstance(
            request.command, (ReportUsage, ChangeReleases, RecordStreams)
        )

    def _execute_guarded(self, request: ControlRequest, wall_ms: int):
        """Execute a command and convert an exception to a failure.

        Otherwise a committed command whose code raises would stop every member that
        applies it. The same code fails in the same way in each member, so the states
        stay equal.
        """
        try:
            return self._execute(request, wall_ms)
        except MemoryError:
            raise
        except Exception as error:
            verdict = Verdict.MAY_HAVE_RUN.value
            message = f"{type(error).__name__}: {error}"
            return FailureRecord("internal_error", verdict, message, 500)

    def _execute(self, request: ControlRequest, wall_ms: int):
        command = request.command
        match command:
            case FileConfiguration():
                return self._replace_configuration(command, request.request_id, wall_ms)
            case FileRouting():
                return self._replace_routing(command)
            case NameWeights():
                return self._raise_weights_version(command)
            case GrantKey():
                return self._grant_key(command, wall_ms)
            case WithdrawKey():
                return self._withdraw_key(command, wall_ms)
            case BeginAction():
                return self._begin_action(command, request.request_id)
            case FinishAction():
                return self._actions.finish(command)
            case AbandonAction():
                return self._actions.abandon(command, request.request_id)
            case ReportUsage():
                return self._usage.add(command, wall_ms)
            case SetInstanceState():
                return self._set_instance_state(command)
            case ObserveTargets():
                return self._observe_targets(command)
            case PlaceOrder():
                order_id = request.request_id
                return self._orders.place(command, order_id, self._applied_index)
            case ConfirmOrder():
                return self._orders.confirm(command)
            case ChangeReleases():
                return self._releases.change(command)
            case RecordStreams():
                return self._releases.record(command, self._now_ms)
            case StartRollout():
                return self._start_rollout(command)
            case ConcludeRollout():
                return self._rollouts.conclude(command)
        return refuse("invalid_command", "the command does not change the state", 400)

    def _replace_configuration(
        self, command: FileConfiguration, request_id: str, wall_ms: int
    ) -> ConfigurationFiled | FailureRecord:
        outcome = self._configuration.replace(command, request_id, wall_ms)
        if isinstance(outcome, ConfigurationFiled):
            self._configure_ledger()
            self._feed.add(self._configuration.change())
        return outcome

    def _configure_ledger(self) -> None:
        configuration = parse_configuration(self._configuration.document)
        budgets = [
            WorkspaceBudget(item.name, item.rate_tokens_per_s, item.burst_tokens)
            for item in configuration.workspaces
        ]
        self._ledger.configure(budgets, self._now_ms)

    def _replace_routing(self, command: FileRouting) -> RoutingFiled | FailureRecord:
        before = self._routing.version
        outcome = self._routing.replace(command)
        if self._routing.version > before:
            budgets = [
                WorkspaceBudget(item.name, item.rate_per_s, item.burst + item.tolerance)
                for item in command.configuration.workspaces
                if item.rate_per_s > 0
            ]
            self._ledger.configure(budgets, self._now_ms)
            self._feed.add(self._routing.change())
        return outcome

    def _raise_weights_version(self, command: NameWeights) -> Done | FailureRecord:
        before = dict(self._weights.versions)
        outcome = self._weights.raise_version(command)
        if self._weights.versions != before:
            self._feed.add(self._weights.change())
        return outcome

    def _start_rollout(self, command: StartRollout) -> Done | FailureRecord:
        return self._rollouts.start(command, *self._rollout_context(command))

    def _rollout_context(
        self, command: StartRollout
    ) -> tuple[list[str], set[str], int]:
        """Return the releases of the service, the known services and the time."""
        releases = self._releases.possible.get(command.service, [])
        return releases, self._list_services(), self._now_ms

    def _list_services(self) -> set[str]:
        routing = self._routing.configuration
        services = {service.name for service in routing.services} if routing else set()
        if self._configuration.document:
            configuration = parse_configuration(self._configuration.document)
            services |= {service.name for service in configuration.services}
        return services

    def _grant_key(self, command: GrantKey, wall_ms: int) -> KeyChanged | FailureRecord:
        if not self._configuration.has_workspace(command.workspace):
            return refuse("unknown_workspace", f"no workspace {command.workspace}", 404)
        before = len(self._keys)
        outcome = self._keys.grant(command, wall_ms)
        if isinstance(outcome, FailureRecord):
            return outcome
        if len(self._keys) > before:
            self._feed.add(KeyChange(command.key_id, outcome.entry))
        return KeyChanged(command.key_id, self._feed.version)

    def _withdraw_key(
        self, command: WithdrawKey, wall_ms: int
    ) -> KeyChanged | FailureRecord:
        outcome = self._keys.withdraw(command, wall_ms)
        if isinstance(outcome, FailureRecord):
            return outcome
        if outcome:
            self._feed.add(KeyChange(command.key_id))
        return KeyChanged(command.key_id, self._feed.version)

    def _begin_action(self, command: BeginAction, request_id: str):
        """Begin an action if its owner holds a lease, which expires if it fails."""
        if self._instances.find(command.owner, command.owner_boot) is None:
            return refuse("owner_not_live", "the owner has no lease", 503)
        return self._actions.begin(command, request_id, self._now_ms)

    def _set_instance_state(self, command: SetInstanceState) -> Done | FailureRecord:
        changed = self._instances.set_state(command)
        if isinstance(changed, FailureRecord):
            return changed
        if changed:
            self._publish_instances()
        return Done()

    def _observe_targets(self, command: ObserveTargets) -> Done:
        if self._targets.observe(command):
            self._feed.add(TargetsChange(self._targets.targets))
        return Done()

    def _apply_heartbeats(self, heartbeats: list[Heartbeat]) -> None:
        changes = [self._apply_heartbeat(heartbeat) for heartbeat in heartbeats]
        if any(changes):
            self._publish_instances()

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply one heartbeat; return whether it changed feed entries."""
        known = self._instances.current(heartbeat.instance)
        changed = False
        if known is not None and known.boot < heartbeat.boot:
            changed = self._expire_instance(known.instance, known.boot)
        if known is None:
            # Two processes can't listen on one address, so the older one has ended.
            for older in self._instances.find_older_at_address(heartbeat):
                changed |= self._expire_instance(older.instance, older.boot)
        row = self._instances.register(heartbeat)
        if row is None:
            return changed
        row.shares = heartbeat.shares
        row.grants = self._ledger.apply_reports(
            heartbeat.instance, heartbeat.boot, heartbeat.shares, self._now_ms
        )
        return known is None or not known.has_same_feed_entry(row)

    def _apply_expiry(self, entry: ExpireEntry) -> None:
        changed = [
            self._expire_instance(item.instance, item.boot) for item in entry.instances
        ]
        if any(changed):
            self._publish_instances()

    def _expire_instance(self, instance: str, boot: int) -> bool:
        """Reclaim the shares of a process and end its actions.

        Returns
        -------
        bool
            Whether the process was live.
        """
        was_live = self._instances.remove(instance, boot)
        self._ledger.expire(instance, boot, self._now_ms)
        self._actions.mark_unknown(instance, boot)
        return was_live

    def _apply_order(self, entry: OrderEntry) -> None:
        if entry.issue:
            self._orders.issue(entry.order_id, self._applied_index)
        else:
            self._orders.requeue(entry.order_id, entry.observed)

    def _addresses_by_instance(self) -> dict[str, EntryAddress]:
        return {entry.instance: entry for entry in self._instances.addresses()}

    def _publish_instances(self) -> None:
        """Add the instances that changed since the last call to the feed.

        Only the changed instances are sent, because with full lists the bytes sent
        while all instances start would grow with the third power of their number.
        """
        published = self._published_instances
        current = self._addresses_by_instance()
        for name in sorted(published.keys() | current.keys()):
            if published.get(name) != current.get(name):
                self._feed.add(InstanceChange(name, current.get(name)))
        self._published_instances = current
