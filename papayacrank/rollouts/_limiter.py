"""Which targets of a service may get a new request while releases change."""

import math
import zlib
from collections.abc import Callable, Iterable, Sequence
from random import Random

from papayacrank.messages import (
    COMPLETED,
    ROLLED_BACK,
    FleetTarget,
    RolloutShare,
)

# A small share goes to a part of the new targets only, so that each of them has about
# the load that it will have at the end, and faults under load show early.
MIN_LOADED_TARGETS = 2


class ReleaseLimiter:
    """Restricts new requests to the releases that the leader allows.

    Services without a rollout use targets of all releases.

    Parameters
    ----------
    random_state : random.Random
        Source of random choices. A random draw keeps the sum of all entry processes
        near the share, also where each of them has few requests.
    contacted_ms : callable, optional
        Returns when the leader was last heard of, in milliseconds; None before that.
    """

    def __init__(
        self,
        random_state: Random,
        contacted_ms: Callable[[], int | None] = lambda: None,
    ):
        self._random = random_state
        self._contacted_ms = contacted_ms
        self._shares: dict[str, RolloutShare] = {}

    @property
    def shares(self) -> dict[str, RolloutShare]:
        """Last rollout of each service that had one."""
        return self._shares

    def apply(self, shares: Iterable[RolloutShare]) -> None:
        """Replace the shares."""
        self._shares = {share.service: share for share in shares}

    def draw(self, service: str, route: str) -> bool:
        """Draw whether a new request is one of the share of the new release."""
        share = self._shares.get(service)
        if share is None:
            return False
        factor = share.route_factors.get(route, 1.0)
        return self._random.random() < factor * share.share

    def may_continue(self, service: str, release: str) -> bool:
        """Whether streams of a release may go on at it."""
        share = self._shares.get(service)
        return not (
            share is not None
            and share.state == ROLLED_BACK
            and share.release == release
        )

    def restrict(
        self,
        service: str,
        listed: Sequence[FleetTarget],
        is_drawn: bool,
        now_ms: int,
    ) -> list[list[FleetTarget]]:
        """Return the groups of targets that may get a new request, the best first.

        Parameters
        ----------
        service : str
            Service of the request.
        listed : sequence of FleetTarget
            All targets of the service.
        is_drawn : bool
            Whether the request is one of the share of the new release.
        now_ms : int
            Current time in milliseconds.
        """
        share = self._shares.get(service)
        if share is None:
            return [list(listed)]
        new = [target for target in listed if target.release == share.release]
        others = [target for target in listed if target.release != share.release]
        bases = [t for t in others if not share.bases or t.release in share.bases]
        if share.state == COMPLETED:
            return [new or others]
        if share.state == ROLLED_BACK:
            return [bases or others]
        if self._has_lapsed(share, now_ms):
            # The old targets may be gone if all requests were to use the new ones.
            return [bases, new] if share.share >= 1 else [bases]
        if share.share >= 1:
            return [new] if any(map(_is_available, new)) else [bases]
        if is_drawn and share.share > 0:
            return [_concentrate(new, share.share), bases]
        return [bases]

    def _has_lapsed(self, share: RolloutShare, now_ms: int) -> bool:
        contacted_ms = self._contacted_ms()
        return (
            share.lapse_ms > 0
            and contacted_ms is not None
            and now_ms - contacted_ms >= share.lapse_ms
        )


def _is_available(target: FleetTarget) -> bool:
    return not (target.leaving or target.loading)


def _concentrate(targets: Sequence[FleetTarget], share: float) -> list[FleetTarget]:
    """Return the part of the targets for a share, the same on all instances."""
    available = [target for target in targets if _is_available(target)]
    count = math.ceil(share * len(available))
    available.sort(key=lambda target: (zlib.crc32(target.name.encode()), target.name))
    return available[: max(MIN_LOADED_TARGETS, count)]
