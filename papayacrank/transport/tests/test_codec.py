"""Tests of compressed messages."""

import zlib

import msgspec
import pytest

from papayacrank.transport import MessageCodec, MessageDecodeError
from papayacrank.transport import _codec as codec_module


class Plain(msgspec.Struct, tag=True, frozen=True):
    """Message that is never compressed."""

    text: str


class Bulky(msgspec.Struct, tag=True, frozen=True):
    """Message that is compressed if it is large."""

    text: str


TEXT = "workspace " * 1_000


@pytest.fixture
def codec():
    """Return a codec of both types."""
    return MessageCodec((Plain, Bulky), (Bulky,))


@pytest.mark.parametrize("message", [Plain(TEXT), Bulky(TEXT), Bulky("x"), Plain("x")])
def test_messages_are_decoded_as_they_were_encoded(codec, message):
    assert codec.decode(codec.encode(message)) == message


def test_only_large_messages_of_the_given_types_are_compressed(codec):
    assert len(codec.encode(Bulky(TEXT))) < len(TEXT) / 20
    assert len(codec.encode(Plain(TEXT))) > len(TEXT)


@pytest.mark.parametrize("keep", [2, 10, -1])
def test_truncated_message_is_refused(codec, keep):
    with pytest.raises(MessageDecodeError):
        codec.decode(codec.encode(Bulky(TEXT))[:keep])


def test_message_that_decompresses_to_too_much_is_refused(codec, monkeypatch):
    monkeypatch.setattr(codec_module, "MAX_DECOMPRESSED_BYTES", 1_000)
    with pytest.raises(MessageDecodeError, match="too large"):
        codec.decode(zlib.compress(bytes(1_000_000)))


@pytest.mark.parametrize(
    ("data", "tag"),
    [
        (msgspec.msgpack.encode({"type": "Later", "x": 1}), "Later"),
        (msgspec.msgpack.encode({"type": "Plain"}), "Plain"),
        (msgspec.msgpack.encode({"type": "x" * 10_000}), "x" * 64),
        (msgspec.msgpack.encode({"type": 7}), ""),
        (b"\xc1", ""),
    ],
)
def test_undecodable_message_is_named(codec, data, tag):
    """Guards against messages of another build that are dropped without a trace."""
    with pytest.raises(MessageDecodeError) as caught:
        codec.decode(data)
    assert caught.value.tag == tag
