"""Integration tests of requests beside configuration changes, stops and faults."""

import pytest

from .lost_request_soak import LostRequestSoak


@pytest.mark.prove
@pytest.mark.parametrize("seed", [1, 2])
def test_every_whole_request_gets_an_answer_or_a_refusal(tmp_path, seed):
    """Guards against requests that are lost beside a change of the configuration."""
    soak = LostRequestSoak(tmp_path, seed)
    assert soak.run() == []
    served = {path for path, status in soak.statuses if status == 200}
    assert served == {"/lookup/x", "/claim/x", "/reply/x"}
