"""Selection of a target from those that are available and healthy."""

from random import Random

from papayacrank.kernel import create
from papayacrank.messages import FleetTarget

from ._health import TargetHealth
from ._pauses import TargetPauses
from ._placement import Choice, KnownPartLocations, Placement, PlacementRequest
from ._targets import TargetTable

# Retry times of refused callers are spread over this fraction of the pause.
RETRY_JITTER = 0.5
MIN_RETRY_JITTER_MS = 100


class TargetSelection:
    """Selects the target of a request by availability, health and placement.

    Targets that are leaving, loading weights or paused get no requests. Ejected and
    unreachable targets are used only if no healthy target can take the request.

    Parameters
    ----------
    table : TargetTable
        Targets and their load.
    health : TargetHealth
        Passive health checks of the targets.
    pauses : TargetPauses
        Pauses that targets requested.
    parts : KnownPartLocations
        Known locations of prompt parts.
    failure_domain : str
        Failure domain of this instance.
    random_state : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        table: TargetTable,
        health: TargetHealth,
        pauses: TargetPauses,
        parts: KnownPartLocations,
        failure_domain: str,
        random_state: Random,
    ):
        self._table = table
        self._health = health
        self._pauses = pauses
        self._random = random_state
        common = {
            "table": table,
            "parts": parts,
            "failure_domain": failure_domain,
            "random_state": random_state,
        }
        self._engine_placement = create(Placement, "expected_loss", **common)
        self._plain_placement = create(Placement, "least_running", **common)

    def choose(
        self, request: PlacementRequest, excluded: set[str], now_ms: int
    ) -> Choice | None:
        """Choose the target of a request.

        Parameters
        ----------
        request : PlacementRequest
            Request to place.
        excluded : set of str
            Targets that must not get the request.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        Choice or None
            None if no target may get the request.
        """
        usable = [
            target
            for target in self._available_targets(request.service.name)
            if target.name not in excluded
            and self._pauses.may_send(
                target.name, self._table.own_running(target.name), now_ms
            )
        ]
        healthy = [t for t in usable if self._is_healthy(t, now_ms)]
        is_engine = request.service.engine is not None
        placement = self._engine_placement if is_engine else self._plain_placement
        choice = placement.choose(request, healthy, now_ms)
        if choice is None and len(healthy) < len(usable):
            choice = placement.choose(request, usable, now_ms)
        return choice

    def estimate_retry_after_ms(self, service: str, now_ms: int) -> int | None:
        """Return the time after which a refused caller should retry.

        Random jitter keeps callers that were refused together from retrying at the
        same time.

        Returns
        -------
        int or None
            Time in milliseconds; None unless all targets of the service are paused.
        """
        pause_ends = [
            self._pauses.pause_end_ms(target.name, now_ms)
            for target in self._available_targets(service)
        ]
        if not pause_ends or None in pause_ends:
            return None
        remaining_ms = min(pause_ends) - now_ms
        jitter_ms = max(MIN_RETRY_JITTER_MS, RETRY_JITTER * remaining_ms)
        return remaining_ms + int(self._random.uniform(0, jitter_ms))

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
