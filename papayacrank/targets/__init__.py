"""HTTP client for targets, and monitoring of the load and cache of engines."""

from ._assembler import Delivery, ResumePoint, ResumeStep, StreamAssembler
from ._cache_events import CacheEventSource, CacheEventSubscriber
from ._client import TargetClient
from ._headers import filter_request_headers, filter_response_headers
from ._load import LoadPoller
from ._notifications import (
    cache_batch,
    cache_listed,
    cache_listing_failed,
    cache_replay_ended,
    load_failed,
    load_observed,
    target_data,
    target_failed,
    target_finished,
    target_headers,
    target_token,
)
from ._prompt import encode_tokens, render_prompt
from ._request import (
    TargetClientLimits,
    TargetFailure,
    TargetRequest,
    TargetTimeouts,
    TargetUsage,
)

__all__ = [
    "CacheEventSource",
    "CacheEventSubscriber",
    "Delivery",
    "LoadPoller",
    "ResumePoint",
    "ResumeStep",
    "StreamAssembler",
    "TargetClient",
    "TargetClientLimits",
    "TargetFailure",
    "TargetRequest",
    "TargetTimeouts",
    "TargetUsage",
    "cache_batch",
    "cache_listed",
    "cache_listing_failed",
    "cache_replay_ended",
    "encode_tokens",
    "filter_request_headers",
    "filter_response_headers",
    "load_failed",
    "load_observed",
    "render_prompt",
    "target_data",
    "target_failed",
    "target_finished",
    "target_headers",
    "target_token",
]
