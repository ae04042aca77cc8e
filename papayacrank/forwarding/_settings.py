"""Settings of request forwarding."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ForwardingSettings:
    """Settings of request forwarding.

    Parameters
    ----------
    instance, failure_domain : str
        Instance name and failure domain of this process.
    retry_ratio, retry_slack : float
        Retries per request, and retries per window in addition; see `RetryBudget`.
    retry_window_ms : int
        Length of the retry window in milliseconds.
    max_old_weights_ms : int
        Time in milliseconds after which no request may start on replaced weights.
    max_pause_ms : int
        Limit in milliseconds on the pause that one response of a target may request.
        Overload of a target lasts far less than a minute, so a longer pause is
        treated as an error of the target.
    """

    instance: str
    failure_domain: str
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_slack: float = 50.0
    max_old_weights_ms: int = 6_500
    max_pause_ms: int = 60_000
