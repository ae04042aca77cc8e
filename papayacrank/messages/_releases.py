"""Messages on the releases of targets' software and the streams that they began."""

import msgspec


class BegunStream(msgspec.Struct, frozen=True, array_like=True):
    """Stream whose first event was sent to its caller.

    Attributes
    ----------
    stream : str
        Name of the stream, see `papayacrank.releases.name_stream`.
    release : str
        Release of the target that began it.
    """

    stream: str
    service: str
    release: str


class StreamsBegun(msgspec.Struct, tag=True, frozen=True):
    """Streams that an entry process has begun while several releases may serve."""

    instance: str
    streams: list[BegunStream]


class FindRelease(msgspec.Struct, tag=True, frozen=True):
    """Asks for the release that began a stream.

    Attributes
    ----------
    number : int
        Number of the question, unique in the sending process.
    stream : str
        Name of the stream; empty if the caller does not name it.
    """

    instance: str
    number: int
    service: str
    stream: str


class ReleaseFound(msgspec.Struct, tag=True, frozen=True):
    """Reply of the leader to `FindRelease`.

    Attributes
    ----------
    release : str
        Release that began the stream; empty if that is not known.
    """

    term: int
    number: int
    release: str
