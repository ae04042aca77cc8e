"""Expected times of requests at targets, learned from observed times."""

from ._fit import RidgeFit
from ._model import CostModel, CostReport
from ._outputs import OutputLengths
from ._services import (
    PRIOR_FETCH_TOKENS_PER_MS,
    PRIOR_FIRST_STEP_MS,
    PRIOR_PREFILL_TOKENS_PER_MS,
    PRIOR_SERVICE_TIME_MS,
    EngineCosts,
    EngineRates,
    PlainCosts,
    ServiceCosts,
    plain_wait_fraction,
)
from ._target_factors import MAX_FACTOR, TargetFactors, merge_costs
from ._work import Expectation, Work, queued_events

__all__ = [
    "MAX_FACTOR",
    "PRIOR_FETCH_TOKENS_PER_MS",
    "PRIOR_FIRST_STEP_MS",
    "PRIOR_PREFILL_TOKENS_PER_MS",
    "PRIOR_SERVICE_TIME_MS",
    "CostModel",
    "CostReport",
    "EngineCosts",
    "EngineRates",
    "Expectation",
    "OutputLengths",
    "PlainCosts",
    "RidgeFit",
    "ServiceCosts",
    "TargetFactors",
    "Work",
    "merge_costs",
    "plain_wait_fraction",
    "queued_events",
]
