"""Tests of block hashes, the prefix index and cache events."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayacrank.cache import (
    EngineEvents,
    ListingRequest,
    PrefixIndex,
    ReplayRequest,
    encode_batch,
    encode_listing,
    hash_prompt,
)
from papayacrank.kernel import Send

TOKENS = bytes(range(256)) * 4


def build_hashes(workspace="team-a", model="m", weights="1"):
    return hash_prompt(workspace, model, weights, TOKENS, 32)


def get_sent_messages(effects):
    return [effect.message for effect in effects if isinstance(effect, Send)]


def start_events(index):
    events = EngineEvents("e1", index)
    events.start(0)
    events.receive_listing(encode_listing(7, 0, []), 0)
    return events


def test_block_hash_depends_on_all_earlier_blocks():
    """Guards against a match of equal blocks after different prefixes."""
    other = hash_prompt("team-a", "m", "1", b"XXXX" + TOKENS[4:], 32)
    assert not set(build_hashes()) & set(other)
    assert len(build_hashes()) == len(TOKENS) // 128
    assert hash_prompt("team-a", "m", "1", TOKENS[:300], 32) == build_hashes()[:2]


@pytest.mark.parametrize(
    "fields", [("team-b", "m", "1"), ("team-a", "n", "1"), ("team-a", "m", "2")]
)
def test_other_workspace_model_or_weights_never_match(fields):
    """Guards against a match of blocks of another workspace, model or weights."""
    index = PrefixIndex(1_000)
    index.store("e1", 1, build_hashes(*fields))
    assert index.match(build_hashes()) == {}


def test_root_fields_are_delimited():
    """Guards against equal roots if workspace and model concatenate equally."""
    assert build_hashes("ab", "c") != build_hashes("a", "bc")


def test_older_incarnation_never_matches_or_stores():
    """Guards against late events of an earlier incarnation."""
    index = PrefixIndex(1_000)
    index.store("e1", 5, build_hashes())
    assert index.set_incarnation("e1", 6)
    assert index.match(build_hashes()) == {}
    assert index.store("e1", 5, build_hashes()) == 0
    assert index.match(build_hashes()) == {}
    index.store("e1", 6, build_hashes()[:3])
    assert index.remove("e1", 5, build_hashes()) == 0
    assert index.match(build_hashes()) == {"e1": 3}


def test_match_counts_leading_blocks_only():
    """Guards against counting blocks after an evicted one."""
    index = PrefixIndex(1_000)
    chain = build_hashes()
    index.store("e1", 1, chain)
    index.store("e2", 1, chain[:2])
    index.remove("e1", 1, [chain[4]])
    assert index.match(chain) == {"e1": 4, "e2": 2}


def test_index_stays_within_its_bound():
    """Guards against unbounded growth."""
    index = PrefixIndex(5_000)
    source = random.Random(3)
    for _ in range(40):
        index.store("e1", 1, [source.getrandbits(128) for _ in range(500)])
    assert len(index) == 5_000
    assert index.evicted_count_ == 15_000


def test_slots_of_restarted_engines_are_reused():
    """Guards against masks that grow with every restart.

    Also guards against a reused slot that matches the blocks of its previous target.
    """
    index = PrefixIndex(10_000)
    chain = build_hashes()
    for incarnation in range(1, 200):
        index.store("e1", incarnation, chain)
        index.store("e2", incarnation, [incarnation])
    index.clear("e2")
    index.store("e3", 1, [77])
    assert index.slot("e1") < 100
    assert index.match(chain) == {"e1": len(chain)}
    assert index.match([199]) == {}
    assert len(index) < 400


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["store", "remove", "clear", "restart"]),
            st.sampled_from(["e1", "e2", "e3"]),
            st.lists(st.integers(0, 30), max_size=6),
        ),
        max_size=80,
    )
)
def test_index_is_equivalent_to_plain_sets(steps):
    """Guards against lost or reappearing blocks in the compact representation."""
    index = PrefixIndex(1_000)
    held = {name: set() for name in ("e1", "e2", "e3")}
    incarnations = dict.fromkeys(held, 1)
    chain = [(value << 64) | (value * 0x9E3779B97F4A7C15) for value in range(1, 32)]
    for action, name, picks in steps:
        blocks = [chain[pick] for pick in picks]
        if action == "store":
            index.store(name, incarnations[name], blocks)
            held[name] |= set(blocks)
        elif action == "remove":
            index.remove(name, incarnations[name], blocks)
            held[name] -= set(blocks)
        else:
            held[name].clear()
            if action == "restart":
                incarnations[name] += 1
                index.set_incarnation(name, incarnations[name])
            else:
                index.clear(name)
        for block in chain:
            expected = {name: 1 for name in held if block in held[name]}
            assert index.match([block]) == expected


def test_pages_contain_the_whole_index():
    """Guards against missing blocks in the index of a restarted entry process."""
    source = PrefixIndex(100_000)
    generator = random.Random(5)
    blocks = [generator.getrandbits(128) for _ in range(50_000)]
    source.store("e1", 3, blocks)
    source.store("e2", 4, blocks[:100])
    source.store("e3", 9, blocks)
    copy = PrefixIndex(100_000)
    copy.set_incarnation("e3", 10)
    pages = list(source.export_pages())
    for page in pages:
        copy.import_page(page)
    assert len(pages) > 1
    assert copy.match(blocks[:200]) == {"e1": 200, "e2": 100}
    assert len(copy) == 50_000


def test_gap_is_repaired_by_replay_in_order():
    """Guards against a removal that is applied before an earlier store."""
    index = PrefixIndex(1_000)
    events = start_events(index)
    chain = build_hashes()
    stored = encode_batch(7, stored=chain)
    removed = encode_batch(7, removed=chain[2:])
    assert get_sent_messages(events.receive(2, removed, 10)) == [
        ReplayRequest("e1", 1, 1)
    ]
    assert not events.is_complete
    events.receive(1, stored, 20)
    assert events.is_complete
    assert index.match(chain) == {"e1": 2}
    events.receive(1, stored, 30)
    assert index.match(chain) == {"e1": 2}


def test_matches_are_halved_during_a_gap():
    """Guards against full matches on blocks that may have been evicted."""
    index = PrefixIndex(1_000)
    events = start_events(index)
    chain = build_hashes()
    events.receive(1, encode_batch(7, stored=chain), 10)
    assert index.match(chain) == {"e1": len(chain)}
    events.receive(3, encode_batch(7, stored=[5]), 20)
    assert index.match(chain) == {"e1": len(chain) // 2}


@pytest.mark.parametrize("failure", ["end", "timeout"])
def test_listing_is_requested_after_a_failed_replay(failure):
    """Guards against a permanent gap if the engine can no longer replay it."""
    index = PrefixIndex(1_000)
    events = start_events(index)
    chain = build_hashes()
    events.receive(1, encode_batch(7, stored=chain), 0)
    events.receive(9, encode_batch(7, removed=chain[3:]), 10)
    is_end = failure == "end"
    effects = events.receive_replay_end(20) if is_end else events.tick(600)
    assert get_sent_messages(effects) == [ListingRequest("e1")]
    assert get_sent_messages(events.tick(3_000)) == [ListingRequest("e1")]
    events.receive_listing(encode_listing(7, 8, chain[:5]), 3_100)
    assert events.is_complete
    assert index.match(chain) == {"e1": 3}


def test_restart_clears_entries_and_old_batches_are_ignored():
    """Guards against entries of a crashed engine, including late batches."""
    index = PrefixIndex(1_000)
    events = start_events(index)
    chain = build_hashes()
    events.receive(1, encode_batch(7, stored=chain), 0)
    events.receive(1, encode_batch(8, stored=chain[:1]), 10)
    assert index.match(chain) == {"e1": 1}
    events.receive(2, encode_batch(7, stored=chain), 20)
    assert index.match(chain) == {"e1": 1}


def test_load_report_detects_restart_if_batches_omit_the_incarnation():
    """Guards against a new sequence that is ignored as repeats of the old one."""
    index = PrefixIndex(1_000)
    events = start_events(index)
    chain = build_hashes()
    events.receive(1, encode_batch(0, stored=chain), 0)
    assert index.match(chain)
    effects = events.observe_incarnation(8, 10)
    assert get_sent_messages(effects) == [ListingRequest("e1")]
    assert index.match(chain) == {}
    events.receive_listing(encode_listing(8, 2, chain[:4]), 20)
    events.receive(3, encode_batch(0, removed=chain[1:]), 30)
    assert index.match(chain) == {"e1": 1}


def test_buffered_batches_are_bounded():
    """Guards against unbounded memory while a repair does not complete."""
    index = PrefixIndex(1_000)
    events = EngineEvents("e1", index, max_buffered_batches=10)
    events.start(0)
    for sequence in range(5, 500):
        events.receive(sequence, encode_batch(7, stored=[sequence]), 10)
    assert len(events._buffered) <= 11


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"\x93\x01\x02\x03"])
def test_malformed_batches_are_dropped(payload):
    """Guards against a process that fails on a malformed message of an engine."""
    index = PrefixIndex(1_000)
    events = start_events(index)
    assert events.receive(1, payload, 0) == []
    assert events.receive_listing(payload, 0) == []
    assert events.is_complete
