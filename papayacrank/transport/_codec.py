"""MessagePack codec for a closed set of message types."""

from collections.abc import Iterable
from functools import reduce
from operator import or_
from typing import Any

import msgspec


class MessageDecodeError(ValueError):
    """The bytes are not a message of the set."""


class MessageCodec:
    """Encoder and decoder for tagged `msgspec` structs.

    Parameters
    ----------
    types : iterable of type
        Struct types declared with a tag; any other message is refused.
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
            If the type of the message is not in the set.
        """
        if not isinstance(message, self._types):
            raise TypeError(f"not a message of this codec: {type(message).__name__}")
        return self._encoder.encode(message)

    def decode(self, data: bytes) -> Any:
        """Decode one message.

        Raises
        ------
        MessageDecodeError
            If the bytes are no valid message of the set.
        """
        try:
            return self._decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            raise MessageDecodeError(str(error)) from error
