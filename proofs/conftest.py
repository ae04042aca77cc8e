"""Fixtures of the failure tests."""

import pytest

from papayacrank.testing import Deployment, Fleet


@pytest.fixture
def start_deployment(tmp_path):
    """Return a function that starts a deployment; it is stopped after the test."""
    with Fleet(tmp_path) as fleet:

        def start(questionnaire=None, **options) -> Deployment:
            deployment = Deployment(fleet, **options)
            deployment.start(**(questionnaire or {}))
            return deployment

        yield start
