"""Validation of responses and conversion of received bytes to events."""

from circuits import Event

from papayacrank.permits import read_rate_statement

from ._exchange import (
    EVENT_STREAM,
    ID_HEADER,
    MAX_REFUSAL_BODY_BYTES,
    RATE_LIMIT_HEADER,
    Attempt,
)
from ._headers import filter_response_headers
from ._notifications import target_data, target_headers, target_rate, target_token
from ._stream import StreamError

OK = 200


class UnidentifiedResponseError(Exception):
    """Raised if a response may belong to an earlier request on its connection."""


def process_received_bytes(attempt: Attempt, data: bytes) -> list[Event]:
    """Parse and check received bytes, and return the events to fire for them.

    Parameters
    ----------
    attempt : Attempt
        Attempt whose response the bytes belong to; its progress is updated.
    data : bytes
        Received bytes.

    Returns
    -------
    list of Event
        Events to fire, in order.

    Raises
    ------
    StreamError, MalformedResponseError
        If the response is invalid; then none of the bytes is delivered.
    UnidentifiedResponseError
        If the response may belong to an earlier request on the connection.
    """
    attempt.response_started = True
    # A request whose response has started is not sent again; release its bytes.
    attempt.encoded_request = b""
    had_head = attempt.reader.head is not None
    body = attempt.reader.feed(data)
    events = []
    got_head = not had_head and attempt.reader.head is not None
    if got_head:
        events += _process_head(attempt)
    body_events = _process_body(attempt, body) if body else []
    attempt.made_progress = got_head or bool(body_events)
    return events + body_events


def _process_head(attempt: Attempt) -> list[Event]:
    request, head = attempt.request, attempt.reader.head
    _check_request_id(attempt)
    statement = read_rate_statement(head.find_all(RATE_LIMIT_HEADER))
    rate = target_rate(request.request_id, statement, 200 <= head.status < 300)
    if attempt.stream is not None and head.status != OK:
        attempt.refused = True
        return [rate]
    content_type = head.find("content-type") or ""
    if attempt.stream is not None and not content_type.startswith(EVENT_STREAM):
        raise StreamError("malformed_answer", "the answer is no event stream")
    headers = filter_response_headers(head.headers)
    return [rate, target_headers(request.request_id, head.status, headers)]


def _check_request_id(attempt: Attempt) -> None:
    request = attempt.request
    echo = attempt.reader.head.find(ID_HEADER)
    if echo is None and attempt.expects_id:
        raise UnidentifiedResponseError
    if echo is None and request.require_echo:
        raise StreamError("wrong_answer", "the answer carries no request id")
    if request.check_echo and echo not in (None, request.expected_id):
        raise StreamError("wrong_answer", "the answer carries another request id")


def _process_body(attempt: Attempt, body: bytes) -> list[Event]:
    request_id = attempt.request.request_id
    attempt.body_bytes += len(body)
    if attempt.body_bytes > attempt.request.max_body_bytes:
        raise StreamError("answer_too_large", "the answer exceeds its limit")
    if attempt.refused:
        room = MAX_REFUSAL_BODY_BYTES - len(attempt.refusal_body)
        attempt.refusal_body += body[:room]
        return []
    if attempt.stream is None:
        return [target_data(request_id, body)]
    tokens = attempt.stream.feed(body)
    attempt.first_token_received = attempt.first_token_received or bool(tokens)
    return [target_token(request_id, offset, text) for offset, text in tokens]
