"""Routing policies and the per-instance state of targets that they decide on."""

from ._base import RoutingContext, RoutingPolicy, count_uncached_tokens
from ._baselines import (
    ConsistentHashPolicy,
    LeastLoadedPolicy,
    LongestMatchPolicy,
    RandomPolicy,
    RoundRobinPolicy,
)
from ._policy import CostPolicy
from ._retry import BudgetedRetryPolicy, RetryPolicy
from ._router import Router
from ._targets import Attempt, TargetState, TargetTable
from ._types import LEAVING, LIVE, Choice, LoadReport, RoutingRequest, TargetView

__all__ = [
    "LEAVING",
    "LIVE",
    "Attempt",
    "RoundRobinPolicy",
    "RandomPolicy",
    "LongestMatchPolicy",
    "LeastLoadedPolicy",
    "CostPolicy",
    "ConsistentHashPolicy",
    "BudgetedRetryPolicy",
    "Choice",
    "LoadReport",
    "RetryPolicy",
    "Router",
    "RoutingPolicy",
    "RoutingRequest",
    "RoutingContext",
    "TargetState",
    "TargetTable",
    "TargetView",
    "count_uncached_tokens",
]
