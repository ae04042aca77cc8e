"""Services whose targets fail if they refuse too many requests for want of room."""

from collections.abc import Iterable

from papayacrank.kernel import log_event

from ._events import REFUSAL_LIMIT_STATED

# A target states its limit in each response. Its service counts as refusal-limited for
# this long after the last of them.
STATEMENT_LIFETIME_MS = 3_000
# A refusal-limited target that has refused a request gets none for this long. Targets
# count their refusals by the second.
FULL_LIFETIME_MS = 1_000
MAX_FULL_TARGETS = 5_000


class RefusalLimitedServices:
    """Refusal-limited services and their full targets, as known to one entry process.

    All targets of a service count as refusal-limited once one states a limit, because a
    target that has just started has stated nothing yet.
    """

    def __init__(self):
        self._services: dict[str, int] = {}
        self._full: dict[str, int] = {}
        self._stated: set[str] = set()
        self._refused: set[str] = set()

    def on_response(
        self, service: str, target: str, limit: float | None, is_full: bool, now_ms: int
    ) -> None:
        """Record a response of a target.

        Parameters
        ----------
        service, target : str
            Service and target.
        limit : float or None
            Number of refusals in a second that the target bears, if it states one.
        is_full : bool
            Whether the target has refused the request for want of room.
        now_ms : int
            Current time in milliseconds.
        """
        if limit is not None:
            if not self.is_refusal_limited(service, now_ms):
                log_event(
                    REFUSAL_LIMIT_STATED, service=service, target=target, limit=limit
                )
            self._services[service] = now_ms + STATEMENT_LIFETIME_MS
            self._stated.add(service)
        if is_full and self.is_refusal_limited(service, now_ms):
            self._mark_full(target, now_ms)
            self._refused.add(target)

    def on_reported(self, services: Iterable[str], now_ms: int) -> None:
        """Record the services that targets of other entry processes state."""
        for service in services:
            self._services[service] = now_ms + STATEMENT_LIFETIME_MS

    def _mark_full(self, target: str, now_ms: int) -> None:
        if len(self._full) >= MAX_FULL_TARGETS:
            self._full = {n: end for n, end in self._full.items() if end > now_ms}
        self._full[target] = now_ms + FULL_LIFETIME_MS

    def is_refusal_limited(self, service: str, now_ms: int) -> bool:
        """Whether targets of a service must not be asked to refuse requests."""
        return now_ms < self._services.get(service, 0)

    def list_services(self, now_ms: int) -> list[str]:
        """Return the refusal-limited services."""
        return [
            name
            for name in sorted(self._services)
            if self.is_refusal_limited(name, now_ms)
        ]

    def is_full(self, target: str, now_ms: int) -> bool:
        """Whether a target has just refused a request for want of room."""
        return now_ms < self._full.get(target, 0)

    def take_unreported(self) -> tuple[list[str], list[str]]:
        """Return the services and the full targets observed since the last call."""
        stated, self._stated = self._stated, set()
        refused, self._refused = self._refused, set()
        return sorted(stated), sorted(refused)


class RoomLeases:
    """Number of requests that this process may have open at refusal-limited targets.

    The leader divides the slots of the targets among the entry processes. Until it has
    done so, the number is not limited.
    """

    def __init__(self):
        self._leases: dict[str, int] = {}
        self._services: frozenset[str] = frozenset()
        self._peaks: dict[str, int] = {}

    @property
    def held(self) -> dict[str, int]:
        """Leases by target."""
        return self._leases

    def apply(self, services: Iterable[str], leases: dict[str, int]) -> None:
        """Replace the leases.

        Parameters
        ----------
        services : iterable of str
            Services whose slots are divided.
        leases : dict of str to int
            Leases by target; targets that are not listed have none.
        """
        self._services = frozenset(services)
        self._leases = leases

    def may_send(self, service: str, target: str, running: int) -> bool:
        """Whether a target may get another request of this process.

        Parameters
        ----------
        service, target : str
            Service and target.
        running : int
            Number of open requests of this process at the target.
        """
        return service not in self._services or running < self._leases.get(target, 0)

    def note_demand(self, service: str, count: int) -> None:
        """Record how many requests could be open at a service at the moment."""
        self._peaks[service] = max(count, self._peaks.get(service, 0))

    def take_demand(self, services: Iterable[str]) -> dict[str, int]:
        """Return the highest demand of each service since the last call."""
        peaks, self._peaks = self._peaks, {}
        return {name: peaks[name] for name in services if name in peaks}
