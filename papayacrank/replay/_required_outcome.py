"""Bounds on the metrics of the shipped policy, stored next to each trace."""

import msgspec

from ._metrics import ReplayMetrics
from ._trace import TRACES_FOLDER


class RequiredOutcome(msgspec.Struct, frozen=True):
    """Required metrics of a trace.

    Attributes
    ----------
    at_least, at_most : dict of str to float
        Lower and upper bounds by metric.
    ahead_of_every_baseline : list of str
        Metrics in which the policy must exceed every baseline of the same run.
    """

    policy: str
    at_least: dict[str, float]
    at_most: dict[str, float]
    ahead_of_every_baseline: list[str]


def load_required_outcome(trace: str) -> RequiredOutcome | None:
    """Return the required outcome of a committed trace, or None if it has none."""
    path = TRACES_FOLDER / f"{trace}.targets.json"
    if not path.is_file():
        return None
    return msgspec.json.decode(path.read_bytes(), type=RequiredOutcome)


def find_missed_bounds(
    required: RequiredOutcome, measures: ReplayMetrics, baselines: list[ReplayMetrics]
) -> list[str]:
    """Return a description of each bound that `measures` misses."""
    missed = [
        f"{name} below {bound}"
        for name, bound in required.at_least.items()
        if getattr(measures, name) < bound
    ]
    missed += [
        f"{name} above {bound}"
        for name, bound in required.at_most.items()
        if getattr(measures, name) > bound
    ]
    missed += [
        f"{name} not ahead of {baseline.policy}"
        for name in required.ahead_of_every_baseline
        for baseline in baselines
        if getattr(measures, name) <= getattr(baseline, name)
    ]
    return missed
