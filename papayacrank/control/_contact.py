"""Decision code of an entry process: heartbeat, contact and feed copy."""

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from papayacrank.config import Configuration, parse_configuration
from papayacrank.kernel import Effect, SetTimer
from papayacrank.messages import (
    ConfigurationChange,
    EntryAddress,
    FeedChange,
    FeedSnapshot,
    FeedUpdate,
    Heartbeat,
    HeartbeatAck,
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
)

from ._leader import LeaderHint

HEARTBEAT_TIMER = "control-contact:heartbeat"
# Without an acknowledgement, the leader is looked for at this interval.
SEARCH_INTERVAL_MS = 150
# After a power loss, the group elects its leader while this process starts.
FIRST_SEARCH_INTERVAL_MS = 60
DIGEST_PREFIX_CHARACTERS = 16


@dataclass(frozen=True, slots=True)
class ContactSettings:
    """Identity and timings of an entry process.

    Parameters
    ----------
    instance : str
        Name of the instance.
    boot : int
        Boot number, larger at each start of the process.
    failure_domain : str
        Failure domain of the instance.
    address : str
        Callers' address as ``ip:port``.
    heartbeat_interval_ms : int
        Time between heartbeats.
    contact_ms : int
        Time from the sending of an acknowledged heartbeat for which keys are valid.
    """

    instance: str
    boot: int
    failure_domain: str
    address: str
    heartbeat_interval_ms: int = 500
    contact_ms: int = 3_000


@dataclass(frozen=True, slots=True)
class GrantsReceived:
    """Effect that passes grants of budget shares on.

    Parameters
    ----------
    grants : tuple of ShareGrant
        Totals since the start of the process.
    sent_ms : int
        Time at which the acknowledged heartbeat was sent.
    lease_ms : int
        Time from `sent_ms` for which the shares may be used.
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
        Keys that are no longer valid; their streams must be ended.
    """

    version: int
    configuration: bool = False
    targets: bool = False
    instances: bool = False
    routing: bool = False
    weights: bool = False
    withdrawn: tuple[KeyEntry, ...] = ()


class ControlContact:
    """Sends heartbeats and keeps the copy of the feed.

    Contact is counted from the sending of a heartbeat that was acknowledged, and
    only while the copy is at least as new as the acknowledged feed version. A lost
    feed push therefore ends the use of keys as a lost acknowledgement does.

    Parameters
    ----------
    settings : ContactSettings
        Identity and timings.
    leader : LeaderHint
        Members of the control group; may be shared with a `ControlClient`.
    share_reports : Callable, optional
        Called with the time at each heartbeat; returns the share reports.
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
        # Acknowledged heartbeat that counts once the feed reaches the version.
        self._awaited: tuple[int, int] | None = None
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

    @property
    def configuration(self) -> Configuration | None:
        """Configuration in force, None before the first one."""
        return self._configuration

    @property
    def configuration_version(self) -> int:
        """Version of the configuration, 0 before the first one."""
        return self._configuration_version

    @property
    def feed_version(self) -> int:
        """Version of the feed copy; 0 until the first update."""
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
        """Routing configuration in force, None before the first one."""
        return self._routing

    @property
    def weights(self) -> dict[str, int]:
        """Named version of the weights of each model."""
        return self._weights

    @property
    def keys(self) -> tuple[KeyEntry, ...]:
        """Keys in force."""
        return tuple(self._keys.values())

    @property
    def leader(self) -> str | None:
        """Probable leader of the control group."""
        return self._leader.leader

    @property
    def status(self) -> str:
        """Status that heartbeats announce."""
        return self._status

    @property
    def drain_requested(self) -> bool:
        """Whether an operator has asked this instance to drain."""
        own = self._instances_by_name.get(self._settings.instance)
        return own is not None and own.status == "draining"

    def has_contact(self, now_ms: int) -> bool:
        """Return whether keys may be used at `now_ms`."""
        if self._contact_from_ms is None:
            return False
        return now_ms - self._contact_from_ms < self._settings.contact_ms

    def contact_until_ms(self) -> int | None:
        """Return the time at which contact ends without a further heartbeat."""
        if self._contact_from_ms is None:
            return None
        return self._contact_from_ms + self._settings.contact_ms

    def find_key(self, digest: str) -> KeyEntry | None:
        """Return the key of that digest, compared in constant time.

        Parameters
        ----------
        digest : str
            Hexadecimal BLAKE2b-256 digest of the key that a caller sent.
        """
        candidates = self._keys_by_prefix.get(digest[:DIGEST_PREFIX_CHARACTERS], ())
        found = None
        for entry in candidates:
            if hmac.compare_digest(entry.digest.encode(), digest.encode()):
                found = entry
        return found

    def set_fleet_position(self, term: int, sequence: int) -> None:
        """State which view of the targets the process has, for the heartbeats."""
        self._fleet_position = (term, sequence)

    def start(self, now_ms: int) -> list[Effect]:
        """Send the first heartbeat."""
        return self._beat(now_ms)

    def set_status(self, status: str, now_ms: int) -> list[Effect]:
        """Announce a new status at once.

        Parameters
        ----------
        status : str
            ``"starting"``, ``"serving"`` or ``"draining"``.
        """
        self._status = status
        return self._beat(now_ms)

    def tick(self, timer_name: str, now_ms: int) -> list[Effect]:
        """Handle the heartbeat timer; other names are ignored."""
        if timer_name != HEARTBEAT_TIMER:
            return []
        if self._is_searching(now_ms):
            self._leader.forget()
        return self._beat(now_ms)

    def receive(
        self, sender: str, message: Any, now_ms: int
    ) -> list[Effect | GrantsReceived | FeedChanged]:
        """Handle a message; messages that are not for the contact are ignored."""
        if isinstance(message, HeartbeatAck):
            return self._on_ack(sender, message, now_ms)
        if isinstance(message, FeedUpdate):
            return self._on_update(message)
        if isinstance(message, FeedSnapshot):
            return self._on_snapshot(message)
        if isinstance(message, NotLeader):
            return self._on_not_leader(sender, message, now_ms)
        return []

    def _beat(self, now_ms: int) -> list[Effect]:
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
        )
        interval_ms = self._settings.heartbeat_interval_ms
        if self._is_searching(now_ms):
            is_first = self._last_ack_ms is None
            search_ms = FIRST_SEARCH_INTERVAL_MS if is_first else SEARCH_INTERVAL_MS
            interval_ms = min(interval_ms, search_ms)
        next_ms = now_ms + interval_ms
        return [*self._leader.address(heartbeat), SetTimer(HEARTBEAT_TIMER, next_ms)]

    def _is_searching(self, now_ms: int) -> bool:
        """Whether the leader does not answer."""
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
            self._awaited = (ack.feed_version, ack.sent_ms)
        # Without grants, the acknowledgement still extends the lease of the shares.
        return [GrantsReceived(tuple(ack.grants), ack.sent_ms, ack.lease_ms)]

    def _on_not_leader(self, sender: str, message: NotLeader, now_ms: int) -> list:
        if message.request_id or message.leader == sender:
            return []
        if self._leader.leader is not None and self._leader.leader != sender:
            return []
        if not self._leader.learn(message.leader):
            return []
        return self._beat(now_ms)

    def _on_update(self, update: FeedUpdate) -> list:
        stale = update.to_version <= self._feed_version
        if stale or update.from_version > self._feed_version:
            return []
        before = dict(self._keys)
        for change in update.changes:
            self._apply(change)
        kinds = {type(change) for change in update.changes}
        return self._finish_change(update.to_version, kinds, before)

    def _on_snapshot(self, snapshot: FeedSnapshot) -> list:
        if snapshot.version <= self._feed_version:
            return []
        before = dict(self._keys)
        self._keys = {entry.key_id: entry for entry in snapshot.keys}
        self._instances_by_name = {item.instance: item for item in snapshot.instances}
        changes: list[FeedChange] = [
            snapshot.configuration,
            TargetsChange(snapshot.targets),
        ]
        changes += [c for c in (snapshot.routing, snapshot.weights) if c is not None]
        for change in changes:
            self._apply(change)
        kinds = {InstanceChange, *map(type, changes)}
        return self._finish_change(snapshot.version, kinds, before)

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

    def _finish_change(self, version: int, kinds: set[type], before: dict) -> list:
        self._feed_version = version
        self._index_keys()
        if InstanceChange in kinds:
            by_name = self._instances_by_name
            self._instances = tuple(by_name[name] for name in sorted(by_name))
        if self._awaited is not None and self._awaited[0] <= version:
            self._extend_contact(self._awaited[1])
            self._awaited = None
        withdrawn = [entry for name, entry in before.items() if name not in self._keys]
        return [
            FeedChanged(
                version,
                ConfigurationChange in kinds,
                TargetsChange in kinds,
                InstanceChange in kinds,
                RoutingChange in kinds,
                WeightsChange in kinds,
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
