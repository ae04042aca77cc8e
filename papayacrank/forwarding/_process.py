"""Component that runs an entry process for forwarded traffic."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from circuits import BaseComponent

from papayacrank.admission import LocalShares
from papayacrank.control import (
    ContactSettings,
    ControlClient,
    ControlContact,
    ControlPort,
    FeedChanged,
    GrantsReceived,
    LeaderHint,
)
from papayacrank.kernel import MonotonicClock, log_event
from papayacrank.messages import CONTROL_MESSAGES, FleetChange, FleetLoad, FleetView
from papayacrank.transport import (
    ExchangeListener,
    HttpExchange,
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
from ._directory import choose_addresses
from ._events import (
    CONTROL_LOST,
    CONTROL_REGAINED,
    FLEET_APPLIED,
    FORWARDING_READY,
    STOP_STARTED,
)
from ._forwarder import Forwarder, ForwardingSettings
from ._quota import QuotaDesk
from ._target_port import TargetPort

TICK_INTERVAL_MS = 100
# Load reports that do not change are repeated, because the leader forgets them.
REPEAT_LOAD_TICKS = 8
SWEEP_TICKS = 10
QUOTA_POLL_MS = 25
KEEP_ADDRESS_MS = 1_000
# Callers keep an answer up to three times as long as they are told. From then on, no
# request is taken, so that the longest answers are complete before the stop.
CALLERS_GONE_MS = 3_200
# Connections are closed after their answers from here on.
CLOSE_AFTER_MS = 1_100
STOP_POLL_MS = 50


@dataclass(frozen=True)
class ForwardingProcessSettings:
    """Addresses and bounds of an entry process.

    Parameters
    ----------
    callers, readiness, directory, metrics : str
        Listening addresses as ``ip:port``; an empty text means none.
    control : tuple of str
        Link names of control processes.
    resolve : Callable
        Returns the link address of a control process, given its name.
    boot : int
        Grows with each start.
    stop_timeout_ms : int
        Time from the start of a planned stop to its end at the latest.
    """

    forwarding: ForwardingSettings
    callers: str
    readiness: str
    directory: str
    metrics: str
    control: tuple[str, ...]
    resolve: Callable[[str], str | None]
    boot: int
    contact_ms: int = 3_000
    stop_timeout_ms: int = 7_600


class _Readiness(ExchangeListener):
    def __init__(self, process: "ForwardingProcess"):
        self._process = process

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Tell whether callers may be sent here."""
        exchange.respond(200 if self._process.is_serving else 503, [])


class _Directory(ExchangeListener):
    def __init__(self, process: "ForwardingProcess", protocol: CallerProtocol):
        self._process = process
        self._protocol = protocol

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Tell a caller where to connect."""
        domain = self._protocol.read_whereabouts(exchange.head)
        addresses = self._process.addresses_for(domain)
        if not addresses:
            exchange.respond(503, [])
            return
        answer = self._protocol.build_addresses(addresses, KEEP_ADDRESS_MS)
        exchange.respond(answer.status, answer.headers, answer.body)


class _Metrics(ExchangeListener):
    def __init__(self, forwarder: Forwarder):
        self._forwarder = forwarder

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Render the metrics."""
        kind = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        exchange.respond(200, [kind], self._forwarder.metrics.render())


class ForwardingProcess(BaseComponent):
    """Entry process: forwards requests and follows the control group.

    Parameters
    ----------
    settings : ForwardingProcessSettings
        Settings of the process.
    protocol : CallerProtocol
        Wire form towards callers and targets.
    """

    channel = "forwarding"

    def __init__(self, settings: ForwardingProcessSettings, protocol: CallerProtocol):
        super().__init__()
        self._settings = settings
        self._protocol = protocol
        self._clock = MonotonicClock()
        self._random = random.Random()
        self._ticks = 0
        self._stopping_since_ms: int | None = None
        self._has_contact = False
        install_process_handlers(self)
        self._timers = Timers(self._clock).register(self)
        self._shares = LocalShares()
        self._quota = QuotaDesk(self._shares)
        self._target_port = TargetPort(self._clock, self._timers).register(self)
        self._forwarder = Forwarder(
            settings.forwarding,
            protocol,
            self._target_port,
            self._quota,
            self._clock,
            self._timers,
            self._random,
        )
        self._forwarder.on_quota_wait = self._poll_quota
        self._build_control()
        self._build_ports()
        self._add_gauges()

    @property
    def is_serving(self) -> bool:
        """Whether callers may be sent to this process."""
        return self._forwarder.is_ready and self._stopping_since_ms is None

    @property
    def timers(self) -> Timers:
        """Timers of the process."""
        return self._timers

    @property
    def clock(self) -> MonotonicClock:
        """Clock of the process."""
        return self._clock

    def addresses_for(self, failure_domain: str) -> list[str]:
        """Return the addresses for a caller of a failure domain."""
        return choose_addresses(self._contact.instances, failure_domain)

    def learn_control(self, names: tuple[str, ...]) -> None:
        """Add names of control processes."""
        self._hint.extend(names)

    def start_work(self) -> None:
        """Start to follow the control group; call once the loop runs."""
        self._control.start_contact()
        start_traffic_log(self._link, self._clock, self._timers)
        self._tick()

    def begin_stop(self) -> None:
        """Stop gracefully: callers go elsewhere first, open requests are finished."""
        log_event(STOP_STARTED, open_requests=self._forwarder.open_jobs)
        self._stopping_since_ms = self._clock.now_ms()
        self._control.set_status("draining")
        self._continue_stop()

    def _continue_stop(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._stopping_since_ms
        if elapsed_ms >= CLOSE_AFTER_MS:
            self._front.close_after_responses()
        if elapsed_ms >= CALLERS_GONE_MS:
            self._front.stop_listening()
            if not self._forwarder.open_jobs and self._front.is_drained:
                self.root.stop()
                return
        if elapsed_ms >= self._settings.stop_timeout_ms:
            self.root.stop()
            return
        self._timers.set("stop", now_ms + STOP_POLL_MS, self._continue_stop)

    # Parts

    def _build_control(self) -> None:
        settings = self._settings
        node = settings.forwarding
        self._hint = LeaderHint(settings.control, accepts_new=True)
        name = f"entry-{node.instance}"
        link = LinkSettings(name, None, {}, settings.resolve)
        self._link = Link(link, MessageCodec(CONTROL_MESSAGES)).register(self)
        contact = ContactSettings(
            node.instance,
            settings.boot,
            node.failure_domain,
            settings.callers,
            contact_ms=settings.contact_ms,
        )
        self._contact = ControlContact(contact, self._hint, self._shares.reports)
        client = ControlClient(name, settings.boot, self._hint, self._random)
        self._control = ControlPort(
            self._link, self._contact, client, self._clock, self._timers
        ).register(self)
        self._control.on_feed = self._on_feed
        self._control.on_grants = self._on_grants
        self._control.on_message = self._on_message

    def _build_ports(self) -> None:
        self._front = self._open_port(
            self._settings.callers, "callers", self._forwarder
        )
        self._open_port(self._settings.readiness, "readiness", _Readiness(self))
        self._open_port(
            self._settings.directory, "directory", _Directory(self, self._protocol)
        )
        self._open_port(self._settings.metrics, "metrics", _Metrics(self._forwarder))

    def _open_port(self, address: str, name: str, listener: ExchangeListener):
        if not address:
            return None
        port = HttpPort(address, name, listener, self._clock, self._timers)
        return port.register(self)

    def _add_gauges(self) -> None:
        metrics = self._forwarder.metrics
        metrics.add_gauge(
            "open_requests",
            "Requests without a final answer",
            lambda: self._forwarder.open_jobs,
        )
        metrics.add_gauge(
            "caller_connections",
            "Open connections of callers",
            lambda: self._front.connection_count,
        )
        metrics.add_gauge(
            "target_connections",
            "Open connections to targets",
            lambda: self._target_port.open_connections,
        )
        metrics.add_gauge(
            "control_contact",
            "Whether the control group acknowledges heartbeats",
            lambda: int(self._has_contact),
        )

    # Control group

    def _on_feed(self, change: FeedChanged) -> None:
        if change.routing and self._contact.routing is not None:
            self._apply_routing()
        if change.weights:
            self._forwarder.apply_weights(self._contact.weights)
        if change.instances:
            self._forwarder.set_instances(len(self._contact.instances))
        self._announce()

    def _apply_routing(self) -> None:
        configuration = self._contact.routing
        self._forwarder.apply_routing(configuration)
        limits = configuration.limits
        self._front.set_limits(
            HttpLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms,
                idle_timeout_ms=limits.idle_timeout_ms,
            )
        )

    def _on_grants(self, grants: GrantsReceived) -> None:
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
            self._forwarder.take_load(message)

    def _on_fleet(self, view: FleetView) -> None:
        if not self._forwarder.apply_fleet(view):
            return
        self._contact.note_fleet(view.term, view.sequence)
        self._hint.extend(view.control)
        log_event(
            FLEET_APPLIED,
            term=view.term,
            sequence=view.sequence,
            targets=len(view.targets),
            loading=[target.name for target in view.targets if target.loading],
            leaving=[target.name for target in view.targets if target.leaving],
        )
        self._announce()

    def _announce(self) -> None:
        """Tell the control group once callers may come."""
        if self._contact.status == "starting" and self._forwarder.is_ready:
            log_event(FORWARDING_READY, feed_version=self._contact.feed_version)
            self._control.set_status("serving")

    # Periodic work

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._timers.set("tick", now_ms + TICK_INTERVAL_MS, self._tick)
        self._ticks += 1
        self._send_load()
        self._note_contact(now_ms)
        if self._shares.needs_report(now_ms):
            self._control.beat()
        if self._ticks % SWEEP_TICKS == 0:
            self._target_port.close_expired()
        if self._quota.has_waiting:
            self._poll_quota()

    def _send_load(self) -> None:
        leader = self._contact.leader
        if leader is None:
            return
        instance = self._settings.forwarding.instance
        paused = self._forwarder.take_new_pauses()
        report = self._forwarder.table.report(instance, paused)
        if report is None and self._ticks % REPEAT_LOAD_TICKS == 0:
            report = self._forwarder.table.repeat_report(instance)
        if report is not None:
            self._link.send(leader, report)

    def _note_contact(self, now_ms: int) -> None:
        has_contact = self._contact.has_contact(now_ms)
        if has_contact != self._has_contact:
            self._has_contact = has_contact
            event = CONTROL_REGAINED if has_contact else CONTROL_LOST
            log_event(event, feed_version=self._contact.feed_version)

    def _poll_quota(self) -> None:
        self._forwarder.poll_quota()
        now_ms = self._clock.now_ms()
        if self._shares.needs_report(now_ms):
            self._control.beat()
        if self._quota.has_waiting:
            self._timers.set("quota", now_ms + QUOTA_POLL_MS, self._poll_quota)
