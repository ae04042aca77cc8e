"""Rollout of model weights to the engines."""

from papayacrank.kernel import log_event
from papayacrank.messages import TargetLoad
from papayacrank.permits import PermitAllocator

from ._effects import HttpCall, HttpResult
from ._events import WEIGHTS_LOADED, WEIGHTS_ORDERED, WEIGHTS_REFUSED
from ._load_pace import count_loading_slots
from ._load_times import LoadTimes
from ._loading_engine import IN_SERVICE, LoadingEngine, Phase
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
# Entry processes stop routing to an engine this long before it receives the order. It
# waits for up to `MAX_DRAIN_MS` until the queued requests have started; the engine
# refuses the remaining ones.
DRAIN_MS = 150
MAX_DRAIN_MS = 600
DRAIN_POLL_MS = 25
# Status reports lag behind, so the engine is put back in service when its load is
# expected to have ended, and verified once its report can show that. Reports of the
# first load of a service are read from `MIN_LOAD_MS` on.
MIN_LOAD_MS = 400
REPORT_LAG_MS = 300
MAX_REPORT_LAG_MS = 1_000
STATUS_INTERVAL_MS = 60
# Delay before an engine that did not respond is selected again.
UNRESPONSIVE_RETRY_MS = 400
# The order is sent again after this time without progress.
ATTEMPT_TIMEOUT_MS = 6_000
# Requests may start on superseded weights for this long, by default.
MAX_OLD_WEIGHTS_MS = 6_500
# Delay with which the platform's list shows what the engines report themselves.
LIST_LAG_MS = 2_000
# Limits requested pauses: requests may start on superseded weights for only 8 s.
MAX_PAUSE_MS = 4_000


class WeightsRollout:
    """Loads the desired versions, on a part of a service's engines at a time.

    An engine is first drained, then receives the order for one of its models. It is out
    of service for the time that earlier loads of the service took, and its status is
    polled until it runs the new version. Engines with a model that is most
    versions behind come first, then those with the fewest running requests. Each order
    carries the number of orders that the engine has accepted so far, so that a
    duplicate delivered late has no effect.

    Parameters
    ----------
    protocol : TargetProtocol
        Encodes calls and decodes their results.
    holder : str
        Name of this process in orders.
    policy : RunningRequestPolicy
        Treatment of the requests that run when an engine loads weights.
    permits : PermitAllocator
        Request rate limits, which hold for status requests and orders as well.
    max_old_weights_ms : int
        Time in milliseconds after which no request may start on replaced weights.
    """

    def __init__(
        self,
        protocol: TargetProtocol,
        holder: str,
        policy: RunningRequestPolicy,
        permits: PermitAllocator,
        max_old_weights_ms: int = MAX_OLD_WEIGHTS_MS,
    ):
        self._protocol = protocol
        self._holder = holder
        self._policy = policy
        self._permits = permits
        self._max_old_weights_ms = max_old_weights_ms
        self._load_times = LoadTimes()
        self._named_ms: dict[tuple[str, int], int] = {}
        self._fencing_token = 0
        self._fenced = False
        self._earliest_order_ms = 0
        self._engines: dict[str, LoadingEngine] = {}

    def reset(self, fencing_token: int, earliest_order_ms: int) -> None:
        """Discard all state and continue under a new fencing token.

        Parameters
        ----------
        fencing_token : int
            Fencing token of the new term.
        earliest_order_ms : int
            Time before which no order is sent.
        """
        self._fencing_token = fencing_token
        self._fenced = False
        self._earliest_order_ms = earliest_order_ms
        self._engines.clear()
        self._load_times.reset()
        self._named_ms.clear()

    def update_targets(self, targets: dict[str, ListedTarget], now_ms: int) -> None:
        """Replace the targets by those of the platform's list."""
        engines = {}
        for name, target in targets.items():
            if not target.weights:
                continue
            known = self._engines.get(name)
            if known is None or known.target.born_ms != target.born_ms:
                engines[name] = LoadingEngine(target)
                continue
            known.target = target
            if now_ms - known.observed_ms > LIST_LAG_MS and known.phase is Phase.IDLE:
                known.weights = None
            engines[name] = known
        self._engines = engines

    def update_target(self, target: ListedTarget) -> None:
        """Replace one target between two reads of the list."""
        engine = self._engines.get(target.name)
        if engine is not None:
            engine.target = target

    def pause(self, name: str, pause_ms: int, now_ms: int) -> None:
        """Send nothing to an engine for the time that it has requested.

        The time is limited to `MAX_PAUSE_MS`, because a longer pause would delay new
        weights beyond the limit that is guaranteed to callers.
        """
        engine = self._engines.get(name)
        if engine is not None:
            paused_until_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)
            engine.paused_until_ms = max(engine.paused_until_ms, paused_until_ms)

    def is_loading(self, name: str) -> bool:
        """Return whether an engine must not receive new requests."""
        engine = self._engines.get(name)
        return engine is not None and engine.phase not in IN_SERVICE

    def is_replaced(self, name: str) -> bool:
        """Return whether another process now uses the address of an engine."""
        engine = self._engines.get(name)
        return engine is not None and engine.is_replaced

    def weights(self, target: ListedTarget) -> dict[str, int]:
        """Return the version by model that a target was last known to run."""
        engine = self._engines.get(target.name)
        return target.weights if engine is None else engine.known_weights

    def poll(
        self,
        desired_versions: dict[str, int],
        loads: dict[str, TargetLoad],
        now_ms: int,
    ) -> list[HttpCall]:
        """Return the calls that are due."""
        if self._fenced or now_ms < self._earliest_order_ms:
            return []
        self._start_loads(desired_versions, loads, now_ms)
        calls = []
        for engine in self._engines.values():
            if (
                engine.call.is_open(now_ms)
                or engine.phase is Phase.IDLE
                or now_ms < engine.next_ms
            ):
                continue
            is_paused = now_ms < engine.paused_until_ms
            if engine.phase is Phase.DRAINING and (engine.target.leaving or is_paused):
                engine.enter(Phase.IDLE, now_ms)
                continue
            if is_paused:
                engine.next_ms = engine.paused_until_ms
                continue
            if engine.phase is Phase.LOADING:
                if self._load_times.find(engine.target.service) is not None:
                    self._assume_loaded(engine, now_ms)
                    continue
                engine.enter(Phase.CHECKING, now_ms)
            if self._must_drain_longer(engine, loads, now_ms):
                engine.next_ms = now_ms + DRAIN_POLL_MS
                continue
            wait_ms = self._permits.charge_call(engine.target.name, now_ms)
            if wait_ms:
                engine.next_ms = now_ms + wait_ms
                continue
            call = self._next_call(engine, desired_versions, now_ms)
            if call is None:
                engine.enter(Phase.IDLE, now_ms)
            else:
                calls.append(engine.call.begin(call, now_ms))
        return calls

    def next_ms(self) -> int | None:
        """Return when `poll` is due, None if only a result or a change makes it due."""
        due = [
            e.next_ms
            for e in self._engines.values()
            if e.phase is not Phase.IDLE and not e.call.is_awaited
        ]
        return min(due, default=None)

    def handle(self, result: HttpResult, now_ms: int) -> None:
        """Handle the result of a call."""
        kind, name = result.key.split(" ", 1)
        engine = self._engines.get(name)
        if engine is None or not engine.call.end(result):
            return
        if kind + " " == ORDER_KEY:
            self._on_order_outcome(engine, self._protocol.read_load(result), now_ms)
            return
        status = self._protocol.read_status(result)
        if isinstance(status, str):
            self._on_unresponsive(engine, now_ms)
        else:
            self._on_status(engine, status, now_ms)

    def _start_loads(
        self,
        desired_versions: dict[str, int],
        loads: dict[str, TargetLoad],
        now_ms: int,
    ) -> None:
        """Start draining outdated engines, those with the oldest weights first."""
        by_service: dict[str, list[LoadingEngine]] = {}
        for engine in self._engines.values():
            by_service.setdefault(engine.target.service, []).append(engine)
        for service, engines in by_service.items():
            outdated = [
                e for e in engines if self._needs_load(e, desired_versions, now_ms)
            ]
            if not outdated:
                continue
            load_ms = self._load_times.find(service) or MIN_LOAD_MS
            slots = count_loading_slots(
                [engine.target for engine in engines],
                loads,
                DRAIN_MS + load_ms,
                self._time_left_ms(outdated, desired_versions, now_ms),
            )
            free_slots = slots - sum(e.phase not in IN_SERVICE for e in engines)
            outdated.sort(
                key=lambda e: (
                    -max(e.find_lags(desired_versions).values()),
                    _work_key(loads, e.target.name),
                )
            )
            for engine in outdated[: max(0, free_slots)]:
                engine.enter(Phase.DRAINING, now_ms, DRAIN_MS)
                engine.draining_since_ms = now_ms

    def _time_left_ms(
        self,
        engines: list[LoadingEngine],
        desired_versions: dict[str, int],
        now_ms: int,
    ) -> int:
        """Return the time until the first of the engines may get no more requests.

        The time of a version runs from when this leader first saw that it is desired.
        """
        self._named_ms = {
            key: self._named_ms.get(key, now_ms) for key in desired_versions.items()
        }
        since_ms = min(
            self._named_ms[model, desired_versions[model]]
            for engine in engines
            for model in engine.find_lags(desired_versions)
        )
        return since_ms + self._max_old_weights_ms - now_ms

    @staticmethod
    def _must_drain_longer(
        engine: LoadingEngine, loads: dict[str, TargetLoad], now_ms: int
    ) -> bool:
        """Return whether requests that have not started yet delay the order."""
        if engine.phase is not Phase.DRAINING or engine.orders is None:
            return False
        load = loads.get(engine.target.name)
        is_draining = now_ms - engine.draining_since_ms < MAX_DRAIN_MS
        return is_draining and load is not None and load.prefill_tokens > 0

    def _needs_load(
        self, engine: LoadingEngine, desired_versions: dict[str, int], now_ms: int
    ) -> bool:
        if engine.phase is not Phase.IDLE or engine.target.leaving:
            return False
        blocked_until_ms = max(engine.blocked_until_ms, engine.paused_until_ms)
        if engine.is_replaced or now_ms < blocked_until_ms:
            return False
        return bool(engine.find_lags(desired_versions))

    def _next_call(
        self, engine: LoadingEngine, desired_versions: dict[str, int], now_ms: int
    ) -> HttpCall | None:
        """Return the next status request or order; None if no model is outdated."""
        name, address = engine.target.name, engine.target.address
        if engine.orders is None or engine.phase is not Phase.DRAINING:
            return self._protocol.build_status(STATUS_KEY + name, name, address)
        model = engine.select_model(desired_versions)
        if model is None:
            return None
        version = desired_versions[model]
        engine.ordered_model, engine.ordered_version = model, version
        engine.ordered_ms[model] = now_ms
        order = LoadOrder(
            name,
            address,
            model,
            version,
            self._policy,
            self._holder,
            self._fencing_token,
            engine.orders,
        )
        log_event(
            WEIGHTS_ORDERED,
            target=name,
            model=model,
            version=version,
            fencing_token=self._fencing_token,
            expected_orders=engine.orders,
        )
        return self._protocol.build_load(ORDER_KEY + name, order)

    def _on_order_outcome(
        self, engine: LoadingEngine, outcome: OrderOutcome, now_ms: int
    ) -> None:
        if outcome is OrderOutcome.ACCEPTED:
            engine.orders += 1
            engine.accepted_ms = now_ms
            load_ms = self._load_times.find(engine.target.service) or MIN_LOAD_MS
            engine.enter(Phase.LOADING, now_ms, load_ms)
            return
        if outcome is OrderOutcome.ALREADY_LOADED:
            self._on_loaded(engine, now_ms)
            return
        log_event(WEIGHTS_REFUSED, target=engine.target.name, outcome=outcome.value)
        if outcome is OrderOutcome.FENCED:
            self._fenced = True
        if outcome is OrderOutcome.WRONG_TARGET:
            engine.is_replaced = True
            engine.enter(Phase.IDLE, now_ms)
            return
        engine.enter(Phase.CHECKING, now_ms, 0)

    @staticmethod
    def _assume_loaded(engine: LoadingEngine, now_ms: int) -> None:
        """Put an engine back in service before its report can show the load.

        The engine refuses requests that arrive too early without running them.
        """
        engine.mark_loaded(now_ms)
        engine.enter(Phase.CONFIRMING, now_ms, REPORT_LAG_MS)

    def _on_status(
        self, engine: LoadingEngine, status: EngineStatus, now_ms: int
    ) -> None:
        previous_orders = engine.orders
        if self._is_before_order(engine, status, now_ms):
            engine.next_ms = now_ms + STATUS_INTERVAL_MS
            return
        engine.orders = status.orders
        engine.weights = dict(status.weights)
        engine.observed_ms = now_ms
        running_version = status.weights.get(engine.ordered_model, 0)
        if (
            engine.ordered_version
            and running_version >= engine.ordered_version
            and not status.busy
        ):
            self._observe_load_time(engine, now_ms)
            self._on_loaded(engine, now_ms)
        elif status.busy or (
            previous_orders is not None and status.orders > previous_orders
        ):
            self._await_completion(engine, now_ms)
        else:
            engine.enter(Phase.DRAINING, now_ms)

    @staticmethod
    def _is_before_order(
        engine: LoadingEngine, status: EngineStatus, now_ms: int
    ) -> bool:
        """Return whether a report lags so much that it lacks the accepted order."""
        if engine.accepted_ms is None or engine.orders is None:
            return False
        is_recent = now_ms - engine.accepted_ms < MAX_REPORT_LAG_MS
        return is_recent and status.orders < engine.orders

    def _observe_load_time(self, engine: LoadingEngine, now_ms: int) -> None:
        """Record the time of a load whose end was awaited.

        The first report after a load that was assumed to have ended tells only that it
        was not longer.
        """
        accepted_ms, engine.accepted_ms = engine.accepted_ms, None
        if accepted_ms is not None and engine.phase is Phase.CHECKING:
            self._load_times.observe(engine.target.service, now_ms - accepted_ms)

    @staticmethod
    def _await_completion(engine: LoadingEngine, now_ms: int) -> None:
        """Poll the engine until it has executed its order."""
        if engine.phase is not Phase.CHECKING:
            engine.enter(Phase.CHECKING, now_ms)
        if now_ms - engine.since_ms > ATTEMPT_TIMEOUT_MS:
            engine.enter(Phase.DRAINING, now_ms)
        engine.next_ms = now_ms + STATUS_INTERVAL_MS

    @staticmethod
    def _on_unresponsive(engine: LoadingEngine, now_ms: int) -> None:
        """Release the loading slot of an engine that does not respond."""
        engine.orders = None
        engine.blocked_until_ms = now_ms + UNRESPONSIVE_RETRY_MS
        engine.enter(Phase.IDLE, now_ms)

    def _on_loaded(self, engine: LoadingEngine, now_ms: int) -> None:
        engine.mark_loaded(now_ms)
        log_event(
            WEIGHTS_LOADED,
            target=engine.target.name,
            model=engine.ordered_model,
            version=engine.ordered_version,
            took_ms=now_ms - engine.since_ms,
        )
        engine.enter(Phase.IDLE, now_ms)


def _work_key(loads: dict[str, TargetLoad], name: str) -> tuple[int, int, str]:
    load = loads.get(name)
    if load is None:
        return 0, 0, name
    return load.running, load.memory_tokens, name
