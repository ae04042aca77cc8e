"""Tests of clocks, plug-in registry and log events."""

from abc import ABC, abstractmethod

import pytest

from papayacrank.kernel import (
    LogEvent,
    ManualClock,
    MonotonicClock,
    create,
    declare_events,
    list_registered,
    register,
)


class Shape(ABC):
    """Abstract base class for these tests."""

    @abstractmethod
    def area(self):
        """Return the area."""


@register(Shape, "square")
class Square(Shape):
    """Implementation for these tests."""

    def __init__(self, side=1):
        self.side = side

    def area(self):
        """Return the area."""
        return self.side**2


def test_clock_rejects_negative_step():
    """Guards against virtual time that goes backwards."""
    clock = ManualClock(5)
    assert clock.advance(3) == 8
    with pytest.raises(ValueError, match="backwards"):
        clock.advance(-1)
    assert MonotonicClock().now_ms() <= MonotonicClock().now_ms()


def test_registry_creates_by_name_and_lists_known_names():
    """Guards against an unclear error for a misspelled policy in the settings."""
    assert list_registered(Shape) == ["square"]
    assert create(Shape, "square", side=2).side == 2
    with pytest.raises(KeyError, match="known: square"):
        create(Shape, "circle")


def test_registry_rejects_second_class_under_a_name():
    """Guards against a plug-in that silently replaces another one."""
    with pytest.raises(ValueError, match="already registered"):

        @register(Shape, "square")
        class Other(Shape):
            """Second implementation under the same name."""

            def area(self):
                """Return nothing."""

    with pytest.raises(TypeError, match="does not derive"):
        register(Shape, "int")(int)


def test_event_number_is_unique():
    """Guards against two log events with the same number."""
    event = LogEvent(999_999, "sample", "info", "Sample.")
    declare_events(event)
    declare_events(event)
    with pytest.raises(ValueError, match="declared twice"):
        declare_events(LogEvent(999_999, "other", "info", "Other."))
