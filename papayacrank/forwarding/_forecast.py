"""Forecast of the time that a request waits in the queue of an engine."""

# Weight of a new observation in the moving average.
SMOOTHING = 0.1
MAX_RATIO = 4.0
# Shorter times to the first event consist mostly of fixed parts.
MIN_EXPECTED_MS = 200


class QueueForecast:
    """Corrects expected queueing times by what was observed.

    The placement expects an engine to compute all queued prompt tokens first, but
    urgent requests overtake others, and engines differ in speed. The moving average of
    the ratio of observed to expected times to the first event, for each service and
    urgency, accounts for both. It is 0 before the first observation.
    """

    def __init__(self):
        self._ratios: dict[tuple[str, int], float] = {}

    def wait_ms(self, service: str, urgency: int, queue_ms: float) -> float:
        """Return the forecast queueing time.

        Parameters
        ----------
        service : str
            Service of the request.
        urgency : int
            Urgency of the request.
        queue_ms : float
            Queueing time that the placement expects, in milliseconds.

        Returns
        -------
        float
            Queueing time in milliseconds.
        """
        return self._ratios.get((service, urgency), 0.0) * queue_ms

    def observe(
        self,
        service: str,
        urgency: int,
        expected_ms: float,
        observed_ms: float,
        has_event: bool,
    ) -> None:
        """Record the time to the first event, or a time without it.

        Parameters
        ----------
        service : str
            Service of the request.
        urgency : int
            Urgency of the request.
        expected_ms : float
            Time to the first event that the placement expected, in milliseconds.
        observed_ms : float
            Time from sending to the first event or to the end of the attempt, in
            milliseconds.
        has_event : bool
            Whether there was an event. If not, the observed time is a lower bound.
        """
        if expected_ms < MIN_EXPECTED_MS:
            return
        key = (service, urgency)
        average = self._ratios.get(key, 0.0)
        ratio = min(MAX_RATIO, observed_ms / expected_ms)
        if has_event or ratio > average:
            self._ratios[key] = average + SMOOTHING * (ratio - average)
