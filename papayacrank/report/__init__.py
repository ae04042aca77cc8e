"""Report on usage, refusals and error budgets of the workspaces."""

from ._burn import (
    BURN_WINDOWS_MINUTES,
    BurnReport,
    WindowBurn,
    WorkspaceReport,
    build_report,
)
from ._html import render_html
from ._text import render_json, render_text

__all__ = [
    "BURN_WINDOWS_MINUTES",
    "BurnReport",
    "WindowBurn",
    "WorkspaceReport",
    "build_report",
    "render_html",
    "render_json",
    "render_text",
]
