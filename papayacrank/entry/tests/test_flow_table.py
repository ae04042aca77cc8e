"""Tests of the flow table."""

import pytest
from circuits import BaseComponent

from papayacrank.entry._flow_table import FlowTable
from papayacrank.kernel import ManualClock
from papayacrank.transport import Timers


class FaultyFlow:
    """Flow whose event handler raises, and on request also `abort`."""

    caller = object()

    def __init__(self, request_id: str, abort_fails: bool):
        self.request_id = request_id
        self.aborted = 0
        self._abort_fails = abort_fails

    def on_key_withdrawn(self):
        """Raise."""
        raise RuntimeError("fault")

    def abort(self):
        """Count the call and raise if `abort_fails` is set."""
        self.aborted += 1
        if self._abort_fails:
            raise RuntimeError("fault")


@pytest.mark.parametrize("abort_fails", [False, True])
def test_internal_error_ends_one_request_only(abort_fails):
    """Guards against an exception that stops the handling of the other flows.

    Streams of a withdrawn key would then continue.
    """
    clock = ManualClock()
    table = FlowTable(clock, Timers(clock).register(BaseComponent()), ())
    flows = [FaultyFlow(str(number), abort_fails) for number in range(3)]
    for flow in flows:
        table.add(flow)
    for flow in table.list_authenticated():
        table.call(flow, "on_key_withdrawn")
    assert [flow.aborted for flow in flows] == [1, 1, 1]
    assert len(table) == (0 if abort_fails else 3)
