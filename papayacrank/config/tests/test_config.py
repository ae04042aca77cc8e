"""Tests of settings, questionnaire and configuration."""

import pytest

from papayacrank.config import (
    EntrySettings,
    Questionnaire,
    SettingsError,
    canonical_json,
    diff_configurations,
    generate_configuration,
    load_settings,
    parse_configuration,
)
from papayacrank.testing import build_questionnaire


def test_generation_is_deterministic_and_round_trips():
    """Guards against different configurations generated from equal answers."""
    first = generate_configuration(build_questionnaire())
    document = canonical_json(first)
    assert document == canonical_json(generate_configuration(build_questionnaire()))
    assert parse_configuration(document) == first


def test_longest_prefix_applies_and_default_is_non_idempotent():
    """Guards against a repeated non-idempotent request whose path has no rule."""
    configuration = generate_configuration(build_questionnaire())
    service = configuration.find_service("shop-app")
    assert service.find_rule("GET", "/lookups/7").idempotent
    assert not service.find_rule("POST", "/claims").idempotent
    assert not service.find_rule("POST", "/other").idempotent
    assert service.find_rule("GET", "/public/map").public
    assert service.find_rule("GET", "/public").public


@pytest.mark.parametrize("path", ["/publicity", "/public-accounts/7", "/"])
def test_prefix_matches_whole_segments(path):
    """Guards against a path made public by a prefix that ends within a segment."""
    configuration = generate_configuration(build_questionnaire())
    service = configuration.find_service("shop-app")
    assert not service.find_rule("GET", path).public


def test_diff_names_changed_values_only():
    """Guards against a change that is filed but not shown to the operator."""
    before = generate_configuration(build_questionnaire())
    answers = build_questionnaire().model_dump()
    answers["workspaces"][0]["tokens_per_second"] = 123
    after = generate_configuration(Questionnaire.model_validate(answers))
    changes = diff_configurations(before, after)
    assert [change.path for change in changes] == [
        "workspaces.team-a.rate_tokens_per_s"
    ]
    assert diff_configurations(before, before) == []


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("{", "not JSON with comments"),
        ('{"instance": "a", "colour": 1}', "colour"),
        ('{"instance": "A!"}', "instance: got 'A!'"),
    ],
)
def test_bad_settings_name_file_path_and_value(tmp_path, text, expected):
    """Guards against a process that starts with invalid settings."""
    path = tmp_path / "entry.json"
    path.write_text(text)
    with pytest.raises(SettingsError, match=expected) as caught:
        load_settings(path, EntrySettings)
    assert str(path) in str(caught.value)


def test_comments_are_accepted(tmp_path):
    """Guards against a loader that accepts strict JSON only."""
    path = tmp_path / "entry.json"
    path.write_text(
        """{
        // the first instance
        "instance": "i1", "failure_domain": "east", "listen": "127.0.0.1:0",
        "link": "127.0.0.1:0",
        "control": [{"name": "c1", "address": "127.0.0.1:1"}], /* one */
        }"""
    )
    assert load_settings(path, EntrySettings).timings.control_contact_ms == 3_000
