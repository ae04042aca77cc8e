"""Computes objectives, error budgets and burn rates from usage."""

from dataclasses import dataclass, field

from papayacrank.accounting import UsageDocument, decode_histogram, merge_usage
from papayacrank.config import Configuration
from papayacrank.messages import UsageDelta

BURN_WINDOWS_MINUTES = (5, 60, 360, 4_320)
BUDGET_PERIOD_MINUTES = 30 * 24 * 60
RATE_LIMIT_CODES = frozenset({"over_rate", "exceeds_burst"})
TTFT_PERCENTILE = 95


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rate of one workspace in one window.

    Parameters
    ----------
    minutes : int
        Length of the window in minutes.
    eligible, bad : int
        Requests that count towards the objective, and those of them that missed it.
    burn_rate : float
        Error rate divided by the allowed error rate; 1.0 spends the error budget
        exactly within its period.
    """

    minutes: int
    eligible: int
    bad: int
    burn_rate: float


@dataclass(frozen=True, slots=True)
class WorkspaceReport:
    """Usage and objectives of one workspace over the budget period.

    Parameters
    ----------
    budget_left : float
        Remaining fraction of the error budget; negative if it is overspent.
    service_ratio : float
        Fraction of the eligible requests that were served.
    ttft_p50_ms, ttft_p95_ms, ttft_p99_ms : int
        Percentiles of the time to first token in milliseconds; 0 without values.
    ttft_objective_ms : int
        Time to first token that 95 in 100 requests must not exceed, in milliseconds.
    """

    workspace: str
    usage: UsageDelta
    eligible: int
    bad: int
    service_ratio: float
    budget_left: float
    ttft_p50_ms: int
    ttft_p95_ms: int
    ttft_p99_ms: int
    ttft_objective_ms: int
    windows: list[WindowBurn]

    @property
    def ttft_met(self) -> bool:
        """Whether at least 95 in 100 requests met the TTFT objective."""
        return self.ttft_p95_ms <= self.ttft_objective_ms

    @property
    def hit_rate(self) -> float:
        """Fraction of the prompt tokens that were cached."""
        return self.usage.cached_tokens / max(1, self.usage.prompt_tokens)


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Report on all workspaces.

    Parameters
    ----------
    worst_workspace : str or None
        Workspace with the lowest service ratio; ties are broken by the highest 99th
        percentile of the time to first token. None without eligible requests.
    """

    deployment: str
    objective: float
    now_minute: int
    worst_workspace: str | None
    workspaces: list[WorkspaceReport] = field(default_factory=list)


def build_report(document: UsageDocument, configuration: Configuration) -> BurnReport:
    """Compute the report.

    Requests within the rate of their workspace are eligible. Eligible requests that
    were refused or failed are bad.

    Parameters
    ----------
    document : UsageDocument
        Usage rows.
    configuration : Configuration
        Objectives and workspaces. Workspaces without usage are reported, too.

    Returns
    -------
    BurnReport
        Report with one entry per workspace, sorted by name.
    """
    names = {workspace.name for workspace in configuration.workspaces}
    names |= {row.usage.workspace for row in document.rows}
    objective = configuration.availability_objective
    reports = [
        _report_workspace(name, document, configuration, objective)
        for name in sorted(names)
    ]
    return BurnReport(
        deployment=configuration.deployment,
        objective=objective,
        now_minute=document.now_minute,
        worst_workspace=_find_worst_served(reports),
        workspaces=reports,
    )


def _report_workspace(
    name: str,
    document: UsageDocument,
    configuration: Configuration,
    objective: float,
) -> WorkspaceReport:
    usage = _sum_window(document, name, BUDGET_PERIOD_MINUTES)
    eligible, bad = _count_eligible(usage)
    allowed_bad = eligible * (1.0 - objective)
    ttft = decode_histogram(usage.ttft_histogram)
    return WorkspaceReport(
        workspace=name,
        usage=usage,
        eligible=eligible,
        bad=bad,
        service_ratio=(eligible - bad) / eligible if eligible else 1.0,
        budget_left=1.0 - bad / allowed_bad if allowed_bad else 1.0,
        ttft_p50_ms=_percentile(ttft, 50),
        ttft_p95_ms=_percentile(ttft, TTFT_PERCENTILE),
        ttft_p99_ms=_percentile(ttft, 99),
        ttft_objective_ms=_find_ttft_objective_ms(configuration, name),
        windows=[
            _compute_window_burn(document, name, minutes, objective)
            for minutes in BURN_WINDOWS_MINUTES
        ],
    )


def _compute_window_burn(
    document: UsageDocument, name: str, minutes: int, objective: float
) -> WindowBurn:
    eligible, bad = _count_eligible(_sum_window(document, name, minutes))
    error_rate = bad / eligible if eligible else 0.0
    return WindowBurn(minutes, eligible, bad, error_rate / (1.0 - objective))


def _sum_window(document: UsageDocument, name: str, minutes: int) -> UsageDelta:
    total = UsageDelta(name)
    for row in document.rows:
        age = document.now_minute - (row.minute + row.minutes - 1)
        if row.usage.workspace == name and age < minutes:
            total = merge_usage(total, row.usage)
    return total


def _count_eligible(usage: UsageDelta) -> tuple[int, int]:
    rate_limited = sum(usage.refused_by_code.get(code, 0) for code in RATE_LIMIT_CODES)
    other_refusals = usage.refused - rate_limited
    bad = other_refusals + usage.failed
    return usage.served + bad, bad


def _percentile(histogram, percentile: float) -> int:
    if histogram.get_total_count() == 0:
        return 0
    return int(histogram.get_value_at_percentile(percentile))


def _find_ttft_objective_ms(configuration: Configuration, name: str) -> int:
    """Return the lowest TTFT objective of the services that the workspace may use."""
    workspace = configuration.find_workspace(name)
    services = set(workspace.services) if workspace else set()
    objectives = [
        assistant.ttft_objective_ms
        for assistant in configuration.assistants
        if assistant.service in services
    ]
    return min(objectives, default=2_000)


def _find_worst_served(reports: list[WorkspaceReport]) -> str | None:
    active = [report for report in reports if report.eligible]
    if not active:
        return None
    worst = min(active, key=lambda r: (r.service_ratio, -r.ttft_p99_ms, r.workspace))
    return worst.workspace
