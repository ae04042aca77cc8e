"""End-to-end tests of the main paths with real processes."""

import pytest

from papayacrank.testing import expected_output

from .system import read_sse, running_system

MESSAGES = [{"role": "user", "content": "hello"}]


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    with running_system(tmp_path_factory.mktemp("system"), engines=2) as running:
        yield running


def test_streams_a_completion(system):
    """Checks that a streamed completion arrives complete and in order."""
    response = system.open_stream(max_tokens=20)
    assert response.status == 200
    events = read_sse(response.read())
    tokens, reason = expected_output(MESSAGES, 20)
    assert events[-1] == "[DONE]"
    assert events[-2]["choices"][0]["finish_reason"] == reason
    assert events[-2]["usage"]["completion_tokens"] == len(tokens)
    chunks = events[:-2]
    assert [chunk["offset"] for chunk in chunks] == list(range(len(tokens)))
    assert [c["choices"][0]["delta"]["content"] for c in chunks] == tokens


def test_returns_a_completion_that_is_not_streamed(system):
    """Checks a completion that is not streamed."""
    response = system.complete(max_tokens=20)
    tokens, _ = expected_output(MESSAGES, 20)
    assert response.status == 200
    assert response.json["choices"][0]["message"]["content"] == "".join(tokens)


def test_runs_an_action_once_and_replays_its_answer(system):
    """Guards against running a repeated action twice."""
    headers = {"Idempotency-Key": "claim-1"}
    first = system.claim(headers=headers)
    second = system.claim(headers=headers)
    assert (first.status, second.status) == (200, 200)
    assert first.body == second.body
    assert second.headers["idempotency-replayed"] == "true"
    ran = [e for e in system.read_journal() if e["path"] == "/claims"]
    assert len(ran) == 1
