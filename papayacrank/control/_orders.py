"""Execution of orders to targets, confirmed by reading the state back."""

import math
from dataclasses import dataclass, field

from papayacrank.config import TargetAddress, parse_configuration
from papayacrank.messages import ConfirmOrder
from papayacrank.state import MAX_WEIGHT_LOADS, OrderEntry, OrderRow, StateMachine

from ._effects import HttpCall, HttpResult
from ._open_call import OpenCall
from ._order_calls import (
    KEY_PREFIX,
    build_read,
    build_send,
    is_running,
    read_state,
    read_status,
)

READ_BACK_INTERVAL_MS = 200
# An attempt that is not confirmed within this time ends. A load takes 0.6 s, so a
# target that takes longer is down or loads something else.
ATTEMPT_TIMEOUT_MS = 20_000
RETRY_DELAY_MS = 1_000
# Interval at which confirmed orders are verified, to detect delayed orders of previous
# leaders and targets that restarted with an older state.
VERIFY_INTERVAL_MS = 2_000
MAX_OPEN_CALLS = 16
STATUS_CONFLICT = 409
LOAD_WEIGHTS = "load_weights"
# At most one target in three of a service loads weights at a time.
ENGINES_PER_LOADING_SLOT = 3
WAITING = "waiting"
ISSUED = "issued"
CONFIRMED = "confirmed"
DONE = "done"
ISSUE = "issue"
RELEASE = "release"
CONFIRM = "confirm"


@dataclass(slots=True)
class _Attempt:
    """Progress of this leader on one order.

    Attributes
    ----------
    target_checked : bool
        Whether a read showed that the target does not have the ordered state and is not
        executing the order.
    fencing_token : int
        Fencing token that was assigned to this leader for the order; 0 before.
    pending_proposal : str
        Kind of the entry that was proposed and is not applied yet; empty if none.
    accepted : bool
        Whether the target has accepted the order.
    call : OpenCall
        Call whose result is awaited.
    """

    target_checked: bool = False
    fencing_token: int = 0
    pending_proposal: str = ""
    accepted: bool = False
    call: OpenCall = field(default_factory=OpenCall)
    started_ms: int = 0
    next_ms: int = 0


@dataclass(frozen=True, slots=True)
class ProposeOrder:
    """Proposal to issue an order, or to release it after a failed attempt.

    Parameters
    ----------
    issue : bool
        Whether the order is issued; otherwise the attempt is released.
    observed : str
        State that was last read from the target.
    reason : str
        Reason of a release or a repeated issue; empty for a first issue.
    """

    order_id: str
    issue: bool
    observed: str = ""
    reason: str = ""


Decision = HttpCall | ProposeOrder | ConfirmOrder


class OrderRunner:
    """Executes the replicated orders while this process leads.

    Before an order is sent, the state of the target is read, because it may already
    have the ordered state or be about to reach it through a previous leader. The order
    is then issued through the log, which assigns a new fencing token, so the orders of
    previous leaders have lower tokens. To targets that ignore tokens, a new leader
    sends nothing until `takeover_delay_ms` after its election: by then the lease of its
    predecessor has expired and the calls of the predecessor have ended.

    Parameters
    ----------
    machine : StateMachine
        Replicated state, which contains the orders.
    takeover_delay_ms : int
        Duration of the leader lease, extended by the clock drift, plus the timeout of a
        call.
    """

    def __init__(self, machine: StateMachine, takeover_delay_ms: int):
        self._machine = machine
        self._takeover_delay_ms = takeover_delay_ms
        self._takeover_end_ms = 0
        self._term = 0
        self._attempts: dict[str, _Attempt] = {}
        self._next_verify_ms: dict[str, int] = {}
        self._targets: dict[str, TargetAddress] = {}
        self._peers: dict[str, frozenset[str]] = {}
        self._targets_version = -1

    def reset(self, term: int, now_ms: int) -> None:
        """Discard all progress after an election."""
        self._term = term
        self._takeover_end_ms = now_ms + self._takeover_delay_ms
        self._attempts.clear()
        self._next_verify_ms.clear()

    def poll(self, now_ms: int) -> list[Decision]:
        """Return the calls and proposals that are due."""
        self._refresh_targets()
        self._drop_closed()
        decisions: list[Decision] = []
        for row in self._machine.orders.open:
            decisions += self._advance(row, now_ms)
        return decisions + self._verify(now_ms)

    def entry_applied(self, entry: OrderEntry) -> None:
        """Handle an entry that was committed and applied."""
        attempt = self._attempts.get(entry.order_id)
        row = self._machine.orders.find(entry.order_id)
        if attempt is None or row is None:
            return
        attempt.pending_proposal = ""
        attempt.accepted = False
        issued = entry.issue and row.state == ISSUED
        attempt.fencing_token = row.fencing_token if issued else 0
        attempt.target_checked = issued

    def proposal_rejected(self, order_id: str) -> None:
        """Handle a proposal that was not made or not accepted; it is made again."""
        attempt = self._attempts.get(order_id)
        if attempt is not None:
            attempt.pending_proposal = ""

    def handle(
        self, result: HttpResult, now_ms: int
    ) -> list[ProposeOrder | ConfirmOrder]:
        """Handle the result of a call and return the proposals that follow from it."""
        kind, order_id = result.key.removeprefix(KEY_PREFIX).split(" ", 1)
        row = self._machine.orders.find(order_id)
        if row is not None and kind == "verify":
            return self._on_verified(row, result)
        attempt = self._attempts.get(order_id)
        if attempt is None or row is None:
            return []
        if not attempt.call.end(result) or row.state not in (WAITING, ISSUED):
            return []
        if kind == "send":
            return self._on_sent(row, attempt, result, now_ms)
        return self._on_read(row, attempt, result, now_ms)

    def _advance(self, row: OrderRow, now_ms: int) -> list[Decision]:
        attempt = self._attempts.setdefault(row.order_id, _Attempt())
        target = self._targets.get(row.target)
        is_waiting = (
            attempt.call.is_open(now_ms)
            or attempt.pending_proposal
            or now_ms < attempt.next_ms
        )
        if target is None or is_waiting or self._open_calls >= MAX_OPEN_CALLS:
            return []
        if not attempt.target_checked:
            return [attempt.call.begin(build_read("read", row, target), now_ms)]
        if not target.checks_fencing and now_ms < self._takeover_end_ms:
            return []
        if not attempt.fencing_token:
            return self._propose_issue(row, attempt, now_ms)
        if now_ms - attempt.started_ms >= ATTEMPT_TIMEOUT_MS:
            return self._propose_release(row, attempt, "not confirmed", now_ms)
        if attempt.accepted:
            call = build_read("read", row, target)
        else:
            call = build_send(row, target, self._term)
        return [attempt.call.begin(call, now_ms)]

    def _propose_issue(
        self, row: OrderRow, attempt: _Attempt, now_ms: int
    ) -> list[Decision]:
        is_new_load = row.kind == LOAD_WEIGHTS and row.state == WAITING
        if is_new_load and not self._may_load(row.target):
            return []
        attempt.pending_proposal = ISSUE
        attempt.started_ms = now_ms
        return [ProposeOrder(row.order_id, issue=True)]

    def _propose_release(
        self, row: OrderRow, attempt: _Attempt, reason: str, now_ms: int
    ) -> list[Decision]:
        attempt.pending_proposal = RELEASE
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
        return self._propose_release(row, attempt, "old token", now_ms)

    def _on_read(
        self, row: OrderRow, attempt: _Attempt, result: HttpResult, now_ms: int
    ) -> list[Decision]:
        attempt.next_ms = now_ms + READ_BACK_INTERVAL_MS
        observed = read_state(row, result)
        if observed is None:
            attempt.next_ms = now_ms + RETRY_DELAY_MS
            return []
        if observed == row.argument:
            attempt.pending_proposal = CONFIRM
            return [ConfirmOrder(row.order_id, observed)]
        if is_running(row, result):
            return []
        if not attempt.target_checked:
            attempt.target_checked = True
            attempt.next_ms = now_ms
            return []
        return self._on_state_mismatch(row, attempt, observed, result)

    @staticmethod
    def _on_state_mismatch(
        row: OrderRow, attempt: _Attempt, observed: str, result: HttpResult
    ) -> list[Decision]:
        """Repeat an order that the target has lost or that another order replaced."""
        status = read_status(row, result)
        if status == "":
            attempt.accepted = False
        if status != DONE:
            return []
        attempt.pending_proposal = ISSUE
        return [ProposeOrder(row.order_id, True, observed, "overwritten")]

    def _verify(self, now_ms: int) -> list[Decision]:
        """Verify confirmed orders, those verified least recently first."""
        free_calls = MAX_OPEN_CALLS - self._open_calls
        due = [
            row
            for row in self._machine.orders.confirmed()
            if row.target in self._targets
            and now_ms >= self._next_verify_ms.get(row.order_id, 0)
        ]
        due.sort(key=lambda row: self._next_verify_ms.get(row.order_id, 0))
        selected = due[: max(0, free_calls)]
        for row in selected:
            self._next_verify_ms[row.order_id] = now_ms + VERIFY_INTERVAL_MS
        return [
            build_read("verify", row, self._targets[row.target]) for row in selected
        ]

    def _on_verified(self, row: OrderRow, result: HttpResult) -> list[Decision]:
        observed = read_state(row, result)
        is_overwritten = observed is not None and observed != row.argument
        if row.state != CONFIRMED or not is_overwritten or is_running(row, result):
            return []
        self._attempts[row.order_id] = _Attempt(pending_proposal=ISSUE)
        return [ProposeOrder(row.order_id, True, observed or "", "overwritten")]

    @property
    def _open_calls(self) -> int:
        return sum(attempt.call.is_awaited for attempt in self._attempts.values())

    def _may_load(self, target: str) -> bool:
        """Return whether a load may start while enough of the service keeps serving."""
        loading = self._loading_targets()
        peers = self._peers[target]
        loading_peers = sum(name in peers for name in loading)
        max_loading = math.ceil(len(peers) / ENGINES_PER_LOADING_SLOT)
        return len(loading) < MAX_WEIGHT_LOADS and loading_peers < max_loading

    def _loading_targets(self) -> list[str]:
        """Return the targets that may be loading weights or have a proposed load."""
        return [
            row.target
            for row in self._machine.orders.open
            if row.kind == LOAD_WEIGHTS
            and (row.state != WAITING or self._has_issue_proposal(row))
        ]

    def _has_issue_proposal(self, row: OrderRow) -> bool:
        attempt = self._attempts.get(row.order_id)
        return attempt is not None and attempt.pending_proposal == ISSUE

    def _refresh_targets(self) -> None:
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

    def _drop_closed(self) -> None:
        """Drop progress of closed orders, except those with a proposal to reissue."""
        open_ids = {row.order_id for row in self._machine.orders.open}
        confirmed_ids = {row.order_id for row in self._machine.orders.confirmed()}
        self._attempts = {
            order_id: attempt
            for order_id, attempt in self._attempts.items()
            if order_id in open_ids
            or (order_id in confirmed_ids and attempt.pending_proposal == ISSUE)
        }
        self._next_verify_ms = {
            k: v for k, v in self._next_verify_ms.items() if k in confirmed_ids
        }
