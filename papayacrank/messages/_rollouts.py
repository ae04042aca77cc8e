"""Rollouts of a release of a service's targets."""

import msgspec

RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"


class StartRollout(msgspec.Struct, tag=True, frozen=True):
    """Move the traffic of a service to targets of another release.

    Attributes
    ----------
    release : str
        Release that gets the traffic.
    duration_ms : int
        Time within which the rollout ends, in milliseconds.
    """

    service: str
    release: str
    duration_ms: int


class ConcludeRollout(msgspec.Struct, tag=True, frozen=True):
    """End a rollout with a verdict.

    Attributes
    ----------
    number : int
        Number of the rollout.
    state : str
        `COMPLETED` or `ROLLED_BACK`.
    reason : str
        Why, for operators.
    """

    number: int
    state: str
    reason: str = ""


class Rollout(msgspec.Struct, frozen=True, array_like=True):
    """The last rollout of a service.

    Attributes
    ----------
    number : int
        Number, which increases with each rollout.
    bases : list of str
        Releases that served the service before.
    started_ms : int
        Start on the clock of the control group, in milliseconds.
    state : str
        `RUNNING`, `COMPLETED` or `ROLLED_BACK`.
    """

    number: int
    service: str
    release: str
    bases: list[str]
    started_ms: int
    duration_ms: int
    state: str = RUNNING
    reason: str = ""


class RolloutShare(msgspec.Struct, frozen=True, array_like=True):
    """Part of the requests of a service that may begin at targets of a release.

    Attributes
    ----------
    step : int
        Number of the step; increases with each change and with the term of the leader.
    share : float
        Fraction of the new requests for targets of `release`.
    bases : list of str
        Releases for the other requests.
    lapse_ms : int
        Time in milliseconds after the last contact from which the share of a running
        rollout is 0.
    route_factors : dict of str to float
        Factors of the share by route, 1 for the others; their mean over the requests
        is 1. They do not hold for a share of 1.
    """

    number: int
    service: str
    release: str
    state: str
    step: int
    share: float
    bases: list[str] = []
    lapse_ms: int = 0
    route_factors: dict[str, float] = {}


class ReleaseReport(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one route at targets of one release since a rollout began.

    All numbers are totals of the reporting process, so that a lost report is harmless.

    Attributes
    ----------
    number : int
        Number of the rollout.
    step : int
        Last step that the process applies.
    sent, ended, failed : int
        Requests sent, ended, and failed by the target.
    times : list of int
        Number of responses by their time, in buckets of a quarter of a doubling from
        1 ms on.
    """

    number: int
    route: str
    release: str
    step: int = 0
    sent: int = 0
    ended: int = 0
    failed: int = 0
    times: list[int] = []
