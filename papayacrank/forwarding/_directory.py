"""Selection of the entry addresses that the directory returns to callers."""

import hashlib
from collections.abc import Mapping

from papayacrank.messages import (
    BUSY_EIGHTHS,
    ISOLATED,
    SERVING,
    EntryAddress,
    InstanceCapacity,
)

MAX_ADDRESSES = 64
# Callers are kept in their failure domain while it has this many serving instances,
# because traffic between failure domains costs latency and bandwidth.
MIN_LOCAL_INSTANCES = 2
MIN_ADDRESSES = 2
# Resources that requests use beside one core. On the users' deployments, workers have
# 9.7 Mbit/s a core, and 55 MB and 2,900 descriptors or more.
LINK_MBPS_OF_CORE = 9.7
MEMORY_MB_OF_CORE = 55.0
DESCRIPTORS_OF_CORE = 2_900
# Memory of a process without requests.
PROCESS_MB = 45.0
# Weights this close to the largest one count as equal.
EQUAL_SHARE = 0.8
# An instance is always in some responses, because it is ready.
MIN_SHARE = 1 / 16
# Utilization in eighths from which an instance has no room for further callers.
FULL_EIGHTHS = 8
DIGEST_BYTES = 8


def choose_addresses(
    instances: tuple[EntryAddress, ...],
    failure_domain: str,
    utilization: Mapping[str, int] | None = None,
    key: str = "",
) -> list[str]:
    """Return the addresses for a caller of a failure domain.

    Callers connect to one of the addresses at random, so an instance is included in a
    part of the responses that is proportional to its free capacity. Which ones depends
    on the key alone, because a caller closes its connections to addresses that are
    missing from its next response. Instances that differ little are always included.

    Parameters
    ----------
    instances : tuple of EntryAddress
        Live entry processes.
    failure_domain : str
        Failure domain of the caller.
    utilization : mapping of str to int, optional
        Utilization of busy instances in eighths. Others count as not busy.
    key : str
        Identity of the caller and the period.

    Returns
    -------
    list of str
        Addresses of at most `MAX_ADDRESSES` serving instances, without duplicates;
        those of isolated instances if none is serving.
    """
    utilization = utilization or {}
    serving = [item for item in instances if item.status == SERVING]
    if not serving:
        serving = [item for item in instances if item.status == ISOLATED]
    chosen = _choose_domain(serving, failure_domain, utilization)
    shares = compute_shares(chosen, utilization)
    included = [
        item
        for item in chosen
        if shares[item.instance] >= 1
        or _draw(key, item.instance) < shares[item.instance]
    ]
    if len(included) < MIN_ADDRESSES:
        included = sorted(chosen, key=lambda item: -shares[item.instance])
        included = included[:MIN_ADDRESSES]
    return list(dict.fromkeys(item.address for item in included))[:MAX_ADDRESSES]


def _choose_domain(
    serving: list[EntryAddress], failure_domain: str, utilization: Mapping[str, int]
) -> list[EntryAddress]:
    """Return the instances of the caller's failure domain, or all if it is full."""
    local = [item for item in serving if item.failure_domain == failure_domain]
    if len(local) < MIN_LOCAL_INSTANCES:
        return serving

    def has_room(item: EntryAddress) -> bool:
        return utilization.get(item.instance, 0) < FULL_EIGHTHS

    if any(has_room(item) for item in local):
        return local
    others = [item for item in serving if item not in local and has_room(item)]
    return local + others


def compute_shares(
    instances: list[EntryAddress], utilization: Mapping[str, int]
) -> dict[str, float]:
    """Return the part of the responses that each instance is included in.

    Parameters
    ----------
    instances : list of EntryAddress
        Instances that a response may contain.
    utilization : mapping of str to int
        Utilization of busy instances in eighths.
    """
    known = sorted(
        weight for item in instances if (weight := _weigh(item.capacity)) is not None
    )
    median = known[len(known) // 2] if known else 1.0
    weights = {}
    for item in instances:
        weight = _weigh(item.capacity)
        used = utilization.get(item.instance, 0)
        # Seven eighths in use halve the weight, all of them leave a quarter.
        free = 1.0 if used < BUSY_EIGHTHS else (FULL_EIGHTHS + 1 - used) / 4
        weights[item.instance] = (median if weight is None else weight) * free
    largest = max(weights.values(), default=1.0)
    shares = {}
    for name, weight in weights.items():
        share = max(weight / largest, MIN_SHARE)
        shares[name] = 1.0 if share >= EQUAL_SHARE else share
    return shares


def has_room_elsewhere(
    own: str, instances: tuple[EntryAddress, ...], utilization: Mapping[str, int]
) -> bool:
    """Return whether a serving instance other than `own` is not busy."""
    return any(
        item.status == SERVING
        and item.instance != own
        and utilization.get(item.instance, 0) < BUSY_EIGHTHS
        for item in instances
    )


def _weigh(capacity: InstanceCapacity) -> float | None:
    """Return the cores that an instance can use, None if nothing is known.

    The scarcest resource decides, so that none is exceeded.
    """
    known = []
    if capacity.processor > 0:
        known.append(capacity.processor)
    if capacity.link_mbps > 0:
        known.append(capacity.link_mbps / LINK_MBPS_OF_CORE)
    if capacity.memory_mb > 0:
        known.append(max(capacity.memory_mb - PROCESS_MB, 1.0) / MEMORY_MB_OF_CORE)
    if capacity.descriptors > 0:
        known.append(capacity.descriptors / DESCRIPTORS_OF_CORE)
    return min(known, default=None)


def _draw(key: str, instance: str) -> float:
    """Return a number from 0 to 1 that is fixed for a key and an instance."""
    digest = hashlib.blake2b(f"{key}|{instance}".encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big") / 256**DIGEST_BYTES
