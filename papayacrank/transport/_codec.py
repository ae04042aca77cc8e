"""MessagePack codec for a fixed set of message types."""

from collections.abc import Iterable
from functools import reduce
from operator import or_
from typing import Any

import msgspec

from papayacrank.kernel import CompressionError, compress, decompress

# Below this size, compression saves less than it costs.
MIN_COMPRESSED_BYTES = 2_000
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
# First byte of the zlib format. A MessagePack message begins with another one, because
# it is a map or an array.
ZLIB_MARK = b"\x78"
MAX_TAG_CHARACTERS = 64


class MessageDecodeError(ValueError):
    """The bytes are not a valid message of the codec.

    Parameters
    ----------
    message : str
        Reason.
    tag : str
        Tag of the message type, empty if it cannot be read.
    """

    def __init__(self, message: str, tag: str = ""):
        super().__init__(message)
        self.tag = tag


class _Tagged(msgspec.Struct):
    type: str


class MessageCodec:
    """Encoder and decoder for tagged `msgspec` structs.

    Parameters
    ----------
    types : iterable of type
        Struct types declared with a tag. Messages of other types are rejected.
    compressed : iterable of type
        Types whose large messages are sent compressed; all receivers must run a version
        that decodes these.
    """

    def __init__(self, types: Iterable[type], compressed: Iterable[type] = ()):
        self._types = tuple(types)
        self._compressed = tuple(compressed)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(reduce(or_, self._types))

    def encode(self, message: Any) -> bytes:
        """Encode one message.

        Raises
        ------
        TypeError
            If the message type was not passed to the constructor.
        """
        if not isinstance(message, self._types):
            raise TypeError(f"unsupported message type {type(message).__name__}")
        data = self._encoder.encode(message)
        if len(data) >= MIN_COMPRESSED_BYTES and isinstance(message, self._compressed):
            return compress(data)
        return data

    def decode(self, data: bytes) -> Any:
        """Decode one message.

        Raises
        ------
        MessageDecodeError
            If the bytes are not a valid message of one of the types.
        """
        try:
            if data[:1] == ZLIB_MARK:
                data = decompress(data, MAX_DECOMPRESSED_BYTES)
            return self._decoder.decode(data)
        except (CompressionError, msgspec.DecodeError, RecursionError) as error:
            raise MessageDecodeError(str(error), _read_tag(data)) from error


def _read_tag(data: bytes) -> str:
    """Return the tag of a message, which may be of a type of a later build."""
    try:
        tag = msgspec.msgpack.decode(data, type=_Tagged).type
    except (msgspec.DecodeError, RecursionError):
        return ""
    return tag[:MAX_TAG_CHARACTERS]
