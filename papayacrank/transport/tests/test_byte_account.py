"""Tests of the account of buffered bytes, without I/O."""

import random

import pytest

from papayacrank.transport._byte_account import (
    DEFAULT_HARD_BYTES,
    MAX_READER_SILENCE_MS,
    MAX_SHARE_BYTES,
    MIN_SHARE_BYTES,
    BufferKind,
    ByteAccount,
    ByteLimits,
    Holding,
)

LIMITS = ByteLimits(soft_bytes=600_000, hard_bytes=1_000_000)


def build_holding(account, ended, name="", kind=BufferKind.TO_CALLER):
    """Return a buffer that records its end."""
    holding = Holding(kind, None)

    def end():
        ended.append(name)
        account.release(holding)

    holding.end = end
    return holding


@pytest.mark.parametrize("memory_mb", [50, 96, 128, 150, 260, 4_096])
def test_limits_leave_memory_for_the_process(memory_mb):
    """Guards against buffers that get an instance killed for its memory."""
    limits = ByteLimits.from_memory(memory_mb * 1_000_000)
    assert limits.soft_bytes < limits.hard_bytes <= DEFAULT_HARD_BYTES
    if memory_mb >= 96:
        assert limits.hard_bytes + 45_000_000 <= 0.85 * memory_mb * 1_000_000


def test_unknown_memory_keeps_the_former_limits():
    """Guards against a change for deployments whose settings state no memory."""
    assert ByteLimits.from_memory(0).hard_bytes == DEFAULT_HARD_BYTES


def test_stopped_reader_ends_before_a_fast_one_that_holds_more():
    """Guards against ending a sound caller of a large response for a stopped one."""
    account, ended = ByteAccount(LIMITS), []
    fast = build_holding(account, ended, "fast")
    stopped = build_holding(account, ended, "stopped")
    account.set(stopped, 300_000, 0)
    account.set(fast, 650_000, 0)
    account.set(fast, 650_000, 2_000, moved=8_000_000)
    account.enforce(2_000)
    assert not ended
    account.set(fast, 750_000, 2_100, moved=400_000)
    account.enforce(2_100)
    assert ended == ["stopped"]


def test_running_request_body_is_never_ended():
    """Guards against a request that is ended although its body is in use."""
    account, ended = ByteAccount(LIMITS), []
    running = Holding(BufferKind.REQUEST_BODY, None)
    account.set(running, 2_000_000, 0)
    small = build_holding(account, ended, "small")
    account.set(small, 10_000, 0)
    account.enforce(1_000)
    assert ended == ["small"]
    assert running.held == 2_000_000
    assert not account.fits(1)


def test_silence_counts_from_the_last_progress():
    """Guards against ending callers that pause for a second, or never."""
    account = ByteAccount(LIMITS)
    reader = Holding(BufferKind.TO_CALLER, None)
    account.set(reader, 1_000, 0)
    assert not reader.is_silent(2_000)
    account.set(reader, 900, 2_000, moved=100)
    assert not reader.is_silent(2_000 + MAX_READER_SILENCE_MS)
    assert reader.is_silent(2_001 + MAX_READER_SILENCE_MS)
    account.set(reader, 0, 9_000, moved=900)
    assert not reader.is_silent(60_000)
    account.set(reader, 500, 60_000)
    assert not reader.is_silent(61_000)


def test_share_shrinks_only_while_the_account_is_tight():
    """Guards against pauses of sound streams while there is memory."""
    account = ByteAccount(LIMITS)
    for _ in range(5):
        account.set(Holding(BufferKind.TO_CALLER, None), 100_000, 0)
    assert not account.is_tight
    assert account.share_bytes == MAX_SHARE_BYTES
    account.set(Holding(BufferKind.TO_CALLER, None), 110_000, 0)
    assert account.is_tight
    assert account.share_bytes == 100_000
    for _ in range(100):
        account.set(Holding(BufferKind.TO_CALLER, None), 1, 0)
    assert account.share_bytes == MIN_SHARE_BYTES


@pytest.mark.parametrize("seed", range(20))
def test_thousand_slow_readers_stay_within_the_limit(seed):
    """Guards against a sum over many small buffers that exceeds the memory."""
    random_source = random.Random(seed)
    account, ended = ByteAccount(LIMITS), []
    readers = [build_holding(account, ended, number) for number in range(1_000)]
    fast = set(random_source.sample(range(1_000), 50))
    now_ms = 0
    for _ in range(200):
        now_ms += random_source.randrange(1, 60)
        for number in random_source.sample(range(1_000), 40):
            if number in set(ended[-1_000:]):
                continue
            reader = readers[number]
            account.set(reader, reader.held + random_source.randrange(40_000), now_ms)
            if number in fast:
                account.set(reader, 0, now_ms, moved=reader.held)
            account.enforce(now_ms)
            assert account.total <= LIMITS.hard_bytes
    assert account.total == sum(reader.held for reader in readers)
    assert account.total == account.total_of(BufferKind.TO_CALLER)
    assert ended and not fast & set(ended)
