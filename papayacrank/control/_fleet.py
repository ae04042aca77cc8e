"""The leader's work on targets: list, weights and load."""

from collections import OrderedDict, deque
from dataclasses import dataclass, replace

from papayacrank.kernel import Send, log_event
from papayacrank.messages import (
    EntryLoad,
    FleetChange,
    FleetLoad,
    FleetTarget,
    FleetView,
    PartGroup,
    PartPlace,
    RoutingConfiguration,
    TargetLoad,
)

from ._effects import HttpCall, HttpResult
from ._events import (
    PLATFORM_LIST_FAILED,
    TARGET_LEAVING_REPORTED,
    TARGET_LEFT,
    TARGET_LISTED,
    TARGET_SILENT,
)
from ._rollout import ORDER_KEY, STATUS_KEY, WeightsRollout
from ._stores import STORE_KEY, StoreWatch
from ._target_protocol import ListedTarget, RunningRequestPolicy, TargetProtocol

LISTING_KEY = "fleet-list "
# Calls to the platform are priced, and the list itself lags by 800 ms.
LIST_INTERVAL_MS = 1_000
LIST_RETRY_MS = 300
# Reports of entry processes that stopped sending are dropped after this time.
LOAD_LIFETIME_MS = 2_000
SILENT_LIFETIME_MS = 1_500
MAX_PAGES = 200
# A change is on its way for this long before the whole view is sent again; the slowest
# links have 5 Mbit/s.
RESEND_AFTER_MS = 250
# New parts that are passed on in one message; more are dropped and learned later.
MAX_NEW_PARTS = 500
MAX_LEAVING = 5_000


@dataclass(slots=True)
class _Report:
    load: EntryLoad
    heard_ms: int


class FleetController:
    """Knowledge about the targets, kept in memory of the leader.

    Nothing here is replicated: a new leader reads the list anew, and entry processes
    keep the last view meanwhile.

    Parameters
    ----------
    protocol : TargetProtocol
        Wire form of the calls.
    holder : str
        Name of this process in orders, and of its machine.
    order_delay_ms : int
        Time that a new leader waits before its first order, for targets that do not
        check fencing tokens.
    """

    def __init__(self, protocol: TargetProtocol, holder: str, order_delay_ms: int = 0):
        self._protocol = protocol
        self._holder = holder
        self._order_delay_ms = order_delay_ms
        self._rollout = WeightsRollout(protocol, holder, RunningRequestPolicy.CONTINUE)
        self._stores = StoreWatch(protocol)
        self._store_starts: dict[str, int] = {}
        self._term = 0
        self._sequence = 0
        self._targets: dict[str, ListedTarget] = {}
        self._view: list[FleetTarget] = []
        self._pages: list[ListedTarget] = []
        self._page_count = 0
        self._listing = False
        self._next_list_ms = 0
        self._reports: dict[str, _Report] = {}
        self._silent: dict[str, int] = {}
        self._totals: dict[str, TargetLoad] = {}
        self._sent: dict[str, tuple] = {}
        self._has_list = False
        self._numbers: dict[str, int] = {}
        self._pushed = FleetView(0, 0, [])
        self._pushes: deque[tuple[int, int]] = deque()
        self._settled = 0
        self._new_parts: list[PartPlace] = []
        self._new_pauses: dict[str, int] = {}
        # Starts of targets that say that they are leaving, by name and start.
        self._leaving: OrderedDict[tuple[str, int], None] = OrderedDict()

    @property
    def sequence(self) -> int:
        """Number of changes of the view in this term."""
        return self._sequence

    @property
    def targets(self) -> list[FleetTarget]:
        """Targets in the form of the view."""
        return self._view

    def reset(self, term: int, now_ms: int) -> None:
        """Start anew after an election."""
        self._term = term
        self._sequence = 0
        self._targets = {}
        self._view = []
        self._pages = []
        self._listing = False
        self._next_list_ms = now_ms
        self._reports.clear()
        self._new_parts = []
        self._new_pauses = {}
        self._silent.clear()
        self._totals = {}
        self._sent.clear()
        self._has_list = False
        self._numbers = {}
        self._pushed = FleetView(term, 0, [])
        self._pushes.clear()
        self._settled = 0
        self._rollout.reset(term, now_ms + self._order_delay_ms)
        self._stores.reset()
        self._store_starts = {}
        self._leaving.clear()

    def view(self, control: list[str]) -> FleetView:
        """Return the view for entry processes."""
        return FleetView(
            self._term, self._sequence, self._view, control, self._store_starts
        )

    def take_change(
        self, control: list[str], now_ms: int
    ) -> FleetView | FleetChange | None:
        """Return what has changed since the last call, None if nothing has.

        The first change of a term is the whole view, because receivers have a view of
        another term or none.
        """
        base = self._pushed
        if base.sequence == self._sequence:
            return None
        self._pushed = self.view(control)
        self._pushes.append((now_ms, self._sequence))
        if base.sequence == 0:
            return self._pushed
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
        )

    def needs_view(self, term: int, sequence: int, now_ms: int) -> bool:
        """Whether an entry process lacks a view that it should have by now."""
        if self._sequence == 0 or (term, sequence) >= (self._term, self._sequence):
            return False
        if term != self._term:
            return True
        while self._pushes and self._pushes[0][0] <= now_ms - RESEND_AFTER_MS:
            self._settled = self._pushes.popleft()[1]
        return sequence < self._settled

    def poll(
        self,
        wanted: dict[str, int],
        configuration: RoutingConfiguration | None,
        now_ms: int,
    ) -> list[HttpCall]:
        """Return the calls that are due.

        Parameters
        ----------
        wanted : dict of str to int
            Named version of the weights, by model.
        configuration : RoutingConfiguration or None
            Configuration in force, which names the stores.
        """
        calls = self._rollout.poll(wanted, self._totals, now_ms)
        calls += self._stores.poll(configuration, now_ms)
        if not self._listing and now_ms >= self._next_list_ms:
            self._listing = True
            self._pages = []
            self._page_count = 0
            calls.append(self._protocol.build_listing(LISTING_KEY, None))
        self._refresh_view()
        return calls

    def next_ms(self) -> int | None:
        """Return when the roll-out needs `poll`, None if it does not."""
        return self._rollout.next_ms()

    @staticmethod
    def owns(key: str) -> bool:
        """Whether a result belongs to a call of this object."""
        return key.startswith((LISTING_KEY, ORDER_KEY, STATUS_KEY, STORE_KEY))

    def handle(self, result: HttpResult, now_ms: int) -> list[HttpCall]:
        """Handle the result of a call and return the calls that follow."""
        if result.key.startswith(STORE_KEY):
            self._stores.handle(result, now_ms)
            self._refresh_view()
            return []
        if not result.key.startswith(LISTING_KEY):
            self._take_signals(result, now_ms)
            self._rollout.handle(result, now_ms)
            self._refresh_view()
            return []
        page = self._protocol.read_listing(result)
        if isinstance(page, str):
            log_event(PLATFORM_LIST_FAILED, error=page)
            self._listing = False
            self._next_list_ms = now_ms + LIST_RETRY_MS
            return []
        self._pages += page.targets
        self._page_count += 1
        if page.next_page is not None and self._page_count < MAX_PAGES:
            return [self._protocol.build_listing(LISTING_KEY, page.next_page)]
        self._listing = False
        self._next_list_ms = now_ms + LIST_INTERVAL_MS
        self._take_list(now_ms)
        return []

    # Load

    def observe_load(self, report: EntryLoad, now_ms: int) -> None:
        """Take the load of one entry process."""
        known = self._reports.get(report.instance)
        if known is not None and known.load.sequence >= report.sequence > 1:
            return
        self._reports[report.instance] = _Report(report, now_ms)
        room = MAX_NEW_PARTS - len(self._new_parts)
        self._new_parts += report.parts[: max(0, room)]
        for name, born_ms in report.leaving:
            self._note_leaving(name, born_ms, report.instance)
        if self._is_local(report.instance):
            for name, pause_ms in report.paused:
                self._rollout.pause(name, pause_ms, now_ms)
        for name in report.silent:
            if name not in self._silent:
                log_event(TARGET_SILENT, target=name, reported_by=report.instance)
            self._silent[name] = now_ms + SILENT_LIFETIME_MS

    def _take_signals(self, result: HttpResult, now_ms: int) -> None:
        """Take over what an engine asks of this process with its answer."""
        name = result.key.split(" ", 1)[1]
        signals = self._protocol.read_signals(result)
        target = self._targets.get(name)
        if signals.is_leaving and target is not None:
            self._note_leaving(name, target.born_ms, "leader")
        if signals.pause_ms is not None:
            self._rollout.pause(name, signals.pause_ms, now_ms)
            self._new_pauses[name] = now_ms + signals.pause_ms

    def _is_local(self, instance: str) -> bool:
        """Whether an entry process runs on this machine; it is named after it."""
        return instance.partition("@")[0] == self._holder

    def _note_leaving(self, name: str, born_ms: int, source: str) -> None:
        """Take that a start of a target is leaving, whatever the list shows."""
        if (name, born_ms) in self._leaving:
            return
        self._leaving[(name, born_ms)] = None
        while len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        log_event(
            TARGET_LEAVING_REPORTED, target=name, born_ms=born_ms, reported_by=source
        )
        if name in self._targets:
            self._targets[name] = self._correct(self._targets[name])
            self._rollout.correct(self._targets[name])
            self._refresh_view()

    def _correct(self, target: ListedTarget) -> ListedTarget:
        if (target.name, target.born_ms) in self._leaving and not target.leaving:
            return replace(target, leaving=True)
        return target

    def push_load(self, receivers: dict[str, str], now_ms: int) -> list[Send]:
        """Return the totals for entry processes, if they have changed.

        Parameters
        ----------
        receivers : dict of str to str
            Link name by instance.
        """
        self._sum_loads(now_ms)
        self._silent = {n: u for n, u in self._silent.items() if u > now_ms}
        loads = {
            number: load
            for name, load in self._totals.items()
            if (number := self._numbers.get(name))
        }
        silent = sorted(self._numbers[n] for n in self._silent if n in self._numbers)
        parts = self._group_parts()
        pauses = self._take_new_pauses(now_ms)
        sends = []
        for instance, sender in receivers.items():
            report = self._reports.get(instance)
            reported = report.load.sequence if report is not None else 0
            content = (reported, loads, silent)
            paused = pauses if self._is_local(instance) else []
            if self._sent.get(instance) == content and not parts and not paused:
                continue
            self._sent[instance] = content
            message = FleetLoad(self._term, reported, loads, silent, parts, paused)
            sends.append(Send(sender, message))
        return sends

    def _take_new_pauses(self, now_ms: int) -> list[tuple[int, int]]:
        """Take the pauses that targets have asked this process for."""
        pauses, self._new_pauses = self._new_pauses, {}
        return [
            (self._numbers[name], end_ms - now_ms)
            for name, end_ms in pauses.items()
            if name in self._numbers and end_ms > now_ms
        ]

    def _group_parts(self) -> list[PartGroup]:
        """Take the new parts in the short form for many receivers."""
        new_parts, self._new_parts = self._new_parts, []
        groups: dict[tuple[str, str], list[tuple[int, str]]] = {}
        for place in new_parts:
            number = self._numbers.get(place.target)
            if number is not None:
                group = groups.setdefault((place.salt, place.store), [])
                group.append((number, place.part))
        return [PartGroup(*key, places) for key, places in groups.items()]

    def _sum_loads(self, now_ms: int) -> None:
        oldest_ms = now_ms - LOAD_LIFETIME_MS
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if report.heard_ms >= oldest_ms
        }
        sums: dict[str, list[int]] = {}
        for report in self._reports.values():
            for name, load in report.load.loads.items():
                total = sums.setdefault(name, [0, 0, 0])
                total[0] += load.running
                total[1] += load.prefill_tokens
                total[2] += load.memory_tokens
        self._totals = {name: TargetLoad(*total) for name, total in sums.items()}

    # View

    def _take_list(self, now_ms: int) -> None:
        targets = {target.name: self._correct(target) for target in self._pages}
        for name in targets.keys() - self._targets.keys():
            listed = targets[name]
            log_event(
                TARGET_LISTED,
                target=name,
                address=listed.address,
                service=listed.service,
                weights=listed.weights,
            )
        for name in self._targets.keys() - targets.keys():
            log_event(TARGET_LEFT, target=name)
        self._targets = targets
        self._has_list = True
        self._rollout.observe(targets, now_ms)
        self._refresh_view()

    def _number_of(self, name: str) -> int:
        return self._numbers.setdefault(name, len(self._numbers) + 1)

    def _refresh_view(self) -> None:
        if not self._has_list:
            # Entry processes keep the view of the last leader until then.
            return
        view = [
            FleetTarget(
                target.name,
                target.address,
                target.service,
                target.failure_domain,
                target.leaving or self._rollout.is_gone(target.name),
                self._rollout.is_loading(target.name),
                target.slots,
                target.born_ms,
                self._rollout.weights(target),
                self._number_of(target.name),
            )
            for target in self._targets.values()
        ]
        starts = self._stores.starts
        if view != self._view or starts != self._store_starts:
            self._view = view
            self._store_starts = starts
            self._sequence += 1
