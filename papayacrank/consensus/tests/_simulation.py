"""Deterministic simulation of a group with its network, disks and clocks."""

import heapq
from collections import deque
from dataclasses import replace
from functools import partial
from random import Random

import msgspec

from papayacrank.consensus import (
    Committed,
    InstallState,
    LogStore,
    LogStoreError,
    Persist,
    Promote,
    RaftNode,
    RaftSettings,
    Remove,
)
from papayacrank.consensus.tests._disk import SimulatedCrashError, SimulatedFiles
from papayacrank.kernel import Send, SetTimer

SETTINGS = RaftSettings(name="", voter_silence_ms=3_000, snapshot_every_entries=25)
DOMAINS = ("east", "west", "north")
SEGMENT_BYTES = 4_096
# Time after which a process that has ended is started again.
RESTART_DELAY_MS = 500


class ViolationError(AssertionError):
    """A guarantee of the log was violated."""


class History:
    """History of the operations as observed by clients.

    The order of the committed entries is the only possible order of the writes. A
    history is linearizable if all members apply the same entries, each write is
    acknowledged with its own entry, and each read sees every write that was
    acknowledged and every entry that was read before the read began.
    """

    def __init__(self):
        self.entries: dict[int, tuple[int, bytes]] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.visible_index = 0
        self.reads = 0

    def record_applied(self, host: str, index: int, entry: tuple[int, bytes]) -> None:
        if self.entries.setdefault(index, entry) != entry:
            known = self.entries[index]
            raise ViolationError(
                f"{host} applied {entry} at index {index}, not {known}"
            )

    def record_acknowledged(self, index: int, data: bytes) -> None:
        self.acknowledged[index] = data
        self.visible_index = max(self.visible_index, index)

    def check_read(self, host: str, applied_index: int) -> None:
        self.reads += 1
        if applied_index < self.visible_index:
            raise ViolationError(
                f"{host} read up to {applied_index}, {self.visible_index} was visible"
            )
        self.visible_index = applied_index

    def check_final(self, host: "Host") -> None:
        """Check that the state of a member contains all acknowledged writes."""
        for index, data in self.acknowledged.items():
            if host.state.get(index) != data:
                raise ViolationError(f"{host.name} lost entry {index}")


class Host:
    """Simulated process with its disk and its clock."""

    def __init__(self, cluster: "Cluster", settings: RaftSettings, rate: float):
        self.cluster = cluster
        self.name = settings.name
        self.settings = settings
        self.rate = rate
        self.offset_ms = cluster.random.randrange(10**6)
        self.files = SimulatedFiles(cluster.random)
        self.boot = 0
        self.node: RaftNode | None = None
        self.paused_until_ms = 0.0

    @property
    def now_ms(self) -> int:
        return int(self.offset_ms + self.cluster.now_ms * self.rate)

    def set_rate(self, rate: float) -> None:
        """Change the rate of the clock without changing its current time."""
        self.offset_ms += self.cluster.now_ms * (self.rate - rate)
        self.rate = rate

    @property
    def has_lease(self) -> bool:
        return self.node is not None and self.node.has_lease(self.now_ms)

    def start(self) -> None:
        if self.node is not None:
            return
        self.boot += 1
        self.state: dict[int, bytes] = {}
        self.applied_index = 0
        self.proposed: dict[tuple[int, int], bytes] = {}
        self.timers: dict[str, int] = {}
        self.disk_queue: deque[Persist] = deque()
        self.store = LogStore("", self.files, SEGMENT_BYTES)
        try:
            loaded = self.store.load()
            if not self.settings.protections.identity and self.lost_identity:
                loaded = msgspec.structs.replace(loaded, identity=self.lost_identity)
        except SimulatedCrashError:
            self.crash()
            return
        except LogStoreError:
            self.cluster.after(RESTART_DELAY_MS, self.start)
            return
        self.lost_identity = ""
        random_state = Random(self.cluster.random.random())
        self.node = RaftNode(self.settings, loaded, random_state)
        self.run(self.node.start(self.now_ms))

    lost_identity = ""

    def crash(self, power_failure: bool = True) -> None:
        self.node = None
        self.boot += 1
        if power_failure:
            self.files.lose_unsynced()

    def call(self, method: str, *args) -> None:
        if self.node is None:
            return
        self.run(getattr(self.node, method)(*args, self.now_ms))
        if self.node is not None and self.node.wants_snapshot:
            state = msgspec.msgpack.encode(self.state)
            self.run(self.node.compact(self.node.commit_index, state, self.now_ms))

    def propose(self, data: bytes) -> None:
        result = self.node.propose(data, self.now_ms)
        if result.is_ok():
            self.proposed[result.ok, self.node.term] = data
        self.call("flush")

    def run(self, effects) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.cluster.send(self.name, to, message)
                case SetTimer(name, at_ms):
                    self._set_timer(name, at_ms)
                case Committed(index, term, data):
                    self._apply(index, term, data)
                case InstallState(data, index):
                    self.state = msgspec.msgpack.decode(data) if data else {}
                    self.applied_index = max(self.state, default=0)
                case Persist():
                    delay_ms = self.cluster.random.uniform(0, self.cluster.disk_ms)
                    self.disk_free_ms = max(
                        self.cluster.now_ms + delay_ms, self.disk_free_ms + 0.01
                    )
                    self.disk_queue.append(effect)
                    self.cluster.at(self.disk_free_ms, self, self._persist)

    disk_free_ms = 0.0

    def _persist(self) -> None:
        effect = self.disk_queue.popleft()
        try:
            self.store.append(effect.records)
        except SimulatedCrashError:
            self.crash()
            self.cluster.after(self.cluster.random.uniform(50, 2_000), self.start)
            return
        except LogStoreError:
            # The process ends, and the platform starts it again.
            self.crash(power_failure=False)
            self.cluster.after(RESTART_DELAY_MS, self.start)
            return
        self.call("persisted", effect.token)

    def _apply(self, index: int, term: int, data: bytes) -> None:
        history = self.cluster.history
        history.record_applied(self.name, index, (term, data))
        self.state[index] = data
        self.applied_index = index
        if self.proposed.pop((index, term), None) == data:
            history.record_acknowledged(index, data)

    def _set_timer(self, name: str, at_ms: int) -> None:
        self.timers[name] = at_ms
        due_ms = max(self.cluster.now_ms, (at_ms + 1 - self.offset_ms) / self.rate)
        self.cluster.at(due_ms, self, self._fire, name, at_ms)

    def _fire(self, name: str, at_ms: int) -> None:
        if self.timers.get(name) == at_ms:
            del self.timers[name]
            self.call("tick", name)


class Cluster:
    """Group of hosts with a schedule that is determined by a seed.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    size, voters : int
        Number of hosts and of initial voters.
    **overrides
        Fields of `RaftSettings` that replace the defaults.
    """

    def __init__(self, seed: int, size: int = 3, voters: int = 3, **overrides):
        self.random = Random(seed)
        self.now_ms = 0.0
        self.history = History()
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_ms = 3.0
        self.disk_ms = 4.0
        self.blocked: set[tuple[str, str]] = set()
        self._queue = []
        self._sequence = 0
        self._write = 0
        names = tuple(f"n{i}" for i in range(size))
        drift = SETTINGS.clock_drift
        self.hosts: dict[str, Host] = {}
        for i, name in enumerate(names):
            own = {
                "name": name,
                "failure_domain": DOMAINS[i % len(DOMAINS)],
                "peers": tuple(n for n in names if n != name),
                "initial_voters": names[:voters],
            }
            settings = replace(SETTINGS, **(own | overrides))
            rate = self.random.choice((1 - drift, 1.0, 1 + drift))
            self.hosts[name] = Host(self, settings, rate)

    # Time

    def at(self, at_ms: float, host: Host | None, action, *args) -> None:
        self._sequence += 1
        boot = host.boot if host else 0
        item = (at_ms, self._sequence, host, boot, action, args)
        heapq.heappush(self._queue, item)

    def after(self, delay_ms: float, action, *args) -> None:
        self.at(self.now_ms + delay_ms, None, action, *args)

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            at_ms, _, host, boot, action, args = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, at_ms)
            if host is None:
                action(*args)
            elif host.boot == boot:
                if host.paused_until_ms > self.now_ms:
                    self.at(host.paused_until_ms, host, action, *args)
                else:
                    action(*args)
        self.now_ms = end_ms

    def run_until(self, condition, limit_ms: float) -> None:
        end_ms = self.now_ms + limit_ms
        while not condition():
            if self.now_ms >= end_ms:
                raise ViolationError(f"not within {limit_ms} ms")
            self.run(20)

    # Network

    def send(self, sender: str, to: str, message) -> None:
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            if self.random.random() < self.loss or (sender, to) in self.blocked:
                continue
            delay_ms = self.random.uniform(0.2, self.delay_ms)
            if self.random.random() < 0.02 * bool(self.loss):
                delay_ms *= 100
            self.after(delay_ms, self._deliver, sender, to, message)

    def _deliver(self, sender: str, to: str, message) -> None:
        host = self.hosts.get(to)
        if host is None or host.node is None or (sender, to) in self.blocked:
            return
        if host.paused_until_ms > self.now_ms:
            self.at(host.paused_until_ms, host, host.call, "receive", sender, message)
            return
        host.call("receive", sender, message)

    def partition(self, side: set[str]) -> None:
        """Block all messages between the hosts in `side` and the others."""
        pairs = ((a, b) for a in self.hosts for b in self.hosts)
        self.blocked = {(a, b) for a, b in pairs if (a in side) != (b in side)}

    def heal(self) -> None:
        self.blocked = set()

    # Hosts

    def start(self) -> "Cluster":
        for host in self.hosts.values():
            host.start()
        self.run_until(self.lease_holder, 10_000)
        return self

    def leaders(self) -> list[Host]:
        return [h for h in self.hosts.values() if h.node and h.node.is_leader]

    def lease_holder(self) -> Host | None:
        return next((h for h in self.hosts.values() if h.has_lease), None)

    def voters(self) -> list[str]:
        host = self.lease_holder()
        return sorted(m.name for m in host.node.members if m.voter) if host else []

    # Clients

    def write(self) -> None:
        for host in self.leaders():
            if host.paused_until_ms > self.now_ms:
                continue
            self._write += 1
            host.propose(b"%d" % self._write)

    def write_and_wait(self, limit_ms: float = 10_000) -> None:
        """Write until a new write is acknowledged."""
        before = len(self.history.acknowledged)

        def acknowledged():
            done = len(self.history.acknowledged) > before
            if self.lease_holder() and not done:
                self.write()
            return done

        self.run_until(acknowledged, limit_ms)

    def read(self) -> None:
        holders = [h for h in self.hosts.values() if h.has_lease]
        if len(holders) > 1:
            names = [h.name for h in holders]
            raise ViolationError(f"{names} hold the lease at the same time")
        for host in holders:
            if host.paused_until_ms <= self.now_ms:
                self.history.check_read(host.name, host.applied_index)

    def run_clients(self, duration_ms: float, every_ms: float = 20) -> None:
        """Write to and read from all members for `duration_ms`."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.write()
            self.read()
            self.run(self.random.uniform(0.2, 2) * every_ms)

    # Faults

    def pause(self, host: Host, duration_ms: float) -> None:
        """Suspend a process, which does not notice the pause."""
        until_ms = self.now_ms + duration_ms
        host.paused_until_ms = max(host.paused_until_ms, until_ms)

    def restart(self, host: Host, down_ms: float) -> None:
        host.crash(self.random.random() < 0.5)
        self.after(down_ms, host.start)

    def fill_disk(self, host: Host, duration_ms: float) -> None:
        """Let the disk of a host refuse all writes for some time."""
        host.files.is_full = True
        self.after(duration_ms, lambda: setattr(host.files, "is_full", False))

    def lose_disk(self, host: Host, copy: dict | None = None) -> None:
        """Restart a host with an empty folder, or with an old copy of it."""
        host.crash()
        if copy is None:
            host.lost_identity = host.store.identity
        host.files.restore(copy or {})
        self.after(100, host.start)

    def finish(self) -> None:
        """End all faults, restart all hosts and check the whole history."""
        self.heal()
        self.loss = self.duplication = 0
        self.disk_ms = 4
        for host in self.hosts.values():
            host.files.crash_at_sync = None
            self.restart(host, 10)
        self.run(20)
        self.write_and_wait(30_000)
        self.run(1_000)
        self.read()
        self.history.check_final(self.lease_holder() or self.leaders()[0])


def random_faults(cluster: Cluster, steps: int, member_changes: bool = True) -> None:
    """Run random faults that the group must survive, along with client operations.

    Parameters
    ----------
    cluster : Cluster
        Group to run.
    steps : int
        Number of faults.
    member_changes : bool
        Whether to request random membership changes, too.
    """
    random = cluster.random
    cluster.loss = random.choice((0, 0.02, 0.2))
    cluster.duplication = random.choice((0, 0.1))
    for _ in range(steps):
        hosts = list(cluster.hosts.values())
        host = random.choice(hosts)
        leader = cluster.lease_holder() or host
        fault = random.choice(
            (
                partial(cluster.partition, {leader.name}),
                partial(cluster.partition, {h.name for h in random.sample(hosts, 2)}),
                partial(cluster.blocked.add, (host.name, leader.name)),
                cluster.heal,
                partial(cluster.restart, host, random.uniform(10, 1_500)),
                partial(cluster.restart, leader, random.uniform(10, 1_500)),
                partial(cluster.pause, leader, random.uniform(100, 1_500)),
                partial(crash_at_sync, random.choice((host, leader)), random),
                partial(change_members, cluster) if member_changes else cluster.heal,
                partial(setattr, cluster, "disk_ms", random.choice((4, 40, 800))),
            )
        )
        fault()
        cluster.run_clients(random.uniform(50, 900))


def crash_at_sync(host: Host, random: Random) -> None:
    """Crash a host at one of its next 8 syncs."""
    host.files.crash_at_sync = host.files.syncs + random.randint(1, 8)


def change_members(cluster: Cluster) -> None:
    """Request a random change from every leader without waiting for the result."""
    random = cluster.random
    names = sorted(cluster.hosts)
    for host in cluster.leaders():
        change = random.choice(
            (Remove(random.choice(names)), Promote(random.choice(names)))
        )
        host.node.change_member(change, host.now_ms)
        host.call("flush")
