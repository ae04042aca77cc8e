"""Views of the replicated state for operators."""

from typing import Any

from hdrh.histogram import HdrHistogram

from papayacrank.config import Configuration

PERCENTILES = (50, 95, 99)


def join_targets(configuration: Configuration | None, listed: list[dict]) -> list[dict]:
    """Return the configured targets with their state on the platform's target list.

    A target that is only on the platform's list has an empty service and address.
    """
    states = {item["target"]: item["state"] for item in listed}
    rows = []
    for service in configuration.services if configuration else []:
        for target in service.targets:
            rows.append(
                {
                    "target": target.name,
                    "service": service.name,
                    "address": target.address,
                    "failure_domain": target.failure_domain,
                    "state": states.pop(target.name, "not listed"),
                }
            )
    empty_fields = {"service": "", "address": "", "failure_domain": ""}
    unconfigured = [
        {"target": name} | empty_fields | {"state": state}
        for name, state in states.items()
    ]
    return rows + unconfigured


def summarize_usage(rows: list[dict]) -> list[dict]:
    """Sum up usage rows by workspace and add percentiles of the time to first token."""
    totals: dict[str, dict] = {}
    histograms: dict[str, HdrHistogram] = {}
    for row in rows:
        workspace = row["workspace"]
        total = totals.setdefault(workspace, {"workspace": workspace})
        for name, value in row.items():
            if isinstance(value, int) and name not in ("minute", "minutes"):
                total[name] = total.get(name, 0) + value
        if row["ttft_histogram"]:
            _add_histogram(histograms, workspace, row["ttft_histogram"])
    for workspace, total in totals.items():
        total |= _percentiles(histograms.get(workspace))
    return [totals[name] for name in sorted(totals)]


def _add_histogram(
    histograms: dict[str, HdrHistogram], workspace: str, encoded: str
) -> None:
    decoded = HdrHistogram.decode(encoded.encode())
    if workspace in histograms:
        histograms[workspace].add(decoded)
    else:
        histograms[workspace] = decoded


def _percentiles(histogram: HdrHistogram | None) -> dict[str, Any]:
    return {
        f"ttft_p{percentile}_ms": None
        if histogram is None
        else histogram.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    }
