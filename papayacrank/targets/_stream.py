"""Decoding and checking of an engine's stream of tokens."""

import msgspec

from ._request import TargetUsage
from ._response import MalformedAnswerError
from ._sse import SseParser

END_OF_STREAM = b"[DONE]"


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str
    offset: int = -1
    choices: list[_Choice] = []
    usage: dict | None = None
    error: dict | None = None


class StreamError(Exception):
    """The stream violates the protocol.

    Parameters
    ----------
    code : str
        Code of the `TargetFailure`.
    message : str
        Explanation.
    """

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class TokenStream:
    """Checks that one stream belongs to the request and has consecutive offsets.

    Tokens before `first_offset`, which an engine without support for resuming sends
    again, are dropped.

    Parameters
    ----------
    expected_id : str
        Id that each chunk must carry.
    first_offset : int
        Offset of the first token wanted.
    """

    def __init__(self, expected_id: str, first_offset: int):
        self._expected_id = expected_id
        self._first_offset = first_offset
        self._next_offset: int | None = None
        self._parser = SseParser()
        self._decoder = msgspec.json.Decoder(_Chunk)
        self._usage: TargetUsage | None = None
        self.ended = False

    @property
    def usage(self) -> TargetUsage | None:
        """Usage, once the chunk with the finish reason arrived."""
        return self._usage

    def feed(self, data: bytes) -> list[tuple[int, str]]:
        """Return the tokens in received bytes, as offset and text.

        Raises
        ------
        StreamError
            If the stream belongs to another request, has a gap or reports an error.
            Tokens before the fault in the same bytes are not delivered.
        MalformedAnswerError
            If the stream cannot be decoded.
        """
        tokens: list[tuple[int, str]] = []
        for event in self._parser.feed(data):
            if self.ended:
                raise MalformedAnswerError("data after the end of the stream")
            if event == END_OF_STREAM:
                self._end()
            else:
                self._take_chunk(self._decode(event), tokens)
        return tokens

    def _decode(self, event: bytes) -> _Chunk:
        try:
            return self._decoder.decode(event)
        except msgspec.DecodeError as error:
            raise MalformedAnswerError(f"invalid chunk: {error}") from error

    def _take_chunk(self, chunk: _Chunk, tokens: list[tuple[int, str]]) -> None:
        if chunk.id != self._expected_id:
            raise StreamError(
                "wrong_answer", "a chunk carries the id of another request"
            )
        if chunk.error is not None:
            code = str(chunk.error.get("code", "unknown"))
            raise StreamError("engine_error", f"the engine reported {code}")
        if self._usage is not None:
            raise MalformedAnswerError("a chunk follows the finish reason")
        for choice in chunk.choices[:1]:
            if choice.delta.content is not None:
                self._take_token(chunk.offset, choice.delta.content, tokens)
            if choice.finish_reason is not None:
                self._finish(chunk, choice.finish_reason)

    def _take_token(self, offset: int, text: str, tokens: list) -> None:
        if self._next_offset is None and 0 <= offset <= self._first_offset:
            self._next_offset = offset
        if offset != self._next_offset:
            raise StreamError("offset_gap", f"token {offset} is out of order")
        self._next_offset += 1
        if offset >= self._first_offset:
            tokens.append((offset, text))

    def _finish(self, chunk: _Chunk, reason: str) -> None:
        if chunk.usage is None:
            raise MalformedAnswerError("the finish reason has no usage")
        try:
            usage = TargetUsage.parse(chunk.usage, reason)
        except (KeyError, TypeError, ValueError) as error:
            raise MalformedAnswerError(f"invalid usage: {error!r}") from error
        seen = self._first_offset if self._next_offset is None else self._next_offset
        if usage.completion_tokens != seen:
            raise StreamError("offset_gap", f"the output ends after token {seen}")
        self._usage = usage

    def _end(self) -> None:
        if self._usage is None:
            raise StreamError("truncated_answer", "the stream ended too early")
        self.ended = True
