"""Simulated instances that send requests to refusal-limited targets."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from papayacrank.control._room import RoomAllocator
from papayacrank.forwarding._refusal_limits import RefusalLimitedServices, RoomLeases
from papayacrank.forwarding._room_waits import RETRY_INTERVAL_MS
from papayacrank.messages import EntryLoad, FleetTarget, TargetLoad
from papayacrank.replay._schedule import Schedule

SERVICE = "llm"
REPORT_INTERVAL_MS = 100
LINK_DELAY_MS = 10
MAX_WAIT_MS = 250
DOWN_MS = 3_000
WINDOW_MS = 1_000
SETTLING_MS = 3_000


@dataclass
class Server:
    """Target that fails if it refuses too many requests in a second."""

    slots: int
    room: int
    max_refusals: int
    running: int = 0
    waiting: deque = field(default_factory=deque)
    refused_ms: deque = field(default_factory=deque)
    refusals: int = 0
    falls: int = 0
    served: int = 0
    down_until_ms: int = 0
    start: int = 0


@dataclass
class Instance:
    """Decision code and counters of one instance."""

    own: list
    totals: list
    in_total: list
    refusal_limited: RefusalLimitedServices = field(
        default_factory=RefusalLimitedServices
    )
    leases: RoomLeases = field(default_factory=RoomLeases)
    reports: dict = field(default_factory=dict)
    sequence: int = 0
    waiting: int = 0


class RefusalSimulation:
    """Instances, targets and a leader that passes on loads with delays.

    Parameters
    ----------
    instances, servers, slots, seed : int
        Size and seed.
    load : float
        Requests relative to what the targets can serve.
    service_ms : float
        Mean service time, exponentially distributed.
    knows : bool
        Whether instances apply what targets state.
    """

    def __init__(
        self,
        instances,
        servers,
        slots,
        seed,
        load,
        service_ms=200.0,
        max_refusals=5,
        knows=True,
    ):
        self.random = Random(seed)
        self.knows = knows
        self.refused = 0
        self.offered = 0
        self.capacity_per_ms = servers * slots / service_ms
        self._service_ms = service_ms
        self._rate = load * self.capacity_per_ms
        self._schedule = Schedule()
        self._leader = RoomAllocator()
        self._targets = [
            FleetTarget(f"t{n}", "", SERVICE, "", slots=slots) for n in range(servers)
        ]
        self._reported = {}
        self.servers = [Server(slots, 1, max_refusals) for _ in range(servers)]
        self.instances = [
            Instance([0] * servers, [0] * servers, [0] * servers)
            for _ in range(instances)
        ]
        for instance in self.instances:
            instance.refusal_limited.on_response(SERVICE, "t0", 5.0, False, 0)
        for number in range(instances):
            self._schedule.call_later(self.random.uniform(0, 100), self._report, number)
        self._schedule.call_later(50, self._push)
        self._schedule.call_later(0, self._arrive)

    @property
    def now_ms(self):
        """Simulated time in milliseconds."""
        return self._schedule.now_ms

    @property
    def falls(self):
        """Number of times that targets have failed."""
        return sum(server.falls for server in self.servers)

    @property
    def served(self):
        """Number of requests served."""
        return sum(server.served for server in self.servers)

    def run(self, duration_ms):
        """Run for some time."""
        self._schedule.run(duration_ms)

    # Load reports

    def _report(self, number):
        instance = self.instances[number]
        instance.sequence += 1
        loads = list(instance.own)
        instance.reports[instance.sequence] = loads
        refusal_limited, full = instance.refusal_limited.take_unreported()
        report = EntryLoad(
            f"i{number}",
            instance.sequence,
            {f"t{n}": TargetLoad(count) for n, count in enumerate(loads) if count},
            refusal_limited=refusal_limited,
            full=full,
            wanted=instance.leases.take_demand([SERVICE]),
            leases=dict(instance.leases.held),
        )
        self._schedule.call_later(LINK_DELAY_MS, self._receive_report, report)
        self._schedule.call_later(REPORT_INTERVAL_MS, self._report, number)

    def _receive_report(self, report):
        self._reported[report.instance] = report
        self._leader.observe(report, int(self.now_ms))

    def _push(self):
        now_ms = int(self.now_ms)
        up = [
            target
            for target, server in zip(self._targets, self.servers, strict=True)
            if server.down_until_ms <= now_ms
        ]
        self._leader.divide(up, self._reported.values(), now_ms)
        totals = [0] * len(self.servers)
        for report in self._reported.values():
            for name, load in report.loads.items():
                totals[int(name[1:])] += load.running
        services = self._leader.list_services(now_ms)
        for number in range(len(self.instances)):
            report = self._reported.get(f"i{number}")
            arguments = (
                number,
                report.sequence if report is not None else 0,
                totals,
                services,
                self._leader.leases_of(f"i{number}"),
            )
            self._schedule.call_later(LINK_DELAY_MS, self._receive_totals, *arguments)
        self._schedule.call_later(REPORT_INTERVAL_MS, self._push)

    def _receive_totals(self, number, sequence, totals, services, leases):
        instance = self.instances[number]
        instance.totals = totals
        instance.in_total = instance.reports.get(sequence, instance.in_total)
        instance.reports = {n: r for n, r in instance.reports.items() if n >= sequence}
        instance.refusal_limited.on_reported(services, int(self.now_ms))
        if leases is not None:
            instance.leases.apply(services, leases)

    # Requests

    def _arrive(self):
        self._schedule.call_later(self.random.expovariate(self._rate), self._arrive)
        self.offered += 1
        number = self.random.randrange(len(self.instances))
        self._place(number, self.now_ms + MAX_WAIT_MS)

    def _place(self, number, until_ms, waits=False):
        instance = self.instances[number]
        instance.waiting -= waits
        demand = sum(instance.own) + instance.waiting + 1
        instance.leases.note_demand(SERVICE, demand)
        usable = [t for t in range(len(self.servers)) if self._may_send(instance, t)]
        if usable:
            chosen = min(
                usable,
                key=lambda t: (self._estimate(instance, t), self.random.random()),
            )
            instance.own[chosen] += 1
            self._schedule.call_later(1, self._receive, number, chosen)
        elif self.now_ms + RETRY_INTERVAL_MS <= until_ms:
            instance.waiting += 1
            self._schedule.call_later(
                RETRY_INTERVAL_MS, self._place, number, until_ms, True
            )
        else:
            self.refused += 1

    @staticmethod
    def _estimate(instance, target):
        others = instance.totals[target] - instance.in_total[target]
        return max(0, others) + instance.own[target]

    def _may_send(self, instance, target):
        if self.servers[target].down_until_ms > self.now_ms:
            return False
        if not self.knows or not instance.refusal_limited.is_refusal_limited(
            SERVICE, self.now_ms
        ):
            return True
        name = f"t{target}"
        return not instance.refusal_limited.is_full(
            name, self.now_ms
        ) and instance.leases.may_send(SERVICE, name, instance.own[target])

    def _receive(self, number, target):
        server = self.servers[target]
        if server.down_until_ms > self.now_ms:
            self._answer(number, target, server.start, False)
        elif server.running < server.slots:
            server.running += 1
            self._serve(number, target)
        elif len(server.waiting) < server.room:
            server.waiting.append(number)
        else:
            self._refuse(number, target)

    def _serve(self, number, target):
        delay_ms = self.random.expovariate(1 / self._service_ms)
        self._schedule.call_later(
            delay_ms, self._finish, number, target, self.servers[target].start
        )

    def _finish(self, number, target, start):
        server = self.servers[target]
        if server.start != start:
            return
        server.served += 1
        self._schedule.call_later(1, self._answer, number, target, start, False)
        if server.waiting:
            self._serve(server.waiting.popleft(), target)
        else:
            server.running -= 1

    def _refuse(self, number, target):
        server = self.servers[target]
        server.refusals += 1
        server.refused_ms.append(self.now_ms)
        while server.refused_ms[0] <= self.now_ms - WINDOW_MS:
            server.refused_ms.popleft()
        self._schedule.call_later(1, self._answer, number, target, server.start, True)
        is_settled = self.now_ms >= SETTLING_MS
        if is_settled and len(server.refused_ms) > server.max_refusals:
            self._fall(target)

    def _fall(self, target):
        server = self.servers[target]
        server.falls += 1
        server.start += 1
        server.down_until_ms = self.now_ms + DOWN_MS
        server.running = 0
        server.waiting.clear()
        server.refused_ms.clear()
        for instance in self.instances:
            instance.own[target] = 0

    def _answer(self, number, target, start, is_full):
        instance = self.instances[number]
        if self.servers[target].start == start:
            instance.own[target] = max(0, instance.own[target] - 1)
        if self.knows:
            name = f"t{target}"
            instance.refusal_limited.on_response(
                SERVICE, name, 5.0, is_full, int(self.now_ms)
            )
