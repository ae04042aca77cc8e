"""Time that engines take to load weights, learned from their status reports."""

# A report shows the state of some hundred milliseconds ago; on average, an engine has
# finished its load this long before a report shows it.
MEAN_REPORT_LAG_MS = 150
# Weights of a new observation that is longer or shorter than the estimate. Requests
# are refused by an engine that is put in service too early.
LONGER_WEIGHT = 0.5
SHORTER_WEIGHT = 0.25


class LoadTimes:
    """Estimates of the load times, one for each service.

    Engines of a service load the same weights on like machines, so that few loads tell
    the time of the others. The estimates are forgotten with the leader.
    """

    def __init__(self):
        self._estimates: dict[str, float] = {}

    def reset(self) -> None:
        """Forget all estimates."""
        self._estimates.clear()

    def find(self, service: str) -> int | None:
        """Return the expected load time in milliseconds, None before the first load."""
        estimate = self._estimates.get(service)
        return None if estimate is None else int(estimate)

    def observe(self, service: str, seen_after_ms: int) -> None:
        """Record a load whose end was seen in a report.

        Parameters
        ----------
        service : str
            Service of the engine.
        seen_after_ms : int
            Time from the accepted order to the report that shows the loaded version, in
            milliseconds.
        """
        observed = max(0, seen_after_ms - MEAN_REPORT_LAG_MS)
        estimate = self._estimates.get(service)
        if estimate is None:
            self._estimates[service] = observed
            return
        weight = LONGER_WEIGHT if observed > estimate else SHORTER_WEIGHT
        self._estimates[service] = estimate + weight * (observed - estimate)
