"""Tests of the codec, the link and the timers."""

import contextlib

import msgspec
import pytest
from circuits import BaseComponent, Event, handler
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from papayacrank.config import EntryTimings
from papayacrank.kernel import ManualClock, MonotonicClock
from papayacrank.messages import CONTROL_MESSAGES, NotLeader
from papayacrank.testing import Relay
from papayacrank.transport import (
    Link,
    LinkSettings,
    MessageCodec,
    MessageDecodeError,
    Timers,
    install_process_handlers,
)

CODEC = MessageCodec(CONTROL_MESSAGES)
SILENCE_STEP_MS = 100
# Time for the new connection and its first heartbeat on a busy machine.
RECONNECT_ALLOWANCE_MS = 500


class Node(BaseComponent):
    """Component with a link that records the received messages."""

    channel = "link"

    def __init__(self, name, listen=None, peers=None):
        super().__init__()
        install_process_handlers(self)
        settings = LinkSettings(name, listen, peers or {})
        self.link = Link(settings, CODEC).register(self)
        self.messages = []
        self._running = True

    @handler("received")
    def _on_received(self, sender, message):
        self.messages.append((sender, message))


def run_until(nodes, condition, timeout_ms=5_000):
    """Tick the nodes until the condition holds."""
    clock = MonotonicClock()
    deadline_ms = clock.now_ms() + timeout_ms
    while not condition():
        assert clock.now_ms() < deadline_ms, "timed out"
        for node in nodes:
            node.tick(0.002)


def test_link_carries_messages_both_ways():
    """Guards against replies that are not routed back to the client."""
    server = Node("control-1", "127.0.0.1:0")
    client = Node("entry-1", peers={"control-1": server.link.listen_address})

    def exchanged():
        if not client.messages:
            client.link.send("control-1", NotLeader("r1"))
        if server.messages:
            server.link.send("entry-1", NotLeader("r2", "control-2"))
        return client.messages

    run_until([server, client], exchanged)
    assert server.messages[0] == ("entry-1", NotLeader("r1"))
    assert client.messages[0] == ("control-1", NotLeader("r2", "control-2"))
    for node in (server, client):
        node.link.close()


def test_traffic_is_logged_by_type_and_once():
    """Guards against an overloaded link whose traffic cannot be attributed."""
    server = Node("control-1", "127.0.0.1:0")
    client = Node("entry-1", peers={"control-1": server.link.listen_address})
    message = NotLeader("r1")
    size = len(CODEC.encode(message))
    run_until([server, client], lambda: client.link.send("control-1", message))
    run_until([server, client], lambda: server.messages)
    with capture_logs() as events:
        client.link.log_traffic()
        server.link.log_traffic()
        server.link.log_traffic()
    sent, received, empty = events
    assert sent["sent"] == {"NotLeader": [1, size]}
    assert received["received"] == {"NotLeader": [1, size]}
    assert (empty["sent"], empty["received"]) == ({}, {})
    for node in (server, client):
        node.link.close()


def test_queued_read_after_close_is_ignored():
    """Guards against a handler that accesses a closed socket during shutdown."""
    server = Node("control-1", "127.0.0.1:0")
    fd = next(iter(server.link._socket_by_fd))
    server.link.close()
    server.link._on_read(fd)
    assert server.link.listen_address is None


def test_send_to_unknown_process_is_reported():
    """Guards against an unreported loss when no process with the name is connected."""
    server = Node("control-1", "127.0.0.1:0")
    assert server.link.send("entry-9", NotLeader("r1")) is False
    server.link.close()


@given(st.binary(max_size=200))
def test_decoder_accepts_or_raises_its_own_error(data):
    """Guards against arbitrary bytes raising anything but a decode error."""
    try:
        message = CODEC.decode(data)
    except MessageDecodeError:
        return
    assert isinstance(message, CONTROL_MESSAGES)


def test_encoder_refuses_foreign_types():
    """Guards against messages that the receiver cannot decode."""

    class Foreign(msgspec.Struct, tag=True):
        """Message type that the codec does not support."""

    with pytest.raises(TypeError, match="Foreign"):
        CODEC.encode(Foreign())


def test_timers_fire_in_order_and_can_be_replaced():
    """Guards against a replaced or cancelled timer that still fires."""
    clock = ManualClock()
    root = BaseComponent()
    timers = Timers(clock).register(root)
    fired = []
    for name, at_ms in (("b", 20), ("a", 10), ("c", 30)):
        timers.set(name, at_ms, lambda name=name: fired.append(name))
    timers.set("c", 5, lambda: fired.append("c2"))
    timers.cancel("b")
    clock.advance(40)
    root._running = True
    root.tick(0)
    assert fired == ["c2", "a"]


def test_exception_of_a_timer_does_not_discard_the_others():
    """Guards against deadlines and sweeps that stop after an exception elsewhere."""
    clock = ManualClock(0)
    root = BaseComponent()
    timers = Timers(clock).register(root)
    fired = []
    timers.set("a", 10, lambda: 1 / 0)
    timers.set("b", 20, lambda: fired.append("b"))
    clock.advance(40)
    root._running = True
    root.tick(0)
    root.tick(0)
    assert fired == ["b"]


def test_timer_that_another_one_cancels_does_not_fire():
    """Guards against a timer of a request that has ended in the same iteration."""
    clock = ManualClock(0)
    root = BaseComponent()
    timers = Timers(clock).register(root)
    fired = []
    timers.set("a", 10, lambda: timers.cancel("b"))
    timers.set("b", 20, lambda: fired.append("b"))
    clock.advance(40)
    root._running = True
    root.tick(0)
    assert fired == []


def test_events_fired_by_a_timer_do_not_wait_for_the_poller():
    """Guards against a poller that blocks while an event of a timer is queued."""
    clock = MonotonicClock()
    root = BaseComponent()
    install_process_handlers(root)
    timers = Timers(clock).register(root)
    seen_ms = []

    class Sink(BaseComponent):
        channel = "sink"

        @handler("probe")
        def _on_probe(self):
            seen_ms.append(clock.now_ms())
            root.stop()

    Sink().register(root)
    set_ms = clock.now_ms()
    timers.set("late", set_ms + 3_000, root.stop)
    timers.set("a", set_ms + 20, lambda: root.fire(Event.create("probe"), "sink"))
    root.run()
    assert seen_ms[0] - set_ms < 1_000


def test_silent_connection_is_replaced_within_the_contact_limit():
    """Guards against a contact limit that expires before the connection is replaced.

    The last acknowledged heartbeat may be one interval old when the connection stops
    responding, and a busy process needs time to reconnect. The time of the failure is
    varied over one heartbeat interval of the link.
    """
    timings = EntryTimings()
    limit_ms = timings.control_contact_ms - timings.heartbeat_interval_ms
    server = Node("control-1", "127.0.0.1:0")
    clock = MonotonicClock()
    with contextlib.ExitStack() as stack:
        relays = [
            stack.enter_context(Relay(server.link.listen_address)) for _ in range(5)
        ]
        clients = [
            Node(f"entry-{number}", peers={"control-1": relay.address})
            for number, relay in enumerate(relays)
        ]
        nodes = [server, *clients]
        for client in clients:
            run_until(
                nodes, lambda client=client: send_and_check_received(server, client)
            )
        frozen_at_ms = {}
        for client, relay in zip(clients, relays, strict=True):
            pause_until_ms = clock.now_ms() + SILENCE_STEP_MS
            run_until(nodes, lambda until=pause_until_ms: clock.now_ms() >= until)
            relay.freeze_open()
            frozen_at_ms[client] = clock.now_ms()
        server.messages.clear()
        waits_ms = {}

        def all_replaced():
            for client in clients:
                if client not in waits_ms and send_and_check_received(server, client):
                    waits_ms[client] = clock.now_ms() - frozen_at_ms[client]
            return len(waits_ms) == len(clients)

        run_until(nodes, all_replaced)
        for node in nodes:
            node.link.close()
    assert max(waits_ms.values()) < limit_ms - RECONNECT_ALLOWANCE_MS, waits_ms


def send_and_check_received(server, client) -> bool:
    """Send a message and return whether the server received any from the client."""
    name = client.link._settings.name
    client.link.send("control-1", NotLeader("r1"))
    return any(sender == name for sender, _ in server.messages)
