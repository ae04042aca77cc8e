"""Tests of the load poller and the cache event subscriber."""

import random

import pytest
from circuits import BaseComponent, handler

from papayacrank.cache import decode_batch, decode_listing, hash_prompt
from papayacrank.targets import (
    CacheEventSource,
    CacheEventSubscriber,
    LoadPoller,
    encode_tokens,
    render_prompt,
)
from papayacrank.targets.tests._bench import stream_request
from papayacrank.targets.tests._scripted import ScriptedServer
from papayacrank.testing import EngineSpeed, Relay

CHANNEL = "observer"
BLOCK_TOKENS = 4
# One each 20 ms after a connection was opened again.
MAX_DROPPED_BATCHES = 100
SPEED = EngineSpeed(
    prefill_tokens_per_s=1_000_000,
    decode_tokens_per_s=1_000,
    block_tokens=BLOCK_TOKENS,
    cache_blocks=50,
)


class Observer(BaseComponent):
    """Component that records the events of the poller and the subscriber."""

    channel = CHANNEL

    def __init__(self):
        super().__init__()
        self.reports = []
        self.failures = []
        self.batches = []
        self.replays = []
        self.listings = []

    @handler("load_observed")
    def _on_load(self, target, report):
        self.reports.append((target, report))

    @handler("load_failed", "cache_listing_failed")
    def _on_failed(self, target, failure):
        self.failures.append((target, failure.code))

    @handler("cache_batch")
    def _on_batch(self, target, sequence, payload):
        self.batches.append((target, sequence, payload))

    @handler("cache_replay_ended")
    def _on_replay_ended(self, target, complete):
        self.replays.append((target, complete))

    @handler("cache_listed")
    def _on_listed(self, target, payload):
        self.listings.append((target, decode_listing(payload)))


@pytest.fixture
def observer(bench):
    """Recorder of events in the event loop of the test."""
    return Observer().register(bench.root)


@pytest.fixture
def poller(bench, observer):
    """Load poller with a short interval."""
    poller = LoadPoller(
        bench.client,
        bench.clock,
        bench.timers,
        CHANNEL,
        random.Random(1),
        interval_ms=30,
        timeout_ms=100,
    )
    return poller.register(bench.root)


@pytest.fixture
def subscriber(bench, observer):
    """Subscriber with a short replay timeout and a short quiet check."""
    subscriber = CacheEventSubscriber(
        bench.client,
        bench.clock,
        bench.timers,
        CHANNEL,
        replay_timeout_ms=200,
        quiet_check_ms=300,
    )
    return subscriber.register(bench.root)


def source_of(engine, **overrides):
    """Return the addresses of a stand-in engine."""
    fields = {
        "address": engine.address,
        "events_address": engine.events_address,
        "replay_address": engine.replay_address,
    }
    return CacheEventSource(**(fields | overrides))


def subscribe(bench, subscriber, engine, **overrides):
    """Subscribe and wait until the first batch arrives; return its sequence."""
    observer = next(c for c in bench.root.components if isinstance(c, Observer))
    subscriber.update_targets({"engine-1": source_of(engine, **overrides)})
    for i in range(100):
        run_prompt(bench, engine, f"warm {i}")
        bench.run_ms(10)
        if observer.batches:
            return observer.batches[-1][1]
    raise AssertionError("no batch arrived")


def run_prompt(bench, engine, text):
    """Run one request that stores at least one block, and return its messages."""
    messages = [{"role": "user", "content": f"{text} with some more text"}]
    document = {"messages": messages, "max_tokens": 1, "cache_salt": "team-a"}
    bench.run_request(stream_request(engine.address, f"run-{text}", document))
    return messages


def test_reports_carry_load_and_incarnation(bench, observer, poller):
    """Guards against routing by the load from before a restart of the engine."""
    engine = bench.open_engine()
    poller.update_targets({"engine-1": engine.address})
    bench.run_until(lambda: len(observer.reports) >= 2)
    target, before = observer.reports[-1]
    assert (target, before.weights_version, before.running) == ("engine-1", "1", 0)
    engine.inject({"kind": "crash"})
    bench.run_until(lambda: observer.reports[-1][1].incarnation > before.incarnation)


def test_silent_engine_is_reported_and_polled_again(bench, observer, poller):
    """Guards against a poller that stops after a lost response."""
    engine = bench.open_engine()
    engine.inject({"kind": "silent", "count": 2})
    poller.update_targets({"engine-1": engine.address})
    bench.run_until(lambda: observer.reports)
    assert observer.failures == [("engine-1", "first_byte_timeout")] * 2


@pytest.mark.parametrize(
    ("status", "body", "code"),
    [
        (b"200 OK", b'{"incarnation": 1}', "malformed_answer"),
        (b"500 X", b"{}", "target_status"),
    ],
)
def test_unusable_report_is_a_failure(bench, observer, poller, status, body, code):
    """Guards against interpreting an error response as a load report."""
    length = str(len(body)).encode()
    response = b"HTTP/1.1 %b\r\nContent-Length: %b\r\n\r\n%b" % (status, length, body)
    with ScriptedServer(["read", response, "hold"]) as server:
        poller.update_targets({"engine-1": server.address})
        bench.run_until(lambda: observer.failures)
    assert observer.failures[0] == ("engine-1", code)
    assert observer.reports == []


def test_removed_engine_is_not_polled(bench, observer, poller):
    """Guards against reports of an engine that is no longer configured."""
    engine = bench.open_engine()
    poller.update_targets({"engine-1": engine.address})
    bench.run_until(lambda: observer.reports)
    poller.update_targets({})
    bench.run_ms(10)
    count = len(observer.reports)
    bench.run_ms(100)
    assert len(observer.reports) == count


def test_batches_carry_the_block_hashes_of_the_cache_package(
    bench, observer, subscriber
):
    """Guards against block hashes that never match those computed from prompts."""
    engine = bench.open_engine(SPEED)
    subscribe(bench, subscriber, engine)
    messages = run_prompt(bench, engine, "the last one")
    bench.run_ms(20)
    tokens = encode_tokens(render_prompt(messages))
    expected = hash_prompt("team-a", "sample", "1", tokens, BLOCK_TOKENS)
    hashes = [value.to_bytes(16, "big") for value in expected]
    batch = decode_batch(observer.batches[-1][2])
    stored = {h for event in batch.events for h in event.block_hashes}
    assert batch.incarnation == engine.incarnation
    assert stored
    assert stored <= set(hashes)
    assert hashes[-1] in stored


def test_lost_batches_are_replayed(bench, observer, subscriber):
    """Guards against a permanent gap although the engine still has the batches."""
    engine = bench.open_engine(SPEED)
    last = subscribe(bench, subscriber, engine)
    engine.inject({"kind": "lose_events", "count": 2})
    for i in range(3):
        run_prompt(bench, engine, f"lost {i}")
    bench.run_until(lambda: observer.batches[-1][1] == last + 3)
    assert [b[1] for b in observer.batches[-2:]] == [last, last + 3]
    subscriber.request_replay("engine-1", last + 1)
    bench.run_until(lambda: observer.replays)
    assert observer.replays == [("engine-1", True)]
    assert [b[1] for b in observer.batches[-3:]] == [last + 1, last + 2, last + 3]


def test_replay_without_the_lost_batches_leads_to_a_listing(
    bench, observer, subscriber
):
    """Guards against treating a gap as filled because the replay ended."""
    engine = bench.open_engine(SPEED)
    last = subscribe(bench, subscriber, engine)
    engine.inject({"kind": "lose_events", "replay_too": True})
    run_prompt(bench, engine, "lost for ever")
    subscriber.request_replay("engine-1", last + 1)
    bench.run_until(lambda: observer.replays)
    assert observer.batches[-1][1] == last
    subscriber.request_listing("engine-1")
    bench.run_until(lambda: observer.listings)
    target, listing = observer.listings[0]
    assert (target, listing.sequence) == ("engine-1", last + 1)
    assert len(listing.block_hashes) > 0


def test_lost_last_batch_is_noticed_on_a_quiet_engine(bench, observer, subscriber):
    """Guards against a lost batch that stays unnoticed until the next one arrives."""
    engine = bench.open_engine(SPEED)
    last = subscribe(bench, subscriber, engine)
    engine.inject({"kind": "lose_events"})
    run_prompt(bench, engine, "lost at the end")
    bench.run_until(lambda: observer.batches[-1][1] == last + 1)
    assert observer.replays == []


def test_unanswered_replay_ends_incomplete(bench, observer, subscriber):
    """Guards against waiting for a replay without a time limit."""
    engine = bench.open_engine(SPEED)
    with Relay(engine.replay_address) as relay:
        subscribe(bench, subscriber, engine, replay_address=relay.address)
        relay.freeze()
        subscriber.request_replay("engine-1", 1)
        bench.run_until(lambda: observer.replays)
    assert observer.replays == [("engine-1", False)]


def test_refused_listing_is_a_failure(bench, observer, subscriber):
    """Guards against interpreting an error response as an empty listing."""
    engine = bench.open_engine(SPEED)
    subscriber.update_targets({"engine-1": source_of(engine, replay_address=None)})
    engine.inject({"kind": "refuse"})
    subscriber.request_listing("engine-1")
    subscriber.request_replay("engine-1", 1)
    bench.run_until(lambda: observer.failures)
    assert observer.failures == [("engine-1", "target_status")]
    assert observer.replays == [("engine-1", False)]


def test_restarted_engine_starts_a_new_sequence(bench, observer, subscriber):
    """Guards against counting blocks from before a crash as cached."""
    engine = bench.open_engine(SPEED)
    subscribe(bench, subscriber, engine)
    before = engine.incarnation
    engine.inject({"kind": "crash"})
    bench.run_until(lambda: engine.incarnation > before)
    run_prompt(bench, engine, "after the crash")

    def last_incarnation():
        return decode_batch(observer.batches[-1][2]).incarnation

    bench.run_until(lambda: last_incarnation() == engine.incarnation)
    assert observer.batches[-1][1] == 1
    subscriber.request_listing("engine-1")
    bench.run_until(lambda: observer.listings)
    assert observer.listings[0][1].incarnation == engine.incarnation


def test_subscription_survives_a_cut_link(bench, observer, subscriber):
    """Guards against a subscription that ends with the first lost connection."""
    engine = bench.open_engine(SPEED)
    with Relay(engine.events_address) as relay:
        last = subscribe(bench, subscriber, engine, events_address=relay.address)
        relay.cut()
        run_prompt(bench, engine, "during the cut")
        relay.restore()
        bench.run_until(lambda: relay.connection_count == 1)
        # The publisher drops batches until the subscription has reached it.
        published = last + 1
        while observer.batches[-1][1] < published:
            engine._publisher.publish(engine.incarnation, [["AllBlocksCleared"]])
            published += 1
            assert published < last + MAX_DROPPED_BATCHES
            bench.run_ms(20)
        run_prompt(bench, engine, "after the cut")
        bench.run_until(lambda: observer.batches[-1][1] == published + 1)


def test_burst_is_read_to_its_end(bench, observer, subscriber):
    """Guards against unread batches after a burst, and against starvation."""
    engine = bench.open_engine(SPEED)
    last = subscribe(bench, subscriber, engine)
    for _ in range(300):
        engine._publisher.publish(engine.incarnation, [["AllBlocksCleared"]])
    bench.run_until(lambda: observer.batches[-1][1] == last + 300, 200)
    sequences = [batch[1] for batch in observer.batches]
    assert sequences == list(range(sequences[0], last + 301))


def test_removed_engine_is_not_subscribed(bench, observer, subscriber):
    """Guards against events of an engine that is no longer configured."""
    engine = bench.open_engine(SPEED)
    subscribe(bench, subscriber, engine)
    subscriber.update_targets({})
    bench.run_ms(10)
    count = len(observer.batches)
    run_prompt(bench, engine, "unseen")
    bench.run_ms(50)
    assert len(observer.batches) == count
    subscriber.request_replay("engine-1", 1)
    subscriber.request_listing("engine-1")
    bench.run_ms(20)
    assert (observer.replays, observer.listings) == ([], [])


def test_evicted_blocks_are_removed_from_the_view(bench, observer, subscriber):
    """Guards against a cache view that keeps evicted blocks."""
    engine = bench.open_engine(EngineSpeed(block_tokens=BLOCK_TOKENS, cache_blocks=8))
    subscribe(bench, subscriber, engine)
    view = set()
    for i in range(5):
        run_prompt(bench, engine, f"evicting {i}")
    bench.run_ms(30)
    subscriber.request_replay("engine-1", 1)
    bench.run_until(lambda: observer.replays)
    replayed = {sequence: payload for _, sequence, payload in observer.batches}
    for sequence in sorted(replayed):
        for event in decode_batch(replayed[sequence]).events:
            change = view.update if type(event).__name__ == "BlockStored" else None
            (change or view.difference_update)(event.block_hashes)
    subscriber.request_listing("engine-1")
    bench.run_until(lambda: observer.listings)
    assert {h.hex() for h in view} == set(observer.listings[0][1].block_hashes)
