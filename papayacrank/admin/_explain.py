"""Queries entry processes for the record of a request."""

import http.client
import json
from urllib.parse import quote

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
STATUS_OK = 200
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404


class ExplainError(Exception):
    """No entry process returned the record, and at least one could not be queried."""


def explain_request(
    addresses: list[str], request_id: str, timeout_ms: int, key: str | None = None
) -> dict | None:
    """Return the record of a request.

    Parameters
    ----------
    addresses : list of str
        Entry processes as ``ip:port``, queried in order until one has the record.
    request_id : str
        Identifier that the caller received.
    timeout_ms : int
        Timeout for each process, in milliseconds.
    key : str, optional
        API key of the workspace of the request. Entry processes require it, except
        for connections from 127.x.

    Returns
    -------
    dict or None
        Record, or None if no process has one.

    Raises
    ------
    ExplainError
        If a process could not be queried and no other one has the record.
    """
    errors = []
    for address in addresses:
        try:
            record = _fetch_record(address, request_id, timeout_ms, key)
        except (OSError, http.client.HTTPException, ValueError) as error:
            errors.append(f"{address}: {error}")
            continue
        if record is not None:
            return record
    if errors or not addresses:
        raise ExplainError("; ".join(errors) or "no entry process is known")
    return None


def _fetch_record(
    address: str, request_id: str, timeout_ms: int, key: str | None
) -> dict | None:
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    connection = http.client.HTTPConnection(address, timeout=timeout_ms / 1000)
    try:
        path = f"/v1/explain/{quote(request_id, safe='')}"
        connection.request("GET", path, headers=headers)
        response = connection.getresponse()
        body = response.read(MAX_RESPONSE_BYTES)
    finally:
        connection.close()
    if response.status == STATUS_NOT_FOUND:
        return None
    if response.status == STATUS_UNAUTHORIZED:
        raise ValueError("status 401; give --key-file with a key of the workspace")
    if response.status != STATUS_OK:
        raise ValueError(f"status {response.status}")
    return json.loads(body)
