"""Builders of permit messages and of a leader with one entry process."""

from papayacrank.messages import (
    PermitReply,
    PermitRequest,
    PermitReturn,
    RateObservation,
    RateReport,
)
from papayacrank.permits import PermitAllocator, PermitClient, RateStatement


def build_statement(per_s):
    """Return what a response states; None for a response without a limit."""
    return None if per_s is None else RateStatement(per_s, str(per_s))


def build_observation(per_s, target="t", start=0, term=1, revision=0, is_fresh=True):
    """Return an observation of a limit."""
    return RateObservation(target, start, per_s, term, revision, is_fresh)


def build_request(number=1, per_s=2.0, max_wait_ms=0, instance="i1", **fields):
    """Return a permit request of an instance that knows a limit."""
    known = build_observation(per_s, is_fresh=False, **fields)
    return PermitRequest(instance, number, 0, max_wait_ms, known)


class Pair:
    """A leader and an entry process with a clock; messages arrive at once."""

    def __init__(self):
        self.now_ms = 1_000_000
        self.leader = PermitAllocator()
        self.leader.reset(1)
        self.client = PermitClient("i1")
        self.client.set_term(1)
        self.decisions = {}

    def advance(self, ms):
        """Advance the clock."""
        self.now_ms += ms

    def observe(self, per_s, knowledge=None, target="t", start=0, may_raise=True):
        """Handle a response that states a limit; return the messages to the leader."""
        known = self.client.knowledge_of(target) if knowledge is None else knowledge
        return self.client.observe(
            target,
            start,
            build_statement(per_s),
            known,
            may_raise,
            "r",
            self.now_ms,
        )

    def deliver(self, messages):
        """Deliver messages to the leader and its answers to the entry process."""
        for message in messages:
            if isinstance(message, RateReport):
                for observation in message.observations:
                    self.leader.observe(observation, message.instance, self.now_ms)
            elif isinstance(message, PermitReturn):
                self.leader.give_back(message, self.now_ms)
            else:
                self._answer(message)
        change = self.leader.pop_change()
        if change is not None:
            self.client.apply_rates(change)

    def state(self, per_s):
        """Let a target state a limit that all processes learn."""
        self.deliver(self.observe(per_s))

    def acquire(self, request_id="r1", max_wait_ms=300, target="t"):
        """Request a permit and return the decision."""
        self.deliver(
            [self.client.request(request_id, target, max_wait_ms, self.now_ms)]
        )
        return self.decisions.get(request_id)

    def elect(self, term):
        """Replace the leader by one without any state."""
        self.leader = PermitAllocator()
        self.leader.reset(term)

    def _answer(self, message):
        reply = self.leader.request(message, self.now_ms)
        assert isinstance(reply, PermitReply)
        decision, messages = self.client.receive(reply, self.now_ms)
        self.deliver(messages)
        if decision is not None:
            self.decisions[decision.request_id] = decision
