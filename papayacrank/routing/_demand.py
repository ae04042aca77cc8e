"""Request rates of prefixes, as one instance sees them."""

import math
from collections import OrderedDict

SAMPLED_EVERY_BLOCKS = 8
MEMORY_MS = 5_000
MAX_PREFIXES = 8_192


class PrefixDemand:
    """Exponentially decayed request rates of prefixes, in bounded memory.

    Every eighth block of a prompt is counted, so that the levels of nested prefixes
    have rates of their own.
    """

    def __init__(self):
        self._rates: OrderedDict[int, tuple[float, int]] = OrderedDict()

    def count(self, blocks: tuple[int, ...], now_ms: int) -> None:
        """Count a request."""
        for block in blocks[::SAMPLED_EVERY_BLOCKS]:
            rate = self._decayed(block, now_ms) + 1_000 / MEMORY_MS
            self._rates[block] = (rate, now_ms)
            self._rates.move_to_end(block)
        while len(self._rates) > MAX_PREFIXES:
            self._rates.popitem(last=False)

    def rate_per_s(self, blocks: tuple[int, ...], position: int, now_ms: int) -> float:
        """Return the rate of the requests that share the block at a position."""
        sampled = position - position % SAMPLED_EVERY_BLOCKS
        return self._decayed(blocks[sampled], now_ms)

    def _decayed(self, block: int, now_ms: int) -> float:
        rate, at_ms = self._rates.get(block, (0.0, now_ms))
        return rate * math.exp((at_ms - now_ms) / MEMORY_MS)
