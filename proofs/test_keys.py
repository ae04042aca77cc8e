"""Failure tests: every instance refuses a withdrawn key within seconds."""

import http.client
import time

import pytest

pytestmark = pytest.mark.prove

WITHDRAWAL_BOUND_S = 4.5


def send_lookup(deployment, address: str, workspace: str):
    """Send a request that uses no tokens, so that only the key can cause a refusal."""
    return deployment.fleet.request(
        address,
        "GET",
        "/v1/services/shop-app/lookups/1",
        headers=deployment.headers(workspace),
    )


def wait_for_refusal(
    deployment, address: str, withdrawn_at: float
) -> tuple[float, dict]:
    """Return the seconds until the key of team-a was refused, and the error.

    The first request without success may have run when the withdrawal arrived, which
    its verdict says then. The error is that of the request after it.
    """
    while True:
        response = send_lookup(deployment, address, "team-a")
        elapsed = time.monotonic() - withdrawn_at
        if response.status != 200:
            following = send_lookup(deployment, address, "team-a")
            return elapsed, following.json()["error"]
        assert elapsed < WITHDRAWAL_BOUND_S, "the withdrawn key is still accepted"
        time.sleep(0.02)


def test_withdrawal_reaches_an_instance_cut_off_silently(start_deployment):
    """Guards against a key that stays valid on an instance behind a partition.

    The partition holds back all data without closing connections.
    """
    deployment = start_deployment(relayed_entries=1)
    cut_off, connected = deployment.entry_addresses[:2]
    assert send_lookup(deployment, cut_off, "team-a").status == 200
    for relay in deployment.relays_["e1"]:
        relay.freeze()
    deployment.withdraw_key("team-a")
    withdrawn = time.monotonic()
    elapsed, error = wait_for_refusal(deployment, connected, withdrawn)
    assert elapsed < 1.0
    assert error["verdict"] == "not-run"
    elapsed, error = wait_for_refusal(deployment, cut_off, withdrawn)
    assert elapsed < WITHDRAWAL_BOUND_S
    assert (error["code"], error["verdict"]) == ("no_control_contact", "not-run")
    for relay in deployment.relays_["e1"]:
        relay.restore()
    deployment.fleet.wait_healthy(cut_off)
    assert send_lookup(deployment, cut_off, "team-a").status == 401
    assert send_lookup(deployment, cut_off, "team-b").status == 200


def test_withdrawal_reaches_a_running_stream(start_deployment):
    """Guards against a long stream that continues after its key was withdrawn."""
    deployment = start_deployment(engine_options={"decode_tokens_per_s": 20.0})
    address = deployment.entry_addresses[0]
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    body = (
        '{"model": "sample", "stream": true, "max_tokens": 400,'
        ' "messages": [{"role": "user", "content": "hello"}]}'
    )
    connection.request(
        "POST", "/v1/chat/completions", body, deployment.headers("team-a")
    )
    response = connection.getresponse()
    assert response.status == 200
    response.read1(100)
    deployment.withdraw_key("team-a")
    withdrawn = time.monotonic()
    rest = response.read().decode()
    assert time.monotonic() - withdrawn < WITHDRAWAL_BOUND_S
    assert "error" in rest
    assert "[DONE]" not in rest.split("error")[0]
