"""Simulated start of a fleet, with the leader's decisions over limited links."""

import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from papayacrank.config import ControlSettings
from papayacrank.control import ContactSettings, ControlContact, LeaderHint
from papayacrank.control._node import ControlNode
from papayacrank.control.tests.test_node import FakeRaft
from papayacrank.kernel import Send, SetTimer
from papayacrank.messages import (
    CONTROL_MESSAGES,
    Heartbeat,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceProfile,
    ServiceShare,
    WorkspaceProfile,
)
from papayacrank.messages._commands import FileRouting
from papayacrank.messages._requests import ControlRequest
from papayacrank.state import (
    CommandEntry,
    HeartbeatEntry,
    StateMachine,
    encode_entry,
)
from papayacrank.transport import MessageCodec

LEADER = "c1"
DOMAINS = ("east", "west", "north", "south", "middle", "coast")
WORKSPACES = 19
MS_PER_SECOND = 1_000
# Links of the users' large deployment: 100 Mbit/s and 5 Mbit/s.
LEADER_BYTES_PER_MS = 12_500
INSTANCE_BYTES_PER_MS = 625
LATENCY_MS = 1
# Processes of a power failure return within 0.4 s and take about a second to start.
FIRST_START_MS, LAST_START_MS = 600, 1_600
# The log sends its own heartbeats at this interval, over the same link.
PROBE_INTERVAL_MS = 100


@dataclass(frozen=True)
class _Probe:
    """Stands for a heartbeat of the log, which shares the leader's link."""

    size: int = 200


def build_routing(routes: int, seed: int = 1) -> RoutingConfiguration:
    """Return a configuration whose routes have names and hosts as operators use."""
    random = Random(seed)
    names = [f"{random.randrange(16**10):010x}" for _ in range(routes)]
    return RoutingConfiguration(
        1,
        tuple(
            Route(
                f"route-{name}",
                f"team{number % 40}.example",
                f"/{name}/",
                RequestKind.STREAM,
                (ServiceShare(f"service-{number % 4}", 1),),
                5_000,
                600,
                max_attempts=2,
                resumable=True,
                max_gap_ms=300,
            )
            for number, name in enumerate(names)
        ),
        tuple(ServiceProfile(f"service-{n}", "/health", 1_300) for n in range(4)),
        tuple(
            WorkspaceProfile(f"workspace-{n}", (f"{random.randrange(16**64):064x}",))
            for n in range(WORKSPACES)
        ),
    )


class SimulatedEntry:
    """Entry process of the simulation: its control contact and timers."""

    def __init__(self, fleet: "FleetStart", number: int):
        self.name = f"i{number}@2"
        self.ready_ms: int | None = None
        self._fleet = fleet
        settings = ContactSettings(
            self.name, 2, DOMAINS[number % len(DOMAINS)], f"10.0.{number}.1:80"
        )
        self.contact = ControlContact(settings, LeaderHint((LEADER,)))

    def start(self) -> None:
        self._run(self.contact.start(self._fleet.now_ms))

    def receive(self, message) -> None:
        now_ms = self._fleet.now_ms
        self._run(self.contact.receive(LEADER, message, now_ms))
        if self.ready_ms is None and self.contact.routing is not None:
            self.ready_ms = now_ms
            self._run(self.contact.set_status("serving", now_ms))

    def _run(self, effects) -> None:
        for effect in effects:
            match effect:
                case Send(_, message):
                    self._fleet.send_to_leader(self.name, message)
                case SetTimer(name, at_ms):
                    self._fleet.at(at_ms, partial(self._on_timer, name))

    def _on_timer(self, name: str) -> None:
        self._run(self.contact.tick(name, self._fleet.now_ms))


class FleetStart:
    """All entry processes of a fleet start at about the same time.

    The leader is a `ControlNode` whose log commits at once. Its link is a queue that
    the heartbeats of the log share, as on a machine.

    Parameters
    ----------
    instances, routes, seed : int
        Number of entry processes, number of routes, and seed.
    drop : Callable, optional
        Returns whether a message from the leader is lost, given the receiver and the
        message.
    """

    def __init__(
        self,
        instances: int,
        routes: int,
        seed: int,
        drop: Callable[[str, object], bool] = lambda to, message: False,
    ):
        self.now_ms = 0
        self.bytes_by_type: Counter[str] = Counter()
        self.bytes_by_receiver: Counter[str] = Counter()
        self.probe_delays_ms: list[float] = []
        self._random = Random(seed)
        self._drop = drop
        self._events: list = []
        self._numbers = itertools.count()
        self._codec = MessageCodec(CONTROL_MESSAGES)
        self._sizes: dict[int, tuple[object, int]] = {}
        self._free_ms: defaultdict[str, float] = defaultdict(float)
        self._timers: dict[str, int] = {}
        self.routing = build_routing(routes, seed)
        self._start_leader(instances)
        self.entries = [SimulatedEntry(self, n) for n in range(instances)]
        for entry in self.entries:
            self.at(self._random.randint(FIRST_START_MS, LAST_START_MS), entry.start)
        self._probe()

    @property
    def ready(self) -> list[SimulatedEntry]:
        """Entry processes that have the configuration."""
        return [entry for entry in self.entries if entry.ready_ms is not None]

    def at(self, at_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def run(self, until_ms: int) -> None:
        """Run until a time in milliseconds."""
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, int(at_ms))
            action()
        self.now_ms = until_ms

    def change_routing(self) -> None:
        """Commit a new version of the configuration with the same routes."""
        self._propose_routing(self.node.machine.routing.version + 1)

    def send_to_leader(self, sender: str, message) -> None:
        """Deliver a message of an entry process."""
        self.at(
            self.now_ms + LATENCY_MS,
            lambda: self._run(self.node.receive(sender, message, self.now_ms)),
        )

    # Leader

    def _start_leader(self, instances: int) -> None:
        """Start the leader from the snapshot of a fleet that was serving."""
        machine = StateMachine()
        rows = [
            Heartbeat(f"i{n}@1", 1, 1, 0, 0, "east", f"10.0.{n}.1:80", "serving")
            for n in range(instances)
        ]
        machine.apply(1, encode_entry(HeartbeatEntry(0, 0, rows)))
        restored = StateMachine()
        restored.restore(machine.snapshot())
        settings = ControlSettings(
            instance=LEADER,
            failure_domain="east",
            link="127.0.0.1:1",
            data_folder="unused",
            initial_voters=[LEADER],
        )
        self._raft = FakeRaft()
        self.node = ControlNode(settings, self._raft, restored, lambda: 0)
        self._run(self.node.start(0))
        self._propose_routing(1)

    def _propose_routing(self, version: int) -> None:
        configuration = RoutingConfiguration(
            version,
            self.routing.routes,
            self.routing.services,
            self.routing.workspaces,
        )
        command = FileRouting(configuration, b"")
        request = ControlRequest(f"operator/{version}", "operator", version, command)
        self._raft.propose(
            encode_entry(CommandEntry(self.now_ms, 0, request)), self.now_ms
        )
        self._run([])

    def _run(self, effects) -> None:
        effects = [*effects, *self.node.flush(self.now_ms)]
        while self.node.needs_flush:
            effects += self.node.flush(self.now_ms)
        for effect in effects:
            match effect:
                case Send(to, message) if "@" in to:
                    self._send(to, message)
                case SetTimer(name, at_ms):
                    self._timers[name] = at_ms
                    self.at(at_ms, partial(self._on_timer, name, at_ms))

    def _on_timer(self, name: str, at_ms: int) -> None:
        if self._timers.get(name) == at_ms:
            del self._timers[name]
            self._run(self.node.tick(name, self.now_ms))

    # Links

    def _probe(self) -> None:
        sent_ms = self.now_ms
        arrival_ms = self._occupy(LEADER, _Probe().size, LEADER_BYTES_PER_MS, sent_ms)
        self.probe_delays_ms.append(arrival_ms - sent_ms)
        self.at(sent_ms + PROBE_INTERVAL_MS, self._probe)

    def _send(self, to: str, message) -> None:
        size = self._size(message)
        self.bytes_by_type[type(message).__name__] += size
        self.bytes_by_receiver[to] += size
        sent_ms = self._occupy(LEADER, size, LEADER_BYTES_PER_MS, self.now_ms)
        arrival_ms = self._occupy(to, size, INSTANCE_BYTES_PER_MS, sent_ms + LATENCY_MS)
        if self._drop(to, message):
            return
        entry = self.entries[int(to.partition("@")[0][1:])]
        self.at(arrival_ms, lambda: entry.receive(message))

    def _occupy(self, link: str, size: int, bytes_per_ms: int, now_ms: float) -> float:
        """Return when a message has passed a link, which carries one after another."""
        self._free_ms[link] = max(now_ms, self._free_ms[link]) + size / bytes_per_ms
        return self._free_ms[link]

    def _size(self, message) -> int:
        """Return the encoded size; the message is kept, so that its id stays unique."""
        if id(message) not in self._sizes:
            size = len(self._codec.encode(message))
            self._sizes[id(message)] = (message, size)
        return self._sizes[id(message)][1]
