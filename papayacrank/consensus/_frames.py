"""Checksummed frames: length, checksum (xxh3-64), kind, payload.

One frame is one write that is followed by a sync before the next one starts. A damaged
frame that is followed by a valid one was therefore synced before it was damaged.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

HEADER = struct.Struct("<IQB")
KIND_OFFSET_BYTES = 12
MAX_PAYLOAD_BYTES = 1 << 30

# Values that are rare in text keep the search for later frames short.
KIND_SEGMENT = 0xB1
KIND_BATCH = 0xB2
KIND_SNAPSHOT = 0xB3
KIND_IDENTITY = 0xB4


@dataclass(frozen=True)
class Frame:
    """Valid frame and the offset after it."""

    kind: int
    payload: bytes
    end: int


def checksum_seed(text: str) -> int:
    """Return a checksum seed, so that a frame is valid only in its own file."""
    return xxhash.xxh3_64_intdigest(text.encode())


def encode_frame(kind: int, payload: bytes, seed: int) -> bytes:
    """Encode one frame."""
    checksum = _checksum(kind, payload, seed)
    return HEADER.pack(len(payload), checksum, kind) + payload


def decode_frame(data: bytes, offset: int, seed: int) -> Frame | None:
    """Decode the frame at an offset; None if it is not valid."""
    if offset < 0 or offset + HEADER.size > len(data):
        return None
    length, checksum, kind = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    end = start + length
    if not 0 < length <= MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[start:end]
    if _checksum(kind, payload, seed) != checksum:
        return None
    return Frame(kind, payload, end)


def read_frames(data: bytes, seed: int) -> Iterator[Frame]:
    """Yield the valid frames from the start of a file up to the first invalid one."""
    offset = 0
    while (frame := decode_frame(data, offset, seed)) is not None:
        yield frame
        offset = frame.end


def has_later_frame(data: bytes, offset: int, seed: int) -> bool:
    """Tell whether a valid frame starts anywhere after `offset`."""
    for kind in (KIND_SEGMENT, KIND_BATCH):
        at = data.find(bytes([kind]), offset + KIND_OFFSET_BYTES + 1)
        while at >= 0:
            if decode_frame(data, at - KIND_OFFSET_BYTES, seed) is not None:
                return True
            at = data.find(bytes([kind]), at + 1)
    return False


def _checksum(kind: int, payload: bytes, seed: int) -> int:
    digest = xxhash.xxh3_64(HEADER.pack(len(payload), 0, kind), seed=seed)
    digest.update(payload)
    return digest.intdigest()
