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
    service : str
        Service that the request would use.
    stream : str
        Name of the stream; empty if the caller does not name it.
    services : list of str
        All services of the route, any of which may have begun the stream.
    """

    instance: str
    number: int
    service: str
    stream: str
    services: list[str] = []


class ReleaseFound(msgspec.Struct, tag=True, frozen=True):
    """Reply of the leader to `FindRelease`.

    Attributes
    ----------
    release : str
        Release that began the stream; empty if that is not known.
    service : str
        Service that began the stream; empty if the leader does not name it.
    """

    term: int
    number: int
    release: str
    service: str = ""
