"""Tests of list entries that another writer has left among those of the servers."""

import json
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayacrank.control import FleetController, HttpResult
from papayacrank.control._releases import ReleaseMonitor
from papayacrank.forwarding._targets import TargetTable
from papayacrank.messages import CONTROL_MESSAGES, ChangeReleases
from papayacrank.platform._target_protocol import PlatformTargetProtocol
from papayacrank.state import ReleaseTable
from papayacrank.transport import MessageCodec

from .fake_platform import IPS, Cloud, FakePlatform, Server

GOOD = {
    "id": "i-1",
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "models": [{"name": "m1", "version": 1}],
    "born": 5,
}
DEEP = 100_000
ODD_FIELDS = {
    "port 70000": {"address": "10.0.0.9:70000"},
    "port -1": {"address": "10.0.0.9:-1"},
    "port 0": {"address": "10.0.0.9:0"},
    "400 digits as port": {"address": "10.0.0.9:" + "1" * 400},
    "host name of odd characters": {"address": "\x00\u202e%:80"},
    "octet 300": {"address": "10.0.0.300:80"},
    "2**70 slots": {"slots": 2**70},
    "-2**70 slots": {"slots": -(2**70)},
    "2**70 as start number": {"born": 2**70},
    "2**70 as version of weights": {"models": [{"name": "m1", "version": 2**70}]},
    "lone surrogate": {"id": "\ud800"},
    "lone surrogate in zone": {"zone": "\udfff"},
    "CR LF in the id": {"id": "i-9\r\nX: y"},
    "empty id": {"id": ""},
    "long id": {"id": "i" * 5_000},
    "no version": {"version": None},
    "version of odd characters": {"version": "v\ud800"},
    "unknown state": {"state": "asleep"},
    "negative time that a server is slow": {"cold_remaining_ms": -1},
    "time that a server is slow as text": {"cold_remaining_ms": "0"},
    "stage as a number": {"stage": 1},
    "model of odd characters": {"models": [{"name": "\ud800", "version": 1}]},
    "list": [],
    "text": "ready",
    "null": None,
}
# Text of entries that JSON libraries cannot read.
ODD_TEXTS = {
    "deep lists": "[" * DEEP + "]" * DEEP,
    "deep objects": '{"a":' * DEEP + "1" + "}" * DEEP,
    "deep list in an entry": json.dumps(GOOD)[:-1]
    + ',"x":'
    + "[" * DEEP
    + "]" * DEEP
    + "}",
    "5000 digits": json.dumps(GOOD | {"id": "i-9"}).replace("6", "9" * 5_000),
    "1e400": json.dumps(GOOD | {"id": "i-9"}).replace("6", "1e400"),
    "not a number": json.dumps(GOOD | {"id": "i-9"}).replace("6", "NaN"),
}


def render(*texts, next_page="null"):
    """Return a page with entries given as text."""
    return f'{{"instances":[{",".join(texts)}],"next":{next_page}}}'.encode()


def read(body):
    """Return the names of the targets on a page."""
    protocol = PlatformTargetProtocol("10.0.0.2:80")
    page = protocol.read_listing(HttpResult("fleet-list ", 200, body))
    return [target.name for target in page.targets]


def odd_texts():
    """Return the texts of all odd entries by name."""
    texts = {}
    for name, fields in ODD_FIELDS.items():
        entry = fields
        if isinstance(fields, dict):
            entry = GOOD | {"id": "i-9"} | fields
        texts[name] = json.dumps(entry)
    return texts | ODD_TEXTS


@pytest.mark.parametrize("name", list(odd_texts()))
def test_odd_entry_names_no_target_and_hides_no_other(name):
    """Guards against a list that is not followed since one entry cannot be read."""
    good = json.dumps(GOOD)
    other = json.dumps(GOOD | {"id": "i-2"})
    assert read(render(good, odd_texts()[name], other)) == ["i-1", "i-2"]


REQUIRED = [name for name in GOOD if name not in ("models", "born")]
OTHER_TYPES = (None, [], {}, True, "x" * 300)


@pytest.mark.parametrize("field", REQUIRED)
def test_entry_without_a_field_of_each_server_names_no_target(field):
    """Guards against requests to the address of an entry of another writer (ROUTE)."""
    missing = {key: value for key, value in GOOD.items() if key != field}
    others = [GOOD | {field: value} for value in OTHER_TYPES]
    odd = [json.dumps(entry | {"service": "app"}) for entry in (missing, *others)]
    if field == "service":
        odd = [json.dumps(entry) for entry in (missing, *others)]
    assert read(render(*odd, json.dumps(GOOD | {"id": "i-2"}))) == ["i-2"]


@pytest.mark.parametrize("next_page", ["7", "[]", '"\\ud800"', '"a\\r\\nb"', "1e999"])
def test_odd_next_page_is_an_error_of_the_list(next_page):
    """Guards against a reader that stops for good after one odd page."""
    protocol = PlatformTargetProtocol("10.0.0.2:80")
    body = render(json.dumps(GOOD), next_page=next_page)
    assert isinstance(protocol.read_listing(HttpResult("k", 200, body)), str)


def test_id_of_another_server_does_not_move_that_server():
    """Guards against an entry that takes the place of a known server."""
    protocol = PlatformTargetProtocol("10.0.0.2:80")
    fleet = FleetController(protocol, "i")
    fleet.reset(1, 0)
    moved = GOOD | {"address": "10.0.0.9:80"}
    for entries in ([GOOD], [GOOD, moved], [moved, GOOD]):
        (call,) = fleet.poll({}, None, 10_000)
        body = render(*map(json.dumps, entries))
        fleet.handle(HttpResult(call.key, 200, body), 0)
        assert [target.address for target in fleet.targets] == [GOOD["address"]]


values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**80), 2**80)
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(["ready", "llm", "10.0.0.1:80", "v1", "i-1", "m1"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*GOOD, "name", "x"]) | st.text(max_size=5),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)
entries = st.builds(
    lambda fields: GOOD | {"id": "i-9"} | fields,
    st.dictionaries(st.sampled_from([*GOOD, "x"]), values, max_size=3),
)


@settings(max_examples=300, deadline=None)
@given(odd=st.lists(entries | values, max_size=3), report=entries | values)
def test_random_entries_reach_entry_processes_as_valid_targets(odd, report):
    """Guards against text of another writer that fails behind the border."""
    protocol = PlatformTargetProtocol("10.0.0.2:80")
    table = ReleaseTable()
    monitor = ReleaseMonitor(table)
    fleet = FleetController(protocol, "i")
    fleet.set_releases(monitor)
    fleet.reset(1, 0)
    (call,) = fleet.poll({"m1": 2}, None, 1)
    body = render(*map(json.dumps, [GOOD, *odd]))
    fleet.handle(HttpResult(call.key, 200, body), 1)
    for command in monitor.poll(None, 1):
        assert isinstance(command, ChangeReleases)
        table.change(command)
    calls = fleet.poll({"m1": 2}, None, 1_000)
    for call in calls:
        body = json.dumps(report).encode()
        fleet.handle(HttpResult(call.key, 200, body), 1_000)
    codec = MessageCodec(CONTROL_MESSAGES)
    view = codec.decode(codec.encode(fleet.view([])))
    targets = TargetTable()
    assert targets.update(view) is not None
    names = [target.name for target in targets.find_by_service("llm")]
    assert "i-1" in names


class _TextCloud(Cloud):
    """Target list with entries that are given as text."""

    texts = ()

    def handle(self, handler):
        """Respond with the entries of the servers and the texts."""
        good = [json.dumps(server.entry()) for server in self.servers]
        handler.reply(200, render(*self.texts, *good))


def test_numbers_beyond_64_bits_are_refused_and_nothing_is_lost(tmp_path):
    """Guards against operators' calls that end without an answer."""
    platform = FakePlatform(tmp_path)
    try:
        platform.start()
        document = platform.configure()
        named = {"model": "m1", "version": 2**70}
        assert platform.operate("POST", "/v1/version-put", named)[0] == 400
        for odd in (
            {"version": 2**70},
            {"limits": {"max_body_bytes": 2**70}},
            {"tenants": [document["tenants"][0] | {"rate_per_s": 1e300}]},
        ):
            changed = document | {"version": 2} | odd
            status = platform.operate("POST", "/v1/configuration/put", changed)[0]
            assert status in (400, 422)
        status, _, body = platform.operate("GET", "/v1/configuration/get")
        assert (status, json.loads(body)) == (200, document)
        platform.configure(2)
    finally:
        platform.stop()


@pytest.mark.prove
def test_list_with_odd_entries_is_followed(tmp_path):
    """Guards against machines that end or stop following the list."""
    platform = FakePlatform(tmp_path)
    platform.cloud.close()
    platform.cloud = _TextCloud()
    platform.cloud.servers = [*platform.plain, platform.engine]
    platform.cloud.texts = [
        text for text in odd_texts().values() if len(text) < 2 * DEEP
    ]
    new = Server("p-9", "plain")
    try:
        platform.start_serving()
        for name, text in odd_texts().items():
            platform.cloud.texts = [text]
            time.sleep(0.2)
            assert platform.request("/lookup/x", f"r-{name[:9]}")[0] == 200
        platform.cloud.servers = [new, platform.engine]
        platform.wait(
            lambda: platform.request("/lookup/x", "r9")[0] == 200 and bool(new.runs), 8
        )
        for ip in IPS:
            for role in ("control", "entry"):
                failed = [
                    line
                    for line in platform.log(role, ip)
                    if line["event"] in ("handler_failed", "platform_list_failed")
                ]
                assert failed == []
    finally:
        platform.stop()
        new.close()
