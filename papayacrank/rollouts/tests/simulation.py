"""Requests, entry processes and a leader that play a rollout without a network."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from papayacrank.control._release_rollouts import ReleaseRollouts
from papayacrank.messages import (
    ROLLED_BACK,
    RUNNING,
    EntryLoad,
    FleetTarget,
    Rollout,
    TargetLoad,
)
from papayacrank.rollouts import ExposureLimits, ReleaseLimiter, ReleaseObserver

STEP_MS = 10
POLL_MS = 100
MAX_DELAY_MS = 60
TARGETS_SHOWN_MS = 900
LEASE_MS = 3_000
# Time from the last entry of a leader to its end.
ENTRY_LAG_MS = 500
OBJECTIVE_MS = 400
OLD, NEW = "v1", "v2"
SERVICE, OTHER_SERVICE = "app", "other"


@dataclass
class Plan:
    """Load, faults and timing of a simulated rollout.

    Attributes
    ----------
    find_fault : callable
        Returns "", "fail" or "slow" for a request to the new release, from the part of
        the duration that has passed, the route, and the open requests at the target.
    """

    instances: int = 9
    per_s: float = 100.0
    duration_ms: int = 12_000
    find_fault: Callable[[float, str, int], str] = lambda part, route, running: ""
    bad_part: float = 0.4
    routes: dict[str, float] = field(default_factory=lambda: {"a": 0.8, "b": 0.2})
    work_ms: float = 45.0
    targets: int = 8
    slow_factor: float = 4.0
    failing_old: float = 0.0
    leader_gone_ms: tuple[int, int] | None = None
    cut_instance_ms: tuple[int, int] | None = None
    services: tuple[str, ...] = (SERVICE,)
    bad_services: tuple[str, ...] = (SERVICE,)


class _Table:
    def __init__(self, rollouts: list[Rollout]):
        self.rollouts = rollouts

    @property
    def running(self) -> list[Rollout]:
        return [rollout for rollout in self.rollouts if rollout.state == RUNNING]

    def list(self) -> list[Rollout]:
        return list(self.rollouts)


@dataclass
class Outcome:
    """What a service met with."""

    state: str = RUNNING
    ended_ms: int | None = None
    reason: str = ""
    requests: int = 0
    exposed: int = 0
    bad: int = 0
    fiftieth_bad_ms: int | None = None
    last_exposed_ms: int = 0
    open_at_old: int = 0


class _Instance:
    def __init__(self, name: str, seed: int):
        self.name = name
        self.contacted_ms = 0
        self.limiter = ReleaseLimiter(Random(seed), lambda: self.contacted_ms)
        self.observer = ReleaseObserver()
        self.running: dict[str, int] = {}
        self.sequence = 0

    def apply(self, shares, now_ms: int) -> None:
        self.contacted_ms = now_ms
        self.limiter.apply(shares)
        self.observer.apply(shares)

    def report(self, now_ms: int) -> EntryLoad:
        self.sequence += 1
        loads = {n: TargetLoad(count) for n, count in self.running.items() if count}
        releases = self.observer.report(now_ms)
        return EntryLoad(self.name, self.sequence, loads, releases=releases)


class RolloutPlay:
    """Plays one plan with a seed."""

    def __init__(self, plan: Plan, seed: int):
        self._plan = plan
        self._random = Random(seed)
        self._events: list = []
        self._event_count = 0
        self._now_ms = 0
        self._term = 1
        # Time for which the clock of the group stood still.
        self._lag_ms = 0
        self._instances = [
            _Instance(f"i{n}", seed * 1_000 + n) for n in range(plan.instances)
        ]
        self._table = _Table(
            [
                Rollout(n, service, NEW, [OLD], 0, plan.duration_ms)
                for n, service in enumerate(plan.services, 1)
            ]
        )
        self._leader = self._elect()
        self.outcomes = {service: Outcome() for service in plan.services}
        self._running: dict[str, int] = {}
        self._targets = {
            service: [
                FleetTarget(
                    f"{service}-{release}-{n}", "", service, "d", release=release
                )
                for release in (OLD, NEW)
                for n in range(plan.targets)
            ]
            for service in plan.services
        }

    @property
    def outcome(self) -> Outcome:
        """Outcome of the only service."""
        return self.outcomes[self._plan.services[0]]

    def run(self) -> "RolloutPlay":
        """Play until some seconds after the deadline."""
        for service in self._plan.services:
            self._schedule_request(service, 0)
        self._at(0, self._poll)
        for instance in self._instances:
            self._at(
                self._random.randrange(POLL_MS), lambda i=instance: self._report(i)
            )
        end_ms = self._plan.duration_ms + 4_000
        while self._events and self._events[0][0] <= end_ms:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        return self

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (int(at_ms), self._event_count, action))

    def _delay_ms(self) -> int:
        return self._random.randint(2, MAX_DELAY_MS)

    # Leader

    def _elect(self) -> ReleaseRollouts:
        leader = ReleaseRollouts(self._table, ExposureLimits())
        leader.reset(self._term)
        if self._term == 1:
            # The orders come after the election.
            leader._inherited = set()
        return leader

    def _is_leader_gone(self) -> bool:
        gone = self._plan.leader_gone_ms
        return gone is not None and gone[0] <= self._now_ms < gone[1]

    def _is_cut(self, instance: _Instance) -> bool:
        cut = self._plan.cut_instance_ms
        return (
            cut is not None
            and instance is self._instances[0]
            and cut[0] <= self._now_ms < cut[1]
        )

    def _shown_targets(self) -> list[FleetTarget]:
        has_new = self._now_ms >= TARGETS_SHOWN_MS
        return [
            target
            for targets in self._targets.values()
            for target in targets
            if has_new or target.release == OLD
        ]

    def _poll(self) -> None:
        self._at(self._now_ms + POLL_MS, self._poll)
        if self._is_leader_gone():
            self._leader = None
            return
        if self._leader is None:
            self._term += 1
            self._lag_ms = self._now_ms - self._plan.leader_gone_ms[0] + ENTRY_LAG_MS
            self._leader = self._elect()
        live = [
            instance.name
            for instance in self._instances
            if not self._is_cut(instance)
            or self._now_ms - self._plan.cut_instance_ms[0] < LEASE_MS
        ]
        verdicts = self._leader.poll(
            self._shown_targets(), live, self._now_ms, self._now_ms - self._lag_ms
        )
        for verdict in verdicts:
            self._at(self._now_ms + self._delay_ms(), lambda v=verdict: self._commit(v))
        shares = self._leader.shares
        for instance in self._instances:
            if not self._is_cut(instance):
                self._at(
                    self._now_ms + self._delay_ms(),
                    lambda i=instance: i.apply(shares, self._now_ms),
                )

    def _commit(self, verdict) -> None:
        rollout = self._table.rollouts[verdict.number - 1]
        if rollout.state != RUNNING:
            return
        outcome = self.outcomes[rollout.service]
        outcome.state, outcome.reason = verdict.state, verdict.reason
        outcome.ended_ms = self._now_ms
        outcome.open_at_old = sum(
            count
            for instance in self._instances
            if not self._is_cut(instance)
            for name, count in instance.running.items()
            if name.startswith(f"{rollout.service}-{OLD}")
        )
        self._table.rollouts[verdict.number - 1] = Rollout(
            rollout.number,
            rollout.service,
            NEW,
            [OLD],
            0,
            rollout.duration_ms,
            verdict.state,
        )

    def _report(self, instance: _Instance) -> None:
        self._at(self._now_ms + POLL_MS, lambda: self._report(instance))
        if self._is_cut(instance) or self._is_leader_gone():
            return
        load = instance.report(self._now_ms)

        def receive() -> None:
            if self._leader is not None:
                self._leader.observe_load(load, self._now_ms)

        self._at(self._now_ms + self._delay_ms(), receive)

    # Requests

    def _schedule_request(self, service: str, now_ms: float) -> None:
        at_ms = now_ms + self._random.expovariate(self._plan.per_s / 1_000)
        self._at(at_ms, lambda: self._request(service, at_ms))

    def _request(self, service: str, at_ms: float) -> None:
        self._schedule_request(service, at_ms)
        plan, outcome = self._plan, self.outcomes[service]
        instance = self._random.choice(self._instances)
        route = self._random.choices(list(plan.routes), plan.routes.values())[0]
        listed = [t for t in self._shown_targets() if t.service == service]
        if outcome.ended_ms is not None and outcome.state != ROLLED_BACK:
            listed = [t for t in listed if t.release == NEW]
        groups = instance.limiter.restrict(
            service, listed, instance.limiter.draw(service, route), self._now_ms
        )
        group = next((group for group in groups if group), None)
        if self._now_ms < plan.duration_ms:
            outcome.requests += 1
        if group is not None:
            self._send(instance, service, route, group)

    def _send(self, instance: _Instance, service: str, route: str, group) -> None:
        plan, outcome = self._plan, self.outcomes[service]
        target = min(
            self._random.sample(group, min(2, len(group))),
            key=lambda t: self._running.get(t.name, 0),
        )
        key, name = object(), target.name
        running = self._running.get(name, 0)
        work_ms = plan.work_ms * self._random.lognormvariate(0, 0.3)
        failed = self._random.random() < plan.failing_old
        if target.release == NEW:
            fault = plan.find_fault(self._now_ms / plan.duration_ms, route, running)
            is_bad = (
                bool(fault)
                and service in plan.bad_services
                and self._random.random() < plan.bad_part
            )
            failed |= is_bad and fault == "fail"
            work_ms *= plan.slow_factor if is_bad and fault == "slow" else 1
            if not self._is_cut(instance):
                outcome.exposed += 1
                outcome.last_exposed_ms = self._now_ms
            outcome.bad += is_bad
            if outcome.bad == 50 and outcome.fiftieth_bad_ms is None:
                outcome.fiftieth_bad_ms = int(self._now_ms + work_ms)
        self._running[name] = running + 1
        instance.running[name] = instance.running.get(name, 0) + 1
        instance.observer.on_sent(
            key, service, route, target.release, 2 * OBJECTIVE_MS, False, self._now_ms
        )

        def end() -> None:
            self._running[name] -= 1
            instance.running[name] -= 1
            if failed:
                instance.observer.on_failed(key)
            instance.observer.on_ended(key, True, False, self._now_ms)

        self._at(self._now_ms + work_ms, end)
