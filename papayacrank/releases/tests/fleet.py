"""Simulated fleet of instances that begin streams at targets of several releases."""

import random
from collections import Counter

from papayacrank.control._releases import ReleaseMonitor
from papayacrank.control._target_protocol import ListedTarget
from papayacrank.messages import (
    BegunStream,
    ChangeReleases,
    FindRelease,
    RequestKind,
    Route,
    RoutingConfiguration,
    StreamsBegun,
)
from papayacrank.releases._begun import BegunStreams
from papayacrank.state import ReleaseTable

SERVICE = "llm"
STEP_MS = 50
TIMEOUT_MS = 15_000
# A target serves on for this time after it has left the list.
LEAVES_MS = 5_000
CONFIGURATION = RoutingConfiguration(
    1,
    (Route("r", "h", "/", RequestKind.STREAM, (), TIMEOUT_MS, 500, resumable=True),),
)


class _Instance:
    def __init__(self, view):
        self.begun = BegunStreams()
        self.view, mixed = view
        self.begun.set_mixed(mixed)
        self.is_cut = False
        self.unsent = []


class SimulatedFleet:
    """Instances and a leader whose log survives the loss of all processes.

    Parameters
    ----------
    instances : int
        Number of instances.
    seed : int
        Seed of the random choices.
    streams_per_s : float
        Rate at which streams begin.
    """

    def __init__(self, instances, seed, streams_per_s=100):
        self.random = random.Random(seed)
        self.now_ms = 1_000_000
        self.outcomes = Counter()
        self.mistakes = []
        self._per_step = streams_per_s * STEP_MS / 1_000
        self._term = 1
        self._table = ReleaseTable()
        self._monitor = ReleaseMonitor(self._table)
        self._monitor.reset(1)
        self._proposed = []
        # Release by target, and the time at which one that left ends.
        self._targets = {}
        self._ending = {}
        self._is_listed = True
        self._last_target = 0
        # Name, release and begin of each stream, and whether its instance was cut off.
        self._streams = []
        self._count = 0
        for _ in range(4):
            self.add_target("v1")
        self._lead()
        self._instances = [_Instance(self._view()) for _ in range(instances)]

    # Faults

    def add_target(self, release):
        """Add a target to the list."""
        self._last_target += 1
        self._targets[f"t{self._last_target}"] = release

    def replace_target(self, release):
        """Replace the oldest target of another release by one of a release."""
        for name, known in self._targets.items():
            if known != release:
                self._ending[name] = (known, self.now_ms + LEAVES_MS)
                del self._targets[name]
                break
        self.add_target(release)

    def kill(self, count):
        """Kill instances; they start again with the view of the leader."""
        for number in self.random.sample(range(len(self._instances)), count):
            self._instances[number] = _Instance(self._view())

    def kill_all(self):
        """Kill all processes; only the log is left."""
        dumped = self._table.dump()
        self._table = ReleaseTable()
        self._table.load(dumped)
        self._monitor = ReleaseMonitor(self._table)
        self.elect()
        self.kill(len(self._instances))

    def elect(self):
        """Replace the leader; proposals in flight are lost."""
        self._term += 1
        self._proposed.clear()
        self._monitor.reset(self._term)
        for instance in self._instances:
            if not instance.is_cut:
                instance.begun.report_again()

    def cut(self, count):
        """Cut instances off; others come back."""
        for instance in self._instances:
            instance.is_cut = False
        for instance in self.random.sample(self._instances, count):
            instance.is_cut = True

    # Steps

    def run(self, duration_ms, actions):
        """Run steps with actions at given times.

        Parameters
        ----------
        duration_ms : int
            Duration in milliseconds.
        actions : dict of int to callable
            Actions by time since the start in milliseconds.
        """
        for elapsed_ms in range(0, duration_ms, STEP_MS):
            self.now_ms += STEP_MS
            for at_ms in range(elapsed_ms, elapsed_ms + STEP_MS):
                if at_ms in actions:
                    actions[at_ms]()
            self._lead()
            self._begin_streams()
            self._take_up_streams()

    def _lead(self):
        listed = [
            ListedTarget(name, "a", SERVICE, "d", release=release)
            for name, release in self._targets.items()
        ]
        self._monitor.observe(listed, self.now_ms)
        proposed, self._proposed = self._proposed, []
        for command in proposed:
            if isinstance(command, ChangeReleases):
                self._table.change(command)
            else:
                self._table.record(command, self.now_ms)
        self._proposed += self._monitor.poll(CONFIGURATION, self.now_ms)
        for instance in getattr(self, "_instances", ()):
            if not instance.is_cut and self.random.random() < 0.9:
                instance.view, mixed = self._view()
                instance.begun.set_mixed(mixed)

    def _view(self):
        usable = {
            name: release
            for name, release in self._targets.items()
            if self._table.is_possible(SERVICE, release)
        }
        return usable, self._monitor.mixed

    def _begin_streams(self):
        alive = dict(self._targets)
        for name, (release, until_ms) in self._ending.items():
            if until_ms > self.now_ms:
                alive[name] = release
        for _ in range(int(self._per_step)):
            instance = self.random.choice(self._instances)
            usable = [name for name in instance.view if name in alive]
            if not usable:
                continue
            self._count += 1
            name, release = f"s{self._count}", alive[self.random.choice(usable)]
            self._streams.append((name, release, self.now_ms, instance.is_cut))
            instance.begun.add(_stream(name, release), self.now_ms)
        for instance in self._instances:
            if not instance.is_cut:
                for streams in instance.begun.pop_unreported():
                    self._monitor.receive("i", StreamsBegun("i", streams))

    def _take_up_streams(self):
        oldest_ms = self.now_ms - TIMEOUT_MS
        self._streams = [s for s in self._streams if s[2] >= oldest_ms]
        for stream in self.random.choices(self._streams, k=3) if self._streams else ():
            name, release, _, was_cut = stream
            question = FindRelease("i", 1, SERVICE, name)
            [send] = self._monitor.receive("i", question)
            found = send.message.release
            if found not in ("", release):
                self.mistakes.append((self.now_ms, name, release, found))
            if not was_cut:
                self.outcomes["known" if found else "unknown"] += 1

    def share_known(self):
        """Return the share of taken-up streams of instances in touch that are known."""
        return self.outcomes["known"] / sum(self.outcomes.values())


def _stream(name, release):
    return BegunStream(name, SERVICE, release)
