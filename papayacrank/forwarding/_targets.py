"""Table of the targets and their load, as known to one entry process."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from papayacrank.costs import CostReport
from papayacrank.messages import (
    EntryLoad,
    FleetChange,
    FleetLoad,
    FleetTarget,
    FleetView,
    PartLocation,
    ReleaseReport,
    ServiceDemand,
    TargetLoad,
)

# Reports not yet acknowledged by the leader; at 10 per second these cover 6 s.
MAX_PENDING_REPORTS = 64
MAX_NEW_PARTS = 200
MAX_LEAVING = 2_000
NO_LOAD = TargetLoad()
# Remaining output is reported in multiples of this, so that not every event of a stream
# changes the report.
DECODE_STEP = 16
# Totals are pushed up to 10 times a second while they change. Older ones say less and
# less of a target, and the mean of its service is expected instead.
FRESH_TOTALS_MS = 500
TOTALS_DECAY_MS = 1_000


@dataclass(slots=True)
class _OwnLoad:
    running: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0
    decode_tokens: int = 0

    def to_message(self) -> TargetLoad:
        """Return the load as a message."""
        decode_tokens = -(-self.decode_tokens // DECODE_STEP) * DECODE_STEP
        return TargetLoad(
            self.running, self.prefill_tokens, self.memory_tokens, decode_tokens
        )


@dataclass(frozen=True, slots=True)
class RoomReport:
    """Refusal-limited services and the use of their targets, for the next load report.

    Parameters
    ----------
    refusal_limited, full : list of str
        Refusal-limited services, and targets of them that have refused a request for
        want of room, since the last report.
    wanted : dict of str to int
        Requests that could be open at each refusal-limited service.
    leases : dict of str to int
        Leases of this process by target.
    """

    refusal_limited: list[str] = field(default_factory=list)
    full: list[str] = field(default_factory=list)
    wanted: dict[str, int] = field(default_factory=dict)
    leases: dict[str, int] = field(default_factory=dict)

    @property
    def is_new(self) -> bool:
        """Whether the leader must hear of it."""
        return bool(self.refusal_limited or self.full or self.wanted or self.leases)


NO_ROOM_REPORT = RoomReport()
NO_COST_REPORT = CostReport()


class TargetTable:
    """Targets of the last fleet view, with the load of all entry processes.

    The load of the other processes is the total of the leader minus the load of this
    process that the total includes. The load of this process is counted exactly.
    """

    def __init__(self):
        self._term = 0
        self._sequence = 0
        self._view = FleetView(0, 0, [])
        self._names: dict[int, str] = {}
        self._targets: dict[str, FleetTarget] = {}
        self._by_service: dict[str, list[FleetTarget]] = {}
        self._own_loads: dict[str, _OwnLoad] = {}
        self._totals: dict[str, TargetLoad] = {}
        self._received_totals: dict[str, TargetLoad] = {}
        self._totals_ms = 0
        self._own_in_totals: dict[str, TargetLoad] = {}
        self._pending_reports: OrderedDict[int, dict[str, TargetLoad]] = OrderedDict()
        self._report_sequence = 0
        self._last_loads: dict[str, TargetLoad] | None = None
        self._last_releases: list[ReleaseReport] = []
        self._unreachable: frozenset[str] = frozenset()
        self._newly_unreachable: set[str] = set()
        self._new_parts: list[PartLocation] = []
        self._observed_weights: dict[tuple[str, str], int] = {}
        # Versions that were concluded from a refusal, which does not state one.
        self._assumed_weights: dict[tuple[str, str], int] = {}
        # Name and start time of targets that announced their removal. They are kept
        # because a view may lag behind or come from a new leader that does not know.
        self._leaving: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._reported_leaving: list[tuple[str, int]] = []

    @property
    def position(self) -> tuple[int, int]:
        """Term and sequence of the last view; zeros before the first one."""
        return self._term, self._sequence

    @property
    def count(self) -> int:
        """Number of targets."""
        return len(self._targets)

    @property
    def targets(self) -> list[FleetTarget]:
        """Targets of the last view."""
        return list(self._targets.values())

    def find(self, name: str) -> FleetTarget | None:
        """Return the target with the given name; None if the view has none."""
        return self._targets.get(name)

    def find_by_service(self, service: str) -> list[FleetTarget]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def is_unreachable(self, name: str) -> bool:
        """Whether the leader reports that entry processes cannot reach a target."""
        return name in self._unreachable

    def update(self, view: FleetView) -> list[FleetTarget] | None:
        """Replace the view if the given one is newer.

        Returns
        -------
        list of FleetTarget or None
            Targets that were removed; None if the view is not newer.
        """
        if (view.term, view.sequence) <= self.position:
            return None
        listed = {target.name for target in view.targets}
        removed = [t for name, t in self._targets.items() if name not in listed]
        self._term, self._sequence = view.term, view.sequence
        self._view = view
        self._names = {target.number: target.name for target in view.targets}
        self._targets = {t.name: self._with_observations(t) for t in view.targets}
        self._group_by_service()
        for versions in (self._observed_weights, self._assumed_weights):
            for key in [k for k in versions if k[0] not in self._targets]:
                del versions[key]
        self._own_loads = {
            n: o for n, o in self._own_loads.items() if o.running or n in self._targets
        }
        return removed

    def merge(self, change: FleetChange) -> FleetView | None:
        """Return the last view with a change applied; None if its base differs."""
        if (change.term, change.base) != self.position:
            return None
        targets = {target.number: target for target in self._view.targets}
        targets |= {target.number: target for target in change.targets}
        for number in change.gone:
            targets.pop(number, None)
        return FleetView(
            change.term,
            change.sequence,
            list(targets.values()),
            change.control or self._view.control,
            change.stores,
            change.mixed,
            change.rollouts,
        )

    def name_of(self, number: int) -> str | None:
        """Return the name of the target with a number in the last view."""
        return self._names.get(number)

    def observe_weights(self, name: str, model: str, version: int) -> bool:
        """Record the weights version of a response; return whether it is newer.

        A response may be ahead of the view during a leader change. Versions only
        increase, so that a stated version also ends an assumption of another one.
        """
        key = (name, model)
        is_assumed = self._assumed_weights.pop(key, version) != version
        if version > self._observed_weights.get(key, 0):
            self._observed_weights[key] = version
        before = self._targets.get(name)
        if before is None or (
            not is_assumed and before.weights.get(model, version) >= version
        ):
            return False
        self._refresh_target(name)
        return self._targets[name].weights.get(model, 0) > before.weights.get(model, 0)

    def assume_weights(
        self, name: str, model: str, version: int, refused_version: int
    ) -> bool:
        """Record a version that a refusal suggests; return whether it is newer.

        The assumption holds until the target states a version, refuses the assumed one
        as well, or `forget_assumed_weights` is called.

        Parameters
        ----------
        name, model : str
            Target and model.
        version : int
            Version that the target is assumed to run.
        refused_version : int
            Version that it has refused.
        """
        key = (name, model)
        if self._assumed_weights.get(key) == refused_version:
            self.forget_assumed_weights(name, model)
            return False
        target = self._targets.get(name)
        if target is None or target.weights.get(model, version) >= version:
            return False
        self._assumed_weights[key] = version
        self._refresh_target(name)
        return True

    def forget_assumed_weights(self, name: str, model: str) -> None:
        """Use the version of the view and of responses again."""
        if self._assumed_weights.pop((name, model), None) is not None:
            self._refresh_target(name)

    def _refresh_target(self, name: str) -> None:
        """Build a target anew from the view and the observations."""
        target = next((t for t in self._view.targets if t.name == name), None)
        if target is not None:
            self._targets[name] = self._with_observations(target)
            self._group_by_service()

    def mark_leaving(self, name: str) -> bool:
        """Record that a target announced its removal; return whether that is new.

        The mark holds for the current incarnation of the target, even if later views
        do not show it.
        """
        target = self._targets.get(name)
        if target is None:
            return False
        self._leaving[(name, target.born_ms)] = None
        while len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        if target.leaving:
            return False
        self._targets[name] = self._with_observations(target)
        self._group_by_service()
        return True

    def _unconfirmed_leaving(self) -> list[tuple[str, int]]:
        """Return name and start time of leaving targets that the view lacks."""
        if not self._leaving:
            return []
        return [
            (target.name, target.born_ms)
            for target in self._view.targets
            if not target.leaving and (target.name, target.born_ms) in self._leaving
        ]

    def _with_observations(self, target: FleetTarget) -> FleetTarget:
        if (target.name, target.born_ms) in self._leaving and not target.leaving:
            target = msgspec.structs.replace(target, leaving=True)
        weights = {
            model: max(
                version,
                self._observed_weights.get((target.name, model), 0),
                self._assumed_weights.get((target.name, model), 0),
            )
            for model, version in target.weights.items()
        }
        if weights == target.weights:
            return target
        return msgspec.structs.replace(target, weights=weights)

    def _group_by_service(self) -> None:
        self._by_service = {}
        for target in self._targets.values():
            self._by_service.setdefault(target.service, []).append(target)

    # Load

    def apply_load(self, load: FleetLoad, now_ms: int = 0) -> bool:
        """Apply the total load of all entry processes.

        Parameters
        ----------
        load : FleetLoad
            Load message of the leader.
        now_ms : int
            Current time in milliseconds.

        Returns
        -------
        bool
            False if the load uses the target numbers of another term; it is ignored
            then.
        """
        if load.term != self._term:
            return False
        if load.reported in self._pending_reports:
            self._own_in_totals = self._pending_reports[load.reported]
        elif load.reported == 0:
            self._own_in_totals = {}
        while (
            self._pending_reports and next(iter(self._pending_reports)) < load.reported
        ):
            self._pending_reports.popitem(last=False)
        self._totals = self._received_totals = self.map_to_names(load.loads)
        self._totals_ms = now_ms
        self._unreachable = frozenset(self.map_to_names(dict.fromkeys(load.silent)))
        return True

    def age_totals(self, now_ms: int) -> None:
        """Move the prefill load in old totals to the mean of its service.

        Without newer ones, the differences between targets are outdated: their queues
        have been worked off, and others have formed.
        """
        age_ms = now_ms - self._totals_ms - FRESH_TOTALS_MS
        if age_ms <= 0 or not self._received_totals:
            return
        weight = math.exp(-age_ms / TOTALS_DECAY_MS)
        aged = dict(self._received_totals)
        for targets in self._by_service.values():
            loads = [self._received_totals.get(t.name, NO_LOAD) for t in targets]
            mean = sum(load.prefill_tokens for load in loads) / len(loads)
            for target, load in zip(targets, loads, strict=True):
                tokens = int(mean + weight * (load.prefill_tokens - mean))
                aged[target.name] = msgspec.structs.replace(load, prefill_tokens=tokens)
        self._totals = aged

    def map_to_names(self, by_number: dict) -> dict:
        """Return values by target name; those of unknown numbers are left out."""
        target_names = self._names
        return {
            target_names[n]: value
            for n, value in by_number.items()
            if n in target_names
        }

    def load(self, name: str) -> TargetLoad:
        """Return the estimated current load of a target."""
        own = self._own_loads.get(name)
        total = self._totals.get(name, NO_LOAD)
        own_in_total = self._own_in_totals.get(name, NO_LOAD)
        running = max(0, total.running - own_in_total.running)
        prefill = max(0, total.prefill_tokens - own_in_total.prefill_tokens)
        memory = max(0, total.memory_tokens - own_in_total.memory_tokens)
        decode = max(0, total.decode_tokens - own_in_total.decode_tokens)
        if own is None:
            return TargetLoad(running, prefill, memory, decode)
        return TargetLoad(
            running + own.running,
            prefill + own.prefill_tokens,
            memory + own.memory_tokens,
            decode + own.decode_tokens,
        )

    def own_running(self, name: str) -> int:
        """Return the number of open requests of this process at a target."""
        own = self._own_loads.get(name)
        return own.running if own is not None else 0

    def begin(
        self,
        name: str,
        prefill_tokens: int,
        memory_tokens: int,
        decode_tokens: int = 0,
    ) -> None:
        """Add a request that is sent to the load of a target."""
        own = self._own_loads.setdefault(name, _OwnLoad())
        own.running += 1
        own.prefill_tokens += prefill_tokens
        own.memory_tokens += memory_tokens
        own.decode_tokens += decode_tokens

    def end_decode(self, name: str, decode_tokens: int) -> None:
        """Subtract output that was returned, or that no longer will be."""
        own = self._own_loads.get(name)
        if own is not None:
            own.decode_tokens -= decode_tokens

    def end_prefill(self, name: str, prefill_tokens: int) -> None:
        """Subtract the prefill load of a request whose prefill ended."""
        own = self._own_loads.get(name)
        if own is not None:
            own.prefill_tokens -= prefill_tokens

    def end(self, name: str, memory_tokens: int) -> None:
        """Subtract a finished request from the load of a target."""
        own = self._own_loads.get(name)
        if own is not None:
            own.running -= 1
            own.memory_tokens -= memory_tokens

    def report_unreachable(self, name: str) -> None:
        """Report to the other entry processes that a target is unreachable."""
        self._newly_unreachable.add(name)

    def report_part(self, location: PartLocation) -> None:
        """Report to the other entry processes where a prompt part is cached."""
        if len(self._new_parts) < MAX_NEW_PARTS:
            self._new_parts.append(location)

    def report(
        self,
        instance: str,
        paused: Sequence[tuple[str, int]] = (),
        room: RoomReport = NO_ROOM_REPORT,
        demand: Sequence[ServiceDemand] = (),
        costs: CostReport = NO_COST_REPORT,
        releases: Sequence[ReleaseReport] = (),
    ) -> EntryLoad | None:
        """Return the next load report; None if nothing changed.

        Parameters
        ----------
        instance : str
            Name of this instance.
        paused : sequence of (str, int)
            Targets that requested a pause since the last report, with its remaining
            time in milliseconds.
        room : RoomReport
            Refusal-limited services and the use of their targets.
        demand : sequence of ServiceDemand
            Demand for services that are behind.
        costs : CostReport
            Costs that were learned since the last report.
        releases : sequence of ReleaseReport
            Outcomes of the requests of running rollouts.
        """
        loads = {
            n: own.to_message() for n, own in self._own_loads.items() if own.running > 0
        }
        is_new = (
            self._newly_unreachable
            or self._new_parts
            or paused
            or room.is_new
            or demand
            or costs.is_new
        )
        is_new = is_new or self._unconfirmed_leaving() != self._reported_leaving
        is_new = is_new or list(releases) != self._last_releases
        if loads == self._last_loads and not is_new:
            return None
        self._last_loads = loads
        return self._build_report(
            instance, loads, paused, room, demand, costs, releases
        )

    def refresh_report(
        self, instance: str, releases: Sequence[ReleaseReport] = ()
    ) -> EntryLoad:
        """Return a report of the last reported load, so that it does not expire."""
        return self._build_report(instance, self._last_loads or {}, releases=releases)

    def _build_report(
        self,
        instance: str,
        loads: dict[str, TargetLoad],
        paused: Sequence[tuple[str, int]] = (),
        room: RoomReport = NO_ROOM_REPORT,
        demand: Sequence[ServiceDemand] = (),
        costs: CostReport = NO_COST_REPORT,
        releases: Sequence[ReleaseReport] = (),
    ) -> EntryLoad:
        self._report_sequence += 1
        self._last_releases = list(releases)
        self._pending_reports[self._report_sequence] = loads
        while len(self._pending_reports) > MAX_PENDING_REPORTS:
            self._pending_reports.popitem(last=False)
        silent = sorted(self._newly_unreachable)
        self._newly_unreachable.clear()
        parts, self._new_parts = self._new_parts, []
        self._reported_leaving = self._unconfirmed_leaving()
        return EntryLoad(
            instance,
            self._report_sequence,
            loads,
            silent,
            parts,
            self._reported_leaving,
            list(paused),
            room.refusal_limited,
            room.full,
            room.wanted,
            room.leases,
            self._last_releases,
            costs.targets,
            costs.services,
            list(demand),
        )
