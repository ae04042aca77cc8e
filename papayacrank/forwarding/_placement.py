"""Choice of the target that runs a request."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass
from random import Random

import xxhash

from papayacrank.kernel import register
from papayacrank.messages import FleetTarget, ServiceProfile, TargetLoad

from ._base import PromptPart
from ._targets import TargetTable

# Published rates of the engines are 40.8 and 51.1 tokens/ms.
PREFILL_TOKENS_PER_MS = 45.0
# 160 kB a token over a store's link of 360 to 450 Gbit/s, twice as long across
# failure domains.
FETCH_TOKENS_PER_MS = 200.0
FETCH_SETUP_MS = 5.0
# Chance that the preferred engine of a part has it, if this instance does not know.
PREFERRED_HIT_CHANCE = 0.7
# Requests on replaced weights lose a part of their value from 1,500 ms after the
# naming of newer ones.
OLD_WEIGHTS_FREE_MS = 1_200
OLD_WEIGHTS_PENALTY_MS = 400.0
MEMORY_PART = 0.95
FULL_MEMORY_PENALTY_MS = 300.0
FULL_SLOTS_PENALTY_MS = 500.0
OTHER_DOMAIN_PENALTY_MS = 2.0
# Instances that see the same loads should not all choose the same target.
JITTER_MS = 3.0
PLAIN_WORK_MS = 45.0
MAX_KNOWN_PARTS = 50_000
KNOWN_PART_LIFETIME_MS = 15_000


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What placing needs to know about a request.

    Parameters
    ----------
    shared : tuple of PromptPart
        Parts of the prompt that other requests may have, too.
    salt : str
        Separates the caches of isolated workspaces; the version is added here.
    newest_version : int
        Named version of the weights; 0 for plain services.
    newest_age_ms : int
        Time since that version became known.
    max_old_age_ms : int
        Age from which older weights must not be used.
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


@dataclass(frozen=True, slots=True)
class Choice:
    """Chosen target.

    Parameters
    ----------
    expected_ms : float
        Expected time to the first event or the answer.
    missing_tokens : int
        Prompt tokens that the target is expected to read.
    knows_parts : bool
        Whether the shared parts are known to be at the target.
    """

    target: FleetTarget
    expected_ms: float
    missing_tokens: int = 0
    knows_parts: bool = False
    load: TargetLoad = TargetLoad()


class KnownParts:
    """Prompt parts that were read at targets or saved to a store, as seen here."""

    def __init__(self):
        self._seen: OrderedDict[tuple[str, str, str], int] = OrderedDict()

    def note(self, place: str, salt: str, part: str, now_ms: int) -> None:
        """Note that a part is at a place."""
        key = (place, salt, part)
        self._seen[key] = now_ms
        self._seen.move_to_end(key)
        while len(self._seen) > MAX_KNOWN_PARTS:
            self._seen.popitem(last=False)

    def has(self, place: str, salt: str, part: str, now_ms: int) -> bool:
        """Whether a part was at a place lately."""
        seen_ms = self._seen.get((place, salt, part))
        return seen_ms is not None and now_ms - seen_ms < KNOWN_PART_LIFETIME_MS

    def forget_place(self, place: str) -> None:
        """Forget everything at a place that lost its memory."""
        for key in [key for key in self._seen if key[0] == place]:
            del self._seen[key]


class Placement(ABC):
    """Chooses the target of a request.

    Parameters
    ----------
    table : TargetTable
        Targets and their load.
    parts : KnownParts
        Where prompt parts are.
    failure_domain : str
        Failure domain of this instance.
    random_state : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        table: TargetTable,
        parts: KnownParts,
        failure_domain: str,
        random_state: Random,
    ):
        self.table = table
        self.parts = parts
        self.failure_domain = failure_domain
        self.random_state = random_state

    @abstractmethod
    def choose(
        self, request: PlacementRequest, targets: list[FleetTarget], now_ms: int
    ) -> Choice | None:
        """Return the choice among targets that may be used, None if there is none."""


@register(Placement, "expected_wait")
class ExpectedWaitPlacement(Placement):
    """Least expected time to the first event of an engine.

    Answers heavy days and hot prompt parts: each shared part has a preferred engine by
    rendezvous hashing, so that instances place it alike without messages. Another
    engine is taken as soon as the queue of the preferred one costs more than fetching
    or reading the part again.
    """

    def choose(
        self, request: PlacementRequest, targets: list[FleetTarget], now_ms: int
    ) -> Choice | None:
        """Return the engine with the least expected time."""
        usable = [t for t in targets if self._may_run(t, request)]
        if not usable:
            return None
        preferred = self._find_preferred(request, usable)
        choices = [
            self._estimate(target, request, target is preferred, now_ms)
            for target in usable
        ]
        return min(
            choices,
            key=lambda c: (
                c.expected_ms
                + self._penalty_ms(c, request)
                + self.random_state.uniform(0, JITTER_MS)
            ),
        )

    @staticmethod
    def _may_run(target: FleetTarget, request: PlacementRequest) -> bool:
        version = target.weights.get(request.model)
        if version is None:
            return False
        is_old = version < request.newest_version
        return not is_old or request.newest_age_ms < request.max_old_age_ms

    def _find_preferred(
        self, request: PlacementRequest, targets: list[FleetTarget]
    ) -> FleetTarget | None:
        if not request.shared:
            return None
        key = f"{request.salt}/{request.shared[-1].name}/"
        return max(
            targets, key=lambda t: xxhash.xxh3_64_intdigest((key + t.name).encode())
        )

    def _estimate(
        self,
        target: FleetTarget,
        request: PlacementRequest,
        is_preferred: bool,
        now_ms: int,
    ) -> Choice:
        load = self.table.load(target.name)
        own_tokens = request.prompt_tokens - sum(p.tokens for p in request.shared)
        missing_ms, missing, knows = self._missing(
            target, request, is_preferred, now_ms
        )
        wait_ms = load.prefill_tokens / PREFILL_TOKENS_PER_MS
        own_ms = own_tokens / PREFILL_TOKENS_PER_MS
        expected_ms = wait_ms + missing_ms + own_ms
        return Choice(target, expected_ms, own_tokens + missing, knows, load)

    def _missing(
        self,
        target: FleetTarget,
        request: PlacementRequest,
        is_preferred: bool,
        now_ms: int,
    ) -> tuple[float, int, bool]:
        """Return time and tokens for the shared parts, and whether they are known."""
        shared = sum(part.tokens for part in request.shared)
        if not shared:
            return 0.0, 0, True
        salt = salt_for(request.salt, target.weights.get(request.model, 0))
        last = request.shared[-1].name
        if self.parts.has(target.name, salt, last, now_ms):
            return 0.0, 0, True
        read_ms = shared / PREFILL_TOKENS_PER_MS
        if self.parts.has(STORE, salt, last, now_ms):
            fetch_ms = FETCH_SETUP_MS + shared / FETCH_TOKENS_PER_MS
            return min(fetch_ms, read_ms), 0, False
        if is_preferred:
            miss = 1 - PREFERRED_HIT_CHANCE
            return miss * read_ms, int(miss * shared), False
        return read_ms, shared, False

    def _penalty_ms(self, choice: Choice, request: PlacementRequest) -> float:
        target, load = choice.target, choice.load
        engine = request.service.engine
        penalty_ms = 0.0
        version = target.weights.get(request.model, 0)
        is_old = version < request.newest_version
        if is_old and request.newest_age_ms > OLD_WEIGHTS_FREE_MS:
            penalty_ms += OLD_WEIGHTS_PENALTY_MS
        if engine is not None:
            room = engine.memory_tokens * MEMORY_PART - load.memory_tokens
            if request.tokens > room:
                penalty_ms += FULL_MEMORY_PENALTY_MS
            if load.running >= engine.slots:
                penalty_ms += FULL_SLOTS_PENALTY_MS
        if target.failure_domain != self.failure_domain:
            penalty_ms += OTHER_DOMAIN_PENALTY_MS
        return penalty_ms


@register(Placement, "least_running")
class LeastRunningPlacement(Placement):
    """Least running requests for each slot; for plain services."""

    def choose(
        self, request: PlacementRequest, targets: list[FleetTarget], now_ms: int
    ) -> Choice | None:
        """Return the target with the least expected wait."""
        choices = [self._estimate(target) for target in targets]
        return min(
            choices,
            key=lambda c: (
                c.expected_ms
                + self._distance_ms(c.target)
                + self.random_state.uniform(0, JITTER_MS)
            ),
            default=None,
        )

    def _estimate(self, target: FleetTarget) -> Choice:
        load = self.table.load(target.name)
        slots = max(1, target.slots)
        busy = load.running / slots
        wait_ms = PLAIN_WORK_MS * (busy if load.running < slots else 2 * busy)
        return Choice(target, wait_ms + PLAIN_WORK_MS, load=load)

    def _distance_ms(self, target: FleetTarget) -> float:
        same = target.failure_domain == self.failure_domain
        return 0.0 if same else OTHER_DOMAIN_PENALTY_MS


STORE = "store"


def salt_for(base: str, version: int) -> str:
    """Return the cache salt of a version of the weights."""
    return f"{base}{version}"
