"""Heartbeats, contact and feed copy of an entry process, without I/O."""

import hmac
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from papayacrank.config import Configuration, parse_configuration
from papayacrank.kernel import Effect, SetTimer, log_event
from papayacrank.messages import (
    UNKNOWN_CAPACITY,
    ConfigurationChange,
    EntryAddress,
    FeedBatch,
    FeedBatchError,
    FeedChange,
    FeedSnapshot,
    FeedUpdate,
    Heartbeat,
    HeartbeatAck,
    InstanceCapacity,
    InstanceChange,
    KeyChange,
    KeyEntry,
    NotLeader,
    RoutingChange,
    RoutingConfiguration,
    ShareGrant,
    ShareReport,
    TargetsChange,
    WeightsChange,
    decompress_feed,
)

from ._events import FEED_BATCH_UNREADABLE
from ._leader import LeaderHint

HEARTBEAT_TIMER = "control-contact:heartbeat"
# Interval of heartbeats, sent to all members, while acknowledgements are overdue.
SEARCH_INTERVAL_MS = 150
# Shorter, because after a power loss the group elects its leader while this process
# starts.
FIRST_SEARCH_INTERVAL_MS = 60
DIGEST_PREFIX_CHARACTERS = 16
MAX_UNCONFIRMED_ACKS = 64


@dataclass(frozen=True, slots=True)
class ContactSettings:
    """Identity and timings of an entry process.

    Parameters
    ----------
    instance : str
        Name of the instance.
    boot : int
        Boot number, which grows with each start of the process.
    failure_domain : str
        Failure domain of the instance.
    address : str
        Address for callers as ``ip:port``.
    heartbeat_interval_ms : int
        Time between heartbeats.
    contact_ms : int
        Time for which keys remain valid after the send time of an acknowledged
        heartbeat.
    capacity : InstanceCapacity
        Resources of the process.
    """

    instance: str
    boot: int
    failure_domain: str
    address: str
    heartbeat_interval_ms: int = 500
    contact_ms: int = 3_000
    capacity: InstanceCapacity = UNKNOWN_CAPACITY


@dataclass(frozen=True, slots=True)
class GrantsReceived:
    """Effect that reports granted budget shares.

    Parameters
    ----------
    grants : tuple of ShareGrant
        Total grants since the start of the process.
    sent_ms : int
        Time at which the acknowledged heartbeat was sent.
    lease_ms : int
        Duration from `sent_ms` for which the shares may be used.
    """

    grants: tuple[ShareGrant, ...]
    sent_ms: int
    lease_ms: int


@dataclass(frozen=True, slots=True)
class FeedChanged:
    """Effect that reports a change of the feed copy.

    Parameters
    ----------
    version : int
        Version of the copy.
    configuration, targets, instances, routing, weights : bool
        Which parts have changed.
    withdrawn : tuple of KeyEntry
        Keys that are no longer valid; streams authorized by them must be ended.
    """

    version: int
    configuration: bool = False
    targets: bool = False
    instances: bool = False
    routing: bool = False
    weights: bool = False
    withdrawn: tuple[KeyEntry, ...] = ()


class ControlContact:
    """Sends heartbeats and maintains the copy of the feed.

    Contact starts at the send time of an acknowledged heartbeat, and only if the copy
    is at least as new as the feed version in the acknowledgement. A lost feed push
    therefore ends the use of keys just as a lost acknowledgement does.

    Parameters
    ----------
    settings : ContactSettings
        Identity and timings.
    leader : LeaderHint
        Presumed leader and members; may be shared with a `ControlClient`.
    share_reports : Callable, optional
        Called with the current time for each heartbeat; returns its share reports.
    """

    def __init__(
        self,
        settings: ContactSettings,
        leader: LeaderHint,
        share_reports: Callable[[int], list[ShareReport]] | None = None,
    ):
        self._settings = settings
        self._leader = leader
        self._share_reports = share_reports
        self._status = "starting"
        self._sequence = 0
        self._last_ack_ms: int | None = None
        self._contact_from_ms: int | None = None
        self._term = 0
        # Feed version and send time of acknowledged heartbeats, each of which extends
        # contact once the feed copy has reached the version.
        self._unconfirmed_acks: deque[tuple[int, int]] = deque(
            maxlen=MAX_UNCONFIRMED_ACKS
        )
        self._feed_version = 0
        self._configuration: Configuration | None = None
        self._configuration_version = 0
        self._keys: dict[str, KeyEntry] = {}
        self._keys_by_prefix: dict[str, list[KeyEntry]] = {}
        self._targets: dict[str, str] = {}
        self._instances_by_name: dict[str, EntryAddress] = {}
        self._instances: tuple[EntryAddress, ...] = ()
        self._routing: RoutingConfiguration | None = None
        self._weights: dict[str, int] = {}
        self._fleet_position = (0, 0)
        self._rates_position = (0, 0)
        self._quarantine_position = (0, 0)

    @property
    def term(self) -> int:
        """Highest term of a leader that has acknowledged a heartbeat."""
        return self._term

    @property
    def configuration(self) -> Configuration | None:
        """Active configuration, None before the first one."""
        return self._configuration

    @property
    def configuration_version(self) -> int:
        """Version of the active configuration, 0 before the first one."""
        return self._configuration_version

    @property
    def feed_version(self) -> int:
        """Version of the feed copy, 0 before the first update."""
        return self._feed_version

    @property
    def targets(self) -> dict[str, str]:
        """State of each target on the platform's list, by name."""
        return self._targets

    @property
    def instances(self) -> tuple[EntryAddress, ...]:
        """Live entry processes."""
        return self._instances

    @property
    def routing(self) -> RoutingConfiguration | None:
        """Active routing configuration, None before the first one."""
        return self._routing

    @property
    def weights(self) -> dict[str, int]:
        """Named version of the weights, by model."""
        return self._weights

    @property
    def keys(self) -> tuple[KeyEntry, ...]:
        """Valid keys."""
        return tuple(self._keys.values())

    @property
    def leader(self) -> str | None:
        """Presumed leader of the control group, None while unknown."""
        return self._leader.leader

    @property
    def status(self) -> str:
        """Status that heartbeats report."""
        return self._status

    @property
    def drain_requested(self) -> bool:
        """Whether an operator has requested this instance to drain."""
        own = self._instances_by_name.get(self._settings.instance)
        return own is not None and own.status == "draining"

    @property
    def contacted_ms(self) -> int | None:
        """Time of the last contact with the leader; None before the first one."""
        return self._contact_from_ms

    def has_contact(self, now_ms: int) -> bool:
        """Return whether keys may be used at `now_ms`."""
        if self._contact_from_ms is None:
            return False
        return now_ms - self._contact_from_ms < self._settings.contact_ms

    def contact_until_ms(self) -> int | None:
        """Return when contact ends unless it is extended, None before the first."""
        if self._contact_from_ms is None:
            return None
        return self._contact_from_ms + self._settings.contact_ms

    def find_key(self, digest: str) -> KeyEntry | None:
        """Return the key with this digest, compared in constant time.

        Parameters
        ----------
        digest : str
            Hexadecimal BLAKE2b-256 digest of the key in the request.
        """
        candidates = self._keys_by_prefix.get(digest[:DIGEST_PREFIX_CHARACTERS], ())
        found = None
        for entry in candidates:
            if hmac.compare_digest(entry.digest.encode(), digest.encode()):
                found = entry
        return found

    def set_fleet_position(self, term: int, sequence: int) -> None:
        """Set the position of the applied fleet view, which heartbeats report."""
        self._fleet_position = (term, sequence)

    def set_rates_position(self, term: int, revision: int) -> None:
        """Set the position of the table of request rates, which heartbeats report."""
        self._rates_position = (term, revision)

    def set_quarantine_position(self, term: int, revision: int) -> None:
        """Set the position of the table of suspected parts, which heartbeats report."""
        self._quarantine_position = (term, revision)

    def start(self, now_ms: int) -> list[Effect]:
        """Send the first heartbeat."""
        return self._send_heartbeat(now_ms)

    def set_status(self, status: str, now_ms: int) -> list[Effect]:
        """Set the status and report it in an immediate heartbeat.

        Parameters
        ----------
        status : str
            ``"starting"``, ``"serving"``, ``"isolated"`` or ``"draining"``.
        """
        self._status = status
        return self._send_heartbeat(now_ms)

    def tick(self, timer_name: str, now_ms: int) -> list[Effect]:
        """Handle the heartbeat timer; other timers are ignored."""
        if timer_name != HEARTBEAT_TIMER:
            return []
        if self._is_searching(now_ms):
            self._leader.forget()
        return self._send_heartbeat(now_ms)

    def receive(
        self, sender: str, message: Any, now_ms: int
    ) -> list[Effect | GrantsReceived | FeedChanged]:
        """Handle a message; messages of other protocols are ignored."""
        if isinstance(message, HeartbeatAck):
            return self._on_ack(sender, message, now_ms)
        if isinstance(message, FeedBatch):
            return self._on_batch(sender, message, now_ms)
        if isinstance(message, FeedUpdate):
            return self._on_update(message)
        if isinstance(message, FeedSnapshot):
            return self._on_snapshot(message)
        if isinstance(message, NotLeader):
            return self._on_not_leader(sender, message, now_ms)
        return []

    def _send_heartbeat(self, now_ms: int) -> list[Effect]:
        self._sequence += 1
        shares = self._share_reports(now_ms) if self._share_reports else []
        heartbeat = Heartbeat(
            self._settings.instance,
            self._settings.boot,
            self._sequence,
            now_ms,
            self._feed_version,
            self._settings.failure_domain,
            self._settings.address,
            self._status,
            shares,
            *self._fleet_position,
            *self._rates_position,
            *self._quarantine_position,
            accepts_batches=True,
            capacity=self._settings.capacity,
        )
        interval_ms = self._settings.heartbeat_interval_ms
        if self._is_searching(now_ms):
            is_first = self._last_ack_ms is None
            search_ms = FIRST_SEARCH_INTERVAL_MS if is_first else SEARCH_INTERVAL_MS
            interval_ms = min(interval_ms, search_ms)
        next_ms = now_ms + interval_ms
        return [
            *self._leader.build_sends(heartbeat),
            SetTimer(HEARTBEAT_TIMER, next_ms),
        ]

    def _is_searching(self, now_ms: int) -> bool:
        """Return whether acknowledgements are overdue."""
        limit_ms = 1.5 * self._settings.heartbeat_interval_ms
        return self._last_ack_ms is None or now_ms - self._last_ack_ms > limit_ms

    def _on_ack(self, sender: str, ack: HeartbeatAck, now_ms: int) -> list:
        if ack.boot != self._settings.boot or ack.sent_ms > now_ms:
            return []
        if ack.term < self._term or ack.sequence > self._sequence:
            return []
        self._term = ack.term
        self._leader.learn(sender)
        self._last_ack_ms = now_ms
        if ack.feed_version <= self._feed_version:
            self._extend_contact(ack.sent_ms)
        else:
            self._unconfirmed_acks.append((ack.feed_version, ack.sent_ms))
        # An acknowledgement without grants still extends the lease of the shares.
        return [GrantsReceived(tuple(ack.grants), ack.sent_ms, ack.lease_ms)]

    def _on_not_leader(self, sender: str, message: NotLeader, now_ms: int) -> list:
        if message.request_id or message.leader == sender:
            return []
        if self._leader.leader is not None and self._leader.leader != sender:
            return []
        if not self._leader.learn(message.leader):
            return []
        return self._send_heartbeat(now_ms)

    def _on_batch(self, sender: str, batch: FeedBatch, now_ms: int) -> list:
        try:
            message = decompress_feed(batch)
        except FeedBatchError as error:
            log_event(FEED_BATCH_UNREADABLE, sender=sender, error=str(error))
            return []
        return self.receive(sender, message, now_ms)

    def _on_update(self, update: FeedUpdate) -> list:
        stale = update.to_version <= self._feed_version
        if stale or update.from_version > self._feed_version:
            return []
        previous_keys = dict(self._keys)
        for change in update.changes:
            self._apply(change)
        change_types = {type(change) for change in update.changes}
        return self._commit_change(update.to_version, change_types, previous_keys)

    def _on_snapshot(self, snapshot: FeedSnapshot) -> list:
        if snapshot.version <= self._feed_version:
            return []
        previous_keys = dict(self._keys)
        self._keys = {entry.key_id: entry for entry in snapshot.keys}
        self._instances_by_name = {item.instance: item for item in snapshot.instances}
        changes: list[FeedChange] = [
            snapshot.configuration,
            TargetsChange(snapshot.targets),
        ]
        changes += [c for c in (snapshot.routing, snapshot.weights) if c is not None]
        for change in changes:
            self._apply(change)
        change_types = {InstanceChange, *map(type, changes)}
        return self._commit_change(snapshot.version, change_types, previous_keys)

    def _apply(self, change: FeedChange) -> None:
        if isinstance(change, ConfigurationChange):
            self._apply_configuration(change)
        elif isinstance(change, KeyChange):
            if change.entry is None:
                self._keys.pop(change.key_id, None)
            else:
                self._keys[change.key_id] = change.entry
        elif isinstance(change, TargetsChange):
            self._targets = {item.target: item.state for item in change.targets}
        elif isinstance(change, RoutingChange):
            self._apply_routing(change.configuration)
        elif isinstance(change, WeightsChange):
            self._weights = dict(change.versions)
        elif change.entry is None:
            self._instances_by_name.pop(change.instance, None)
        else:
            self._instances_by_name[change.instance] = change.entry

    def _apply_configuration(self, change: ConfigurationChange) -> None:
        if change.version <= self._configuration_version:
            return
        self._configuration = parse_configuration(change.document)
        self._configuration_version = change.version

    def _apply_routing(self, configuration: RoutingConfiguration) -> None:
        if self._routing is None or configuration.version > self._routing.version:
            self._routing = configuration

    def _commit_change(
        self, version: int, change_types: set[type], previous_keys: dict
    ) -> list:
        self._feed_version = version
        self._index_keys()
        if InstanceChange in change_types:
            by_name = self._instances_by_name
            self._instances = tuple(by_name[name] for name in sorted(by_name))
        while self._unconfirmed_acks and self._unconfirmed_acks[0][0] <= version:
            self._extend_contact(self._unconfirmed_acks.popleft()[1])
        withdrawn = [
            entry for name, entry in previous_keys.items() if name not in self._keys
        ]
        return [
            FeedChanged(
                version,
                ConfigurationChange in change_types,
                TargetsChange in change_types,
                InstanceChange in change_types,
                RoutingChange in change_types,
                WeightsChange in change_types,
                tuple(withdrawn),
            )
        ]

    def _index_keys(self) -> None:
        index: dict[str, list[KeyEntry]] = {}
        for entry in self._keys.values():
            prefix = entry.digest[:DIGEST_PREFIX_CHARACTERS]
            index.setdefault(prefix, []).append(entry)
        self._keys_by_prefix = index

    def _extend_contact(self, sent_ms: int) -> None:
        self._contact_from_ms = max(self._contact_from_ms or sent_ms, sent_ms)
