"""Learned costs of targets and services."""

import msgspec


class TargetCost(msgspec.Struct, frozen=True, array_like=True):
    """Speed of one target relative to the model of its service.

    Attributes
    ----------
    factor : float
        Time that the target takes, as a multiple of the time by the model.
    samples : int
        Number of observations behind the factor, limited.
    """

    factor: float
    samples: int


class ServiceCost(msgspec.Struct, frozen=True, array_like=True):
    """Coefficients of the cost model of one service, by name of the coefficient.

    Attributes
    ----------
    samples : int
        Number of observations behind the coefficients, limited.
    """

    service: str
    samples: int
    coefficients: dict[str, float] = {}
