"""Fixtures of the target tests."""

import pytest

from papayacrank.targets.tests._bench import Bench


@pytest.fixture
def bench():
    """Event loop that is closed after the test."""
    bench = Bench()
    bench.open_client()
    yield bench
    bench.close()
