"""Names under which requests and their prompt parts are blamed for crashes."""

import hashlib

from papayacrank.kernel import hash_fields

# Names of the shared parts of a request that are reported to the leader.
MAX_PARTS_PER_REQUEST = 32
# The name of the request itself stands before those of its parts.
MAX_NAMES_PER_REQUEST = 1 + MAX_PARTS_PER_REQUEST
DIGEST_CHARS = 32
# No name of a part contains a colon.
_REQUEST_PREFIX = "request:"


def name_request(workspace: str, method: str, target: str, body: bytes) -> str:
    """Return the name of a request, which is the same for each repeat.

    Identifiers, timeouts and other headers are not part of it. The workspace is, so
    that no workspace can choose the name of another one's request.

    Parameters
    ----------
    workspace : str
        Workspace of the caller; empty on routes without a key.
    method : str
        HTTP method.
    target : str
        HTTP request target, path and query.
    body : bytes
        Whole body.
    """
    digest = hashlib.sha256()
    hash_fields(digest, workspace, method, target, body)
    return _REQUEST_PREFIX + digest.hexdigest()[:DIGEST_CHARS]


def is_request(name: str) -> bool:
    """Whether a name is that of a whole request."""
    return name.startswith(_REQUEST_PREFIX)
