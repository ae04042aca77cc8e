"""Cost model of all services and targets that one process knows."""

import math
from dataclasses import dataclass, field

from papayacrank.messages import FleetTarget, ServiceCost, TargetCost

from ._outputs import OutputLengths
from ._services import EngineCosts, PlainCosts, ServiceCosts
from ._target_factors import TargetFactors
from ._work import Expectation, Work

MAX_SERVICES = 200
REPORT_INTERVAL_MS = 1_000
# Coefficients are reported after a change by this fraction.
REPORT_CHANGE = 0.05
MAX_REPORTED_COEFFICIENTS = 64
# Observations that mostly consist of a queue tell less of the speed of a target.
MIN_OBSERVATION_WEIGHT = 0.25


@dataclass(frozen=True, slots=True)
class CostReport:
    """What has been learned since the last report."""

    targets: dict[str, TargetCost] = field(default_factory=dict)
    services: list[ServiceCost] = field(default_factory=list)

    @property
    def is_new(self) -> bool:
        """Whether there is anything to report."""
        return bool(self.targets or self.services)


class CostModel:
    """Expects the times of requests at targets, and learns from observed times.

    Without observations, expectations follow from priors that are alike for all
    targets of a kind.
    """

    def __init__(self):
        self.factors = TargetFactors()
        self.outputs = OutputLengths()
        self._engines: dict[str, EngineCosts] = {}
        self._plain: dict[str, PlainCosts] = {}
        self._next_report_ms = 0
        self._reported: dict[str, dict[str, float]] = {}
        self._reported_samples: dict[str, int] = {}
        self._term = 0

    def engine(self, service: str) -> EngineCosts:
        """Return the model of a service of engines."""
        model = self._engines.get(service)
        if model is None:
            model = EngineCosts()
            if len(self._engines) < MAX_SERVICES:
                self._engines[service] = model
        return model

    def plain(self, service: str) -> PlainCosts:
        """Return the model of a plain service."""
        model = self._plain.get(service)
        if model is None:
            model = PlainCosts()
            if len(self._plain) < MAX_SERVICES:
                self._plain[service] = model
        return model

    def _service(self, work: Work) -> ServiceCosts:
        return self.engine(work.service) if work.is_engine else self.plain(work.service)

    def factor(self, target: str) -> float:
        """Return the time of a target as a multiple of that of its service."""
        return self.factors.values.get(target, 1.0)

    def expect(self, target: str, work: Work) -> Expectation:
        """Return the expected times of a request at a target."""
        return self._service(work).expect(work, self.factor(target))

    def longest_ms(self, target: str, work: Work) -> float:
        """Return a time to the first event that few requests exceed.

        It is 0 before enough was observed.
        """
        service = self._service(work)
        if not service.is_learned:
            return 0.0
        return service.tail * self.expect(target, work).first_event_ms

    def observe(
        self, target: str, work: Work, elapsed_ms: float, has_event: bool = True
    ) -> None:
        """Record the time to the first event or response.

        Parameters
        ----------
        target : str
            Name of the target.
        work : Work
            Work of the request when it was sent.
        elapsed_ms : float
            Time since sending, in milliseconds.
        has_event : bool
            Whether there was an event. If not, the time is a lower bound.
        """
        service = self._service(work)
        factor = self.factor(target)
        if not has_event and elapsed_ms <= service.expect(work, factor).first_event_ms:
            return
        average = service.expect(work, 1.0)
        ratio = max(1.0, elapsed_ms) / max(1.0, average.first_event_ms)
        queue_fraction = average.queue_ms / max(1.0, average.first_event_ms)
        weight = max(MIN_OBSERVATION_WEIGHT, 1.0 - queue_fraction)
        self.factors.observe(target, math.log(ratio), not has_event, weight)
        if service.observe(work, factor, elapsed_ms):
            self.factors.refresh_if_due(work.service)

    def observe_events(
        self, target: str, work: Work, events: int, elapsed_ms: float
    ) -> None:
        """Record how long the events after the first one took."""
        if work.is_engine and events > 0:
            self.engine(work.service).observe_events(
                work.running, self.factor(target), events, elapsed_ms
            )

    def retain(self, targets: list[FleetTarget]) -> None:
        """Forget targets that have left."""
        self.factors.retain(targets)

    # Sharing

    def take_report(self, term: int, now_ms: int) -> CostReport:
        """Return what the leader of a term must hear now.

        A leader that is new gets all estimates once.
        """
        if now_ms < self._next_report_ms:
            return CostReport()
        self._next_report_ms = now_ms + REPORT_INTERVAL_MS
        if term != self._term:
            self._term = term
            self.factors.announce()
            self._reported.clear()
        services = []
        models = {**self._engines, **self._plain}
        for name, model in models.items():
            samples = model.samples - self._reported_samples.get(name, 0)
            coefficients = model.coefficients
            known = self._reported.get(name, {})
            if samples > 0 and _differs(coefficients, known):
                self._reported[name] = coefficients
                self._reported_samples[name] = model.samples
                bounded = list(coefficients.items())[-MAX_REPORTED_COEFFICIENTS:]
                rounded = {key: float(f"{value:.4g}") for key, value in bounded}
                services.append(ServiceCost(name, samples, rounded))
        return CostReport(self.factors.take_report(), services)

    def apply(self, costs: dict[str, TargetCost], services: list[ServiceCost]) -> None:
        """Apply what the leader has merged of all reports.

        Parameters
        ----------
        costs : dict of str to TargetCost
            Estimates by target name.
        services : list of ServiceCost
            Models of services.
        """
        for cost in services:
            names = {n: v for n, v in cost.coefficients.items() if 0 <= v < math.inf}
            is_engine = any(not name.startswith("r") for name in names)
            model = self.engine if is_engine else self.plain
            model(cost.service).adopt(names)
        if costs:
            self.factors.apply(costs)


def _differs(new: dict[str, float], known: dict[str, float]) -> bool:
    return any(
        name not in known or abs(value - known[name]) > REPORT_CHANGE * abs(known[name])
        for name, value in new.items()
    )
