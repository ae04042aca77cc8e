"""Serialization of HTTP requests with h11."""

import h11


def encode_request(
    protocol: h11.Connection, method: str, target: str, headers: list, body: bytes
) -> bytes:
    """Return a serialized request and advance the state of `protocol` past it.

    Parameters
    ----------
    headers : list of (bytes, bytes) or of (str, str)
        All headers, including those that frame the body.
    """
    data = protocol.send(h11.Request(method=method, target=target, headers=headers))
    if body:
        data += protocol.send(h11.Data(data=body))
    return data + protocol.send(h11.EndOfMessage())
