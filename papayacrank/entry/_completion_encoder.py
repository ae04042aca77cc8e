"""Encoding of completions in the chat completion format."""

from time import time
from typing import Any

import msgspec

from papayacrank.targets import TargetUsage

from ._responses import SSE_DONE, encode_sse


class CompletionEncoder:
    """Encodes the response to one completion request.

    Parameters
    ----------
    completion_id : str
        Identifier shown to the caller.
    model : str
        Model name from the request.
    """

    def __init__(self, completion_id: str, model: str):
        self._completion_id = completion_id
        self._model = model
        self._created_s = int(time())
        self._prefix: bytes | None = None

    def encode_token(self, offset: int, text: str) -> bytes:
        """Encode the server-sent event of one token.

        The fields that are the same for all tokens of a response are encoded once.
        """
        if self._prefix is None:
            shared = msgspec.json.encode(self._chunk_fields())
            self._prefix = b"data: " + shared[:-1]
        return (
            b'%s,"offset":%d,"choices":[{"index":0,"delta":{"content":%s},'
            b'"finish_reason":null}]}\n\n'
            % (self._prefix, offset, msgspec.json.encode(text))
        )

    def encode_end(self, offset: int, usage: TargetUsage) -> bytes:
        """Encode the final events: finish reason with usage, and ``[DONE]``."""
        choice = {"index": 0, "delta": {}, "finish_reason": usage.finish_reason}
        chunk = self._chunk_fields() | {
            "offset": offset,
            "choices": [choice],
            "usage": _describe_usage(usage),
        }
        return encode_sse(chunk) + SSE_DONE

    def encode_whole(self, text: str, usage: TargetUsage) -> bytes:
        """Encode the body of a response that is not streamed."""
        message = {"role": "assistant", "content": text}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": usage.finish_reason,
        }
        return msgspec.json.encode(
            self._chunk_fields()
            | {
                "object": "chat.completion",
                "choices": [choice],
                "usage": _describe_usage(usage),
            }
        )

    def _chunk_fields(self) -> dict[str, Any]:
        return {
            "id": self._completion_id,
            "object": "chat.completion.chunk",
            "created": self._created_s,
            "model": self._model,
        }


def _describe_usage(usage: TargetUsage) -> dict[str, Any]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }
