"""Costs of targets and services that entry processes learn, merged without I/O."""

import math
from collections.abc import Iterable, Iterator

from papayacrank.costs import merge_costs
from papayacrank.messages import EntryLoad, ServiceCost, TargetCost

INTERVAL_MS = 500
# Estimates are sent after a change by this fraction.
SENT_CHANGE = 0.02
# Estimates that are sent again in each interval, for receivers that missed them.
REPEATED = 8
# The log of a factor and the confidence in it halve in this time without observations,
# so that a slow target gets requests again that show whether it has become faster.
HALF_LIFE_MS = 20_000
FRESH_MS = 5_000
MIN_AGED_SAMPLES = 2
MAX_TARGETS = 5_000
MAX_SERVICES = 200
MAX_COEFFICIENTS = 100
MAX_SAMPLES = 200


class CostLedger:
    """Merges reported costs and selects what entry processes have to hear.

    Entry processes report what they observed since their last report, so that one
    estimate for each target suffices. It is kept in memory of the leader only.
    """

    def __init__(self):
        self.reset()

    def reset(self) -> None:
        """Forget everything after an election; entry processes report again."""
        self._targets: dict[str, TargetCost] = {}
        self._services: dict[str, ServiceCost] = {}
        self._observed_ms: dict[str, int] = {}
        self._sent: dict[str, TargetCost] = {}
        self._changed_services: set[str] = set()
        self._receivers: set[str] = set()
        self._round: tuple[dict[str, TargetCost], list[ServiceCost]] = ({}, [])
        self._repeats: Iterator[str] = iter(())
        self._next_ms = self._now_ms = 0
        self._is_active = False

    def observe(self, report: EntryLoad, now_ms: int) -> None:
        """Merge the costs in a load report; ignore values that cannot be used."""
        for name, cost in report.costs.items():
            is_known = name in self._targets
            if not is_known and len(self._targets) >= MAX_TARGETS:
                continue
            if cost.samples > 0 and 0 < cost.factor < math.inf:
                self._targets[name] = merge_costs(self._aged(name, now_ms), cost)
                self._observed_ms[name] = now_ms
                self._is_active = True
        for cost in report.service_costs:
            self._merge_service(cost)

    def _aged(self, name: str, now_ms: int) -> TargetCost | None:
        """Return the estimate of a target with the samples that still count."""
        cost = self._targets.get(name)
        if cost is None:
            return None
        age_ms = now_ms - self._observed_ms.get(name, now_ms) - FRESH_MS
        if age_ms <= 0:
            return cost
        weight = 0.5 ** (age_ms / HALF_LIFE_MS)
        samples = max(min(cost.samples, MIN_AGED_SAMPLES), int(cost.samples * weight))
        return TargetCost(round(cost.factor**weight, 4), samples)

    def _merge_service(self, new: ServiceCost) -> None:
        known = self._services.get(new.service)
        if new.samples <= 0 or len(new.coefficients) > MAX_COEFFICIENTS:
            return
        if known is None:
            if len(self._services) >= MAX_SERVICES:
                return
            known = ServiceCost(new.service, 0)
        total = known.samples + new.samples
        merged = dict(known.coefficients)
        for name, value in new.coefficients.items():
            if not 0 <= value < math.inf:
                continue
            old = merged.get(name)
            if old is not None:
                value = (known.samples * old + new.samples * value) / total
            elif len(merged) >= MAX_COEFFICIENTS:
                continue
            merged[name] = float(f"{value:.4g}")
        if merged != known.coefficients:
            self._changed_services.add(new.service)
            self._is_active = True
        samples = min(MAX_SAMPLES, total)
        self._services[new.service] = ServiceCost(new.service, samples, merged)

    def retain(self, names: Iterable[str]) -> None:
        """Forget targets that have left."""
        present = set(names)
        for costs in (self._targets, self._sent, self._observed_ms):
            for name in costs.keys() - present:
                del costs[name]

    def distrust(self, name: str) -> None:
        """Give new observations of a target that was started again more weight."""
        cost = self._targets.get(name)
        if cost is not None:
            self._targets[name] = TargetCost(cost.factor, min(2, cost.samples))

    def begin_round(self, receivers: Iterable[str], now_ms: int) -> None:
        """Select what is sent now.

        Parameters
        ----------
        receivers : iterable of str
            Entry processes that get load messages.
        now_ms : int
            Current time in milliseconds.
        """
        self._receivers &= set(receivers)
        self._round = ({}, [])
        self._now_ms = now_ms
        if now_ms < self._next_ms or not self._targets and not self._is_active:
            return
        self._next_ms = now_ms + INTERVAL_MS
        aged = {name: self._aged(name, now_ms) for name in self._targets}
        changed = {
            name: cost
            for name, cost in aged.items()
            if _differs(cost, self._sent.get(name))
        }
        is_active, self._is_active = self._is_active, False
        self._sent |= changed
        services = [self._services[name] for name in sorted(self._changed_services)]
        self._changed_services.clear()
        for _ in range(min(REPEATED, len(self._targets)) if is_active else 0):
            name = next(self._repeats, None)
            if name is None:
                self._repeats = iter(list(self._targets))
                break
            if name in aged:
                changed.setdefault(name, aged[name])
        self._round = (changed, services)

    def updates_for(
        self, receiver: str
    ) -> tuple[dict[str, TargetCost], list[ServiceCost]]:
        """Return what one entry process gets: all at first, then the changes."""
        if receiver in self._receivers:
            return self._round
        self._receivers.add(receiver)
        aged = {name: self._aged(name, self._now_ms) for name in self._targets}
        return aged, list(self._services.values())


def _differs(cost: TargetCost, sent: TargetCost | None) -> bool:
    if sent is None:
        return True
    change = abs(cost.factor / sent.factor - 1.0)
    growth = cost.samples / sent.samples
    return change > SENT_CHANGE or growth >= 2 or growth <= 1 / 2
