"""Fleet controller of the leader: target list, weights and load."""

from collections import OrderedDict
from dataclasses import dataclass, replace

from papayacrank.kernel import Send, log_event
from papayacrank.messages import (
    BUSY_EIGHTHS,
    EntryLoad,
    FleetChange,
    FleetLoad,
    FleetTarget,
    FleetView,
    PartLocation,
    PartLocationGroup,
    RolloutShare,
    RoutingConfiguration,
    ServiceDemand,
    TargetLoad,
)
from papayacrank.permits import PermitAllocator
from papayacrank.scarcity import DemandSums

from ._costs import CostLedger
from ._effects import HttpCall, HttpResult
from ._events import (
    TARGET_LEAVING_REPORTED,
    TARGET_LEFT,
    TARGET_LISTED,
    TARGET_SILENT,
)
from ._push_log import PushLog
from ._release_rollouts import ReleaseRollouts
from ._releases import ReleaseMonitor
from ._rollout import MAX_OLD_WEIGHTS_MS, ORDER_KEY, STATUS_KEY, WeightsRollout
from ._room import RoomAllocator
from ._stores import STORE_KEY, StoreMonitor
from ._target_list import LISTING_KEY, TargetListReader
from ._target_protocol import ListedTarget, RunningRequestPolicy, TargetProtocol

# Load reports expire after this time without a newer one from the same process.
LOAD_LIFETIME_MS = 2_000
BUSY_INTERVAL_MS = 1_000
SILENT_LIFETIME_MS = 1_500
# Demand takes up to 2 kB for each receiver.
DEMAND_INTERVAL_MS = 1_000
# Limit on the new prompt parts forwarded in one message. Further ones are dropped;
# entry processes learn of them later.
MAX_NEW_PARTS = 500
MAX_LEAVING = 5_000
NO_RESPONSE = 0
MISDIRECTED = 421


@dataclass(slots=True)
class _LoadReport:
    load: EntryLoad
    received_ms: int


class FleetController:
    """Maintains the view of the targets, rolls out weights and aggregates load.

    The state is kept in memory of the leader and is not replicated: a new leader reads
    the list again, and entry processes keep their last view until then.

    Parameters
    ----------
    protocol : TargetProtocol
        Encodes calls and decodes their results.
    holder : str
        Name of this process in orders, which is also the name of its instance.
    order_delay_ms : int
        Delay before the first order of a new leader, for targets that do not check
        fencing tokens.
    permits : PermitAllocator, optional
        Request rate limits, which hold for the calls of this controller as well.
    max_old_weights_ms : int
        Time in milliseconds after which no request may start on replaced weights.
    """

    def __init__(
        self,
        protocol: TargetProtocol,
        holder: str,
        order_delay_ms: int = 0,
        permits: PermitAllocator | None = None,
        max_old_weights_ms: int = MAX_OLD_WEIGHTS_MS,
    ):
        self._protocol = protocol
        self._holder = holder
        self._order_delay_ms = order_delay_ms
        self._permits = permits or PermitAllocator()
        self._rollout = WeightsRollout(
            protocol,
            holder,
            RunningRequestPolicy.CONTINUE,
            self._permits,
            max_old_weights_ms,
        )
        self._stores = StoreMonitor(protocol, self._permits)
        self._store_starts: dict[str, int] = {}
        self._term = 0
        self._sequence = 0
        self._targets: dict[str, ListedTarget] = {}
        self._view: list[FleetTarget] = []
        self._list = TargetListReader(protocol)
        self._reports: dict[str, _LoadReport] = {}
        self._silent: dict[str, int] = {}
        self._room = RoomAllocator()
        self._demand = DemandSums()
        self._next_demand_ms = 0
        self._costs = CostLedger()
        self._total_loads: dict[str, TargetLoad] = {}
        self._last_sent: dict[str, tuple] = {}
        self._busy: dict[str, int] = {}
        self._next_busy_ms = 0
        # Time of the next change of `_busy` when it was last sent, by instance.
        self._busy_sent: dict[str, int] = {}
        self._has_list = False
        self._target_numbers: dict[str, int] = {}
        self._last_pushed = FleetView(0, 0, [])
        self._pushes = PushLog()
        self._new_parts: list[PartLocation] = []
        self._new_pauses: dict[str, int] = {}
        # Targets that have reported that they are leaving, by name and start time.
        self._leaving: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._releases: ReleaseMonitor | None = None
        self._mixed: list[str] = []
        self._release_rollouts: ReleaseRollouts | None = None
        self._shares: list[RolloutShare] = []

    def set_releases(self, releases: ReleaseMonitor) -> None:
        """Show only targets of releases that the log has."""
        self._releases = releases

    def set_release_rollouts(self, rollouts: ReleaseRollouts) -> None:
        """Show the shares of new releases beside their targets."""
        self._release_rollouts = rollouts

    @property
    def permits(self) -> PermitAllocator:
        """Request rate limits and permits."""
        return self._permits

    @property
    def sequence(self) -> int:
        """Number of changes of the view in the current term."""
        return self._sequence

    @property
    def targets(self) -> list[FleetTarget]:
        """Targets as the view shows them."""
        return self._view

    def reset(self, term: int, now_ms: int) -> None:
        """Discard all state after an election."""
        self._term = term
        self._sequence = 0
        self._targets = {}
        self._view = []
        self._list.reset(now_ms)
        self._reports.clear()
        self._new_parts = []
        self._new_pauses = {}
        self._silent.clear()
        self._room.reset()
        self._demand.reset()
        self._next_demand_ms = now_ms
        self._costs.reset()
        self._total_loads = {}
        self._last_sent.clear()
        self._has_list = False
        self._target_numbers = {}
        self._last_pushed = FleetView(term, 0, [])
        self._pushes.clear()
        self._rollout.reset(term, now_ms + self._order_delay_ms)
        self._stores.reset()
        self._store_starts = {}
        self._mixed = []
        self._shares = []
        self._leaving.clear()
        if self._releases is not None:
            self._releases.reset(term)

    def view(self, control: list[str]) -> FleetView:
        """Return the complete view for entry processes."""
        return FleetView(
            self._term,
            self._sequence,
            self._view,
            control,
            self._store_starts,
            self._mixed,
            self._shares,
        )

    def pop_change(
        self, control: list[str], now_ms: int
    ) -> FleetView | FleetChange | None:
        """Return the changes since the last call, None if there are none.

        The first change of a term is the whole view, because receivers have a view of
        another term or none.
        """
        base = self._last_pushed
        if base.sequence == self._sequence:
            return None
        self._last_pushed = self.view(control)
        self._pushes.record(self._sequence, now_ms)
        if base.sequence == 0:
            return self._last_pushed
        known = {target.number: target for target in base.targets}
        changed = [t for t in self._view if known.pop(t.number, None) != t]
        present = {target.number for target in self._view}
        return FleetChange(
            self._term,
            base.sequence,
            self._sequence,
            changed,
            [number for number in known if number not in present],
            control if control != base.control else [],
            self._store_starts,
            self._mixed,
            self._shares,
        )

    def needs_view(self, term: int, sequence: int, now_ms: int) -> bool:
        """Return whether an entry process lacks a view that it should have received."""
        if self._sequence == 0 or (term, sequence) >= (self._term, self._sequence):
            return False
        if term != self._term:
            return True
        return self._pushes.is_overdue(sequence, now_ms)

    def poll(
        self,
        desired_versions: dict[str, int],
        configuration: RoutingConfiguration | None,
        now_ms: int,
    ) -> list[HttpCall]:
        """Return the calls that are due.

        Parameters
        ----------
        desired_versions : dict of str to int
            Named version of the weights, by model.
        configuration : RoutingConfiguration or None
            Active configuration, which lists the stores.
        """
        calls = self._rollout.poll(desired_versions, self._total_loads, now_ms)
        calls += self._stores.poll(configuration, now_ms)
        calls += self._list.poll(now_ms)
        self._refresh_view()
        return calls

    def next_ms(self) -> int | None:
        """Return when the rollout needs `poll`, None if it does not."""
        return self._rollout.next_ms()

    @staticmethod
    def owns(key: str) -> bool:
        """Return whether a result belongs to a call of this controller."""
        return key.startswith((LISTING_KEY, ORDER_KEY, STATUS_KEY, STORE_KEY))

    def handle(self, result: HttpResult, now_ms: int) -> None:
        """Handle the result of a call; `poll` returns the calls that follow from it.

        The result counts whether or not this process may make calls at the moment.
        """
        self._observe_rate(result, now_ms)
        if result.key.startswith(LISTING_KEY):
            listed_targets = self._list.handle(result, now_ms)
            if listed_targets is not None:
                self._apply_list(listed_targets, now_ms)
        elif result.key.startswith(STORE_KEY):
            self._stores.handle(result, now_ms)
            self._refresh_view()
        else:
            self._apply_signals(result, now_ms)
            self._rollout.handle(result, now_ms)
            self._refresh_view()

    # Load

    def observe_load(self, report: EntryLoad, now_ms: int) -> None:
        """Record the load report of one entry process; ignore outdated ones."""
        known = self._reports.get(report.instance)
        if known is not None and known.load.sequence >= report.sequence > 1:
            return
        self._reports[report.instance] = _LoadReport(report, now_ms)
        free = MAX_NEW_PARTS - len(self._new_parts)
        self._new_parts += report.parts[: max(0, free)]
        for name, born_ms in report.leaving:
            self._record_leaving(name, born_ms, report.instance)
        if self._is_local(report.instance):
            for name, pause_ms in report.paused:
                self._rollout.pause(name, pause_ms, now_ms)
        self._room.observe(report, now_ms)
        self._demand.observe(report, now_ms)
        self._costs.observe(report, now_ms)
        for name in report.silent:
            if name not in self._silent:
                log_event(TARGET_SILENT, target=name, reported_by=report.instance)
            self._silent[name] = now_ms + SILENT_LIFETIME_MS

    def _observe_rate(self, result: HttpResult, now_ms: int) -> None:
        """Apply the request rate limit in the response of a target or store."""
        is_listing = result.key.startswith(LISTING_KEY)
        if is_listing or result.status in (NO_RESPONSE, MISDIRECTED):
            return
        name = _called_name(result.key)
        target = self._targets.get(name)
        start = target.born_ms if target is not None else 0
        statement = self._protocol.read_signals(result).rate
        self._permits.observe_response(name, start, statement, now_ms)

    def _apply_signals(self, result: HttpResult, now_ms: int) -> None:
        """Apply the signals that an engine attached to its response."""
        name = _called_name(result.key)
        signals = self._protocol.read_signals(result)
        target = self._targets.get(name)
        if signals.is_leaving and target is not None:
            self._record_leaving(name, target.born_ms, "leader")
        if signals.pause_ms is not None:
            self._rollout.pause(name, signals.pause_ms, now_ms)
            self._new_pauses[name] = now_ms + signals.pause_ms

    def _is_local(self, instance: str) -> bool:
        """Return whether an entry process runs on this instance, by its name."""
        return instance.partition("@")[0] == self._holder

    def _record_leaving(self, name: str, born_ms: int, source: str) -> None:
        """Mark one run of a target as leaving, regardless of the list."""
        if (name, born_ms) in self._leaving:
            return
        self._leaving[(name, born_ms)] = None
        while len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        log_event(
            TARGET_LEAVING_REPORTED, target=name, born_ms=born_ms, reported_by=source
        )
        if name in self._targets:
            self._targets[name] = self._apply_leaving(self._targets[name])
            self._rollout.update_target(self._targets[name])
            self._refresh_view()

    def _apply_leaving(self, target: ListedTarget) -> ListedTarget:
        if (target.name, target.born_ms) in self._leaving and not target.leaving:
            return replace(target, leaving=True)
        return target

    def push_load(self, receivers: dict[str, str], now_ms: int) -> list[Send]:
        """Return the messages for the entry processes whose load data has changed.

        Parameters
        ----------
        receivers : dict of str to str
            Link name by instance.
        """
        self._sum_loads(now_ms)
        self._silent = {
            n: end_ms for n, end_ms in self._silent.items() if end_ms > now_ms
        }
        loads = {
            number: load
            for name, load in self._total_loads.items()
            if (number := self._target_numbers.get(name))
        }
        silent = sorted(
            self._target_numbers[n] for n in self._silent if n in self._target_numbers
        )
        self._update_busy(now_ms)
        refusal_limited = self._room.list_services(now_ms)
        self._room.divide(
            (t for t in self._view if not (t.leaving or t.loading)),
            (report.load for report in self._reports.values()),
            now_ms,
        )
        self._costs.begin_round(receivers, now_ms)
        parts = self._pop_grouped_parts()
        pauses = self._pop_new_pauses(now_ms)
        list_age_s = self._list.outdated_s(now_ms)
        demand = self._pop_demand(now_ms)
        sends = []
        for instance in self._last_sent.keys() - receivers.keys():
            del self._last_sent[instance]
            self._busy_sent.pop(instance, None)
        for instance, sender in receivers.items():
            report = self._reports.get(instance)
            reported = report.load.sequence if report is not None else 0
            leases = self._room.leases_of(instance)
            if leases is not None:
                leases = {
                    self._target_numbers[name]: count
                    for name, count in leases.items()
                    if name in self._target_numbers
                }
            content = (
                reported,
                loads,
                silent,
                refusal_limited,
                leases,
                self._busy,
                list_age_s,
            )
            paused = pauses if self._is_local(instance) else []
            by_name, service_costs = self._costs.updates_for(instance)
            costs = {
                self._target_numbers[name]: cost
                for name, cost in by_name.items()
                if name in self._target_numbers
            }
            is_new = parts or paused or demand or costs or service_costs
            if self._last_sent.get(instance) == content and not is_new:
                continue
            self._last_sent[instance] = content
            is_busy_sent = self._busy_sent.get(instance) == self._next_busy_ms
            self._busy_sent[instance] = self._next_busy_ms
            message = FleetLoad(
                self._term,
                reported,
                loads,
                silent,
                parts,
                paused,
                refusal_limited,
                leases,
                costs,
                service_costs,
                demand,
                busy=None if is_busy_sent else self._busy,
                list_age_s=list_age_s,
            )
            sends.append(Send(sender, message))
        return sends

    def _pop_demand(self, now_ms: int) -> list[ServiceDemand]:
        """Return the demand over the fleet if it is due."""
        if now_ms < self._next_demand_ms:
            return []
        self._next_demand_ms = now_ms + DEMAND_INTERVAL_MS
        return self._demand.rows(now_ms)

    def _update_busy(self, now_ms: int) -> None:
        """Take over which entry processes are busy, at most once a second.

        Callers keep the addresses of a directory response for a second or longer.
        """
        if now_ms < self._next_busy_ms:
            return
        self._next_busy_ms = now_ms + BUSY_INTERVAL_MS
        self._busy = {
            name: report.load.utilization
            for name, report in self._reports.items()
            if report.load.utilization >= BUSY_EIGHTHS
        }

    def _pop_new_pauses(self, now_ms: int) -> list[tuple[int, int]]:
        """Return and clear the pauses that targets have requested from this process."""
        pauses, self._new_pauses = self._new_pauses, {}
        return [
            (self._target_numbers[name], end_ms - now_ms)
            for name, end_ms in pauses.items()
            if name in self._target_numbers and end_ms > now_ms
        ]

    def _pop_grouped_parts(self) -> list[PartLocationGroup]:
        """Return and clear the new parts, grouped to keep the message small."""
        new_parts, self._new_parts = self._new_parts, []
        groups: dict[tuple[str, str], list[tuple[int, str]]] = {}
        for place in new_parts:
            number = self._target_numbers.get(place.target)
            if number is not None:
                group = groups.setdefault((place.salt, place.store), [])
                group.append((number, place.part))
        return [PartLocationGroup(*key, places) for key, places in groups.items()]

    def _sum_loads(self, now_ms: int) -> None:
        oldest_ms = now_ms - LOAD_LIFETIME_MS
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if report.received_ms >= oldest_ms
        }
        sums: dict[str, list[int]] = {}
        for report in self._reports.values():
            for name, load in report.load.loads.items():
                total = sums.setdefault(name, [0, 0, 0, 0])
                total[0] += load.running
                total[1] += load.prefill_tokens
                total[2] += load.memory_tokens
                total[3] += load.decode_tokens
        self._total_loads = {name: TargetLoad(*total) for name, total in sums.items()}

    # View

    def _apply_list(self, listed_targets: list[ListedTarget], now_ms: int) -> None:
        targets = self._unique_targets(listed_targets)
        for name in targets.keys() - self._targets.keys():
            listed = targets[name]
            log_event(
                TARGET_LISTED,
                target=name,
                address=listed.address,
                service=listed.service,
                weights=listed.weights,
                release=listed.release,
            )
        for name in self._targets.keys() - targets.keys():
            log_event(TARGET_LEFT, target=name)
        self._distrust_restarted(targets)
        self._targets = targets
        self._has_list = True
        if self._releases is not None:
            self._releases.observe(targets.values(), now_ms)
        self._rollout.update_targets(targets, now_ms)
        starts = {name: target.born_ms for name, target in targets.items()}
        self._permits.retain(dict.fromkeys(self._stores.names, 0) | starts)
        self._refresh_view()

    def _distrust_restarted(self, targets: dict[str, ListedTarget]) -> None:
        """Forget the costs of targets that left, and trust those of new starts less."""
        self._costs.retain(targets)
        for name, target in targets.items():
            known = self._targets.get(name)
            if known is not None and (known.born_ms, known.release) != (
                target.born_ms,
                target.release,
            ):
                self._costs.distrust(name)

    def _unique_targets(
        self, listed_targets: list[ListedTarget]
    ) -> dict[str, ListedTarget]:
        """Return the listed targets by name.

        If another writer has used the name of a target, the entry with the known
        address is kept, or else the first one.
        """
        targets: dict[str, ListedTarget] = {}
        for listed in listed_targets:
            first, known = targets.get(listed.name), self._targets.get(listed.name)
            is_known = known is not None and known.address == listed.address
            if first is None or (is_known and first.address != listed.address):
                targets[listed.name] = self._apply_leaving(listed)
        return targets

    def _target_number(self, name: str) -> int:
        return self._target_numbers.setdefault(name, len(self._target_numbers) + 1)

    def _refresh_view(self) -> None:
        if not self._has_list:
            # Entry processes keep the view of the previous leader until then.
            return
        view = [
            FleetTarget(
                target.name,
                target.address,
                target.service,
                target.failure_domain,
                target.leaving or self._rollout.is_replaced(target.name),
                self._rollout.is_loading(target.name),
                target.slots,
                target.born_ms,
                self._rollout.weights(target),
                self._target_number(target.name),
                target.release,
            )
            for target in self._targets.values()
            if self._releases is None or self._releases.is_usable(target)
        ]
        starts = self._stores.starts
        mixed = [] if self._releases is None else self._releases.mixed
        rollouts = self._release_rollouts
        shares = [] if rollouts is None else rollouts.shares
        if (view, starts, mixed, shares) != (
            self._view,
            self._store_starts,
            self._mixed,
            self._shares,
        ):
            self._view = view
            self._store_starts = starts
            self._mixed = mixed
            self._shares = shares
            self._sequence += 1


def _called_name(key: str) -> str:
    """Return the name of the target or store that a call is for."""
    return key.split(" ", 1)[1]
