"""Renders the report as a self-contained HTML page."""

import base64
import io

import matplotlib
import matplotlib.figure
from jinja2 import Environment, PackageLoader, select_autoescape

from ._burn import BurnReport

matplotlib.use("Agg")

PLOT_SIZE_INCHES = (7.5, 2.8)
PLOT_DPI = 110


def render_html(report: BurnReport) -> str:
    """Return an HTML page with all styles and plots embedded."""
    environment = Environment(
        loader=PackageLoader("papayacrank.report"),
        autoescape=select_autoescape(["html"]),
    )
    template = environment.get_template("report.html")
    return template.render(
        report=report,
        outcome_plot=_plot_outcomes(report),
        burn_plot=_plot_burn(report),
    )


def _plot_outcomes(report: BurnReport) -> str:
    """Plot the outcomes of the requests of each workspace."""
    figure, axes = _new_figure()
    names = [item.workspace for item in report.workspaces]
    left = [0] * len(names)
    for outcome, color in (
        ("served", "#2b7a4b"),
        ("refused", "#d9a441"),
        ("failed", "#b23b3b"),
    ):
        counts = [getattr(item.usage, outcome) for item in report.workspaces]
        axes.barh(names, counts, left=left, label=outcome, color=color)
        left = [a + b for a, b in zip(left, counts, strict=True)]
    axes.set_xlabel("requests in the last 30 days")
    axes.invert_yaxis()
    axes.legend(loc="upper center", bbox_to_anchor=(0.5, 1.22), ncols=3, frameon=False)
    return _encode_png(figure)


def _plot_burn(report: BurnReport) -> str:
    """Plot the burn rates of each workspace by window."""
    figure, axes = _new_figure()
    for item in report.workspaces:
        labels = [_format_window(window.minutes) for window in item.windows]
        rates = [window.burn_rate for window in item.windows]
        axes.plot(labels, rates, marker="o", label=item.workspace)
    axes.axhline(1.0, color="#888888", linestyle="--", linewidth=1)
    axes.set_ylabel("burn rate")
    axes.set_xlabel("window")
    axes.set_ylim(bottom=0)
    axes.legend(loc="best", frameon=False, fontsize="small")
    return _encode_png(figure)


def _new_figure():
    figure = matplotlib.figure.Figure(PLOT_SIZE_INCHES, PLOT_DPI, layout="constrained")
    axes = figure.add_subplot()
    axes.spines[["top", "right"]].set_visible(False)
    return figure, axes


def _format_window(minutes: int) -> str:
    if minutes < 60:
        return f"{minutes} min"
    if minutes < 24 * 60:
        return f"{minutes // 60} h"
    return f"{minutes // (24 * 60)} d"


def _encode_png(figure) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png")
    return base64.b64encode(buffer.getvalue()).decode()
