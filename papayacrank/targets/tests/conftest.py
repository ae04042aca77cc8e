"""Fixtures of the tests of the target client."""

import pytest

from papayacrank.targets.tests._bench import Bench


@pytest.fixture
def bench():
    """Event loop with a client, closed after the test."""
    bench = Bench()
    bench.open_client()
    yield bench
    bench.close()
