"""Compression of messages between processes."""

import zlib

# The fastest level already shrinks routes and reports by a factor of 5 to 12.
COMPRESSION_LEVEL = 1


class CompressionError(ValueError):
    """Data is damaged, incomplete or larger than allowed when decompressed."""


def compress(data: bytes) -> bytes:
    """Return data in the zlib format."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Return the content of data in the zlib format.

    Parameters
    ----------
    data : bytes
        Compressed data.
    max_bytes : int
        Limit on the decompressed size.

    Raises
    ------
    CompressionError
        If the data is damaged or incomplete, or its content is larger than `max_bytes`.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise CompressionError(str(error)) from error
    if not decompressor.eof:
        raise CompressionError("the data is incomplete or too large")
    return content
