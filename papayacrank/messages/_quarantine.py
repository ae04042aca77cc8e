"""Messages on requests and prompt parts that are suspected to crash targets."""

import msgspec


class SuspectRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request that a target had not written past its beginning when it crashed.

    Attributes
    ----------
    workspace : str
        Workspace of the caller; empty on routes without a key.
    parts : list of str
        Name of the request itself, and names of the shared parts of its prompt, at most
        `papayacrank.quarantine.MAX_PARTS_PER_REQUEST` of them.
    trial : int
        Number of the trial under which the request was sent; 0 if none.
    """

    workspace: str
    parts: list[str]
    trial: int = 0


class CrashReport(msgspec.Struct, tag=True, frozen=True):
    """Crash of a target, as seen by one entry process.

    Attributes
    ----------
    instance : str
        Entry process that reports it.
    target : str
        Name of the target.
    start : int
        Start number of the target; 0 if unknown.
    age_ms : int
        Time in milliseconds since the connections of the target were lost.
    suspects : list of SuspectRequest
        Requests of this entry process that the target had not begun to answer.
    opened_age_ms : int or None
        Time in milliseconds since the last of these connections was opened; None if
        unknown.
    """

    instance: str
    target: str
    start: int
    age_ms: int
    suspects: list[SuspectRequest]
    opened_age_ms: int | None = None


class PartsCleared(msgspec.Struct, tag=True, frozen=True):
    """Suspected names on which a response was written past its beginning.

    Attributes
    ----------
    age_ms : int
        Time in milliseconds since the response was seen.
    """

    instance: str
    parts: list[str]
    age_ms: int = 0


class PartSuspicion(msgspec.Struct, frozen=True, array_like=True):
    """Evidence against a request or a prompt part.

    Attributes
    ----------
    crashes : int
        Crashes since the last response on the part; 0 if it is cleared or forgotten.
    needs_trial : bool
        Whether a request with the part may only be sent under a trial.
    age_ms : int
        Time in milliseconds since the last of the crashes.
    """

    name: str
    crashes: int
    needs_trial: bool
    age_ms: int
    revision: int


class QuarantineVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Decision to refuse requests with a combination of names.

    Attributes
    ----------
    number : int
        Identifier, unique in the fleet.
    parts : list of str
        A request is refused if it has all of these names, its own and those of its
        parts; empty if the verdict has been lifted.
    workspaces : list of str
        Workspaces whose requests are refused; empty for all.
    crashes : int
        Crashes that led to the verdict.
    lapses_in_ms : int
        Time in milliseconds until one request may be sent as a trial.
    confirmations : int
        Number of times the verdict was confirmed by a failed trial.
    """

    number: int
    parts: list[str]
    workspaces: list[str]
    crashes: int
    lapses_in_ms: int
    confirmations: int
    revision: int


class QuarantineTable(msgspec.Struct, tag=True, frozen=True):
    """Changes of the leader's table of suspected and quarantined names.

    Attributes
    ----------
    base, revision : int
        Revisions of the table before and after the changes. A `base` of 0 means that
        the message holds the whole table.
    """

    term: int
    base: int
    revision: int
    suspicions: list[PartSuspicion]
    verdicts: list[QuarantineVerdict]


class QuarantineKnowledge(msgspec.Struct, tag=True, frozen=True):
    """Part of the table that an entry process repeats to a new leader."""

    instance: str
    term: int
    revision: int
    suspicions: list[PartSuspicion]
    verdicts: list[QuarantineVerdict]


class TrialRequest(msgspec.Struct, tag=True, frozen=True):
    """Asks to send one request that is suspected or has suspected parts.

    Attributes
    ----------
    number : int
        Number of the trial, unique in the sending process and never 0.
    sent_ms : int
        Sender's monotonic clock in milliseconds, returned in the reply.
    parts : list of str
        Names of the request and of the shared parts of its prompt.
    """

    instance: str
    number: int
    sent_ms: int
    workspace: str
    parts: list[str]


class TrialReply(msgspec.Struct, tag=True, frozen=True):
    """Reply of the leader to a `TrialRequest`.

    Attributes
    ----------
    granted : bool
        Whether the request may be sent.
    retry_after_ms : int
        If not granted, the time in milliseconds after which a trial may be free.
    """

    term: int
    number: int
    sent_ms: int
    granted: bool
    retry_after_ms: int = 0


class TrialEnded(msgspec.Struct, tag=True, frozen=True):
    """End of a trial without a crash, so that the next one may start.

    A crash is reported by `CrashReport`.
    """

    instance: str
    number: int
