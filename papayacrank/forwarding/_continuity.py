"""Keeps streams at targets of the release that began them."""

from collections.abc import Callable

from papayacrank.messages import FleetTarget, RequestKind
from papayacrank.releases import (
    VIEW_LAG_MS,
    ReleaseDecision,
    ReleaseOutcome,
    ReleasePort,
    name_stream,
)

from ._job import Attempt, Job

# Age of the last contact up to which an instance is in step; heartbeats are more
# frequent.
IN_STEP_MS = 1_500


class StreamContinuity:
    """Finds and keeps the release of each stream.

    Targets of different releases write streams that do not fit together. A stream has
    the release of the target that sent its first event; a request that takes a stream
    up asks the leader for it.

    Parameters
    ----------
    releases : ReleasePort
        Streams and releases as known by the leader.
    contacted_ms : callable, optional
        Returns when this instance was last in step with the leader, in milliseconds;
        None before that.
    """

    def __init__(
        self,
        releases: ReleasePort,
        contacted_ms: Callable[[], int | None] = lambda: None,
    ):
        self._releases = releases
        self._contacted_ms = contacted_ms

    @staticmethod
    def needs_release(job: Job) -> bool:
        """Whether a request takes up a stream whose release is not known yet."""
        is_stream = job.route.kind is RequestKind.STREAM
        is_take_up = is_stream and job.request.resume_after is not None
        return is_take_up and job.release is None

    def is_begin_certain(
        self, job: Job, current: FleetTarget | None, now_ms: int
    ) -> bool:
        """Whether the target that began a stream had the release that the view showed.

        A target may have restarted with another release before the connection of the
        stream was opened. The view shows that later, or not at all while this instance
        is out of step.

        Parameters
        ----------
        job : Job
            Request.
        current : FleetTarget or None
            Target that began the stream, as the view shows it now.
        now_ms : int
            Current time in milliseconds.
        """
        if current is not None and _has_restarted(job.begun_at, current):
            return False
        contacted_ms = self._contacted_ms()
        if job.begun_on_ms is None or contacted_ms is None:
            return True
        is_in_step = now_ms - contacted_ms <= IN_STEP_MS
        return is_in_step or job.begun_on_ms + VIEW_LAG_MS <= contacted_ms

    def find_release(
        self,
        job: Job,
        on_found: Callable[[str], None],
        on_refused: Callable[[int | None], None],
    ) -> None:
        """Find the release of the stream that a request takes up.

        Parameters
        ----------
        job : Job
            Request.
        on_found : callable
            Called with the service that began the stream once `job.release` is set.
        on_refused : callable
            Called if the release is not known, with the time in milliseconds after
            which it may be; None if it will not.
        """

        def on_decision(decision: ReleaseDecision) -> None:
            if decision.outcome is ReleaseOutcome.KNOWN:
                job.release = decision.release
                on_found(decision.service)
            else:
                on_refused(decision.retry_after_ms)

        first_id = job.request.begun_by
        stream = name_stream(job.workspace_name, first_id) if first_id else ""
        self._releases.find(
            str(job.number),
            job.service.name,
            stream,
            on_decision,
            [share.service for share in job.route.shares],
        )

    def on_first_event(self, job: Job, attempt: Attempt) -> None:
        """Note the release that begins a stream."""
        if job.release is not None:
            # The stream has gone on at another target of the release.
            job.begun_at = None
            return
        target = attempt.target
        job.release = target.release
        job.begun_on_ms = attempt.call.opened_ms
        job.begun_at = target
        if job.route.is_resumable:
            self._releases.on_begun(
                name_stream(job.workspace_name, job.request.request_id),
                job.service.name,
                job.release,
                (target.name, target.born_ms),
            )

    @staticmethod
    def fits(job: Job, attempt: Attempt) -> bool:
        """Whether an event of an attempt may be added to the stream of a request."""
        return job.release in (None, attempt.target.release)

    def on_finished(self, job: Job) -> None:
        """Forget the question of a request that has ended."""
        self._releases.cancel(str(job.number))


def _has_restarted(begun_at: FleetTarget, current: FleetTarget) -> bool:
    """Whether a target has started again with another release."""
    is_new_start = begun_at.born_ms != current.born_ms
    return is_new_start and begun_at.release != current.release
