"""Cost models of services: what a request costs at a target of average speed."""

import math
from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass

from ._fit import RidgeFit
from ._work import Expectation, Work

# Priors until times were observed; the published prefill rates of engines are 41 to 94
# tokens/ms.
PRIOR_PREFILL_TOKENS_PER_MS = 45.0
# A token takes 160 kB over the link of a store, which has 360 to 450 Gbit/s; transfers
# across failure domains take twice as long.
PRIOR_FETCH_TOKENS_PER_MS = 200.0
PRIOR_FETCH_SETUP_MS = 5.0
# Scheduling and first decoding step of an engine.
PRIOR_FIRST_STEP_MS = 25.0
PRIOR_SERVICE_TIME_MS = 45.0
# Nothing is expected of the time between events before the first observation.
PRIOR_EVENT_MS = 0.0
EVENT_SPREAD_MS = 20.0
EVENT_GROWTH_SPREAD_MS = 1.0
# The queue part of an observation tells the share of the queue that a request waits
# for only if the queue is most of the expected time.
MIN_QUEUE_FRACTION = 0.4
MAX_QUEUE_SHARE = 1.5
QUEUE_SHARE_SAMPLES = 20
# Samples after which a model says more of a service than its priors.
MIN_LEARNED_SAMPLES = 8
MAX_ROUTES = 1_000
ROUTE_SAMPLES = 50
MAX_LOG_RATIO = math.log(3.0)
INITIAL_DEVIATION = 0.3
DEVIATION_SMOOTHING = 0.05
TAIL_DEVIATIONS = 3.0


@dataclass(frozen=True, slots=True)
class EngineRates:
    """Coefficients of the time to the first event, for a choice among many targets.

    Parameters
    ----------
    first_step_ms, running_ms : float
        Fixed time, and its growth with each running request.
    token_ms, queued_token_ms : float
        Time of a prompt token of the request, and of one that is queued before it.
    fetch_setup_ms, fetch_token_ms : float
        Time of a fetch, and of each of its tokens.
    """

    first_step_ms: float
    running_ms: float
    token_ms: float
    queued_token_ms: float
    fetch_setup_ms: float
    fetch_token_ms: float


class ServiceCosts(ABC):
    """Cost model of one service; times are those of a target of average speed."""

    @property
    @abstractmethod
    def samples(self) -> int:
        """Number of observations."""

    @property
    @abstractmethod
    def is_learned(self) -> bool:
        """Whether expectations follow from observations rather than priors."""

    @property
    @abstractmethod
    def tail(self) -> float:
        """Ratio of a long time, which few requests take, to the expected one."""

    @property
    @abstractmethod
    def coefficients(self) -> dict[str, float]:
        """Coefficients by name, to be shared with other processes."""

    @abstractmethod
    def adopt(self, coefficients: dict[str, float]) -> None:
        """Use shared coefficients as priors; ignore unknown or missing names."""

    @abstractmethod
    def expect(self, work: Work, factor: float) -> Expectation:
        """Return the expected times at a target whose speed factor is given."""

    @abstractmethod
    def observe(self, work: Work, factor: float, elapsed_ms: float) -> bool:
        """Record a time to the first event; return whether the coefficients changed."""


class _Deviation:
    """Moving average of the absolute log ratio of observed to expected times."""

    def __init__(self):
        self.value = INITIAL_DEVIATION

    def observe(self, expected_ms: float, observed_ms: float) -> None:
        ratio = abs(math.log(max(observed_ms, 1.0) / max(expected_ms, 1.0)))
        self.value += DEVIATION_SMOOTHING * (min(ratio, MAX_LOG_RATIO) - self.value)

    @property
    def tail(self) -> float:
        return math.exp(min(MAX_LOG_RATIO, TAIL_DEVIATIONS * self.value))


class EngineCosts(ServiceCosts):
    """Cost model of engines.

    The time to the first event is a fixed part that grows with the running requests,
    the prefill of the queued prompts and of the own one, and a fetch. Engines prefill
    in chunks and admit urgent requests first, so a request waits for a share of the
    queued tokens only, which is learned for each urgency.
    """

    def __init__(self):
        self._first = RidgeFit(
            (
                PRIOR_FIRST_STEP_MS,
                0.0,
                1 / PRIOR_PREFILL_TOKENS_PER_MS,
                1 / PRIOR_FETCH_TOKENS_PER_MS,
                1 / PRIOR_PREFILL_TOKENS_PER_MS,
            ),
            (
                PRIOR_FIRST_STEP_MS,
                2.0,
                0.5 / PRIOR_PREFILL_TOKENS_PER_MS,
                1 / PRIOR_FETCH_TOKENS_PER_MS,
                0.5 / PRIOR_PREFILL_TOKENS_PER_MS,
            ),
        )
        self._events = RidgeFit(
            (PRIOR_EVENT_MS, 0.0), (EVENT_SPREAD_MS, EVENT_GROWTH_SPREAD_MS)
        )
        self._shares: dict[int, tuple[float, int]] = {}
        self._deviation = _Deviation()
        self._rates: dict[int, EngineRates] = {}
        self._is_shared = False

    @property
    def samples(self) -> int:
        """Number of observed first events."""
        return self._first.samples

    @property
    def is_learned(self) -> bool:
        """Whether this process or others have observed enough."""
        return self._is_shared or self.samples >= MIN_LEARNED_SAMPLES

    @property
    def tail(self) -> float:
        """Ratio of a long time to the expected one."""
        return self._deviation.tail

    @property
    def coefficients(self) -> dict[str, float]:
        """Coefficients of the first event, of further events and queue shares."""
        first, events = self._first.coefficients, self._events.coefficients
        named = {f"f{i}": value for i, value in enumerate(first)}
        named |= {f"e{i}": value for i, value in enumerate(events)}
        return named | {f"q{rank}": share for rank, (share, _) in self._shares.items()}

    def adopt(self, coefficients: dict[str, float]) -> None:
        """Use shared coefficients as priors."""
        for letter, fit in (("f", self._first), ("e", self._events)):
            names = [f"{letter}{i}" for i in range(len(fit.coefficients))]
            if all(name in coefficients for name in names):
                fit.adopt([coefficients[name] for name in names])
                self._is_shared = True
        for rank in range(10):
            share = coefficients.get(f"q{rank}")
            if share is not None:
                self._shares[rank] = (
                    min(MAX_QUEUE_SHARE, max(0.0, share)),
                    QUEUE_SHARE_SAMPLES,
                )
        self._rates.clear()

    def rates(self, urgency: int) -> EngineRates:
        """Return the coefficients for requests of an urgency."""
        rates = self._rates.get(urgency)
        if rates is None:
            first = self._first.coefficients
            step_ms, running_ms, token_ms, fetch_ms, queued_ms = first
            share = self._shares.get(urgency, (1.0, 0))[0]
            rates = self._rates[urgency] = EngineRates(
                step_ms,
                running_ms,
                token_ms,
                queued_ms * share,
                PRIOR_FETCH_SETUP_MS,
                fetch_ms,
            )
        return rates

    def event_ms(self, running: int) -> float:
        """Return the time between events beside running requests."""
        base, growth = self._events.coefficients
        return base + growth * running

    def expect(self, work: Work, factor: float) -> Expectation:
        """Return the expected times at a target."""
        rates = self.rates(work.urgency)
        queue_ms = factor * rates.queued_token_ms * work.queued_tokens
        if work.queued_events:
            queue_ms += factor * self.event_ms(work.running) * work.queued_events
        fetch_ms = 0.0
        if work.fetch_tokens:
            fetch_ms = rates.fetch_setup_ms + rates.fetch_token_ms * work.fetch_tokens
        own_ms = rates.first_step_ms + rates.running_ms * work.running
        own_ms += rates.token_ms * work.prefill_tokens
        first_ms = queue_ms + fetch_ms + factor * own_ms
        rest_ms = factor * self.event_ms(work.running) * work.output_events
        return Expectation(first_ms, queue_ms, first_ms + rest_ms)

    def observe(self, work: Work, factor: float, elapsed_ms: float) -> bool:
        """Record a time to the first event."""
        expected = self.expect(work, factor)
        self._deviation.observe(expected.first_event_ms, elapsed_ms)
        if expected.queue_ms >= MIN_QUEUE_FRACTION * expected.first_event_ms:
            self._observe_share(work, factor, expected, elapsed_ms)
        share = self._shares.get(work.urgency, (1.0, 0))[0]
        setup_ms = PRIOR_FETCH_SETUP_MS if work.fetch_tokens else 0.0
        slot_ms = self.event_ms(work.running) * work.queued_events
        features = (
            1.0,
            work.running,
            work.prefill_tokens,
            work.fetch_tokens / factor,
            share * work.queued_tokens,
        )
        is_solved = self._first.observe(
            features, (elapsed_ms - setup_ms) / factor - slot_ms
        )
        if is_solved:
            self._rates.clear()
        return is_solved

    def _observe_share(
        self, work: Work, factor: float, expected: Expectation, elapsed_ms: float
    ) -> None:
        whole_ms = factor * self._first.coefficients[4] * work.queued_tokens
        if whole_ms <= 0:
            return
        waited_ms = elapsed_ms - (expected.first_event_ms - expected.queue_ms)
        observed = min(MAX_QUEUE_SHARE, max(0.0, waited_ms / whole_ms))
        share, samples = self._shares.get(work.urgency, (1.0, 0))
        # The prior counts as four observations.
        share += (observed - share) / (min(samples, QUEUE_SHARE_SAMPLES) + 5)
        self._shares[work.urgency] = (share, samples + 1)
        self._rates.pop(work.urgency, None)

    def observe_events(
        self, running: int, factor: float, events: int, elapsed_ms: float
    ) -> None:
        """Record the time that further events of a stream took."""
        self._events.observe((1.0, running), elapsed_ms / (factor * events))


class PlainCosts(ServiceCosts):
    """Cost model of a plain service: a service time for each route.

    The time grows with the running requests, twice as much when all slots are used.
    """

    def __init__(self):
        self._routes: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self._samples = 0
        self._is_shared = False
        self._deviation = _Deviation()

    @property
    def samples(self) -> int:
        """Number of observed responses."""
        return self._samples

    @property
    def is_learned(self) -> bool:
        """Whether this process or others have observed enough."""
        return self._is_shared or self.samples >= MIN_LEARNED_SAMPLES

    @property
    def tail(self) -> float:
        """Ratio of a long time to the expected one."""
        return self._deviation.tail

    @property
    def coefficients(self) -> dict[str, float]:
        """Service time by route."""
        return {f"r{route}": value for route, (value, _) in self._routes.items()}

    def adopt(self, coefficients: dict[str, float]) -> None:
        """Use shared service times; own observations change them further."""
        for name, value in coefficients.items():
            if name.startswith("r") and 0 < value < math.inf:
                self._store(name[1:], value, ROUTE_SAMPLES)
                self._is_shared = True

    def service_ms(self, route: str) -> float:
        """Return the service time of a route at an idle target."""
        return self._routes.get(route, (PRIOR_SERVICE_TIME_MS, 0))[0]

    def expect(self, work: Work, factor: float) -> Expectation:
        """Return the expected times at a target."""
        service_ms = factor * self.service_ms(work.route)
        wait_ms = service_ms * plain_wait_fraction(work.running, work.slots)
        return Expectation(service_ms + wait_ms, wait_ms, service_ms + wait_ms)

    def observe(self, work: Work, factor: float, elapsed_ms: float) -> bool:
        """Record a response time."""
        expected_ms = self.expect(work, factor).first_event_ms
        self._deviation.observe(expected_ms, elapsed_ms)
        known_ms, samples = self._routes.get(work.route, (PRIOR_SERVICE_TIME_MS, 0))
        ratio = math.log(max(1.0, elapsed_ms) / expected_ms)
        step = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, ratio))
        step /= min(samples, ROUTE_SAMPLES) + 2
        self._store(work.route, known_ms * math.exp(step), samples + 1)
        self._samples += 1
        return True

    def _store(self, route: str, service_ms: float, samples: int) -> None:
        self._routes[route] = (service_ms, samples)
        self._routes.move_to_end(route)
        while len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)


def plain_wait_fraction(running: int, slots: int) -> float:
    """Return the time that running requests add, relative to the service time."""
    slots = slots or 1
    return running / slots if running < slots else 2 * running / slots
