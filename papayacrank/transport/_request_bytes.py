"""Bytes of a whole request, framed by h11."""

import h11


def encode_request(
    protocol: h11.Connection, method: str, target: str, headers: list, body: bytes
) -> bytes:
    """Return a request with its body, and note in `protocol` that it was sent.

    Parameters
    ----------
    headers : list of (bytes, bytes) or of (str, str)
        All headers, with the framing of the body.
    """
    data = protocol.send(h11.Request(method=method, target=target, headers=headers))
    if body:
        data += protocol.send(h11.Data(data=body))
    return data + protocol.send(h11.EndOfMessage())
