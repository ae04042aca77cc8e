"""Requests through an instance without targets and a peer, over real sockets."""

import socket

import pytest

from papayacrank.forwarding.tests.builders import build_target, build_view
from papayacrank.messages import EntryAddress

from .faulty_servers import (
    Entry,
    build_answer,
    build_event,
    build_stream_head,
    chunk,
    request_id_of,
)

EVENTS = b"".join(build_event(number) for number in (1, 2, 3))


def serve_plain(sock, data, number):
    """Answer a request of a plain service."""
    sock.sendall(build_answer(request_id_of(data)))


def serve_stream(sock, data, number):
    """Answer with a stream of three events."""
    sock.sendall(build_stream_head(request_id_of(data)))
    for event in (1, 2, 3):
        sock.sendall(chunk(build_event(event)))
    sock.sendall(b"0\r\n\r\n")


def closed_address():
    """Return an address that refuses connections."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def isolate(entry, service, peer):
    """Let an entry know only targets that it cannot reach, and a peer."""
    targets = [
        build_target(f"closed-{n}", service, address=closed_address()) for n in range(6)
    ]
    entry.forwarder.apply_fleet(build_view(*targets, sequence=2))
    entry.relay.set_instances(
        [EntryAddress("i2@1", 1, "east", peer.address, "serving")]
    )


@pytest.mark.parametrize(
    ("path", "service", "script", "body"),
    [
        ("/lookup/x", "plain", serve_plain, b"whole"),
        ("/claim/x", "plain", serve_plain, b"whole"),
        ("/reply/x", "engines", serve_stream, EVENTS),
    ],
)
def test_caller_of_an_instance_without_targets_gets_the_answer(
    path, service, script, body
):
    """Guards against failed, changed or repeated requests on the way over a peer."""
    with (
        Entry(script, service=service) as peer,
        Entry(script, service=service) as cut_off,
    ):
        isolate(cut_off, service, peer)
        for number in range(4):
            reply = cut_off.ask(path, f"r{number}", body=b"request")
            assert (reply.status, reply.body, reply.complete) == (200, body, True)
            assert reply.headers["papayacrank-request-id"] == f"r{number}"
        assert len(peer.servers[0].requests) == 4
        assert all(b"relayed" not in r.lower() for r in peer.servers[0].requests)
        assert cut_off.servers[0].requests == []


def test_request_is_refused_at_once_if_the_peer_has_no_path_either():
    """Guards against two instances that pass a request to each other."""
    with Entry(serve_plain) as first, Entry(serve_plain) as second:
        isolate(first, "plain", second)
        isolate(second, "plain", first)
        first.ask("/lookup/x", "r1")
        reply = first.ask("/lookup/x", "r2")
        assert reply.status == 503
        assert b'"not_run": true' in reply.body
