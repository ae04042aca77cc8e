"""Construction and life cycle of the entry process."""

import random
import time
from enum import Enum

import msgspec
from circuits import BaseComponent

from papayacrank.accounting import RequestRecords, UsageRecorder
from papayacrank.admission import AdmissionPolicy, LocalShares
from papayacrank.config import EntrySettings
from papayacrank.control import (
    ContactSettings,
    ControlClient,
    ControlConnector,
    ControlContact,
    FeedChanged,
    GrantsReceived,
    LeaderHint,
)
from papayacrank.kernel import Clock, create, log_event
from papayacrank.messages import (
    CONTROL_MESSAGES,
    ReportUsage,
    ShareReport,
    WarmupReply,
    WarmupRequest,
)
from papayacrank.permits import PermitClient, PermitPort
from papayacrank.quarantine import (
    ConnectionCheck,
    CrashChecks,
    QuarantineClient,
    QuarantinePort,
)
from papayacrank.routing import RetryPolicy, Router
from papayacrank.targets import TargetClient
from papayacrank.transport import (
    Link,
    LinkSettings,
    MessageCodec,
    Timers,
    start_traffic_log,
)

from ._context import EntryContext
from ._dispatcher import DEFAULT_KEEP_MS, Dispatcher
from ._drain import Drain, DrainState
from ._engine_monitor import EngineMonitor
from ._events import (
    ANNOUNCED,
    CONFIGURATION_APPLIED,
    CONTACT_LOST,
    CONTACT_REGAINED,
    DRAIN_FINISHED,
    DRAIN_STARTED,
    KEY_WITHDRAWN,
    WARMUP_FINISHED,
    WARMUP_PAGE_REFUSED,
)
from ._flow_table import FlowTable
from ._front_end import FrontEnd
from ._metrics import EntryMetrics
from ._record_closer import RecordCloser
from ._target_sync import TargetSync
from ._warmup import (
    TIMER as WARMUP_TIMER,
)
from ._warmup import (
    PageReceived,
    WarmupClient,
    WarmupEnded,
    WarmupServer,
)

CHECK_INTERVAL_MS = 100
USAGE_INTERVAL_MS = 2_000
USAGE_TIMEOUT_MS = 3_000
# Limits the wait for the confirmation of the last usage report.
STOP_TIMEOUT_MS = 3_000
LEASE_MS = 3_000
MS_PER_MINUTE = 60_000
SEED_BITS = 64


class StartState(Enum):
    """Progress of the startup."""

    WAITING_FOR_CONTACT = "waiting-for-contact"
    COPYING = "copying"
    LISTING = "listing"
    ANNOUNCED = "announced"


class EntryProcess(BaseComponent):
    """Owns the components of the entry process and controls startup and shutdown.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    clock : Clock
        Monotonic clock.
    timers : Timers
        Timer component that uses `clock`.
    random_state : random.Random
        Random number generator of the process.
    boot : int
        Boot number of the process, larger at each start on an instance.
    """

    channel = "entry-process"

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        timers: Timers,
        random_state: random.Random,
        boot: int,
    ):
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._timers = timers
        self._boot = boot
        self._random_state = random_state
        self._start_state = StartState.WAITING_FOR_CONTACT
        self._start_by_ms = 0
        self._had_contact = False
        self._drain = Drain(LEASE_MS)
        self._stop_by_ms: int | None = None
        self._last_usage_report_ms = clock.now_ms()
        self._usage_in_flight: set[int] = set()
        self._build()
        start_traffic_log(self._link, self._clock, self._timers)
        self._run_periodic_checks()

    @property
    def address(self) -> str:
        """Address that callers connect to, as ``ip:port``."""
        return self._front_end.address

    @property
    def link_address(self) -> str:
        """Address that other processes connect to."""
        return self._link.listen_address

    @property
    def start_state(self) -> StartState:
        """Progress of the startup."""
        return self._start_state

    def terminate(self) -> None:
        """Start a planned stop."""
        if self._drain.is_draining:
            return
        log_event(DRAIN_STARTED, requests=len(self._flows))
        self._drain.begin(self._clock.now_ms())
        self._front_end.close_after_responses()
        self._dispatcher.set_status("draining")
        self._port.set_status("draining")

    # Construction

    def _build(self) -> None:
        settings, clock, timers = self._settings, self._clock, self._timers
        self._front_end = FrontEnd(settings, clock, timers, self._boot).register(self)
        self._shares = LocalShares()
        self._build_control()
        self._metrics = EntryMetrics()
        self._usage = UsageRecorder(settings.instance, self._boot)
        name = f"{settings.instance}@{self._boot}"
        self._permits = PermitPort(
            PermitClient(name), self._port.send_to_leader, clock, timers
        )
        self._permits.count = self._metrics.on_permit
        self._quarantine = QuarantinePort(
            QuarantineClient(name), self._port.send_to_leader, clock, timers
        )
        self._quarantine.count = self._metrics.on_quarantine
        self._router = Router(
            "papayacrank",
            None,
            settings.instance,
            settings.failure_domain,
            self._random_state,
            permits=self._permits.client,
        )
        self._engine_admission = self._create_admission(self._shares)
        # Requests to plain services use no tokens, so their queue has no shares.
        plain_admission = self._create_admission(LocalShares())
        self._flows = FlowTable(
            clock,
            timers,
            (self._engine_admission, plain_admission),
            self._request_shares,
        )
        self._record_closer = RecordCloser(clock, timers, self._port.submit)
        self._context = EntryContext(
            settings=settings,
            boot=self._boot,
            clock=clock,
            timers=timers,
            contact=self._contact,
            targets=TargetClient(clock, timers).register(self),
            router=self._router,
            permits=self._permits,
            quarantine=self._quarantine,
            crash_checks=CrashChecks(
                ConnectionCheck(clock, timers),
                clock,
                self._quarantine.report_crash,
            ),
            shares=self._shares,
            engine_admission=self._engine_admission,
            plain_admission=plain_admission,
            retries=create(RetryPolicy, "budgeted"),
            usage=self._usage,
            records=RequestRecords(),
            metrics=self._metrics,
            submit_command=self._port.submit,
            record_closer=self._record_closer,
            flows=self._flows,
        )
        self._dispatcher = Dispatcher(self._context).register(self)
        self._engine_monitor = EngineMonitor(
            self._context.targets,
            self._router,
            self._engine_admission,
            clock,
            timers,
            self._random_state,
            settings.timings.load_poll_interval_ms,
        ).register(self)
        self._target_sync = TargetSync(self._contact, self._router, clock)
        self._warmup_server = WarmupServer(self._router.export_page)
        self._warmup_client = WarmupClient(
            settings.instance, self._boot, settings.timings.warmup_timeout_ms
        )
        self._add_gauges()

    def _build_control(self) -> None:
        settings = self._settings
        peers = [*settings.control, *settings.peers]
        link_settings = LinkSettings(
            settings.instance,
            settings.link,
            {p.name: p.address for p in peers if p.name != settings.instance},
        )
        codec = MessageCodec(CONTROL_MESSAGES)
        self._link = Link(link_settings, codec).register(self)
        leader = LeaderHint(peer.name for peer in settings.control)
        contact_settings = ContactSettings(
            instance=settings.instance,
            boot=self._boot,
            failure_domain=settings.failure_domain,
            address=self._front_end.address,
            heartbeat_interval_ms=settings.timings.heartbeat_interval_ms,
            contact_ms=settings.timings.control_contact_ms,
        )
        self._contact = ControlContact(contact_settings, leader, self._report_shares)
        client = ControlClient(
            settings.instance, self._boot, leader, self._random_state
        )
        self._port = ControlConnector(
            self._link, self._contact, client, self._clock, self._timers
        ).register(self)
        self._port.on_feed = self._on_feed
        self._port.on_grants = self._on_grants
        self._port.on_message = self._on_message

    def _create_admission(self, shares: LocalShares) -> AdmissionPolicy:
        return create(
            AdmissionPolicy,
            "fair",
            shares=shares,
            max_queued=self._settings.limits.max_queued_requests,
            budget_wait_ms=self._settings.timings.budget_wait_ms,
            random_state=random.Random(self._random_state.getrandbits(SEED_BITS)),
        )

    def _add_gauges(self) -> None:
        gauges = {
            "connections": ("Open connections", lambda: self._count_connections()),
            "requests_in_progress": ("Requests", lambda: len(self._flows)),
            "streams_paused": ("Held back", lambda: self._flows.paused_streams),
            "target_attempts": ("Attempts", lambda: self._context.targets.active),
            "control_contact": ("1 with contact", lambda: int(self._had_contact)),
            "feed_version": ("Feed copy", lambda: self._contact.feed_version),
            "rate_limited_targets": (
                "Targets with a request rate limit",
                lambda: self._permits.client.limited_targets,
            ),
            "suspected_parts": (
                "Prompt parts that may crash targets",
                lambda: self._quarantine.client.suspected_parts,
            ),
            "quarantined_parts": (
                "Prompt parts whose requests are refused",
                lambda: self._quarantine.client.quarantined_parts,
            ),
        }
        for name, (text, read) in gauges.items():
            self._metrics.add_gauge(name, text, read)

    def _count_connections(self) -> int:
        return self._front_end.connection_count

    # Periodic checks

    def _run_periodic_checks(self) -> None:
        """Run the checks that depend on time and not on an event."""
        now_ms = self._clock.now_ms()
        self._timers.set(
            "entry/watch", now_ms + CHECK_INTERVAL_MS, self._run_periodic_checks
        )
        self._check_contact(now_ms)
        self._permits.poll(self._contact.term)
        self._quarantine.poll(self._contact.term)
        self._advance_start(now_ms)
        self._report_usage(now_ms)
        self._advance_drain(now_ms)

    def start_contact(self) -> None:
        """Start sending heartbeats; requires a running event loop."""
        self._port.start_contact()

    def _check_contact(self, now_ms: int) -> None:
        has_contact = self._contact.has_contact(now_ms)
        if has_contact == self._had_contact:
            return
        self._had_contact = has_contact
        if has_contact:
            log_event(CONTACT_REGAINED)
            return
        log_event(CONTACT_LOST)
        addresses = self._dispatcher.list_other_addresses()
        for flow in self._flows.list_authenticated():
            self._flows.call(flow, "on_contact_lost", addresses)

    # Control contact

    def _on_feed(self, change: FeedChanged) -> None:
        if change.configuration or change.targets:
            self._target_sync.update()
            self._permits.client.retain(self._target_sync.list_starts())
            self._engine_monitor.update_targets(self._target_sync.list_engines())
        if change.configuration:
            log_event(
                CONFIGURATION_APPLIED, version=self._contact.configuration_version
            )
        if change.instances:
            self._target_sync.update_instances()
        for entry in change.withdrawn:
            flows = self._flows.list_with_key(entry.key_id)
            log_event(KEY_WITHDRAWN, key_id=entry.key_id, requests=len(flows))
            for flow in flows:
                self._flows.call(flow, "on_key_withdrawn")

    def _on_grants(self, received: GrantsReceived) -> None:
        self._shares.apply_grants(
            list(received.grants), received.sent_ms, received.lease_ms
        )
        self._flows.poll_admission()

    def _request_shares(self) -> None:
        """Send a heartbeat immediately if requests are waiting for tokens."""
        if self._shares.needs_report(self._clock.now_ms()):
            self._port.send_heartbeat()

    def _report_shares(self, now_ms: int) -> list[ShareReport]:
        if self._stop_by_ms is not None:
            return self._shares.release_all(now_ms)
        return self._shares.reports(now_ms)

    def _report_usage(self, now_ms: int) -> None:
        if now_ms - self._last_usage_report_ms < USAGE_INTERVAL_MS:
            return
        self._last_usage_report_ms = now_ms
        self._send_usage()

    def _send_usage(self) -> None:
        self._usage.close_report(time.time_ns() // 1_000_000 // MS_PER_MINUTE)
        for report in self._usage.pending:
            if report.sequence not in self._usage_in_flight:
                self._usage_in_flight.add(report.sequence)
                self._submit_usage(report)

    def _submit_usage(self, report: ReportUsage) -> None:
        def on_result(result) -> None:
            self._usage_in_flight.discard(report.sequence)
            if result.is_ok():
                self._usage.confirm(report.sequence)

        self._port.submit(report, on_result, USAGE_TIMEOUT_MS)

    # Startup

    def _advance_start(self, now_ms: int) -> None:
        if self._drain.is_draining:
            return
        ready = self._had_contact and self._contact.configuration is not None
        if self._start_state is StartState.WAITING_FOR_CONTACT and ready:
            self._start_state = StartState.COPYING
            self._start_by_ms = now_ms + self._settings.timings.warmup_timeout_ms
            self._apply_warmup_effects(
                self._warmup_client.start(self._list_serving_peers(), now_ms)
            )
        elif self._start_state is StartState.LISTING and ready:
            self._announce_when_listed(now_ms)

    def _announce_when_listed(self, now_ms: int) -> None:
        if self._engine_monitor.is_complete or now_ms >= self._start_by_ms:
            self._announce()

    def _list_serving_peers(self) -> list[str]:
        known = {peer.name for peer in self._settings.peers}
        own = self._settings.instance
        serving = [
            item.instance
            for item in self._contact.instances
            if item.status == "serving" and item.instance in known - {own}
        ]
        self._random_state.shuffle(serving)
        return serving

    def _announce(self) -> None:
        self._start_state = StartState.ANNOUNCED
        self._dispatcher.set_status("serving")
        self._port.set_status("serving")
        log_event(ANNOUNCED, address=self.address)

    def _apply_warmup_effects(self, effects: list) -> None:
        """Apply the effects returned by the warm-up client."""
        for effect in effects:
            if isinstance(effect, PageReceived):
                self._import_page(effect)
            elif isinstance(effect, WarmupEnded):
                log_event(WARMUP_FINISHED, complete=effect.complete, peer=effect.peer)
                # Without a complete copy, `_advance_start` waits until the engines have
                # listed their cached blocks.
                self._start_state = StartState.LISTING
                if effect.complete:
                    self._announce()
            else:
                self._run_warmup_effect(effect)

    def _run_warmup_effect(self, effect) -> None:
        name = getattr(effect, "name", None)
        if name == WARMUP_TIMER and hasattr(effect, "at_ms"):
            self._timers.set(WARMUP_TIMER, effect.at_ms, self._on_warmup_timer)
        else:
            self._port.run([effect])

    def _on_warmup_timer(self) -> None:
        self._apply_warmup_effects(self._warmup_client.tick(self._clock.now_ms()))

    def _import_page(self, received: PageReceived) -> None:
        try:
            self._router.import_page(received.page, self._clock.now_ms())
        except (msgspec.DecodeError, ValueError) as error:
            # The peer may run an incompatible version. The listings of the engines
            # replace the content of the page.
            log_event(WARMUP_PAGE_REFUSED, error=str(error))

    def _on_message(self, sender: str, message) -> None:
        now_ms = self._clock.now_ms()
        if isinstance(message, WarmupReply):
            self._apply_warmup_effects(
                self._warmup_client.receive(sender, message, now_ms)
            )
        elif isinstance(message, WarmupRequest):
            may_serve = self._start_state is StartState.ANNOUNCED
            effects = self._warmup_server.receive(sender, message, may_serve, now_ms)
            self._port.run(effects)
        else:
            self._permits.receive(message)
            self._contact.set_rates_position(*self._permits.client.position)
            self._quarantine.receive(message)
            self._contact.set_quarantine_position(*self._quarantine.client.position)

    # Planned stop

    def _advance_drain(self, now_ms: int) -> None:
        if not self._drain.is_draining:
            return
        if self._stop_by_ms is not None:
            is_done = not self._usage.pending and not self._count_unfinished()
            if is_done or now_ms >= self._stop_by_ms:
                log_event(DRAIN_FINISHED, unconfirmed_usage=len(self._usage.pending))
                self.root.stop()
            return
        state = self._drain.update(
            now_ms, self._is_delisted(), self._keep_route_ms(), self._count_unfinished()
        )
        if state is DrainState.STOPPED:
            self._finish_drain(now_ms)

    def _finish_drain(self, now_ms: int) -> None:
        """Release all shares and send the last usage report."""
        self._stop_by_ms = now_ms + STOP_TIMEOUT_MS
        self._front_end.stop_listening()
        self._port.send_heartbeat()
        self._send_usage()

    def _is_delisted(self) -> bool:
        own = (self._settings.instance, self._boot)
        return not any(
            (item.instance, item.boot) == own and item.status == "serving"
            for item in self._contact.instances
        )

    def _keep_route_ms(self) -> int:
        configuration = self._contact.configuration
        return configuration.keep_route_ms if configuration else DEFAULT_KEEP_MS

    def _count_unfinished(self) -> int:
        return (
            self._front_end.open_exchanges + len(self._flows) + len(self._record_closer)
        )
