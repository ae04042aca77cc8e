"""Sends orders to targets and confirms them by reading back."""

import math
from dataclasses import dataclass

from papayacrank.config import TargetAddress, parse_configuration
from papayacrank.messages import ConfirmOrder
from papayacrank.state import MAX_WEIGHT_LOADS, OrderEntry, OrderRow, StateMachine

from ._effects import HttpCall, HttpResult
from ._order_calls import (
    KEY_PREFIX,
    build_read,
    build_send,
    is_running,
    read_state,
    read_status,
)

READ_BACK_INTERVAL_MS = 200
# An attempt without confirmation ends after this time. Loading takes 0.6 s, so a
# target that takes longer is down or loads something else.
ATTEMPT_TIMEOUT_MS = 20_000
RETRY_DELAY_MS = 1_000
# Confirmed orders are read back at this interval, to find late orders of earlier
# leaders and restarts with an older state.
VERIFY_INTERVAL_MS = 2_000
MAX_CALLS = 16
STATUS_CONFLICT = 409
LOAD_WEIGHTS = "load_weights"
LOADING_PART = 3  # at most one target in three of a service loads at a time
WAITING = "waiting"
ISSUED = "issued"
CONFIRMED = "confirmed"
DONE = "done"
ISSUE = "issue"
RELEASE = "release"
CONFIRM = "confirm"


@dataclass(slots=True)
class _Attempt:
    """Work of this leader on one order.

    Attributes
    ----------
    checked : bool
        Whether the target was seen without the ordered state, and not working on it.
    token : int
        Fencing token that this leader got for the order; 0 before.
    proposed : str
        Kind of the entry that was proposed and is not applied yet.
    accepted : bool
        Whether the target has accepted the order.
    """

    checked: bool = False
    token: int = 0
    proposed: str = ""
    accepted: bool = False
    calling: bool = False
    started_ms: int = 0
    next_ms: int = 0


@dataclass(frozen=True, slots=True)
class ProposeOrder:
    """Propose that an order is issued, or that an attempt is given up."""

    order_id: str
    issue: bool
    observed: str = ""
    reason: str = ""


Decision = HttpCall | ProposeOrder | ConfirmOrder


class OrderRunner:
    """The leader's work on orders.

    Before an order is sent, the target is read, because it may have the ordered state
    already or be about to reach it through an earlier leader. The order then gets a new
    fencing token through the log before each sending, so the orders of earlier leaders
    have lower tokens. To targets that ignore tokens, a new leader sends nothing before
    `settle_ms` have passed: by then the lease of its predecessor has expired, and its
    calls have ended.

    Parameters
    ----------
    machine : StateMachine
        Holds the orders.
    settle_ms : int
        Lease of a leader, with drift, plus the timeout of a call.
    """

    def __init__(self, machine: StateMachine, settle_ms: int):
        self._machine = machine
        self._settle_ms = settle_ms
        self._settled_ms = 0
        self._term = 0
        self._attempts: dict[str, _Attempt] = {}
        self._verify_ms: dict[str, int] = {}
        self._targets: dict[str, TargetAddress] = {}
        self._peers: dict[str, frozenset[str]] = {}
        self._targets_version = -1

    def reset(self, term: int, now_ms: int) -> None:
        """Start anew after an election."""
        self._term = term
        self._settled_ms = now_ms + self._settle_ms
        self._attempts.clear()
        self._verify_ms.clear()

    def poll(self, now_ms: int) -> list[Decision]:
        """Return what is due."""
        self._read_targets()
        self._forget_closed()
        decisions: list[Decision] = []
        for row in self._machine.orders.open:
            decisions += self._advance(row, now_ms)
        return decisions + self._verify(now_ms)

    def applied(self, entry: OrderEntry) -> None:
        """Take notice of an applied entry."""
        attempt = self._attempts.get(entry.order_id)
        row = self._machine.orders.find(entry.order_id)
        if attempt is None or row is None:
            return
        attempt.proposed = ""
        attempt.accepted = False
        issued = entry.issue and row.state == ISSUED
        attempt.token = row.fencing_token if issued else 0
        attempt.checked = issued

    def lost(self, order_id: str) -> None:
        """Take notice that a proposal was refused by the log; it is made again."""
        attempt = self._attempts.get(order_id)
        if attempt is not None:
            attempt.proposed = ""

    def handle(self, result: HttpResult, now_ms: int) -> list[Decision]:
        """Handle the answer to a call."""
        kind, order_id = result.key.removeprefix(KEY_PREFIX).split(" ", 1)
        row = self._machine.orders.find(order_id)
        if row is not None and kind == "verify":
            return self._on_verified(row, result)
        attempt = self._attempts.get(order_id)
        if attempt is None or row is None:
            return []
        attempt.calling = False
        if row.state not in (WAITING, ISSUED):
            return []
        if kind == "send":
            return self._on_sent(row, attempt, result, now_ms)
        return self._on_read(row, attempt, result, now_ms)

    def _advance(self, row: OrderRow, now_ms: int) -> list[Decision]:
        attempt = self._attempts.setdefault(row.order_id, _Attempt())
        target = self._targets.get(row.target)
        busy = attempt.proposed or attempt.calling or now_ms < attempt.next_ms
        if target is None or busy or self._calls >= MAX_CALLS:
            return []
        if not attempt.checked:
            attempt.calling = True
            return [build_read("read", row, target)]
        if not target.checks_fencing and now_ms < self._settled_ms:
            return []
        if not attempt.token:
            return self._propose_issue(row, attempt, now_ms)
        if now_ms - attempt.started_ms >= ATTEMPT_TIMEOUT_MS:
            return self._release(row, attempt, "not confirmed", now_ms)
        attempt.calling = True
        if attempt.accepted:
            return [build_read("read", row, target)]
        return [build_send(row, target, self._term)]

    def _propose_issue(
        self, row: OrderRow, attempt: _Attempt, now_ms: int
    ) -> list[Decision]:
        is_new_load = row.kind == LOAD_WEIGHTS and row.state == WAITING
        if is_new_load and not self._may_load(row.target):
            return []
        attempt.proposed = ISSUE
        attempt.started_ms = now_ms
        return [ProposeOrder(row.order_id, issue=True)]

    def _release(
        self, row: OrderRow, attempt: _Attempt, reason: str, now_ms: int
    ) -> list[Decision]:
        attempt.proposed = RELEASE
        attempt.next_ms = now_ms + RETRY_DELAY_MS
        return [ProposeOrder(row.order_id, False, row.observed, reason)]

    def _on_sent(
        self, row: OrderRow, attempt: _Attempt, result: HttpResult, now_ms: int
    ) -> list[Decision]:
        if 200 <= result.status < 300:
            attempt.accepted = True
            return []
        attempt.next_ms = now_ms + RETRY_DELAY_MS
        if result.status != STATUS_CONFLICT:
            return []
        return self._release(row, attempt, "old token", now_ms)

    def _on_read(
        self, row: OrderRow, attempt: _Attempt, result: HttpResult, now_ms: int
    ) -> list[Decision]:
        attempt.next_ms = now_ms + READ_BACK_INTERVAL_MS
        observed = read_state(row, result)
        if observed is None:
            attempt.next_ms = now_ms + RETRY_DELAY_MS
            return []
        if observed == row.argument:
            attempt.proposed = CONFIRM
            return [ConfirmOrder(row.order_id, observed)]
        if is_running(row, result):
            return []
        if not attempt.checked:
            attempt.checked = True
            attempt.next_ms = now_ms
            return []
        return self._on_other_state(row, attempt, observed, result)

    @staticmethod
    def _on_other_state(
        row: OrderRow, attempt: _Attempt, observed: str, result: HttpResult
    ) -> list[Decision]:
        """Repeat an order that the target lost or that another one has replaced."""
        status = read_status(row, result)
        if status == "":
            attempt.accepted = False
        if status != DONE:
            return []
        attempt.proposed = ISSUE
        return [ProposeOrder(row.order_id, True, observed, "overwritten")]

    def _verify(self, now_ms: int) -> list[Decision]:
        """Read back confirmed orders, those that have waited longest first."""
        room = MAX_CALLS - self._calls
        due = [
            row
            for row in self._machine.orders.confirmed()
            if row.target in self._targets
            and now_ms >= self._verify_ms.get(row.order_id, 0)
        ]
        due.sort(key=lambda row: self._verify_ms.get(row.order_id, 0))
        chosen = due[: max(0, room)]
        for row in chosen:
            self._verify_ms[row.order_id] = now_ms + VERIFY_INTERVAL_MS
        return [build_read("verify", row, self._targets[row.target]) for row in chosen]

    def _on_verified(self, row: OrderRow, result: HttpResult) -> list[Decision]:
        observed = read_state(row, result)
        lost = observed is not None and observed != row.argument
        if row.state != CONFIRMED or not lost or is_running(row, result):
            return []
        self._attempts[row.order_id] = _Attempt(proposed=ISSUE)
        return [ProposeOrder(row.order_id, True, observed or "", "overwritten")]

    @property
    def _calls(self) -> int:
        return sum(attempt.calling for attempt in self._attempts.values())

    def _may_load(self, target: str) -> bool:
        """Whether a load may start now, with enough of the service still serving."""
        loading = self._loading_targets()
        peers = self._peers[target]
        loading_peers = sum(name in peers for name in loading)
        most = math.ceil(len(peers) / LOADING_PART)
        return len(loading) < MAX_WEIGHT_LOADS and loading_peers < most

    def _loading_targets(self) -> list[str]:
        """Targets that may be loading weights, or are about to be told to."""
        return [
            row.target
            for row in self._machine.orders.open
            if row.kind == LOAD_WEIGHTS
            and (row.state != WAITING or self._is_issue_proposed(row))
        ]

    def _is_issue_proposed(self, row: OrderRow) -> bool:
        attempt = self._attempts.get(row.order_id)
        return attempt is not None and attempt.proposed == ISSUE

    def _read_targets(self) -> None:
        configuration = self._machine.configuration
        if configuration.version in (0, self._targets_version):
            return
        services = parse_configuration(configuration.document).services
        self._targets = {t.name: t for s in services for t in s.targets}
        self._peers = {
            target.name: frozenset(peer.name for peer in service.targets)
            for service in services
            for target in service.targets
        }
        self._targets_version = configuration.version

    def _forget_closed(self) -> None:
        """Drop what concerns closed orders, except those about to be opened again."""
        open_ids = {row.order_id for row in self._machine.orders.open}
        wanted = {row.order_id for row in self._machine.orders.confirmed()}
        self._attempts = {
            order_id: attempt
            for order_id, attempt in self._attempts.items()
            if order_id in open_ids
            or (order_id in wanted and attempt.proposed == ISSUE)
        }
        self._verify_ms = {k: v for k, v in self._verify_ms.items() if k in wanted}
