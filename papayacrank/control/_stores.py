"""Health checks of the stores of cached prompt parts, made by the leader."""

from dataclasses import dataclass, field

from papayacrank.kernel import log_event
from papayacrank.messages import RoutingConfiguration
from papayacrank.permits import PermitAllocator

from ._effects import HttpCall, HttpResult
from ._events import PROMPT_STORE_RESPONSIVE, PROMPT_STORE_UNRESPONSIVE
from ._open_call import OpenCall
from ._target_protocol import TargetProtocol

STORE_KEY = "store-check "
# A fetch from a store that is down delays a request by several hundred ms; a check
# costs about as much as a new connection.
CHECK_INTERVAL_MS = 1_000
RETRY_MS = 150
UNAVAILABLE_INTERVAL_MS = 500
# One failure is tolerated, because a single lost packet delays a check beyond its
# timeout.
FAILURE_THRESHOLD = 2
UNAVAILABLE = 0
# Limits requested pauses; a store that restarts meanwhile is noticed after this time.
MAX_PAUSE_MS = 60_000


@dataclass(slots=True)
class _Store:
    address: str
    next_ms: int
    start: int | None = None
    call: OpenCall = field(default_factory=OpenCall)
    failures: int = 0


class StoreMonitor:
    """Detects stores that have restarted or do not respond.

    A store is empty after a restart. Requests routed as if it still had their prompt
    would compute the prompt again without saving it.

    Parameters
    ----------
    protocol : TargetProtocol
        Encodes calls and decodes their results.
    permits : PermitAllocator
        Request rate limits, which hold for the checks as well.
    """

    def __init__(self, protocol: TargetProtocol, permits: PermitAllocator):
        self._protocol = protocol
        self._permits = permits
        self._stores: dict[str, _Store] = {}

    @property
    def names(self) -> list[str]:
        """Names of the stores."""
        return list(self._stores)

    @property
    def starts(self) -> dict[str, int]:
        """Start number of each checked store, 0 if it does not respond."""
        return {n: s.start for n, s in self._stores.items() if s.start is not None}

    def reset(self) -> None:
        """Discard all state after an election."""
        self._stores.clear()

    def poll(
        self, configuration: RoutingConfiguration | None, now_ms: int
    ) -> list[HttpCall]:
        """Return the checks that are due."""
        services = configuration.services if configuration is not None else ()
        stores = {item.name: item.store for item in services if item.store}
        self._stores = {n: s for n, s in self._stores.items() if n in stores}
        calls = []
        for name, store_profile in stores.items():
            store = self._stores.get(name)
            if store is None or store.address != store_profile.address:
                store = self._stores[name] = _Store(store_profile.address, now_ms)
            if store.call.is_open(now_ms) or now_ms < store.next_ms:
                continue
            wait_ms = self._permits.charge_call(name, now_ms)
            if wait_ms:
                store.next_ms = now_ms + wait_ms
                continue
            call = self._protocol.build_store_check(STORE_KEY + name, store.address)
            calls.append(store.call.begin(call, now_ms))
        return calls

    def handle(self, result: HttpResult, now_ms: int) -> None:
        """Handle the result of a check."""
        name = result.key.removeprefix(STORE_KEY)
        store = self._stores.get(name)
        if store is None or not store.call.end(result):
            return
        start = self._protocol.read_store_check(result)
        if isinstance(start, str):
            self._on_failed_check(name, store, start, now_ms)
            pause_ms = self._protocol.read_signals(result).pause_ms or 0
            until_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)
            store.next_ms = max(store.next_ms, until_ms)
            return
        store.failures = 0
        store.next_ms = now_ms + CHECK_INTERVAL_MS
        if start != store.start:
            log_event(
                PROMPT_STORE_RESPONSIVE, store=name, start=start, known=store.start
            )
            store.start = start

    @staticmethod
    def _on_failed_check(name: str, store: _Store, error: str, now_ms: int) -> None:
        store.failures += 1
        is_unavailable = store.failures >= FAILURE_THRESHOLD
        store.next_ms = now_ms + (
            UNAVAILABLE_INTERVAL_MS if is_unavailable else RETRY_MS
        )
        if is_unavailable and store.start != UNAVAILABLE:
            log_event(
                PROMPT_STORE_UNRESPONSIVE, store=name, error=error, known=store.start
            )
            store.start = UNAVAILABLE
