"""Circuits component of an entry process that forwards requests."""

import random
import time

import msgspec
from circuits import BaseComponent

from papayacrank.admission import LocalShares
from papayacrank.control import (
    ContactSettings,
    ControlClient,
    ControlConnector,
    ControlContact,
    FeedChanged,
    GrantsReceived,
    LeaderHint,
)
from papayacrank.kernel import MonotonicClock, log_event
from papayacrank.messages import (
    CONTROL_MESSAGES,
    ISOLATED,
    SERVING,
    FleetChange,
    FleetLoad,
    FleetView,
    ReleaseFound,
)
from papayacrank.permits import PermitClient, PermitPort
from papayacrank.quarantine import (
    ConnectionCheck,
    QuarantineClient,
    QuarantinePort,
)
from papayacrank.releases import ReleasePort
from papayacrank.transport import (
    BufferKind,
    ByteAccount,
    ByteLimits,
    ConnectCheck,
    ExchangeListener,
    HttpLimits,
    HttpPort,
    Link,
    LinkSettings,
    MessageCodec,
    Timers,
    install_process_handlers,
    start_traffic_log,
)

from ._base import CallerProtocol
from ._continuity import StreamContinuity
from ._directory import FULL_EIGHTHS, choose_addresses, has_room_elsewhere
from ._endpoints import DirectoryEndpoint, MetricsEndpoint, ReadinessEndpoint
from ._events import (
    CONTROL_LOST,
    CONTROL_REGAINED,
    FLEET_APPLIED,
    FORWARDING_READY,
    SERVICE_BEHIND,
    SERVICE_CAUGHT_UP,
    STOP_STARTED,
)
from ._forwarder import Forwarder
from ._instance_load import (
    InstanceLoad,
    LoadSample,
    count_caller_descriptors,
    count_idle_descriptors,
)
from ._path_monitor import PathMonitor
from ._path_port import PathPort
from ._process_settings import ForwardingProcessSettings
from ._quota import QuotaEnforcer
from ._relay import Relay
from ._start_phases import StartPhases
from ._suspects import SuspectTracker
from ._target_port import TargetPort

TICK_INTERVAL_MS = 100
# Unchanged load reports are sent again, because they expire at the leader.
LOAD_REFRESH_TICKS = 8
SWEEP_TICKS = 10
DEMAND_TICKS = 5
QUOTA_POLL_MS = 25
# Time for which a caller gets the same choice of addresses: each change closes some of
# its connections.
ADDRESS_PERIOD_MS = 30_000
LOAD_SAMPLE_TICKS = 5
# While an instance is full and others have room, the connection of one response in this
# many is closed, so that its caller chooses anew. All at once would overload others.
SHED_INTERVAL = 8
NS_PER_MS = 1_000_000
# Longest delay of a timer that counts as load.
MAX_LATE_MS = 500
# Callers cache a directory response up to three times as long as its lifetime. After
# that, no request is accepted, so that the longest responses end before the stop.
STOP_LISTENING_AFTER_MS = 3_200
# From this time of a graceful stop on, connections are closed after their responses.
CLOSE_CONNECTIONS_AFTER_MS = 1_100
STOP_POLL_MS = 50
BYTES_PER_MB = 1_000_000


class ForwardingProcess(BaseComponent):
    """Entry process that forwards requests as configured by the control group.

    Parameters
    ----------
    settings : ForwardingProcessSettings
        Settings of the process.
    protocol : CallerProtocol
        HTTP representation of requests and responses.
    """

    channel = "forwarding"

    def __init__(self, settings: ForwardingProcessSettings, protocol: CallerProtocol):
        super().__init__()
        self._settings = settings
        self._protocol = protocol
        self._clock = MonotonicClock()
        self._random = random.Random()
        self._ticks = 0
        self._busy: dict[str, int] = {}
        self._load = InstanceLoad(settings.capacity)
        self._late_ms = 0
        self._tick_at_ms: int | None = None
        self._stopping_since_ms: int | None = None
        self._has_contact = False
        self._behind: set[str] = set()
        self._phases = StartPhases(self._clock.now_ms())
        install_process_handlers(self)
        self._timers = Timers(self._clock).register(self)
        self._shares = LocalShares()
        self._quota = QuotaEnforcer(self._shares, self._random)
        memory_bytes = int(settings.capacity.memory_mb * BYTES_PER_MB)
        self._account = ByteAccount(ByteLimits.from_memory(memory_bytes))
        self._target_port = TargetPort(
            self._clock,
            self._timers,
            self._account,
            count_idle_descriptors(settings.capacity),
        ).register(self)
        self._permits = PermitPort(
            PermitClient(settings.forwarding.instance),
            lambda message: self._control.send_to_leader(message),
            self._clock,
            self._timers,
        )
        self._quarantine = QuarantinePort(
            QuarantineClient(settings.forwarding.instance),
            lambda message: self._control.send_to_leader(message),
            self._clock,
            self._timers,
        )
        self._releases = ReleasePort(
            settings.forwarding.instance,
            lambda message: self._control.send_to_leader(message),
            self._clock,
            self._timers,
        )
        address_check = ConnectionCheck(self._clock, self._timers)
        self._paths = PathPort(
            PathMonitor(self._random),
            ConnectCheck(self._clock, self._timers),
            self._clock,
            self._timers,
        )
        self._paths.on_change = self._report_path
        self._relay = Relay(
            settings.forwarding.instance,
            settings.forwarding.failure_domain,
            protocol,
            self._target_port,
            self._clock,
            self._timers,
            self._random,
        )
        self._forwarder = Forwarder(
            settings.forwarding,
            protocol,
            self._target_port,
            self._quota,
            self._permits,
            SuspectTracker(self._quarantine, address_check, self._clock),
            StreamContinuity(self._releases, lambda: self._contact.contacted_ms),
            self._paths,
            self._relay,
            self._clock,
            self._timers,
            self._random,
            lambda: self._contact.contacted_ms,
        )
        self._permits.count = self._forwarder.metrics.on_permit
        self._quarantine.count = self._forwarder.metrics.on_quarantine
        self._releases.count = self._forwarder.metrics.on_release
        self._forwarder.on_quota_wait = self._poll_quota
        self._build_control()
        self._build_ports()
        self._add_gauges()

    @property
    def is_serving(self) -> bool:
        """Whether this process is ready and not stopping."""
        return self._forwarder.is_ready and self._stopping_since_ms is None

    @property
    def timers(self) -> Timers:
        """Timers of the process."""
        return self._timers

    @property
    def clock(self) -> MonotonicClock:
        """Clock of the process."""
        return self._clock

    def addresses_for(self, failure_domain: str, caller: str = "") -> list[str]:
        """Return the addresses for a caller of a failure domain.

        Parameters
        ----------
        caller : str
            IP address of the caller.
        """
        period = self._clock.now_ms() // ADDRESS_PERIOD_MS
        # The name of this instance varies the choice among callers with one address.
        key = f"{caller}|{self._settings.forwarding.instance}|{period}"
        # Without contact, the utilization of the others is unknown.
        busy = self._busy if self._has_contact else {}
        return choose_addresses(self._contact.instances, failure_domain, busy, key)

    def add_control_names(self, names: tuple[str, ...]) -> None:
        """Add names of control processes."""
        self._leader_hint.extend(names)

    def start_work(self) -> None:
        """Connect to the control group; call once the event loop runs."""
        self._control.start_contact()
        start_traffic_log(self._link, self._clock, self._timers)
        self._tick()

    def begin_stop(self) -> None:
        """Start a graceful stop: drain callers, then finish open requests."""
        log_event(STOP_STARTED, open_requests=self._forwarder.open_jobs)
        self._stopping_since_ms = self._clock.now_ms()
        ends_at_ms = self._stopping_since_ms + self._settings.stop_timeout_ms
        self._forwarder.begin_stop(ends_at_ms)
        self._control.set_status("draining")
        self._continue_stop()

    def _continue_stop(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._stopping_since_ms
        if elapsed_ms >= CLOSE_CONNECTIONS_AFTER_MS:
            self._caller_port.close_after_responses()
        if elapsed_ms >= STOP_LISTENING_AFTER_MS:
            self._caller_port.stop_listening()
            if not self._forwarder.open_jobs and self._caller_port.is_drained:
                self.root.stop()
                return
        if elapsed_ms >= self._settings.stop_timeout_ms:
            self._caller_port.close_after_responses()
            self._forwarder.end_open_requests()
            # Leaves time to send the responses.
            self._timers.set("stop", now_ms + STOP_POLL_MS, self.root.stop)
            return
        self._timers.set("stop", now_ms + STOP_POLL_MS, self._continue_stop)

    # Setup

    def _build_control(self) -> None:
        settings = self._settings
        forwarding = settings.forwarding
        self._leader_hint = LeaderHint(settings.control, accepts_new=True)
        name = f"entry-{forwarding.instance}"
        link = LinkSettings(name, None, {}, settings.resolve)
        self._link = Link(link, MessageCodec(CONTROL_MESSAGES)).register(self)
        contact = ContactSettings(
            forwarding.instance,
            settings.boot,
            forwarding.failure_domain,
            settings.callers,
            contact_ms=settings.contact_ms,
            capacity=settings.capacity,
        )
        self._contact = ControlContact(contact, self._leader_hint, self._shares.reports)
        client = ControlClient(name, settings.boot, self._leader_hint, self._random)
        self._control = ControlConnector(
            self._link, self._contact, client, self._clock, self._timers
        ).register(self)
        self._control.on_feed = self._on_feed
        self._control.on_grants = self._on_grants
        self._control.on_message = self._on_message

    def _build_ports(self) -> None:
        max_callers = count_caller_descriptors(self._settings.capacity)
        self._caller_port = self._open_port(
            self._settings.callers,
            "callers",
            self._forwarder,
            HttpLimits(max_connections=max_callers),
        )
        # Callers give up a look-up after one second.
        self._open_port(
            self._settings.readiness,
            "readiness",
            ReadinessEndpoint(lambda: self.is_serving),
            is_urgent=True,
        )
        self._open_port(
            self._settings.directory,
            "directory",
            DirectoryEndpoint(self.addresses_for, self._protocol),
            is_urgent=True,
        )
        metrics = MetricsEndpoint(self._forwarder.metrics)
        self._open_port(self._settings.metrics, "metrics", metrics)

    def _open_port(
        self,
        address: str,
        name: str,
        listener: ExchangeListener,
        limits: HttpLimits | None = None,
        is_urgent: bool = False,
    ):
        if not address:
            return None
        port = HttpPort(
            address,
            name,
            listener,
            self._clock,
            self._timers,
            limits,
            self._account,
            is_urgent,
        )
        return port.register(self)

    def _add_gauges(self) -> None:
        metrics = self._forwarder.metrics
        metrics.add_gauge(
            "open_requests",
            "Requests without a final answer",
            lambda: self._forwarder.open_jobs,
        )
        metrics.add_gauge(
            "target_factor_spread",
            "Slowest over fastest target of the service with the largest ratio",
            lambda: self._forwarder.fleet.costs.factors.widest_spread,
        )
        metrics.add_gauge(
            "caller_connections",
            "Open connections of callers",
            lambda: self._caller_port.connection_count,
        )
        metrics.add_gauge(
            "target_connections",
            "Open connections to targets",
            lambda: self._target_port.open_connections,
        )
        for kind in BufferKind:
            metrics.add_gauge(
                f"buffered_{kind.value}_bytes",
                f"Bytes in buffers of the kind {kind.value}",
                lambda kind=kind: self._account.total_of(kind),
            )
        metrics.add_gauge(
            "instance_utilization",
            "Utilization of the scarcest resource of this instance; 1 is full",
            lambda: self._load.utilization,
        )
        metrics.add_gauge(
            "buffered_bytes_limit",
            "Bytes in all buffers above which the slowest exchange is ended",
            lambda: self._account.limits.hard_bytes,
        )
        metrics.add_gauge(
            "ended_for_memory",
            "Exchanges that were ended because the buffers were at their limit",
            lambda: self._account.ended,
        )
        metrics.add_gauge(
            "control_contact",
            "Whether the control group acknowledges heartbeats",
            lambda: int(self._has_contact),
        )
        metrics.add_gauge(
            "target_path",
            "Whether targets can be reached from this instance",
            lambda: int(not self._paths.is_isolated),
        )
        metrics.add_gauge(
            "target_list_age_seconds",
            "Age of the leader's list of targets; 0 while it is up to date",
            lambda: self._forwarder.fleet.list_age_s,
        )
        metrics.add_gauge(
            "slot_leases",
            "Requests that this instance may have open at refusal-limited targets",
            lambda: sum(self._forwarder.slot_leases.values()),
        )
        metrics.add_gauge(
            "rate_limited_targets",
            "Targets with a request rate limit",
            lambda: self._permits.client.limited_targets,
        )
        metrics.add_gauge(
            "suspected_parts",
            "Prompt parts that are suspected to crash targets",
            lambda: self._quarantine.client.suspected_parts,
        )
        metrics.add_gauge(
            "quarantined_parts",
            "Prompt parts whose requests are refused because they crash targets",
            lambda: self._quarantine.client.quarantined_parts,
        )

    # Control group

    def _on_feed(self, change: FeedChanged) -> None:
        if change.routing and self._contact.routing is not None:
            self._apply_routing()
        if change.weights:
            self._forwarder.apply_weights(self._contact.weights)
        if change.instances:
            self._forwarder.set_instances(len(self._contact.instances))
            self._relay.set_instances(self._contact.instances)
        self._report_serving()

    def _apply_routing(self) -> None:
        configuration = self._contact.routing
        self._forwarder.apply_routing(configuration)
        self._phases.reach("configuration", self._clock.now_ms())
        limits = configuration.limits
        self._caller_port.set_limits(
            HttpLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms,
                idle_timeout_ms=limits.idle_timeout_ms,
            )
        )

    def _on_grants(self, grants: GrantsReceived) -> None:
        self._phases.reach("acknowledgement", self._clock.now_ms())
        self._shares.apply_grants(list(grants.grants), grants.sent_ms, grants.lease_ms)
        self._poll_quota()

    def _on_message(self, sender: str, message) -> None:
        if isinstance(message, FleetView):
            self._on_fleet(message)
        elif isinstance(message, FleetChange):
            view = self._forwarder.table.merge(message)
            if view is not None:
                self._on_fleet(view)
        elif isinstance(message, FleetLoad):
            self._forwarder.apply_load(message)
            if message.busy is not None:
                self._busy = message.busy
        elif isinstance(message, ReleaseFound):
            self._releases.receive(message)
        else:
            self._quarantine.receive(message)
            self._contact.set_quarantine_position(*self._quarantine.client.position)
            self._permits.receive(message)
            self._contact.set_rates_position(*self._permits.client.position)

    def _on_fleet(self, view: FleetView) -> None:
        if not self._forwarder.apply_fleet(view):
            return
        self._releases.observe_targets(view.targets)
        self._releases.set_mixed(view.mixed)
        self._contact.set_fleet_position(view.term, view.sequence)
        self._leader_hint.extend(view.control)
        self._phases.reach("targets", self._clock.now_ms())
        log_event(
            FLEET_APPLIED,
            term=view.term,
            sequence=view.sequence,
            targets=len(view.targets),
            loading=[target.name for target in view.targets if target.loading],
            leaving=[target.name for target in view.targets if target.leaving],
        )
        self._report_serving()

    def _report_serving(self) -> None:
        """Set the status to serving once this process is ready."""
        if self._contact.status == "starting" and self._forwarder.is_ready:
            self._phases.reach("ready", self._clock.now_ms())
            log_event(
                FORWARDING_READY,
                feed_version=self._contact.feed_version,
                **self._phases.to_fields(),
            )
            self._set_serving_status()

    def _set_serving_status(self) -> None:
        status = ISOLATED if self._paths.is_isolated else SERVING
        self._control.set_status(status)

    def _report_path(self) -> None:
        """Tell the others whether this process has a path to the targets."""
        if self._contact.status in (SERVING, ISOLATED):
            self._set_serving_status()
        if not self._paths.is_isolated:
            self._forwarder.readmit_targets()

    # Periodic work

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._observe_load(now_ms)
        self._tick_at_ms = now_ms + TICK_INTERVAL_MS
        self._timers.set("tick", self._tick_at_ms, self._tick)
        self._ticks += 1
        self._forwarder.table.age_totals(now_ms)
        self._send_load()
        self._update_contact(now_ms)
        self._permits.poll(self._contact.term)
        self._quarantine.poll(self._contact.term)
        self._releases.poll(self._contact.term, self._contact.contacted_ms)
        if self._shares.needs_report(now_ms):
            self._control.send_heartbeat()
        if self._ticks % SWEEP_TICKS == 0:
            self._target_port.close_expired()
        if self._quota.has_waiting:
            self._poll_quota()

    def _send_load(self) -> None:
        demand = ()
        if self._ticks % DEMAND_TICKS == 0:
            admission = self._forwarder.fleet.load_admission
            now_ms = self._clock.now_ms()
            demand = admission.report(now_ms)
            self._log_services_behind(admission.behind(now_ms))
        leader = self._contact.leader
        if leader is None:
            return
        instance = self._settings.forwarding.instance
        paused = self._forwarder.take_new_pauses()
        room = self._forwarder.take_room_report()
        costs = self._forwarder.fleet.take_cost_report()
        releases = self._forwarder.report_releases()
        report = self._forwarder.table.report(
            instance, paused, room, demand, costs, releases
        )
        if report is None and self._ticks % LOAD_REFRESH_TICKS == 0:
            report = self._forwarder.table.refresh_report(instance, releases)
        if report is not None:
            report = msgspec.structs.replace(report, utilization=self._load.eighths)
            self._link.send(leader, report)

    def _log_services_behind(self, services: set[str]) -> None:
        for service in sorted(services - self._behind):
            log_event(SERVICE_BEHIND, service=service)
        for service in sorted(self._behind - services):
            log_event(SERVICE_CAUGHT_UP, service=service)
        self._behind = services

    def _observe_load(self, now_ms: int) -> None:
        """Update the utilization of this instance."""
        if self._tick_at_ms is not None:
            # A freeze of the machine is no load.
            self._late_ms += min(now_ms - self._tick_at_ms, MAX_LATE_MS)
        if self._ticks % LOAD_SAMPLE_TICKS:
            return
        limits = self._account.limits
        connections = self._caller_port.connection_count if self._caller_port else 0
        self._load.observe(
            LoadSample(
                now_ms,
                time.process_time_ns() / NS_PER_MS,
                self._account.total / limits.hard_bytes,
                connections + self._target_port.open_connections,
                self._late_ms / LOAD_SAMPLE_TICKS,
            )
        )
        self._late_ms = 0
        if self._caller_port is not None:
            self._caller_port.set_shedding(SHED_INTERVAL if self._must_shed() else 0)

    def _must_shed(self) -> bool:
        """Return whether this instance is full and another one has room."""
        is_full = self._load.eighths >= FULL_EIGHTHS and self._has_contact
        own = self._settings.forwarding.instance
        return is_full and has_room_elsewhere(own, self._contact.instances, self._busy)

    def _update_contact(self, now_ms: int) -> None:
        has_contact = self._contact.has_contact(now_ms)
        if has_contact != self._has_contact:
            self._has_contact = has_contact
            event = CONTROL_REGAINED if has_contact else CONTROL_LOST
            log_event(event, feed_version=self._contact.feed_version)

    def _poll_quota(self) -> None:
        self._forwarder.poll_quota()
        now_ms = self._clock.now_ms()
        if self._shares.needs_report(now_ms):
            self._control.send_heartbeat()
        if self._quota.has_waiting:
            self._timers.set("quota", now_ms + QUOTA_POLL_MS, self._poll_quota)
