"""Tests of the parser of request rate limits."""

import pytest

from papayacrank.permits import read_rate_statement


@pytest.mark.parametrize(
    ("values", "per_s"),
    [
        (["1.2"], 1.2),
        ([" 3 "], 3.0),
        ([".5"], 0.5),
        (["2."], 2.0),
        (["0"], 0.0),
        (["999999999999"], 999_999_999_999.0),
        (["2", "1.5"], 1.5),
        (["4, 3"], 3.0),
        (["soon, 3"], 3.0),
        ([""], None),
        (["soon"], None),
        (["-1"], None),
        (["+1"], None),
        (["nan"], None),
        (["inf"], None),
        (["1e400"], None),
        (["1e2"], None),
        (["1_0"], None),
        (["9" * 400], None),
        (["٣"], None),
    ],
)
def test_only_decimal_numbers_are_rates(values, per_s):
    """Guards against a header that stops a process or a target forever."""
    assert read_rate_statement(values).per_s == per_s


def test_missing_header_states_nothing():
    """Guards against a response without the header that counts as unreadable."""
    assert read_rate_statement([]) is None


def test_logged_text_is_bounded():
    """Guards against a log line as long as a header."""
    assert len(read_rate_statement(["x" * 10_000]).text) == 40
