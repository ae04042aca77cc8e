"""Decision code that puts a stream together in order."""

from dataclasses import dataclass
from enum import Enum

MAX_RESUMES_PER_ENGINE = 1
MAX_RESUMES = 3


class Delivery(Enum):
    """What to do with a token."""

    DELIVER = "deliver"
    DUPLICATE = "repeated"
    GAP = "gap"
    CONFLICT = "conflict"


class ResumeStep(Enum):
    """How to go on after an attempt failed."""

    SAME_ENGINE = "same-engine"
    OTHER_ENGINE = "other-engine"
    END_WITH_ERROR = "end-with-error"


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where the next attempt starts.

    Parameters
    ----------
    offset : int
        Offset of the next token, in output tokens.
    text : str
        Text delivered so far; a different engine continues from it.
    """

    offset: int
    text: str


class StreamAssembler:
    """Output of one request, collected over several attempts.

    A token is delivered only if its offset is the next one. A token that was already
    delivered is dropped if its text is the same, and fails the attempt otherwise.

    Parameters
    ----------
    max_output_tokens : int
        Longest output; a later token fails the attempt.
    max_resumes_per_engine, max_resumes : int
        Bounds on further attempts on the engine that failed, and altogether.
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
        """Where a further attempt starts."""
        return ResumePoint(len(self._tokens), "".join(self._tokens))

    def accept(self, offset: int, text: str) -> Delivery:
        """Take a token.

        Parameters
        ----------
        offset : int
            Position in the output, in tokens from 0.
        text : str
            Text of the token.
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
        """Take the end of the output.

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
        """Decide how to go on after an attempt on `engine` failed, and count it.

        Parameters
        ----------
        engine : str
            Engine of the failed attempt.
        engine_usable : bool
            False if the engine must not be used again, for example because it
            refused the connection, has a new incarnation or is leaving.
        idempotent : bool
            Whether the request may run on another engine.
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
