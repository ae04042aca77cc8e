"""Compressed form of large feed messages."""

import zlib

import msgspec

from ._feed import FeedBatch, FeedSnapshot, FeedUpdate

# Below this size, compression saves less than it costs.
MIN_BATCH_BYTES = 1_000
# Limit on the decompressed size. The largest configuration has some MB.
MAX_FEED_BYTES = 32 * 1024 * 1024
FASTEST_LEVEL = 1

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FeedUpdate | FeedSnapshot)


class FeedBatchError(ValueError):
    """A batch cannot be decompressed or contains no feed message."""


def encode_feed(message: FeedUpdate | FeedSnapshot) -> bytes:
    """Return the encoded message, as the link would send it."""
    return _ENCODER.encode(message)


def compress_feed(encoded: bytes) -> FeedBatch:
    """Return a batch that contains an encoded feed message."""
    return FeedBatch(zlib.compress(encoded, FASTEST_LEVEL))


def decompress_feed(batch: FeedBatch) -> FeedUpdate | FeedSnapshot:
    """Return the feed message of a batch.

    Raises
    ------
    FeedBatchError
        If the batch is damaged, incomplete or larger than `MAX_FEED_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(batch.data, MAX_FEED_BYTES)
        if not decompressor.eof:
            raise FeedBatchError("the batch is incomplete or too large")
        return _DECODER.decode(encoded)
    except (zlib.error, msgspec.DecodeError) as error:
        raise FeedBatchError(str(error)) from error
