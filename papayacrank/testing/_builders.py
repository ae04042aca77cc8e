"""Builders of test data."""

from papayacrank.config import Questionnaire

FAILURE_DOMAINS = ("east", "west", "north")


def build_questionnaire(
    engine_addresses: tuple[str, ...] = ("127.0.0.1:9001", "127.0.0.1:9002"),
    plain_addresses: tuple[str, ...] = ("127.0.0.1:9101",),
    events_addresses: tuple[str, ...] = (),
    replay_addresses: tuple[str, ...] = (),
    block_tokens: int = 2_048,
    **overrides,
) -> Questionnaire:
    """Build a small valid questionnaire.

    Parameters
    ----------
    engine_addresses, plain_addresses : tuple of str
        Addresses of the servers; failure domains are assigned round-robin.
    events_addresses, replay_addresses : tuple of str
        Cache event addresses of the engines, in the same order; may be empty.
    block_tokens : int
        Size of a cache block of the engines, in tokens.
    **overrides : Any
        Top-level fields that replace the defaults.
    """
    engines = [_server(address, i) for i, address in enumerate(engine_addresses)]
    for server, events in zip(engines, events_addresses, strict=False):
        server["events_address"] = events
    for server, replay in zip(engines, replay_addresses, strict=False):
        server["replay_address"] = replay
    answers = {
        "deployment": "sample",
        "failure_domains": [{"name": name} for name in FAILURE_DOMAINS],
        "engines": [
            {
                "name": "sample-llm",
                "model": "sample",
                "block_tokens": block_tokens,
                "servers": engines,
            }
        ],
        "plain_services": [
            {
                "name": "shop-app",
                "servers": [_server(a, i) for i, a in enumerate(plain_addresses)],
                "idempotent_paths": ["/lookups"],
                "non_idempotent_paths": ["/claims"],
                "public_paths": ["/public"],
            }
        ],
        "assistants": [{"name": "listing", "engine": "sample-llm"}],
        "workspaces": [_workspace("team-a"), _workspace("team-b")],
    }
    return Questionnaire.model_validate(answers | overrides)


def _server(address: str, index: int) -> dict:
    domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
    return {"address": address, "failure_domain": domain}


def _workspace(name: str) -> dict:
    return {
        "name": name,
        "tokens_per_second": 10_000,
        "burst_tokens": 100_000,
        "uses": ["sample-llm", "shop-app"],
    }
