"""Roll-out of named weights to the engines."""

import math
from dataclasses import dataclass
from enum import Enum

from papayacrank.kernel import log_event
from papayacrank.messages import TargetLoad

from ._effects import HttpCall, HttpResult
from ._events import WEIGHTS_LOADED, WEIGHTS_ORDERED, WEIGHTS_REFUSED
from ._target_protocol import (
    EngineStatus,
    ListedTarget,
    LoadOrder,
    OrderOutcome,
    RunningRequestPolicy,
    TargetProtocol,
)

STATUS_KEY = "rollout-status "
ORDER_KEY = "rollout-order "
# Entry processes stop sending to an engine before it gets the order, so that most of
# its queue has started; requests that have not are refused by the engine.
LEAVE_MS = 150
# The published times to load weights are 570 and 600 ms. Reports lag, so an engine is
# used from then on and checked when its report can show the load.
EXPECTED_LOAD_MS = 620
REPORT_LAG_MS = 300
STATUS_INTERVAL_MS = 60
# An engine that does not answer is tried again after this time.
BLOCKED_MS = 400
# Beyond this time without progress, the order is sent again.
ATTEMPT_TIMEOUT_MS = 6_000
# One engine in three may be out of service at a time.
LOADING_PART = 3
# The list lags behind the engines' own reports.
LIST_LAG_MS = 2_000
# Requests may begin on replaced weights for 8 s.
MAX_PAUSE_MS = 4_000


class Phase(Enum):
    """Step of one engine's load."""

    IDLE = "idle"
    LEAVING = "leaving"
    CHECKING = "checking"
    LOADING = "loading"
    CONFIRMING = "confirming"


IN_SERVICE = (Phase.IDLE, Phase.CONFIRMING)


@dataclass(slots=True)
class _Engine:
    target: ListedTarget
    phase: Phase = Phase.IDLE
    since_ms: int = 0
    next_ms: int = 0
    calling: bool = False
    orders: int | None = None
    weights: dict[str, int] | None = None
    observed_ms: int = 0
    wanted: int = 0
    blocked_until_ms: int = 0
    paused_until_ms: int = 0
    is_gone: bool = False

    def enter(self, phase: Phase, now_ms: int, delay_ms: int = 0) -> None:
        """Take the next step after a delay."""
        self.phase = phase
        self.since_ms = now_ms
        self.next_ms = now_ms + delay_ms

    def take_wanted(self, now_ms: int) -> None:
        """Count the ordered version as the one that runs."""
        known = self.weights if self.weights is not None else self.target.weights
        self.weights = {m: max(v, self.wanted) for m, v in known.items()}
        self.observed_ms = now_ms


class WeightsRollout:
    """Brings engines to the named versions, a third of a service at a time.

    An engine first gets no new requests, then the order, and is read until it runs
    the new version. Engines with the least running work go first. Orders carry the
    number of orders that the engine has accepted, so that a copy that is carried out
    late has no effect.

    Parameters
    ----------
    protocol : TargetProtocol
        Wire form of the calls.
    holder : str
        Name of this process in orders.
    policy : RunningRequestPolicy
        What happens to running requests.
    """

    def __init__(
        self, protocol: TargetProtocol, holder: str, policy: RunningRequestPolicy
    ):
        self._protocol = protocol
        self._holder = holder
        self._policy = policy
        self._token = 0
        self._fenced = False
        self._may_order_ms = 0
        self._engines: dict[str, _Engine] = {}

    def reset(self, token: int, may_order_ms: int) -> None:
        """Start anew under a fencing token; no order leaves before a time."""
        self._token = token
        self._fenced = False
        self._may_order_ms = may_order_ms
        self._engines.clear()

    def observe(self, targets: dict[str, ListedTarget], now_ms: int) -> None:
        """Take over the platform's list."""
        engines = {}
        for name, target in targets.items():
            if not target.weights:
                continue
            known = self._engines.get(name)
            if known is None or known.target.born_ms != target.born_ms:
                engines[name] = _Engine(target)
                continue
            known.target = target
            if now_ms - known.observed_ms > LIST_LAG_MS and known.phase is Phase.IDLE:
                known.weights = None
            engines[name] = known
        self._engines = engines

    def correct(self, target: ListedTarget) -> None:
        """Take over a change of one target between two lists."""
        engine = self._engines.get(target.name)
        if engine is not None:
            engine.target = target

    def pause(self, name: str, pause_ms: int, now_ms: int) -> None:
        """Send nothing to an engine for a time that it has asked for.

        Its weights would be late beyond `MAX_PAUSE_MS`, which breaks a promise to
        callers, so a longer time is cut.
        """
        engine = self._engines.get(name)
        if engine is not None:
            paused_until_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)
            engine.paused_until_ms = max(engine.paused_until_ms, paused_until_ms)

    def is_loading(self, name: str) -> bool:
        """Whether an engine must not get new requests."""
        engine = self._engines.get(name)
        return engine is not None and engine.phase not in IN_SERVICE

    def is_gone(self, name: str) -> bool:
        """Whether another process has taken the address of an engine."""
        engine = self._engines.get(name)
        return engine is not None and engine.is_gone

    def weights(self, target: ListedTarget) -> dict[str, int]:
        """Return the versions that a target runs, as last observed."""
        engine = self._engines.get(target.name)
        if engine is None or engine.weights is None:
            return target.weights
        return engine.weights

    def poll(
        self, wanted: dict[str, int], loads: dict[str, TargetLoad], now_ms: int
    ) -> list[HttpCall]:
        """Return the calls that are due."""
        if self._fenced or now_ms < self._may_order_ms:
            return []
        self._start_loads(wanted, loads, now_ms)
        calls = []
        for engine in self._engines.values():
            if engine.calling or engine.phase is Phase.IDLE or now_ms < engine.next_ms:
                continue
            is_paused = now_ms < engine.paused_until_ms
            if engine.phase is Phase.LEAVING and (engine.target.leaving or is_paused):
                engine.enter(Phase.IDLE, now_ms)
                continue
            if is_paused:
                engine.next_ms = engine.paused_until_ms
                continue
            if engine.phase is Phase.LOADING:
                self._expect_loaded(engine, now_ms)
                continue
            model = next(m for m in engine.target.weights if m in wanted)
            calls.append(self._next_call(engine, model, wanted[model], now_ms))
        return calls

    def next_ms(self) -> int | None:
        """Return when `poll` has something to do, None if only on changes."""
        due = [
            e.next_ms
            for e in self._engines.values()
            if e.phase is not Phase.IDLE and not e.calling
        ]
        return min(due, default=None)

    def handle(self, result: HttpResult, now_ms: int) -> None:
        """Handle the result of a call."""
        kind, name = result.key.split(" ", 1)
        engine = self._engines.get(name)
        if engine is None or not engine.calling:
            return
        engine.calling = False
        if kind + " " == ORDER_KEY:
            self._on_order_answered(engine, self._protocol.read_load(result), now_ms)
            return
        status = self._protocol.read_status(result)
        if isinstance(status, str):
            self._on_silent(engine, now_ms)
        else:
            self._on_status(engine, status, now_ms)

    def _start_loads(
        self, wanted: dict[str, int], loads: dict[str, TargetLoad], now_ms: int
    ) -> None:
        """Take engines out of service, the oldest weights first."""
        by_service: dict[str, list[_Engine]] = {}
        for engine in self._engines.values():
            by_service.setdefault(engine.target.service, []).append(engine)
        for engines in by_service.values():
            out = sum(e.phase not in IN_SERVICE for e in engines)
            room = math.ceil(len(engines) / LOADING_PART) - out
            behind = [e for e in engines if self._is_behind(e, wanted, now_ms)]
            behind.sort(key=lambda e: (self._oldest(e), _work(loads, e.target.name)))
            for engine in behind[: max(0, room)]:
                engine.enter(Phase.LEAVING, now_ms, LEAVE_MS)

    def _is_behind(self, engine: _Engine, wanted: dict[str, int], now_ms: int) -> bool:
        if engine.phase is not Phase.IDLE or engine.target.leaving:
            return False
        blocked_until_ms = max(engine.blocked_until_ms, engine.paused_until_ms)
        if engine.is_gone or now_ms < blocked_until_ms:
            return False
        weights = self.weights(engine.target)
        return any(weights[m] < wanted.get(m, 0) for m in weights)

    def _oldest(self, engine: _Engine) -> int:
        """Return the version that an engine runs, so that none stays behind."""
        return min(self.weights(engine.target).values())

    def _next_call(
        self, engine: _Engine, model: str, version: int, now_ms: int
    ) -> HttpCall:
        engine.calling = True
        name, address = engine.target.name, engine.target.address
        if engine.orders is None or engine.phase is not Phase.LEAVING:
            return self._protocol.build_status(STATUS_KEY + name, name, address)
        engine.wanted = version
        order = LoadOrder(
            name,
            address,
            model,
            version,
            self._policy,
            self._holder,
            self._token,
            engine.orders,
        )
        log_event(
            WEIGHTS_ORDERED,
            target=name,
            version=version,
            fencing_token=self._token,
            expected_orders=engine.orders,
        )
        return self._protocol.build_load(ORDER_KEY + name, order)

    def _on_order_answered(
        self, engine: _Engine, outcome: OrderOutcome, now_ms: int
    ) -> None:
        if outcome is OrderOutcome.ACCEPTED:
            engine.orders += 1
            engine.enter(Phase.LOADING, now_ms, EXPECTED_LOAD_MS)
            return
        if outcome is OrderOutcome.ALREADY_LOADED:
            self._on_loaded(engine, now_ms)
            return
        log_event(WEIGHTS_REFUSED, target=engine.target.name, outcome=outcome.value)
        if outcome is OrderOutcome.FENCED:
            self._fenced = True
        if outcome is OrderOutcome.WRONG_TARGET:
            engine.is_gone = True
            engine.enter(Phase.IDLE, now_ms)
            return
        engine.enter(Phase.CHECKING, now_ms, 0)

    @staticmethod
    def _expect_loaded(engine: _Engine, now_ms: int) -> None:
        """Use an engine again before its report can show the load.

        Requests that come too early are refused without having run.
        """
        engine.take_wanted(now_ms)
        engine.enter(Phase.CONFIRMING, now_ms, REPORT_LAG_MS)

    def _on_status(self, engine: _Engine, status: EngineStatus, now_ms: int) -> None:
        before = engine.orders
        engine.orders = status.orders
        engine.weights = dict(status.weights)
        engine.observed_ms = now_ms
        running = min(status.weights.values(), default=0)
        if engine.wanted and running >= engine.wanted and not status.busy:
            self._on_loaded(engine, now_ms)
        elif status.busy or (before is not None and status.orders > before):
            self._wait(engine, now_ms)
        else:
            engine.enter(Phase.LEAVING, now_ms)

    @staticmethod
    def _wait(engine: _Engine, now_ms: int) -> None:
        """Read the engine again until its order is carried out."""
        if engine.phase is not Phase.CHECKING:
            engine.enter(Phase.CHECKING, now_ms)
        if now_ms - engine.since_ms > ATTEMPT_TIMEOUT_MS:
            engine.enter(Phase.LEAVING, now_ms)
        engine.next_ms = now_ms + STATUS_INTERVAL_MS

    @staticmethod
    def _on_silent(engine: _Engine, now_ms: int) -> None:
        """Make room for others while an engine does not answer."""
        engine.orders = None
        engine.blocked_until_ms = now_ms + BLOCKED_MS
        engine.enter(Phase.IDLE, now_ms)

    def _on_loaded(self, engine: _Engine, now_ms: int) -> None:
        engine.take_wanted(now_ms)
        log_event(
            WEIGHTS_LOADED,
            target=engine.target.name,
            version=engine.wanted,
            took_ms=now_ms - engine.since_ms,
        )
        engine.enter(Phase.IDLE, now_ms)


def _work(loads: dict[str, TargetLoad], name: str) -> tuple[int, int, str]:
    load = loads.get(name)
    if load is None:
        return 0, 0, name
    return load.running, load.memory_tokens, name
