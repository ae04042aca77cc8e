"""Share of the requests that a new release of targets gets, and the verdict on it."""

from ._judge import FleetSituation, Phase, RolloutJudge
from ._limiter import ReleaseLimiter
from ._limits import (
    DEFAULT_EXPOSURE,
    DEFAULT_ROLLBACK_MS,
    DEFAULT_SLACK,
    ExposureLimits,
)
from ._observer import ReleaseObserver

__all__ = [
    "DEFAULT_EXPOSURE",
    "DEFAULT_ROLLBACK_MS",
    "DEFAULT_SLACK",
    "ExposureLimits",
    "FleetSituation",
    "Phase",
    "ReleaseLimiter",
    "ReleaseObserver",
    "RolloutJudge",
]
