"""Builders of quarantine messages and of a leader with entry processes."""

from papayacrank.messages import (
    CrashReport,
    PartsCleared,
    QuarantineKnowledge,
    SuspectRequest,
    TrialEnded,
    TrialRequest,
)
from papayacrank.quarantine import QuarantineClient, QuarantineRegistry
from papayacrank.quarantine._registry import LEARNING_MS, SETTLING_MS

START_MS = 1_000_000


def build_report(
    *requests, target="t", start=1, age_ms=0, instance="i0@1", opened_age_ms=None
):
    """Return a crash report; a request is a tuple of its parts or a suspect."""
    suspects = [
        request
        if isinstance(request, SuspectRequest)
        else SuspectRequest("w", list(request))
        for request in requests
    ]
    return CrashReport(instance, target, start, age_ms, suspects, opened_age_ms)


class Group:
    """A leader and entry processes with a clock; messages arrive at once."""

    def __init__(self, instances=2):
        self.now_ms = START_MS
        self.leader = QuarantineRegistry()
        self.leader.reset(1)
        self.leader.tick(self.now_ms)
        self.clients = [QuarantineClient(f"i{n}@1") for n in range(instances)]
        for client in self.clients:
            client.set_term(1)
        self.advance(LEARNING_MS)
        self._targets = 0

    def advance(self, ms):
        """Advance the clock and let the leader act."""
        self.now_ms += ms
        self.leader.tick(self.now_ms)
        self.push()

    def push(self):
        """Deliver the changes of the table to all entry processes."""
        change = self.leader.pop_change(self.now_ms)
        while change is not None:
            for client in self.clients:
                self.deliver(client.apply(change, self.now_ms))
            change = self.leader.pop_change(self.now_ms)

    def deliver(self, messages):
        """Deliver messages to the leader."""
        for message in messages:
            if isinstance(message, CrashReport):
                self.leader.report_crash(message, self.now_ms)
            elif isinstance(message, PartsCleared):
                self.leader.clear(message, self.now_ms)
            elif isinstance(message, TrialEnded):
                self.leader.end_trial(message, self.now_ms)
            elif isinstance(message, QuarantineKnowledge):
                self.leader.learn(message, self.now_ms)

    def crash(self, *requests, instance=0, **fields):
        """Report a crash of a target that crashes no other time."""
        if "target" not in fields:
            self._targets += 1
            fields["target"] = f"t{self._targets}"
        name = self.clients[instance].instance
        self.deliver([build_report(*requests, instance=name, **fields)])
        self.push()

    def begin(self, *parts, instance=0):
        """Let a response on parts be written past its beginning."""
        self.deliver(self.clients[instance].on_begun(parts, self.now_ms))
        self.push()

    def check(self, *parts, workspace="w", instance=0):
        """Return the admission of a request."""
        client = self.clients[instance]
        return client.check(workspace, parts, self.now_ms).admission

    def try_parts(self, *parts, workspace="w", instance=0):
        """Request a trial; return its suspect, None if it is refused."""
        client = self.clients[instance]
        request = client.request_trial("r", workspace, parts, self.now_ms)
        assert isinstance(request, TrialRequest)
        reply = self.leader.request_trial(request, self.now_ms)
        decision, _ = client.receive(reply, self.now_ms)
        if not decision.trial:
            return None
        return SuspectRequest(workspace, list(parts), decision.trial)

    def fail_trial(self, *parts, workspace="w", instance=0):
        """Let a trial crash its target, and wait for the decision of the leader."""
        suspect = self.try_parts(*parts, workspace=workspace, instance=instance)
        assert suspect is not None
        self.advance(100)
        self.crash(suspect, instance=instance)
        self.advance(SETTLING_MS)

    def pass_trial(self, *parts, workspace="w", instance=0):
        """Let a trial succeed."""
        suspect = self.try_parts(*parts, workspace=workspace, instance=instance)
        assert suspect is not None
        self.advance(100)
        self.begin(*parts, instance=instance)
        self.deliver(self.clients[instance].end_trial(suspect.trial))
        self.push()

    def quarantine(self, *parts, workspace="w"):
        """Lead to a verdict by two crashes and a failed trial."""
        for _ in range(2):
            self.crash(SuspectRequest(workspace, list(parts)))
            self.advance(1_000)
        self.fail_trial(*parts, workspace=workspace)

    def verdicts(self):
        """Return the parts of all verdicts as the entry processes know them."""
        listed = [c.list_verdicts(self.now_ms) for c in self.clients]
        assert all(verdicts == listed[0] for verdicts in listed)
        return [verdict.parts for verdict in listed[0]]

    def elect(self, term):
        """Replace the leader by one without any state."""
        self.leader = QuarantineRegistry()
        self.leader.reset(term)
        self.leader.tick(self.now_ms)

    def repeat_knowledge(self, term):
        """Let the entry processes repeat what they know to a new leader."""
        for client in self.clients:
            client.set_term(term)
            self.deliver(client.poll(self.now_ms))
        self.push()
