"""Encoding of HTTP responses to callers."""

from email.utils import formatdate
from functools import lru_cache
from time import time

import msgspec
from circuits.web.constants import HTTP_STATUS_CODES

from papayacrank.kernel import Failure

VERDICT_HEADER = "Papayacrank-Verdict"
JSON_TYPE = "application/json"
SSE_TYPE = "text/event-stream"
MS_PER_SECOND = 1000

Headers = list[tuple[str, str]]


@lru_cache(maxsize=1)
def _format_date(second: int) -> str:
    return formatdate(second, usegmt=True)


def encode_head(status: int, headers: Headers) -> bytes:
    """Encode the status line and headers of a response."""
    reason = HTTP_STATUS_CODES.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", f"Date: {_format_date(int(time()))}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a body with chunked transfer encoding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def encode_failure_body(failure: Failure, request_id: str) -> bytes:
    """Return the JSON body of a failure response."""
    error = {
        "code": failure.code,
        "message": failure.message,
        "verdict": failure.verdict.value,
        "retry_after_ms": failure.retry_after_ms,
        "request_id": request_id,
    }
    return msgspec.json.encode({"error": failure.details | error})


def build_failure_headers(failure: Failure) -> Headers:
    """Return the headers of a failure response.

    ``Retry-After`` is rounded up to whole seconds, at least 1.
    """
    headers = [
        ("Content-Type", JSON_TYPE),
        (VERDICT_HEADER, failure.verdict.value),
    ]
    if failure.retry_after_ms is not None:
        seconds = -(-failure.retry_after_ms // MS_PER_SECOND)
        headers.append(("Retry-After", str(max(1, seconds))))
    if failure.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return headers


def encode_sse(document: dict) -> bytes:
    """Encode one server-sent event."""
    return b"data: " + msgspec.json.encode(document) + b"\n\n"


def encode_sse_failure(failure: Failure, request_id: str) -> bytes:
    """Encode the server-sent event that ends a stream with an error."""
    return b"event: error\ndata: " + encode_failure_body(failure, request_id) + b"\n\n"


SSE_DONE = b"data: [DONE]\n\n"
