"""Decoding and validation of the token stream of an engine."""

import msgspec

from ._request import TargetUsage
from ._response import MalformedResponseError
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
    """Raised if a response or a stream violates the protocol with the target.

    Parameters
    ----------
    code : str
        Code of the resulting `TargetFailure`.
    message : str
        Explanation, which may reach the caller.
    """

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class TokenStream:
    """Decoder that checks the request ID and the token offsets of one stream.

    Each chunk must carry the expected ID, and offsets must be consecutive. An engine
    that cannot resume a stream starts again at an earlier offset; its tokens before
    `first_offset` are dropped.

    Parameters
    ----------
    expected_id : str
        ID that each chunk must carry.
    first_offset : int
        Offset of the first token to return.
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
        """Token counts; None until the chunk with the finish reason was received."""
        return self._usage

    def feed(self, data: bytes) -> list[tuple[int, str]]:
        """Decode received bytes.

        Parameters
        ----------
        data : bytes
            Part of the response body, cut at any place.

        Returns
        -------
        list of (int, str)
            Offset and text of each token that the bytes complete.

        Raises
        ------
        StreamError
            If the stream belongs to another request, has a gap or reports an error.
            Tokens that precede the fault in `data` are not returned.
        MalformedResponseError
            If the stream cannot be decoded.
        """
        tokens: list[tuple[int, str]] = []
        for event in self._parser.feed(data):
            if self.ended:
                raise MalformedResponseError("data after the end of the stream")
            if event == END_OF_STREAM:
                self._finish_stream()
            else:
                self._process_chunk(self._decode(event), tokens)
        return tokens

    def _decode(self, event: bytes) -> _Chunk:
        try:
            return self._decoder.decode(event)
        except msgspec.DecodeError as error:
            raise MalformedResponseError(f"invalid chunk: {error}") from error

    def _process_chunk(self, chunk: _Chunk, tokens: list[tuple[int, str]]) -> None:
        if chunk.id != self._expected_id:
            raise StreamError(
                "wrong_answer", "a chunk carries the id of another request"
            )
        if chunk.error is not None:
            code = str(chunk.error.get("code", "unknown"))
            raise StreamError("engine_error", f"the engine reported {code}")
        if self._usage is not None:
            raise MalformedResponseError("a chunk follows the finish reason")
        for choice in chunk.choices[:1]:
            if choice.delta.content is not None:
                self._process_token(chunk.offset, choice.delta.content, tokens)
            if choice.finish_reason is not None:
                self._record_usage(chunk, choice.finish_reason)

    def _process_token(self, offset: int, text: str, tokens: list) -> None:
        if self._next_offset is None and 0 <= offset <= self._first_offset:
            self._next_offset = offset
        if offset != self._next_offset:
            raise StreamError("offset_gap", f"token {offset} is out of order")
        self._next_offset += 1
        if offset >= self._first_offset:
            tokens.append((offset, text))

    def _record_usage(self, chunk: _Chunk, reason: str) -> None:
        if chunk.usage is None:
            raise MalformedResponseError("the finish reason has no usage")
        try:
            usage = TargetUsage.parse(chunk.usage, reason)
        except (KeyError, TypeError, ValueError) as error:
            raise MalformedResponseError(f"invalid usage: {error!r}") from error
        seen = self._first_offset if self._next_offset is None else self._next_offset
        if usage.completion_tokens != seen:
            raise StreamError("offset_gap", f"the output ends after token {seen}")
        self._usage = usage

    def _finish_stream(self) -> None:
        if self._usage is None:
            raise StreamError("truncated_answer", "the stream ended too early")
        self.ended = True
