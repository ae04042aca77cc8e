"""Incremental parser of server-sent events."""

from ._request import MAX_SSE_EVENT_BYTES
from ._response import MalformedResponseError

DATA_FIELD = b"data:"


class SseParser:
    """Splits a byte stream into the data of server-sent events.

    Only the ``data`` field is used; comments and other fields are skipped.
    """

    def __init__(self):
        self._buffer = bytearray()
        self._data: list[bytes] = []

    def feed(self, data: bytes) -> list[bytes]:
        """Parse received bytes and return the data of the events completed by them.

        Parameters
        ----------
        data : bytes
            Received bytes, cut at any place.

        Returns
        -------
        list of bytes
            The ``data`` field of each event, in order.

        Raises
        ------
        MalformedResponseError
            If an event exceeds `MAX_SSE_EVENT_BYTES`.
        """
        self._buffer += data
        events = []
        lines = self._buffer.split(b"\n")
        self._buffer = lines.pop()
        for line in lines:
            self._process_line(bytes(line).removesuffix(b"\r"), events)
        if len(self._buffer) + sum(map(len, self._data)) > MAX_SSE_EVENT_BYTES:
            raise MalformedResponseError("a server-sent event is too large")
        return events

    def _process_line(self, line: bytes, events: list[bytes]) -> None:
        if line.startswith(DATA_FIELD):
            self._data.append(line.removeprefix(DATA_FIELD).removeprefix(b" "))
        elif not line and self._data:
            events.append(b"\n".join(self._data))
            self._data = []
