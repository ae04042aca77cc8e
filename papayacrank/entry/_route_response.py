"""Selection of the addresses in route responses."""

from collections.abc import Iterable, Sequence
from typing import Any

from papayacrank.messages import EntryAddress

MAX_ADDRESSES = 4
MAX_FALLBACK_ADDRESSES = 4
SERVING = "serving"


def list_serving(
    instances: Iterable[EntryAddress], own_instance: str, include_self: bool
) -> list[EntryAddress]:
    """Return the instances that callers may use, sorted by name.

    Parameters
    ----------
    instances : iterable of EntryAddress
        Live entry processes according to the feed.
    own_instance : str
        Name of this instance.
    include_self : bool
        Whether this instance may be included; False while it is draining or has no
        control contact.
    """
    usable = [
        item
        for item in instances
        if item.status == SERVING and (include_self or item.instance != own_instance)
    ]
    return sorted(usable, key=lambda item: item.instance)


def build_route(
    serving: Sequence[EntryAddress], rotation: int, keep_ms: int
) -> dict[str, Any]:
    """Build the response to ``GET /v1/route``.

    Parameters
    ----------
    serving : sequence of EntryAddress
        Instances that callers may use.
    rotation : int
        Number of previous responses. It rotates the order, so that callers that share
        an IP address are distributed as well.
    keep_ms : int
        Time for which the caller may keep the response, in milliseconds.

    Returns
    -------
    dict
        ``addresses`` to try in this order, and ``fallback`` addresses to use if none
        of them responds. Fallback addresses in other failure domains than the first
        address are preferred.
    """
    count = len(serving)
    rotated = [serving[(rotation + i) % count] for i in range(count)]
    chosen = rotated[:MAX_ADDRESSES]
    remaining = rotated[MAX_ADDRESSES:]
    if chosen:
        first_domain = chosen[0].failure_domain
        remaining.sort(key=lambda item: item.failure_domain == first_domain)
    return {
        "addresses": [item.address for item in chosen],
        "keep_ms": keep_ms,
        "fallback": [item.address for item in remaining[:MAX_FALLBACK_ADDRESSES]],
    }


def list_other_addresses(
    instances: Iterable[EntryAddress], own_instance: str, rotation: int
) -> list[str]:
    """Return addresses of other instances that a caller can try."""
    others = list_serving(instances, own_instance, include_self=False)
    return build_route(others, rotation, 0)["addresses"]
