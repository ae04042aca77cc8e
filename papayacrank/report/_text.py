"""Renders the report as text and JSON."""

import json
from dataclasses import asdict

import msgspec

from ._burn import BurnReport, WorkspaceReport

COLUMNS = (
    "workspace",
    "asked",
    "served",
    "refused",
    "failed",
    "unknown",
    "prompt tok",
    "hit rate",
    "output tok",
    "TTFT p95",
    "budget left",
)


def render_text(report: BurnReport) -> str:
    """Return the report as text with aligned columns."""
    rows = [COLUMNS] + [_format_row(item) for item in report.workspaces]
    widths = [max(len(row[i]) for row in rows) for i in range(len(COLUMNS))]
    table = [_align(row, widths) for row in rows]
    head = (
        f"{report.deployment}: objective {report.objective:.3%} of the requests "
        "within a workspace's rate"
    )
    lines = [head, "", *table, "", "burn rate (1.0 spends the budget in 30 days):"]
    lines += [_format_burn(item) for item in report.workspaces]
    lines += ["", "refusals by code:"]
    lines += [_format_refusals(item) for item in report.workspaces]
    lines += ["", f"worst-served workspace: {report.worst_workspace or 'none yet'}"]
    return "\n".join(lines)


def render_json(report: BurnReport) -> str:
    """Return the report as JSON without histograms."""
    document = asdict(report)
    for item, source in zip(document["workspaces"], report.workspaces, strict=True):
        usage = msgspec.to_builtins(source.usage)
        item["usage"] = {k: v for k, v in usage.items() if not k.endswith("histogram")}
        item["hit_rate"] = source.hit_rate
        item["ttft_met"] = source.ttft_met
    return json.dumps(document, indent=2, sort_keys=True)


def _format_row(item: WorkspaceReport) -> tuple[str, ...]:
    usage = item.usage
    missed = "" if item.ttft_met else " (missed)"
    return (
        item.workspace,
        str(usage.asked),
        str(usage.served),
        str(usage.refused),
        str(usage.failed),
        str(usage.may_have_run),
        str(usage.prompt_tokens),
        f"{item.hit_rate:.1%}",
        str(usage.output_tokens),
        f"{item.ttft_p95_ms} ms{missed}",
        f"{item.budget_left:.1%}",
    )


def _align(row: tuple[str, ...], widths: list[int]) -> str:
    first = row[0].ljust(widths[0])
    rest = [cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)]
    return "  ".join([first, *rest])


def _format_burn(item: WorkspaceReport) -> str:
    parts = [f"{w.minutes} min {w.burn_rate:.2f}" for w in item.windows]
    return f"  {item.workspace}: " + ", ".join(parts)


def _format_refusals(item: WorkspaceReport) -> str:
    codes = sorted(item.usage.refused_by_code.items())
    parts = [f"{code} {count}" for code, count in codes] or ["none"]
    return f"  {item.workspace}: " + ", ".join(parts)
