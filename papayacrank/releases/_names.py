"""Names under which the streams of callers are recorded."""

import hashlib

from papayacrank.kernel import hash_fields

DIGEST_CHARS = 24


def name_stream(workspace: str, request_id: str) -> str:
    """Return the name of the stream that began with a request.

    The workspace is part of it, because request ids are chosen by callers.
    """
    digest = hashlib.sha256()
    hash_fields(digest, workspace, request_id)
    return digest.hexdigest()[:DIGEST_CHARS]
