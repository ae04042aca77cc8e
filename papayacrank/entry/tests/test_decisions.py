"""Tests of drain, route responses, warm-up, idempotency keys and authentication."""

from datetime import UTC, datetime, timedelta

import pytest

from papayacrank.control import digest_key
from papayacrank.entry._authentication import authenticate, find_exposed_key
from papayacrank.entry._drain import FEED_PROPAGATION_MS, Drain, DrainState
from papayacrank.entry._idempotency_key import generate_key, resolve_key
from papayacrank.entry._request_parser import CallerRequest
from papayacrank.entry._route_response import build_route, list_serving
from papayacrank.entry._warmup import (
    BUSY_RETRY_MS,
    PAGE_TIMEOUT_MS,
    PageReceived,
    WarmupClient,
    WarmupEnded,
    WarmupServer,
)
from papayacrank.kernel import Send, SetTimer, Verdict
from papayacrank.messages import (
    EntryAddress,
    KeyEntry,
    WarmupReply,
    WarmupRequest,
)

KEEP_MS = 5_000
LEASE_MS = 3_000
NOW = datetime(2026, 1, 2, 3, 4, 5, tzinfo=UTC)


def make_instance(number: int, status: str = "serving") -> EntryAddress:
    domain = f"domain-{number % 3}"
    return EntryAddress(f"entry-{number}", 1, domain, f"127.0.0.1:{number}", status)


# Drain


def test_drain_waits_for_route_responses_and_requests():
    """Guards against a stop while callers use this address or wait for a response."""
    drain = Drain(LEASE_MS)
    drain.begin(0)
    assert drain.update(100, False, KEEP_MS, 1) is DrainState.ANNOUNCED
    assert drain.update(200, True, KEEP_MS, 0) is DrainState.LEAVING
    expired_ms = 200 + FEED_PROPAGATION_MS + KEEP_MS
    assert drain.update(expired_ms - 1, True, KEEP_MS, 0) is DrainState.LEAVING
    assert drain.update(expired_ms, True, KEEP_MS, 1) is DrainState.LEAVING
    assert drain.update(expired_ms + 1, True, KEEP_MS, 0) is DrainState.STOPPED


def test_drain_ends_without_the_control_group():
    """Guards against a process that cannot stop while it is isolated."""
    drain = Drain(LEASE_MS)
    drain.begin(0)
    assert drain.update(LEASE_MS, False, KEEP_MS, 0) is DrainState.LEAVING


# Route responses


def test_route_omits_draining_and_starting_instances():
    """Guards against route responses that list a draining or starting instance."""
    instances = [make_instance(1, "draining"), make_instance(2, "starting")]
    instances += [make_instance(3), make_instance(4)]
    names = [i.instance for i in list_serving(instances, "entry-4", False)]
    assert names == ["entry-3"]


def test_route_spreads_callers_and_offers_other_domains():
    """Guards against fallback addresses that fail together with the first one."""
    instances = [make_instance(number) for number in range(12)]
    routes = [build_route(instances, rotation, KEEP_MS) for rotation in range(12)]
    assert len({route["addresses"][0] for route in routes}) == 12
    for rotation, route in enumerate(routes):
        first_domain = instances[rotation % 12].failure_domain
        domains = {i.address: i.failure_domain for i in instances}
        assert all(domains[address] != first_domain for address in route["fallback"])
        assert not set(route["addresses"]) & set(route["fallback"])


def test_route_without_instances_is_empty():
    """Guards against a failure while no instance is known."""
    assert build_route([], 7, KEEP_MS)["addresses"] == []


# Warm-up


def make_warmup_server(max_copies: int = 1) -> WarmupServer:
    pages = {"": (b"first", "5"), "5": (b"second", "")}
    return WarmupServer(pages.__getitem__, max_copies)


def run_warmup(client: WarmupClient, servers: dict, now_ms: int = 0) -> list:
    """Exchange messages until the copy ends; return its pages and its end."""
    pending, results = client.start(list(servers), now_ms), []
    while pending:
        effect = pending.pop(0)
        if isinstance(effect, Send):
            reply = servers[effect.to].receive("new", effect.message, True, now_ms)
            pending += client.receive(effect.to, reply[0].message, now_ms)
        elif isinstance(effect, PageReceived | WarmupEnded):
            results.append(effect)
    return results


def test_copy_transfers_all_pages():
    """Guards against an incomplete copy that is reported as complete."""
    results = run_warmup(WarmupClient("new", 1, 5_000), {"peer": make_warmup_server()})
    assert [f.page for f in results[:2]] == [b"first", b"second"]
    assert results[2] == WarmupEnded(True, "peer")


def test_source_bounds_copies_and_forgets_silent_ones():
    """Guards against many restarted instances that copy from one at the same time."""
    server = make_warmup_server(max_copies=1)
    first, second = WarmupRequest("a", 1), WarmupRequest("b", 1)
    assert server.receive("a", first, True, 0)[0].message.accepted
    assert not server.receive("b", second, True, 0)[0].message.accepted
    assert server.receive("b", second, True, 10_000)[0].message.accepted


@pytest.mark.parametrize("cursor", ["x", "-1", "9" * 40, "٣"])
def test_source_refuses_malformed_cursors(cursor):
    """Guards against an exception on a request of an incompatible version."""
    reply = make_warmup_server().receive("a", WarmupRequest("a", 1, cursor), True, 0)
    assert not reply[0].message.accepted


def test_copy_asks_the_next_peer_after_a_silence_or_refusal():
    """Guards against a startup that waits for a single peer."""
    client = WarmupClient("new", 1, 5_000)
    effects = client.start(["silent", "busy"], 0)
    assert effects[1] == SetTimer("warmup", PAGE_TIMEOUT_MS)
    assert client.tick(PAGE_TIMEOUT_MS)[0].to == "busy"
    refused = client.receive("busy", WarmupReply(False), 1_100)
    assert refused == [SetTimer("warmup", 1_100 + BUSY_RETRY_MS)]
    assert client.receive("silent", WarmupReply(False), 1_100) == []
    assert client.tick(5_000)[-1] == WarmupEnded(False)
    assert client.tick(6_000) == []


def test_copy_without_peers_ends_at_once():
    """Guards against a delay when all instances restart at the same time."""
    assert WarmupClient("new", 1, 5_000).start([], 0)[-1] == WarmupEnded(False)


# Idempotency keys


def test_generated_key_is_accepted_until_its_record_may_expire():
    """Guards against running an action again after its record has expired."""
    key = generate_key(NOW)
    assert resolve_key(key, NOW + timedelta(hours=23)).ok == key
    failure = resolve_key(key, NOW + timedelta(hours=24)).error
    assert (failure.status, failure.verdict) == (409, Verdict.MAY_HAVE_RUN)


@pytest.mark.parametrize("key", ["a b", "x" * 201, "\x7f", "é"])
def test_malformed_idempotency_keys_are_refused(key):
    """Guards against keys that cannot be sent back in a header."""
    assert resolve_key(key, NOW).error.status == 400


# Authentication


class SingleKeyDirectory:
    """Key directory with one key, in two formats."""

    def find_key(self, digest: str) -> KeyEntry | None:
        """Return the key of a digest."""
        if digest in (digest_key("secret-1"), digest_key(GRANTED_KEY)):
            return KeyEntry("key-1", "team-a", digest)
        return None


GRANTED_KEY = "ppk_" + "0a" * 32


def make_request(authorization: str | None, body: bytes = b"") -> CallerRequest:
    headers = {} if authorization is None else {"authorization": authorization}
    return CallerRequest("POST", "/a", "/a", headers, body, True)


@pytest.mark.parametrize(
    "authorization",
    [None, "", "secret-1", "Bearer", "Bearer ", "Bearer secret-2", "Basic secret-1"],
)
def test_missing_and_unknown_keys_are_refused(authorization):
    """Guards against accepting a request without a valid key."""
    assert (
        authenticate(make_request(authorization), SingleKeyDirectory()).error.status
        == 401
    )


def test_key_opens_its_workspace_only():
    """Guards against a request that runs for another workspace."""
    caller = authenticate(make_request("Bearer secret-1"), SingleKeyDirectory()).ok
    assert (caller.workspace, caller.key_id) == ("team-a", "key-1")


@pytest.mark.parametrize("body", [b"a secret-1 b", b'"\\u0073ecret-1"'])
def test_key_in_the_body_is_refused(body):
    """Guards against forwarding a key to a target."""
    result = authenticate(make_request("Bearer secret-1", body), SingleKeyDirectory())
    assert result.error.code == "key_exposed"


@pytest.mark.parametrize("authorization", [None, "Bearer secret-1"])
def test_another_key_in_force_is_refused_too(authorization):
    """Guards against forwarding another valid key, also in a public request."""
    request = make_request(authorization, b"token=" + GRANTED_KEY.encode())
    assert find_exposed_key(request, SingleKeyDirectory()).code == "key_exposed"
    withdrawn = make_request(authorization, b"token=ppk_" + b"00" * 32)
    assert find_exposed_key(withdrawn, SingleKeyDirectory()) is None
