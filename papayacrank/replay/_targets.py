"""Outcomes that the shipped policy must reach, kept beside each trace."""

import msgspec

from ._metrics import Measures
from ._trace import TRACES_FOLDER


class TargetOutcome(msgspec.Struct, frozen=True):
    """Stated outcome of a trace.

    Attributes
    ----------
    at_least, at_most : dict of str to float
        Bounds by measure.
    ahead_of_every_baseline : list of str
        Measures in which the policy must exceed every baseline of the same run.
    """

    policy: str
    at_least: dict[str, float]
    at_most: dict[str, float]
    ahead_of_every_baseline: list[str]


def load_target(trace: str) -> TargetOutcome | None:
    """Read the stated outcome of a committed trace, if there is one."""
    path = TRACES_FOLDER / f"{trace}.targets.json"
    if not path.is_file():
        return None
    return msgspec.json.decode(path.read_bytes(), type=TargetOutcome)


def find_missed(
    target: TargetOutcome, measures: Measures, baselines: list[Measures]
) -> list[str]:
    """Return a description of each bound that is missed."""
    missed = [
        f"{name} below {bound}"
        for name, bound in target.at_least.items()
        if getattr(measures, name) < bound
    ]
    missed += [
        f"{name} above {bound}"
        for name, bound in target.at_most.items()
        if getattr(measures, name) > bound
    ]
    missed += [
        f"{name} not ahead of {baseline.policy}"
        for name in target.ahead_of_every_baseline
        for baseline in baselines
        if getattr(measures, name) <= getattr(baseline, name)
    ]
    return missed
