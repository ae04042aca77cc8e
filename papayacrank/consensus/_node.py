"""Decision code of one member of the replicated log (interface; body follows)."""

from dataclasses import dataclass
from random import Random
from typing import Any

from expression import Result

from papayacrank.kernel import Failure

from ._messages import Member, StoreState
from ._settings import RaftSettings


@dataclass(frozen=True)
class AddLearner:
    """Add a member without a vote."""

    name: str
    identity: str
    failure_domain: str


@dataclass(frozen=True)
class Promote:
    """Give a caught-up learner a vote."""

    name: str


@dataclass(frozen=True)
class Remove:
    """Remove a member."""

    name: str


@dataclass(frozen=True)
class Replace:
    """Remove the voter `old`, then promote the learner `new`."""

    old: str
    new: str


MemberChange = AddLearner | Promote | Remove | Replace


class RaftNode:
    """Member of the group.

    Parameters
    ----------
    settings : RaftSettings
    store_state : StoreState
        Result of `LogStore.load`.
    random_state : random.Random
    """

    def __init__(
        self, settings: RaftSettings, store_state: StoreState, random_state: Random
    ):
        self._settings = settings
        self._store_state = store_state
        self._random = random_state

    @property
    def is_leader(self) -> bool:
        """Whether this member leads its term; says nothing about the lease."""
        raise NotImplementedError

    @property
    def leader(self) -> str:
        """Name of the leader of the current term; empty if unknown."""
        raise NotImplementedError

    @property
    def term(self) -> int:
        """Current term."""
        raise NotImplementedError

    @property
    def commit_index(self) -> int:
        """Last index known to be committed."""
        raise NotImplementedError

    @property
    def members(self) -> tuple[Member, ...]:
        """Members by the newest membership entry in the log."""
        raise NotImplementedError

    @property
    def wants_snapshot(self) -> bool:
        """Whether `compact` should be called."""
        raise NotImplementedError

    def has_lease(self, now_ms: int) -> bool:
        """Whether reads may be served at `now_ms`."""
        raise NotImplementedError

    def start(self, now_ms: int) -> list[Any]:
        """Start after the construction; call once."""
        raise NotImplementedError

    def receive(self, sender: str, message: Any, now_ms: int) -> list[Any]:
        """Handle a message of `CONSENSUS_MESSAGES`."""
        raise NotImplementedError

    def tick(self, timer_name: str, now_ms: int) -> list[Any]:
        """Handle a timer."""
        raise NotImplementedError

    def persisted(self, token: int, now_ms: int) -> list[Any]:
        """Handle the completion of a `Persist` effect."""
        raise NotImplementedError

    def propose(self, data: bytes, now_ms: int) -> Result[int, Failure]:
        """Buffer an entry; returns its log index."""
        raise NotImplementedError

    def change_member(self, change: MemberChange, now_ms: int) -> Result[int, Failure]:
        """Buffer a change of the members; returns its log index."""
        raise NotImplementedError

    def flush(self, now_ms: int) -> list[Any]:
        """Replicate and persist what was buffered."""
        raise NotImplementedError

    def compact(self, index: int, data: bytes, now_ms: int) -> list[Any]:
        """Take a snapshot of the state machine at `index`; drops the log before it."""
        raise NotImplementedError
