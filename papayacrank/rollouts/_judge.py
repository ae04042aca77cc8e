"""Share and verdict of one rollout, as the leader decides them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from papayacrank.messages import (
    COMPLETED,
    ROLLED_BACK,
    ReleaseReport,
    Rollout,
    RolloutShare,
)

from ._evidence import LAST_MIN_EXPONENT, MIN_EXPONENT, ReleaseEvidence
from ._limits import ExposureLimits

# Part of the allowance that is used at most, since reports and shares take time and
# processes that end take their last counts with them.
USED_ALLOWANCE = 0.8
# Parts of that for the time before the last steps and for the step before the last. The
# rest is for the time until a fault in the last step takes effect.
PROBE_ALLOWANCE = 0.4
STEP_ALLOWANCE = 0.3
MAX_PARTIAL_SHARE = 0.5
# Used parts between which weak evidence is enough for a verdict in the last step.
WEAK_FROM = 0.85
WEAK_TO = 1.25
# Requests per second of the rest of the duration, as a part of those so far.
FORECAST_FACTOR = 0.7
# The first share holds until the rate of requests is known.
RATE_KNOWN_MS = 800
SHARE_INTERVAL_MS = 1_000
MIN_SHARE_CHANGE = 0.25
# Parts of the duration, and limits in milliseconds, of: the time that the verdict takes
# to be written and read, the step before the last, the wait for open requests at the
# old targets, and the time in which new targets have empty caches.
RESERVE = (0.08, 400, 3_000)
STEP = (0.06, 500, 3_000)
DRAIN = (0.1, 800, 8_000)
MAX_DRAIN = 0.25
WARM_UP = (0.1, 500, 5_000)
DRAIN_QUANTILE = 0.99
DRAIN_FACTOR = 2.0
MIN_LAST_MS = 300
# Outcomes of the new release that the last step needs, unless there are few requests.
MIN_ENDED = 10
# A new leader waits this long for the counts of all live processes.
RESUME_WAIT_MS = 1_000
# Time without a leader, and since the last entry before it, that a new leader assumes:
# the clock of the control group stands still then.
RESUME_LAG_MS = 1_500
# Without contact for this time, an entry process uses the old releases; heartbeats are
# more frequent.
LAPSE_MS = 1_500


class Phase(IntEnum):
    """Phase of a rollout."""

    WAITING = 0
    PROBE = 1
    PARTIAL = 2
    LAST = 3


@dataclass(frozen=True, slots=True)
class FleetSituation:
    """What the judge needs to know about targets and entry processes.

    Parameters
    ----------
    has_new : bool
        Whether requests may be sent to any target of the new release.
    open_at_old : mapping of str to int or None
        Number of open requests at targets of other releases, for each live entry
        process; None without a recent report.
    """

    has_new: bool
    open_at_old: Mapping[str, int | None] = field(default_factory=dict)


class RolloutJudge:
    """Decides the share of a new release and the verdict on it.

    A release may turn bad at any time before the deadline, and all requests that it got
    until then count. So few requests go to it for most of the duration, and the last
    steps come as late as they can and still end in time.

    Parameters
    ----------
    rollout : Rollout
        Running rollout.
    limits : ExposureLimits
        Limits on the exposure to a bad release.
    first_step : int
        Number of the first step; higher than those of earlier leaders.
    is_resumed : bool
        Whether another leader may have begun the rollout.
    now_ms : int
        Time on the clock of the control group.
    """

    def __init__(
        self,
        rollout: Rollout,
        limits: ExposureLimits,
        first_step: int,
        is_resumed: bool,
        now_ms: int,
    ):
        self._rollout = rollout
        self._begun_ms = rollout.started_ms - (RESUME_LAG_MS if is_resumed else 0)
        self._limits = limits
        self._evidence = ReleaseEvidence(rollout.release)
        self._step = first_step
        self._share = 0.0
        self._route_factors: dict[str, float] = {}
        self._phase = Phase.WAITING
        self._phase_since_ms = now_ms
        self._share_since_ms = now_ms
        self._started_ms = now_ms
        self._is_resumed = is_resumed
        self._verdict = ""
        self._reason = ""

    @property
    def verdict(self) -> str:
        """`COMPLETED` or `ROLLED_BACK`; empty while the rollout runs."""
        return self._verdict

    @property
    def reason(self) -> str:
        """Why the verdict was given."""
        return self._reason

    @property
    def phase(self) -> Phase:
        """Phase of the rollout."""
        return self._phase

    @property
    def exposed(self) -> int:
        """Number of requests that entry processes have sent to the new release."""
        return self._evidence.exposed

    @property
    def total(self) -> int:
        """Number of requests that entry processes have sent to any release."""
        return self._evidence.total

    @property
    def share(self) -> RolloutShare:
        """Share for entry processes."""
        rollout = self._rollout
        return RolloutShare(
            rollout.number,
            rollout.service,
            rollout.release,
            rollout.state,
            self._step,
            self._share,
            rollout.bases,
            LAPSE_MS,
            self._route_factors,
        )

    def observe(self, instance: str, reports: Iterable[ReleaseReport]) -> None:
        """Record the counts that an entry process reports on this rollout."""
        self._evidence.observe(instance, reports)

    def decide(self, situation: FleetSituation, now_ms: int) -> None:
        """Decide the share and the verdict at a time on the clock of the group."""
        if self._verdict:
            return
        self._evidence.update(self._part(WARM_UP), now_ms)
        elapsed_ms = now_ms - self._begun_ms
        if fault := self._evidence.find_fault(self._min_exponent(elapsed_ms)):
            self._conclude(ROLLED_BACK, fault, now_ms)
            return
        if elapsed_ms >= self._rollout.duration_ms and self._phase < Phase.LAST:
            self._conclude(ROLLED_BACK, "not proven by the deadline", now_ms)
        elif not situation.has_new:
            self._enter(Phase.WAITING, now_ms)
            self._set_share(0.0, now_ms)
        elif self._phase is Phase.WAITING:
            if self._may_start(situation, now_ms):
                self._enter(Phase.PROBE, now_ms)
                self._set_share(self._limits.share / 2, now_ms)
        elif self._phase is Phase.LAST:
            self._finish(situation, now_ms)
        else:
            self._advance(elapsed_ms, now_ms)

    def _min_exponent(self, elapsed_ms: int) -> float:
        """Return which evidence is enough; less of it before the allowance is used."""
        if self._phase < Phase.LAST:
            return MIN_EXPONENT
        used = self._evidence.exposed / max(1.0, self._allowance(elapsed_ms))
        return LAST_MIN_EXPONENT if WEAK_FROM <= used <= WEAK_TO else MIN_EXPONENT

    def _may_start(self, situation: FleetSituation, now_ms: int) -> bool:
        """Whether the counts of earlier leaders are known, or do not exist."""
        if not self._is_resumed or now_ms - self._started_ms >= RESUME_WAIT_MS:
            return True
        steps = map(self._evidence.applied_step, situation.open_at_old)
        return all(step is not None for step in steps)

    def _advance(self, elapsed_ms: int, now_ms: int) -> None:
        last_ms = self._rollout.duration_ms - self._part(RESERVE) - self._drain_ms()
        partial_ms = last_ms - self._part(STEP)
        in_phase_ms = now_ms - self._phase_since_ms
        is_next_due = in_phase_ms >= self._part(STEP)
        if self._phase is Phase.PROBE and elapsed_ms >= partial_ms and is_next_due:
            self._enter(Phase.PARTIAL, now_ms)
            self._set_share(self._partial_share(elapsed_ms), now_ms)
        elif self._phase is Phase.PARTIAL and elapsed_ms >= last_ms and is_next_due:
            if self._has_evidence():
                self._enter(Phase.LAST, now_ms)
                self._set_share(1.0, now_ms)
        elif self._phase is Phase.PROBE:
            self._adjust_probe(elapsed_ms, partial_ms, now_ms)
        used = PROBE_ALLOWANCE + STEP_ALLOWANCE
        if self._phase < Phase.LAST and self._evidence.exposed > used * (
            self._allowance(elapsed_ms)
        ):
            self._set_share(0.0, now_ms)

    def _adjust_probe(self, elapsed_ms: int, partial_ms: int, now_ms: int) -> None:
        held_ms = now_ms - self._share_since_ms
        wait_ms = (
            RATE_KNOWN_MS
            if self._share_since_ms == self._phase_since_ms
            else (SHARE_INTERVAL_MS)
        )
        if held_ms < wait_ms:
            return
        left = PROBE_ALLOWANCE * self._allowance(elapsed_ms) - self._evidence.exposed
        expected = self._rate(elapsed_ms) * max(1, partial_ms - elapsed_ms)
        share = min(MAX_PARTIAL_SHARE, max(0.0, left / max(1.0, expected)))
        if abs(share - self._share) > MIN_SHARE_CHANGE * self._share:
            self._set_share(share, now_ms)

    def _partial_share(self, elapsed_ms: int) -> float:
        expected = self._rate(elapsed_ms) * self._part(STEP)
        share = STEP_ALLOWANCE * self._allowance(elapsed_ms) / max(1.0, expected)
        return min(MAX_PARTIAL_SHARE, share)

    def _finish(self, situation: FleetSituation, now_ms: int) -> None:
        """Complete once no entry process uses old targets.

        The time that is left shows faults under the whole load.
        """
        elapsed_ms = now_ms - self._begun_ms
        is_early = elapsed_ms < self._rollout.duration_ms - self._part(RESERVE)
        if is_early or now_ms - self._phase_since_ms < MIN_LAST_MS:
            return
        for instance, running in situation.open_at_old.items():
            step = self._evidence.applied_step(instance)
            if step != self._step or running is None or running > 0:
                return
        self._conclude(COMPLETED, "all requests use the new release", now_ms)

    def _has_evidence(self) -> bool:
        """Whether enough requests ended at the new release, for those there are."""
        expected = self._limits.share / 2 * self._evidence.total
        return self._evidence.ended >= min(MIN_ENDED, int(expected / 2))

    def _allowance(self, elapsed_ms: int) -> float:
        """Return the number of requests that may go to a bad release."""
        left_ms = max(0, self._rollout.duration_ms - elapsed_ms)
        total = self._evidence.total
        total += FORECAST_FACTOR * self._rate(elapsed_ms) * left_ms
        return USED_ALLOWANCE * (self._limits.share * total + self._limits.slack)

    def _rate(self, elapsed_ms: int) -> float:
        """Return the number of requests per millisecond since the order."""
        return self._evidence.total / max(1, elapsed_ms)

    def _drain_ms(self) -> int:
        slow_ms = self._evidence.slow_end_ms(DRAIN_QUANTILE) or 0
        longest_ms = int(MAX_DRAIN * self._rollout.duration_ms)
        return max(self._part(DRAIN), min(longest_ms, int(DRAIN_FACTOR * slow_ms)))

    def _part(self, part: tuple[float, int, int]) -> int:
        """Return a part of the duration in milliseconds, within limits.

        A short duration is divided in the same way, below the lower limits.
        """
        fraction, least_ms, most_ms = part
        duration_ms = self._rollout.duration_ms
        return int(
            min(most_ms, max(fraction * duration_ms, min(least_ms, duration_ms / 6)))
        )

    def _enter(self, phase: Phase, now_ms: int) -> None:
        if phase is not self._phase:
            self._phase = phase
            self._phase_since_ms = now_ms

    def _set_share(self, share: float, now_ms: int) -> None:
        share = round(share, 4)
        if share != self._share:
            self._share = share
            self._route_factors = self._evidence.route_factors()
            self._step += 1
            self._share_since_ms = now_ms

    def _conclude(self, verdict: str, reason: str, now_ms: int) -> None:
        self._verdict, self._reason = verdict, reason
        if verdict == ROLLED_BACK:
            self._set_share(0.0, now_ms)
