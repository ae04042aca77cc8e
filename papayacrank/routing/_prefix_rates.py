"""Request rates of prompt prefixes at one instance."""

import math
from collections import OrderedDict

SAMPLING_STRIDE_BLOCKS = 8
DECAY_TIME_MS = 5_000
MAX_PREFIXES = 8_192


class PrefixRateTracker:
    """Exponentially decayed request rates of prefixes, in bounded memory.

    Every eighth block of a prompt is sampled, so that nested prefixes have separate
    rates. Beyond `MAX_PREFIXES`, the least recently requested prefix is evicted.
    """

    def __init__(self):
        self._rates: OrderedDict[int, tuple[float, int]] = OrderedDict()

    def record(self, blocks: tuple[int, ...], now_ms: int) -> None:
        """Count a request in the rates of its sampled prefixes."""
        for block in blocks[::SAMPLING_STRIDE_BLOCKS]:
            rate = self._decayed(block, now_ms) + 1_000 / DECAY_TIME_MS
            self._rates[block] = (rate, now_ms)
            self._rates.move_to_end(block)
        while len(self._rates) > MAX_PREFIXES:
            self._rates.popitem(last=False)

    def rate_per_s(self, blocks: tuple[int, ...], position: int, now_ms: int) -> float:
        """Return the rate of the sampled prefix at or before a block position."""
        sampled = position - position % SAMPLING_STRIDE_BLOCKS
        return self._decayed(blocks[sampled], now_ms)

    def _decayed(self, block: int, now_ms: int) -> float:
        rate, at_ms = self._rates.get(block, (0.0, now_ms))
        return rate * math.exp((at_ms - now_ms) / DECAY_TIME_MS)
