"""Tests of the access to request records."""

from types import SimpleNamespace

import pytest

from papayacrank.accounting import RequestRecords
from papayacrank.control import digest_key
from papayacrank.entry._dispatcher import Dispatcher
from papayacrank.entry._request_parser import CallerRequest
from papayacrank.kernel import ManualClock
from papayacrank.messages import KeyEntry


class Contact:
    """Control contact with one key for each of two workspaces."""

    configuration = object()
    instances = ()

    def has_contact(self, now_ms: int) -> bool:
        """Return True, so that keys are accepted."""
        return True

    def find_key(self, digest: str) -> KeyEntry | None:
        """Return the key of a digest."""
        for workspace in ("team-a", "team-b"):
            if digest == digest_key(f"key-{workspace}"):
                return KeyEntry("id", workspace, digest)
        return None


class Exchange:
    """Exchange that stores the status of its response."""

    def __init__(self, peer: str, key: str | None):
        headers = {"authorization": f"Bearer {key}"} if key else {}
        path = "/v1/explain/request-1"
        self.peer = peer
        self.request_id = "asked"
        self.request = CallerRequest("GET", path, path, headers, b"", True)
        self.status = 0

    def respond(self, status, headers, body):
        """Keep the status."""
        self.status = status

    def respond_failure(self, failure):
        """Keep the status."""
        self.status = failure.status


@pytest.mark.parametrize(
    ("peer", "key", "status"),
    [
        ("127.0.0.1", None, 200),
        ("10.0.0.9", None, 401),
        ("10.0.0.9", "key-team-a", 200),
        ("10.0.0.9", "key-team-b", 404),
        ("10.0.0.9", "unknown", 401),
    ],
)
def test_record_is_shown_to_its_workspace_and_on_the_instance_only(peer, key, status):
    """Guards against access to the records of another workspace."""
    records = RequestRecords()
    records.open("request-1", "team-a", "sample-llm", 0)
    context = SimpleNamespace(
        boot=1, records=records, contact=Contact(), clock=ManualClock()
    )
    dispatcher = Dispatcher(context)
    dispatcher.set_status("serving")
    exchange = Exchange(peer, key)
    dispatcher._on_caller_request(exchange)
    assert exchange.status == status
