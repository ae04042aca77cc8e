"""Speeds of targets relative to the cost model of their service."""

import math
from dataclasses import dataclass

from papayacrank.messages import TargetCost

MAX_FACTOR = 4.0
MAX_LOG = math.log(MAX_FACTOR)
# An observation moves the estimate by at most this log ratio times its weight.
MAX_STEP_LOG = math.log(2.5)
# Weight of the history in samples; a target that changes its speed is known again
# after about as many.
MAX_SAMPLES = 32
# A restart or another release leaves this much of the confidence.
RESTART_SAMPLES = 2
# Variance of the log ratio of one observation, for the shrinkage to 1.
NOISE_VARIANCE = 0.15
# Variance that more observations do not remove. In simulations of eight equal targets,
# factors 2% apart drew the requests of all instances to the same idle target.
SYSTEMATIC_VARIANCE = 0.02
# Estimates of the fleet only support own ones. Instances that rank the targets alike
# choose the same few between two load messages: in simulations of 70 targets and 63
# instances, 15% of the requests were late when the fleet's estimates replaced own ones.
MIN_OWN_SAMPLES = 2
SHARED_SAMPLES = 2
# Estimates are reported after such a change.
REPORT_LOG_CHANGE = 0.04
# So many observations are reported without a change, because estimates age.
CONFIRMING_SAMPLES = 8
MAX_REPORTED = 32
REFRESHED_PER_OBSERVATION = 8
# Half-life of 30 s, at one call a second, so that a slow target gets requests again
# that show whether it has become faster.
IDLE_DECAY = 0.977


@dataclass(slots=True)
class _Estimate:
    """Mean log ratio of a target, and what has not been reported of it."""

    service: str
    incarnation: tuple
    log: float = 0.0
    samples: float = 0.0
    reported_log: float = 0.0
    pending_log: float = 0.0
    pending: int = 0
    shared_log: float | None = None
    is_fresh: bool = False


class TargetFactors:
    """Speed factors of targets, relative to the geometric mean of their service.

    A factor is shrunk to 1 as far as its deviation may be noise, so that equal targets
    are treated alike. It follows own observations, and estimates of the fleet support
    them. Instances report new observations only, so that the leader needs one value
    for each target.
    """

    def __init__(self):
        self._estimates: dict[str, _Estimate] = {}
        self._by_service: dict[str, set[str]] = {}
        self._means: dict[str, float] = {}
        # Observations of a service since its factors were last refreshed.
        self._observed: dict[str, int] = {}
        # Read directly when many targets are compared.
        self.values: dict[str, float] = {}

    def retain(self, targets) -> None:
        """Forget other targets; trust those that were started anew less.

        Parameters
        ----------
        targets : iterable of FleetTarget
            Targets of the fleet.
        """
        kept: dict[str, _Estimate] = {}
        by_service: dict[str, set[str]] = {}
        for target in targets:
            incarnation = (target.born_ms, target.release)
            estimate = self._estimates.get(target.name)
            if estimate is None or estimate.service != target.service:
                estimate = _Estimate(target.service, incarnation)
            elif estimate.incarnation != incarnation:
                estimate.incarnation = incarnation
                estimate.samples = min(estimate.samples, RESTART_SAMPLES)
                estimate.pending, estimate.pending_log = 0, 0.0
                estimate.shared_log = None
            kept[target.name] = estimate
            by_service.setdefault(target.service, set()).add(target.name)
        self._estimates, self._by_service = kept, by_service
        self.values = {n: v for n, v in self.values.items() if n in kept}
        for table in (self._means, self._observed):
            for service in table.keys() - by_service.keys():
                del table[service]
        for service in by_service:
            self.refresh(service)

    def samples(self, name: str) -> float:
        """Return the number of observations behind a factor, limited."""
        estimate = self._estimates.get(name)
        return estimate.samples if estimate is not None else 0.0

    def observe(
        self, name: str, log_ratio: float, is_bound: bool, weight: float = 1.0
    ) -> None:
        """Record the log ratio of observed time to the model of the service.

        Parameters
        ----------
        name : str
            Target.
        log_ratio : float
            Log of the observed time over the expected one at average speed.
        is_bound : bool
            Whether the observed time is a lower bound, which never lowers a factor.
        weight : float
            Weight of the observation, up to 1.
        """
        estimate = self._estimates.get(name)
        if estimate is None:
            return
        difference = log_ratio - estimate.log
        if is_bound and difference <= 0:
            return
        difference = min(MAX_STEP_LOG, max(-MAX_STEP_LOG, difference))
        value = estimate.log + difference
        estimate.samples = min(MAX_SAMPLES, estimate.samples + weight)
        step = difference * weight / max(1.0, estimate.samples)
        estimate.log = min(MAX_LOG, max(-MAX_LOG, estimate.log + step))
        estimate.pending += 1
        estimate.is_fresh = True
        service = estimate.service
        self._observed[service] = self._observed.get(service, 0) + 1
        estimate.pending_log += value
        self._update_value(name, estimate)

    def refresh_if_due(self, service: str) -> None:
        """Call `refresh` unless it would cost more than the observations since then.

        It visits all targets of a service, and there may be thousands.
        """
        targets = len(self._by_service.get(service, ()))
        if self._observed.get(service, 0) * REFRESHED_PER_OBSERVATION >= targets:
            self.refresh(service)

    def refresh(self, service: str) -> None:
        """Compute the mean of a service and the factors of its targets anew."""
        self._observed[service] = 0
        known = [
            (name, estimate)
            for name in self._by_service.get(service, ())
            if (estimate := self._estimates[name]).samples
        ]
        if not known:
            return
        self._means[service] = sum(e.log for _, e in known) / len(known)
        for name, estimate in known:
            self._update_value(name, estimate)

    def _update_value(self, name: str, estimate: _Estimate) -> None:
        log, samples = estimate.log, estimate.samples
        if estimate.shared_log is not None and samples >= MIN_OWN_SAMPLES:
            log = samples * log + SHARED_SAMPLES * estimate.shared_log
            samples += SHARED_SAMPLES
            log /= samples
        log -= self._means.get(estimate.service, 0.0)
        # The square makes the step from noise to a known factor steeper.
        signal = log**4
        noise = SYSTEMATIC_VARIANCE + NOISE_VARIANCE / max(0.5, samples)
        shrunk = log * signal / (signal + noise**2)
        shrunk = min(MAX_LOG, max(-MAX_LOG, shrunk))
        self.values[name] = math.exp(shrunk)

    def take_report(self) -> dict[str, TargetCost]:
        """Return what was observed since the last report, by target, and clear it.

        Called once a second; estimates without a new observation fade meanwhile.
        """
        for estimate in self._estimates.values():
            if not estimate.is_fresh:
                estimate.log *= IDLE_DECAY
                estimate.samples *= IDLE_DECAY
            estimate.is_fresh = False
        changed = [
            (change, name)
            for name, estimate in self._estimates.items()
            if estimate.pending
            and (
                (change := abs(estimate.log - estimate.reported_log))
                > REPORT_LOG_CHANGE
                or estimate.pending >= CONFIRMING_SAMPLES
            )
        ]
        changed.sort(reverse=True)
        report = {}
        for _, name in changed[:MAX_REPORTED]:
            estimate = self._estimates[name]
            mean = estimate.pending_log / estimate.pending
            factor = math.exp(min(MAX_LOG, max(-MAX_LOG, mean)))
            report[name] = TargetCost(round(factor, 3), estimate.pending)
            estimate.reported_log = estimate.log
            estimate.pending, estimate.pending_log = 0, 0.0
        return report

    def announce(self) -> None:
        """Report all estimates again, for a leader that has none."""
        for estimate in self._estimates.values():
            if estimate.samples and not estimate.pending:
                estimate.pending, estimate.pending_log = 1, estimate.log
            estimate.reported_log = math.inf

    def apply(self, costs: dict[str, TargetCost]) -> None:
        """Use the estimates of the fleet beside own observations."""
        services = set()
        for name, cost in costs.items():
            estimate = self._estimates.get(name)
            if estimate is None or not 0 < cost.factor < math.inf or cost.samples < 1:
                continue
            log = min(MAX_LOG, max(-MAX_LOG, math.log(cost.factor)))
            estimate.shared_log = log
            estimate.reported_log = math.log(cost.factor)
            services.add(estimate.service)
        for service in services:
            self.refresh(service)

    def spread(self, service: str) -> float:
        """Return the ratio of the largest to the smallest factor of a service."""
        values = [
            self.values[n]
            for n in self._by_service.get(service, ())
            if n in self.values
        ]
        return max(values) / min(values) if values else 1.0

    @property
    def widest_spread(self) -> float:
        """Largest ratio of factors within a service."""
        return max((self.spread(s) for s in self._by_service), default=1.0)


def merge_costs(known: TargetCost | None, new: TargetCost) -> TargetCost:
    """Return the mean of two estimates in logs, by their samples."""
    if known is None:
        return TargetCost(_clip(new.factor), min(MAX_SAMPLES, new.samples))
    total = known.samples + new.samples
    log = known.samples * math.log(known.factor)
    log += new.samples * math.log(_clip(new.factor))
    return TargetCost(round(math.exp(log / total), 4), min(MAX_SAMPLES, total))


def _clip(factor: float) -> float:
    return min(MAX_FACTOR, max(1 / MAX_FACTOR, factor))
