"""Number of engines that load weights at the same time, without I/O."""

import math
from collections.abc import Iterable

from papayacrank.messages import TargetLoad

from ._target_protocol import ListedTarget

# At most one engine in three of a service is out of service at a time.
ENGINES_PER_LOADING_SLOT = 3
# Share of their slots that the engines in service may use while others load. Above it,
# requests wait for slots.
MAX_UTILIZATION = 0.75


def count_loading_slots(
    targets: list[ListedTarget],
    loads: dict[str, TargetLoad],
    cycle_ms: int,
    time_left_ms: int,
) -> int:
    """Return how many engines of a service may be out of service at a time.

    This many are out of service at most: a third of the engines, and as many as the
    others can replace at the current load. But all must load in the time that is left.

    Parameters
    ----------
    targets : list of ListedTarget
        Engines of the service.
    loads : dict of str to TargetLoad
        Load by target.
    cycle_ms : int
        Time for which a load takes an engine out of service, in milliseconds.
    time_left_ms : int
        Time until requests may no longer begin on the weights before, in milliseconds.
    """
    count = len(targets)
    most = math.ceil(count / ENGINES_PER_LOADING_SLOT)
    spare = count - _count_busy_engines(targets, loads)
    cycles_left = max(1, time_left_ms // max(1, cycle_ms))
    needed = math.ceil(count / cycles_left)
    return min(most, max(spare, needed, 1))


def _count_busy_engines(
    targets: Iterable[ListedTarget], loads: dict[str, TargetLoad]
) -> int:
    """Return how many engines the load of a service needs."""
    busy = 0.0
    for target in targets:
        load = loads.get(target.name)
        if load is not None and target.slots:
            busy += load.running / (MAX_UTILIZATION * target.slots)
    return math.ceil(busy)
