"""Block hashes, the index of cached prefixes, and the events that update it."""

from ._engine_events import EngineEvents, ListingRequest, ReplayRequest
from ._hashing import hash_prompt, hash_root, pack_hash, unpack_hash
from ._index import PrefixIndex, iterate_bits
from ._wire import (
    AllBlocksCleared,
    BlockRemoved,
    BlockStored,
    CacheListing,
    EventBatch,
    decode_batch,
    decode_listing,
    encode_batch,
    encode_listing,
)

__all__ = [
    "AllBlocksCleared",
    "BlockRemoved",
    "BlockStored",
    "CacheListing",
    "EngineEvents",
    "EventBatch",
    "ListingRequest",
    "PrefixIndex",
    "ReplayRequest",
    "decode_batch",
    "decode_listing",
    "encode_batch",
    "encode_listing",
    "hash_prompt",
    "hash_root",
    "iterate_bits",
    "pack_hash",
    "unpack_hash",
]
