"""Builders of settings files and configuration documents of the platform."""

import json

KEY = "wu3fexd9dnn2ctnfzs98"
SETTINGS = """
node_name = "front-a-1"
role = "entry"
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [{internal}, {last}]
seeds = {seeds}
bootstrap = {bootstrap}
data_dir = "{data}"
unknown_field = 1
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[bounds]
contact_ms = 3000
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
fencing_required = true
version_ms = 8000
[cloud]
address = "{cloud}"
rate_per_s = 40.0
"""


def build_settings(**fields):
    """Return the text of a settings file."""
    values = {
        "ip": "127.0.0.1",
        "zone": "a",
        "internal": 7600,
        "last": 7615,
        "seeds": '["127.0.0.1:8608", "127.0.0.2:8608", "127.0.0.3:8608"]',
        "bootstrap": "true",
        "data": "/nonexistent",
        "front": 8606,
        "ready": 8605,
        "control": 8608,
        "directory": 8603,
        "cloud": "127.0.0.1:8601",
    }
    return SETTINGS.format(**(values | fields))


def build_document(version=1, **fields):
    """Return a configuration document with all kinds of routes."""
    route = {
        "name": "r1",
        "host": "h.example",
        "path_prefix": "/lookup/",
        "kind": "safe",
        "timeout_ms": 1_200,
        "target_latency_ms": 150,
        "priority": 2,
        "service": "plain",
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    stream = route | {
        "name": "r2",
        "path_prefix": "/reply/",
        "kind": "streaming",
        "timeout_ms": 15_000,
        "service": "llm",
        "resumable": True,
        "target_gap_ms": 300,
    }
    claim = route | {"name": "r3", "path_prefix": "/claim/", "kind": "unsafe"}
    split = route | {"name": "r4", "path_prefix": "/split/", "service": None}
    split["traffic_split"] = [
        {"service": "plain", "weight": 90},
        {"service": "other", "weight": 0},
    ]
    del split["service"]
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 100_000,
        "kv_token_bytes": 163_840,
        "link_mbps": 550_000.0,
        "models": [{"name": "m1"}],
    }
    document = {
        "version": version,
        "routes": [route, stream, claim, split],
        "services": [
            {"name": "plain", "health_path": "/health", "max_connections": 110},
            {"name": "other", "max_connections": 110},
            {"name": "llm", "max_connections": 370, "engine": engine},
            {
                "name": "store",
                "kv_store_addr": "172.20.0.2:8604",
                "zone": "a",
                "kv_capacity_tokens": 1_000_000,
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": "t1",
                "api_keys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "uncached_tokens": 200,
                "isolated": True,
                "rate_per_s": 134_616,
                "burst": 134_616,
            }
        ],
    }
    return document | fields


def encode(document):
    """Return a document encoded as JSON."""
    return json.dumps(document).encode()
