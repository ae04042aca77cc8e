"""Synchronization of the router with the feed."""

from papayacrank.config import Configuration, Service, ServiceKind, TargetAddress
from papayacrank.control import ControlContact
from papayacrank.kernel import Clock, create
from papayacrank.routing import LIVE, Router, RoutingPolicy, TargetView

GONE = "gone"


class TargetSync:
    """Applies configuration, target states and the instance count to the router.

    Parameters
    ----------
    contact : ControlContact
        Control contact with the latest feed.
    router : Router
        Router to update.
    clock : Clock
        Monotonic clock.
    """

    def __init__(self, contact: ControlContact, router: Router, clock: Clock):
        self._contact = contact
        self._router = router
        self._clock = clock
        self._services: set[str] = set()
        self._policy = ""

    def update(self) -> None:
        """Apply the routing policy and the targets of the feed."""
        configuration = self._contact.configuration
        if configuration is None:
            return
        self._apply_policy(configuration)
        now_ms = self._clock.now_ms()
        names = {service.name for service in configuration.services}
        for removed in sorted(self._services - names):
            self._router.update_targets(removed, [], now_ms)
        for service in configuration.services:
            self._router.update_targets(
                service.name, self._build_views(service), now_ms
            )
        self._services = names

    def update_instances(self) -> None:
        """Apply the number of serving instances."""
        serving = [i for i in self._contact.instances if i.status == "serving"]
        self._router.set_instances(len(serving))

    def list_starts(self) -> list[tuple[str, int]]:
        """Return the names of all configured targets; their starts are unknown."""
        configuration = self._contact.configuration
        services = configuration.services if configuration is not None else ()
        return [(target.name, 0) for s in services for target in s.targets]

    def list_engines(self) -> list[TargetAddress]:
        """Return all configured engines except those in state ``gone``."""
        configuration = self._contact.configuration
        if configuration is None:
            return []
        return [
            target
            for service in configuration.services
            if service.kind is ServiceKind.ENGINE
            for target in service.targets
            if self._contact.targets.get(target.name, LIVE) != GONE
        ]

    def _apply_policy(self, configuration: Configuration) -> None:
        self._router.goals = configuration.goals
        if configuration.routing_policy != self._policy:
            self._policy = configuration.routing_policy
            self._router.policy = create(RoutingPolicy, self._policy)

    def _build_views(self, service: Service) -> list[TargetView]:
        version = service.weights_version if service.model is not None else ""
        return [
            TargetView(
                name=target.name,
                address=target.address,
                failure_domain=target.failure_domain,
                state=self._contact.targets.get(target.name, LIVE),
                weights_version=version,
            )
            for target in service.targets
        ]
