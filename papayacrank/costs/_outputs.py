"""Expected lengths of responses."""

from collections import OrderedDict

MAX_ROUTES = 1_000
MAX_WEIGHT_SAMPLES = 30
# Callers state a limit that they seldom use up. A stated estimate is right at the
# median, so that it needs no correction before the first observation.
PRIOR_LIMIT_RATIO = 0.5
PRIOR_ESTIMATE_RATIO = 1.0
MAX_RATIO = 4.0


class OutputLengths:
    """Length of responses by route, relative to what the caller states.

    Lengths are counted in events, since targets may put several tokens in one.
    """

    def __init__(self):
        self._ratios: OrderedDict[tuple[str, bool], tuple[float, int]] = OrderedDict()

    def expect(self, route: str, limit: int | None, estimate: int | None) -> float:
        """Return the expected number of events.

        Parameters
        ----------
        route : str
            Route of the request.
        limit, estimate : int or None
            Output tokens: the limit and the estimate that the caller states.
        """
        stated = estimate if estimate else limit
        if not stated:
            return 0.0
        ratio = self._ratio(route, bool(estimate))[0]
        expected = ratio * stated
        return min(expected, limit) if limit else expected

    def observe(
        self, route: str, limit: int | None, estimate: int | None, events: int
    ) -> None:
        """Record the number of events of a complete response."""
        stated = estimate if estimate else limit
        if not stated:
            return
        key = (route, bool(estimate))
        ratio, samples = self._ratio(*key)
        observed = min(MAX_RATIO, events / stated)
        ratio += (observed - ratio) / (min(samples, MAX_WEIGHT_SAMPLES) + 2)
        self._ratios[key] = (ratio, samples + 1)
        self._ratios.move_to_end(key)
        while len(self._ratios) > MAX_ROUTES:
            self._ratios.popitem(last=False)

    def _ratio(self, route: str, has_estimate: bool) -> tuple[float, int]:
        prior = PRIOR_ESTIMATE_RATIO if has_estimate else PRIOR_LIMIT_RATIO
        return self._ratios.get((route, has_estimate), (prior, 0))
