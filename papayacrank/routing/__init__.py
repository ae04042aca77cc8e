"""Routing policies, baselines, and what an instance knows about its targets."""

from ._base import RoutingPolicy, Situation, missing_tokens
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
    "Situation",
    "TargetState",
    "TargetTable",
    "TargetView",
    "missing_tokens",
]
