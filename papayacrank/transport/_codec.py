"""MessagePack codec for a fixed set of message types."""

from collections.abc import Iterable
from functools import reduce
from operator import or_
from typing import Any

import msgspec


class MessageDecodeError(ValueError):
    """The bytes are not a valid message of the codec."""


class MessageCodec:
    """Encoder and decoder for tagged `msgspec` structs.

    Parameters
    ----------
    types : iterable of type
        Struct types declared with a tag. Messages of other types are rejected.
    """

    def __init__(self, types: Iterable[type]):
        self._types = tuple(types)
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
        return self._encoder.encode(message)

    def decode(self, data: bytes) -> Any:
        """Decode one message.

        Raises
        ------
        MessageDecodeError
            If the bytes are not a valid message of one of the types.
        """
        try:
            return self._decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            raise MessageDecodeError(str(error)) from error
