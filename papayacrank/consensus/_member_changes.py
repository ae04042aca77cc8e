"""Membership changes that an operator may request."""

from dataclasses import dataclass

from expression import Error, Result

from papayacrank.kernel import Failure, Verdict


@dataclass(frozen=True)
class AddLearner:
    """Add a learner, which receives the log but has no vote."""

    name: str
    identity: str
    failure_domain: str


@dataclass(frozen=True)
class Promote:
    """Make a caught-up learner a voter."""

    name: str


@dataclass(frozen=True)
class Remove:
    """Remove a member; if it is still running, it rejoins as a learner."""

    name: str


@dataclass(frozen=True)
class Replace:
    """Exchange the voter `old` for the caught-up learner `new`."""

    old: str
    new: str


MemberChange = AddLearner | Promote | Remove | Replace


def refuse(code: str, message: str, status: int = 409) -> Result[int, Failure]:
    """Return the failure of a refused input that had no effect.

    Parameters
    ----------
    code, message : str
        Error code and explanation for the caller.
    status : int
        HTTP status code.
    """
    return Error(Failure(code, Verdict.NOT_RUN, message, status))
