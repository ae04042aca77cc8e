"""Compressed form of large feed messages."""

import msgspec

from papayacrank.kernel import CompressionError, compress, decompress

from ._feed import FeedBatch, FeedSnapshot, FeedUpdate

# Below this size, compression saves less than it costs.
MIN_BATCH_BYTES = 1_000
# Limit on the decompressed size. The largest configuration has some MB.
MAX_FEED_BYTES = 32 * 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FeedUpdate | FeedSnapshot)


class FeedBatchError(ValueError):
    """A batch cannot be decompressed or contains no feed message."""


def encode_feed(message: FeedUpdate | FeedSnapshot) -> bytes:
    """Return the encoded message, as the link would send it."""
    return _ENCODER.encode(message)


def compress_feed(encoded: bytes) -> FeedBatch:
    """Return a batch that contains an encoded feed message."""
    return FeedBatch(compress(encoded))


def decompress_feed(batch: FeedBatch) -> FeedUpdate | FeedSnapshot:
    """Return the feed message of a batch.

    Raises
    ------
    FeedBatchError
        If the batch is damaged, incomplete or larger than `MAX_FEED_BYTES`.
    """
    try:
        return _DECODER.decode(decompress(batch.data, MAX_FEED_BYTES))
    except (CompressionError, msgspec.DecodeError) as error:
        raise FeedBatchError(str(error)) from error
