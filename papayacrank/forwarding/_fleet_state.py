"""Knowledge of one entry process about targets, stores, weights and routes."""

from random import Random

from papayacrank.costs import CostModel, CostReport
from papayacrank.kernel import Clock, log_event
from papayacrank.messages import (
    FleetLoad,
    FleetView,
    PartLocation,
    RoutingConfiguration,
)
from papayacrank.permits import PermitPort
from papayacrank.scarcity import LoadAdmission

from ._events import ROUTING_APPLIED, STORE_CHANGED
from ._health import TargetHealth
from ._job import Attempt, Job
from ._known_parts import KnownPartLocations
from ._path_port import PathPort
from ._pauses import TargetPauses
from ._quota import QuotaEnforcer
from ._refusal_limits import RefusalLimitedServices, RoomLeases
from ._release_traffic import ReleaseTraffic
from ._routes import RouteIndex
from ._selection import TargetSelection
from ._settings import ForwardingSettings
from ._target_port import TargetPort
from ._targets import RoomReport, TargetTable
from ._unidentified import UnidentifiedResponses


class FleetState:
    """Targets, their health and load, stores, weights and the routing configuration.

    Parameters
    ----------
    settings : ForwardingSettings
        Settings.
    port : TargetPort
        Connections to targets.
    quota : QuotaEnforcer
        Rate limits of the workspaces.
    permits : PermitPort
        Permits for targets with a request rate limit.
    paths : PathPort
        Whether this instance has a path to the targets.
    clock : Clock
        Clock of the process.
    random_state : random.Random
        Source of random choices.
    rollouts : ReleaseTraffic
        Releases that new requests may use.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        port: TargetPort,
        quota: QuotaEnforcer,
        permits: PermitPort,
        paths: PathPort,
        clock: Clock,
        random_state: Random,
        rollouts: ReleaseTraffic,
    ):
        self._port = port
        self._quota = quota
        self._permits = permits
        self._paths = paths
        self._clock = clock
        self.rollouts = rollouts
        self.table = TargetTable()
        self._paths.on_silent = self.table.report_unreachable
        self.health = TargetHealth()
        self.parts = KnownPartLocations()
        self.costs = CostModel()
        self.pauses = TargetPauses(settings.max_pause_ms)
        self.refusal_limits = RefusalLimitedServices()
        self.leases = RoomLeases()
        self.unidentified = UnidentifiedResponses()
        self.load_admission = LoadAdmission()
        self.selection = TargetSelection(
            self.table,
            self.health,
            self.pauses,
            permits.client,
            self.refusal_limits,
            self.leases,
            self.parts,
            settings.failure_domain,
            random_state,
            rollouts,
            self.costs,
        )
        self._list_age_s = 0
        self._index: RouteIndex | None = None
        self._weights: dict[str, int] = {}
        self._weights_since_ms: dict[str, int] = {}
        self._instances = 1
        self._store_incarnations: dict[str, int] = {}
        self._unavailable_stores: frozenset[str] = frozenset()

    @property
    def index(self) -> RouteIndex | None:
        """Routes of the configuration in force; None before the first one."""
        return self._index

    @property
    def list_age_s(self) -> int:
        """Age of the leader's list of targets in seconds; 0 while it is up to date."""
        return self._list_age_s

    @property
    def weights(self) -> dict[str, int]:
        """Current version of the weights of each model."""
        return self._weights

    @property
    def weights_since_ms(self) -> dict[str, int]:
        """Time at which each of these versions became known, in milliseconds."""
        return self._weights_since_ms

    @property
    def instances(self) -> int:
        """Number of instances that share rate limits and retry budgets."""
        return self._instances

    @property
    def unavailable_stores(self) -> frozenset[str]:
        """Stores that do not respond."""
        return self._unavailable_stores

    @property
    def is_ready(self) -> bool:
        """Whether a configuration and at least one target are known."""
        return self._index is not None and self.table.count > 0

    def apply_routing(self, configuration: RoutingConfiguration) -> None:
        """Replace the routing configuration."""
        self._index = RouteIndex(configuration)
        self._quota.configure(configuration)
        self.load_admission.set_rates(
            {item.name: item.rate_per_s for item in configuration.workspaces}
        )
        log_event(
            ROUTING_APPLIED,
            version=configuration.version,
            routes=len(configuration.routes),
            rates={
                item.name: [item.rate_per_s, item.burst]
                for item in configuration.workspaces
            },
        )

    def apply_weights(self, versions: dict[str, int]) -> None:
        """Set the current version of the weights of each model."""
        now_ms = self._clock.now_ms()
        for model, version in versions.items():
            if version > self._weights.get(model, 0):
                self._weights_since_ms[model] = now_ms
        self._weights = dict(versions)

    def apply_fleet(self, view: FleetView) -> bool:
        """Apply a list of the targets; return whether it was newer than the last."""
        removed = self.table.update(view)
        if removed is None:
            return False
        for target in removed:
            self.health.forget(target.name)
            self.pauses.forget(target.name)
            self.unidentified.forget(target.name)
            self.parts.engines.forget_location(target.name)
            self._port.drop_idle(target.address)
        self.costs.retain(view.targets)
        self._permits.client.retain((t.name, t.born_ms) for t in view.targets)
        self._paths.set_targets(view.targets)
        self._update_stores(view.stores)
        self.rollouts.apply(view.rollouts)
        return True

    def readmit_targets(self) -> None:
        """Use all targets again after the path to them was lost."""
        self.health.readmit_all()

    def _update_stores(self, incarnations: dict[str, int]) -> None:
        """Drop the known contents of stores that restarted or became unavailable.

        Parameters
        ----------
        incarnations : dict of str to int
            Incarnation of each store; 0 while it does not respond.
        """
        for name, incarnation in incarnations.items():
            known = self._store_incarnations.get(name, incarnation)
            if incarnation != known:
                self.parts.stores.forget_location(name)
                log_event(STORE_CHANGED, store=name, start=incarnation, known=known)
        self._store_incarnations |= incarnations
        unavailable = (
            name
            for name, incarnation in self._store_incarnations.items()
            if not incarnation
        )
        self._unavailable_stores = frozenset(unavailable)

    def set_instances(self, count: int) -> None:
        """Set the number of instances that share rate limits and retry budgets."""
        self._instances = max(1, count)
        self._quota.set_instances(count)

    def record_parts(self, job: Job, attempt: Attempt, now_ms: int) -> None:
        """Record where the shared parts are cached now; report new ones to others."""
        name = attempt.target.name
        for part in job.request.shared_parts:
            location = PartLocation(name, attempt.salt, part.name, attempt.store)
            if self._record_location(location, now_ms):
                self.table.report_part(location)

    def _record_location(self, location: PartLocation, now_ms: int) -> bool:
        salt, part = location.salt, location.part
        is_new = self.parts.engines.record(location.target, salt, part, now_ms)
        if location.store:
            is_new |= self.parts.stores.record(location.store, salt, part, now_ms)
        return is_new

    def take_new_pauses(self) -> list[tuple[str, int]]:
        """Return the pauses that targets requested since the last call."""
        return self.pauses.take_unreported(self._clock.now_ms())

    def take_room_report(self) -> RoomReport:
        """Return what the leader needs to divide the slots of targets."""
        refusal_limited, full = self.refusal_limits.take_unreported()
        services = self.refusal_limits.list_services(self._clock.now_ms())
        wanted = self.leases.take_demand(services)
        return RoomReport(refusal_limited, full, wanted, self.leases.held)

    def take_cost_report(self) -> CostReport:
        """Return what was learned of costs since the last call."""
        return self.costs.take_report(self.table.position[0], self._clock.now_ms())

    def apply_load(self, load: FleetLoad) -> None:
        """Apply the load, costs, pauses and prompt parts that the leader reports."""
        now_ms = self._clock.now_ms()
        if not self.table.apply_load(load, now_ms):
            return
        self._list_age_s = load.list_age_s
        self.load_admission.apply_sums(load.demand, now_ms)
        self.costs.apply(self.table.map_to_names(load.costs), load.service_costs)
        for number, pause_ms in load.paused:
            name = self.table.name_of(number)
            if name is not None:
                self.pauses.on_pause_reported(name, pause_ms, now_ms)
        self.refusal_limits.on_reported(load.refusal_limited, now_ms)
        if load.leases is not None:
            leases = self.table.map_to_names(load.leases)
            self.leases.apply(load.refusal_limited, leases)
        elif not self.refusal_limits.list_services(now_ms):
            # Until then a new leader may not have heard of the leases.
            self.leases.apply((), {})
        for group in load.parts:
            for number, part in group.places:
                name = self.table.name_of(number)
                if name is not None:
                    location = PartLocation(name, group.salt, part, group.store)
                    self._record_location(location, now_ms)
