"""Prompt parts that engines and stores are known to cache."""

from collections import OrderedDict

MAX_KNOWN_PARTS = 50_000
# Under heavy load, engines evict parts within seconds; a store keeps them longer. A
# store is empty after a restart, so parts are saved again after their lifetime.
ENGINE_PART_LIFETIME_MS = 8_000
STORE_PART_LIFETIME_MS = 20_000


class KnownParts:
    """Bounded index of the prompt parts that engines or stores are known to cache.

    Parameters
    ----------
    lifetime_ms : int
        Time in milliseconds after which a part is assumed to be evicted.
    refreshes : bool
        Whether recording a known part again restarts its lifetime.
    """

    def __init__(self, lifetime_ms: int, refreshes: bool):
        self._lifetime_ms = lifetime_ms
        self._refreshes = refreshes
        self._seen: OrderedDict[tuple[str, str, str], int] = OrderedDict()

    def record(self, location: str, salt: str, part: str, now_ms: int) -> bool:
        """Record that a location caches a part; return whether that was unknown."""
        key = (location, salt, part)
        is_new = not self.has(location, salt, part, now_ms)
        if not is_new and not self._refreshes:
            return False
        self._seen[key] = now_ms
        self._seen.move_to_end(key)
        while len(self._seen) > MAX_KNOWN_PARTS:
            self._seen.popitem(last=False)
        return is_new

    def has(self, location: str, salt: str, part: str, now_ms: int) -> bool:
        """Whether a location is expected to cache a part."""
        seen_ms = self._seen.get((location, salt, part))
        return seen_ms is not None and now_ms - seen_ms < self._lifetime_ms

    def forget_location(self, location: str) -> None:
        """Remove all parts of a location that lost its cache."""
        for key in [key for key in self._seen if key[0] == location]:
            del self._seen[key]


class KnownPartLocations:
    """Known parts of engines, by target name, and of stores, by service name."""

    def __init__(self):
        self.engines = KnownParts(ENGINE_PART_LIFETIME_MS, refreshes=True)
        self.stores = KnownParts(STORE_PART_LIFETIME_MS, refreshes=False)
