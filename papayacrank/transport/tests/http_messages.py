"""Hypothesis strategies for corrupted HTTP messages."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

# All examples of a test share one function-scoped port.
SHARED_PORT_SETTINGS = settings(
    max_examples=200,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)

RESPONSES = (
    b"HTTP/1.1 200 OK\r\nid: r\r\nContent-Length: 5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nid: r\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n1;a=b\r\n!\r\n0\r\nt: 1\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nid: r\r\nRetry-After: 2\r\n"
    b"Content-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nid: r\r\nContent-Type: text/event-stream\r\n\r\n"
    b'data: {"a": 1}\n\ndata: [DONE]\n\n',
    b"HTTP/1.1 204 No Content\r\nid: r\r\n\r\n",
)
REQUESTS = (
    b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n0\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
    b"Content-Length: 2\r\n\r\nok",
)


@st.composite
def corrupted_messages(draw, messages: tuple[bytes, ...]) -> list[bytes]:
    """Draw a message with up to four corruptions, split into up to four parts."""
    data = draw(st.sampled_from(messages) | st.binary(min_size=1, max_size=200))
    for _ in range(draw(st.integers(0, 4))):
        first, last = sorted(
            draw(st.lists(st.integers(0, len(data)), min_size=2, max_size=2))
        )
        section = data[first:last]
        middle = draw(
            st.sampled_from((b"", section + section, section[::-1], section.swapcase()))
            | st.binary(max_size=8)
        )
        data = data[:first] + middle + data[last:]
    points = sorted(draw(st.lists(st.integers(0, len(data)), max_size=3)))
    edges = [0, *points, len(data)]
    parts = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    return [part for part in parts if part]
