"""Wire format of the cache events and listings of engines.

A batch is the MessagePack array ``[timestamp, [event, ...], incarnation]``. For engines
that omit the incarnation, the one in their load reports is used. Block hashes are the
chained 128-bit hashes of `hash_prompt`, 16 bytes each, big-endian. A listing is the
JSON object ``{"incarnation", "sequence", "block_hashes"}`` with the hashes in
hexadecimal digits.
"""

from collections.abc import Iterable

import msgspec

from ._hashing import HASH_BYTES, pack_hash


class BlockStored(msgspec.Struct, tag="BlockStored", array_like=True, frozen=True):
    """The engine has stored blocks; the fields after the first are not used."""

    block_hashes: list[bytes]
    parent_block_hash: bytes | None = None
    token_ids: list[int] = []
    block_size: int = 0
    extra_keys: list[str] | None = None


class BlockRemoved(msgspec.Struct, tag="BlockRemoved", array_like=True, frozen=True):
    """The engine has evicted blocks."""

    block_hashes: list[bytes]


class AllBlocksCleared(
    msgspec.Struct, tag="AllBlocksCleared", array_like=True, frozen=True
):
    """The engine has cleared its cache, for example to load weights."""


CacheEvent = BlockStored | BlockRemoved | AllBlocksCleared


class EventBatch(msgspec.Struct, array_like=True, frozen=True):
    """Events published under one sequence number.

    Attributes
    ----------
    timestamp : float
        Wall clock of the engine in seconds; not used.
    incarnation : int
        Number that increases with each start of the engine, 0 if omitted.
    """

    timestamp: float
    events: list[CacheEvent]
    incarnation: int = 0


class CacheListing(msgspec.Struct, frozen=True):
    """All blocks that an engine holds.

    Attributes
    ----------
    sequence : int
        Sequence number of the last batch included in the listing.
    """

    incarnation: int
    sequence: int
    block_hashes: list[str]


def encode_batch(
    incarnation: int,
    stored: Iterable[int] = (),
    removed: Iterable[int] = (),
    cleared: bool = False,
    timestamp: float = 0.0,
) -> bytes:
    """Encode a batch; its events are in the order cleared, removed, stored."""
    events: list[CacheEvent] = []
    if cleared:
        events.append(AllBlocksCleared())
    if removed:
        events.append(BlockRemoved([pack_hash(value) for value in removed]))
    if stored:
        events.append(BlockStored([pack_hash(value) for value in stored]))
    return msgspec.msgpack.encode(EventBatch(timestamp, events, incarnation))


def encode_listing(incarnation: int, sequence: int, hashes: Iterable[int]) -> bytes:
    """Encode a listing of all blocks of an engine."""
    digits = [f"{value:0{2 * HASH_BYTES}x}" for value in hashes]
    return msgspec.json.encode(CacheListing(incarnation, sequence, digits))


_batch_decoder = msgspec.msgpack.Decoder(EventBatch)
_listing_decoder = msgspec.json.Decoder(CacheListing)


def decode_batch(payload: bytes) -> EventBatch:
    """Decode a batch.

    Raises
    ------
    msgspec.DecodeError
        If `payload` is malformed.
    """
    return _batch_decoder.decode(payload)


def decode_listing(payload: bytes) -> CacheListing:
    """Decode a listing.

    Raises
    ------
    msgspec.DecodeError
        If `payload` is malformed.
    """
    return _listing_decoder.decode(payload)
