"""Placement policies that choose the target of a request."""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from random import Random

from papayacrank.costs import (
    CostModel,
    EngineCosts,
    EngineRates,
    plain_wait_fraction,
    queued_events,
)
from papayacrank.kernel import register
from papayacrank.messages import FleetTarget, ServiceProfile, TargetLoad
from papayacrank.permits import PermitClient

from ._base import PromptPart
from ._known_parts import KnownPartLocations
from ._preferred_engines import ENGINES_PER_COPY, PreferredEngines
from ._targets import TargetTable

# Losses are fractions of the value of one request. The probability of a late first
# event is a logistic curve; midpoint and scale are multiples of the objective.
LATE_LOSS = 0.6
LATE_SCALE = 0.15
LATE_MIDPOINT = 0.85
WAIT_LOSS_PER_MS = 0.0002
# A request on replaced weights loses a fifth of its value from 1,500 ms after newer
# weights were announced.
OLD_WEIGHTS_GRACE_MS = 1_200
OLD_WEIGHTS_LOSS = 0.2
# Recomputing 1,000 shared tokens that another engine has cached costs a fifth of the
# value of a request.
RECOMPUTE_LOSS_PER_TOKEN = 0.0002
# Probability that another engine caches a part whose locations are unknown here.
CACHED_ELSEWHERE_PROBABILITY = 0.5
USABLE_MEMORY_FRACTION = 0.95
FULL_MEMORY_LOSS = 0.3
FULL_SLOTS_LOSS = 0.5
CROSS_DOMAIN_LOSS = 0.004
# In a failure domain with many engines, one nearby is as good as one elsewhere unless
# their queues differ by more than the error of the expected times.
LARGE_DOMAIN_LOSS = 0.015
CROSS_DOMAIN_LATENCY_MS = 2.0
# Random jitter keeps instances that see the same loads from choosing the same target.
JITTER_LOSS = 0.001
JITTER_MS = 3.0
# Instances that compare the same learned times choose the same target until they hear
# of each other's requests. With this relative jitter, the share of late requests in
# simulations of eight equal targets was 0.039, not 0.057 (0.043 without learning).
EXPECTATION_JITTER = 0.4


class PartsLocation(Enum):
    """Known location of the shared parts of a prompt."""

    TARGET = "target"
    STORE = "store"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Properties of a request that placement depends on.

    Parameters
    ----------
    service : ServiceProfile
        Requested service.
    model : str or None
        Requested model; None for plain services.
    tokens : int
        Prompt and output tokens in total.
    prompt_tokens : int
        Prompt tokens.
    shared : tuple of PromptPart
        Parts of the prompt that other requests may also contain.
    salt : str
        Salt prefix that separates isolated workspaces, without the weights version.
    newest_version : int
        Current version of the weights; 0 for plain services.
    newest_age_ms : int
        Time since that version became known, in milliseconds.
    max_old_age_ms : int
        Value of `newest_age_ms` from which older weights must not be used.
    objective_ms : int
        Latency objective from arrival to the first event, in milliseconds.
    elapsed_ms : int
        Time since arrival in milliseconds.
    store : str
        Store service that the shared parts are fetched from; empty if none.
    release : str or None
        Release of the targets that may get the request; None for any.
    route : str
        Route of the request.
    urgency : int
        Scheduling rank from 0, the most urgent.
    may_use_new : bool
        Whether the request is one of the share of a new release.
    """

    service: ServiceProfile
    model: str | None = None
    tokens: int = 0
    prompt_tokens: int = 0
    shared: tuple[PromptPart, ...] = ()
    salt: str = ""
    newest_version: int = 0
    newest_age_ms: int = 0
    max_old_age_ms: int = 1 << 60
    objective_ms: int = 500
    elapsed_ms: int = 0
    store: str = ""
    release: str | None = None
    route: str = ""
    urgency: int = 0

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may also contain."""
        return sum(part.tokens for part in self.shared)

    may_use_new: bool = False


@dataclass(frozen=True, slots=True)
class Choice:
    """Placement decision.

    Parameters
    ----------
    target : FleetTarget
        Chosen target.
    expected_ms : float
        Expected time to the first event or the response, in milliseconds.
    queue_ms : float
        Part of the expected time that other requests take, in milliseconds.
    missing_tokens : int
        Prompt tokens that the target is expected to compute.
    parts_at : PartsLocation
        Known location of the shared parts.
    load : TargetLoad
        Load of the target at the time of the decision.
    fetch_tokens : int
        Prompt tokens that the target is expected to fetch from a store.
    factor : float
        Time of the target as a multiple of that of its service.
    permit_ms : float
        Part of the expected time that passes before the request is sent.
    """

    target: FleetTarget
    expected_ms: float
    queue_ms: float = 0.0
    missing_tokens: int = 0
    parts_at: PartsLocation = PartsLocation.UNKNOWN
    load: TargetLoad = TargetLoad()
    fetch_tokens: int = 0
    factor: float = 1.0
    permit_ms: float = 0.0


class Placement(ABC):
    """Policy that chooses the target of a request.

    Parameters
    ----------
    table : TargetTable
        Targets and their load.
    parts : KnownPartLocations
        Known locations of prompt parts.
    permits : PermitClient
        Request rate limits; waiting for a permit counts as expected time.
    failure_domain : str
        Failure domain of this instance.
    random_state : random.Random
        Source of the jitter.
    costs : CostModel, optional
        Expected times at the targets; one without observations if not given.
    """

    def __init__(
        self,
        table: TargetTable,
        parts: KnownPartLocations,
        permits: PermitClient,
        failure_domain: str,
        random_state: Random,
        costs: CostModel | None = None,
    ):
        self.table = table
        self.parts = parts
        self.permits = permits
        self.failure_domain = failure_domain
        self.random_state = random_state
        self.costs = costs or CostModel()

    @abstractmethod
    def choose(
        self, request: PlacementRequest, targets: list[FleetTarget], now_ms: int
    ) -> Choice | None:
        """Choose among the given targets.

        Parameters
        ----------
        request : PlacementRequest
            Request to place.
        targets : list of FleetTarget
            Candidates.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        Choice or None
            None if no candidate may run the request.
        """


@register(Placement, "expected_loss")
class ExpectedLossPlacement(Placement):
    """Engine with the least expected loss, for this request and for others.

    The policy handles heavy load, roll-outs of weights and popular prompt parts. Loss
    comes from a late first event, from replaced weights, and from computing what
    another engine has cached. Rendezvous hashing gives each shared part preferred
    engines, so that instances agree on them without communication; another engine is
    chosen once the queue of the preferred one costs more.
    """

    def choose(
        self, request: PlacementRequest, targets: list[FleetTarget], now_ms: int
    ) -> Choice | None:
        """Return the engine with the least expected loss."""
        usable = [t for t in targets if self._may_run(t, request)]
        if not usable:
            return None
        local = [t for t in usable if t.failure_domain == self.failure_domain]
        has_many = len(local) >= ENGINES_PER_COPY
        remote_loss = LARGE_DOMAIN_LOSS if has_many else CROSS_DOMAIN_LOSS
        preferred = PreferredEngines(
            request.salt, request.model, request.shared, local if has_many else usable
        )
        model = self.costs.engine(request.service.name)
        rates, is_learned = model.rates(request.urgency), model.is_learned
        best: tuple[float, Choice] | None = None
        for target in usable:
            choice, recompute_loss = self._estimate(
                target, request, preferred, model, rates, now_ms
            )
            expected_ms = choice.expected_ms
            if is_learned:
                expected_ms *= 1.0 + EXPECTATION_JITTER * self.random_state.random()
            loss = recompute_loss + self._loss(choice, request, expected_ms)
            if target.failure_domain != self.failure_domain:
                loss += remote_loss
            if best is None or loss < best[0]:
                best = (loss, choice)
        return best[1]

    @staticmethod
    def _may_run(target: FleetTarget, request: PlacementRequest) -> bool:
        version = target.weights.get(request.model)
        if version is None:
            return False
        is_old = version < request.newest_version
        return not is_old or request.newest_age_ms < request.max_old_age_ms

    def _estimate(
        self,
        target: FleetTarget,
        request: PlacementRequest,
        preferred: PreferredEngines,
        model: EngineCosts,
        rates: EngineRates,
        now_ms: int,
    ) -> tuple[Choice, float]:
        """Return a choice and the loss from recomputing shared parts.

        Parameters
        ----------
        target : FleetTarget
            Candidate.
        request : PlacementRequest
            Request to place.
        preferred : PreferredEngines
            Preferred engine of each shared part.
        model : EngineCosts
            Costs of the service.
        rates : EngineRates
            Those that depend on the urgency of the request.
        now_ms : int
            Current time in milliseconds.
        """
        load = self.table.load(target.name)
        factor = self.costs.factors.values.get(target.name, 1.0)
        own_tokens = max(0, request.prompt_tokens - request.shared_tokens)
        fetched, uncached = self._split_by_source(target, request, now_ms)
        fetch_tokens = sum(part.tokens for part in fetched)
        compute_tokens = sum(part.tokens for part in uncached)
        fetch_ms = 0.0
        if fetched:
            fetch_ms = rates.fetch_setup_ms + fetch_tokens * rates.fetch_token_ms
        queue_ms = factor * load.prefill_tokens * rates.queued_token_ms
        engine = request.service.engine
        if engine is not None and load.running >= engine.slots:
            events = queued_events(load.running, load.decode_tokens, engine.slots)
            queue_ms += factor * events * model.event_ms(load.running)
        own_ms = rates.first_step_ms + load.running * rates.running_ms
        own_ms += (own_tokens + compute_tokens) * rates.token_ms
        recompute_loss = 0.0
        if uncached and preferred.find(uncached[0]) != target.name:
            # Parts after the first uncached one are most likely cached nowhere.
            recomputed_tokens = CACHED_ELSEWHERE_PROBABILITY * uncached[0].tokens
            recompute_loss = recomputed_tokens * RECOMPUTE_LOSS_PER_TOKEN
        location = PartsLocation.STORE if fetched else PartsLocation.TARGET
        permit_ms = self.permits.wait_ms(target.name, now_ms)
        choice = Choice(
            target,
            permit_ms + fetch_ms + queue_ms + factor * own_ms,
            queue_ms,
            own_tokens + compute_tokens,
            PartsLocation.UNKNOWN if uncached else location,
            load,
            fetch_tokens,
            factor,
            permit_ms,
        )
        return choice, recompute_loss

    def _split_by_source(
        self, target: FleetTarget, request: PlacementRequest, now_ms: int
    ) -> tuple[list[PromptPart], list[PromptPart]]:
        """Return the shared parts fetched from the store, and those to compute.

        Parts that the engine itself caches are in neither list. A cached part is only
        usable if all parts before it are, too.
        """
        salt = build_cache_salt(request.salt, target.weights.get(request.model, 0))
        fetched: list[PromptPart] = []
        for number, part in enumerate(request.shared):
            if self.parts.engines.has(target.name, salt, part.name, now_ms):
                continue
            if not self.parts.stores.has(request.store, salt, part.name, now_ms):
                return fetched, list(request.shared[number:])
            fetched.append(part)
        return fetched, []

    def _loss(
        self, choice: Choice, request: PlacementRequest, expected_ms: float
    ) -> float:
        target, load = choice.target, choice.load
        engine = request.service.engine
        loss = WAIT_LOSS_PER_MS * expected_ms
        loss += LATE_LOSS * self._late_probability(expected_ms, request)
        version = target.weights.get(request.model, 0)
        is_old = version < request.newest_version
        if is_old and request.newest_age_ms > OLD_WEIGHTS_GRACE_MS:
            loss += OLD_WEIGHTS_LOSS
        if engine is not None:
            free_tokens = (
                engine.memory_tokens * USABLE_MEMORY_FRACTION - load.memory_tokens
            )
            loss += FULL_MEMORY_LOSS if request.tokens > free_tokens else 0.0
            loss += FULL_SLOTS_LOSS if load.running >= engine.slots else 0.0
        return loss + self.random_state.uniform(0, JITTER_LOSS)

    @staticmethod
    def _late_probability(expected_ms: float, request: PlacementRequest) -> float:
        """Return the probability of a late first event, by a logistic curve."""
        at_ms = request.elapsed_ms + expected_ms
        limit_ms = LATE_MIDPOINT * request.objective_ms
        scaled_distance = (at_ms - limit_ms) / (LATE_SCALE * request.objective_ms)
        return 1.0 / (1.0 + math.exp(-max(-30.0, min(30.0, scaled_distance))))


@register(Placement, "least_running")
class LeastRunningPlacement(Placement):
    """Target with the fewest running requests per slot; for plain services."""

    def choose(
        self, request: PlacementRequest, targets: list[FleetTarget], now_ms: int
    ) -> Choice | None:
        """Return the target with the least expected response time."""
        service_ms = self.costs.plain(request.service.name).service_ms(request.route)
        factors = self.costs.factors.values
        best, best_cost = None, math.inf
        for target in targets:
            name = target.name
            load = self.table.load(name)
            permit_ms = self.permits.wait_ms(name, now_ms)
            factor = factors.get(name, 1.0)
            expected_ms = factor * service_ms
            expected_ms *= 1.0 + plain_wait_fraction(load.running, target.slots)
            cost = permit_ms + expected_ms + self._distance_ms(target)
            cost += self.random_state.uniform(0, JITTER_MS)
            if cost < best_cost:
                best_cost = cost
                best = (target, permit_ms + expected_ms, load, factor, permit_ms)
        if best is None:
            return None
        target, expected_ms, load, factor, permit_ms = best
        return Choice(
            target, expected_ms, load=load, factor=factor, permit_ms=permit_ms
        )

    def _distance_ms(self, target: FleetTarget) -> float:
        is_local = target.failure_domain == self.failure_domain
        return 0.0 if is_local else CROSS_DOMAIN_LATENCY_MS


def build_cache_salt(base: str, version: int) -> str:
    """Return the cache salt for a version of the weights.

    Parameters
    ----------
    base : str
        Prefix that separates isolated workspaces.
    version : int
        Version of the weights.
    """
    return f"{base}{version}"
