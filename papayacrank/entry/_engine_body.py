"""Body of requests to engines."""

from dataclasses import dataclass
from typing import Any

import msgspec


@dataclass(frozen=True, slots=True)
class EngineFields:
    """Fields that the system adds to a completion request.

    Parameters
    ----------
    request_id : str
        Identifier that the engine returns in each chunk.
    cache_salt : str
        Separates the cache entries of workspaces.
    priority : int
        Priority in the engine's queue.
    weights_version : str
        Version of the weights that must serve the request.
    max_tokens : int
        Maximum number of output tokens, counted from offset 0.
    resume_from : int
        Offset of the first output token to return.
    resume_text : str
        Output before that offset; an engine that does not have the request continues
        from it.
    kv_source : str or None
        Engine from which cache blocks may be imported.
    """

    request_id: str
    cache_salt: str
    priority: int
    weights_version: str
    max_tokens: int
    resume_from: int = 0
    resume_text: str = ""
    kv_source: str | None = None


def encode_engine_body(document: dict[str, Any], fields: EngineFields) -> bytes:
    """Encode the request body for an engine; `fields` override the caller's."""
    body = {k: v for k, v in document.items() if k != "max_completion_tokens"}
    body |= {
        "stream": True,
        "request_id": fields.request_id,
        "cache_salt": fields.cache_salt,
        "priority": fields.priority,
        "weights_version": fields.weights_version,
        "max_tokens": fields.max_tokens,
    }
    if fields.kv_source is not None:
        body["kv_source"] = fields.kv_source
    if fields.resume_from:
        body["resume_from"] = fields.resume_from
        body["resume_text"] = fields.resume_text
    return msgspec.json.encode(body)
