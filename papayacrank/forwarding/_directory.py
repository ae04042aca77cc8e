"""Selection of the entry addresses that the directory returns to callers."""

from papayacrank.messages import ISOLATED, SERVING, EntryAddress

MAX_ADDRESSES = 64
# Callers are kept in their failure domain while it has this many serving instances,
# because traffic between failure domains costs latency and bandwidth.
MIN_LOCAL_INSTANCES = 2


def choose_addresses(
    instances: tuple[EntryAddress, ...], failure_domain: str
) -> list[str]:
    """Return the addresses for a caller of a failure domain.

    Parameters
    ----------
    instances : tuple of EntryAddress
        Live entry processes.
    failure_domain : str
        Failure domain of the caller.

    Returns
    -------
    list of str
        Addresses of at most `MAX_ADDRESSES` serving instances, without duplicates;
        those of isolated instances if none is serving.
    """
    serving = [item for item in instances if item.status == SERVING]
    if not serving:
        serving = [item for item in instances if item.status == ISOLATED]
    local = [item for item in serving if item.failure_domain == failure_domain]
    chosen = local if len(local) >= MIN_LOCAL_INSTANCES else serving
    return list(dict.fromkeys(item.address for item in chosen))[:MAX_ADDRESSES]
