"""Adaptive limit of requests in flight, based on the queues at the engines."""

MIN_LIMIT = 4
DECREASE_FACTOR = 0.9


class ConcurrencyLimiter:
    """Additive-increase, multiplicative-decrease limit of requests in flight.

    Requests beyond the limit wait at the entry process, which orders them fairly,
    instead of in the queues of the engines.

    Parameters
    ----------
    max_in_flight : int
        Upper bound of the limit.
    target_waiting : float
        Mean number of waiting requests per engine above which the limit decreases.
    """

    def __init__(self, max_in_flight: int = 512, target_waiting: float = 2.0):
        self.max_in_flight = max_in_flight
        self.target_waiting = target_waiting
        self.limit_ = float(max_in_flight)

    def observe(self, mean_waiting: float, in_flight: int) -> None:
        """Update the limit from new load reports.

        Parameters
        ----------
        mean_waiting : float
            Mean number of waiting requests per engine.
        in_flight : int
            Number of requests in flight of this process.
        """
        if mean_waiting > self.target_waiting:
            lowered = min(self.limit_, max(in_flight, MIN_LIMIT)) * DECREASE_FACTOR
            self.limit_ = max(float(MIN_LIMIT), lowered)
        elif in_flight >= self.limit_ - 1:
            self.limit_ = min(float(self.max_in_flight), self.limit_ + 1.0)

    def allows(self, in_flight: int) -> bool:
        """Whether one more request may be sent."""
        return in_flight < self.limit_
