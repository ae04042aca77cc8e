"""Connects requests to the shares and the counts of running rollouts."""

from collections.abc import Callable, Iterable
from random import Random

from papayacrank.kernel import Clock, log_event
from papayacrank.messages import (
    RUNNING,
    FleetTarget,
    ReleaseReport,
    RolloutShare,
)
from papayacrank.rollouts import ReleaseLimiter, ReleaseObserver

from ._events import ROLLOUT_STATE_APPLIED
from ._job import Attempt, Job

# A response that takes longer than this multiple of the latency objective is a failure;
# idempotent requests are sent to another target then.
LATE_FACTOR = 2.0
# Response times of engines are counted as if this was expected, so that a long prompt
# or an empty cache of a new target does not count as slow.
EXPECTED_MS = 100.0
MIN_EXPECTED_MS = 5.0


class ReleaseTraffic:
    """Applies running rollouts to requests, and counts how their attempts end.

    Parameters
    ----------
    clock : Clock
        Clock of the process.
    random_state : random.Random
        Source of random choices.
    contacted_ms : callable, optional
        Returns when the leader was last heard of, in milliseconds; None before that.

    Attributes
    ----------
    count : callable
        Called with the service of each request that is sent while a rollout of it runs,
        and whether its target has the new release.
    """

    def __init__(
        self,
        clock: Clock,
        random_state: Random,
        contacted_ms: Callable[[], int | None] = lambda: None,
    ):
        self._clock = clock
        self._limiter = ReleaseLimiter(random_state, contacted_ms)
        self._observer = ReleaseObserver()
        self.count: Callable[[str, bool], None] = lambda service, is_new: None

    def apply(self, shares: Iterable[RolloutShare]) -> None:
        """Apply the rollouts of a new view."""
        shares = list(shares)
        known = {s.service: (s.number, s.state) for s in self._limiter.shares.values()}
        for share in shares:
            if known.get(share.service) != (share.number, share.state):
                log_event(
                    ROLLOUT_STATE_APPLIED,
                    rollout=share.number,
                    service=share.service,
                    release=share.release,
                    state=share.state,
                )
        self._limiter.apply(shares)
        self._observer.apply(shares)

    # Targets

    def may_use_new(self, job: Job) -> bool:
        """Whether a request is one of the share of a new release.

        A request that has failed once is retried at the old release, so that a bad one
        costs its caller one attempt.
        """
        if job.is_drawn is None:
            job.is_drawn = self._limiter.draw(job.service.name, job.route.name)
        return job.is_drawn and job.tries == 0

    def restrict(
        self,
        service: str,
        listed: list[FleetTarget],
        release: str | None,
        may_use_new: bool,
    ) -> list[list[FleetTarget]]:
        """Return the groups of targets that may get a request, the best first.

        Parameters
        ----------
        service : str
            Service of the request.
        listed : list of FleetTarget
            All targets of the service.
        release : str or None
            Release that began the stream of the request; None if none did.
        may_use_new : bool
            Whether the request is one of the share of a new release.
        """
        if service not in self._limiter.shares:
            return [listed]
        if release is None:
            now_ms = self._clock.now_ms()
            return self._limiter.restrict(service, listed, may_use_new, now_ms)
        if not self._limiter.may_continue(service, release):
            return []
        return [[target for target in listed if target.release == release]]

    # Outcomes

    def on_sent(self, job: Job, attempt: Attempt) -> None:
        """Count an attempt that is sent."""
        share = self._limiter.shares.get(job.service.name)
        if share is None or share.state != RUNNING:
            return
        self.count(share.service, attempt.target.release == share.release)
        scale = 1.0
        if job.service.engine is not None:
            scale = EXPECTED_MS / max(MIN_EXPECTED_MS, attempt.choice.expected_ms)
        self._observer.on_sent(
            attempt,
            attempt.target.service,
            job.route.name,
            attempt.target.release,
            int(LATE_FACTOR * job.route.objective_ms),
            job.tries > 0,
            self._clock.now_ms(),
            scale,
        )

    def on_first_event(self, attempt: Attempt) -> None:
        """Record the time of the first event of a stream."""
        self._observer.on_first_response(attempt, self._clock.now_ms())

    def on_failed(self, attempt: Attempt) -> None:
        """Count a failure of a target, unless its request may have crashed it."""
        if not attempt.is_suspect:
            self._observer.on_failed(attempt)

    def on_closed(self, attempt: Attempt) -> None:
        """Count the end of an attempt."""
        metadata = attempt.metadata
        has_run = attempt.call.bytes_written and not (
            metadata.not_run or metadata.wrong_target
        )
        self._observer.on_ended(
            attempt, has_run, attempt.is_suspect, self._clock.now_ms()
        )

    def on_checked(self, attempt: Attempt, has_crashed: bool) -> None:
        """Count a lost response as failed unless its request crashed the target."""
        self._observer.on_checked(attempt, has_crashed)

    def report(self) -> list[ReleaseReport]:
        """Return the totals for the next load report."""
        return self._observer.report(self._clock.now_ms())
