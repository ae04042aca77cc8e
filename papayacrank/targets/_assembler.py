"""Ordering of the tokens of a stream over several attempts, and retry decisions."""

from dataclasses import dataclass
from enum import Enum

MAX_RESUMES_PER_ENGINE = 1
MAX_RESUMES = 3


class Delivery(Enum):
    """Verdict on a received token or on the end of the output."""

    DELIVER = "deliver"
    DUPLICATE = "repeated"
    GAP = "gap"
    CONFLICT = "conflict"


class ResumeStep(Enum):
    """Next step after a failed attempt."""

    SAME_ENGINE = "same-engine"
    OTHER_ENGINE = "other-engine"
    END_WITH_ERROR = "end-with-error"


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where the next attempt starts.

    Parameters
    ----------
    offset : int
        Offset of the next output token.
    text : str
        Output delivered so far, from which a different engine continues.
    """

    offset: int
    text: str


class StreamAssembler:
    """Assembles the output of one request from several attempts.

    A token is delivered only if it has the next offset. If its offset was already
    delivered, the token is dropped if its text is the same, and fails the attempt
    otherwise.

    Parameters
    ----------
    max_output_tokens : int
        Largest number of output tokens; a token beyond it fails the attempt.
    max_resumes_per_engine, max_resumes : int
        Limits of further attempts on an engine that failed, and in total.
    """

    def __init__(
        self,
        max_output_tokens: int,
        max_resumes_per_engine: int = MAX_RESUMES_PER_ENGINE,
        max_resumes: int = MAX_RESUMES,
    ):
        self._max_output_tokens = max_output_tokens
        self._max_resumes_per_engine = max_resumes_per_engine
        self._max_resumes = max_resumes
        self._tokens: list[str] = []
        self._resumes_by_engine: dict[str, int] = {}
        self._resumes = 0
        self._finished = False

    @property
    def next_offset(self) -> int:
        """Offset of the next token to deliver."""
        return len(self._tokens)

    @property
    def finished(self) -> bool:
        """Whether the whole output was delivered."""
        return self._finished

    @property
    def resume_point(self) -> ResumePoint:
        """Offset and text from which the next attempt continues."""
        return ResumePoint(len(self._tokens), "".join(self._tokens))

    def accept(self, offset: int, text: str) -> Delivery:
        """Check a received token and append it to the output if it is the next one.

        Parameters
        ----------
        offset : int
            Position in the output, in tokens from 0.
        text : str
            Text of the token.

        Returns
        -------
        Delivery
            ``DELIVER`` if the token is the next one, ``DUPLICATE`` if it was already
            delivered, ``CONFLICT`` if its text differs from the delivered one or the
            output has ended, ``GAP`` if its offset is negative, not the next one or
            beyond the limit.
        """
        if 0 <= offset < len(self._tokens):
            same = self._tokens[offset] == text
            return Delivery.DUPLICATE if same else Delivery.CONFLICT
        if offset != len(self._tokens) or offset >= self._max_output_tokens:
            return Delivery.GAP
        if self._finished:
            return Delivery.CONFLICT
        self._tokens.append(text)
        return Delivery.DELIVER

    def finish(self, completion_tokens: int) -> Delivery:
        """Check the length of the output when a stream ends.

        Parameters
        ----------
        completion_tokens : int
            Length of the whole output, in tokens.

        Returns
        -------
        Delivery
            ``DELIVER`` if the output is complete, ``GAP`` if tokens are missing,
            ``CONFLICT`` if more tokens were delivered than the output has.
        """
        if completion_tokens > len(self._tokens):
            return Delivery.GAP
        if completion_tokens < len(self._tokens):
            return Delivery.CONFLICT
        self._finished = True
        return Delivery.DELIVER

    def next_step(
        self, engine: str, engine_usable: bool, idempotent: bool = True
    ) -> ResumeStep:
        """Choose the next step after an attempt on `engine` failed, and count it.

        Parameters
        ----------
        engine : str
            Engine of the failed attempt.
        engine_usable : bool
            False if the engine must not be used again, for example because it
            refused the connection, restarted (has a new incarnation) or is leaving.
        idempotent : bool
            Whether the request may run on another engine.

        Returns
        -------
        ResumeStep
        """
        if self._finished or self._resumes >= self._max_resumes:
            return ResumeStep.END_WITH_ERROR
        used = self._resumes_by_engine.get(engine, 0)
        if engine_usable and used < self._max_resumes_per_engine:
            self._resumes_by_engine[engine] = used + 1
            self._resumes += 1
            return ResumeStep.SAME_ENGINE
        if not idempotent:
            return ResumeStep.END_WITH_ERROR
        self._resumes += 1
        return ResumeStep.OTHER_ENGINE
