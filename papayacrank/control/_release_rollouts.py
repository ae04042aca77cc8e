"""Rollouts of releases on the leader: shares for entry processes, and verdicts."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from papayacrank.kernel import log_event
from papayacrank.messages import (
    COMPLETED,
    ROLLED_BACK,
    ConcludeRollout,
    EntryLoad,
    FleetTarget,
    Rollout,
    RolloutShare,
)
from papayacrank.rollouts import ExposureLimits, FleetSituation, RolloutJudge

from ._events import ROLLOUT_JUDGED, ROLLOUT_SHARE_CHANGED

# A verdict that is not in the log after this time is proposed again.
PROPOSAL_TIMEOUT_MS = 500
# Entry processes send their load every 800 ms at least, and every 100 ms under load.
REPORT_LIFETIME_MS = 1_200
# Steps of one term of a leader, so that a process that still applies a step of an
# earlier leader is not taken for one that applies a new one.
STEPS_PER_TERM = 1_024
_FINAL_SHARES = {COMPLETED: 1.0, ROLLED_BACK: 0.0}


class RolloutTable(Protocol):
    """Rollouts in the replicated state."""

    @property
    def running(self) -> list[Rollout]:
        """Rollouts that are running."""

    def find(self, service: str) -> Rollout | None:
        """Return the last rollout of a service."""

    def list(self) -> list[Rollout]:
        """Return the last rollout of each service."""


@dataclass(slots=True)
class _Report:
    load: EntryLoad
    received_ms: int


class ReleaseRollouts:
    """Judges the running rollouts by the reports of the entry processes.

    The state is kept in memory of the leader: a new one learns the counts from the next
    reports of the entry processes.

    Parameters
    ----------
    table : RolloutTable
        Replicated rollouts; only read.
    limits : ExposureLimits
        Limits on the exposure to a bad release.
    """

    def __init__(self, table: RolloutTable, limits: ExposureLimits):
        self._table = table
        self._limits = limits
        self._term = 0
        self._judges: dict[int, RolloutJudge] = {}
        self._reports: dict[str, _Report] = {}
        self._inherited: set[int] = set()
        self._proposed_ms: dict[int, int] = {}
        self._logged_steps: dict[int, int] = {}

    def reset(self, term: int) -> None:
        """Discard what is not in the log after an election."""
        self._term = term
        self._judges.clear()
        self._reports.clear()
        self._proposed_ms.clear()
        self._logged_steps.clear()
        self._inherited = {rollout.number for rollout in self._table.running}

    @property
    def shares(self) -> list[RolloutShare]:
        """Shares for entry processes, of the last rollout of each service."""
        return [self._share(rollout) for rollout in self._table.list()]

    def _share(self, rollout: Rollout) -> RolloutShare:
        judge = self._judges.get(rollout.number)
        if judge is not None and rollout.state not in _FINAL_SHARES:
            return judge.share
        return RolloutShare(
            rollout.number,
            rollout.service,
            rollout.release,
            rollout.state,
            0,
            _FINAL_SHARES.get(rollout.state, 0.0),
            rollout.bases,
        )

    def observe_load(self, load: EntryLoad, now_ms: int) -> None:
        """Record the load report of one entry process; ignore outdated ones."""
        if not self._table.running:
            self._reports.clear()
            return
        known = self._reports.get(load.instance)
        if known is not None and known.load.sequence >= load.sequence > 1:
            return
        self._reports[load.instance] = _Report(load, now_ms)
        for number, judge in self._judges.items():
            reports = [report for report in load.releases if report.number == number]
            if reports:
                judge.observe(load.instance, reports)

    def poll(
        self,
        targets: Iterable[FleetTarget],
        live: Iterable[str],
        now_ms: int,
        group_now_ms: int,
    ) -> list[ConcludeRollout]:
        """Decide on the running rollouts and return the verdicts that are due.

        Parameters
        ----------
        targets : iterable of FleetTarget
            Targets that entry processes know.
        live : iterable of str
            Entry processes whose lease has not expired.
        now_ms, group_now_ms : int
            Time on the clock of this process and on that of the control group.
        """
        running = {rollout.number: rollout for rollout in self._table.running}
        self._judges = {n: j for n, j in self._judges.items() if n in running}
        if not running:
            return []
        targets, live = list(targets), list(live)
        verdicts = []
        for number, rollout in running.items():
            judge = self._judges.get(number) or self._add_judge(rollout, group_now_ms)
            situation = self._situation(rollout, targets, live, now_ms)
            judge.decide(situation, group_now_ms)
            self._log_share(rollout, judge)
            if judge.verdict and self._may_propose(number, now_ms):
                verdicts.append(ConcludeRollout(number, judge.verdict, judge.reason))
                log_event(
                    ROLLOUT_JUDGED,
                    rollout=number,
                    service=rollout.service,
                    release=rollout.release,
                    verdict=judge.verdict,
                    reason=judge.reason,
                    requests=judge.total,
                    at_release=judge.exposed,
                    after_ms=group_now_ms - rollout.started_ms,
                )
        return verdicts

    def _add_judge(self, rollout: Rollout, group_now_ms: int) -> RolloutJudge:
        judge = RolloutJudge(
            rollout,
            self._limits,
            self._term * STEPS_PER_TERM,
            rollout.number in self._inherited,
            group_now_ms,
        )
        self._judges[rollout.number] = judge
        return judge

    def _situation(
        self,
        rollout: Rollout,
        targets: list[FleetTarget],
        live: list[str],
        now_ms: int,
    ) -> FleetSituation:
        own = [target for target in targets if target.service == rollout.service]
        old = {target.name for target in own if target.release != rollout.release}
        has_new = any(
            target.release == rollout.release and not (target.leaving or target.loading)
            for target in own
        )
        return FleetSituation(
            has_new, {name: self._open_requests(name, old, now_ms) for name in live}
        )

    def _open_requests(
        self, instance: str, targets: set[str], now_ms: int
    ) -> int | None:
        report = self._reports.get(instance)
        if report is None or now_ms - report.received_ms > REPORT_LIFETIME_MS:
            return None
        loads = report.load.loads
        return sum(loads[name].running for name in targets & loads.keys())

    def _may_propose(self, number: int, now_ms: int) -> bool:
        proposed_ms = self._proposed_ms.get(number)
        if proposed_ms is not None and now_ms - proposed_ms < PROPOSAL_TIMEOUT_MS:
            return False
        self._proposed_ms[number] = now_ms
        return True

    def _log_share(self, rollout: Rollout, judge: RolloutJudge) -> None:
        share = judge.share
        if self._logged_steps.get(rollout.number) == share.step:
            return
        self._logged_steps[rollout.number] = share.step
        log_event(
            ROLLOUT_SHARE_CHANGED,
            rollout=rollout.number,
            service=rollout.service,
            release=rollout.release,
            phase=judge.phase.name.lower(),
            step=share.step,
            share=share.share,
            requests=judge.total,
            at_release=judge.exposed,
        )
