"""Tests of streamed completions under failures, with real processes."""

import http.client
import json
import signal
import threading
import time

import pytest

from papayacrank.testing import build_questionnaire, expected_output

from .support import wait_until
from .system import completion_body, inject_fault, read_sse, running_system

pytestmark = pytest.mark.prove

MAX_TOKENS = 100
ENGINE_ARGS = ("--decode_tokens_per_s", "200", "--output_tokens", "100")


@pytest.fixture
def system(tmp_path):
    with running_system(tmp_path, engines=2, engine_args=ENGINE_ARGS) as running:
        yield running


def assert_complete(events: list, prompt: str, max_tokens: int = MAX_TOKENS) -> None:
    """Assert that a stream has each token once and in order, and its end."""
    messages = [{"role": "user", "content": prompt}]
    tokens, reason = expected_output(messages, max_tokens, 100)
    assert events[-1] == "[DONE]"
    assert events[-2]["choices"][0]["finish_reason"] == reason
    found = [event["choices"][0]["delta"]["content"] for event in events[:-2]]
    assert found == tokens


def find_busy_engine(system) -> int:
    """Return the index of the engine that serves a stream."""
    stats = [system.read_stats(i) for i in range(len(system.engines))]
    return next(i for i, stat in enumerate(stats) if stat["active"])


def test_stream_continues_on_another_engine_when_its_engine_is_killed(system):
    """Guards against missing or duplicate tokens after the crash of an engine."""
    response = system.open_stream(prompt="kill", max_tokens=MAX_TOKENS)
    head = b"".join(response.readline() for _ in range(10))
    system.engines[find_busy_engine(system)].kill()
    assert_complete(read_sse(head + response.read()), "kill")


@pytest.mark.parametrize("releases", [("v1", "v1"), ("v1", "v2")])
def test_stream_continues_only_on_an_engine_of_its_release(tmp_path, releases):
    """Guards against a response that is joined from two releases of the engines."""
    with running_system(tmp_path, engines=2, engine_args=ENGINE_ARGS) as system:
        answers = build_questionnaire(
            engine_addresses=tuple(e["address"] for e in system.engine_addresses),
        ).model_dump(mode="json")["engines"]
        for server, release in zip(answers[0]["servers"], releases, strict=True):
            server["release"] = release
        system.configure(expected_version=1, engines=answers)
        wait_until(lambda: system.complete(max_tokens=1).status == 200, "served")
        response = system.open_stream(prompt="kill", max_tokens=MAX_TOKENS)
        head = b"".join(response.readline() for _ in range(10))
        system.engines[find_busy_engine(system)].kill()
        events = read_sse(head + response.read())
        if releases[0] == releases[1]:
            assert_complete(events, "kill")
        else:
            assert events[-1] != "[DONE]"
            assert events[-1]["error"]["verdict"] == "may-have-run"


@pytest.mark.parametrize("how", ["reset", "end"])
def test_stream_is_resumed_on_the_same_engine(system, how):
    """Guards against moving a stream although only the connection was lost."""
    for engine in system.engine_addresses:
        inject_fault(engine["address"], kind="stop_mid_stream", after=5, how=how)
    events = read_sse(system.open_stream(max_tokens=MAX_TOKENS).read())
    assert_complete(events, "hello")
    stats = [system.read_stats(i)["requests"] for i in range(2)]
    offsets = [[r["first_offset"] for r in requests] for requests in stats]
    assert sorted(offsets) == [[], [0, 5]]


@pytest.mark.parametrize("kind", ["skip_token", "repeat_token"])
def test_faulty_offsets_reach_no_caller(system, kind):
    """Guards against forwarding a stream with missing or duplicate tokens."""
    for engine in system.engine_addresses:
        inject_fault(engine["address"], kind=kind)
    events = read_sse(system.open_stream(max_tokens=MAX_TOKENS).read())
    assert_complete(events, "hello")


def test_swapped_responses_reach_no_caller(system):
    """Guards against forwarding the response to another request."""
    inject_fault(system.engine_addresses[0]["address"], kind="swap_answers")
    tokens, _ = expected_output([{"role": "user", "content": "hello"}], MAX_TOKENS, 100)
    for _ in range(6):
        response = system.complete(max_tokens=MAX_TOKENS)
        assert response.json["choices"][0]["message"]["content"] == "".join(tokens)
    assert "wrong_answer" in system.entries["entry-1"].log


def test_stream_ends_with_an_explicit_error_when_no_engine_is_left(system):
    """Guards against a stream that stops without an error event."""
    response = system.open_stream(max_tokens=MAX_TOKENS)
    response.readline()
    for engine in system.engines:
        engine.kill()
    body = response.read()
    assert b"[DONE]" not in body
    assert body.count(b"event: error") == 1
    error = read_sse(body)[-1]["error"]
    assert error["verdict"] == "may-have-run"
    refused = system.complete()
    assert (refused.status, refused.error["verdict"]) == (502, "not-run")


def test_work_is_cancelled_when_the_caller_leaves(system):
    """Guards against engines that go on generating for disconnected callers."""
    connection = system.open(
        "POST",
        "/v1/chat/completions",
        json.dumps(
            {
                "model": "sample",
                "stream": True,
                "max_tokens": MAX_TOKENS,
                "messages": [{"role": "user", "content": "leave"}],
            }
        ),
        "key-a",
    )
    connection.getresponse().readline()
    busy = find_busy_engine(system)
    connection.close()
    wait_until(lambda: system.read_stats(busy)["active"] == 0, "cancelled")
    assert system.read_stats(busy)["requests"][-1]["cancelled"]


def test_callers_who_leave_do_not_eject_an_engine(tmp_path):
    """Guards against counting a cancelled request as a failure of its engine."""
    arguments = ("--prefill_tokens_per_s", "100")
    with running_system(tmp_path, engines=3, engine_args=arguments) as running:
        body = completion_body(prompt="x" * 1_000)
        for _ in range(12):
            connection = running.open("POST", "/v1/chat/completions", body, "key-a")
            wait_until(lambda: any_active(running), "sent")
            connection.close()
            wait_until(lambda: not any_active(running), "cancelled")
        assert "target_ejected" not in running.entries["entry-1"].log


def any_active(system) -> bool:
    """Return whether any engine has an active request."""
    return any(system.read_stats(i)["active"] for i in range(len(system.engines)))


def test_withdrawn_key_ends_its_stream_and_no_other(system):
    """Guards against streams that continue after their key was withdrawn."""
    withdrawn = system.open_stream("key-a", max_tokens=MAX_TOKENS)
    other = system.open_stream("key-b", prompt="other", max_tokens=MAX_TOKENS)
    withdrawn.readline()
    started = time.monotonic()
    system.withdraw("key-a")
    body = withdrawn.read()
    assert time.monotonic() - started < 1.0
    assert read_sse(body)[-1]["error"]["code"] == "key_withdrawn"
    assert b"[DONE]" not in body
    assert_complete(read_sse(other.read()), "other")
    response = system.complete("key-a")
    assert (response.status, response.error["verdict"]) == (401, "not-run")


def test_withdrawn_key_stops_working_on_a_kept_connection(system):
    """Guards against authenticating a connection instead of each request."""
    connection = http.client.HTTPConnection(system.entry_addresses["entry-1"])
    headers = {"Authorization": "Bearer key-a"}
    path = "/v1/services/shop-app/lookups"
    connection.request("GET", path, headers=headers)
    response = connection.getresponse()
    assert (response.status, bool(response.read())) == (200, True)
    system.withdraw("key-a")
    wait_until(lambda: system.complete("key-a").status == 401, "withdrawn")
    connection.request("GET", path, headers=headers)
    assert connection.getresponse().status == 401


def test_key_reaches_no_target(system):
    """Guards against forwarding the key to a target."""
    assert system.complete(max_tokens=2).status == 200
    path = "/v1/services/shop-app/lookups"
    system.request("GET", path, key="key-a", headers={"Cookie": "a=b"})
    system.request("GET", "/v1/services/shop-app/public", key="key-a")
    seen = json.dumps([system.read_stats(i) for i in range(2)])
    seen += json.dumps(system.read_journal())
    assert "key-a" not in seen
    assert "authorization" not in seen.lower()


@pytest.mark.parametrize(
    ("path", "body", "headers"),
    [
        ("/lookups?k=key-a", b"", {}),
        ("/lookups?k=%6bey-a", b"", {}),
        ("/lookups", b"my key-a", {}),
        ("/lookups", b'"\\u006bey-a"', {}),
        ("/lookups", b"", {"X-Api-Key": "key-a"}),
        ("/public?k=key-a", b"", {}),
    ],
)
def test_requests_that_would_show_the_key_are_refused(plain, path, body, headers):
    """Guards against a key in a part of the request that targets receive."""
    response = plain.claim(path, body, headers=headers)
    assert (response.status, response.error["code"]) == (400, "key_exposed")
    assert plain.read_journal() == []


@pytest.fixture(scope="module")
def plain(tmp_path_factory):
    """Run a system without engines."""
    with running_system(tmp_path_factory.mktemp("plain"), engines=0) as running:
        yield running


def test_slow_reader_pauses_its_engine(tmp_path):
    """Guards against buffering a stream without limit for a slow caller."""
    arguments = ("--decode_tokens_per_s", "20000", "--output_tokens", "100000")
    limits = {"limits": {"max_stream_buffer_bytes": 4096}}
    options = {"engine_args": arguments, "entry": limits, "services": 0}
    with running_system(tmp_path, engines=1, **options) as running:
        response = running.open_stream("key-a", max_tokens=80_000)
        wait_until(lambda: is_stream_paused(running), "engine paused", 30)
        assert running.request("GET", "/health").status == 200
        events = read_sse(response.read())
        assert events[-1] == "[DONE]" or "error" in events[-1]
        offsets = [event["offset"] for event in events if "offset" in event]
        assert offsets[:-1] == list(range(len(offsets) - 1))


def is_stream_paused(system) -> bool:
    """Return whether the entry process has paused the engine's stream."""
    text = system.get("/metrics").body.decode()
    return "papayacrank_streams_paused 1.0" in text


def test_stream_moves_away_from_a_frozen_engine(system):
    """Guards against a stream that waits for an engine that hangs."""
    response = system.open_stream(prompt="freeze", max_tokens=MAX_TOKENS)
    head = b"".join(response.readline() for _ in range(10))
    busy = find_busy_engine(system)
    system.engines[busy].process.send_signal(signal.SIGSTOP)
    started = time.monotonic()
    assert_complete(read_sse(head + response.read()), "freeze")
    assert time.monotonic() - started < 9.0
    system.engines[busy].process.send_signal(signal.SIGCONT)


def test_many_streams_survive_the_loss_of_an_engine(system):
    """Guards against mixed up or lost streams when many move at the same time."""
    results = {}

    def read(number: int) -> None:
        prompt = f"stream {number}"
        response = system.open_stream(prompt=prompt, max_tokens=MAX_TOKENS)
        body = response.read()
        assert response.status == 200, body
        results[number] = read_sse(body)

    threads = [threading.Thread(target=read, args=(n,)) for n in range(12)]
    for thread in threads:
        thread.start()
    wait_until(lambda: system.read_stats(0)["active"] > 2, "both engines busy")
    time.sleep(0.1)
    system.engines[0].kill()
    for thread in threads:
        thread.join()
    assert len(results) == len(threads)
    for number, events in results.items():
        assert_complete(events, f"stream {number}")
