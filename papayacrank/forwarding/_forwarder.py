"""Forwarding of requests: admission, attempts at targets, and responses."""

from collections.abc import Callable
from random import Random

from papayacrank.kernel import Clock, Failure
from papayacrank.messages import (
    FleetLoad,
    FleetView,
    ReleaseReport,
    RoutingConfiguration,
)
from papayacrank.permits import PermitPort
from papayacrank.transport import ExchangeListener, HttpExchange, RequestHead, Timers

from ._admission import RequestAdmission
from ._attempt_builder import AttemptBuilder
from ._attempts import AttemptRunner
from ._base import CallerProtocol
from ._continuity import StreamContinuity
from ._fleet_state import FleetState
from ._gate import RequestGate
from ._headers import HeaderList
from ._interruptions import RequestInterruptions
from ._metrics import ForwardingMetrics
from ._open_requests import OpenRequests
from ._overdue import OverdueAttempts
from ._path_port import PathPort
from ._quota import QuotaEnforcer
from ._relay import Relay
from ._release_traffic import ReleaseTraffic
from ._responses import ResponseHandler
from ._retry_budget import RetryBudget
from ._room_waits import RoomWaits
from ._settings import ForwardingSettings
from ._suspects import SuspectTracker
from ._target_call import CallFailure, CallListener, TargetCall
from ._target_port import TargetPort
from ._target_signals import TargetSignals
from ._targets import RoomReport, TargetTable


class Forwarder(ExchangeListener, CallListener):
    """Forwards requests of callers to targets.

    Parameters
    ----------
    settings : ForwardingSettings
        Settings.
    protocol : CallerProtocol
        HTTP representation of requests and responses.
    port : TargetPort
        Connections to targets.
    quota : QuotaEnforcer
        Rate limits of the workspaces.
    permits : PermitPort
        Permits for targets with a request rate limit.
    suspects : SuspectTracker
        Quarantine of requests and prompt parts that crash targets.
    continuity : StreamContinuity
        Releases of the targets that began streams.
    paths : PathPort
        Whether this instance has a path to the targets.
    relay : Relay
        Passes requests on to other instances while it has none.
    clock : Clock
        Clock of `timers`.
    timers : Timers
        Timers of the process.
    random_state : random.Random
        Source of random choices.
    contacted_ms : callable, optional
        Returns when the leader was last heard of, in milliseconds; None before that.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        protocol: CallerProtocol,
        port: TargetPort,
        quota: QuotaEnforcer,
        permits: PermitPort,
        suspects: SuspectTracker,
        continuity: StreamContinuity,
        paths: PathPort,
        relay: Relay,
        clock: Clock,
        timers: Timers,
        random_state: Random,
        contacted_ms: Callable[[], int | None] = lambda: None,
    ):

        self._protocol = protocol
        self._relay = relay
        self._random = random_state
        self._continuity = continuity
        self._metrics = ForwardingMetrics()
        rollouts = ReleaseTraffic(clock, random_state, contacted_ms)
        rollouts.count = self._metrics.on_rollout_sent
        suspects.on_checked = rollouts.on_checked
        self._fleet = FleetState(
            settings, port, quota, permits, paths, clock, random_state, rollouts
        )
        room_waits = RoomWaits(clock, timers)
        retry_budget = RetryBudget(
            settings.retry_ratio, settings.retry_window_ms, settings.retry_slack
        )
        self._requests = OpenRequests(
            self._fleet,
            protocol,
            quota,
            permits,
            room_waits,
            suspects,
            continuity,
            self._metrics,
            clock,
            timers,
            random_state,
        )
        builder = AttemptBuilder(settings, self._fleet, protocol, permits, self, clock)
        runner = AttemptRunner(
            self._fleet,
            self._requests,
            builder,
            port,
            permits,
            suspects,
            continuity,
            paths,
            relay,
            retry_budget,
            room_waits,
            self._metrics,
            clock,
            timers,
        )
        signals = TargetSignals(self._fleet, permits, clock, timers)
        overdue = OverdueAttempts(
            self._fleet,
            self._requests,
            builder,
            runner,
            signals,
            suspects,
            port,
            clock,
            timers,
        )
        self._responses = ResponseHandler(
            self._fleet,
            self._requests,
            runner,
            overdue,
            signals,
            protocol,
            port,
            quota,
            suspects,
            continuity,
            paths,
            self._metrics,
            clock,
            timers,
        )
        self._gate = RequestGate(self._fleet, self._requests, clock, timers)
        self._interruptions = RequestInterruptions(
            self._requests, self._gate, runner, overdue, port, relay
        )
        self._admission = RequestAdmission(
            self._fleet,
            self._requests,
            self._gate,
            runner,
            self._interruptions,
            protocol,
            quota,
            paths,
            relay,
            retry_budget,
            self._metrics,
            clock,
            timers,
            random_state,
        )

    @property
    def fleet(self) -> FleetState:
        """Targets, stores, weights and routes as this process knows them."""
        return self._fleet

    @property
    def table(self) -> TargetTable:
        """Table of the targets and their load."""
        return self._fleet.table

    @property
    def metrics(self) -> ForwardingMetrics:
        """Metrics of this process."""
        return self._metrics

    @property
    def open_jobs(self) -> int:
        """Number of requests without a final response."""
        return len(self._requests.jobs) + self._relay.open_requests

    @property
    def slot_leases(self) -> dict[str, int]:
        """Leased slots of refusal-limited targets, by target."""
        return self._fleet.leases.held

    @property
    def is_ready(self) -> bool:
        """Whether a configuration and at least one target are known."""
        return self._fleet.is_ready

    @property
    def on_quota_wait(self) -> Callable[[], None]:
        """Called when a request begins to wait for a grant of tokens."""
        return self._admission.on_quota_wait

    @on_quota_wait.setter
    def on_quota_wait(self, callback: Callable[[], None]) -> None:
        self._admission.on_quota_wait = callback

    # State from the control group

    def apply_routing(self, configuration: RoutingConfiguration) -> None:
        """Replace the routing configuration."""
        self._fleet.apply_routing(configuration)
        self._gate.release_held_requests()

    def apply_weights(self, versions: dict[str, int]) -> None:
        """Set the current version of the weights of each model."""
        self._fleet.apply_weights(versions)

    def apply_fleet(self, view: FleetView) -> bool:
        """Apply a list of the targets; return whether it was newer than the last."""
        is_new = self._fleet.apply_fleet(view)
        if is_new:
            self._gate.release_held_requests()
        return is_new

    def apply_load(self, load: FleetLoad) -> None:
        """Apply the load, pauses and prompt parts that the leader reports."""
        self._fleet.apply_load(load)

    def readmit_targets(self) -> None:
        """Use all targets again after the path to them was lost."""
        self._fleet.readmit_targets()

    def set_instances(self, count: int) -> None:
        """Set the number of instances that share rate limits and retry budgets."""
        self._fleet.set_instances(count)

    def take_new_pauses(self) -> list[tuple[str, int]]:
        """Return the pauses that targets requested since the last call."""
        return self._fleet.take_new_pauses()

    def report_releases(self) -> list[ReleaseReport]:
        """Return the outcomes of requests of running rollouts."""
        return self._fleet.rollouts.report()

    def take_room_report(self) -> RoomReport:
        """Return what the leader needs to divide the slots of targets."""
        return self._fleet.take_room_report()

    # Planned stop

    def begin_stop(self, ends_at_ms: int) -> None:
        """Refuse from now on the requests whose time limit is later than the stop.

        Parameters
        ----------
        ends_at_ms : int
            Time in milliseconds at which the process ends.
        """
        self._gate.begin_stop(ends_at_ms)

    def end_open_requests(self) -> None:
        """End all requests before the process does.

        Requests without a response get a failure; a stream that has begun is cut.
        """
        self._interruptions.end_open_requests()

    # Callers

    def on_exchange(self, exchange: HttpExchange) -> None:
        """Handle a request of a caller."""
        self._admission.on_exchange(exchange)

    def on_caller_left(self, exchange: HttpExchange) -> None:
        """Cancel the request of a caller that disconnected."""
        self._interruptions.on_caller_left(exchange)

    def build_refusal(
        self, head: RequestHead, failure: Failure
    ) -> tuple[HeaderList, bytes]:
        """Return the response to a request whose body does not fit into memory."""
        request = self._protocol.read_request(head)
        request_id = "" if isinstance(request, Failure) else request.request_id
        response = self._protocol.build_failure(failure, request_id)
        return response.headers, response.body

    def poll_quota(self) -> None:
        """Continue requests that waited for a grant of tokens."""
        self._admission.poll_quota()

    # Targets

    def matches_call(self, call: TargetCall, status: int, headers: HeaderList) -> bool:
        """Whether a response belongs to the call and not to an earlier request."""
        return self._responses.matches_call(call, status, headers)

    def on_response(self, call: TargetCall, status: int, headers: HeaderList) -> None:
        """Handle the head of a response."""
        self._responses.on_response(call, status, headers)

    def on_data(self, call: TargetCall, data: bytes) -> None:
        """Handle a chunk of a response body."""
        self._responses.on_data(call, data)

    def on_ended(self, call: TargetCall) -> None:
        """Handle the end of a response."""
        self._responses.on_ended(call)

    def on_failed(self, call: TargetCall, failure: CallFailure) -> None:
        """Handle a call that ended without a complete response."""
        self._responses.on_failed(call, failure)
