"""Selection of a target from those that are available and healthy."""

from random import Random

from papayacrank.costs import CostModel
from papayacrank.kernel import create
from papayacrank.messages import FleetTarget
from papayacrank.permits import PermitClient, RetrySpread

from ._health import TargetHealth
from ._known_parts import KnownPartLocations
from ._pauses import TargetPauses
from ._placement import Choice, Placement, PlacementRequest
from ._refusal_limits import RefusalLimitedServices, RoomLeases
from ._release_traffic import ReleaseTraffic
from ._targets import TargetTable

# Retry times of refused callers are spread over this fraction of the pause.
RETRY_JITTER = 0.5
MIN_RETRY_JITTER_MS = 100
MAX_LOGGED_TARGETS = 5


class TargetSelection:
    """Selects the target of a request by availability, health and placement.

    Targets that are leaving, loading weights or paused get no requests, and those with
    a request rate limit only if a permit is expected in time. Ejected and unreachable
    targets are used only if no healthy target can take the request.

    Parameters
    ----------
    table : TargetTable
        Targets and their load.
    health : TargetHealth
        Passive health checks of the targets.
    pauses : TargetPauses
        Pauses that targets requested.
    permits : PermitClient
        Request rate limits of the targets.
    refusal_limited : RefusalLimitedServices
        Services whose targets must not be asked to refuse requests.
    leases : RoomLeases
        Number of requests that this instance may have open at their targets.
    parts : KnownPartLocations
        Known locations of prompt parts.
    failure_domain : str
        Failure domain of this instance.
    random_state : random.Random
        Source of random choices.
    rollouts : ReleaseTraffic
        Releases that new requests may use.
    costs : CostModel, optional
        Expected times at the targets.
    """

    def __init__(
        self,
        table: TargetTable,
        health: TargetHealth,
        pauses: TargetPauses,
        permits: PermitClient,
        refusal_limited: RefusalLimitedServices,
        leases: RoomLeases,
        parts: KnownPartLocations,
        failure_domain: str,
        random_state: Random,
        rollouts: ReleaseTraffic,
        costs: CostModel | None = None,
    ):
        self._rollouts = rollouts
        self._refusal_limits = refusal_limited
        self._leases = leases
        self._table = table
        self._health = health
        self._pauses = pauses
        self._permits = permits
        self._random = random_state
        self._spread = RetrySpread(random_state)
        common = {
            "table": table,
            "parts": parts,
            "permits": permits,
            "failure_domain": failure_domain,
            "random_state": random_state,
            "costs": costs or CostModel(),
        }
        self._engine_placement = create(Placement, "expected_loss", **common)
        self._plain_placement = create(Placement, "least_running", **common)

    def choose(
        self,
        request: PlacementRequest,
        excluded: set[str],
        max_permit_wait_ms: int,
        now_ms: int,
        only: str | None = None,
    ) -> Choice | None:
        """Choose the target of a request.

        Parameters
        ----------
        request : PlacementRequest
            Request to place.
        excluded : set of str
            Targets that must not get the request.
        max_permit_wait_ms : int
            Longest time that the request may wait for a permit; `NO_PERMITS` excludes
            all targets that need one.
        now_ms : int
            Current time in milliseconds.
        only : str, optional
            Target to restrict the choice to.

        Returns
        -------
        Choice or None
            None if no target may get the request.
        """
        for allowed in self._allowed_groups(request):
            usable = self._usable_targets(
                request, allowed, excluded, max_permit_wait_ms, now_ms, only
            )
            choice = self._choose_usable(request, usable, now_ms)
            if choice is not None:
                return choice
        return None

    def _choose_usable(
        self, request: PlacementRequest, usable: list[FleetTarget], now_ms: int
    ) -> Choice | None:
        if self._refusal_limits.is_refusal_limited(request.service.name, now_ms):
            usable = [target for target in usable if self._has_room(target, now_ms)]
        healthy = [t for t in usable if self._is_healthy(t, now_ms)]
        is_engine = request.service.engine is not None
        placement = self._engine_placement if is_engine else self._plain_placement
        choice = placement.choose(request, healthy, now_ms)
        if choice is None and len(healthy) < len(usable):
            choice = placement.choose(request, usable, now_ms)
        return choice

    def lacks_only_room(
        self,
        request: PlacementRequest,
        excluded: set[str],
        max_permit_wait_ms: int,
        now_ms: int,
    ) -> bool:
        """Whether a target could take a request if it had room.

        The parameters are those of `choose`.
        """
        if not self._refusal_limits.is_refusal_limited(request.service.name, now_ms):
            return False
        return any(
            self._usable_targets(request, allowed, excluded, max_permit_wait_ms, now_ms)
            for allowed in self._allowed_groups(request)
        )

    def _allowed_groups(self, request: PlacementRequest) -> list[list[FleetTarget]]:
        """Return the targets of releases that may get a request, the best first."""
        service = request.service.name
        listed = self._table.find_by_service(service)
        return self._rollouts.restrict(
            service, listed, request.release, request.may_use_new
        )

    def _usable_targets(
        self,
        request: PlacementRequest,
        allowed: list[FleetTarget],
        excluded: set[str],
        max_permit_wait_ms: int,
        now_ms: int,
        only: str | None = None,
    ) -> list[FleetTarget]:
        return [
            target
            for target in allowed
            if not (target.leaving or target.loading)
            and target.name not in excluded
            and only in (None, target.name)
            and request.release in (None, target.release)
            and self._permits.has_permit_within(target.name, max_permit_wait_ms, now_ms)
            and self._pauses.may_send(
                target.name, self._table.own_running(target.name), now_ms
            )
        ]

    def _has_room(self, target: FleetTarget, now_ms: int) -> bool:
        """Whether a refusal-limited target can start a request at once."""
        running = self._table.own_running(target.name)
        return not self._refusal_limits.is_full(
            target.name, now_ms
        ) and self._leases.may_send(target.service, target.name, running)

    def estimate_retry_after_ms(
        self, service: str, instances: int, now_ms: int
    ) -> int | None:
        """Return the time after which a refused caller should retry.

        Callers that were refused together are spread over the time in which the targets
        can take them.

        Parameters
        ----------
        service : str
            Service of the request.
        instances : int
            Number of instances that share the request rate limits.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        int or None
            Time in milliseconds; None unless all targets of the service are paused or
            have a request rate limit.
        """
        names = [target.name for target in self._available_targets(service)]
        pause_ends = {
            name: end_ms
            for name in names
            if (end_ms := self._pauses.pause_end_ms(name, now_ms)) is not None
        }
        rates = {
            name: per_s
            for name in names
            if name not in pause_ends
            and (per_s := self._permits.rate_of(name)) is not None
        }
        if not names or len(pause_ends) + len(rates) < len(names):
            return None
        free_in_ms = [end_ms - now_ms for end_ms in pause_ends.values()]
        if rates:
            free_in_ms += [self._permits.wait_ms(name, now_ms) for name in rates]
            return self._spread.retry_after_ms(
                service, min(free_in_ms), sum(rates.values()), instances, now_ms
            )
        remaining_ms = min(free_in_ms)
        jitter_ms = max(MIN_RETRY_JITTER_MS, RETRY_JITTER * remaining_ms)
        return remaining_ms + int(self._random.uniform(0, jitter_ms))

    def list_limited(self, service: str) -> list[str]:
        """Return some targets of a service with a request rate limit, for the log."""
        names = [target.name for target in self._available_targets(service)]
        limited = [name for name in names if self._permits.rate_of(name) is not None]
        return limited[:MAX_LOGGED_TARGETS]

    def _available_targets(self, service: str) -> list[FleetTarget]:
        return [
            target
            for target in self._table.find_by_service(service)
            if not target.leaving and not target.loading
        ]

    def _is_healthy(self, target: FleetTarget, now_ms: int) -> bool:
        return not (
            self._health.is_ejected(target.name, now_ms)
            or self._table.is_unreachable(target.name)
        )
