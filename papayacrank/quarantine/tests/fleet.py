"""Simulated fleet of instances and targets that crash on prompt parts."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from papayacrank.messages import (
    CrashReport,
    PartsCleared,
    QuarantineKnowledge,
    QuarantineTable,
    SuspectRequest,
    TrialEnded,
    TrialRequest,
)
from papayacrank.quarantine import (
    PartsAdmission,
    QuarantineClient,
    QuarantinePort,
    QuarantineRegistry,
    TrialOutcome,
)

HEARTBEAT_MS = 500
POLL_MS = 100
TICK_MS = 50
# Time from the loss of a leader to the first action of the next one.
ELECTION_MS = 1_200
# Time from a start to the first view of the targets.
START_MS = 600
CONTACT_MS = 3_000
# Crashes of one part, and of one request, after which requests with it are counted.
FREE_CRASHES = 5
FREE_CRASHES_OF_REQUEST = 3


@dataclass
class Mix:
    """Requests that callers send.

    Attributes
    ----------
    deadly : dict of str to float
        Share of all requests by part that crashes targets.
    deadly_requests : dict of str to float
        Share of all requests by name of a repeated request that crashes targets.
    deadly_request_parts : tuple of str
        Shared parts of the deadly requests.
    hot_requests : int
        Number of sound requests without parts that are repeated.
    hot_ms : int
        Time between two repeats of one of these.
    companions : dict of str to list of str
        Parts that always come with a deadly one.
    rare_ms : int
        Time between requests with each of the rare sound parts.
    slow_share : float
        Share of the requests whose response is only seen when it is complete.
    """

    deadly: dict[str, float] = field(default_factory=dict)
    deadly_requests: dict[str, float] = field(default_factory=dict)
    deadly_request_parts: tuple[str, ...] = ("rules", "station-1")
    hot_requests: int = 0
    hot_ms: int = 1_000
    companions: dict[str, list[str]] = field(default_factory=dict)
    position: str = "any"
    workspaces: int = 6
    stations: int = 20
    rare_parts: int = 4
    rare_ms: int = 8_000
    slow_share: float = 0.2


@dataclass
class _Request:
    number: int
    workspace: str
    names: tuple[str, ...]
    deadly: str | None
    is_slow: bool
    attempts: int = 0
    crashes: int = 0
    trial: int = 0
    arrived_ms: int = 0


@dataclass(eq=False)
class _Attempt:
    instance: "_Instance"
    generation: int
    request: _Request
    target: "SimulatedTarget"
    start: int
    trial: int
    is_begun: bool = False
    is_known_begun: bool = False


class SimulatedTarget:
    """Target that may crash and starts again."""

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.start = 1
        self.is_up = True
        self.attempts = {}


class _Clock:
    def __init__(self, fleet):
        self._fleet = fleet

    def now_ms(self):
        return self._fleet.now_ms


class _Timers:
    """Timers of one start of an instance; they wait while it is suspended."""

    def __init__(self, fleet, instance):
        self._fleet = fleet
        self._instance = instance
        self._generation = instance.generation
        self._names = {}

    def set(self, name, at_ms, callback):
        mark = self._names[name] = object()
        self._fleet.at(
            at_ms,
            self._fleet.do,
            self._instance,
            self._generation,
            self._fire,
            name,
            mark,
            callback,
        )

    def cancel(self, name):
        self._names.pop(name, None)

    def _fire(self, name, mark, callback):
        if self._names.get(name) is mark:
            del self._names[name]
            callback()


class _Instance:
    def __init__(self, name):
        self.name = name
        self.generation = 0
        self.port = None
        self.is_ready = False
        self.is_frozen = False
        self.is_cut = False
        self.inbox = []
        self.leader_term = 0
        self.disturbed_ms = -CONTACT_MS
        # Targets of which a lost connection is checked, with their lost attempts.
        self.lost = {}


class SimulatedFleet:
    """Instances, a leader and targets on a network with delays, losses and faults.

    Parameters
    ----------
    instances, targets : int
        Numbers of instances and targets.
    requests_per_s : float
        Rate of all requests together.
    mix : Mix
        Requests that callers send.
    seed : int
        Seed of the random choices.
    loss : float
        Share of the messages that are lost.
    """

    def __init__(self, instances, targets, requests_per_s, mix, seed, loss=0.0):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.mix = mix
        self.targets = [SimulatedTarget(f"t{n}", n % 3) for n in range(targets)]
        self.messages = Counter()
        self.message_bytes = Counter()
        self.outcomes = Counter()
        # Crash times and arrivals at targets by deadly name; an arrival is its time
        # and whether the sender was in touch.
        deadly = [*mix.deadly, *mix.deadly_requests]
        self.crashes = {name: [] for name in deadly}
        self.arrivals = {name: [] for name in deadly}
        # Arrival time of sound requests and whether they began at the first attempt.
        self.sound = []
        self.verdicts = {}
        self.max_suspicions = 0
        self.crashes_until_verdict = {}
        self._rate = requests_per_s
        self._loss = loss
        self._numbers = itertools.count(1)
        self._queue = []
        self._term = 1
        self._leader = QuarantineRegistry()
        self._leader.reset(1)
        self._leader_frozen = False
        self._instances = [_Instance(f"i{n}") for n in range(instances)]
        for instance in self._instances:
            self._start(instance, 0)
            instance.is_ready = True
        self.at(0, self._arrive)
        self.at(0, self._tick)
        for number in range(mix.rare_parts):
            self.at(
                self.random.randint(0, mix.rare_ms), self._arrive_rare, f"rare-{number}"
            )
        for number in range(mix.hot_requests):
            self.at(
                self.random.randint(0, mix.hot_ms),
                self._arrive_hot,
                f"request:hot-{number}",
            )

    # Schedule

    def at(self, at_ms, action, *arguments):
        """Schedule an action at a time in milliseconds."""
        heapq.heappush(self._queue, (at_ms, next(self._numbers), action, arguments))

    def after(self, delay_ms, action, *arguments):
        """Schedule an action after a delay in milliseconds."""
        self.at(self.now_ms + delay_ms, action, *arguments)

    def run(self, until_ms):
        """Run the simulation until a time in milliseconds."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        self.now_ms = until_ms

    # Results

    def late_arrivals(self, part, in_touch=True):
        """Return the number of requests that reach targets too late.

        Parameters
        ----------
        part : str
            Deadly part or request.
        in_touch : bool
            Whether only those of undisturbed instances are counted.
        """
        times = self.crashes[part]
        is_whole = part in self.mix.deadly_requests
        free = FREE_CRASHES_OF_REQUEST if is_whole else FREE_CRASHES
        if len(times) < free:
            return 0
        from_ms = times[free - 1] + CONTACT_MS
        return sum(
            at_ms > from_ms and (was_in_touch or not in_touch)
            for at_ms, was_in_touch in self.arrivals[part]
        )

    def false_verdicts(self):
        """Return the verdicts that refuse sound requests."""
        deadly = self.crashes.keys()
        return [parts for parts in self.verdicts.values() if not parts & deadly]

    def sound_share(self, from_ms):
        """Return the share of sound requests that began at their first attempt."""
        begun = [is_first for at_ms, is_first in self.sound if at_ms >= from_ms]
        return sum(begun) / max(1, len(begun))

    # Faults

    def restart(self, instance):
        """Kill an instance and start it again without any state."""
        instance.generation += 1
        instance.is_ready = False
        instance.is_frozen = False
        instance.inbox = []
        instance.lost = {}
        for target in self.targets:
            for attempt in [a for a in target.attempts if a.instance is instance]:
                del target.attempts[attempt]
        delay_ms = self.random.randint(200, 1_000)
        instance.disturbed_ms = self.now_ms + delay_ms
        self.after(delay_ms, self._start, instance, instance.generation)

    def freeze(self, instance, for_ms):
        """Suspend an instance; its messages wait until it continues."""
        instance.is_frozen = True
        instance.disturbed_ms = self.now_ms + for_ms
        self.after(for_ms, self._thaw, instance, instance.generation)

    def cut(self, instance, for_ms):
        """Cut an instance off from the leader."""
        instance.is_cut = True
        instance.disturbed_ms = max(instance.disturbed_ms, self.now_ms + for_ms)
        self.after(for_ms, self._join, instance)

    def lose_leader(self, kept_ms=0):
        """Replace the leader; the old one answers for `kept_ms` more."""
        if kept_ms:
            self.after(kept_ms, self._elect, self._term + 1)
        else:
            self._leader_frozen = True
            self.after(ELECTION_MS, self._elect, self._term + 1)

    def pick(self):
        """Return a random instance."""
        return self.random.choice(self._instances)

    def cause_fault(self):
        """Cause a random fault of instances or the leader now."""
        kind = self.random.choice(["restart", "freeze", "cut", "leader", "handover"])
        count = len(self._instances)
        if kind == "restart":
            for _ in range(self.random.randint(1, max(1, count // 4))):
                self.restart(self.pick())
        elif kind == "freeze":
            self.freeze(self.pick(), self.random.randint(50, 4_000))
        elif kind == "cut":
            for _ in range(self.random.randint(1, max(1, count // 3))):
                self.cut(self.pick(), self.random.randint(200, 6_000))
        elif not self._leader_frozen:
            self.lose_leader(0 if kind == "leader" else 1)

    def crash_one(self):
        """Crash a random target without any request being the cause."""
        up = [target for target in self.targets if target.is_up]
        if up:
            self._crash(self.random.choice(up))

    def crash_domain(self):
        """Crash all targets of a failure domain within 100 ms."""
        domain = self.random.randrange(3)
        for target in self.targets:
            if target.domain == domain and target.is_up:
                self.after(self.random.randint(0, 100), self._crash, target)

    def _thaw(self, instance, generation):
        if instance.generation != generation:
            return
        instance.is_frozen = False
        inbox, instance.inbox = instance.inbox, []
        for action, arguments in inbox:
            action(*arguments)

    def _join(self, instance):
        instance.is_cut = False

    def _elect(self, term):
        if term <= self._term:
            return
        self._term = term
        self._leader = QuarantineRegistry()
        self._leader.reset(term)
        self._leader_frozen = False

    def _is_in_touch(self, instance):
        return self.now_ms - instance.disturbed_ms >= CONTACT_MS

    # Leader

    def _tick(self):
        self.after(TICK_MS, self._tick)
        if not self._leader_frozen:
            self._leader.tick(self.now_ms)
            self._push()

    def _push(self):
        change = self._leader.pop_change(self.now_ms)
        if change is None:
            return
        table = self._leader.table(self.now_ms)
        self.max_suspicions = max(self.max_suspicions, len(table.suspicions))
        for verdict in table.verdicts:
            self.verdicts[(verdict.number, tuple(verdict.parts))] = set(verdict.parts)
            for part in verdict.parts:
                if part in self.crashes:
                    self.crashes_until_verdict.setdefault(part, len(self.crashes[part]))
        for instance in self._instances:
            self._send_to_instance(instance, instance.generation, change)

    def _on_leader(self, instance, generation, message):
        if self._leader_frozen:
            return
        leader, now_ms = self._leader, self.now_ms
        if isinstance(message, TrialRequest):
            reply = leader.request_trial(message, now_ms)
            self._send_to_instance(instance, generation, reply)
        elif isinstance(message, CrashReport):
            leader.report_crash(message, now_ms)
        elif isinstance(message, PartsCleared):
            leader.clear(message, now_ms)
        elif isinstance(message, QuarantineKnowledge):
            leader.learn(message, now_ms)
        elif isinstance(message, TrialEnded):
            leader.end_trial(message, now_ms)
        self._push()

    # Instances

    def _start(self, instance, generation):
        if instance.generation != generation:
            return
        client = QuarantineClient(f"{instance.name}@{generation}")
        instance.port = QuarantinePort(
            client,
            lambda message: self._send_to_leader(instance, message),
            _Clock(self),
            _Timers(self, instance),
        )
        instance.leader_term = 0
        self.after(self.random.randint(0, POLL_MS), self._poll, instance, generation)
        self.after(
            self.random.randint(0, HEARTBEAT_MS), self._beat, instance, generation
        )

    def do(self, instance, generation, action, *arguments):
        """Run an action of an instance, later if it is suspended."""
        if instance.generation != generation:
            return
        if instance.is_frozen:
            instance.inbox.append((action, arguments))
        else:
            action(*arguments)

    def _poll(self, instance, generation):
        if instance.generation != generation:
            return
        self.after(POLL_MS, self._poll, instance, generation)
        if not instance.is_frozen:
            instance.port.poll(instance.leader_term)

    def _beat(self, instance, generation):
        if instance.generation != generation:
            return
        self.after(HEARTBEAT_MS, self._beat, instance, generation)
        if not instance.is_frozen and not instance.is_cut and self._delivers():
            position = instance.port.client.position
            self.after(self._delay(), self._on_beat, instance, generation, position)

    def _on_beat(self, instance, generation, position):
        if self._leader_frozen:
            return
        own = self._leader.position
        table = None
        if own[1] and position < own:
            table = self._leader.table(self.now_ms)
        self._reply(instance, generation, self._on_ack, instance, self._term, table)

    def _on_ack(self, instance, term, table):
        instance.leader_term = max(instance.leader_term, term)
        if table is not None:
            instance.port.receive(table)
        if not instance.is_ready:
            self.after(START_MS, self._set_ready, instance, instance.generation)

    def _set_ready(self, instance, generation):
        if instance.generation == generation:
            instance.is_ready = True

    # Network

    def _delay(self):
        return self.random.randint(1, 10)

    def _delivers(self):
        return self.random.random() >= self._loss

    def _count(self, message):
        name = type(message).__name__
        self.messages[name] += 1
        if not isinstance(message, QuarantineTable):
            self.message_bytes[name] += len(msgspec.msgpack.encode(message))

    def _send_to_leader(self, instance, message):
        if instance.leader_term == 0:
            return False
        if instance.is_cut or not self._delivers():
            return True
        self._count(message)
        self.after(
            self._delay(), self._on_leader, instance, instance.generation, message
        )
        return True

    def _send_to_instance(self, instance, generation, message):
        self._count(message)
        self._reply(instance, generation, self._on_message, instance, message)

    def _reply(self, instance, generation, action, *arguments):
        if instance.is_cut or not self._delivers():
            return
        self.after(self._delay(), self.do, instance, generation, action, *arguments)

    def _on_message(self, instance, message):
        instance.port.receive(message)

    # Requests

    def _arrive(self):
        interval_ms = self.random.expovariate(self._rate) * 1_000
        self.after(max(1, round(interval_ms)), self._arrive)
        self._offer(self._build_request())

    def _arrive_rare(self, part):
        self.after(self.mix.rare_ms, self._arrive_rare, part)
        self._offer(self._request(["rules", part], None))

    def _build_request(self):
        draw = self.random.random()
        for part, share in self.mix.deadly.items():
            draw -= share
            if draw < 0:
                return self._build_deadly(part)
        for name, share in self.mix.deadly_requests.items():
            draw -= share
            if draw < 0:
                parts = self.mix.deadly_request_parts
                return self._request(parts, name, name, "w0")
        parts = ["rules", f"station-{self._draw_station()}"]
        if self.random.random() < 0.3:
            parts.append(f"history-{next(self._numbers)}")
        return self._request(parts, None)

    def _draw_station(self):
        """Return the number of a station; the first ones are frequent."""
        return min(
            self.mix.stations - 1, int(self.random.expovariate(4 / self.mix.stations))
        )

    def _build_deadly(self, part):
        mix = self.mix
        parts = ["rules", f"station-{self._draw_station()}"]
        if mix.rare_parts and self.random.random() < 0.3:
            parts.append(f"rare-{self.random.randrange(mix.rare_parts)}")
        positions = {
            "first": [0],
            "middle": [1],
            "any": list(range(len(parts) + 1)),
        }
        at = self.random.choice(positions[mix.position])
        parts[at:at] = [part, *mix.companions.get(part, [])]
        return self._request(parts, part)

    def _arrive_hot(self, name):
        self.after(self.mix.hot_ms, self._arrive_hot, name)
        self._offer(self._request([], None, name, "w0"))

    def _request(self, parts, deadly, name=None, workspace=None):
        number = next(self._numbers)
        return _Request(
            number,
            workspace or f"w{self.random.randrange(self.mix.workspaces)}",
            (name or f"request:{number}", *parts),
            deadly,
            self.random.random() < self.mix.slow_share,
            arrived_ms=self.now_ms,
        )

    def _offer(self, request):
        instance = self.pick()
        if instance.is_ready:
            self.do(instance, instance.generation, self._admit, instance, request)

    def _admit(self, instance, request):
        port = instance.port
        known = port.client.check(request.workspace, request.names, self.now_ms)
        if known.admission is PartsAdmission.REFUSED:
            self._end(request, "refused")
        elif known.admission is PartsAdmission.ALLOWED:
            self._send(instance, request)
        else:
            port.acquire_trial(
                str(request.number),
                request.workspace,
                request.names,
                lambda decision: self._on_trial(instance, request, decision),
                "r",
            )

    def _on_trial(self, instance, request, decision):
        if decision.outcome is TrialOutcome.GRANTED:
            request.trial = decision.trial
            self._send(instance, request)
        elif decision.outcome is TrialOutcome.NOT_NEEDED:
            self._send(instance, request)
        else:
            self._end(request, decision.outcome.value)

    def _end(self, request, outcome):
        kind = "deadly" if request.deadly else "sound"
        self.outcomes[f"{kind} {outcome}"] += 1
        if request.deadly is None:
            is_first = outcome == "begun" and request.attempts == 1
            self.sound.append((request.arrived_ms, is_first))

    def _send(self, instance, request):
        usable = [target for target in self.targets if target.is_up]
        if not usable:
            instance.port.end_trial(request.trial)
            self._end(request, "no_target")
            return
        target = self.random.choice(usable)
        request.attempts += 1
        attempt = _Attempt(
            instance,
            instance.generation,
            request,
            target,
            target.start,
            request.trial,
        )
        request.trial = 0
        self.after(1, self._on_target, attempt)

    def _on_target(self, attempt):
        target, request = attempt.target, attempt.request
        if attempt.instance.generation != attempt.generation:
            return
        if not target.is_up:
            self._tell(attempt, self._on_refused, attempt)
            return
        if request.deadly:
            self.arrivals[request.deadly].append(
                (self.now_ms, self._is_in_touch(attempt.instance))
            )
        target.attempts[attempt] = None
        if request.is_slow and not request.deadly:
            delay_ms = self.random.randint(500, 4_000)
        else:
            delay_ms = self.random.randint(20, 600)
        self.after(delay_ms, self._begin, attempt)

    def _tell(self, attempt, action, *arguments):
        """Let the instance of an attempt act, after the delay of the network."""
        self.after(
            self.random.randint(1, 5),
            self.do,
            attempt.instance,
            attempt.generation,
            action,
            *arguments,
        )

    def _begin(self, attempt):
        if attempt not in attempt.target.attempts:
            return
        if attempt.request.deadly:
            self.crashes[attempt.request.deadly].append(self.now_ms)
            self._crash(attempt.target)
            return
        attempt.is_begun = True
        self._tell(attempt, self._on_begun, attempt)
        lasts_ms = 0 if attempt.request.is_slow else self.random.randint(0, 3_000)
        self.after(lasts_ms, attempt.target.attempts.pop, attempt, None)

    def _on_begun(self, attempt):
        attempt.is_known_begun = True
        attempt.instance.port.on_begun(attempt.request.names)
        attempt.instance.port.end_trial(attempt.trial)
        self._end(attempt.request, "begun")

    def _crash(self, target):
        if not target.is_up:
            return
        target.is_up = False
        attempts, target.attempts = target.attempts, {}
        for attempt in attempts:
            if not attempt.is_known_begun:
                self._tell(attempt, self._on_lost, attempt)
        self.after(self.random.randint(1_500, 4_000), self._restart_target, target)

    def _restart_target(self, target):
        target.start += 1
        target.is_up = True

    def _on_refused(self, attempt):
        attempt.instance.port.end_trial(attempt.trial)
        self._admit_again(attempt)

    def _on_lost(self, attempt):
        """Check whether the target of a lost connection refuses others."""
        if attempt.is_known_begun:
            return
        instance, key = attempt.instance, (attempt.target.name, attempt.start)
        if key in instance.lost:
            instance.lost[key].append(attempt)
            return
        instance.lost[key] = [attempt]
        self.after(
            self.random.randint(2, 40),
            self.do,
            instance,
            attempt.generation,
            self._on_checked,
            instance,
            attempt.target,
            attempt.start,
            self.now_ms,
        )

    def _on_checked(self, instance, target, start, lost_ms):
        attempts = instance.lost.pop((target.name, start), [])
        suspects = [
            SuspectRequest(a.request.workspace, list(a.request.names), a.trial)
            for a in attempts
        ]
        instance.port.report_crash(target.name, start, lost_ms, None, suspects)
        for attempt in attempts:
            attempt.request.crashes += 1
            self._admit_again(attempt)

    def _admit_again(self, attempt):
        request = attempt.request
        if request.crashes >= 2 or request.attempts >= 3:
            self._end(request, "failed")
            return
        self._admit(attempt.instance, request)
