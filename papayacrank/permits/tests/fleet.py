"""Simulated fleet of instances that send to targets with a request rate limit."""

import heapq
import itertools
import random
from collections import Counter

import msgspec

from papayacrank.messages import PermitReply, PermitRequest, PermitReturn, TargetRates
from papayacrank.permits import (
    PermitAllocator,
    PermitClient,
    PermitOutcome,
    RateStatement,
)

HEARTBEAT_MS = 500
POLL_MS = 100
REPLY_TIMEOUT_MS = 150
# Time from the loss of a leader to the first action of the next one; the lease of the
# lost one has ended by then.
ELECTION_MS = 1_200
# Time from a start to the first view of the targets.
START_MS = 600
MAX_WAIT_MS = 300


class SimulatedTarget:
    """Target that records its requests and states its limit in its responses."""

    def __init__(self, name):
        self.name = name
        self.per_s = None
        self.arrivals = []

    def max_in_a_window(self, window_ms, from_ms=0):
        """Return the maximum number of arrivals in any window after a time."""
        times = [t for t in self.arrivals if t >= from_ms]
        first = most = 0
        for last, time_ms in enumerate(times):
            while times[first] <= time_ms - window_ms:
                first += 1
            most = max(most, last - first + 1)
        return most

    def count_between(self, from_ms, until_ms):
        """Return the number of arrivals in an interval."""
        return sum(from_ms <= t < until_ms for t in self.arrivals)


class _Instance:
    def __init__(self, name):
        self.name = name
        self.generation = 0
        self.client = None
        self.is_ready = False
        self.is_frozen = False
        self.is_cut = False
        self.inbox = []
        self.leader_term = 0


class SimulatedFleet:
    """Instances, a leader and targets on a network with delays, losses and faults.

    Parameters
    ----------
    instances : int
        Number of instances.
    targets : int
        Number of targets; requests choose among them at random.
    requests_per_s : float
        Rate of all requests together.
    seed : int
        Seed of the random choices.
    """

    def __init__(self, instances, targets, requests_per_s, seed, loss=0.0):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.targets = [SimulatedTarget(f"t{n}") for n in range(targets)]
        self.refused = 0
        self.sent = 0
        self.messages = Counter()
        self.message_bytes = Counter()
        self._loss = loss
        self._requests_per_s = requests_per_s
        self._numbers = itertools.count()
        self._queue = []
        self._term = 1
        self._leader = PermitAllocator()
        self._leader.reset(1)
        self._leader_frozen = False
        self._instances = [_Instance(f"i{n}") for n in range(instances)]
        for instance in self._instances:
            self._start(instance, 0)
            instance.is_ready = True
        self.at(0, self._arrive)

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

    # Faults

    def restart(self, instance):
        """Kill an instance and start it again without any state."""
        instance.generation += 1
        instance.is_ready = False
        instance.is_frozen = False
        instance.inbox = []
        delay_ms = self.random.randint(200, 1_000)
        self.after(delay_ms, self._start, instance, instance.generation)

    def freeze(self, instance, for_ms):
        """Suspend an instance; its messages wait until it continues."""
        instance.is_frozen = True
        self.after(for_ms, self._thaw, instance, instance.generation)

    def cut(self, instance, for_ms):
        """Cut an instance off from the leader."""
        instance.is_cut = True
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
        """Cause a random fault now."""
        kind = self.random.choice(["restart", "freeze", "cut", "leader", "handover"])
        if kind == "restart":
            for _ in range(self.random.randint(1, max(1, len(self._instances) // 4))):
                self.restart(self.pick())
        elif kind == "freeze":
            self.freeze(self.pick(), self.random.randint(50, 4_000))
        elif kind == "cut":
            for _ in range(self.random.randint(1, max(1, len(self._instances) // 3))):
                self.cut(self.pick(), self.random.randint(200, 6_000))
        elif not self._leader_frozen:
            self.lose_leader(0 if kind == "leader" else 1)

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
        self._leader = PermitAllocator()
        self._leader.reset(term)
        self._leader_frozen = False

    # Instances

    def _start(self, instance, generation):
        if instance.generation != generation:
            return
        instance.client = PermitClient(f"{instance.name}@{instance.generation}")
        instance.leader_term = 0
        self.after(self.random.randint(0, POLL_MS), self._poll, instance, generation)
        self.after(
            self.random.randint(0, HEARTBEAT_MS), self._beat, instance, generation
        )

    def _do(self, instance, generation, action, *arguments):
        """Run an action of an instance, later if it is suspended."""
        if instance.generation != generation:
            return
        if instance.is_frozen:
            instance.inbox.append((action, arguments))
        else:
            action(*arguments)

    def _poll(self, instance, generation):
        self.after(POLL_MS, self._poll, instance, generation)
        self._do(instance, generation, self._report, instance)

    def _report(self, instance):
        instance.client.set_term(instance.leader_term)
        for message in instance.client.poll(self.now_ms):
            self._send_to_leader(instance, message)

    def _beat(self, instance, generation):
        if instance.generation != generation:
            return
        self.after(HEARTBEAT_MS, self._beat, instance, generation)
        if not instance.is_frozen and not instance.is_cut and self._delivers():
            self.after(
                self._delay(),
                self._on_beat,
                instance,
                generation,
                instance.client.position,
            )

    def _on_beat(self, instance, generation, position):
        if self._leader_frozen:
            return
        own = self._leader.position
        table = None
        if own[1] and position < own:
            table = self._leader.table()
        self._reply(instance, generation, self._on_ack, instance, self._term, table)

    def _on_ack(self, instance, term, table):
        instance.leader_term = max(instance.leader_term, term)
        if table is not None:
            instance.client.apply_rates(table)
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
        self.message_bytes[name] += len(msgspec.msgpack.encode(message))

    def _send_to_leader(self, instance, message):
        if instance.is_cut or not self._delivers():
            return
        self._count(message)
        self.after(
            self._delay(), self._on_leader, instance, instance.generation, message
        )

    def _on_leader(self, instance, generation, message):
        if self._leader_frozen:
            return
        if isinstance(message, PermitRequest):
            reply = self._leader.request(message, self.now_ms)
            self._send_to_instance(instance, generation, reply)
        elif isinstance(message, PermitReturn):
            self._leader.give_back(message, self.now_ms)
        else:
            for observation in message.observations:
                self._leader.observe(observation, message.instance, self.now_ms)
        change = self._leader.pop_change()
        if change is not None:
            for other in self._instances:
                self._send_to_instance(other, other.generation, change)

    def _send_to_instance(self, instance, generation, message):
        self._count(message)
        self._reply(instance, generation, self._on_message, instance, message)

    def _reply(self, instance, generation, action, *arguments):
        if instance.is_cut or not self._delivers():
            return
        self.after(self._delay(), self._do, instance, generation, action, *arguments)

    def _on_message(self, instance, message):
        if isinstance(message, TargetRates):
            instance.client.apply_rates(message)
        elif isinstance(message, PermitReply):
            decision, messages = instance.client.receive(message, self.now_ms)
            for returned in messages:
                self._send_to_leader(instance, returned)
            if decision is not None:
                self._on_decision(instance, decision)

    # Requests

    def _arrive(self):
        interval_ms = self.random.expovariate(self._requests_per_s) * 1_000
        self.after(max(1, round(interval_ms)), self._arrive)
        instance = self.pick()
        if instance.is_ready:
            self._do(
                instance,
                instance.generation,
                self._place,
                instance,
                str(next(self._numbers)),
                set(),
            )

    def _place(self, instance, request_id, refused):
        client, now_ms = instance.client, self.now_ms
        usable = [
            target
            for target in self.targets
            if target.name not in refused
            and client.wait_ms(target.name, now_ms) <= MAX_WAIT_MS
        ]
        if not usable or len(refused) >= 3:
            self.refused += 1
            return
        target = self.random.choice(usable)
        if client.rate_of(target.name) is None:
            self._send(instance, target)
            return
        request = client.request(request_id, target.name, MAX_WAIT_MS, now_ms)
        instance.refused_by_request = getattr(instance, "refused_by_request", {})
        instance.refused_by_request[request_id] = refused
        self._send_to_leader(instance, request)
        self.after(
            REPLY_TIMEOUT_MS,
            self._do,
            instance,
            instance.generation,
            self._abandon,
            instance,
            request_id,
        )

    def _abandon(self, instance, request_id):
        decision = instance.client.abandon(request_id, self.now_ms)
        if decision is not None:
            self._on_decision(instance, decision)

    def _on_decision(self, instance, decision):
        refused = instance.refused_by_request.pop(decision.request_id, set())
        target = next(t for t in self.targets if t.name == decision.target)
        if decision.outcome is PermitOutcome.GRANTED:
            delay_ms = max(0, decision.permit.from_ms - self.now_ms)
            self.after(
                delay_ms,
                self._do,
                instance,
                instance.generation,
                self._use,
                instance,
                target,
                decision.permit,
            )
        elif decision.outcome is PermitOutcome.UNLIMITED:
            self._send(instance, target)
        else:
            self._place(instance, decision.request_id, refused | {target.name})

    def _use(self, instance, target, permit):
        if self.now_ms < permit.until_ms:
            self._send(instance, target)

    def _send(self, instance, target):
        knowledge = instance.client.knowledge_of(target.name)
        self.sent += 1
        self.after(1, self._on_target, instance, instance.generation, target, knowledge)

    def _on_target(self, instance, generation, target, knowledge):
        target.arrivals.append(self.now_ms)
        per_s = target.per_s
        statement = None if per_s is None else RateStatement(per_s, str(per_s))
        self.after(
            self.random.randint(5, 400),
            self._do,
            instance,
            generation,
            self._on_response,
            instance,
            target,
            statement,
            knowledge,
        )

    def _on_response(self, instance, target, statement, knowledge):
        messages = instance.client.observe(
            target.name, 0, statement, knowledge, True, "r", self.now_ms
        )
        for message in messages:
            self._send_to_leader(instance, message)
