"""Frame format of the log files: length, checksum (xxh3-64), kind, payload.

Each frame is written and synced before the next one is written. A corrupt frame that
precedes a valid one was therefore already synced when it was corrupted.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

HEADER = struct.Struct("<IQB")
KIND_OFFSET_BYTES = 12
MAX_PAYLOAD_BYTES = 1 << 30

# These byte values are rare in text, so that `has_later_frame` checks few candidates.
KIND_SEGMENT = 0xB1
KIND_BATCH = 0xB2
KIND_SNAPSHOT = 0xB3
KIND_IDENTITY = 0xB4


@dataclass(frozen=True)
class Frame:
    """Decoded frame.

    Parameters
    ----------
    kind : int
        One of the ``KIND_*`` constants.
    payload : bytes
        Content of the frame.
    end : int
        Offset of the first byte after the frame.
    """

    kind: int
    payload: bytes
    end: int


def checksum_seed(text: str) -> int:
    """Derive a checksum seed from a file name, so that a frame is valid only there."""
    return xxhash.xxh3_64_intdigest(text.encode())


def encode_frame(kind: int, payload: bytes, seed: int) -> bytes:
    """Encode a frame."""
    checksum = _checksum(kind, payload, seed)
    return HEADER.pack(len(payload), checksum, kind) + payload


def decode_frame(data: bytes, offset: int, seed: int) -> Frame | None:
    """Decode the frame at an offset; return None if it is invalid."""
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
    """Yield the frames from the start of a file up to the first invalid one."""
    offset = 0
    while (frame := decode_frame(data, offset, seed)) is not None:
        yield frame
        offset = frame.end


def has_later_frame(data: bytes, offset: int, seed: int) -> bool:
    """Whether a valid log frame starts anywhere after `offset`."""
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
