"""Support for tests, demo and proofs: builders of test data and stand-ins."""

from ._builders import build_questionnaire

__all__ = ["build_questionnaire"]
