"""Rollouts of releases, by service."""

from collections.abc import Container, Sequence

import msgspec

from papayacrank.messages import (
    COMPLETED,
    RUNNING,
    ConcludeRollout,
    Done,
    FailureRecord,
    Rollout,
    StartRollout,
)

from ._base import Table, refuse
from ._limits import MAX_NAME_CHARACTERS

MAX_SERVICES = 200
MAX_ROLLOUTS_PER_SERVICE = 8
# An operator whose acknowledgement was lost sends the order again for a limited time,
# at most 5 s on the known platforms. Orders may have a shorter duration.
MIN_REPEAT_MS = 15_000


class RolloutsDump(msgspec.Struct):
    """Snapshot of `RolloutTable`."""

    last_number: int = 0
    rollouts: dict[str, list[Rollout]] = {}


class RolloutTable(Table):
    """Running and recent rollouts of each service.

    A service has at most one running rollout, the last one. Earlier ones are kept so
    that a late repeat of their order is acknowledged again and starts nothing.
    """

    def __init__(self):
        self._last_number = 0
        # Ordered by the start of the last rollout of the service.
        self._rollouts: dict[str, list[Rollout]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._rollouts.values()))

    @property
    def running(self) -> list[Rollout]:
        """Rollouts without a verdict, one a service at most."""
        return [rollout for rollout in self.list() if rollout.state == RUNNING]

    def find(self, service: str) -> Rollout | None:
        """Return the last rollout of a service, None if there was none."""
        rollouts = self._rollouts.get(service)
        return rollouts[-1] if rollouts else None

    def find_answer(
        self,
        command: StartRollout,
        releases: Sequence[str],
        services: Container[str],
        now_ms: int,
    ) -> Done | FailureRecord | None:
        """Return the answer to an order that starts nothing, None if it starts one.

        Parameters
        ----------
        command : StartRollout
            Order of an operator.
        releases : sequence of str
            Releases that may serve the service.
        services : container of str
            Known services.
        now_ms : int
            Group time in milliseconds.

        Returns
        -------
        Done, FailureRecord or None
            Done for a repeat; failure if another rollout of the service runs, if the
            service is unknown or if the table is full.
        """
        if self._is_repeat(command, now_ms):
            return Done()
        last = self.find(command.service)
        if last is not None and last.state == RUNNING:
            text = f"the rollout of {last.release} to {last.service} is running"
            details = {"release": last.release, "duration_ms": last.duration_ms}
            return refuse("rollout_running", text, 409, details)
        if command.service not in services and not releases:
            return refuse("unknown_service", f"no service {command.service}", 404)
        is_full = len(self._rollouts) >= MAX_SERVICES
        if last is None and is_full and self._find_oldest_ended() is None:
            return refuse("table_full", f"the limit is {MAX_SERVICES} services", 503)
        return None

    def start(
        self,
        command: StartRollout,
        releases: Sequence[str],
        services: Container[str],
        now_ms: int,
    ) -> Done | FailureRecord:
        """Start a rollout unless `find_answer` has another answer to the order."""
        answer = self.find_answer(command, releases, services, now_ms)
        if answer is not None:
            return answer
        bases = self._find_bases(command, releases)
        kept = self._rollouts.pop(command.service, [])
        if len(self._rollouts) >= MAX_SERVICES:
            del self._rollouts[self._find_oldest_ended()]
        self._last_number += 1
        rollout = Rollout(
            self._last_number,
            command.service,
            command.release,
            bases,
            now_ms,
            command.duration_ms,
        )
        kept = kept[1 - MAX_ROLLOUTS_PER_SERVICE :]
        self._rollouts[command.service] = [*kept, rollout]
        return Done()

    def conclude(self, command: ConcludeRollout) -> Done | FailureRecord:
        """End a running rollout; its verdict is never changed."""
        last = next((r for r in self.list() if r.number == command.number), None)
        if last is None:
            text = f"{command.number} is not the last rollout of a service"
            return refuse("unknown_rollout", text, 404)
        if last.state == command.state:
            return Done()
        if last.state != RUNNING:
            details = {"state": last.state}
            return refuse("rollout_ended", f"it is {last.state}", 409, details)
        self._rollouts[last.service][-1] = msgspec.structs.replace(
            last, state=command.state, reason=command.reason[:MAX_NAME_CHARACTERS]
        )
        return Done()

    def _is_repeat(self, command: StartRollout, now_ms: int) -> bool:
        """Whether the order was accepted before, and operators may still repeat it."""
        return any(
            (rollout.release, rollout.duration_ms)
            == (command.release, command.duration_ms)
            and (
                rollout.state == RUNNING
                or now_ms - rollout.started_ms
                <= max(rollout.duration_ms, MIN_REPEAT_MS)
            )
            for rollout in self._rollouts.get(command.service, ())
        )

    def _find_oldest_ended(self) -> str | None:
        """Return the service whose last rollout has ended and began first."""
        ended = (name for name, r in self._rollouts.items() if r[-1].state != RUNNING)
        return next(ended, None)

    def _find_bases(self, command: StartRollout, releases: Sequence[str]) -> list[str]:
        """Return the releases that have served the service so far.

        Releases that earlier rollouts have taken out of service stay possible until
        none of their streams can be taken up, but get no requests.
        """
        retired: set[str] = set()
        for rollout in self._rollouts.get(command.service, ()):
            if rollout.state == COMPLETED:
                retired = {*retired, *rollout.bases} - {rollout.release}
            else:
                retired = {*retired, rollout.release} - set(rollout.bases)
        others = [release for release in releases if release != command.release]
        return [release for release in others if release not in retired] or others

    def dump(self) -> RolloutsDump:
        """Return the snapshot."""
        rollouts = {service: list(kept) for service, kept in self._rollouts.items()}
        return RolloutsDump(self._last_number, rollouts)

    def load(self, dumped: RolloutsDump) -> None:
        """Restore a snapshot."""
        self._last_number = dumped.last_number
        self._rollouts = {name: list(kept) for name, kept in dumped.rollouts.items()}

    # Last, because it hides the builtin type from later annotations of the class.
    def list(self) -> list[Rollout]:
        """Return the last rollout of each service."""
        return [rollouts[-1] for rollouts in self._rollouts.values()]
