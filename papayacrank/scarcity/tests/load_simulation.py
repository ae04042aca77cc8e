"""Simulation of targets that are asked for more than they can serve in time."""

import random
from collections import defaultdict
from dataclasses import dataclass

from papayacrank.messages import EntryLoad
from papayacrank.scarcity import (
    Candidate,
    DemandKey,
    DemandSums,
    LoadAdmission,
    LoadDecision,
)

REPORT_MS = 500
SUMS_MS = 1_000


@dataclass(frozen=True)
class Stream:
    """Requests of a workspace at one urgency."""

    workspace: str
    urgency: int
    per_s: float
    objective_ms: int = 500
    deadline_ms: int = 5_000
    sizes: tuple[int, ...] = (20, 20, 20, 100)

    @property
    def key(self):
        """Key of the demand."""
        return DemandKey("s", self.workspace, self.urgency)


class ForecastOnly(LoadAdmission):
    """Refuses only requests whose queue is longer than they may wait."""

    def _decide(self, candidate, now_ms):
        if candidate.wait_ms > min(candidate.objective_ms, candidate.remaining_ms):
            return LoadDecision.TOO_LATE
        return LoadDecision.ADMITTED


class LoadedFleet:
    """Instances that place requests at targets which take them in order."""

    def __init__(self, seed, streams, policy=LoadAdmission, targets=10, instances=8):
        self.random = random.Random(seed)
        self.streams = streams
        self.free_ms = [0.0] * targets
        self.admissions = [policy() for _ in range(instances)]
        self.restarts = {}
        self.policy = policy
        self.sums = DemandSums()
        self.leader_works = True
        self.outcomes = defaultdict(lambda: defaultdict(int))

    def run(self, duration_ms, rates=None):
        """Send the requests in the order of their arrival."""
        arrivals = sorted(
            (
                self.random.uniform(0, duration_ms),
                number,
                self.random.choice(stream.sizes),
            )
            for number, stream in enumerate(self.streams)
            for _ in range(int(stream.per_s * duration_ms / 1_000))
        )
        for admission in self.admissions:
            admission.set_rates(rates or {})
        due_ms = 0
        for at_ms, number, size in arrivals:
            while due_ms <= at_ms:
                self._exchange(due_ms)
                due_ms += REPORT_MS
            self._send(self.streams[number], size, int(at_ms))

    def _exchange(self, now_ms):
        if not self.leader_works:
            return
        for number, admission in enumerate(self.admissions):
            report = EntryLoad(str(number), 1, {}, demand=admission.report(now_ms))
            self.sums.observe(report, now_ms)
        if now_ms % SUMS_MS == 0:
            rows = self.sums.rows(now_ms)
            for admission in self.admissions:
                admission.apply_sums(rows, now_ms)

    def _send(self, stream, size, now_ms):
        admission = self.random.choice(self.admissions)
        target = min(range(len(self.free_ms)), key=self.free_ms.__getitem__)
        wait_ms = max(0.0, self.free_ms[target] - now_ms)
        candidate = Candidate(
            stream.key, 0, stream.objective_ms, stream.deadline_ms, wait_ms, size
        )
        counts = self.outcomes[(stream.workspace, stream.urgency)]
        counts["all"] += 1
        counts[f"all {size}"] += 1
        if admission.decide(candidate, now_ms) is not LoadDecision.ADMITTED:
            return
        self.free_ms[target] = max(self.free_ms[target], now_ms) + size
        counts["admitted"] += 1
        counts[f"admitted {size}"] += 1
        counts["in time"] += wait_ms + size <= stream.objective_ms

    def part(self, workspace, urgency, what, size=""):
        """Return the part of the requests with an outcome."""
        counts = self.outcomes[(workspace, urgency)]
        suffix = f" {size}" if size else ""
        return counts[what + suffix] / max(1, counts["all" + suffix])
