"""Times at which refused requests of a workspace should return."""

from dataclasses import dataclass
from random import Random

MS_PER_SECOND = 1_000
MIN_RETRY_AFTER_MS = 100
# Callers return within a third of the time that they have left. With the 15 s of the
# longest deadlines, a later time would not be honoured by any of them.
MAX_RETRY_AFTER_MS = 5_000
# Times within the schedule and beyond its end are spread by this fraction.
RETRY_SPREAD = 0.5


@dataclass(slots=True)
class _Schedule:
    """Virtual queue of the refused requests of a workspace."""

    free_at_ms: float = 0.0


class RefusalSchedule:
    """Gives each refused request of a workspace its own time to return.

    The requests of a workspace form a virtual queue, which is served at the part of the
    rate that this instance expects. A request that would be served after the end of the
    schedule takes no place in it: its caller gives up before.

    Parameters
    ----------
    random_state : random.Random
        Source of random choices.
    """

    def __init__(self, random_state: Random):
        self._random = random_state
        self._schedules: dict[str, _Schedule] = {}

    def retain(self, workspaces) -> None:
        """Forget the workspaces that are not listed."""
        kept = set(workspaces)
        self._schedules = {n: s for n, s in self._schedules.items() if n in kept}

    def reset(self, workspace: str) -> None:
        """Forget the places of a workspace that has tokens again."""
        self._schedules.pop(workspace, None)

    def retry_after_ms(
        self,
        workspace: str,
        cost: int,
        wait_ms: float,
        part_per_s: float,
        now_ms: int,
    ) -> int:
        """Return the time after which a refused request should return.

        Parameters
        ----------
        workspace : str
            Workspace of the request.
        cost : int
            Tokens that it needs.
        wait_ms : float
            Time until the workspace has them, without the requests refused before.
        part_per_s : float
            Part of the rate that this instance expects, in tokens per second.
        now_ms : int
            Current time in milliseconds.
        """
        schedule = self._schedules.setdefault(workspace, _Schedule())
        own_ms = cost * MS_PER_SECOND / max(1.0, part_per_s)
        begin_ms = max(now_ms + wait_ms, schedule.free_at_ms)
        after_ms = max(MIN_RETRY_AFTER_MS, begin_ms - now_ms)
        if after_ms > MAX_RETRY_AFTER_MS:
            spread = self._random.uniform(1.0, 1.0 + RETRY_SPREAD)
            return int(MAX_RETRY_AFTER_MS * spread)
        schedule.free_at_ms = begin_ms + own_ms
        # Other instances give times by the same backlog.
        return int(after_ms * self._random.uniform(1.0, 1.0 + RETRY_SPREAD))
